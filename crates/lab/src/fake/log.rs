//! A fake of the platform's log: append-only streams with offsets and limited retention.

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use indexmap::IndexMap;
use rwd_edge::{Batch, LogRecord};
use rwd_types::LogOffset;
use serde_json::json;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::timeout;

use super::Faults;
use crate::http_server::{
    Body, HttpServer, ResponseLost, empty_response, json_response, query_param, text_response,
};

/// Maximum number of records in one response.
const MAX_BATCH: usize = 256;

#[derive(Debug, Default)]
struct LogStream {
    first: u64,
    records: VecDeque<String>,
}

impl LogStream {
    fn end_offset(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

#[derive(Debug, Default)]
struct Shared {
    faults: Faults,
    streams: Mutex<IndexMap<String, LogStream>>,
    changed: watch::Sender<u64>,
}

/// A running fake log.
pub struct FakeLog {
    server: HttpServer,
    shared: Arc<Shared>,
}

impl FakeLog {
    /// Starts an empty log.
    ///
    /// # Errors
    ///
    /// Returns an error if `address` cannot be bound.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let handler = shared.clone();
        let server = HttpServer::start(address, move |req| handler.clone().handle(req)).await?;
        Ok(Self { server, shared })
    }

    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The faults it injects.
    pub fn faults(&self) -> &Faults {
        &self.shared.faults
    }

    /// Drops all but the newest `keep` records of every stream, as retention does.
    pub fn retain(&self, keep: usize) {
        for stream in self.shared.lock().values_mut() {
            while stream.records.len() > keep {
                stream.records.pop_front();
                stream.first += 1;
            }
        }
    }

    /// Loses the newest `count` records of every stream, as a faulty restore does.
    pub fn truncate(&self, count: usize) {
        for stream in self.shared.lock().values_mut() {
            let remaining = stream.records.len().saturating_sub(count);
            stream.records.truncate(remaining);
        }
        self.shared.changed.send_modify(|n| *n += 1);
    }

    /// The records of a stream.
    pub fn records(&self, stream: &str) -> Vec<String> {
        let streams = self.shared.lock();
        streams
            .get(stream)
            .map(|s| s.records.iter().cloned().collect())
            .unwrap_or_default()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, IndexMap<String, LogStream>> {
        self.streams.lock().unwrap_or_else(|e| e.into_inner())
    }

    async fn handle(self: Arc<Self>, req: Request<Bytes>) -> Result<Response<Body>, ResponseLost> {
        match req.uri().path() {
            "/lab/faults" => {
                return Ok(match self.faults.set_json(req.body()) {
                    Ok(()) => json_response(StatusCode::OK, &self.faults.get()),
                    Err(e) => text_response(StatusCode::BAD_REQUEST, e.to_string()),
                });
            }
            "/lab/records" => return Ok(json_response(StatusCode::OK, &self.dump())),
            _ => (),
        }
        self.faults.wait_until_thawed().await;
        if self.faults.get().down {
            return Ok(empty_response(StatusCode::SERVICE_UNAVAILABLE));
        }
        let Some(name) = req
            .uri()
            .path()
            .strip_prefix("/v1/streams/")
            .map(str::to_owned)
        else {
            return Ok(empty_response(StatusCode::NOT_FOUND));
        };
        match *req.method() {
            Method::POST => self.append(&name, req.body()),
            _ => {
                let from = query_param(&req, "from").unwrap_or(0);
                let wait = Duration::from_millis(query_param(&req, "wait_ms").unwrap_or(0));
                Ok(json_response(
                    StatusCode::OK,
                    &self.read(&name, from, wait).await,
                ))
            }
        }
    }

    fn dump(&self) -> IndexMap<String, Vec<String>> {
        let streams = self.lock();
        let records = |s: &LogStream| s.records.iter().cloned().collect();
        streams
            .iter()
            .map(|(name, s)| (name.clone(), records(s)))
            .collect()
    }

    fn append(&self, name: &str, data: &Bytes) -> Result<Response<Body>, ResponseLost> {
        let Ok(data) = String::from_utf8(data.to_vec()) else {
            return Ok(empty_response(StatusCode::BAD_REQUEST));
        };
        let copies = if self.faults.take_double_append() {
            2
        } else {
            1
        };
        let offset = {
            let mut streams = self.lock();
            let stream = streams.entry(name.to_owned()).or_default();
            let offset = stream.end_offset();
            for _ in 0..copies {
                stream.records.push_back(data.clone());
            }
            offset
        };
        self.changed.send_modify(|n| *n += 1);
        match self.faults.take_lost_response() {
            true => Err(ResponseLost),
            false => Ok(json_response(StatusCode::OK, &json!({ "offset": offset }))),
        }
    }

    async fn read(&self, name: &str, from: u64, wait: Duration) -> Batch {
        let mut changed = self.changed.subscribe();
        let new_records = async {
            loop {
                changed.borrow_and_update();
                let batch = self.batch(name, from);
                if !batch.records.is_empty() || batch.next.0 < from {
                    return batch;
                }
                // Cannot fail: the sender lives as long as `self`.
                let _ = changed.changed().await;
            }
        };
        timeout(wait, new_records)
            .await
            .unwrap_or_else(|_| self.batch(name, from))
    }

    fn batch(&self, name: &str, from: u64) -> Batch {
        let streams = self.lock();
        let Some(stream) = streams.get(name) else {
            return Batch::default();
        };
        let end = stream
            .end_offset()
            .saturating_sub(self.faults.get().lag_records)
            .max(stream.first);
        let start = from.max(stream.first);
        let offsets = (start..end).take(MAX_BATCH);
        let records = offsets.map(|offset| LogRecord {
            offset: LogOffset(offset),
            data: stream.records[(offset - stream.first) as usize].clone(),
        });
        Batch {
            first: LogOffset(stream.first),
            next: LogOffset(end),
            records: records.collect(),
        }
    }
}

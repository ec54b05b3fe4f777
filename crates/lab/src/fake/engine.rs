//! A fake inference engine: resumable completion streams, load reports and cache events.

use bytes::Bytes;
use futures_util::stream;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use rwd_edge::STREAM_HEADER;
use serde_json::json;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::watch;

use super::engine_sim::{CompletionRequest, EngineSim, Stream, StreamState};
use super::{EngineSettings, Faults, Ledger};
use crate::http_server::{
    Body, HttpServer, ResponseLost, empty_response, json_response, query_param, text_response,
};

/// A running fake engine.
pub struct Engine {
    server: HttpServer,
    faults: Arc<Faults>,
    ledger: Arc<Ledger>,
    task: tokio::task::JoinHandle<()>,
}

#[derive(Clone)]
struct Handler {
    sim: Arc<EngineSim>,
    faults: Arc<Faults>,
    ledger: Arc<Ledger>,
}

impl Engine {
    /// Starts an engine that records its runs in `ledger`.
    ///
    /// # Errors
    ///
    /// Returns an error if `address` cannot be bound.
    pub async fn start(
        address: SocketAddr,
        cfg: EngineSettings,
        ledger: Arc<Ledger>,
    ) -> io::Result<Self> {
        let faults = Arc::new(Faults::default());
        let sim = Arc::new(EngineSim::new(cfg, faults.clone(), ledger.clone()));
        let handler = Handler {
            sim: sim.clone(),
            faults: faults.clone(),
            ledger: ledger.clone(),
        };
        let server = HttpServer::start(address, move |req| handler.clone().handle(req)).await?;
        let task = tokio::spawn(sim.run());
        Ok(Self {
            server,
            faults,
            ledger,
            task,
        })
    }

    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The faults it injects.
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// The ledger that it records runs in.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Handler {
    async fn handle(self, req: Request<Bytes>) -> Result<Response<Body>, ResponseLost> {
        if let Some(path) = req.uri().path().strip_prefix("/lab/") {
            return Ok(self.handle_lab(path, &req));
        }
        self.faults.wait_until_thawed().await;
        if self.faults.get().down {
            return Ok(empty_response(StatusCode::SERVICE_UNAVAILABLE));
        }
        let stream = req.uri().path().strip_prefix("/v1/streams/");
        match (req.method(), req.uri().path(), stream) {
            (&Method::POST, "/v1/completions", _) => self.complete(&req),
            (&Method::GET, _, Some(name)) => Ok(self.resume(name, query_param(&req, "after"))),
            (&Method::DELETE, _, Some(name)) => Ok(match self.sim.cancel(name) {
                true => empty_response(StatusCode::NO_CONTENT),
                false => empty_response(StatusCode::NOT_FOUND),
            }),
            (&Method::GET, "/v1/load", _) => Ok(json_response(StatusCode::OK, &self.sim.load())),
            (&Method::GET, "/v1/cache-events", _) => {
                let from = query_param(&req, "from").unwrap_or(0);
                Ok(json_response(StatusCode::OK, &self.sim.cache_events(from)))
            }
            _ => Ok(empty_response(StatusCode::NOT_FOUND)),
        }
    }

    fn handle_lab(&self, path: &str, req: &Request<Bytes>) -> Response<Body> {
        match path {
            "counts" => json_response(StatusCode::OK, &self.ledger.counts()),
            "silence" => {
                self.faults.stall_open_streams();
                empty_response(StatusCode::NO_CONTENT)
            }
            "faults" => match self.faults.set_json(req.body()) {
                Ok(()) => json_response(StatusCode::OK, &self.faults.get()),
                Err(e) => text_response(StatusCode::BAD_REQUEST, e.to_string()),
            },
            _ => empty_response(StatusCode::NOT_FOUND),
        }
    }

    fn complete(&self, req: &Request<Bytes>) -> Result<Response<Body>, ResponseLost> {
        let completion: CompletionRequest = match serde_json::from_slice(req.body()) {
            Ok(completion) => completion,
            Err(e) => {
                let error = json!({ "error": e.to_string() });
                return Ok(json_response(StatusCode::BAD_REQUEST, &error));
            }
        };
        let name = req
            .headers()
            .get(STREAM_HEADER)
            .and_then(|v| v.to_str().ok());
        let stream = self.sim.submit(name.unwrap_or("unnamed"), completion);
        match self.faults.take_lost_response() {
            true => Err(ResponseLost),
            false => Ok(self.events(stream, 0)),
        }
    }

    fn resume(&self, name: &str, after: Option<usize>) -> Response<Body> {
        match self.sim.stream(name) {
            Some(stream) => self.events(stream, after.unwrap_or(0)),
            None => empty_response(StatusCode::NOT_FOUND),
        }
    }

    // Streams the events after number `after` as they are produced. A stalled stream stays open.
    fn events(&self, stream: Arc<Stream>, after: usize) -> Response<Body> {
        let faults = self.faults.clone();
        let number = faults.open_stream();
        let state = (stream.subscribe(), after, false);
        let frames = stream::unfold(state, move |(mut rx, sent, done)| {
            let faults = faults.clone();
            async move {
                if done {
                    return None;
                }
                let (text, sent, done) = next_events(&mut rx, sent).await?;
                faults.wait_until_thawed().await;
                if faults.is_stalled(number) {
                    std::future::pending::<()>().await;
                }
                let frame = Ok::<_, Infallible>(Frame::data(Bytes::from(text)));
                Some((frame, (rx, sent, done)))
            }
        });
        let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
        let event_stream = HeaderValue::from_static("text/event-stream");
        response
            .headers_mut()
            .insert(header::CONTENT_TYPE, event_stream);
        response
    }
}

// Returns the events after `sent`, the number of the last one, and whether the stream has ended.
async fn next_events(
    rx: &mut watch::Receiver<StreamState>,
    sent: usize,
) -> Option<(String, usize, bool)> {
    let state = rx
        .wait_for(|s| s.events.len() > sent || s.ended.is_some())
        .await
        .ok()?;
    let mut text = String::new();
    for (i, data) in state.events.iter().enumerate().skip(sent) {
        text.push_str(&format!("id: {}\ndata: {data}\n\n", i + 1));
    }
    if state.ended == Some(true) {
        text.push_str("data: [DONE]\n\n");
    }
    Some((text, state.events.len().max(sent), state.ended.is_some()))
}

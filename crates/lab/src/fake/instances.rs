//! The platform's instance list, which shows changes with a lag.

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use indexmap::IndexMap;
use rwd_edge::{Instance, InstanceState, Listing};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::Faults;
use crate::http_server::{
    AnswerLost, Body, HttpServer, empty, json_response, query, text_response,
};

#[derive(Debug)]
struct Shared {
    faults: Faults,
    lag: Duration,
    truth: Mutex<IndexMap<String, Instance>>,
    shown: watch::Sender<Listing>,
}

/// A running stand-in of the instance list.
pub struct FakeInstanceList {
    server: HttpServer,
    shared: Arc<Shared>,
}

impl FakeInstanceList {
    /// Starts an empty list that shows changes after `lag`.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be listened on.
    pub async fn start(address: SocketAddr, lag: Duration) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            faults: Faults::default(),
            lag,
            truth: Mutex::default(),
            shown: watch::Sender::new(Listing {
                version: 1,
                instances: Vec::new(),
            }),
        });
        let handler = shared.clone();
        let server = HttpServer::start(address, move |req| handler.clone().answer(req)).await?;
        Ok(Self { server, shared })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Its faults.
    pub fn faults(&self) -> &Faults {
        &self.shared.faults
    }

    /// Adds or replaces an instance.
    pub fn put(&self, instance: Instance) {
        self.shared.change(|truth| {
            truth.insert(instance.name.to_string(), instance);
        });
    }

    /// Takes an instance off the list.
    pub fn remove(&self, name: &str) {
        self.shared.change(|truth| {
            truth.shift_remove(name);
        });
    }

    /// Marks an instance as leaving.
    pub fn leave(&self, name: &str) {
        self.shared.change(|truth| {
            if let Some(instance) = truth.get_mut(name) {
                instance.state = InstanceState::Leaving;
            }
        });
    }
}

impl Shared {
    fn change(self: &Arc<Self>, f: impl FnOnce(&mut IndexMap<String, Instance>)) {
        let instances: Vec<_> = {
            let mut truth = self.truth.lock().unwrap_or_else(|e| e.into_inner());
            f(&mut truth);
            truth.values().cloned().collect()
        };
        let shared = self.clone();
        tokio::spawn(async move {
            sleep(shared.lag).await;
            shared.shown.send_modify(|shown| {
                shown.version += 1;
                shown.instances = instances;
            });
        });
    }

    async fn answer(self: Arc<Self>, req: Request<Bytes>) -> Result<Response<Body>, AnswerLost> {
        if req.uri().path() == "/lab/faults" {
            return Ok(match self.faults.set_json(req.body()) {
                Ok(()) => json_response(StatusCode::OK, &self.faults.get()),
                Err(e) => text_response(StatusCode::BAD_REQUEST, e.to_string()),
            });
        }
        if let (&Method::POST, "/lab/instances") = (req.method(), req.uri().path()) {
            return Ok(match serde_json::from_slice::<Instance>(req.body()) {
                Ok(instance) => {
                    self.change(|truth| {
                        truth.insert(instance.name.to_string(), instance);
                    });
                    empty(StatusCode::NO_CONTENT)
                }
                Err(e) => text_response(StatusCode::BAD_REQUEST, e.to_string()),
            });
        }
        self.faults.thaw().await;
        if self.faults.get().down {
            return Ok(empty(StatusCode::SERVICE_UNAVAILABLE));
        }
        let known = query(&req, "known").unwrap_or(0);
        let wait = Duration::from_millis(query(&req, "wait_ms").unwrap_or(0));
        let mut shown = self.shown.subscribe();
        let news = timeout(wait, shown.wait_for(|s| s.version != known)).await;
        drop(news);
        let listing = self.shown.borrow().clone();
        Ok(json_response(StatusCode::OK, &listing))
    }
}

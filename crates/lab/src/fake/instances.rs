//! A fake of the platform's instance list, which shows changes with a lag.

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
    Body, HttpServer, ResponseLost, empty_response, json_response, query_param, text_response,
};

#[derive(Debug)]
struct Shared {
    faults: Faults,
    lag: Duration,
    current: Mutex<IndexMap<String, Instance>>,
    visible: watch::Sender<Listing>,
}

/// A running fake instance list.
pub struct FakeInstanceList {
    server: HttpServer,
    shared: Arc<Shared>,
}

impl FakeInstanceList {
    /// Starts an empty list that shows changes after `lag`.
    ///
    /// # Errors
    ///
    /// Returns an error if `address` cannot be bound.
    pub async fn start(address: SocketAddr, lag: Duration) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            faults: Faults::default(),
            lag,
            current: Mutex::default(),
            visible: watch::Sender::new(Listing {
                version: 1,
                instances: Vec::new(),
            }),
        });
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

    /// Adds or replaces an instance.
    pub fn put(&self, instance: Instance) {
        self.shared.update(|current| {
            current.insert(instance.name.to_string(), instance);
        });
    }

    /// Removes an instance from the list.
    pub fn remove(&self, name: &str) {
        self.shared.update(|current| {
            current.shift_remove(name);
        });
    }

    /// Marks an instance as leaving.
    pub fn leave(&self, name: &str) {
        self.shared.update(|current| {
            if let Some(instance) = current.get_mut(name) {
                instance.state = InstanceState::Leaving;
            }
        });
    }
}

impl Shared {
    fn update(self: &Arc<Self>, f: impl FnOnce(&mut IndexMap<String, Instance>)) {
        let instances: Vec<_> = {
            let mut current = self.current.lock().unwrap_or_else(|e| e.into_inner());
            f(&mut current);
            current.values().cloned().collect()
        };
        let shared = self.clone();
        tokio::spawn(async move {
            sleep(shared.lag).await;
            shared.visible.send_modify(|visible| {
                visible.version += 1;
                visible.instances = instances;
            });
        });
    }

    async fn handle(self: Arc<Self>, req: Request<Bytes>) -> Result<Response<Body>, ResponseLost> {
        if req.uri().path() == "/lab/faults" {
            return Ok(match self.faults.set_json(req.body()) {
                Ok(()) => json_response(StatusCode::OK, &self.faults.get()),
                Err(e) => text_response(StatusCode::BAD_REQUEST, e.to_string()),
            });
        }
        if let (&Method::POST, "/lab/instances") = (req.method(), req.uri().path()) {
            return Ok(match serde_json::from_slice::<Instance>(req.body()) {
                Ok(instance) => {
                    self.update(|current| {
                        current.insert(instance.name.to_string(), instance);
                    });
                    empty_response(StatusCode::NO_CONTENT)
                }
                Err(e) => text_response(StatusCode::BAD_REQUEST, e.to_string()),
            });
        }
        self.faults.wait_until_thawed().await;
        if self.faults.get().down {
            return Ok(empty_response(StatusCode::SERVICE_UNAVAILABLE));
        }
        let known = query_param(&req, "known").unwrap_or(0);
        let wait = Duration::from_millis(query_param(&req, "wait_ms").unwrap_or(0));
        let mut visible = self.visible.subscribe();
        let changed = timeout(wait, visible.wait_for(|s| s.version != known)).await;
        drop(changed);
        let listing = self.visible.borrow().clone();
        Ok(json_response(StatusCode::OK, &listing))
    }
}

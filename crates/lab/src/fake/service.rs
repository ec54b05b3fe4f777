//! A fake service: responds to each call after a fixed delay and records its runs.

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use rwd_edge::STREAM_HEADER;
use serde_json::json;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

use super::{Faults, Ledger};
use crate::http_server::{
    Body, HttpServer, ResponseLost, empty_response, json_response, text_response,
};

/// Name and speed of a service.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// Target name in the ledger.
    pub name: String,
    /// Duration of a call.
    pub delay: Duration,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            name: "service".into(),
            delay: Duration::from_millis(5),
        }
    }
}

/// A running fake service.
pub struct FakeService {
    server: HttpServer,
    faults: Arc<Faults>,
    ledger: Arc<Ledger>,
}

impl FakeService {
    /// Starts a service that records its runs in `ledger`.
    ///
    /// # Errors
    ///
    /// Returns an error if `address` cannot be bound.
    pub async fn start(
        address: SocketAddr,
        cfg: ServiceSettings,
        ledger: Arc<Ledger>,
    ) -> io::Result<Self> {
        let faults = Arc::new(Faults::default());
        let handler = Arc::new((cfg, faults.clone(), ledger.clone()));
        let server = HttpServer::start(address, move |req| {
            let handler = handler.clone();
            async move { handle(&handler.0, &handler.1, &handler.2, req).await }
        });
        let server = server.await?;
        Ok(Self {
            server,
            faults,
            ledger,
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

async fn handle(
    cfg: &ServiceSettings,
    faults: &Faults,
    ledger: &Ledger,
    req: Request<Bytes>,
) -> Result<Response<Body>, ResponseLost> {
    match req.uri().path() {
        "/lab/counts" => return Ok(json_response(StatusCode::OK, &ledger.counts())),
        "/lab/faults" => {
            return Ok(match faults.set_json(req.body()) {
                Ok(()) => json_response(StatusCode::OK, &faults.get()),
                Err(e) => text_response(StatusCode::BAD_REQUEST, e.to_string()),
            });
        }
        _ => (),
    }
    faults.wait_until_thawed().await;
    if faults.get().down {
        return Ok(empty_response(StatusCode::SERVICE_UNAVAILABLE));
    }
    let name = req
        .headers()
        .get(STREAM_HEADER)
        .and_then(|v| v.to_str().ok());
    let name = name.unwrap_or("unnamed");
    let run = ledger.record_arrival(name, &cfg.name);
    ledger.record_start(name, run);
    sleep(cfg.delay.mul_f64(faults.get().slow)).await;
    faults.wait_until_thawed().await;
    ledger.record_finish(name, run);
    if faults.take_lost_response() {
        return Err(ResponseLost);
    }
    let body: serde_json::Value = serde_json::from_slice(req.body()).unwrap_or_default();
    let response =
        json!({ "ok": true, "path": req.uri().path(), "lab_tag": body["lab_tag"], "run": run + 1 });
    Ok(json_response(StatusCode::OK, &response))
}

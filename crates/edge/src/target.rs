//! HTTP client of targets: model engines and services.

use bytes::Bytes;
use compact_str::{CompactString, ToCompactString};
use futures_util::future::BoxFuture;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use rwd_types::{BlockHash, Tokens};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

use crate::http_client::{get, request};
use crate::{Error, HttpClient, Result};

/// Header with the ID of a request to a target; the ID also names the stream of the response.
pub const STREAM_HEADER: &str = "x-request-id";
/// Timeout of load reports, cache events and cancellations.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request to a target.
#[derive(Clone, Debug)]
pub struct TargetRequest {
    /// Path and query.
    pub path: CompactString,
    /// ID of the request, by which an engine resumes and cancels its stream.
    pub stream: CompactString,
    /// The JSON body.
    pub body: Bytes,
}

/// A target's response: the status, and the body as a sequence of chunks.
#[derive(Debug)]
pub struct TargetResponse {
    /// HTTP status.
    pub status: StatusCode,
    body: Incoming,
}

impl TargetResponse {
    /// Returns the next chunk of the body, or `None` at its regular end.
    ///
    /// # Errors
    ///
    /// [`Error::Broken`] if the connection fails before the end.
    pub async fn next(&mut self) -> Result<Option<Bytes>> {
        loop {
            let frame = match self.body.frame().await {
                Some(frame) => frame.map_err(|e| Error::Broken {
                    message: e.to_compact_string(),
                })?,
                None => return Ok(None),
            };
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
    }
}

/// The load that an engine last reported.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Requests being decoded.
    pub running: u64,
    /// Requests admitted and not yet started.
    pub waiting: u64,
    /// Prompt tokens not yet processed.
    pub prefill_backlog: Tokens,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Position in the engine's sequence of events.
    pub sequence: u64,
    /// The affected block.
    pub block: BlockHash,
    /// Whether it was stored; otherwise it was evicted.
    pub stored: bool,
}

/// Cache events in order; a gap in the sequence numbers means that events are missing.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvents {
    /// Position at which the next poll starts.
    pub next: u64,
    /// The events.
    pub events: Vec<CacheEvent>,
}

/// Calls to model engines and services.
pub trait Targets: Send + Sync {
    /// Sends a request without retries. Only [`Error::Connect`] proves that nothing was sent.
    fn call(
        &self,
        address: SocketAddr,
        call: TargetRequest,
    ) -> BoxFuture<'_, Result<TargetResponse>>;

    /// Resumes a stream after event `last` over a new connection.
    fn resume<'a>(
        &'a self,
        address: SocketAddr,
        stream: &'a str,
        last: Option<u64>,
    ) -> BoxFuture<'a, Result<TargetResponse>>;

    /// Cancels a stream.
    fn cancel<'a>(&'a self, address: SocketAddr, stream: &'a str) -> BoxFuture<'a, Result<()>>;

    /// Fetches the last load report.
    fn load(&self, address: SocketAddr) -> BoxFuture<'_, Result<LoadReport>>;

    /// Fetches cache events from position `from` on.
    fn cache_events(&self, address: SocketAddr, from: u64) -> BoxFuture<'_, Result<CacheEvents>>;
}

/// Calls to targets over HTTP.
#[derive(Clone, Debug, Default)]
pub struct HttpTargets {
    client: HttpClient,
}

fn stream_uri(address: SocketAddr, stream: &str) -> String {
    format!("http://{address}/v1/streams/{stream}")
}

impl Targets for HttpTargets {
    fn call(
        &self,
        address: SocketAddr,
        call: TargetRequest,
    ) -> BoxFuture<'_, Result<TargetResponse>> {
        Box::pin(async move {
            let uri = format!("http://{address}{}", call.path);
            let mut req: Request<Full<Bytes>> = request(Method::POST, &uri, call.body)?;
            let value = call.stream.parse().map_err(|_| Error::Protocol {
                message: "stream name is not a valid header value".into(),
            })?;
            req.headers_mut().insert(STREAM_HEADER, value);
            let json = http::HeaderValue::from_static("application/json");
            req.headers_mut().insert(http::header::CONTENT_TYPE, json);
            let response = self.client.send(req).await?;
            Ok(TargetResponse {
                status: response.status(),
                body: response.into_body(),
            })
        })
    }

    fn resume<'a>(
        &'a self,
        address: SocketAddr,
        stream: &'a str,
        last: Option<u64>,
    ) -> BoxFuture<'a, Result<TargetResponse>> {
        Box::pin(async move {
            let mut uri = stream_uri(address, stream);
            if let Some(last) = last {
                uri.push_str(&format!("?after={last}"));
            }
            let response = self.client.send_fresh(get(&uri)?).await?;
            Ok(TargetResponse {
                status: response.status(),
                body: response.into_body(),
            })
        })
    }

    fn cancel<'a>(&'a self, address: SocketAddr, stream: &'a str) -> BoxFuture<'a, Result<()>> {
        Box::pin(async move {
            let uri = stream_uri(address, stream);
            let req = request(Method::DELETE, &uri, Bytes::new())?;
            let sent = tokio::time::timeout(REPORT_TIMEOUT, self.client.send_fresh(req));
            let response = sent.await.map_err(|_| Error::Timeout)??;
            match response.status() {
                s if s.is_success() => Ok(()),
                s => Err(Error::Status { status: s.as_u16() }),
            }
        })
    }

    fn load(&self, address: SocketAddr) -> BoxFuture<'_, Result<LoadReport>> {
        Box::pin(async move {
            let req = get(&format!("http://{address}/v1/load"))?;
            self.client.json(req, REPORT_TIMEOUT).await
        })
    }

    fn cache_events(&self, address: SocketAddr, from: u64) -> BoxFuture<'_, Result<CacheEvents>> {
        Box::pin(async move {
            let req = get(&format!("http://{address}/v1/cache-events?from={from}"))?;
            self.client.json(req, REPORT_TIMEOUT).await
        })
    }
}

//! Model engines and plain services.

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

/// The header by which the caller of a target names the request and its stream.
pub const STREAM_HEADER: &str = "x-request-id";
/// How long a target may take to answer a question about itself.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request to a target.
#[derive(Clone, Debug)]
pub struct TargetRequest {
    /// Path and query.
    pub path: CompactString,
    /// Names the request; an engine resumes and cancels its stream by this.
    pub stream: CompactString,
    /// The JSON body.
    pub body: Bytes,
}

/// The answer of a target: its status and then its body, part by part.
#[derive(Debug)]
pub struct TargetResponse {
    /// HTTP status.
    pub status: StatusCode,
    body: Incoming,
}

impl TargetResponse {
    /// The next part of the body; `None` at its regular end.
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

/// What an engine last reported of its load.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Requests being decoded.
    pub running: u64,
    /// Requests admitted and not yet begun.
    pub waiting: u64,
    /// Prompt tokens not yet processed.
    pub prefill_backlog: Tokens,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Position in the engine's sequence of events.
    pub sequence: u64,
    /// The block.
    pub block: BlockHash,
    /// Whether it was stored; otherwise it was evicted.
    pub stored: bool,
}

/// Cache events, in order; a gap shows in their sequence numbers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvents {
    /// The position to ask from next time.
    pub next: u64,
    /// The events.
    pub events: Vec<CacheEvent>,
}

/// Model engines and plain services.
pub trait Targets: Send + Sync {
    /// Sends a request once. Only [`Error::Connect`] proves that nothing was sent.
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

    /// Asks for the last load report.
    fn load(&self, address: SocketAddr) -> BoxFuture<'_, Result<LoadReport>>;

    /// Asks for cache events from position `from` on.
    fn cache_events(&self, address: SocketAddr, from: u64) -> BoxFuture<'_, Result<CacheEvents>>;
}

/// Targets over HTTP.
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
                message: "stream name is no header value".into(),
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

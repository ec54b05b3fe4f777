//! HTTP client with pooled and single-use connections.

use bytes::{Bytes, BytesMut};
use compact_str::ToCompactString;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client, Error as ClientError};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::de::DeserializeOwned;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::timeout;

use crate::{Error, Result};

/// Maximum size of a buffered response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// How long an idle connection stays in the pool.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time for one call whose response makes progress: a server may send bytes without end.
const MAX_CALL_TIME: Duration = Duration::from_secs(20);
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// An HTTP client for one external service.
#[derive(Clone, Debug)]
pub struct HttpClient {
    pooled: Client<HttpConnector, Full<Bytes>>,
    unpooled: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let mut builder = Client::builder(TokioExecutor::new());
        // The client must not resend a request by itself: that would break at-most-once execution.
        builder
            .retry_canceled_requests(false)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(TokioTimer::new());
        let pooled = builder.build(connector.clone());
        let unpooled = builder.pool_max_idle_per_host(0).build(connector);
        Self { pooled, unpooled }
    }
}

impl HttpClient {
    /// Sends a request over a pooled or new connection and waits for the response head.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] if nothing was sent, otherwise [`Error::Broken`].
    pub async fn send(&self, req: Request<Full<Bytes>>) -> Result<Response<Incoming>> {
        self.pooled.request(req).await.map_err(classify_error)
    }

    /// As [`HttpClient::send`], over a new connection that is not reused.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::send`].
    pub async fn send_fresh(&self, req: Request<Full<Bytes>>) -> Result<Response<Incoming>> {
        self.unpooled.request(req).await.map_err(classify_error)
    }

    /// Sends a request and parses the complete response as JSON.
    ///
    /// A call that times out closes its connection, so the next call opens a new one.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::send`]; also [`Error::Timeout`], [`Error::Status`] and [`Error::Json`].
    pub async fn json<T: DeserializeOwned>(
        &self,
        req: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<T> {
        let call = async {
            let response = self.send(req).await?;
            match response.status() {
                s if s.is_success() => read_body(response).await,
                s => Err(Error::Status { status: s.as_u16() }),
            }
        };
        let body = timeout(limit, call).await.map_err(|_| Error::Timeout)??;
        Ok(serde_json::from_slice(&body)?)
    }

    /// Sends a request and returns the complete response.
    ///
    /// `limit` is the time until the head of the response, and again between two pieces of its
    /// body: how long the whole body takes depends on its size and on the network. `received` counts
    /// the head and these pieces. A body of more than `max_bytes` is not read to its end.
    ///
    /// As with [`HttpClient::json`], a call that times out closes its connection.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::send`]; also [`Error::Timeout`].
    pub async fn bytes(
        &self,
        req: Request<Full<Bytes>>,
        limit: Duration,
        max_bytes: usize,
        received: &AtomicU64,
    ) -> Result<Response<Bytes>> {
        let call = async {
            let head = timeout(limit, self.send(req)).await;
            let response = head.map_err(|_| Error::Timeout)??;
            received.fetch_add(1, Ordering::Relaxed);
            let (parts, body) = response.into_parts();
            let body = read_body_in_pieces(Limited::new(body, max_bytes), limit, received).await?;
            Ok(Response::from_parts(parts, body))
        };
        timeout(MAX_CALL_TIME, call)
            .await
            .map_err(|_| Error::Timeout)?
    }
}

async fn read_body(response: Response<Incoming>) -> Result<Bytes> {
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
    let collected = body.collect().await.map_err(|e| Error::Broken {
        message: e.to_compact_string(),
    })?;
    Ok(collected.to_bytes())
}

async fn read_body_in_pieces(
    mut body: Limited<Incoming>,
    limit: Duration,
    received: &AtomicU64,
) -> Result<Bytes> {
    let mut buf = BytesMut::new();
    loop {
        let frame = timeout(limit, body.frame()).await;
        received.fetch_add(1, Ordering::Relaxed);
        match frame.map_err(|_| Error::Timeout)? {
            Some(Ok(frame)) => buf.extend_from_slice(&frame.into_data().unwrap_or_default()),
            Some(Err(e)) => {
                return Err(Error::Broken {
                    message: e.to_compact_string(),
                });
            }
            None => return Ok(buf.freeze()),
        }
    }
}

fn classify_error(e: ClientError) -> Error {
    let message = e.to_compact_string();
    match e.is_connect() {
        true => Error::Connect { message },
        false => Error::Broken { message },
    }
}

/// Builds a GET request.
pub(crate) fn get(uri: &str) -> Result<Request<Full<Bytes>>> {
    request(http::Method::GET, uri, Bytes::new())
}

/// Builds a request with a body.
pub(crate) fn request(
    method: http::Method,
    uri: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>> {
    let built = Request::builder()
        .method(method)
        .uri(uri)
        .body(Full::new(body));
    built.map_err(|e| Error::Protocol {
        message: e.to_compact_string(),
    })
}

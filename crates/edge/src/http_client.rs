//! HTTP calls over pooled or fresh connections.

use bytes::Bytes;
use compact_str::ToCompactString;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client, Error as ClientError};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::de::DeserializeOwned;
use std::time::Duration;
use tokio::time::timeout;

use crate::{Error, Result};

/// Largest answer that is read as a whole, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// How long an unused connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// An HTTP client for one edge.
#[derive(Clone, Debug)]
pub struct HttpClient {
    pooled: Client<HttpConnector, Full<Bytes>>,
    fresh: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let mut builder = Client::builder(TokioExecutor::new());
        // A request is never sent twice behind our back: at most once is ours to keep.
        builder
            .retry_canceled_requests(false)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(TokioTimer::new());
        let pooled = builder.build(connector.clone());
        let fresh = builder.pool_max_idle_per_host(0).build(connector);
        Self { pooled, fresh }
    }
}

impl HttpClient {
    /// Sends a request over any connection and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] if nothing was sent, otherwise [`Error::Broken`].
    pub async fn send(&self, req: Request<Full<Bytes>>) -> Result<Response<Incoming>> {
        self.pooled.request(req).await.map_err(failure)
    }

    /// As [`HttpClient::send`], over a connection that nothing has used before.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::send`].
    pub async fn send_fresh(&self, req: Request<Full<Bytes>>) -> Result<Response<Incoming>> {
        self.fresh.request(req).await.map_err(failure)
    }

    /// Sends a request and reads its whole answer as JSON.
    ///
    /// A call that gets no answer in time is not repeated on the same connection: the next
    /// call opens a new one.
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

    /// Sends a request and reads its status and its whole answer.
    ///
    /// As with [`HttpClient::json`], a call that gets no answer in time closes its connection.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::send`]; also [`Error::Timeout`].
    pub async fn bytes(
        &self,
        req: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes)> {
        let call = async {
            let response = self.send(req).await?;
            Ok((response.status(), read_body(response).await?))
        };
        timeout(limit, call).await.map_err(|_| Error::Timeout)?
    }
}

async fn read_body(response: Response<Incoming>) -> Result<Bytes> {
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
    let collected = body.collect().await.map_err(|e| Error::Broken {
        message: e.to_compact_string(),
    })?;
    Ok(collected.to_bytes())
}

fn failure(e: ClientError) -> Error {
    let message = e.to_compact_string();
    match e.is_connect() {
        true => Error::Connect { message },
        false => Error::Broken { message },
    }
}

/// A GET request.
pub(crate) fn get(uri: &str) -> Result<Request<Full<Bytes>>> {
    request(http::Method::GET, uri, Bytes::new())
}

/// A request with a body.
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

//! A small HTTP/1.1 server for the fakes.

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

/// The response body of a fake.
pub type Body = UnsyncBoxBody<Bytes, Infallible>;

/// Makes the server close the connection instead of sending a response.
#[derive(Clone, Copy, Debug)]
pub struct ResponseLost;

impl std::fmt::Display for ResponseLost {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("response lost")
    }
}

impl std::error::Error for ResponseLost {}

/// A running server; dropping it closes all of its connections.
pub struct HttpServer {
    address: SocketAddr,
    accept_loop: tokio::task::JoinHandle<()>,
}

impl HttpServer {
    /// Listens on `address` and passes every request to `handler`.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start<H, F>(address: SocketAddr, handler: H) -> io::Result<Self>
    where
        H: Fn(Request<Bytes>) -> F + Send + Sync + 'static,
        F: Future<Output = Result<Response<Body>, ResponseLost>> + Send + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let handler = Arc::new(handler);
        let accept_loop = tokio::spawn(async move {
            // Dropping the set, as aborting this task does, closes the connections.
            let mut connections = JoinSet::new();
            while let Ok((tcp, _)) = listener.accept().await {
                let handler = handler.clone();
                connections.spawn(async move {
                    let service = service_fn(move |req| handle(req, handler.clone()));
                    let _ = tcp.set_nodelay(true);
                    // A client that disconnects is not an error of this server.
                    let _ = http1::Builder::new()
                        .serve_connection(TokioIo::new(tcp), service)
                        .await;
                });
                while connections.try_join_next().is_some() {}
            }
        });
        Ok(Self {
            address,
            accept_loop,
        })
    }

    /// The address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.accept_loop.abort();
    }
}

async fn handle<H, F>(
    req: Request<Incoming>,
    handler: Arc<H>,
) -> Result<Response<Body>, ResponseLost>
where
    H: Fn(Request<Bytes>) -> F,
    F: Future<Output = Result<Response<Body>, ResponseLost>>,
{
    let (parts, body) = req.into_parts();
    let body = body.collect().await.map_err(|_| ResponseLost)?.to_bytes();
    handler(Request::from_parts(parts, body)).await
}

/// Creates a response with a JSON body.
pub fn json_response(status: StatusCode, value: &impl serde::Serialize) -> Response<Body> {
    let text = serde_json::to_string(value).unwrap_or_default();
    let mut response = text_response(status, text);
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Creates a response with a text body.
pub fn text_response(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Full::new(text.into()).boxed_unsync());
    *response.status_mut() = status;
    response
}

/// Creates a response without a body.
pub fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Empty::new().boxed_unsync());
    *response.status_mut() = status;
    response
}

/// Parses a query parameter; `None` if it is absent or malformed.
pub(crate) fn query_param<T: std::str::FromStr>(req: &Request<Bytes>, name: &str) -> Option<T> {
    let pairs = req
        .uri()
        .query()?
        .split('&')
        .filter_map(|p| p.split_once('='));
    let mut values = pairs.filter(|(n, _)| *n == name).map(|(_, v)| v);
    values.next()?.parse().ok()
}

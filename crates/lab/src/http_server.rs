//! A small HTTP server for the stand-ins.

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

/// The body of a stand-in's answer.
pub type Body = UnsyncBoxBody<Bytes, Infallible>;

/// An answer that is never given: the connection is closed instead.
#[derive(Clone, Copy, Debug)]
pub struct AnswerLost;

impl std::fmt::Display for AnswerLost {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("answer lost")
    }
}

impl std::error::Error for AnswerLost {}

/// A server on loopback; dropping it closes all of its connections.
pub struct HttpServer {
    address: SocketAddr,
    accept: tokio::task::JoinHandle<()>,
}

impl HttpServer {
    /// Listens on `address` and answers with `handler`.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be listened on.
    pub async fn start<H, F>(address: SocketAddr, handler: H) -> io::Result<Self>
    where
        H: Fn(Request<Bytes>) -> F + Send + Sync + 'static,
        F: Future<Output = Result<Response<Body>, AnswerLost>> + Send + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let handler = Arc::new(handler);
        let accept = tokio::spawn(async move {
            // The connections end with the set, that is with this task.
            let mut connections = JoinSet::new();
            while let Ok((tcp, _)) = listener.accept().await {
                let handler = handler.clone();
                connections.spawn(async move {
                    let service = service_fn(move |req| call(req, handler.clone()));
                    let _ = tcp.set_nodelay(true);
                    // A caller that goes away is not this server's failure.
                    let _ = http1::Builder::new()
                        .serve_connection(TokioIo::new(tcp), service)
                        .await;
                });
                while connections.try_join_next().is_some() {}
            }
        });
        Ok(Self { address, accept })
    }

    /// Where the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.accept.abort();
    }
}

async fn call<H, F>(req: Request<Incoming>, handler: Arc<H>) -> Result<Response<Body>, AnswerLost>
where
    H: Fn(Request<Bytes>) -> F,
    F: Future<Output = Result<Response<Body>, AnswerLost>>,
{
    let (parts, body) = req.into_parts();
    let body = body.collect().await.map_err(|_| AnswerLost)?.to_bytes();
    handler(Request::from_parts(parts, body)).await
}

/// An answer with a JSON body.
pub fn json_response(status: StatusCode, value: &impl serde::Serialize) -> Response<Body> {
    let text = serde_json::to_string(value).unwrap_or_default();
    let mut response = text_response(status, text);
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// An answer with a text body.
pub fn text_response(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Full::new(text.into()).boxed_unsync());
    *response.status_mut() = status;
    response
}

/// An answer without a body.
pub fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Empty::new().boxed_unsync());
    *response.status_mut() = status;
    response
}

/// The value of a query parameter, if it is there and of the right form.
pub(crate) fn query<T: std::str::FromStr>(req: &Request<Bytes>, name: &str) -> Option<T> {
    let pairs = req
        .uri()
        .query()?
        .split('&')
        .filter_map(|p| p.split_once('='));
    let mut values = pairs.filter(|(n, _)| *n == name).map(|(_, v)| v);
    values.next()?.parse().ok()
}

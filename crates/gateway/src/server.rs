//! Accepts callers; one task for each connection.

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{debug, warn};
use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::gateway::Body;

/// Pause after a failed accept, which mostly means that files have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// How long a connection may be idle, or take for a head. Longer than any caller keeps one, so
/// that none is closed while a request is on its way.
const IDLE_TIMEOUT: Duration = Duration::from_secs(90);
/// Most headers of one request.
const MAX_HEADERS: usize = 128;

/// How far a stop has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StopPhase {
    /// No stop.
    Running,
    /// Answers ask callers to move on.
    Leaving,
    /// Idle connections are closed.
    Closing,
}

/// Accepts connections until the task is dropped.
pub(crate) async fn accept<F, Fut>(
    listener: TcpListener,
    header_bytes: usize,
    stop: watch::Receiver<StopPhase>,
    answer: F,
) where
    F: Fn(Request<Incoming>) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    let answer = Arc::new(answer);
    loop {
        match listener.accept().await {
            Ok((tcp, _)) => {
                tokio::spawn(connection(tcp, header_bytes, stop.clone(), answer.clone()));
            }
            Err(e) => {
                warn!(event = "accept", error:% = e; "cannot accept a caller");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection<F, Fut>(
    tcp: TcpStream,
    header_bytes: usize,
    mut stop: watch::Receiver<StopPhase>,
    answer: Arc<F>,
) where
    F: Fn(Request<Incoming>) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    if let Err(e) = tcp.set_nodelay(true) {
        debug!(error:% = e; "caller left at once");
        return;
    }
    let leaving = stop.clone();
    let service = service_fn(move |req| {
        let answered = answer(req);
        let leaving = leaving.clone();
        async move {
            let mut response = answered.await;
            if *leaving.borrow() != StopPhase::Running {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .max_buf_size(header_bytes.max(8 << 10))
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(tcp), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        result = connection.as_mut() => Some(result),
        // The sender lives as long as the node.
        _ = stop.wait_for(|s| *s == StopPhase::Closing) => None,
    };
    let result = match ended {
        Some(result) => result,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = result {
        debug!(error:% = e; "caller connection ended");
    }
}

/// A short answer of the node itself.
pub(crate) fn plain_response(
    status: StatusCode,
    content_type: &'static str,
    body: Bytes,
) -> Response<Body> {
    let body = Full::new(body).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    let value = HeaderValue::from_static(content_type);
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

//! Accepts callers' connections and serves each in a task of its own.

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{debug, warn};
use socket2::SockRef;
use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::gateway::Body;
use crate::held_stream::Hangup;

/// Pause after a failed accept, which mostly means that file descriptors are exhausted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Maximum number of headers in one request.
const MAX_HEADERS: usize = 128;

/// The phase of a graceful shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StopPhase {
    /// No shutdown is in progress.
    Running,
    /// Responses ask callers to close their connections.
    Leaving,
    /// Idle connections are closed.
    Closing,
}

/// Send buffer of a caller's connection in the kernel where memory is limited, in bytes. Linux
/// doubles it.
pub(crate) const SEND_BUFFER_BYTES: usize = 64 << 10;

/// Bounds of what one connection holds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SocketLimits {
    /// Largest head of a request, in bytes.
    pub header_bytes: usize,
    /// Size of the send buffer, in bytes; the system's own if none.
    pub send_buffer: Option<usize>,
    /// Timeout for an idle connection, and for reading the next head.
    pub idle: Duration,
}

/// Counts open connections: those that have not ended, or whose last response is not yet written.
#[derive(Clone, Debug, Default)]
pub(crate) struct OpenConnections(Arc<AtomicUsize>);

impl OpenConnections {
    /// Number of open connections.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    fn open(&self) -> OpenGuard {
        self.0.fetch_add(1, Ordering::Relaxed);
        OpenGuard(self.0.clone())
    }
}

/// Counts a connection as open until dropped.
struct OpenGuard(Arc<AtomicUsize>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Accepts connections until the task is dropped; `limits` yields the bounds of the next one.
pub(crate) async fn accept<F, Fut>(
    listener: TcpListener,
    limits: impl Fn() -> SocketLimits,
    open: OpenConnections,
    stop: watch::Receiver<StopPhase>,
    handle: F,
) where
    F: Fn(Request<Incoming>) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    let handle = Arc::new(handle);
    loop {
        match listener.accept().await {
            Ok((tcp, _)) => {
                let guard = open.open();
                let served = serve(tcp, limits(), stop.clone(), handle.clone());
                tokio::spawn(async move {
                    let _guard = guard;
                    served.await;
                });
            }
            Err(e) => {
                warn!(event = "accept", error:% = e; "cannot accept a connection");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve<F, Fut>(
    tcp: TcpStream,
    limits: SocketLimits,
    mut stop: watch::Receiver<StopPhase>,
    handle: Arc<F>,
) where
    F: Fn(Request<Incoming>) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    if let Err(e) = tcp.set_nodelay(true) {
        debug!(error:% = e; "caller disconnected during accept");
        return;
    }
    let socket = SockRef::from(&tcp);
    if let Some(Err(e)) = limits.send_buffer.map(|n| socket.set_send_buffer_size(n)) {
        warn!(event = "socket", error:% = e; "cannot limit a send buffer");
    }
    let hangup = Hangup::default();
    let attached = hangup.clone();
    let phase = stop.clone();
    let service = service_fn(move |mut req: Request<Incoming>| {
        attached.attach(req.extensions_mut());
        let response = handle(req);
        let phase = phase.clone();
        async move {
            let mut response = response.await;
            if *phase.borrow() != StopPhase::Running {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle)
        .max_buf_size(limits.header_bytes.max(8 << 10))
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(tcp), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        result = connection.as_mut() => Some(result),
        // The sender lives as long as the node.
        _ = stop.wait_for(|s| *s == StopPhase::Closing) => None,
        () = hangup.requested() => return,
    };
    let result = match ended {
        Some(result) => result,
        None => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                result = connection => result,
                () = hangup.requested() => return,
            }
        }
    };
    if let Err(e) = result {
        debug!(error:% = e; "caller connection failed");
    }
}

/// A short response generated by the node itself.
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

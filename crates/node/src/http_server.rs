//! HTTP server for callers and operators, with one task per connection.

use bytes::Bytes;
use http::{HeaderValue, Request, Response, Version, header};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use log::{debug, warn};
use rwd_edge::{BodyError, receive_body};
use rwd_entry::{Api, Caller, ResponseBody, problem_response};
use rwd_types::{Problem, ProblemKind};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::admin::Admin;
use crate::node::Shared;

/// Delay after a failed accept, which usually means that file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Timeout for receiving a request's head, and again for its body.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(10);

pub(crate) async fn serve(listener: TcpListener, api: Api, shared: Arc<Shared>) {
    let admin = Admin::new(shared.clone());
    loop {
        match listener.accept().await {
            Ok((tcp, _)) => {
                let (api, admin, shared) = (api.clone(), admin.clone(), shared.clone());
                tokio::spawn(serve_connection(tcp, api, admin, shared));
            }
            Err(e) => {
                warn!(error:% = e; "cannot accept a connection");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(tcp: TcpStream, api: Api, admin: Admin, shared: Arc<Shared>) {
    if tcp.set_nodelay(true).is_err() {
        return;
    }
    let mut closing = shared.closing.subscribe();
    let cx = Arc::new((api, admin, shared));
    let service = service_fn(move |req| {
        let cx = cx.clone();
        async move { handle(req, &cx.0, &cx.1, &cx.2).await }
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(RECEIVE_TIMEOUT);
    builder.http2().timer(TokioTimer::new());
    let connection = builder.serve_connection(TokioIo::new(tcp), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        result = connection.as_mut() => Some(result),
        () = wait_closing(&mut closing) => None,
    };
    let result = match ended {
        Some(result) => result,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = result {
        debug!(error:% = e; "connection of a caller failed");
    }
}

async fn wait_closing(closing: &mut watch::Receiver<bool>) {
    // Cannot fail: the sender lives as long as the node.
    let _ = closing.wait_for(|closing| *closing).await;
}

async fn handle(
    req: Request<Incoming>,
    api: &Api,
    admin: &Admin,
    shared: &Shared,
) -> Result<Response<ResponseBody>, Infallible> {
    let version = req.version();
    let mut response = match req.uri().path().starts_with("/v1/") {
        true => handle_call(req, api, shared).await,
        false => admin.handle(req).await,
    };
    if version < Version::HTTP_2 && *shared.leaving.borrow() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response)
}

async fn handle_call(req: Request<Incoming>, api: &Api, shared: &Shared) -> Response<ResponseBody> {
    let (parts, body) = req.into_parts();
    match receive(body, shared.cfg.max_body.0 as usize).await {
        Ok(body) => api.handle(parts, body, Caller::External).await,
        Err(problem) => problem_response(&problem, None),
    }
}

async fn receive(body: Incoming, max_bytes: usize) -> Result<Bytes, Problem> {
    let received = receive_body(body, max_bytes, RECEIVE_TIMEOUT).await;
    received.map_err(|e| match e {
        BodyError::TooLarge => {
            let detail = format!("body: at most {max_bytes} bytes are accepted");
            Problem::not_run(ProblemKind::TooLarge, detail)
        }
        BodyError::Broken => Problem::not_run(ProblemKind::BadRequest, "body: broke off"),
        BodyError::TooSlow => Problem::not_run(ProblemKind::BadRequest, "body: took too long"),
    })
}

//! HTTP interface for operators: health, metrics, status and publishing.

use bytes::Bytes;
use compact_str::CompactString;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::Service;
use hyper_util::service::TowerToHyperService;
use rwd_control::{Edit, Error, PublishId};
use rwd_entry::ResponseBody;
use rwd_types::Revision;
use serde::{Deserialize, Serialize};
use std::convert::Infallible;
use std::sync::Arc;
use warp::Filter;
use warp::filters::BoxedFilter;
use warp::reply::{Response as Reply, json, with_status};

use crate::node::Shared;

/// Maximum size of a publish request, in bytes.
const MAX_PUBLISH_BYTES: u64 = 16 << 20;

#[derive(Deserialize)]
struct PublishRequest {
    id: PublishId,
    by: CompactString,
    #[serde(default)]
    base: Option<Revision>,
    edit: Edit,
}

#[derive(Serialize)]
struct ErrorResponse {
    error: String,
    in_force: Revision,
}

/// Serves the requests of operators.
#[derive(Clone)]
pub(crate) struct Admin {
    filter: BoxedFilter<(Reply,)>,
}

impl Admin {
    pub fn new(shared: Arc<Shared>) -> Self {
        let filter = public_routes(&shared)
            .or(operator_routes(&shared))
            .unify()
            .boxed();
        Self { filter }
    }

    pub async fn handle(&self, req: Request<Incoming>) -> Response<ResponseBody> {
        let (parts, body) = req.into_parts();
        // warp requires a `Sync` body, so it is buffered; operators' requests are small.
        let body = http_body_util::Limited::new(body, MAX_PUBLISH_BYTES as usize)
            .collect()
            .await;
        let body = body.map(|b| b.to_bytes()).unwrap_or_default();
        let req = Request::from_parts(parts, Full::new(body));
        let service = TowerToHyperService::new(warp::service(self.filter.clone()));
        let reply: Result<Reply, Infallible> = service.call(req).await;
        let Ok(reply) = reply;
        let (parts, body) = reply.into_parts();
        let body = body
            .collect()
            .await
            .map(|b| b.to_bytes())
            .unwrap_or_default();
        Response::from_parts(parts, full_body(body))
    }
}

fn full_body(body: Bytes) -> ResponseBody {
    Full::new(body).boxed_unsync()
}

// Routes that need no token.
fn public_routes(shared: &Arc<Shared>) -> BoxedFilter<(Reply,)> {
    let s = shared.clone();
    let health = warp::path!("healthz").map(move || health(&s));
    let s = shared.clone();
    let metrics = warp::path!("metrics").map(move || match s.metrics.text() {
        Ok(text) => reply(text),
        Err(e) => reply(with_status(
            e.to_string(),
            StatusCode::INTERNAL_SERVER_ERROR,
        )),
    });
    warp::get().and(health.or(metrics).unify()).boxed()
}

fn health(shared: &Shared) -> Reply {
    let revision = shared.control.in_force().revision;
    let leaving = *shared.leaving.borrow();
    let status = match revision {
        Revision(0) => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::OK,
    };
    let body = serde_json::json!({ "revision": revision, "leaving": leaving });
    reply(with_status(json(&body), status))
}

// Routes that need the operator token.
fn operator_routes(shared: &Arc<Shared>) -> BoxedFilter<(Reply,)> {
    let s = shared.clone();
    let authorized = warp::header::optional::<String>("authorization").and_then(
        move |header: Option<String>| {
            let token = header.as_deref().and_then(|h| h.strip_prefix("Bearer "));
            let valid = token.is_some_and(|t| s.cfg.operator_token.matches(t));
            async move {
                if valid {
                    Ok(())
                } else {
                    Err(warp::reject::not_found())
                }
            }
        },
    );
    let s = shared.clone();
    let status = warp::path!("admin" / "v1" / "status")
        .and(warp::get())
        .map(move || reply(json(&s.status())));
    let s = shared.clone();
    let config = warp::path!("admin" / "v1" / "config")
        .and(warp::get())
        .map(move || reply(json(&s.control.snapshot())));
    let s = shared.clone();
    let publish = warp::path!("admin" / "v1" / "publish")
        .and(warp::post())
        .and(warp::body::content_length_limit(MAX_PUBLISH_BYTES))
        .and(warp::body::bytes())
        .then(move |body: Bytes| publish(s.clone(), body));
    let routes = status.or(config).unify().or(publish).unify();
    authorized.untuple_one().and(routes).boxed()
}

async fn publish(shared: Arc<Shared>, body: Bytes) -> Reply {
    let mut de = serde_json::Deserializer::from_slice(&body);
    let req: PublishRequest = match serde_path_to_error::deserialize(&mut de) {
        Ok(req) => req,
        Err(e) => return error_reply(&shared, StatusCode::BAD_REQUEST, &e),
    };
    let PublishRequest { id, by, base, edit } = req;
    match shared.control.publish(id, by, base, &edit).await {
        Ok(published) => reply(json(&published)),
        Err(e @ Error::Config(_)) => error_reply(&shared, StatusCode::UNPROCESSABLE_ENTITY, &e),
        Err(e @ Error::Conflict { .. }) => error_reply(&shared, StatusCode::CONFLICT, &e),
        Err(e @ Error::UnknownOutcome) => error_reply(&shared, StatusCode::GATEWAY_TIMEOUT, &e),
        Err(e @ (Error::Log(_) | Error::Record(_))) => {
            error_reply(&shared, StatusCode::SERVICE_UNAVAILABLE, &e)
        }
    }
}

fn error_reply(shared: &Shared, status: StatusCode, e: &impl ToString) -> Reply {
    let body = ErrorResponse {
        error: e.to_string(),
        in_force: shared.control.in_force().revision,
    };
    reply(with_status(json(&body), status))
}

fn reply(reply: impl warp::Reply) -> Reply {
    reply.into_response()
}

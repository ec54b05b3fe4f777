//! HTTP API for callers: addresses, completions and services.

use bytes::Bytes;
use compact_str::format_compact;
use http::request::Parts;
use http::{Method, Response, StatusCode};
use rwd_config::Configuration;
use rwd_types::{Incarnation, Problem, ProblemKind, WorkspaceName, ZoneName};
use rwd_wire::MemberUpdate;
use serde_json::json;
use std::sync::Arc;

use crate::body::json as json_response;
use crate::call::{bad_request, header};
use crate::incoming::IncomingRequest;
use crate::problem_json::problem_response;
use crate::{HomeNode, ResponseBody, addresses};

pub(crate) const KEY_HEADER: &str = "idempotency-key";
const SERVICES_PREFIX: &str = "/v1/services/";

type Result<T> = std::result::Result<T, Problem>;

/// Origin of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Caller {
    /// A caller outside the cluster.
    External,
    /// A node that forwards a request, which must not be forwarded again.
    Peer,
}

/// HTTP API of a home node.
#[derive(Clone)]
pub struct Api {
    home: Arc<HomeNode>,
}

#[derive(Clone, Copy)]
pub(crate) enum Route<'a> {
    Addresses,
    Completion,
    Service(&'a str),
}

impl Api {
    /// Creates the API of `home`.
    pub fn new(home: Arc<HomeNode>) -> Self {
        Self { home }
    }

    /// The home node that the API belongs to.
    pub fn home(&self) -> &Arc<HomeNode> {
        &self.home
    }

    /// Handles one request.
    pub async fn handle(
        &self,
        parts: Parts,
        body: Bytes,
        caller: Caller,
    ) -> Response<ResponseBody> {
        let key = parts.headers.get(KEY_HEADER).and_then(|v| v.to_str().ok());
        let key = key.map(str::to_owned);
        match self.route(&parts, body, caller).await {
            Ok(response) => response,
            Err(problem) => problem_response(&problem, key.as_deref()),
        }
    }

    async fn route(
        &self,
        parts: &Parts,
        body: Bytes,
        caller: Caller,
    ) -> Result<Response<ResponseBody>> {
        let route = match (&parts.method, parts.uri.path()) {
            (&Method::GET, "/v1/addresses") => Route::Addresses,
            (&Method::POST, "/v1/completions") => Route::Completion,
            (&Method::POST, path) if path.starts_with(SERVICES_PREFIX) => {
                Route::Service(&path[SERVICES_PREFIX.len()..])
            }
            (method, path) => {
                let detail = format_compact!("path: no {method} {path}");
                return Err(Problem::not_run(ProblemKind::NotFound, detail));
            }
        };
        let in_force = self.home.deps.control.in_force();
        let workspace = authorize(&in_force.cfg, parts)?;
        match route {
            Route::Addresses => self.addresses(&in_force.cfg, &workspace, parts),
            Route::Completion | Route::Service(_) => {
                let request = IncomingRequest {
                    home: &self.home,
                    cfg: &in_force.cfg,
                    workspace: &workspace,
                    route,
                    parts,
                    body: &body,
                    caller,
                };
                request.handle().await
            }
        }
    }

    fn addresses(
        &self,
        cfg: &Configuration,
        workspace: &WorkspaceName,
        parts: &Parts,
    ) -> Result<Response<ResponseBody>> {
        let query = |name: &str| {
            let pairs = parts.uri.query().unwrap_or("").split('&');
            let found = pairs
                .filter_map(|p| p.split_once('='))
                .find(|(n, _)| *n == name);
            found.map(|(_, value)| value)
        };
        if query("workspace").is_some_and(|w| w != workspace.as_str()) {
            return Err(bad_request(
                "query `workspace`: the key belongs to another workspace",
            ));
        }
        let zone: ZoneName = match query("zone").map(str::parse) {
            Some(Ok(zone)) => zone,
            Some(Err(e)) => return Err(bad_request(&format_compact!("query `zone`: {e}"))),
            None => self.home.deps.zone.clone(),
        };
        let view = self.home.deps.directory.view();
        let homes = addresses::node_subset(cfg, &view, workspace);
        let homes = addresses::order_for_zone(homes, &zone, self.home.next_rotation());
        // A prefix names its node's incarnation, which is unknown before its first gossip.
        let has_incarnation = |m: &&MemberUpdate| m.incarnation > Incarnation(0);
        let (homes, without_incarnation): (Vec<_>, Vec<_>) =
            homes.into_iter().partition(has_incarnation);
        let Some(home) = homes.first() else {
            let detail = "every node is on its way out";
            return Err(Problem::not_run(ProblemKind::Unavailable, detail));
        };
        let prefix = addresses::issue_prefix(home, &view);
        let listed: Vec<_> = homes
            .iter()
            .chain(&without_incarnation)
            .map(|m| m.http.to_string())
            .collect();
        Ok(json_response(
            StatusCode::OK,
            &json!({
                "addresses": listed,
                "ttl_ms": self.home.cfg.address_ttl.0,
                "key_prefix": prefix.seal(&self.home.deps.secret, workspace).as_str(),
            }),
        ))
    }
}

fn authorize(cfg: &Configuration, parts: &Parts) -> Result<WorkspaceName> {
    let value = header(&parts.headers, "authorization")?;
    let key = value.and_then(|v| v.strip_prefix("Bearer "));
    let found = key.and_then(|key| cfg.workspace_by_key(key));
    found.map(|(name, _)| name.clone()).ok_or_else(|| {
        let detail = "header `authorization`: no workspace has this key";
        Problem::not_run(ProblemKind::Unauthorized, detail)
    })
}

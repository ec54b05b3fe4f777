//! The interface to callers: addresses, completions and plain services.

use bytes::Bytes;
use compact_str::format_compact;
use http::request::Parts;
use http::{HeaderValue, Method, Response, StatusCode};
use rwd_config::Configuration;
use rwd_types::{Incarnation, KeyError, Problem, ProblemKind, RequestKey, WorkspaceName, ZoneName};
use rwd_wire::{MemberUpdate, Message, Verdict};
use serde_json::json;
use std::sync::Arc;
use tokio::time::timeout;

use crate::body::{KEEPALIVE_PERIOD, events, json as json_response, with_type};
use crate::call::{Kind, Work, bad, fingerprint, header};
use crate::problem_json::problem_response;
use crate::{Admission, Answer, End, Follow, Home, ResponseBody, addresses};

const KEY_HEADER: &str = "idempotency-key";
const LAST_EVENT_HEADER: &str = "last-event-id";
/// Tells the caller under which key its request runs.
const REQUEST_KEY_HEADER: &str = "x-request-key";
const SERVICES: &str = "/v1/services/";

type Result<T> = std::result::Result<T, Problem>;

/// Who makes a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Caller {
    /// A caller of the system.
    Outside,
    /// A node that passes a call on; it is not passed on again.
    Peer,
}

/// The interface to callers.
#[derive(Clone)]
pub struct Api {
    home: Arc<Home>,
}

enum Route<'a> {
    Addresses,
    Completion,
    Service(&'a str),
}

impl Api {
    /// The interface of `home`.
    pub fn new(home: Arc<Home>) -> Self {
        Self { home }
    }

    /// The home that the interface belongs to.
    pub fn home(&self) -> &Arc<Home> {
        &self.home
    }

    /// Answers one call.
    pub async fn answer(
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
            (&Method::POST, path) if path.starts_with(SERVICES) => {
                Route::Service(&path[SERVICES.len()..])
            }
            (method, path) => {
                let detail = format_compact!("path: no {method} {path}");
                return Err(Problem::not_run(ProblemKind::NotFound, detail));
            }
        };
        let in_force = self.home.parts.control.in_force();
        let workspace = authorize(&in_force.cfg, parts)?;
        match route {
            Route::Addresses => self.addresses(&in_force.cfg, &workspace, parts),
            Route::Completion | Route::Service(_) => {
                self.request(&in_force.cfg, workspace, &route, parts, body, caller)
                    .await
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
            return Err(bad(
                "query `workspace`: the key belongs to another workspace",
            ));
        }
        let zone: ZoneName = match query("zone").map(str::parse) {
            Some(Ok(zone)) => zone,
            Some(Err(e)) => return Err(bad(&format_compact!("query `zone`: {e}"))),
            None => self.home.parts.zone.clone(),
        };
        let view = self.home.parts.directory.view();
        let homes = addresses::home_set(cfg, &view, workspace);
        let homes = addresses::for_caller(homes, &zone, self.home.next_turn());
        // A node that has not spoken yet has no known life to name in a prefix.
        let speaks = |m: &&MemberUpdate| m.incarnation > Incarnation(0);
        let (homes, silent): (Vec<_>, Vec<_>) = homes.into_iter().partition(speaks);
        let Some(home) = homes.first() else {
            let detail = "every node is on its way out";
            return Err(Problem::not_run(ProblemKind::Unavailable, detail));
        };
        let prefix = addresses::issue(home, &view);
        let listed: Vec<_> = homes
            .iter()
            .chain(&silent)
            .map(|m| m.http.to_string())
            .collect();
        Ok(json_response(
            StatusCode::OK,
            &json!({
                "addresses": listed,
                "ttl_ms": self.home.cfg.address_ttl.0,
                "key_prefix": prefix.seal(&self.home.parts.secret, workspace).as_str(),
            }),
        ))
    }

    async fn request(
        &self,
        cfg: &Configuration,
        workspace: WorkspaceName,
        route: &Route<'_>,
        parts: &Parts,
        body: Bytes,
        caller: Caller,
    ) -> Result<Response<ResponseBody>> {
        let last = last_event(parts)?;
        let key = match header(&parts.headers, KEY_HEADER)? {
            Some(text) => {
                RequestKey::open(text, &self.home.parts.secret, &workspace).map_err(bad_key)?
            }
            None => match self.elsewhere(caller) {
                // A node on its way out passes calls that need not run here on to others.
                Some(peer) => match self.home.forward(&peer, parts, &body, None).await {
                    Ok(response) => return Ok(response),
                    Err(_) => return Err(lost(None)),
                },
                None => self.home.own_key(),
            },
        };
        if !self.is_home(&key) {
            return self
                .at_home(cfg, &workspace, route, parts, body, key, caller)
                .await;
        }
        self.at_this_home(cfg, &workspace, route, parts, body, key, last)
            .await
    }

    fn is_home(&self, key: &RequestKey) -> bool {
        let directory = &self.home.parts.directory;
        key.prefix.home == self.home.parts.instance && directory.is_own_life(key.prefix.incarnation)
    }

    fn elsewhere(&self, caller: Caller) -> Option<rwd_types::InstanceName> {
        if caller == Caller::Peer || !self.home.is_leaving() {
            return None;
        }
        let cfg = self.home.parts.control.in_force().cfg;
        let view = self.home.parts.directory.view();
        let staying = view
            .staying()
            .filter(|m| !cfg.drained_instances.contains(&m.name));
        let others = staying.filter(|m| m.name != self.home.parts.instance);
        let others: Vec<_> = others.collect();
        let turn = self.home.next_turn() as usize;
        others
            .get(turn % others.len().max(1))
            .map(|m| m.name.clone())
    }

    #[expect(clippy::too_many_arguments, reason = "one call's context, used once")]
    async fn at_this_home(
        &self,
        cfg: &Configuration,
        workspace: &WorkspaceName,
        route: &Route<'_>,
        parts: &Parts,
        body: Bytes,
        key: RequestKey,
        last: Option<u64>,
    ) -> Result<Response<ResponseBody>> {
        let path = parts.uri.path();
        // What the caller has to present to read on.
        let prefix = key.prefix.seal(&self.home.parts.secret, workspace);
        let sealed = format!("{prefix}.{}", key.sequence);
        let reading_on = body.is_empty() && last.is_some();
        let fingerprint = (!reading_on).then(|| fingerprint(path, &body));
        let answer = match self.home.keys.admit(workspace, &key, fingerprint) {
            Admission::New(answer) => {
                let follow = answer.follow(last);
                self.start(cfg, workspace, route, parts, &body, &key, &answer);
                return respond(route, &body, sealed, follow).await;
            }
            Admission::Known(answer) => answer,
            Admission::Reused => {
                let detail = "the key was used before for a different request";
                return Err(Problem::not_run(ProblemKind::KeyReused, detail));
            }
            Admission::Expired => {
                let detail = "the key is older than what is remembered; it may have run";
                return Err(Problem::unknown(ProblemKind::KeyExpired, detail));
            }
        };
        respond(route, &body, sealed, answer.follow(last)).await
    }

    // Checks a new request and starts its task, or ends it at once.
    #[expect(clippy::too_many_arguments, reason = "one call's context, used once")]
    fn start(
        &self,
        cfg: &Configuration,
        workspace: &WorkspaceName,
        route: &Route<'_>,
        parts: &Parts,
        body: &Bytes,
        key: &RequestKey,
        answer: &Arc<Answer>,
    ) {
        let checked = self.check(cfg, workspace, route, parts, body);
        match checked {
            Ok((work, permit)) => {
                self.home.in_progress.send_modify(|n| *n += 1);
                let home = self.home.clone();
                tokio::spawn(home.run(key.clone(), work, answer.clone(), permit));
            }
            Err(problem) => {
                answer.end(End::Failed(problem));
                self.home.keys.ended(workspace, key, 0);
            }
        }
    }

    fn check(
        &self,
        cfg: &Configuration,
        workspace: &WorkspaceName,
        route: &Route<'_>,
        parts: &Parts,
        body: &Bytes,
    ) -> Result<(Work, rwd_control::Permit)> {
        let work = match route {
            Route::Service(rest) => {
                Work::service(cfg, workspace, &parts.headers, rest, body.clone())?
            }
            _ => Work::completion(cfg, workspace, &parts.headers, body.clone())?,
        };
        let preset = cfg.preset_in_force();
        if preset.lowest_rank.is_some_and(|lowest| work.rank > lowest) {
            let detail = format_compact!("preset {} leaves out tier {}", cfg.preset, work.tier);
            return Err(Problem::not_run(ProblemKind::Shed, detail));
        }
        let limits = cfg
            .workspaces
            .get(workspace)
            .map(|w| w.limits.clone())
            .unwrap_or_default();
        let tokens = rwd_types::Tokens(work.prompt.0 + work.most_output.0);
        let shares = self.home.limit_shares(workspace);
        let permit = self
            .home
            .limiter
            .admit(workspace, &limits, tokens, shares)
            .map_err(|kind| {
                let detail = format_compact!("the workspace is over its limit `{kind}`");
                let problem = Problem::not_run(ProblemKind::WorkspaceLimit, detail);
                problem.retry_after(rwd_types::Millis(1000))
            })?;
        Ok((work, permit))
    }

    // A call whose key belongs to another home.
    #[expect(clippy::too_many_arguments, reason = "one call's context, used once")]
    async fn at_home(
        &self,
        cfg: &Configuration,
        workspace: &WorkspaceName,
        route: &Route<'_>,
        parts: &Parts,
        body: Bytes,
        key: RequestKey,
        caller: Caller,
    ) -> Result<Response<ResponseBody>> {
        let view = self.home.parts.directory.view();
        let home = view.members.get(&key.prefix.home);
        let same_life = home.is_some_and(|m| m.incarnation == key.prefix.incarnation);
        if same_life && caller == Caller::Outside {
            match self
                .home
                .forward(&key.prefix.home, parts, &body, Some(&key))
                .await
            {
                Ok(response) => return Ok(response),
                Err(e) => {
                    log::debug!(request:% = key, error:% = e; "cannot pass a call on");
                    self.home.probe(&key.prefix.home);
                }
            }
        }
        let work = match route {
            Route::Service(rest) => {
                Work::service(cfg, workspace, &parts.headers, rest, body.clone())?
            }
            _ => Work::completion(cfg, workspace, &parts.headers, body.clone())?,
        };
        match work.kind {
            Kind::Completion { .. } => Err(lost(Some("an engine may have run it"))),
            Kind::Service { idempotent: true } => {
                // It may be repeated, so it runs here.
                let own = self.home.own_key();
                self.at_this_home(cfg, workspace, route, parts, body, own, None)
                    .await
            }
            Kind::Service { idempotent: false } => Err(self.close(&key).await),
        }
    }

    // The home is gone: only its witness can prove that a non-idempotent request never ran.
    async fn close(&self, key: &RequestKey) -> Problem {
        let Some((witness, _)) = &key.prefix.witness else {
            return lost(Some("its key names no witness"));
        };
        let home = &self.home;
        let verdict = match *witness == home.parts.instance {
            true => home
                .witness
                .close(key, |life| home.parts.directory.is_own_life(life)),
            false => {
                let question = Message::Close(key.clone());
                let limit = home.cfg.witness_timeout;
                match home.parts.links.ask(witness, &question, limit).await {
                    Ok(Message::Witnessed(verdict)) => verdict,
                    _ => return lost(Some("its witness cannot be reached either")),
                }
            }
        };
        log::info!(decision = "close", request:% = key, verdict:? = verdict; "asked the witness about a lost home");
        match verdict {
            Verdict::Closed => Problem::not_run(
                ProblemKind::HomeLost,
                "the home of the key is lost; the witness closed the key before it ran",
            ),
            Verdict::Recorded | Verdict::MayHaveRun => lost(Some("it may have run")),
        }
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

fn last_event(parts: &Parts) -> Result<Option<u64>> {
    let text = header(&parts.headers, LAST_EVENT_HEADER)?;
    let number = text.map(str::parse).transpose();
    number.map_err(|_| bad("header `last-event-id`: must be the number of an event"))
}

fn bad_key(e: KeyError) -> Problem {
    let detail = format_compact!("header `idempotency-key`: {e}");
    let kind = match e {
        KeyError::Form => ProblemKind::BadRequest,
        KeyError::Foreign => ProblemKind::ForeignKey,
    };
    Problem::not_run(kind, detail)
}

fn lost(why: Option<&str>) -> Problem {
    let detail = match why {
        Some(why) => format_compact!("the home of the request cannot be reached; {why}"),
        None => "the node is on its way out and no other one answered".into(),
    };
    Problem::unknown(ProblemKind::HomeLost, detail)
}

// The answer in the shape that the caller asked for.
async fn respond(
    route: &Route<'_>,
    body: &Bytes,
    key: String,
    mut follow: Follow,
) -> Result<Response<ResponseBody>> {
    let mut response = match route {
        Route::Service(_) => whole_service(&mut follow).await?,
        // A refusal that comes at once has an HTTP status of its own; later it is an event.
        _ if wants_stream(body) => match timeout(KEEPALIVE_PERIOD, follow.next()).await {
            Ok(Err(End::Failed(problem))) => problem_response(&problem, Some(&key)),
            first => events(key.clone(), first.ok(), follow),
        },
        _ => whole_completion(&key, &mut follow).await?,
    };
    if let Ok(value) = HeaderValue::try_from(&key) {
        response.headers_mut().insert(REQUEST_KEY_HEADER, value);
    }
    Ok(response)
}

// A caller that reads on sends no body and had a stream.
fn wants_stream(body: &Bytes) -> bool {
    #[derive(serde::Deserialize)]
    struct Asked {
        #[serde(default)]
        stream: bool,
    }
    body.is_empty() || serde_json::from_slice::<Asked>(body).is_ok_and(|asked| asked.stream)
}

async fn whole_service(follow: &mut Follow) -> Result<Response<ResponseBody>> {
    let mut data = Bytes::new();
    loop {
        match follow.next().await {
            Ok(event) => data = event.data,
            Err(End::Whole { status }) => {
                let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
                return Ok(with_type(status, "application/json", data));
            }
            Err(End::Failed(problem)) => return Err(problem),
        }
    }
}

async fn whole_completion(key: &str, follow: &mut Follow) -> Result<Response<ResponseBody>> {
    let mut text = String::new();
    let mut usage = serde_json::Value::Null;
    loop {
        match follow.next().await {
            Ok(event) => {
                let value: serde_json::Value =
                    serde_json::from_slice(&event.data).unwrap_or_default();
                text.push_str(value["choices"][0]["text"].as_str().unwrap_or(""));
                if let Some(found) = value.get("usage") {
                    usage = found.clone();
                }
            }
            Err(End::Whole { .. }) => {
                return Ok(json_response(
                    StatusCode::OK,
                    &json!({
                        "id": key,
                        "object": "text_completion",
                        "choices": [{ "index": 0, "text": text, "finish_reason": "stop" }],
                        "usage": usage,
                    }),
                ));
            }
            Err(End::Failed(problem)) => return Err(problem),
        }
    }
}

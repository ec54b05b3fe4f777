//! Runs an incoming request at the home node of its key, or handles the loss of that node.

use bytes::Bytes;
use compact_str::format_compact;
use http::Response;
use http::request::Parts;
use log::{debug, info};
use rwd_config::Configuration;
use rwd_control::Permit;
use rwd_types::{
    InstanceName, KeyError, Millis, Problem, ProblemKind, RequestKey, Tokens, WorkspaceName,
};
use rwd_wire::{Message, Verdict};
use std::sync::Arc;

use crate::api::{Caller, KEY_HEADER, Route};
use crate::call::{Job, Kind, bad_request, fingerprint, header};
use crate::respond::respond;
use crate::{Admission, HomeNode, ResponseBody, ResponseBuffer, ResponseEnd};

const LAST_EVENT_HEADER: &str = "last-event-id";

type Result<T> = std::result::Result<T, Problem>;

/// A completion or a service call as received.
pub(crate) struct IncomingRequest<'a> {
    pub home: &'a Arc<HomeNode>,
    pub cfg: &'a Configuration,
    pub workspace: &'a WorkspaceName,
    pub route: Route<'a>,
    pub parts: &'a Parts,
    pub body: &'a Bytes,
    pub caller: Caller,
}

impl IncomingRequest<'_> {
    pub async fn handle(&self) -> Result<Response<ResponseBody>> {
        let last = last_event(self.parts)?;
        let secret = &self.home.deps.secret;
        let key = match header(&self.parts.headers, KEY_HEADER)? {
            Some(text) => RequestKey::open(text, secret, self.workspace).map_err(key_problem)?,
            None => match self.forwarding_peer() {
                // A leaving node forwards requests without a key, which any node can run.
                Some(peer) => {
                    let forwarded = self.home.forward(&peer, self.parts, self.body, None).await;
                    return forwarded.map_err(|_| home_lost(None));
                }
                None => self.home.generate_key(),
            },
        };
        match self.is_home_of(&key) {
            true => self.serve_locally(key, last).await,
            false => self.forward_or_recover(key).await,
        }
    }

    fn is_home_of(&self, key: &RequestKey) -> bool {
        let deps = &self.home.deps;
        let own_incarnation = deps.directory.is_own_incarnation(key.prefix.incarnation);
        key.prefix.home == deps.instance && own_incarnation
    }

    // The active node to forward a new request to, if this node is leaving.
    fn forwarding_peer(&self) -> Option<InstanceName> {
        if self.caller == Caller::Peer || !self.home.is_leaving() {
            return None;
        }
        let view = self.home.deps.directory.view();
        let drained = &self.cfg.drained_instances;
        let is_candidate =
            |name: &InstanceName| !drained.contains(name) && *name != self.home.deps.instance;
        let others: Vec<_> = view.active().filter(|m| is_candidate(&m.name)).collect();
        let rotation = self.home.next_rotation() as usize;
        let chosen = others.get(rotation % others.len().max(1));
        chosen.map(|m| m.name.clone())
    }

    async fn serve_locally(
        &self,
        key: RequestKey,
        last: Option<u64>,
    ) -> Result<Response<ResponseBody>> {
        // The key that the caller has to send to resume reading.
        let prefix = key.prefix.seal(&self.home.deps.secret, self.workspace);
        let sealed = format!("{prefix}.{}", key.sequence);
        let resuming = self.body.is_empty() && last.is_some();
        let path = self.parts.uri.path();
        let fingerprint = (!resuming).then(|| fingerprint(path, self.body));
        let reader = match self.home.keys.admit(self.workspace, &key, fingerprint) {
            Admission::New(buffer) => {
                let reader = buffer.subscribe(last);
                self.start(&key, &buffer);
                reader
            }
            Admission::Known(buffer) => buffer.subscribe(last),
            Admission::Reused => {
                let detail = "the key was used before for a different request";
                return Err(Problem::not_run(ProblemKind::KeyReused, detail));
            }
            Admission::Expired => {
                let detail = "the key is older than what is remembered; it may have run";
                return Err(Problem::unknown(ProblemKind::KeyExpired, detail));
            }
        };
        respond(&self.route, self.body, sealed, reader).await
    }

    // Admits a new request and spawns its task, or ends it at once.
    fn start(&self, key: &RequestKey, buffer: &Arc<ResponseBuffer>) {
        match self.admit() {
            Ok((job, permit)) => {
                self.home.in_progress.send_modify(|n| *n += 1);
                let home = self.home.clone();
                tokio::spawn(home.run(key.clone(), job, buffer.clone(), permit));
            }
            Err(problem) => {
                buffer.end(ResponseEnd::Failed(problem));
                self.home.keys.ended(self.workspace, key, 0);
            }
        }
    }

    fn parse_job(&self) -> Result<Job> {
        let (headers, body) = (&self.parts.headers, self.body.clone());
        match self.route {
            Route::Service(rest) => Job::service(self.cfg, self.workspace, headers, rest, body),
            _ => Job::completion(self.cfg, self.workspace, headers, body),
        }
    }

    fn admit(&self) -> Result<(Job, Permit)> {
        let job = self.parse_job()?;
        let preset = self.cfg.preset_in_force();
        if preset.lowest_rank.is_some_and(|lowest| job.rank > lowest) {
            let detail = format_compact!("preset {} leaves out tier {}", self.cfg.preset, job.tier);
            return Err(Problem::not_run(ProblemKind::Shed, detail));
        }
        let limits = self.cfg.workspaces.get(self.workspace).map(|w| &w.limits);
        let limits = limits.cloned().unwrap_or_default();
        let tokens = Tokens(job.prompt.0 + job.max_output.0);
        let shares = self.home.limit_shares(self.workspace);
        let admitted = self
            .home
            .limiter
            .admit(self.workspace, &limits, tokens, shares);
        let permit = admitted.map_err(|kind| {
            let detail = format_compact!("the workspace is over its limit `{kind}`");
            let problem = Problem::not_run(ProblemKind::WorkspaceLimit, detail);
            problem.retry_after(Millis(1000))
        })?;
        Ok((job, permit))
    }

    // Handles a key of another home node, or of an earlier incarnation of this one.
    async fn forward_or_recover(&self, key: RequestKey) -> Result<Response<ResponseBody>> {
        let home = &key.prefix.home;
        let view = self.home.deps.directory.view();
        let known = view.members.get(home);
        let same_incarnation = known.is_some_and(|m| m.incarnation == key.prefix.incarnation);
        if same_incarnation && self.caller == Caller::External {
            // The key makes a retry safe; the second attempt uses a new connection.
            for _ in 0..2 {
                let forwarded = self
                    .home
                    .forward(home, self.parts, self.body, Some(&key))
                    .await;
                match forwarded {
                    Ok(response) => return Ok(response),
                    Err(e) => debug!(request:% = key, error:% = e; "cannot forward a request"),
                }
            }
            self.home.probe(home);
        }
        match self.parse_job()?.kind {
            Kind::Completion { .. } => Err(home_lost(Some("an engine may have run it"))),
            // An idempotent call may run again, so it runs here under a new key.
            Kind::Service { idempotent: true } => {
                self.serve_locally(self.home.generate_key(), None).await
            }
            Kind::Service { idempotent: false } => Err(self.close(&key).await),
        }
    }

    // Without the home node, only the witness can prove that a non-idempotent request never ran.
    async fn close(&self, key: &RequestKey) -> Problem {
        let Some((witness, _)) = &key.prefix.witness else {
            return home_lost(Some("its key names no witness"));
        };
        let home = self.home;
        let verdict = match *witness == home.deps.instance {
            true => home.witness.close(key, |incarnation| {
                home.deps.directory.is_own_incarnation(incarnation)
            }),
            false => {
                let message = Message::Close(key.clone());
                let limit = home.cfg.witness_timeout;
                match home.deps.links.ask(witness, &message, limit).await {
                    Ok(Message::Witnessed(verdict)) => verdict,
                    _ => return home_lost(Some("its witness cannot be reached either")),
                }
            }
        };
        info!(decision = "close", request:% = key, verdict:? = verdict; "asked the witness to close a key of an unreachable home node");
        match verdict {
            Verdict::Closed => Problem::not_run(
                ProblemKind::HomeLost,
                "the home of the key is lost; the witness closed the key before it ran",
            ),
            Verdict::Recorded | Verdict::MayHaveRun => home_lost(Some("it may have run")),
        }
    }
}

fn last_event(parts: &Parts) -> Result<Option<u64>> {
    let text = header(&parts.headers, LAST_EVENT_HEADER)?;
    let number = text.map(str::parse).transpose();
    number.map_err(|_| bad_request("header `last-event-id`: must be the number of an event"))
}

fn key_problem(e: KeyError) -> Problem {
    let detail = format_compact!("header `idempotency-key`: {e}");
    let kind = match e {
        KeyError::Form => ProblemKind::BadRequest,
        KeyError::Foreign => ProblemKind::ForeignKey,
    };
    Problem::not_run(kind, detail)
}

fn home_lost(reason: Option<&str>) -> Problem {
    let detail = match reason {
        Some(reason) => format_compact!("the home of the request cannot be reached; {reason}"),
        None => "the node is on its way out and no other one answered".into(),
    };
    Problem::unknown(ProblemKind::HomeLost, detail)
}

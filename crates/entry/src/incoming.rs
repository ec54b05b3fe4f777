//! One request from outside: at its home, on its way there, or without one.

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
use crate::call::{Kind, Work, bad, fingerprint, header};
use crate::respond::respond;
use crate::{Admission, End, HomeNode, ResponseBody, ResponseBuffer};

const LAST_EVENT_HEADER: &str = "last-event-id";

type Result<T> = std::result::Result<T, Problem>;

/// A completion or a call of a plain service, as it came.
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
    pub async fn answer(&self) -> Result<Response<ResponseBody>> {
        let last = last_event(self.parts)?;
        let secret = &self.home.parts.secret;
        let key = match header(&self.parts.headers, KEY_HEADER)? {
            Some(text) => RequestKey::open(text, secret, self.workspace).map_err(bad_key)?,
            None => match self.other_node() {
                // A node on its way out passes calls that need not run here on to others.
                Some(peer) => {
                    let passed = self.home.forward(&peer, self.parts, self.body, None).await;
                    return passed.map_err(|_| lost(None));
                }
                None => self.home.own_key(),
            },
        };
        match self.is_home_of(&key) {
            true => self.at_home(key, last).await,
            false => self.away_from_home(key).await,
        }
    }

    fn is_home_of(&self, key: &RequestKey) -> bool {
        let parts = &self.home.parts;
        let own_life = parts.directory.is_own_incarnation(key.prefix.incarnation);
        key.prefix.home == parts.instance && own_life
    }

    // A staying node, if this one is on its way out.
    fn other_node(&self) -> Option<InstanceName> {
        if self.caller == Caller::Peer || !self.home.is_leaving() {
            return None;
        }
        let view = self.home.parts.directory.view();
        let drained = &self.cfg.drained_instances;
        let stays =
            |name: &InstanceName| !drained.contains(name) && *name != self.home.parts.instance;
        let others: Vec<_> = view.active().filter(|m| stays(&m.name)).collect();
        let turn = self.home.next_turn() as usize;
        let chosen = others.get(turn % others.len().max(1));
        chosen.map(|m| m.name.clone())
    }

    async fn at_home(&self, key: RequestKey, last: Option<u64>) -> Result<Response<ResponseBody>> {
        // What the caller has to present to read on.
        let prefix = key.prefix.seal(&self.home.parts.secret, self.workspace);
        let sealed = format!("{prefix}.{}", key.sequence);
        let reading_on = self.body.is_empty() && last.is_some();
        let path = self.parts.uri.path();
        let fingerprint = (!reading_on).then(|| fingerprint(path, self.body));
        let follow = match self.home.keys.admit(self.workspace, &key, fingerprint) {
            Admission::New(answer) => {
                let follow = answer.subscribe(last);
                self.start(&key, &answer);
                follow
            }
            Admission::Known(answer) => answer.subscribe(last),
            Admission::Reused => {
                let detail = "the key was used before for a different request";
                return Err(Problem::not_run(ProblemKind::KeyReused, detail));
            }
            Admission::Expired => {
                let detail = "the key is older than what is remembered; it may have run";
                return Err(Problem::unknown(ProblemKind::KeyExpired, detail));
            }
        };
        respond(&self.route, self.body, sealed, follow).await
    }

    // Checks a new request and starts its task, or ends it at once.
    fn start(&self, key: &RequestKey, answer: &Arc<ResponseBuffer>) {
        match self.check() {
            Ok((work, permit)) => {
                self.home.in_progress.send_modify(|n| *n += 1);
                let home = self.home.clone();
                tokio::spawn(home.run(key.clone(), work, answer.clone(), permit));
            }
            Err(problem) => {
                answer.end(End::Failed(problem));
                self.home.keys.ended(self.workspace, key, 0);
            }
        }
    }

    fn work(&self) -> Result<Work> {
        let (headers, body) = (&self.parts.headers, self.body.clone());
        match self.route {
            Route::Service(rest) => Work::service(self.cfg, self.workspace, headers, rest, body),
            _ => Work::completion(self.cfg, self.workspace, headers, body),
        }
    }

    fn check(&self) -> Result<(Work, Permit)> {
        let work = self.work()?;
        let preset = self.cfg.preset_in_force();
        if preset.lowest_rank.is_some_and(|lowest| work.rank > lowest) {
            let detail =
                format_compact!("preset {} leaves out tier {}", self.cfg.preset, work.tier);
            return Err(Problem::not_run(ProblemKind::Shed, detail));
        }
        let limits = self.cfg.workspaces.get(self.workspace).map(|w| &w.limits);
        let limits = limits.cloned().unwrap_or_default();
        let tokens = Tokens(work.prompt.0 + work.most_output.0);
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
        Ok((work, permit))
    }

    // The key belongs to another home, or to an earlier life of this one.
    async fn away_from_home(&self, key: RequestKey) -> Result<Response<ResponseBody>> {
        let home = &key.prefix.home;
        let view = self.home.parts.directory.view();
        let known = view.members.get(home);
        let same_life = known.is_some_and(|m| m.incarnation == key.prefix.incarnation);
        if same_life && self.caller == Caller::External {
            // The key makes it safe to ask twice, the second time over a new connection.
            for _ in 0..2 {
                let passed = self
                    .home
                    .forward(home, self.parts, self.body, Some(&key))
                    .await;
                match passed {
                    Ok(response) => return Ok(response),
                    Err(e) => debug!(request:% = key, error:% = e; "cannot pass a call on"),
                }
            }
            self.home.probe(home);
        }
        match self.work()?.kind {
            Kind::Completion { .. } => Err(lost(Some("an engine may have run it"))),
            // It may be repeated, so it runs here.
            Kind::Service { idempotent: true } => self.at_home(self.home.own_key(), None).await,
            Kind::Service { idempotent: false } => Err(self.close(&key).await),
        }
    }

    // The home is gone: only its witness can prove that a non-idempotent request never ran.
    async fn close(&self, key: &RequestKey) -> Problem {
        let Some((witness, _)) = &key.prefix.witness else {
            return lost(Some("its key names no witness"));
        };
        let home = self.home;
        let verdict = match *witness == home.parts.instance {
            true => home
                .witness
                .close(key, |life| home.parts.directory.is_own_incarnation(life)),
            false => {
                let question = Message::Close(key.clone());
                let limit = home.cfg.witness_timeout;
                match home.parts.links.ask(witness, &question, limit).await {
                    Ok(Message::Witnessed(verdict)) => verdict,
                    _ => return lost(Some("its witness cannot be reached either")),
                }
            }
        };
        info!(decision = "close", request:% = key, verdict:? = verdict; "asked the witness about a lost home");
        match verdict {
            Verdict::Closed => Problem::not_run(
                ProblemKind::HomeLost,
                "the home of the key is lost; the witness closed the key before it ran",
            ),
            Verdict::Recorded | Verdict::MayHaveRun => lost(Some("it may have run")),
        }
    }
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

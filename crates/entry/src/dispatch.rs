//! The life of one request at its home: wait for a slot, dispatch once, relay the answer.

use compact_str::format_compact;
use log::info;
use rwd_control::Permit;
use rwd_metrics::label;
use rwd_types::{Executed, Problem, ProblemKind, RequestKey};
use rwd_wire::{GrantOutcome, GrantReport, Message, Verdict};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

use crate::call::{Kind, Work};
use crate::slot::Slot;
use crate::{End, HomeNode, ResponseBuffer, ResponseEvent};

/// Largest answer of a plain service, in bytes.
const MAX_SERVICE_ANSWER_BYTES: usize = 1 << 20;
/// How often an idempotent call is sent again.
const MAX_REPEATS: u32 = 2;
/// How often an unreachable target is replaced by another one.
const MAX_UNREACHABLE: u32 = 8;

/// How one use of a slot went.
pub(crate) enum Attempt {
    /// The whole answer came, with this HTTP status.
    Whole(u16),
    /// Nothing was sent, so another slot may be used.
    Unreachable,
    /// Something was sent.
    Failed(Problem),
}

impl HomeNode {
    /// Runs a request that its key table has just admitted; the only place that dispatches.
    pub(crate) async fn run(
        self: Arc<Self>,
        key: RequestKey,
        work: Work,
        answer: Arc<ResponseBuffer>,
        permit: Permit,
    ) {
        let tier = label("tier", &work.tier);
        self.parts
            .metrics
            .accepted
            .add(1, std::slice::from_ref(&tier));
        let started = Instant::now();
        let end = match self.drive(&key, &work, &answer).await {
            Ok(status) => End::Whole { status },
            Err(problem) => End::Failed(problem),
        };
        let (outcome, ran) = match &end {
            End::Whole { .. } => ("whole".to_owned(), Executed::Yes),
            End::Failed(p) => (p.kind.to_string(), p.ran),
        };
        info!(
            decision = "end", request:% = key, tier:% = work.tier, workspace:% = work.workspace,
            outcome, ran:% = ran, took_ms = started.elapsed().as_millis() as u64;
            "request ended"
        );
        self.parts
            .metrics
            .ended
            .add(1, &[tier, label("outcome", outcome)]);
        answer.end(end);
        self.keys.ended(&work.workspace, &key, answer.bytes());
        drop(permit);
        self.in_progress.send_modify(|n| *n -= 1);
    }

    async fn drive(
        &self,
        key: &RequestKey,
        work: &Work,
        answer: &Arc<ResponseBuffer>,
    ) -> Result<u16, Problem> {
        let mut recorded = false;
        let mut repeats = 0;
        let mut unreachable = 0;
        loop {
            let acquired = tokio::select! {
                slot = self.acquire(key, work) => slot,
                () = answer.abandoned(self.cfg.abandon_after) => Err(left()),
            };
            let slot = match acquired {
                Ok(slot) => slot,
                // An earlier attempt of an idempotent call may have run.
                Err(p) if repeats > 0 => {
                    return Err(Problem {
                        ran: Executed::Unknown,
                        ..p
                    });
                }
                Err(p) => return Err(p),
            };
            if !recorded && work.kind == (Kind::Service { idempotent: false }) {
                if let Err(p) = self.record_intent(key).await {
                    slot.give_back(GrantOutcome::Unused).await;
                    return Err(p);
                }
                recorded = true;
            }
            if !slot.is_valid(&self.parts.topology.borrow().clone()) {
                slot.give_back(GrantOutcome::Unused).await;
                continue;
            }
            info!(
                decision = "dispatch", request:% = key, tier:% = work.tier, pool:% = work.pool,
                target:% = slot.target;
                "dispatching"
            );
            let attempt = match work.kind {
                Kind::Completion { .. } => self.relay(key, work, slot, answer).await,
                Kind::Service { idempotent } => {
                    self.call(key, work, slot, answer, idempotent).await
                }
            };
            match attempt {
                Attempt::Whole(status) => return Ok(status),
                Attempt::Unreachable if unreachable < MAX_UNREACHABLE => unreachable += 1,
                Attempt::Unreachable if repeats > 0 => return Err(target_lost()),
                Attempt::Unreachable => return Err(no_target_reached()),
                Attempt::Failed(_)
                    if work.kind == (Kind::Service { idempotent: true })
                        && repeats < MAX_REPEATS =>
                {
                    repeats += 1
                }
                Attempt::Failed(problem) => return Err(problem),
            }
        }
    }

    // Without the witness's record a non-idempotent request is never dispatched.
    async fn record_intent(&self, key: &RequestKey) -> Result<(), Problem> {
        let unavailable = |detail: &str| Problem::not_run(ProblemKind::WitnessUnavailable, detail);
        let Some((witness, _)) = &key.prefix.witness else {
            return Err(unavailable(
                "no second node was there to witness the request",
            ));
        };
        let question = Message::Record(key.clone());
        let limit = self.cfg.witness_timeout;
        let links = &self.parts.links;
        let answer = match links.ask(witness, &question, limit).await {
            // Recording again is harmless, and a silent connection is no dead witness.
            Err(_) => links.ask(witness, &question, limit).await,
            answer => answer,
        };
        match answer {
            Ok(Message::Witnessed(Verdict::Recorded)) => Ok(()),
            Ok(Message::Witnessed(Verdict::Closed)) => Err(Problem::not_run(
                ProblemKind::KeyClosed,
                "a retry at another node closed the key before the request was dispatched",
            )),
            Ok(_) => Err(unavailable(
                "the witness of this key prefix was restarted; ask for new addresses",
            )),
            Err(e) => {
                self.probe(witness);
                Err(unavailable(&format_compact!(
                    "the witness did not answer: {e}"
                )))
            }
        }
    }

    async fn call(
        &self,
        key: &RequestKey,
        work: &Work,
        slot: Slot,
        answer: &Arc<ResponseBuffer>,
        idempotent: bool,
    ) -> Attempt {
        let limit = match idempotent {
            true => self.cfg.progress_timeout.min(work.time_left()),
            false => work.time_left(),
        };
        let sent = Instant::now();
        let exchange = async {
            let mut response = self
                .parts
                .targets
                .call(slot.address, self.target_call(key, work))
                .await?;
            let mut body = Vec::new();
            while let Some(part) = response.next().await? {
                body.extend_from_slice(&part);
                if body.len() > MAX_SERVICE_ANSWER_BYTES {
                    let message = "answer too long".into();
                    return Err(rwd_edge::Error::Protocol { message });
                }
            }
            Ok((response.status.as_u16(), body))
        };
        let result = timeout(limit, exchange).await;
        let result = result.unwrap_or(Err(rwd_edge::Error::Timeout));
        let usage = match &result {
            Ok(_) => GrantOutcome::Whole,
            Err(rwd_edge::Error::Connect { .. }) => GrantOutcome::Unreachable,
            Err(_) => GrantOutcome::TargetFailed,
        };
        let first_token = sent.elapsed().into();
        slot.link
            .finish(GrantReport {
                usage,
                first_token,
                ..GrantReport::default()
            })
            .await;
        match result {
            Ok((status, body)) => {
                answer.push(ResponseEvent {
                    id: 1,
                    data: body.into(),
                });
                Attempt::Whole(status)
            }
            Err(rwd_edge::Error::Connect { .. }) => Attempt::Unreachable,
            Err(_) => Attempt::Failed(target_lost()),
        }
    }

    pub(crate) fn target_call(&self, key: &RequestKey, work: &Work) -> rwd_edge::TargetRequest {
        rwd_edge::TargetRequest {
            path: work.path.clone(),
            stream: format_compact!("{key}"),
            body: work.body.clone(),
        }
    }

    /// How long a stream may make no progress.
    pub(crate) fn progress_timeout(&self) -> Duration {
        self.cfg.progress_timeout
    }
}

fn left() -> Problem {
    Problem::not_run(
        ProblemKind::Cancelled,
        "nobody waited for the answer any more",
    )
}

pub(crate) fn target_lost() -> Problem {
    let detail = "the target's answer broke off and could not be resumed";
    Problem::unknown(ProblemKind::TargetLost, detail)
}

fn no_target_reached() -> Problem {
    Problem::not_run(ProblemKind::Unavailable, "no target could be reached")
}

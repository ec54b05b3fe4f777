//! Runs one request at its home node: acquires a slot, dispatches and relays the response.

use compact_str::format_compact;
use log::info;
use rwd_control::Permit;
use rwd_metrics::label;
use rwd_types::{Executed, Problem, ProblemKind, RequestKey};
use rwd_wire::{GrantOutcome, GrantReport, Message, Verdict};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

use crate::call::{Job, Kind};
use crate::slot::Slot;
use crate::{HomeNode, ResponseBuffer, ResponseEnd, ResponseEvent};

/// Maximum size of a service response, in bytes.
const MAX_SERVICE_ANSWER_BYTES: usize = 1 << 20;
/// Maximum number of retries of an idempotent call.
const MAX_RETRIES: u32 = 2;
/// Maximum number of times an unreachable target is replaced by another one.
const MAX_UNREACHABLE: u32 = 8;

/// Result of using one slot.
pub(crate) enum Attempt {
    /// The response is complete, with this HTTP status.
    Complete(u16),
    /// Nothing was sent, so another slot may be used.
    Unreachable,
    /// The attempt failed after something was sent.
    Failed(Problem),
}

impl HomeNode {
    /// Runs a request that the key table has just admitted. Requests are dispatched only here.
    pub(crate) async fn run(
        self: Arc<Self>,
        key: RequestKey,
        job: Job,
        buffer: Arc<ResponseBuffer>,
        permit: Permit,
    ) {
        let tier = label("tier", &job.tier);
        self.deps
            .metrics
            .accepted
            .add(1, std::slice::from_ref(&tier));
        let started = Instant::now();
        let end = match self.run_attempts(&key, &job, &buffer).await {
            Ok(status) => ResponseEnd::Complete { status },
            Err(problem) => ResponseEnd::Failed(problem),
        };
        let (outcome, ran) = match &end {
            ResponseEnd::Complete { .. } => ("whole".to_owned(), Executed::Yes),
            ResponseEnd::Failed(p) => (p.kind.to_string(), p.ran),
        };
        info!(
            decision = "end", request:% = key, tier:% = job.tier, workspace:% = job.workspace,
            outcome, ran:% = ran, took_ms = started.elapsed().as_millis() as u64;
            "request ended"
        );
        self.deps
            .metrics
            .ended
            .add(1, &[tier, label("outcome", outcome)]);
        buffer.end(end);
        self.keys.ended(&job.workspace, &key, buffer.bytes());
        drop(permit);
        self.in_progress.send_modify(|n| *n -= 1);
    }

    async fn run_attempts(
        &self,
        key: &RequestKey,
        job: &Job,
        buffer: &Arc<ResponseBuffer>,
    ) -> Result<u16, Problem> {
        let mut recorded = false;
        let mut retries = 0;
        let mut unreachable = 0;
        loop {
            let acquired = tokio::select! {
                slot = self.acquire(key, job) => slot,
                () = buffer.abandoned(self.cfg.abandon_after) => Err(abandoned()),
            };
            let slot = match acquired {
                Ok(slot) => slot,
                // An earlier attempt of an idempotent call may have run.
                Err(p) if retries > 0 => {
                    return Err(Problem {
                        ran: Executed::Unknown,
                        ..p
                    });
                }
                Err(p) => return Err(p),
            };
            if !recorded && job.kind == (Kind::Service { idempotent: false }) {
                if let Err(p) = self.record_intent(key).await {
                    slot.release(GrantOutcome::Unused).await;
                    return Err(p);
                }
                recorded = true;
            }
            if !slot.is_valid(&self.deps.topology.borrow().clone()) {
                slot.release(GrantOutcome::Unused).await;
                continue;
            }
            info!(
                decision = "dispatch", request:% = key, tier:% = job.tier, pool:% = job.pool,
                target:% = slot.target;
                "dispatching"
            );
            let attempt = match job.kind {
                Kind::Completion { .. } => self.relay(key, job, slot, buffer).await,
                Kind::Service { idempotent } => self.call(key, job, slot, buffer, idempotent).await,
            };
            match attempt {
                Attempt::Complete(status) => return Ok(status),
                Attempt::Unreachable if unreachable < MAX_UNREACHABLE => unreachable += 1,
                Attempt::Unreachable if retries > 0 => return Err(target_lost()),
                Attempt::Unreachable => return Err(no_target_reached()),
                Attempt::Failed(_)
                    if job.kind == (Kind::Service { idempotent: true })
                        && retries < MAX_RETRIES =>
                {
                    retries += 1
                }
                Attempt::Failed(problem) => return Err(problem),
            }
        }
    }

    // A non-idempotent request must not be dispatched before its witness has recorded it.
    async fn record_intent(&self, key: &RequestKey) -> Result<(), Problem> {
        let unavailable = |detail: &str| Problem::not_run(ProblemKind::WitnessUnavailable, detail);
        let Some((witness, _)) = &key.prefix.witness else {
            return Err(unavailable(
                "no second node was there to witness the request",
            ));
        };
        let message = Message::Record(key.clone());
        let limit = self.cfg.witness_timeout;
        let links = &self.deps.links;
        let reply = match links.ask(witness, &message, limit).await {
            // Recording is idempotent, and the witness may be up behind a dead connection.
            Err(_) => links.ask(witness, &message, limit).await,
            reply => reply,
        };
        match reply {
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
        job: &Job,
        slot: Slot,
        buffer: &Arc<ResponseBuffer>,
        idempotent: bool,
    ) -> Attempt {
        let limit = match idempotent {
            true => self.cfg.progress_timeout.min(job.time_left()),
            false => job.time_left(),
        };
        let sent = Instant::now();
        let exchange = async {
            let mut response = self
                .deps
                .targets
                .call(slot.address, self.target_request(key, job))
                .await?;
            let mut body = Vec::new();
            while let Some(part) = response.next().await? {
                body.extend_from_slice(&part);
                if body.len() > MAX_SERVICE_ANSWER_BYTES {
                    let message = "response too large".into();
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
                buffer.push(ResponseEvent {
                    id: 1,
                    data: body.into(),
                });
                Attempt::Complete(status)
            }
            Err(rwd_edge::Error::Connect { .. }) => Attempt::Unreachable,
            Err(_) => Attempt::Failed(target_lost()),
        }
    }

    pub(crate) fn target_request(&self, key: &RequestKey, job: &Job) -> rwd_edge::TargetRequest {
        rwd_edge::TargetRequest {
            path: job.path.clone(),
            stream: format_compact!("{key}"),
            body: job.body.clone(),
        }
    }

    /// How long a stream may go without progress.
    pub(crate) fn progress_timeout(&self) -> Duration {
        self.cfg.progress_timeout
    }
}

fn abandoned() -> Problem {
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

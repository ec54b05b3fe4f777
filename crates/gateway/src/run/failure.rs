//! Records failed attempts, and decides whether the request is sent again.

use log::info;
use rwd_metrics::label;
use rwd_placement::{PromptPart, SlotOutcome};

use super::{ActiveRequest, Attempt, Dispatch};
use crate::proof::Permit;
use crate::refusal::Refusal;
use crate::{Protocol, Withheld, clock};

/// Number of refusals by targets after which the gateway gives up on a request.
const MAX_REFUSALS: u32 = 3;
/// Number of unreachable targets after which the gateway gives up on a request.
const MAX_UNREACHABLE: u32 = 5;
/// Number of slots given back unused after which the gateway gives up on a request. A scheduler that
/// takes over learns of each such target from the first slot that is given back.
const MAX_WITHHELD: u32 = 100;
/// Time after a target began to write within which a crash may be due to the request, in
/// milliseconds.
const MAX_CRASHING_MS: f64 = 1000.0;

impl<P: Protocol> ActiveRequest<P> {
    // A target that has been writing for long was not crashed by this request.
    fn record_crash(&self, dispatch: &Dispatch) {
        let head = &self.admitted.head;
        let now = clock::now();
        let wrote_ms = self.writing_since.map_or(0.0, |since| now - since);
        // A target that leaves ends its connections.
        let withheld = &self.gateway.withheld;
        let withheld = withheld.check(&dispatch.slot.target, dispatch.born, now);
        let leaves = withheld == Some(Withheld::Leaving)
            || !self.gateway.replica.is_active(&dispatch.slot.target);
        if wrote_ms < MAX_CRASHING_MS && !leaves {
            let (target, sent) = (&dispatch.slot.target, dispatch.sent);
            let guard = &self.gateway.crash_guard;
            guard.record_crash(target, &head.id, &self.features, sent);
        }
    }

    /// Records a failed attempt; returns the refusal that the caller would get for it, and a permit for
    /// another attempt.
    pub fn record_failure(
        &mut self,
        dispatch: Dispatch,
        attempt: Attempt,
    ) -> (Refusal, Option<Permit>) {
        // A hold may end while the request waits.
        let returns = match &attempt {
            Attempt::Withheld(Withheld::Held { left_ms }, _) => *left_ms < self.left_ms(),
            _ => false,
        };
        if !returns {
            self.exclude.push(dispatch.slot.target.clone());
        }
        self.in_flight = false;
        let ms = clock::now() - dispatch.sent;
        if let Attempt::Unresponsive = attempt {
            // It was given up before it came: at least as slow as this.
            let route = &self.admitted.route.name;
            dispatch.slot.record_answer(route, false, ms);
        }
        let (outcome, refusal, what, permit) = match attempt {
            Attempt::Unreachable(permit) => {
                let permit = self.permit_after_unreachable(permit);
                let outcome = SlotOutcome::Unreachable;
                (outcome, Refusal::NotRun, "unreachable", permit)
            }
            Attempt::Down(permit) => {
                let permit = self.permit_after_unreachable(permit);
                (SlotOutcome::Down, Refusal::NotRun, "down", permit)
            }
            Attempt::NoPath(permit) => {
                // Further targets are hardly reached either.
                self.unreachable += 1;
                let permit = self.permit_after_unreachable(permit);
                (SlotOutcome::NoPath, Refusal::NotRun, "no_path", permit)
            }
            Attempt::Draining(permit) => {
                let permit = self.permit_after_unreachable(permit);
                (SlotOutcome::Gone, Refusal::NotRun, "left", permit)
            }
            Attempt::Withheld(withheld, permit) => {
                self.withheld += 1;
                let outcome = match withheld {
                    Withheld::Leaving => SlotOutcome::Leaving,
                    Withheld::Held { left_ms } => SlotOutcome::Held { for_ms: left_ms },
                };
                let permit = Some(permit).filter(|_| self.withheld < MAX_WITHHELD);
                (outcome, Refusal::NotRun, "withheld", permit)
            }
            Attempt::Blocked(refusal) => (SlotOutcome::Unused, refusal, "blocked", None),
            Attempt::NotRun(outcome, proof) => {
                self.arrivals += 1;
                self.refusals += 1;
                let permit = (self.refusals < MAX_REFUSALS).then(|| Permit::after(proof));
                (outcome, Refusal::NotRun, "not_run", permit)
            }
            Attempt::Unproved(outcome) => {
                let permit = self.permit_after_run();
                (outcome, Refusal::Unknown, "unproved", permit)
            }
            Attempt::CarrierLost => {
                let permit = self.permit_after_run();
                (
                    SlotOutcome::NoPath,
                    Refusal::Unknown,
                    "carrier_lost",
                    permit,
                )
            }
            // The connection may have been open before the cut.
            Attempt::Unresponsive if dispatch.carrier.is_none() && self.is_cut_off() => {
                let permit = self.permit_after_run();
                (SlotOutcome::NoPath, Refusal::Timeout, "silent", permit)
            }
            Attempt::Unresponsive => {
                let permit = self.permit_after_run();
                (SlotOutcome::Silent, Refusal::Timeout, "silent", permit)
            }
            Attempt::Malformed => {
                let permit = self.permit_after_run();
                (SlotOutcome::Broken, Refusal::Unknown, "malformed", permit)
            }
            Attempt::Broken if dispatch.carrier.is_none() && self.is_cut_off() => {
                let permit = self.permit_after_run();
                (SlotOutcome::NoPath, Refusal::Unknown, "broken", permit)
            }
            Attempt::Broken | Attempt::Complete(..) | Attempt::Started(_) => {
                let permit = self.permit_after_run();
                self.record_crash(&dispatch);
                (SlotOutcome::Broken, Refusal::Unknown, "broken", permit)
            }
        };
        self.gateway
            .metrics
            .sends_failed
            .add(1, &[label("kind", what)]);
        info!(event = "send_failed", request:% = self.admitted.head.id, fingerprint:% = self.fingerprint, target:% = dispatch.slot.target, scheduler:% = dispatch.slot.scheduler, what, ms = ms as u64, events = self.events, parts:% = part_ids(&self.admitted.head.parts); "send failed");
        dispatch.slot.release(outcome);
        (refusal, permit)
    }

    fn is_cut_off(&self) -> bool {
        self.gateway.detours.is_cut_off(&self.admitted.pool)
    }

    // Nothing was sent, so the permit for that still holds, unless too many targets were tried.
    fn permit_after_unreachable(&mut self, permit: Permit) -> Option<Permit> {
        self.unreachable += 1;
        Some(permit).filter(|_| self.unreachable < MAX_UNREACHABLE)
    }

    // Counts a send after which the request may have run.
    fn permit_after_run(&mut self) -> Option<Permit> {
        self.arrivals += 1;
        self.sends += 1;
        Permit::repeat(&self.admitted.route, self.sends)
    }

    // Counts a complete response that is a server error.
    pub(super) fn permit_after_error(&mut self) -> Option<Permit> {
        self.in_flight = false;
        self.permit_after_run()
    }
}

// The ids of a prompt's parts, for logs.
fn part_ids(parts: &[PromptPart]) -> String {
    let ids: Vec<_> = parts.iter().map(|p| format!("{:x}", p.id)).collect();
    ids.join(",")
}

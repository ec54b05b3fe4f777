//! What must always hold, checked from the targets' counts and the callers' records.

use indexmap::IndexMap;
use serde::Serialize;
use std::time::{Duration, Instant};

use crate::fake::{Ledger, Run};
use crate::{RequestOutcome, RequestRecord};

/// A refusal and a lower start closer together than this are one decision and its way through
/// the network; the decision log shows the grant before the refusal.
const FLIGHT_TIME: Duration = Duration::from_millis(50);
/// How long a leaving target may still receive work.
pub const LEAVING_GRACE: Duration = Duration::from_secs(3);

/// Counts of broken promises; all of them should be 0.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Invariants {
    /// Requests that ran more than once on engines.
    pub dispatched_twice: u64,
    /// Refusals while less valuable work was kept.
    pub tier_inversions: u64,
    /// Answers that were not the request's own, or not whole though they said so.
    pub wrong_answers: u64,
    /// Refusals that said "not run" of work that ran.
    pub false_not_run: u64,
    /// Non-idempotent calls that ran more than once.
    pub non_idempotent_twice: u64,
    /// Requests cut by a planned stop.
    pub cut_by_planned_stop: u64,
    /// Requests that reached a target too long after it was marked as leaving.
    pub late_to_leaving: u64,
    /// Steps back of the revision in force.
    pub config_reverted: u64,
}

impl Invariants {
    /// Whether all counts are 0.
    pub fn hold(&self) -> bool {
        *self == Self::default()
    }

    /// Checks the records of callers against what the targets counted.
    pub fn check(records: &[RequestRecord], ledger: &Ledger) -> Self {
        let runs = ledger.all();
        let of = |r: &RequestRecord| runs.get(&r.key).map_or(&[][..], Vec::as_slice);
        let twice = |r: &&RequestRecord| of(r).len() > 1;
        let refused = |r: &&RequestRecord| matches!(r.outcome, RequestOutcome::NotRun { .. });
        let count = |n: usize| n as u64;
        let once = records.iter().filter(|r| !r.idempotent);
        let (engine, service): (Vec<_>, Vec<_>) =
            once.partition(|r| r.tokens > 0 || is_engine(of(r)));
        Self {
            dispatched_twice: count(engine.into_iter().filter(twice).count()),
            non_idempotent_twice: count(service.into_iter().filter(twice).count()),
            wrong_answers: count(
                records
                    .iter()
                    .filter(|r| r.outcome == RequestOutcome::Wrong)
                    .count(),
            ),
            false_not_run: count(
                records
                    .iter()
                    .filter(refused)
                    .filter(|r| !of(r).is_empty())
                    .count(),
            ),
            tier_inversions: inversions(records, &runs),
            ..Self::default()
        }
    }

    /// Counts work that reached a target more than [`LEAVING_GRACE`] after it was marked.
    pub fn late_to_leaving(ledger: &Ledger, target: &str, marked: Instant) -> u64 {
        let runs = ledger.all();
        let late = |r: &&Run| r.target == target && r.arrived > marked + LEAVING_GRACE;
        runs.values().flatten().filter(late).count() as u64
    }
}

fn is_engine(runs: &[Run]) -> bool {
    runs.first().is_some_and(|r| r.target.starts_with('e'))
}

// A request was shed at time t while a less valuable one of the same model, sent before t,
// was started only after t.
fn inversions(records: &[RequestRecord], runs: &IndexMap<String, Vec<Run>>) -> u64 {
    let started = records.iter().filter_map(|r| {
        let run = runs.get(&r.key)?.first()?;
        Some((r, run.started?))
    });
    let started: Vec<_> = started.collect();
    let shed = records.iter().filter(|r| match &r.outcome {
        RequestOutcome::NotRun { kind } => {
            matches!(kind.as_str(), "shed" | "deadline" | "unavailable")
        }
        _ => false,
    });
    let inverted = shed.filter(|high| {
        let at = high.ended;
        started.iter().any(|(low, start)| {
            low.pool == high.pool
                && low.rank > high.rank
                && low.sent < at
                && *start > at + FLIGHT_TIME
        })
    });
    inverted.count() as u64
}

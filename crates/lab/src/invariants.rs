//! Invariants, checked against the targets' ledger and the callers' records.

use indexmap::IndexMap;
use serde::Serialize;
use std::time::{Duration, Instant};

use crate::fake::{Ledger, Run};
use crate::{RequestOutcome, RequestRecord};

/// A lower-priority start this soon after a refusal is no inversion: its grant, which precedes
/// the refusal in the decision log, was still in transit.
const GRANT_TRANSIT_TIME: Duration = Duration::from_millis(50);
/// How long a draining target may still receive requests.
pub const DRAINING_GRACE: Duration = Duration::from_secs(3);

/// Number of violations of each invariant; all should be 0.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Invariants {
    /// Requests that ran more than once on engines.
    pub dispatched_twice: u64,
    /// Refusals while a lower-priority request stayed queued and started later.
    pub tier_inversions: u64,
    /// Responses that belong to another request, or that ended as complete but were not.
    pub wrong_answers: u64,
    /// Requests refused as "not run" that reached a target.
    pub false_not_run: u64,
    /// Non-idempotent calls that ran more than once.
    pub non_idempotent_twice: u64,
    /// Requests interrupted by the graceful shutdown of their home node, which issued their key.
    pub cut_by_planned_stop: u64,
    /// Requests that reached a target more than `DRAINING_GRACE` after it began to drain.
    pub late_to_leaving: u64,
    /// Times that the active revision of a node went down.
    pub config_reverted: u64,
}

impl Invariants {
    /// Whether no invariant was violated.
    pub fn hold(&self) -> bool {
        *self == Self::default()
    }

    /// Checks the callers' records against the runs that the targets recorded.
    pub fn check(records: &[RequestRecord], ledger: &Ledger) -> Self {
        let runs = ledger.all();
        let runs_of = |r: &RequestRecord| runs.get(&r.key).map_or(&[][..], Vec::as_slice);
        let twice = |r: &&RequestRecord| runs_of(r).len() > 1;
        let refused = |r: &&RequestRecord| matches!(r.outcome, RequestOutcome::NotRun { .. });
        let count = |n: usize| n as u64;
        let non_idempotent = records.iter().filter(|r| !r.idempotent);
        let (engine, service): (Vec<_>, Vec<_>) =
            non_idempotent.partition(|r| r.tokens > 0 || ran_on_engine(runs_of(r)));
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
                    .filter(|r| !runs_of(r).is_empty())
                    .count(),
            ),
            tier_inversions: inversions(records, &runs),
            ..Self::default()
        }
    }

    /// Counts requests that reached `target` more than [`DRAINING_GRACE`] after `draining_since`.
    pub fn late_to_leaving(ledger: &Ledger, target: &str, draining_since: Instant) -> u64 {
        let runs = ledger.all();
        let late = |r: &&Run| r.target == target && r.arrived > draining_since + DRAINING_GRACE;
        runs.values().flatten().filter(late).count() as u64
    }
}

// Engines are named `e0`, `e1` and so on, services `s0`, `s1` and so on.
fn ran_on_engine(runs: &[Run]) -> bool {
    runs.first().is_some_and(|r| r.target.starts_with('e'))
}

// Counts requests refused at a time t although a lower-priority one of the same pool, sent
// before t, was started only after t.
fn inversions(records: &[RequestRecord], runs: &IndexMap<String, Vec<Run>>) -> u64 {
    let started = records.iter().filter_map(|r| {
        let run = runs.get(&r.key)?.first()?;
        Some((r, run.started?))
    });
    let started: Vec<_> = started.collect();
    let refused = records.iter().filter(|r| match &r.outcome {
        RequestOutcome::NotRun { kind } => {
            matches!(kind.as_str(), "shed" | "deadline" | "unavailable")
        }
        _ => false,
    });
    let inverted = refused.filter(|high| {
        let refused_at = high.ended;
        started.iter().any(|(low, start)| {
            low.pool == high.pool
                && low.rank > high.rank
                && low.sent < refused_at
                && *start > refused_at + GRANT_TRANSIT_TIME
        })
    });
    inverted.count() as u64
}

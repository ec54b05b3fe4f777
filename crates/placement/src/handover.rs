//! What a scheduler learns when it takes over the targets of another one.
//!
//! Home nodes report the requests that they have in progress as [`HeldSlot`]s, so that the successor
//! counts what its targets hold and learns how it ends. The predecessor has sent what it knew of its
//! targets as [`TargetReport`]s to the node next in rank, which starts from them.

use compact_str::CompactString;
use derive_more::{Display, Error};
use rwd_types::{InstanceName, PoolName, TargetName};
use serde::{Deserialize, Serialize};

use crate::scheduler::Pool;
use crate::target::Target;
use crate::{OfferId, Scheduler, Timestamp};

/// Share of a target's slots that a scheduler grants until home nodes have reported.
const SUCCESSOR_SLOT_SHARE: f64 = 0.5;
/// Time after a takeover by which home nodes whose links broke have reported, in milliseconds: they
/// find a link broken within 700 ms.
const SLOT_REPORT_MS: f64 = 1000.0;
/// Time after a takeover from a scheduler that was active until then in which no slot is granted, in
/// milliseconds: home nodes report slots whose links were reset within 100 ms.
const HOLD_MS: f64 = 150.0;
/// Age up to which a report of a predecessor shows that it was active, in milliseconds.
const ACTIVE_REPORT_MS: f64 = 4000.0;
/// Age above which what a predecessor sent is only a hint, in milliseconds.
pub(crate) const HINT_AGE_MS: f64 = 10_000.0;
/// Targets in one message of a scheduler to its successor.
pub const MAX_REPORTS: usize = 16;
/// Adopted requests of one target.
pub(crate) const MAX_ADOPTED: usize = 256;
/// Longest time that a reported request has been or will be in progress, in milliseconds.
const MAX_HELD_MS: f64 = 3_600_000.0;
/// Largest plausible speed of a target, in milliseconds for a token.
const MAX_MS_PER_TOKEN: f64 = 60_000.0;
/// Longest plausible call of a service, in milliseconds.
const MAX_CALL_MS: f64 = 3_600_000.0;

/// A report with a value that has no meaning.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
#[display("{field} of {target} is out of range")]
pub struct BadReport {
    /// The target that the report is about.
    pub target: TargetName,
    /// The field.
    pub field: &'static str,
}

/// The result of checking a report.
pub type Result<T> = std::result::Result<T, BadReport>;

/// A granted slot that its home node reports to the shard's new scheduler.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HeldSlot {
    /// The shard.
    pub shard: PoolName,
    /// The target.
    pub target: TargetName,
    /// The caller's id of the request.
    pub request: CompactString,
    /// Worst-case memory of the request, in tokens.
    pub tokens: u32,
    /// Prompt tokens that the target has not read yet.
    pub unread: u32,
    /// Milliseconds since the slot was granted.
    pub held_ms: f64,
    /// Milliseconds until the home node gives up on the request.
    pub left_ms: f64,
}

impl HeldSlot {
    /// Checks that all values have a meaning.
    ///
    /// # Errors
    ///
    /// Names the first field that is out of range.
    pub fn check(&self) -> Result<()> {
        let fields = [("held_ms", self.held_ms), ("left_ms", self.left_ms)];
        check(&self.target, fields.map(|(f, v)| (f, v, 0.0, MAX_HELD_MS)))
    }
}

/// What the part of a target's state that is learned from its concurrency hands over.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct TargetEstimate {}

/// What a scheduler has learned of a target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TargetReport {
    /// The target.
    pub target: TargetName,
    /// Start time of its process.
    pub born: u64,
    /// Prefill time per token, in milliseconds.
    pub prefill_ms_per_token: f32,
    /// Decode time per token, in milliseconds.
    pub step_ms: f32,
    /// Duration of a service call, in milliseconds.
    pub call_ms: f32,
    /// Recent failure rate, from 0 to 1.
    pub failures: f32,
    /// What was learned of its capacity.
    pub estimate: TargetEstimate,
}

impl TargetReport {
    /// Checks that all values have a meaning.
    ///
    /// # Errors
    ///
    /// Names the first field that is out of range.
    pub fn check(&self) -> Result<()> {
        let positive = f64::from(f32::MIN_POSITIVE);
        let fields = [
            (
                "prefill_ms_per_token",
                self.prefill_ms_per_token,
                positive,
                MAX_MS_PER_TOKEN,
            ),
            ("step_ms", self.step_ms, positive, MAX_MS_PER_TOKEN),
            ("call_ms", self.call_ms, positive, MAX_CALL_MS),
            ("failures", self.failures, 0.0, 1.0),
        ];
        check(
            &self.target,
            fields.map(|(f, v, min, max)| (f, f64::from(v), min, max)),
        )
    }
}

fn check<const N: usize>(
    target: &TargetName,
    fields: [(&'static str, f64, f64, f64); N],
) -> Result<()> {
    // A value that is not a number is in no range.
    let bad = fields
        .into_iter()
        .find(|(_, value, min, max)| !(min..=max).contains(&value));
    match bad {
        Some((field, ..)) => Err(BadReport {
            target: target.clone(),
            field,
        }),
        None => Ok(()),
    }
}

/// Share of a target's slots that a scheduler may grant itself so long after it has taken over, in
/// milliseconds; `None` if that is all of them.
pub(crate) fn slot_share(since_ms: f64, had_predecessor: bool) -> Option<f64> {
    match since_ms {
        ms if ms < HOLD_MS && had_predecessor => Some(0.0),
        ms if ms < SLOT_REPORT_MS => Some(SUCCESSOR_SLOT_SHARE),
        _ => None,
    }
}

/// Speeds of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Speeds {
    pub prefill_ms_per_token: f64,
    pub step_ms: f64,
    pub call_ms: f64,
}

impl Speeds {
    /// The medians of several targets; `None` without any.
    pub fn median(all: &[Self]) -> Option<Self> {
        let of = |value: fn(&Self) -> f64| {
            let mut values: Vec<f64> = all.iter().map(value).collect();
            values.sort_by(f64::total_cmp);
            values.get(values.len() / 2).copied()
        };
        Some(Self {
            prefill_ms_per_token: of(|s| s.prefill_ms_per_token)?,
            step_ms: of(|s| s.step_ms)?,
            call_ms: of(|s| s.call_ms)?,
        })
    }

    /// Halfway between these speeds and others.
    pub fn halfway(self, other: Self) -> Self {
        let mean = |a: f64, b: f64| (a + b) / 2.0;
        Self {
            prefill_ms_per_token: mean(self.prefill_ms_per_token, other.prefill_ms_per_token),
            step_ms: mean(self.step_ms, other.step_ms),
            call_ms: mean(self.call_ms, other.call_ms),
        }
    }
}

impl Pool {
    /// The median speeds of the pool's targets.
    pub fn median_speeds(&self) -> Option<Speeds> {
        let all: Vec<_> = self.targets.values().map(Target::speeds).collect();
        Speeds::median(&all)
    }

    /// Prepares for granting the slots of another scheduler's targets.
    pub fn take_over(&mut self, now: Timestamp) {
        let reported = self.reported.take();
        self.had_predecessor = reported.is_some_and(|t| now - t < ACTIVE_REPORT_MS);
        let median = self.median_speeds();
        let targets = self.targets.values_mut();
        targets.for_each(|t| t.take_over(median, now));
    }
}

impl Scheduler {
    /// Counts a request in progress that another scheduler granted, as its home node reports it.
    ///
    /// Returns the id for its outcome, or `None` if the target is unknown or has too many.
    pub fn adopt(
        &mut self,
        held: &HeldSlot,
        home: &InstanceName,
        now: Timestamp,
    ) -> Option<OfferId> {
        // A pool may have been partitioned anew since the slot was granted.
        let has = |p: &Pool| p.targets.contains_key(&held.target);
        let pool = match self.pools.get(&held.shard) {
            Some(p) if has(p) => held.shard.clone(),
            _ => self.pools.iter().find(|(_, p)| has(p))?.0.clone(),
        };
        let target = self.pools.get_mut(&pool)?.targets.get_mut(&held.target)?;
        let id = OfferId(self.next_id + 1);
        if let Some(before) = target.adopt(id, held, home, now)? {
            self.granted.swap_remove(&before);
        }
        self.next_id = id.0;
        self.granted.insert(id, (pool, held.target.clone()));
        Some(id)
    }

    /// What the successor is told of a pool's targets, some of them with each call; nothing if this
    /// scheduler does not schedule the pool.
    pub fn reports(&mut self, pool: &PoolName, now: Timestamp) -> Vec<TargetReport> {
        let Some(pool) = self.pools.get_mut(pool).filter(|p| p.is_active(now)) else {
            return Vec::new();
        };
        let count = pool.targets.len().min(MAX_REPORTS);
        let first = pool.next_report;
        pool.next_report = (first + count) % pool.targets.len().max(1);
        let targets = pool.targets.values().cycle().skip(first).take(count);
        targets.map(|t| t.report(now)).collect()
    }

    /// Applies what a pool's scheduler has learned, unless this one schedules the pool.
    pub fn learn(&mut self, pool: &PoolName, reports: &[TargetReport], now: Timestamp) {
        let Some(pool) = self.pools.get_mut(pool).filter(|p| !p.is_active(now)) else {
            return;
        };
        pool.reported = Some(now);
        for report in reports {
            if let Some(t) = pool.targets.get_mut(&report.target) {
                t.learn(report, now);
            }
        }
    }
}

//! Targets that this node must not send requests to, because their responses said so.
//!
//! A target that leaves says so in its responses, before or without an entry in the registry. A
//! target that refuses a request may name a time for which it wants no other from this node.

use indexmap::IndexMap;
use rwd_placement::Timestamp;
use rwd_types::TargetName;
use std::sync::{Mutex, MutexGuard};

/// Maximum number of targets remembered for each reason; the oldest are dropped.
const MAX_TARGETS: usize = 4096;
/// Longest time that a target may put this node off, in milliseconds.
const MAX_HOLD_MS: f64 = 3_600_000.0;

/// Why a target gets no request from this node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Withheld {
    /// It leaves.
    Leaving,
    /// It wants no request for so long, in milliseconds.
    Held {
        /// Time left.
        left_ms: f64,
    },
}

/// A hold that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedHold {
    /// The target.
    pub target: TargetName,
    /// How long it lasted, in milliseconds.
    pub lasted_ms: f64,
}

#[derive(Clone, Copy, Debug)]
struct Hold {
    since: Timestamp,
    until: Timestamp,
}

#[derive(Default)]
struct Inner {
    // The start time of each process that leaves: a target that is started again under its name
    // is another one.
    leaving: IndexMap<TargetName, u64>,
    holds: IndexMap<TargetName, Hold>,
}

/// What targets have told this node.
#[derive(Default)]
pub struct WithheldTargets {
    inner: Mutex<Inner>,
}

impl WithheldTargets {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Records that a target, started at `born`, leaves. Returns whether that is news.
    pub fn record_leaving(&self, target: &TargetName, born: u64) -> bool {
        let mut inner = self.lock();
        let known = inner.leaving.insert(target.clone(), born);
        while inner.leaving.len() > MAX_TARGETS {
            inner.leaving.shift_remove_index(0);
        }
        known != Some(born)
    }

    /// Records that a target wants no request for `hold_ms` milliseconds; the later end of two counts.
    /// Returns the time left.
    pub fn record_hold(&self, target: &TargetName, hold_ms: f64, now: Timestamp) -> f64 {
        let until = now + hold_ms.min(MAX_HOLD_MS);
        let mut inner = self.lock();
        let hold = inner.holds.entry(target.clone());
        let hold = hold.or_insert(Hold { since: now, until });
        hold.until = Timestamp(hold.until.0.max(until.0));
        let left_ms = hold.until - now;
        while inner.holds.len() > MAX_TARGETS {
            inner.holds.shift_remove_index(0);
        }
        left_ms
    }

    /// Why a target, started at `born`, gets no request now.
    pub fn check(&self, target: &TargetName, born: u64, now: Timestamp) -> Option<Withheld> {
        let inner = self.lock();
        let left_ms = inner.holds.get(target).map(|h| h.until - now);
        match (inner.leaving.get(target), left_ms) {
            (Some(known), _) if *known == born => Some(Withheld::Leaving),
            (_, Some(left_ms)) if left_ms > 0.0 => Some(Withheld::Held { left_ms }),
            _ => None,
        }
    }

    /// Removes the holds that have ended.
    pub fn take_ended(&self, now: Timestamp) -> Vec<EndedHold> {
        let mut inner = self.lock();
        let mut ended = Vec::new();
        inner.holds.retain(|target, hold| {
            let is_over = hold.until <= now;
            if is_over {
                ended.push(EndedHold {
                    target: target.clone(),
                    lasted_ms: hold.until - hold.since,
                });
            }
            !is_over
        });
        ended
    }
}

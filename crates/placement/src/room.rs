//! How much room a pool has: free slots, and the wait of a request that arrives now.
//!
//! Schedulers of the shards of one pool report it to each other, so that requests go where slots
//! are free.

use serde::{Deserialize, Serialize};

use crate::Timestamp;

/// Time constant of the grant rate, in milliseconds.
const RATE_DECAY_MS: f64 = 2000.0;
/// Upper bound of the expected wait, in milliseconds; longer ones make no difference.
pub const MAX_WAIT_MS: u32 = 60_000;
/// Upper bound of the free slots of a room; a list of targets may name any number.
pub const MAX_FREE_SLOTS: u32 = 1 << 16;

/// The room of a pool.
///
/// Integers only, so that no value of a peer is out of order.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Room {
    /// Free slots of usable targets.
    pub free: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// Expected wait of a new request that can still meet its latency objective, in milliseconds.
    pub wait_ms: u32,
}

impl Room {
    /// The room of a pool with `ahead` requests before a new one, and slots granted at `rate`.
    pub(crate) fn new(free: u32, waiting: usize, ahead: usize, rate: f64) -> Self {
        let wait_ms = match free {
            0 => ((ahead + 1) as f64 / rate).min(f64::from(MAX_WAIT_MS)) as u32,
            _ => 0,
        };
        Self {
            free: free.min(MAX_FREE_SLOTS),
            waiting: u32::try_from(waiting).unwrap_or(u32::MAX),
            wait_ms,
        }
    }
}

/// Exponentially decayed rate of granted slots.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct GrantRate {
    count: f64,
    at: Timestamp,
}

impl GrantRate {
    /// Counts granted slots.
    pub fn record(&mut self, grants: usize, now: Timestamp) {
        self.count = self.decayed(now) + grants as f64;
        self.at = now;
    }

    /// Slots granted per millisecond. While requests wait, slots are granted as fast as they come
    /// free.
    pub fn per_ms(&self, now: Timestamp) -> f64 {
        self.decayed(now) / RATE_DECAY_MS
    }

    fn decayed(&self, now: Timestamp) -> f64 {
        self.count * (-(now - self.at).max(0.0) / RATE_DECAY_MS).exp()
    }
}

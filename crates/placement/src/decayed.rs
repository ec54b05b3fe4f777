//! Sums that decay exponentially.

use crate::Timestamp;

/// Time constant of the decay, in milliseconds.
pub(crate) const DECAY_MS: f64 = 1500.0;

/// A sum that decays; with a constant rate of additions it tends to that rate times `DECAY_MS`.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Decayed {
    sum: f64,
    at: Timestamp,
}

impl Decayed {
    /// The sum at `now`.
    pub fn get(self, now: Timestamp) -> f64 {
        self.sum * decay(now - self.at)
    }

    /// Adds to the sum, which stays at or above zero.
    pub fn add(&mut self, x: f64, now: Timestamp) {
        self.sum = (self.get(now) + x).max(0.0);
        self.at = now;
    }

    /// When the sum changed last.
    pub fn changed_at(self) -> Timestamp {
        self.at
    }
}

/// What remains of 1 after `ms`.
pub(crate) fn decay(ms: f64) -> f64 {
    (-ms.max(0.0) / DECAY_MS).exp()
}

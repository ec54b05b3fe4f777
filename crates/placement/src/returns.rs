//! When refused callers are asked to come back.

use crate::{Offer, Timestamp};

/// Lower bound of `Retry-After`, in milliseconds.
const MIN_RETRY_AFTER_MS: f64 = 300.0;
/// Time between the retries of two refused callers, in milliseconds.
const RETRY_SPACING_MS: f64 = 12.0;
/// Earliest retry as a fraction of the latest one: a caller that comes back too soon finds the pool
/// still full, and it retries only once.
const MIN_RETRY_FRACTION: f64 = 0.4;
/// Fraction of a caller's remaining time beyond which it ignores `Retry-After`.
const MAX_RETRY_FRACTION: f64 = 0.3;

/// Spaces out the retries of refused callers of one pool.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Returns {
    next: Timestamp,
}

impl Returns {
    /// Time after which the caller of a refused request may retry, in milliseconds.
    ///
    /// When more callers are refused than fit into the retry window of one, the times wrap around.
    pub fn schedule(&mut self, offer: &Offer, waited_ms: f64, now: Timestamp) -> f64 {
        let left = (offer.time_left_ms - waited_ms).max(0.0);
        let latest_ms = left * MAX_RETRY_FRACTION;
        let earliest_ms = MIN_RETRY_AFTER_MS.max(latest_ms * MIN_RETRY_FRACTION);
        let window = latest_ms - earliest_ms;
        if window <= 0.0 {
            return latest_ms;
        }
        let offset_ms = (self.next - now).max(0.0);
        self.next = now + offset_ms + RETRY_SPACING_MS;
        earliest_ms + offset_ms % window
    }
}

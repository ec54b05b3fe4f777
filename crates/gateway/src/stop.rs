//! The times of a planned stop.

use std::time::Duration;

/// How long callers that still hold the address are served: what they send within 3 s of the
/// signal may still be at work when the process has to end, later requests may not.
const LATE_REQUESTS: Duration = Duration::from_secs(3);
/// How long a leaving node stays to tell callers to go elsewhere: they keep lookups for up to
/// three lifetimes.
const LINGER: Duration = Duration::from_secs(6);
/// Part of the time that is left for closing connections.
const MARGIN: Duration = Duration::from_millis(900);

/// Times after the signal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShutdownPlan {
    /// Time between two looks at how far the stop has come.
    pub poll: Duration,
    /// From when on new requests are refused.
    pub refuse_from: Duration,
    /// When the process may end if nothing is in progress.
    pub linger: Duration,
    /// When connections are closed whatever is in progress.
    pub close: Duration,
    /// When the process ends.
    pub end: Duration,
}

impl ShutdownPlan {
    /// The times of a stop for which the platform gives `grace`.
    pub fn new(grace: Duration) -> Self {
        let poll = Duration::from_millis(100);
        let close = grace.saturating_sub(MARGIN);
        Self {
            poll,
            // The bound holds for a request that comes just before the last look.
            refuse_from: LATE_REQUESTS.min(close / 2).saturating_sub(3 * poll),
            linger: LINGER.min(close),
            close,
            end: close + MARGIN / 2,
        }
    }
}

//! The clock for replica ages and request deadlines, and Unix times of records that outlive a process.

use rustix::time::{ClockId, clock_gettime};
use rwd_placement::Timestamp;
use std::time::{SystemTime, UNIX_EPOCH};

/// The time since boot, in milliseconds.
///
/// Unlike tokio's clock it includes time in which the machine was suspended, so a replica that was
/// fresh before a suspension is stale after it.
pub fn now() -> Timestamp {
    let t = clock_gettime(ClockId::Boottime);
    Timestamp(t.tv_sec as f64 * 1e3 + t.tv_nsec as f64 / 1e6)
}

/// Unix times that do not follow steps of the time of day while the process runs.
#[derive(Clone, Copy, Debug)]
pub struct UnixClock {
    // Unix time in milliseconds at `started`.
    started_ms: f64,
    started: Timestamp,
}

impl UnixClock {
    /// A clock that starts at `started`, when the Unix time was `unix_ms` milliseconds.
    pub fn new(unix_ms: f64, started: Timestamp) -> Self {
        Self {
            started_ms: unix_ms,
            started,
        }
    }

    /// A clock that starts now with the time of day.
    pub(crate) fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        Self::new(unix.unwrap_or_default().as_secs_f64() * 1000.0, now())
    }

    /// The Unix time `age_ms` milliseconds before `now`, in milliseconds.
    pub fn unix_ms(&self, age_ms: f64, now: Timestamp) -> f64 {
        self.started_ms + (now - self.started) - age_ms
    }

    /// How many milliseconds ago `unix_ms` was; zero if another machine's clock is ahead.
    pub fn age_ms(&self, unix_ms: f64, now: Timestamp) -> f64 {
        (self.unix_ms(0.0, now) - unix_ms).max(0.0)
    }
}

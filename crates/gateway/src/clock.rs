//! The clock for replica ages and request deadlines.

use rustix::time::{ClockId, clock_gettime};
use rwd_placement::Timestamp;

/// The time since boot, in milliseconds.
///
/// Unlike tokio's clock it includes time in which the machine was suspended, so a replica that was
/// fresh before a suspension is stale after it.
pub fn now() -> Timestamp {
    let t = clock_gettime(ClockId::Boottime);
    Timestamp(t.tv_sec as f64 * 1e3 + t.tv_nsec as f64 / 1e6)
}

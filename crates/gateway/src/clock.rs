//! The clock by which views age and requests expire.

use rustix::time::{ClockId, clock_gettime};
use rwd_placement::Timestamp;

/// The time since boot, in milliseconds.
///
/// It counts time in which the machine was suspended; tokio's clock does not. A view that was
/// fresh before a suspension is stale after it.
pub fn now() -> Timestamp {
    let t = clock_gettime(ClockId::Boottime);
    Timestamp(t.tv_sec as f64 * 1e3 + t.tv_nsec as f64 / 1e6)
}

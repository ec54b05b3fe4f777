//! Which waiting requests will not be served before their wait ends.

use crate::queue::{Order, Waiting};

/// Factor applied to the expected wait of a request that is repeated before its return time. The
/// queue of a pool that is short is as long as requests wait, so a repeat must not get a place
/// because it asks more often.
const EARLY_REPEAT_FACTOR: f64 = 2.0;

/// What a pool will serve of its queue, which is walked in service order.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Forecast {
    wait_per_ms: f64,
    late_per_ms: f64,
    late: u32,
    // Of the requests ahead that stay queued: late ones, those on time that will turn late, and
    // slot time in milliseconds.
    late_ahead: u32,
    turning_late: u32,
    ahead_ms: f64,
}

impl Forecast {
    /// A forecast for a queue with `late` late requests. `wait_per_ms` is the expected wait for each
    /// millisecond of slot time ahead, `late_per_ms` the late requests served per millisecond.
    pub fn new(wait_per_ms: f64, late_per_ms: f64, late: usize) -> Self {
        Self {
            wait_per_ms,
            late_per_ms,
            late: late as u32,
            ..Self::default()
        }
    }

    /// Whether a late request would wait for longer than the `left_ms` that it has. Late requests
    /// are served only when no request on time is queued, so their recent service rate predicts the
    /// wait.
    pub fn is_late_in_vain(&self, w: &Waiting, left_ms: f64) -> bool {
        w.is_late() && f64::from(self.late_ahead) / self.late_per_ms > left_ms
    }

    /// Whether any request would wait in vain: `until_late_ms` from now it turns late, and it gives
    /// up after `left_ms`.
    pub fn is_in_vain(&self, w: &Waiting, until_late_ms: f64, left_ms: f64) -> bool {
        let late_wait_ms = f64::from(self.late + self.turning_late) / self.late_per_ms;
        self.is_late_in_vain(w, left_ms)
            || self.wait_ms(w) > left_ms
            || (self.turns_late(w, until_late_ms) && until_late_ms + late_wait_ms > left_ms)
    }

    /// Counts a request that stays queued.
    pub fn keep(&mut self, w: &Waiting, until_late_ms: f64) {
        self.turning_late += u32::from(self.turns_late(w, until_late_ms));
        self.late_ahead += u32::from(w.is_late());
        self.ahead_ms += w.slot_ms;
    }

    /// Time until what was kept will have been served, in milliseconds.
    pub fn drain_ms(&self) -> f64 {
        self.ahead_ms * self.wait_per_ms
    }

    fn wait_ms(&self, w: &Waiting) -> f64 {
        match w.repeats_early {
            true => self.drain_ms() * EARLY_REPEAT_FACTOR,
            false => self.drain_ms(),
        }
    }

    // A caller that has come back when asked does not come back again, so its request is not given
    // up before it is late.
    fn turns_late(&self, w: &Waiting, until_late_ms: f64) -> bool {
        let has_retry = !w.offer.returned || w.repeats_early;
        let is_on_time = matches!(w.order, Order::OnTime(..));
        is_on_time && has_retry && self.wait_ms(w) > until_late_ms
    }
}

//! Counts a target's requests against the limits that it names.

/// Length of the windows in which requests are counted, in milliseconds.
const WINDOW_MS: f64 = 4000.0;
/// Requests allowed in a window, as a multiple of what the limit allows.
const TOLERANCE: f64 = 1.5;
/// Requests allowed in a window beyond that.
const SLACK: f64 = 5.0;

/// A window with more requests than are allowed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Excess {
    /// End of the window, in milliseconds.
    pub until_ms: f64,
    /// Requests in it.
    pub requests: usize,
    /// Requests allowed in it.
    pub allowed: f64,
}

/// The limits that a target has named over time, and the requests that reached it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LimitCount {
    changes: Vec<(f64, Option<f64>)>,
    arrivals: Vec<f64>,
}

impl LimitCount {
    /// Records that from `at_ms` on the target names `limit`, in requests per second.
    pub fn name(&mut self, at_ms: f64, limit: Option<f64>) {
        self.changes.push((at_ms, limit));
    }

    /// Records a request that reached the target.
    pub fn arrive(&mut self, at_ms: f64) {
        self.arrivals.push(at_ms);
    }

    /// The limit that the target names at `at_ms`.
    pub fn limit_at(&self, at_ms: f64) -> Option<f64> {
        let before = self.changes.iter().rev().find(|(at, _)| *at <= at_ms);
        before.and_then(|(_, limit)| *limit)
    }

    /// Requests that reached the target in an interval.
    pub fn arrived(&self, from_ms: f64, until_ms: f64) -> usize {
        let within = |at: &&f64| **at > from_ms && **at <= until_ms;
        self.arrivals.iter().filter(within).count()
    }

    /// What the limits allow in an interval; `None` if there was no limit for a part of it.
    pub fn allowance(&self, from_ms: f64, until_ms: f64) -> Option<f64> {
        let ends = self.changes.iter().skip(1).map(|(at, _)| *at);
        let ends = ends.chain([f64::INFINITY]);
        let mut total = 0.0;
        let mut covered_ms = 0.0;
        for ((start, limit), end) in self.changes.iter().zip(ends) {
            let ms = end.min(until_ms) - start.max(from_ms);
            if ms > 0.0 {
                total += (*limit)? * ms / 1000.0;
                covered_ms += ms;
            }
        }
        // The changes may begin within the interval.
        (covered_ms > until_ms - from_ms - 1e-6).then_some(total)
    }

    // Since when the target has named limits without a break, at `at_ms`.
    fn named_since(&self, at_ms: f64) -> Option<f64> {
        let before = self.changes.iter().rev().skip_while(|(at, _)| *at > at_ms);
        let named = before.take_while(|(_, limit)| limit.is_some());
        named.last().map(|(at, _)| *at)
    }

    /// The first window with too many requests, among those that begin at least `settle_ms` after
    /// the target first named its limit.
    pub fn excess(&self, settle_ms: f64) -> Option<Excess> {
        let windows = self.arrivals.iter().filter_map(|until| {
            let from = until - WINDOW_MS;
            let settled = self
                .named_since(from)
                .is_some_and(|at| from >= at + settle_ms);
            let allowance = self.allowance(from, *until).filter(|_| settled)?;
            Some(Excess {
                until_ms: *until,
                requests: self.arrived(from, *until),
                allowed: allowance * TOLERANCE + SLACK,
            })
        });
        let mut windows = windows;
        windows.find(|w| w.requests as f64 > w.allowed)
    }
}

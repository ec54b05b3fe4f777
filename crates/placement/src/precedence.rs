//! Keeps less urgent requests from being served more often than more urgent ones.
//!
//! Requests are ordered by slot time over weight, so a route priority whose requests hold their
//! slots for long can fall behind a lower one whose requests are short. In an overload that starves
//! it. This module compares how many requests of each route priority get a slot in time, and raises
//! the weight of those that fall behind.

use indexmap::IndexMap;

use crate::Timestamp;

/// Time constant of the counts, in milliseconds: some bursts, and many requests of each priority.
const WINDOW_MS: f64 = 4000.0;
/// Shortfall of the served share that is tolerated, so that chance does not change the order.
const TOLERATED: f64 = 0.04;
/// Requests of a priority in the window below which its share says little.
const MIN_REQUESTS: f64 = 20.0;
/// Time in which the weight of a priority that falls behind doubles, in milliseconds.
const DOUBLING_MS: f64 = 400.0;
/// Largest factor of a weight.
const MAX_FACTOR: f64 = 64.0;
/// Ratio between a priority that is raised as far as possible and the one before it.
const JUST_BEHIND: f64 = 1.001;
/// Longest time that one update accounts for, in milliseconds.
const MAX_STEP_MS: f64 = 200.0;

#[derive(Clone, Copy, Debug)]
struct Tally {
    // Requests that were decided on, and those among them that got a slot in time.
    decided: f64,
    in_time: f64,
    factor: f64,
}

impl Default for Tally {
    fn default() -> Self {
        Self {
            decided: 0.0,
            in_time: 0.0,
            factor: 1.0,
        }
    }
}

/// The route priorities of one pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct Precedence {
    by_priority: IndexMap<u8, Tally>,
    updated_at: Option<Timestamp>,
}

impl Precedence {
    /// Records that a request of a route priority got a slot in time, or that it did not.
    pub fn record(&mut self, priority: u8, in_time: bool) {
        let tally = self.by_priority.entry(priority).or_default();
        tally.decided += 1.0;
        tally.in_time += f64::from(u8::from(in_time));
    }

    /// Raises the order of route priorities that fall behind, from the ratios of slot time and weight
    /// by priority, of which the lowest is served first. A priority is raised at most to just behind
    /// those more urgent ones that it was behind before.
    pub fn raise(&self, ratios: &mut IndexMap<u8, f64>) {
        ratios.sort_unstable_keys();
        let mut ahead: Vec<(f64, f64)> = Vec::with_capacity(ratios.len());
        for (priority, ratio) in ratios.iter_mut() {
            let factor = self.by_priority.get(priority).map_or(1.0, |t| t.factor);
            let before = ahead.iter().filter(|(given, _)| given < ratio);
            let limit = before.map(|(_, raised)| raised * JUST_BEHIND);
            let raised = limit.fold(*ratio / factor, f64::max).min(*ratio);
            ahead.push((*ratio, raised));
            *ratio = raised;
        }
    }

    /// Adjusts the factors to the shares of requests that were served in time.
    pub fn update(&mut self, now: Timestamp) {
        let elapsed_ms = self.updated_at.map_or(0.0, |t| (now - t).max(0.0));
        self.updated_at = Some(now);
        let step = 2_f64.powf(elapsed_ms.min(MAX_STEP_MS) / DOUBLING_MS);
        let decay = (-elapsed_ms / WINDOW_MS).exp();
        let served = |t: &Tally| (t.decided >= MIN_REQUESTS).then(|| t.in_time / t.decided);
        // The best share among the lower priorities, from the lowest up.
        let mut best_below: Option<f64> = None;
        self.by_priority.sort_unstable_keys();
        for tally in self.by_priority.values_mut().rev() {
            let share = served(tally);
            let falls_behind = match (share, best_below) {
                (Some(own), Some(below)) => own < below - TOLERATED,
                _ => false,
            };
            tally.factor = match falls_behind {
                true => (tally.factor * step).min(MAX_FACTOR),
                false => (tally.factor / step.sqrt()).max(1.0),
            };
            best_below = match (share, best_below) {
                (Some(own), Some(below)) => Some(own.max(below)),
                (own, below) => own.or(below),
            };
            tally.decided *= decay;
            tally.in_time *= decay;
        }
    }
}

//! When refused callers are asked to come back.

use indexmap::IndexMap;
use rwd_types::WorkspaceName;

use crate::decayed::{DECAY_MS, Decayed, decay};
use crate::queue::Waiting;
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
/// Earliest retry as a fraction of the latest one when more callers are refused than the pool will
/// take: the later they come back, the more likely the shortage is over.
const SPREAD_FRACTION: f64 = 0.8;
/// Refusals that are remembered; the oldest are forgotten first.
const MAX_REFUSALS: usize = 1024;
/// Workspaces whose next return time is remembered.
const MAX_WORKSPACES: usize = 512;
/// How much earlier than asked a caller may come back, in milliseconds: callers round their delays.
const EARLY_MS: f64 = 50.0;
/// Smoothing factor of the ratio of measured to expected slot times.
const RATIO_ALPHA: f64 = 0.05;
/// Bounds of that ratio.
const RATIO_BOUNDS: (f64, f64) = (0.2, 5.0);
/// Multiples of the golden ratio are spread evenly over the unit interval, however many there are.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

/// What tells a repeated request from others: the workspace, the last part of the prompt and its
/// length.
type Likeness = (WorkspaceName, u64, u32);

fn likeness(offer: &Offer) -> Option<Likeness> {
    let last = offer.parts.last()?;
    Some((offer.workspace.clone()?, last.id, offer.prompt))
}

/// The rate at which a pool serves, for one refusal.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceRate {
    /// Slot time that the pool serves, in milliseconds per millisecond.
    pub pool_rate: f64,
    /// Slot time that the request's workspace is given, in the same unit.
    pub workspace_rate: f64,
    /// For how long requests have been waiting without a break, in milliseconds.
    pub short_ms: f64,
    /// Time until what waits now will have been served, in milliseconds.
    pub drain_ms: f64,
}

/// Spaces out the retries of refused callers of one pool.
#[derive(Debug, Default)]
pub(crate) struct Returns {
    next: Timestamp,
    next_of: IndexMap<Option<WorkspaceName>, Timestamp>,
    // When refused callers were asked to come back.
    refusals: IndexMap<Likeness, Timestamp>,
    spread: u64,
    given: Decayed,
    // Measured over expected slot time, less 1.
    excess: f64,
}

impl Returns {
    /// Time after which the caller of a refused request may retry, in milliseconds.
    ///
    /// When more callers are refused than fit into the retry window of one, the times wrap around.
    pub fn schedule(&mut self, offer: &Offer, waited_ms: f64, now: Timestamp) -> f64 {
        let Window { earliest, latest } = Window::of(offer, waited_ms);
        let window = latest - earliest;
        if window <= 0.0 {
            return latest;
        }
        let offset_ms = (self.next - now).max(0.0);
        self.next = now + offset_ms + RETRY_SPACING_MS;
        earliest + offset_ms % window
    }

    /// Like [`Returns::schedule`], at the rate at which the pool will take the callers of the
    /// workspace. When more are refused than it takes within their retry window, they are spread
    /// evenly over its later part. A request that was repeated too early keeps its time.
    pub fn pace(&mut self, w: &Waiting, room: ServiceRate, now: Timestamp) -> f64 {
        let Window { earliest, latest } = Window::of(&w.offer, now - w.queued_at);
        if latest <= earliest {
            return latest;
        }
        let key = likeness(&w.offer);
        let asked = key.as_ref().and_then(|k| self.refusals.get(k)).copied();
        if let Some(due) = asked.filter(|due| *due > now + EARLY_MS) {
            return (due - now).min(latest);
        }
        let start = match room.drain_ms < latest {
            true => room.drain_ms.max(earliest),
            false => earliest,
        };
        let next = self.next_of.get(&w.offer.workspace).copied();
        let in_ms = (next.unwrap_or_default() - now).max(start);
        let delay_ms = match in_ms < latest {
            true => {
                let rate = room.workspace_rate.max(self.least_rate(w, room, now));
                // The longer a shortage lasts, the more of the room first requests will take.
                let rate = (rate * decay(room.short_ms)).max(f64::MIN_POSITIVE);
                let spacing_ms = w.slot_ms * self.ratio() / rate;
                // Without a rate, the callers of one workspace come back one in each window.
                let spacing_ms = spacing_ms.clamp(0.0, latest - earliest);
                self.remember_next(w, now + in_ms + spacing_ms, now);
                in_ms
            }
            false => {
                self.spread += 1;
                let from = earliest.max(latest * SPREAD_FRACTION);
                from + (self.spread as f64 * GOLDEN_RATIO).fract() * (latest - from)
            }
        };
        if let Some(key) = key {
            self.remember_refusal(key, now + delay_ms);
        }
        delay_ms
    }

    // Each workspace whose callers are to come back gets at least an even part of the pool's rate.
    fn least_rate(&self, w: &Waiting, room: ServiceRate, now: Timestamp) -> f64 {
        let others = self.next_of.iter();
        let others = others.filter(|(name, t)| **name != w.offer.workspace && **t > now);
        room.pool_rate / (others.count() + 1) as f64
    }

    fn remember_next(&mut self, w: &Waiting, next: Timestamp, now: Timestamp) {
        if self.next_of.len() >= MAX_WORKSPACES {
            self.next_of.retain(|_, t| *t > now);
        }
        if self.next_of.len() >= MAX_WORKSPACES {
            self.next_of.swap_remove_index(0);
        }
        self.next_of.insert(w.offer.workspace.clone(), next);
    }

    fn remember_refusal(&mut self, key: Likeness, due: Timestamp) {
        if self.refusals.len() >= MAX_REFUSALS {
            self.refusals.shift_remove_index(0);
        }
        self.refusals.insert(key, due);
    }

    /// Whether the offer repeats a refused request before its caller was asked to come back.
    pub fn is_early(&self, offer: &Offer, now: Timestamp) -> bool {
        let due = likeness(offer).and_then(|k| self.refusals.get(&k).copied());
        due.is_some_and(|due| due > now + EARLY_MS)
    }

    /// Counts a granted request.
    pub fn record_grant(&mut self, slot_ms: f64, now: Timestamp) {
        self.given.add(slot_ms * self.ratio(), now);
    }

    /// Learns how long a request held its slot, which was expected to be `slot_ms`.
    pub fn record_end(&mut self, slot_ms: f64, held_ms: f64) {
        let (least, most) = RATIO_BOUNDS;
        let sample = (held_ms / slot_ms).clamp(least, most) - 1.0;
        self.excess += RATIO_ALPHA * (sample - self.excess);
    }

    /// Measured over expected slot time.
    pub fn ratio(&self) -> f64 {
        1.0 + self.excess
    }

    /// Slot time that the pool serves, in milliseconds per millisecond: what is in progress, or what
    /// it was given lately if that is more.
    ///
    /// Requests only wait when no more of them fit, so those in progress are what fits.
    pub fn rate(&self, in_flight: usize, now: Timestamp) -> f64 {
        (in_flight as f64).max(self.given.get(now) / DECAY_MS)
    }
}

/// The delays that a caller honours, in milliseconds.
struct Window {
    earliest: f64,
    latest: f64,
}

impl Window {
    fn of(offer: &Offer, waited_ms: f64) -> Self {
        let left = (offer.time_left_ms - waited_ms).max(0.0);
        let latest = left * MAX_RETRY_FRACTION;
        Self {
            earliest: MIN_RETRY_AFTER_MS.max(latest * MIN_RETRY_FRACTION),
            latest,
        }
    }
}

//! The owner's state of one target.

use indexmap::IndexMap;
use rwd_config::{Class, Preset, Target};
use rwd_edge::BLOCK_TOKENS;
use rwd_types::{BlockHash, Millis, TierRank, Tokens};
use rwd_wire::{GrantOutcome, GrantReport, Offer};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::{CacheIndex, OfferId};

/// Smoothing factor of the token interval's moving average.
const EWMA_ALPHA: f64 = 0.2;
/// A target is a straggler above this multiple of its class's token interval.
const STRAGGLER_FACTOR: f64 = 2.5;
/// A straggler has recovered below this multiple of its class's token interval.
const RECOVERED_FACTOR: f64 = 1.6;
/// Shorter responses are too noisy to sample the token interval.
const MIN_SAMPLE_TOKENS: u64 = 4;
/// Initial backoff of an unreachable target.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// Longest backoff of an unreachable target.
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Time between two probe requests to a straggler.
const PROBE_PERIOD: Duration = Duration::from_secs(2);
/// Prefill speed assumed for a target without a class, in tokens per second.
const DEFAULT_PREFILL_PER_S: f64 = 10_000.0;

/// A slot in use.
#[derive(Debug)]
pub(crate) struct InFlight {
    pub tier: TierRank,
    pub offer: Offer,
    pub granted: Instant,
    pub cancel: Arc<Notify>,
    pub cancelled: bool,
    pub probe: bool,
}

/// Health of a target; only good targets get regular requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Health {
    Good,
    // Slower than its class; probed with one request at a time.
    Straggler { next_probe: Instant },
    // Unreachable or failing; probed after a backoff.
    Down { until: Instant, backoff: Duration },
}

#[derive(Debug)]
pub(crate) struct TargetState {
    pub target: Target,
    pub leaving: bool,
    pub health: Health,
    pub cache: CacheIndex,
    pub in_flight: IndexMap<OfferId, InFlight>,
    // Adaptive concurrency limit, which keeps the token interval in bounds.
    pub slots: f64,
    // Moving average of the milliseconds between two tokens of a stream.
    pub interval: f64,
    class_interval: f64,
    prefill_per_ms: f64,
    // Estimated time at which the prompts sent so far will have been processed.
    prefill_done: Instant,
    // Prompts that are being processed. An engine shares their blocks only afterwards.
    pending: VecDeque<PendingPrompt>,
}

#[derive(Debug)]
struct PendingPrompt {
    ready: Instant,
    blocks: Vec<BlockHash>,
}

impl TargetState {
    pub fn new(target: Target, class: Option<&Class>) -> Self {
        let class_interval = class.map_or(0.0, |c| c.token_interval.0 as f64);
        let prefill = class.map_or(DEFAULT_PREFILL_PER_S, |c| c.prefill.0 as f64);
        Self {
            slots: f64::from(target.slots),
            target,
            leaving: false,
            health: Health::Good,
            cache: CacheIndex::new(class.map_or(Tokens(0), |c| c.cache)),
            in_flight: IndexMap::new(),
            interval: class_interval,
            class_interval,
            prefill_per_ms: (prefill / 1000.0).max(0.001),
            prefill_done: Instant::now(),
            pending: VecDeque::new(),
        }
    }

    /// Returns whether a request of a tier would be a probe; `None` if it may not be sent now.
    pub fn free_slot(&self, now: Instant, tier: TierRank, preset: &Preset) -> Option<Probe> {
        let used = self.in_flight.len();
        match self.health {
            _ if self.leaving => None,
            Health::Good if self.has_slot_for(used, now, tier, preset) => Some(Probe(false)),
            Health::Straggler { next_probe } if used == 0 && now >= next_probe => Some(Probe(true)),
            Health::Down { until, .. } if now >= until && !self.has_probe() => Some(Probe(true)),
            _ => None,
        }
    }

    // The highest tier may use every slot. Lower tiers leave some slots free, and do not add to a
    // prefill backlog behind which the highest tier would have to wait.
    fn has_slot_for(&self, used: usize, now: Instant, tier: TierRank, preset: &Preset) -> bool {
        let slots = self.slots.floor().max(1.0);
        let reserved = f64::from(preset.reserved_slots).min(slots - 1.0);
        match tier {
            TierRank(0) => (used as f64) < slots,
            _ => {
                (used as f64) < slots - reserved
                    && self.prefill_wait(now) <= preset.prefill_backlog.duration()
            }
        }
    }

    fn prefill_wait(&self, now: Instant) -> Duration {
        self.prefill_done.saturating_duration_since(now)
    }

    /// Whether the target is eligible for regular requests.
    pub fn is_usable(&self) -> bool {
        !self.leaving && self.health == Health::Good
    }

    fn has_probe(&self) -> bool {
        self.in_flight.values().any(|f| f.probe)
    }

    /// Expected milliseconds until the response is complete, with prefill weighted by `weight`.
    pub fn cost(&self, offer: &Offer, now: Instant, weight: f64) -> f64 {
        let wait = self
            .prefill_done
            .saturating_duration_since(now)
            .as_secs_f64()
            * 1000.0;
        let load = self.in_flight.len() as f64 / self.slots.max(1.0);
        // A fuller batch decodes more slowly: the factor runs from 0.75 (idle) to 1.25 (full).
        let interval = self.interval.max(self.class_interval) * (0.75 + 0.5 * load);
        wait + weight * self.prefill_ms(offer) + offer.output.0 as f64 * interval + load
    }

    /// Lower bound of the response time in milliseconds, if none of the prompt is cached.
    pub fn min_time_uncached(&self, offer: &Offer) -> f64 {
        offer.prompt.0 as f64 / self.prefill_per_ms + offer.output.0 as f64 * self.class_interval
    }

    /// Lower bound of the response time in milliseconds.
    pub fn min_time(&self, offer: &Offer) -> f64 {
        let decode = offer.output.0 as f64 * self.class_interval;
        self.prefill_ms(offer) + decode
    }

    pub fn prefill_ms(&self, offer: &Offer) -> f64 {
        let cached = self.cache.cached(&offer.blocks).0;
        offer.prompt.0.saturating_sub(cached) as f64 / self.prefill_per_ms
    }

    /// Records the prompts that have been processed by `now` as cached.
    pub fn store_processed(&mut self, now: Instant) {
        while self.pending.front().is_some_and(|p| p.ready <= now) {
            if let Some(prompt) = self.pending.pop_front() {
                self.cache.store(&prompt.blocks);
            }
        }
    }

    /// Milliseconds until the prompt would be processed here if it waited for one in progress that
    /// shares most of its blocks; `None` if there is no such prompt.
    pub fn shared_prefill_ms(&self, offer: &Offer, now: Instant) -> Option<f64> {
        let times = self.pending.iter().filter_map(|p| {
            let same = p
                .blocks
                .iter()
                .zip(&offer.blocks)
                .take_while(|(a, b)| a == b);
            let shared = (same.count() * BLOCK_TOKENS) as u64;
            let rest = offer.prompt.0.saturating_sub(shared) as f64 / self.prefill_per_ms;
            let wait = p.ready.saturating_duration_since(now).as_secs_f64() * 1000.0;
            (shared * 2 > offer.prompt.0).then_some(wait + rest)
        });
        times.min_by(f64::total_cmp)
    }

    pub fn grant(&mut self, id: OfferId, in_flight: InFlight) {
        let now = in_flight.granted;
        let prefill = Duration::from_secs_f64(self.prefill_ms(&in_flight.offer) / 1000.0);
        self.prefill_done = self.prefill_done.max(now) + prefill;
        self.pending.push_back(PendingPrompt {
            ready: self.prefill_done,
            blocks: in_flight.offer.blocks.clone(),
        });
        if let (Health::Straggler { next_probe }, true) = (&mut self.health, in_flight.probe) {
            *next_probe = now + PROBE_PERIOD;
        }
        self.in_flight.insert(id, in_flight);
    }

    /// Frees a slot and updates the estimates; `token_interval` is the preset's limit.
    pub fn finish(&mut self, id: OfferId, finish: Option<&GrantReport>, token_interval: Millis) {
        let Some(done) = self.in_flight.swap_remove(&id) else {
            return;
        };
        let Some(finish) = finish else {
            return;
        };
        match finish.usage {
            GrantOutcome::Whole => self.observe(&done, finish, token_interval),
            GrantOutcome::Unreachable | GrantOutcome::TargetFailed => self.back_off(),
            GrantOutcome::Unused | GrantOutcome::Abandoned => (),
        }
        if let Some(cached) = finish.cached {
            self.cache.correct(&done.offer.blocks, cached);
        }
    }

    fn observe(&mut self, done: &InFlight, finish: &GrantReport, token_interval: Millis) {
        if matches!(self.health, Health::Down { .. }) {
            self.health = Health::Good;
        }
        if finish.output.0 < MIN_SAMPLE_TOKENS || self.class_interval <= 0.0 {
            return;
        }
        let sample = finish.decode.0 as f64 / (finish.output.0 - 1) as f64;
        match done.probe && sample < self.class_interval * RECOVERED_FACTOR {
            true => self.interval = sample,
            false => self.interval += EWMA_ALPHA * (sample - self.interval),
        }
        self.adapt_slots(token_interval.0 as f64);
        self.update_health();
    }

    // Additive increase, multiplicative decrease (AIMD), as in TCP congestion control.
    fn adapt_slots(&mut self, allowed: f64) {
        let max_slots = f64::from(self.target.slots);
        self.slots = match self.interval {
            i if i > allowed => (self.slots * 0.95).max(1.0),
            i if i < allowed * 0.85 => (self.slots + 0.2).min(max_slots),
            _ => self.slots,
        };
    }

    fn update_health(&mut self) {
        match self.health {
            Health::Good if self.interval > self.class_interval * STRAGGLER_FACTOR => {
                self.set_straggler()
            }
            Health::Straggler { .. } if self.interval < self.class_interval * RECOVERED_FACTOR => {
                self.health = Health::Good;
                self.slots = f64::from(self.target.slots);
            }
            _ => (),
        }
    }

    fn set_straggler(&mut self) {
        let next_probe = Instant::now() + PROBE_PERIOD;
        self.health = Health::Straggler { next_probe };
    }

    /// Marks the target as a straggler after a home node reports a slow stream.
    pub fn mark_straggler(&mut self) {
        if self.health == Health::Good {
            self.interval = self.interval.max(self.class_interval * STRAGGLER_FACTOR);
            self.set_straggler();
        }
    }

    fn back_off(&mut self) {
        let backoff = match self.health {
            Health::Down { backoff, .. } => (backoff * 2).min(MAX_BACKOFF),
            _ => INITIAL_BACKOFF,
        };
        let until = Instant::now() + backoff;
        self.health = Health::Down { until, backoff };
    }
}

/// Whether a request probes an unhealthy target for recovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Probe(pub bool);

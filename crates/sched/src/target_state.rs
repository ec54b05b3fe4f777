//! What the owner knows of one target.

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

use crate::{CacheIndex, WaitingId};

/// Weight of a new sample in the running estimates.
const SAMPLE_WEIGHT: f64 = 0.2;
/// A target is a straggler at this multiple of its class's time between tokens.
const STRAGGLER_FACTOR: f64 = 2.5;
/// A straggler has recovered below this multiple.
const RECOVERED_FACTOR: f64 = 1.6;
/// Answers shorter than this say little about speed.
const MIN_SAMPLE_TOKENS: u64 = 4;
/// First time for which a target that cannot be reached gets no work.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Longest such time.
const MAX_PAUSE: Duration = Duration::from_secs(5);
/// Time between two probe requests to a straggler.
const PROBE_PERIOD: Duration = Duration::from_secs(2);
/// Prompt speed assumed of a target without a class.
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

/// Whether a target is given work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Health {
    Good,
    // Slow: gets one request at a time to see whether it has recovered.
    Straggler { next_probe: Instant },
    // Cannot be reached.
    Down { until: Instant, pause: Duration },
}

#[derive(Debug)]
pub(crate) struct TargetState {
    pub target: Target,
    pub leaving: bool,
    pub health: Health,
    pub cache: CacheIndex,
    pub in_flight: IndexMap<WaitingId, InFlight>,
    // The number of requests that keeps the time between tokens in bounds.
    pub slots: f64,
    // Milliseconds between two tokens of a stream.
    pub interval: f64,
    reference: f64,
    prefill_per_ms: f64,
    // When the prompts sent so far will have been processed.
    prefill_done: Instant,
    // Prompts that are being processed: an engine shares their blocks only afterwards.
    pending: VecDeque<PendingPrompt>,
}

#[derive(Debug)]
struct PendingPrompt {
    ready: Instant,
    blocks: Vec<BlockHash>,
}

impl TargetState {
    pub fn new(target: Target, class: Option<&Class>) -> Self {
        let reference = class.map_or(0.0, |c| c.token_interval.0 as f64);
        let prefill = class.map_or(DEFAULT_PREFILL_PER_S, |c| c.prefill.0 as f64);
        Self {
            slots: f64::from(target.slots),
            target,
            leaving: false,
            health: Health::Good,
            cache: CacheIndex::new(class.map_or(Tokens(0), |c| c.cache)),
            in_flight: IndexMap::new(),
            interval: reference,
            reference,
            prefill_per_ms: (prefill / 1000.0).max(0.001),
            prefill_done: Instant::now(),
            pending: VecDeque::new(),
        }
    }

    /// Whether a request of a tier may be sent now, and if so whether it is a probe.
    pub fn free_slot(&self, now: Instant, tier: TierRank, preset: &Preset) -> Option<Probe> {
        let used = self.in_flight.len();
        match self.health {
            _ if self.leaving => None,
            Health::Good if self.takes(used, now, tier, preset) => Some(Probe(false)),
            Health::Straggler { next_probe } if used == 0 && now >= next_probe => Some(Probe(true)),
            Health::Down { until, .. } if now >= until && !self.probing() => Some(Probe(true)),
            _ => None,
        }
    }

    // The most valuable tier may use every slot; the others leave some of them, and do not add
    // to a backlog of prompts behind which it would have to wait.
    fn takes(&self, used: usize, now: Instant, tier: TierRank, preset: &Preset) -> bool {
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

    /// Whether regular work goes to the target when it has a free slot.
    pub fn is_usable(&self) -> bool {
        !self.leaving && self.health == Health::Good
    }

    fn probing(&self) -> bool {
        self.in_flight.values().any(|f| f.probe)
    }

    /// Expected milliseconds until an answer is complete, with the prompt weighted by `weight`.
    pub fn cost(&self, offer: &Offer, now: Instant, weight: f64) -> f64 {
        let wait = self
            .prefill_done
            .saturating_duration_since(now)
            .as_secs_f64()
            * 1000.0;
        let load = self.in_flight.len() as f64 / self.slots.max(1.0);
        // A fuller batch is slower; half the interval is taken as its share.
        let interval = self.interval.max(self.reference) * (0.75 + 0.5 * load);
        wait + weight * self.prefill_ms(offer) + offer.output.0 as f64 * interval + load
    }

    /// Least milliseconds until an answer could be complete, if nothing of it is cached.
    pub fn time_uncached(&self, offer: &Offer) -> f64 {
        offer.prompt.0 as f64 / self.prefill_per_ms + offer.output.0 as f64 * self.reference
    }

    /// Least milliseconds until an answer could be complete.
    pub fn least_time(&self, offer: &Offer) -> f64 {
        let decode = offer.output.0 as f64 * self.reference;
        self.prefill_ms(offer) + decode
    }

    pub fn prefill_ms(&self, offer: &Offer) -> f64 {
        let cached = self.cache.cached(&offer.blocks).0;
        offer.prompt.0.saturating_sub(cached) as f64 / self.prefill_per_ms
    }

    /// Counts prompts that have been processed by now as cached.
    pub fn settle(&mut self, now: Instant) {
        while self.pending.front().is_some_and(|p| p.ready <= now) {
            if let Some(prompt) = self.pending.pop_front() {
                self.cache.store(&prompt.blocks);
            }
        }
    }

    /// Milliseconds until a prompt would be processed here if it waited for one that is being
    /// processed and shares most of it; none if there is no such prompt.
    pub fn shared_soon(&self, offer: &Offer, now: Instant) -> Option<f64> {
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

    pub fn grant(&mut self, id: WaitingId, in_flight: InFlight) {
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

    /// Takes in how a request went; `token_interval` is what the preset allows.
    pub fn finish(&mut self, id: WaitingId, finish: Option<&GrantReport>, token_interval: Millis) {
        let Some(done) = self.in_flight.swap_remove(&id) else {
            return;
        };
        let Some(finish) = finish else {
            return;
        };
        match finish.usage {
            GrantOutcome::Whole => self.learn(&done, finish, token_interval),
            GrantOutcome::Unreachable | GrantOutcome::TargetFailed => self.failed(),
            GrantOutcome::Unused | GrantOutcome::Abandoned => (),
        }
        if let Some(cached) = finish.cached {
            self.cache.correct(&done.offer.blocks, cached);
        }
    }

    fn learn(&mut self, done: &InFlight, finish: &GrantReport, token_interval: Millis) {
        if matches!(self.health, Health::Down { .. }) {
            self.health = Health::Good;
        }
        if finish.output.0 < MIN_SAMPLE_TOKENS || self.reference <= 0.0 {
            return;
        }
        let sample = finish.decode.0 as f64 / (finish.output.0 - 1) as f64;
        match done.probe && sample < self.reference * RECOVERED_FACTOR {
            true => self.interval = sample,
            false => self.interval += SAMPLE_WEIGHT * (sample - self.interval),
        }
        self.adapt_slots(token_interval.0 as f64);
        self.judge();
    }

    // Additive increase, multiplicative decrease, as in congestion control.
    fn adapt_slots(&mut self, allowed: f64) {
        let most = f64::from(self.target.slots);
        self.slots = match self.interval {
            i if i > allowed => (self.slots * 0.95).max(1.0),
            i if i < allowed * 0.85 => (self.slots + 0.2).min(most),
            _ => self.slots,
        };
    }

    fn judge(&mut self) {
        match self.health {
            Health::Good if self.interval > self.reference * STRAGGLER_FACTOR => {
                self.set_straggler()
            }
            Health::Straggler { .. } if self.interval < self.reference * RECOVERED_FACTOR => {
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

    /// A home saw a stream make too little progress.
    pub fn slow(&mut self) {
        if self.health == Health::Good {
            self.interval = self.interval.max(self.reference * STRAGGLER_FACTOR);
            self.set_straggler();
        }
    }

    fn failed(&mut self) {
        let pause = match self.health {
            Health::Down { pause, .. } => (pause * 2).min(MAX_PAUSE),
            _ => FIRST_PAUSE,
        };
        let until = Instant::now() + pause;
        self.health = Health::Down { until, pause };
    }
}

/// Whether the next request to a target is there to see if it has recovered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Probe(pub bool);

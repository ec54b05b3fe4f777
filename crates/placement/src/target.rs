//! What a scheduler knows of one target, and what a request would cost there.

use indexmap::IndexMap;
use rwd_types::{InstanceName, TargetName, ZoneName};
use std::net::SocketAddr;

use crate::{Offer, OfferId, PromptCache, SlotOutcome, Timestamp};

/// Weight of a new sample in running estimates.
const SAMPLE_WEIGHT: f64 = 0.3;
/// Weight of a sample above the estimate.
const HIGH_SAMPLE_WEIGHT: f64 = 0.12;
/// Most that one sample may exceed the estimate, as a factor.
const MAX_SAMPLE_FACTOR: f64 = 3.0;
/// Prompt speed assumed before any measurement, in milliseconds a token.
const PREFILL_MS_PER_TOKEN: f64 = 0.03;
/// Time between tokens assumed before any measurement, in milliseconds.
const STEP_MS: f64 = 4.0;
/// Work of one plain call assumed before any measurement, in milliseconds.
const CALL_MS: f64 = 40.0;
/// Part of the time to the first byte that does not depend on the prompt, in milliseconds.
const BASE_FIRST_MS: f64 = 20.0;
/// Prompts shorter than this say little about the prompt speed, in tokens.
const MIN_PREFILL_SAMPLE: u32 = 400;
/// Answers shorter than this say little about the time between tokens, in tokens.
const MIN_STEP_SAMPLE: u32 = 16;
/// What a request across zones costs, in milliseconds of answer time.
const FAR_ZONE_MS: f64 = 15.0;
/// What a certain failure would cost, in milliseconds of answer time.
const FAILURE_MS: f64 = 3000.0;
/// Weight of a target's own failure in the share of failures.
const FAILED_WEIGHT: f64 = 0.25;
/// Weight of a broken connection or answer.
const BROKEN_WEIGHT: f64 = 0.35;
/// Weight of a target that could not be reached or kept silent.
const AWAY_WEIGHT: f64 = 0.5;
/// Share of the failures that is still remembered after a whole answer.
const REMEMBERED_SHARE: f64 = 0.7;
/// Time in which the memory of failures falls to a third, in milliseconds.
const FAILURE_DECAY_MS: f64 = 4000.0;
/// First pause of a target that cannot be reached, in milliseconds; it doubles with each failure.
const FIRST_PAUSE_MS: f64 = 250.0;
/// Longest such pause, in milliseconds.
const MAX_PAUSE_MS: f64 = 4000.0;
/// Nodes that fail to reach a target before it is taken to be down for all: one alone may be cut
/// off itself.
const WITNESSES: usize = 2;
/// Longest time between two tries of a target that is down, in milliseconds.
const MAX_DOWN_MS: f64 = 1000.0;
/// How long an answer proves that a target is at work, in milliseconds.
const PROVEN_MS: f64 = 1000.0;
/// Pause of a target that said it was full, in milliseconds.
const FULL_PAUSE_MS: f64 = 120.0;
/// Pause of a target whose address answers for another one, in milliseconds: by then the list
/// of targets has been read again.
const GONE_PAUSE_MS: f64 = 1000.0;
/// Share of a target's memory that is given out.
const MEMORY_SHARE: f64 = 0.9;
/// How much of the decoding time counts in the choice of a target: fast targets free their slots
/// sooner, but what callers wait for is the first token.
const DECODE_WEIGHT: f64 = 0.3;
/// Share of its time that an answer should take at most.
const TIME_SHARE: f64 = 0.6;
/// How much a millisecond beyond that counts.
const OVERRUN_WEIGHT: f64 = 2.0;
/// Share of a target's slots that requests beyond a quota may use: streams hold their slots for
/// long, and those within their quotas come in bursts.
const BEYOND_SLOT_SHARE: f64 = 0.6;
/// How much longer decoding gets from an empty to a full target, as a share.
const FULL_BATCH_SLOWDOWN: f64 = 0.35;
/// How long a slot of a plain service stays empty between two requests, in milliseconds: the end of
/// one is reported, the next is granted and sent, over four hops between zones and nodes with
/// little processor.
const TURNAROUND_MS: f64 = 6.0;
/// Prompt time that may delay the streams of one target, in milliseconds.
const STREAM_PAUSE_MS: f64 = 300.0;
/// How much a millisecond beyond that counts, for each request beside it.
const DISTURBED_WEIGHT: f64 = 0.3;
/// Most that a target's slow start counts, in milliseconds of answer time.
const MAX_WARM_UP_MS: f64 = 1000.0;

/// How much work a target takes at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// Requests in progress.
    pub slots: u32,
    /// Tokens in memory; none for plain services.
    pub memory_tokens: Option<u32>,
}

/// A target as the registry lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetInfo {
    /// Its name, which changes with each start in most cases.
    pub name: TargetName,
    /// Distinguishes two starts under one name.
    pub born: u64,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// How much it takes.
    pub capacity: Capacity,
    /// Whether it is to get no new work.
    pub leaving: bool,
    /// Milliseconds for which it is still slow after its start.
    pub warm_up_ms: f64,
}

#[derive(Clone, Debug)]
pub(crate) struct InFlight {
    pub tokens: u32,
    pub uncached: u32,
    /// Prompt tokens that were still to be processed before its own.
    pub ahead: f64,
    /// The node that holds the request.
    pub home: InstanceName,
}

/// A pause of a target, for one node or for all; it doubles with each failure.
#[derive(Clone, Copy, Debug)]
struct Pause {
    until: Timestamp,
    length_ms: f64,
}

impl Pause {
    fn after(last: Option<Self>, longest_ms: f64, now: Timestamp) -> Self {
        let length_ms = last.map_or(FIRST_PAUSE_MS, |p| (p.length_ms * 2.0).min(longest_ms));
        let until = now + length_ms;
        Self { until, length_ms }
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub info: TargetInfo,
    pub in_flight: IndexMap<OfferId, InFlight>,
    pub cache: PromptCache,
    /// Prompt tokens sent and, as far as can be told, not processed yet.
    backlog: f64,
    backlog_at: Timestamp,
    prefill_ms_per_token: f64,
    step_ms: f64,
    call_ms: f64,
    failures: f64,
    failures_at: Timestamp,
    paused_until: Timestamp,
    pauses: IndexMap<InstanceName, Pause>,
    // While it is down one request at a time finds out whether it is back.
    down: Option<Pause>,
    answered: Option<Timestamp>,
}

impl Target {
    pub fn new(info: TargetInfo) -> Self {
        Self {
            info,
            in_flight: IndexMap::new(),
            cache: PromptCache::default(),
            backlog: 0.0,
            backlog_at: Timestamp::default(),
            prefill_ms_per_token: PREFILL_MS_PER_TOKEN,
            step_ms: STEP_MS,
            call_ms: CALL_MS,
            failures: 0.0,
            failures_at: Timestamp::default(),
            paused_until: Timestamp::default(),
            pauses: IndexMap::new(),
            down: None,
            answered: None,
        }
    }

    /// Takes in a newer entry of the registry; a restarted target has forgotten its prompts.
    pub fn update(&mut self, info: TargetInfo) {
        if info.born != self.info.born {
            *self = Self {
                prefill_ms_per_token: self.prefill_ms_per_token,
                step_ms: self.step_ms,
                call_ms: self.call_ms,
                ..Self::new(info)
            };
            return;
        }
        self.info = info;
    }

    /// Whether the target can take the request now.
    pub fn takes(&self, offer: &Offer, now: Timestamp) -> bool {
        let fits = match self.info.capacity.memory_tokens {
            Some(cap) => self.in_flight.is_empty() || self.fits(offer, cap),
            None => true,
        };
        let slots = match offer.beyond_quota {
            true => (f64::from(self.info.capacity.slots) * BEYOND_SLOT_SHARE) as usize,
            false => self.places(),
        };
        self.is_usable(now)
            && !self.is_paused_for(&offer.home, now)
            && self.in_flight.len() < slots
            && fits
            && !offer.exclude.contains(&self.info.name)
    }

    fn fits(&self, offer: &Offer, cap: u32) -> bool {
        let used: u32 = self.in_flight.values().map(|f| f.tokens).sum();
        f64::from(used + offer.prompt + offer.output) <= f64::from(cap) * MEMORY_SHARE
    }

    /// Whether new work goes to the target at all.
    pub fn is_usable(&self, now: Timestamp) -> bool {
        let is_up = match self.down {
            None => true,
            Some(p) => now >= p.until && self.in_flight.is_empty(),
        };
        !self.info.leaving && now >= self.paused_until && is_up
    }

    /// Whether it has answered anything lately.
    pub fn is_proven(&self, now: Timestamp) -> bool {
        self.answered.is_some_and(|t| now - t < PROVEN_MS)
    }

    fn is_paused_for(&self, home: &InstanceName, now: Timestamp) -> bool {
        self.pauses.get(home).is_some_and(|p| p.until > now)
    }

    /// Whether any work could go to the target now.
    pub fn has_free_slot(&self, now: Timestamp) -> bool {
        self.is_usable(now) && self.in_flight.len() < self.places()
    }

    // Requests that the target may have at once. Plain services get as many beyond their slots as
    // end within one turnaround, so that a slot that comes free finds its next request there.
    fn places(&self) -> usize {
        let slots = self.info.capacity.slots as usize;
        let ahead = match self.info.capacity.memory_tokens {
            Some(_) => 0.0,
            None => slots as f64 * TURNAROUND_MS / self.call_ms,
        };
        slots + ahead.round() as usize
    }

    /// Milliseconds for one token of an answer.
    pub fn step_ms(&self) -> f64 {
        self.step_ms
    }

    /// Milliseconds for one token of a prompt.
    pub fn prefill_ms_per_token(&self) -> f64 {
        self.prefill_ms_per_token
    }

    fn uncached(&self, offer: &Offer) -> u32 {
        offer
            .prompt
            .saturating_sub(self.cache.cached_tokens(&offer.parts))
    }

    fn prefill_ms(&self, uncached: u32) -> f64 {
        f64::from(uncached) * self.prefill_ms_per_token
    }

    // Prompts are processed one after the other, beside the streams in progress.
    fn backlog(&self, now: Timestamp) -> f64 {
        let done = (now - self.backlog_at).max(0.0) / self.prefill_ms_per_token;
        let sent: f64 = self.in_flight.values().map(|f| f64::from(f.uncached)).sum();
        (self.backlog - done).clamp(0.0, sent)
    }

    /// Expected milliseconds from now to the first byte of the answer.
    pub fn first_ms(&self, offer: &Offer, now: Timestamp) -> f64 {
        match offer.prompt {
            0 => self.call_ms,
            _ => {
                let tokens = self.backlog(now) + f64::from(self.uncached(offer));
                tokens * self.prefill_ms_per_token + BASE_FIRST_MS
            }
        }
    }

    /// Expected milliseconds for which the request holds its slot.
    pub fn busy_ms(&self, offer: &Offer, now: Timestamp) -> f64 {
        self.first_ms(offer, now) + self.decode_ms(offer)
    }

    fn decode_ms(&self, offer: &Offer) -> f64 {
        let load = self.in_flight.len() as f64 / f64::from(self.info.capacity.slots.max(1));
        f64::from(offer.output) * self.step_ms * (1.0 + FULL_BATCH_SLOWDOWN * load)
    }

    /// What placing the request here costs, in milliseconds of answer time; the least wins.
    pub fn cost(&self, offer: &Offer, now: Timestamp) -> f64 {
        let zone = match offer.zone == self.info.zone {
            true => 0.0,
            false => FAR_ZONE_MS,
        };
        let prefill = self.prefill_ms(self.uncached(offer));
        // A long prompt holds up the streams that run beside it.
        let disturbs = match prefill > STREAM_PAUSE_MS {
            true => (prefill - STREAM_PAUSE_MS) * self.in_flight.len() as f64 * DISTURBED_WEIGHT,
            false => 0.0,
        };
        let load = self.in_flight.len() as f64 / f64::from(self.info.capacity.slots.max(1));
        let idle_share = match offer.prompt {
            0 => load * self.call_ms,
            _ => 0.0,
        };
        self.first_ms(offer, now)
            + DECODE_WEIGHT * self.decode_ms(offer)
            + zone
            + disturbs
            + idle_share
            + self.overrun_ms(offer, now) * OVERRUN_WEIGHT
            + self.failures(now) * FAILURE_MS
            + self.info.warm_up_ms.min(MAX_WARM_UP_MS)
    }

    // Expected milliseconds by which the answer would come after its time; some are kept in hand
    // because lengths are estimates.
    fn overrun_ms(&self, offer: &Offer, now: Timestamp) -> f64 {
        match offer.prompt {
            0 => 0.0,
            _ => (self.busy_ms(offer, now) - offer.time_left_ms * TIME_SHARE).max(0.0),
        }
    }

    pub fn failures(&self, now: Timestamp) -> f64 {
        self.failures * (-(now - self.failures_at).max(0.0) / FAILURE_DECAY_MS).exp()
    }

    pub fn grant(&mut self, id: OfferId, offer: &Offer, now: Timestamp) {
        let uncached = self.uncached(offer);
        let ahead = self.backlog(now);
        self.backlog = ahead + f64::from(uncached);
        self.backlog_at = now;
        self.cache.store(&offer.parts, now);
        let in_flight = InFlight {
            tokens: offer.prompt + offer.output,
            uncached,
            ahead,
            home: offer.home.clone(),
        };
        self.in_flight.insert(id, in_flight);
    }

    /// Learns from the first byte of an answer.
    pub fn record_first_byte(&mut self, id: OfferId, first_ms: f64, now: Timestamp) {
        self.answered = Some(now);
        self.down = None;
        let Some(f) = self.in_flight.get_mut(&id) else {
            return;
        };
        // Learned once: the end of the request says the same again.
        let uncached = std::mem::take(&mut f.uncached);
        let ahead = f.ahead;
        self.learn_prefill(uncached, ahead, first_ms);
    }

    fn learn_prefill(&mut self, uncached: u32, ahead: f64, first_ms: f64) {
        if uncached >= MIN_PREFILL_SAMPLE {
            let tokens = f64::from(uncached) + ahead;
            let ms = (first_ms - BASE_FIRST_MS).max(1.0);
            blend(&mut self.prefill_ms_per_token, ms / tokens);
        }
    }

    /// Frees a slot and learns from what happened on it.
    pub fn finish(&mut self, id: OfferId, outcome: SlotOutcome, now: Timestamp) {
        let Some(done) = self.in_flight.swap_remove(&id) else {
            return;
        };
        match outcome {
            SlotOutcome::Unused | SlotOutcome::Unreachable | SlotOutcome::Down => (),
            SlotOutcome::Broken | SlotOutcome::Silent => (),
            _ => {
                self.answered = Some(now);
                self.down = None;
                self.pauses.swap_remove(&done.home);
            }
        }
        match outcome {
            SlotOutcome::Unused => (),
            SlotOutcome::Complete {
                first_ms,
                rest_ms,
                output,
            } => self.learn(&done, first_ms, rest_ms, output, now),
            SlotOutcome::Failed => self.note_failure(FAILED_WEIGHT, now),
            SlotOutcome::Full => self.paused_until = now + FULL_PAUSE_MS,
            SlotOutcome::Gone => self.paused_until = now + GONE_PAUSE_MS,
            SlotOutcome::Broken => self.note_failure(BROKEN_WEIGHT, now),
            SlotOutcome::Down => {
                self.note_failure(AWAY_WEIGHT, now);
                self.set_down(now);
            }
            SlotOutcome::Unreachable | SlotOutcome::Silent => {
                self.note_failure(AWAY_WEIGHT, now);
                self.pause_for(done.home, now);
            }
        }
    }

    fn learn(&mut self, done: &InFlight, first_ms: f64, rest_ms: f64, output: u32, now: Timestamp) {
        self.failures = self.failures(now) * REMEMBERED_SHARE;
        self.failures_at = now;
        if done.tokens == 0 {
            blend(&mut self.call_ms, first_ms + rest_ms);
            return;
        }
        self.learn_prefill(done.uncached, done.ahead, first_ms);
        if output >= MIN_STEP_SAMPLE {
            blend(&mut self.step_ms, rest_ms / f64::from(output));
        }
    }

    fn pause_for(&mut self, home: InstanceName, now: Timestamp) {
        let last = self.pauses.get(&home).copied();
        self.pauses
            .insert(home, Pause::after(last, MAX_PAUSE_MS, now));
        let witnesses = self.pauses.values().filter(|p| p.until > now).count();
        if witnesses >= WITNESSES {
            self.set_down(now);
        }
    }

    // Several requests that fail together are one failure.
    fn set_down(&mut self, now: Timestamp) {
        if self.down.is_none_or(|p| now >= p.until) {
            self.down = Some(Pause::after(self.down, MAX_DOWN_MS, now));
        }
    }

    fn note_failure(&mut self, weight: f64, now: Timestamp) {
        let failures = self.failures(now);
        self.failures = failures + weight * (1.0 - failures);
        self.failures_at = now;
    }
}

// Waiting inside a target only ever adds to a sample, so high samples count less.
fn blend(estimate: &mut f64, sample: f64) {
    let weight = match sample < *estimate {
        true => SAMPLE_WEIGHT,
        false => HIGH_SAMPLE_WEIGHT,
    };
    let bounded = sample.min(*estimate * MAX_SAMPLE_FACTOR);
    *estimate += weight * (bounded - *estimate);
}

//! The scheduler's state of one target, and the cost model of placing a request on it.

use compact_str::CompactString;
use indexmap::IndexMap;
use rwd_types::{InstanceName, TargetName, ZoneName};
use std::net::SocketAddr;

use crate::connections::Connections;
use crate::handover::{HINT_AGE_MS, HeldSlot, MAX_ADOPTED, Speeds, TargetEstimate, TargetReport};
use crate::memory::{TargetMemory, worst_case};
use crate::request_limit::RequestLimit;
use crate::{Offer, OfferId, PromptCache, SlotOutcome, Timestamp, Version};

/// Smoothing factor of the moving averages for a sample below the estimate.
const EWMA_ALPHA: f64 = 0.3;
/// Smoothing factor for a sample above the estimate.
const EWMA_ALPHA_UP: f64 = 0.12;
/// Samples are clamped to this multiple of the estimate.
const MAX_SAMPLE_FACTOR: f64 = 3.0;
/// Prefill time per token before any sample, in milliseconds.
const DEFAULT_PREFILL_MS_PER_TOKEN: f64 = 0.03;
/// Decode time per token before any sample, in milliseconds.
const DEFAULT_STEP_MS: f64 = 4.0;
/// Duration of a service call before any sample, in milliseconds.
const DEFAULT_CALL_MS: f64 = 40.0;
/// Part of the time to first byte that does not depend on the prompt, in milliseconds.
const BASE_FIRST_BYTE_MS: f64 = 20.0;
/// Shorter prompts are too noisy to sample the prefill speed, in tokens.
const MIN_PREFILL_SAMPLE: u32 = 400;
/// Shorter responses are too noisy to sample the decode speed, in tokens.
const MIN_STEP_SAMPLE: u32 = 16;
/// Cost of a request to another zone, in milliseconds of response time.
const CROSS_ZONE_MS: f64 = 15.0;
/// Cost at a failure rate of 1, in milliseconds of response time.
const FAILURE_COST_MS: f64 = 3000.0;
/// Weight of an error response in the failure rate.
const FAILED_WEIGHT: f64 = 0.25;
/// Weight of a broken connection or response in the failure rate.
const BROKEN_WEIGHT: f64 = 0.35;
/// Weight of a failed connection or a timeout in the failure rate.
const UNREACHABLE_WEIGHT: f64 = 0.5;
/// Factor applied to the failure rate after each complete response.
const SUCCESS_FACTOR: f64 = 0.7;
/// Time constant of the exponential decay of the failure rate, in milliseconds.
const FAILURE_DECAY_MS: f64 = 4000.0;
/// Initial backoff of an unreachable target, in milliseconds; doubled on each failure.
const INITIAL_BACKOFF_MS: f64 = 250.0;
/// Longest backoff of an unreachable target for one node, in milliseconds.
const MAX_BACKOFF_MS: f64 = 4000.0;
/// Nodes that must fail to reach a target before it is down for all nodes: a single node may be
/// partitioned itself.
const DOWN_QUORUM: usize = 2;
/// Longest time between two probes of a target that is down with a request that may run once, in
/// milliseconds: it is lost if the target breaks the connection.
const MAX_DOWN_BACKOFF_MS: f64 = 1000.0;
/// Time between two probes with a request that may run again, in milliseconds: so much capacity is lost
/// unnoticed when the target is back.
const REPEAT_PROBE_MS: f64 = 200.0;
/// Broken connections in a row, at two home nodes or more, after which a target is down for all: it
/// fails each request at once, so that it always has free slots and would attract what others have
/// no room for. Many, so that a target which loses some of its responses stays in use.
const BROKEN_IN_ROW: usize = 8;
/// How long a response proves that a target works, in milliseconds.
const PROVEN_MS: f64 = 1000.0;
/// Backoff after a target reports that it is full, in milliseconds.
const FULL_BACKOFF_MS: f64 = 120.0;
/// Pause after a refusal by a target that falls over, as a multiple of the mean time between the refusals that
/// it bears: several nodes may schedule it.
const BRITTLE_PAUSE_FACTOR: f64 = 2.0;
/// Fewest refusals a second that are reckoned with.
const MIN_BRITTLE_PER_S: f64 = 0.5;
/// Longest pause after such a refusal, in milliseconds.
const MAX_BRITTLE_PAUSE_MS: f64 = 2000.0;
/// Time after which such a target gets one request more at a time, in milliseconds.
const ROOM_GROWTH_MS: f64 = 1500.0;
/// Backoff after a target's address responds as another target, in milliseconds; by then the
/// target list has been refreshed.
const GONE_BACKOFF_MS: f64 = 1000.0;
/// Longest backoff of a target that puts off one home after the other, in milliseconds.
const MAX_HELD_BACKOFF_MS: f64 = 1000.0;
/// Maximum number of homes that are remembered as put off by one target.
const MAX_HOLDS: usize = 64;
/// Fraction of a target's memory that may be allocated.
const MAX_MEMORY_FRACTION: f64 = 0.9;
/// Weight of the decode time in the cost. It is below 1 because callers wait for the first token,
/// and above 0 because fast targets free their slots sooner.
const DECODE_WEIGHT: f64 = 0.3;
/// Fraction of a request's time left that its response should take at most.
const MAX_TIME_FRACTION: f64 = 0.6;
/// Cost of each millisecond beyond `MAX_TIME_FRACTION`.
const OVERRUN_WEIGHT: f64 = 2.0;
/// Fraction of a target's slots open to over-quota requests. The rest is kept free because streams
/// hold their slots for long, and requests within quota arrive in bursts.
const OVER_QUOTA_SLOT_FRACTION: f64 = 0.6;
/// Relative increase of the decode time from an empty to a full batch.
const FULL_BATCH_SLOWDOWN: f64 = 0.35;
/// How long a slot of a non-LLM service stays idle between two requests, in milliseconds: reporting
/// the end of one, and granting and sending the next, takes four hops across zones between nodes
/// with a small CPU share.
const TURNAROUND_MS: f64 = 6.0;
/// Prefill time that costs nothing although it stalls a target's other streams, in milliseconds.
const FREE_STALL_MS: f64 = 300.0;
/// Cost of each millisecond of prefill beyond `FREE_STALL_MS`, for each request in progress.
const STALL_WEIGHT: f64 = 0.3;
/// Upper bound of the warm-up cost, in milliseconds of response time.
const MAX_WARM_UP_MS: f64 = 1000.0;

/// Concurrency and memory limits of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// Concurrent requests.
    pub slots: u32,
    /// Tokens that fit into its memory; `None` for non-LLM services.
    pub memory_tokens: Option<u32>,
}

/// A target as the registry lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetInfo {
    /// Its name, which usually changes with each restart.
    pub name: TargetName,
    /// Start time of the process; tells apart two starts under one name.
    pub born: u64,
    /// The address it listens on.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its concurrency and memory limits.
    pub capacity: Capacity,
    /// Whether it is draining and gets no new requests.
    pub leaving: bool,
    /// Remaining warm-up time after its start, in milliseconds.
    pub warm_up_ms: f64,
    /// Version of its software; empty if it reports none.
    pub version: Version,
}

#[derive(Clone, Debug)]
pub(crate) struct InFlight {
    pub tokens: u32,
    pub uncached: u32,
    /// Prompt tokens queued at the target when the request was granted.
    pub queued_before: f64,
    /// The home node of the request.
    pub home: InstanceName,
    /// The caller's id of the request.
    pub request: CompactString,
    /// When the slot was granted.
    pub granted_at: Timestamp,
    /// When the home node gives up on the request.
    pub deadline: Timestamp,
    /// Whether another scheduler granted the slot.
    pub adopted: bool,
    /// Whether the home node reached no scheduler of the pool.
    pub last_resort: bool,
}

/// Exponential backoff of a target, for one node or for all.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    since: Timestamp,
    until: Timestamp,
    length_ms: f64,
}

impl Backoff {
    fn next(last: Option<Self>, max_ms: f64, now: Timestamp) -> Self {
        let length_ms = last.map_or(INITIAL_BACKOFF_MS, |b| (b.length_ms * 2.0).min(max_ms));
        Self {
            since: now,
            until: now + length_ms,
            length_ms,
        }
    }
}

/// The requests that a target takes at a time, since it last refused one.
#[derive(Clone, Copy, Debug)]
struct ShrunkRoom {
    cap: usize,
    since: Timestamp,
    paused_until: Timestamp,
}

#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub info: TargetInfo,
    pub in_flight: IndexMap<OfferId, InFlight>,
    pub cache: PromptCache,
    pub limit: RequestLimit,
    /// Free connections of home nodes, if these are preferred.
    connections: Option<Connections>,
    pub memory: TargetMemory,
    /// Share of the slots that may be granted until home nodes have reported.
    pub slot_share: Option<f64>,
    // When a predecessor's report was applied, until this scheduler grants slots itself.
    learned_at: Option<Timestamp>,
    /// Prompt tokens sent but, by estimate, not processed yet, as of `backlog_at`.
    backlog: f64,
    backlog_at: Timestamp,
    prefill_ms_per_token: f64,
    step_ms: f64,
    call_ms: f64,
    failures: f64,
    failures_at: Timestamp,
    backoff_until: Timestamp,
    backoffs: IndexMap<InstanceName, Backoff>,
    // Homes that the target has put off, and until when. After that each sends one request at a time
    // until one has completed.
    holds: IndexMap<InstanceName, Timestamp>,
    // Holds in a row without a complete response between them.
    holds_in_row: u32,
    // Whether the target itself says that it leaves.
    says_leaving: bool,
    // The home nodes of the broken connections since the last response.
    broken: Vec<InstanceName>,
    // While the target is down, it is probed with one request at a time.
    down: Option<Backoff>,
    // What it takes at a time, if it has refused requests and falls over if it refuses many.
    room: Option<ShrunkRoom>,
    last_response: Option<Timestamp>,
}

impl Target {
    pub fn new(info: TargetInfo, limit: RequestLimit) -> Self {
        Self {
            info,
            in_flight: IndexMap::new(),
            cache: PromptCache::default(),
            limit,
            connections: None,
            memory: TargetMemory::default(),
            slot_share: None,
            learned_at: None,
            backlog: 0.0,
            backlog_at: Timestamp::default(),
            prefill_ms_per_token: DEFAULT_PREFILL_MS_PER_TOKEN,
            step_ms: DEFAULT_STEP_MS,
            call_ms: DEFAULT_CALL_MS,
            failures: 0.0,
            failures_at: Timestamp::default(),
            backoff_until: Timestamp::default(),
            backoffs: IndexMap::new(),
            holds: IndexMap::new(),
            holds_in_row: 0,
            says_leaving: false,
            broken: Vec::new(),
            down: None,
            room: None,
            last_response: None,
        }
    }

    /// Applies a newer registry entry. A restart clears all state but the speed estimates.
    pub fn update(&mut self, info: TargetInfo) {
        if info.born != self.info.born {
            *self = Self {
                prefill_ms_per_token: self.prefill_ms_per_token,
                step_ms: self.step_ms,
                call_ms: self.call_ms,
                connections: self.connections.take().map(|_| Connections::default()),
                ..Self::new(info, RequestLimit::default().with_share(self.limit.share()))
            };
            return;
        }
        self.info = info;
    }

    /// Prefers the target for home nodes that have a free connection to it.
    pub fn prefer_connected(&mut self) {
        self.connections = Some(Connections::default());
    }

    /// Whether the target can accept the request now.
    pub fn accepts(&self, offer: &Offer, now: Timestamp) -> bool {
        let fits = match self.info.capacity.memory_tokens {
            _ if self.memory.is_bounded() => {
                let in_flight = self.in_flight.values();
                self.memory.fits(offer, self.info.capacity, in_flight, now)
            }
            Some(cap) => self.in_flight.is_empty() || self.fits_memory(offer, cap),
            None => true,
        };
        let slots = match offer.beyond_quota {
            true => (f64::from(self.info.capacity.slots) * OVER_QUOTA_SLOT_FRACTION) as usize,
            false => self.max_in_flight(now),
        };
        (self.is_usable(now) || (offer.may_repeat && self.may_probe(now)))
            && !self.is_backed_off_for(&offer.home, now)
            && !self.is_held_for(&offer.home, now)
            && self.in_flight.len() < slots
            && self.is_within_share(now)
            && self.limit.allows(now)
            && fits
            && offer.version.allows(&self.info.version)
            && !offer.exclude.contains(&self.info.name)
    }

    fn fits_memory(&self, offer: &Offer, cap: u32) -> bool {
        let used: u32 = self.in_flight.values().map(|f| f.tokens).sum();
        f64::from(used + offer.prompt + offer.output) <= f64::from(cap) * MAX_MEMORY_FRACTION
    }

    /// Whether the target is eligible for new requests.
    pub fn is_usable(&self, now: Timestamp) -> bool {
        let is_up = match self.down {
            None => true,
            Some(b) => now >= b.until && self.in_flight.is_empty(),
        };
        !self.is_leaving() && now >= self.backoff_until && is_up
    }

    /// Whether the target is down and may be probed with a request that may run again.
    pub fn may_probe(&self, now: Timestamp) -> bool {
        let is_due = |b: Backoff| now - b.since >= REPEAT_PROBE_MS && self.in_flight.is_empty();
        !self.is_leaving() && now >= self.backoff_until && self.down.is_some_and(is_due)
    }

    /// Whether the target is draining, by its entry or by what it says itself.
    pub fn is_leaving(&self) -> bool {
        self.info.leaving || self.says_leaving
    }

    /// Whether the target has responded recently.
    pub fn is_proven(&self, now: Timestamp) -> bool {
        self.last_response.is_some_and(|t| now - t < PROVEN_MS)
    }

    fn is_backed_off_for(&self, home: &InstanceName, now: Timestamp) -> bool {
        self.backoffs.get(home).is_some_and(|b| b.until > now)
    }

    fn is_held_for(&self, home: &InstanceName, now: Timestamp) -> bool {
        self.holds.get(home).is_some_and(|until| {
            let since = |f: &InFlight| f.home == *home && f.granted_at >= *until;
            now < *until || self.in_flight.values().any(since)
        })
    }

    fn hold(&mut self, home: InstanceName, until: Timestamp, now: Timestamp) {
        let known = self.holds.get(&home).copied().unwrap_or(until);
        self.holds.insert(home, Timestamp(known.0.max(until.0)));
        if self.holds.len() > MAX_HOLDS {
            self.holds.retain(|_, until| *until > now);
        }
        // A home that is forgotten gives its next slot back.
        while self.holds.len() > MAX_HOLDS {
            self.holds.shift_remove_index(0);
        }
    }

    // A target that puts off one home after the other takes no request of any.
    fn back_off_if_held_again(&mut self, now: Timestamp) {
        self.holds_in_row += 1;
        if self.holds_in_row > 1 {
            let doubled = 2_f64.powi(self.holds_in_row.min(16) as i32 - 2);
            let ms = (FULL_BACKOFF_MS * doubled).min(MAX_HELD_BACKOFF_MS);
            self.backoff_until = Timestamp(self.backoff_until.0.max((now + ms).0));
        }
    }

    /// Whether the target is usable, has a free slot and is below its request limit.
    pub fn has_free_slot(&self, now: Timestamp) -> bool {
        self.is_usable(now)
            && self.in_flight.len() < self.max_in_flight(now)
            && self.is_within_share(now)
            && self.limit.allows(now)
    }

    // Whether the scheduler may grant a further slot before home nodes have reported.
    fn is_within_share(&self, now: Timestamp) -> bool {
        self.slot_share.is_none_or(|share| {
            let own = self.in_flight.values().filter(|f| !f.adopted).count();
            (own as f64) < (self.max_in_flight(now) as f64 * share).ceil()
        })
    }

    /// Number of requests like those in progress that the target could take now.
    pub fn free_slots(&self, now: Timestamp) -> u32 {
        if !self.has_free_slot(now) {
            return 0;
        }
        let by_slots = (self.max_in_flight(now) - self.in_flight.len()) as u32;
        let used: u32 = self.in_flight.values().map(|f| f.tokens).sum();
        let by_memory = match self.info.capacity.memory_tokens {
            Some(cap) if used > 0 => {
                let mean = f64::from(used) / self.in_flight.len() as f64;
                let left = f64::from(cap) * MAX_MEMORY_FRACTION - f64::from(used);
                (left / mean).max(0.0) as u32
            }
            _ => u32::MAX,
        };
        by_slots.min(by_memory)
    }

    // Concurrent requests sent to the target. Non-LLM services get as many beyond their slots as
    // complete within one turnaround, so that a freed slot has its next request already.
    fn max_in_flight(&self, now: Timestamp) -> usize {
        let slots = self.info.capacity.slots as usize;
        let prefetched = match self.info.capacity.memory_tokens {
            Some(_) => 0.0,
            None => slots as f64 * TURNAROUND_MS / self.call_ms,
        };
        (slots + prefetched.round() as usize).min(self.shrunk_room(now))
    }

    /// Decode time per token, in milliseconds.
    pub fn step_ms(&self) -> f64 {
        self.step_ms
    }

    /// Prefill time per token, in milliseconds.
    pub fn prefill_ms_per_token(&self) -> f64 {
        self.prefill_ms_per_token
    }

    /// Duration of a service call, in milliseconds.
    pub fn call_ms(&self) -> f64 {
        self.call_ms
    }

    fn uncached(&self, offer: &Offer) -> u32 {
        offer
            .prompt
            .saturating_sub(self.cache.cached_tokens(&offer.parts))
    }

    fn prefill_ms(&self, uncached: u32) -> f64 {
        f64::from(uncached) * self.prefill_ms_per_token
    }

    // Assumes that a target processes prompts one after the other while it decodes other streams.
    fn backlog(&self, now: Timestamp) -> f64 {
        let done = (now - self.backlog_at).max(0.0) / self.prefill_ms_per_token;
        let sent: f64 = self.in_flight.values().map(|f| f64::from(f.uncached)).sum();
        (self.backlog - done).clamp(0.0, sent)
    }

    /// Expected time to first byte, in milliseconds.
    pub fn first_ms(&self, offer: &Offer, now: Timestamp) -> f64 {
        match offer.prompt {
            0 => self.call_ms,
            _ => {
                let tokens = self.backlog(now) + f64::from(self.uncached(offer));
                tokens * self.prefill_ms_per_token + BASE_FIRST_BYTE_MS
            }
        }
    }

    /// Expected time for which the request holds its slot, in milliseconds.
    pub fn service_ms(&self, offer: &Offer, now: Timestamp) -> f64 {
        self.first_ms(offer, now) + self.decode_ms(offer)
    }

    fn decode_ms(&self, offer: &Offer) -> f64 {
        let load = self.in_flight.len() as f64 / f64::from(self.info.capacity.slots.max(1));
        f64::from(offer.output) * self.step_ms * (1.0 + FULL_BATCH_SLOWDOWN * load)
    }

    /// Cost of placing the request here, in milliseconds of response time; the lowest wins.
    pub fn cost(&self, offer: &Offer, now: Timestamp) -> f64 {
        let zone = match offer.zone == self.info.zone {
            true => 0.0,
            false => CROSS_ZONE_MS,
        };
        let prefill = self.prefill_ms(self.uncached(offer));
        // Processing a long prompt stalls the other streams of the batch.
        let stall = match prefill > FREE_STALL_MS {
            true => (prefill - FREE_STALL_MS) * self.in_flight.len() as f64 * STALL_WEIGHT,
            false => 0.0,
        };
        let connection = match &self.connections {
            Some(c) => c.cost(offer, &self.info.name, now),
            None => 0.0,
        };
        let load = self.in_flight.len() as f64 / f64::from(self.info.capacity.slots.max(1));
        let queueing = match offer.prompt {
            0 => load * self.call_ms,
            _ => 0.0,
        };
        self.first_ms(offer, now)
            + DECODE_WEIGHT * self.decode_ms(offer)
            + zone
            + connection
            + stall
            + queueing
            + self.overrun_ms(offer, now) * OVERRUN_WEIGHT
            + self.failures(now) * FAILURE_COST_MS
            + self.info.warm_up_ms.min(MAX_WARM_UP_MS)
    }

    // Milliseconds by which the response is expected to exceed `MAX_TIME_FRACTION` of the time left;
    // the margin is kept because response lengths are estimates.
    fn overrun_ms(&self, offer: &Offer, now: Timestamp) -> f64 {
        match offer.prompt {
            0 => 0.0,
            _ => (self.service_ms(offer, now) - offer.time_left_ms * MAX_TIME_FRACTION).max(0.0),
        }
    }

    pub fn failures(&self, now: Timestamp) -> f64 {
        self.failures * (-(now - self.failures_at).max(0.0) / FAILURE_DECAY_MS).exp()
    }

    pub fn grant(&mut self, id: OfferId, offer: &Offer, now: Timestamp) {
        let uncached = self.uncached(offer);
        let queued_before = self.backlog(now);
        self.backlog = queued_before + f64::from(uncached);
        self.backlog_at = now;
        self.cache.store(&offer.parts, now);
        let in_flight = InFlight {
            tokens: match self.memory.is_bounded() {
                true => worst_case(offer),
                false => offer.prompt + offer.output,
            },
            uncached,
            queued_before,
            home: offer.home.clone(),
            request: offer.request.clone(),
            granted_at: now,
            deadline: now + offer.time_left_ms,
            adopted: false,
            last_resort: offer.last_resort,
        };
        self.limit.take(now);
        if let Some(c) = &mut self.connections {
            c.take(offer, now);
        }
        self.in_flight.insert(id, in_flight);
    }

    /// Records the first byte of a response, after `first_ms`.
    pub fn record_first_byte(&mut self, id: OfferId, first_ms: f64, now: Timestamp) {
        self.last_response = Some(now);
        self.down = None;
        self.broken.clear();
        let Some(f) = self.in_flight.get_mut(&id) else {
            return;
        };
        // Cleared so that `finish` does not count the same sample again.
        let uncached = std::mem::take(&mut f.uncached);
        if f.adopted {
            // How much of the prompt was cached is not known.
            return;
        }
        let queued_before = f.queued_before;
        self.update_prefill(uncached, queued_before, first_ms);
    }

    fn update_prefill(&mut self, uncached: u32, queued_before: f64, first_ms: f64) {
        if uncached >= MIN_PREFILL_SAMPLE {
            let tokens = f64::from(uncached) + queued_before;
            let ms = (first_ms - BASE_FIRST_BYTE_MS).max(1.0);
            update_ewma(&mut self.prefill_ms_per_token, ms / tokens);
        }
    }

    /// Counts a request that another scheduler granted. Returns the id under which the target had it
    /// already, or `None` if there are too many.
    pub fn adopt(
        &mut self,
        id: OfferId,
        held: &HeldSlot,
        home: &InstanceName,
        now: Timestamp,
    ) -> Option<Option<OfferId>> {
        let adopted = self.in_flight.values().filter(|f| f.adopted).count();
        if adopted >= MAX_ADOPTED {
            return None;
        }
        let is_same = |f: &InFlight| f.home == *home && f.request == held.request;
        let before = self.in_flight.iter().find(|(_, f)| is_same(f));
        let before = before.map(|(id, _)| *id);
        if let Some(id) = before {
            self.in_flight.swap_remove(&id);
        }
        self.memory.attach(home, &held.request);
        self.backlog = self.backlog(now) + f64::from(held.unread);
        self.backlog_at = now;
        let in_flight = InFlight {
            tokens: held.tokens,
            uncached: held.unread,
            queued_before: 0.0,
            home: home.clone(),
            request: held.request.clone(),
            granted_at: now + -held.held_ms,
            deadline: now + held.left_ms,
            adopted: true,
            last_resort: false,
        };
        self.in_flight.insert(id, in_flight);
        Some(before)
    }

    pub fn speeds(&self) -> Speeds {
        Speeds {
            prefill_ms_per_token: self.prefill_ms_per_token,
            step_ms: self.step_ms,
            call_ms: self.call_ms,
        }
    }

    pub fn set_speeds(&mut self, speeds: Speeds) {
        self.prefill_ms_per_token = speeds.prefill_ms_per_token;
        self.step_ms = speeds.step_ms;
        self.call_ms = speeds.call_ms;
    }

    /// What this scheduler tells its successor.
    pub fn report(&self, now: Timestamp) -> TargetReport {
        TargetReport {
            target: self.info.name.clone(),
            born: self.info.born,
            prefill_ms_per_token: self.prefill_ms_per_token as f32,
            step_ms: self.step_ms as f32,
            call_ms: self.call_ms as f32,
            failures: self.failures(now) as f32,
            estimate: TargetEstimate::default(),
        }
    }

    /// Applies what the scheduler of the shard has learned.
    pub fn learn(&mut self, report: &TargetReport, now: Timestamp) {
        if report.born != self.info.born {
            return;
        }
        self.set_speeds(Speeds {
            prefill_ms_per_token: f64::from(report.prefill_ms_per_token),
            step_ms: f64::from(report.step_ms),
            call_ms: f64::from(report.call_ms),
        });
        self.failures = f64::from(report.failures);
        self.failures_at = now;
        self.learned_at = Some(now);
    }

    /// Takes over what was learned: an old report counts half beside the targets of its pool.
    pub fn take_over(&mut self, median: Option<Speeds>, now: Timestamp) {
        match (self.learned_at.take(), median) {
            (Some(at), Some(median)) if now - at > HINT_AGE_MS => {
                self.set_speeds(self.speeds().halfway(median));
            }
            _ => (),
        }
    }

    /// Keeps counting the memory of a request whose slot is about to be freed.
    pub fn detach(&mut self, id: OfferId, now: Timestamp) {
        if let Some(f) = self.in_flight.get(&id) {
            self.memory.detach(f.clone(), now);
        }
    }

    /// Frees a slot and updates the estimates from the outcome of its request.
    pub fn finish(&mut self, id: OfferId, outcome: SlotOutcome, now: Timestamp) {
        let Some(done) = self.in_flight.swap_remove(&id) else {
            return;
        };
        match outcome {
            SlotOutcome::Unreachable | SlotOutcome::Down => self.limit.refund(now),
            // The home node may have sent the request before its caller disconnected.
            SlotOutcome::Unused => (),
            SlotOutcome::Broken | SlotOutcome::Silent | SlotOutcome::NoPath => (),
            // The slot may have been given back unused.
            SlotOutcome::Leaving | SlotOutcome::Held { .. } => (),
            _ => {
                self.last_response = Some(now);
                self.down = None;
                self.broken.clear();
                self.backoffs.swap_remove(&done.home);
            }
        }
        match outcome {
            SlotOutcome::Unused | SlotOutcome::NoPath => (),
            SlotOutcome::Leaving => self.says_leaving = true,
            SlotOutcome::Held { for_ms } => {
                self.hold(done.home, now + for_ms, now);
                self.back_off_if_held_again(now);
            }
            SlotOutcome::Complete {
                first_ms,
                rest_ms,
                output,
            } => self.record_complete(&done, first_ms, rest_ms, output, now),
            SlotOutcome::Failed => self.record_failure(FAILED_WEIGHT, now),
            SlotOutcome::Full => self.backoff_until = now + FULL_BACKOFF_MS,
            SlotOutcome::Brittle { per_s } => self.shrink(per_s, now),
            SlotOutcome::Gone => self.backoff_until = now + GONE_BACKOFF_MS,
            SlotOutcome::Broken => {
                self.record_failure(BROKEN_WEIGHT, now);
                self.record_broken(done.home, now);
            }
            SlotOutcome::Down => {
                self.record_failure(UNREACHABLE_WEIGHT, now);
                self.mark_down(now);
            }
            SlotOutcome::Unreachable | SlotOutcome::Silent => {
                self.record_failure(UNREACHABLE_WEIGHT, now);
                self.back_off_for(done.home, now);
            }
        }
    }

    // A target that falls over if it refuses many requests gets half as many at a time, and one more from time to
    // time: other nodes may send to it as well (additive increase, multiplicative decrease).
    fn shrink(&mut self, per_s: f64, now: Timestamp) {
        if self.room.is_some_and(|room| now < room.paused_until) {
            return;
        }
        let pause_ms = BRITTLE_PAUSE_FACTOR * 1000.0 / per_s.max(MIN_BRITTLE_PER_S);
        let pause_ms = pause_ms.clamp(FULL_BACKOFF_MS, MAX_BRITTLE_PAUSE_MS);
        let paused_until = now + pause_ms;
        self.room = Some(ShrunkRoom {
            cap: (self.in_flight.len() / 2).max(1),
            since: now,
            paused_until,
        });
        self.backoff_until = Timestamp(self.backoff_until.0.max(paused_until.0));
    }

    // The requests that it takes at a time, if it is known to take fewer than its slots.
    fn shrunk_room(&self, now: Timestamp) -> usize {
        self.room.map_or(usize::MAX, |room| {
            room.cap + ((now - room.since) / ROOM_GROWTH_MS).max(0.0) as usize
        })
    }

    fn record_complete(
        &mut self,
        done: &InFlight,
        first_ms: f64,
        rest_ms: f64,
        output: u32,
        now: Timestamp,
    ) {
        if let Some(c) = &mut self.connections {
            c.put_back(&done.home, now);
        }
        if self
            .holds
            .get(&done.home)
            .is_some_and(|until| *until <= now)
        {
            self.holds.swap_remove(&done.home);
        }
        self.holds_in_row = 0;
        self.failures = self.failures(now) * SUCCESS_FACTOR;
        self.failures_at = now;
        if done.tokens == 0 {
            update_ewma(&mut self.call_ms, first_ms + rest_ms);
            return;
        }
        if !done.adopted {
            self.update_prefill(done.uncached, done.queued_before, first_ms);
        }
        if output >= MIN_STEP_SAMPLE {
            update_ewma(&mut self.step_ms, rest_ms / f64::from(output));
        }
    }

    fn back_off_for(&mut self, home: InstanceName, now: Timestamp) {
        let last = self.backoffs.get(&home).copied();
        self.backoffs
            .insert(home, Backoff::next(last, MAX_BACKOFF_MS, now));
        let failing_nodes = self.backoffs.values().filter(|b| b.until > now).count();
        if failing_nodes >= DOWN_QUORUM {
            self.mark_down(now);
        }
    }

    // A single home node may be cut off itself.
    fn record_broken(&mut self, home: InstanceName, now: Timestamp) {
        if self.broken.len() == BROKEN_IN_ROW {
            self.broken.remove(0);
        }
        self.broken.push(home);
        let first = &self.broken[0];
        if self.broken.len() == BROKEN_IN_ROW && self.broken.iter().any(|h| h != first) {
            self.mark_down(now);
        }
    }

    // Requests that fail together double the backoff only once.
    fn mark_down(&mut self, now: Timestamp) {
        self.down = Some(match self.down {
            Some(b) if now < b.until => Backoff { since: now, ..b },
            down => Backoff::next(down, MAX_DOWN_BACKOFF_MS, now),
        });
    }

    fn record_failure(&mut self, weight: f64, now: Timestamp) {
        let failures = self.failures(now);
        self.failures = failures + weight * (1.0 - failures);
        self.failures_at = now;
    }
}

// Updates a moving average. Queueing inside a target can only increase a sample, so samples above
// the estimate have less weight.
fn update_ewma(estimate: &mut f64, sample: f64) {
    let weight = match sample < *estimate {
        true => EWMA_ALPHA,
        false => EWMA_ALPHA_UP,
    };
    let bounded = sample.min(*estimate * MAX_SAMPLE_FACTOR);
    *estimate += weight * (bounded - *estimate);
}

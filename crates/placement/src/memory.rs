//! Keeps what the system sends to a target within the target's memory.
//!
//! A target whose requests exceed its memory crashes, and all of them are lost. The worst case of a
//! request counts: its prompt and the longest response that it allows. Several schedulers may send to
//! one target at the same time: the one of its shard, its successors until all nodes agree on one,
//! and home nodes that reach none of them. Each keeps to a share of the memory of its own, so that
//! the sum fits without an exchange between them.

use compact_str::CompactString;
use indexmap::IndexMap;
use rwd_types::InstanceName;

use crate::target::{Capacity, InFlight};
use crate::{Offer, Timestamp};

/// Share of a target's memory for the scheduler of its shard.
const SETTLED_SHARE: f64 = 0.45;
/// Share of a target's memory for a scheduler that has taken over and may not know all requests that
/// the target holds. Three of them fit beside the scheduler before them: home nodes try four.
const SUCCESSOR_SHARE: f64 = 0.15;
/// Share of a target's memory for the home node that uses the target when it reaches no scheduler.
const LAST_RESORT_SHARE: f64 = 0.1;
/// Maximum number of requests of one target that are kept after their home node was lost.
const MAX_DETACHED: usize = 256;
/// Time after its deadline by which a home node has closed a request's connection, in milliseconds.
const CLOSE_MS: f64 = 500.0;

/// Worst-case memory of a request, in tokens.
pub fn worst_case(offer: &Offer) -> u32 {
    offer
        .prompt
        .saturating_add(offer.max_output.max(offer.output))
}

/// Whether a request of `tokens` in the worst case is larger than what a target with this memory, in
/// tokens, may be sent.
pub fn exceeds(tokens: u32, memory_tokens: u32) -> bool {
    f64::from(tokens) > f64::from(memory_tokens) * SETTLED_SHARE
}

/// The role in which a scheduler sends to the targets of a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Role {
    /// It knows all requests of its targets.
    Settled,
    /// It has taken over, and others may have sent requests that it does not know.
    Successor,
}

/// How much of a target's memory a scheduler may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct MemoryBound {
    pub role: Role,
    /// Fraction of the nodes that are visible: the rest may schedule the same targets.
    pub visible_share: f64,
}

/// A request whose home node or exchange was lost, and that its target may still hold.
#[derive(Clone, Copy, Debug)]
struct Detached {
    tokens: u32,
    until: Timestamp,
}

/// What is known of the memory of one target.
#[derive(Clone, Debug, Default)]
pub(crate) struct TargetMemory {
    bound: Option<MemoryBound>,
    detached: IndexMap<(InstanceName, CompactString), Detached>,
}

impl TargetMemory {
    pub fn set_bound(&mut self, bound: Option<MemoryBound>) {
        self.bound = bound;
    }

    pub fn is_bounded(&self) -> bool {
        self.bound.is_some()
    }

    /// Keeps the memory of a request whose exchange was lost until its deadline has passed.
    pub fn detach(&mut self, request: InFlight, now: Timestamp) {
        self.detached.retain(|_, d| d.until > now);
        let detached = Detached {
            tokens: request.tokens,
            until: request.deadline + CLOSE_MS,
        };
        let key = (request.home, request.request);
        // Beyond the bound the last entry takes the tokens of further ones.
        if self.detached.len() >= MAX_DETACHED
            && !self.detached.contains_key(&key)
            && let Some((_, last)) = self.detached.last_mut()
        {
            last.tokens = last.tokens.saturating_add(detached.tokens);
            last.until = Timestamp(last.until.0.max(detached.until.0));
            return;
        }
        // Callers may use one id for several requests.
        let entry = self.detached.entry(key).or_insert(Detached {
            tokens: 0,
            ..detached
        });
        entry.tokens = entry.tokens.saturating_add(detached.tokens);
        entry.until = Timestamp(entry.until.0.max(detached.until.0));
    }

    /// Removes a request that its home node has reported again.
    pub fn attach(&mut self, home: &InstanceName, request: &CompactString) {
        let key = (home.clone(), request.clone());
        self.detached.swap_remove(&key);
    }

    /// Whether a request fits beside those that the target holds.
    pub fn fits<'a>(
        &self,
        offer: &Offer,
        capacity: Capacity,
        in_flight: impl Iterator<Item = &'a InFlight> + Clone,
        now: Timestamp,
    ) -> bool {
        let (Some(bound), Some(memory)) = (self.bound, capacity.memory_tokens) else {
            return true;
        };
        let sum = |tokens: &mut dyn Iterator<Item = u32>| tokens.map(f64::from).sum::<f64>();
        let detached = self.detached.values().filter(|d| d.until > now);
        let detached = sum(&mut detached.map(|d| d.tokens));
        let known = sum(&mut in_flight.clone().map(|f| f.tokens)) + detached;
        // Requests that this scheduler has sent itself; the others are within the shares of others.
        let own = sum(&mut in_flight.clone().filter(|f| !f.adopted).map(|f| f.tokens));
        let alone = in_flight.filter(|f| f.last_resort).map(|f| f.tokens);
        let alone = sum(&mut alone.into_iter());
        let need = f64::from(worst_case(offer));
        let usable = f64::from(memory) * bound.visible_share.clamp(0.0, 1.0);
        match bound.role {
            _ if known + need > f64::from(memory) => false,
            _ if offer.last_resort => alone + need <= usable * LAST_RESORT_SHARE,
            Role::Successor => own + detached + need <= usable * SUCCESSOR_SHARE,
            Role::Settled => known + need <= usable * SETTLED_SHARE,
        }
    }
}

//! The state of one owned shard: its targets and queues.

use indexmap::IndexMap;
use rwd_config::Configuration;
use rwd_types::{PoolName, TargetName, TierRank, Tokens};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

use crate::target_state::TargetState;
use crate::{FairQueue, OfferId, QueuedOffer, Shard, Topology};

/// How long lower tiers are refused after a higher one was shed: longer than any request takes from
/// its caller to its owner, so that requests already in transit do not cause a tier inversion.
const SHED_HOLD: Duration = Duration::from_millis(250);

/// The queued offers of one pool, by tier.
#[derive(Debug, Default)]
pub(crate) struct PoolQueue {
    pub tiers: BTreeMap<TierRank, FairQueue>,
    // The highest tier shed within `SHED_HOLD`, and when.
    last_shed: Option<(TierRank, Instant)>,
}

impl PoolQueue {
    pub fn tokens(&self) -> Tokens {
        Tokens(self.tiers.values().map(|q| q.tokens().0).sum())
    }

    /// Records that an offer of a tier was shed.
    pub fn record_shed(&mut self, tier: TierRank, now: Instant) {
        match self.last_shed {
            Some((rank, _)) if rank < tier && self.must_shed(tier, now) => (),
            _ => self.last_shed = Some((tier, now)),
        }
    }

    /// Whether a tier must be refused because a higher one was shed within `SHED_HOLD`.
    pub fn must_shed(&self, tier: TierRank, now: Instant) -> bool {
        let recent = |at: Instant| now.saturating_duration_since(at) < SHED_HOLD;
        self.last_shed
            .is_some_and(|(rank, at)| tier > rank && recent(at))
    }

    /// The lowest tier with queued offers.
    pub fn lowest(&self) -> Option<TierRank> {
        let mut waiting = self.tiers.iter().rev().filter(|(_, q)| !q.is_empty());
        waiting.next().map(|(rank, _)| *rank)
    }

    pub fn remove(&mut self, id: OfferId) -> Option<QueuedOffer> {
        self.tiers.values_mut().find_map(|q| q.remove(id))
    }

    /// Removes all offers of tiers below `rank`.
    pub fn drain_below(&mut self, rank: TierRank) -> Vec<QueuedOffer> {
        let below = self.tiers.iter_mut().filter(|(r, _)| **r > rank);
        below.flat_map(|(_, q)| q.drain()).collect()
    }
}

#[derive(Debug, Default)]
pub(crate) struct ShardState {
    pub targets: IndexMap<TargetName, TargetState>,
    pub queues: IndexMap<PoolName, PoolQueue>,
    pub digest_sequence: u64,
}

impl ShardState {
    /// Applies the topology; targets that remain keep their state.
    pub fn apply(&mut self, cfg: &Configuration, topology: &Topology, shard: &Shard) {
        self.targets
            .retain(|name, _| shard.targets.contains_key(name));
        for (name, target) in &shard.targets {
            let class = target.class.as_ref().and_then(|c| cfg.classes.get(c));
            let new_state = || TargetState::new(target.clone(), class);
            let state = self.targets.entry(name.clone()).or_insert_with(new_state);
            if state.target.address != target.address || state.target.class != target.class {
                *state = new_state();
            }
            state.slots = state.slots.min(f64::from(target.slots));
            state.target = target.clone();
            state.leaving = topology.leaving.contains(name);
        }
    }

    /// The tiers with queued offers, highest first.
    pub fn ranks(&self) -> Vec<TierRank> {
        let queues = self.queues.values().flat_map(|q| &q.tiers);
        let mut ranks: Vec<_> = queues
            .filter(|(_, q)| !q.is_empty())
            .map(|(r, _)| *r)
            .collect();
        ranks.sort_unstable();
        ranks.dedup();
        ranks
    }

    pub fn lowest(&self) -> Option<TierRank> {
        self.queues.values().filter_map(PoolQueue::lowest).max()
    }

    pub fn queued(&self) -> Tokens {
        Tokens(self.queues.values().map(|q| q.tokens().0).sum())
    }

    /// Lower bound of the response time on the pool's targets in milliseconds; `None` without one.
    pub fn min_time(&self, w: &QueuedOffer) -> Option<f64> {
        let times = self.eligible_targets(w).map(|t| t.min_time(&w.offer));
        times.min_by(f64::total_cmp)
    }

    /// Whether the offer can still be completed by its deadline, `left` milliseconds from now.
    pub fn can_meet_deadline(&self, w: &QueuedOffer, left: f64) -> bool {
        // Looking up cached blocks is expensive, so it is skipped where it cannot change the result.
        let times = self
            .eligible_targets(w)
            .map(|t| t.min_time_uncached(&w.offer));
        match times.min_by(f64::total_cmp) {
            Some(time) if time < left => true,
            Some(_) => self.min_time(w).is_some_and(|time| time < left),
            None => left > 0.0,
        }
    }

    fn eligible_targets(&self, w: &QueuedOffer) -> impl Iterator<Item = &TargetState> {
        let pool = w.offer.pool.clone();
        let hosts = move |t: &&TargetState| t.target.pools.contains(&pool) && !t.leaving;
        self.targets.values().filter(hosts)
    }
}

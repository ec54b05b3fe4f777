//! The state of one owned shard: its targets and the work that waits for them.

use indexmap::IndexMap;
use rwd_config::Configuration;
use rwd_types::{PoolName, TargetName, TierRank, Tokens};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

use crate::target_state::TargetState;
use crate::{FairQueue, Shard, Topology, Waiting, WaitingId};

/// How long lower work is refused after higher work was shed: longer than any request is under
/// way between its caller and its owner.
const SHED_MEMORY: Duration = Duration::from_millis(250);

/// The waiting work for one pool, by tier.
#[derive(Debug, Default)]
pub(crate) struct PoolQueue {
    pub tiers: BTreeMap<TierRank, FairQueue>,
    // The most valuable tier that was shed lately, and when.
    last_shed: Option<(TierRank, Instant)>,
}

impl PoolQueue {
    pub fn tokens(&self) -> Tokens {
        Tokens(self.tiers.values().map(|q| q.tokens().0).sum())
    }

    /// Notes that work of a tier had to be shed.
    pub fn note_shed(&mut self, tier: TierRank, now: Instant) {
        match self.last_shed {
            Some((rank, _)) if rank < tier && self.sheds_below(tier, now) => (),
            _ => self.last_shed = Some((tier, now)),
        }
    }

    /// Whether work of a tier must not be taken, because more valuable work was shed a moment ago.
    pub fn sheds_below(&self, tier: TierRank, now: Instant) -> bool {
        let recent = |at: Instant| now.saturating_duration_since(at) < SHED_MEMORY;
        self.last_shed
            .is_some_and(|(rank, at)| tier > rank && recent(at))
    }

    /// The least valuable tier that waits.
    pub fn lowest(&self) -> Option<TierRank> {
        let mut waiting = self.tiers.iter().rev().filter(|(_, q)| !q.is_empty());
        waiting.next().map(|(rank, _)| *rank)
    }

    pub fn remove(&mut self, id: WaitingId) -> Option<Waiting> {
        self.tiers.values_mut().find_map(|q| q.remove(id))
    }

    /// Takes out all work of tiers below `rank`.
    pub fn take_below(&mut self, rank: TierRank) -> Vec<Waiting> {
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
    /// Brings the targets in line with the topology; what is known of those that stay is kept.
    pub fn apply(&mut self, cfg: &Configuration, topology: &Topology, shard: &Shard) {
        self.targets
            .retain(|name, _| shard.targets.contains_key(name));
        for (name, target) in &shard.targets {
            let class = target.class.as_ref().and_then(|c| cfg.classes.get(c));
            let fresh = || TargetState::new(target.clone(), class);
            let state = self.targets.entry(name.clone()).or_insert_with(fresh);
            if state.target.address != target.address || state.target.class != target.class {
                *state = fresh();
            }
            state.slots = state.slots.min(f64::from(target.slots));
            state.target = target.clone();
            state.leaving = topology.leaving.contains(name);
        }
    }

    /// The tiers that wait, most valuable first.
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

    /// Least milliseconds that any staying target of the pool would take; none without one.
    pub fn least_time(&self, w: &Waiting) -> Option<f64> {
        let times = self.holders(w).map(|t| t.least_time(&w.offer));
        times.min_by(f64::total_cmp)
    }

    /// Whether the offer can still be completed by its deadline, `left` milliseconds from now.
    pub fn can_meet(&self, w: &Waiting, left: f64) -> bool {
        // Looking up cached blocks is dear, so it is done only where it can decide.
        let times = self.holders(w).map(|t| t.time_uncached(&w.offer));
        match times.min_by(f64::total_cmp) {
            Some(time) if time < left => true,
            Some(_) => self.least_time(w).is_some_and(|time| time < left),
            None => left > 0.0,
        }
    }

    fn holders(&self, w: &Waiting) -> impl Iterator<Item = &TargetState> {
        let pool = w.offer.pool.clone();
        let holds = move |t: &&TargetState| t.target.pools.contains(&pool) && !t.leaving;
        self.targets.values().filter(holds)
    }
}

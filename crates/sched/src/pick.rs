//! Chooses which waiting offer gets which free target.

use rwd_config::Preset;
use rwd_types::{PoolName, TargetName, TierRank};
use tokio::time::Instant;

use crate::shard::ShardState;
use crate::target_state::{Probe, TargetState};
use crate::{FairQueue, Waiting, WaitingId};

/// Offers that are weighed against one another for one slot.
const WINDOW: usize = 64;
/// Offers of one workspace among them.
const WINDOW_PER_WORKSPACE: usize = 16;
/// An offer that was passed over this often is next.
const MAX_PASSED_OVER: u32 = 200;
/// A later offer must save at least this many milliseconds of prompt work to be preferred.
const LEAST_GAIN_MS: f64 = 1.0;
/// What an offer with an uncached prompt stands behind one with a cached prompt.
const COLD_PENALTY_MS: f64 = 2.0;

/// One offer and the target it is to go to.
#[derive(Debug, PartialEq)]
pub(crate) struct Pick {
    pub id: WaitingId,
    pub pool: PoolName,
    pub tier: TierRank,
    pub target: TargetName,
    pub probe: Probe,
    /// The offer that was first in line, if another one was preferred.
    pub passed_over: Option<WaitingId>,
}

type Free<'a> = (&'a TargetName, &'a TargetState, Probe);

/// The best pair of a waiting offer and a free target, if there is one.
///
/// Tiers are strict: an offer is weighed only against others of its tier. Probes
/// of unhealthy targets take the least valuable work instead.
pub(crate) fn pick(shard: &ShardState, now: Instant, preset: &Preset) -> Option<Pick> {
    let ranks = shard.ranks();
    for rank in &ranks {
        let free = free_for(shard, *rank, now, preset, false);
        if let Some(pick) = among(shard, *rank, &free, now, preset) {
            return Some(pick);
        }
        // A tier that no target takes now holds up the ones below it; one that only waits for a
        // prompt to be cached does not.
        if free.is_empty() {
            break;
        }
    }
    ranks.iter().rev().find_map(|rank| {
        let free = free_for(shard, *rank, now, preset, true);
        among(shard, *rank, &free, now, preset)
    })
}

// The targets with a slot for a tier: unhealthy ones if `probes`, healthy ones otherwise.
fn free_for<'a>(
    shard: &'a ShardState,
    tier: TierRank,
    now: Instant,
    preset: &Preset,
    probes: bool,
) -> Vec<Free<'a>> {
    let free = shard.targets.iter().filter_map(|(name, t)| {
        let probe = t.free_slot(now, tier, preset)?;
        (probe.0 == probes).then_some((name, t, probe))
    });
    free.collect()
}

fn among(
    shard: &ShardState,
    tier: TierRank,
    free: &[Free],
    now: Instant,
    preset: &Preset,
) -> Option<Pick> {
    let queues = shard.queues.iter();
    let mut queues = queues.filter_map(|(name, q)| Some((name, q.tiers.get(&tier)?)));
    queues.find_map(|(pool, fair)| best(shard, pool, fair, tier, free, now, preset))
}

// The offer that loses least by going to a free target now rather than to the target that has
// most of its prompt cached; the first in line unless another one saves something.
fn best(
    shard: &ShardState,
    pool: &PoolName,
    fair: &FairQueue,
    tier: TierRank,
    free: &[Free],
    now: Instant,
    preset: &Preset,
) -> Option<Pick> {
    let prefill_weight = preset.prefill_weight as f64 / 100.0;
    let holds = |t: &TargetState| t.target.pools.contains(pool);
    let free: Vec<_> = free.iter().filter(|(_, t, _)| holds(t)).collect();
    if free.is_empty() {
        return None;
    }
    let front = fair.front(WINDOW, WINDOW_PER_WORKSPACE);
    let head = front.first()?;
    let window = match head.passed_over {
        n if n >= MAX_PASSED_OVER => &front[..1],
        _ => &front[..],
    };
    let mut found: Option<(f64, &Waiting, &Free)> = None;
    for w in window {
        let cost = |t: &TargetState| t.cost(&w.offer, now, prefill_weight);
        let nearest = free.iter().min_by(|a, b| cost(a.1).total_cmp(&cost(b.1)))?;
        let work = nearest.1.prefill_ms(&w.offer);
        let holders = || shard.targets.values().filter(|t| holds(t) && t.is_usable());
        let mut soon = holders().filter_map(|t| t.shared_soon(&w.offer, now));
        // The same prompt is being processed: waiting for it is quicker than doing it twice.
        if tier > TierRank(0) && !nearest.2.0 && soon.any(|ms| ms < work) {
            continue;
        }
        let least = holders()
            .map(|t| t.prefill_ms(&w.offer))
            .fold(work, f64::min);
        // Of two offers that lose nothing the one with a cached prompt goes first, while it is cached.
        let cached = nearest.1.cache.cached(&w.offer.blocks).0;
        let is_cold = cached * 2 < w.offer.prompt.0;
        let regret = work - least + if is_cold { COLD_PENALTY_MS } else { 0.0 };
        if found
            .as_ref()
            .is_none_or(|(least, _, _)| regret + LEAST_GAIN_MS <= *least)
        {
            found = Some((regret, w, nearest));
        }
        if found
            .as_ref()
            .is_some_and(|(least, _, _)| *least < LEAST_GAIN_MS)
        {
            break;
        }
    }
    found.map(|(_, w, (target, _, probe))| Pick {
        id: w.id,
        pool: pool.clone(),
        tier,
        target: (*target).clone(),
        probe: *probe,
        passed_over: (w.id != head.id).then_some(head.id),
    })
}

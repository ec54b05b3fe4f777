//! Matches queued offers with free targets.

use rwd_config::Preset;
use rwd_types::{PoolName, TargetName, TierRank};
use tokio::time::Instant;

use crate::shard::ShardState;
use crate::target_state::{Probe, TargetState};
use crate::{FairQueue, OfferId, QueuedOffer};

/// Queued offers compared for one slot.
const WINDOW: usize = 64;
/// Offers of one workspace within `WINDOW`.
const WINDOW_PER_WORKSPACE: usize = 16;
/// An offer passed over this often becomes the only candidate, which bounds its wait.
const MAX_PASSED_OVER: u32 = 200;
/// Prefill time that a later offer must save to be preferred, in milliseconds.
const MIN_GAIN_MS: f64 = 1.0;
/// Penalty of an offer whose prompt is mostly uncached, in milliseconds.
const UNCACHED_PENALTY_MS: f64 = 2.0;

/// An offer and the target it is granted.
#[derive(Debug, PartialEq)]
pub(crate) struct Pick {
    pub id: OfferId,
    pub pool: PoolName,
    pub tier: TierRank,
    pub target: TargetName,
    pub probe: Probe,
    /// The offer at the head of the queue, if another one was preferred.
    pub passed_over: Option<OfferId>,
}

type FreeTarget<'a> = (&'a TargetName, &'a TargetState, Probe);

/// Returns the best pair of a queued offer and a free target.
///
/// Tiers have strict priority: an offer competes only with others of its tier.
/// Unhealthy targets are probed with the lowest-priority offers instead.
pub(crate) fn pick(shard: &ShardState, now: Instant, preset: &Preset) -> Option<Pick> {
    let ranks = shard.ranks();
    for rank in &ranks {
        let free = free_targets(shard, *rank, now, preset, false);
        if let Some(pick) = pick_in_tier(shard, *rank, &free, now, preset) {
            return Some(pick);
        }
        // A tier without a free target blocks the tiers below it. A tier whose offers only wait
        // for a prompt to be cached does not.
        if free.is_empty() {
            break;
        }
    }
    ranks.iter().rev().find_map(|rank| {
        let free = free_targets(shard, *rank, now, preset, true);
        pick_in_tier(shard, *rank, &free, now, preset)
    })
}

// The targets with a free slot for a tier: unhealthy ones if `probes`, healthy ones otherwise.
fn free_targets<'a>(
    shard: &'a ShardState,
    tier: TierRank,
    now: Instant,
    preset: &Preset,
    probes: bool,
) -> Vec<FreeTarget<'a>> {
    let free = shard.targets.iter().filter_map(|(name, t)| {
        let probe = t.free_slot(now, tier, preset)?;
        (probe.0 == probes).then_some((name, t, probe))
    });
    free.collect()
}

fn pick_in_tier(
    shard: &ShardState,
    tier: TierRank,
    free: &[FreeTarget],
    now: Instant,
    preset: &Preset,
) -> Option<Pick> {
    let queues = shard.queues.iter();
    let mut queues = queues.filter_map(|(name, q)| Some((name, q.tiers.get(&tier)?)));
    queues.find_map(|(pool, fair)| pick_in_pool(shard, pool, fair, tier, free, now, preset))
}

// Picks the offer with the least regret, the extra prefill time compared with the target that has
// most of its prompt cached. The head wins unless another offer saves at least `MIN_GAIN_MS`.
fn pick_in_pool(
    shard: &ShardState,
    pool: &PoolName,
    fair: &FairQueue,
    tier: TierRank,
    free: &[FreeTarget],
    now: Instant,
    preset: &Preset,
) -> Option<Pick> {
    let prefill_weight = preset.prefill_weight as f64 / 100.0;
    let hosts = |t: &TargetState| t.target.pools.contains(pool);
    let free: Vec<_> = free.iter().filter(|(_, t, _)| hosts(t)).collect();
    if free.is_empty() {
        return None;
    }
    let candidates = fair.front(WINDOW, WINDOW_PER_WORKSPACE);
    let head = candidates.first()?;
    let window = match head.passed_over {
        n if n >= MAX_PASSED_OVER => &candidates[..1],
        _ => &candidates[..],
    };
    let mut best: Option<(f64, &QueuedOffer, &FreeTarget)> = None;
    for w in window {
        let cost = |t: &TargetState| t.cost(&w.offer, now, prefill_weight);
        let cheapest = free.iter().min_by(|a, b| cost(a.1).total_cmp(&cost(b.1)))?;
        let prefill_ms = cheapest.1.prefill_ms(&w.offer);
        let usable = || shard.targets.values().filter(|t| hosts(t) && t.is_usable());
        let mut shared = usable().filter_map(|t| t.shared_prefill_ms(&w.offer, now));
        // Waiting for the same prompt in progress is faster than processing it twice.
        if tier > TierRank(0) && !cheapest.2.0 && shared.any(|ms| ms < prefill_ms) {
            continue;
        }
        let min_prefill_ms = usable()
            .map(|t| t.prefill_ms(&w.offer))
            .fold(prefill_ms, f64::min);
        // Among offers without regret, a cached prompt goes first, before it is evicted.
        let cached = cheapest.1.cache.cached(&w.offer.blocks).0;
        let is_uncached = cached * 2 < w.offer.prompt.0;
        let regret = prefill_ms - min_prefill_ms
            + if is_uncached {
                UNCACHED_PENALTY_MS
            } else {
                0.0
            };
        if best
            .as_ref()
            .is_none_or(|(min, _, _)| regret + MIN_GAIN_MS <= *min)
        {
            best = Some((regret, w, cheapest));
        }
        if best.as_ref().is_some_and(|(min, _, _)| *min < MIN_GAIN_MS) {
            break;
        }
    }
    best.map(|(_, w, (target, _, probe))| Pick {
        id: w.id,
        pool: pool.clone(),
        tier,
        target: (*target).clone(),
        probe: *probe,
        passed_over: (w.id != head.id).then_some(head.id),
    })
}

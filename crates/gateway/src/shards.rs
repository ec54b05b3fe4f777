//! Partitions large pools into shards, each with a scheduler of its own.
//!
//! Every node computes the same shards from its list of targets. A shard stays
//! within one availability zone, so that most responses do not cross zones.

use indexmap::{IndexMap, IndexSet};
use rand::seq::SliceRandom;
use rwd_placement::TargetEntry;
use rwd_types::{PoolName, TargetName, ZoneName};
use std::sync::{Mutex, MutexGuard};
use xxhash_rust::xxh3::xxh3_64;

/// Maximum targets of a pool that is a single shard; one node can schedule that many.
const MAX_UNSPLIT_POOL: usize = 40;
/// Maximum targets of a zone that is a single shard. A zone of 47 whose targets are replaced a
/// third at a time stays below it; repartitioning would discard the estimates of its schedulers.
const MAX_UNSPLIT_ZONE: usize = 64;
/// Target count per shard in a larger zone.
const SHARD_TARGETS: usize = 48;

/// A part of a pool that one node schedules.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Shard {
    /// The shard's name; the pool's name if the pool is a single shard.
    pub name: PoolName,
    /// The availability zone of its targets; `None` if they may be in several.
    pub zone: Option<ZoneName>,
}

/// Partitions the targets of a pool into shards.
pub fn partition<'a>(
    pool: &PoolName,
    targets: &'a [(TargetName, TargetEntry)],
) -> IndexMap<Shard, Vec<&'a (TargetName, TargetEntry)>> {
    let unsplit = Shard {
        name: pool.clone(),
        zone: None,
    };
    if targets.len() <= MAX_UNSPLIT_POOL {
        return IndexMap::from([(unsplit, targets.iter().collect())]);
    }
    let mut zones: IndexMap<&ZoneName, Vec<_>> = IndexMap::new();
    for target in targets {
        zones.entry(&target.1.zone).or_default().push(target);
    }
    zones.sort_unstable_keys();
    let mut shards: IndexMap<Shard, Vec<_>> = IndexMap::new();
    for (zone, targets) in zones {
        let count = match targets.len() {
            ..=MAX_UNSPLIT_ZONE => 1,
            n => n.div_ceil(SHARD_TARGETS) as u64,
        };
        for target in targets {
            let index = xxh3_64(target.0.as_str().as_bytes()) % count;
            let shard = zone_shard(pool, zone, index).unwrap_or_else(|| unsplit.clone());
            shards.entry(shard).or_default().push(target);
        }
    }
    shards
}

// `None` if the shard's name would exceed the length limit of names.
fn zone_shard(pool: &PoolName, zone: &ZoneName, index: u64) -> Option<Shard> {
    let name = format!("{pool}_{zone}_{index}").parse().ok()?;
    let zone = Some(zone.clone());
    Some(Shard { name, zone })
}

/// The shards of all pools, as computed by this node.
#[derive(Default)]
pub(crate) struct Shards {
    by_pool: Mutex<IndexMap<PoolName, Vec<Shard>>>,
}

impl Shards {
    fn lock(&self) -> MutexGuard<'_, IndexMap<PoolName, Vec<Shard>>> {
        self.by_pool.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Replaces the shards of a pool; returns the removed ones.
    pub fn set(&self, pool: &PoolName, shards: Vec<Shard>) -> Vec<Shard> {
        let old = self.lock().insert(pool.clone(), shards.clone());
        let mut old = old.unwrap_or_default();
        old.retain(|s| !shards.contains(s));
        old
    }

    /// All shards of all pools.
    pub fn all(&self) -> Vec<Shard> {
        self.lock().values().flatten().cloned().collect()
    }

    /// The shards with these names.
    pub fn named(&self, names: &IndexSet<PoolName>) -> Vec<Shard> {
        let by_pool = self.lock();
        let shards = by_pool.values().flatten();
        shards
            .filter(|s| names.contains(&s.name))
            .cloned()
            .collect()
    }

    /// The shards of the pool that a shard belongs to, itself included.
    pub fn siblings(&self, shard: &PoolName) -> Vec<Shard> {
        let by_pool = self.lock();
        let mut pools = by_pool.values();
        let pool = pools.find(|shards| shards.iter().any(|s| s.name == *shard));
        pool.cloned().unwrap_or_default()
    }

    /// Whether a shard is a part of a pool that has others.
    pub fn is_split(&self, shard: &PoolName) -> bool {
        let by_pool = self.lock();
        let is_part = |s: &Vec<Shard>| s.len() > 1 && s.iter().any(|s| s.name == *shard);
        by_pool.values().any(is_part)
    }

    /// The shards of a pool in the order to try them: those of `zone` first, otherwise random.
    pub fn of(&self, pool: &PoolName, zone: &ZoneName) -> Vec<Shard> {
        let mut shards = self.lock().get(pool).cloned().unwrap_or_default();
        shards.shuffle(&mut rand::rng());
        shards.sort_by_key(|s| s.zone.as_ref() != Some(zone));
        shards
    }
}

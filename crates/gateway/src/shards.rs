//! Cuts large pools into shards, each with a scheduler of its own.
//!
//! Every node computes the same shards from its list of targets. Shards keep to
//! one availability zone, so that most answers do not cross zones.

use indexmap::IndexMap;
use rand::seq::SliceRandom;
use rwd_placement::TargetEntry;
use rwd_types::{PoolName, TargetName, ZoneName};
use std::sync::{Mutex, MutexGuard};
use xxhash_rust::xxh3::xxh3_64;

/// Targets up to which a pool is one shard: one node can schedule that many.
const WHOLE_POOL: usize = 40;
/// Targets of a zone up to which they are one shard. A zone of 47 whose targets are replaced a third
/// at a time is not cut anew, which would make its schedulers forget what they have learned.
const WHOLE_ZONE: usize = 64;
/// Targets of a shard of a larger zone.
const SHARD_TARGETS: usize = 48;

/// A part of a pool that one node schedules.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Shard {
    /// Its name; the pool's own if the pool is whole.
    pub name: PoolName,
    /// The availability zone of its targets; none if they are in several.
    pub zone: Option<ZoneName>,
}

/// The shards of a pool and their targets.
pub fn partition<'a>(
    pool: &PoolName,
    targets: &'a [(TargetName, TargetEntry)],
) -> IndexMap<Shard, Vec<&'a (TargetName, TargetEntry)>> {
    let whole = Shard {
        name: pool.clone(),
        zone: None,
    };
    if targets.len() <= WHOLE_POOL {
        return IndexMap::from([(whole, targets.iter().collect())]);
    }
    let mut zones: IndexMap<&ZoneName, Vec<_>> = IndexMap::new();
    for target in targets {
        zones.entry(&target.1.zone).or_default().push(target);
    }
    zones.sort_unstable_keys();
    let mut shards: IndexMap<Shard, Vec<_>> = IndexMap::new();
    for (zone, targets) in zones {
        let count = match targets.len() {
            ..=WHOLE_ZONE => 1,
            n => n.div_ceil(SHARD_TARGETS) as u64,
        };
        for target in targets {
            let index = xxh3_64(target.0.as_str().as_bytes()) % count;
            let shard = named(pool, zone, index).unwrap_or_else(|| whole.clone());
            shards.entry(shard).or_default().push(target);
        }
    }
    shards
}

// None if the name would be longer than names may be.
fn named(pool: &PoolName, zone: &ZoneName, index: u64) -> Option<Shard> {
    let name = format!("{pool}_{zone}_{index}").parse().ok()?;
    let zone = Some(zone.clone());
    Some(Shard { name, zone })
}

/// The shards that a node knows.
#[derive(Default)]
pub(crate) struct Shards {
    by_pool: Mutex<IndexMap<PoolName, Vec<Shard>>>,
}

impl Shards {
    fn lock(&self) -> MutexGuard<'_, IndexMap<PoolName, Vec<Shard>>> {
        self.by_pool.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Replaces the shards of a pool; returns those that are no more.
    pub fn set(&self, pool: &PoolName, shards: Vec<Shard>) -> Vec<Shard> {
        let old = self.lock().insert(pool.clone(), shards.clone());
        let mut old = old.unwrap_or_default();
        old.retain(|s| !shards.contains(s));
        old
    }

    /// The shards of a pool in the order in which a node of `zone` tries them.
    pub fn of(&self, pool: &PoolName, zone: &ZoneName) -> Vec<Shard> {
        let mut shards = self.lock().get(pool).cloned().unwrap_or_default();
        shards.shuffle(&mut rand::rng());
        shards.sort_by_key(|s| s.zone.as_ref() != Some(zone));
        shards
    }
}

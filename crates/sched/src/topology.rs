//! Assigns shards of targets to their owner nodes.
//!
//! Targets of a region with the same first pool form a group, and a group is
//! partitioned into shards of bounded size. Each shard has one owner, by rendezvous
//! hashing over the region's active nodes, which are alive and not leaving. Every
//! node computes this locally from the configuration and its membership view.

use indexmap::{IndexMap, IndexSet};
use rwd_config::{Configuration, Target};
use rwd_peer::{View, rank};
use rwd_types::{InstanceName, PoolName, RegionName, TargetName, ZoneName};
use rwd_wire::ShardId;
use xxhash_rust::xxh3::xxh3_64;

/// A shard and its owner.
#[derive(Clone, Debug, PartialEq)]
pub struct Shard {
    /// Its id.
    pub id: ShardId,
    /// The owner; `None` if no region has an eligible node.
    pub owner: Option<InstanceName>,
    /// Its targets.
    pub targets: IndexMap<TargetName, Target>,
}

/// All shards, according to one node's membership view.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Topology {
    /// The shards.
    pub shards: IndexMap<ShardId, Shard>,
    /// The shards with at least one target of a pool.
    by_pool: IndexMap<PoolName, Vec<ShardId>>,
    by_target: IndexMap<TargetName, ShardId>,
    /// Draining targets, which get no new requests.
    pub leaving: IndexSet<TargetName>,
}

impl Topology {
    /// Computes the shards and their owners.
    ///
    /// `leaving` are the targets that the instance list marks as draining; those that the
    /// configuration drains are added.
    pub fn new(cfg: &Configuration, view: &View, leaving: &IndexSet<TargetName>) -> Self {
        let max_targets = cfg.preset_in_force().shard_targets;
        let mut topology = Self {
            leaving: cfg.drained_targets.union(leaving).cloned().collect(),
            ..Self::default()
        };
        for ((region, group), targets) in groups(cfg) {
            let count = targets.len().div_ceil(max_targets).max(1) as u32;
            for index in 0..count {
                let group = group.clone();
                let id = ShardId {
                    region: region.clone(),
                    group,
                    index,
                };
                let owner = owner(cfg, view, &id);
                let targets = IndexMap::new();
                topology
                    .shards
                    .insert(id.clone(), Shard { id, owner, targets });
            }
            for (name, target) in targets {
                let index = shard_index(&name, count);
                let group = group.clone();
                topology.insert_target(
                    ShardId {
                        region: region.clone(),
                        group,
                        index,
                    },
                    name,
                    target,
                );
            }
        }
        topology
    }

    fn insert_target(&mut self, id: ShardId, name: TargetName, target: Target) {
        for pool in &target.pools {
            let shards = self.by_pool.entry(pool.clone()).or_default();
            if !shards.contains(&id) {
                shards.push(id.clone());
            }
        }
        self.by_target.insert(name.clone(), id.clone());
        if let Some(shard) = self.shards.get_mut(&id) {
            shard.targets.insert(name, target);
        }
    }

    /// The shards of a pool: those in `region`, or in all regions if it has none.
    pub fn shards_of(&self, pool: &PoolName, region: &RegionName) -> Vec<&Shard> {
        let all = self.by_pool.get(pool).into_iter().flatten();
        let all: Vec<_> = all.filter_map(|id| self.shards.get(id)).collect();
        match all.iter().any(|s| s.id.region == *region) {
            true => all.into_iter().filter(|s| s.id.region == *region).collect(),
            false => all,
        }
    }

    /// The shard of a target.
    pub fn shard_of(&self, target: &TargetName) -> Option<&Shard> {
        self.by_target
            .get(target)
            .and_then(|id| self.shards.get(id))
    }

    /// The shards that `instance` owns.
    pub fn owned<'a>(&'a self, instance: &'a InstanceName) -> impl Iterator<Item = &'a Shard> {
        let owned = move |s: &&Shard| s.owner.as_ref() == Some(instance);
        self.shards.values().filter(owned)
    }

    /// The targets of a pool in all regions.
    pub fn targets_of<'a>(
        &'a self,
        pool: &'a PoolName,
    ) -> impl Iterator<Item = (&'a TargetName, &'a Target)> {
        let shards = self.by_pool.get(pool).into_iter().flatten();
        let targets = shards
            .filter_map(|id| self.shards.get(id))
            .flat_map(|s| &s.targets);
        targets.filter(move |(_, t)| t.pools.contains(pool))
    }
}

type Groups = IndexMap<(RegionName, PoolName), Vec<(TargetName, Target)>>;

fn groups(cfg: &Configuration) -> Groups {
    let mut groups = Groups::new();
    for (name, target) in &cfg.targets {
        if let Some(first) = target.pools.first() {
            let key = (cfg.region(&target.zone), first.clone());
            groups
                .entry(key)
                .or_default()
                .push((name.clone(), target.clone()));
        }
    }
    groups
}

// Rendezvous hashing over the shard indexes, so that an added shard moves only its own targets.
fn shard_index(target: &TargetName, count: u32) -> u32 {
    let weight = |index: &u32| {
        let mut key = index.to_be_bytes().to_vec();
        key.extend_from_slice(target.as_str().as_bytes());
        xxh3_64(&key)
    };
    (0..count).max_by_key(weight).unwrap_or(0)
}

fn owner(cfg: &Configuration, view: &View, id: &ShardId) -> Option<InstanceName> {
    let text = format!("{}/{}/{}", id.region, id.group, id.index);
    let key = xxh3_64(text.as_bytes());
    let is_eligible = |name: &InstanceName| !cfg.drained_instances.contains(name);
    let in_region = |zone: &ZoneName| cfg.region(zone) == id.region;
    let local = view
        .candidates()
        .filter(|m| is_eligible(&m.name) && in_region(&m.zone));
    let all = view.candidates().filter(|m| is_eligible(&m.name));
    let local = rank(key, local);
    let ranked = match local.is_empty() {
        true => rank(key, all),
        false => local,
    };
    ranked.first().map(|m| m.name.clone())
}

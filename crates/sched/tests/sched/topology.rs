//! Shard ownership.

use crate::helper::{configuration, member, view};
use rwd_peer::View;
use rwd_sched::Topology;
use rwd_types::{PoolName, RegionName};

#[test]
fn every_target_has_exactly_one_owner_and_all_nodes_agree() {
    let cfg = configuration(200, 4, |cfg| {
        cfg["presets"]["ordinary"]["shard_targets"] = 16.into();
    });
    let names: Vec<_> = (0..40).map(|i| format!("n{i}")).collect();
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    let topology = Topology::new(&cfg, &view(&names), &Default::default());
    let owned: usize = names
        .iter()
        .flat_map(|n| {
            let n = n.parse().unwrap();
            topology
                .owned(&n)
                .map(|s| s.targets.len())
                .collect::<Vec<_>>()
        })
        .sum();
    assert_eq!(owned, 200);
    let shards = topology.shards_of(&"m".parse().unwrap(), &"r".parse().unwrap());
    assert_eq!(shards.len(), 13);
    // Rendezvous hashing balances only on average.
    assert!(shards.iter().all(|s| s.targets.len() <= 32));
}

#[test]
fn a_failed_node_moves_only_its_own_shards() {
    let cfg = configuration(200, 4, |cfg| {
        cfg["presets"]["ordinary"]["shard_targets"] = 8.into();
    });
    let before = Topology::new(&cfg, &view(&["a", "b", "c", "d"]), &Default::default());
    let after = Topology::new(&cfg, &view(&["a", "b", "c"]), &Default::default());
    for (id, shard) in &before.shards {
        let new = &after.shards[id];
        assert_eq!(
            shard.targets.keys().collect::<Vec<_>>(),
            new.targets.keys().collect::<Vec<_>>()
        );
        match shard.owner.as_ref().map(ToString::to_string).as_deref() {
            Some("d") => assert_ne!(shard.owner, new.owner),
            _ => assert_eq!(shard.owner, new.owner),
        }
    }
}

#[test]
fn leaving_and_drained_nodes_own_nothing() {
    let cfg = configuration(8, 4, |cfg| {
        cfg["drained_instances"] = serde_json::json!(["a"]);
    });
    let mut leaving = member("b");
    leaving.leaving = true;
    let mut members = view(&["a", "c"]).members;
    members.insert("b".parse().unwrap(), leaving);
    let topology = Topology::new(&cfg, &View { members }, &Default::default());
    for shard in topology.shards.values() {
        assert_eq!(shard.owner.as_ref().unwrap().as_str(), "c");
    }
}

#[test]
fn a_region_without_nodes_is_served_from_another() {
    let cfg = configuration(2, 4, |cfg| {
        cfg["zones"] = serde_json::json!({ "z": "far", "here": "r" });
    });
    let mut members = view(&["n"]).members;
    members[0].zone = "here".parse().unwrap();
    let topology = Topology::new(&cfg, &View { members }, &Default::default());
    let pool: PoolName = "m".parse().unwrap();
    let region: RegionName = "r".parse().unwrap();
    let shards = topology.shards_of(&pool, &region);
    assert_eq!(shards.len(), 1);
    assert_eq!(shards[0].owner.as_ref().unwrap().as_str(), "n");
}

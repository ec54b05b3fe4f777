//! Many home nodes before many targets: who sends to which, and how many connections that takes.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rwd_placement::{
    Capacity, Decision, Offer, OfferId, PlacementSettings, Rank, Scheduler, SlotOutcome,
    TargetInfo, Timestamp,
};
use rwd_types::{InstanceName, PoolName, TargetName};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;

const SECONDS: u64 = 20;
/// Requests of one home node per second.
const PER_NODE: u64 = 8;
/// Idle time after which a request that may run once needs a new connection, in milliseconds.
const REUSE_MS: f64 = 500.0;
const SLOTS: u32 = 7;

/// One availability zone of an installation.
#[derive(Clone, Copy)]
struct Zone {
    homes: u64,
    targets: u64,
    /// Slot time of a request, in milliseconds.
    slot_ms: u64,
    /// Whether half of the nodes are lost in the middle.
    loses_nodes: bool,
}

#[derive(Default)]
struct Outcome {
    requests: u64,
    opened: u64,
    granted_at_once: u64,
    by_target: HashMap<TargetName, u64>,
}

fn pool() -> PoolName {
    "model".parse().unwrap()
}

fn targets(count: u64) -> Vec<TargetInfo> {
    let target = |n| TargetInfo {
        name: format!("t{n}").parse().unwrap(),
        born: 1,
        version: Default::default(),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        zone: "z1".parse().unwrap(),
        capacity: Capacity {
            slots: SLOTS,
            memory_tokens: Some(500_000),
        },
        leaving: false,
        warm_up_ms: 0.0,
    };
    (0..count).map(target).collect()
}

fn offer(home: &InstanceName, slot_ms: u64) -> Offer {
    Offer {
        request: "r".into(),
        pool: pool(),
        rank: Rank::default(),
        workspace: None,
        parts: Vec::new(),
        prompt: 1500,
        output: (slot_ms / 4) as u32,
        aim_left_ms: 400.0,
        time_left_ms: 5000.0,
        home: home.clone(),
        zone: "z1".parse().unwrap(),
        exclude: Vec::new(),
        beyond_quota: false,
        returned: false,
        resumes: false,
        reuse_ms: REUSE_MS,
        may_repeat: false,
        version: Default::default(),
        max_output: 0,
        last_resort: false,
    }
}

fn run(zone: Zone, prefers_connected: bool, seed: u64) -> Outcome {
    let cfg = PlacementSettings {
        prefers_connected,
        ..PlacementSettings::default()
    };
    let mut s = Scheduler::new(cfg);
    s.set_targets(&pool(), targets(zone.targets));
    let mut rng = StdRng::seed_from_u64(seed);
    let homes: Vec<InstanceName> = (0..zone.homes)
        .map(|n| format!("n{n}").parse().unwrap())
        .collect();
    let mut out = Outcome::default();
    // What the home nodes really have: when each idle connection was last used.
    let mut idle: HashMap<(InstanceName, TargetName), Vec<f64>> = HashMap::new();
    let mut homes_of: HashMap<OfferId, InstanceName> = HashMap::new();
    let mut ends: BinaryHeap<Reverse<(u64, u64, TargetName)>> = BinaryHeap::new();
    for ms in 0..SECONDS * 1000 {
        let now = Timestamp(ms as f64);
        while ends.peek().is_some_and(|Reverse((end, ..))| *end <= ms) {
            let Some(Reverse((_, id, target))) = ends.pop() else {
                break;
            };
            let id = OfferId(id);
            let home = homes_of.remove(&id).unwrap();
            idle.entry((home, target)).or_default().push(now.0);
            let outcome = SlotOutcome::Complete {
                first_ms: 20.0,
                rest_ms: (zone.slot_ms - 20) as f64,
                output: (zone.slot_ms / 4) as u32,
            };
            s.finish(id, outcome, now);
        }
        let alive = match zone.loses_nodes && ms >= SECONDS * 500 {
            true => homes.len() / 2,
            false => homes.len(),
        };
        let mut offered = Vec::new();
        for home in &homes[..alive] {
            if rng.random_range(0..1000) < PER_NODE {
                let id = s.offer(offer(home, zone.slot_ms), now);
                homes_of.insert(id, home.clone());
                offered.push(id);
                out.requests += 1;
            }
        }
        for (id, decision) in s.poll(now) {
            let Decision::Grant { target, .. } = decision else {
                continue;
            };
            out.granted_at_once += u64::from(offered.contains(&id));
            let free = idle.entry((homes_of[&id].clone(), target.clone()));
            let free = free.or_default();
            let reused = free.pop().is_some_and(|used| now.0 - used < REUSE_MS);
            out.opened += u64::from(!reused);
            *out.by_target.entry(target.clone()).or_default() += 1;
            ends.push(Reverse((ms + zone.slot_ms, id.0, target)));
        }
    }
    out
}

/// Zones of installations with 86, 115, 195 and 390 nodes.
const ZONES: [Zone; 4] = [
    Zone {
        homes: 29,
        targets: 30,
        slot_ms: 300,
        loses_nodes: false,
    },
    Zone {
        homes: 29,
        targets: 23,
        slot_ms: 300,
        loses_nodes: false,
    },
    Zone {
        homes: 39,
        targets: 32,
        slot_ms: 300,
        loses_nodes: false,
    },
    Zone {
        homes: 36,
        targets: 48,
        slot_ms: 300,
        loses_nodes: false,
    },
];

fn check(zone: Zone) {
    let name = format!("{} nodes, {} targets", zone.homes, zone.targets);
    let (before, after) = (run(zone, false, 5), run(zone, true, 5));
    let per_request = |o: &Outcome| o.opened as f64 / o.requests as f64;
    assert!(
        per_request(&after) < 0.5 * per_request(&before),
        "{name}: {} and {} connections per request",
        per_request(&after),
        per_request(&before)
    );
    let at_once = |o: &Outcome| o.granted_at_once as f64 / o.requests as f64;
    assert!(at_once(&after) > at_once(&before) - 0.01, "{name}");
    let busiest = after.by_target.values().max().copied().unwrap_or(0);
    let mean = after.requests / zone.targets;
    assert!(
        busiest < 3 * mean,
        "{name}: {busiest} at the busiest target, {mean} on average"
    );
}

/// Each node meets each target too seldom for any connection to be reused.
#[test]
fn nodes_are_steered_to_targets_to_which_they_have_connections() {
    ZONES.into_iter().for_each(check);
}

/// Half of the nodes are lost at once; those that are left keep their connections.
#[test]
fn the_loss_of_half_of_the_nodes_leaves_connections_in_use() {
    for zone in ZONES {
        check(Zone {
            loses_nodes: true,
            ..zone
        });
    }
}

/// The targets that a node has connections to are full or gone.
#[test]
fn a_node_leaves_its_few_targets_when_they_are_full_or_gone() {
    let cfg = PlacementSettings {
        prefers_connected: true,
        ..PlacementSettings::default()
    };
    let mut s = Scheduler::new(cfg);
    s.set_targets(&pool(), targets(4));
    let home = "n1".parse().unwrap();
    let mut used = Vec::new();
    for n in 0..4 * SLOTS {
        s.offer(offer(&home, 300), Timestamp(f64::from(n)));
        match s.poll(Timestamp(f64::from(n))).as_slice() {
            [(_, Decision::Grant { target, .. })] => used.push(target.clone()),
            other => panic!("request {n} waits although slots are free: {other:?}"),
        }
    }
    used.sort_unstable();
    used.dedup();
    assert_eq!(used.len(), 4);
    let mut left = targets(4);
    left.retain(|t| t.name != used[0]);
    s.set_targets(&pool(), left);
    assert!(
        s.targets(&pool(), Timestamp(100.0))
            .iter()
            .any(|t| t.usable)
    );
}

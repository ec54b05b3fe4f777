//! Test offers and targets, and a manual clock.

use rwd_placement::{
    Capacity, Decision, Offer, OfferId, PlacementSettings, PromptPart, Rank, Scheduler,
    SlotOutcome, TargetInfo, Timestamp,
};
use rwd_types::{PoolName, TargetName};
use std::net::SocketAddr;

pub fn pool() -> PoolName {
    "model".parse().unwrap()
}

pub fn target(name: &str, slots: u32) -> TargetInfo {
    TargetInfo {
        name: name.parse().unwrap(),
        born: 1,
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        zone: "z1".parse().unwrap(),
        capacity: Capacity {
            slots,
            memory_tokens: Some(100_000),
        },
        leaving: false,
        warm_up_ms: 0.0,
        version: Default::default(),
    }
}

pub fn scheduler(targets: Vec<TargetInfo>) -> Scheduler {
    let mut s = Scheduler::new(PlacementSettings::default());
    s.set_targets(&pool(), targets);
    s
}

/// An offer with a latency objective of 1 s and a timeout of 10 s.
pub fn offer(route: u8) -> Offer {
    Offer {
        request: "r".into(),
        pool: pool(),
        rank: Rank {
            workspace: 1,
            route,
        },
        workspace: None,
        parts: vec![PromptPart { id: 1, tokens: 50 }],
        prompt: 500,
        output: 100,
        max_output: 200,
        aim_left_ms: 1000.0,
        time_left_ms: 10_000.0,
        home: "n1".parse().unwrap(),
        zone: "z1".parse().unwrap(),
        exclude: Vec::new(),
        beyond_quota: false,
        returned: false,
        resumes: false,
        reuse_ms: 500.0,
        may_repeat: false,
        last_resort: false,
        version: Default::default(),
    }
}

pub fn name(s: &str) -> TargetName {
    s.parse().unwrap()
}

/// The ids of the granted offers, in order.
pub fn grants(decisions: &[(OfferId, Decision)]) -> Vec<OfferId> {
    let granted = decisions
        .iter()
        .filter(|(_, d)| matches!(d, Decision::Grant { .. }));
    granted.map(|(id, _)| *id).collect()
}

/// The id and target of the only decision, which must be a grant.
pub fn granted(decisions: &[(OfferId, Decision)]) -> (OfferId, TargetName) {
    match decisions {
        [(id, Decision::Grant { target, .. })] => (*id, target.clone()),
        other => panic!("one grant was expected: {other:?}"),
    }
}

/// A complete response with the given times.
pub fn complete(first_ms: f64, rest_ms: f64, output: u32) -> SlotOutcome {
    SlotOutcome::Complete {
        first_ms,
        rest_ms,
        output,
    }
}

pub fn at(ms: f64) -> Timestamp {
    Timestamp(1_000_000.0 + ms)
}

//! Targets that crash when the requests that they hold exceed their memory.

use rwd_placement::{
    Capacity, Decision, Offer, PlacementSettings, Rank, Refusal, Scheduler, SlotOutcome,
    TargetInfo, Timestamp,
};
use rwd_types::PoolName;
use std::net::SocketAddr;

/// Memory of a target, in tokens.
const MEMORY: u32 = 100_000;
/// Time limit of a request, in milliseconds.
const LIMIT_MS: f64 = 10_000.0;

fn pool() -> PoolName {
    "model".parse().unwrap()
}

fn scheduler(bounded_memory: bool) -> Scheduler {
    let cfg = PlacementSettings {
        bounded_memory,
        ..PlacementSettings::default()
    };
    let info = TargetInfo {
        name: "t1".parse().unwrap(),
        born: 1,
        version: Default::default(),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        zone: "z1".parse().unwrap(),
        capacity: Capacity {
            slots: 64,
            memory_tokens: Some(MEMORY),
        },
        leaving: false,
        warm_up_ms: 0.0,
    };
    let mut s = Scheduler::new(cfg);
    s.set_targets(&pool(), vec![info]);
    s
}

fn offer(prompt: u32, output: u32, max_output: u32) -> Offer {
    Offer {
        request: format!("r{prompt}-{output}").into(),
        pool: pool(),
        rank: Rank::default(),
        workspace: None,
        parts: Vec::new(),
        prompt,
        output,
        max_output,
        aim_left_ms: 1000.0,
        time_left_ms: LIMIT_MS,
        home: "n1".parse().unwrap(),
        zone: "z1".parse().unwrap(),
        exclude: Vec::new(),
        beyond_quota: false,
        returned: false,
        resumes: false,
        last_resort: false,
        reuse_ms: 500.0,
        may_repeat: false,
        version: Default::default(),
    }
}

fn at(ms: f64) -> Timestamp {
    Timestamp(1_000_000.0 + ms)
}

/// Number of grants for `count` equal offers.
fn grants(s: &mut Scheduler, offer: &Offer, count: usize, now: Timestamp) -> usize {
    for _ in 0..count {
        s.offer(offer.clone(), now);
    }
    let decisions = s.poll(now);
    let is_grant = |d: &&(_, Decision)| matches!(d.1, Decision::Grant { .. });
    decisions.iter().filter(is_grant).count()
}

/// A scheduler that has served the pool for longer than any request of a predecessor lasts.
fn settled(now: Timestamp) -> Scheduler {
    let mut s = scheduler(true);
    let mut t = at(0.0);
    while now - t > 0.0 {
        let id = s.offer(offer(10, 1, 1), t);
        s.poll(t);
        s.finish(id, SlotOutcome::Unused, t);
        t = t + 1000.0;
    }
    s
}

/// Load: responses that are longer than expected. Their maximum counts, not the estimate.
#[test]
fn the_longest_response_that_a_request_allows_counts() {
    let now = at(20_000.0);
    let mut s = settled(now);
    let granted = grants(&mut s, &offer(2_000, 10, 8_000), 30, now);
    assert_eq!(
        granted, 4,
        "four times 10,000 are within the scheduler's share"
    );
}

/// Load: a request larger than a target's memory, which an empty target took.
#[test]
fn a_request_larger_than_the_memory_is_refused_at_once() {
    let mut s = scheduler(true);
    s.offer(offer(MEMORY, 10, 10), at(0.0));
    let decisions = s.poll(at(0.0));
    assert!(matches!(
        decisions.as_slice(),
        [(
            _,
            Decision::Refuse {
                reason: Refusal::TooLarge,
                ..
            }
        )]
    ));
    let mut unbounded = scheduler(false);
    assert_eq!(
        grants(&mut unbounded, &offer(MEMORY, 10, 10), 1, at(0.0)),
        1
    );
}

/// Failure: a scheduler is lost. Its successor does not know what its targets hold.
#[test]
fn schedulers_in_a_row_and_home_nodes_alone_stay_within_the_memory_together() {
    let now = at(20_000.0);
    let large = offer(900, 10, 100);
    let alone = Offer {
        last_resort: true,
        reuse_ms: 500.0,
        may_repeat: false,
        version: Default::default(),
        ..large.clone()
    };
    let first = grants(&mut settled(now), &large, 200, now);
    let second = grants(&mut scheduler(true), &large, 200, now);
    let third = grants(&mut scheduler(true), &large, 200, now);
    let fourth = grants(&mut scheduler(true), &large, 200, now);
    let home = grants(&mut scheduler(true), &alone, 200, now);
    assert!(first > 0 && second > 0 && home > 0);
    let sum = (first + second + third + fourth + home) as u32 * 1_000;
    assert!(
        sum <= MEMORY,
        "{first}, {second}, {third}, {fourth} and {home} requests"
    );
}

/// Failure: a partition. Both sides send to the same targets.
#[test]
fn both_sides_of_a_partition_share_the_memory() {
    let now = at(20_000.0);
    let large = offer(900, 10, 100);
    let mut sum = 0;
    for share in [0.7, 0.3] {
        let mut s = settled(now);
        s.set_visible_share(share, now);
        sum += grants(&mut s, &large, 200, now);
    }
    assert!(sum as u32 * 1_000 <= MEMORY / 2, "{sum} requests");
}

/// Failure: the link to a home node breaks while its request runs on.
#[test]
fn the_memory_of_a_request_whose_link_broke_counts_until_its_time_limit() {
    let now = at(20_000.0);
    let mut s = settled(now);
    let half = offer(35_000, 10, 10_000);
    let id = s.offer(half.clone(), now);
    assert_eq!(s.poll(now).len(), 1);
    s.lose(id, now + 1.0);
    assert_eq!(
        s.targets(&pool(), now + 1.0)[0].in_flight,
        0,
        "its slot is free"
    );
    assert_eq!(grants(&mut s, &offer(900, 10, 100), 1, now + 1000.0), 0);
    assert_eq!(grants(&mut s, &half, 1, now + LIMIT_MS + 600.0), 1);
}

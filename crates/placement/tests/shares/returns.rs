//! Refused callers: when they come back, and those that repeat at once.

use crate::load::{CAPACITY, Manner, Play, Tally, offer, shard, size, target};
use rwd_placement::{
    Decision, Offer, OfferId, PlacementSettings, PromptPart, Scheduler, SlotOutcome, Timestamp,
};

fn at(ms: f64) -> Timestamp {
    Timestamp(1_000_000.0 + ms)
}

fn settings(paced_returns: bool) -> PlacementSettings {
    PlacementSettings {
        paced_returns,
        workspace_shares: paced_returns,
        ..Default::default()
    }
}

fn at_load(load: f64) -> impl Fn(usize) -> f64 {
    move |n| size(n) * CAPACITY * load
}

fn total(play: &Play) -> Tally {
    play.tallies.iter().fold(Tally::default(), |sum, t| Tally {
        asked: sum.asked + t.asked,
        on_time: sum.on_time + t.on_time,
        late: sum.late + t.late,
        refused: sum.refused + t.refused,
    })
}

/// In an overload, 30 % of the callers repeat a refused request three times at once.
#[test]
fn callers_that_repeat_at_once_cost_the_others_little_and_gain_nothing() {
    for load in [1.3, 1.8] {
        let played = |manner| {
            let mut play = Play::new(2, settings(true));
            play.manner = manner;
            play.measure_burst(15_000.0, at_load(load), 8_000.0, at_load(0.5));
            play.manners
        };
        let [others, repeating] = played(|key| match key % 10 {
            0..3 => Manner::Repeats(3),
            _ => Manner::Returns,
        });
        let [all, _] = played(|_| Manner::Returns);
        let served = |t: Tally| t.on_time / t.asked;
        assert!(served(others) > served(all) * 0.98, "{others:?}, {all:?}");
        assert!(served(repeating) <= served(others), "{repeating:?}");
    }
}

/// A burst at 2.6 times the capacity for 5 s, between usual loads.
#[test]
fn a_burst_leaves_as_many_on_time_and_holds_fewer_in_vain() {
    let played = |paced| {
        let mut play = Play::new(2, settings(paced));
        play.manner = |_| Manner::Returns;
        play.run(4_000.0, at_load(0.8));
        play.measure_burst(5_000.0, at_load(2.6), 16_000.0, at_load(0.8));
        play
    };
    let (on, off) = (played(true), played(false));
    let (with, without) = (total(&on), total(&off));
    let held = (on.held_in_vain_ms, off.held_in_vain_ms);
    assert!(
        with.on_time >= without.on_time * 0.99,
        "{with:?}, {without:?}"
    );
    assert!(held.0 < held.1, "held in vain: {held:?}");
}

// Refusals of a pool of 10 slots and full: their delays, if the callers ask at the same time and
// have 150 ms left for their objective.
fn refuse(callers: u64) -> Vec<f64> {
    let mut s = Scheduler::new(settings(true));
    s.set_targets(&shard(0), vec![target("a", 10)]);
    for n in 0..callers + 10 {
        let req = Offer {
            parts: vec![PromptPart { id: n, tokens: 500 }],
            aim_left_ms: 150.0,
            ..offer(1, shard(0))
        };
        s.offer(req, at(0.0));
    }
    let decisions = s.poll(at(0.0)).into_iter();
    let delays = decisions.filter_map(|(_, d)| match d {
        Decision::Refuse { retry_after_ms, .. } => Some(retry_after_ms),
        Decision::Grant { .. } => None,
    });
    let mut delays: Vec<_> = delays.collect();
    delays.sort_by(f64::total_cmp);
    delays
}

/// A pool serves one request in 17.5 ms: 10 slots, 175 ms each by the speeds that are assumed at
/// first. The callers that it refuses come back at that rate.
#[test]
fn callers_come_back_at_the_rate_of_the_pool() {
    let delays = refuse(50);
    assert!(delays.len() > 30, "{} were refused", delays.len());
    // 0.3 of the 8 s that each has left.
    assert!(delays.iter().all(|ms| *ms <= 2_400.0), "{delays:?}");
    let gaps = delays.windows(2).map(|w| w[1] - w[0]);
    let is_at_rate = |gap: f64| (gap / 17.5 - 1.0).abs() < 0.1;
    assert!(gaps.clone().all(is_at_rate), "{delays:?}");
}

/// Far more are refused than the pool takes while they honour its delay.
#[test]
fn callers_beyond_the_rate_of_the_pool_come_back_evenly_and_late() {
    let delays = refuse(1_000);
    assert!(delays.iter().all(|ms| *ms <= 2_400.0));
    let late: Vec<_> = delays.iter().filter(|ms| **ms > 1_920.0).collect();
    let fifths = (0..5).map(|n| 1_920.0 + 96.0 * f64::from(n));
    let count = |from: f64| {
        late.iter()
            .filter(|ms| ***ms > from && ***ms <= from + 96.0)
            .count()
    };
    let counts: Vec<_> = fifths.map(count).collect();
    let mean = late.len() as f64 / 5.0;
    let is_even = |n: &usize| (*n as f64 - mean).abs() < mean * 0.1;
    assert!(mean > 100.0 && counts.iter().all(is_even), "{counts:?}");
    let mut times = delays.clone();
    times.dedup();
    assert!(times.len() * 100 > delays.len() * 99, "{}", times.len());
}

// Grants and refusals of one round.
fn round(s: &mut Scheduler, now: f64) -> (Vec<OfferId>, Vec<(OfferId, f64)>) {
    let (mut granted, mut refused) = (Vec::new(), Vec::new());
    for (id, d) in s.poll(at(now)) {
        match d {
            Decision::Grant { .. } => granted.push(id),
            Decision::Refuse { retry_after_ms, .. } => refused.push((id, retry_after_ms)),
        }
    }
    (granted, refused)
}

/// One caller repeats at once and keeps its return time; back when asked, it goes first.
#[test]
fn an_early_repeat_waits_behind_the_others_and_keeps_its_return_time() {
    let mut s = Scheduler::new(settings(true));
    s.set_targets(&shard(0), vec![target("a", 1)]);
    let running = s.offer(offer(9, shard(0)), at(0.0));
    round(&mut s, 0.0);
    let of = |id| Offer {
        parts: vec![PromptPart { id, tokens: 500 }],
        ..offer(1, shard(0))
    };
    let returned = |aim_left_ms, time_left_ms| Offer {
        returned: true,
        aim_left_ms,
        time_left_ms,
        ..of(7)
    };
    let first = s.offer(of(7), at(0.0));
    let (_, refused) = round(&mut s, 3_000.0);
    let [(id, delay_ms)] = refused[..] else {
        panic!("{refused:?}");
    };
    assert_eq!(id, first);
    // Its objective is nearer than that of the other one.
    s.offer(returned(900.0, 400.0), at(3_010.0));
    let other = s.offer(of(8), at(3_010.0));
    s.finish(running, SlotOutcome::Unused, at(3_010.0));
    assert_eq!(round(&mut s, 3_010.0).0, [other]);
    let (_, refused) = round(&mut s, 3_200.0);
    let [(_, again_ms)] = refused[..] else {
        panic!("{refused:?}");
    };
    assert!(3_200.0 + again_ms <= 3_000.0 + delay_ms);
    let back_at = 3_000.0 + delay_ms;
    s.offer(
        Offer {
            aim_left_ms: -1.0,
            ..of(9)
        },
        at(back_at),
    );
    let back = s.offer(returned(-1.0, 4_000.0), at(back_at));
    s.finish(other, SlotOutcome::Unused, at(back_at));
    assert_eq!(round(&mut s, back_at).0, [back]);
}

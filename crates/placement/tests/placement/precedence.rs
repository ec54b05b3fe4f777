//! An overload in which requests of different urgency hold their slots for different times.

use crate::helper::{at, complete, offer, pool, target};
use rwd_placement::{Decision, Offer, OfferId, PlacementSettings, Scheduler};
use std::collections::BinaryHeap;

const TICK_MS: u32 = 5;
const STEP_MS: f64 = 3.2;
const FIRST_MS: f64 = 30.0;

struct Kind {
    route: u8,
    output: u32,
    per_s: f64,
    aim_ms: f64,
    time_ms: f64,
}

// 48 slots, which the three kinds together ask for 1.6 times.
const KINDS: [Kind; 3] = [
    Kind {
        route: 0,
        output: 380,
        per_s: 14.0,
        aim_ms: 800.0,
        time_ms: 12_000.0,
    },
    Kind {
        route: 1,
        output: 290,
        per_s: 56.0,
        aim_ms: 400.0,
        time_ms: 10_000.0,
    },
    Kind {
        route: 2,
        output: 27,
        per_s: 68.0,
        aim_ms: 400.0,
        time_ms: 2_500.0,
    },
];

fn slot_ms(kind: &Kind) -> f64 {
    FIRST_MS + f64::from(kind.output) * STEP_MS
}

/// The share of each kind that got a slot in time, and the value served: the weight of a route
/// priority is `priority_factor` times that of the next one.
fn serve_overload(cfg: PlacementSettings) -> ([f64; 3], f64) {
    let mut s = Scheduler::new(cfg);
    let targets = (0..8).map(|n| target(&format!("t{n}"), 6));
    s.set_targets(&pool(), targets.collect());
    let mut running: BinaryHeap<(std::cmp::Reverse<u32>, u64)> = BinaryHeap::new();
    let mut kinds: Vec<(OfferId, usize, f64)> = Vec::new();
    let mut due = [0.0; 3];
    let (mut asked, mut in_time) = ([0.0; 3], [0.0; 3]);
    for tick in 0..(30_000 / TICK_MS) {
        let now_ms = tick * TICK_MS;
        let now = at(f64::from(now_ms));
        while let Some((std::cmp::Reverse(end), id)) = running.peek().copied() {
            if end > now_ms {
                break;
            }
            running.pop();
            let kind = kinds
                .iter()
                .find(|(k, _, _)| k.0 == id)
                .map(|(_, k, _)| &KINDS[*k]);
            let kind = kind.unwrap();
            let rest_ms = f64::from(kind.output) * STEP_MS;
            s.finish(OfferId(id), complete(FIRST_MS, rest_ms, kind.output), now);
        }
        for (k, kind) in KINDS.iter().enumerate() {
            due[k] += kind.per_s * f64::from(TICK_MS) / 1000.0;
            while due[k] >= 1.0 {
                due[k] -= 1.0;
                let id = s.offer(
                    Offer {
                        output: kind.output,
                        aim_left_ms: kind.aim_ms,
                        time_left_ms: kind.time_ms,
                        ..offer(kind.route)
                    },
                    now,
                );
                kinds.push((id, k, f64::from(now_ms)));
                asked[k] += 1.0;
            }
        }
        for (id, decision) in s.poll(now) {
            let (_, k, offered) = kinds.iter().find(|(i, _, _)| *i == id).copied().unwrap();
            let kind = &KINDS[k];
            if matches!(decision, Decision::Grant { .. }) {
                let end = now_ms + slot_ms(kind) as u32;
                running.push((std::cmp::Reverse(end), id.0));
                let is_in_time = f64::from(now_ms) - offered + FIRST_MS <= kind.aim_ms;
                in_time[k] += f64::from(u8::from(is_in_time));
            }
        }
    }
    let share = [0, 1, 2].map(|k| in_time[k] / asked[k]);
    let value = |k: usize| in_time[k] * 4.5_f64.powi(-(KINDS[k].route as i32));
    (share, (0..3).map(value).sum())
}

/// Requests of the middle priority hold their slots ten times as long as those of the lowest. By value
/// for slot time they go last, and an overload starves them first.
#[test]
fn a_priority_is_served_as_often_as_lower_ones_with_shorter_requests() {
    let ([before, middle, lowest], value_before) = serve_overload(PlacementSettings::default());
    assert!(
        middle < lowest - 0.2,
        "{middle} of the middle, {lowest} of the lowest"
    );
    let cfg = PlacementSettings {
        keeps_precedence: true,
        ..PlacementSettings::default()
    };
    let ([highest, middle, lowest], value) = serve_overload(cfg);
    // Nor by putting the middle before the highest.
    assert!(
        highest > before - 0.02,
        "{highest} of the highest, {before} before"
    );
    assert!(
        highest > middle - 0.05,
        "{highest} of the highest, {middle} of the middle"
    );
    assert!(
        middle > lowest - 0.05,
        "{middle} of the middle, {lowest} of the lowest"
    );
    // It must not be bought by leaving slots unused.
    assert!(
        value > 0.9 * value_before,
        "{value} served, {value_before} before"
    );
    // Nor by starving the lowest priority instead.
    assert!(lowest > middle / 4.0, "{lowest} of the lowest");
}

/// A pool with room for everything keeps its order.
#[test]
fn precedence_changes_nothing_without_an_overload() {
    let cfg = PlacementSettings {
        keeps_precedence: true,
        ..PlacementSettings::default()
    };
    let mut s = Scheduler::new(cfg);
    s.set_targets(&pool(), vec![target("a", 64)]);
    for n in 0..200 {
        let id = s.offer(offer((n % 3) as u8), at(f64::from(n)));
        let decisions = s.poll(at(f64::from(n)));
        assert!(
            matches!(decisions.as_slice(), [(granted, Decision::Grant { .. })] if *granted == id)
        );
        s.finish(id, complete(30.0, 300.0, 100), at(f64::from(n)));
    }
}

//! Loads that differ between zones: served on time against one queue that sees all slots.

use crate::helper::{ZONE_RATE, play};
use crate::scenario::{Outcome, Policy, Scenario};
use std::f64::consts::TAU;

/// Fraction of what one clairvoyant queue serves on time that is to be reached.
const MIN_FRACTION: f64 = 0.95;

fn compare(scenario: impl Fn(Policy) -> Scenario) {
    let served = |policy| play(scenario(policy));
    let [ideal, random, room] = [Policy::Clairvoyant, Policy::Random, Policy::Room].map(served);
    let rate = |o: &Outcome| f64::from(o.on_time) / f64::from(o.offered);
    println!("clairvoyant {ideal:?}\nrandom {random:?}\nroom {room:?}");
    assert!(rate(&room) >= MIN_FRACTION * rate(&ideal));
    assert!(rate(&room) >= rate(&random));
    assert!(room.spilled <= random.spilled);
}

fn wave(zone: usize, s: f64) -> f64 {
    ZONE_RATE * 0.85 * (1.0 + 0.55 * (TAU * (s / 60.0 + zone as f64 / 8.0)).sin())
}

/// Demand that swings by 0.55, a quarter of a period apart between zones, at a mean load of 0.85.
#[test]
fn zones_with_waves_out_of_step_use_each_others_slots() {
    compare(|policy| Scenario::new(policy, wave));
}

/// Half of a zone's targets die and come back.
#[test]
fn a_zone_whose_targets_die_is_served_by_the_others() {
    compare(|policy| Scenario {
        dead: Some((1, 30.0, 90.0)),
        ..Scenario::new(policy, |_, _| ZONE_RATE * 0.8)
    });
}

/// Callers of seven zones move to one and back.
#[test]
fn callers_that_shift_to_one_zone_are_served_by_all() {
    let rate = |zone, s: f64| match (zone, (s / 30.0) as u32 % 2) {
        (0, 1) => ZONE_RATE * 2.6,
        (_, 1) => ZONE_RATE * 0.6,
        _ => ZONE_RATE * 0.85,
    };
    compare(|policy| Scenario::new(policy, rate));
}

/// All zones but one are at their peak: a random choice finds the free slots once in seven times.
#[test]
fn the_only_zone_with_room_is_found() {
    let rate = |zone, _| match zone {
        7 => ZONE_RATE * 0.2,
        _ => ZONE_RATE * 1.06,
    };
    compare(|policy| Scenario::new(policy, rate));
}

//! Lost schedulers, cuts and reports that are lost or late: no worse than without rooms.

use crate::helper::{ZONE_RATE, play};
use crate::scenario::{Outcome, Policy, Scenario};

fn uneven(zone: usize, _: f64) -> f64 {
    match zone {
        0 => ZONE_RATE * 1.3,
        _ => ZONE_RATE * 0.7,
    }
}

/// Two zones have room for the excess of all others.
fn peak(zone: usize, _: f64) -> f64 {
    match zone {
        6 => ZONE_RATE * 0.5,
        7 => ZONE_RATE * 0.4,
        _ => ZONE_RATE * 1.1,
    }
}

/// The room of noise between two plays of one load, as a fraction of the requests on time.
const NOISE: f64 = 0.98;

fn compare(scenario: impl Fn(Policy) -> Scenario) -> (Outcome, Outcome) {
    let (random, room) = (play(scenario(Policy::Random)), play(scenario(Policy::Room)));
    println!("random {random:?}\nroom {room:?}");
    assert!(f64::from(room.on_time) >= NOISE * f64::from(random.on_time));
    (random, room)
}

#[test]
fn a_shard_whose_scheduler_is_lost_halfway_is_used_again() {
    compare(|policy| Scenario {
        lost: Some((1, 60.0)),
        ..Scenario::new(policy, uneven)
    });
}

#[test]
fn a_zone_that_is_cut_off_keeps_its_own_requests() {
    let (random, room) = compare(|policy| Scenario {
        cut: Some((1, 30.0, 90.0)),
        ..Scenario::new(policy, uneven)
    });
    assert!(f64::from(room.by_zone[&1]) >= NOISE * f64::from(random.by_zone[&1]));
}

#[test]
fn lost_reports_leave_the_random_choice() {
    compare(|policy| Scenario {
        report_delay_ms: f64::INFINITY,
        ..Scenario::new(policy, peak)
    });
}

/// Reports that are almost too old to be used, with few and with many homes.
#[test]
fn late_reports_start_no_herd() {
    for homes in [84, 390] {
        compare(|policy| Scenario {
            homes,
            report_delay_ms: 1100.0,
            ..Scenario::new(policy, peak)
        });
    }
}

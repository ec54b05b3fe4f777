//! What a node remembers of targets that leave or put it off.

use rwd_gateway::{Withheld, WithheldTargets};
use rwd_placement::Timestamp;
use rwd_types::TargetName;

fn name(n: usize) -> TargetName {
    format!("t{n}").parse().unwrap()
}

fn at(ms: f64) -> Timestamp {
    Timestamp(ms)
}

#[test]
fn the_later_end_of_two_holds_counts() {
    let targets = WithheldTargets::default();
    targets.record_hold(&name(1), 2000.0, at(0.0));
    // A later refusal that names a shorter time.
    assert_eq!(targets.record_hold(&name(1), 100.0, at(500.0)), 1500.0);
    let left = |ms| targets.check(&name(1), 1, at(ms));
    assert_eq!(left(1999.0), Some(Withheld::Held { left_ms: 1.0 }));
    assert_eq!(left(2000.0), None);
    assert_eq!(targets.record_hold(&name(1), 3000.0, at(500.0)), 3000.0);
    assert_eq!(left(3499.0), Some(Withheld::Held { left_ms: 1.0 }));
    assert!(targets.take_ended(at(3499.0)).is_empty());
    let ended = targets.take_ended(at(3500.0));
    assert_eq!(ended[0].lasted_ms, 3500.0);
    assert_eq!(targets.check(&name(2), 1, at(0.0)), None);
}

/// A time beyond any sensible one is cut to an hour.
#[test]
fn a_hold_is_bounded() {
    let targets = WithheldTargets::default();
    assert_eq!(targets.record_hold(&name(1), 1e300, at(0.0)), 3_600_000.0);
}

/// Guards against a leaving mark that outlives its process, or ends with a repeated response.
#[test]
fn a_leaving_mark_is_of_one_process() {
    let targets = WithheldTargets::default();
    assert!(targets.record_leaving(&name(1), 7));
    assert!(!targets.record_leaving(&name(1), 7));
    assert_eq!(targets.check(&name(1), 7, at(1e9)), Some(Withheld::Leaving));
    assert_eq!(targets.check(&name(1), 8, at(1e9)), None);
    targets.record_hold(&name(1), 1e6, at(0.0));
    assert_eq!(targets.check(&name(1), 7, at(1.0)), Some(Withheld::Leaving));
}

#[test]
fn the_number_of_targets_is_bounded() {
    let targets = WithheldTargets::default();
    for n in 0..5_000 {
        targets.record_leaving(&name(n), 1);
        targets.record_hold(&name(n), 1000.0, at(0.0));
    }
    assert_eq!(targets.check(&name(0), 1, at(1.0)), None);
    let last = targets.check(&name(4_999), 1, at(1.0));
    assert_eq!(last, Some(Withheld::Leaving));
    assert_eq!(targets.take_ended(at(2000.0)).len(), 4096);
}

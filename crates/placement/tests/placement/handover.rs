//! What a scheduler knows of targets when it takes over.

use crate::helper::{at, complete, grants, name, offer, pool, target};
use rwd_placement::{HeldSlot, Offer, PlacementSettings, Scheduler, TargetReport};
use rwd_types::InstanceName;

fn scheduler(handover: bool) -> Scheduler {
    let mut s = Scheduler::new(PlacementSettings {
        handover,
        ..PlacementSettings::default()
    });
    s.set_targets(&pool(), vec![target("t1", 4)]);
    s
}

fn home() -> InstanceName {
    "n1".parse().unwrap()
}

fn held(request: &str) -> HeldSlot {
    HeldSlot {
        shard: pool(),
        target: name("t1"),
        request: request.into(),
        tokens: 700,
        unread: 500,
        held_ms: 100.0,
        left_ms: 5000.0,
    }
}

fn report(prefill_ms_per_token: f32) -> TargetReport {
    TargetReport {
        target: name("t1"),
        born: 1,
        prefill_ms_per_token,
        step_ms: 20.0,
        call_ms: 80.0,
        failures: 0.0,
        estimate: Default::default(),
    }
}

fn offer_many(s: &mut Scheduler, count: usize, ms: f64) -> usize {
    for _ in 0..count {
        s.offer(offer(1), at(ms));
    }
    grants(&s.poll(at(ms))).len()
}

/// Failure: a scheduler is lost. Its successor grants the rest of the slots, and only a part of those
/// until home nodes have reported.
#[test]
fn a_successor_counts_the_slots_that_home_nodes_report() {
    let mut s = scheduler(true);
    let first = s.adopt(&held("a"), &home(), at(0.0)).unwrap();
    s.adopt(&held("b"), &home(), at(0.0)).unwrap();
    assert_eq!(s.targets(&pool(), at(0.0))[0].in_flight, 2);
    assert_eq!(
        offer_many(&mut s, 5, 0.0),
        2,
        "half of four slots, two are in use"
    );
    s.finish(first, complete(50.0, 500.0, 100), at(600.0));
    assert_eq!(grants(&s.poll(at(600.0))).len(), 0, "its own share is used");
    assert_eq!(
        grants(&s.poll(at(1001.0))).len(),
        1,
        "the slot that was reported free"
    );
}

/// Failure: a scheduler is lost while its targets are full. Nothing is granted until home nodes whose
/// links were reset have reported.
#[test]
fn a_successor_of_an_active_scheduler_waits_for_reports() {
    let mut s = scheduler(true);
    s.learn(&pool(), &[report(0.03)], at(0.0));
    assert_eq!(offer_many(&mut s, 6, 1000.0), 0);
    for request in ["a", "b", "c", "d"] {
        s.adopt(&held(request), &home(), at(1050.0)).unwrap();
    }
    assert_eq!(grants(&s.poll(at(1200.0))).len(), 0, "all slots are in use");
    let mut idle = scheduler(true);
    idle.learn(&pool(), &[report(0.03)], at(0.0));
    assert_eq!(
        offer_many(&mut idle, 1, 5000.0),
        1,
        "no scheduler was active"
    );
}

/// Failure: a link breaks while the scheduler lives. The home node reports the same slot again.
#[test]
fn a_slot_that_is_reported_twice_counts_once() {
    let mut s = scheduler(true);
    let first = s.adopt(&held("a"), &home(), at(0.0)).unwrap();
    let second = s.adopt(&held("a"), &home(), at(1.0)).unwrap();
    assert_eq!(s.targets(&pool(), at(1.0))[0].in_flight, 1);
    s.finish(first, complete(50.0, 500.0, 100), at(2.0));
    assert_eq!(s.targets(&pool(), at(2.0))[0].in_flight, 1);
    s.finish(second, complete(50.0, 500.0, 100), at(3.0));
    assert_eq!(s.targets(&pool(), at(3.0))[0].in_flight, 0);
}

/// Failure: a shard is partitioned anew while home nodes report.
#[test]
fn a_slot_is_found_in_another_shard_and_none_at_an_unknown_target() {
    let mut s = scheduler(true);
    let elsewhere = HeldSlot {
        shard: "model_z1_0".parse().unwrap(),
        ..held("a")
    };
    assert!(s.adopt(&elsewhere, &home(), at(0.0)).is_some());
    let unknown = HeldSlot {
        target: name("t9"),
        ..held("b")
    };
    assert!(s.adopt(&unknown, &home(), at(0.0)).is_none());
}

/// Failure: a scheduler is lost, and with it what it knew of the speed of its targets.
#[test]
fn a_successor_starts_from_what_its_predecessor_knew() {
    let expected_ms = |s: &mut Scheduler, ms| {
        let long = Offer {
            prompt: 1000,
            parts: Vec::new(),
            ..offer(1)
        };
        s.offer(long, at(ms));
        match &s.poll(at(ms))[..] {
            [(_, rwd_placement::Decision::Grant { first_ms, .. })] => *first_ms,
            other => panic!("a grant was expected: {other:?}"),
        }
    };
    let mut fresh = scheduler(true);
    fresh.learn(&pool(), &[report(0.3)], at(0.0));
    assert!(expected_ms(&mut fresh, 5000.0) > 300.0);
    let mut active = scheduler(true);
    assert!(expected_ms(&mut active, 0.0) < 100.0);
    active.learn(&pool(), &[report(0.3)], at(10.0));
    assert!(
        expected_ms(&mut active, 20.0) < 100.0,
        "it knows better itself"
    );
    let mut s = scheduler(true);
    assert_eq!(
        s.reports(&pool(), at(0.0)),
        [],
        "it does not schedule the pool"
    );
    expected_ms(&mut s, 0.0);
    assert_eq!(s.reports(&pool(), at(1.0)).len(), 1);
}

/// Load: targets that are added to a slow pool.
#[test]
fn a_new_target_starts_from_the_median_of_its_pool() {
    let speed = |handover| {
        let mut s = scheduler(handover);
        s.learn(&pool(), &[report(0.3)], at(0.0));
        s.set_targets(&pool(), vec![target("t1", 4), target("t2", 4)]);
        s.offer(offer(1), at(0.0));
        s.poll(at(0.0));
        let of_new = s.reports(&pool(), at(1.0)).into_iter();
        of_new.last().unwrap().prefill_ms_per_token
    };
    assert_eq!(speed(true), 0.3);
    assert_eq!(speed(false), 0.03, "as before without the switch");
}

/// Failure: a peer sends values that have no meaning.
#[test]
fn reports_with_values_out_of_range_name_the_field() {
    for bad in [f64::NAN, f64::INFINITY, -1.0] {
        let slot = HeldSlot {
            left_ms: bad,
            ..held("a")
        };
        assert_eq!(slot.check().unwrap_err().field, "left_ms");
    }
    for bad in [f32::NAN, f32::INFINITY, 0.0, -1.0] {
        assert_eq!(
            report(bad).check().unwrap_err().field,
            "prefill_ms_per_token"
        );
    }
    assert!(held("a").check().is_ok() && report(0.3).check().is_ok());
}

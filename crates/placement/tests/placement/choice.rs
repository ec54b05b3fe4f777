//! Target selection.

use crate::helper::{at, complete, granted, name, offer, pool, scheduler, target};
use rwd_placement::{Decision, Offer, PromptPart, SlotOutcome, TargetInfo};

/// Engines differ in speed by a factor of five, and responses differ in length.
#[test]
fn a_long_response_goes_to_a_target_that_completes_it_in_time() {
    let mut s = scheduler(vec![target("slow", 4), target("fast", 4)]);
    for _ in 0..30 {
        for only in ["slow", "fast"] {
            let other = if only == "slow" { "fast" } else { "slow" };
            let probe = Offer {
                exclude: vec![name(other)],
                ..offer(0)
            };
            let id = s.offer(probe, at(0.0));
            s.poll(at(0.0));
            let step = if only == "slow" { 10.0 } else { 2.0 };
            s.finish(id, complete(30.0, 100.0 * step, 100), at(0.0));
        }
    }
    let long = Offer {
        output: 2500,
        ..offer(0)
    };
    s.offer(long, at(100_000.0));
    assert_eq!(granted(&s.poll(at(100_000.0))).1, name("fast"));
}

/// One target fails its requests while its liveness check passes.
#[test]
fn a_failing_target_gets_fewer_requests_until_its_failure_rate_decays() {
    let mut s = scheduler(vec![target("good", 50), target("grey", 50)]);
    let mut to_grey = 0;
    for n in 0..100 {
        let now = at(f64::from(n) * 10.0);
        s.offer(offer(0), now);
        let (id, to) = granted(&s.poll(now));
        let outcome = match to == name("grey") {
            true => {
                to_grey += 1;
                SlotOutcome::Failed
            }
            false => complete(30.0, 300.0, 100),
        };
        s.finish(id, outcome, now);
    }
    assert!(to_grey < 20, "{to_grey} of 100 went to the failing target");
    let views = s.targets(&pool(), at(60_000.0));
    let grey = views.iter().find(|t| t.name == name("grey")).unwrap();
    assert!(grey.usable && grey.failures < 0.01);
}

/// A partitioned node reports all targets as unreachable.
#[test]
fn unreachable_reports_of_one_node_block_targets_for_that_node_only() {
    let mut s = scheduler(vec![target("a", 4)]);
    let cut_off = s.offer(offer(0), at(0.0));
    s.poll(at(0.0));
    s.finish(cut_off, SlotOutcome::Unreachable, at(1.0));
    s.offer(offer(0), at(2.0));
    assert!(s.poll(at(2.0)).is_empty());
    let from = |home: &str| Offer {
        home: home.parse().unwrap(),
        ..offer(0)
    };
    let other = s.offer(from("n2"), at(2.0));
    let decisions = s.poll(at(2.0));
    assert_eq!(granted(&decisions).0, other);
    // A failure seen by a second node marks the target down for all.
    s.finish(other, SlotOutcome::Unreachable, at(3.0));
    s.offer(from("n3"), at(4.0));
    assert!(s.poll(at(4.0)).is_empty());
}

/// Sessions share a long prompt prefix, which one target should process only once.
#[test]
fn a_shared_prompt_goes_to_the_target_that_has_it_cached() {
    let mut s = scheduler(vec![target("a", 4), target("b", 4), target("c", 4)]);
    let parts = vec![
        PromptPart {
            id: 7,
            tokens: 8000,
        },
        PromptPart { id: 8, tokens: 100 },
    ];
    let shared = || Offer {
        parts: parts.clone(),
        prompt: 8100,
        ..offer(0)
    };
    let id = s.offer(shared(), at(0.0));
    let (_, first) = granted(&s.poll(at(0.0)));
    s.finish(id, complete(200.0, 300.0, 100), at(1000.0));
    for n in 1..5 {
        let now = at(1000.0 + f64::from(n));
        s.offer(shared(), now);
        let to = granted(&s.poll(now)).1;
        if n < 4 {
            assert_eq!(to, first, "request {n}");
        }
    }
}

/// A target restarts under its old name and loses its state.
#[test]
fn a_restart_under_the_same_name_frees_the_slots() {
    let mut s = scheduler(vec![target("a", 1)]);
    let id = s.offer(offer(0), at(0.0));
    s.poll(at(0.0));
    let restarted = TargetInfo {
        born: 2,
        ..target("a", 1)
    };
    s.set_targets(&pool(), vec![restarted]);
    let next = s.offer(offer(0), at(1.0));
    assert_eq!(granted(&s.poll(at(1.0))).0, next);
    // The end of a request sent before the restart frees no slot of the new process.
    s.finish(id, SlotOutcome::Broken, at(2.0));
    s.offer(offer(0), at(3.0));
    assert!(s.poll(at(3.0)).is_empty());
}

/// A target shuts down gracefully.
#[test]
fn a_draining_target_gets_no_new_requests() {
    let mut s = scheduler(vec![target("a", 4), target("b", 4)]);
    let leaving = TargetInfo {
        leaving: true,
        ..target("a", 4)
    };
    s.set_targets(&pool(), vec![leaving, target("b", 4)]);
    for n in 0..4 {
        s.offer(offer(0), at(f64::from(n)));
        assert_eq!(granted(&s.poll(at(f64::from(n)))).1, name("b"));
    }
}

/// Long prompts fill a target's memory before its slots.
#[test]
fn memory_limits_the_requests_in_progress() {
    let mut s = scheduler(vec![target("a", 7)]);
    let large = || Offer {
        prompt: 40_000,
        ..offer(0)
    };
    for _ in 0..4 {
        s.offer(large(), at(0.0));
    }
    let first = s.poll(at(0.0)).len();
    assert_eq!(first, 2);
}

/// A target crashes under load, and every node has requests waiting for its slots.
#[test]
fn a_target_that_is_down_is_probed_with_one_request_at_a_time() {
    let mut s = scheduler(vec![target("a", 6)]);
    let from = |n: u32| Offer {
        home: format!("n{n}").parse().unwrap(),
        ..offer(0)
    };
    let mut tries = 0;
    for ms in 0..4_000 {
        let now = at(f64::from(ms));
        s.offer(from(ms % 84), now);
        let decisions = s.poll(now);
        for id in crate::helper::grants(&decisions) {
            tries += 1;
            s.finish(id, SlotOutcome::Down, now);
        }
    }
    assert!(tries < 15, "{tries} requests went to a target that is down");
    let id = s.offer(from(1), at(10_000.0));
    s.poll(at(10_000.0));
    s.finish(id, complete(30.0, 300.0, 100), at(10_001.0));
    for _ in 0..6 {
        s.offer(from(1), at(10_002.0));
    }
    assert!(
        s.poll(at(10_002.0)).len() >= 6,
        "a recovered target gets requests for all slots again"
    );
}

/// A minority partition schedules on its own.
#[test]
fn a_minority_partition_uses_only_its_fraction_of_the_slots() {
    let mut s = scheduler((0..10).map(|n| target(&format!("t{n}"), 6)).collect());
    s.set_visible_share(0.1, at(0.0));
    for _ in 0..60 {
        s.offer(offer(0), at(0.0));
    }
    assert_eq!(s.poll(at(0.0)).len(), 6);
    // In a majority partition, the other nodes have more likely failed.
    s.set_visible_share(0.7, at(0.0));
    assert_eq!(s.poll(at(1.0)).len(), 54);
}

/// Home nodes and the scheduler are notified of a new target at different times. Requests that a
/// home node returns as `Gone` must not be granted the same target again at once.
#[test]
fn a_target_unknown_to_the_home_node_is_backed_off() {
    let mut s = scheduler(vec![target("new", 5), target("old", 1)]);
    let mut at_new = 0;
    let mut last = None;
    for n in 0..100 {
        let now = at(f64::from(n) * 5.0);
        let id = s.offer(offer(0), now);
        for (granted, decision) in s.poll(now) {
            match decision {
                Decision::Grant { target, .. } if target == name("new") => {
                    at_new += 1;
                    s.finish(granted, SlotOutcome::Gone, now);
                }
                _ => last = Some(granted),
            }
        }
        s.finish(id, SlotOutcome::Unused, now);
    }
    assert!(last.is_some(), "no request went to the other target");
    assert_eq!(at_new, 1);
}

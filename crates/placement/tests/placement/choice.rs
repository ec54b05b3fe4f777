//! Which target a request goes to.

use crate::helper::{at, complete, granted, name, offer, pool, scheduler, target};
use rwd_placement::{Decision, Offer, PromptPart, SlotOutcome, TargetInfo};

/// Pattern: engines that differ in speed by a factor of five, and answers that differ in length.
#[test]
fn a_long_answer_goes_where_it_can_end_in_time() {
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

/// Pattern: one target fails part of its requests while its liveness check is good.
#[test]
fn a_failing_target_gets_less_work_and_another_chance_later() {
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

/// Pattern: a node is cut off from the targets and reports all of them as unreachable.
#[test]
fn one_node_that_reaches_nothing_closes_a_pool_for_itself_only() {
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
    // A second node that fails makes it certain.
    s.finish(other, SlotOutcome::Unreachable, at(3.0));
    s.offer(from("n3"), at(4.0));
    assert!(s.poll(at(4.0)).is_empty());
}

/// Pattern: sessions share a long prompt; it is read once.
#[test]
fn a_shared_prompt_goes_where_it_is_kept() {
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

/// Pattern: a target restarts under its old name and has forgotten everything.
#[test]
fn a_restarted_target_is_a_new_one() {
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
    // The end of a request of the earlier life frees nothing of the new one.
    s.finish(id, SlotOutcome::Broken, at(2.0));
    s.offer(offer(0), at(3.0));
    assert!(s.poll(at(3.0)).is_empty());
}

/// Pattern: a planned stop of a target.
#[test]
fn a_leaving_target_gets_nothing_new() {
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

/// Pattern: prompts that fill a target's memory long before its slots.
#[test]
fn memory_bounds_the_work_of_a_target() {
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

/// Pattern: a target crashes under load, and every node has requests waiting for its slots.
#[test]
fn a_target_that_is_down_costs_one_request_at_a_time() {
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
        "it is back and gets work again"
    );
}

/// Pattern: a few nodes are cut off from the others and place by themselves.
#[test]
fn a_node_that_is_cut_off_uses_its_part_of_the_slots() {
    let mut s = scheduler((0..10).map(|n| target(&format!("t{n}"), 6)).collect());
    s.set_visible_share(0.1);
    for _ in 0..60 {
        s.offer(offer(0), at(0.0));
    }
    assert_eq!(s.poll(at(0.0)).len(), 6);
    // Most of the nodes are here: the others are more likely gone.
    s.set_visible_share(0.7);
    assert_eq!(s.poll(at(1.0)).len(), 54);
}

/// Pattern: homes learn of a new target later than its scheduler, or the other way round. The
/// requests that they bring back must not meet the same target again at once.
#[test]
fn a_target_that_a_home_does_not_know_is_left_alone_for_a_while() {
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
    assert!(last.is_some(), "nothing went to the other target");
    assert_eq!(at_new, 1);
}

//! Targets that leave by their own word, and targets that put off one home node.

use crate::helper::{at, complete, grants, name, offer, scheduler, target};
use rwd_placement::{Decision, Offer, OfferId, Scheduler, SlotOutcome, TargetInfo};

fn from(home: &str) -> Offer {
    Offer {
        home: home.parse().unwrap(),
        time_left_ms: 1e6,
        aim_left_ms: 1e6,
        ..offer(0)
    }
}

/// Grants a slot to `home` and releases it with `outcome`.
fn put_off(s: &mut Scheduler, home: &str, outcome: SlotOutcome, ms: f64) {
    let id = s.offer(from(home), at(ms));
    assert!(grants(&s.poll(at(ms))).contains(&id));
    s.finish(id, outcome, at(ms));
}

fn granted(decisions: &[(OfferId, Decision)], id: OfferId) -> bool {
    grants(decisions).contains(&id)
}

/// Guards against a target that idles for all nodes because it has put off one of them.
#[test]
fn a_hold_is_between_one_home_and_one_target() {
    let mut s = scheduler(vec![target("a", 1)]);
    put_off(&mut s, "h1", SlotOutcome::Held { for_ms: 2000.0 }, 0.0);
    let first = s.offer(from("h1"), at(10.0));
    let other = s.offer(from("h2"), at(20.0));
    let decisions = s.poll(at(20.0));
    assert!(granted(&decisions, other) && !granted(&decisions, first));
    s.finish(other, complete(5.0, 5.0, 0), at(30.0));
    assert!(s.poll(at(1999.0)).is_empty());
    assert!(granted(&s.poll(at(2000.0)), first));
}

/// Guards against all waiting requests of a home that arrive at the moment at which its hold ends.
#[test]
fn requests_after_a_hold_come_one_by_one_until_one_completes() {
    let mut s = scheduler(vec![target("a", 8)]);
    put_off(&mut s, "h1", SlotOutcome::Held { for_ms: 1000.0 }, 0.0);
    let waiting: Vec<_> = (0..8).map(|_| s.offer(from("h1"), at(500.0))).collect();
    assert!(s.poll(at(900.0)).is_empty());
    let first = grants(&s.poll(at(1000.0)));
    assert_eq!(first.len(), 1);
    assert!(s.poll(at(1100.0)).is_empty());
    s.finish(first[0], complete(5.0, 5.0, 0), at(1200.0));
    assert_eq!(grants(&s.poll(at(1200.0))).len(), waiting.len() - 1);
}

/// Two refusals in a row: the later end counts.
#[test]
fn a_shorter_hold_does_not_end_a_longer_one() {
    let mut s = scheduler(vec![target("a", 8)]);
    let ids = [0, 1].map(|_| s.offer(from("h1"), at(0.0)));
    assert_eq!(grants(&s.poll(at(0.0))).len(), 2);
    s.finish(ids[0], SlotOutcome::Held { for_ms: 3000.0 }, at(0.0));
    s.finish(ids[1], SlotOutcome::Held { for_ms: 100.0 }, at(1.0));
    let next = s.offer(from("h1"), at(200.0));
    assert!(!granted(&s.poll(at(2900.0)), next));
    assert!(granted(&s.poll(at(3000.0)), next));
}

/// Guards against grants of a target that leaves, while the registry lists it as ready.
#[test]
fn a_target_that_says_that_it_leaves_is_granted_to_no_home() {
    let mut s = scheduler(vec![target("a", 8), target("b", 8)]);
    let id = s.offer(
        Offer {
            exclude: vec![name("b")],
            ..from("h1")
        },
        at(0.0),
    );
    assert!(granted(&s.poll(at(0.0)), id));
    s.finish(id, SlotOutcome::Leaving, at(0.0));
    let pool = offer(0).pool;
    s.set_targets(&pool, vec![target("a", 8), target("b", 8)]);
    let excluded = Offer {
        exclude: vec![name("b")],
        ..from("h2")
    };
    let id = s.offer(excluded.clone(), at(10.0));
    assert!(!granted(&s.poll(at(10.0)), id));
    // Another process under the same name.
    let next = TargetInfo {
        born: target("a", 8).born + 1,
        ..target("a", 8)
    };
    s.set_targets(&pool, vec![next, target("b", 8)]);
    let id = s.offer(excluded, at(20.0));
    assert!(granted(&s.poll(at(20.0)), id));
}

/// Guards against a target that is offered to one home after the other while it puts all of them off.
#[test]
fn a_target_that_holds_all_homes_off_is_tried_ever_less_often() {
    let mut s = scheduler(vec![target("a", 500)]);
    let mut tried = 0;
    for ms in 0..10_000 {
        let now = f64::from(ms);
        let id = s.offer(from(&format!("h{ms}")), at(now));
        let outcome = match granted(&s.poll(at(now)), id) {
            true => SlotOutcome::Held { for_ms: 1e6 },
            false => SlotOutcome::Unused,
        };
        tried += usize::from(outcome != SlotOutcome::Unused);
        s.finish(id, outcome, at(now));
    }
    assert!((10..=14).contains(&tried), "{tried}");
    // It takes requests again: of all but the homes that it has put off.
    let id = s.offer(from("next"), at(12_000.0));
    assert!(granted(&s.poll(at(12_000.0)), id));
    s.finish(id, complete(5.0, 5.0, 0), at(12_001.0));
    let ids = ["h0", "x", "y"].map(|h| s.offer(from(h), at(12_002.0)));
    let decisions = s.poll(at(12_002.0));
    assert_eq!(ids.map(|id| granted(&decisions, id)), [false, true, true]);
}

// LIMIT of issue 59: targets that fall over if they refuse many requests, and from one moment on let none wait. Two
// schedulers send to them, as during a handover.
#[test]
fn a_brittle_target_refuses_fewer_requests_a_second_than_it_bears() {
    const SLOTS: usize = 6;
    for per_s in [2.0, 5.0, 10.0] {
        let mut info = target("a", SLOTS as u32);
        info.capacity.memory_tokens = None;
        let mut schedulers = [scheduler(vec![info.clone()]), scheduler(vec![info])];
        let mut running: Vec<(f64, usize, OfferId)> = Vec::new();
        let (mut refusals, mut served): (Vec<f64>, usize) = (Vec::new(), 0);
        for step in 0..20_000_u32 {
            let ms = f64::from(step);
            let (done, rest): (Vec<_>, Vec<_>) = running.into_iter().partition(|r| r.0 <= ms);
            running = rest;
            for (_, n, id) in done {
                schedulers[n].finish(id, complete(30.0, 0.0, 0), at(ms));
                served += 1;
            }
            for (n, s) in schedulers.iter_mut().enumerate() {
                let offer = Offer {
                    parts: Vec::new(),
                    prompt: 0,
                    output: 0,
                    ..offer(0)
                };
                s.offer(offer, at(ms));
                for id in grants(&s.poll(at(ms))) {
                    let waits = running.len() >= SLOTS;
                    match waits && ms >= 3000.0 {
                        true => {
                            refusals.push(ms);
                            s.finish(id, SlotOutcome::Brittle { per_s }, at(ms));
                        }
                        false => {
                            let begins = running.iter().map(|r| r.0).nth_back(SLOTS - 1);
                            let begins = begins.unwrap_or(ms).max(ms);
                            running.push((begins + 20.0 + f64::from(step % 20), n, id));
                        }
                    }
                }
            }
        }
        for from in &refusals {
            let within = refusals
                .iter()
                .filter(|ms| (*from..*from + 1000.0).contains(*ms));
            let count = within.count() as f64;
            assert!(count <= per_s, "{per_s}: {count} refusals in a second");
        }
        // Half of what its slots take.
        let most = SLOTS * 20_000 / 30;
        assert!(served >= most / 2, "{per_s}: {served} of {most} served");
    }
}

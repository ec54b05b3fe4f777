//! More work than slots: who waits, who is refused, who comes back when.

use crate::helper::{at, complete, grants, offer, pool, scheduler, target};
use rwd_placement::{Decision, Offer, OfferId, Refusal, SlotOutcome};

fn refusals(decisions: &[(OfferId, Decision)]) -> Vec<(OfferId, f64)> {
    let refused = decisions.iter().filter_map(|(id, d)| match d {
        Decision::Refuse { retry_after_ms, .. } => Some((*id, *retry_after_ms)),
        Decision::Grant { .. } => None,
    });
    refused.collect()
}

/// Pattern: a burst of all kinds at once meets one free slot after another.
#[test]
fn a_burst_is_served_by_value_and_then_by_urgency() {
    let mut s = scheduler(vec![target("a", 1)]);
    let running = s.offer(offer(0), at(0.0));
    s.poll(at(0.0));
    let low = s.offer(offer(2), at(1.0));
    let late_aim = s.offer(offer(0), at(1.0));
    let urgent = Offer {
        aim_left_ms: 500.0,
        ..offer(0)
    };
    let urgent = s.offer(urgent, at(1.0));
    let middle = s.offer(offer(1), at(1.0));
    let mut order = Vec::new();
    let mut last = running;
    for n in 0..4 {
        s.finish(last, complete(30.0, 0.0, 0), at(2.0 + n as f64));
        let served = grants(&s.poll(at(2.0 + n as f64)));
        assert_eq!(served.len(), 1);
        last = served[0];
        order.push(last);
    }
    assert_eq!(order, [urgent, late_aim, middle, low]);
}

/// Pattern: a sustained overload; work whose aim has passed must not take the slots of work that
/// can still be on time, or everything is late.
#[test]
fn what_can_be_on_time_goes_before_what_is_late() {
    let mut s = scheduler(vec![target("a", 1)]);
    let running = s.offer(offer(0), at(0.0));
    s.poll(at(0.0));
    let late = Offer {
        aim_left_ms: -1.0,
        ..offer(0)
    };
    let late = s.offer(late, at(1.0));
    let hopeless = Offer {
        // Its prompt alone takes longer than the aim that is left.
        prompt: 50_000,
        aim_left_ms: 100.0,
        ..offer(0)
    };
    let hopeless = s.offer(hopeless, at(1.0));
    let on_time = s.offer(offer(2), at(1.0));
    s.finish(running, complete(30.0, 0.0, 0), at(2.0));
    assert_eq!(grants(&s.poll(at(2.0))), [on_time]);
    s.finish(on_time, complete(30.0, 0.0, 0), at(3.0));
    let next = grants(&s.poll(at(3.0)));
    assert!(next == [late] || next == [hopeless]);
}

/// Pattern: one workspace sends many times its quota; what is beyond it takes nobody's place.
#[test]
fn work_beyond_a_quota_leaves_room_and_waits_least() {
    let mut s = scheduler(vec![target("a", 5)]);
    let beyond = || Offer {
        beyond_quota: true,
        ..offer(0)
    };
    for _ in 0..10 {
        s.offer(beyond(), at(0.0));
    }
    let taken = grants(&s.poll(at(0.0))).len();
    assert!(taken < 5, "all {taken} slots went to work beyond the quota");
    let within = s.offer(offer(2), at(1.0));
    assert_eq!(grants(&s.poll(at(1.0))), [within]);
    let refused = refusals(&s.poll(at(200.0)));
    assert_eq!(refused.len(), 10 - taken);
}

/// Pattern: a pool is full for long; callers are told to come back one after the other.
#[test]
fn refused_callers_do_not_all_come_back_at_once() {
    let mut s = scheduler(vec![target("a", 1)]);
    s.offer(offer(0), at(0.0));
    s.poll(at(0.0));
    for _ in 0..50 {
        s.offer(offer(1), at(0.0));
    }
    let refused = refusals(&s.poll(at(4_000.0)));
    assert_eq!(refused.len(), 50);
    let mut times: Vec<_> = refused.iter().map(|(_, ms)| *ms).collect();
    // A caller ignores what is beyond a third of the time that it has left.
    assert!(times.iter().all(|ms| *ms <= 6_000.0 / 3.0), "{times:?}");
    times.sort_by(f64::total_cmp);
    times.dedup();
    assert_eq!(times.len(), 50, "some come back together: {times:?}");
}

/// Pattern: a long overload. What cannot be on time any more, and would not be served soon either,
/// is told so at once rather than held for seconds.
#[test]
fn hopeless_work_is_refused_early() {
    let mut s = scheduler(vec![target("a", 1)]);
    s.offer(offer(0), at(0.0));
    s.poll(at(0.0));
    for _ in 0..100 {
        s.offer(offer(1), at(0.0));
    }
    assert!(
        refusals(&s.poll(at(500.0))).is_empty(),
        "they can still be on time"
    );
    let refused = refusals(&s.poll(at(1_000.0)));
    assert!(refused.len() > 90, "{} were refused", refused.len());
}

/// Pattern: a short burst; the little that is late is served as soon as it is over.
#[test]
fn late_work_is_kept_while_it_will_be_served_soon() {
    let mut s = scheduler(vec![target("a", 1)]);
    let running = s.offer(offer(0), at(0.0));
    s.poll(at(0.0));
    let late = s.offer(offer(1), at(0.0));
    assert!(s.poll(at(1_200.0)).is_empty());
    s.finish(running, complete(30.0, 0.0, 0), at(1_300.0));
    assert_eq!(grants(&s.poll(at(1_300.0))), [late]);
}

/// Pattern: slots are free; nobody is refused and nobody waits.
#[test]
fn nobody_is_refused_while_a_slot_is_free() {
    let mut s = scheduler(vec![target("a", 4), target("b", 4)]);
    for n in 0..8 {
        s.offer(offer(n % 3), at(0.0));
    }
    let decisions = s.poll(at(0.0));
    assert_eq!(grants(&decisions).len(), 8);
    assert!(refusals(&decisions).is_empty());
}

/// Pattern: a stream broke in a burst; its caller waits in the middle of an answer.
#[test]
fn a_broken_stream_goes_on_before_new_work() {
    let mut s = scheduler(vec![target("a", 1)]);
    let running = s.offer(offer(0), at(0.0));
    s.poll(at(0.0));
    s.offer(offer(0), at(1.0));
    let resumed = Offer {
        resumes: true,
        ..offer(2)
    };
    let resumed = s.offer(resumed, at(1.0));
    s.finish(running, SlotOutcome::Broken, at(2.0));
    assert_eq!(grants(&s.poll(at(2.0))), [resumed]);
}

/// Pattern: every target of a pool has left.
#[test]
fn without_targets_the_refusal_says_so() {
    let mut s = scheduler(Vec::new());
    s.offer(offer(0), at(0.0));
    assert!(s.poll(at(0.0)).is_empty());
    let decisions = s.poll(at(5_000.0));
    let [(_, Decision::Refuse { reason, .. })] = &decisions[..] else {
        panic!("one refusal was expected: {decisions:?}");
    };
    assert_eq!(*reason, Refusal::NoTarget);
    assert_eq!(s.waiting(&pool()), 0);
}

/// Pattern: a long overload with estimates that feed on themselves. The time that is expected to
/// the first byte stays near what is measured.
#[test]
fn expected_times_do_not_run_away() {
    let mut s = scheduler(vec![target("a", 7)]);
    let mut running = Vec::new();
    let mut expected = 0.0;
    for n in 0..400 {
        let now = at(f64::from(n) * 150.0);
        s.offer(
            Offer {
                prompt: 6000,
                ..offer(0)
            },
            now,
        );
        for (id, decision) in s.poll(now) {
            if let Decision::Grant { first_ms, .. } = decision {
                expected = first_ms;
                running.push(id);
            }
        }
        if running.len() == 7 {
            // Each answer waited for one prompt before its own: 2 x 6000 tokens in 400 ms.
            s.finish(running.remove(0), complete(400.0, 700.0, 100), now);
        }
    }
    assert!(expected < 2.5 * 400.0, "{expected} ms are expected");
}

/// Pattern: a long overload; of two callers that will be late, the one that was refused before has
/// no further try.
#[test]
fn a_caller_that_came_back_is_not_refused_twice_while_others_are_served_late() {
    let mut s = scheduler(vec![target("a", 1)]);
    let running = s.offer(offer(0), at(0.0));
    s.poll(at(0.0));
    let late = || Offer {
        aim_left_ms: -100.0,
        ..offer(0)
    };
    for _ in 0..5 {
        s.offer(late(), at(1.0));
    }
    let returned = Offer {
        returned: true,
        ..late()
    };
    let returned = s.offer(returned, at(2.0));
    s.finish(running, complete(30.0, 0.0, 0), at(3.0));
    assert_eq!(grants(&s.poll(at(3.0))), [returned]);
}

/// Pattern: a month-end in which the middle kind alone could fill all slots. The lowest kind takes a
/// tenth of its slot time, so it is served between, after the most valuable one.
#[test]
fn short_work_of_low_priority_is_not_starved_by_long_work() {
    let mut s = scheduler(vec![target("a", 1)]);
    let long = |route| Offer {
        prompt: 600,
        output: 300,
        ..offer(route)
    };
    let short = || Offer {
        prompt: 600,
        output: 20,
        ..offer(2)
    };
    let running = s.offer(long(0), at(0.0));
    s.poll(at(0.0));
    let middle = s.offer(long(1), at(1.0));
    let low = s.offer(short(), at(1.0));
    let top = s.offer(long(0), at(1.0));
    let mut last = running;
    let mut order = Vec::new();
    for n in 0..3 {
        let now = at(2.0 + f64::from(n));
        s.finish(last, SlotOutcome::Unused, now);
        last = grants(&s.poll(now))[0];
        order.push(last);
    }
    assert_eq!(order, [top, low, middle]);
}

/// Pattern: the same month-end; a long request of a kind waits no longer than a short one, or the
/// largest would never be served.
#[test]
fn long_requests_of_a_kind_are_not_put_behind_short_ones() {
    let mut s = scheduler(vec![target("a", 1)]);
    let running = s.offer(offer(1), at(0.0));
    s.poll(at(0.0));
    let of = |output, aim_left_ms| Offer {
        output,
        aim_left_ms,
        ..offer(1)
    };
    let long = s.offer(of(2000, 900.0), at(1.0));
    s.offer(of(10, 1000.0), at(1.0));
    s.finish(running, SlotOutcome::Unused, at(2.0));
    assert_eq!(grants(&s.poll(at(2.0))), [long]);
}

/// Pattern: a desk of short calls is full. The end of a call takes a while to be known and to be
/// followed by the next, so one call more waits at the target itself.
#[test]
fn short_calls_are_sent_before_a_slot_is_known_to_be_free() {
    let mut desk = target("a", 6);
    desk.capacity.memory_tokens = None;
    let mut s = scheduler(vec![desk]);
    let call = || Offer {
        prompt: 0,
        output: 0,
        ..offer(0)
    };
    for _ in 0..20 {
        s.offer(call(), at(0.0));
    }
    // 6 slots, calls of 40 ms, and a turnaround of 6 ms.
    assert_eq!(grants(&s.poll(at(0.0))).len(), 7);
}

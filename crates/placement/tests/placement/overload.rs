//! Overload: service order, refusals and retry times.

use crate::helper::{at, complete, grants, offer, pool, scheduler, target};
use rwd_placement::{Decision, Offer, OfferId, Refusal, SlotOutcome};

fn refusals(decisions: &[(OfferId, Decision)]) -> Vec<(OfferId, f64)> {
    let refused = decisions.iter().filter_map(|(id, d)| match d {
        Decision::Refuse { retry_after_ms, .. } => Some((*id, *retry_after_ms)),
        Decision::Grant { .. } => None,
    });
    refused.collect()
}

/// A burst of all priorities competes for one slot.
#[test]
fn a_burst_is_served_by_priority_then_by_time_left() {
    let mut s = scheduler(vec![target("a", 1)]);
    let running = s.offer(offer(0), at(0.0));
    s.poll(at(0.0));
    let low = s.offer(offer(2), at(1.0));
    let relaxed = s.offer(offer(0), at(1.0));
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
    assert_eq!(order, [urgent, relaxed, middle, low]);
}

/// In a sustained overload, requests that missed their latency objective must not take the slots of
/// those that can still meet it, or every response is late.
#[test]
fn requests_on_time_go_before_late_ones() {
    let mut s = scheduler(vec![target("a", 1)]);
    let running = s.offer(offer(0), at(0.0));
    s.poll(at(0.0));
    let late = Offer {
        aim_left_ms: -1.0,
        ..offer(0)
    };
    let late = s.offer(late, at(1.0));
    let too_long = Offer {
        // Its prefill alone exceeds the latency objective.
        prompt: 50_000,
        aim_left_ms: 100.0,
        ..offer(0)
    };
    let too_long = s.offer(too_long, at(1.0));
    let on_time = s.offer(offer(2), at(1.0));
    s.finish(running, complete(30.0, 0.0, 0), at(2.0));
    assert_eq!(grants(&s.poll(at(2.0))), [on_time]);
    s.finish(on_time, complete(30.0, 0.0, 0), at(3.0));
    let next = grants(&s.poll(at(3.0)));
    assert!(next == [late] || next == [too_long]);
}

/// A workspace sends a multiple of its quota; the excess must not displace other requests.
#[test]
fn over_quota_requests_leave_slots_free_and_time_out_first() {
    let mut s = scheduler(vec![target("a", 5)]);
    let beyond = || Offer {
        beyond_quota: true,
        ..offer(0)
    };
    for _ in 0..10 {
        s.offer(beyond(), at(0.0));
    }
    let taken = grants(&s.poll(at(0.0))).len();
    assert!(taken < 5, "all {taken} slots went to over-quota requests");
    let within = s.offer(offer(2), at(1.0));
    assert_eq!(grants(&s.poll(at(1.0))), [within]);
    let refused = refusals(&s.poll(at(200.0)));
    assert_eq!(refused.len(), 10 - taken);
}

/// A pool stays full; simultaneous retries of the refused callers would be a thundering herd.
#[test]
fn retry_times_of_refused_callers_are_spread_out() {
    let mut s = scheduler(vec![target("a", 1)]);
    s.offer(offer(0), at(0.0));
    s.poll(at(0.0));
    for _ in 0..50 {
        s.offer(offer(1), at(0.0));
    }
    let refused = refusals(&s.poll(at(4_000.0)));
    assert_eq!(refused.len(), 50);
    let mut times: Vec<_> = refused.iter().map(|(_, ms)| *ms).collect();
    // Callers ignore a `Retry-After` beyond a third of their time left.
    assert!(times.iter().all(|ms| *ms <= 6_000.0 / 3.0), "{times:?}");
    times.sort_by(f64::total_cmp);
    times.dedup();
    assert_eq!(times.len(), 50, "some retry at the same time: {times:?}");
}

/// In a long overload, requests that will be late and would not be served soon either are refused
/// at once instead of being held for seconds.
#[test]
fn late_requests_that_would_not_be_served_are_refused_early() {
    let mut s = scheduler(vec![target("a", 1)]);
    s.offer(offer(0), at(0.0));
    s.poll(at(0.0));
    for _ in 0..100 {
        s.offer(offer(1), at(0.0));
    }
    assert!(
        refusals(&s.poll(at(500.0))).is_empty(),
        "the requests can still be on time"
    );
    let refused = refusals(&s.poll(at(1_000.0)));
    assert!(refused.len() > 90, "{} were refused", refused.len());
}

/// After a short burst, the few late requests are served as soon as a slot is free.
#[test]
fn late_requests_stay_queued_while_they_will_be_served_soon() {
    let mut s = scheduler(vec![target("a", 1)]);
    let running = s.offer(offer(0), at(0.0));
    s.poll(at(0.0));
    let late = s.offer(offer(1), at(0.0));
    assert!(s.poll(at(1_200.0)).is_empty());
    s.finish(running, complete(30.0, 0.0, 0), at(1_300.0));
    assert_eq!(grants(&s.poll(at(1_300.0))), [late]);
}

#[test]
fn requests_are_granted_at_once_while_slots_are_free() {
    let mut s = scheduler(vec![target("a", 4), target("b", 4)]);
    for n in 0..8 {
        s.offer(offer(n % 3), at(0.0));
    }
    let decisions = s.poll(at(0.0));
    assert_eq!(grants(&decisions).len(), 8);
    assert!(refusals(&decisions).is_empty());
}

/// A stream breaks during a burst; its caller waits in the middle of a response.
#[test]
fn a_resumed_stream_goes_before_new_requests() {
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

#[test]
fn a_pool_without_targets_refuses_with_no_target() {
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

/// In a long overload, queueing included in the samples must not feed back into the estimates: the
/// expected time to first byte stays near the measured one.
#[test]
fn estimated_times_do_not_diverge() {
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
            // Each response waited for one prompt before its own: 2 x 6000 tokens in 400 ms.
            s.finish(running.remove(0), complete(400.0, 700.0, 100), now);
        }
    }
    assert!(
        expected < 2.5 * 400.0,
        "estimated time to first byte: {expected} ms"
    );
}

/// Callers retry only once, so among late requests a retry goes first.
#[test]
fn a_retry_goes_before_other_late_requests() {
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

/// The middle priority alone could fill all slots, as at a month-end. Requests of the lowest
/// priority take a tenth of its slot time, so they go before it, after the highest priority.
#[test]
fn short_low_priority_requests_are_not_starved_by_long_ones() {
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

/// Ordering by each request's own slot time would starve the longest requests of a priority.
#[test]
fn long_requests_are_not_put_behind_short_ones_of_their_priority() {
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

/// Reporting the end of a call and sending the next takes time, so a non-LLM service with short
/// calls gets one more call than it has slots.
#[test]
fn short_calls_are_sent_ahead_of_a_free_slot() {
    let mut service = target("a", 6);
    service.capacity.memory_tokens = None;
    let mut s = scheduler(vec![service]);
    let call = || Offer {
        prompt: 0,
        output: 0,
        ..offer(0)
    };
    for _ in 0..20 {
        s.offer(call(), at(0.0));
    }
    // 6 slots, calls of 40 ms, a turnaround of 6 ms.
    assert_eq!(grants(&s.poll(at(0.0))).len(), 7);
}

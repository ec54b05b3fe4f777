//! Limits that targets in need put on the requests of all nodes together.

use crate::helper::{at, complete, grants, name, offer, pool, scheduler, target};
use proptest::prelude::*;
use rwd_placement::{
    KnownLimits, LimitNotice, LimitReport, Offer, Recipient, Scheduler, SlotOutcome, TargetInfo,
};
use rwd_types::{Incarnation, RequestRate};

fn rate(per_s: f64) -> RequestRate {
    RequestRate::new(per_s).unwrap()
}

fn limited(per_s: f64) -> LimitReport {
    let limit = rate(per_s);
    let after_ms = 1e9;
    LimitReport::Limited { limit, after_ms }
}

/// Sends a request at `ms` whose response reports `report`; none if it is not granted.
fn send(s: &mut Scheduler, ms: f64, report: LimitReport) -> Option<()> {
    let id = s.offer(offer(0), at(ms));
    let granted = grants(&s.poll(at(ms))).contains(&id);
    if granted {
        s.record_limit(id, report, at(ms));
    }
    s.finish(id, complete(30.0, 100.0, 100), at(ms));
    granted.then_some(())
}

/// Requests granted within `length_ms` if one is offered every 10 ms.
fn count(s: &mut Scheduler, from_ms: f64, length_ms: f64, report: LimitReport) -> usize {
    let mut granted = 0;
    let mut ms = from_ms;
    while ms < from_ms + length_ms {
        granted += usize::from(send(s, ms, report).is_some());
        ms += 10.0;
    }
    granted
}

#[test]
fn a_target_gets_as_many_requests_as_its_limit_allows() {
    for per_s in [0.3, 1.0, 2.7, 40.0] {
        let mut s = scheduler(vec![target("a", 100)]);
        send(&mut s, 0.0, limited(per_s));
        // The time of a handover, in which less is used.
        count(&mut s, 10.0, 2500.0, limited(per_s));
        let granted = count(&mut s, 2510.0, 20_000.0, limited(per_s)) as f64;
        let allowed = per_s * 20.0;
        assert!(
            (allowed - 2.0..=allowed + 1.0).contains(&granted),
            "{granted} at {per_s} a second"
        );
    }
}

#[test]
fn requests_beyond_a_limit_go_to_other_targets() {
    let mut s = scheduler(vec![target("a", 100), target("b", 100)]);
    let first = Offer {
        exclude: vec![name("b")],
        ..offer(0)
    };
    let id = s.offer(first, at(0.0));
    s.poll(at(0.0));
    s.record_limit(id, limited(1.0), at(1.0));
    assert_eq!(count(&mut s, 2.0, 1000.0, LimitReport::Unknown), 100);
}

#[test]
fn a_limit_ends_with_the_first_response_to_a_later_request_that_names_none() {
    let mut s = scheduler(vec![target("a", 100)]);
    let (early, late) = (s.offer(offer(0), at(0.0)), s.offer(offer(0), at(0.0)));
    s.poll(at(0.0));
    s.record_limit(early, limited(1.0), at(100.0));
    // A slow response from before.
    s.record_limit(late, LimitReport::Unlimited, at(200.0));
    assert_eq!(count(&mut s, 210.0, 500.0, LimitReport::Unknown), 0);
    send(&mut s, 2300.0, LimitReport::Unlimited).unwrap();
    assert_eq!(count(&mut s, 2310.0, 500.0, LimitReport::Unlimited), 50);
}

#[test]
fn a_target_that_takes_nothing_is_probed() {
    let mut s = scheduler(vec![target("a", 100)]);
    send(&mut s, 0.0, limited(0.0));
    let probes = count(&mut s, 10.0, 60_000.0, limited(0.0));
    assert!((3..=7).contains(&probes), "{probes} probes in a minute");
}

#[test]
fn a_limit_lasts_when_the_target_moves_to_another_pool_and_ends_when_it_restarts() {
    let mut s = scheduler(vec![target("a", 100)]);
    send(&mut s, 0.0, limited(1.0));
    s.set_targets(&pool(), Vec::new());
    s.set_targets(&"other".parse().unwrap(), vec![target("a", 100)]);
    let views = s.targets(&"other".parse().unwrap(), at(0.0));
    assert_eq!(views[0].limit, Some(rate(1.0)));
    let restarted = TargetInfo {
        born: 2,
        ..target("a", 100)
    };
    s.set_targets(&"other".parse().unwrap(), vec![restarted]);
    assert_eq!(s.targets(&"other".parse().unwrap(), at(0.0))[0].limit, None);
}

#[test]
fn a_scheduler_that_sees_a_part_of_the_nodes_uses_that_part_of_a_limit() {
    let mut s = scheduler(vec![target("a", 100)]);
    s.set_visible_share(0.5, at(0.0));
    send(&mut s, 0.0, limited(4.0));
    count(&mut s, 10.0, 2500.0, limited(4.0));
    let granted = count(&mut s, 2510.0, 10_000.0, limited(4.0));
    assert!((18..=21).contains(&granted), "{granted} requests");
}

/// The scheduler before goes on until all nodes agree on the new one.
#[test]
fn a_scheduler_that_takes_over_uses_half_of_a_limit_at_first() {
    let mut s = scheduler(vec![target("a", 100)]);
    s.learn_limit(&notice(Some(10.0), 100.0, 200.0), at(1000.0));
    for from in [1000.0, 20_000.0] {
        let first = count(&mut s, from, 1900.0, limited(10.0));
        assert!((8..=11).contains(&first), "{first} requests");
        let then = count(&mut s, from + 2000.0, 2000.0, limited(10.0));
        assert!((19..=21).contains(&then), "{then} requests");
    }
}

#[test]
fn a_request_that_did_not_reach_its_target_does_not_count() {
    let mut s = scheduler(vec![target("a", 100)]);
    send(&mut s, 0.0, limited(0.4));
    // The second follows the backoff of the unreachable target.
    for ms in [6000.0, 6300.0] {
        let id = s.offer(offer(0), at(ms));
        assert_eq!(grants(&s.poll(at(ms))), [id]);
        s.finish(id, SlotOutcome::Unreachable, at(ms));
    }
}

fn recipient(name: &str, incarnation: u64) -> Recipient {
    (name.parse().unwrap(), Incarnation(incarnation))
}

#[test]
fn each_scheduler_process_is_told_a_limit_once() {
    let mut known = KnownLimits::default();
    let by = Some(recipient("s1", 1));
    assert!(known.record(&name("a"), &pool(), limited(2.0), at(0.0), by, at(10.0)));
    assert!(
        known
            .untold(&pool(), &recipient("s1", 1), at(20.0))
            .is_empty()
    );
    assert!(
        known
            .untold(&"other".parse().unwrap(), &recipient("s2", 1), at(20.0))
            .is_empty()
    );
    let notice = LimitNotice {
        target: name("a"),
        shard: pool(),
        limit: Some(rate(2.0)),
        sent_ms_ago: 20.0,
        seen_ms_ago: 10.0,
    };
    let untold = known.untold(&pool(), &recipient("s2", 1), at(20.0));
    assert_eq!(untold, [notice]);
    known.mark_told(&untold, &recipient("s2", 1));
    assert!(
        known
            .untold(&pool(), &recipient("s2", 1), at(20.0))
            .is_empty()
    );
    // A scheduler that starts again knows nothing.
    assert_eq!(
        known.untold(&pool(), &recipient("s1", 2), at(20.0)).len(),
        1
    );
}

#[test]
fn a_limit_is_passed_on_by_nodes_that_were_only_told_of_it() {
    let mut known = KnownLimits::default();
    known.learn(&notice(Some(2.0), 100.0, 200.0), at(1000.0));
    let untold = known.untold(&pool(), &recipient("s1", 1), at(1100.0));
    assert_eq!(untold.len(), 1);
    assert_eq!(untold[0].limit, Some(rate(2.0)));
    assert_eq!(untold[0].seen_ms_ago, 900.0);
}

#[test]
fn the_end_of_a_limit_is_passed_on_too() {
    let mut known = KnownLimits::default();
    let none = LimitReport::Unlimited;
    assert!(!known.record(&name("a"), &pool(), none, at(0.0), None, at(10.0)));
    assert!(known.record(&name("a"), &pool(), limited(2.0), at(0.0), None, at(10.0)));
    // The request was sent before the limit was named.
    assert!(!known.record(&name("a"), &pool(), none, at(5.0), None, at(20.0)));
    assert!(known.record(&name("a"), &pool(), none, at(15.0), None, at(30.0)));
    let untold = known.untold(&pool(), &recipient("s1", 1), at(40.0));
    let notice = LimitNotice {
        target: name("a"),
        shard: pool(),
        limit: None,
        sent_ms_ago: 25.0,
        seen_ms_ago: 10.0,
    };
    assert_eq!(untold, [notice]);
    let later = at(60_000.0);
    assert!(known.untold(&pool(), &recipient("s1", 1), later).is_empty());
}

/// A notice about a request that was sent at `sent`; its response arrived at `seen`.
fn notice(limit: Option<f64>, sent: f64, seen: f64) -> LimitNotice {
    LimitNotice {
        target: name("a"),
        shard: pool(),
        limit: limit.map(rate),
        sent_ms_ago: 1000.0 - sent,
        seen_ms_ago: 1000.0 - seen,
    }
}

/// The limit after these notices, in this order.
fn after(notices: &[LimitNotice]) -> Option<f64> {
    let mut s = scheduler(vec![target("a", 4)]);
    for notice in notices {
        s.learn_limit(notice, at(1000.0));
    }
    let limit = s.targets(&pool(), at(1000.0))[0].limit;
    limit.map(RequestRate::per_s)
}

#[test]
fn responses_that_overlap_lower_a_limit_but_do_not_raise_or_end_it() {
    let low = notice(Some(2.0), 100.0, 200.0);
    let overlapping = [notice(Some(3.0), 150.0, 300.0), notice(None, 150.0, 300.0)];
    let later = [notice(Some(3.0), 210.0, 300.0), notice(None, 210.0, 300.0)];
    for (o, l) in overlapping.into_iter().zip(later) {
        assert_eq!(after(&[low.clone(), o.clone()]), Some(2.0));
        assert_eq!(
            after(&[low.clone(), l.clone()]),
            l.limit.map(RequestRate::per_s)
        );
        assert_eq!(
            after(&[l.clone(), low.clone()]),
            l.limit.map(RequestRate::per_s)
        );
    }
    let lower = notice(Some(1.0), 150.0, 300.0);
    assert_eq!(after(&[low, lower]), Some(1.0));
    // It may have begun after the request without one was sent.
    let begun = notice(Some(2.0), 100.0, 250.0);
    assert_eq!(after(&[notice(None, 200.0, 300.0), begun]), Some(2.0));
}

/// A node that joins is told of limits before it has read the list of targets.
#[test]
fn a_limit_of_a_target_that_is_not_listed_yet_holds_once_it_is() {
    let mut s = scheduler(Vec::new());
    s.learn_limit(&notice(Some(2.0), 100.0, 200.0), at(1000.0));
    s.set_targets(&pool(), vec![target("a", 100)]);
    assert_eq!(s.targets(&pool(), at(1000.0))[0].limit, Some(rate(2.0)));
    let granted = count(&mut s, 1000.0, 5000.0, limited(2.0));
    assert!((6..=9).contains(&granted), "{granted} requests");
}

/// A scheduler that was suspended gets a report long after the response.
#[test]
fn a_late_report_does_not_replace_what_was_named_after_it() {
    let mut s = scheduler(vec![target("a", 4)]);
    let id = s.offer(offer(0), at(0.0));
    s.poll(at(0.0));
    let late = LimitReport::Limited {
        limit: rate(9.0),
        after_ms: 100.0,
    };
    s.record_limit(id, late, at(5000.0));
    let named = LimitNotice {
        sent_ms_ago: 4700.0,
        seen_ms_ago: 4600.0,
        ..notice(Some(1.0), 0.0, 0.0)
    };
    s.learn_limit(&named, at(5010.0));
    assert_eq!(s.targets(&pool(), at(5010.0))[0].limit, Some(rate(1.0)));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: proptest::test_runner::RngSeed::Fixed(28), ..ProptestConfig::default() })]

    /// Whatever limits follow each other, and however requests end, no four seconds hold more than
    /// the limits allow and one burst.
    #[test]
    fn no_window_exceeds_the_limits(
        steps in prop::collection::vec((0.1_f64..12.0, 100.0_f64..4000.0, 0_u8..4), 1..8),
    ) {
        let mut s = scheduler(vec![target("a", 1000)]);
        send(&mut s, 0.0, limited(steps[0].0));
        let mut sent = Vec::new();
        let mut allowed = Vec::new();
        let mut ms = 10.0;
        for (per_s, length, kind) in steps {
            s.learn_limit(&LimitNotice { target: name("a"), shard: pool(), limit: Some(rate(per_s)), sent_ms_ago: 0.0, seen_ms_ago: 0.0 }, at(ms));
            let end = ms + length;
            while ms < end {
                let id = s.offer(offer(0), at(ms));
                if grants(&s.poll(at(ms))).contains(&id) {
                    sent.push(ms);
                }
                let outcome = match kind {
                    0 => SlotOutcome::Unused,
                    1 => SlotOutcome::Full,
                    2 => SlotOutcome::Failed,
                    _ => complete(30.0, 100.0, 100),
                };
                s.finish(id, outcome, at(ms));
                allowed.push((ms, per_s));
                ms += 10.0;
            }
        }
        for until in &sent {
            let within = |t: f64| t > until - 4000.0 && t <= *until;
            let got = sent.iter().filter(|t| within(**t)).count() as f64;
            let sum: f64 = allowed.iter().filter(|(t, _)| within(*t)).map(|(_, r)| r / 100.0).sum();
            let burst = 1.0 + 12.0 * 0.25 + 0.2;
            prop_assert!(got <= sum + burst, "{got} requests, {sum} allowed");
        }
    }
}

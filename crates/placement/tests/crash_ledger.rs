//! Which parts of prompts, and which requests, are blamed for crashes of targets.

use rwd_placement::{
    Admission, BlockNews, CrashExchange, CrashLedger, CrashNews, CrashReport, Feature, Fingerprint,
    PromptPart, Timestamp, features,
};

const SYSTEM: u64 = 0xaaa;
const SUBJECT: u64 = 0xb0;
const BAD: u64 = 0xbad;

/// A request whose prompt has these shared parts and one of its own.
fn prompt(shared: &[u64]) -> Vec<Feature> {
    let ids = shared.iter().copied().chain([0xffff]);
    let parts: Vec<_> = ids.map(|id| PromptPart { id, tokens: 100 }).collect();
    features(&parts, Fingerprint(0xffff))
}

fn report(target: u32, request: u32, parts: &[u64]) -> CrashReport {
    CrashReport {
        target: format!("t{target}").parse().unwrap(),
        request: format!("r{request}").into(),
        features: parts.iter().map(|p| Feature::Part(*p)).collect(),
        dispatched_ms: 100.0,
        crashed_ms: 0.0,
    }
}

fn at(ms: f64) -> Timestamp {
    Timestamp(1e6 + ms)
}

/// A crash under each of `requests` every 400 ms; returns the time after the last one.
fn crash_in_turn(ledger: &mut CrashLedger, requests: &[Vec<u64>]) -> f64 {
    let mut now = 0.0;
    for (n, parts) in (0..).zip(requests) {
        assert!(ledger.record_crash(&report(n, n, parts), at(now)));
        now += 400.0;
    }
    now
}

fn sets(blocks: Vec<BlockNews>) -> Vec<Vec<u64>> {
    let id = |f: Feature| match f {
        Feature::Part(id) => id,
        Feature::Request(f) => panic!("request {f} is blocked"),
    };
    let sets = blocks.into_iter().map(|b| b.set);
    sets.map(|set| set.into_iter().map(id).collect()).collect()
}

#[test]
fn the_part_that_all_crashing_requests_share_is_blocked() {
    let mut ledger = CrashLedger::default();
    let requests = [
        vec![SYSTEM, SUBJECT, BAD],
        vec![SYSTEM, BAD, SUBJECT + 1],
        vec![BAD, SYSTEM],
        vec![SYSTEM, SUBJECT + 2, BAD],
    ];
    let now = crash_in_turn(&mut ledger, &requests);
    assert!(ledger.assess(at(now)).is_empty(), "not settled yet");
    // A request with the system part completes, as they do all the time.
    ledger.record_complete(&prompt(&[SYSTEM, SUBJECT + 3]), at(now));
    assert_eq!(sets(ledger.assess(at(now + 1000.0))), [vec![BAD]]);
    assert!(ledger.is_blocked(&prompt(&[SUBJECT + 9, BAD]), at(now + 1000.0)));
    assert!(!ledger.is_blocked(&prompt(&[SYSTEM, SUBJECT]), at(now + 1000.0)));
    // The last part is the request's own.
    let parts = [SYSTEM, BAD].map(|id| PromptPart { id, tokens: 100 });
    assert!(!ledger.is_blocked(&features(&parts, Fingerprint(1)), at(now + 1000.0)));
}

#[test]
fn fewer_crashes_block_nothing() {
    for requests in 0..4 {
        let mut ledger = CrashLedger::default();
        let now = crash_in_turn(&mut ledger, &vec![vec![SYSTEM, BAD]; requests]);
        assert!(ledger.assess(at(now + 5000.0)).is_empty(), "{requests}");
    }
}

/// Sound requests that were cut off by the crash share all their parts with sound ones.
#[test]
fn parts_that_crash_only_beside_another_are_not_blocked_alone() {
    let mut ledger = CrashLedger::default();
    let now = crash_in_turn(&mut ledger, &vec![vec![SYSTEM, SUBJECT, BAD]; 6]);
    let blocked = sets(ledger.assess(at(now + 1000.0)));
    assert_eq!(blocked, [vec![SUBJECT, SYSTEM, BAD]]);
    assert!(!ledger.is_blocked(&prompt(&[SYSTEM, SUBJECT]), at(now + 1000.0)));
    // Crashes without the subject show that it does not matter.
    for n in 9..11 {
        let other = report(n, n, &[SYSTEM, BAD]);
        ledger.record_crash(&other, at(now + 200.0 * f64::from(n)));
    }
    ledger.assess(at(now + 3000.0));
    assert!(ledger.is_blocked(&prompt(&[SYSTEM, SUBJECT + 1, BAD]), at(now + 3000.0)));
    assert!(!ledger.is_blocked(&prompt(&[SYSTEM, SUBJECT]), at(now + 3000.0)));
}

/// A part that many requests share is hit by every crash; those that complete clear it.
#[test]
fn a_part_of_requests_that_complete_is_cleared() {
    let mut ledger = CrashLedger::default();
    for n in 0..20 {
        let now = f64::from(n) * 400.0;
        ledger.record_crash(&report(n, n, &[SYSTEM, SUBJECT + u64::from(n)]), at(now));
        ledger.record_complete(&prompt(&[SYSTEM, 0xcc]), at(now + 100.0));
        assert!(ledger.assess(at(now + 200.0)).is_empty(), "{n}");
    }
    assert!(!ledger.is_blocked(&prompt(&[SYSTEM, SUBJECT]), at(8000.0)));
}

/// Requests with the system part complete all the time; that is news only after a crash.
#[test]
fn a_part_is_cleared_once_after_each_crash() {
    let mut ledger = CrashLedger::default();
    let mut cleared = 0;
    for n in 0..100 {
        let now = f64::from(n) * 600.0;
        if n == 10 || n == 50 {
            let parts = [SYSTEM, SUBJECT + u64::from(n)];
            ledger.record_crash(&report(n, n, &parts), at(now));
        }
        let done = ledger.record_complete(&prompt(&[SYSTEM, 0xcc]), at(now + 300.0));
        cleared += done.len();
    }
    assert_eq!(cleared, 2);
}

/// A reset of many connections, or a rack that fails, is one round of crashes. So many requests in
/// progress at once mean that others follow, and these complete.
#[test]
fn crashes_at_one_moment_blame_no_part_that_goes_on_to_be_completed() {
    for completes_at in [100.0, 1000.0, 2000.0] {
        let mut ledger = CrashLedger::default();
        for n in 0..30 {
            ledger.record_crash(&report(n, n, &[SYSTEM, BAD]), at(f64::from(n)));
        }
        assert!(ledger.assess(at(completes_at)).is_empty(), "{completes_at}");
        ledger.record_complete(&prompt(&[SYSTEM, BAD]), at(completes_at));
        assert!(ledger.assess(at(10_000.0)).is_empty(), "{completes_at}");
    }
}

/// The first requests with a bad part may all come at once, and no others for a while.
#[test]
fn crashes_at_one_moment_blame_a_part_if_no_request_completes() {
    let mut ledger = CrashLedger::default();
    for n in 0..5 {
        ledger.record_crash(&report(n, n, &[SYSTEM, BAD]), at(f64::from(n)));
    }
    ledger.record_complete(&prompt(&[SYSTEM, SUBJECT]), at(500.0));
    assert!(ledger.assess(at(2000.0)).is_empty());
    assert_eq!(sets(ledger.assess(at(2500.0))), [vec![BAD]]);
}

/// Several requests on one target are lost with it.
#[test]
fn one_crash_counts_once() {
    let mut ledger = CrashLedger::default();
    for n in 0..12 {
        let now = f64::from(n / 4) * 2000.0;
        ledger.record_crash(&report(n / 4, n, &[SYSTEM, BAD]), at(now));
    }
    assert!(ledger.assess(at(9000.0)).is_empty(), "three crashes");
    // A target that was started again under its name crashes again.
    ledger.record_crash(&report(0, 20, &[SYSTEM, BAD]), at(8000.0));
    assert_eq!(ledger.assess(at(9000.0)).len(), 1);
}

/// The engine has been repaired.
#[test]
fn a_completion_lifts_the_block_everywhere() {
    let mut a = CrashLedger::default();
    let now = crash_in_turn(&mut a, &vec![vec![BAD]; 5]);
    assert_eq!(a.assess(at(now + 1000.0)).len(), 1);
    let mut b = CrashLedger::default();
    b.merge(a.news(at(now + 1000.0)), at(now + 1100.0));
    assert!(b.is_blocked(&prompt(&[BAD]), at(now + 1100.0)));
    let sent = now + 3000.0;
    let cleared = a.record_complete(&prompt(&[BAD]), at(sent));
    assert_eq!(cleared, [(Feature::Part(BAD), at(sent))]);
    assert!(!a.is_blocked(&prompt(&[BAD]), at(sent)));
    b.merge(a.news(at(sent + 100.0)), at(sent + 150.0));
    assert!(!b.is_blocked(&prompt(&[BAD]), at(sent + 150.0)));
    // A node that has not heard of it does not bring the block back.
    let old = CrashNews {
        blocked: vec![BlockNews {
            set: vec![Feature::Part(BAD)],
            first_crash_ms: sent,
            since_ms: sent - now,
            lasts_ms: 120_000.0,
        }],
        ..CrashNews::default()
    };
    assert!(b.merge(old, at(sent + 200.0)).is_empty());
}

/// An engine may have been repaired when a block ends; one more crash shows that it has not.
#[test]
fn a_block_ends_and_one_more_crash_blocks_for_longer() {
    let mut ledger = CrashLedger::default();
    let bad = prompt(&[BAD]);
    let now = crash_in_turn(&mut ledger, &vec![vec![BAD]; 4]) + 1000.0;
    ledger.assess(at(now));
    assert!(ledger.is_blocked(&bad, at(now + 119_000.0)));
    assert!(!ledger.is_blocked(&bad, at(now + 121_000.0)));
    assert!(ledger.assess(at(now + 121_000.0)).is_empty());
    ledger.record_crash(&report(0, 10, &[SYSTEM, BAD]), at(now + 122_000.0));
    assert_eq!(ledger.assess(at(now + 122_100.0)).len(), 1);
    assert!(ledger.is_blocked(&bad, at(now + 361_000.0)));
    assert!(!ledger.is_blocked(&bad, at(now + 363_000.0)));
    ledger.assess(at(now + 8_000_000.0));
    assert_eq!(ledger.digest(), 0, "nothing is kept for ever");
}

/// Reports come from other nodes.
#[test]
fn useless_reports_are_ignored() {
    let mut ledger = CrashLedger::default();
    assert!(!ledger.record_crash(&report(0, 0, &[]), at(0.0)));
    let long: Vec<u64> = (0..1000).collect();
    assert!(!ledger.record_crash(&report(0, 0, &long), at(0.0)));
    for n in 0..5000 {
        ledger.record_crash(&report(n, n, &[u64::from(n)]), at(f64::from(n)));
    }
    assert!(ledger.news(at(6000.0)).crashes.len() <= 64);
    assert!(
        !ledger.record_crash(&report(4999, 4999, &[4999]), at(6000.0)),
        "known"
    );
}

const REPEATED: u64 = 0x0bad;

/// A request of a service without prompts.
fn plain(id: u64) -> Vec<Feature> {
    features(&[], Fingerprint(id))
}

fn plain_report(target: u32, request: u32, id: u64) -> CrashReport {
    CrashReport {
        features: plain(id),
        ..report(target, request, &[])
    }
}

/// A crash under a repeat of the same request every 400 ms; returns the time after the last one.
fn crash_repeatedly(ledger: &mut CrashLedger, count: u32) -> f64 {
    for n in 0..count {
        let crash = plain_report(n, n, REPEATED);
        assert!(ledger.record_crash(&crash, at(f64::from(n) * 400.0)));
    }
    f64::from(count) * 400.0
}

fn may_be_sent(ledger: &mut CrashLedger, id: u64, now: f64) -> bool {
    ledger.admit(&plain(id), || false, at(now)) == Admission::Free
}

// inc1 of issue 56: requests without prompts were never blocked.
#[test]
fn repeats_of_a_request_are_blocked_after_three_crashes() {
    let mut ledger = CrashLedger::default();
    let now = crash_repeatedly(&mut ledger, 3);
    assert!(ledger.assess(at(now)).is_empty(), "not settled yet");
    assert_eq!(ledger.assess(at(now + 1000.0)).len(), 1);
    assert!(!may_be_sent(&mut ledger, REPEATED, now + 1000.0));
    assert!(may_be_sent(&mut ledger, 1, now + 1000.0));
    let mut other = CrashLedger::default();
    other.merge(ledger.news(at(now + 1000.0)), at(now + 1050.0));
    assert!(!may_be_sent(&mut other, REPEATED, now + 1050.0));
    // It completes: the target has been repaired.
    let sent = now + 3000.0;
    ledger.record_complete(&plain(REPEATED), at(sent));
    assert!(may_be_sent(&mut ledger, REPEATED, sent));
}

// inc1 of issue 56, the other side: sound requests of a popular path are cut off again and again.
#[test]
fn repeats_that_complete_in_between_are_not_blocked() {
    let mut ledger = CrashLedger::default();
    for n in 0..30 {
        let now = f64::from(n) * 900.0;
        ledger.record_crash(&plain_report(n, n, 7), at(now));
        ledger.assess(at(now + 300.0));
        ledger.record_complete(&plain(7), at(now + 300.0));
        ledger.assess(at(now + 800.0));
        assert!(may_be_sent(&mut ledger, 7, now + 800.0), "{n}");
    }
}

// inc1 of issue 56: all three targets ended within 220 ms, and were back after 3 s.
#[test]
fn repeats_that_crash_all_targets_at_once_are_blocked_before_these_are_back() {
    let mut ledger = CrashLedger::default();
    for n in 0..3 {
        ledger.record_crash(&plain_report(n, n, REPEATED), at(f64::from(n) * 40.0));
    }
    ledger.assess(at(2200.0));
    assert!(may_be_sent(&mut ledger, REPEATED, 2200.0));
    ledger.assess(at(2400.0));
    assert!(!may_be_sent(&mut ledger, REPEATED, 2400.0));
}

// inc1 of issue 56, the other side: what was at the targets with the request that crashes them.
#[test]
fn a_sound_request_that_was_always_there_is_told_apart_by_trial() {
    let mut ledger = CrashLedger::default();
    for n in 0..3 {
        let now = at(f64::from(n) * 400.0);
        ledger.record_crash(&plain_report(n, 10 + n, REPEATED), now);
        ledger.record_crash(&plain_report(n, 20 + n, 7), now);
    }
    assert_eq!(ledger.assess(at(2200.0)).len(), 2);
    for id in [REPEATED, 7] {
        assert!(!may_be_sent(&mut ledger, id, 2600.0));
    }
    // One node tries them, one after the other.
    let trial = ledger.admit(&plain(7), || true, at(2600.0));
    assert_eq!(trial, Admission::Trial(plain(7)));
    for id in [REPEATED, 7] {
        let blocked = Admission::Blocked { left_ms: 0.0 };
        assert_eq!(ledger.admit(&plain(id), || true, at(2700.0)), blocked);
    }
    ledger.record_complete(&plain(7), at(2600.0));
    ledger.end_trial(&plain(7));
    assert!(may_be_sent(&mut ledger, 7, 2800.0));
    // The target of one trial may have crashed for another reason.
    for (n, now) in (30..).zip([2800.0, 5900.0]) {
        let trial = ledger.admit(&plain(REPEATED), || true, at(now));
        assert_eq!(trial, Admission::Trial(plain(REPEATED)));
        ledger.record_crash(&plain_report(n, n, REPEATED), at(now + 50.0));
        ledger.assess(at(now + 50.0));
        ledger.end_trial(&plain(REPEATED));
        assert!(!may_be_sent(&mut ledger, REPEATED, now + 50.0));
    }
    assert!(ledger.is_blocked(&plain(REPEATED), at(1_800_000.0)));
    assert!(may_be_sent(&mut ledger, 7, 6000.0));
}

/// What a blocked request has crashed says nothing about the others that were there.
#[test]
fn crashes_under_a_blocked_request_blame_no_other() {
    let mut ledger = CrashLedger::default();
    for n in 0..4 {
        let now = at(f64::from(n) * 400.0);
        ledger.record_crash(&plain_report(n, 10 + n, REPEATED), now);
        if n > 0 {
            ledger.record_crash(&plain_report(n, 20 + n, 7), now);
        }
    }
    ledger.assess(at(2400.0));
    assert!(!may_be_sent(&mut ledger, REPEATED, 2400.0));
    assert!(may_be_sent(&mut ledger, 7, 2400.0));
}

/// All nodes may be lost between the second crash and the third.
#[test]
fn a_suspect_is_blocked_by_its_next_crash_at_nodes_that_know_only_that() {
    let mut before = CrashLedger::default();
    let now = crash_repeatedly(&mut before, 2);
    let begun = before.assess(at(now + 1000.0));
    assert_eq!(begun.len(), 1);
    assert!(
        may_be_sent(&mut before, REPEATED, now + 1000.0),
        "suspected"
    );
    // The store keeps what has begun.
    let mut ledger = CrashLedger::default();
    let news = CrashNews {
        blocked: begun,
        ..CrashNews::default()
    };
    ledger.merge(news, at(now + 5000.0));
    assert!(may_be_sent(&mut ledger, REPEATED, now + 5000.0));
    ledger.record_crash(&plain_report(9, 9, REPEATED), at(now + 6000.0));
    ledger.assess(at(now + 6300.0));
    assert!(!may_be_sent(&mut ledger, REPEATED, now + 6300.0));
}

/// Each trial costs a target.
#[test]
fn a_request_that_keeps_crashing_targets_is_tried_three_times_on_the_first_day() {
    let mut ledger = CrashLedger::default();
    let mut now = crash_repeatedly(&mut ledger, 3) + 1000.0;
    let mut trials = 0;
    while now < 86_400_000.0 {
        ledger.assess(at(now));
        if let Admission::Trial(set) = ledger.admit(&plain(REPEATED), || true, at(now)) {
            trials += 1;
            ledger.record_crash(&plain_report(trials, 100 + trials, REPEATED), at(now));
            ledger.assess(at(now));
            ledger.end_trial(&set);
        }
        now += 5000.0;
    }
    assert_eq!(trials, 3);
}

/// Strangers may send any number of different requests that crash targets.
#[test]
fn suspects_do_not_displace_blocks() {
    let mut ledger = CrashLedger::default();
    let mut now = crash_repeatedly(&mut ledger, 3) + 1000.0;
    ledger.assess(at(now));
    for n in 0..600 {
        now += 50.0;
        for repeat in 0..2 {
            let id = 1000 + u64::from(n) / 2;
            let crash = plain_report(n % 50, 10 * n + repeat, id);
            ledger.record_crash(&crash, at(now));
        }
        ledger.assess(at(now));
    }
    assert!(!may_be_sent(&mut ledger, REPEATED, now));
    assert!(ledger.news(at(now)).blocked.len() <= 128);
}

// Blocks of the store may be older than they are kept, and no coordinator assesses them at other nodes.
#[test]
fn a_block_that_is_over_for_long_blocks_nothing_at_any_node() {
    let block = |since_ms: f64| BlockNews {
        set: plain(REPEATED),
        first_crash_ms: since_ms,
        since_ms,
        lasts_ms: 1.0,
    };
    let mut exchange = CrashExchange::default();
    exchange.restore(vec![block(1e9)], at(0.0));
    let admitted = exchange.admit(&plain(REPEATED), || false, at(0.0));
    assert_eq!(admitted, Admission::Free);
    // One that is over for less is tried by one node, and forgotten after an hour.
    exchange.restore(vec![block(1000.0)], at(0.0));
    let admitted = exchange.admit(&plain(REPEATED), || false, at(1.0));
    assert_eq!(admitted, Admission::Blocked { left_ms: 0.0 });
    exchange.assess(at(3_700_000.0));
    let admitted = exchange.admit(&plain(REPEATED), || false, at(3_700_000.0));
    assert_eq!(admitted, Admission::Free);
}

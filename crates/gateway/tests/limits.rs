//! Quotas and repeats: what all nodes together may grant in any window.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rwd_gateway::{
    Bounds, LeaseReply, LocalQuota, NodeCounter, NodeCounts, Quota, QuotaBuckets, QuotaStatus,
    RetryBudget, ShutdownPlan,
};
use rwd_placement::Timestamp;
use rwd_types::{Incarnation, InstanceName, PoolName, WorkspaceName};
use rwd_wire::QuotaTotals;
use std::time::Duration;

const WINDOW_MS: f64 = 8000.0;

fn quota() -> Quota {
    Quota {
        per_s: 36_000.0,
        burst: 36_000.0,
        in_tokens: true,
        plain_tokens: 200.0,
    }
}

fn bounds() -> Bounds {
    Bounds {
        quota_excess: 0.1,
        quota_slack: 140_000.0,
        ..Bounds::default()
    }
}

/// The operators' bound for one window.
fn most() -> f64 {
    (36_000.0 * 8.0 + 36_000.0) * 1.1 + 140_000.0
}

fn workspace() -> WorkspaceName {
    "w".parse().unwrap()
}

const ALL: NodeCounts = NodeCounts { alive: 6, all: 6 };

// The most that was granted in any window.
fn worst_window(grants: &[(f64, f64)]) -> f64 {
    let from = |start: f64| {
        let within = grants
            .iter()
            .filter(|(t, _)| *t >= start && *t < start + WINDOW_MS);
        within.map(|(_, units)| units).sum::<f64>()
    };
    grants.iter().map(|(t, _)| from(*t)).fold(0.0, f64::max)
}

/// Pattern: one workspace sends many times its quota, its banker is lost every few seconds, and
/// two nodes that reach no banker use their own shares.
fn check(demands: Vec<(u16, u32)>) -> Result<(), TestCaseError> {
    let (quota, bounds) = (quota(), bounds());
    let mut bank = QuotaBuckets::default();
    let mut alone = [LocalQuota::default(), LocalQuota::default()];
    let mut grants = Vec::new();
    let mut now = 0.0;
    for (n, (pause, units)) in demands.into_iter().enumerate() {
        now += f64::from(pause);
        let at = Timestamp(now);
        let units = f64::from(units);
        if n % 97 == 96 {
            bank = QuotaBuckets::default();
        }
        let lease = match n % 10 {
            0 => alone[0].own_share(&workspace(), &quota, units, ALL, &bounds, at),
            1 => alone[1].own_share(&workspace(), &quota, units, ALL, &bounds, at),
            _ => bank.lease(&workspace(), &quota, units, ALL, &bounds, at),
        };
        if let LeaseReply::Granted { units, .. } = lease {
            grants.push((now, units));
        }
    }
    let worst = worst_window(&grants);
    // One request may be larger than what is left of a share.
    prop_assert!(worst <= most() + 10_000.0, "{worst} of {}", most());
    Ok(())
}

fn runner() -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let cfg = Config {
        cases: 100,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(cfg, rng)
}

#[test]
fn no_window_grants_more_than_the_bound() {
    let demands = proptest::collection::vec((0..40_u16, 200..9_000_u32), 200..1500);
    runner().run(&demands, check).unwrap();
}

/// Pattern: one workspace sends many times its quota and its banker, alive but short of processor,
/// answers too late half of the time. Nodes then use their own shares while the banker goes on
/// granting to the others.
fn check_slow_banker(demands: Vec<(u16, u32, usize, bool)>) -> Result<(), TestCaseError> {
    let (quota, bounds) = (quota(), bounds());
    let names: Vec<_> = (0..6).map(|n| format!("n{n}").parse().unwrap()).collect();
    let mut bank = QuotaBuckets::default();
    let mut purses: Vec<_> = (0..6).map(|_| LocalQuota::default()).collect();
    let mut grants = Vec::new();
    let mut now = 0.0;
    for (pause, units, node, is_late) in demands {
        now += f64::from(pause);
        let at = Timestamp(now);
        let units = f64::from(units);
        // A demand that was given up is never handled.
        let lease = match is_late {
            true => purses[node].own_share(&workspace(), &quota, units, ALL, &bounds, at),
            false => {
                let totals = purses[node].totals(&workspace(), at);
                bank.settle(&workspace(), &names[node], totals, at);
                bank.lease(&workspace(), &quota, units, ALL, &bounds, at)
            }
        };
        if let LeaseReply::Granted { units, .. } = lease {
            grants.push((now, units));
        }
    }
    let worst = worst_window(&grants);
    // One request of each node may be larger than what is left of its share.
    prop_assert!(worst <= most() + 10_000.0, "{worst} of {}", most());
    Ok(())
}

#[test]
fn a_banker_that_answers_too_late_grants_nothing_twice() {
    let demand = (0..10_u16, 2_000..9_000_u32, 0..6_usize, any::<bool>());
    let demands = proptest::collection::vec(demand, 1000..3000);
    runner().run(&demands, check_slow_banker).unwrap();
}

fn totals(life: u64, spent_alone: f64, returned: f64) -> QuotaTotals {
    QuotaTotals {
        life: Incarnation(life),
        spent_alone,
        returned,
    }
}

// What a banker has to give at once after these reports of one node.
fn left_after(reports: &[QuotaTotals]) -> f64 {
    let node: InstanceName = "n1".parse().unwrap();
    let mut bank = QuotaBuckets::default();
    bank.refill(&workspace(), &quota(), ALL, &bounds(), Timestamp(0.0));
    let at = Timestamp(4000.0);
    for report in reports {
        bank.settle(&workspace(), &node, *report, at);
        // A full bucket, so that what comes in beyond it is seen.
        bank.lease(&workspace(), &quota(), 0.0, ALL, &bounds(), at);
    }
    let mut left = 0.0;
    while let LeaseReply::Granted { units, .. } =
        bank.lease(&workspace(), &quota(), 100.0, ALL, &bounds(), at)
    {
        left += units;
    }
    left
}

/// Pattern: a banker is new, a node restarts, and messages of one node overtake each other. Only
/// what is new since the last report counts.
#[test]
fn reports_of_used_and_returned_units_count_once() {
    let full = left_after(&[]);
    let first = totals(1, 900_000.0, 800_000.0);
    assert_eq!(left_after(&[first]), full, "of an earlier banker");
    assert_eq!(left_after(&[first, first]), full, "twice");
    let more = totals(1, 910_000.0, 800_000.0);
    assert_eq!(left_after(&[first, more]), full - 10_000.0);
    assert_eq!(
        left_after(&[first, more, first]),
        full - 10_000.0,
        "overtaken"
    );
    let restarted = totals(2, 7_000.0, 1_000.0);
    assert_eq!(left_after(&[first, restarted]), full - 6_000.0);
    assert_eq!(
        left_after(&[first, restarted, first]),
        full - 6_000.0,
        "of an earlier life"
    );
}

/// Pattern: demands of a busy node overtake each other all the time, and much of what it leases is
/// given back. No window grants more than the bound.
#[test]
fn reports_out_of_order_do_not_fill_the_bucket() {
    let node: InstanceName = "n1".parse().unwrap();
    let mut bank = QuotaBuckets::default();
    let mut granted = Vec::new();
    for n in 0..2000_u32 {
        let now = f64::from(n) * 10.0;
        // Every second report is older than the one before it.
        let returned = f64::from(n - 3 * (n % 2).min(n / 3)) * 1_000.0;
        let report = totals(1, 0.0, returned);
        bank.settle(&workspace(), &node, report, Timestamp(now));
        let lease = bank.lease(
            &workspace(),
            &quota(),
            5_000.0,
            ALL,
            &bounds(),
            Timestamp(now),
        );
        if let LeaseReply::Granted { units, .. } = lease {
            granted.push((now, units));
        }
    }
    // What came back did not run, so it does not count: 1,000 units each 10 ms.
    let worst = worst_window(&granted) - 800.0 * 1_000.0;
    assert!(worst <= most(), "{worst} of {}", most());
}

/// Pattern: a workspace within its quota, in bursts.
#[test]
fn what_is_within_the_quota_is_granted_and_marked_so() {
    let mut bank = QuotaBuckets::default();
    bank.refill(&workspace(), &quota(), ALL, &bounds(), Timestamp(0.0));
    for second in 2..40 {
        for n in 0..6 {
            let now = Timestamp(f64::from(second) * 1000.0 + f64::from(n));
            let lease = bank.lease(&workspace(), &quota(), 5_500.0, ALL, &bounds(), now);
            let within = matches!(
                lease,
                LeaseReply::Granted {
                    mark: QuotaStatus::Within,
                    ..
                }
            );
            assert!(within, "second {second}: {lease:?}");
        }
    }
}

#[test]
fn a_new_banker_starts_empty() {
    let mut bank = QuotaBuckets::default();
    let lease = bank.lease(&workspace(), &quota(), 1.0, ALL, &bounds(), Timestamp(0.0));
    assert!(matches!(lease, LeaseReply::Exhausted { .. }), "{lease:?}");
}

/// Pattern: all nodes restart at once and take each other's duties over while they find each other.
/// A bucket that was kept for a small part of the nodes has filled as slowly, and one of a node
/// that was not banker meanwhile has not filled at all.
#[test]
fn a_banker_of_few_nodes_does_not_fill_for_all() {
    let few = NodeCounts { alive: 1, all: 84 };
    let mut bank = QuotaBuckets::default();
    for ms in [0.0, 500.0, 1000.0] {
        bank.refill(&workspace(), &quota(), few, &bounds(), Timestamp(ms));
    }
    let all = NodeCounts { alive: 84, all: 84 };
    let now = Timestamp(1000.0);
    let lease = bank.lease(&workspace(), &quota(), 3_000.0, all, &bounds(), now);
    assert!(matches!(lease, LeaseReply::Exhausted { .. }), "{lease:?}");
    bank.refill(&workspace(), &quota(), all, &bounds(), Timestamp(2000.0));
    bank.retain(|_| false);
    let now = Timestamp(3000.0);
    let lease = bank.lease(&workspace(), &quota(), 3_000.0, all, &bounds(), now);
    assert!(matches!(lease, LeaseReply::Exhausted { .. }), "{lease:?}");
}

/// Pattern: the system is cut in two; each part sees the other as gone.
#[test]
fn parts_of_a_cut_system_share_the_rate() {
    let mut shares = NodeCounter::default();
    let names: Vec<_> = (0..6).map(|n| format!("n{n}").parse().unwrap()).collect();
    shares.set_listed_nodes(6, Timestamp(0.0));
    assert_eq!(shares.count(names.iter(), Timestamp(0.0)), ALL);
    let cut = shares.count(names[..2].iter(), Timestamp(3000.0));
    assert_eq!(cut, NodeCounts { alive: 2, all: 6 });
    let later = shares.count(names[..2].iter(), Timestamp(60_000.0));
    assert_eq!(later, NodeCounts { alive: 2, all: 2 });
}

/// Pattern: all nodes of a system restart at once, and each sees only itself for a moment.
#[test]
fn a_node_that_has_just_started_does_not_take_the_shares_of_all() {
    let mut shares = NodeCounter::default();
    let own = ["n1".parse().unwrap()];
    let unknown = shares.count(own.iter(), Timestamp(0.0));
    assert!(unknown.visible_share() < 0.01, "{unknown:?}");
    shares.set_listed_nodes(84, Timestamp(100.0));
    let listed = shares.count(own.iter(), Timestamp(200.0));
    assert_eq!(listed, NodeCounts { alive: 1, all: 84 });
    let settled = shares.count(own.iter(), Timestamp(60_000.0));
    assert_eq!(settled, NodeCounts { alive: 1, all: 1 });
}

/// Pattern: refused callers of one workspace are told different times.
#[test]
fn refused_callers_come_back_when_their_units_are_there() {
    let mut bank = QuotaBuckets::default();
    let mut times = Vec::new();
    for _ in 0..5 {
        let lease = bank.lease(
            &workspace(),
            &quota(),
            3_600.0,
            ALL,
            &bounds(),
            Timestamp(0.0),
        );
        match lease {
            LeaseReply::Exhausted { retry_after_ms } => times.push(retry_after_ms.round()),
            LeaseReply::Granted { .. } => panic!("nothing was there to grant"),
        }
    }
    assert_eq!(times, [100.0, 200.0, 300.0, 400.0, 500.0]);
}

/// Pattern: an overload refuses half of what a quota allows; the workspace gets its whole quota
/// all the same, because units of requests that did not run are used again.
#[test]
fn units_of_refused_requests_come_back() {
    let names: Vec<InstanceName> = (0..60).map(|n| format!("n{n}").parse().unwrap()).collect();
    let mut purses: Vec<_> = names.iter().map(|_| LocalQuota::default()).collect();
    let mut bank = QuotaBuckets::default();
    bank.refill(&workspace(), &quota(), ALL, &bounds(), Timestamp(0.0));
    let mut run = 0.0;
    for n in 0..400_usize {
        let now = Timestamp(n as f64 * 50.0);
        let (node, purse) = (&names[n % 60], &mut purses[n % 60]);
        let totals = purse.totals(&workspace(), now);
        bank.settle(&workspace(), node, totals, now);
        // Twice the quota is asked for, and half of what is let in is refused later.
        let is_in = purse.take(&workspace(), 3_600.0, now)
            || matches!(
                bank.lease(&workspace(), &quota(), 3_600.0, ALL, &bounds(), now),
                LeaseReply::Granted { .. }
            );
        match is_in {
            true if n % 7 < 4 => purse.refund(&workspace(), 3_600.0, now),
            true => run += 3_600.0,
            false => (),
        }
    }
    // 20 s at the quota's rate, less what is on its way back.
    assert!(run >= 36_000.0 * 15.0, "{run} units ran");
}

#[test]
fn leased_units_lapse() {
    let mut purse = LocalQuota::default();
    purse.refund(&workspace(), 100.0, Timestamp(0.0));
    assert!(purse.take(&workspace(), 60.0, Timestamp(10.0)));
    assert!(!purse.take(&workspace(), 60.0, Timestamp(10.0)));
    assert!(!purse.take(&workspace(), 10.0, Timestamp(10_000.0)));
}

/// Pattern: every request of a pool fails; six nodes repeat as often as they may.
#[test]
fn repeats_stay_within_the_budget_of_all_nodes() {
    let pool: PoolName = "p".parse().unwrap();
    let bounds = bounds();
    let mut nodes: Vec<_> = (0..6).map(|_| RetryBudget::default()).collect();
    let (mut requests, mut repeats) = (0, 0);
    for ms in 0..9_000 {
        let now = Timestamp(f64::from(ms));
        let node = &mut nodes[ms as usize % 6];
        if ms % 7 == 0 {
            node.record_request(&pool, &bounds, now);
            requests += 1;
        }
        repeats += u32::from(node.try_retry(&pool, ALL, &bounds, now));
    }
    let most = bounds.repeat_ratio * f64::from(requests) + bounds.repeat_slack;
    assert!(f64::from(repeats) <= most, "{repeats} of {most}");
    assert!(repeats > 0);
}

/// Pattern: a caller that kept an address sends a long request late in a planned stop. What is taken
/// later than 3 s after the signal must end, and this one could not.
#[test]
fn a_stop_takes_no_request_that_it_might_have_to_cut() {
    for grace_s in [2, 4, 8, 30] {
        let plan = ShutdownPlan::new(Duration::from_secs(grace_s));
        let last_taken = plan.refuse_from + plan.poll;
        assert!(last_taken < Duration::from_secs(3), "{plan:?}");
        assert!(
            last_taken < plan.close && plan.linger <= plan.close,
            "{plan:?}"
        );
        assert!(plan.end < Duration::from_secs(grace_s), "{plan:?}");
    }
}

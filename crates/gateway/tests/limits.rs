//! Quotas and retry budgets that all nodes share, and graceful shutdown.

mod common;

use common::{WINDOW_MS, bounds, max_units_of, quota_of, workspace};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rwd_gateway::{
    LeaseReply, LocalQuota, NodeCounter, NodeCounts, Quota, QuotaBuckets, QuotaStatus, RetryBudget,
    ShutdownPlan,
};
use rwd_placement::Timestamp;
use rwd_types::{Incarnation, InstanceName, PoolName};
use rwd_wire::QuotaTotals;
use std::time::Duration;

fn quota() -> Quota {
    quota_of(36_000.0)
}

fn max_units() -> f64 {
    max_units_of(&quota())
}

fn coordinator() -> InstanceName {
    "coordinator".parse().unwrap()
}

const ALL: NodeCounts = NodeCounts { alive: 6, all: 6 };

// The largest number of units granted in any window.
fn worst_window(grants: &[(f64, f64)]) -> f64 {
    let from = |start: f64| {
        let within = grants
            .iter()
            .filter(|(t, _)| *t >= start && *t < start + WINDOW_MS);
        within.map(|(_, units)| units).sum::<f64>()
    };
    grants.iter().map(|(t, _)| from(*t)).fold(0.0, f64::max)
}

/// A workspace sends many times its quota, its quota coordinator is lost every few seconds, and two
/// nodes that cannot reach a coordinator use their own shares.
fn check_lost_coordinators(demands: Vec<(u16, u32)>) -> Result<(), TestCaseError> {
    let (quota, bounds) = (quota(), bounds());
    let mut buckets = QuotaBuckets::default();
    let mut isolated = [LocalQuota::default(), LocalQuota::default()];
    let mut grants = Vec::new();
    let mut now = 0.0;
    for (n, (pause, units)) in demands.into_iter().enumerate() {
        now += f64::from(pause);
        let at = Timestamp(now);
        let units = f64::from(units);
        if n % 97 == 96 {
            buckets = QuotaBuckets::default();
        }
        let lease = match n % 10 {
            0 => isolated[0].lease_own_share(&workspace(), &quota, units, ALL, &bounds, at),
            1 => isolated[1].lease_own_share(&workspace(), &quota, units, ALL, &bounds, at),
            _ => buckets.lease(&workspace(), &quota, units, ALL, &bounds, at),
        };
        if let LeaseReply::Granted { units, .. } = lease {
            grants.push((now, units));
        }
    }
    let worst = worst_window(&grants);
    // One request may be larger than what is left of a share.
    prop_assert!(
        worst <= max_units() + 10_000.0,
        "{worst} of {}",
        max_units()
    );
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
fn no_window_exceeds_the_bound_when_coordinators_are_lost() {
    let demands = proptest::collection::vec((0..40_u16, 200..9_000_u32), 200..1500);
    runner().run(&demands, check_lost_coordinators).unwrap();
}

/// A workspace sends many times its quota, and its quota coordinator is alive but short of CPU and
/// replies too late half of the time. Nodes then use their own shares while the coordinator keeps
/// granting units to the others.
fn check_slow_coordinator(demands: Vec<(u16, u32, usize, bool)>) -> Result<(), TestCaseError> {
    let (quota, bounds) = (quota(), bounds());
    let names: Vec<_> = (0..6).map(|n| format!("n{n}").parse().unwrap()).collect();
    let mut buckets = QuotaBuckets::default();
    let mut locals: Vec<_> = (0..6).map(|_| LocalQuota::default()).collect();
    let mut grants = Vec::new();
    let mut now = 0.0;
    for (pause, units, node, is_late) in demands {
        now += f64::from(pause);
        let at = Timestamp(now);
        let units = f64::from(units);
        // The coordinator never handles a demand that timed out.
        let lease = match is_late {
            true => locals[node].lease_own_share(&workspace(), &quota, units, ALL, &bounds, at),
            false => {
                let totals = locals[node].totals(&workspace(), &coordinator(), at);
                buckets.reconcile(&workspace(), &names[node], totals, at);
                buckets.lease(&workspace(), &quota, units, ALL, &bounds, at)
            }
        };
        if let LeaseReply::Granted { units, .. } = lease {
            grants.push((now, units));
        }
    }
    let worst = worst_window(&grants);
    // One request of each node may be larger than what is left of its share.
    prop_assert!(
        worst <= max_units() + 10_000.0,
        "{worst} of {}",
        max_units()
    );
    Ok(())
}

#[test]
fn no_window_exceeds_the_bound_when_the_coordinator_is_slow() {
    let demand = (0..10_u16, 2_000..9_000_u32, 0..6_usize, any::<bool>());
    let demands = proptest::collection::vec(demand, 1000..3000);
    runner().run(&demands, check_slow_coordinator).unwrap();
}

fn totals(incarnation: u64, spent_alone: f64, returned: f64) -> QuotaTotals {
    QuotaTotals {
        life: Incarnation(incarnation),
        spent_alone,
        returned,
    }
}

// Refills at the period of a running node, up to `end` milliseconds.
fn refill_until(buckets: &mut QuotaBuckets, end: u32) {
    for ms in (0..=end).step_by(500) {
        let at = Timestamp(f64::from(ms));
        buckets.refill(&workspace(), &quota(), ALL, &bounds(), at);
    }
}

// Units that a coordinator can grant at once after these reports of one node.
fn units_left_after(reports: &[QuotaTotals]) -> f64 {
    let node: InstanceName = "n1".parse().unwrap();
    let mut buckets = QuotaBuckets::default();
    refill_until(&mut buckets, 4000);
    let at = Timestamp(4000.0);
    for report in reports {
        buckets.reconcile(&workspace(), &node, *report, at);
        // Refills the bucket to capacity, so that units added by a report show up.
        buckets.lease(&workspace(), &quota(), 0.0, ALL, &bounds(), at);
    }
    let mut left = 0.0;
    while let LeaseReply::Granted { units, .. } =
        buckets.lease(&workspace(), &quota(), 100.0, ALL, &bounds(), at)
    {
        left += units;
    }
    left
}

/// A coordinator is new, a node restarts, and messages of a node are duplicated and reordered. Only
/// usage since the last report counts.
#[test]
fn usage_reports_count_once() {
    let full = units_left_after(&[]);
    let first = totals(1, 900_000.0, 800_000.0);
    assert_eq!(
        units_left_after(&[first]),
        full,
        "usage under an earlier coordinator"
    );
    assert_eq!(units_left_after(&[first, first]), full, "duplicate");
    let more = totals(1, 910_000.0, 800_000.0);
    assert_eq!(units_left_after(&[first, more]), full - 10_000.0);
    assert_eq!(
        units_left_after(&[first, more, first]),
        full - 10_000.0,
        "reordered"
    );
    let restarted = totals(2, 7_000.0, 1_000.0);
    assert_eq!(units_left_after(&[first, restarted]), full - 6_000.0);
    assert_eq!(
        units_left_after(&[first, restarted, first]),
        full - 6_000.0,
        "report of an earlier incarnation"
    );
}

/// A node restarts after its clock was set back, and again after that was undone. Its usage and
/// refunds count, and late reports of its earlier processes do not.
#[test]
fn usage_counts_after_a_restart_whichever_way_the_clock_was_stepped() {
    let full = units_left_after(&[]);
    let first = totals(20_000, 900_000.0, 800_000.0);
    let behind = totals(10_000, 7_000.0, 1_000.0);
    let ahead = totals(30_000, 4_000.0, 2_000.0);
    assert_eq!(units_left_after(&[first, behind]), full - 6_000.0);
    assert_eq!(units_left_after(&[first, ahead]), full - 2_000.0);
    assert_eq!(units_left_after(&[first, behind, first]), full - 6_000.0);
    assert_eq!(
        units_left_after(&[first, behind, ahead, first, behind]),
        full - 8_000.0
    );
    let more = totals(10_000, 9_000.0, 1_000.0);
    assert_eq!(units_left_after(&[first, behind, more]), full - 8_000.0);
}

/// Demands of a busy node keep arriving out of order, and the node refunds many of the units that
/// it leases. No window may grant more than the bound.
#[test]
fn reordered_reports_do_not_overfill_the_bucket() {
    let node: InstanceName = "n1".parse().unwrap();
    let mut buckets = QuotaBuckets::default();
    let mut granted = Vec::new();
    for n in 0..2000_u32 {
        let now = f64::from(n) * 10.0;
        // Every second report is older than the one before it.
        let returned = f64::from(n - 3 * (n % 2).min(n / 3)) * 1_000.0;
        let report = totals(1, 0.0, returned);
        buckets.reconcile(&workspace(), &node, report, Timestamp(now));
        let lease = buckets.lease(
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
    // Refunded units did not run, so they do not count: 1,000 units every 10 ms.
    let worst = worst_window(&granted) - 800.0 * 1_000.0;
    assert!(worst <= max_units(), "{worst} of {}", max_units());
}

/// A workspace sends bursts that stay within its quota.
#[test]
fn bursts_within_the_quota_are_granted_as_within() {
    let mut buckets = QuotaBuckets::default();
    refill_until(&mut buckets, 2000);
    for second in 2..40 {
        let half = Timestamp(f64::from(second) * 1000.0 - 500.0);
        buckets.refill(&workspace(), &quota(), ALL, &bounds(), half);
        for n in 0..6 {
            let now = Timestamp(f64::from(second) * 1000.0 + f64::from(n));
            let lease = buckets.lease(&workspace(), &quota(), 5_500.0, ALL, &bounds(), now);
            let within = matches!(
                lease,
                LeaseReply::Granted {
                    status: QuotaStatus::Within,
                    ..
                }
            );
            assert!(within, "second {second}: {lease:?}");
        }
    }
}

#[test]
fn a_new_coordinator_starts_with_an_empty_bucket() {
    let mut buckets = QuotaBuckets::default();
    let lease = buckets.lease(&workspace(), &quota(), 1.0, ALL, &bounds(), Timestamp(0.0));
    assert!(matches!(lease, LeaseReply::Exhausted { .. }), "{lease:?}");
}

/// All nodes restart at once, and coordinators change while the nodes discover each other. A bucket
/// must fill only at the rate of the nodes that its coordinator saw, and must start empty again
/// after another node was coordinator.
#[test]
fn a_bucket_fills_only_at_the_share_of_the_visible_nodes() {
    let few = NodeCounts { alive: 1, all: 84 };
    let mut buckets = QuotaBuckets::default();
    for ms in [0.0, 500.0, 1000.0] {
        buckets.refill(&workspace(), &quota(), few, &bounds(), Timestamp(ms));
    }
    let all = NodeCounts { alive: 84, all: 84 };
    let now = Timestamp(1000.0);
    let lease = buckets.lease(&workspace(), &quota(), 3_000.0, all, &bounds(), now);
    assert!(matches!(lease, LeaseReply::Exhausted { .. }), "{lease:?}");
    buckets.refill(&workspace(), &quota(), all, &bounds(), Timestamp(2000.0));
    buckets.retain(|_| false);
    let now = Timestamp(3000.0);
    let lease = buckets.lease(&workspace(), &quota(), 3_000.0, all, &bounds(), now);
    assert!(matches!(lease, LeaseReply::Exhausted { .. }), "{lease:?}");
}

/// The network is partitioned, and each side sees the nodes of the other as failed.
#[test]
fn the_sides_of_a_network_partition_share_the_rate() {
    let mut counter = NodeCounter::default();
    let names: Vec<_> = (0..6).map(|n| format!("n{n}").parse().unwrap()).collect();
    counter.set_listed_nodes(6, Timestamp(0.0));
    assert_eq!(counter.count(names.iter(), Timestamp(0.0)), ALL);
    let side = counter.count(names[..2].iter(), Timestamp(3000.0));
    assert_eq!(side, NodeCounts { alive: 2, all: 6 });
    let later = counter.count(names[..2].iter(), Timestamp(60_000.0));
    assert_eq!(later, NodeCounts { alive: 2, all: 2 });
}

/// All nodes restart at once, and each sees only itself at first.
#[test]
fn a_starting_node_does_not_claim_the_shares_of_other_nodes() {
    let mut counter = NodeCounter::default();
    let own = ["n1".parse().unwrap()];
    let unknown = counter.count(own.iter(), Timestamp(0.0));
    assert!(unknown.visible_share() < 0.01, "{unknown:?}");
    counter.set_listed_nodes(84, Timestamp(100.0));
    let listed = counter.count(own.iter(), Timestamp(200.0));
    assert_eq!(listed, NodeCounts { alive: 1, all: 84 });
    let settled = counter.count(own.iter(), Timestamp(60_000.0));
    assert_eq!(settled, NodeCounts { alive: 1, all: 1 });
}

/// Callers of one workspace that are refused together get retry-after times spaced at its rate.
#[test]
fn retry_after_times_are_spaced_at_the_quota_rate() {
    let mut buckets = QuotaBuckets::default();
    let mut times = Vec::new();
    for _ in 0..5 {
        let lease = buckets.lease(
            &workspace(),
            &quota(),
            3_600.0,
            ALL,
            &bounds(),
            Timestamp(0.0),
        );
        match lease {
            LeaseReply::Exhausted { retry_after_ms } => times.push(retry_after_ms.round()),
            LeaseReply::Granted { .. } => panic!("the bucket had no units to grant"),
        }
    }
    assert_eq!(times, [100.0, 200.0, 300.0, 400.0, 500.0]);
}

/// An overload refuses half of the requests that the quota admits. The workspace must still get its
/// whole quota, because units of requests that did not run are reused.
#[test]
fn units_of_refused_requests_are_reused() {
    let names: Vec<InstanceName> = (0..60).map(|n| format!("n{n}").parse().unwrap()).collect();
    let mut locals: Vec<_> = names.iter().map(|_| LocalQuota::default()).collect();
    let mut buckets = QuotaBuckets::default();
    buckets.refill(&workspace(), &quota(), ALL, &bounds(), Timestamp(0.0));
    let mut run = 0.0;
    for n in 0..400_usize {
        let now = Timestamp(n as f64 * 50.0);
        let (node, local_quota) = (&names[n % 60], &mut locals[n % 60]);
        let totals = local_quota.totals(&workspace(), &coordinator(), now);
        buckets.reconcile(&workspace(), node, totals, now);
        // Demand is twice the quota, and half of the admitted requests are refused later.
        let is_admitted = local_quota.take(&workspace(), 3_600.0, now)
            || matches!(
                buckets.lease(&workspace(), &quota(), 3_600.0, ALL, &bounds(), now),
                LeaseReply::Granted { .. }
            );
        match is_admitted {
            true if n % 7 < 4 => local_quota.refund(&workspace(), 3_600.0, now),
            true => run += 3_600.0,
            false => (),
        }
    }
    // 20 s at the quota's rate, less the units still being refunded.
    assert!(run >= 36_000.0 * 15.0, "{run} units ran");
}

#[test]
fn leased_units_expire() {
    let mut local_quota = LocalQuota::default();
    local_quota.refund(&workspace(), 100.0, Timestamp(0.0));
    assert!(local_quota.take(&workspace(), 60.0, Timestamp(10.0)));
    assert!(!local_quota.take(&workspace(), 60.0, Timestamp(10.0)));
    assert!(!local_quota.take(&workspace(), 10.0, Timestamp(10_000.0)));
}

/// Every request of a pool fails, and six nodes retry as often as their budgets allow.
#[test]
fn retries_of_all_nodes_stay_within_the_budget() {
    let pool: PoolName = "p".parse().unwrap();
    let bounds = bounds();
    let mut nodes: Vec<_> = (0..6).map(|_| RetryBudget::default()).collect();
    let (mut requests, mut retries) = (0, 0);
    for ms in 0..9_000 {
        let now = Timestamp(f64::from(ms));
        let node = &mut nodes[ms as usize % 6];
        if ms % 7 == 0 {
            node.record_request(&pool, &bounds, now);
            requests += 1;
        }
        retries += u32::from(node.try_retry(&pool, ALL, &bounds, now));
    }
    let max = bounds.repeat_ratio * f64::from(requests) + bounds.repeat_slack;
    assert!(f64::from(retries) <= max, "{retries} of {max}");
    assert!(retries > 0);
}

/// A caller with a cached address sends a long request late in a graceful shutdown. A request
/// accepted later than 3 s after the signal must complete, which this one could not.
#[test]
fn a_graceful_shutdown_accepts_no_request_that_it_may_have_to_abort() {
    for grace_s in [2, 4, 8, 30] {
        let plan = ShutdownPlan::new(Duration::from_secs(grace_s));
        let last_accepted = plan.refuse_from + plan.poll;
        assert!(last_accepted < Duration::from_secs(3), "{plan:?}");
        assert!(
            last_accepted < plan.close && plan.linger <= plan.close,
            "{plan:?}"
        );
        assert!(plan.end < Duration::from_secs(grace_s), "{plan:?}");
    }
}

//! A scheduler is lost while streams run.

use crate::helper::{TestCluster, post};
use rwd_lab::site::{Call, call};
use std::time::Duration;
use tokio::task::JoinSet;

/// Slots of a target, by its entry in the registry.
const SLOTS: usize = 4;
/// The scheduler of all pools: it has the largest CPU share.
const SCHEDULER: usize = 2;

async fn cluster(handover: bool) -> TestCluster {
    let mut cluster = TestCluster::start(0, 1, 1).await;
    for (n, cpu_share) in [(0, 0.5), (1, 0.7), (2, 1.0)] {
        let mut cfg = cluster.settings(n);
        cfg.cpu_share = cpu_share;
        cfg.scheduling.handover = handover;
        cluster.add_node_with(cfg).await;
    }
    for node in &cluster.nodes {
        node.await_ready().await;
        node.await_members(3).await;
    }
    cluster
}

fn stream(id: &str) -> Call {
    post("/once/a", id).header("token-count", "40,8")
}

/// Sends requests to the home nodes that stay.
fn send(calls: &mut JoinSet<bool>, cluster: &TestCluster, prefix: &str, count: usize) {
    for n in 0..count {
        let (to, req) = (
            cluster.request_addr((n % 2) as u8),
            stream(&format!("{prefix}-{n}")),
        );
        calls.spawn(async move { call(to, &req).await.is_ok_and(|r| r.complete) });
    }
}

/// The most requests at the target at any time, and how many of those after the loss were complete.
async fn lose_scheduler(handover: bool) -> (usize, usize) {
    let mut cluster = cluster(handover).await;
    cluster.model_targets[0].set_work_time(Duration::from_millis(600));
    for round in 0..5 {
        let mut calls = JoinSet::new();
        send(&mut calls, &cluster, &format!("before{round}"), SLOTS);
        calls.join_all().await;
    }
    cluster.model_targets[0].set_work_time(Duration::from_millis(1200));
    let before = cluster.model_targets[0].arrivals().len();
    let mut running = JoinSet::new();
    send(&mut running, &cluster, "running", SLOTS);
    let target = &cluster.model_targets[0];
    target.await_arrivals(before + SLOTS).await;
    drop(cluster.nodes.remove(SCHEDULER));
    let mut after = JoinSet::new();
    send(&mut after, &cluster, "after", 2 * SLOTS);
    running.join_all().await;
    let complete = after.join_all().await.into_iter().filter(|c| *c).count();
    (cluster.model_targets[0].most_running(), complete)
}

// Failure: the scheduler of a pool is killed while all slots are in use. Its successor counts them.
#[tokio::test]
async fn a_successor_fills_no_slots_that_are_in_use() {
    let (most, complete) = lose_scheduler(true).await;
    assert!(
        most <= SLOTS,
        "{most} requests at a target with {SLOTS} slots"
    );
    assert!(complete > 0, "nothing was served after the loss");
}

// The same failure without hand-over, so that the test above has something to find.
#[tokio::test]
async fn without_hand_over_a_successor_fills_slots_that_are_in_use() {
    let (most, _) = lose_scheduler(false).await;
    assert!(
        most > SLOTS,
        "{most} requests at a target with {SLOTS} slots"
    );
}

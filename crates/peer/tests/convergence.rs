//! Membership views of large clusters after many simultaneous failures, in virtual time: how long
//! until they are right, and what the protocol sends meanwhile.

mod cluster;

use cluster::{Cluster, Failure};
use rwd_peer::MassLoss;

/// The goal for any number of simultaneous losses: 99 in 100 views are right within this time.
const GOAL_MS: u64 = 1500;
/// The bound on control traffic of a node in calm times, in bytes per second.
const MAX_CALM_BYTES_S: f64 = 3000.0;

// Time until the others have lost 55 in 100 nodes, and then got them back.
async fn herd_loss(n: usize, failure: Failure) -> (u64, u64) {
    herd_loss_with(n, failure, Some(MassLoss::default())).await
}

async fn herd_loss_with(n: usize, failure: Failure, mass_loss: Option<MassLoss>) -> (u64, u64) {
    let mut cluster = Cluster::start(n, 3, mass_loss);
    let lost = n * 55 / 100;
    for peer in &mut cluster.peers[..lost] {
        peer.failure = Some(failure);
    }
    let gone = cluster.ms_until_right(0.99).await;
    let bytes = cluster.bytes_per_node_s(cluster.tick);
    for peer in &mut cluster.peers[..lost] {
        peer.failure = None;
    }
    let back = cluster.ms_until_right(0.99).await;
    println!(
        "{n} nodes, {lost} {failure:?}: lost after {gone} ms, back after {back} ms, {bytes:.0} B/s a node"
    );
    (gone, back)
}

/// More than half of all processes are killed at once. Until the others know, they send offers,
/// demands and lookups to nodes that are gone.
#[tokio::test(start_paused = true)]
async fn killed_nodes_leave_all_views_within_the_goal() {
    for n in [84, 195] {
        let (gone, _) = herd_loss(n, Failure::Killed).await;
        assert!(gone <= GOAL_MS, "{n} nodes: {gone} ms");
    }
}

/// More than half of all machines lose power or are suspended at once.
#[tokio::test(start_paused = true)]
async fn silent_nodes_leave_all_views_within_the_goal() {
    for n in [84, 195] {
        let (gone, _) = herd_loss(n, Failure::Silent).await;
        assert!(gone <= GOAL_MS, "{n} nodes: {gone} ms");
    }
}

/// More than half of all nodes are cut off together; each side must go on without the other.
#[tokio::test(start_paused = true)]
async fn cut_nodes_leave_all_views_within_the_goal() {
    for n in [84, 195] {
        let (gone, _) = herd_loss(n, Failure::Cut).await;
        assert!(gone <= GOAL_MS, "{n} nodes: {gone} ms");
    }
}

/// Figures for docs/CAPACITY.md.
#[tokio::test(start_paused = true)]
#[ignore = "minutes, in release mode"]
async fn figures() {
    for n in [84, 195, 390] {
        for failure in [Failure::Killed, Failure::Silent, Failure::Cut] {
            for mass_loss in [None, Some(MassLoss::default())] {
                herd_loss_with(n, failure, mass_loss).await;
            }
        }
    }
}

/// Suspended nodes wake. They do not know that they were declared failed, and the news of their
/// failure has had its transmissions.
#[tokio::test(start_paused = true)]
async fn woken_nodes_return_to_all_views_within_the_goal() {
    for n in [6, 84, 195] {
        let (_, back) = herd_loss(n, Failure::Silent).await;
        assert!(back <= GOAL_MS, "{n} nodes: {back} ms");
    }
}

#[tokio::test(start_paused = true)]
async fn calm_traffic_stays_within_the_bound() {
    for n in [6, 195, 390] {
        let mut cluster = Cluster::start(n, 3, Some(MassLoss::default()));
        for _ in 0..200 {
            cluster.step().await;
        }
        let bytes = cluster.bytes_per_node_s(200);
        assert!(bytes <= MAX_CALM_BYTES_S, "{n} nodes: {bytes} B/s");
    }
}

//! Zones with a shard each: requests go where slots are free, and come home.

use crate::helper::{TestCluster, get};
use rwd_lab::site::{Call, call, server_record};
use std::time::Duration;
use tokio::task::JoinSet;

/// Targets of the first zone; the pool is large enough to be split by zone.
const HOME_TARGETS: usize = 2;
const TARGETS: usize = 46;
/// Concurrent requests of the first zone, beyond its slots.
const BURST: usize = 40;
/// Bursts until reports of the other zone must have arrived.
const MAX_BURSTS: usize = 100;

/// Starts a node in each of two zones.
async fn start(spilling: bool) -> TestCluster {
    let mut cluster = TestCluster::start(0, TARGETS, 0).await;
    for (n, target) in cluster.desk_targets.iter().enumerate() {
        target.set_work_time(Duration::from_millis(50));
        if n >= HOME_TARGETS {
            let record = server_record("desk", target.address(), "ready", 2);
            let record = record.replace("\"z1\"", "\"z2\"");
            cluster
                .store
                .put("keyed.servers", target.name(), Some(&record));
        }
    }
    for (n, zone) in [(0, "z1"), (1, "z2")] {
        let mut cfg = cluster.settings(n);
        cfg.zone = zone.parse().unwrap();
        cfg.scheduling.spilling = spilling;
        cluster.add_node_with(cfg).await;
    }
    for node in &cluster.nodes {
        node.await_ready().await;
        node.await_members(2).await;
    }
    cluster
}

/// Sends requests to both nodes at once; all must be served.
async fn burst(cluster: &TestCluster, round: usize) {
    let mut calls = JoinSet::new();
    for n in 0..BURST {
        let to = cluster.request_addr(u8::from(n % 8 == 0));
        let req = get("/safe/a", &format!("r{round}-{n}"));
        calls.spawn(async move { call(to, &req).await.unwrap().status });
    }
    while let Some(status) = calls.join_next().await {
        assert_eq!(status.unwrap().unwrap(), 200);
    }
}

async fn metrics(cluster: &TestCluster) -> String {
    let req = Call::new("GET", "/metrics", "m", "");
    let reply = call(cluster.readiness_addr(0), &req).await.unwrap();
    String::from_utf8_lossy(&reply.body).into_owned()
}

fn home_arrivals(cluster: &TestCluster) -> usize {
    let home = cluster.desk_targets.iter().take(HOME_TARGETS);
    home.map(|t| t.arrivals().len()).sum()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_zone_at_its_peak_uses_known_room_of_another_and_comes_home() {
    let cluster = start(true).await;
    let mut rounds = 0;
    // Spilled by what reports said, not at random.
    while !metrics(&cluster).await.contains("room_age_ms_count") {
        assert!(rounds < MAX_BURSTS, "no room was learned");
        burst(&cluster, rounds).await;
        rounds += 1;
    }
    assert!(metrics(&cluster).await.contains("requests_spilled_total"));
    let before = home_arrivals(&cluster);
    let reply = cluster.call(&get("/safe/a", "alone")).await;
    assert_eq!(reply.status.unwrap(), 200);
    assert_eq!(home_arrivals(&cluster), before + 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_the_setting_rooms_are_neither_sent_nor_used() {
    let cluster = start(false).await;
    for round in 0..3 {
        burst(&cluster, round).await;
    }
    let text = metrics(&cluster).await;
    assert!(!text.contains("room_age_ms_count") && !text.contains("requests_spilled_total"));
}

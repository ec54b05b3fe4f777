//! Several nodes: lookups, lost schedulers, graceful shutdown, one reader of the store.

use crate::helper::{KEY, TestCluster, get, post};
use rwd_lab::site::{Behaviour, Call, call};

async fn addresses(cluster: &TestCluster, n: u8) -> Vec<String> {
    let lookup = Call::new(
        "GET",
        "/api/lookup?name=shop.example&region=r1&zone=z1",
        "",
        "",
    );
    let result = call(cluster.directory_addr(n), &lookup).await.unwrap();
    assert_eq!(result.status.map(|s| s.as_u16()), Some(200));
    let response: serde_json::Value = serde_json::from_slice(&result.body).unwrap();
    let addrs = response["addrs"].as_array().unwrap();
    addrs
        .iter()
        .map(|a| a.as_str().unwrap().to_owned())
        .collect()
}

#[tokio::test]
async fn lookup_returns_only_active_nodes() {
    let mut cluster = TestCluster::start(3, 1, 1).await;
    assert_eq!(addresses(&cluster, 0).await.len(), 3);
    let removed = cluster.request_addr(2).to_string();
    drop(cluster.nodes.pop());
    for node in &cluster.nodes {
        node.await_members(2).await;
    }
    assert!(!addresses(&cluster, 0).await.contains(&removed));
    assert!(!addresses(&cluster, 1).await.contains(&removed));
}

#[tokio::test]
async fn every_node_serves_when_any_other_is_lost() {
    for lost in 0..3 {
        let mut cluster = TestCluster::start(3, 2, 2).await;
        drop(cluster.nodes.remove(lost));
        for n in (0..3).filter(|n| *n != lost as u8) {
            let result = call(cluster.request_addr(n), &get("/safe/a", &format!("s{n}"))).await;
            assert_eq!(result.unwrap().status.map(|s| s.as_u16()), Some(200));
            let result = call(cluster.request_addr(n), &post("/once/a", &format!("o{n}")))
                .await
                .unwrap();
            assert!(result.complete, "node {n} without node {lost}");
            assert_eq!(cluster.runs(&format!("o{n}")), 1);
        }
    }
}

#[tokio::test]
async fn graceful_shutdown_waits_for_requests_in_progress() {
    let cluster = TestCluster::start(2, 1, 1).await;
    cluster.desk_targets[0].script(&[Behaviour::Unresponsive]);
    let addr = cluster.request_addr(0);
    let waiting = tokio::spawn(async move { call(addr, &post("/unsafe/a", "u1")).await });
    cluster.desk_targets[0].await_arrivals(1).await;
    let shutdown = cluster.nodes[0].stop();
    tokio::pin!(shutdown);
    // The shutdown waits for the request, which ends at its route's timeout.
    let result = tokio::select! {
        result = waiting => result.unwrap().unwrap(),
        () = &mut shutdown => panic!("stopped with a request in progress"),
    };
    assert_eq!(result.status.map(|s| s.as_u16()), Some(504));
    assert!(result.complete);
    let ready = Call::new("GET", "/api/readyz", "", "");
    let result = call(cluster.readiness_addr(0), &ready).await.unwrap();
    assert_eq!(result.status.map(|s| s.as_u16()), Some(503));
    assert_eq!(
        addresses(&cluster, 1).await,
        [cluster.request_addr(1).to_string()]
    );
    let listed = cluster.store.listed_nodes();
    assert_eq!(listed.len(), 1, "{listed:?}");
}

#[tokio::test]
async fn nodes_that_do_not_read_the_store_receive_its_updates() {
    let cluster = TestCluster::start(3, 1, 1).await;
    for version in 2..6 {
        cluster.put_config(version, &[KEY], 1_000_000);
        for node in &cluster.nodes {
            node.await_config(version).await;
        }
    }
    cluster.register_targets("draining", 2);
    let name = cluster.desk_targets[0].name().parse().unwrap();
    for node in &cluster.nodes {
        let mut changes = node.replica().watch();
        while node.replica().is_active(&name) {
            changes.changed().await.unwrap();
        }
    }
}

#[tokio::test]
async fn a_node_without_a_configuration_refuses_requests_and_is_not_ready() {
    let mut cluster = TestCluster::start(0, 1, 1).await;
    cluster.store.set_fault(rwd_lab::site::StoreFault::Busy);
    cluster.add_node(0).await;
    let result = cluster.call(&get("/safe/a", "s1")).await;
    assert_eq!(result.status.map(|s| s.as_u16()), Some(503));
    let ready = Call::new("GET", "/api/readyz", "", "");
    let result = call(cluster.readiness_addr(0), &ready).await.unwrap();
    assert_eq!(result.status.map(|s| s.as_u16()), Some(503));
    cluster.store.set_fault(rwd_lab::site::StoreFault::None);
    cluster.nodes[0].await_ready().await;
    let result = call(cluster.readiness_addr(0), &ready).await.unwrap();
    assert_eq!(result.status.map(|s| s.as_u16()), Some(200));
}

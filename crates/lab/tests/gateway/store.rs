//! Faults, updates and unusable records of the store.

use crate::helper::{KEY, TestCluster, get};
use rwd_lab::site::{Behaviour, Call, StoreFault, server_record};

#[tokio::test]
async fn requests_are_served_while_the_store_is_unavailable() {
    for fault in [
        StoreFault::Busy,
        StoreFault::Unresponsive,
        StoreFault::Reset,
    ] {
        let cluster = TestCluster::start(1, 1, 1).await;
        cluster.store.set_fault(fault);
        let result = cluster.call(&get("/safe/a", "s1")).await;
        assert_eq!(result.status.map(|s| s.as_u16()), Some(200), "{fault:?}");
        cluster.store.set_fault(StoreFault::None);
        cluster.put_config(2, &[KEY, "k2"], 1_000_000);
        cluster.nodes[0].await_config(2).await;
        let result = cluster.call(&Call::new("GET", "/safe/b", "s2", "k2")).await;
        assert_eq!(result.status.map(|s| s.as_u16()), Some(200), "{fault:?}");
    }
}

#[tokio::test]
async fn the_replica_recovers_after_the_store_log_is_compacted() {
    let cluster = TestCluster::start(1, 1, 1).await;
    cluster.put_config(2, &[KEY], 1_000_000);
    cluster.store.compact("keyed.op");
    cluster.store.compact("keyed.servers");
    cluster.put_config(3, &[KEY, "k3"], 1_000_000);
    cluster.nodes[0].await_config(3).await;
    let result = cluster.call(&Call::new("GET", "/safe/a", "s1", "k3")).await;
    assert_eq!(result.status.map(|s| s.as_u16()), Some(200));
}

#[tokio::test]
async fn an_older_or_unreadable_configuration_is_ignored() {
    let cluster = TestCluster::start(1, 1, 1).await;
    cluster.put_config(5, &[KEY, "k5"], 1_000_000);
    cluster.nodes[0].await_config(5).await;
    cluster.put_config(4, &[KEY], 1_000_000);
    let broken = r#"{"version": 6, "routes": [{"name": 7}], "services": []}"#;
    cluster.store.put("keyed.op", "config", Some(broken));
    cluster
        .store
        .put("keyed.op", "config", Some("\u{0} no JSON"));
    cluster.put_config(7, &[KEY, "k5"], 1_000_000);
    cluster.nodes[0].await_config(7).await;
    let result = cluster.call(&Call::new("GET", "/safe/a", "s1", "k5")).await;
    assert_eq!(result.status.map(|s| s.as_u16()), Some(200));
}

#[tokio::test]
async fn a_removed_key_is_refused() {
    let cluster = TestCluster::start(1, 1, 1).await;
    cluster.put_config(2, &["other"], 1_000_000);
    cluster.nodes[0].await_config(2).await;
    let result = cluster.call(&get("/safe/a", "s1")).await;
    assert_eq!(result.status.map(|s| s.as_u16()), Some(401));
    assert_eq!(cluster.runs("s1"), 0);
}

#[tokio::test]
async fn a_draining_target_gets_no_new_request() {
    let cluster = TestCluster::start(1, 2, 1).await;
    let draining = &cluster.desk_targets[0];
    let record = server_record("desk", draining.address(), "draining", 2);
    cluster
        .store
        .put("keyed.servers", draining.name(), Some(&record));
    // An older record that arrives late does not make the target active again.
    let late = server_record("desk", draining.address(), "ready", 1);
    cluster
        .store
        .put("keyed.servers", draining.name(), Some(&late));
    cluster
        .store
        .put("keyed.servers", "broken", Some("{\"service\": 1}"));
    cluster
        .store
        .put("keyed.servers", "of another kind", Some("{}"));
    let name = draining.name().parse().unwrap();
    let replica = cluster.nodes[0].replica();
    let mut changes = replica.watch();
    while replica.is_active(&name) {
        changes.changed().await.unwrap();
    }
    for n in 0..6 {
        let result = cluster.call(&get("/safe/a", &format!("s{n}"))).await;
        assert_eq!(result.status.map(|s| s.as_u16()), Some(200));
    }
    assert!(cluster.desk_targets[0].arrivals().is_empty());
}

#[tokio::test]
async fn an_unreachable_target_is_skipped() {
    let mut cluster = TestCluster::start(1, 2, 1).await;
    // Nothing listens at its address any more, but the registry still lists it.
    drop(cluster.desk_targets.remove(0));
    cluster.desk_targets[0].script(&[Behaviour::Respond]);
    for n in 0..4 {
        let result = cluster.call(&get("/safe/a", &format!("s{n}"))).await;
        assert_eq!(result.status.map(|s| s.as_u16()), Some(200));
    }
}

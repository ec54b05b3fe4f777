//! What the gateway does when the store misbehaves or says something new.

use crate::helper::{KEY, Site, get};
use rwd_lab::site::{Behaviour, Call, StoreFault, server_record};

#[tokio::test]
async fn requests_go_on_while_the_store_is_away() {
    for fault in [StoreFault::Busy, StoreFault::Silent, StoreFault::Reset] {
        let site = Site::start(1, 1, 1).await;
        site.store.set_fault(fault);
        let result = site.call(&get("/safe/a", "s1")).await;
        assert_eq!(result.status.map(|s| s.as_u16()), Some(200), "{fault:?}");
        site.store.set_fault(StoreFault::None);
        site.put_config(2, &[KEY, "k2"], 1_000_000);
        site.nodes[0].await_config(2).await;
        let result = site.call(&Call::new("GET", "/safe/b", "s2", "k2")).await;
        assert_eq!(result.status.map(|s| s.as_u16()), Some(200), "{fault:?}");
    }
}

#[tokio::test]
async fn a_lost_history_is_read_anew() {
    let site = Site::start(1, 1, 1).await;
    site.put_config(2, &[KEY], 1_000_000);
    site.store.compact("keyed.op");
    site.store.compact("keyed.servers");
    site.put_config(3, &[KEY, "k3"], 1_000_000);
    site.nodes[0].await_config(3).await;
    let result = site.call(&Call::new("GET", "/safe/a", "s1", "k3")).await;
    assert_eq!(result.status.map(|s| s.as_u16()), Some(200));
}

#[tokio::test]
async fn an_older_or_unreadable_configuration_changes_nothing() {
    let site = Site::start(1, 1, 1).await;
    site.put_config(5, &[KEY, "k5"], 1_000_000);
    site.nodes[0].await_config(5).await;
    site.put_config(4, &[KEY], 1_000_000);
    let broken = r#"{"version": 6, "routes": [{"name": 7}], "services": []}"#;
    site.store.put("keyed.op", "config", Some(broken));
    site.store.put("keyed.op", "config", Some("\u{0} no JSON"));
    site.put_config(7, &[KEY, "k5"], 1_000_000);
    site.nodes[0].await_config(7).await;
    let result = site.call(&Call::new("GET", "/safe/a", "s1", "k5")).await;
    assert_eq!(result.status.map(|s| s.as_u16()), Some(200));
}

#[tokio::test]
async fn a_removed_key_is_refused() {
    let site = Site::start(1, 1, 1).await;
    site.put_config(2, &["other"], 1_000_000);
    site.nodes[0].await_config(2).await;
    let result = site.call(&get("/safe/a", "s1")).await;
    assert_eq!(result.status.map(|s| s.as_u16()), Some(401));
    assert_eq!(site.runs("s1"), 0);
}

#[tokio::test]
async fn a_leaving_runner_gets_no_new_request() {
    let site = Site::start(1, 2, 1).await;
    let leaving = &site.desks[0];
    let record = server_record("desk", leaving.address(), "draining", 2);
    site.store
        .put("keyed.servers", leaving.name(), Some(&record));
    // An entry of before that comes late brings it back to nobody's list.
    let late = server_record("desk", leaving.address(), "ready", 1);
    site.store.put("keyed.servers", leaving.name(), Some(&late));
    site.store
        .put("keyed.servers", "broken", Some("{\"service\": 1}"));
    site.store
        .put("keyed.servers", "of another kind", Some("{}"));
    let name = leaving.name().parse().unwrap();
    let replica = site.nodes[0].replica();
    let mut changes = replica.watch();
    while replica.is_active(&name) {
        changes.changed().await.unwrap();
    }
    for n in 0..6 {
        let result = site.call(&get("/safe/a", &format!("s{n}"))).await;
        assert_eq!(result.status.map(|s| s.as_u16()), Some(200));
    }
    assert!(site.desks[0].arrivals().is_empty());
}

#[tokio::test]
async fn a_runner_that_is_gone_is_passed_over() {
    let mut site = Site::start(1, 2, 1).await;
    // Its address answers nobody any more, and the registry still lists it.
    drop(site.desks.remove(0));
    site.desks[0].plan(&[Behaviour::Answer]);
    for n in 0..4 {
        let result = site.call(&get("/safe/a", &format!("s{n}"))).await;
        assert_eq!(result.status.map(|s| s.as_u16()), Some(200));
    }
}

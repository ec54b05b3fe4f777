//! Several nodes: lookups, schedulers that go, planned stops, one reader of the store.

use crate::helper::{KEY, Site, get, post};
use rwd_lab::site::{Behaviour, Call, call};

async fn addresses(site: &Site, n: u8) -> Vec<String> {
    let lookup = Call::new(
        "GET",
        "/api/lookup?name=shop.example&region=r1&zone=z1",
        "",
        "",
    );
    let result = call(site.directory(n), &lookup).await.unwrap();
    assert_eq!(result.status.map(|s| s.as_u16()), Some(200));
    let answer: serde_json::Value = serde_json::from_slice(&result.body).unwrap();
    let addrs = answer["addrs"].as_array().unwrap();
    addrs
        .iter()
        .map(|a| a.as_str().unwrap().to_owned())
        .collect()
}

#[tokio::test]
async fn lookups_name_all_nodes_that_stay() {
    let mut site = Site::start(3, 1, 1).await;
    assert_eq!(addresses(&site, 0).await.len(), 3);
    let gone = site.front(2).to_string();
    drop(site.nodes.pop());
    for node in &site.nodes {
        node.await_members(2).await;
    }
    assert!(!addresses(&site, 0).await.contains(&gone));
    assert!(!addresses(&site, 1).await.contains(&gone));
}

#[tokio::test]
async fn every_node_serves_when_any_other_is_lost() {
    for lost in 0..3 {
        let mut site = Site::start(3, 2, 2).await;
        drop(site.nodes.remove(lost));
        for n in (0..3).filter(|n| *n != lost as u8) {
            let result = call(site.front(n), &get("/safe/a", &format!("s{n}"))).await;
            assert_eq!(result.unwrap().status.map(|s| s.as_u16()), Some(200));
            let result = call(site.front(n), &post("/once/a", &format!("o{n}")))
                .await
                .unwrap();
            assert!(result.whole, "node {n} without node {lost}");
            assert_eq!(site.runs(&format!("o{n}")), 1);
        }
    }
}

#[tokio::test]
async fn a_planned_stop_ends_what_is_in_progress() {
    let site = Site::start(2, 1, 1).await;
    site.desks[0].plan(&[Behaviour::Silent]);
    let front = site.front(0);
    let waiting = tokio::spawn(async move { call(front, &post("/unsafe/a", "u1")).await });
    site.desks[0].await_arrivals(1).await;
    let stop = site.nodes[0].stop();
    tokio::pin!(stop);
    // The stop waits for the request, which ends at its route's timeout.
    let result = tokio::select! {
        result = waiting => result.unwrap().unwrap(),
        () = &mut stop => panic!("stopped with a request in progress"),
    };
    assert_eq!(result.status.map(|s| s.as_u16()), Some(504));
    assert!(result.whole);
    let ready = Call::new("GET", "/api/readyz", "", "");
    let result = call(site.readiness(0), &ready).await.unwrap();
    assert_eq!(result.status.map(|s| s.as_u16()), Some(503));
    assert_eq!(addresses(&site, 1).await, [site.front(1).to_string()]);
    let listed = site.store.keys("keyed.nodes");
    assert_eq!(listed.len(), 1, "{listed:?}");
}

#[tokio::test]
async fn nodes_that_do_not_read_the_store_follow_it() {
    let site = Site::start(3, 1, 1).await;
    for version in 2..6 {
        site.put_config(version, &[KEY], 1_000_000);
        for node in &site.nodes {
            node.await_config(version).await;
        }
    }
    site.list_runners("draining", 2);
    let name = site.desks[0].name().parse().unwrap();
    for node in &site.nodes {
        let mut changes = node.replica().watch();
        while node.replica().is_active(&name) {
            changes.changed().await.unwrap();
        }
    }
}

#[tokio::test]
async fn a_node_without_a_configuration_refuses_and_is_not_ready() {
    let mut site = Site::start(0, 1, 1).await;
    site.store.set_fault(rwd_lab::site::StoreFault::Busy);
    site.add_node(0).await;
    let result = site.call(&get("/safe/a", "s1")).await;
    assert_eq!(result.status.map(|s| s.as_u16()), Some(503));
    let ready = Call::new("GET", "/api/readyz", "", "");
    let result = call(site.readiness(0), &ready).await.unwrap();
    assert_eq!(result.status.map(|s| s.as_u16()), Some(503));
    site.store.set_fault(rwd_lab::site::StoreFault::None);
    site.nodes[0].await_ready().await;
    let result = call(site.readiness(0), &ready).await.unwrap();
    assert_eq!(result.status.map(|s| s.as_u16()), Some(200));
}

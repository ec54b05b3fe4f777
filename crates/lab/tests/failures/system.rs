//! Platform outages, racing operators, nodes that join and fail.

use crate::helper::{caller, caller_in_zone, completion, start_cluster, wait_until};
use rwd_control::Edit;
use rwd_lab::RequestOutcome;
use rwd_lab::fake::FaultSettings;
use rwd_types::PresetName;
use std::sync::Arc;
use tokio::task::JoinSet;

const ORDINARY: Edit = Edit::Preset {
    name: PresetName::Ordinary,
};
const PEAK: Edit = Edit::Preset {
    name: PresetName::Peak,
};

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_and_publishing_fails_while_the_platform_is_unavailable() {
    let mut cluster = start_cluster().await;
    let down = FaultSettings {
        down: true,
        ..FaultSettings::default()
    };
    cluster.log.faults().set(down.clone());
    cluster.instances.faults().set(down);
    let before = cluster.nodes[0].node().unwrap().revision();
    assert!(cluster.publish(&ORDINARY).await.is_err());
    let record = caller(&cluster).run(completion("away", 5)).await;
    assert_eq!(record.outcome, RequestOutcome::Complete);
    cluster.log.faults().set(FaultSettings::default());
    cluster.instances.faults().set(FaultSettings::default());
    // The refused change is not applied later, but a new one is.
    let revision = cluster.publish(&PEAK).await.unwrap();
    assert_eq!(revision, before.0 + 1);
    cluster.wait_for_revision().await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_started_while_the_log_is_unavailable_gets_the_configuration_from_its_peers() {
    let mut cluster = start_cluster().await;
    let down = FaultSettings {
        down: true,
        ..FaultSettings::default()
    };
    cluster.log.faults().set(down);
    cluster.nodes[2].kill();
    cluster.start_node(2).await.unwrap();
    cluster.wait_for_revision().await.unwrap();
    let node = cluster.nodes[2].node().unwrap();
    wait_until("the node sees all members", || {
        node.watch_members().borrow().members.len() == 3
    })
    .await;
    let record = caller(&cluster).run(completion("joined", 5)).await;
    assert_eq!(record.outcome, RequestOutcome::Complete);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_started_after_log_retention_gets_the_configuration() {
    let mut cluster = start_cluster().await;
    for preset in [ORDINARY, PEAK, ORDINARY] {
        cluster.publish(&preset).await.unwrap();
    }
    cluster.log.retain(0);
    cluster.nodes[1].kill();
    cluster.start_node(1).await.unwrap();
    cluster.wait_for_revision().await.unwrap();
    // Old and new nodes reach the same outcome for the next change.
    cluster.publish(&PEAK).await.unwrap();
    cluster.wait_for_revision().await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_log_does_not_revert_the_configuration() {
    let mut cluster = start_cluster().await;
    for preset in [ORDINARY, PEAK, ORDINARY] {
        cluster.publish(&preset).await.unwrap();
    }
    cluster.wait_for_revision().await.unwrap();
    cluster.log.truncate(2);
    let revision = cluster.publish(&PEAK).await.unwrap();
    assert_eq!(revision, 5);
    cluster.wait_for_revision().await.unwrap();
    // The log contains a snapshot from which a new reader gets the active configuration.
    wait_until("the log contains a snapshot", || {
        cluster
            .log
            .records(rwd_control::CONFIG_STREAM)
            .iter()
            .any(|r| r.contains("\"snapshot\""))
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn racing_operators_have_one_winner_per_revision() {
    let cluster = start_cluster().await;
    let before = cluster.nodes[0].node().unwrap().revision().0;
    let mut publishing = JoinSet::new();
    for (i, handle) in cluster.nodes.iter().enumerate() {
        let control = handle.node().unwrap().control().clone();
        publishing.spawn(async move {
            let id = rwd_control::PublishId(format!("race-{i}").into());
            let by = format!("operator-{i}").into();
            let base = Some(rwd_types::Revision(before));
            control.publish(id, by, base, &ORDINARY).await
        });
    }
    let mut won = 0;
    while let Some(result) = publishing.join_next().await {
        match result.unwrap() {
            Ok(published) => {
                assert_eq!(published.revision.0, before + 1);
                won += 1;
            }
            Err(rwd_control::Error::Conflict { winner, .. }) => {
                assert!(winner.starts_with("operator-"), "{winner}");
            }
            Err(e) => panic!("{e}"),
        }
    }
    assert_eq!(won, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_scheduler_fails_no_request_of_another_home_node() {
    let mut cluster = start_cluster().await;
    let caller = Arc::new(caller(&cluster));
    let mut running = JoinSet::new();
    for i in 0..12 {
        let caller = caller.clone();
        running.spawn(async move { caller.run(completion(&format!("s{i}"), 80)).await });
    }
    wait_until("all requests have started", || {
        let runs = cluster.ledger.all();
        runs.len() == 12 && runs.values().flatten().all(|r| r.started.is_some())
    })
    .await;
    // The caller is in the zone of n0, so neither n1 nor n2 is the home node of its requests; any
    // of the three nodes may own the engines.
    cluster.nodes[1].kill();
    cluster.nodes[2].kill();
    while let Some(record) = running.join_next().await {
        assert_eq!(record.unwrap().outcome, RequestOutcome::Complete);
    }
    let record = caller.run(completion("after", 5)).await;
    assert_eq!(record.outcome, RequestOutcome::Complete);
    assert!(cluster.ledger.counts().into_values().all(|runs| runs == 1));
}

// The owner of a target gets no message over a stalled link and must still release its slots.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_peer_links_leak_no_slot() {
    let cluster = start_cluster().await;
    let mut running = JoinSet::new();
    for zone in ["harju-a", "harju-b", "harju-c"] {
        let caller = Arc::new(caller_in_zone(&cluster, zone));
        for i in 0..4 {
            let caller = caller.clone();
            let spec = completion(&format!("{zone}{i}"), 150);
            running.spawn(async move { caller.run(spec).await });
        }
    }
    wait_until("all requests arrived", || cluster.ledger.all().len() == 12).await;
    for node in &cluster.nodes {
        node.relays().unwrap().1.stall();
    }
    while let Some(record) = running.join_next().await {
        assert_eq!(record.unwrap().outcome, RequestOutcome::Complete);
    }
    wait_until("all slots are free", || {
        let nodes = cluster.nodes.iter().filter_map(|n| n.node());
        let shards = nodes.flat_map(|n| n.status().shards);
        shards.flat_map(|s| s.targets).all(|t| t.in_flight == 0)
    })
    .await;
}

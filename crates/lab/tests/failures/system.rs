//! The platform fails, operators race, nodes come and go.

use crate::helper::{caller, caller_in, completion, system, until};
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
async fn requests_go_on_while_the_platform_is_away_and_publishing_is_refused() {
    let mut cluster = system().await;
    let down = FaultSettings {
        down: true,
        ..FaultSettings::default()
    };
    cluster.log.faults().set(down.clone());
    cluster.instances.faults().set(down);
    let before = cluster.nodes[0].node().unwrap().revision();
    assert!(cluster.publish(&ORDINARY).await.is_err());
    let record = caller(&cluster).run(completion("away", 5)).await;
    assert_eq!(record.outcome, RequestOutcome::Whole);
    cluster.log.faults().set(FaultSettings::default());
    cluster.instances.faults().set(FaultSettings::default());
    // What was refused is not applied later; what is published now is.
    let revision = cluster.publish(&PEAK).await.unwrap();
    assert_eq!(revision, before.0 + 1);
    cluster.wait_for_revision().await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_started_while_the_log_is_away_gets_the_configuration_from_its_peers() {
    let mut cluster = system().await;
    let down = FaultSettings {
        down: true,
        ..FaultSettings::default()
    };
    cluster.log.faults().set(down);
    cluster.nodes[2].kill();
    cluster.start_node(2).await.unwrap();
    cluster.wait_for_revision().await.unwrap();
    let node = cluster.nodes[2].node().unwrap();
    until("it sees the others", || {
        node.watch_members().borrow().members.len() == 3
    })
    .await;
    let record = caller(&cluster).run(completion("joined", 5)).await;
    assert_eq!(record.outcome, RequestOutcome::Whole);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_started_after_retention_ate_the_log_gets_the_configuration_too() {
    let mut cluster = system().await;
    for preset in [ORDINARY, PEAK, ORDINARY] {
        cluster.publish(&preset).await.unwrap();
    }
    cluster.log.retain(0);
    cluster.nodes[1].kill();
    cluster.start_node(1).await.unwrap();
    cluster.wait_for_revision().await.unwrap();
    // The next change is judged alike by old and new nodes.
    cluster.publish(&PEAK).await.unwrap();
    cluster.wait_for_revision().await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_log_that_comes_back_shorter_reverts_nothing() {
    let mut cluster = system().await;
    for preset in [ORDINARY, PEAK, ORDINARY] {
        cluster.publish(&preset).await.unwrap();
    }
    cluster.wait_for_revision().await.unwrap();
    cluster.log.truncate(2);
    let revision = cluster.publish(&PEAK).await.unwrap();
    assert_eq!(revision, 5);
    cluster.wait_for_revision().await.unwrap();
    // The log leads a new reader to the state in force.
    until("a snapshot stands in the log", || {
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
    let cluster = system().await;
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
async fn a_scheduler_that_dies_costs_no_request_of_another_home() {
    let mut cluster = system().await;
    let caller = Arc::new(caller(&cluster));
    let mut running = JoinSet::new();
    for i in 0..12 {
        let caller = caller.clone();
        running.spawn(async move { caller.run(completion(&format!("s{i}"), 80)).await });
    }
    until("all have begun", || {
        let runs = cluster.ledger.all();
        runs.len() == 12 && runs.values().flatten().all(|r| r.started.is_some())
    })
    .await;
    // The caller is near n0, so n1 and n2 hold none of its requests; one of them may own the
    // engines, and so may n0.
    cluster.nodes[1].kill();
    cluster.nodes[2].kill();
    while let Some(record) = running.join_next().await {
        assert_eq!(record.unwrap().outcome, RequestOutcome::Whole);
    }
    let record = caller.run(completion("after", 5)).await;
    assert_eq!(record.outcome, RequestOutcome::Whole);
    assert!(cluster.ledger.counts().into_values().all(|runs| runs == 1));
}

// The owner's side of a silent link hears nothing either, and must not count its slots for ever.
#[tokio::test(flavor = "multi_thread")]
async fn silent_peer_links_leak_no_slot() {
    let cluster = system().await;
    let mut running = JoinSet::new();
    for zone in ["harju-a", "harju-b", "harju-c"] {
        let caller = Arc::new(caller_in(&cluster, zone));
        for i in 0..4 {
            let caller = caller.clone();
            let spec = completion(&format!("{zone}{i}"), 150);
            running.spawn(async move { caller.run(spec).await });
        }
    }
    until("all have begun", || cluster.ledger.all().len() == 12).await;
    for node in &cluster.nodes {
        node.relays().unwrap().1.silence();
    }
    while let Some(record) = running.join_next().await {
        assert_eq!(record.unwrap().outcome, RequestOutcome::Whole);
    }
    until("all slots are free", || {
        let nodes = cluster.nodes.iter().filter_map(|n| n.node());
        let shards = nodes.flat_map(|n| n.status().shards);
        shards.flat_map(|s| s.targets).all(|t| t.in_flight == 0)
    })
    .await;
}

//! Requests with broken connections, lost responses or duplicates.

use crate::helper::{
    addresses, caller, completion, confirm, new_key, running_stream, service_runs, start_cluster,
    wait_until,
};
use rwd_lab::fake::FaultSettings;
use rwd_lab::{RequestKind, RequestOutcome, RequestSpec};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_on_a_stalled_connection_is_resumed_and_complete() {
    let cluster = start_cluster().await;
    let running = running_stream(&cluster, "silent", 120).await;
    for engine in 0..2 {
        cluster.engine_relay(engine).unwrap().stall();
    }
    let record = running.await.unwrap();
    assert_eq!(
        (record.outcome, record.tokens),
        (RequestOutcome::Complete, 120)
    );
    assert_eq!(
        cluster.ledger.counts().into_values().collect::<Vec<_>>(),
        [1]
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_engine_response_is_fetched_without_a_second_run() {
    let cluster = start_cluster().await;
    for engine in &cluster.engines {
        engine.faults().set(FaultSettings {
            lose_answers: 1,
            ..FaultSettings::default()
        });
    }
    let record = caller(&cluster).run(completion("lost", 10)).await;
    assert_eq!(record.outcome, RequestOutcome::Complete);
    assert_eq!(
        cluster.ledger.counts().into_values().collect::<Vec<_>>(),
        [1]
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_service_response_is_retried_only_for_idempotent_calls() {
    let cluster = start_cluster().await;
    let lose_next = || {
        let faults = FaultSettings {
            lose_answers: 1,
            ..FaultSettings::default()
        };
        cluster.services[0].faults().set(faults);
    };
    let lookup = RequestSpec {
        pool: "booking",
        kind: RequestKind::Service {
            path: "lookup",
            idempotent: true,
        },
        ..completion("lookup", 1)
    };
    lose_next();
    let record = caller(&cluster).run(lookup).await;
    assert_eq!(record.outcome, RequestOutcome::Complete);
    assert_eq!(service_runs(&cluster), 2);
    let (key, home, _) = new_key(&cluster, "harju-a").await;
    lose_next();
    for node in [home, (home + 1) % 3, (home + 2) % 3, home] {
        let response = confirm(cluster.nodes[node].http, &key).await;
        assert_eq!((response.status, response.ran()), (502, "unknown"));
    }
    assert_eq!(service_runs(&cluster), 3, "the call ran once");
}

#[tokio::test(flavor = "multi_thread")]
async fn one_key_sent_to_all_nodes_at_the_same_time_runs_once() {
    let cluster = start_cluster().await;
    for round in 0..5 {
        let (key, _, _) = new_key(&cluster, "harju-b").await;
        let mut calls = JoinSet::new();
        for i in 0..9 {
            let (node, key) = (cluster.nodes[i % 3].http, key.clone());
            calls.spawn(async move { confirm(node, &key).await });
        }
        while let Some(response) = calls.join_next().await {
            let response = response.unwrap();
            assert_eq!(
                (response.status, &response.body["run"]),
                (200, &1.into()),
                "{response:?}"
            );
        }
        assert_eq!(service_runs(&cluster), round + 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_without_its_witness_does_not_run_and_reports_so() {
    let mut cluster = start_cluster().await;
    let (key, home, witness) = new_key(&cluster, "harju-a").await;
    assert_ne!(home, witness);
    cluster.nodes[witness].kill();
    let response = confirm(cluster.nodes[home].http, &key).await;
    assert_eq!((response.status, response.ran()), (503, "no"));
    // The refusal still holds when the caller retries.
    let retry = confirm(cluster.nodes[home].http, &key).await;
    assert_eq!(retry.ran(), "no");
    assert_eq!(service_runs(&cluster), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_witness_does_not_vouch_for_its_earlier_incarnation() {
    let mut cluster = start_cluster().await;
    let (key, home, witness) = new_key(&cluster, "harju-a").await;
    cluster.nodes[witness].kill();
    cluster.start_node(witness).await.unwrap();
    cluster.wait_for_revision().await.unwrap();
    let response = confirm(cluster.nodes[home].http, &key).await;
    assert_eq!(response.ran(), "no", "{response:?}");
    cluster.nodes[home].kill();
    let other = 3 - home - witness;
    let after = confirm(cluster.nodes[other].http, &key).await;
    assert_eq!(after.ran(), "unknown", "{after:?}");
    assert_eq!(service_runs(&cluster), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_home_node_killed_before_dispatch_lets_its_witness_prove_that_nothing_ran() {
    let mut cluster = start_cluster().await;
    let (key, home, witness) = new_key(&cluster, "harju-c").await;
    cluster.nodes[home].kill();
    let other = 3 - home - witness;
    for node in [other, witness] {
        let response = confirm(cluster.nodes[node].http, &key).await;
        assert_eq!(response.ran(), "no", "{response:?}");
    }
    assert_eq!(service_runs(&cluster), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_home_node_killed_after_dispatch_leaves_the_outcome_unknown() {
    let mut cluster = start_cluster().await;
    cluster.services[0].faults().set(FaultSettings {
        slow: 1000.0,
        ..FaultSettings::default()
    });
    let (key, home, witness) = new_key(&cluster, "harju-c").await;
    let call = tokio::spawn({
        let (node, key) = (cluster.nodes[home].http, key.clone());
        async move { confirm(node, &key).await }
    });
    wait_until("the call has reached the service", || {
        service_runs(&cluster) == 1
    })
    .await;
    cluster.nodes[home].kill();
    call.abort();
    for node in [3 - home - witness, witness] {
        let response = confirm(cluster.nodes[node].http, &key).await;
        assert_eq!(response.ran(), "unknown", "{response:?}");
    }
    assert_eq!(service_runs(&cluster), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_thawed_home_node_cannot_run_a_key_that_its_witness_closed() {
    let mut cluster = start_cluster().await;
    let (key, home, witness) = new_key(&cluster, "harju-a").await;
    cluster.nodes[home].freeze();
    let other = 3 - home - witness;
    let closed = confirm(cluster.nodes[other].http, &key).await;
    assert_eq!(closed.ran(), "no", "{closed:?}");
    cluster.nodes[home].thaw();
    let late = confirm(cluster.nodes[home].http, &key).await;
    assert_eq!(late.ran(), "no", "{late:?}");
    assert_eq!(service_runs(&cluster), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_on_a_stalled_connection_resumes_over_a_new_one() {
    let cluster = start_cluster().await;
    let running = running_stream(&cluster, "reader", 150).await;
    for node in &cluster.nodes {
        let (http, peer) = node.relays().unwrap();
        http.stall();
        peer.stall();
    }
    let record = running.await.unwrap();
    assert_eq!(
        (record.outcome, record.tokens),
        (RequestOutcome::Complete, 150)
    );
    assert_eq!(
        cluster.ledger.counts().into_values().collect::<Vec<_>>(),
        [1]
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn with_an_unreachable_target_requests_complete_or_end_unknown() {
    let mut cluster = start_cluster().await;
    // Nothing listens at its address any more, but the configuration still lists it.
    drop(cluster.engines.remove(0));
    let caller = Arc::new(caller(&cluster));
    let mut running = JoinSet::new();
    for i in 0..10 {
        let caller = caller.clone();
        running.spawn(async move { caller.run(completion(&format!("r{i}"), 5)).await });
    }
    while let Some(record) = running.join_next().await {
        let outcome = record.unwrap().outcome;
        // The relay in front of the engine accepts the connection and then closes it, so it is
        // unknown whether anything reached the engine.
        assert!(
            matches!(
                outcome,
                RequestOutcome::Complete | RequestOutcome::Unknown { .. }
            ),
            "{outcome:?}"
        );
    }
    let record = caller.run(completion("later", 5)).await;
    assert_eq!(record.outcome, RequestOutcome::Complete);
    assert!(cluster.ledger.counts().into_values().all(|runs| runs == 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn addresses_prefer_the_callers_zone_and_omit_leaving_nodes() {
    let mut cluster = start_cluster().await;
    for (zone, node) in [("harju-a", 0), ("harju-b", 1), ("harju-c", 2)] {
        let value = addresses(cluster.nodes[0].http, zone).await;
        assert_eq!(value["addresses"][0], cluster.nodes[node].http.to_string());
        assert_eq!(value["addresses"].as_array().unwrap().len(), 3);
    }
    let edit = rwd_control::Edit::Drain {
        name: "n1".into(),
        on: true,
    };
    cluster.publish(&edit).await.unwrap();
    cluster.wait_for_revision().await.unwrap();
    let value = addresses(cluster.nodes[0].http, "harju-b").await;
    let left: Vec<_> = value["addresses"].as_array().unwrap().clone();
    assert_eq!(left.len(), 2);
    assert!(!left.contains(&cluster.nodes[1].http.to_string().into()));
    // The leaving node still serves callers that know its address.
    let record = caller(&cluster)
        .run(RequestSpec {
            deadline: Duration::from_secs(20),
            ..completion("held", 5)
        })
        .await;
    assert_eq!(record.outcome, RequestOutcome::Complete);
}

#[tokio::test(flavor = "multi_thread")]
async fn without_an_active_target_a_request_waits_and_does_not_run() {
    let mut cluster = start_cluster().await;
    for name in ["e0", "e1"] {
        let edit = rwd_control::Edit::Drain {
            name: name.into(),
            on: true,
        };
        cluster.publish(&edit).await.unwrap();
    }
    cluster.wait_for_revision().await.unwrap();
    let short = RequestSpec {
        deadline: Duration::from_secs(1),
        ..completion("none", 5)
    };
    let record = caller(&cluster).run(short).await;
    assert!(
        matches!(record.outcome, RequestOutcome::NotRun { .. }),
        "{:?}",
        record.outcome
    );
    // Once a target is active again, the waiting request is served.
    let running = tokio::spawn({
        let caller = caller(&cluster);
        async move { caller.run(completion("waits", 5)).await }
    });
    let edit = rwd_control::Edit::Drain {
        name: "e1".into(),
        on: false,
    };
    cluster.publish(&edit).await.unwrap();
    assert_eq!(running.await.unwrap().outcome, RequestOutcome::Complete);
    let runs = cluster.ledger.all();
    assert!(runs.values().flatten().all(|r| r.target == "e1"));
    assert_eq!(runs.len(), 1);
}

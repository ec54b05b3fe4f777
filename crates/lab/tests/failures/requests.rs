//! Requests whose way is cut, whose answer is lost, or that come more than once.

use crate::helper::{
    addresses, caller, completion, confirm, key_of, running_stream, service_runs, system, until,
};
use rwd_lab::fake::FaultSettings;
use rwd_lab::{RequestKind, RequestOutcome, RequestSpec};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_connection_goes_silent_is_resumed_and_whole() {
    let cluster = system().await;
    let running = running_stream(&cluster, "silent", 120).await;
    for engine in 0..2 {
        cluster.engine_relay(engine).unwrap().silence();
    }
    let record = running.await.unwrap();
    assert_eq!(
        (record.outcome, record.tokens),
        (RequestOutcome::Whole, 120)
    );
    assert_eq!(
        cluster.ledger.counts().into_values().collect::<Vec<_>>(),
        [1]
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_of_an_engine_is_fetched_and_not_run_again() {
    let cluster = system().await;
    for engine in &cluster.engines {
        engine.faults().set(FaultSettings {
            lose_answers: 1,
            ..FaultSettings::default()
        });
    }
    let record = caller(&cluster).run(completion("lost", 10)).await;
    assert_eq!(record.outcome, RequestOutcome::Whole);
    assert_eq!(
        cluster.ledger.counts().into_values().collect::<Vec<_>>(),
        [1]
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_of_a_service_is_repeated_only_if_that_is_allowed() {
    let cluster = system().await;
    let lose = || {
        let faults = FaultSettings {
            lose_answers: 1,
            ..FaultSettings::default()
        };
        cluster.services[0].faults().set(faults);
    };
    let lookup = RequestSpec {
        pool: "booking",
        shape: RequestKind::Service {
            path: "lookup",
            idempotent: true,
        },
        ..completion("lookup", 1)
    };
    lose();
    let record = caller(&cluster).run(lookup).await;
    assert_eq!(record.outcome, RequestOutcome::Whole);
    assert_eq!(service_runs(&cluster), 2);
    let (key, home, _) = key_of(&cluster, "harju-a").await;
    lose();
    for node in [home, (home + 1) % 3, (home + 2) % 3, home] {
        let reply = confirm(cluster.nodes[node].http, &key).await;
        assert_eq!((reply.status, reply.ran()), (502, "unknown"));
    }
    assert_eq!(service_runs(&cluster), 3, "the call acted once");
}

#[tokio::test(flavor = "multi_thread")]
async fn one_key_sent_to_all_nodes_at_the_same_time_runs_once() {
    let cluster = system().await;
    for round in 0..5 {
        let (key, _, _) = key_of(&cluster, "harju-b").await;
        let mut calls = JoinSet::new();
        for i in 0..9 {
            let (node, key) = (cluster.nodes[i % 3].http, key.clone());
            calls.spawn(async move { confirm(node, &key).await });
        }
        while let Some(reply) = calls.join_next().await {
            let reply = reply.unwrap();
            assert_eq!(
                (reply.status, &reply.body["run"]),
                (200, &1.into()),
                "{reply:?}"
            );
        }
        assert_eq!(service_runs(&cluster), round + 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn without_its_witness_a_call_is_not_run_and_says_so() {
    let mut cluster = system().await;
    let (key, home, witness) = key_of(&cluster, "harju-a").await;
    assert_ne!(home, witness);
    cluster.nodes[witness].kill();
    let reply = confirm(cluster.nodes[home].http, &key).await;
    assert_eq!((reply.status, reply.ran()), (503, "no"));
    // The refusal stays true when the caller tries again.
    let again = confirm(cluster.nodes[home].http, &key).await;
    assert_eq!(again.ran(), "no");
    assert_eq!(service_runs(&cluster), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_witness_does_not_vouch_for_its_earlier_life() {
    let mut cluster = system().await;
    let (key, home, witness) = key_of(&cluster, "harju-a").await;
    cluster.nodes[witness].kill();
    cluster.start_node(witness).await.unwrap();
    cluster.wait_for_revision().await.unwrap();
    let reply = confirm(cluster.nodes[home].http, &key).await;
    assert_eq!(reply.ran(), "no", "{reply:?}");
    cluster.nodes[home].kill();
    let other = 3 - home - witness;
    let after = confirm(cluster.nodes[other].http, &key).await;
    assert_eq!(after.ran(), "unknown", "{after:?}");
    assert_eq!(service_runs(&cluster), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_home_killed_before_dispatch_lets_its_witness_prove_that_nothing_ran() {
    let mut cluster = system().await;
    let (key, home, witness) = key_of(&cluster, "harju-c").await;
    cluster.nodes[home].kill();
    let other = 3 - home - witness;
    for node in [other, witness] {
        let reply = confirm(cluster.nodes[node].http, &key).await;
        assert_eq!(reply.ran(), "no", "{reply:?}");
    }
    assert_eq!(service_runs(&cluster), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_home_killed_after_dispatch_leaves_the_truth_unknown() {
    let mut cluster = system().await;
    cluster.services[0].faults().set(FaultSettings {
        slow: 1000.0,
        ..FaultSettings::default()
    });
    let (key, home, witness) = key_of(&cluster, "harju-c").await;
    let call = tokio::spawn({
        let (node, key) = (cluster.nodes[home].http, key.clone());
        async move { confirm(node, &key).await }
    });
    until("the call has reached the service", || {
        service_runs(&cluster) == 1
    })
    .await;
    cluster.nodes[home].kill();
    call.abort();
    for node in [3 - home - witness, witness] {
        let reply = confirm(cluster.nodes[node].http, &key).await;
        assert_eq!(reply.ran(), "unknown", "{reply:?}");
    }
    assert_eq!(service_runs(&cluster), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_home_that_wakes_cannot_run_what_its_witness_closed() {
    let mut cluster = system().await;
    let (key, home, witness) = key_of(&cluster, "harju-a").await;
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
async fn a_caller_whose_connection_goes_silent_reads_on_over_a_new_one() {
    let cluster = system().await;
    let running = running_stream(&cluster, "reader", 150).await;
    for node in &cluster.nodes {
        let (http, peer) = node.relays().unwrap();
        http.silence();
        peer.silence();
    }
    let record = running.await.unwrap();
    assert_eq!(
        (record.outcome, record.tokens),
        (RequestOutcome::Whole, 150)
    );
    assert_eq!(
        cluster.ledger.counts().into_values().collect::<Vec<_>>(),
        [1]
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_cannot_be_reached_costs_no_request() {
    let mut cluster = system().await;
    // Its listener is gone; the configuration still names it.
    drop(cluster.engines.remove(0));
    let caller = Arc::new(caller(&cluster));
    let mut running = JoinSet::new();
    for i in 0..10 {
        let caller = caller.clone();
        running.spawn(async move { caller.run(completion(&format!("r{i}"), 5)).await });
    }
    while let Some(record) = running.join_next().await {
        let outcome = record.unwrap().outcome;
        // A relay stands before the engine, so that the connection opens and then breaks: whether
        // anything reached the engine cannot be known.
        assert!(
            matches!(
                outcome,
                RequestOutcome::Whole | RequestOutcome::Unknown { .. }
            ),
            "{outcome:?}"
        );
    }
    let record = caller.run(completion("later", 5)).await;
    assert_eq!(record.outcome, RequestOutcome::Whole);
    assert!(cluster.ledger.counts().into_values().all(|runs| runs == 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn addresses_prefer_the_zone_and_leave_out_leaving_nodes() {
    let mut cluster = system().await;
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
    // Callers that still hold its address are served.
    let record = caller(&cluster)
        .run(RequestSpec {
            deadline: Duration::from_secs(20),
            ..completion("held", 5)
        })
        .await;
    assert_eq!(record.outcome, RequestOutcome::Whole);
}

#[tokio::test(flavor = "multi_thread")]
async fn without_a_staying_target_a_request_waits_and_is_not_run() {
    let mut cluster = system().await;
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
    // The mark is taken back, and what waits is served.
    let running = tokio::spawn({
        let caller = caller(&cluster);
        async move { caller.run(completion("waits", 5)).await }
    });
    let edit = rwd_control::Edit::Drain {
        name: "e1".into(),
        on: false,
    };
    cluster.publish(&edit).await.unwrap();
    assert_eq!(running.await.unwrap().outcome, RequestOutcome::Whole);
    let runs = cluster.ledger.all();
    assert!(runs.values().flatten().all(|r| r.target == "e1"));
    assert_eq!(runs.len(), 1);
}

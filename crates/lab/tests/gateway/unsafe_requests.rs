//! Requests that may run once only, and the responses after which one could be sent again.

use crate::helper::{TestCluster, post};
use rwd_lab::site::{Behaviour, CallResult, Late, call, server_record};
use std::time::Duration;
use tokio::task::JoinSet;

/// Requests that are sent one after the other, while connections are kept.
const REQUESTS: usize = 6;
/// How often a target is started again at the address of another one.
const RESTARTS: usize = 10;
/// Requests that are sent at the same time, more than one target has slots for.
const CALLERS: usize = 12;

// Sends requests one after the other to two targets that treat each as `behaviour` says.
async fn check(behaviour: Behaviour, path: &str) {
    let cluster = TestCluster::start(1, 2, 2).await;
    for target in cluster.desk_targets.iter().chain(&cluster.model_targets) {
        target.script(&[behaviour; 2 * REQUESTS]);
    }
    for n in 0..REQUESTS {
        let id = format!("u{n}");
        let result = cluster.call(&post(path, &id)).await;
        check_request(&cluster, behaviour, path, &id, &result);
    }
}

fn check_request(
    cluster: &TestCluster,
    behaviour: Behaviour,
    path: &str,
    id: &str,
    result: &CallResult,
) {
    let status = result.status.map(|s| s.as_u16());
    let runs = cluster.runs(id);
    let what = format!("{behaviour:?}, {path}: {id} got {status:?}");
    assert!(runs <= 1, "{what} and ran {runs} times");
    assert!(
        runs == 0 || !matches!(status, Some(408 | 421 | 429 | 503)),
        "{what} and ran"
    );
}

async fn check_all(behaviours: impl IntoIterator<Item = Behaviour>) {
    for behaviour in behaviours {
        for path in ["/unsafe/a", "/once/a"] {
            check(behaviour, path).await;
        }
    }
}

/// Guards against a refusal without an id that follows a complete response on a kept connection and is
/// taken for the response to the next request.
#[tokio::test]
async fn a_late_refusal_of_no_request_makes_no_request_run_twice() {
    let refusals = [
        "503 Service Unavailable\r\nNot-Run: 1\r\n",
        "429 Too Many Requests\r\nNot-Run: 1\r\n",
        "400 Bad Request\r\nNot-Run: 1\r\n",
        "421 Misdirected Request\r\nInstance-Id: other\r\n",
        "503 Service Unavailable\r\nNot-Run: 1\r\nRequest-Id: ID\r\n",
    ];
    check_all(refusals.map(Behaviour::RespondThenRefuse)).await;
}

/// Guards against a late refusal on which a request that may be repeated, and that ran, is reported as not
/// run.
#[tokio::test]
async fn a_late_refusal_does_not_report_a_repeatable_request_as_not_run() {
    let refusal = "503 Service Unavailable\r\nNot-Run: 1\r\n";
    for behaviour in [Behaviour::RespondThenRefuse, Behaviour::RefuseTwice].map(|b| b(refusal)) {
        for path in ["/safe/a", "/resume/a"] {
            let cluster = TestCluster::start(1, 1, 1).await;
            for target in cluster.desk_targets.iter().chain(&cluster.model_targets) {
                target.script(&[behaviour, Behaviour::Respond].repeat(REQUESTS));
            }
            for n in 0..REQUESTS {
                let id = format!("u{n}");
                let result = cluster.call(&post(path, &id)).await;
                let status = result.status.map(|s| s.as_u16());
                assert!(
                    cluster.runs(&id) == 0 || status != Some(503),
                    "{behaviour:?}, {path}: {id} ran and got 503"
                );
            }
        }
    }
}

/// Guards against responses that say both that the request ran and that it did not, or name several
/// requests, and are taken for refusals.
#[tokio::test]
async fn a_response_that_contradicts_itself_makes_no_request_run_twice() {
    let claims = [
        "200 OK\r\nRequest-Id: ID\r\nSeal: s\r\nNot-Run: 1\r\n",
        "204 No Content\r\nRequest-Id: ID\r\nNot-Run: 1\r\n",
        "500 Internal Server Error\r\nRequest-Id: ID\r\nNot-Run: 1\r\n",
        "504 Gateway Timeout\r\nRequest-Id: ID\r\nNot-Run: 1\r\n",
        "503 Service Unavailable\r\nRequest-Id: ID\r\nRequest-Id: other\r\nNot-Run: 1\r\n",
        "503 Service Unavailable\r\nRequest-Id: other\r\nRequest-Id: ID\r\nNot-Run: 1\r\n",
    ];
    check_all(claims.map(Behaviour::Claim)).await;
}

/// Guards against a refusal with a receipt, or with a status that no refusal has, that is believed though
/// the request ran.
#[tokio::test]
async fn a_refusal_that_no_target_sends_makes_no_request_run_twice() {
    let claims = [
        "503 Service Unavailable\r\nRequest-Id: ID\r\nSeal: s\r\nNot-Run: 1\r\n",
        "429 Too Many Requests\r\nRequest-Id: ID\r\nSeal: s\r\nNot-Run: 1\r\n",
        "421 Misdirected Request\r\nRequest-Id: ID\r\nSeal: s\r\nInstance-Id: other\r\n",
        "421 Misdirected Request\r\nRequest-Id: ID\r\nInstance-Id: SELF\r\n",
        "421 Misdirected Request\r\nRequest-Id: ID\r\n",
        "404 Not Found\r\nRequest-Id: ID\r\nNot-Run: 1\r\n",
        "408 Request Timeout\r\nRequest-Id: ID\r\nNot-Run: 1\r\n",
    ];
    check_all(claims.map(Behaviour::Claim)).await;
}

/// Guards against a refusal without an id that comes first on a new connection and is taken for the
/// response to its first request.
#[tokio::test]
async fn a_refusal_sent_again_on_the_next_connection_makes_no_request_run_twice() {
    let refusals = [
        "503 Service Unavailable\r\nNot-Run: 1",
        "429 Too Many Requests\r\nNot-Run: 1",
        "400 Bad Request\r\nNot-Run: 1",
        "421 Misdirected Request\r\nInstance-Id: other",
    ];
    for refusal in refusals.map(Behaviour::Refuse) {
        for path in ["/unsafe/a", "/once/a"] {
            let cluster = TestCluster::start(1, 2, 2).await;
            for target in cluster.desk_targets.iter().chain(&cluster.model_targets) {
                target.script(&[refusal, Behaviour::Respond].repeat(REQUESTS));
                target.repeat_refusals(Some(Late::NextConnection));
            }
            for n in 0..2 * REQUESTS {
                let id = format!("u{n}");
                let result = cluster.call(&post(path, &id)).await;
                check_request(&cluster, refusal, path, &id, &result);
            }
        }
    }
}

/// Guards against a second copy of a refusal that names its request, when that is sent again on the same
/// connection: to a target that was started again at the address of the one that refused.
#[tokio::test]
async fn a_refusal_sent_again_by_a_restarted_target_makes_no_request_run_twice() {
    for place in [Late::SameConnection, Late::NextConnection] {
        let cluster = TestCluster::start(1, 2, 0).await;
        let restarted = &cluster.desk_targets[0];
        restarted.accept_only(restarted.name());
        restarted.repeat_refusals(Some(place));
        // The targets are busy, so that the old one is tried too.
        for target in &cluster.desk_targets {
            target.set_work_time(Duration::from_millis(40));
        }
        let mut requests = 0;
        for n in 0..RESTARTS {
            let old = format!("old-{n}");
            let record = server_record("desk", restarted.address(), "ready", 1);
            cluster.store.put("keyed.servers", &old, Some(&record));
            let is_reached = || {
                let arrivals = restarted.arrivals();
                let expected = arrivals.iter().map(|a| a.header("expect-instance"));
                expected.into_iter().any(|e| e == Some(&old))
            };
            while !is_reached() {
                let mut calls = JoinSet::new();
                for _ in 0..CALLERS {
                    requests += 1;
                    let (id, addr) = (format!("u{requests}"), cluster.request_addr(0));
                    calls.spawn(async move {
                        let result = call(addr, &post("/unsafe/a", &id)).await;
                        (id, result.unwrap())
                    });
                }
                while let Some(done) = calls.join_next().await {
                    let (id, result) = done.unwrap();
                    check_request(&cluster, Behaviour::Misdirected, "/unsafe/a", &id, &result);
                }
            }
            cluster.store.put("keyed.servers", &old, None);
        }
    }
}

/// Guards against a status of a target that ran the request and that tells its caller it has not run.
#[tokio::test]
async fn a_status_that_promises_more_than_the_target_does_not_reach_the_caller() {
    let claims = [
        "503 Service Unavailable\r\nRequest-Id: ID\r\n",
        "503 Service Unavailable\r\nRequest-Id: ID\r\nSeal: s\r\n",
        "429 Too Many Requests\r\nRequest-Id: ID\r\nSeal: s\r\n",
        "408 Request Timeout\r\nRequest-Id: ID\r\n",
    ];
    check_all(claims.map(Behaviour::Claim)).await;
}

/// Guards against connections that end in or before a response and are taken for unsent requests.
#[tokio::test]
async fn a_connection_that_breaks_makes_no_request_run_twice() {
    check_all([
        Behaviour::Lost,
        Behaviour::Reset,
        Behaviour::RespondThenReset,
        Behaviour::Truncated,
        Behaviour::Garbage,
        Behaviour::Extra,
        Behaviour::WrongId,
        Behaviour::NoReceipt,
        Behaviour::Encoded,
        Behaviour::UnframedReset,
        Behaviour::UnframedCut,
        Behaviour::Fail,
    ])
    .await;
}

/// Guards against kept connections that targets reset at the moment when requests are sent on them.
#[tokio::test]
async fn targets_that_reset_kept_connections_under_load_run_no_request_twice() {
    let cluster = TestCluster::start(1, 3, 1).await;
    let plan = [
        Behaviour::Respond,
        Behaviour::RespondThenReset,
        Behaviour::Respond,
        Behaviour::Reset,
    ];
    for target in &cluster.desk_targets {
        for _ in 0..100 {
            target.script(&plan);
        }
    }
    let mut callers = tokio::task::JoinSet::new();
    for caller in 0..8 {
        let addr = cluster.request_addr(0);
        callers.spawn(async move {
            let mut results = Vec::new();
            for n in 0..50 {
                let id = format!("c{caller}-{n}");
                let result = rwd_lab::site::call(addr, &post("/unsafe/a", &id)).await;
                results.push((id, result.unwrap()));
            }
            results
        });
    }
    let mut reached = 0;
    while let Some(results) = callers.join_next().await {
        for (id, result) in results.unwrap() {
            reached += cluster.runs(&id);
            check_request(&cluster, Behaviour::Reset, "/unsafe/a", &id, &result);
        }
    }
    assert!(reached > 0);
}

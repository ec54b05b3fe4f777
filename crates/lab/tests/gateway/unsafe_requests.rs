//! Requests that may run once only, and the responses after which one could be sent again.

use crate::helper::{TestCluster, post};
use rwd_lab::site::{Behaviour, CallResult};

/// Requests that are sent one after the other, while connections are kept.
const REQUESTS: usize = 6;

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

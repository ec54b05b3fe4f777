//! Refusals that a target writes once more, when the connection has the next request.

use crate::helper::{TestCluster, get, post};
use rwd_lab::site::Behaviour;

/// Refusals as the platform's targets send them, with and without the id of their request.
const REFUSALS: [&str; 6] = [
    "503 Service Unavailable\r\nNot-Run: 1\r\n",
    "503 Service Unavailable\r\nNot-Run: 1\r\nRequest-Id: ID\r\n",
    "429 Too Many Requests\r\nNot-Run: 1\r\n",
    "421 Misdirected Request\r\nInstance-Id: other\r\n",
    "421 Misdirected Request\r\nInstance-Id: other\r\nRequest-Id: ID\r\n",
    "400 Bad Request\r\nNot-Run: 1\r\n",
];

// Sends pairs of requests, the first of which every target refuses, and checks what became of the
// second ones. These are sent at once, while the connections of the refusals are fresh.
async fn check(refusal: &'static str, desks: usize) {
    let cluster = TestCluster::start(1, desks, 1).await;
    for n in 0..2 {
        for target in &cluster.desk_targets {
            target.script(&[Behaviour::RefuseTwice(refusal)]);
        }
        let first = get("/safe/a", &format!("s{n}"));
        let addr = cluster.request_addr(0);
        let first = tokio::spawn(async move { rwd_lab::site::call(addr, &first).await });
        for target in &cluster.desk_targets {
            target.await_refusals(n + 1).await;
        }
        let id = format!("u{n}");
        let result = cluster.call(&post("/unsafe/a", &id)).await;
        first.await.unwrap().unwrap();
        let status = result.status.map(|s| s.as_u16());
        let runs = cluster.runs(&id);
        assert!(runs <= 1, "{refusal:?}: {id} ran {runs} times");
        assert!(
            runs == 0 || !matches!(status, Some(408 | 421 | 429 | 503)),
            "{refusal:?}: {id} got {status:?} and ran"
        );
    }
}

/// Guards against a repeated refusal that is taken for the answer to the next request: its caller is
/// told that it has not run.
#[tokio::test]
async fn a_refusal_sent_again_does_not_refuse_the_next_request() {
    for refusal in REFUSALS {
        check(refusal, 1).await;
    }
}

/// Guards against a repeated refusal on which the next request is sent to a second target.
#[tokio::test]
async fn a_refusal_sent_again_makes_no_request_run_twice() {
    for refusal in REFUSALS {
        check(refusal, 2).await;
    }
}

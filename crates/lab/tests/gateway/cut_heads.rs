//! Targets that stop in the middle of a response's head and close the connection.

use crate::helper::{TestCluster, post};
use rwd_lab::site::{Behaviour, STREAM_EVENTS};

/// Bytes at the end of the head that are missing: from within the last line end to within the status
/// line.
const MISSING: [usize; 12] = [1, 2, 3, 4, 5, 10, 20, 23, 30, 40, 50, 60];

// Sends requests to targets that cut the heads of their first responses.
async fn check(path: &str, missing: usize) {
    let cluster = TestCluster::start(1, 2, 2).await;
    for target in cluster.desk_targets.iter().chain(&cluster.model_targets) {
        target.script(&[Behaviour::CutHead(missing)]);
    }
    for n in 0..3 {
        let id = format!("u{n}");
        let result = cluster.call(&post(path, &id)).await;
        let events = (1..=STREAM_EVENTS).map(|n| format!("id: {n}\ndata: event {n}\n\n"));
        let whole = match path {
            "/safe/a" | "/unsafe/a" => format!("answer to {id}"),
            _ => events.collect(),
        };
        let passes = result.complete && result.status.is_some_and(|s| s.is_success());
        assert!(
            !passes || result.body == whole,
            "{path}, {missing} bytes missing: {result:?}"
        );
        let runs = cluster.runs(&id);
        assert!(runs <= 1 || path == "/safe/a" || path == "/resume/a");
    }
}

/// Guards against a stream that ends as complete when the target that resumes it cuts its head.
#[tokio::test]
async fn a_head_that_is_cut_does_not_complete_a_resumed_stream() {
    for missing in MISSING {
        let cluster = TestCluster::start(1, 1, 3).await;
        for target in &cluster.model_targets {
            target.script_resume(Behaviour::UnframedCut, Behaviour::CutHead(missing));
        }
        let result = cluster.call(&post("/resume/a", "u")).await;
        let whole = result.complete && result.status.is_some_and(|s| s.is_success());
        assert!(!whole, "{missing} bytes missing: {result:?}");
    }
}

/// Guards against a 200 with an empty or short body, framed as whole.
#[tokio::test]
async fn a_head_that_is_cut_becomes_no_complete_response() {
    for path in ["/safe/a", "/unsafe/a", "/resume/a", "/once/a"] {
        for missing in MISSING {
            check(path, missing).await;
        }
    }
}

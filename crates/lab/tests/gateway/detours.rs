//! Requests that another node passes on, and what happens when that node, the target or the caller is lost midway.

use crate::cut_path::Cut;
use crate::helper::{TestCluster, get, post};
use rwd_lab::site::{Behaviour, CallResult, LateReader, STREAM_EVENTS, call};
use std::time::Duration;

/// Longer than a test needs to end something while a target works.
const LONG_WORK: Duration = Duration::from_millis(1500);

/// Time limit of the callers of this module, in milliseconds.
const CALLER_TIMEOUT_MS: f64 = 3000.0;

fn status(result: &CallResult) -> Option<u16> {
    result.status.map(|s| s.as_u16())
}

fn stream() -> String {
    let events = (1..=STREAM_EVENTS).map(|id| format!("id: {id}\ndata: event {id}\n\n"));
    events.collect()
}

/// A cluster whose first node has no path to targets.
async fn start(nodes: u8, desks: usize, models: usize) -> TestCluster {
    let cluster = TestCluster::start(nodes, desks, models).await;
    cluster.paths[0].forward();
    cluster.paths[0].set(Cut::Silent);
    cluster
}

// The caller gets what the target wrote, once, and the target what the caller sent.
#[tokio::test]
async fn requests_and_responses_pass_unchanged() {
    let cluster = start(2, 1, 1).await;
    let body = "x".repeat(900);
    for n in 0..4 {
        let safe = cluster.call(&get("/safe/a?q=1", &format!("s{n}"))).await;
        assert_eq!(status(&safe), Some(200));
        assert_eq!(safe.body, format!("answer to s{n}"));
        let id = format!("u{n}");
        let req = post("/unsafe/a", &id).with_body(&body);
        assert_eq!(status(&cluster.call(&req).await), Some(200));
        assert_eq!(cluster.runs(&id), 1);
        let resumed = cluster.call(&post("/resume/a", &format!("r{n}"))).await;
        assert!(resumed.complete && resumed.body == stream(), "stream {n}");
    }
    for arrival in cluster.desk_targets[0].arrivals() {
        let left: f64 = arrival.header("deadline-ms").unwrap().parse().unwrap();
        assert!(left < CALLER_TIMEOUT_MS, "{left}");
        assert!(arrival.header("expect-instance").is_some());
    }
}

// What a target does is told apart as on a connection of the node's own.
#[tokio::test]
async fn faults_of_targets_are_seen_through_another_node() {
    use Behaviour::*;
    let cases = [
        (NotRun, 200, 1),
        (Misdirected, 200, 1),
        (Fail, 500, 1),
        (WrongId, 502, 1),
        (Lost, 502, 1),
        (Reset, 502, 1),
        (Truncated, 502, 1),
        (Garbage, 502, 1),
        (Unframed, 200, 1),
        (UnframedReset, 502, 1),
    ];
    for (fault, expected, max_runs) in cases {
        let cluster = start(2, 2, 0).await;
        cluster.desk_targets[0].script(&[fault]);
        let mut n = 0;
        while cluster.desk_targets[0].arrivals().is_empty() {
            n += 1;
            let id = format!("u{n}");
            let result = cluster.call(&post("/unsafe/a", &id)).await;
            let first = cluster.desk_targets[0].arrivals();
            if !first.is_empty() {
                assert_eq!(status(&result), Some(expected), "{fault:?}");
                assert!(expected != 200 || result.complete, "{fault:?}");
            }
            assert!(cluster.runs(&id) <= max_runs, "{fault:?}");
        }
    }
}

// TWICE and REFUSED: the hop is lost while a target works on a request that may run once.
#[tokio::test]
async fn a_request_that_may_run_once_is_not_sent_again_when_its_carrier_is_lost() {
    let mut cluster = start(3, 2, 0).await;
    cluster
        .desk_targets
        .iter()
        .for_each(|t| t.set_work_time(LONG_WORK));
    let (to, req) = (cluster.request_addr(0), post("/unsafe/a", "u1"));
    let pending = tokio::spawn(async move { call(to, &req).await });
    tokio::select! {
        () = cluster.desk_targets[0].await_arrivals(1) => (),
        () = cluster.desk_targets[1].await_arrivals(1) => (),
    }
    // Either of the others may carry it.
    drop(cluster.nodes.drain(1..));
    let result = pending.await.unwrap().unwrap();
    assert!(
        matches!(status(&result), Some(502 | 504)),
        "{:?}",
        result.status
    );
    assert_eq!(cluster.runs("u1"), 1);
}

// ORDER: a stream goes on after its last event when the hop is lost, and no piece is missing or doubled.
#[tokio::test]
async fn a_stream_goes_on_elsewhere_when_its_carrier_is_lost() {
    let mut cluster = start(3, 0, 2).await;
    for target in &cluster.model_targets {
        target.script_resume(Behaviour::Pause, Behaviour::Respond);
    }
    let mut caller = LateReader::open(cluster.request_addr(0), &post("/resume/a", "r1"))
        .await
        .unwrap();
    assert_eq!(caller.status(), "HTTP/1.1 200 OK");
    caller.read_up_to(1).await;
    drop(cluster.nodes.remove(1));
    let (body, complete) = caller.finish().await;
    let body = String::from_utf8_lossy(&body).into_owned();
    assert!(complete, "{body}");
    for id in 1..=STREAM_EVENTS {
        let line = format!("data: event {id}\n");
        assert_eq!(body.matches(&line).count(), 1, "event {id} in {body}");
    }
}

// GONE: the caller's close reaches the target through the hop.
#[tokio::test]
async fn a_caller_that_leaves_frees_the_target_through_another_node() {
    let cluster = start(2, 0, 1).await;
    let target = &cluster.model_targets[0];
    target.script_resume(Behaviour::Pause, Behaviour::Pause);
    let caller = LateReader::open(cluster.request_addr(0), &post("/resume/a", "r1"))
        .await
        .unwrap();
    drop(caller);
    target.await_closed().await;
}

// DRAIN and BUDGET: what a target says of itself binds the node that passed it on, too.
#[tokio::test]
async fn a_target_that_leaves_gets_nothing_more_from_the_carrier() {
    let cluster = start(2, 2, 0).await;
    cluster.desk_targets[0].add_headers(&[("Server-Leaving", "1")]);
    let mut n = 0;
    while cluster.desk_targets[0].arrivals().is_empty() {
        n += 1;
        cluster.call(&get("/safe/a", &format!("s{n}"))).await;
    }
    for n in 0..20 {
        for node in 0..2 {
            let req = get("/safe/a", &format!("t{n}-{node}"));
            let result = call(cluster.request_addr(node), &req).await.unwrap();
            assert_eq!(status(&result), Some(200));
        }
    }
    // The carrier may have sent one request before it was told.
    let arrivals = cluster.desk_targets[0].arrivals().len();
    assert!(arrivals <= 2, "{arrivals}");
}

// RECOVER, the other side: targets that are down are not taken for a node that is cut off, and are used again.
#[tokio::test]
async fn targets_that_are_down_are_told_from_a_cut() {
    let cluster = TestCluster::start(3, 2, 1).await;
    for t in &cluster.desk_targets {
        t.crash_on_header("x-poison", Duration::from_millis(800));
    }
    for node in 0..3 {
        let req = get("/safe/a", &format!("w{node}"));
        call(cluster.request_addr(node), &req).await.unwrap();
    }
    cluster.desk_targets.iter().for_each(|t| t.crash());
    let mut refused = 0;
    for n in 0.. {
        let result = cluster.call(&get("/safe/a", &format!("s{n}"))).await;
        match status(&result) {
            Some(200) => break,
            _ => refused += 1,
        }
        assert!(refused < 200, "the targets are never used again");
    }
    // The model target is up all the while.
    let result = cluster.call(&post("/resume/a", "r1")).await;
    assert!(result.complete && result.body == stream());
}

// The way back: a node whose path is back sends by itself again.
#[tokio::test]
async fn a_node_whose_path_is_back_needs_no_other_node() {
    let mut cluster = start(2, 2, 0).await;
    for n in 0..6 {
        let result = cluster.call(&get("/safe/a", &format!("s{n}"))).await;
        assert_eq!(status(&result), Some(200));
    }
    cluster.paths[0].set(Cut::None);
    // Some requests find that out.
    for n in 0..100 {
        let result = cluster.call(&get("/safe/a", &format!("t{n}"))).await;
        assert_eq!(status(&result), Some(200));
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    drop(cluster.nodes.remove(1));
    for n in 0..6 {
        let result = cluster.call(&get("/safe/a", &format!("u{n}"))).await;
        assert_eq!(status(&result), Some(200), "request {n}");
    }
}

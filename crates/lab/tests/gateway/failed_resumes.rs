//! What callers of a stream that has begun receive when the next target responds with an error.

use crate::helper::{TestCluster, post};
use rwd_lab::site::{Behaviour, STREAM_EVENTS};
use std::time::Duration;

/// Two events, and a part of the third one.
const CUT: Behaviour =
    Behaviour::Body(b"id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\nid: 3\nda");

/// Responses to a request that resumes the stream after its second event, none of which does: status
/// line with headers, and body.
const ERRORS: [(&str, &str); 16] = [
    ("500 Internal Server Error\r\nSeal: s", "it failed"),
    (
        "500 Internal Server Error\r\nSeal: s",
        "id: 3\ndata: it failed\n\n",
    ),
    (
        "500 Internal Server Error\r\nSeal: s\r\nContent-Type: text/event-stream",
        "id: 3\ndata: event 3\n\nid: 4\ndata: event 4\n\n",
    ),
    ("502 Bad Gateway", ""),
    (
        "503 Service Unavailable\r\nNot-Run: 1",
        "id: 3\ndata: full\n\n",
    ),
    ("503 Service Unavailable", "not this time\n\n"),
    (
        "404 Not Found\r\nSeal: s",
        "id: 3\ndata: no such stream\n\n",
    ),
    ("409 Conflict\r\nSeal: s", ""),
    ("421 Misdirected Request", "id: 3\ndata: not here\n\n"),
    ("302 Found\r\nSeal: s\r\nLocation: /once/b", ""),
    ("204 No Content\r\nSeal: s", ""),
    ("205 Reset Content\r\nSeal: s", ""),
    ("206 Partial Content\r\nSeal: s", "id: 3\ndata: event 3\n\n"),
    (
        "200 OK\r\nSeal: s",
        "HTTP/1.1 500 Internal Server Error\r\nSeal: s\r\n\r\nit failed\n\n",
    ),
    ("200 OK\r\nSeal: s", "{\"error\": \"it failed\"}\n\n"),
    ("200 OK", "id: 3\ndata: event 3\n\nid: 4\ndata: event 4\n\n"),
];

// Sends a request whose first response breaks off and whose second one is `next`; checks that its caller
// gets the two events, and an end that is visibly early.
async fn check(next: Behaviour) {
    let cluster = TestCluster::start(1, 1, 2).await;
    // Whichever is tried first: the behaviours of both depend on the request.
    for target in &cluster.model_targets {
        target.script_resume(CUT, next);
    }
    let result = cluster.call(&post("/resume/a", "r1")).await;
    let body = String::from_utf8_lossy(&result.body);
    let expected: String = (1..=2)
        .map(|id| format!("id: {id}\ndata: event {id}\n\n"))
        .collect();
    assert_eq!(result.status.map(|s| s.as_u16()), Some(200), "{next:?}");
    assert_eq!(body, expected, "{next:?}");
    assert!(!result.complete, "{next:?}: looks complete");
    let resumed = cluster.model_targets.iter().flat_map(|t| t.arrivals());
    let resumed = resumed.filter(|a| a.header("last-event-id") == Some("2"));
    assert_eq!(resumed.count(), 1, "{next:?}");
}

/// Guards against the error of the target at which a stream is resumed: its head or text in the middle
/// of the stream, or a stream that ends as if it were complete.
#[tokio::test]
async fn the_error_of_the_next_target_reaches_no_caller_of_a_begun_stream() {
    for (head, body) in ERRORS {
        check(Behaviour::Response(head, body)).await;
    }
}

/// Guards against a connection that ends before the first event of a resumed stream, without a length
/// that says that there is none.
#[tokio::test]
async fn a_resumed_stream_without_an_event_or_a_length_is_not_complete() {
    check(Behaviour::Body(b"")).await;
    for path in ["/once/a", "/resume/a"] {
        let cluster = TestCluster::start(1, 1, 2).await;
        for target in &cluster.model_targets {
            target.script(&[Behaviour::Body(b"")]);
        }
        let result = cluster.call(&post(path, "u1")).await;
        let ok = result.status.is_some_and(|s| s.is_success());
        assert!(!ok || !result.complete, "{path}: {:?}", result.status);
    }
}

/// A caller that has all events may ask for those after the last one: none, and the stream is complete.
#[tokio::test]
async fn a_stream_resumed_after_its_last_event_is_complete() {
    let cluster = TestCluster::start(1, 1, 1).await;
    let last = STREAM_EVENTS.to_string();
    let result = cluster
        .call(&post("/resume/a", "r1").header("last-event-id", &last))
        .await;
    assert_eq!(result.status.map(|s| s.as_u16()), Some(200));
    assert!(result.complete && result.body.is_empty());
}

/// Guards against errors of the next target, or stray bytes of the first one, that count as crashes that
/// the prompt has caused: requests that share a part with these would be refused.
#[tokio::test]
async fn errors_of_the_next_target_block_no_prompt() {
    let cluster = TestCluster::start(1, 1, 2).await;
    for target in &cluster.model_targets {
        let stray = Behaviour::Body(b"id: 1\ndata: event 1\n\nno event\n\n");
        let error = Behaviour::Response("500 Internal Server Error\r\nSeal: s", "it failed");
        target.script_resume(stray, error);
    }
    let mut statuses = Vec::new();
    let mut ticks = tokio::time::interval(Duration::from_millis(300));
    // Long enough for a block: several rounds of crashes, and the time in which they may be cleared.
    for n in 0..14 {
        ticks.tick().await;
        let call = post("/resume/a", &format!("r{n}"))
            .header("prompt-prefix", &format!("aaa:60,b{n}:50"))
            .header("token-count", "110,8");
        let result = cluster.call(&call).await;
        statuses.push(result.status.map(|s| s.as_u16()));
    }
    assert_eq!(statuses, [Some(200); 14]);
    let arrivals = cluster.model_targets.iter().flat_map(|t| t.arrivals());
    let resumed = arrivals.filter(|a| a.header("last-event-id").is_some());
    assert_eq!(resumed.count(), 14);
}

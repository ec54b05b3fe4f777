//! Callers that read streams late or not at all, before targets that cut off unread responses.

use crate::helper::{TestCluster, get, post};
use rwd_gateway::HeldBytes;
use rwd_lab::site::{Behaviour, LateReader, call};
use std::sync::LazyLock;
use std::time::Duration;

/// Events of each stream.
const EVENTS: usize = 64;
/// Payload of each event, in bytes. A stream exceeds what the kernel holds for one connection.
const EVENT_BYTES: usize = 4 << 10;
/// The least that a node holds of such a stream if nobody reads it, in bytes.
const MIN_HELD_BYTES: usize = 32 << 10;
/// How long a target waits for an unread response.
const UNREAD_LIMIT: Duration = Duration::from_secs(3);
/// Interval at which a fast caller calls, in slow ones.
const FAST_EVERY: usize = 10;

static STREAM: LazyLock<Vec<u8>> = LazyLock::new(|| {
    let events = (1..=EVENTS).map(|n| format!("id: {n}\ndata: {}\n\n", "x".repeat(EVENT_BYTES)));
    events.collect::<String>().into_bytes()
});

// A node with so much memory before two targets, and `count` callers that have read their heads only.
async fn start(memory_mb: u32, count: usize) -> (TestCluster, Vec<LateReader>) {
    let mut cluster = TestCluster::start(0, 0, 2).await;
    let mut cfg = cluster.settings(0);
    cfg.memory_mb = Some(memory_mb);
    cluster.add_node_with(cfg).await;
    cluster.nodes[0].await_ready().await;
    for target in &cluster.model_targets {
        target.cut_unread_after(UNREAD_LIMIT);
        target.script_resume(Behaviour::Body(&STREAM), Behaviour::Body(&STREAM));
    }
    let mut callers = Vec::new();
    for n in 0..count {
        let req = post("/resume/a", &format!("slow-{n}"));
        let caller = LateReader::open(cluster.request_addr(0), &req).await;
        let caller = caller.unwrap();
        assert_eq!(caller.status(), "HTTP/1.1 200 OK", "caller {n}");
        callers.push(caller);
        if n % FAST_EVERY == 0 {
            let result = cluster.call(&post("/resume/a", &format!("fast-{n}"))).await;
            assert!(result.complete && result.body == *STREAM, "fast {n}");
        }
    }
    (cluster, callers)
}

fn held(cluster: &TestCluster) -> HeldBytes {
    cluster.nodes[0].held_bytes().unwrap()
}

// Each stream went to one target once, and was read to its end.
fn assert_taken(cluster: &TestCluster, count: usize) {
    for target in &cluster.model_targets {
        assert_eq!(target.cuts(), 0, "{}", target.name());
    }
    for n in 0..count {
        assert_eq!(cluster.runs(&format!("slow-{n}")), 1, "stream {n}");
    }
}

// The payload without the framing of chunks and events.
fn payload(body: &[u8]) -> usize {
    body.iter().filter(|b| **b == b'x').count()
}

/// Guards against slow callers that occupy slots and whose streams are cut off: 200 streams before 8 slots.
#[tokio::test]
async fn streams_that_callers_read_late_do_not_wait_at_their_targets() {
    let count = 200;
    let (cluster, callers) = start(512, count).await;
    let bytes = held(&cluster);
    assert!(bytes.now >= count * MIN_HELD_BYTES, "{bytes:?}");
    for (n, caller) in callers.into_iter().enumerate() {
        let (body, complete) = caller.finish().await;
        assert!(complete, "caller {n}");
        assert_eq!(payload(&body), EVENTS * EVENT_BYTES, "caller {n}");
    }
    let bytes = held(&cluster);
    assert!(bytes.peak <= bytes.max && bytes.now == 0, "{bytes:?}");
    assert_taken(&cluster, count);
}

/// Guards against callers that never read and together exceed a node's memory.
#[tokio::test]
async fn callers_that_stopped_reading_are_given_up_when_memory_is_short() {
    let count = 100;
    let (cluster, callers) = start(32, count).await;
    let mut complete = Vec::new();
    for (n, caller) in callers.into_iter().enumerate() {
        let (body, is_complete) = caller.finish().await;
        let whole = payload(&body) == EVENTS * EVENT_BYTES;
        assert!(whole || !is_complete, "caller {n}");
        complete.push(is_complete);
    }
    let bytes = held(&cluster);
    assert!(bytes.peak <= bytes.max && bytes.now == 0, "{bytes:?}");
    assert_taken(&cluster, count);
    let given_up = complete.iter().filter(|c| !**c).count();
    let metrics = call(cluster.readiness_addr(0), &get("/metrics", "m")).await;
    let metrics = String::from_utf8(metrics.unwrap().body.to_vec()).unwrap();
    let value = |name: &str, label: &str| {
        let mut lines = metrics.lines();
        let line = lines.find(|l| l.starts_with(name) && l.contains(label));
        line.and_then(|l| l.rsplit(' ').next()?.parse::<usize>().ok())
    };
    assert_eq!(value("slow_readers_dropped", ""), Some(given_up));
    assert_eq!(value("held_bytes", r#"kind="streams""#), Some(0));
    let first = complete.iter().position(|c| *c).unwrap();
    assert!(first > 0, "the longest silence was kept: {complete:?}");
    assert!(complete[count - 1], "the shortest silence was not kept");
}

//! Callers that read streams late or not at all, before targets that cut off unread responses.

use crate::helper::{KEY, TestCluster, get, post};
use rwd_gateway::HeldBytes;
use rwd_lab::site::{Behaviour, LateReader, call, config_record};
use std::sync::LazyLock;
use std::time::Duration;
use tokio::task::JoinSet;

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

// A value of the node's metrics.
async fn metric(cluster: &TestCluster, name: &str, label: &str) -> Option<usize> {
    let metrics = call(cluster.readiness_addr(0), &get("/metrics", "m")).await;
    let text = String::from_utf8(metrics.unwrap().body.to_vec()).unwrap();
    let mut lines = text.lines();
    let line = lines.find(|l| l.starts_with(name) && l.contains(label));
    line.and_then(|l| l.rsplit(' ').next()?.parse().ok())
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
    assert_eq!(
        metric(&cluster, "slow_readers_dropped", "").await,
        Some(given_up)
    );
    assert_eq!(
        metric(&cluster, "held_bytes", r#"kind="streams""#).await,
        Some(0)
    );
    let first = complete.iter().position(|c| *c).unwrap();
    assert!(first > 0, "the longest silence was kept: {complete:?}");
    assert!(complete[count - 1], "the shortest silence was not kept");
}

/// Guards against callers that send large bodies slowly and together exceed a node's memory, or keep a
/// small request out. A budget of 4 MiB has room for three bodies of which 1 MiB has arrived.
#[tokio::test]
async fn slow_request_bodies_stay_within_the_budget_and_leave_room() {
    let mut cluster = TestCluster::start(0, 2, 0).await;
    let config = config_record(2, &[KEY], 1_000_000);
    let config = config.replace(r#""max_body_bytes":4096"#, r#""max_body_bytes":4194304"#);
    cluster.store.put("keyed.op", "config", Some(&config));
    let mut cfg = cluster.settings(0);
    cfg.memory_mb = Some(32);
    cluster.add_node_with(cfg).await;
    cluster.nodes[0].await_ready().await;
    cluster.nodes[0].await_config(2).await;
    let mut senders = JoinSet::new();
    for n in 0..20 {
        let (to, req) = (
            cluster.request_addr(0),
            post("/safe/a", &format!("slow-{n}")),
        );
        senders.spawn(async move { LateReader::send_part(to, &req, 2 << 20, 1 << 20).await });
    }
    for _ in 0..17 {
        let refused = senders.join_next().await.unwrap().unwrap().unwrap();
        assert_eq!(refused.status(), "HTTP/1.1 503 Service Unavailable");
        let mut req = post("/safe/a", "small");
        req.body = vec![b'x'; 1000].into();
        let result = cluster.call(&req).await;
        assert_eq!(result.status.unwrap(), 200);
    }
    // Those that wait hold what they have sent, and no more than the budget.
    let held = metric(&cluster, "held_bytes", r#"kind="bodies""#).await;
    assert!((3 << 20..=4 << 20).contains(&held.unwrap()), "{held:?}");
}

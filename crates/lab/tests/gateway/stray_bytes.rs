//! Bytes in a stream that are no events of it reach no caller, wherever they occur.

use crate::helper::{TestCluster, post};
use rwd_lab::site::{Behaviour, CallResult, STREAM_EVENTS};

fn stream() -> String {
    let events = (1..=STREAM_EVENTS).map(|id| format!("id: {id}\ndata: event {id}\n\n"));
    events.collect()
}

/// Bodies that are not a series of events with consecutive ids.
const BODIES: [&[u8]; 15] = [
    b"c0~]x9 q:7!\n\nmore\n\n",
    b"id: 1\ndata: event 1\n\nc0~]x9 q:7!\n\n",
    b"id: 1\ndata: event 1\n\nc0~]x9\n:\nq!7\n\n",
    b"id: 1\ndata: event 1\n\nHTTP/1.1 500 Internal Server Error\r\n\r\n",
    b"id: 1\ndata: event 1\n\ndata: no id\n\n",
    b"id: 1\ndata: event 1\n\n: a comment\n\n",
    b"id: 1\ndata: event 1\n\nid: two\ndata: event 2\n\n",
    b"id: 1\ndata: event 1\n\nid: -2\ndata: event 2\n\n",
    b"id: 1\ndata: event 1\n\nid: 2\nid: 3\ndata: event 2\n\n",
    b"id: 1\ndata: event 1\n\nid: 2\nq!7 data\n\n",
    b"id: 1\ndata: event 1\n\nid: 2\ndata: \xff\xfe\n\n",
    b"id: 1\ndata: event 1\n\nid: 3\ndata: event 3\n\n",
    b"id: 1\ndata: event 1\n\nid: 99999999999999999999999\ndata: event 2\n\n",
    b"id: 1\ndata: event 1\n\n\n\n",
    b"id: 1\ndata: event 1\n\n\r\n\r\n",
];

/// Lines of printable characters, as a faulty target may send without end.
const LINES: &[u8] = b"3k]Zs-a0:~\n\"u{7m\n\nW(b%^2\n";

fn faults() -> Vec<Behaviour> {
    let mut faults: Vec<_> = BODIES.iter().map(|body| Behaviour::Body(body)).collect();
    faults.push(Behaviour::Endless(b"", LINES));
    faults.push(Behaviour::Endless(b"id: 1\ndata: event 1\n\n", LINES));
    faults.push(Behaviour::Endless(
        b"id: 1\ndata: event 1\n\nid: 2\n",
        LINES,
    ));
    faults
}

fn describe(fault: Behaviour) -> String {
    match fault {
        Behaviour::Body(body) => format!("{:?}", String::from_utf8_lossy(body)),
        Behaviour::Endless(body, _) => format!("endless {:?}", String::from_utf8_lossy(body)),
        other => format!("{other:?}"),
    }
}

// A failure, or a stream that ends visibly incomplete with nothing but events of the request.
fn assert_broken_off(result: &CallResult, name: &str) {
    if result.status.is_some_and(|s| s.is_success()) {
        let body = String::from_utf8_lossy(&result.body);
        assert!(stream().starts_with(&body[..]), "{name}: {body}");
        assert!(!result.complete, "{name}: looks complete: {body}");
    }
}

/// Guards against bytes that are no events being relayed as events of a stream.
#[tokio::test]
async fn stray_bytes_end_a_stream_that_cannot_resume() {
    let cluster = TestCluster::start(1, 1, 1).await;
    for (n, fault) in faults().into_iter().enumerate() {
        let name = describe(fault);
        cluster.model_targets[0].script(&[fault]);
        let id = format!("o{n}");
        let result = cluster.call(&post("/once/a", &id)).await;
        assert_broken_off(&result, &name);
        assert_eq!(cluster.runs(&id), 1, "{name}");
    }
}

/// Guards against stray bytes at the first target, from its first event on, in a stream that another
/// target can complete.
#[tokio::test]
async fn a_stream_with_stray_bytes_resumes_on_another_target() {
    for fault in faults() {
        let name = describe(fault);
        let cluster = TestCluster::start(1, 1, 2).await;
        cluster.model_targets[0].script(&[fault]);
        let mut n = 0;
        while cluster.model_targets[0].arrivals().is_empty() {
            n += 1;
            let result = cluster.call(&post("/resume/a", &format!("r{n}"))).await;
            assert_eq!(result.status.map(|s| s.as_u16()), Some(200), "{name}");
            assert!(result.complete, "{name}");
            assert_eq!(result.body, stream(), "{name}");
        }
    }
}

/// Guards against stray bytes of the target at which a stream is resumed.
#[tokio::test]
async fn stray_bytes_of_the_next_target_reach_no_caller() {
    for fault in faults() {
        let name = describe(fault);
        let cluster = TestCluster::start(1, 1, 2).await;
        // Either may be tried first. The first response breaks off after an event, the second one has
        // the stray bytes after events that the caller has already, or in place of the next one.
        let cut = Behaviour::Body(b"id: 1\ndata: event 1\n\nid: 2\nda");
        cluster.model_targets[0].script(&[cut]);
        cluster.model_targets[1].script(&[fault]);
        let result = cluster.call(&post("/resume/a", "r1")).await;
        assert_broken_off(&result, &name);
        assert_eq!(cluster.runs("r1"), 2, "{name}");
    }
}

/// Guards against bodies and events without end that fill a node's memory: each is cut at its part of
/// what the node may buffer, and requests at sound targets are served meanwhile.
#[tokio::test]
async fn bodies_without_end_leave_room_for_sound_responses() {
    const PIECE: &[u8] = &[b'x'; 4096];
    let cluster = TestCluster::start(1, 1, 4).await;
    let addr = cluster.request_addr(0);
    for head in [b"".as_slice(), b"id: 1\ndata: event 1\n\nid: 2\ndata: "] {
        for target in &cluster.model_targets {
            target.script(&[Behaviour::Endless(head, PIECE); 4]);
        }
        let endless = (0..16).map(|n| {
            let call = post("/once/a", &format!("e{n}"));
            tokio::spawn(async move { rwd_lab::site::call(addr, &call).await })
        });
        let endless: Vec<_> = endless.collect();
        for n in 0..8 {
            let result = cluster.call(&post("/unsafe/a", &format!("s{n}"))).await;
            assert_eq!(result.status.map(|s| s.as_u16()), Some(200));
        }
        for call in endless {
            let result = call.await.unwrap().unwrap();
            assert_broken_off(&result, "endless");
        }
    }
}

//! Many requests with the longest body that the operator allows come at once at a node of little memory. The
//! platform kills a process that exceeds its memory.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::client::{Ask, receive};
use crate::http::Conn;
use crate::node::{Node, SIGKILL, Site, TERMS, await_ready};
use crate::runner::{Runner, Work};
use crate::store::Store;
use crate::{Case, Verdict};

const ZONES: [&str; 3] = ["lautoka", "nadi", "ba"];
/// `limits.memory_mb` of the site.
const MEMORY_MB: u32 = 110;
/// `max_body_bytes` of the site's configuration.
const MAX_BODY: usize = 4_194_304;
/// The mean body of the site's largest kind of request.
const USUAL_BODY: usize = 12_000;
/// Large requests, and how many come in a second: two thirds of the machine's link, less than the site's usual
/// number of requests at a node.
const LARGE: usize = 54;
const PER_S: f64 = 18.0;
/// Channels that requesters keep, each with one request after the other.
const KEPT: usize = 8;
/// More than three such requests without an answer break the rule.
const ALLOWED: usize = 3;

const CONFIG: &str = "{\"version\":10,\"routes\":[{\"name\":\"r-plan\",\"host\":\"ficu95.example\",\
    \"path_prefix\":\"/plan/\",\"kind\":\"stream\",\"timeout_ms\":12000,\"target_latency_ms\":1200,\
    \"priority\":0,\"service\":\"drift\",\"attempts\":2,\"public\":false,\"sticky\":true,\"can_resume\":true,\
    \"gap_aim_ms\":800},{\"name\":\"r-book\",\"host\":\"ficu95.example\",\"path_prefix\":\"/book/\",\
    \"kind\":\"unsafe\",\"timeout_ms\":3000,\"target_latency_ms\":300,\"priority\":2,\"service\":\"yard\",\
    \"attempts\":2,\"public\":false}],\"services\":[{\"name\":\"drift\",\"health_path\":\"/healthz\",\
    \"max_conns\":360,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":7,\"kv_cap_tokens\":350263,\
    \"stride\":7,\"models\":[{\"name\":\"m\"}]}},{\"name\":\"yard\",\"health_path\":\"/healthz\",\
    \"max_conns\":96,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\
    \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\
    \"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"key-1\"],\"priority\":1,\"unit\":\"tokens\",\
    \"plain_tokens\":200,\"per_s\":223423,\"burst\":223423}]}";

pub fn play(case: &Case) -> Verdict {
    let (place, record) = (&case.place, &case.record);
    let store = Arc::new(Store::new(record.clone()));
    store.put("keyed.op", "config", CONFIG);
    let door = store.open(place.other(50));
    let start = |n: usize, service: &str, slots: usize, streams: bool, work: Work| {
        let id = format!("i-{service}{n}");
        let ip = place.other(n as u8);
        Runner::start(
            &store,
            record,
            ip,
            (&id, service, ZONES[n % 3]),
            slots,
            streams,
            work,
        )
    };
    let plan = Work { ms: 3000, size: 30 };
    let book = Work { ms: 320, size: 800 };
    let _models: Vec<_> = (0..3).map(|n| start(n, "drift", 7, true, plan)).collect();
    let desks: Vec<_> = (3..6).map(|n| start(n, "yard", 6, false, book)).collect();
    let site = Site {
        memory_mb: MEMORY_MB,
        terms: TERMS,
        grace_s: 8,
    };
    let nodes: Vec<_> = (0..3u8)
        .map(|n| Node::start(place, n + 1, 3, ZONES[usize::from(n)], door.address, &site))
        .collect();
    await_ready(&nodes);
    thread::sleep(Duration::from_secs(4));
    let front = nodes[0].front;
    let ends = Arc::new(AtomicBool::new(false));
    // Requests without an answer on kept channels, by id.
    let unanswered: Arc<Mutex<Vec<String>>> = Arc::default();
    let callers = (0..KEPT).map(|c| {
        let (record, ends, unanswered) = (record.clone(), ends.clone(), unanswered.clone());
        thread::spawn(move || {
            let mut kept: Option<Conn> = None;
            for k in 0.. {
                if ends.load(Ordering::SeqCst) {
                    return;
                }
                let is_kept = kept.is_some();
                let Ok(mut conn) = kept.take().map_or_else(|| Conn::connect(front), Ok) else {
                    thread::sleep(Duration::from_millis(50));
                    continue;
                };
                let id = format!("b{c:02x}{k:08x}");
                let ask = Ask {
                    method: "POST",
                    path: "/book/1",
                    id: &id,
                    key: "key-1",
                    deadline_ms: 3000,
                    tokens: None,
                    body: b"{}",
                };
                let answer = ask.send(&mut conn).and_then(|()| receive(&mut conn));
                let channel = if is_kept { "a kept" } else { "a new" };
                match answer {
                    Ok((head, _)) => {
                        record.note(&format!("request {id}: {}", head.status()));
                        kept = (!head.closes()).then_some(conn);
                    }
                    Err(e) => {
                        record.note(&format!(
                            "request {id} on {channel} channel: no answer: {e}"
                        ));
                        if is_kept {
                            unanswered.lock().unwrap().push(id);
                        }
                    }
                }
            }
        })
    });
    let callers: Vec<_> = callers.collect();
    thread::sleep(Duration::from_secs(1));
    let large = (0..LARGE).map(|n| {
        let len = if case.trouble { MAX_BODY } else { USUAL_BODY };
        let record = record.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_secs_f64(n as f64 / PER_S));
            let body = vec![b'x'; len];
            let id = format!("a{n:08x}");
            let ask = Ask {
                method: "POST",
                path: "/plan/1",
                id: &id,
                key: "key-1",
                deadline_ms: 12_000,
                tokens: Some((6670, 55)),
                body: &body,
            };
            record.note(&format!(
                "request {id}, with a body of {len} bytes, is sent"
            ));
            let answer = Conn::connect(front).and_then(|mut conn| {
                ask.send(&mut conn)?;
                receive(&mut conn)
            });
            record.note(&match answer {
                Ok((head, _)) => format!("request {id}: {}", head.status()),
                Err(e) => format!("request {id}: no answer: {e}"),
            });
        })
    });
    let large: Vec<_> = large.collect();
    let (mut most, mut kills) = (0u64, 0);
    for _ in 0..1500 {
        thread::sleep(Duration::from_millis(10));
        let bytes = nodes[0].memory().unwrap_or(0);
        most = most.max(bytes);
        if bytes > u64::from(MEMORY_MB) << 20 {
            nodes[0].signal(SIGKILL);
            kills += 1;
            record.note(&format!(
                "front-1 has {} bytes in memory and is killed",
                bytes
            ));
            while !nodes[0].has_ended() {
                thread::sleep(Duration::from_millis(1));
            }
            thread::sleep(Duration::from_millis(500));
            nodes[0].spawn();
            record.note("front-1 is started again");
        }
    }
    ends.store(true, Ordering::SeqCst);
    large
        .into_iter()
        .chain(callers)
        .for_each(|c| c.join().expect("a requester"));
    let arrivals: Vec<_> = desks.iter().flat_map(Runner::arrivals).collect();
    let unanswered = unanswered.lock().unwrap();
    let lost = unanswered
        .iter()
        .filter(|id| arrivals.iter().any(|a| a.id == **id));
    let lost: Vec<_> = lost.collect();
    for id in &lost {
        record.note(&format!(
            "LOST: request {id} reached a runner, and its kept channel was closed without an answer"
        ));
    }
    Verdict {
        broken: lost.len() > ALLOWED,
        seen: format!(
            "{} requests of kept channels were passed on to a runner and got no answer; front-1 had up to {} MB of {MEMORY_MB} and was killed {kills} times",
            lost.len(),
            most >> 20
        ),
    }
}

//! A node is stopped while a requester reads a long answer slowly. The answer would be whole well within the
//! time that the platform gives the process to stop.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::Ask;
use crate::http::Conn;
use crate::node::{Node, SIGKILL, SIGTERM, Site, await_ready};
use crate::runner::{Runner, Work};
use crate::store::Store;
use crate::{Case, Verdict};

const ZONES: [&str; 3] = ["hobart-a", "hobart-b", "kingston-c"];
/// The contracts of `demands/derwent-homework-grown.toml`, at whose installations requesters may read slowly.
const TERMS: &str = "\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"health\",\"pool\",\"engine\",\
    \"stream\",\"tenants\",\"quota\",\"rollout\",\"pressure\",\"platform\"";
const GRACE: Duration = Duration::from_secs(8);
/// Bytes of an answer, and how fast a requester reads.
const ANSWER: usize = 3_500_000;
const PER_S: f64 = 460_000.0;
const REQUESTERS: usize = 3;

const CONFIG: &str = "{\"version\":10,\"routes\":[{\"name\":\"r-read\",\"host\":\"ficu95.example\",\
    \"path_prefix\":\"/read/\",\"kind\":\"safe\",\"timeout_ms\":12000,\"target_latency_ms\":300,\
    \"priority\":2,\"service\":\"book\",\"attempts\":2,\"public\":false}],\"services\":[{\"name\":\"book\",\
    \"health_path\":\"/healthz\",\"max_conns\":96,\"protocol\":\"h1\",\"tls\":false}],\
    \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
    \"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"key-1\"],\"priority\":1,\
    \"unit\":\"tokens\",\"plain_tokens\":200,\"per_s\":223423,\"burst\":223423}]}";

pub fn play(case: &Case) -> Verdict {
    let (place, record) = (&case.place, &case.record);
    let store = Arc::new(Store::new(record.clone()));
    store.put("keyed.op", "config", CONFIG);
    let door = store.open(place.other(50));
    let work = Work {
        ms: 60,
        size: ANSWER,
    };
    let start = |n: usize| {
        let id = format!("i-book{n}");
        let ip = place.other(n as u8);
        Runner::start(&store, record, ip, (&id, "book", ZONES[n]), 6, false, work)
    };
    let runners: Vec<_> = (0..3).map(start).collect();
    let site = Site {
        memory_mb: 160,
        terms: TERMS,
        grace_s: GRACE.as_secs() as u32,
    };
    let nodes: Vec<_> = (0..3u8)
        .map(|n| Node::start(place, n + 1, 3, ZONES[usize::from(n)], door.address, &site))
        .collect();
    await_ready(&nodes);
    thread::sleep(Duration::from_secs(4));
    let front = nodes[0].front;
    let requesters = (0..REQUESTERS).map(|n| {
        let record = record.clone();
        thread::spawn(move || {
            let id = format!("c{n:08x}");
            let ask = Ask {
                method: "GET",
                path: "/read/1",
                id: &id,
                key: "key-1",
                deadline_ms: 12_000,
                tokens: None,
                body: b"",
            };
            record.note(&format!("request {id} is sent to front-1"));
            let mut conn = Conn::connect(front).expect("front-1 takes channels");
            ask.send(&mut conn).expect("front-1 reads");
            let head = conn
                .read_head()
                .ok()
                .flatten()
                .expect("the head of an answer");
            record.note(&format!("request {id}: the answer begins: {}", head.first));
            let (got, result) = conn.read_slowly(ANSWER, PER_S);
            record.note(&match &result {
                Ok(()) => format!("request {id}: the answer is whole"),
                Err(e) => format!(
                    "LOST: request {id}: the answer ends after {got} of {ANSWER} bytes: {e}"
                ),
            });
            (id, head.status(), result.is_err())
        })
    });
    let requesters: Vec<_> = requesters.collect();
    thread::sleep(Duration::from_millis(300));
    let mut exit_ms = 0.0;
    if case.trouble {
        nodes[0].signal(SIGTERM);
        record.note("front-1 gets SIGTERM");
        let stopped = Instant::now();
        while !nodes[0].has_ended() && stopped.elapsed() < GRACE {
            thread::sleep(Duration::from_millis(5));
        }
        exit_ms = stopped.elapsed().as_secs_f64() * 1000.0;
        if !nodes[0].has_ended() {
            nodes[0].signal(SIGKILL);
        }
        record.note(&format!("front-1 has ended, {exit_ms:.0} ms after SIGTERM"));
    }
    let answers: Vec<_> = requesters
        .into_iter()
        .map(|r| r.join().expect("a requester"))
        .collect();
    let arrivals: Vec<_> = runners.iter().flat_map(Runner::arrivals).collect();
    // The runner had made the whole answer long before.
    let lost = answers.iter().filter(|(id, status, cut)| {
        *cut && *status == 200 && arrivals.iter().any(|a| a.id == *id && a.ended.is_some())
    });
    let lost = lost.count();
    Verdict {
        broken: lost > 0,
        seen: format!(
            "{lost} of {REQUESTERS} answers were cut off; the process ended {exit_ms:.0} ms after SIGTERM, of {} ms",
            GRACE.as_millis()
        ),
    }
}

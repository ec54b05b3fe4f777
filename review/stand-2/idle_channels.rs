//! All machines but one are lost. Each request comes on a channel of its own, which its requester keeps open
//! afterwards, for much longer than the operator lets it stay idle.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Ask, receive};
use crate::http::Conn;
use crate::node::{Node, SIGKILL, Site, TERMS, allow_descriptors, await_ready};
use crate::runner::{Runner, Work};
use crate::store::Store;
use crate::{Case, Verdict, cannot_run};

const ZONES: [&str; 3] = ["lautoka", "nadi", "ba"];
const NODES: u8 = 6;
/// Requests a second at all machines of the site, on a usual day.
const PER_S: f64 = 125.0;
const LENGTH: Duration = Duration::from_secs(50);
const LOSS: Duration = Duration::from_secs(5);
/// `stable_window_ms`.
const WINDOW_MS: f64 = 3000.0;
const LEAST_TRIES: usize = 7;
const WORKERS: usize = 64;

const CONFIG: &str = "{\"version\":10,\"routes\":[{\"name\":\"r-book\",\"host\":\"ficu95.example\",\
    \"path_prefix\":\"/book/\",\"kind\":\"unsafe\",\"timeout_ms\":3000,\"target_latency_ms\":300,\
    \"priority\":2,\"service\":\"yard\",\"attempts\":2,\"public\":false}],\"services\":[{\"name\":\"yard\",\
    \"health_path\":\"/healthz\",\"max_conns\":96,\"protocol\":\"h1\",\"tls\":false}],\
    \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
    \"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"key-1\"],\"priority\":1,\
    \"unit\":\"tokens\",\"plain_tokens\":200,\"per_s\":223423,\"burst\":223423}]}";

// A try of a requester: when the channel was asked for, and whether anything came back on it.
struct Try {
    at: f64,
    answered: bool,
}

pub fn play(case: &Case) -> Verdict {
    let (place, record) = (&case.place, &case.record);
    if !allow_descriptors(8_000) {
        cannot_run("the stand-ins need 8,000 descriptors");
    }
    let store = Arc::new(Store::new(record.clone()));
    store.put("keyed.op", "config", CONFIG);
    let door = store.open(place.other(50));
    let work = Work { ms: 60, size: 800 };
    let start = |n: usize| {
        let id = format!("i-yard{n}");
        let ip = place.other(n as u8);
        Runner::start(&store, record, ip, (&id, "yard", ZONES[n]), 6, false, work)
    };
    let _runners: Vec<_> = (0..3).map(start).collect();
    let site = Site {
        memory_mb: 110,
        terms: TERMS,
        grace_s: 8,
    };
    let nodes: Vec<_> = (0..NODES)
        .map(|n| {
            let zone = ZONES[usize::from(n) % 3];
            Node::start(place, n + 1, NODES, zone, door.address, &site)
        })
        .collect();
    await_ready(&nodes);
    thread::sleep(Duration::from_secs(4));
    let started = Instant::now();
    let tries: Arc<Mutex<Vec<Try>>> = Arc::default();
    let open: Arc<Mutex<Vec<Conn>>> = Arc::default();
    let (next, lost) = (
        Arc::new(AtomicUsize::new(0)),
        Arc::new(AtomicBool::new(false)),
    );
    let fronts: Vec<_> = nodes.iter().map(|n| n.front).collect();
    let workers = (0..WORKERS).map(|_| {
        let (record, tries, open, next, lost) = (
            record.clone(),
            tries.clone(),
            open.clone(),
            next.clone(),
            lost.clone(),
        );
        let fronts = fronts.clone();
        thread::spawn(move || {
            loop {
                let n = next.fetch_add(1, Ordering::SeqCst);
                let due = Duration::from_secs_f64(n as f64 / PER_S);
                if due > LENGTH {
                    return;
                }
                thread::sleep(due.saturating_sub(started.elapsed()));
                // The lost ones are no longer in the answers of the directory.
                let to = if lost.load(Ordering::SeqCst) {
                    0
                } else {
                    n % fronts.len()
                };
                let (id, at) = (format!("d{n:08x}"), record.now());
                let ask = Ask {
                    method: "POST",
                    path: "/book/1",
                    id: &id,
                    key: "key-1",
                    deadline_ms: 3000,
                    tokens: None,
                    body: b"{}",
                };
                let answer = Conn::connect(fronts[to]).and_then(|mut conn| {
                    conn.stream.set_read_timeout(Some(Duration::from_secs(3)))?;
                    ask.send(&mut conn)?;
                    let (head, _) = receive(&mut conn)?;
                    open.lock().unwrap().push(conn);
                    Ok(head.status())
                });
                record.note(&match &answer {
                    Ok(status) => format!(
                        "request {id} to front-{}, sent at {at:.1} ms: {status}",
                        to + 1
                    ),
                    Err(e) => format!(
                        "request {id} to front-{}, sent at {at:.1} ms: no answer: {e}",
                        to + 1
                    ),
                });
                if to == 0 {
                    let answered = answer.is_ok();
                    tries.lock().unwrap().push(Try { at, answered });
                }
            }
        })
    });
    let workers: Vec<_> = workers.collect();
    // The platform asks once a second whether front-1 is ready, on a channel that it keeps.
    let mut asked = nodes[0].readiness_channel();
    let mut ready = Vec::new();
    while started.elapsed() < LENGTH {
        thread::sleep(Duration::from_secs(1));
        if case.trouble && !lost.load(Ordering::SeqCst) && started.elapsed() >= LOSS {
            nodes[1..].iter().for_each(|n| n.signal(SIGKILL));
            lost.store(true, Ordering::SeqCst);
            record.note("all machines but front-1 are lost");
        }
        let at = record.now();
        let is_ready = asked.as_mut().is_some_and(Node::asks_ready);
        if is_ready {
            ready.push(at);
        }
        // Requesters drop the channels that a node has closed.
        let kept = {
            let mut open = open.lock().unwrap();
            open.retain_mut(|c| !c.is_closed());
            open.len()
        };
        let files = nodes[0].descriptors();
        record.note(&format!(
            "front-1: ready: {is_ready}, {files} descriptors; {kept} channels are open"
        ));
    }
    workers
        .into_iter()
        .for_each(|w| w.join().expect("a requester"));
    let mut tries = std::mem::take(&mut *tries.lock().unwrap());
    tries.sort_by(|a, b| a.at.total_cmp(&b.at));
    // The longest time in which no new channel got anything, with enough tries, and a machine that says it is ready.
    let (mut worst, mut from) = ((0.0, 0), 0);
    for n in 0..=tries.len() {
        if n < tries.len() && !tries[n].answered {
            continue;
        }
        if n > from {
            let (first, last) = (tries[from].at, tries[n - 1].at);
            let says_ready = ready
                .iter()
                .filter(|at| (first..=last).contains(*at))
                .count()
                >= 2;
            if says_ready && n - from >= LEAST_TRIES && last - first > worst.0 {
                worst = (last - first, n - from);
            }
        }
        from = n + 1;
    }
    Verdict {
        broken: worst.0 > WINDOW_MS,
        seen: format!(
            "front-1 said that it was ready and answered nothing on new channels for {:.0} ms, on {} tries",
            worst.0, worst.1
        ),
    }
}

//! The machines are stopped and started in turn while a tenant asks for several times its quota. For a while all
//! of them are leaving.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Addresses, Ask, receive};
use crate::http::Conn;
use crate::node::{Node, SIGKILL, SIGTERM, Site, TERMS, await_ready};
use crate::runner::{Runner, Work};
use crate::store::Store;
use crate::{Case, Verdict};

const ZONES: [&str; 3] = ["lautoka", "nadi", "ba"];
const NODES: usize = 3;
const GRACE: Duration = Duration::from_secs(8);
/// `gap_s` of the sites' `roll_term`.
const GAP: Duration = Duration::from_secs(1);
/// Tokens a second, and the burst, of `fleetbench wire`.
const PER_S: f64 = 223_423.0;
const BURST: f64 = 223_423.0;
/// `Token-Count` of the requests.
const TOKENS: (u32, u32) = (6670, 385);
/// The tenant asks for 6 times its usual; its quota is 1.8 times that (`quota_x`).
const PRESSURE: f64 = 6.0 / 1.8;
const WINDOW_S: f64 = 8.0;
const QUOTA_OVER: f64 = 0.1;
const QUOTA_SLACK: f64 = 140_000.0;
/// How long the tenant presses, as on the sites, and when the first machine is stopped.
const PRESSES: Duration = Duration::from_secs(11);
const FIRST_STOP: Duration = Duration::from_millis(3200);
const WORKERS: usize = 160;

fn config() -> String {
    format!(
        "{{\"version\":10,\"routes\":[{{\"name\":\"r-plan\",\"host\":\"ficu95.example\",\"path_prefix\":\"/plan/\",\
         \"kind\":\"stream\",\"timeout_ms\":12000,\"target_latency_ms\":1200,\"priority\":0,\"service\":\"drift\",\
         \"attempts\":2,\"public\":false,\"sticky\":true,\"can_resume\":true,\"gap_aim_ms\":800}}],\
         \"services\":[{{\"name\":\"drift\",\"health_path\":\"/healthz\",\"max_conns\":360,\"protocol\":\"h1\",\
         \"tls\":false,\"engine\":{{\"slots\":7,\"kv_cap_tokens\":350263,\"stride\":7,\"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"key-1\"],\"priority\":1,\
         \"unit\":\"tokens\",\"plain_tokens\":200,\"per_s\":{PER_S},\"burst\":{BURST}}}]}}"
    )
}

pub fn play(case: &Case) -> Verdict {
    let (place, record) = (&case.place, &case.record);
    let store = Arc::new(Store::new(record.clone()));
    store.put("keyed.op", "config", &config());
    let door = store.open(place.other(50));
    let work = Work { ms: 100, size: 5 };
    let start = |n: usize| {
        let id = format!("i-drift{n}");
        let ip = place.other(n as u8);
        Runner::start(
            &store,
            record,
            ip,
            (&id, "drift", ZONES[n % 3]),
            7,
            true,
            work,
        )
    };
    let runners: Vec<_> = (0..18).map(start).collect();
    let site = Site {
        memory_mb: 110,
        terms: TERMS,
        grace_s: GRACE.as_secs() as u32,
    };
    let nodes: Vec<_> = (0..NODES)
        .map(|n| {
            Node::start(
                place,
                n as u8 + 1,
                NODES as u8,
                ZONES[n],
                door.address,
                &site,
            )
        })
        .collect();
    await_ready(&nodes);
    // Nodes that start count each other for 20 s before they use the whole quota.
    thread::sleep(Duration::from_secs(25));
    let units = f64::from(TOKENS.0 + TOKENS.1);
    let per_s = PER_S * PRESSURE / units;
    let started = Instant::now();
    let sent: Arc<Mutex<Vec<(String, f64)>>> = Arc::default();
    let next = Arc::new(AtomicUsize::new(0));
    let workers = (0..WORKERS).map(|w| {
        let (record, sent, next) = (record.clone(), sent.clone(), next.clone());
        // The node of its own zone comes first. One requester in three keeps answers three times as long.
        let mut directory: Vec<_> = nodes.iter().map(|n| n.directory).collect();
        directory.rotate_left(w % NODES);
        let keeps = if w / NODES % 3 == 0 { 3.0 } else { 1.0 };
        let mut addresses = Addresses::new(directory, ZONES[w % NODES], keeps);
        thread::spawn(move || {
            loop {
                let n = next.fetch_add(1, Ordering::SeqCst);
                let due = Duration::from_secs_f64(n as f64 / per_s);
                if due > PRESSES {
                    return;
                }
                thread::sleep(due.saturating_sub(started.elapsed()));
                let (id, at) = (format!("e{n:08x}"), record.now());
                sent.lock().unwrap().push((id.clone(), at));
                let ask = Ask {
                    method: "POST",
                    path: "/plan/1",
                    id: &id,
                    key: "key-1",
                    deadline_ms: 12_000,
                    tokens: Some(TOKENS),
                    body: b"{}",
                };
                let known = addresses.at(at);
                let Some(to) = known.get(n * 7919 % 101 % known.len().max(1)).copied() else {
                    continue;
                };
                let answer = Conn::connect(to).and_then(|mut conn| {
                    ask.send(&mut conn)?;
                    receive(&mut conn)
                });
                record.note(&match &answer {
                    Ok((head, _)) => format!(
                        "request {id} to {to}, sent at {at:.1} ms: {}",
                        head.status()
                    ),
                    Err(e) => format!("request {id} to {to}, sent at {at:.1} ms: no answer: {e}"),
                });
            }
        })
    });
    let workers: Vec<_> = workers.collect();
    if case.trouble {
        thread::scope(|scope| {
            for (n, node) in nodes.iter().enumerate() {
                scope.spawn(move || {
                    let at = FIRST_STOP + n as u32 * GAP;
                    thread::sleep(at.saturating_sub(started.elapsed()));
                    node.signal(SIGTERM);
                    record.note(&format!("{} gets SIGTERM", node.name));
                    let stopped = Instant::now();
                    while !node.has_ended() && stopped.elapsed() < GRACE {
                        thread::sleep(Duration::from_millis(5));
                    }
                    if !node.has_ended() {
                        node.signal(SIGKILL);
                    }
                    node.spawn();
                    record.note(&format!("{} is started again", node.name));
                });
            }
        });
    }
    workers
        .into_iter()
        .for_each(|w| w.join().expect("a requester"));
    // Requests by the time at which they were sent, with the time at which a runner began to run them.
    let ran: std::collections::BTreeMap<_, _> = runners
        .iter()
        .flat_map(Runner::arrivals)
        .filter_map(|a| a.ran.map(|ran| (a.id, ran)))
        .collect();
    let sent = sent.lock().unwrap();
    let mut served: Vec<_> = sent
        .iter()
        .filter_map(|(id, at)| ran.get(id).map(|ran| (*at, *ran)))
        .collect();
    served.sort_by(|a, b| a.0.total_cmp(&b.0));
    let allowed = (PER_S * WINDOW_S + BURST) * (1.0 + QUOTA_OVER) + QUOTA_SLACK;
    // Both sent and run within the window.
    let most = served.iter().map(|(from, _)| {
        let end = from + WINDOW_S * 1000.0;
        let inside = served.iter().filter(|(at, ran)| at >= from && *ran <= end);
        inside.count() as f64 * units
    });
    let most = most.fold(0.0, f64::max);
    Verdict {
        broken: most > allowed,
        seen: format!(
            "{most:.0} tokens of the tenant were sent and run within {WINDOW_S} s; allowed {allowed:.0}"
        ),
    }
}

//! The store turns a third of the nodes away, and those are the ones that read it for the others.
//! A change is made meanwhile. The other nodes reach the store all the while.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::client::{Ask, receive};
use crate::http::Conn;
use crate::node::{Node, Site, TERMS, await_ready};
use crate::runner::{Runner, Work};
use crate::store::{Door, Fault, Store};
use crate::{Case, Verdict, cannot_run};

/// 7 machines and the 3 spare ones of the site.
const NODES: u8 = 10;
const ZONES: [&str; 3] = ["harju-a", "harju-b", "harju-c"];
const ROUNDS: usize = 10;
/// How long the store turns nodes away; the pages say 9 s at most.
const AWAY: Duration = Duration::from_millis(3200);
const CONFIG_APPLY_MS: f64 = 2000.0;
const DRAIN_MS: f64 = 2000.0;
/// How long a draining runner serves beyond `drain_ms`.
const LINGER_MS: f64 = 120.0;
/// Longer than `stable_window_ms`.
const CALM: Duration = Duration::from_millis(4500);

/// What changes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum What {
    /// A key is taken away.
    Key,
    /// A runner drains.
    Runner,
}

fn config(version: u64, keys: &[String]) -> String {
    let keys: Vec<_> = keys.iter().map(|k| format!("\"{k}\"")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-look\",\"host\":\"ficu95.example\",\
         \"path_prefix\":\"/look/\",\"kind\":\"unsafe\",\"timeout_ms\":3000,\"target_latency_ms\":300,\
         \"priority\":2,\"service\":\"yard\",\"attempts\":2,\"public\":false}}],\
         \"services\":[{{\"name\":\"yard\",\"health_path\":\"/healthz\",\"max_conns\":96,\
         \"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[{}],\"priority\":1,\"unit\":\"tokens\",\
         \"plain_tokens\":200,\"per_s\":223423,\"burst\":223423}}]}}",
        keys.join(",")
    )
}

// The node that reads the operator's records now, of those that are not turned away.
fn reader(doors: &[Door], away: &[usize]) -> usize {
    let before: Vec<_> = doors.iter().map(|d| d.reads().0).collect();
    thread::sleep(Duration::from_millis(1500));
    let reads = doors
        .iter()
        .enumerate()
        .map(|(n, d)| (d.reads().0 - before[n], n));
    let most = reads.filter(|(_, n)| !away.contains(n)).max();
    match most {
        Some((count, n)) if count > 0 => n,
        _ => cannot_run("no node reads the store"),
    }
}

pub fn play(case: &Case, what: What) -> Verdict {
    let (place, record) = (&case.place, &case.record);
    let store = Arc::new(Store::new(record.clone()));
    let keys = |round: usize| -> Vec<String> {
        let left = (round..=ROUNDS).map(|n| format!("key-{n}"));
        left.collect()
    };
    let version = AtomicU64::new(10);
    let put_config = |round: usize| {
        let v = version.fetch_add(2, Ordering::SeqCst);
        (v, store.put("keyed.op", "config", &config(v, &keys(round))))
    };
    put_config(0);
    let work = Work { ms: 60, size: 800 };
    let start = |n: usize| {
        let (id, zone) = (format!("i-runner{n}"), ZONES[n % 3]);
        Runner::start(
            &store,
            record,
            place.other(n as u8),
            (&id, "yard", zone),
            6,
            false,
            work,
        )
    };
    let mut runners: Vec<_> = (0..3).map(start).collect();
    let doors: Vec<_> = (0..NODES)
        .map(|n| store.open(place.other(50 + n)))
        .collect();
    let site = Site {
        memory_mb: 260,
        terms: TERMS,
        grace_s: 8,
    };
    let nodes: Vec<_> = (0..NODES)
        .map(|n| {
            let zone = ZONES[usize::from(n) % 3];
            Node::start(
                place,
                n + 1,
                NODES,
                zone,
                doors[usize::from(n)].address,
                &site,
            )
        })
        .collect();
    await_ready(&nodes);
    thread::sleep(Duration::from_secs(3));
    // Who reads the store, and who would after it: each is seen from its calls.
    let mut away = Vec::new();
    while away.len() < 3 {
        let next = reader(&doors, &away);
        record.note(&format!("reads the store: {}", nodes[next].name));
        away.push(next);
        if away.len() < 3 {
            doors[next].set_fault(Fault::Busy);
            thread::sleep(Duration::from_secs(3));
        }
    }
    doors.iter().for_each(|d| d.set_fault(Fault::None));
    thread::sleep(CALM);
    let in_touch: Vec<_> = (0..nodes.len()).filter(|n| !away.contains(n)).collect();
    let mut late = Vec::new();
    let (mut cut, mut rounds) = (0, 0);
    for round in 0..ROUNDS {
        if case.trouble {
            away.iter().for_each(|n| doors[*n].set_fault(Fault::Busy));
            let names: Vec<_> = away.iter().map(|n| nodes[*n].name.as_str()).collect();
            record.note(&format!("the store turns away {}", names.join(", ")));
        }
        thread::sleep(Duration::from_millis(20));
        let sent: Arc<Mutex<Vec<(String, f64, usize)>>> = Arc::default();
        let ends = Arc::new(AtomicBool::new(false));
        let key = format!("key-{round}");
        let acked = match what {
            What::Key => {
                let (v, acked) = put_config(round + 1);
                record.note_at(
                    acked,
                    &format!("version {v}, without {key}, is acknowledged"),
                );
                acked
            }
            What::Runner => {
                let acked = runners[0].drain(&store);
                record.note_at(
                    acked,
                    &format!("{} is acknowledged as draining", runners[0].id),
                );
                acked
            }
        };
        let bound = match what {
            What::Key => CONFIG_APPLY_MS,
            What::Runner => DRAIN_MS,
        };
        // Requesters go on as before.
        let callers = in_touch
            .iter()
            .flat_map(|n| [*n, *n])
            .enumerate()
            .map(|(c, n)| {
                let (front, record, sent, ends) =
                    (nodes[n].front, record.clone(), sent.clone(), ends.clone());
                let key = match what {
                    What::Key => key.clone(),
                    What::Runner => format!("key-{ROUNDS}"),
                };
                thread::spawn(move || {
                    let mut conn = None;
                    for k in 0.. {
                        if ends.load(Ordering::SeqCst) {
                            return;
                        }
                        let id = format!("{round:02x}{c:02x}{k:08x}");
                        let ask = Ask {
                            method: "POST",
                            path: "/look/1",
                            id: &id,
                            key: &key,
                            deadline_ms: 3000,
                            tokens: None,
                            body: b"{}",
                        };
                        let mut channel = match conn.take().map_or_else(|| Conn::connect(front), Ok)
                        {
                            Ok(channel) => channel,
                            Err(_) => continue,
                        };
                        let at = record.now();
                        sent.lock().unwrap().push((id.clone(), at, n));
                        let answer = ask.send(&mut channel).and_then(|()| receive(&mut channel));
                        let text = match &answer {
                            Ok((head, _)) => head.status().to_string(),
                            Err(e) => e.to_string(),
                        };
                        record.note(&format!(
                            "request {id} of {key}, sent at {at:.1} ms to front-{}: {text}",
                            n + 1
                        ));
                        if let Ok((head, _)) = answer
                            && !head.closes()
                        {
                            conn = Some(channel);
                        }
                        thread::sleep(Duration::from_millis(40));
                    }
                })
            });
        let callers: Vec<_> = callers.collect();
        if what == What::Runner {
            // It serves on for `drain_ms` and a little longer, then it exits.
            let left = acked + DRAIN_MS + LINGER_MS - record.now();
            thread::sleep(Duration::from_secs_f64(left.max(0.0) / 1000.0));
            runners[0].leave(&store);
            record.note(&format!("{} exits", runners[0].id));
        }
        let left = acked / 1000.0 + AWAY.as_secs_f64() - record.now() / 1000.0;
        thread::sleep(Duration::from_secs_f64(left.max(0.0)));
        ends.store(true, Ordering::SeqCst);
        callers
            .into_iter()
            .for_each(|c| c.join().expect("a requester"));
        doors.iter().for_each(|d| d.set_fault(Fault::None));
        record.note("the store serves all");
        let arrivals: Vec<_> = match what {
            What::Key => runners.iter().flat_map(Runner::arrivals).collect(),
            What::Runner => runners[0].arrivals(),
        };
        let before = late.len();
        for (id, at, n) in sent
            .lock()
            .unwrap()
            .iter()
            .filter(|(_, at, _)| *at > acked + bound)
        {
            let found = arrivals.iter().find(|a| a.id == *id);
            if let Some(a) = found.filter(|a| what == What::Runner || a.ran.is_some()) {
                let after = at - acked;
                record.note_at(a.at, &format!("LATE: request {id}, sent {after:.0} ms after the ack to front-{}, reached a runner", n + 1));
                late.push(after);
            }
        }
        rounds += usize::from(late.len() > before);
        if what == What::Runner {
            // Another one takes its place.
            let lost = arrivals
                .iter()
                .filter(|a| a.ran.is_some() && a.ended.is_none());
            cut += lost.count();
            runners[0] = start(3 + round);
        }
        thread::sleep(CALM);
    }
    let most = late.iter().copied().fold(0.0, f64::max);
    let rule = match what {
        What::Key => "requests with a key that had been taken away ran".to_owned(),
        What::Runner => {
            format!("requests reached a draining runner ({cut} were cut off as it exited)")
        }
    };
    Verdict {
        broken: !late.is_empty(),
        seen: format!(
            "{} {rule}, sent later than 2000 ms after the ack, at machines in touch, in {rounds} of {ROUNDS} rounds; the latest {most:.0} ms after it",
            late.len()
        ),
    }
}

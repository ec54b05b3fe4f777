//! A small deployment like the site `naidu-ballast`: its routes, bounds, rates and sizes.

#[path = "world.rs"]
pub mod world;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};
use world::*;

pub const ZONES: [&str; 3] = ["lautoka", "nadi", "ba"];
pub const BOUNDS: &str = "{\"stop_grace_s\":8,\"key_removal_ms\":5000,\"apply_ms\":2000,\"repeat_ratio\":0.2,\"repeat_window_s\":10,\"repeat_slack\":52,\"quota_excess\":0.1,\"quota_slack\":140000,\"lookup_lifetime_s\":5}";
pub const HOST: &str = "ficu95.example";

/// A kind of request of the site's sheet.
pub struct Kind {
    pub name: &'static str,
    pub path: &'static str,
    pub method: &'static str,
    pub per_s: f64,
    pub deadline_ms: u64,
    pub body: usize,
    pub prompt: f64,
    pub events: f64,
}

pub const KINDS: [Kind; 5] = [
    Kind { name: "fleet-plan", path: "/plan/", method: "POST", per_s: 21.4, deadline_ms: 12000, body: 12000, prompt: 6610.0, events: 54.6 },
    Kind { name: "tyre-query", path: "/query/", method: "POST", per_s: 38.2, deadline_ms: 10000, body: 830, prompt: 628.0, events: 41.6 },
    Kind { name: "sheet-tag", path: "/tag/", method: "POST", per_s: 32.8, deadline_ms: 3000, body: 2400, prompt: 1800.0, events: 3.2 },
    Kind { name: "job-book", path: "/book/", method: "POST", per_s: 23.1, deadline_ms: 3000, body: 600, prompt: 0.0, events: 0.0 },
    Kind { name: "stock-look", path: "/stock/", method: "GET", per_s: 9.24, deadline_ms: 3000, body: 0, prompt: 0.0, events: 0.0 },
];

pub fn config(version: u64, keys: &[&str]) -> String {
    let route = |name: &str, path: &str, kind: &str, service: &str, timeout: u64, aim: u64, priority: u8, attempts: u8, resume: bool| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"{path}\",\"kind\":\"{kind}\",\"timeout_ms\":{timeout},\"target_latency_ms\":{aim},\"priority\":{priority},\"service\":\"{service}\",\"attempts\":{attempts},\"public\":false,\"can_resume\":{resume},\"gap_aim_ms\":800}}"
        )
    };
    let routes = [
        route("plan", "/plan/", "stream", "pool", 12000, 1200, 0, 2, true),
        route("query", "/query/", "stream", "pool", 10000, 600, 1, 1, false),
        route("tag", "/tag/", "stream", "pool", 3000, 800, 2, 2, true),
        route("book", "/book/", "unsafe", "desk", 1500, 300, 2, 1, false),
        route("stock", "/stock/", "safe", "desk", 1500, 300, 2, 2, false),
    ];
    let keys: Vec<_> = keys.iter().map(|k| format!("\"{k}\"")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"pool\",\"health_path\":\"/healthz\",\"max_conns\":360,\"engine\":{{\"slots\":7,\"kv_cap_tokens\":350263,\"stride\":7}}}},{{\"name\":\"desk\",\"health_path\":\"/healthz\",\"max_conns\":96}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[{}],\"priority\":1,\"unit\":\"tokens\",\"plain_tokens\":200,\"per_s\":1200000,\"burst\":1200000}}]}}",
        routes.join(","),
        keys.join(",")
    )
}

/// Sizes of one request: prompt tokens and events of its answer.
pub fn sizes(kind: &Kind, rng: &Rng) -> (u64, u64) {
    let prompt = rng.exponential(kind.prompt).min(54_600.0).max(16.0);
    let events = rng.exponential(kind.events).min(kind.events * 10.0).max(1.0);
    (prompt as u64, events as u64)
}

pub fn request_text(kind: &Kind, id: &str, key: &str, prompt: u64, events: u64) -> Vec<u8> {
    let mut text = format!(
        "{} {}2f HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\nAuthorization: Bearer {key}\r\n",
        kind.method, kind.path, kind.deadline_ms
    );
    if kind.events > 0.0 {
        text += &format!("Model: m\r\nToken-Count: {prompt},{}\r\nPrompt-Prefix: {}:{prompt}\r\n", events * 7, &id[..16]);
    }
    if kind.body > 0 {
        text += &format!("Content-Length: {}\r\n", kind.body);
    }
    text += "\r\n";
    [text.as_bytes(), &vec![b'b'; kind.body]].concat()
}

/// What became of one request.
#[derive(Clone)]
pub struct Outcome {
    pub id: String,
    pub kind: usize,
    pub node: usize,
    pub at_ms: f64,
    pub ended_ms: f64,
    pub kept: bool,
    pub answer: Answer,
}

/// Sends the site's traffic for `length`, on kept channels, from random requesters to random nodes
/// that the directory names. Returns all outcomes once the last one has ended.
pub fn traffic(world: &Arc<World>, length: Duration, kinds: std::ops::Range<usize>) -> Vec<Outcome> {
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let idle: Arc<Vec<Mutex<Vec<Channel>>>> = Arc::new(world.nodes.iter().map(|_| Mutex::default()).collect());
    let open = Arc::new(AtomicU64::new(0));
    let mut threads = Vec::new();
    for kind in kinds {
        let (world, outcomes, idle, open) = (world.clone(), outcomes.clone(), idle.clone(), open.clone());
        threads.push(thread::spawn(move || {
            let end = Instant::now() + length;
            let mut next = Instant::now();
            loop {
                next += Duration::from_secs_f64(world.rng.exponential(1.0 / KINDS[kind].per_s));
                thread::sleep(next.saturating_duration_since(Instant::now()));
                if Instant::now() >= end {
                    break;
                }
                let (world, outcomes, idle, open) = (world.clone(), outcomes.clone(), idle.clone(), open.clone());
                open.fetch_add(1, Ordering::Relaxed);
                thread::spawn(move || {
                    let outcome = one(&world, kind, &idle);
                    outcomes.lock().unwrap().push(outcome);
                    open.fetch_sub(1, Ordering::Relaxed);
                });
            }
        }));
    }
    for t in threads {
        let _ = t.join();
    }
    let until = Instant::now() + ms(13_000);
    while open.load(Ordering::Relaxed) > 0 && Instant::now() < until {
        thread::sleep(ms(20));
    }
    let all = outcomes.lock().unwrap();
    all.clone()
}

fn one(world: &World, kind: usize, idle: &[Mutex<Vec<Channel>>]) -> Outcome {
    let k = &KINDS[kind];
    let id = world.id();
    let (prompt, events) = sizes(k, &world.rng);
    let text = request_text(k, &id, "k1", prompt, events);
    let at_ms = world.record.now();
    let mut tried = Vec::new();
    loop {
        let mut node = world.rng.below(world.nodes.len());
        while tried.contains(&node) {
            node = (node + 1) % world.nodes.len();
        }
        let kept = idle[node].lock().unwrap().pop();
        let is_kept = kept.is_some();
        let channel = match kept {
            Some(ch) => Some(ch),
            None => TcpStream::connect_timeout(&world.nodes[node].http, ms(1000)).ok().map(Channel::new),
        };
        let Some(mut channel) = channel else {
            tried.push(node);
            if tried.len() < world.nodes.len() {
                continue;
            }
            let answer = Answer { status: 0, fields: Vec::new(), body: Vec::new(), end: End::NoChannel, keeps: false };
            return Outcome { id, kind, node, at_ms, ended_ms: world.record.now(), kept: false, answer };
        };
        world.record.line(&format!("send {id} {} to {}", k.name, world.nodes[node].name));
        let answer = ask(&mut channel, &text, ms(k.deadline_ms));
        world.record.line(&format!("answer {id} {} {:?} {} bytes", answer.status, answer.end, answer.body.len()));
        if answer.end == End::Complete && answer.keeps {
            idle[node].lock().unwrap().push(channel);
        }
        return Outcome { id, kind, node, at_ms, ended_ms: world.record.now(), kept: is_kept, answer };
    }
}

use std::net::TcpStream;

/// A sound runner's work: an answer of the site's usual length after its usual time.
pub fn sound_work(r: &Runner, req: &Request, tcp: &mut TcpStream, rng: &Rng) -> bool {
    use std::io::Write;
    let counts = req.head.get("token-count").and_then(|v| v.split_once(','));
    let Some((prompt, output)) = counts else {
        thread::sleep(Duration::from_secs_f64((0.02 + rng.exponential(0.04)).min(0.45)));
        let body = format!("answer to {} {}", req.id(), "y".repeat(700));
        let text = ok_head(req, &format!("Content-Length: {}\r\n", body.len())) + &body;
        let done = tcp.write_all(text.as_bytes()).is_ok();
        r.record.line(&format!("done {} at {}", req.id(), r.id));
        return done;
    };
    let prompt: f64 = prompt.trim().parse().unwrap_or(0.0);
    let events = output.trim().parse::<u64>().unwrap_or(7) / 7;
    thread::sleep(Duration::from_secs_f64((14.0 + prompt / 48.2) / 1000.0));
    let from: u64 = req.head.get("last-event-id").and_then(|v| v.parse().ok()).unwrap_or(0);
    if tcp.write_all(ok_head(req, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n").as_bytes()).is_err() {
        return false;
    }
    for n in from + 1..=events.max(1) {
        if n > from + 1 {
            thread::sleep(ms(24));
        }
        if tcp.write_all(&chunk(event(n, req.id()).as_bytes())).is_err() {
            r.record.line(&format!("left {} at {}", req.id(), r.id));
            return false;
        }
    }
    let done = tcp.write_all(b"0\r\n\r\n").is_ok();
    r.record.line(&format!("done {} at {}", req.id(), r.id));
    done
}

//! Runners in trouble send bytes that are no answer, without end, in the body of a failing answer.
//! The platform ends each process whose memory exceeds the machine's.

#[path = "site.rs"]
mod site;

use site::world::*;
use site::*;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// `memory_mb` of the site's machines.
const MEMORY_MB: f64 = 110.0;

fn env(name: &str, default: f64) -> f64 {
    std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(default)
}

fn main() {
    let world = Arc::new(World::new(6, &ZONES, BOUNDS));
    world.store.put("keyed.op", "config", &config(7, &["k1"]));
    let in_trouble = Arc::new(AtomicBool::new(false));
    // Share of a sick runner's answers without end, and their pace on one channel.
    let x = env("X", 0.45);
    let pace_mb_s = env("PACE", 4.0);
    let sick_pool = env("SICK_POOL", 18.0) as usize;
    let sick_desk = env("SICK_DESK", 0.0) as usize;
    let mut runners = Vec::new();
    for n in 0..21usize {
        let (service, slots, sick, host) = match n < 18 {
            true => ("pool", 7, n < sick_pool, 100 + n as u8),
            false => ("desk", 6, n - 18 < sick_desk, 100 + n as u8),
        };
        let (w, trouble) = (world.clone(), in_trouble.clone());
        let work: Work = Arc::new(move |r, req, tcp| {
            if sick && trouble.load(Ordering::Relaxed) && w.rng.unit() < x {
                r.record.line(&format!("endless {} at {}", req.id(), r.id));
                let head = format!("HTTP/1.1 500 Internal Server Error\r\nRequest-Id: {}\r\nSeal: s.{}\r\n\r\n", req.id(), req.id());
                if tcp.write_all(head.as_bytes()).is_err() {
                    return false;
                }
                let junk = [0xa5u8; 40_000];
                let start = Instant::now();
                let mut sent = 0usize;
                while tcp.write_all(&junk).is_ok() {
                    sent += junk.len();
                    let due = Duration::from_secs_f64(sent as f64 / (pace_mb_s * 1e6));
                    thread::sleep(due.saturating_sub(start.elapsed()));
                }
                r.record.line(&format!("closed {} at {} after {sent} bytes", req.id(), r.id));
                return false;
            }
            sound_work(r, req, tcp, &w.rng)
        });
        let (id, zone) = (format!("i-{n:02}"), ZONES[n % 3]);
        runners.push(Runner::start(&id, service, zone, world.at(host, 8782), slots, world.store.clone(), world.record.clone(), work));
    }
    world.start_nodes();

    // The platform: ends processes over their memory, and starts ended ones again after half a second.
    let ends: Arc<Mutex<Vec<(usize, f64, String)>>> = Arc::default();
    let peak = Arc::new(Mutex::new(vec![0.0f64; world.nodes.len()]));
    let (w, e, p) = (world.clone(), ends.clone(), peak.clone());
    thread::spawn(move || loop {
        for (n, node) in w.nodes.iter().enumerate() {
            let mb = node.memory_mb();
            let mut peak = p.lock().unwrap();
            peak[n] = peak[n].max(mb);
            drop(peak);
            if mb > MEMORY_MB {
                node.signal(SIGKILL);
                let at = w.record.now();
                node.reap();
                w.record.say(&format!("{} has {mb:.0} MB of {MEMORY_MB} MB and is killed", node.name));
                e.lock().unwrap().push((n, at, "memory".into()));
                let node = node.clone();
                thread::spawn(move || {
                    thread::sleep(ms(500));
                    node.start_process();
                });
            } else if let Some(status) = node.exited() {
                w.record.say(&format!("{} has ended by itself: {status}", node.name));
                e.lock().unwrap().push((n, w.record.now(), status));
                node.reap();
                node.start_process();
            }
        }
        thread::sleep(ms(10));
    });

    let (w, t) = (world.clone(), in_trouble.clone());
    thread::spawn(move || {
        thread::sleep(ms(8000));
        if is_trouble() {
            w.record.say("runners begin to send without end");
            t.store(true, Ordering::Relaxed);
        }
        thread::sleep(ms(env("FOR_MS", 4000.0) as u64));
        t.store(false, Ordering::Relaxed);
        w.record.say("all runners are sound again");
    });
    let outcomes = traffic(&world, ms(24_000), 0..KINDS.len());

    let text = std::fs::read_to_string(std::env::var("RECORD").unwrap_or("record.txt".into())).unwrap_or_default();
    let ids = |word: &str| -> std::collections::HashSet<String> {
        let lines = text.lines().filter_map(|l| l[11..].strip_prefix(word));
        lines.filter_map(|l| l.split(' ').next()).map(str::to_owned).collect()
    };
    let (ran, sick) = (ids("run "), ids("endless "));
    // A request that only sound runners got, on a kept channel that was closed without an answer, well
    // before its route's timeout (12,000, 10,000, 3,000 and 1,500 ms).
    let timeout_ms = [12_000.0, 10_000.0, 3_000.0, 1_500.0, 1_500.0];
    let in_time = |o: &&Outcome| o.ended_ms - o.at_ms < timeout_ms[o.kind] - 500.0;
    let lost: Vec<_> = outcomes.iter().filter(in_time).filter(|o| o.kept && o.answer.end == End::Closed && ran.contains(&o.id) && !sick.contains(&o.id)).collect();
    let closed = outcomes.iter().filter(|o| o.answer.end == End::Closed).count();
    let good = outcomes.iter().filter(|o| o.answer.end == End::Complete && o.answer.status == 200).count();
    let peak = peak.lock().unwrap().iter().map(|p| format!("{p:.0}")).collect::<Vec<_>>().join(" ");
    world.record.say(&format!("peak memory of the nodes in MB: {peak}"));
    world.record.say(&format!("{} requests, {good} with 200, {closed} closed without a whole answer", outcomes.len()));
    world.record.say(&format!("processes that ended: {}; requests passed on to sound runners and closed without an answer: {}", ends.lock().unwrap().len(), lost.len()));
    for o in lost.iter().take(8) {
        world.record.say(&format!("lost: {} {} at {} sent {:.0} closed {:.0}", o.id, KINDS[o.kind].name, world.nodes[o.node].name, o.at_ms, o.ended_ms));
    }
    let broken = lost.len() > 3;
    if outcomes.len() < 100 {
        world.end(2);
    }
    world.end(i32::from(broken));
}

//! Runners refuse some requests as full, and send some of these refusals twice: the second one comes
//! late, where the next answer on that channel is expected.

#[path = "site.rs"]
mod site;

use site::world::*;
use site::*;
use std::collections::HashMap;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// `srv_grey` of the site: share of its requests that a runner in trouble fails, here as full (0.45 at most).
const SHED: f64 = 0.3;
/// `garble` with `extra late` of the site: share of the answers after which a second one comes.
const EXTRA: f64 = 0.03;
/// The refusal of a full runner, as the pages show it.
const REFUSAL: &str = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";

struct Desk {
    id: String,
    // Whether it sends second answers: two of the three runners do.
    garbles: bool,
    world: Arc<World>,
    in_trouble: Arc<AtomicBool>,
    runs: Arc<Mutex<HashMap<String, Vec<String>>>>,
    active: AtomicU64,
    extras: Arc<AtomicU64>,
}

impl Desk {
    fn serve(&self, tcp: TcpStream) {
        let record = &self.world.record;
        let mut ch = Channel::new(tcp);
        // The late second answer of the channel's last request.
        let mut late: Option<(String, String)> = None;
        while let Ok(head) = ch.head(None) {
            let len = head.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
            let Ok(body) = ch.exactly(len, None) else { return };
            let req = Request { head, body };
            let id = req.id().to_owned();
            if let Some((text, of)) = late.take() {
                record.line(&format!("extra answer of {of} at {} while {id} is asked", self.id));
                self.extras.fetch_add(1, Ordering::Relaxed);
                let _ = ch.tcp.write_all(text.as_bytes());
            }
            let trouble = self.in_trouble.load(Ordering::Relaxed);
            let is_full = self.active.load(Ordering::Relaxed) >= 30;
            if is_full || trouble && self.world.rng.unit() < SHED {
                record.line(&format!("full {id} at {}", self.id));
                let _ = ch.tcp.write_all(REFUSAL.as_bytes());
                if trouble && self.garbles && self.world.rng.unit() < EXTRA {
                    late = Some((REFUSAL.to_owned(), id));
                }
                continue;
            }
            record.line(&format!("run {id} {} at {}", req.path(), self.id));
            self.runs.lock().unwrap().entry(id.clone()).or_default().push(self.id.clone());
            self.active.fetch_add(1, Ordering::Relaxed);
            thread::sleep(Duration::from_secs_f64((0.02 + self.world.rng.exponential(0.04)).min(0.45)));
            self.active.fetch_sub(1, Ordering::Relaxed);
            let text = format!("answer to {id} {}", "y".repeat(700));
            let text = ok_head(&req, &format!("Content-Length: {}\r\n", text.len())) + &text;
            record.line(&format!("done {id} at {}", self.id));
            if ch.tcp.write_all(text.as_bytes()).is_err() {
                return;
            }
            if trouble && self.garbles && self.world.rng.unit() < EXTRA {
                late = Some((text, id));
            }
        }
    }
}

fn main() {
    let world = Arc::new(World::new(6, &ZONES, BOUNDS));
    world.store.put("keyed.op", "config", &config(7, &["k1"]));
    let in_trouble = Arc::new(AtomicBool::new(false));
    let runs: Arc<Mutex<HashMap<String, Vec<String>>>> = Arc::default();
    let extras = Arc::new(AtomicU64::new(0));
    for n in 0..3u8 {
        let addr = world.at(100 + n, 8782);
        let id = format!("i-{n:02}");
        let desk = Arc::new(Desk {
            id: id.clone(),
            garbles: n < 2,
            world: world.clone(),
            in_trouble: in_trouble.clone(),
            runs: runs.clone(),
            active: AtomicU64::new(0),
            extras: extras.clone(),
        });
        let Ok(listener) = TcpListener::bind(addr) else { world.end(2) };
        thread::spawn(move || {
            for tcp in listener.incoming().flatten() {
                let desk = desk.clone();
                thread::spawn(move || desk.serve(tcp));
            }
        });
        let (w, zone) = (world.clone(), ZONES[n as usize]);
        thread::spawn(move || {
            for seq in 0.. {
                w.store.put("keyed.servers", &id, &format!("{{\"service\":\"desk\",\"addr\":\"{addr}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":{seq},\"born\":1700000000000}}"));
                thread::sleep(ms(1200));
            }
        });
    }
    world.start_nodes();
    let (w, t) = (world.clone(), in_trouble.clone());
    thread::spawn(move || {
        loop {
            thread::sleep(ms(500));
            t.store(is_trouble(), Ordering::Relaxed);
            w.record.line("trouble begins");
            thread::sleep(ms(5000));
            t.store(false, Ordering::Relaxed);
            w.record.line("trouble ends");
        }
    });
    let outcomes = traffic(&world, ms(92_000), 3..5);
    let runs = runs.lock().unwrap();
    let bookings: Vec<_> = outcomes.iter().filter(|o| KINDS[o.kind].name == "job-book").collect();
    let twice: Vec<_> = bookings.iter().filter(|o| runs.get(&o.id).is_some_and(|r| r.len() > 1)).collect();
    // 429 and 503 promise that the request has not run.
    let untrue: Vec<_> = bookings.iter().filter(|o| matches!(o.answer.status, 429 | 503) && runs.contains_key(&o.id)).collect();
    let good = outcomes.iter().filter(|o| o.answer.status == 200 && o.answer.end == End::Complete).count();
    world.record.say(&format!("{} requests, {good} with 200; {} bookings; {} late second answers", outcomes.len(), bookings.len(), extras.load(Ordering::Relaxed)));
    world.record.say(&format!("bookings that ran twice: {}; refused with 429 or 503 though they ran: {}", twice.len(), untrue.len()));
    for o in twice.iter().chain(&untrue).take(8) {
        world.record.say(&format!("{} sent to {} at {:.0} ms, answered {} at {:.0} ms, ran at {:?}", o.id, world.nodes[o.node].name, o.at_ms, o.answer.status, o.ended_ms, runs[&o.id]));
    }
    if bookings.len() < 200 {
        world.end(2);
    }
    world.end(i32::from(!twice.is_empty() || !untrue.is_empty()));
}

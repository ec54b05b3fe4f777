//! Runners spoil some of their streams: in the middle of an answer they send bytes that are no
//! answer, without end, until the caller closes.

#[path = "site.rs"]
mod site;

use site::world::*;
use site::*;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

/// `garble` of the site: share of the runners, and of their answers.
const SICK: usize = 6;
const SPOILT: f64 = 0.02;

// Lines of printable bytes; every eighth line is empty.
fn junk(rng: &Rng) -> Vec<u8> {
    let mut out = Vec::new();
    for line in 0..8 {
        if line < 7 {
            out.extend((0..64).map(|_| b'!' + rng.below(90) as u8));
        }
        out.push(b'\n');
    }
    out
}

// Pieces of a stream that are no events of this request.
fn foreign(answer: &Answer, id: &str) -> usize {
    let text = String::from_utf8_lossy(&answer.body);
    let pieces = text.split("\n\n").filter(|p| !p.trim().is_empty());
    pieces.filter(|p| !(p.starts_with("id: ") && p.contains(&format!("\ndata: {id} event ")))).count()
}

fn main() {
    let world = Arc::new(World::new(6, &ZONES, BOUNDS));
    world.store.put("keyed.op", "config", &config(7, &["k1"]));
    let in_trouble = Arc::new(AtomicBool::new(false));
    let mut runners = Vec::new();
    for n in 0..18usize {
        let (w, t) = (world.clone(), in_trouble.clone());
        let work: Work = Arc::new(move |r, req, tcp| {
            let spoils = n < SICK && t.load(Ordering::Relaxed) && w.rng.unit() < SPOILT;
            if !spoils {
                return sound_work(r, req, tcp, &w.rng);
            }
            r.record.line(&format!("spoilt {} at {}", req.id(), r.id));
            let from: u64 = req.head.get("last-event-id").and_then(|v| v.parse().ok()).unwrap_or(0);
            let head = ok_head(req, "Content-Type: text/event-stream\r\nConnection: close\r\n");
            let _ = tcp.write_all((head + &event(from + 1, req.id())).as_bytes());
            thread::sleep(ms(24));
            let mut sent = 0;
            loop {
                let bytes = junk(&w.rng);
                if tcp.write_all(&bytes).is_err() {
                    break;
                }
                sent += bytes.len();
                thread::sleep(ms(5));
            }
            r.record.line(&format!("closed {} at {} after {sent} bytes", req.id(), r.id));
            false
        });
        let addr = world.at(100 + n as u8, 8782);
        runners.push(Runner::start(&format!("i-{n:02}"), "pool", ZONES[n % 3], addr, 7, world.store.clone(), world.record.clone(), work));
    }
    world.start_nodes();
    let (w, t) = (world.clone(), in_trouble.clone());
    thread::spawn(move || loop {
        thread::sleep(ms(2000));
        t.store(is_trouble(), Ordering::Relaxed);
        w.record.line("trouble begins");
        thread::sleep(ms(5500));
        t.store(false, Ordering::Relaxed);
        w.record.line("trouble ends");
    });
    let outcomes = traffic(&world, ms(46_000), 0..3);
    let good = outcomes.iter().filter(|o| o.answer.status == 200 && o.answer.end == End::Complete).count();
    let bad: Vec<_> = outcomes.iter().filter(|o| o.answer.status == 200 && foreign(&o.answer, &o.id) > 0).collect();
    world.record.say(&format!("{} streams asked for, {good} complete; {} got bytes that are no answer", outcomes.len(), bad.len()));
    for o in bad.iter().take(8) {
        world.record.say(&format!("{} {} at {}: {} bytes, {} pieces that are no events of it, then {:?} after {:.0} ms", o.id, KINDS[o.kind].name, world.nodes[o.node].name, o.answer.body.len(), foreign(&o.answer, &o.id), o.answer.end, o.ended_ms - o.at_ms));
    }
    if outcomes.len() < 500 {
        world.end(2);
    }
    world.end(i32::from(!bad.is_empty()));
}

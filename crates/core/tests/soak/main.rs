//! A seeded soak: gateway processes before stand-ins, with faults from outside.
//!
//! Processes are killed, paused, stopped and restarted by signals; connections to
//! the store and the runners are silenced or blocked by relays; runners and the
//! store misbehave; the configuration changes. Faults overlap. What callers and
//! runners saw is checked while it runs and at the end.
//!
//! `SOAK_SEEDS=1-50 SOAK_SECONDS=8 cargo test --test soak -- --nocapture` plays more.

mod installation;
mod records;

use installation::{Installation, Node};
use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};
use records::{Kind, Records};
use rwd_lab::site::{Behaviour, StoreFault};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

/// Callers that send one request after the other.
const CALLERS: u64 = 8;
/// Longest pause between two faults, in milliseconds.
const MAX_GAP_MS: u64 = 500;
/// Longest single fault, in milliseconds.
const MAX_FAULT_MS: u64 = 2500;
/// How long a whole system may take to serve again after its last fault.
const RECOVERY: Duration = Duration::from_secs(12);
/// Seeds that failed once, with the cause beside them.
const REGRESSIONS: [u64; 0] = [];

fn seeds() -> Vec<u64> {
    let text = std::env::var("SOAK_SEEDS").unwrap_or_else(|_| "1-2".to_owned());
    let range = |part: &str| {
        let (from, to) = part.split_once('-').unwrap_or((part, part));
        let number = |s: &str| {
            s.trim()
                .parse::<u64>()
                .expect("SOAK_SEEDS is a list of ranges")
        };
        number(from)..=number(to)
    };
    let seeds = text.split(',').flat_map(range);
    REGRESSIONS.into_iter().chain(seeds).collect()
}

fn seconds() -> u64 {
    let text = std::env::var("SOAK_SECONDS").unwrap_or_else(|_| "4".to_owned());
    text.parse().expect("SOAK_SECONDS is a number")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold_under_composed_faults() {
    for seed in seeds() {
        println!("soak: seed {seed}");
        play(seed, Duration::from_secs(seconds())).await;
    }
}

async fn play(seed: u64, time: Duration) {
    let site = Arc::new(Installation::start(3).await);
    let records = Arc::new(Records::default());
    let end = Instant::now() + time;
    let mut callers = JoinSet::new();
    for n in 0..CALLERS {
        let (site, records) = (site.clone(), records.clone());
        let rng = StdRng::seed_from_u64(seed * 1000 + n);
        callers.spawn(async move { records.call_until(&site, n, rng, end).await });
    }
    let mut faults = JoinSet::new();
    let mut rng = StdRng::seed_from_u64(seed);
    while Instant::now() < end {
        let (site, seed) = (site.clone(), rng.next_u64());
        faults.spawn(async move { fault(&site, StdRng::seed_from_u64(seed)).await });
        sleep(Duration::from_millis(rng.random_range(50..MAX_GAP_MS))).await;
    }
    while faults.join_next().await.is_some() {}
    while let Some(done) = callers.join_next().await {
        done.expect("a caller does not panic");
    }
    records.check(&site, seed);
    let recovered = timeout(RECOVERY, serves_again(&site, &records));
    assert!(
        recovered.await.is_ok(),
        "seed {seed}: not every node serves {RECOVERY:?} after the last fault"
    );
    records.check(&site, seed);
    println!("soak: seed {seed}: {}", records.summary());
}

// One fault from its beginning to its end.
async fn fault(site: &Installation, mut rng: StdRng) {
    let length = Duration::from_millis(rng.random_range(100..MAX_FAULT_MS));
    let node: &Node = &site.nodes[rng.random_range(0..site.nodes.len())];
    let runner = rng.random_range(0..site.runners.len());
    match rng.random_range(0..13) {
        0 => node.restart_after("-KILL", length).await,
        1 => node.restart_after("-TERM", Duration::ZERO).await,
        2 => {
            node.signal("-STOP").await;
            sleep(length).await;
            node.signal("-CONT").await;
        }
        3 => node.signal("-HUP").await,
        4 => {
            node.store_relay.block(true);
            sleep(length).await;
            node.store_relay.block(false);
        }
        5 => node.store_relay.silence(),
        6 => {
            let faults = [StoreFault::Busy, StoreFault::Silent, StoreFault::Reset];
            site.store.set_fault(faults[rng.random_range(0..3)]);
            sleep(length).await;
            site.store.set_fault(StoreFault::None);
        }
        7 => {
            site.relays[runner].block(true);
            sleep(length).await;
            site.relays[runner].block(false);
        }
        8 => site.relays[runner].silence(),
        9 => {
            site.list_runner(runner, "draining");
            sleep(length).await;
            site.list_runner(runner, "ready");
        }
        10 => site.change_config(),
        11 => site.compact(),
        _ => {
            let faults = [
                Behaviour::NotRun,
                Behaviour::Misdirected,
                Behaviour::Fail,
                Behaviour::WrongId,
                Behaviour::NoReceipt,
                Behaviour::Lost,
                Behaviour::Cut,
                Behaviour::Garbage,
                Behaviour::Extra,
                Behaviour::Unframed,
                Behaviour::Silent,
            ];
            let plan = [faults[rng.random_range(0..faults.len())]; 4];
            site.runners[runner].plan(&plan);
        }
    }
}

async fn serves_again(site: &Installation, records: &Records) {
    for n in 0..site.nodes.len() {
        for kind in Kind::ALL {
            while !records.call(site, n, kind, "after").await {
                sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

//! Random series of what targets do with requests and connections, and the ledger of what they ran.
//!
//! `SERIES_SEEDS=1-1000 cargo test -p rwd-lab --test gateway target_series` plays more seeds.

use crate::helper::{TestCluster, post};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rwd_lab::site::{Behaviour, CallResult, FakeTarget, Late, call, server_record};
use std::time::Duration;
use tokio::task::JoinSet;

/// Targets of the service that the requests are for.
const TARGETS: usize = 3;
/// Groups of requests in a series, each after one change of a target.
const STEPS: usize = 12;
/// Requests sent at the same time, by different callers.
const CALLERS: usize = 12;
/// Seeds played if none are given.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=12;

/// Refusals, the last header without its line end, with and without the id of their request.
const REFUSALS: [&str; 9] = [
    "503 Service Unavailable\r\nRequest-Id: ID\r\nNot-Run: 1",
    "503 Service Unavailable\r\nNot-Run: 1",
    "503 Service Unavailable\r\nRequest-Id: ID\r\nNot-Run: 1\r\nConnection: close",
    "429 Too Many Requests\r\nRequest-Id: ID\r\nNot-Run: 1",
    "429 Too Many Requests\r\nNot-Run: 1",
    "421 Misdirected Request\r\nRequest-Id: ID\r\nNot-Run: 1\r\nInstance-Id: other",
    "421 Misdirected Request\r\nRequest-Id: ID\r\nInstance-Id: other",
    "421 Misdirected Request\r\nInstance-Id: other",
    "400 Bad Request\r\nNot-Run: 1",
];

/// Heads of responses to requests that ran, which a careless reader takes for refusals.
const CLAIMS: [&str; 6] = [
    "200 OK\r\nRequest-Id: ID\r\nSeal: s\r\nNot-Run: 1\r\n",
    "503 Service Unavailable\r\nRequest-Id: ID\r\nSeal: s\r\nNot-Run: 1\r\n",
    "503 Service Unavailable\r\nRequest-Id: ID\r\n",
    "421 Misdirected Request\r\nRequest-Id: ID\r\nInstance-Id: SELF\r\n",
    "408 Request Timeout\r\nRequest-Id: ID\r\nNot-Run: 1\r\n",
    "503 Service Unavailable\r\nRequest-Id: ID\r\nRequest-Id: other\r\nNot-Run: 1\r\n",
];

/// Refusals that come late, after the response to another request.
const LATE: [&str; 3] = [
    "503 Service Unavailable\r\nNot-Run: 1\r\n",
    "503 Service Unavailable\r\nRequest-Id: ID\r\nNot-Run: 1\r\n",
    "421 Misdirected Request\r\nInstance-Id: other\r\n",
];

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("SERIES_SEEDS") else {
        return SEEDS.collect();
    };
    let (from, to) = text.split_once('-').unwrap_or((&text, &text));
    let number = |s: &str| s.parse::<u64>().expect("SERIES_SEEDS is a range");
    (number(from)..=number(to)).collect()
}

fn pick<T: Copy>(rng: &mut StdRng, from: &[T]) -> T {
    from[rng.random_range(0..from.len())]
}

fn behaviour(rng: &mut StdRng) -> Behaviour {
    match rng.random_range(0..14) {
        0..4 => Behaviour::Respond,
        4..7 => Behaviour::Refuse(pick(rng, &REFUSALS)),
        7 => Behaviour::Claim(pick(rng, &CLAIMS)),
        8 => Behaviour::RespondThenRefuse(pick(rng, &LATE)),
        9 => Behaviour::RefuseTwice(pick(rng, &LATE)),
        10 => pick(rng, &[Behaviour::Lost, Behaviour::Reset]),
        11 => pick(rng, &[Behaviour::RespondThenReset, Behaviour::Extra]),
        12 => pick(rng, &[Behaviour::Garbage, Behaviour::WrongId]),
        _ => pick(rng, &[Behaviour::Truncated, Behaviour::CutHead(10)]),
    }
}

/// Changes a target: what it does next, where it writes refusals again, whether it ends and another one
/// is started at its address.
fn change(cluster: &TestCluster, n: usize, step: usize, rng: &mut StdRng) {
    let target = &cluster.desk_targets[n];
    let list = |name: &str, present: bool| {
        let record = server_record("desk", target.address(), "ready", step as u64 + 2);
        let record = present.then_some(record);
        cluster.store.put("keyed.servers", name, record.as_deref());
    };
    let places = [None, Some(Late::SameConnection), Some(Late::NextConnection)];
    match rng.random_range(0..4) {
        0 => target.repeat_refusals(pick(rng, &places)),
        1 => target.crash(),
        2 => {
            target.crash();
            let name = format!("desk-{n}-{step}");
            target.accept_only(&name);
            list(&name, true);
            if rng.random_bool(0.3) {
                list(target.name(), false);
            }
        }
        _ => {
            let plan: Vec<_> = (0..CALLERS).map(|_| behaviour(rng)).collect();
            target.script(&plan);
        }
    }
}

fn check(cluster: &TestCluster, seed: u64, results: &[(String, CallResult)]) {
    for (id, result) in results {
        let status = result.status.map(|s| s.as_u16());
        let runs = cluster.runs(id);
        let refused = matches!(status, Some(408 | 421 | 429 | 503));
        if runs > 1 || runs == 1 && refused {
            let arrivals = cluster.desk_targets.iter().flat_map(FakeTarget::arrivals);
            let heads = arrivals.filter(|a| a.header("request-id") == Some(id));
            let heads: Vec<_> = heads.map(|a| (a.started, a.head)).collect();
            panic!("seed {seed}: {id} ran {runs} times and got {status:?}: {heads:#?}");
        }
    }
}

async fn play(seed: u64) -> (usize, usize) {
    let mut rng = StdRng::seed_from_u64(seed);
    let cluster = TestCluster::start(1, TARGETS, 0).await;
    for target in &cluster.desk_targets {
        target.set_work_time(Duration::from_millis(rng.random_range(1..30)));
    }
    let mut results = Vec::new();
    for step in 0..STEPS {
        change(&cluster, rng.random_range(0..TARGETS), step, &mut rng);
        let mut calls = JoinSet::new();
        for caller in 0..CALLERS {
            let (id, addr) = (format!("s{seed}-{step}-{caller}"), cluster.request_addr(0));
            calls.spawn(async move {
                let result = call(addr, &post("/unsafe/a", &id)).await;
                (id, result.unwrap())
            });
        }
        while let Some(done) = calls.join_next().await {
            results.push(done.unwrap());
        }
    }
    check(&cluster, seed, &results);
    let served = results
        .iter()
        .filter(|(_, r)| r.status.is_some_and(|s| s == 200));
    let arrivals = cluster.desk_targets.iter().map(|t| t.arrivals().len());
    (served.count(), arrivals.sum())
}

/// Guards against any series of refusals, responses, late bytes, resets, crashes and restarts at the same
/// address after which a booking runs twice, or is reported as not run though it ran.
#[tokio::test]
async fn no_series_of_what_targets_do_makes_a_request_run_twice() {
    let (mut served, mut arrived, mut sent) = (0, 0, 0);
    for seed in seeds() {
        let (ok, arrivals) = play(seed).await;
        (served, arrived) = (served + ok, arrived + arrivals);
        sent += STEPS * CALLERS;
    }
    println!("{sent} requests, {arrived} arrivals, {served} served");
    assert!(served > 0 && arrived > 0);
}

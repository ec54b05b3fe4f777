//! Results of the callers' requests, and the guarantees that they are checked against.

use crate::cluster::{KEY, TestCluster};
use rand::RngExt;
use rand::rngs::StdRng;
use rwd_lab::site::{Call, CallResult, STREAM_EVENTS, call};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Time after which a caller gives up; longer than the timeout of any route.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(6);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    Safe,
    Unsafe,
    Resume,
    Once,
}

impl Kind {
    pub const ALL: [Self; 4] = [Self::Safe, Self::Unsafe, Self::Resume, Self::Once];

    fn request(self, id: &str) -> Call {
        match self {
            Self::Safe => Call::new("GET", "/safe/a", id, KEY),
            Self::Unsafe => Call::new("POST", "/unsafe/a", id, KEY),
            Self::Resume => Call::new("POST", "/resume/a", id, KEY),
            Self::Once => Call::new("POST", "/once/a", id, KEY),
        }
    }

    fn complete_body(self, id: &str) -> String {
        match self {
            Self::Safe | Self::Unsafe => format!("answer to {id}"),
            Self::Resume | Self::Once => {
                let events = (1..=STREAM_EVENTS).map(|n| format!("id: {n}\ndata: event {n}\n\n"));
                events.collect()
            }
        }
    }

    fn may_retry(self) -> bool {
        matches!(self, Self::Safe | Self::Resume)
    }
}

struct Record {
    id: String,
    kind: Kind,
    /// `None` if the caller could not connect or gave up.
    result: Option<CallResult>,
}

#[derive(Default)]
pub struct Records {
    records: Mutex<Vec<Record>>,
    next_id: AtomicU64,
}

impl Records {
    /// Sends requests sequentially to random nodes.
    pub async fn call_until(
        &self,
        cluster: &TestCluster,
        caller: u64,
        mut rng: StdRng,
        end: Instant,
    ) {
        while Instant::now() < end {
            let node = rng.random_range(0..cluster.nodes.len());
            let kind = Kind::ALL[rng.random_range(0..4)];
            if !self.call(cluster, node, kind, &format!("c{caller}")).await {
                // A rejected caller waits before its next request.
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }

    /// Sends one request and returns whether it was served.
    pub async fn call(&self, cluster: &TestCluster, node: usize, kind: Kind, caller: &str) -> bool {
        let id = format!("{caller}-{}", self.next_id.fetch_add(1, Ordering::Relaxed));
        let request = kind.request(&id);
        let result = timeout(
            RESPONSE_TIMEOUT,
            call(cluster.nodes[node].address, &request),
        )
        .await;
        let result = result.ok().and_then(Result::ok);
        let served = result
            .as_ref()
            .is_some_and(|r| r.complete && r.status.is_some_and(|s| s.is_success()));
        let mut records = self.records.lock().unwrap_or_else(|e| e.into_inner());
        records.push(Record { id, kind, result });
        served
    }

    /// Checks all guarantees against the results so far.
    pub fn check(&self, cluster: &TestCluster, seed: u64) {
        let records = self.records.lock().unwrap_or_else(|e| e.into_inner());
        let all_runs = cluster.runs();
        for r in records.iter() {
            let what = format!("seed {seed}, {:?} {}", r.kind, r.id);
            let runs = all_runs.get(&r.id).copied().unwrap_or(0);
            if runs > 1 && !r.kind.may_retry() {
                let lines = cluster.nodes.iter().flat_map(|n| n.lines_of(&r.id));
                let lines: Vec<_> = lines.collect();
                panic!("{what} ran {runs} times\n{}", lines.join("\n"));
            }
            let Some(result) = &r.result else {
                continue;
            };
            let expected = r.kind.complete_body(&r.id);
            let body = String::from_utf8_lossy(&result.body);
            match result.status.map(|s| s.as_u16()) {
                Some(200) if result.complete => assert_eq!(body, expected, "{what}"),
                Some(200) => assert!(expected.starts_with(&*body), "{what}: {body}"),
                Some(429 | 503 | 408 | 421) => {
                    assert_eq!(runs, 0, "{what} was reported as not run")
                }
                Some(500 | 502 | 504) | None => (),
                other => panic!("{what}: status {other:?} for a proper request: {body}"),
            }
        }
        for target in 0..cluster.targets.len() {
            for arrival in cluster.targets[target].arrivals() {
                let for_desk =
                    arrival.head.contains(" /safe/") || arrival.head.contains(" /unsafe/");
                assert_eq!(
                    for_desk,
                    TestCluster::is_desk(target),
                    "seed {seed}: {}",
                    arrival.head
                );
            }
        }
    }

    pub fn summary(&self) -> String {
        let records = self.records.lock().unwrap_or_else(|e| e.into_inner());
        let count = |f: &dyn Fn(&CallResult) -> bool| {
            let results = records.iter().filter_map(|r| r.result.as_ref());
            results.filter(|r| f(r)).count()
        };
        let served = count(&|r| r.complete && r.status.is_some_and(|s| s.is_success()));
        let refused = count(&|r| r.status.is_some_and(|s| s.as_u16() == 503));
        format!(
            "{} requests, {served} served, {refused} refused",
            records.len()
        )
    }
}

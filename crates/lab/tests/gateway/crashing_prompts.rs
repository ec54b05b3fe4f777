//! Prompts with a part that crashes each target that begins to write a response to them.

use crate::helper::{TestCluster, post};
use rwd_lab::site::{Arrival, Call, FakeTarget, call};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval};

/// Time within which a machine in touch must know of the fifth crash.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Requests with the part that may reach targets later than that.
const MAX_LATE: usize = 3;
/// Time between two requests with the part; about twice the rate in the incident.
const BAD_PERIOD: Duration = Duration::from_millis(350);
/// Requests with the part that the load has at least.
const MIN_BAD_SENT: usize = 20;
/// Time between two sound requests.
const SOUND_PERIOD: Duration = Duration::from_millis(50);
/// How long a crashed target is down.
const DOWN: Duration = Duration::from_millis(700);
/// How long requests are sent.
const LOAD: Duration = Duration::from_secs(12);

const BAD_PART: &str = "bad0";

/// A request whose prompt has a part shared by all, one shared by some, and one of its own.
fn prompt(path: &str, id: &str, middle: &[String]) -> Call {
    let middle: String = middle.iter().map(|p| format!("{p}:100,")).collect();
    let prefix = format!("aaa:60,{middle}{:x}:50", 0xf000_0000_u64 + number(id));
    // Other prompts are other requests.
    post(path, id)
        .with_body(id)
        .header("prompt-prefix", &prefix)
        .header("token-count", "400,8")
        .header("model", "m")
}

fn number(id: &str) -> u64 {
    id[1..].parse().unwrap()
}

fn subject(n: u64) -> String {
    format!("b{:x}", n % 5)
}

/// A sound request: when it was sent, and whether it got its whole response.
type Sound = (Instant, bool);

struct Load {
    cluster: TestCluster,
    started: Instant,
    sound: JoinSet<Sound>,
    bad: JoinSet<()>,
}

impl Load {
    async fn start(nodes: u8, models: usize) -> Self {
        let cluster = TestCluster::start(nodes, 1, models).await;
        for target in &cluster.model_targets {
            target.crash_on(BAD_PART, DOWN);
        }
        Self {
            cluster,
            started: Instant::now(),
            sound: JoinSet::new(),
            bad: JoinSet::new(),
        }
    }

    fn send_sound(&mut self, to: SocketAddr, n: u64) {
        let req = prompt("/once/a", &format!("s{n}"), &[subject(n)]);
        self.sound.spawn(async move {
            let sent = Instant::now();
            let result = call(to, &req).await;
            let served = result.is_ok_and(|r| r.complete && r.status.is_some_and(|s| s == 200));
            (sent, served)
        });
    }

    fn send_bad(&mut self, to: SocketAddr, n: u64) {
        // Whatever else the request holds: with and without a subject, before and after it.
        let bad = BAD_PART.to_owned();
        let middle = match n % 3 {
            0 => vec![bad],
            1 => vec![bad, subject(n)],
            _ => vec![subject(n), bad],
        };
        let req = prompt("/once/a", &format!("x{n}"), &middle);
        self.bad.spawn(async move {
            // The caller gets an error or a refusal; the targets record what reached them.
            let _ = call(to, &req).await;
        });
    }

    fn bad_arrivals(&self) -> Vec<Arrival> {
        let all = self
            .cluster
            .model_targets
            .iter()
            .flat_map(FakeTarget::arrivals);
        let mut bad: Vec<_> = all.filter(|a| a.has_part(BAD_PART)).collect();
        bad.sort_by_key(|a| a.at);
        bad
    }

    fn crashes(&self) -> usize {
        self.cluster
            .model_targets
            .iter()
            .map(FakeTarget::crashes)
            .sum()
    }

    /// Checks both rules, given that the load goes on until now.
    async fn check(mut self) {
        assert!(self.bad.len() >= MIN_BAD_SENT, "{} sent", self.bad.len());
        let bad = self.bad_arrivals();
        // The last crash counts if there are fewer than five.
        let fifth = bad.iter().take(5).next_back();
        let fifth = fifth.expect("no request with the part arrived").at;
        let late = bad.iter().filter(|a| a.at > fifth + STABLE_WINDOW);
        let late: Vec<_> = late.map(|a| a.at - self.started).collect();
        assert!(late.len() <= MAX_LATE, "{} later: {late:?}", late.len());
        let mut served = 0;
        let mut unserved = 0;
        while let Some(result) = self.sound.join_next().await {
            match result.unwrap() {
                (sent, _) if sent < fifth + 2 * STABLE_WINDOW => (),
                (_, true) => served += 1,
                (_, false) => unserved += 1,
            }
        }
        assert!(served >= 20, "{served} served");
        assert!(served > unserved, "{served} served, {unserved} not");
    }
}

// second1: requests with one part kept crashing targets, one after the other.
#[tokio::test]
async fn a_prompt_part_that_crashes_targets_is_stopped_at_all_nodes() {
    let mut load = Load::start(3, 10).await;
    let mut bad = interval(BAD_PERIOD);
    let mut sound = interval(SOUND_PERIOD);
    bad.set_missed_tick_behavior(MissedTickBehavior::Delay);
    sound.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut n = 0;
    while load.started.elapsed() < LOAD {
        n += 1;
        tokio::select! {
            _ = bad.tick() => load.send_bad(load.cluster.request_addr((n % 3) as u8), n),
            _ = sound.tick() => load.send_sound(load.cluster.request_addr((n % 3) as u8), n),
        }
    }
    load.check().await;
}

// second1: the same with crashes at several nodes at once, a node that dies and one that joins.
#[tokio::test]
async fn a_prompt_part_that_crashes_targets_is_stopped_when_nodes_die_and_join() {
    let mut load = Load::start(4, 14).await;
    let mut bad = interval(4 * BAD_PERIOD);
    let mut sound = interval(SOUND_PERIOD);
    bad.set_missed_tick_behavior(MissedTickBehavior::Delay);
    sound.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut n = 0;
    let (mut alive, mut next) = (vec![0, 1, 2, 3], 0);
    while load.started.elapsed() < LOAD {
        n += 1;
        tokio::select! {
            _ = bad.tick() => {
                for node in alive.clone() {
                    n += 1;
                    load.send_bad(load.cluster.request_addr(node), n);
                }
            }
            _ = sound.tick() => {
                next = (next + 1) % alive.len();
                load.send_sound(load.cluster.request_addr(alive[next]), n);
            }
        }
        if alive.contains(&3) && load.crashes() >= 3 {
            // The node that saw some of the crashes dies, and another one joins.
            drop(load.cluster.nodes.pop());
            load.cluster.add_node(4).await;
            load.cluster.nodes[3].await_ready().await;
            alive = vec![0, 1, 2, 4];
        }
    }
    load.check().await;
}

// second1: any number of nodes may be lost; the block must not be lost with them.
#[tokio::test]
async fn a_blocked_prompt_part_stays_blocked_when_all_nodes_are_replaced() {
    let mut load = Load::start(2, 10).await;
    let mut bad = interval(BAD_PERIOD);
    let is_stored = |load: &Load| {
        let keys = load.cluster.store.keys("keyed.nodes");
        keys.iter().any(|k| k.starts_with("block-"))
    };
    let mut n = 0;
    while !is_stored(&load) {
        n += 1;
        bad.tick().await;
        load.send_bad(load.cluster.request_addr((n % 2) as u8), n);
        assert!(load.started.elapsed() < LOAD, "not blocked");
    }
    load.cluster.nodes.clear();
    load.cluster.add_node(2).await;
    load.cluster.nodes[0].await_ready().await;
    let before = load.bad_arrivals().len();
    for n in 100..120 {
        let req = prompt("/once/a", &format!("x{n}"), &[BAD_PART.to_owned()]);
        let result = call(load.cluster.request_addr(2), &req).await.unwrap();
        assert_eq!(result.status.map(|s| s.as_u16()), Some(503));
    }
    assert_eq!(load.bad_arrivals().len(), before);
    let req = prompt("/once/a", "s200", &[subject(1)]);
    let result = call(load.cluster.request_addr(2), &req).await.unwrap();
    assert_eq!(result.status.map(|s| s.as_u16()), Some(200));
}

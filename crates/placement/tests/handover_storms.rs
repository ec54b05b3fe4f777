//! Targets that crash when their requests exceed their memory, while schedulers are killed, frozen and
//! cut off in series. Time is virtual; each node is a home node and has a scheduler.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rwd_placement::{
    Capacity, Decision, HeldSlot, Offer, OfferId, PlacementSettings, Rank, Scheduler, SlotOutcome,
    TargetInfo, Timestamp, worst_case,
};
use rwd_types::{InstanceName, PoolName, TargetName};
use std::net::SocketAddr;

const NODES: usize = 8;
/// Nodes that home nodes ask before their own schedulers, in this order.
const RANKS: usize = 4;
const TARGETS: usize = 3;
const SLOTS: usize = 8;
/// Memory of a target, in tokens; eight of the largest requests exceed it.
const MEMORY: u32 = 100_000;
/// Time limit of a request, in milliseconds.
const LIMIT_MS: f64 = 6000.0;
const STEP_MS: f64 = 25.0;
/// Time after which a silent link counts as broken, in milliseconds.
const BREAK_MS: f64 = 700.0;
const AVOID_MS: f64 = 2000.0;

#[derive(Clone, Copy, Default)]
struct Switches {
    bounded_memory: bool,
    handover: bool,
}

struct Node {
    scheduler: Scheduler,
    /// Distinguishes the processes of the node.
    life: u32,
    down_until: f64,
    frozen_since: f64,
    frozen_until: f64,
    avoid: [f64; RANKS],
    /// Offers whose links broke while the node was frozen.
    to_lose: Vec<OfferId>,
}

/// A slot that a scheduler counts.
#[derive(Clone, Copy)]
struct Counted {
    node: usize,
    life: u32,
    id: OfferId,
}

struct Request {
    offer: Offer,
    home: usize,
    home_life: u32,
    arrived: f64,
    /// Time that a target needs, in milliseconds.
    service_ms: f64,
    at: Vec<Counted>,
    scheduler: usize,
    running: Option<(usize, f64)>,
    done: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    crashes: u32,
    over_slots: u32,
    completed: u32,
    /// Completed within three seconds after the first failure.
    after_failure: u32,
}

struct Storm {
    on: Switches,
    rng: StdRng,
    now: f64,
    nodes: Vec<Node>,
    requests: Vec<Request>,
    held: [u32; TARGETS],
    /// The side of each node in a partition, and when that began and ends.
    sides: [bool; NODES],
    cut: (f64, f64),
    first_failure: f64,
    out: Outcome,
}

fn pool() -> PoolName {
    "model".parse().unwrap()
}

fn name(n: usize) -> InstanceName {
    format!("n{n}").parse().unwrap()
}

fn target(n: usize) -> TargetName {
    format!("t{n}").parse().unwrap()
}

fn scheduler(on: Switches) -> Scheduler {
    let mut s = Scheduler::new(PlacementSettings {
        bounded_memory: on.bounded_memory,
        handover: on.handover,
        ..PlacementSettings::default()
    });
    let info = |n| TargetInfo {
        name: target(n),
        born: 1,
        version: Default::default(),
        address: SocketAddr::from(([127, 0, 0, 1], n as u16)),
        zone: "z1".parse().unwrap(),
        capacity: Capacity {
            slots: SLOTS as u32,
            memory_tokens: Some(MEMORY),
        },
        leaving: false,
        warm_up_ms: 0.0,
    };
    s.set_targets(&pool(), (0..TARGETS).map(info).collect());
    s
}

impl Storm {
    fn new(on: Switches, seed: u64) -> Self {
        let node = |_| Node {
            scheduler: scheduler(on),
            life: 0,
            down_until: 0.0,
            frozen_since: 0.0,
            frozen_until: 0.0,
            avoid: [0.0; RANKS],
            to_lose: Vec::new(),
        };
        Self {
            on,
            rng: StdRng::seed_from_u64(seed),
            now: 1_000_000.0,
            nodes: (0..NODES).map(node).collect(),
            requests: Vec::new(),
            held: [0; TARGETS],
            sides: [false; NODES],
            cut: (0.0, 0.0),
            first_failure: f64::INFINITY,
            out: Outcome::default(),
        }
    }

    fn time(&self) -> Timestamp {
        Timestamp(self.now)
    }

    fn runs(&self, n: usize) -> bool {
        self.now >= self.nodes[n].down_until && self.now >= self.nodes[n].frozen_until
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        (self.cut.0..self.cut.1).contains(&self.now) && self.sides[a] != self.sides[b]
    }

    fn reaches(&self, a: usize, b: usize) -> bool {
        self.runs(a) && self.runs(b) && !self.is_cut(a, b)
    }

    /// Whether the link between two nodes has been silent for long enough to be closed.
    fn is_broken(&self, home: usize, c: Counted) -> bool {
        let node = &self.nodes[c.node];
        let frozen = |n: &Node| self.now < n.frozen_until && self.now - n.frozen_since > BREAK_MS;
        node.life != c.life
            || (home != c.node
                && (frozen(node)
                    || frozen(&self.nodes[home])
                    || (self.is_cut(home, c.node) && self.now - self.cut.0 > BREAK_MS)))
    }

    /// The scheduler that a home node uses now; itself if it reaches none.
    fn scheduler_of(&mut self, home: usize) -> (usize, bool) {
        for rank in 0..RANKS {
            match () {
                _ if rank == home => return (home, false),
                _ if self.nodes[home].avoid[rank] > self.now => (),
                _ if self.reaches(home, rank) => return (rank, false),
                _ => self.nodes[home].avoid[rank] = self.now + AVOID_MS,
            }
        }
        (home, true)
    }

    fn place(&mut self, index: usize) {
        let home = self.requests[index].home;
        let (node, last_resort) = self.scheduler_of(home);
        let r = &self.requests[index];
        let age_ms = self.now - r.arrived;
        let mut offer = Offer {
            time_left_ms: LIMIT_MS - age_ms,
            last_resort: last_resort && self.on.bounded_memory,
            reuse_ms: 500.0,
            may_repeat: false,
            version: Default::default(),
            ..r.offer.clone()
        };
        if offer.last_resort {
            let others = (0..TARGETS).filter(|t| t % NODES != home);
            offer.exclude.extend(others.map(target));
        }
        let now = self.time();
        let n = &mut self.nodes[node];
        let id = n.scheduler.offer(offer, now);
        let life = n.life;
        let r = &mut self.requests[index];
        r.at = vec![Counted { node, life, id }];
        r.scheduler = node;
    }

    fn arrive(&mut self) {
        let home = self.rng.random_range(0..NODES);
        if !self.runs(home) {
            return;
        }
        let prompt = self.rng.random_range(500..12_000);
        let max_output = self.rng.random_range(100..4_000);
        let number = self.requests.len();
        let offer = Offer {
            request: format!("r{number}").into(),
            pool: pool(),
            rank: Rank::default(),
            workspace: None,
            parts: Vec::new(),
            prompt,
            output: max_output / 4,
            max_output,
            aim_left_ms: 1500.0,
            time_left_ms: LIMIT_MS,
            home: name(home),
            zone: "z1".parse().unwrap(),
            exclude: Vec::new(),
            beyond_quota: false,
            returned: false,
            resumes: false,
            last_resort: false,
            reuse_ms: 500.0,
            may_repeat: false,
            version: Default::default(),
        };
        let request = Request {
            offer,
            home,
            home_life: self.nodes[home].life,
            arrived: self.now,
            service_ms: self.rng.random_range(200.0..1800.0),
            at: Vec::new(),
            scheduler: home,
            running: None,
            done: false,
        };
        self.requests.push(request);
        self.place(number);
    }

    fn decide(&mut self) {
        for n in 0..NODES {
            if !self.runs(n) || !self.nodes[n].scheduler.has_waiting() {
                continue;
            }
            let now = self.time();
            for (id, decision) in self.nodes[n].scheduler.poll(now) {
                let life = self.nodes[n].life;
                let is_it = |r: &Request| {
                    let mut at = r.at.iter();
                    !r.done && at.any(|c| c.node == n && c.life == life && c.id == id)
                };
                let Some(index) = self.requests.iter().position(is_it) else {
                    self.nodes[n].scheduler.finish(id, SlotOutcome::Unused, now);
                    continue;
                };
                match decision {
                    Decision::Grant { target: t, .. } => {
                        let t = (0..TARGETS).find(|n| target(*n) == t).unwrap();
                        self.send(index, t);
                    }
                    Decision::Refuse { .. } => self.requests[index].done = true,
                }
            }
        }
    }

    /// A target queues requests beyond its slots, and crashes beyond its memory.
    fn send(&mut self, index: usize, t: usize) {
        let is_at = |r: &&Request| !r.done && r.running.is_some_and(|(at, _)| at == t);
        let busy = self.requests.iter().filter(is_at).count();
        self.out.over_slots += u32::from(busy >= SLOTS);
        let queued_ms = (busy.saturating_sub(SLOTS - 1)) as f64 * 200.0;
        let r = &mut self.requests[index];
        r.running = Some((t, self.now + queued_ms + r.service_ms));
        self.held[t] += worst_case(&r.offer);
        if self.held[t] > MEMORY {
            self.out.crashes += 1;
            self.held[t] = 0;
            for i in 0..self.requests.len() {
                let r = &self.requests[i];
                if !r.done && r.running.is_some_and(|(at, _)| at == t) {
                    self.end(i, SlotOutcome::Broken);
                }
            }
        }
    }

    fn end(&mut self, index: usize, outcome: SlotOutcome) {
        let now = self.time();
        let r = &mut self.requests[index];
        r.done = true;
        let at = std::mem::take(&mut r.at);
        let home = r.home;
        for c in at {
            if self.reaches(home, c.node) && self.nodes[c.node].life == c.life {
                self.nodes[c.node].scheduler.finish(c.id, outcome, now);
            } else if self.nodes[c.node].life == c.life {
                self.nodes[c.node].to_lose.push(c.id);
            }
        }
    }

    fn advance(&mut self) {
        for index in 0..self.requests.len() {
            if self.requests[index].done {
                continue;
            }
            let (home, life) = (self.requests[index].home, self.requests[index].home_life);
            let running = self.requests[index].running;
            let tokens = worst_case(&self.requests[index].offer);
            if self.nodes[home].life != life {
                // The target sees that its connection has been closed.
                if let Some((t, _)) = running {
                    self.held[t] = self.held[t].saturating_sub(tokens);
                }
                let r = &mut self.requests[index];
                r.done = true;
                for c in std::mem::take(&mut r.at) {
                    self.nodes[c.node].to_lose.push(c.id);
                }
                continue;
            }
            if !self.runs(home) {
                continue;
            }
            match running {
                Some((t, end)) if self.now >= end => {
                    self.held[t] = self.held[t].saturating_sub(tokens);
                    self.out.completed += 1;
                    let since = self.now - self.first_failure;
                    self.out.after_failure += u32::from((0.0..3000.0).contains(&since));
                    self.end(
                        index,
                        SlotOutcome::Complete {
                            first_ms: 100.0,
                            rest_ms: 500.0,
                            output: 100,
                        },
                    );
                }
                _ => self.check_links(index),
            }
        }
        for n in 0..NODES {
            if self.runs(n) {
                let now = self.time();
                for id in std::mem::take(&mut self.nodes[n].to_lose) {
                    self.nodes[n].scheduler.lose(id, now);
                }
            }
        }
    }

    fn check_links(&mut self, index: usize) {
        let home = self.requests[index].home;
        let at = std::mem::take(&mut self.requests[index].at);
        let (broken, kept) = at.into_iter().partition(|c| self.is_broken(home, *c));
        let lost: Vec<Counted> = broken;
        for c in &lost {
            if self.nodes[c.node].life == c.life {
                self.nodes[c.node].to_lose.push(c.id);
            }
        }
        self.requests[index].at = kept;
        let is_counted = !self.requests[index].at.is_empty();
        if self.requests[index].running.is_none() {
            if !is_counted && self.now - self.requests[index].arrived < LIMIT_MS / 3.0 {
                self.place(index);
            } else if !is_counted {
                self.requests[index].done = true;
            }
            return;
        }
        let (to, last_resort) = self.scheduler_of(home);
        let is_moved = to != self.requests[index].scheduler && !last_resort;
        if !self.on.handover || (is_counted && !is_moved) {
            return;
        }
        let r = &self.requests[index];
        let slot = HeldSlot {
            shard: pool(),
            target: target(r.running.unwrap().0),
            request: r.offer.request.clone(),
            tokens: worst_case(&r.offer),
            unread: 0,
            held_ms: 0.0,
            left_ms: (r.arrived + LIMIT_MS - self.now).max(0.0),
        };
        let now = self.time();
        let n = &mut self.nodes[to];
        if let Some(id) = n.scheduler.adopt(&slot, &name(home), now) {
            let life = n.life;
            let r = &mut self.requests[index];
            r.at.retain(|c| c.node != to);
            r.at.push(Counted { node: to, life, id });
            r.scheduler = to;
        }
    }

    fn kill(&mut self, n: usize) {
        self.nodes[n].scheduler = scheduler(self.on);
        self.nodes[n].life += 1;
        self.nodes[n].to_lose.clear();
        self.nodes[n].down_until = self.now + 1500.0;
    }

    fn fail(&mut self) {
        self.first_failure = self.first_failure.min(self.now);
        match self.rng.random_range(0..3) {
            0 => {
                let n = self.rng.random_range(0..RANKS);
                self.kill(n);
            }
            1 => {
                let n = self.rng.random_range(0..NODES);
                let ms = self.rng.random_range(300.0..3000.0);
                self.nodes[n].frozen_since = self.now;
                self.nodes[n].frozen_until = self.now + ms;
            }
            _ => {
                for n in 0..NODES {
                    self.sides[n] = self.rng.random();
                }
                self.cut = (self.now, self.now + self.rng.random_range(500.0..3000.0));
            }
        }
    }

    fn see(&mut self) {
        for n in 0..NODES {
            // A node sees late who is gone.
            let seen = |m: &usize| {
                let cut = self.is_cut(n, *m) && self.now - self.cut.0 > 1500.0;
                self.now >= self.nodes[*m].down_until && !cut
            };
            let share = (0..NODES).filter(seen).count() as f64 / NODES as f64;
            let now = self.time();
            self.nodes[n].scheduler.set_visible_share(share, now);
        }
    }

    fn step(&mut self, load: usize) {
        self.now += STEP_MS;
        self.see();
        for _ in 0..load {
            self.arrive();
        }
        self.decide();
        self.advance();
        self.requests.retain(|r| !r.done);
    }

    /// Warms up and then plays failures in series.
    fn play(mut self) -> Outcome {
        for step in 0..240 {
            let is_failure = step > 100 && self.rng.random_bool(0.04);
            if is_failure {
                self.fail();
            }
            let load = self.rng.random_range(0..3);
            self.step(load);
        }
        self.out
    }

    /// Kills the scheduler once.
    fn play_kill(mut self) -> Outcome {
        for step in 0..240 {
            if step == 120 {
                self.first_failure = self.now;
                self.kill(0);
            }
            let load = self.rng.random_range(0..2);
            self.step(load);
        }
        self.out
    }
}

fn sum(seeds: u64, on: Switches, play: fn(Storm) -> Outcome) -> Outcome {
    let all = (0..seeds).map(|seed| play(Storm::new(on, seed)));
    all.fold(Outcome::default(), |a, b| Outcome {
        crashes: a.crashes + b.crashes,
        over_slots: a.over_slots + b.over_slots,
        completed: a.completed + b.completed,
        after_failure: a.after_failure + b.after_failure,
    })
}

const ON: Switches = Switches {
    bounded_memory: true,
    handover: true,
};

/// Failure: schedulers killed, frozen and cut off in series, home nodes alone, responses at their maximum.
#[test]
fn no_target_crashes_by_its_memory_whatever_happens_to_schedulers() {
    let with = sum(1000, ON, Storm::play);
    println!("with both switches: {with:?}");
    assert_eq!(with.crashes, 0);
}

/// The same failures without the switch crash targets, so that the test above has something to find.
#[test]
fn targets_crash_by_their_memory_without_the_bound() {
    let without = sum(50, Switches::default(), Storm::play);
    println!("without, 50 seeds: {without:?}");
    assert!(without.crashes > 0);
}

/// Failure: the scheduler of a pool is killed. What home nodes report keeps its targets' queues short.
#[test]
fn a_killed_scheduler_costs_no_more_requests_with_hand_over_than_without() {
    let handover = Switches {
        handover: true,
        ..Switches::default()
    };
    let with = sum(200, handover, Storm::play_kill);
    let without = sum(200, Switches::default(), Storm::play_kill);
    println!("with: {with:?}\nwithout: {without:?}");
    assert!(with.over_slots < without.over_slots);
    assert!(f64::from(with.after_failure) >= 0.95 * f64::from(without.after_failure));
}

//! Many nodes in front of targets that limit their requests, in virtual time.
//!
//! Each home node offers its requests to the scheduler of a shard, as the gateway does: its
//! successors follow when it does not reply, the local scheduler comes last. Views of the membership
//! lag and disagree. Meanwhile nodes die and join, freeze, are cut off from the others, and leave.

use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use rwd_lab::site::LimitCount;
use rwd_placement::{
    Capacity, Decision, KnownLimits, LimitReport, Offer, OfferId, PlacementSettings, PromptPart,
    Rank, Recipient, Scheduler, SlotOutcome, TargetInfo, Timestamp,
};
use rwd_types::{Incarnation, InstanceName, PoolName, RequestRate};
use std::collections::{BTreeMap, BTreeSet};

const STEP_MS: f64 = 10.0;
const LENGTH_MS: f64 = 45_000.0;
/// How long a node is lost, frozen, cut off or leaving.
const FAULT_MS: f64 = 3500.0;
/// Earliest and latest time after which another node knows of a fault or its end.
const DETECTION_MS: (f64, f64) = (300.0, 1500.0);
/// How long a scheduler may take to reply, and how long one that did not is skipped.
const REPLY_TIMEOUT_MS: f64 = 350.0;
const AVOID_MS: f64 = 2000.0;
const MAX_REMOTE_SCHEDULERS: usize = 4;
/// Time after which the links to a scheduler that hangs break.
const LINK_TIMEOUT_MS: f64 = 700.0;
/// Schedulers of a shard that are told of limits before they get an offer.
const INFORMED_SCHEDULERS: usize = 4;
/// A machine is in touch if nothing has happened to it for this time, and requests count from this
/// time after a target first named its limit.
const STABLE_WINDOW_MS: f64 = 3000.0;
/// Requests of a node count from this time after it passed on a response with a limit.
const TOLD_MS: f64 = 500.0;
/// Share of what targets take that they must get while more than that is sent: without faults, and
/// with them.
const MIN_USE: (f64, f64) = (0.75, 0.5);
const SHARD_TARGETS: usize = 48;

#[derive(Clone, Copy, Debug)]
struct Storm {
    nodes: usize,
    targets: usize,
    /// Share of the targets that name limits.
    in_need: f64,
    /// Requests per second.
    per_s: f64,
    /// Share of the responses that break, so that their requests are repeated or resumed.
    broken: f64,
    /// Slots of a target, and the time of its longest responses. Those of the shortest are a quarter.
    slots: u32,
    response_ms: f64,
    /// Time between two faults of nodes.
    fault_period_ms: f64,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    Dead,
    Frozen,
    Cut,
    Leaving,
}

struct Node {
    scheduler: Scheduler,
    shards: BTreeSet<usize>,
    queued: BTreeMap<OfferId, u64>,
    // Reports that reach the scheduler when it is thawed.
    late_reports: Vec<(OfferId, LimitReport, SlotOutcome)>,
    known: KnownLimits,
    avoided: BTreeMap<usize, f64>,
    incarnation: u64,
    fault: Option<Fault>,
    fault_began: f64,
    fault_ended: f64,
}

impl Node {
    fn new() -> Self {
        Self {
            scheduler: Scheduler::new(PlacementSettings::default()),
            shards: BTreeSet::new(),
            queued: BTreeMap::new(),
            late_reports: Vec::new(),
            known: KnownLimits::default(),
            avoided: BTreeMap::new(),
            incarnation: 1,
            fault: None,
            fault_began: -1e9,
            fault_ended: -1e9,
        }
    }

    fn is(&self, fault: Fault) -> bool {
        self.fault == Some(fault)
    }

    fn runs(&self) -> bool {
        !self.is(Fault::Dead) && !self.is(Fault::Frozen)
    }
}

struct Target {
    limit: Option<f64>,
    next_change: f64,
    in_need: bool,
    /// Counts the requests of nodes in touch that had been told, and all requests.
    told: LimitCount,
    all: LimitCount,
    told_at: BTreeMap<usize, f64>,
}

enum State {
    /// Waits for a reply that does not come.
    Unanswered {
        until: f64,
        tried: usize,
    },
    Queued {
        scheduler: usize,
        incarnation: u64,
    },
    Sent {
        scheduler: usize,
        incarnation: u64,
        offer: OfferId,
        target: usize,
        sent: f64,
        ends: f64,
    },
}

struct Call {
    home: usize,
    shard: usize,
    tries: u32,
    created: f64,
    state: State,
}

struct World {
    storm: Storm,
    rng: StdRng,
    now: f64,
    nodes: Vec<Node>,
    /// The nodes in the order in which they become schedulers of each shard.
    ranked: Vec<Vec<usize>>,
    targets: Vec<Target>,
    calls: BTreeMap<u64, Call>,
    next_id: u64,
}

fn at(ms: f64) -> Timestamp {
    Timestamp(1e7 + ms)
}

fn hash(a: usize, b: usize) -> u64 {
    let mut x = (a as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15)
        ^ (b as u64).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x ^= x >> 29;
    x = x.wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 32)
}

fn node_name(n: usize) -> InstanceName {
    format!("n{n}").parse().unwrap()
}

fn shard_name(shard: usize) -> PoolName {
    format!("model_{shard}").parse().unwrap()
}

fn target_info(n: usize, slots: u32) -> TargetInfo {
    TargetInfo {
        name: format!("t{n}").parse().unwrap(),
        born: 1,
        address: ([10, 0, 0, 1], 80).into(),
        zone: "z1".parse().unwrap(),
        capacity: Capacity {
            slots,
            memory_tokens: Some(1_000_000),
        },
        leaving: false,
        warm_up_ms: 0.0,
        version: Default::default(),
    }
}

impl World {
    fn new(storm: Storm, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut target = || Target {
            limit: None,
            next_change: rng.random_range(1000.0..6000.0),
            in_need: rng.random_bool(storm.in_need),
            told: LimitCount::default(),
            all: LimitCount::default(),
            told_at: BTreeMap::new(),
        };
        let targets = (0..storm.targets).map(|_| target()).collect();
        let ranked = |shard: usize| {
            let mut nodes: Vec<_> = (0..storm.nodes).collect();
            nodes.sort_by_key(|n| hash(*n, shard + 7));
            nodes
        };
        let shards = storm.targets.div_ceil(SHARD_TARGETS);
        Self {
            storm,
            rng,
            now: 0.0,
            nodes: (0..storm.nodes).map(|_| Node::new()).collect(),
            ranked: (0..shards).map(ranked).collect(),
            targets,
            calls: BTreeMap::new(),
            next_id: 0,
        }
    }

    fn run(mut self) -> Self {
        let mut next_fault = self.storm.fault_period_ms;
        let mut tick = 0_u32;
        while self.now < LENGTH_MS {
            self.change_limits();
            if self.now >= next_fault {
                self.strike();
                next_fault += self.storm.fault_period_ms;
            }
            self.end_faults();
            if tick.is_multiple_of(50) {
                self.set_shares();
            }
            if tick.is_multiple_of(30) {
                self.spread_limits();
            }
            self.accept();
            self.retry_unanswered();
            self.poll();
            self.respond();
            self.now += STEP_MS;
            tick += 1;
        }
        self
    }

    fn change_limits(&mut self) {
        for t in self
            .targets
            .iter_mut()
            .filter(|t| t.in_need && self.now >= t.next_change)
        {
            t.next_change += self.rng.random_range(5000.0..11_000.0);
            let per_s = match self.rng.random_range(0..4) {
                0 => self.rng.random_range(0.2..1.0),
                1 => self.rng.random_range(4.0..12.0),
                _ => self.rng.random_range(1.0..4.0),
            };
            let ends = t.limit.is_some() && self.rng.random_bool(0.25);
            t.limit = (!ends).then_some(per_s);
            if ends {
                t.told_at.clear();
            }
            t.told.name(self.now, t.limit);
            t.all.name(self.now, t.limit);
        }
    }

    fn strike(&mut self) {
        let count = self.storm.nodes.div_ceil(20);
        let sound: Vec<_> = (0..self.nodes.len())
            .filter(|n| self.nodes[*n].fault.is_none())
            .collect();
        for n in sound.into_iter().sample(&mut self.rng, count) {
            let fault = match self.rng.random_range(0..4) {
                0 => Fault::Dead,
                1 => Fault::Frozen,
                2 => Fault::Cut,
                _ => Fault::Leaving,
            };
            let node = &mut self.nodes[n];
            node.fault = Some(fault);
            node.fault_began = self.now;
            if fault == Fault::Dead {
                *node = Node {
                    incarnation: node.incarnation + 1,
                    fault: Some(fault),
                    fault_began: self.now,
                    fault_ended: node.fault_ended,
                    ..Node::new()
                };
                self.lose_calls(n);
            }
        }
    }

    // The calls of a home node that died; their slots are released when its links break.
    fn lose_calls(&mut self, n: usize) {
        let lost: Vec<_> = self
            .calls
            .iter()
            .filter(|(_, c)| c.home == n)
            .map(|(id, _)| *id)
            .collect();
        for id in lost {
            match self.calls.remove(&id).map(|c| c.state) {
                Some(State::Sent {
                    scheduler,
                    incarnation,
                    offer,
                    ..
                }) => {
                    self.report(
                        n,
                        scheduler,
                        incarnation,
                        offer,
                        LimitReport::Unknown,
                        SlotOutcome::Unused,
                    );
                }
                Some(State::Queued { scheduler, .. }) => {
                    self.withdraw(id, scheduler);
                }
                _ => (),
            }
        }
    }

    // Withdraws the queued offers of a call.
    fn withdraw(&mut self, id: u64, scheduler: usize) {
        let s = &mut self.nodes[scheduler];
        let queued = s.queued.iter().filter(|(_, c)| **c == id);
        let offers: Vec<_> = queued.map(|(offer, _)| *offer).collect();
        for offer in offers {
            s.queued.remove(&offer);
            s.scheduler.finish(offer, SlotOutcome::Unused, at(self.now));
        }
    }

    fn end_faults(&mut self) {
        for n in 0..self.nodes.len() {
            let node = &mut self.nodes[n];
            if node.fault.is_some() && self.now >= node.fault_began + FAULT_MS {
                node.fault = None;
                node.fault_ended = self.now;
                for (offer, report, outcome) in std::mem::take(&mut node.late_reports) {
                    node.scheduler.record_limit(offer, report, at(self.now));
                    node.scheduler.finish(offer, outcome, at(self.now));
                }
            }
        }
    }

    fn connected(&self, a: usize, b: usize) -> bool {
        a == b || ![a, b].iter().any(|n| self.nodes[*n].is(Fault::Cut))
    }

    // Whether node `h` believes that node `n` is up and active; it learns of changes with a delay.
    fn believes_active(&self, h: usize, n: usize) -> bool {
        let (least, most) = DETECTION_MS;
        let round = (self.nodes[n].fault_began / 1000.0) as usize;
        let delay = least + (hash(h + 1000 * round, n) % 1000) as f64 / 1000.0 * (most - least);
        let node = &self.nodes[n];
        let lost = node.fault.is_some() && (h != n || node.is(Fault::Leaving));
        match lost {
            true => self.now < node.fault_began + delay,
            false => h == n || self.now >= node.fault_ended + delay || node.fault_ended < 0.0,
        }
    }

    // A node that is cut off loses all others from its view.
    fn visible_share(&self, h: usize) -> f64 {
        let is_alone =
            self.nodes[h].is(Fault::Cut) && self.now > self.nodes[h].fault_began + DETECTION_MS.1;
        let is_seen = |n: &usize| {
            *n == h
                || (!is_alone && (self.believes_active(h, *n) || self.nodes[*n].is(Fault::Leaving)))
        };
        let seen = (0..self.nodes.len()).filter(is_seen).count();
        seen as f64 / self.nodes.len() as f64
    }

    fn set_shares(&mut self) {
        for n in 0..self.nodes.len() {
            if self.nodes[n].runs() && !self.nodes[n].shards.is_empty() {
                let share = self.visible_share(n);
                self.nodes[n]
                    .scheduler
                    .set_visible_share(share, at(self.now));
            }
        }
    }

    // Tells the schedulers of each shard, and their successors, of limits.
    fn spread_limits(&mut self) {
        for home in 0..self.nodes.len() {
            if !self.nodes[home].runs() {
                continue;
            }
            for shard in self.nodes[home].known.shards() {
                let shard: usize = shard.as_str()[6..].parse().unwrap();
                let ranked = self.ranked[shard].iter().copied();
                let believed: Vec<_> = ranked
                    .filter(|n| self.believes_active(home, *n))
                    .take(INFORMED_SCHEDULERS)
                    .collect();
                for to in believed {
                    if to != home && self.connected(home, to) && self.nodes[to].runs() {
                        self.tell(home, to, shard);
                    }
                }
            }
        }
    }

    // Passes on the limits that a scheduler may not know.
    fn tell(&mut self, home: usize, to: usize, shard: usize) {
        let now = at(self.now);
        let recipient: Recipient = (node_name(to), Incarnation(self.nodes[to].incarnation));
        let pool = shard_name(shard);
        let notices = self.nodes[home].known.untold(&pool, &recipient, now);
        self.nodes[home].known.mark_told(&notices, &recipient);
        let share = self.visible_share(to);
        let node = &mut self.nodes[to];
        if node.shards.insert(shard) {
            let first = shard * SHARD_TARGETS;
            let range = first..(first + SHARD_TARGETS).min(self.storm.targets);
            let infos = range.map(|n| target_info(n, self.storm.slots)).collect();
            node.scheduler.set_targets(&pool, infos);
            node.scheduler.set_visible_share(share, now);
        }
        for notice in &notices {
            node.scheduler.learn_limit(notice, now);
            node.known.learn(notice, now);
        }
    }

    fn accept(&mut self) {
        let mut expected = self.storm.per_s * STEP_MS / 1000.0;
        while expected > 0.0 && self.rng.random_bool(expected.min(1.0)) {
            expected -= 1.0;
            let home = self.rng.random_range(0..self.nodes.len());
            if !self.nodes[home].runs() {
                continue;
            }
            self.next_id += 1;
            let shard = self.rng.random_range(0..self.ranked.len());
            let call = Call {
                home,
                shard,
                tries: 0,
                created: self.now,
                state: State::Unanswered {
                    until: 0.0,
                    tried: 0,
                },
            };
            self.calls.insert(self.next_id, call);
            self.offer(self.next_id, 0);
        }
    }

    // Offers a call to the schedulers of its shard, from the one at `tried` on.
    fn offer(&mut self, id: u64, tried: usize) {
        let (home, shard) = (self.calls[&id].home, self.calls[&id].shard);
        let avoided = &self.nodes[home].avoided;
        let is_avoided = |n: &usize| avoided.get(n).is_some_and(|until| *until > self.now);
        let ranked = self.ranked[shard].iter();
        let mut usable = ranked.filter(|n| !is_avoided(n) && self.believes_active(home, **n));
        let to = match usable.next() {
            Some(n) if *n != home && tried < MAX_REMOTE_SCHEDULERS => *n,
            _ => home,
        };
        let answers = self.connected(home, to) && self.nodes[to].runs();
        if !answers {
            let refuses = self.nodes[to].is(Fault::Dead);
            let until = self.now + if refuses { STEP_MS } else { REPLY_TIMEOUT_MS };
            self.nodes[home].avoided.insert(to, self.now + AVOID_MS);
            self.set_state(
                id,
                State::Unanswered {
                    until,
                    tried: tried + 1,
                },
            );
            return;
        }
        self.make_offer(id, home, to, shard);
    }

    fn set_state(&mut self, id: u64, state: State) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.state = state;
        }
    }

    fn make_offer(&mut self, id: u64, home: usize, to: usize, shard: usize) {
        let call = &self.calls[&id];
        let age_ms = self.now - call.created;
        let offer = Offer {
            request: "r".into(),
            pool: shard_name(shard),
            rank: Rank::default(),
            workspace: None,
            parts: vec![PromptPart { id, tokens: 50 }],
            prompt: 100,
            output: 20,
            max_output: 20,
            aim_left_ms: 600.0 - age_ms,
            time_left_ms: 3000.0 - age_ms,
            home: node_name(home),
            zone: "z1".parse().unwrap(),
            exclude: Vec::new(),
            beyond_quota: false,
            returned: false,
            resumes: call.tries > 0,
            reuse_ms: 500.0,
            may_repeat: false,
            last_resort: false,
            version: Default::default(),
        };
        let now = at(self.now);
        let incarnation = self.nodes[to].incarnation;
        self.tell(home, to, shard);
        let node = &mut self.nodes[to];
        let offer = node.scheduler.offer(offer, now);
        node.queued.insert(offer, id);
        self.set_state(
            id,
            State::Queued {
                scheduler: to,
                incarnation,
            },
        );
    }

    // Calls whose scheduler does not reply, or was lost while they were queued.
    fn retry_unanswered(&mut self) {
        let due = self.calls.iter().filter_map(|(id, call)| match call.state {
            State::Unanswered { until, tried } => (self.now >= until).then_some((*id, tried)),
            State::Queued {
                scheduler,
                incarnation,
            } => {
                let node = &self.nodes[scheduler];
                let hangs = node.is(Fault::Frozen) && self.now > node.fault_began + LINK_TIMEOUT_MS;
                let is_lost = hangs
                    || node.incarnation != incarnation
                    || !self.connected(call.home, scheduler);
                is_lost.then_some((*id, 0))
            }
            State::Sent { .. } => None,
        });
        for (id, tried) in due.collect::<Vec<_>>() {
            if let State::Queued { scheduler, .. } = self.calls[&id].state {
                self.withdraw(id, scheduler);
            }
            let call = &self.calls[&id];
            match self.nodes[call.home].runs() && self.now - call.created < 3000.0 {
                true => self.offer(id, tried),
                false => drop(self.calls.remove(&id)),
            }
        }
    }

    fn poll(&mut self) {
        for n in 0..self.nodes.len() {
            if !self.nodes[n].runs() || !self.nodes[n].scheduler.has_waiting() {
                continue;
            }
            for (offer, decision) in self.nodes[n].scheduler.poll(at(self.now)) {
                let Some(id) = self.nodes[n].queued.remove(&offer) else {
                    self.nodes[n]
                        .scheduler
                        .finish(offer, SlotOutcome::Unused, at(self.now));
                    continue;
                };
                match decision {
                    Decision::Grant { target, .. } => {
                        let target: usize = target.as_str()[1..].parse().unwrap();
                        self.send(id, n, offer, target);
                    }
                    Decision::Refuse { .. } => drop(self.calls.remove(&id)),
                }
            }
        }
    }

    fn send(&mut self, id: u64, scheduler: usize, offer: OfferId, target: usize) {
        let Some(home) = self.calls.get(&id).map(|c| c.home) else {
            return;
        };
        let node = &self.nodes[home];
        let calm_since = node
            .fault_ended
            .max(if node.fault.is_some_and(|f| f != Fault::Leaving) {
                self.now
            } else {
                -1e9
            });
        let t = &mut self.targets[target];
        t.all.arrive(self.now);
        let is_told = t
            .told_at
            .get(&home)
            .is_some_and(|told| *told <= self.now - TOLD_MS);
        if is_told && self.now - calm_since >= STABLE_WINDOW_MS {
            t.told.arrive(self.now);
        }
        let ends = self.now + self.rng.random_range(0.25..1.0) * self.storm.response_ms;
        let incarnation = self.nodes[scheduler].incarnation;
        self.set_state(
            id,
            State::Sent {
                scheduler,
                incarnation,
                offer,
                target,
                sent: self.now,
                ends,
            },
        );
    }

    fn respond(&mut self) {
        let ended = self.calls.iter().filter(|(_, c)| match c.state {
            State::Sent { ends, .. } => self.now >= ends && self.nodes[c.home].runs(),
            _ => false,
        });
        for id in ended.map(|(id, _)| *id).collect::<Vec<_>>() {
            let call = &self.calls[&id];
            let (home, shard, tries) = (call.home, call.shard, call.tries);
            let State::Sent {
                scheduler,
                incarnation,
                offer,
                target,
                sent,
                ..
            } = call.state
            else {
                continue;
            };
            let is_broken = self.rng.random_bool(self.storm.broken);
            let t = &mut self.targets[target];
            let report = match (is_broken, t.limit) {
                (true, _) => LimitReport::Unknown,
                (false, Some(per_s)) => LimitReport::Limited {
                    limit: RequestRate::new(per_s).unwrap(),
                    after_ms: self.now - sent,
                },
                (false, None) => LimitReport::Unlimited,
            };
            if matches!(report, LimitReport::Limited { .. }) {
                t.told_at.entry(home).or_insert(self.now);
            }
            let by = (node_name(scheduler), Incarnation(incarnation));
            let name = target_info(target, 0).name;
            let now = at(self.now);
            self.nodes[home].known.record(
                &name,
                &shard_name(shard),
                report,
                at(sent),
                Some(by),
                now,
            );
            let outcome = match is_broken {
                true => SlotOutcome::Broken,
                false => SlotOutcome::Complete {
                    first_ms: 50.0,
                    rest_ms: 100.0,
                    output: 20,
                },
            };
            self.report(home, scheduler, incarnation, offer, report, outcome);
            if is_broken && tries < 1 {
                if let Some(call) = self.calls.get_mut(&id) {
                    call.tries += 1;
                }
                self.offer(id, 0);
            } else {
                self.calls.remove(&id);
            }
        }
    }

    fn report(
        &mut self,
        home: usize,
        scheduler: usize,
        incarnation: u64,
        offer: OfferId,
        report: LimitReport,
        outcome: SlotOutcome,
    ) {
        let is_connected = self.connected(home, scheduler);
        let node = &mut self.nodes[scheduler];
        if node.incarnation != incarnation {
            return;
        }
        // The links break if the nodes are cut off from each other.
        let (report, outcome) = match is_connected {
            true => (report, outcome),
            false => (LimitReport::Unknown, SlotOutcome::Unused),
        };
        match node.runs() {
            true => {
                node.scheduler.record_limit(offer, report, at(self.now));
                node.scheduler.finish(offer, outcome, at(self.now));
            }
            false => node.late_reports.push((offer, report, outcome)),
        }
    }

    fn check(&self, what: &str) {
        for (n, t) in self.targets.iter().enumerate() {
            let excess = t.told.excess(STABLE_WINDOW_MS);
            assert_eq!(
                excess,
                None,
                "{what}: target {n} got more than it takes: {:?}",
                t.told.limit_at(excess.map_or(0.0, |e| e.until_ms))
            );
        }
        let (mut got, mut takes) = (0.0, 0.0);
        for t in &self.targets {
            let mut from = 0.0;
            while from < LENGTH_MS - 1000.0 {
                if let Some(allowance) = t.all.allowance(from, from + 1000.0) {
                    takes += allowance;
                    got += t.all.arrived(from, from + 1000.0) as f64;
                }
                from += 1000.0;
            }
        }
        assert!(takes > 50.0, "{what}: the targets take only {takes}");
        let min_use = match self.storm.fault_period_ms < LENGTH_MS {
            true => MIN_USE.1,
            false => MIN_USE.0,
        };
        assert!(
            got >= takes * min_use,
            "{what}: {got} requests, targets take {takes}"
        );
    }
}

fn small() -> Storm {
    Storm {
        nodes: 6,
        targets: 18,
        in_need: 0.5,
        per_s: 450.0,
        broken: 0.05,
        slots: 4,
        response_ms: 240.0,
        fault_period_ms: f64::INFINITY,
    }
}

fn grown() -> Storm {
    Storm {
        nodes: 84,
        targets: 140,
        per_s: 3000.0,
        in_need: 0.3,
        ..small()
    }
}

fn large() -> Storm {
    Storm {
        nodes: 390,
        targets: 400,
        per_s: 6000.0,
        in_need: 0.2,
        ..small()
    }
}

fn faults(storm: Storm) -> Storm {
    Storm {
        fault_period_ms: 2000.0,
        ..storm
    }
}

/// Targets that take many requests at once and respond late: a scheduler that learns of a limit only
/// from responses sends far too many until then.
fn slow(storm: Storm) -> Storm {
    Storm {
        slots: 24,
        response_ms: 2400.0,
        ..storm
    }
}

/// Seeds of the small case; more are run by hand.
fn seeds(default: u64) -> std::ops::Range<u64> {
    let first = std::env::var("LIMIT_FIRST_SEED")
        .ok()
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    let count = std::env::var("LIMIT_SEEDS")
        .ok()
        .and_then(|v| v.parse().ok())
        .unwrap_or(default);
    first..first + count
}

fn check_seeds(storm: Storm, seeds: std::ops::Range<u64>) {
    for seed in seeds {
        World::new(storm, seed)
            .run()
            .check(&format!("seed {seed}, {storm:?}"));
    }
}

// issue 28, LIMIT: the nodes together sent more than a target in need had named.
#[test]
fn nodes_keep_to_limits_together_at_6_nodes() {
    check_seeds(small(), seeds(4));
}

#[test]
fn nodes_keep_to_limits_together_at_84_nodes() {
    check_seeds(grown(), seeds(1));
}

#[test]
fn nodes_keep_to_limits_together_at_390_nodes() {
    check_seeds(large(), seeds(1));
}

// issue 28, LIMIT: the same while the schedulers of the targets change.
#[test]
fn limits_hold_while_6_nodes_die_join_freeze_leave_and_are_cut_off() {
    check_seeds(faults(small()), seeds(8));
}

#[test]
fn limits_of_slow_targets_hold_while_their_schedulers_change() {
    check_seeds(faults(slow(small())), seeds(8));
    // A scheduler was frozen while a limit fell, and granted by the old one when it was thawed; the
    // only node that knew a limit was cut off.
    for seed in [120, 144, 495] {
        check_seeds(faults(slow(small())), seed..seed + 1);
    }
}

#[test]
fn limits_hold_while_84_nodes_die_join_freeze_leave_and_are_cut_off() {
    check_seeds(faults(grown()), seeds(1));
}

#[test]
fn limits_hold_while_390_nodes_die_join_freeze_leave_and_are_cut_off() {
    check_seeds(faults(large()), seeds(1));
}

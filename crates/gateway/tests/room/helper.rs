//! Zones with a scheduler and some home nodes each, in virtual time.

use crate::scenario::{Outcome, Policy, Scenario};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rwd_gateway::{Choices, ReportPacer, RoomRelay, Rooms, Shard, ShardKey, Stage};
use rwd_placement::{
    Capacity, Decision, Offer, OfferId, PlacementSettings, PromptPart, Rank, Scheduler,
    SlotOutcome, TargetInfo, Timestamp,
};
use rwd_types::{PoolName, TargetName, ZoneName};
use rwd_wire::ShardRoom;
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, HashSet};

/// Latency objective, in milliseconds.
pub const AIM_MS: f64 = 300.0;
const FIRST_MS: f64 = 50.0;
const MEAN_SERVICE_MS: f64 = 3000.0;
const TARGETS: usize = 10;
const SLOTS: u32 = 4;
/// Requests per second that one zone serves.
pub const ZONE_RATE: f64 = TARGETS as f64 * SLOTS as f64 * 1000.0 / MEAN_SERVICE_MS;
const NEAR_MS: f64 = 1.0;
const FAR_MS: f64 = 8.0;
/// As the first reply timeout of a home node.
const LOST_MS: f64 = 350.0;

pub fn shard(zone: usize) -> Shard {
    Shard {
        name: format!("model_z{zone}_0").parse().unwrap(),
        zone: Some(zone_name(zone)),
    }
}

pub fn zone_name(zone: usize) -> ZoneName {
    format!("z{zone}").parse().unwrap()
}

pub fn offer(zone: usize) -> Offer {
    Offer {
        request: "r".into(),
        pool: "model".parse().unwrap(),
        rank: Rank::default(),
        workspace: None,
        parts: vec![PromptPart { id: 1, tokens: 100 }],
        prompt: 100,
        output: 100,
        aim_left_ms: AIM_MS,
        time_left_ms: 10_000.0,
        home: "n1".parse().unwrap(),
        zone: zone_name(zone),
        exclude: Vec::new(),
        beyond_quota: false,
        returned: false,
        resumes: false,
        reuse_ms: 500.0,
        may_repeat: false,
        version: Default::default(),
        max_output: 0,
        last_resort: false,
    }
}

enum Event {
    Arrive(usize),
    Offered(usize, usize),
    Queued(usize, usize, OfferId, Vec<ShardRoom>),
    Granted(usize, usize, OfferId, TargetName),
    Declined(usize, usize, Vec<ShardRoom>),
    Finish(usize, OfferId, SlotOutcome),
    Recheck(usize),
    Poll(usize),
    Report(usize),
    Learn(usize, ShardRoom),
    Registry,
    Lost(usize),
}

struct Request {
    zone: usize,
    home: usize,
    created: f64,
    offer: Offer,
    tried: Vec<usize>,
    open: Vec<(usize, OfferId)>,
    asking: bool,
    rest_ms: f64,
    done: bool,
}

struct Sim {
    cfg: Scenario,
    now: f64,
    events: BTreeMap<Reverse<(u64, u64)>, Event>,
    seq: u64,
    // The load is the same for all policies.
    load_rng: StdRng,
    rng: StdRng,
    shards: Vec<Shard>,
    schedulers: Vec<Scheduler>,
    // The rooms that schedulers know, then those that homes know.
    rooms: Vec<Rooms>,
    relays: Vec<RoomRelay>,
    pacers: Vec<ReportPacer>,
    requests: Vec<Request>,
    offers: HashMap<(usize, OfferId), usize>,
    dead: HashSet<TargetName>,
    out: Outcome,
}

/// Plays a scenario with a fixed seed.
pub fn play(cfg: Scenario) -> Outcome {
    let zones = cfg.zones;
    let shards = match cfg.policy {
        Policy::Clairvoyant => 1,
        _ => zones,
    };
    let mut sim = Sim {
        now: 0.0,
        events: BTreeMap::new(),
        seq: 0,
        load_rng: StdRng::seed_from_u64(46),
        rng: StdRng::seed_from_u64(47),
        shards: (0..shards).map(shard).collect(),
        schedulers: (0..shards).map(|_| new_scheduler()).collect(),
        rooms: (0..shards + zones + cfg.homes)
            .map(|_| Rooms::default())
            .collect(),
        relays: (0..shards).map(|_| RoomRelay::default()).collect(),
        pacers: (0..shards).map(|_| ReportPacer::default()).collect(),
        requests: Vec::new(),
        offers: HashMap::new(),
        dead: HashSet::new(),
        out: Outcome::default(),
        cfg,
    };
    sim.list_targets();
    for zone in 0..zones {
        sim.after(0.0, Event::Arrive(zone));
    }
    for s in 0..shards {
        sim.after(0.0, Event::Poll(s));
        sim.after(60.0 * s as f64, Event::Report(s));
    }
    if let Some((zone, from, to)) = sim.cfg.dead {
        sim.dead = targets(zone).take(TARGETS / 2).map(|t| t.name).collect();
        sim.after(from * 1000.0 + 1000.0, Event::Registry);
        sim.after(to * 1000.0, Event::Registry);
    }
    if let Some((zone, at)) = sim.cfg.lost {
        sim.after(at * 1000.0, Event::Lost(zone));
    }
    sim.run();
    sim.out
}

fn new_scheduler() -> Scheduler {
    Scheduler::new(PlacementSettings::default())
}

fn targets(zone: usize) -> impl Iterator<Item = TargetInfo> {
    (0..TARGETS).map(move |n| TargetInfo {
        name: format!("t{zone}-{n}").parse().unwrap(),
        born: 1,
        version: Default::default(),
        address: ([127, 0, 0, 1], 80).into(),
        zone: zone_name(zone),
        capacity: Capacity {
            slots: SLOTS,
            memory_tokens: Some(100_000),
        },
        leaving: false,
        warm_up_ms: 0.0,
    })
}

impl Sim {
    fn after(&mut self, ms: f64, event: Event) {
        self.seq += 1;
        let at = ((self.now + ms) * 1000.0) as u64;
        self.events.insert(Reverse((at, self.seq)), event);
    }

    fn run(&mut self) {
        while let Some((Reverse((at, _)), event)) = self.events.pop_last() {
            self.now = at as f64 / 1000.0;
            if self.now > self.cfg.seconds * 1000.0 {
                return;
            }
            self.handle(event);
        }
    }

    fn at(&self) -> Timestamp {
        Timestamp(self.now)
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -self.load_rng.random_range(1e-9..1.0_f64).ln() * mean
    }

    fn pool(&self, s: usize) -> PoolName {
        self.shards[s].name.clone()
    }

    fn is_dead(&self, target: &TargetName) -> bool {
        let during = |(_, from, to): (usize, f64, f64)| (from..to).contains(&(self.now / 1000.0));
        self.cfg.dead.is_some_and(during) && self.dead.contains(target)
    }

    fn list_targets(&mut self) {
        for s in 0..self.shards.len() {
            let zones = match self.cfg.policy {
                Policy::Clairvoyant => 0..self.cfg.zones,
                _ => s..s + 1,
            };
            let live = |t: &TargetInfo| !self.is_dead(&t.name);
            let infos = zones.flat_map(targets).filter(live).collect();
            let pool = self.pool(s);
            self.schedulers[s].set_targets(&pool, infos);
        }
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        let during = |(zone, from, to): (usize, f64, f64)| {
            (a == zone || b == zone) && (from..to).contains(&(self.now / 1000.0))
        };
        a != b && self.cfg.cut.is_some_and(during)
    }

    fn way_ms(&self, a: usize, b: usize) -> f64 {
        match self.cfg.policy {
            Policy::Clairvoyant => 0.0,
            _ if a == b => NEAR_MS,
            _ => FAR_MS,
        }
    }

    fn choose(&mut self, r: usize) -> Option<usize> {
        let req = &self.requests[r];
        if req.done || req.asking || req.tried.len() > 1 {
            return None;
        }
        let stage = match () {
            _ if !req.open.is_empty() => Stage::Queued {
                waited_ms: self.now - req.created,
            },
            _ if req.tried.is_empty() => Stage::New,
            _ => Stage::Declined,
        };
        let untried: Vec<_> = (0..self.shards.len())
            .filter(|s| !req.tried.contains(s))
            .collect();
        match (self.cfg.policy, stage) {
            (Policy::Clairvoyant, Stage::New) => Some(0),
            (Policy::Clairvoyant, _) => None,
            (Policy::Random, Stage::New) => Some(req.zone),
            (Policy::Random, _) => Some(untried[self.rng.random_range(0..untried.len())]),
            (Policy::Room, _) => {
                let offer = Offer {
                    aim_left_ms: AIM_MS - (self.now - req.created),
                    ..req.offer.clone()
                };
                let mut order = self.shards.clone();
                let first = self.rng.random_range(0..order.len());
                order.rotate_left(first);
                let tried: Vec<_> = req.tried.iter().map(|s| self.shards[*s].clone()).collect();
                let choices = Choices {
                    rooms: &self.rooms[req.home],
                    shards: &order,
                    tried: &tried,
                    offer: &offer,
                };
                let chosen = choices.next(stage, &mut self.rng, Timestamp(self.now))?;
                let key = ShardKey::of(&chosen.shard.name);
                self.rooms[req.home].record_offer(key, Timestamp(self.now));
                self.shards.iter().position(|s| *s == chosen.shard)
            }
        }
    }

    fn proceed(&mut self, r: usize) {
        if let Some(s) = self.choose(r) {
            let req = &mut self.requests[r];
            req.tried.push(s);
            req.asking = true;
            let zone = req.zone;
            match self.is_cut(zone, s) {
                true => self.after(LOST_MS, Event::Declined(r, s, Vec::new())),
                false => self.after(self.way_ms(zone, s), Event::Offered(r, s)),
            }
        }
    }

    fn decide(&mut self, s: usize) -> Vec<OfferId> {
        let decisions = self.schedulers[s].poll(Timestamp(self.now));
        let decided = decisions.iter().map(|(id, _)| *id).collect();
        for (id, decision) in decisions {
            let Some(r) = self.offers.get(&(s, id)).copied() else {
                continue;
            };
            let way = self.way_ms(self.requests[r].zone, s);
            match decision {
                Decision::Grant { target, .. } => {
                    self.after(way, Event::Granted(r, s, id, target));
                }
                Decision::Refuse { .. } => {
                    let rooms = self.relay(r, s);
                    self.after(way, Event::Declined(r, s, rooms));
                }
            }
        }
        decided
    }

    fn relay(&mut self, r: usize, s: usize) -> Vec<ShardRoom> {
        let (key, now) = (ShardKey::of(&self.shards[s].name), self.at());
        let home = format!("h{}", self.requests[r].home).parse().unwrap();
        if !self.relays[s].is_due(&home, key, false, now) {
            return Vec::new();
        }
        self.learn_own(s);
        let keys = self.shards.iter().map(|s| ShardKey::of(&s.name));
        self.rooms[s].rows(key, keys, &mut self.rng, now)
    }

    fn learn_own(&mut self, s: usize) -> ShardRoom {
        let row = ShardRoom {
            shard: ShardKey::of(&self.shards[s].name).0,
            room: self.schedulers[s].room(&self.pool(s), self.at()).unwrap(),
            age_ms: 0,
        };
        let now = self.at();
        self.rooms[s].learn(&row, now).unwrap();
        row
    }

    fn learn(&mut self, r: usize, rooms: &[ShardRoom]) {
        let (home, now) = (self.requests[r].home, self.at());
        for row in rooms {
            self.rooms[home].learn(row, now).unwrap();
        }
    }

    fn restart(&mut self, r: usize) {
        let req = &mut self.requests[r];
        req.tried.clear();
        req.asking = false;
        self.proceed(r);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(zone) => {
                let rate = (self.cfg.rate)(zone, self.now / 1000.0).max(0.1);
                let gap_ms = self.exponential(1000.0 / rate);
                self.after(gap_ms, Event::Arrive(zone));
                let per_zone = self.cfg.homes.div_ceil(self.cfg.zones);
                let home = zone + self.cfg.zones * self.load_rng.random_range(0..per_zone);
                let rest_ms = self.exponential(MEAN_SERVICE_MS - FIRST_MS);
                self.requests.push(Request {
                    rest_ms,
                    zone,
                    home: self.shards.len() + home,
                    created: self.now,
                    offer: offer(zone),
                    tried: Vec::new(),
                    open: Vec::new(),
                    asking: false,
                    done: false,
                });
                self.out.offered += 1;
                self.proceed(self.requests.len() - 1);
            }
            Event::Offered(r, s) => {
                let age_ms = self.now - self.requests[r].created;
                let offer = Offer {
                    pool: self.pool(s),
                    aim_left_ms: AIM_MS - age_ms,
                    time_left_ms: 10_000.0 - age_ms,
                    ..self.requests[r].offer.clone()
                };
                let id = self.schedulers[s].offer(offer, Timestamp(self.now));
                self.offers.insert((s, id), r);
                if !self.decide(s).contains(&id) {
                    let rooms = self.relay(r, s);
                    let way = self.way_ms(self.requests[r].zone, s);
                    self.after(way, Event::Queued(r, s, id, rooms));
                }
            }
            Event::Queued(r, s, id, rooms) => {
                self.learn(r, &rooms);
                let req = &mut self.requests[r];
                match req.asking && !req.done && req.tried.last() == Some(&s) {
                    true => {
                        req.asking = false;
                        req.open.push((s, id));
                        self.handle(Event::Recheck(r));
                    }
                    false => self.withdraw(r, s, id),
                }
            }
            Event::Recheck(r) => {
                self.proceed(r);
                let req = &self.requests[r];
                if !req.done && req.tried.len() < 2 && !req.open.is_empty() {
                    self.after(50.0, Event::Recheck(r));
                }
            }
            Event::Granted(r, s, id, target) => self.dispatch(r, s, id, &target),
            Event::Declined(r, s, rooms) => {
                self.learn(r, &rooms);
                let req = &mut self.requests[r];
                req.open.retain(|(o, _)| *o != s);
                req.asking &= req.tried.last() != Some(&s);
                self.proceed(r);
            }
            Event::Finish(s, id, outcome) => {
                self.offers.remove(&(s, id));
                self.schedulers[s].finish(id, outcome, Timestamp(self.now));
                self.decide(s);
            }
            Event::Poll(s) => {
                self.decide(s);
                self.after(20.0, Event::Poll(s));
            }
            Event::Report(s) => {
                let row = self.learn_own(s);
                let pool = self.pool(s);
                let is_due = self.pacers[s].is_due(&pool, row.room);
                let delay = self.cfg.report_delay_ms;
                let to = (0..self.shards.len()).filter(|t| *t != s && !self.is_cut(s, *t));
                for t in to.collect::<Vec<_>>() {
                    if is_due && delay.is_finite() {
                        let age_ms = delay as u32;
                        let row = ShardRoom { age_ms, ..row };
                        self.after(FAR_MS + delay, Event::Learn(t, row));
                    }
                }
                self.after(250.0, Event::Report(s));
            }
            Event::Learn(t, row) => {
                let now = self.at();
                self.rooms[t].learn(&row, now).unwrap();
            }
            Event::Registry => self.list_targets(),
            Event::Lost(s) => {
                let mut lost: Vec<_> = self.offers.extract_if(|(o, _), _| *o == s).collect();
                lost.sort_unstable_by_key(|(key, _)| *key);
                self.schedulers[s] = new_scheduler();
                self.rooms[s] = Rooms::default();
                self.list_targets();
                for (_, r) in lost {
                    self.handle(Event::Declined(r, s, Vec::new()));
                }
            }
        }
    }

    fn dispatch(&mut self, r: usize, s: usize, id: OfferId, target: &TargetName) {
        let way = self.way_ms(self.requests[r].zone, s);
        let req = &mut self.requests[r];
        if req.done {
            return self.withdraw(r, s, id);
        }
        req.open.retain(|(o, _)| *o != s);
        for (other, id) in std::mem::take(&mut req.open) {
            self.withdraw(r, other, id);
        }
        if self.is_dead(target) {
            self.after(way, Event::Finish(s, id, SlotOutcome::Down));
            return self.restart(r);
        }
        let req = &mut self.requests[r];
        req.done = true;
        let zone = req.zone;
        let first_ms = FIRST_MS + 2.0 * way;
        self.out.spilled += u32::from(zone != s);
        if self.now - req.created + first_ms <= AIM_MS {
            self.out.on_time += 1;
            *self.out.by_zone.entry(zone).or_default() += 1;
        }
        let rest_ms = self.requests[r].rest_ms;
        let outcome = SlotOutcome::Complete {
            first_ms,
            rest_ms,
            output: 100,
        };
        self.after(first_ms + rest_ms, Event::Finish(s, id, outcome));
    }

    fn withdraw(&mut self, r: usize, s: usize, id: OfferId) {
        let way = self.way_ms(self.requests[r].zone, s);
        self.after(way, Event::Finish(s, id, SlotOutcome::Unused));
    }
}

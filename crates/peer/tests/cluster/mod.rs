//! A cluster of failure detectors in virtual time, whose messages arrive at once unless the network or
//! a node delays them.

#![allow(dead_code)] // Each test uses a part of it.

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rwd_peer::{
    Detector, Directory, Event, INDIRECT_PROBES, ListedInstance, MassLoss, MembershipSettings,
    NEWS_PERIOD, Step, View,
};
use rwd_types::{Incarnation, InstanceName};
use rwd_wire::{Gossip, Liveness, MemberUpdate, Message};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::advance;

pub const TICK: Duration = Duration::from_millis(20);
/// Timing of a gateway node.
pub const SETTINGS: MembershipSettings = MembershipSettings {
    heartbeat: Duration::from_millis(400),
    probe_timeout: Duration::from_millis(300),
    suspicion: Duration::from_millis(900),
};
/// Delay of a message whose packet is lost: the first retransmission of a TCP SYN.
const RETRANSMISSION: Duration = Duration::from_secs(1);

/// How a node fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The process ends; its machine refuses connections.
    Killed,
    /// The machine is off or the process stands still; nothing replies.
    Silent,
    /// The node reaches only others that are cut off with it.
    Cut,
}

/// What delays replies while all nodes are up.
#[derive(Clone, Copy, Debug, Default)]
pub struct Impairment {
    /// Mean time between two stalls of a node; zero for none.
    pub stall_every: Duration,
    /// Longest stall.
    pub stall: Duration,
    /// Packets lost, of 100.
    pub loss_percent: u32,
}

pub struct Peer {
    pub name: InstanceName,
    pub directory: Directory,
    pub failure: Option<Failure>,
    detector: Detector,
    next_tick: u64,
    stalled_until: u64,
    news_at: Option<u64>,
    sent_bytes: usize,
    view: watch::Receiver<Arc<View>>,
    refutation: u32,
}

#[derive(Debug)]
enum Action {
    Event(usize, Event),
    Ping {
        from: usize,
        to: usize,
        probe: usize,
        gossip: Gossip,
    },
    Ack {
        to: usize,
        probe: usize,
        gossip: Gossip,
    },
    Timeout {
        probe: usize,
        event: Event,
    },
}

struct Probe {
    from: usize,
    to: usize,
    settled: bool,
}

pub struct Cluster {
    pub peers: Vec<Peer>,
    pub tick: u64,
    impairment: Impairment,
    rng: StdRng,
    actions: BinaryHeap<Reverse<(u64, usize)>>,
    scheduled: Vec<Option<Action>>,
    probes: Vec<Probe>,
}

fn ticks(d: Duration) -> u64 {
    (d.as_millis() / TICK.as_millis()) as u64
}

fn update(n: usize) -> MemberUpdate {
    MemberUpdate {
        name: format!("10-1-{}-{}", n / 250, n % 250).parse().unwrap(),
        incarnation: Incarnation(0),
        refutation: 0,
        liveness: Liveness::Alive,
        leaving: false,
        http: "10.1.0.25:8221".parse().unwrap(),
        peer: "10.1.0.25:7600".parse().unwrap(),
        zone: format!("zone-{}", n % 5).parse().unwrap(),
        cpu_milli: 120,
    }
}

fn number(name: &InstanceName) -> usize {
    let mut parts = name
        .as_str()
        .rsplit('-')
        .map(|p| p.parse::<usize>().unwrap());
    let low = parts.next().unwrap();
    parts.next().unwrap() * 250 + low
}

fn size(gossip: &Gossip) -> usize {
    let message = Message::Ping(gossip.clone());
    rwd_wire::encode(&message).unwrap().len()
}

impl Cluster {
    pub fn start(n: usize, seed: u64, mass_loss: Option<MassLoss>) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let all: Vec<_> = (0..n).map(update).collect();
        let listed = all.iter().map(|m| ListedInstance {
            name: m.name.clone(),
            http: m.http,
            peer: m.peer,
            zone: m.zone.clone(),
            leaving: false,
            cpu_milli: m.cpu_milli,
        });
        let listed: Vec<_> = listed.collect();
        let peers = all.iter().map(|own| {
            let directory = Directory::new(own.clone());
            directory.apply_list(&listed);
            Peer {
                name: own.name.clone(),
                view: directory.watch(),
                directory,
                detector: Detector::new(SETTINGS, mass_loss),
                next_tick: rng.random_range(0..ticks(SETTINGS.heartbeat)),
                stalled_until: 0,
                news_at: None,
                failure: None,
                sent_bytes: 0,
                refutation: 0,
            }
        });
        let peers = peers.collect();
        Self {
            peers,
            rng,
            tick: 0,
            impairment: Impairment::default(),
            actions: BinaryHeap::new(),
            scheduled: Vec::new(),
            probes: Vec::new(),
        }
    }

    pub fn impaired(mut self, impairment: Impairment) -> Self {
        self.impairment = impairment;
        self
    }

    pub fn is_up(&self, n: usize) -> bool {
        matches!(self.peers[n].failure, None | Some(Failure::Cut))
    }

    pub fn reaches(&self, a: usize, b: usize) -> bool {
        let cut = |n: usize| self.peers[n].failure == Some(Failure::Cut);
        self.is_up(a) && self.is_up(b) && cut(a) == cut(b)
    }

    fn at(&mut self, tick: u64, action: Action) {
        self.scheduled.push(Some(action));
        self.actions.push(Reverse((tick, self.scheduled.len() - 1)));
    }

    fn gossip(&mut self, from: usize, to: usize) -> Gossip {
        let gossip = self.peers[from].directory.gossip_to(&self.peers[to].name);
        self.peers[from].sent_bytes += size(&gossip);
        gossip
    }

    // When a message that is sent now arrives.
    fn arrival(&mut self) -> u64 {
        let lost = self.rng.random_range(0..100) < self.impairment.loss_percent;
        self.tick + if lost { ticks(RETRANSMISSION) } else { 0 }
    }

    fn ping(&mut self, from: usize, to: usize, probe: usize) {
        let gossip = self.gossip(from, to);
        let at = self.arrival();
        self.at(
            at,
            Action::Ping {
                from,
                to,
                probe,
                gossip,
            },
        );
    }

    fn new_probe(&mut self, from: usize, to: usize, limit: Duration, event: Event) -> usize {
        let settled = false;
        self.probes.push(Probe { from, to, settled });
        let probe = self.probes.len() - 1;
        let at = self.tick + ticks(limit);
        self.at(at, Action::Timeout { probe, event });
        probe
    }

    fn ask_proxies(&mut self, from: usize, to: usize, probe: usize) {
        let mut proxies: Vec<_> = (0..self.peers.len())
            .filter(|p| ![from, to].contains(p))
            .collect();
        proxies.shuffle(&mut self.rng);
        proxies.retain(|p| !self.peers[from].directory.is_failed(&self.peers[*p].name));
        for proxy in proxies.into_iter().take(INDIRECT_PROBES) {
            let gossip = self.gossip(from, proxy);
            let stalled = self.peers[proxy].stalled_until > self.tick;
            if self.reaches(from, proxy) && !stalled && self.arrival() == self.tick {
                self.peers[proxy].directory.merge_gossip(&gossip);
                if self.reaches(proxy, to) {
                    self.ping(proxy, to, probe);
                }
            }
        }
    }

    fn start_step(&mut self, from: usize, step: Step) {
        let (Step::Probe(name) | Step::Confirm(name) | Step::ProbeAgain(name)) = step.clone();
        let to = number(&name);
        let timeout = SETTINGS.probe_timeout;
        match step {
            Step::Probe(_) | Step::ProbeAgain(_)
                if self.peers[to].failure == Some(Failure::Killed) =>
            {
                self.at(self.tick, Action::Event(from, Event::Refused(name)));
            }
            Step::Probe(_) => {
                let probe = self.new_probe(from, to, timeout, Event::Missed(name.clone()));
                let late = MassLoss::default().late_after;
                self.at(
                    self.tick + ticks(late),
                    Action::Event(from, Event::Late(name)),
                );
                self.ping(from, to, probe);
            }
            Step::Confirm(_) => {
                let probe = self.new_probe(from, to, 2 * timeout, Event::Unconfirmed(name));
                self.ask_proxies(from, to, probe);
            }
            Step::ProbeAgain(_) => {
                let probe = self.new_probe(from, to, timeout, Event::StillSilent(name));
                self.ping(from, to, probe);
                self.ask_proxies(from, to, probe);
            }
        }
    }

    fn report(&mut self, n: usize, event: Event) {
        let peer = &mut self.peers[n];
        let steps = peer.detector.on(event, &peer.directory, &mut self.rng);
        for step in steps {
            self.start_step(n, step);
        }
    }

    // The peer that carries out an action.
    fn actor(&self, action: &Action) -> usize {
        match action {
            Action::Event(n, _) => *n,
            Action::Ping { to, .. } | Action::Ack { to, .. } => *to,
            Action::Timeout { probe, .. } => self.probes[*probe].from,
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Event(n, event) => self.report(n, event),
            Action::Ping { from, to, .. } if !self.reaches(from, to) => (),
            Action::Ping {
                from,
                to,
                probe,
                gossip,
            } => {
                self.peers[to].directory.merge_gossip(&gossip);
                let gossip = self.gossip(to, from);
                let at = self.arrival();
                self.at(
                    at,
                    Action::Ack {
                        to: self.probes[probe].from,
                        probe,
                        gossip,
                    },
                );
            }
            Action::Ack { to, probe, gossip } => {
                self.peers[to].directory.merge_gossip(&gossip);
                if !std::mem::replace(&mut self.probes[probe].settled, true) {
                    let name = self.peers[self.probes[probe].to].name.clone();
                    self.report(to, Event::Replied(name));
                }
            }
            Action::Timeout { probe, event } => {
                if !std::mem::replace(&mut self.probes[probe].settled, true) {
                    self.report(self.probes[probe].from, event);
                }
            }
        }
    }

    pub async fn step(&mut self) {
        advance(TICK).await;
        self.tick += 1;
        for n in 0..self.peers.len() {
            self.wake_up(n);
        }
        while let Some(Reverse((at, id))) = self.actions.peek().copied() {
            if at > self.tick {
                break;
            }
            self.actions.pop();
            let action = self.scheduled[id].take().unwrap();
            let actor = self.actor(&action);
            let stalled_until = self.peers[actor].stalled_until;
            match stalled_until > self.tick {
                true => self.at(stalled_until, action),
                false if self.is_up(actor) => self.carry_out(action),
                // A suspended process carries on with it when it wakes.
                false if self.peers[actor].failure == Some(Failure::Silent) => {
                    self.at(self.tick + 1, action);
                }
                false => (),
            }
        }
    }

    fn wake_up(&mut self, n: usize) {
        let Impairment {
            stall_every, stall, ..
        } = self.impairment;
        if !stall_every.is_zero() && self.peers[n].stalled_until <= self.tick {
            let begins = self.rng.random_range(0..ticks(stall_every)) == 0;
            let length = self.rng.random_range(1..=ticks(stall));
            if begins {
                self.peers[n].stalled_until = self.tick + length;
            }
        }
        let now = self.tick;
        let is_up = self.is_up(n);
        let peer = &mut self.peers[n];
        if !is_up || peer.stalled_until > now {
            return;
        }
        if peer.view.has_changed().unwrap() {
            peer.view.mark_unchanged();
            peer.news_at.get_or_insert(now + ticks(NEWS_PERIOD));
        }
        if peer.news_at.is_some_and(|at| at <= now) {
            peer.news_at = None;
            self.report(n, Event::News);
        }
        // A node that learned that it was declared failed tells several peers at once.
        let refutation = self.peers[n].directory.own().refutation;
        if refutation != std::mem::replace(&mut self.peers[n].refutation, refutation) {
            self.report(n, Event::Refuted);
        }
        if self.peers[n].next_tick <= now {
            self.peers[n].next_tick = now + ticks(SETTINGS.heartbeat);
            self.report(n, Event::Tick);
        }
    }

    /// Fraction of all pairs of a running node and another node that the former sees rightly.
    pub fn right_views(&self) -> f64 {
        let up: Vec<_> = (0..self.peers.len()).filter(|n| self.is_up(*n)).collect();
        let mut right = 0;
        for n in &up {
            let view = self.peers[*n].directory.view();
            let sees = |m: usize| view.members.contains_key(&self.peers[m].name);
            right += (0..self.peers.len())
                .filter(|m| sees(*m) == self.reaches(*n, *m))
                .count();
        }
        right as f64 / (up.len() * self.peers.len()) as f64
    }

    pub async fn ms_until_right(&mut self, share: f64) -> u64 {
        let start = self.tick;
        while self.right_views() < share {
            assert!(
                self.tick < start + 3000,
                "views are not right after a minute"
            );
            for _ in 0..5 {
                self.step().await;
            }
        }
        (self.tick - start) * TICK.as_millis() as u64
    }

    pub fn bytes_per_node_s(&mut self, ticks: u64) -> f64 {
        let up = (0..self.peers.len()).filter(|n| self.is_up(*n)).count();
        let sent = self
            .peers
            .iter_mut()
            .map(|p| std::mem::take(&mut p.sent_bytes));
        let bytes: usize = sent.sum();
        bytes as f64 / up as f64 / (ticks as f64 * TICK.as_secs_f64())
    }
}

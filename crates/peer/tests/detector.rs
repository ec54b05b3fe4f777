//! When silence of many nodes is taken for a mass loss, and when it is not.

use rand::SeedableRng;
use rand::rngs::StdRng;
use rwd_peer::{Detector, Directory, Event, ListedInstance, MassLoss, MembershipSettings, Step};
use rwd_types::{Incarnation, InstanceName};
use rwd_wire::{Gossip, Liveness, MemberUpdate};
use std::time::Duration;
use tokio::time::advance;

const SETTINGS: MembershipSettings = MembershipSettings {
    heartbeat: Duration::from_millis(400),
    probe_timeout: Duration::from_millis(300),
    suspicion: Duration::from_millis(900),
};

fn name(n: usize) -> InstanceName {
    format!("n{n}").parse().unwrap()
}

fn update(n: usize, liveness: Liveness) -> MemberUpdate {
    MemberUpdate {
        name: name(n),
        incarnation: Incarnation(1),
        refutation: 0,
        liveness,
        leaving: false,
        http: "10.1.0.25:8221".parse().unwrap(),
        peer: "10.1.0.25:7600".parse().unwrap(),
        zone: "zone".parse().unwrap(),
        cpu_milli: 120,
    }
}

struct Fixture {
    directory: Directory,
    detector: Detector,
    rng: StdRng,
}

impl Fixture {
    fn new(others: usize) -> Self {
        let directory = Directory::new(update(0, Liveness::Alive));
        let listed = (1..=others).map(|n| update(n, Liveness::Alive));
        let listed: Vec<_> = listed
            .map(|m| ListedInstance {
                name: m.name,
                http: m.http,
                peer: m.peer,
                zone: m.zone,
                leaving: false,
                cpu_milli: m.cpu_milli,
            })
            .collect();
        directory.apply_list(&listed);
        Self {
            directory,
            detector: Detector::new(SETTINGS, Some(MassLoss::default())),
            rng: StdRng::seed_from_u64(1),
        }
    }

    fn on(&mut self, event: Event) -> Vec<Step> {
        self.detector.on(event, &self.directory, &mut self.rng)
    }

    fn hear(&self, n: usize, liveness: Liveness) {
        let from = update(99, Liveness::Alive);
        self.directory.merge_gossip(&Gossip {
            own: from,
            revision: Default::default(),
            updates: vec![update(n, liveness)],
            digests: Vec::new(),
        });
    }

    // `replies` nodes reply and all of `silent` do not; returns the steps for the last of these.
    async fn lose(&mut self, replies: usize, silent: std::ops::RangeInclusive<usize>) -> Vec<Step> {
        for n in 50..50 + replies {
            self.on(Event::Replied(name(n)));
        }
        let mut steps = Vec::new();
        for n in silent {
            steps.extend(self.on(Event::Missed(name(n))));
        }
        steps
    }
}

/// Many nodes fall silent; one that others suspect too is failed after its second probe.
#[tokio::test(start_paused = true)]
async fn a_silent_node_that_two_suspect_is_failed_early_in_a_mass_loss() {
    let mut f = Fixture::new(60);
    f.hear(1, Liveness::Suspect);
    let steps = f.lose(5, 1..=8).await;
    assert!(steps.contains(&Step::ProbeAgain(name(1))));
    assert!(!steps.contains(&Step::ProbeAgain(name(2))));
    advance(SETTINGS.probe_timeout).await;
    f.on(Event::StillSilent(name(1)));
    assert!(f.directory.is_failed(&name(1)));
    assert!(f.directory.is_suspect(&name(2)));
}

/// A suspect that replies to its second probe, or refutes meanwhile, stays.
#[tokio::test(start_paused = true)]
async fn a_node_that_refutes_in_a_mass_loss_stays() {
    let mut f = Fixture::new(60);
    f.hear(1, Liveness::Suspect);
    f.lose(5, 1..=8).await;
    advance(SETTINGS.probe_timeout).await;
    let mut alive = update(1, Liveness::Alive);
    alive.refutation = 1;
    let own = update(99, Liveness::Alive);
    f.directory.merge_gossip(&Gossip {
        own,
        revision: Default::default(),
        updates: vec![alive],
        digests: Vec::new(),
    });
    f.on(Event::StillSilent(name(1)));
    assert!(!f.directory.is_failed(&name(1)));
}

/// The network of this node is down: nobody replies, so it takes nobody out early.
#[tokio::test(start_paused = true)]
async fn a_node_that_gets_no_reply_at_all_sees_no_mass_loss() {
    let mut f = Fixture::new(60);
    f.hear(1, Liveness::Suspect);
    let steps = f.lose(0, 1..=40).await;
    assert!(steps.iter().all(|s| matches!(s, Step::Confirm(_))));
}

/// This node stood still: all its probes time out late, at once.
#[tokio::test(start_paused = true)]
async fn timeouts_after_an_own_stall_are_no_evidence() {
    let mut f = Fixture::new(60);
    let mut probed = Vec::new();
    for _ in 0..30 {
        for step in f.on(Event::News) {
            probed.push(step);
        }
    }
    advance(Duration::from_secs(1)).await;
    for n in 50..55 {
        f.on(Event::Replied(name(n)));
    }
    assert!(probed.len() >= 20);
    for step in probed {
        let Step::Probe(name) = step else {
            panic!("{step:?}")
        };
        let steps = f.on(Event::Missed(name.clone()));
        assert_eq!(steps, [Step::Confirm(name)]);
    }
}

/// Every reply is late, as when all nodes are short of CPU: the extra probes have a bound.
#[tokio::test(start_paused = true)]
async fn extra_probes_are_bounded_when_every_reply_is_late() {
    let mut f = Fixture::new(390);
    let cfg = MassLoss::default();
    let mut probes = f.on(Event::Tick);
    let mut sent = 0;
    for _ in 0..100 {
        advance(cfg.late_after).await;
        let late = std::mem::take(&mut probes);
        sent += late.len();
        for step in late {
            if let Step::Probe(name) = step {
                probes.extend(f.on(Event::Late(name)));
            }
        }
        if probes.is_empty() {
            probes = f.on(Event::Tick);
        }
    }
    assert!(sent <= cfg.max_extra_probes + 2 * 100, "{sent}");
}

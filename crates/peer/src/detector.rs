//! Decisions of the failure detector: whom to probe next, and when a node that does not reply is
//! suspect or failed.
//!
//! The detector does no I/O. [`crate::Membership`] runs its steps and reports what came of them.
//!
//! Silence of one node may be a node that is short of CPU, so a suspicion lasts long enough for it to
//! refute. When many of the nodes that are probed within a moment are silent and others reply, the
//! silence has another cause than the load of each, and mass-loss mode decides sooner: a node is failed
//! if two nodes suspect it independently and a second probe, which tells it so, gets no reply either.

use indexmap::{IndexMap, IndexSet};
use log::info;
use rand::Rng;
use rand::seq::SliceRandom;
use rwd_types::InstanceName;
use std::time::Duration;
use tokio::time::Instant;

use crate::{Directory, MembershipSettings, ProbeOrder, REFUTATION_PROBES};

/// Maximum concurrent probes of a node that finds one failed node after the other.
pub const MAX_CHAINED_PROBES: usize = 4;

/// Outcomes of probes older than this are no evidence of a mass loss.
const WINDOW: Duration = Duration::from_secs(2);
/// A result that is later than its limit by this much tells more about this node than about the peer.
const MAX_LATENESS: Duration = Duration::from_millis(100);

/// Longest time for which a step without a result keeps others from probing its node.
const MAX_STEP: Duration = Duration::from_secs(15);

/// When silence of many nodes counts as a mass loss. A node reacts to the first late reply by probing
/// more nodes at once, and decides on what these probes show.
#[derive(Clone, Copy, Debug)]
pub struct MassLoss {
    /// Time without a reply after which further nodes are probed; shorter than the probe's timeout.
    pub late_after: Duration,
    /// Number of nodes probed at once for each late reply.
    pub fan_out: usize,
    /// Largest number of such probes at once; one more is allowed each heartbeat.
    pub max_extra_probes: usize,
    /// Silent nodes that make a mass loss.
    pub min_silent: usize,
    /// One silent node in this many probed ones makes a mass loss.
    pub silent_divisor: usize,
    /// Nodes that replied; with fewer, the fault may be this node's own.
    pub min_replies: usize,
}

impl Default for MassLoss {
    fn default() -> Self {
        Self {
            late_after: Duration::from_millis(100),
            fan_out: 4,
            max_extra_probes: 32,
            min_silent: 8,
            silent_divisor: 3,
            min_replies: 3,
        }
    }
}

/// What happened to the detector.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// A heartbeat period has passed.
    Tick,
    /// The view has changed.
    News,
    /// The local node refutes its failure.
    Refuted,
    /// A probe has had no reply for [`MassLoss::late_after`].
    Late(InstanceName),
    /// The node replied, directly or to a proxy.
    Replied(InstanceName),
    /// The node's address refused the connection.
    Refused(InstanceName),
    /// A direct probe timed out.
    Missed(InstanceName),
    /// After a direct probe, probes through proxies timed out too.
    Unconfirmed(InstanceName),
    /// A second probe, of a suspect node, timed out.
    StillSilent(InstanceName),
}

/// What the detector wants to be done. Each step ends with an event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Probe a node.
    Probe(InstanceName),
    /// Probe it through proxies.
    Confirm(InstanceName),
    /// Probe it again, and through proxies; the probe tells it that it is suspect.
    ProbeAgain(InstanceName),
}

/// Failure detector state of one node.
#[derive(Debug)]
pub struct Detector {
    cfg: MembershipSettings,
    mass_loss: Option<MassLoss>,
    order: ProbeOrder,
    // Nodes being probed, and since when.
    pending: IndexMap<InstanceName, Instant>,
    // Nodes that did not reply and are probed through proxies.
    confirming: IndexSet<InstanceName>,
    // Nodes that this node itself has suspected, which it may hear of again from others; since when.
    accused: IndexMap<InstanceName, Instant>,
    // Suspect nodes that are failed if their second probe gets no reply.
    last_chance: IndexSet<InstanceName>,
    // The last outcome of each node's probes: when, and whether it was silent.
    outcomes: IndexMap<InstanceName, (Instant, bool)>,
    extra_probes: usize,
    in_mass_loss: bool,
}

impl Detector {
    /// A detector that knows of no probe yet; mass-loss mode is off without `mass_loss`.
    pub fn new(cfg: MembershipSettings, mass_loss: Option<MassLoss>) -> Self {
        Self {
            cfg,
            mass_loss,
            order: ProbeOrder::default(),
            pending: IndexMap::new(),
            confirming: IndexSet::new(),
            accused: IndexMap::new(),
            last_chance: IndexSet::new(),
            outcomes: IndexMap::new(),
            extra_probes: mass_loss.map_or(0, |m| m.max_extra_probes),
            in_mass_loss: false,
        }
    }

    /// Takes in one event and returns the steps to start now.
    pub fn on(
        &mut self,
        event: Event,
        directory: &Directory,
        rng: &mut (impl Rng + ?Sized),
    ) -> Vec<Step> {
        let mut steps = Vec::new();
        match event {
            Event::Tick => {
                self.tick(directory, &mut steps);
                let next = self.order.next(directory, rng);
                self.start(next, &mut steps);
            }
            Event::News => self.probe_next(directory, rng, &mut steps),
            Event::Refuted => {
                let mut names = directory.probe_candidates();
                names.shuffle(rng);
                for name in names.into_iter().take(REFUTATION_PROBES) {
                    self.start(Some(name), &mut steps);
                }
            }
            Event::Late(name) => self.probe_more(&name, directory, rng, &mut steps),
            Event::Replied(name) => {
                self.settle(&name);
                self.accused.swap_remove(&name);
                self.record(name, false);
            }
            Event::Refused(name) => {
                self.settle(&name);
                info!(instance:% = name; "instance refused the connection");
                if directory.failed(&name) {
                    self.chain(directory, rng, &mut steps);
                }
            }
            Event::Missed(name) => self.missed(name, directory, rng, &mut steps),
            // Otherwise a second probe has replaced those through proxies.
            Event::Unconfirmed(name) if self.confirming.contains(&name) => {
                self.settle(&name);
                info!(instance:% = name; "instance did not reply to probes");
                if directory.suspect(&name) {
                    self.accused.insert(name, Instant::now());
                    self.chain(directory, rng, &mut steps);
                }
            }
            Event::Unconfirmed(_) => (),
            Event::StillSilent(name) => self.still_silent(&name, directory),
        }
        steps
    }

    fn tick(&mut self, directory: &Directory, steps: &mut Vec<Step>) {
        let Some(cfg) = self.mass_loss else {
            return directory.expire(self.cfg.suspicion);
        };
        // The node that suspects another decides; the rest stand in if it is lost.
        directory.expire(2 * self.cfg.suspicion);
        self.extra_probes = cfg.max_extra_probes.min(self.extra_probes + 1);
        self.outcomes.retain(|_, (at, _)| at.elapsed() < WINDOW);
        self.pending.retain(|_, at| at.elapsed() < MAX_STEP);
        self.update_mode(cfg);
        self.end_suspicions(directory, steps);
    }

    // Nodes often fail together.
    fn chain(
        &mut self,
        directory: &Directory,
        rng: &mut (impl Rng + ?Sized),
        steps: &mut Vec<Step>,
    ) {
        if self.pending.len() < MAX_CHAINED_PROBES {
            self.probe_next(directory, rng, steps);
        }
    }

    fn probe_next(
        &mut self,
        directory: &Directory,
        rng: &mut (impl Rng + ?Sized),
        steps: &mut Vec<Step>,
    ) {
        let next = self.order.next_up(directory, rng);
        self.start(next, steps);
    }

    fn start(&mut self, name: Option<InstanceName>, steps: &mut Vec<Step>) {
        // A second probe beside one that waits shows nothing new.
        let skips = self.mass_loss.is_some();
        let idle = name.filter(|name| !skips || !self.pending.contains_key(name));
        if let Some(name) = idle {
            self.pending.insert(name.clone(), Instant::now());
            steps.push(Step::Probe(name));
        }
    }

    fn settle(&mut self, name: &InstanceName) {
        self.pending.swap_remove(name);
        self.confirming.swap_remove(name);
        self.last_chance.swap_remove(name);
    }

    fn record(&mut self, name: InstanceName, silent: bool) {
        if let Some(cfg) = self.mass_loss {
            self.outcomes.insert(name, (Instant::now(), silent));
            self.update_mode(cfg);
        }
    }

    fn probe_more(
        &mut self,
        late: &InstanceName,
        directory: &Directory,
        rng: &mut (impl Rng + ?Sized),
        steps: &mut Vec<Step>,
    ) {
        let Some(cfg) = self.mass_loss else {
            return;
        };
        // Only the probe that was started for it is late, not one after it.
        let waits_for = |at: &Instant| at.elapsed() >= cfg.late_after;
        if !self.pending.get(late).is_some_and(waits_for) {
            return;
        }
        for _ in 0..cfg.fan_out.min(self.extra_probes) {
            self.extra_probes -= 1;
            self.probe_next(directory, rng, steps);
        }
    }

    // Whether the result of a step that takes up to `limit` is so late that this node stood still.
    fn stood_still(&self, name: &InstanceName, limit: Duration) -> bool {
        let started = self.pending.get(name);
        started.is_some_and(|at| at.elapsed() > limit + MAX_LATENESS)
    }

    fn missed(
        &mut self,
        name: InstanceName,
        directory: &Directory,
        rng: &mut (impl Rng + ?Sized),
        steps: &mut Vec<Step>,
    ) {
        if !self.stood_still(&name, self.cfg.probe_timeout) {
            self.record(name.clone(), true);
        }
        if !self.in_mass_loss {
            self.confirming.insert(name.clone());
            steps.push(Step::Confirm(name));
            return;
        }
        let silent = std::mem::take(&mut self.confirming);
        for name in silent.into_iter().chain([name]) {
            let corroborated = directory.is_suspect(&name) && !self.accused.contains_key(&name);
            if directory.suspect(&name) {
                self.accused.insert(name.clone(), Instant::now());
            }
            match corroborated {
                true => self.probe_last(name, steps),
                false => self.settle(&name),
            }
            // Others must learn of the suspicion, and more silent nodes must be found.
            self.probe_next(directory, rng, steps);
        }
    }

    fn probe_last(&mut self, name: InstanceName, steps: &mut Vec<Step>) {
        self.pending.insert(name.clone(), Instant::now());
        self.last_chance.insert(name.clone());
        steps.push(Step::ProbeAgain(name));
    }

    // A refutation may have reached others but not this node: the suspects of this node get a last
    // probe before they are failed.
    fn end_suspicions(&mut self, directory: &Directory, steps: &mut Vec<Step>) {
        self.accused.retain(|name, _| directory.is_suspect(name));
        let limit = self.cfg.suspicion.saturating_sub(self.cfg.probe_timeout);
        let due: Vec<_> = self
            .accused
            .iter()
            .filter(|(name, since)| since.elapsed() >= limit && !self.last_chance.contains(*name))
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            self.probe_last(name, steps);
        }
    }

    fn still_silent(&mut self, name: &InstanceName, directory: &Directory) {
        let on_time = !self.stood_still(name, self.cfg.probe_timeout);
        let decides = on_time && self.last_chance.contains(name) && directory.is_suspect(name);
        self.settle(name);
        if decides && directory.failed(name) {
            info!(event = "member_failed", instance:% = name, mass_loss = self.in_mass_loss; "suspect instance did not reply to its last probe");
        }
    }

    fn update_mode(&mut self, cfg: MassLoss) {
        let recent = self
            .outcomes
            .values()
            .filter(|(at, _)| at.elapsed() < WINDOW);
        let (mut probed, mut silent) = (0, 0);
        for (_, s) in recent {
            probed += 1;
            silent += usize::from(*s);
        }
        // Half of the bounds end it, so that it does not come and go with each probe.
        let slack = if self.in_mass_loss { 2 } else { 1 };
        let is_mass_loss = silent * slack >= cfg.min_silent
            && silent * cfg.silent_divisor * slack >= probed
            && probed - silent >= cfg.min_replies;
        if is_mass_loss != self.in_mass_loss {
            self.in_mass_loss = is_mass_loss;
            info!(event = "mass_loss", on = is_mass_loss, silent, probed, window_ms = WINDOW.as_millis() as u64; "many instances do not reply while others do");
        }
    }
}

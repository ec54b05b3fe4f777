//! Selects the source from which a node replicates the store's state.
//!
//! In each group of nodes one reads the store and the others follow it. What a node knows must not
//! get older than the operators' shortest bound when that path breaks, wherever it breaks. The time
//! from a change to the last node is a sum:
//!
//! | step | time |
//! |---|---|
//! | the reader has just polled when the change is made | [`TARGETS_PERIOD`] |
//! | a follower's request has just begun when its reader is lost | [`LONG_POLL_WAIT`] and one reply |
//! | the nodes that come before the follower are asked, all at the same time | one reply |
//! | those beyond the first [`SURVEY`] are asked too, if all are lost | one reply |
//! | the store is read and the update is passed on | one reply |
//!
//! A reader that the store turns away, or that gets no reply from it, says so at once, and the
//! nodes that come next take over without waiting for a timeout. [`SyncTiming`] is the time of one
//! reply for which the sum stays within the bound.
//!
//! Nodes that reply that the store fails are evidence against the store, and only the first
//! [`MAX_READING`] of them read it; nodes that are silent, or have just started, are no such evidence
//! and are passed over. A node decides from its own observations alone, and this module does so
//! without a network.

use indexmap::IndexMap;
use rwd_placement::Timestamp;
use rwd_types::InstanceName;
use rwd_wire::StoreAccess;
use std::time::Duration;

use crate::Bounds;

/// Registry poll interval.
pub const TARGETS_PERIOD: Duration = Duration::from_millis(600);
/// Long-poll time of a configuration read. A removed key must be rejected after at most
/// [`Bounds::key_removal_ms`], so the replica is confirmed several times in that time.
pub const CONFIG_WAIT: Duration = Duration::from_millis(900);
/// Long-poll time of the read after one that brought a change. Such a response may be as old as its
/// whole wait, and the replica must not get older than one wait.
pub const CONFIRM_WAIT: Duration = Duration::from_millis(200);
/// How long a store call may take beyond its long-poll time.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Failed calls that are repeated before followers are told: a change of readers sends the whole list to
/// each of them.
pub const REPEATED_CALLS: u32 = 1;
/// Shortest pause after a failed call; it doubles with each further one.
pub const MIN_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after a failed call.
pub const MAX_PAUSE: Duration = Duration::from_millis(800);
/// How long a node holds a follower's request until there is an update.
pub const LONG_POLL_WAIT: Duration = Duration::from_millis(400);
/// Replies that [`SyncTiming`] has room for, one after the other.
const REPLIES: u32 = 4;
/// Longest time of one reply. Some round trips between zones, and the scheduling delay of a node
/// that is short of CPU.
const MAX_REPLY: Duration = Duration::from_millis(300);
/// Shortest time of one reply, whatever the bound: below it, nodes that are short of CPU would be
/// taken for lost.
const MIN_REPLY: Duration = Duration::from_millis(100);
/// Nodes of a group that read the store, or try to, one after the other.
const MAX_READERS: usize = 3;
/// Maximum nodes of a group that read the store at the same time while it fails. With a third of the
/// nodes cut off from the store, one group in 6,000 has no other node left.
const MAX_READING: usize = 8;
/// Nodes that are asked first when sources fail. With three quarters of the nodes lost, one
/// group in 100 has none of them left.
const SURVEY: usize = 16;
/// Replica age above which a node is no source for others, in milliseconds: a configuration is
/// confirmed every 0.9 s, and each of three nodes in a row may hold a request.
const MAX_SOURCE_AGE_MS: f64 = 2500.0;
/// How long a node that failed as a source is passed over, and how long a node reads the store
/// itself after its sources failed, in milliseconds.
const RETRY_MS: f64 = 3000.0;
/// Pulls without an update after which further ones are paced.
const MAX_UNPACED: usize = 6;
/// Pause between paced pulls.
pub const PACE: Duration = Duration::from_millis(300);

/// How long replies may take on the way from the store to a node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SyncTiming {
    /// Time after which a reply of the store or of another node counts as missing.
    pub reply: Duration,
}

impl SyncTiming {
    /// The times with which a change reaches every node within the shortest of the bounds.
    pub fn new(bounds: &Bounds) -> Self {
        let bound = Duration::from_secs_f64(bounds.sync_ms() / 1000.0);
        let left = bound.saturating_sub(TARGETS_PERIOD + LONG_POLL_WAIT);
        let reply = (left / REPLIES).clamp(MIN_REPLY, MAX_REPLY);
        Self { reply }
    }

    /// Timeout of a pull, which the other node may hold.
    pub fn pull(self) -> Duration {
        LONG_POLL_WAIT + self.reply
    }
}

/// How a node keeps its replica up to date.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// It pulls from the node at this index in the order of readers.
    Follow(usize),
    /// It pulls from a node of any group: the store fails for those of its own that read it.
    FollowAny,
    /// It reads the store itself.
    Read,
}

/// Why a node is passed over as a source.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// It did not reply in time, or has no recent state itself.
    Lost,
    /// It replied that it cannot read the store.
    Failing,
}

impl Fault {
    /// Why a node is no source, if it is none. One that reads the store says so itself if its reads
    /// fail.
    pub fn of(access: StoreAccess) -> Option<Self> {
        match access {
            StoreAccess::Fails => Some(Self::Failing),
            StoreAccess::Lacks => Some(Self::Lost),
            StoreAccess::Follows | StoreAccess::Reads => None,
        }
    }
}

/// How a node gets the store's state: whether it reads the store, whether its reads fail, and how old
/// its state is, in milliseconds.
pub fn access(reads: bool, fails: bool, age_ms: f64) -> StoreAccess {
    match reads {
        true if fails => StoreAccess::Fails,
        true => StoreAccess::Reads,
        false if age_ms > MAX_SOURCE_AGE_MS => StoreAccess::Lacks,
        false => StoreAccess::Follows,
    }
}

/// Whether a node may keep a follower waiting: that has to look for another source if this one fails.
/// All nodes that start together have no state, and wait for the first of them.
pub fn may_hold(access: StoreAccess, follower_has_state: bool) -> bool {
    match Fault::of(access) {
        None => true,
        Some(Fault::Lost) => !follower_has_state,
        Some(Fault::Failing) => false,
    }
}

impl Role {
    /// The role of a node, given the faults of the nodes before it in its group's order of readers.
    pub fn choose(before: &[Option<Fault>]) -> Self {
        let readers = &before[..before.len().min(MAX_READERS)];
        let responding = before.iter().enumerate();
        let responding = responding.filter(|(_, fault)| **fault != Some(Fault::Lost));
        let mut reading = responding.clone().take(MAX_READING);
        let usable = readers.iter().position(Option::is_none);
        let lost = readers[..usable.unwrap_or(0)].contains(&Some(Fault::Lost));
        match usable {
            // Nothing indicates that the store fails, and the other successor may find that it does.
            Some(_) if lost && before.len() < MAX_READERS => Self::Read,
            Some(reader) => Self::Follow(reader),
            None if before.len() < MAX_READERS || responding.count() < MAX_READING => Self::Read,
            None => match reading.find(|(_, fault)| fault.is_none()) {
                Some((n, _)) => Self::Follow(n),
                None => Self::FollowAny,
            },
        }
    }
}

/// What a node does next to keep its replica up to date.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// It pulls from this node.
    Pull(InstanceName),
    /// It pulls from a node of any group.
    PullAny,
    /// It asks all of these nodes at the same time whether they can be sources.
    Survey(Vec<InstanceName>),
    /// It reads the store.
    Read,
}

struct Mark {
    fault: Fault,
    until: Timestamp,
}

/// Selects a node's sources from what it has observed of the other nodes.
#[derive(Default)]
pub struct Sources {
    marks: IndexMap<InstanceName, Mark>,
    read_until: Timestamp,
    // How many of the nodes before this one are to be asked, as a source failed.
    survey: usize,
    // How many of them have been asked since then.
    asked: usize,
    // Pulls since the last one that brought fresh state.
    failed: usize,
}

impl Sources {
    /// The next step of the node `own`; `ranked` is its group's order of readers.
    pub fn next(&mut self, ranked: &[InstanceName], own: &InstanceName, now: Timestamp) -> Step {
        self.marks.retain(|_, m| m.until > now);
        let position = ranked.iter().position(|n| n == own);
        let before = &ranked[..position.unwrap_or(ranked.len())];
        if !before.is_empty() && now < self.read_until {
            return Step::Read;
        }
        let faults: Vec<_> = before.iter().map(|n| self.fault(n)).collect();
        let role = Role::choose(&faults);
        let survey = match role {
            // None of the first ones can be a source.
            Role::Follow(n) if n >= SURVEY && n >= self.asked => usize::MAX,
            _ => std::mem::take(&mut self.survey),
        };
        self.asked = self.asked.max(survey);
        let unasked = before.iter().take(survey);
        let unasked = unasked.filter(|n| self.fault(n).is_none());
        let unasked: Vec<_> = unasked.cloned().collect();
        match role {
            Role::Read => {
                self.read_until = now + RETRY_MS;
                Step::Read
            }
            _ if !unasked.is_empty() => Step::Survey(unasked),
            Role::Follow(n) => Step::Pull(before[n].clone()),
            Role::FollowAny => Step::PullAny,
        }
    }

    /// The fault for which a node is passed over now.
    pub fn fault(&self, name: &InstanceName) -> Option<Fault> {
        self.marks.get(name).map(|m| m.fault)
    }

    /// Records that a pull brought fresh state.
    pub fn record_fresh(&mut self, name: &InstanceName) {
        self.marks.swap_remove(name);
        self.failed = 0;
    }

    /// Records that a pull brought none, and why.
    pub fn record_fault(&mut self, name: &InstanceName, fault: Fault, now: Timestamp) {
        self.failed += 1;
        self.asked = 0;
        self.mark(name, fault, now);
        let survey = match fault {
            Fault::Failing if self.marks.len() < MAX_READERS => MAX_READERS,
            Fault::Failing | Fault::Lost => SURVEY,
        };
        self.survey = self.survey.max(survey);
    }

    fn mark(&mut self, name: &InstanceName, fault: Fault, now: Timestamp) {
        let until = now + RETRY_MS;
        self.marks.insert(name.clone(), Mark { fault, until });
    }

    /// Records the result of a survey: the fault of each node that was asked, if it has one.
    pub fn record_survey(&mut self, results: &[(InstanceName, Option<Fault>)], now: Timestamp) {
        for (name, fault) in results {
            if let Some(fault) = fault {
                self.mark(name, *fault, now);
            }
        }
    }

    /// Pause before the next pull.
    pub fn pause(&self) -> Duration {
        pause_after_stale(self.failed)
    }
}

/// Pause before the next pull after `failed` ones that brought no fresh state.
///
/// A node that cannot read the store replies at once. While the store is down, all nodes are stale,
/// so only the first round of readers is tried without a pause.
pub fn pause_after_stale(failed: usize) -> Duration {
    match failed <= MAX_UNPACED {
        true => Duration::ZERO,
        false => PACE,
    }
}

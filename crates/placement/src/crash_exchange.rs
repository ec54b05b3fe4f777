//! Decides what nodes tell each other about crashes of targets.
//!
//! Requests that crash targets arrive at any node, and each node sees only the crashes under its own
//! requests. It reports these to three coordinators. Two of them relate them to each other, the third
//! stands by. One that finds a feature in several crashes asks whether requests with it have completed since:
//! first a few nodes, which know of all popular features, then all. Only blocks, and completions that lift
//! them, are spread to all nodes, like rumours (Demers et al., PODC 1987); nodes compare their blocks once a
//! second.
//!
//! What that costs a node is bounded whatever breaks: a coordinator takes a fixed number of messages per
//! second, of which each node has an equal share, and rumours and questions have fixed rates and sizes.
//! Reports beyond that are dropped, the oldest first.

use indexmap::{IndexMap, IndexSet};
use rand::Rng;
use rand::seq::IteratorRandom;
use rwd_types::InstanceName;
use std::collections::VecDeque;

use crate::{
    Admission, BlockNews, CrashLedger, CrashNews, CrashReport, Feature, Question, Recipient,
    Timestamp,
};

/// Nodes that are told of crashes: one may be lost, another cut off.
pub const COORDINATORS: usize = 3;
/// Those of them that relate crashes to each other; the others stand by.
const ACTIVE_COORDINATORS: usize = 2;
/// Nodes to which rumours are pushed.
const FANOUT: usize = 3;
/// Nodes that are asked first.
const PROBED: usize = 2;
/// Messages with reports that a coordinator takes per second from all nodes together.
const MAX_MESSAGES_PER_S: f64 = 40.0;
/// Messages with reports that it takes at once from all nodes together.
const MAX_MESSAGES_AT_ONCE: f64 = 240.0;
/// Messages with reports that one node may send it per second.
const MESSAGES_PER_S: f64 = 0.4;
/// Bounds of the messages that one node may send it at once.
const MESSAGES_AT_ONCE: (f64, f64) = (2.0, 12.0);
/// Maximum crashes in one message.
const MAX_REPORTS: usize = 4;
/// Maximum completions in one message with reports.
const MAX_SOUND: usize = 8;
/// Reports of one node that are kept until all coordinators have them.
const MAX_OWN: usize = 32;
/// How long these are kept, in milliseconds: a new coordinator is told of them.
const OWN_LIFETIME_MS: f64 = 20_000.0;
/// Rumours that a node pushes per second, and at once. Each goes to `FANOUT` nodes.
const RUMOURS_PER_S: f64 = 0.7;
const RUMOURS_AT_ONCE: f64 = 6.0;
/// Maximum sets, completions and questions in one message to all nodes.
const MAX_ROWS: usize = 8;
/// Maximum sets that two nodes that compare send each other at once.
const MAX_COMPARED: usize = 32;
/// Time between two rounds of questions, in milliseconds.
const ASK_PERIOD_MS: f64 = 500.0;
/// Time for the few that are asked first to reply, in milliseconds.
const PROBE_MS: f64 = 150.0;
/// Time between two writes of suspicions to the store, in milliseconds.
const SUSPECT_PERIOD_MS: f64 = 1000.0;
/// Questions that a node remembers.
const MAX_ASKED: usize = 128;
/// Difference below which two questions are about the same crash, in milliseconds: each node that passes one
/// on adds the time of the transfer.
const SAME_QUESTION_MS: f64 = 200.0;

/// The other nodes, as one node sees them.
#[derive(Clone, Debug, PartialEq)]
pub struct CrashPeers {
    /// The node itself.
    pub own: InstanceName,
    /// All others.
    pub others: Vec<InstanceName>,
    /// The coordinators, best first. The first one also tries requests after their blocks.
    pub coordinators: Vec<Recipient>,
}

/// A rate with a burst.
#[derive(Clone, Debug, Default)]
struct Budget {
    used: f64,
    at: Timestamp,
}

impl Budget {
    // Whether one message more is within the budget, which it is then charged to.
    fn take(&mut self, per_s: f64, burst: f64, now: Timestamp) -> bool {
        self.used = (self.used - (now - self.at).max(0.0) * per_s / 1000.0).max(0.0);
        self.at = now;
        let is_within = self.used + 1.0 <= burst;
        self.used += f64::from(u8::from(is_within));
        is_within
    }
}

#[derive(Debug)]
struct OwnReport {
    report: CrashReport,
    dispatched: Timestamp,
    crashed: Timestamp,
    told: Vec<Recipient>,
}

#[derive(Debug)]
struct OwnSound {
    dispatched: Timestamp,
    at: Timestamp,
    told: Vec<Recipient>,
}

/// A question of this coordinator.
#[derive(Clone, Copy, Debug)]
struct Asked {
    crashed: Timestamp,
    at: Timestamp,
    of_all: bool,
}

/// What all nodes are to be told.
#[derive(Debug, Default)]
struct Rumours {
    // By dispatch of the request that completed.
    sound: Vec<(Feature, Timestamp)>,
    // By the time at which this node learned of them.
    blocked: Vec<(BlockNews, Timestamp)>,
    // By the time of the crash.
    asked: Vec<(Feature, Timestamp)>,
}

impl Rumours {
    fn is_empty(&self) -> bool {
        self.sound.is_empty() && self.blocked.is_empty() && self.asked.is_empty()
    }

    fn add_blocks(&mut self, blocks: &[BlockNews], now: Timestamp) {
        self.blocked.extend(blocks.iter().map(|b| (b.clone(), now)));
    }

    // Some of them, with their ages.
    fn take(&mut self, now: Timestamp) -> CrashNews {
        let sound = take_rows(&mut self.sound).map(|(f, t)| (f, now - t));
        let blocked = take_rows(&mut self.blocked).map(|(b, at)| BlockNews {
            first_crash_ms: b.first_crash_ms + (now - at),
            since_ms: b.since_ms + (now - at),
            ..b
        });
        let asked = take_rows(&mut self.asked).map(|(f, t)| question(f, t, true, now));
        CrashNews {
            crashes: Vec::new(),
            sound: sound.collect(),
            blocked: blocked.collect(),
            asked: asked.collect(),
        }
    }
}

/// A question of a coordinator that all nodes are asked.
#[derive(Clone, Copy, Debug)]
struct Remembered {
    crashed: Timestamp,
    is_answered: bool,
}

/// One node's knowledge of requests that crash targets, and what it tells other nodes.
#[derive(Debug, Default)]
pub struct CrashExchange {
    ledger: CrashLedger,
    reports: VecDeque<OwnReport>,
    sound: IndexMap<Feature, OwnSound>,
    coordinators: Vec<Recipient>,
    // Among the active coordinators, if this node is one.
    rank: Option<usize>,
    evidence: IndexMap<InstanceName, Budget>,
    // For all nodes.
    rumours: Rumours,
    rumours_sent: Budget,
    asked: IndexMap<Feature, Remembered>,
    questions: IndexMap<Feature, Asked>,
    next_round: Timestamp,
    // Suspicions to be written to the store, and since when they are held.
    suspects: VecDeque<(BlockNews, Timestamp)>,
    suspect_written: Timestamp,
}

impl CrashExchange {
    /// As [`CrashLedger::admit`].
    pub fn admit(
        &mut self,
        features: &[Feature],
        is_owner: impl FnOnce() -> bool,
        now: Timestamp,
    ) -> Admission {
        self.ledger.admit(features, is_owner, now)
    }

    /// As [`CrashLedger::end_trial`].
    pub fn end_trial(&mut self, set: &[Feature]) {
        self.ledger.end_trial(set);
    }

    /// The blocks that this node knows.
    pub fn blocks(&self, now: Timestamp) -> Vec<BlockNews> {
        self.ledger.blocks(now)
    }

    /// The blocks that nodes tell each other when they compare, the latest first.
    pub fn latest_blocks(&self, now: Timestamp) -> Vec<BlockNews> {
        let mut blocks = self.ledger.blocks(now);
        blocks.reverse();
        blocks.truncate(MAX_COMPARED);
        blocks
    }

    /// A hash of the blocks; zero if there are none.
    pub fn digest(&self) -> u64 {
        self.ledger.digest()
    }

    /// Records that a target crashed while it worked on a request of this node; returns whether that is new.
    pub fn record_crash(&mut self, report: CrashReport, now: Timestamp) -> bool {
        if !self.ledger.record_crash(&report, now) {
            return false;
        }
        if self.reports.len() >= MAX_OWN {
            self.reports.pop_front();
        }
        self.reports.push_back(OwnReport {
            dispatched: now + -report.dispatched_ms,
            crashed: now + -report.crashed_ms,
            report,
            told: Vec::new(),
        });
        true
    }

    /// Records that a request of this node, dispatched at `dispatched`, completed; returns whether other nodes
    /// are to be told.
    pub fn record_complete(
        &mut self,
        features: &[Feature],
        dispatched: Timestamp,
        now: Timestamp,
    ) -> bool {
        let blocked = self.ledger.blocked_features();
        let mut cleared = self.ledger.record_complete(features, dispatched);
        for f in features {
            let asked = self.asked.get_mut(f);
            if let Some(q) = asked.filter(|q| !q.is_answered && q.crashed < dispatched) {
                q.is_answered = true;
                cleared.push((*f, dispatched));
            }
        }
        self.tell_sound(&cleared, &blocked, now);
        !cleared.is_empty()
    }

    // Tells all nodes of completions that may lift blocks, and the coordinators of all.
    fn tell_sound(
        &mut self,
        cleared: &[(Feature, Timestamp)],
        blocked: &IndexSet<Feature>,
        now: Timestamp,
    ) {
        for (feature, dispatched) in cleared {
            if blocked.contains(feature) {
                self.rumours.sound.push((*feature, *dispatched));
            }
            let (dispatched, at) = (*dispatched, now);
            let told = Vec::new();
            let sound = OwnSound {
                dispatched,
                at,
                told,
            };
            self.sound.insert(*feature, sound);
        }
    }

    /// Adds blocks that the store has kept.
    pub fn restore(&mut self, blocked: Vec<BlockNews>, now: Timestamp) {
        let news = CrashNews {
            blocked,
            ..CrashNews::default()
        };
        self.ledger.merge(news, now);
    }

    /// Drops what has expired, and blames features if this node is an active coordinator; returns the blocks and
    /// suspicions that begin now.
    pub fn assess(&mut self, now: Timestamp) -> Vec<BlockNews> {
        if self.rank.is_none() {
            self.ledger.expire(now);
            return Vec::new();
        }
        let begun = self.ledger.assess(now);
        let blocks: Vec<_> = begun.iter().filter(|b| b.lasts_ms > 0.0).cloned().collect();
        self.rumours.add_blocks(&blocks, now);
        let suspects = begun.iter().filter(|b| b.lasts_ms == 0.0);
        let suspects = suspects.filter(|_| self.rank == Some(0));
        self.suspects.extend(suspects.map(|b| (b.clone(), now)));
        while self.suspects.len() > MAX_ROWS {
            self.suspects.pop_front();
        }
        begun
    }

    /// A suspicion that this node is to write to the store now, as all nodes may be lost before the next crash.
    pub fn take_suspect(&mut self, now: Timestamp) -> Option<BlockNews> {
        if now - self.suspect_written < SUSPECT_PERIOD_MS {
            return None;
        }
        let (suspect, at) = self.suspects.pop_back()?;
        self.suspect_written = now;
        Some(BlockNews {
            first_crash_ms: suspect.first_crash_ms + (now - at),
            since_ms: suspect.since_ms + (now - at),
            ..suspect
        })
    }

    /// Takes in what another node tells; returns the blocks that are new, and the reply.
    pub fn merge(&mut self, mut news: CrashNews, now: Timestamp) -> (Vec<BlockNews>, CrashNews) {
        let mut reply = CrashNews::default();
        let mut blocked = self.ledger.blocked_features();
        blocked.extend(news.blocked.iter().flat_map(|b| b.set.iter().copied()));
        self.answer(std::mem::take(&mut news.asked), &mut reply, now);
        let told: IndexSet<_> = news.sound.iter().map(|(f, _)| *f).collect();
        let offered = news.blocked.clone();
        let fresh = self.ledger.merge(news, now);
        let (others, own): (Vec<_>, Vec<_>) =
            fresh.sound.into_iter().partition(|(f, _)| told.contains(f));
        let own: Vec<_> = own.into_iter().map(|(f, ms)| (f, now + -ms)).collect();
        self.tell_sound(&own, &blocked, now);
        let lifting = others.into_iter().filter(|(f, _)| blocked.contains(f));
        let lifting = lifting.map(|(f, ms)| (f, now + -ms));
        self.rumours.sound.extend(lifting);
        for block in offered.iter().filter(|b| !fresh.blocked.contains(b)) {
            reply.sound.extend(self.ledger.clearance(block, now));
        }
        self.rumours.add_blocks(&fresh.blocked, now);
        (fresh.blocked, reply)
    }

    fn answer(&mut self, asked: Vec<Question>, reply: &mut CrashNews, now: Timestamp) {
        for q in asked.into_iter().take(MAX_ROWS) {
            let crashed = now + -q.crashed_ms;
            let last = self.ledger.completed(q.feature);
            let answer = last.filter(|t| *t > crashed).map(|t| (q.feature, t));
            if !q.spread {
                reply.sound.extend(answer.map(|(f, t)| (f, now - t)));
                continue;
            }
            let known = self.asked.get(&q.feature);
            if known.is_some_and(|k| crashed - k.crashed < SAME_QUESTION_MS) {
                continue;
            }
            let is_answered = answer.is_some();
            self.remember(q.feature, crashed, is_answered);
            self.rumours.asked.push((q.feature, crashed));
            self.tell_sound(answer.as_slice(), &IndexSet::new(), now);
        }
    }

    fn remember(&mut self, feature: Feature, crashed: Timestamp, is_answered: bool) {
        self.asked.shift_remove(&feature);
        if self.asked.len() >= MAX_ASKED {
            self.asked.shift_remove_index(0);
        }
        let asked = Remembered {
            crashed,
            is_answered,
        };
        self.asked.insert(feature, asked);
    }

    /// Replies to what another node tells. A node that tells nothing compares blocks; returns those that are new
    /// here, and the reply.
    pub fn serve(
        &mut self,
        digest: u64,
        news: CrashNews,
        now: Timestamp,
    ) -> (Vec<BlockNews>, CrashNews) {
        let compares = news.is_empty();
        let (begun, mut reply) = self.merge(news, now);
        if compares && digest != self.digest() {
            reply.blocked = self.latest_blocks(now);
        }
        (begun, reply)
    }

    /// The messages that are due, with the nodes that they are for.
    pub fn poll(
        &mut self,
        peers: &CrashPeers,
        rng: &mut impl Rng,
        now: Timestamp,
    ) -> Vec<(InstanceName, CrashNews)> {
        let mut out: IndexMap<InstanceName, CrashNews> = IndexMap::new();
        self.change_coordinators(peers, &mut out, now);
        self.report(peers, &mut out, now);
        if self.rank.is_some() && now >= self.next_round {
            self.next_round = now + ASK_PERIOD_MS;
            self.ask(peers, &mut out, rng, now);
        }
        self.push_rumours(peers, &mut out, rng, now);
        out.into_iter().collect()
    }

    /// Whether [`CrashExchange::poll`] may have messages: it held some back, or crashes are to be asked about.
    pub fn has_more(&self) -> bool {
        let is_told = |told: &Vec<Recipient>| self.coordinators.iter().all(|c| told.contains(c));
        self.ledger.has_crashes()
            || !self.rumours.is_empty()
            || !self.reports.iter().all(|r| is_told(&r.told))
            || !self.sound.values().all(|s| is_told(&s.told))
    }

    // The coordinators hand what they know to a new one.
    fn change_coordinators(
        &mut self,
        peers: &CrashPeers,
        out: &mut IndexMap<InstanceName, CrashNews>,
        now: Timestamp,
    ) {
        if self.coordinators == peers.coordinators {
            return;
        }
        let before = std::mem::replace(&mut self.coordinators, peers.coordinators.clone());
        let was_coordinator = before.iter().any(|(name, _)| *name == peers.own);
        let rank = peers.coordinators.iter();
        let mut rank = rank.take(ACTIVE_COORDINATORS);
        self.rank = rank.position(|(name, _)| *name == peers.own);
        self.evidence
            .retain(|name, _| peers.coordinators.iter().any(|(c, _)| c == name));
        if !was_coordinator {
            return;
        }
        let news = self.ledger.news(now);
        for (name, _) in peers.coordinators.iter().filter(|c| !before.contains(c)) {
            if *name != peers.own && !news.is_empty() {
                out.insert(name.clone(), news.clone());
            }
        }
    }

    // Reports crashes and completions of this node's requests to the coordinators.
    fn report(
        &mut self,
        peers: &CrashPeers,
        out: &mut IndexMap<InstanceName, CrashNews>,
        now: Timestamp,
    ) {
        self.reports.retain(|r| now - r.crashed < OWN_LIFETIME_MS);
        self.sound.retain(|_, s| now - s.at < OWN_LIFETIME_MS);
        let nodes = (peers.others.len() + 1) as f64;
        let per_s = MESSAGES_PER_S.min(MAX_MESSAGES_PER_S / nodes);
        let (least, most) = MESSAGES_AT_ONCE;
        let burst = (MAX_MESSAGES_AT_ONCE / nodes).clamp(least, most);
        for coordinator in &peers.coordinators {
            let name = &coordinator.0;
            let is_untold = |told: &Vec<Recipient>| !told.contains(coordinator);
            let reports = self.reports.iter().any(|r| is_untold(&r.told));
            if *name == peers.own || !(reports || self.sound.values().any(|s| is_untold(&s.told))) {
                continue;
            }
            let budget = self.evidence.entry(name.clone()).or_default();
            if !budget.take(per_s, burst, now) {
                continue;
            }
            let news = out.entry(name.clone()).or_default();
            let reports = self.reports.iter_mut().filter(|r| is_untold(&r.told));
            for r in reports.take(MAX_REPORTS) {
                r.told.push(coordinator.clone());
                news.crashes.push(CrashReport {
                    dispatched_ms: now - r.dispatched,
                    crashed_ms: now - r.crashed,
                    ..r.report.clone()
                });
            }
            let sound = self.sound.iter_mut().filter(|(_, s)| is_untold(&s.told));
            for (feature, s) in sound.take(MAX_SOUND) {
                s.told.push(coordinator.clone());
                news.sound.push((*feature, now - s.dispatched));
            }
        }
    }

    // Asks whether requests with the features of several crashes have completed since the last of these.
    fn ask(
        &mut self,
        peers: &CrashPeers,
        out: &mut IndexMap<InstanceName, CrashNews>,
        rng: &mut impl Rng,
        now: Timestamp,
    ) {
        let open = self.ledger.open_features();
        self.questions
            .retain(|f, _| open.iter().any(|(feature, _)| feature == f));
        let mut first = Vec::new();
        for (feature, crashed) in open {
            let known = self.questions.get(&feature);
            match known {
                Some(q) if q.crashed >= crashed => {
                    let is_due = !q.of_all && now - q.at >= PROBE_MS;
                    if is_due && self.rumours.asked.len() < MAX_ROWS {
                        let q = Asked { of_all: true, ..*q };
                        self.questions.insert(feature, q);
                        self.remember(feature, crashed, false);
                        self.rumours.asked.push((feature, crashed));
                    }
                }
                _ if first.len() < MAX_ROWS => {
                    let (at, of_all) = (now, false);
                    let asked = Asked {
                        crashed,
                        at,
                        of_all,
                    };
                    self.questions.insert(feature, asked);
                    first.push(question(feature, crashed, false, now));
                }
                _ => (),
            }
        }
        if first.is_empty() {
            return;
        }
        for name in peers.others.iter().sample(rng, PROBED) {
            let news = out.entry(name.clone()).or_default();
            news.asked.extend(first.iter().cloned());
        }
    }

    fn push_rumours(
        &mut self,
        peers: &CrashPeers,
        out: &mut IndexMap<InstanceName, CrashNews>,
        rng: &mut impl Rng,
        now: Timestamp,
    ) {
        let budget = &mut self.rumours_sent;
        if self.rumours.is_empty() || !budget.take(RUMOURS_PER_S, RUMOURS_AT_ONCE, now) {
            return;
        }
        let news = self.rumours.take(now);
        for name in peers.others.iter().sample(rng, FANOUT) {
            let to = out.entry(name.clone()).or_default();
            to.sound.extend(news.sound.iter().copied());
            to.blocked.extend(news.blocked.iter().cloned());
            to.asked.extend(news.asked.iter().cloned());
        }
    }

    /// Takes note that a node was not reached, so that what it should have been told is told again.
    pub fn record_unsent(&mut self, to: &InstanceName, news: &CrashNews) {
        let is_in = |r: &OwnReport| {
            let mut crashes = news.crashes.iter();
            crashes.any(|c| c.request == r.report.request && c.target == r.report.target)
        };
        for r in self.reports.iter_mut().filter(|r| is_in(r)) {
            r.told.retain(|(name, _)| name != to);
        }
        for (feature, _) in &news.sound {
            if let Some(s) = self.sound.get_mut(feature) {
                s.told.retain(|(name, _)| name != to);
            }
        }
    }
}

fn take_rows<T>(rows: &mut Vec<T>) -> impl Iterator<Item = T> {
    let rest = rows.split_off(rows.len().min(MAX_ROWS));
    std::mem::replace(rows, rest).into_iter()
}

fn question(feature: Feature, crashed: Timestamp, spread: bool, now: Timestamp) -> Question {
    Question {
        feature,
        crashed_ms: now - crashed,
        spread,
    }
}

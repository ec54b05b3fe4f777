//! Relates crashes of targets to the requests that they were working on.
//!
//! A part of a prompt, or a request that is repeated, is blamed if targets crash again
//! and again under requests that hold it, and no request with it completes. Requests that
//! were merely cut off by the crash of another one share features with requests that
//! complete, which clears these features at all nodes. What the blamed requests have in
//! common is blocked, so that sound requests with only some of these features are not.
//!
//! After a block, one node tries one request at a time until one completes, which lifts the block, or crashes
//! its target. Where the evidence fits several requests alike, all of them are tried in this way at once.

use compact_str::CompactString;
use derive_more::Display;
use indexmap::{IndexMap, IndexSet};
use rwd_types::TargetName;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use crate::{PromptPart, Timestamp};

/// Crashes under requests with a part before it is blamed.
const MIN_CRASHES: usize = 4;
/// Crashes under a request that is repeated before it is blamed.
const MIN_CRASHES_OF_REPEATS: usize = 3;
/// Crashes under a request that is repeated after which it is suspected, so that one more is enough.
const MIN_CRASHES_OF_SUSPECTS: usize = 2;
/// Number of these that must have followed each other: a request was sent after the crash under
/// the one before. Many connections may break at once for another reason.
const MIN_ROUNDS: usize = 2;
/// Age from which a crash counts, in milliseconds: until then, requests with the same parts may
/// complete elsewhere.
const SETTLE_MS: f64 = 1000.0;
/// Age from which a crash under a suspect counts, in milliseconds: this blocks it until it is tried.
const SETTLE_SUSPECT_MS: f64 = 300.0;
/// Age from which crashes of one round are enough, in milliseconds: if so many requests with the
/// part were in progress at once, others should have completed since.
const SETTLE_ONE_ROUND_MS: f64 = 2200.0;
/// Crashes of one target within this time are one crash, in milliseconds.
const SAME_CRASH_MS: f64 = 1000.0;
/// How long a crash counts, in milliseconds.
const CRASH_LIFETIME_MS: f64 = 180_000.0;
/// How long requests are blocked at first, in milliseconds. A repaired engine may serve them then;
/// one more crash blocks them for twice as long.
const FIRST_BLOCK_MS: f64 = 120_000.0;
/// Longest time for which requests with a part are blocked, and for which an expired block is remembered, in
/// milliseconds.
const MAX_BLOCK_MS: f64 = 3_600_000.0;
/// How long repeats are blocked before they are tried if others may be to blame as well, in milliseconds: until
/// all nodes know it.
const UNSURE_BLOCK_MS: f64 = 300.0;
/// How long these are blocked before they are tried once more, in milliseconds: the target of the first trial
/// may have crashed for another reason.
const UNSURE_AGAIN_MS: f64 = 3000.0;
/// How long repeats are blocked after the trials that follow the first block, in milliseconds. Each trial
/// costs a target: with the factor below there are three on the first day, and one on each later day.
const SECOND_BLOCK_MS: f64 = 1_920_000.0;
/// Factor by which each further trial that fails extends the block of repeats.
const REPEATS_FACTOR: f64 = 16.0;
/// Longest time for which repeats are blocked, in milliseconds.
const MAX_REPEATS_BLOCK_MS: f64 = 86_400_000.0;
/// Difference below which two times of the same event are equal, in milliseconds: each node that
/// passes on an age adds the time of the transfer.
const CLOCK_TOLERANCE_MS: f64 = 500.0;
/// Maximum crashes that are kept.
const MAX_CRASHES: usize = 256;
/// Maximum crashes in one message.
const MAX_CRASHES_SENT: usize = 64;
/// Maximum cleared features in one message, the latest first.
const MAX_SOUND_SENT: usize = 128;
/// Crashes under requests with a blocked part, but not all parts of the block, that show that the
/// other parts do not matter.
const MIN_UNEXPLAINED: usize = 2;
/// Maximum parts that are kept as cleared.
const MAX_SOUND: usize = 1024;
/// Parts, and requests, whose last completion at this node is kept: this many, or twice as many.
const MAX_COMPLETED: usize = 1024;
/// Maximum sets of features that are blocked or suspected.
const MAX_BLOCKED: usize = 128;
/// Maximum parts of a request that are considered.
const MAX_PARTS: usize = 16;
/// Maximum features of a request: its parts and itself.
const MAX_FEATURES: usize = MAX_PARTS + 1;

/// Identifies requests that ask for the same, by method, path, caller and body.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{_0:016x}")]
pub struct Fingerprint(pub u64);

/// What requests that crash targets may have in common.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub enum Feature {
    /// A part of their prompts that other requests may share, by its id.
    #[display("{_0:x}")]
    Part(u64),
    /// All that they ask for: they are repeats of one request.
    #[display("request {_0}")]
    Request(Fingerprint),
}

impl Feature {
    fn is_request(&self) -> bool {
        matches!(self, Self::Request(_))
    }
}

/// A request whose target crashed. Ages are in milliseconds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CrashReport {
    /// The target.
    pub target: TargetName,
    /// The caller's id of the request.
    pub request: CompactString,
    /// What other requests may have in common with it.
    pub features: Vec<Feature>,
    /// Time since the request was dispatched.
    pub dispatched_ms: f64,
    /// Time since the target crashed.
    pub crashed_ms: f64,
}

/// What one node tells another about crashes. Ages are in milliseconds.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct CrashNews {
    /// Requests whose targets crashed.
    pub crashes: Vec<CrashReport>,
    /// Features, and the time since the dispatch of the last request with each that completed.
    pub sound: Vec<(Feature, f64)>,
    /// Blocked sets of features.
    pub blocked: Vec<BlockNews>,
    /// Features of which the sender wants to know whether requests have completed with them.
    pub asked: Vec<Question>,
}

/// Asks whether a request with a feature has completed that was dispatched after a crash.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Question {
    /// The feature.
    pub feature: Feature,
    /// Time since the crash, in milliseconds.
    pub crashed_ms: f64,
    /// Whether all nodes are asked: the receiver passes it on, and tells the coordinators.
    pub spread: bool,
}

/// Requests with all features of a set are blocked. Times are in milliseconds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BlockNews {
    /// The features.
    pub set: Vec<Feature>,
    /// Time since the first of the crashes that led to it.
    pub first_crash_ms: f64,
    /// Time since the block began.
    pub since_ms: f64,
    /// How long it lasts in all; zero if the set is only suspected, so that the next crash blocks it.
    pub lasts_ms: f64,
}

impl CrashNews {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
            && self.sound.is_empty()
            && self.blocked.is_empty()
            && self.asked.is_empty()
    }
}

#[derive(Clone, Debug)]
struct Crash {
    features: Vec<Feature>,
    dispatched: Timestamp,
    crashed: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct Block {
    first_crash: Timestamp,
    since: Timestamp,
    lasts_ms: f64,
}

impl Block {
    fn ends(&self) -> Timestamp {
        self.since + self.lasts_ms
    }

    fn is_suspicion(&self) -> bool {
        self.lasts_ms == 0.0
    }

    // How long it is kept after it began, in milliseconds.
    fn kept_ms(&self) -> f64 {
        match self.is_suspicion() {
            true => CRASH_LIFETIME_MS,
            false => self.lasts_ms + MAX_BLOCK_MS,
        }
    }
}

type CrashKey = (TargetName, CompactString);

/// When requests of this node completed that were the last ones with a feature.
#[derive(Debug, Default)]
struct Completed {
    recent: IndexMap<Feature, Timestamp>,
    older: IndexMap<Feature, Timestamp>,
}

impl Completed {
    fn record(&mut self, feature: Feature, dispatched: Timestamp) {
        if self.recent.len() >= MAX_COMPLETED && !self.recent.contains_key(&feature) {
            self.older = std::mem::take(&mut self.recent);
        }
        let last = self.recent.entry(feature).or_insert(dispatched);
        *last = Timestamp(last.0.max(dispatched.0));
    }

    fn last(&self, feature: &Feature) -> Option<Timestamp> {
        let times = [&self.recent, &self.older].into_iter();
        let times = times.filter_map(|map| map.get(feature));
        times.copied().max_by(|a, b| a.0.total_cmp(&b.0))
    }
}

/// What is to be done with a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    /// It may be sent.
    Free,
    /// It must not be sent.
    Blocked {
        /// Time until it may be tried, in milliseconds.
        left_ms: f64,
    },
    /// It may be sent, to find out whether requests with these features still crash targets.
    /// [`CrashLedger::end_trial`] ends the trial.
    Trial(Vec<Feature>),
}

/// Why requests with a feature are to be blocked.
struct Blame {
    set: Vec<Feature>,
    is_request: bool,
    first_crash: Timestamp,
    crashes: usize,
    // Whether a request was sent after the crash under another one.
    in_turn: bool,
}

/// Crashes, and the features that requests are blocked for.
#[derive(Debug, Default)]
pub struct CrashLedger {
    crashes: IndexMap<CrashKey, Crash>,
    // When the last request with a feature that completed was dispatched, for features that this cleared.
    sound: IndexMap<Feature, Timestamp>,
    // The same for all requests of this node. There are many more requests than parts.
    completed_parts: Completed,
    completed_requests: Completed,
    // By sorted set of features; those that have expired are kept for a while.
    blocked: IndexMap<Vec<Feature>, Block>,
    // The set of which this node has sent a request to try it.
    trial: Option<Vec<Feature>>,
}

/// The features of a request: all parts of its prompt but the last, which is its own, and itself.
pub fn features(parts: &[PromptPart], request: Fingerprint) -> Vec<Feature> {
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    let shared = shared.iter().take(MAX_PARTS).map(|p| Feature::Part(p.id));
    shared.chain([Feature::Request(request)]).collect()
}

impl CrashLedger {
    /// Records that the target of a request crashed; returns whether that is new.
    pub fn record_crash(&mut self, report: &CrashReport, now: Timestamp) -> bool {
        let crashed = now + -report.crashed_ms;
        let key = (report.target.clone(), report.request.clone());
        let is_old = report.crashed_ms > CRASH_LIFETIME_MS;
        let unusable = report.features.is_empty() || report.features.len() > MAX_FEATURES;
        let cleared = report.features.iter().all(|f| self.is_cleared(*f, crashed));
        if is_old || unusable || cleared || self.crashes.contains_key(&key) {
            return false;
        }
        let earliest = self.crashes.values().map(|c| c.crashed);
        let earliest = earliest.min_by(|a, b| a.0.total_cmp(&b.0));
        if self.crashes.len() >= MAX_CRASHES {
            if earliest.is_some_and(|t| crashed <= t) {
                return false;
            }
            self.crashes.retain(|_, c| Some(c.crashed) != earliest);
        }
        let crash = Crash {
            features: report.features.clone(),
            dispatched: now + -report.dispatched_ms,
            crashed,
        };
        self.crashes.insert(key, crash);
        true
    }

    /// Records that a request of this node completed; returns the features that this clears, and when
    /// the request was dispatched.
    pub fn record_complete(
        &mut self,
        features: &[Feature],
        dispatched: Timestamp,
    ) -> Vec<(Feature, Timestamp)> {
        for feature in features {
            let completed = match feature {
                Feature::Part(_) => &mut self.completed_parts,
                Feature::Request(_) => &mut self.completed_requests,
            };
            completed.record(*feature, dispatched);
        }
        self.clear(features.to_vec())
    }

    // Clears features of crashes since which requests of this node have completed with them.
    fn clear(&mut self, features: Vec<Feature>) -> Vec<(Feature, Timestamp)> {
        let completed = features
            .into_iter()
            .filter_map(|f| Some((f, self.completed(f)?)));
        let accused: Vec<_> = completed
            .filter(|(f, t)| self.speaks_against(*f, *t))
            .collect();
        let cleared = accused.into_iter();
        cleared.filter(|(f, t)| self.record_sound(*f, *t)).collect()
    }

    // Whether a request with the feature, dispatched at `t`, that completed says what is not known yet of a
    // crash or a block.
    fn speaks_against(&self, feature: Feature, t: Timestamp) -> bool {
        let known = self.sound.get(&feature);
        let is_open = |at: Timestamp| at < t && known.is_none_or(|s| at > *s);
        let mut crashes = self.crashes.values();
        let mut blocks = self.blocked.iter();
        crashes.any(|c| is_open(c.crashed) && c.features.contains(&feature))
            || blocks.any(|(set, b)| is_open(b.first_crash) && set.contains(&feature))
    }

    /// When the last request of this node with a feature that completed was dispatched.
    pub(crate) fn completed(&self, feature: Feature) -> Option<Timestamp> {
        match feature {
            Feature::Part(_) => self.completed_parts.last(&feature),
            Feature::Request(_) => self.completed_requests.last(&feature),
        }
    }

    // Whether a request with the feature, dispatched after `at`, has completed.
    fn is_cleared(&self, feature: Feature, at: Timestamp) -> bool {
        let elsewhere = self.sound.get(&feature).is_some_and(|t| *t > at);
        elsewhere || self.completed(feature).is_some_and(|t| t > at)
    }

    // The crashes under requests with a feature since the last one that completed.
    fn against(&self, feature: Feature) -> impl Iterator<Item = (&CrashKey, &Crash)> {
        let with_feature = self.crashes.iter();
        let with_feature = with_feature.filter(move |(_, c)| c.features.contains(&feature));
        with_feature.filter(move |(_, c)| !self.is_cleared(feature, c.crashed))
    }

    // Returns whether that is new.
    fn record_sound(&mut self, feature: Feature, dispatched: Timestamp) -> bool {
        let known = self.sound.get(&feature);
        if known.is_some_and(|t| *t >= dispatched) {
            return false;
        }
        let is_new = known.is_none_or(|t| dispatched - *t >= CLOCK_TOLERANCE_MS);
        let is_new = is_new || self.speaks_against(feature, dispatched);
        // Kept in any case: the crash that it speaks against may be reported later.
        self.insert_sound(feature, dispatched);
        is_new
    }

    fn insert_sound(&mut self, feature: Feature, dispatched: Timestamp) {
        self.sound.shift_remove(&feature);
        if self.sound.len() >= MAX_SOUND {
            self.sound.shift_remove_index(0);
        }
        self.sound.insert(feature, dispatched);
        let sound = &self.sound;
        let is_sound = |f: &Feature, at: Timestamp| sound.get(f).is_some_and(|t| *t > at);
        self.blocked
            .retain(|set, b| !set.iter().all(|f| is_sound(f, b.first_crash)));
        self.crashes
            .retain(|_, c| !c.features.iter().all(|f| is_sound(f, c.crashed)));
    }

    /// Drops what has expired.
    pub fn expire(&mut self, now: Timestamp) {
        self.crashes
            .retain(|_, c| now - c.crashed < CRASH_LIFETIME_MS);
        self.blocked.retain(|_, b| now - b.since < b.kept_ms());
        // Blocks that begin later need only later completions.
        self.sound.retain(|_, t| now - *t < CRASH_LIFETIME_MS);
    }

    /// Drops what has expired and blames features; returns the blocks that begin now.
    pub fn assess(&mut self, now: Timestamp) -> Vec<BlockNews> {
        self.expire(now);
        let again = self.blocked.iter().filter_map(|(set, b)| {
            let first_crash = self.first_crash_after(set, b, now)?;
            let lasts_ms = self.next_length(set, b);
            Some(block_news(set.clone(), now - first_crash, lasts_ms))
        });
        let again: Vec<_> = again.collect();
        let mut begun: Vec<_> = again.into_iter().filter(|n| self.block(n, now)).collect();
        let repeated = self.repeated_features();
        loop {
            // A crash that the requests with the most crashes explain says nothing about others.
            let found = repeated.iter().filter_map(|f| self.blame(*f, now));
            let mut found: Vec<_> = found.collect();
            let most = found.iter().map(|b| b.crashes).max();
            found.retain(|b| Some(b.crashes) == most);
            let is_unsure = found.iter().filter(|b| b.is_request).count() > 1;
            let news = found.into_iter().map(|b| {
                let lasts_ms = match b.is_request && (is_unsure || !b.in_turn) {
                    true => UNSURE_BLOCK_MS,
                    false => FIRST_BLOCK_MS,
                };
                block_news(b.set, now - b.first_crash, lasts_ms)
            });
            let news: Vec<_> = news.collect();
            let added: Vec<_> = news.into_iter().filter(|n| self.block(n, now)).collect();
            if added.is_empty() {
                break;
            }
            begun.extend(added);
        }
        let suspects = repeated.iter().filter_map(|f| self.suspect(*f, now));
        let suspects: Vec<_> = suspects.collect();
        begun.extend(suspects.into_iter().filter(|n| self.block(n, now)));
        begun
    }

    // The features of more than one crash.
    fn repeated_features(&self) -> Vec<Feature> {
        let mut counts: IndexMap<Feature, usize> = IndexMap::new();
        for feature in self.crashes.values().flat_map(|c| &c.features) {
            *counts.entry(*feature).or_default() += 1;
        }
        let repeated = counts.into_iter().filter(|(_, n)| *n > 1);
        repeated.map(|(feature, _)| feature).collect()
    }

    fn next_length(&self, set: &[Feature], block: &Block) -> f64 {
        let is_request = set.iter().any(Feature::is_request);
        match block.lasts_ms {
            0.0 => UNSURE_BLOCK_MS,
            UNSURE_BLOCK_MS => UNSURE_AGAIN_MS,
            ms if is_request => (REPEATS_FACTOR * ms).max(SECOND_BLOCK_MS),
            ms => 2.0 * ms,
        }
        .min(max_length(set))
    }

    // When a target crashed under a request with all features of a set after its block ended. Where it was not
    // tried by this node, others may have completed it since.
    fn first_crash_after(
        &self,
        set: &[Feature],
        block: &Block,
        now: Timestamp,
    ) -> Option<Timestamp> {
        let feature = set.first().filter(|_| now >= block.ends())?;
        let has_all = |c: &&Crash| set.iter().all(|f| c.features.contains(f));
        let settle_ms = match block.is_suspicion() {
            _ if self.trial.as_deref() == Some(set) => 0.0,
            _ if !set.iter().any(Feature::is_request) => 0.0,
            true => SETTLE_SUSPECT_MS,
            false => SETTLE_MS,
        };
        let crashes = self.against(*feature);
        let crashes = crashes.filter(|(key, c)| {
            now - c.crashed >= settle_ms && !self.is_explained(key, c, *feature)
        });
        let crashes = crashes.map(|(_, c)| c).filter(has_all);
        crashes.map(|c| c.crashed).find(|t| *t >= block.ends())
    }

    // Whether a blocked request without `feature` was at the target when it crashed.
    fn is_explained(&self, key: &CrashKey, crash: &Crash, feature: Feature) -> bool {
        let explains = |set: &Vec<Feature>, b: &Block| {
            let holds = !b.is_suspicion() && !set.contains(&feature) && crash.crashed <= b.ends();
            holds
                && self.crashes.iter().any(|((target, _), c)| {
                    let same =
                        *target == key.0 && (c.crashed - crash.crashed).abs() <= SAME_CRASH_MS;
                    same && set.iter().all(|f| c.features.contains(f))
                })
        };
        self.blocked.iter().any(|(set, b)| explains(set, b))
    }

    // What the requests with a feature have in common, if it is to blame for the crashes, and the first of
    // these.
    fn blame(&self, feature: Feature, now: Timestamp) -> Option<Blame> {
        let settled = |c: &Crash| now - c.crashed >= SETTLE_MS;
        // A crash that a block of the feature explains was expected.
        let is_expected = |c: &Crash| {
            let mut blocks = self.blocked.iter();
            blocks.any(|(set, b)| {
                let holds = set.contains(&feature) && !b.is_suspicion() && c.crashed <= b.ends();
                holds && set.iter().all(|f| c.features.contains(f))
            })
        };
        let against = self.against(feature);
        let against = against.filter(|(key, c)| settled(c) && !self.is_explained(key, c, feature));
        let mut against: Vec<_> = against.collect();
        against.sort_by(|(_, a), (_, b)| a.crashed.0.total_cmp(&b.crashed.0));
        let (unexpected, _) = count(against.iter().filter(|(_, c)| !is_expected(c)));
        let (crashes, rounds) = count(against.iter());
        let least = match feature {
            Feature::Part(_) => MIN_CRASHES,
            Feature::Request(_) => MIN_CRASHES_OF_REPEATS,
        };
        let enough = match unexpected == crashes {
            true => crashes >= least,
            false => unexpected >= MIN_UNEXPLAINED,
        };
        let (_, first) = against.first()?;
        let (_, last) = against.last()?;
        if !enough || (rounds < MIN_ROUNDS && now - last.crashed < SETTLE_ONE_ROUND_MS) {
            return None;
        }
        let is_common = |f: &Feature| against.iter().all(|(_, c)| c.features.contains(f));
        let common = first.features.iter().copied().filter(is_common);
        let cleared = |f: Feature| self.is_cleared(f, first.crashed);
        // Repeats of one request have all parts in common.
        let belongs = |f: &Feature| *f == feature || (!feature.is_request() && !cleared(*f));
        let mut set: Vec<_> = common.filter(belongs).collect();
        set.sort_unstable();
        set.dedup();
        Some(Blame {
            set,
            is_request: feature.is_request(),
            first_crash: first.crashed,
            crashes,
            in_turn: rounds >= MIN_ROUNDS,
        })
    }

    // Suspects a request under which targets crashed; the next crash has it tried without settling for long.
    fn suspect(&self, feature: Feature, now: Timestamp) -> Option<BlockNews> {
        let set = vec![feature];
        if !feature.is_request() || self.blocked.contains_key(&set) {
            return None;
        }
        let against = self.against(feature);
        let against = against
            .filter(|(key, c)| now - c.crashed >= SETTLE_MS && !self.is_explained(key, c, feature));
        let mut against: Vec<_> = against.collect();
        against.sort_by(|(_, a), (_, b)| a.crashed.0.total_cmp(&b.crashed.0));
        let (crashes, _) = count(against.iter());
        let (_, first) = against.first()?;
        let enough = crashes >= MIN_CRASHES_OF_SUSPECTS;
        enough.then(|| block_news(set, now - first.crashed, 0.0))
    }

    // The completions at this node that lift a block of another node, which may know of none.
    fn answer(&self, news: &BlockNews, now: Timestamp) -> Vec<(Feature, Timestamp)> {
        let first_crash = now + -news.first_crash_ms;
        let completed = |f: &Feature| {
            let last = self.completed(*f).filter(|t| *t > first_crash)?;
            Some((*f, last))
        };
        let all: Option<Vec<_>> = news.set.iter().map(completed).collect();
        let mut all = all.unwrap_or_default();
        let known = |f: &Feature| self.sound.get(f).is_some_and(|t| *t > first_crash);
        all.retain(|(f, _)| !known(f));
        all
    }

    fn block(&mut self, news: &BlockNews, now: Timestamp) -> bool {
        let block = Block {
            first_crash: now + -news.first_crash_ms,
            since: now + -news.since_ms,
            lasts_ms: news.lasts_ms.min(max_length(&news.set)),
        };
        let known = self.blocked.get(&news.set);
        // The block that ends last holds, at all nodes alike: otherwise they would replace each other's
        // for ever.
        let is_known = known.is_some_and(|b| match (b.is_suspicion(), block.is_suspicion()) {
            (true, false) => false,
            (_, true) => true,
            (false, false) => block.ends() - b.ends() < CLOCK_TOLERANCE_MS,
        });
        let cleared = |f: &Feature| self.is_cleared(*f, block.first_crash);
        let is_over = now - block.since >= block.kept_ms();
        let unusable = is_over || news.set.is_empty() || news.set.len() > MAX_FEATURES;
        let is_blocked = known.is_none() && self.is_set_blocked(&news.set, now);
        if unusable || is_known || is_blocked || news.set.iter().all(cleared) {
            return false;
        }
        if known.is_none() && self.blocked.len() >= MAX_BLOCKED {
            let suspicion = self.blocked.iter().position(|(_, b)| b.is_suspicion());
            match suspicion {
                Some(index) if !block.is_suspicion() => self.blocked.shift_remove_index(index),
                _ => return false,
            };
        }
        self.blocked.insert(news.set.clone(), block);
        true
    }

    fn is_set_blocked(&self, features: &[Feature], now: Timestamp) -> bool {
        let mut active = self.blocked.iter().filter(|(_, b)| now < b.ends());
        active.any(|(set, _)| set.iter().all(|f| features.contains(f)))
    }

    /// Whether requests with these features are blocked.
    pub fn is_blocked(&self, features: &[Feature], now: Timestamp) -> bool {
        !self.blocked.is_empty() && self.is_set_blocked(features, now)
    }

    /// Whether a request with these features may be sent. After a block, only the node that `is_owner` names
    /// sends requests, one of all blocked ones at a time: a block that ends at all nodes lets no crowd through,
    /// and a crash tells which request is to blame.
    pub fn admit(
        &mut self,
        features: &[Feature],
        is_owner: impl FnOnce() -> bool,
        now: Timestamp,
    ) -> Admission {
        let blocks = self.blocked.iter().filter(|(_, b)| !b.is_suspicion());
        let matching = blocks.filter(|(set, _)| set.iter().all(|f| features.contains(f)));
        let last = matching.max_by(|(_, a), (_, b)| a.ends().0.total_cmp(&b.ends().0));
        match last {
            None => Admission::Free,
            Some((_, b)) if now < b.ends() => Admission::Blocked {
                left_ms: b.ends() - now,
            },
            Some((set, _)) if self.trial.is_none() && is_owner() => {
                self.trial = Some(set.clone());
                Admission::Trial(set.clone())
            }
            Some(_) => Admission::Blocked { left_ms: 0.0 },
        }
    }

    /// Ends the trial of a set.
    pub fn end_trial(&mut self, set: &[Feature]) {
        if self.trial.as_ref().is_some_and(|t| t == set) {
            self.trial = None;
        }
    }

    /// All that this node knows, the newest crashes first where there are too many.
    pub fn news(&self, now: Timestamp) -> CrashNews {
        let mut crashes: Vec<_> = self.crashes.iter().collect();
        crashes.sort_by(|(_, a), (_, b)| b.crashed.0.total_cmp(&a.crashed.0));
        crashes.truncate(MAX_CRASHES_SENT);
        let crashes = crashes
            .into_iter()
            .map(|((target, request), c)| CrashReport {
                target: target.clone(),
                request: request.clone(),
                features: c.features.clone(),
                dispatched_ms: now - c.dispatched,
                crashed_ms: now - c.crashed,
            });
        let blocked = self.blocked.iter().map(|(set, b)| BlockNews {
            set: set.clone(),
            first_crash_ms: now - b.first_crash,
            since_ms: now - b.since,
            lasts_ms: b.lasts_ms,
        });
        CrashNews {
            crashes: crashes.collect(),
            sound: self
                .sound
                .iter()
                .rev()
                .take(MAX_SOUND_SENT)
                .map(|(f, t)| (*f, now - *t))
                .collect(),
            blocked: blocked.collect(),
            asked: Vec::new(),
        }
    }

    /// Whether any crash is known.
    pub(crate) fn has_crashes(&self) -> bool {
        !self.crashes.is_empty()
    }

    /// The blocks, without suspicions.
    pub fn blocks(&self, now: Timestamp) -> Vec<BlockNews> {
        let blocks = self.blocked.iter().filter(|(_, b)| !b.is_suspicion());
        let blocks = blocks.map(|(set, b)| BlockNews {
            set: set.clone(),
            first_crash_ms: now - b.first_crash,
            since_ms: now - b.since,
            lasts_ms: b.lasts_ms,
        });
        blocks.collect()
    }

    /// The features of all blocks.
    pub(crate) fn blocked_features(&self) -> IndexSet<Feature> {
        let blocks = self.blocked.iter().filter(|(_, b)| !b.is_suspicion());
        blocks.flat_map(|(set, _)| set.iter().copied()).collect()
    }

    /// The completions that lift a block of another node; none unless they do.
    pub(crate) fn clearance(&self, news: &BlockNews, now: Timestamp) -> Vec<(Feature, f64)> {
        let first_crash = now + -news.first_crash_ms;
        let last = |f: &Feature| {
            let known = [self.sound.get(f).copied(), self.completed(*f)];
            let last = known.into_iter().flatten().filter(|t| *t > first_crash);
            last.max_by(|a, b| a.0.total_cmp(&b.0))
                .map(|t| (*f, now - t))
        };
        let all: Option<Vec<_>> = news.set.iter().map(last).collect();
        all.unwrap_or_default()
    }

    /// The features that would be blamed after one crash more, most crashes first, and when targets last
    /// crashed under requests with them.
    pub(crate) fn open_features(&self) -> Vec<(Feature, Timestamp)> {
        let mut open = Vec::new();
        for feature in self.repeated_features() {
            let mut against: Vec<_> = self.against(feature).collect();
            against.sort_by(|(_, a), (_, b)| a.crashed.0.total_cmp(&b.crashed.0));
            let (crashes, _) = count(against.iter());
            let least = match feature {
                Feature::Part(_) => MIN_CRASHES,
                Feature::Request(_) => MIN_CRASHES_OF_REPEATS,
            };
            if let Some((_, last)) = against.last().filter(|_| crashes + 1 >= least) {
                open.push((crashes, feature, last.crashed));
            }
        }
        open.sort_by_key(|(crashes, ..)| Reverse(*crashes));
        open.into_iter().map(|(_, f, at)| (f, at)).collect()
    }

    /// Merges what another node knows; returns what was new.
    pub fn merge(&mut self, news: CrashNews, now: Timestamp) -> CrashNews {
        let mut fresh = CrashNews::default();
        // First, so that a crash does not count against features that have been cleared since.
        for (feature, age_ms) in news.sound {
            if age_ms < CRASH_LIFETIME_MS && self.record_sound(feature, now + -age_ms) {
                fresh.sound.push((feature, age_ms));
            }
        }
        let crashed = news.crashes.iter().flat_map(|c| c.features.clone());
        let blocked = news.blocked.iter().flat_map(|b| b.set.clone());
        let features: IndexSet<Feature> = crashed.chain(blocked).collect();
        for report in news.crashes {
            if self.record_crash(&report, now) {
                fresh.crashes.push(report);
            }
        }
        for block in news.blocked {
            for (feature, t) in self.answer(&block, now) {
                self.insert_sound(feature, t);
                fresh.sound.push((feature, now - t));
            }
            if self.block(&block, now) {
                fresh.blocked.push(block);
            }
        }
        let cleared = self.clear(features.into_iter().collect()).into_iter();
        fresh
            .sound
            .extend(cleared.map(|(feature, t)| (feature, now - t)));
        fresh
    }

    /// A hash of the blocked sets, without suspicions; zero if there are none.
    pub fn digest(&self) -> u64 {
        let blocks = self.blocked.iter().filter(|(_, b)| !b.is_suspicion());
        let hashes = blocks.map(|(set, b)| hash((set, b.lasts_ms.to_bits())));
        hashes.fold(0, |sum, h| sum ^ h)
    }
}

fn block_news(set: Vec<Feature>, first_crash_ms: f64, lasts_ms: f64) -> BlockNews {
    BlockNews {
        set,
        first_crash_ms,
        since_ms: 0.0,
        lasts_ms,
    }
}

fn max_length(set: &[Feature]) -> f64 {
    match set.iter().any(Feature::is_request) {
        true => MAX_REPEATS_BLOCK_MS,
        false => MAX_BLOCK_MS,
    }
}

// The number of crashes, given in order, and of rounds in which each request was dispatched after
// the crash of the round before.
fn count<'a>(crashes: impl Iterator<Item = &'a (&'a CrashKey, &'a Crash)>) -> (usize, usize) {
    let mut last_of_target: IndexMap<&TargetName, Timestamp> = IndexMap::new();
    let mut last_of_round = Timestamp(f64::NEG_INFINITY);
    let (mut count, mut rounds) = (0, 0);
    for ((target, _), c) in crashes {
        let last = last_of_target.insert(target, c.crashed);
        if last.is_none_or(|t| c.crashed - t > SAME_CRASH_MS) {
            count += 1;
        }
        if c.dispatched > last_of_round {
            rounds += 1;
            last_of_round = c.crashed;
        }
    }
    (count, rounds)
}

fn hash<T: Hash>(value: T) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

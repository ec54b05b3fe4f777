//! Relates crashes of targets to the prompts that they were working on.
//!
//! A part of a prompt is blamed if targets crash again and again under requests that
//! hold it, and no request with it completes. Requests that were merely cut off by
//! the crash of another one share parts with requests that complete, which clears
//! these parts at all nodes. What the blamed requests have in common is blocked, so
//! that sound requests with only some of these parts are not.

use compact_str::CompactString;
use derive_more::Display;
use indexmap::{IndexMap, IndexSet};
use rwd_types::TargetName;
use serde::{Deserialize, Serialize};
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use crate::{PromptPart, Timestamp};

/// Crashes under requests with a part before it is blamed.
const MIN_CRASHES: usize = 4;
/// Number of these that must have followed each other: a request was sent after the crash under
/// the one before. Many connections may break at once for another reason.
const MIN_ROUNDS: usize = 2;
/// Age from which a crash counts, in milliseconds: until then, requests with the same parts may
/// complete elsewhere.
const SETTLE_MS: f64 = 1000.0;
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
/// Longest time for which requests are blocked, and for which an expired block is remembered, in
/// milliseconds.
const MAX_BLOCK_MS: f64 = 3_600_000.0;
/// Difference below which two times of the same event are equal, in milliseconds: each node that
/// passes on an age adds the time of the transfer.
const CLOCK_TOLERANCE_MS: f64 = 500.0;
/// Maximum crashes that are kept.
const MAX_CRASHES: usize = 256;
/// Maximum crashes in one message.
const MAX_CRASHES_SENT: usize = 64;
/// Crashes under requests with a blocked part, but not all parts of the block, that show that the
/// other parts do not matter.
const MIN_UNEXPLAINED: usize = 2;
/// Maximum parts that are kept as cleared.
const MAX_SOUND: usize = 1024;
/// Parts whose last completion at this node is kept: this many, or twice as many.
const MAX_COMPLETED: usize = 1024;
/// Maximum sets of parts that are blocked.
const MAX_BLOCKED: usize = 64;
/// Maximum parts of a request that are considered.
const MAX_PARTS: usize = 16;

/// Identifies requests that ask for the same, by method, path, caller and body.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{_0:016x}")]
pub struct Fingerprint(pub u64);

/// A request whose target crashed. Ages are in milliseconds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CrashReport {
    /// The target.
    pub target: TargetName,
    /// The caller's id of the request.
    pub request: CompactString,
    /// The ids of the parts of its prompt that other requests may share.
    pub parts: Vec<u64>,
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
    /// Parts, and the time since the dispatch of the last request with each that completed.
    pub sound: Vec<(u64, f64)>,
    /// Blocked sets of parts.
    pub blocked: Vec<BlockNews>,
}

/// Requests with all parts of a set are blocked. Times are in milliseconds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BlockNews {
    /// The parts.
    pub set: Vec<u64>,
    /// Time since the first of the crashes that led to it.
    pub first_crash_ms: f64,
    /// Time since the block began.
    pub since_ms: f64,
    /// How long it lasts in all.
    pub lasts_ms: f64,
}

impl CrashNews {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.sound.is_empty() && self.blocked.is_empty()
    }
}

#[derive(Clone, Debug)]
struct Crash {
    parts: Vec<u64>,
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
}

type CrashKey = (TargetName, CompactString);

/// Crashes, and the parts that requests are blocked for.
#[derive(Debug, Default)]
pub struct CrashLedger {
    crashes: IndexMap<CrashKey, Crash>,
    // When the last request with a part that completed was dispatched, for parts that this cleared.
    sound: IndexMap<u64, Timestamp>,
    // The same for all requests of this node; the second map has older ones.
    completed: [IndexMap<u64, Timestamp>; 2],
    // By sorted set of parts; those that have expired are kept for a while.
    blocked: IndexMap<Vec<u64>, Block>,
}

/// The ids of the parts that other requests may share: all but the last.
pub fn shared_parts(parts: &[PromptPart]) -> Vec<u64> {
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    shared.iter().take(MAX_PARTS).map(|p| p.id).collect()
}

impl CrashLedger {
    /// Records that the target of a request crashed; returns whether that is new.
    pub fn record_crash(&mut self, report: &CrashReport, now: Timestamp) -> bool {
        let crashed = now + -report.crashed_ms;
        let key = (report.target.clone(), report.request.clone());
        let is_old = report.crashed_ms > CRASH_LIFETIME_MS;
        let unusable = report.parts.is_empty() || report.parts.len() > MAX_PARTS;
        let cleared = report.parts.iter().all(|p| self.is_cleared(*p, crashed));
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
            parts: report.parts.clone(),
            dispatched: now + -report.dispatched_ms,
            crashed,
        };
        self.crashes.insert(key, crash);
        true
    }

    /// Records that a request of this node completed; returns the parts that this clears, and when
    /// the request was dispatched.
    pub fn record_complete(
        &mut self,
        parts: &[PromptPart],
        dispatched: Timestamp,
    ) -> Vec<(u64, Timestamp)> {
        let shared = shared_parts(parts);
        let [recent, older] = &mut self.completed;
        if recent.len() + shared.len() > MAX_COMPLETED {
            *older = std::mem::take(recent);
        }
        for part in &shared {
            let last = recent.entry(*part).or_insert(dispatched);
            *last = Timestamp(last.0.max(dispatched.0));
        }
        self.clear(shared)
    }

    // Clears parts of crashes since which requests of this node have completed with them.
    fn clear(&mut self, parts: Vec<u64>) -> Vec<(u64, Timestamp)> {
        let completed = parts
            .into_iter()
            .filter_map(|p| Some((p, self.completed(p)?)));
        let speaks_against = |p: u64, t: Timestamp| {
            let is_open = |at: Timestamp| at < t && self.sound.get(&p).is_none_or(|s| at > *s);
            let mut crashes = self.crashes.values();
            let mut blocks = self.blocked.iter();
            crashes.any(|c| is_open(c.crashed) && c.parts.contains(&p))
                || blocks.any(|(set, b)| is_open(b.first_crash) && set.contains(&p))
        };
        let accused: Vec<_> = completed.filter(|(p, t)| speaks_against(*p, *t)).collect();
        let cleared = accused.into_iter();
        cleared.filter(|(p, t)| self.record_sound(*p, *t)).collect()
    }

    fn completed(&self, part: u64) -> Option<Timestamp> {
        let times = self.completed.iter().filter_map(|map| map.get(&part));
        times.copied().max_by(|a, b| a.0.total_cmp(&b.0))
    }

    // Whether a request with the part, dispatched after `at`, has completed.
    fn is_cleared(&self, part: u64, at: Timestamp) -> bool {
        let elsewhere = self.sound.get(&part).is_some_and(|t| *t > at);
        elsewhere || self.completed(part).is_some_and(|t| t > at)
    }

    // The crashes under requests with a part since the last one that completed.
    fn against(&self, part: u64) -> impl Iterator<Item = (&CrashKey, &Crash)> {
        let with_part = self.crashes.iter();
        let with_part = with_part.filter(move |(_, c)| c.parts.contains(&part));
        with_part.filter(move |(_, c)| !self.is_cleared(part, c.crashed))
    }

    // Returns whether that is new.
    fn record_sound(&mut self, part: u64, dispatched: Timestamp) -> bool {
        let known = self.sound.get(&part);
        if known.is_some_and(|t| dispatched - *t < CLOCK_TOLERANCE_MS) {
            return false;
        }
        self.sound.shift_remove(&part);
        if self.sound.len() >= MAX_SOUND {
            self.sound.shift_remove_index(0);
        }
        self.sound.insert(part, dispatched);
        let sound = &self.sound;
        let is_sound = |p: &u64, at: Timestamp| sound.get(p).is_some_and(|t| *t > at);
        self.blocked
            .retain(|set, b| !set.iter().all(|p| is_sound(p, b.first_crash)));
        self.crashes
            .retain(|_, c| !c.parts.iter().all(|p| is_sound(p, c.crashed)));
        true
    }

    /// Drops what has expired and blames parts; returns the blocks that begin now.
    pub fn assess(&mut self, now: Timestamp) -> Vec<BlockNews> {
        self.crashes
            .retain(|_, c| now - c.crashed < CRASH_LIFETIME_MS);
        self.blocked
            .retain(|_, b| now - b.since < b.lasts_ms + MAX_BLOCK_MS);
        // Blocks that begin later need only later completions.
        self.sound.retain(|_, t| now - *t < CRASH_LIFETIME_MS);
        let parts: IndexSet<u64> = self
            .crashes
            .values()
            .flat_map(|c| c.parts.clone())
            .collect();
        let first = parts.into_iter().filter_map(|p| self.blame(p, now));
        let again = self.blocked.iter().filter_map(|(set, b)| {
            let first_crash = self.first_crash_after(set, b, now)?;
            let lasts_ms = (2.0 * b.lasts_ms).min(MAX_BLOCK_MS);
            Some((set.clone(), first_crash, lasts_ms))
        });
        let found: Vec<_> = again.chain(first).collect();
        let found = found
            .into_iter()
            .map(|(set, first_crash, lasts_ms)| BlockNews {
                set,
                first_crash_ms: now - first_crash,
                since_ms: 0.0,
                lasts_ms,
            });
        found.filter(|news| self.block(news, now)).collect()
    }

    // When a target crashed under a request with all parts of a set after its block ended.
    fn first_crash_after(&self, set: &[u64], block: &Block, now: Timestamp) -> Option<Timestamp> {
        let part = set.first().filter(|_| now >= block.ends())?;
        let has_all = |c: &&Crash| set.iter().all(|p| c.parts.contains(p));
        let crashes = self.against(*part).map(|(_, c)| c).filter(has_all);
        crashes.map(|c| c.crashed).find(|t| *t > block.ends())
    }

    // What the requests with a part have in common, if the part is to blame for the crashes, and
    // the first of these.
    fn blame(&self, part: u64, now: Timestamp) -> Option<(Vec<u64>, Timestamp, f64)> {
        let settled = |c: &Crash| now - c.crashed >= SETTLE_MS;
        // A crash that a block of other parts explains says nothing about this part.
        let explained = |c: &Crash, with_part: bool| {
            let mut blocks = self.blocked.iter();
            blocks.any(|(set, b)| {
                let holds = set.contains(&part) == with_part && c.crashed <= b.ends();
                holds && set.iter().all(|p| c.parts.contains(p))
            })
        };
        let against = self.against(part);
        let against = against.filter(|(_, c)| settled(c) && !explained(c, false));
        let mut against: Vec<_> = against.collect();
        against.sort_by(|(_, a), (_, b)| a.crashed.0.total_cmp(&b.crashed.0));
        let (unexplained, _) = count(against.iter().filter(|(_, c)| !explained(c, true)));
        let (crashes, rounds) = count(against.iter());
        let enough = match unexplained == crashes {
            true => crashes >= MIN_CRASHES,
            false => unexplained >= MIN_UNEXPLAINED,
        };
        let (_, first) = against.first()?;
        let (_, last) = against.last()?;
        if !enough || (rounds < MIN_ROUNDS && now - last.crashed < SETTLE_ONE_ROUND_MS) {
            return None;
        }
        let is_common = |p: &u64| against.iter().all(|(_, c)| c.parts.contains(p));
        let common = first.parts.iter().copied().filter(is_common);
        let cleared = |p: u64| self.is_cleared(p, first.crashed);
        let mut set: Vec<_> = common.filter(|p| *p == part || !cleared(*p)).collect();
        set.sort_unstable();
        set.dedup();
        Some((set, first.crashed, FIRST_BLOCK_MS))
    }

    fn block(&mut self, news: &BlockNews, now: Timestamp) -> bool {
        let block = Block {
            first_crash: now + -news.first_crash_ms,
            since: now + -news.since_ms,
            lasts_ms: news.lasts_ms.min(MAX_BLOCK_MS),
        };
        let known = self.blocked.get(&news.set);
        let is_known = known.is_some_and(|b| block.since - b.since < CLOCK_TOLERANCE_MS);
        let cleared = |p: &u64| self.is_cleared(*p, block.first_crash);
        let is_full = known.is_none() && self.blocked.len() >= MAX_BLOCKED;
        let unusable = news.set.is_empty() || news.set.len() > MAX_PARTS || is_full;
        let is_blocked = self.is_set_blocked(&news.set, now);
        if unusable || is_known || is_blocked || news.set.iter().all(cleared) {
            return false;
        }
        self.blocked.insert(news.set.clone(), block);
        true
    }

    fn is_set_blocked(&self, parts: &[u64], now: Timestamp) -> bool {
        let mut active = self.blocked.iter().filter(|(_, b)| now < b.ends());
        active.any(|(set, _)| set.iter().all(|p| parts.contains(p)))
    }

    /// Whether requests with these parts are blocked.
    pub fn is_blocked(&self, parts: &[PromptPart], now: Timestamp) -> bool {
        !self.blocked.is_empty() && self.is_set_blocked(&shared_parts(parts), now)
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
                parts: c.parts.clone(),
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
            sound: self.sound.iter().map(|(p, t)| (*p, now - *t)).collect(),
            blocked: blocked.collect(),
        }
    }

    /// Merges what another node knows; returns what was new.
    pub fn merge(&mut self, news: CrashNews, now: Timestamp) -> CrashNews {
        let mut fresh = CrashNews::default();
        // First, so that a crash does not count against parts that have been cleared since.
        for (part, age_ms) in news.sound {
            if age_ms < CRASH_LIFETIME_MS && self.record_sound(part, now + -age_ms) {
                fresh.sound.push((part, age_ms));
            }
        }
        let crashed = news.crashes.iter().flat_map(|c| c.parts.clone());
        let blocked = news.blocked.iter().flat_map(|b| b.set.clone());
        let parts: IndexSet<u64> = crashed.chain(blocked).collect();
        for report in news.crashes {
            if self.record_crash(&report, now) {
                fresh.crashes.push(report);
            }
        }
        for block in news.blocked {
            if self.block(&block, now) {
                fresh.blocked.push(block);
            }
        }
        let cleared = self.clear(parts.into_iter().collect()).into_iter();
        fresh.sound.extend(cleared.map(|(part, t)| (part, now - t)));
        fresh
    }

    /// A hash of the crashes, the blocked sets and the cleared parts; zero if there are none.
    pub fn digest(&self) -> u64 {
        let crashes = self.crashes.keys().map(hash);
        let blocked = self.blocked.keys().map(hash);
        let sound = self.sound.keys().map(hash);
        let all = crashes.chain(blocked).chain(sound);
        all.fold(0, |sum, h| sum ^ h)
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

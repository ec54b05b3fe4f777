//! Knows which software version began each stream, so that it goes on at that version.
//!
//! While one version of a pool's targets could have begun streams, that is the answer for all of them:
//! [`ServedVersions`] knows which could, those that have left included. Otherwise it takes a record of each
//! stream: every node keeps those of its own, and [`StreamLedger`] those that other nodes tell it.
//! A stream of which nothing is known is not resumed.
//!
//! A node that was cut off, or stood still, may not know yet that another version has joined. So it asks the
//! owners of the stream also while it knows of one version only ([`resolve`]).

use indexmap::IndexMap;
use rwd_types::PoolName;
use serde::{Deserialize, Serialize};

use crate::{Timestamp, Version};

/// How long a stream may be taken up after its last event, in milliseconds: twice the longest time limits of
/// the users' streams, and some. Versions that have left count as long.
pub const STREAM_LIFETIME_MS: f64 = 60_000.0;
/// Streams that are kept: this many, or twice as many. The least recent ones are forgotten first.
const MAX_STREAMS: usize = 32_768;
/// Maximum versions that are kept of a pool.
const MAX_VERSIONS: usize = 64;

/// Identifies a stream by a hash of its pool, its workspace and the id of the attempt that began it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct StreamKey(pub u64);

/// Which version began a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Origin {
    /// This version.
    Version(Version),
    /// Its target was replaced by another version at about that time, or reports contradict each other.
    Ambiguous,
}

/// Which versions may have begun streams of a pool, as far as a node knows.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Versions {
    /// The node does not know all of them.
    Unknown,
    /// Only this one.
    Sole(Version),
    /// Several.
    Several,
}

/// What an owner of a stream replies to a node that asks for it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnerReply {
    /// Which version began the stream, if the owner knows it.
    pub origin: Option<Origin>,
    /// Which versions may have begun streams of its pool.
    pub versions: Versions,
}

/// Which version began a stream of which this node itself knows nothing. `sole` is the only version that may
/// have, as far as it knows, and `replies` are those of the stream's owners. `is_fresh` says whether its list of
/// targets was read after the stream was taken up.
///
/// Without the word of an owner, `sole` holds only by a fresh list, which has all versions that may have begun
/// the stream.
pub fn resolve(sole: Option<&Version>, is_fresh: bool, replies: &[OwnerReply]) -> Option<Origin> {
    if let Some(origin) = replies.iter().find_map(|r| r.origin.clone()) {
        return Some(origin);
    }
    let sole = sole?;
    let mut known = replies.iter().filter(|r| r.versions != Versions::Unknown);
    let agrees = |r: &&OwnerReply| r.versions == Versions::Sole(sole.clone());
    let is_confirmed = match known.next() {
        None => is_fresh,
        Some(first) => agrees(&first) && known.all(|r| agrees(&r)),
    };
    is_confirmed.then(|| Origin::Version(sole.clone()))
}

/// Which version began each of a number of streams, while these may be taken up.
#[derive(Debug, Default)]
pub struct StreamLedger {
    recent: IndexMap<StreamKey, Origin>,
    older: IndexMap<StreamKey, Origin>,
    // When `recent` was begun.
    since: Option<Timestamp>,
}

impl StreamLedger {
    /// Records which version began a stream; returns whether that is new.
    pub fn record(&mut self, key: StreamKey, origin: Origin, now: Timestamp) -> bool {
        self.expire(now);
        let known = self.get(key).cloned();
        let origin = match known.clone() {
            Some(known) if known != origin => Origin::Ambiguous,
            _ => origin,
        };
        if self.recent.len() >= MAX_STREAMS && !self.recent.contains_key(&key) {
            self.older = std::mem::take(&mut self.recent);
            self.since = Some(now);
        }
        self.recent.insert(key, origin.clone());
        known != Some(origin)
    }

    /// Which version began a stream, if that is known.
    pub fn origin(&mut self, key: StreamKey, now: Timestamp) -> Option<Origin> {
        self.expire(now);
        self.get(key).cloned()
    }

    /// All streams, with the least recent ones first.
    pub fn all(&self) -> impl Iterator<Item = (StreamKey, &Origin)> {
        let older = self.older.iter();
        let older = older.filter(|(key, _)| !self.recent.contains_key(*key));
        older
            .chain(&self.recent)
            .map(|(key, origin)| (*key, origin))
    }

    fn get(&self, key: StreamKey) -> Option<&Origin> {
        self.recent.get(&key).or_else(|| self.older.get(&key))
    }

    // Each stream is kept for one to two lifetimes.
    fn expire(&mut self, now: Timestamp) {
        let age_ms = now - *self.since.get_or_insert(now);
        if age_ms >= STREAM_LIFETIME_MS {
            self.older = match age_ms < 2.0 * STREAM_LIFETIME_MS {
                true => std::mem::take(&mut self.recent),
                false => IndexMap::new(),
            };
            self.recent.clear();
            self.since = Some(now);
        }
    }
}

/// A version that has served a pool, as nodes tell each other. The age is in milliseconds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServedVersion {
    /// The pool.
    pub pool: PoolName,
    /// The version.
    pub version: Version,
    /// Time since a target of this version was last listed.
    pub age_ms: f64,
}

/// The versions that have served each pool lately.
#[derive(Debug, Default)]
pub struct ServedVersions {
    // When a target of each version was last listed.
    last: IndexMap<PoolName, IndexMap<Version, Timestamp>>,
}

impl ServedVersions {
    /// Records that a target of a version was listed at `at`; returns whether the version is new.
    pub fn record(&mut self, pool: &PoolName, version: &Version, at: Timestamp) -> bool {
        let versions = self.last.entry(pool.clone()).or_default();
        let known = versions.get(version).copied();
        if known.is_none() && versions.len() >= MAX_VERSIONS {
            let oldest = versions.iter().min_by(|(_, a), (_, b)| a.0.total_cmp(&b.0));
            if let Some(oldest) = oldest.map(|(v, _)| v.clone()) {
                versions.shift_remove(&oldest);
            }
        }
        let last = known.map_or(at, |t| Timestamp(t.0.max(at.0)));
        versions.insert(version.clone(), last);
        known.is_none()
    }

    /// The only version that may have begun streams of a pool which can be taken up, if there is only one.
    pub fn sole(&self, pool: &PoolName, now: Timestamp) -> Option<&Version> {
        let mut versions = self.lately(pool, now);
        let first = versions.next();
        first.filter(|_| versions.next().is_none())
    }

    /// All versions that have served lately.
    pub fn news(&self, now: Timestamp) -> Vec<ServedVersion> {
        let all = self.last.iter().flat_map(|(pool, versions)| {
            versions
                .iter()
                .map(move |(version, last)| (pool, version, last))
        });
        let lately = all.filter(|(_, _, last)| now - **last < STREAM_LIFETIME_MS);
        let news = lately.map(|(pool, version, last)| ServedVersion {
            pool: pool.clone(),
            version: version.clone(),
            age_ms: (now - *last).max(0.0),
        });
        news.collect()
    }

    /// Records what another node or the store knows; returns whether any version is new.
    pub fn merge(&mut self, news: &[ServedVersion], now: Timestamp) -> bool {
        let lately = news.iter().filter(|v| v.age_ms < STREAM_LIFETIME_MS);
        let new = lately.map(|v| self.record(&v.pool, &v.version, now + -v.age_ms.max(0.0)));
        new.fold(false, |any, new| any | new)
    }

    fn lately(&self, pool: &PoolName, now: Timestamp) -> impl Iterator<Item = &Version> {
        let versions = self.last.get(pool).into_iter().flatten();
        let lately = versions.filter(move |(_, last)| now - **last < STREAM_LIFETIME_MS);
        lately.map(|(version, _)| version)
    }
}

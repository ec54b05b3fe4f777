//! Limits that targets put on the requests per second from all nodes together.
//!
//! A target in need names its limit in its responses. The scheduler that grants its
//! slots keeps to the limit, as it counts the requests of all nodes. Each node
//! remembers the limits that were named to it, and passes them on to schedulers that
//! may not know them: a successor, or one that was suspended meanwhile.

use indexmap::{IndexMap, IndexSet};
use rwd_types::{Incarnation, InstanceName, PoolName, RequestRate, TargetName};
use serde::{Deserialize, Serialize};

use crate::Timestamp;

/// Requests that a target gets at once at most, as the time in which its limit allows them, in
/// milliseconds. One more may always be sent.
const BURST_MS: f64 = 250.0;
/// Lowest rate at which a target is sent requests, per second. Only a response tells that a limit
/// has ended, so a target that takes nothing is still probed.
const MIN_RATE_PER_S: f64 = 0.1;
/// How long other schedulers are told that a limit has ended, in milliseconds. Those that are not
/// told learn it from the first response.
const ENDED_RETENTION_MS: f64 = 30_000.0;
/// How long a limit is remembered without a response of its target, in milliseconds.
const RETENTION_MS: f64 = 600_000.0;

/// What a response says about its target's limit.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub enum LimitReport {
    /// There was no response, or none of the target's own.
    #[default]
    Unknown,
    /// The target names no limit.
    Unlimited,
    /// The target names a limit for all nodes together.
    Limited {
        /// The limit.
        limit: RequestRate,
        /// Milliseconds from the dispatch of the request to the response. A scheduler that was
        /// suspended gets reports late.
        after_ms: f64,
    },
}

/// What a node knows about a target's limit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitNotice {
    /// The target.
    pub target: TargetName,
    /// The shard that it belongs to.
    pub shard: PoolName,
    /// Its limit; `None` if it has ended.
    pub limit: Option<RequestRate>,
    /// Milliseconds since the request was sent whose response says so.
    pub sent_ms_ago: f64,
    /// Milliseconds since that response arrived.
    pub seen_ms_ago: f64,
}

/// What one response says about its target's limit.
#[derive(Clone, Copy, Debug)]
struct Observation {
    limit: Option<RequestRate>,
    // When the request was sent, and when the response arrived.
    sent: Timestamp,
    seen: Timestamp,
}

impl Observation {
    fn new(report: LimitReport, sent: Timestamp, now: Timestamp) -> Option<Self> {
        let (limit, seen) = match report {
            LimitReport::Unknown => return None,
            LimitReport::Unlimited => (None, now),
            LimitReport::Limited { limit, after_ms } if sent + after_ms < now => {
                (Some(limit), sent + after_ms)
            }
            LimitReport::Limited { limit, .. } => (Some(limit), now),
        };
        Some(Self { limit, sent, seen })
    }

    fn from_notice(notice: &LimitNotice, now: Timestamp) -> Self {
        Self {
            limit: notice.limit,
            sent: now + -notice.sent_ms_ago,
            seen: now + -notice.seen_ms_ago,
        }
    }

    // The order of two responses is certain only if the request of one was sent after the other had
    // arrived: responses are delayed, and suspended nodes read them late. Where it is not, the
    // lower limit holds.
    fn supersedes(&self, known: &Self) -> bool {
        let is_lower = match (self.limit, known.limit) {
            (Some(limit), Some(known)) => limit < known,
            (limit, known) => limit.is_some() && known.is_none(),
        };
        // A limit may have begun at any time since the request was sent whose response named none.
        let known_since = match known.limit {
            Some(_) => known.seen,
            None => known.sent,
        };
        self.sent >= known.seen || (is_lower && self.seen > known_since)
    }

    // Merges a later observation into what is known; returns whether the limit changed.
    fn merge(&mut self, new: Self) -> bool {
        let before = self.limit;
        if new.supersedes(self) || (new.limit == before && new.seen > self.seen) {
            *self = new;
        }
        self.limit != before
    }
}

impl Default for Observation {
    fn default() -> Self {
        let never = Timestamp(f64::NEG_INFINITY);
        Self {
            limit: None,
            sent: never,
            seen: never,
        }
    }
}

/// A token bucket with the limit of one target.
#[derive(Clone, Debug)]
pub(crate) struct RequestLimit {
    known: Observation,
    /// Fraction of the limit that this scheduler may use.
    share: f64,
    tokens: f64,
    filled_at: Timestamp,
}

impl Default for RequestLimit {
    /// No limit.
    fn default() -> Self {
        Self {
            known: Observation::default(),
            share: 1.0,
            tokens: 0.0,
            filled_at: Timestamp::default(),
        }
    }
}

impl RequestLimit {
    /// The same limit, of which the scheduler may use a fraction of `share`.
    pub fn with_share(self, share: f64) -> Self {
        Self { share, ..self }
    }

    /// The limit, if the target has one.
    pub fn rate(&self) -> Option<RequestRate> {
        self.known.limit
    }

    /// The fraction of the limit that this scheduler may use.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Changes the fraction of the limit that this scheduler may use.
    pub fn set_share(&mut self, share: f64, now: Timestamp) {
        self.refill(now);
        self.share = share;
    }

    /// Applies a report from the response to a request that was sent at `sent`.
    pub fn report(&mut self, report: LimitReport, sent: Timestamp, now: Timestamp) {
        if let Some(new) = Observation::new(report, sent, now) {
            self.merge(new, now);
        }
    }

    /// Applies what another node knows.
    pub fn learn(&mut self, notice: &LimitNotice, now: Timestamp) {
        self.merge(Observation::from_notice(notice, now), now);
    }

    fn merge(&mut self, new: Observation, now: Timestamp) {
        self.refill(now);
        let was_limited = self.rate().is_some();
        self.known.merge(new);
        self.tokens = match was_limited {
            true => self.tokens.min(self.burst()),
            // Another scheduler may have used the limit up until now.
            false => 0.0,
        };
    }

    fn per_ms(&self) -> f64 {
        let per_s = self.rate().map_or(0.0, RequestRate::per_s);
        per_s.max(MIN_RATE_PER_S) * self.share / 1000.0
    }

    fn burst(&self) -> f64 {
        1.0 + self.per_ms() * BURST_MS
    }

    fn tokens(&self, now: Timestamp) -> f64 {
        let gained = (now - self.filled_at).max(0.0) * self.per_ms();
        (self.tokens + gained).min(self.burst())
    }

    fn refill(&mut self, now: Timestamp) {
        self.tokens = self.tokens(now);
        self.filled_at = now;
    }

    /// Whether one more request may be sent.
    pub fn allows(&self, now: Timestamp) -> bool {
        self.rate().is_none() || self.tokens(now) >= 1.0
    }

    /// Counts a request that is sent.
    pub fn take(&mut self, now: Timestamp) {
        if self.rate().is_some() {
            self.refill(now);
            self.tokens -= 1.0;
        }
    }

    /// Returns the token of a request that did not reach the target.
    pub fn refund(&mut self, now: Timestamp) {
        self.refill(now);
        self.tokens = (self.tokens + 1.0).min(self.burst());
    }
}

/// One process of a scheduler.
pub type Recipient = (InstanceName, Incarnation);

struct KnownLimit {
    known: Observation,
    // The shard of the target, whose scheduler is to know the limit.
    shard: PoolName,
    // The schedulers that know it.
    told: Vec<Recipient>,
}

/// The limits that were named to one node, or of which it was told.
#[derive(Default)]
pub struct KnownLimits {
    limits: IndexMap<TargetName, KnownLimit>,
}

impl KnownLimits {
    /// Records a report from the response to a request that was sent at `sent`; `reported_to` is the
    /// scheduler that granted its slot and gets the same report. Returns whether the limit changed.
    pub fn record(
        &mut self,
        target: &TargetName,
        shard: &PoolName,
        report: LimitReport,
        sent: Timestamp,
        reported_to: Option<Recipient>,
        now: Timestamp,
    ) -> bool {
        match Observation::new(report, sent, now) {
            Some(new) => self.merge(target, shard, new, reported_to, now),
            None => false,
        }
    }

    /// Applies what another node knows, so that it is passed on even if that node is lost.
    pub fn learn(&mut self, notice: &LimitNotice, now: Timestamp) {
        let new = Observation::from_notice(notice, now);
        self.merge(&notice.target, &notice.shard, new, None, now);
    }

    fn merge(
        &mut self,
        target: &TargetName,
        shard: &PoolName,
        new: Observation,
        told: Option<Recipient>,
        now: Timestamp,
    ) -> bool {
        let known = match self.limits.get_mut(target) {
            Some(l) => match l.known.merge(new) {
                true => l.known,
                false => return false,
            },
            None if new.limit.is_none() => return false,
            None => new,
        };
        self.expire(now);
        let known = KnownLimit {
            known,
            shard: shard.clone(),
            told: told.into_iter().collect(),
        };
        self.limits.insert(target.clone(), known);
        true
    }

    fn expire(&mut self, now: Timestamp) {
        self.limits.retain(|_, l| {
            let retention_ms = match l.known.limit {
                Some(_) => RETENTION_MS,
                None => ENDED_RETENTION_MS,
            };
            now - l.known.seen < retention_ms
        });
    }

    /// The shards that have targets with limits.
    pub fn shards(&self) -> IndexSet<PoolName> {
        self.limits.values().map(|k| k.shard.clone()).collect()
    }

    /// The limits of a shard's targets that a scheduler has not been told.
    pub fn untold(&mut self, shard: &PoolName, to: &Recipient, now: Timestamp) -> Vec<LimitNotice> {
        if self.limits.is_empty() {
            return Vec::new();
        }
        self.expire(now);
        let limits = self.limits.iter();
        let untold = limits.filter(|(_, l)| l.shard == *shard && !l.told.contains(to));
        let notices = untold.map(|(target, l)| LimitNotice {
            target: target.clone(),
            shard: l.shard.clone(),
            limit: l.known.limit,
            sent_ms_ago: now - l.known.sent,
            seen_ms_ago: now - l.known.seen,
        });
        notices.collect()
    }

    /// Records that a scheduler has been told.
    pub fn mark_told(&mut self, notices: &[LimitNotice], to: &Recipient) {
        for notice in notices {
            if let Some(l) = self.limits.get_mut(&notice.target)
                && l.known.limit == notice.limit
            {
                l.told.push(to.clone());
            }
        }
    }
}

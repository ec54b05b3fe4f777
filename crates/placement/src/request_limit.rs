//! Limits that targets put on the requests per second from all nodes together.
//!
//! A target in need names its limit in its responses. The scheduler that grants its
//! slots keeps to the limit, as it counts the requests of all nodes. Each node
//! remembers the limits that were named to it, and passes them on to schedulers that
//! may not know them: after a failover, the successor knows nothing else.

use indexmap::IndexMap;
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
    Limited(RequestRate),
}

/// What a node knows about a target's limit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitNotice {
    /// The target.
    pub target: TargetName,
    /// Its limit; `None` if it has ended.
    pub limit: Option<RequestRate>,
    /// Milliseconds since the limit was named, or since the request was sent whose response named
    /// none.
    pub age_ms: f64,
}

/// A token bucket with the limit of one target.
#[derive(Clone, Debug)]
pub(crate) struct RequestLimit {
    rate: Option<RequestRate>,
    /// When the limit was last named, or when the request was sent whose response named none.
    as_of: Timestamp,
    /// Fraction of the limit that this scheduler may use.
    share: f64,
    tokens: f64,
    filled_at: Timestamp,
}

impl RequestLimit {
    /// No limit; of later ones the scheduler may use a fraction of `share`.
    pub fn new(share: f64) -> Self {
        Self {
            rate: None,
            as_of: Timestamp(f64::NEG_INFINITY),
            share,
            tokens: 0.0,
            filled_at: Timestamp::default(),
        }
    }

    /// The limit, if the target has one.
    pub fn rate(&self) -> Option<RequestRate> {
        self.rate
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
        match report {
            LimitReport::Unknown => (),
            LimitReport::Limited(rate) => self.set(rate, now, now),
            LimitReport::Unlimited => self.end(sent),
        }
    }

    /// Applies what another node knows.
    pub fn learn(&mut self, notice: &LimitNotice, now: Timestamp) {
        let as_of = now + -notice.age_ms;
        match notice.limit {
            Some(rate) => self.set(rate, as_of, now),
            None => self.end(as_of),
        }
    }

    fn set(&mut self, rate: RequestRate, as_of: Timestamp, now: Timestamp) {
        if as_of <= self.as_of {
            return;
        }
        match self.rate {
            Some(_) => self.refill(now),
            // Another scheduler may have used the limit up until now.
            None => (self.tokens, self.filled_at) = (0.0, now),
        }
        self.as_of = as_of;
        self.rate = Some(rate);
        self.tokens = self.tokens.min(self.burst());
    }

    // A response to a request from before the limit was named may just have been slow.
    fn end(&mut self, sent: Timestamp) {
        if sent >= self.as_of {
            self.as_of = sent;
            self.rate = None;
        }
    }

    fn per_ms(&self) -> f64 {
        let per_s = self.rate.map_or(0.0, RequestRate::per_s);
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
        self.rate.is_none() || self.tokens(now) >= 1.0
    }

    /// Counts a request that is sent.
    pub fn take(&mut self, now: Timestamp) {
        if self.rate.is_some() {
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
    limit: Option<RequestRate>,
    as_of: Timestamp,
    // The shard of the target, whose scheduler is to know the limit.
    shard: PoolName,
    // The schedulers that know it.
    told: Vec<Recipient>,
}

/// The limits that were named to one node.
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
        let known = self.limits.get_mut(target);
        let (limit, as_of) = match (report, known) {
            (LimitReport::Unknown, _) | (LimitReport::Unlimited, None) => return false,
            (LimitReport::Limited(rate), Some(known)) if known.limit == Some(rate) => {
                known.as_of = now;
                return false;
            }
            (LimitReport::Limited(rate), _) => (Some(rate), now),
            (LimitReport::Unlimited, Some(known))
                if known.limit.is_some() && sent >= known.as_of =>
            {
                (None, sent)
            }
            (LimitReport::Unlimited, Some(_)) => return false,
        };
        self.expire(now);
        let known = KnownLimit {
            limit,
            as_of,
            shard: shard.clone(),
            told: reported_to.into_iter().collect(),
        };
        self.limits.insert(target.clone(), known);
        true
    }

    fn expire(&mut self, now: Timestamp) {
        self.limits.retain(|_, known| {
            let retention_ms = match known.limit {
                Some(_) => RETENTION_MS,
                None => ENDED_RETENTION_MS,
            };
            now - known.as_of < retention_ms
        });
    }

    /// The limits of a shard's targets that a scheduler has not been told.
    pub fn untold(&mut self, shard: &PoolName, to: &Recipient, now: Timestamp) -> Vec<LimitNotice> {
        if self.limits.is_empty() {
            return Vec::new();
        }
        self.expire(now);
        let limits = self.limits.iter();
        let untold = limits.filter(|(_, known)| known.shard == *shard && !known.told.contains(to));
        let notices = untold.map(|(target, known)| LimitNotice {
            target: target.clone(),
            limit: known.limit,
            age_ms: now - known.as_of,
        });
        notices.collect()
    }

    /// Records that a scheduler has been told.
    pub fn mark_told(&mut self, notices: &[LimitNotice], to: &Recipient) {
        for notice in notices {
            if let Some(known) = self.limits.get_mut(&notice.target)
                && known.limit == notice.limit
            {
                known.told.push(to.clone());
            }
        }
    }
}

//! Moves a pool to another version of its targets, and back if that turns out bad.
//!
//! [`NodeRollout`] counts what one home node sees and enforces what it is allowed. [`Decider`], at one
//! node of the cluster, adds up the counts, lets a [`Judge`] compare the versions and grants the
//! allowances. docs/design/rollouts.md has the protocol between them.

mod decider;
mod judge;
mod node;

use compact_str::CompactString;
use derive_more::{Display, Error};
use rwd_types::StoreEra;
use serde::{Deserialize, Serialize};
use std::str::FromStr;

pub use crate::rollout::decider::Decider;
pub use crate::rollout::judge::{Judge, Verdict};
pub use crate::rollout::node::NodeRollout;

/// Maximum length of a version, in bytes.
const MAX_VERSION_BYTES: usize = 64;
/// Steps of the histograms of response times; each is longer by the square root of 2.
pub const HISTOGRAM_STEPS: usize = 24;
/// Upper bound of the first step, in milliseconds.
const FIRST_STEP_MS: f64 = 4.0;
/// Longest time for which a grant holds, in milliseconds: a node that hears nothing more goes back to the
/// old version.
pub const MAX_GRANT_MS: f64 = 1500.0;

/// Error of parsing a version.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
pub enum VersionError {
    /// The text is longer than the maximum.
    #[display("a version has at most {MAX_VERSION_BYTES} bytes")]
    TooLong,
    /// The text contains a control character.
    #[display("a version must not hold control characters")]
    BadCharacter,
}

/// Version of a target's software; empty if the target reports none.
#[derive(
    Clone, Debug, Default, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(try_from = "CompactString")]
pub struct Version(CompactString);

impl Version {
    /// Whether the target reports no version.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The version as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for Version {
    type Err = VersionError;

    fn from_str(s: &str) -> Result<Self, VersionError> {
        match s {
            s if s.len() > MAX_VERSION_BYTES => Err(VersionError::TooLong),
            s if s.chars().any(char::is_control) => Err(VersionError::BadCharacter),
            s => Ok(Self(s.into())),
        }
    }
}

impl TryFrom<CompactString> for Version {
    type Error = VersionError;

    fn try_from(s: CompactString) -> Result<Self, VersionError> {
        s.parse()
    }
}

/// Which versions of targets a request may go to.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum VersionRule {
    /// All.
    #[default]
    Any,
    /// Only this one.
    Only(Version),
    /// All but this one.
    Except(Version),
}

impl VersionRule {
    /// Whether a target of `version` may get the request.
    pub fn allows(&self, version: &Version) -> bool {
        match self {
            Self::Any => true,
            Self::Only(v) => v == version,
            Self::Except(v) => v != version,
        }
    }
}

/// What the operators tolerate of a bad version.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RolloutLimits {
    /// Largest share of the pool's requests that it may get.
    pub canary_share: f64,
    /// Requests that it may get beyond that share.
    pub canary_slack: f64,
    /// Time after its first bad answers within which it must get no more requests, in milliseconds.
    pub rollback_ms: f64,
}

/// An operator's order to move a pool to a version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RolloutOrder {
    /// The new version.
    pub to: Version,
    /// Time within which all traffic must have moved, in seconds.
    pub over_s: f64,
    /// Era of the store in which the order was read.
    pub era: StoreEra,
    /// Offset of its record.
    pub offset: u64,
}

impl RolloutOrder {
    /// Whether both are the same order. A store that has come back from an older copy may hold it at
    /// another offset.
    pub fn is_same(&self, other: &Self) -> bool {
        let content = self.to == other.to && self.over_s == other.over_s;
        content && (self.offset == other.offset || self.era != other.era)
    }

    /// Time within which all traffic must have moved, in milliseconds.
    pub fn over_ms(&self) -> f64 {
        self.over_s * 1000.0
    }
}

/// How far a roll-out is. Later ones win when nodes disagree on what is final.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display(rename_all = "lowercase")]
pub enum Stage {
    /// The new version gets requests by allowance.
    #[default]
    Canary,
    /// The new version gets all new requests.
    Full,
    /// The new version gets nothing more; final.
    Reverted,
    /// The old version is no longer used; final.
    Done,
}

impl Stage {
    /// Whether the roll-out has ended.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Reverted | Self::Done)
    }
}

/// Answers of one version on one route.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Tally {
    /// All answers.
    pub answers: u32,
    /// Those that were failures.
    pub failures: u32,
    /// The others by time to the first byte; those of targets that still warm up are left out.
    pub steps: [u32; HISTOGRAM_STEPS],
}

impl Tally {
    fn record(&mut self, failed: bool, ms: Option<f64>) {
        self.answers = self.answers.saturating_add(1);
        match (failed, ms) {
            (true, _) => self.failures = self.failures.saturating_add(1),
            (false, Some(ms)) => {
                let step = &mut self.steps[step(ms)];
                *step = step.saturating_add(1);
            }
            (false, None) => (),
        }
    }

    // What `self` has beyond `before`, an earlier state of the same counts.
    fn since(&self, before: &Self) -> Self {
        let mut steps = self.steps;
        for (step, before) in steps.iter_mut().zip(before.steps) {
            *step = step.saturating_sub(before);
        }
        Self {
            answers: self.answers.saturating_sub(before.answers),
            failures: self.failures.saturating_sub(before.failures),
            steps,
        }
    }

    fn add(&mut self, other: &Self) {
        self.answers = self.answers.saturating_add(other.answers);
        self.failures = self.failures.saturating_add(other.failures);
        for (step, n) in self.steps.iter_mut().zip(other.steps) {
            *step = step.saturating_add(n);
        }
    }

    // Answers that took the time of step `from` or longer.
    fn slow(&self, from: usize) -> u32 {
        let steps = self.steps.iter().skip(from);
        steps.fold(0, |sum, n| sum.saturating_add(*n))
    }
}

fn step(ms: f64) -> usize {
    let step = 2.0 * (ms.max(FIRST_STEP_MS) / FIRST_STEP_MS).log2();
    (step as usize).min(HISTOGRAM_STEPS - 1)
}

/// Answers of both versions on one route.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RouteReport {
    /// The route.
    pub route: CompactString,
    /// Answers of the old version, or versions.
    pub old: Tally,
    /// Answers of the new one.
    pub new: Tally,
}

/// What a home node has seen since it learned of an order; all counts only grow.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RolloutReport {
    /// The order.
    pub order: RolloutOrder,
    /// Random id of the counts; they start again with a new one.
    pub life: u64,
    /// Milliseconds since the order was first seen, as far as the node knows.
    pub age_ms: f64,
    /// The stage in which the node is.
    pub stage: Stage,
    /// Requests sent to targets of any version, without repeats.
    pub requests: u64,
    /// Sends to the new version, begun or about to begin.
    pub sent_new: u64,
    /// Requests in progress at targets of the old version.
    pub old_in_progress: u32,
    /// The longest request of the old version, in milliseconds.
    pub longest_old_ms: f64,
    /// Hashes of some targets of the new version that gave failures or slow answers.
    pub bad_targets: Vec<u64>,
    /// Counts by route.
    pub routes: Vec<RouteReport>,
}

/// A decider's reply to a report.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct RolloutGrant {
    /// The stage.
    pub stage: Stage,
    /// Number of sends to the new version that the node may have made by now, in all.
    pub allowed: u64,
    /// How long the grant holds after the report was sent, in milliseconds.
    pub holds_ms: f64,
    /// Time until the next report, in milliseconds.
    pub report_ms: f64,
}

/// The state of a roll-out as the store keeps it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StatusRecord {
    /// The order.
    pub order: RolloutOrder,
    /// The stage.
    pub stage: Stage,
    /// Sends to the new version that all deciders together may have granted.
    pub reserved: u64,
    /// When the order was first seen, in Unix milliseconds.
    pub started_unix_ms: f64,
}

//! Requests for a slot, and their outcomes.

use compact_str::CompactString;
use derive_more::Display;
use rwd_types::{InstanceName, PoolName, TargetName, WorkspaceName, ZoneName};
use serde::{Deserialize, Serialize};
use std::ops::{Add, Sub};

use crate::VersionRule;

/// A point in time, in milliseconds from an epoch of the caller's choice.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Timestamp(pub f64);

impl Add<f64> for Timestamp {
    type Output = Self;

    fn add(self, ms: f64) -> Self {
        Self(self.0 + ms)
    }
}

impl Sub for Timestamp {
    type Output = f64;

    fn sub(self, other: Self) -> f64 {
        self.0 - other.0
    }
}

/// Identifies an offer at one scheduler.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct OfferId(pub u64);

/// Priority of a request; lower values are served first.
///
/// The workspace's priority takes precedence over the route's.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Rank {
    /// Priority of the workspace.
    pub workspace: u8,
    /// Priority of the route.
    pub route: u8,
}

/// A part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PromptPart {
    /// Identifies the part's text.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// A request that waits for a slot.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Offer {
    /// The caller's id of the request, for logs.
    pub request: CompactString,
    /// The model or service.
    pub pool: PoolName,
    /// Its priority.
    pub rank: Rank,
    /// The workspace, if the pool's requests belong to one.
    pub workspace: Option<WorkspaceName>,
    /// The prompt's parts, in order.
    pub parts: Vec<PromptPart>,
    /// Prompt length in tokens; zero for non-LLM services.
    pub prompt: u32,
    /// Expected response length in tokens.
    pub output: u32,
    /// Maximum response length in tokens.
    pub max_output: u32,
    /// Milliseconds until the latency objective is missed; negative afterwards.
    pub aim_left_ms: f64,
    /// Milliseconds until the caller or the route times out.
    pub time_left_ms: f64,
    /// The home node: it accepted the request and alone dispatches it.
    pub home: InstanceName,
    /// The availability zone of the home node.
    pub zone: ZoneName,
    /// Targets that this request was already sent to.
    pub exclude: Vec<TargetName>,
    /// Whether the workspace is over its quota, so that the request must not displace others.
    pub beyond_quota: bool,
    /// Whether the caller retries after a refusal; it does not retry twice.
    pub returned: bool,
    /// Whether the request resumes a stream that has produced part of its response.
    pub resumes: bool,
    /// How long a connection to a target may have been idle for this request to use it, in
    /// milliseconds.
    pub reuse_ms: f64,
    /// Whether the request may run more than once.
    pub may_repeat: bool,
    /// Whether the home node reaches no scheduler of the pool and asks its own.
    pub last_resort: bool,
    /// Which versions of targets it may go to.
    pub version: VersionRule,
}

/// How the use of a granted slot ended.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub enum SlotOutcome {
    /// The request was withdrawn for a reason unrelated to the target.
    #[default]
    Unused,
    /// The response was complete.
    Complete {
        /// Milliseconds from dispatch to the first byte of the response body.
        first_ms: f64,
        /// Milliseconds from the first byte to the end.
        rest_ms: f64,
        /// Response length in tokens.
        output: u32,
    },
    /// The target responded with an error of its own.
    Failed,
    /// The target refused the request because it was full.
    Full,
    /// The target refused the request because it was full, and falls over if it refuses many.
    Brittle {
        /// The refusals a second, of all nodes, that it bears.
        per_s: f64,
    },
    /// The address belongs to another target, or the target is draining.
    Gone,
    /// The connection timed out; the node itself may be partitioned.
    Unreachable,
    /// The connection was refused: nothing listens on the target's address.
    Down,
    /// The connection broke, or the response was not from the target.
    Broken,
    /// No data arrived for longer than the target should need.
    Silent,
    /// The home node has no path to targets, or lost the node that sent for it: this says nothing of the
    /// target.
    NoPath,
    /// The target says that it leaves.
    Leaving,
    /// The target wants no request from the home node.
    Held {
        /// For how long, in milliseconds.
        for_ms: f64,
    },
}

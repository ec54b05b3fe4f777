//! What is placed, and what came of it.

use compact_str::CompactString;
use derive_more::Display;
use rwd_types::{InstanceName, PoolName, TargetName, WorkspaceName, ZoneName};
use serde::{Deserialize, Serialize};
use std::ops::{Add, Sub};

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

/// The place of a request in the order of value; lower comes first.
///
/// The workspace's priority goes before that of the route.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Rank {
    /// Priority of the workspace.
    pub workspace: u8,
    /// Priority of the route.
    pub route: u8,
}

/// One part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PromptPart {
    /// Identifies the part's text.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// Describes a request that waits for a slot.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Offer {
    /// The caller's id of the request, for logs.
    pub request: CompactString,
    /// The model or service.
    pub pool: PoolName,
    /// Its place in the order of value.
    pub rank: Rank,
    /// The workspace, if requests of the pool belong to one.
    pub workspace: Option<WorkspaceName>,
    /// Parts of the prompt in order.
    pub parts: Vec<PromptPart>,
    /// Prompt length in tokens; zero for plain services.
    pub prompt: u32,
    /// Expected answer length in tokens.
    pub output: u32,
    /// Milliseconds until the answer is late; negative if it is already.
    pub aim_left_ms: f64,
    /// Milliseconds until the caller or the route gives up.
    pub time_left_ms: f64,
    /// The node that holds the request.
    pub home: InstanceName,
    /// The availability zone of that node.
    pub zone: ZoneName,
    /// Targets that this request has been sent to before.
    pub exclude: Vec<TargetName>,
    /// Whether the workspace is beyond its quota, so that the request must take nobody's place.
    pub beyond_quota: bool,
    /// Whether the caller has been refused before and came back; it has no further try.
    pub returned: bool,
    /// Whether the request has produced a part of its answer already.
    pub resumes: bool,
}

/// How a granted slot was left.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub enum SlotOutcome {
    /// The request was withdrawn for a reason that says nothing about the target.
    #[default]
    Unused,
    /// A whole answer came.
    Complete {
        /// Milliseconds from dispatch to the first byte of the answer's body.
        first_ms: f64,
        /// Milliseconds from there to the end.
        rest_ms: f64,
        /// Tokens of the answer.
        output: u32,
    },
    /// The target answered with a failure of its own.
    Failed,
    /// The target refused the request because it was full.
    Full,
    /// The address belongs to another target, or the target is leaving.
    Gone,
    /// No connection came about in time; the node itself may be cut off.
    Unreachable,
    /// Nobody listens at the target's address.
    Down,
    /// The connection broke, or the answer was not the target's.
    Broken,
    /// Nothing came for longer than the target should need.
    Silent,
}

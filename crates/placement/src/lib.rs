//! Assigns queued requests to targets, and refuses those that cannot be served.
//!
//! The crate does no I/O and reads no clock: callers pass the time and carry out
//! the decisions. One [`Scheduler`] tracks the load of all targets that a node
//! schedules. `queue` has the service order, `shares` the shares of workspaces in it, and
//! `precedence` corrects it for route priorities that fall behind lower ones. `forecast` says which
//! requests are refused early, `returns` when refused callers retry, and `room` how much room a pool
//! has. `target` has the cost model, `connections` its part for connections, and `cache` estimates
//! the content of prefix caches. `request_limit` keeps to the limits that targets name, `memory` to
//! their memory, `crash_ledger` finds prompts that crash them, and `crash_exchange` decides what nodes
//! tell each other of that. `handover` has what a scheduler
//! learns when it takes over, `streams` knows which version of its targets began a stream, `paths` tells a node without a path to targets from targets that are down, and `rollout` moves a pool to another version of its targets.

mod cache;
mod connections;
mod crash_exchange;
mod crash_ledger;
mod decayed;
mod forecast;
mod handover;
mod memory;
mod offer;
mod paths;
mod precedence;
mod queue;
mod registry;
mod request_limit;
mod returns;
mod rollout;
mod room;
mod scheduler;
mod shares;
mod streams;
mod target;

pub use crate::cache::PromptCache;
pub use crate::crash_exchange::{COORDINATORS, CrashExchange, CrashPeers};
pub use crate::crash_ledger::{
    Admission, BlockNews, CrashLedger, CrashNews, CrashReport, Feature, Fingerprint, Question,
    features,
};
pub use crate::handover::{
    BadReport, HeldSlot, MAX_REPORTS, Result as HandoverResult, TargetEstimate, TargetReport,
};
pub use crate::memory::{exceeds as exceeds_memory, worst_case};
pub use crate::offer::{Offer, OfferId, PromptPart, Rank, SlotOutcome, Timestamp};
pub use crate::paths::{Path, Paths};
pub use crate::registry::TargetEntry;
pub use crate::request_limit::{KnownLimits, LimitNotice, LimitReport, Recipient};
pub use crate::rollout::{
    Decider, HISTOGRAM_STEPS, Judge, MAX_GRANT_MS, NodeRollout, RolloutGrant, RolloutLimits,
    RolloutOrder, RolloutReport, RouteReport, Stage, StatusRecord, Tally, Verdict, Version,
    VersionError, VersionRule,
};
pub use crate::room::{MAX_FREE_SLOTS, MAX_WAIT_MS, Room};
pub use crate::scheduler::{Decision, PlacementSettings, Refusal, Scheduler, TargetView};
pub use crate::shares::{ShareNews, ShareOwner, ShareUse};
pub use crate::streams::{
    Origin, OwnerReply, STREAM_LIFETIME_MS, ServedVersion, ServedVersions, StreamKey, StreamLedger,
    Versions, resolve,
};
pub use crate::target::{Capacity, TargetInfo};

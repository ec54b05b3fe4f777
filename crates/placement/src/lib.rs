//! Assigns queued requests to targets, and refuses those that cannot be served.
//!
//! The crate does no I/O and reads no clock: callers pass the time and carry out
//! the decisions. One [`Scheduler`] tracks the load of all targets that a node
//! schedules. `queue` has the service order, `returns` says when refused callers retry, `target`
//! has the cost model, `cache` estimates the content of prefix caches, `crash_ledger` finds prompts
//! that crash targets, `request_limit` keeps to the limits that targets name, and `rollout` moves a
//! pool to another version of its targets.

mod cache;
mod crash_ledger;
mod offer;
mod queue;
mod registry;
mod request_limit;
mod returns;
mod rollout;
mod scheduler;
mod target;

pub use crate::cache::PromptCache;
pub use crate::crash_ledger::{BlockNews, CrashLedger, CrashNews, CrashReport, shared_parts};
pub use crate::offer::{Offer, OfferId, PromptPart, Rank, SlotOutcome, Timestamp};
pub use crate::registry::TargetEntry;
pub use crate::request_limit::{KnownLimits, LimitNotice, LimitReport, Recipient};
pub use crate::rollout::{
    Decider, HISTOGRAM_STEPS, Judge, MAX_GRANT_MS, NodeRollout, RolloutGrant, RolloutLimits,
    RolloutOrder, RolloutReport, RouteReport, Stage, StatusRecord, Tally, Verdict, Version,
    VersionError, VersionRule,
};
pub use crate::scheduler::{Decision, PlacementSettings, Refusal, Scheduler, TargetView};
pub use crate::target::{Capacity, TargetInfo};

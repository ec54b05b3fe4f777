//! Assigns queued requests to targets, and refuses those that cannot be served.
//!
//! The crate does no I/O and reads no clock: callers pass the time and carry out
//! the decisions. One [`Scheduler`] tracks the load of all targets that a node
//! schedules. `queue` has the service order, `shares` the shares of workspaces, `forecast`
//! which requests are refused early, `returns` when refused callers retry, `target` has the cost model, `cache` estimates the content of prefix caches, `crash_ledger` finds prompts
//! that crash targets, and `request_limit` keeps to the limits that targets name.

mod cache;
mod crash_ledger;
mod decayed;
mod forecast;
mod offer;
mod queue;
mod registry;
mod request_limit;
mod returns;
mod scheduler;
mod shares;
mod target;

pub use crate::cache::PromptCache;
pub use crate::crash_ledger::{BlockNews, CrashLedger, CrashNews, CrashReport, shared_parts};
pub use crate::offer::{Offer, OfferId, PromptPart, Rank, SlotOutcome, Timestamp};
pub use crate::registry::TargetEntry;
pub use crate::request_limit::{KnownLimits, LimitNotice, LimitReport, Recipient};
pub use crate::scheduler::{Decision, PlacementSettings, Refusal, Scheduler, TargetView};
pub use crate::shares::{ShareNews, ShareOwner, ShareUse};
pub use crate::target::{Capacity, TargetInfo};

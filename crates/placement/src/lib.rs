//! Decides which waiting request goes to which target, and which is refused.
//!
//! Nothing here waits or talks to a network: callers pass the time and carry out
//! the decisions. One [`Scheduler`] counts the work of all targets that a node
//! places for; the order of service is in [`Scheduler::poll`], the choice of a
//! target in the `target` module, what a target is believed to hold in `cache`.

mod cache;
mod offer;
mod registry;
mod scheduler;
mod target;

pub use crate::cache::PromptCache;
pub use crate::offer::{Offer, OfferId, PromptPart, Rank, SlotOutcome, Timestamp};
pub use crate::registry::TargetEntry;
pub use crate::scheduler::{Decision, PlacementSettings, Refusal, Scheduler, TargetView};
pub use crate::target::{Capacity, TargetInfo};

//! Queues offers for the targets that a node owns, and grants their slots.
//!
//! A grant is soft state: losing one costs a slot until its exchange ends. It
//! never loses or duplicates a request, because only the home node, which the
//! request's key names, dispatches it.

mod baseline;
mod cache_index;
mod estimate;
mod fair_queue;
mod pick;
mod scheduler;
mod serve;
mod shard;
mod target_state;
mod ticket;
mod topology;

pub use crate::baseline::Baseline;
pub use crate::cache_index::CacheIndex;
pub use crate::estimate::OutputEstimates;
pub use crate::fair_queue::{FairQueue, OfferId, QueuedOffer};
pub use crate::scheduler::{Scheduler, SchedulerSettings, ShardStatus, TargetStatus};
pub use crate::ticket::{Decision, Ticket};
pub use crate::topology::{Shard, Topology};

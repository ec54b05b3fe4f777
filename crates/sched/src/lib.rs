//! Queues offers for the targets that a node owns and grants their slots.
//!
//! A grant is soft state: losing one costs a slot for the length of its lease
//! and never loses or doubles a request, because only the request's home
//! dispatches it.

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
pub use crate::fair_queue::{FairQueue, Waiting, WaitingId};
pub use crate::scheduler::{Scheduler, SchedulerSettings, ShardStatus, TargetStatus};
pub use crate::ticket::{Decision, Ticket};
pub use crate::topology::{Shard, Topology};

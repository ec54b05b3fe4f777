//! Gateway for a platform's own protocol: routing, API keys, quotas, retries, streams.
//!
//! The node that accepts a request is its home node. It asks the node that
//! schedules the request's pool for a slot, sends the request to the granted target
//! itself and relays the response. [`Protocol`] and [`Store`] are the adapter
//! interfaces that a platform implements.

mod backlog;
mod buffers;
mod catalog;
mod catalog_sync;
mod clock;
mod connection;
mod crash_sync;
mod detour;
mod edge;
mod events;
mod fingerprint;
mod follow;
mod gateway;
mod handover;
mod held_stream;
mod limits;
mod local_scheduler;
mod node;
mod orders;
mod proof;
mod quota;
mod refusal;
mod relay;
mod replica;
mod request_body;
mod rollout;
mod room;
mod room_sync;
mod run;
mod server;
mod settings;
mod shards;
mod slots;
pub mod source;
mod stop;
mod store_sync;
mod stream_sync;
mod withheld;

pub use crate::backlog::{Backlog, ReaderId, Verdict};
pub use crate::buffers::{BufferBudget, OverBudget, Reservation};
pub use crate::catalog::{Catalog, Limits, Pool, Quota, RetryPolicy, Route, Workspace};
pub use crate::clock::UnixClock;
pub use crate::connection::{Dial, dial_tcp};
pub use crate::edge::{
    BadHeader, BadRequest, Batch, Feed, ListedNode, Lookup, Position, Protocol, Record,
    RequestHead, Store, StoreError, StoredBlock, StoredStreams, StoredVersion, StoredVersions,
    TargetRequestHead, TargetResponseHead,
};
pub use crate::events::{Event, EventBuffer, EventError};
pub use crate::gateway::{Aborted, Body};
pub use crate::held_stream::HeldBytes;
pub use crate::limits::coordinator;
pub use crate::node::{GatewayNode, NodeError};
pub use crate::quota::{
    LeaseReply, LocalQuota, NodeCounter, NodeCounts, QuotaBuckets, QuotaStatus, RetryBudget,
};
pub use crate::replica::StoreReplica;
pub use crate::room::{
    BadRoom, Choice, Choices, MAX_REPORTED_SHARDS, MAX_ROOM_AGE_MS, Reason, ReportPacer, RoomRelay,
    RoomView, Rooms, ShardKey, Spills, Stage, report_receivers,
};
pub use crate::settings::{
    Bounds, GatewaySettings, Listen, Scheduling, SettingsError, instance_name,
};
pub use crate::shards::{Shard, partition};
pub use crate::stop::ShutdownPlan;
pub use crate::withheld::{EndedHold, Withheld, WithheldTargets};

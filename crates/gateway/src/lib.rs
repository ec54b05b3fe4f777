//! Serves callers of a platform's own protocol: routes, keys, quotas, repeats, streams.
//!
//! A request lives at the node that accepted it, its home. The home asks the node
//! that schedules the request's pool for a slot, sends the request to that target
//! itself, and passes the answer on. [`Protocol`] and [`Store`] are the edges; an
//! adapter implements them and translates.

mod catalog;
mod clock;
mod connection;
mod edge;
mod events;
mod follow;
mod gateway;
mod limits;
mod local_scheduler;
mod node;
mod quota;
mod refusal;
mod relay;
mod replica;
mod run;
mod server;
mod settings;
mod shards;
mod slots;
mod stop;
mod store_sync;

pub use crate::catalog::{Catalog, Limits, Pool, Quota, RetryPolicy, Route, Workspace};
pub use crate::edge::{
    BadRequest, Batch, Feed, ListedNode, Lookup, Protocol, Record, RequestHead, Store, StoreError,
    TargetRequestHead, TargetResponseHead,
};
pub use crate::events::{Event, EventBuffer};
pub use crate::gateway::{Aborted, Body};
pub use crate::node::{GatewayNode, NodeError};
pub use crate::quota::{
    LeaseReply, LocalQuota, NodeCounter, NodeCounts, QuotaBuckets, QuotaStatus, RetryBudget,
};
pub use crate::replica::StoreReplica;
pub use crate::settings::{Bounds, GatewaySettings, Listen, SettingsError, instance_name};
pub use crate::shards::{Shard, partition};
pub use crate::stop::ShutdownPlan;
pub use crate::store_sync::Role;

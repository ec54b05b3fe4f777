//! Gateway for a platform's own protocol: routing, API keys, quotas, retries, streams.
//!
//! The node that accepts a request is its home node. It asks the node that
//! schedules the request's pool for a slot, sends the request to the granted target
//! itself and relays the response. [`Protocol`] and [`Store`] are the adapter
//! interfaces that a platform implements.

mod catalog;
mod channel;
mod clock;
mod edge;
mod events;
mod follow;
mod gateway;
mod limits;
mod news;
mod node;
mod owner;
mod quota;
mod refusal;
mod relay;
mod run;
mod server;
mod settings;
mod shards;
mod slots;
mod stop;
mod views;

pub use crate::catalog::{Catalog, Limits, Pool, Quota, Repeat, Route, Workspace};
pub use crate::edge::{
    AnswerHead, BadRequest, Batch, CallerHead, Feed, ListedNode, Lookup, Protocol, Record, Store,
    StoreError, TargetHead,
};
pub use crate::events::{Event, EventBuffer};
pub use crate::gateway::{Aborted, Body};
pub use crate::news::Role;
pub use crate::node::{GatewayNode, NodeError};
pub use crate::quota::{Bank, Lease, Mark, Nodes, Purse, RepeatBudget, Shares};
pub use crate::settings::{Bounds, GatewaySettings, Listen, SettingsError, instance_at};
pub use crate::shards::{Shard, cut};
pub use crate::stop::StopPlan;
pub use crate::views::Views;

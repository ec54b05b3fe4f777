//! Serves callers of a platform's own protocol: routes, keys, quotas, repeats, streams.
//!
//! A request lives at the node that accepted it, its home. The home asks the node
//! that schedules the request's pool for a slot, sends the request to that target
//! itself, and passes the answer on. [`Protocol`] and [`Store`] are the edges; an
//! adapter implements them and translates.

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

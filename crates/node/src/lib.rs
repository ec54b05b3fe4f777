//! Puts the parts of a node together: one process between callers and targets.

mod admin;
mod handler;
mod http_server;
mod lifecycle;
mod node;
mod platform_tasks;
mod status;

pub use crate::node::{ExternalServices, Node};
pub use crate::status::{MemberStatus, NodeStatus, ResourceUsage};

use derive_more::{Display, Error, From};
use std::net::SocketAddr;

/// A node that cannot start.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// A listener cannot be opened.
    #[display("cannot listen on {address}: {source}")]
    #[from(skip)]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The metrics cannot be set up.
    #[display("{_0}")]
    Metrics(rwd_metrics::Error),
}

/// The result of starting a node.
pub type Result<T> = std::result::Result<T, Error>;

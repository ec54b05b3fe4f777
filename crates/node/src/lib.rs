//! A scheduler node: connects its components and runs them between callers and targets.

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

/// An error that keeps a node from starting.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// A listener cannot be opened.
    #[display("cannot listen on {address}: {source}")]
    #[from(skip)]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The metrics cannot be set up.
    #[display("{_0}")]
    Metrics(rwd_metrics::Error),
}

/// The result of starting a node.
pub type Result<T> = std::result::Result<T, Error>;

//! Stand-ins of the systems that redwingdrift serves, and a load and experiment tool.
//!
//! The stand-ins speak the protocols of `docs/INTERFACES.md` and count by
//! themselves what was run, how often and for which request. What the tool
//! reports comes from their counts and from the callers', never from the nodes.

pub mod bench;
pub mod fake;
pub mod site;

mod callers;
mod cluster;
mod http_server;
mod invariants;
mod report;
mod workload;

pub use crate::callers::{
    Caller, CallerSettings, RequestKind, RequestOutcome, RequestRecord, RequestSpec,
};
pub use crate::cluster::{Cluster, ClusterSettings, NodeHandle};
pub use crate::http_server::{Body, HttpServer, empty, json_response, text_response};
pub use crate::report::{Report, TierReport};
pub use crate::workload::{TierMix, Workload, WorkloadName};

use derive_more::{Display, Error, From};

/// A failure of the lab itself.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The operating system refused something.
    #[display("{_0}")]
    Io(std::io::Error),
    /// A node cannot start.
    #[display("{_0}")]
    Node(rwd_node::Error),
    /// A configuration cannot be published.
    #[display("cannot publish: {_0}")]
    Publish(rwd_control::Error),
    /// The nodes did not come together in time.
    #[display("the system did not become ready in time")]
    #[from(skip)]
    NotReady,
    /// A plot cannot be drawn.
    #[display("cannot draw {file}: {message}")]
    #[from(skip)]
    Plot {
        /// The file.
        file: String,
        /// Why.
        message: String,
    },
}

/// The result of work in the lab.
pub type Result<T> = std::result::Result<T, Error>;

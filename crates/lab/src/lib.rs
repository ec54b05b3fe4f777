//! Fakes of the systems around redwingdrift, and a tool for load and fault experiments.
//!
//! The fakes speak the protocols of `docs/INTERFACES.md` and count what was run,
//! how often and for which request. What a report says about requests comes from
//! these counts and from the callers' records, never from the nodes.

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
pub use crate::http_server::{Body, HttpServer, empty_response, json_response, text_response};
pub use crate::report::{Report, TierReport};
pub use crate::workload::{TierWorkload, Workload, WorkloadName};

use derive_more::{Display, Error, From};

/// An error of the lab, as opposed to a failure that an experiment measures.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// An I/O operation failed.
    #[display("{_0}")]
    Io(std::io::Error),
    /// A node failed to start.
    #[display("{_0}")]
    Node(rwd_node::Error),
    /// A configuration could not be published.
    #[display("cannot publish: {_0}")]
    Publish(rwd_control::Error),
    /// The nodes did not agree on membership or on a revision in time.
    #[display("the system did not become ready in time")]
    #[from(skip)]
    NotReady,
    /// A plot could not be drawn.
    #[display("cannot draw {file}: {message}")]
    #[from(skip)]
    Plot {
        /// Path of the SVG file.
        file: String,
        /// The reason.
        message: String,
    },
}

/// The result of an operation of the lab.
pub type Result<T> = std::result::Result<T, Error>;

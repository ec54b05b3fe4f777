//! The edges of a node: the platform's log, its instance list, and the targets.
//!
//! Each edge is one trait with one HTTP implementation. The protocols are
//! described in `docs/INTERFACES.md`; the stand-ins of the `lab` crate speak the
//! same ones.

mod blocks;
mod http_client;
mod instances;
mod log_service;
mod request_body;
mod sse;
mod target;

pub use crate::blocks::{BLOCK_TOKENS, BYTES_PER_TOKEN, MAX_BLOCKS, prompt_blocks, prompt_tokens};
pub use crate::http_client::HttpClient;
pub use crate::instances::{
    HttpInstanceList, Instance, InstanceList, InstanceRole, InstanceState, Listing,
};
pub use crate::log_service::{Batch, HttpLog, Log, LogRecord};
pub use crate::request_body::{BodyError, receive_body};
pub use crate::sse::{MAX_EVENT_BYTES, SseEvent, SseParser};
pub use crate::target::{
    CacheEvent, CacheEvents, HttpTargets, LoadReport, STREAM_HEADER, TargetRequest, TargetResponse,
    Targets,
};

use compact_str::CompactString;
use derive_more::{Display, Error, From};

/// A failed call to the platform or to a target.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// No connection, so nothing was sent.
    #[display("cannot connect: {message}")]
    #[from(skip)]
    Connect {
        /// What the network said.
        message: CompactString,
    },
    /// The connection broke after something may have been sent.
    #[display("connection broke: {message}")]
    #[from(skip)]
    Broken {
        /// What the network said.
        message: CompactString,
    },
    /// No answer in time.
    #[display("no answer in time")]
    #[from(skip)]
    Timeout,
    /// The other side refused the call.
    #[display("answered with status {status}")]
    #[from(skip)]
    Status {
        /// HTTP status.
        status: u16,
    },
    /// The answer is not what the protocol says.
    #[display("bad answer: {message}")]
    #[from(skip)]
    Protocol {
        /// What is wrong with it.
        message: CompactString,
    },
    /// The answer is not the JSON that the protocol says.
    #[display("bad answer: {_0}")]
    Json(serde_json::Error),
}

/// The result of a call to the platform or to a target.
pub type Result<T> = std::result::Result<T, Error>;

//! Clients of a node's external services: the platform's log, its instance list, and the targets.
//!
//! Each service has a trait and an HTTP implementation. The protocols are described
//! in `docs/INTERFACES.md`; the fakes of the `lab` crate implement the same protocols.

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
pub use crate::request_body::{BodyError, discard_body, receive_body};
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
    /// No connection could be opened, so nothing was sent.
    #[display("cannot connect: {message}")]
    #[from(skip)]
    Connect {
        /// The network error.
        message: CompactString,
    },
    /// The connection was lost after something may have been sent.
    #[display("connection broke: {message}")]
    #[from(skip)]
    Broken {
        /// The network error.
        message: CompactString,
    },
    /// No response in time.
    #[display("no answer in time")]
    #[from(skip)]
    Timeout,
    /// The response has an error status.
    #[display("answered with status {status}")]
    #[from(skip)]
    Status {
        /// HTTP status.
        status: u16,
    },
    /// The request or the response violates the protocol.
    #[display("bad answer: {message}")]
    #[from(skip)]
    Protocol {
        /// The violation.
        message: CompactString,
    },
    /// The response is not the JSON that the protocol requires.
    #[display("bad answer: {_0}")]
    Json(serde_json::Error),
}

/// The result of a call to the platform or to a target.
pub type Result<T> = std::result::Result<T, Error>;

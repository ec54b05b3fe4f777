//! The edges of the gateway: what callers and targets speak, and the store.
//!
//! An implementation translates names and formats. It decides nothing, keeps no
//! time and repeats no call.

use bytes::Bytes;
use compact_str::CompactString;
use derive_more::{Display, Error, From};
use http::{HeaderMap, request, response};
use rwd_placement::{PromptPart, TargetEntry};
use rwd_types::{RegionName, TargetName, WorkspaceName, ZoneName};
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use crate::Catalog;

/// A request that cannot be understood.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
#[display("{field}: {reason}")]
pub struct BadRequest {
    /// The field that is wrong.
    pub field: &'static str,
    /// What is wrong with it.
    pub reason: CompactString,
}

/// What a request's head says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestHead {
    /// The caller's id of this attempt.
    pub id: CompactString,
    /// Milliseconds that the caller will wait, if it says so.
    pub time_left_ms: Option<f64>,
    /// The caller's key.
    pub key: Option<CompactString>,
    /// The last event that the caller has of a stream that broke.
    pub last_event: Option<u64>,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub max_output_tokens: u32,
    /// Whether the request states its tokens.
    pub counts_tokens: bool,
    /// The caller's estimate of the answer's tokens.
    pub output_hint: Option<u32>,
    /// The parts of the prompt.
    pub parts: Vec<PromptPart>,
}

/// What the gateway tells a target beside the caller's own headers.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetRequestHead<'a> {
    /// The target that is meant.
    pub target: &'a TargetName,
    /// The workspace that the caller's key belongs to.
    pub workspace: Option<&'a WorkspaceName>,
    /// Milliseconds left for the answer.
    pub time_left_ms: f64,
    /// The last event that has arrived of the stream.
    pub last_event: Option<u64>,
}

/// What the head of a target's answer says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TargetResponseHead {
    /// The request that it answers.
    pub id: Option<CompactString>,
    /// Whether the target vouches for the answer.
    pub receipt: bool,
    /// Whether the target says that it has not run the request.
    pub not_run: bool,
    /// Whether another target answered.
    pub misdirected: bool,
    /// Whether the body is encoded, which no target does.
    pub encoded: bool,
}

/// Where callers are, as they say in a lookup.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Lookup {
    /// The caller's region.
    pub region: Option<RegionName>,
    /// The caller's availability zone.
    pub zone: Option<ZoneName>,
}

/// What callers and targets speak.
pub trait Protocol: Send + Sync + 'static {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// The field that is missing or wrong.
    fn read_request(&self, parts: &request::Parts) -> Result<RequestHead, BadRequest>;

    /// The headers with which a caller's request goes to a target.
    fn target_headers(&self, caller: &HeaderMap, head: &TargetRequestHead) -> HeaderMap;

    /// Reads the head of a target's answer.
    fn read_response(&self, parts: &response::Parts) -> TargetResponseHead;

    /// The headers with which a target's answer goes to the caller.
    fn response_headers(&self, target: &HeaderMap) -> HeaderMap;

    /// Reads a lookup, if the request is one.
    fn read_lookup(&self, parts: &request::Parts) -> Option<Lookup>;

    /// The body of a lookup's answer.
    fn lookup_response(&self, addresses: &[SocketAddr], lifetime: Duration) -> Bytes;

    /// Whether a request asks if the node is ready.
    fn is_readiness_check(&self, parts: &request::Parts) -> bool;
}

/// A failed call of the store.
#[derive(Debug, Display, Error, From)]
pub enum StoreError {
    /// No answer, or a broken one.
    #[display("no answer: {message}")]
    #[from(skip)]
    NoAnswer {
        /// What happened.
        message: CompactString,
    },
    /// The store refused the call.
    #[display("status {status}")]
    #[from(skip)]
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// The records that were asked for have been deleted.
    #[display("records are gone")]
    #[from(skip)]
    Gone,
    /// The answer is not in the store's format.
    #[display("{place}: {reason}")]
    #[from(skip)]
    Format {
        /// Where.
        place: CompactString,
        /// What is wrong.
        reason: CompactString,
    },
}

/// What the gateway reads from the store.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Feed {
    /// The configuration.
    #[display("configuration")]
    Configuration,
    /// The registry of targets.
    #[display("targets")]
    Targets,
    /// The gateway's own nodes.
    #[display("nodes")]
    Nodes,
}

/// What a node says of itself to those that start after it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedNode {
    /// Its address for peers.
    pub peer: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its processor in thousandths of a core: all nodes must agree on who has duties for others
    /// before they have heard of one another.
    pub cpu_milli: u32,
}

/// One record of a feed.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// A version of the configuration.
    Catalog(Box<Catalog>),
    /// A target's entry; none if it was removed.
    Target(TargetName, Option<TargetEntry>),
    /// A node of the gateway.
    Node(ListedNode),
    /// A record that cannot be read.
    Unreadable {
        /// Its key.
        key: CompactString,
        /// What is wrong, and where.
        reason: CompactString,
    },
    /// A record that means nothing to the gateway.
    Other,
}

/// Records and the position after them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Batch {
    /// The records.
    pub records: Vec<Record>,
    /// Where to read on.
    pub next: u64,
}

/// The store.
pub trait Store: Send + Sync + 'static {
    /// The newest record of each key.
    fn newest(
        &self,
        feed: Feed,
        limit: Duration,
    ) -> impl Future<Output = Result<Batch, StoreError>> + Send;

    /// The records from a position on; waits for one if there is none yet.
    fn read(
        &self,
        feed: Feed,
        from: u64,
        wait: Duration,
        limit: Duration,
    ) -> impl Future<Output = Result<Batch, StoreError>> + Send;

    /// Reads a configuration record that another node has passed on.
    fn catalog(&self, source: Bytes) -> Record;

    /// Puts this node on the list of nodes, or takes it off.
    fn announce(
        &self,
        node: &ListedNode,
        present: bool,
        limit: Duration,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;
}

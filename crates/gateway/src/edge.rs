//! Adapter interfaces of the gateway: the protocol of callers and targets, and the store.
//!
//! An implementation only translates names and formats. Decisions, timeouts and
//! retries belong to the gateway.

use bytes::Bytes;
use compact_str::CompactString;
use derive_more::{Display, Error, From};
use http::{HeaderMap, request, response};
use indexmap::IndexMap;
use rwd_placement::{PromptPart, RolloutOrder, StatusRecord, TargetEntry, Version};
use rwd_types::{
    PoolName, RateError, RegionName, RequestRate, StoreEra, TargetName, WorkspaceName, ZoneName,
};
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use crate::Catalog;

/// A request that cannot be parsed.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
#[display("{field}: {reason}")]
pub struct BadRequest {
    /// The invalid field.
    pub field: &'static str,
    /// Why the field is invalid.
    pub reason: CompactString,
}

/// The parsed head of a caller's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestHead {
    /// Request id that the caller chose for this attempt.
    pub id: CompactString,
    /// Milliseconds until the caller's deadline, if it set one.
    pub time_left_ms: Option<f64>,
    /// API key.
    pub key: Option<CompactString>,
    /// Id of the last event that the caller received of an interrupted stream.
    pub last_event: Option<u64>,
    /// The attempt that brought the first event of that stream, if the caller names it.
    pub resumes: Option<CompactString>,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Maximum length of the response, in tokens.
    pub max_output_tokens: u32,
    /// Whether the request carries token counts.
    pub counts_tokens: bool,
    /// The caller's estimate of the response length, in tokens.
    pub output_hint: Option<u32>,
    /// The parts of the prompt.
    pub parts: Vec<PromptPart>,
}

/// What the gateway sends to a target in addition to the caller's headers.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetRequestHead<'a> {
    /// The intended target.
    pub target: &'a TargetName,
    /// The workspace that the caller's key belongs to.
    pub workspace: Option<&'a WorkspaceName>,
    /// Milliseconds until the deadline.
    pub time_left_ms: f64,
    /// Id of the last event received, when a stream is resumed.
    pub last_event: Option<u64>,
}

/// The parsed head of a target's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TargetResponseHead {
    /// Id of the request that the response belongs to; several ids are separated by commas.
    pub id: Option<CompactString>,
    /// Whether the response carries the header with which a target confirms it.
    pub receipt: bool,
    /// Whether the target reports that it has not run the request.
    pub not_run: bool,
    /// Whether the response says that the request was meant for another target.
    pub misdirected: bool,
    /// The target that the response comes from, if it names it.
    pub instance: Option<CompactString>,
    /// Whether the body has a content encoding; targets never use one.
    pub encoded: bool,
    /// The requests per second that the target takes from all nodes together, if it limits them.
    pub limit: Option<Result<RequestRate, RateError>>,
    /// Whether the target leaves and wants no new request.
    pub leaving: bool,
    /// The refusals a second, for want of room, beyond which the target falls over.
    pub brittle: Option<f64>,
    /// For how long the target wants no other request from this node, in milliseconds.
    pub hold_ms: Option<f64>,
    /// Headers that were ignored because of their values.
    pub bad_headers: Vec<BadHeader>,
}

/// A header of a response whose value has no meaning.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[display("{name}: `{value}`")]
pub struct BadHeader {
    /// The header.
    pub name: CompactString,
    /// Its value, or its values separated by commas.
    pub value: CompactString,
}

/// The caller's location as given in a lookup.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Lookup {
    /// The caller's region.
    pub region: Option<RegionName>,
    /// The caller's availability zone.
    pub zone: Option<ZoneName>,
}

/// Translates the protocol of callers and targets.
pub trait Protocol: Send + Sync + 'static {
    /// Parses the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Names the missing or invalid field.
    fn read_request(&self, parts: &request::Parts) -> Result<RequestHead, BadRequest>;

    /// Builds the headers of the request to a target.
    fn target_headers(&self, caller: &HeaderMap, head: &TargetRequestHead) -> HeaderMap;

    /// Parses the head of a target's response.
    fn read_response(&self, parts: &response::Parts) -> TargetResponseHead;

    /// Builds the headers of the response to the caller.
    fn response_headers(&self, target: &HeaderMap) -> HeaderMap;

    /// Parses a lookup; `None` if the request is something else.
    fn read_lookup(&self, parts: &request::Parts) -> Option<Lookup>;

    /// Builds the body of a lookup response.
    fn lookup_response(&self, addresses: &[SocketAddr], lifetime: Duration) -> Bytes;

    /// Whether a request is a readiness check.
    fn is_readiness_check(&self, parts: &request::Parts) -> bool;
}

/// A failed call of the store.
#[derive(Debug, Display, Error, From)]
pub enum StoreError {
    /// No response, or a truncated one.
    #[display("no response: {message}")]
    #[from(skip)]
    NoResponse {
        /// The underlying error.
        message: CompactString,
    },
    /// The store refused the call.
    #[display("status {status}")]
    #[from(skip)]
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// The requested records have been deleted.
    #[display("requested records have been deleted")]
    #[from(skip)]
    Gone,
    /// The response is not in the store's format.
    #[display("{path}: {reason}")]
    #[from(skip)]
    Format {
        /// The API path, or the part of the request, that it concerns.
        path: CompactString,
        /// Why it cannot be parsed.
        reason: CompactString,
    },
}

/// A log that the gateway reads from the store.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Feed {
    /// The configuration.
    #[display("configuration")]
    Configuration,
    /// The registry of targets.
    #[display("targets")]
    Targets,
    /// The nodes of the gateway, the requests that they block, and the versions that have served.
    #[display("nodes")]
    Nodes,
    /// Streams that began while targets of several versions served.
    #[display("streams")]
    Streams,
    /// The states of roll-outs, written by the gateway.
    #[display("roll-outs")]
    Rollouts,
}

/// A node's entry in the list of nodes, from which starting nodes find the others.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedNode {
    /// Address for peer connections.
    pub peer: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// CPU share in thousandths of a core. Cluster-wide roles are assigned by it, and nodes must
    /// agree on them before their first gossip.
    pub cpu_milli: u32,
}

/// Requests that are blocked because they crash targets, as the store keeps them in case that all
/// nodes are lost.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StoredBlock {
    /// The parts of prompts that blocked requests have in common.
    pub set: Vec<u64>,
    /// The fingerprints that they have in common.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub requests: Vec<u64>,
    /// When the first of the crashes occurred that led to it, in Unix milliseconds.
    pub first_crash_ms: f64,
    /// When it began, in Unix milliseconds.
    pub since_ms: f64,
    /// How long it lasts, in milliseconds.
    pub lasts_ms: f64,
}

/// The versions that have served a pool, as the store keeps them in case that all nodes are lost.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StoredVersions {
    /// The pool.
    pub pool: PoolName,
    /// The versions.
    pub versions: Vec<StoredVersion>,
}

/// A version that has served a pool.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StoredVersion {
    /// The version.
    pub version: Version,
    /// When a target of it was last listed, in Unix milliseconds; none if one was when this was written.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub last_ms: Option<f64>,
}

/// Streams that have begun, as the store keeps them in case that all nodes are lost.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StoredStreams {
    /// When this was written, in Unix milliseconds.
    pub at_ms: f64,
    /// The keys of the streams by the version that began them.
    pub streams: IndexMap<Version, Vec<u64>>,
}

/// One record of a feed.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// A version of the configuration.
    Catalog(Box<Catalog>),
    /// A target's entry; `None` if it was removed.
    Target(TargetName, Option<TargetEntry>),
    /// A node of the gateway.
    Node(ListedNode),
    /// Requests that are blocked.
    Block(StoredBlock),
    /// The versions that have served a pool.
    Versions(StoredVersions),
    /// Streams that have begun.
    Streams(StoredStreams),
    /// An operator's order of a roll-out; `None` if it was withdrawn.
    Rollout(PoolName, Option<RolloutOrder>),
    /// An order of a roll-out that cannot be parsed; the one before holds.
    BadRollout {
        /// The record's key.
        key: CompactString,
        /// What is invalid, and where.
        reason: CompactString,
    },
    /// The state of a roll-out.
    RolloutStatus(PoolName, StatusRecord),
    /// A record that cannot be parsed.
    Unreadable {
        /// The record's key.
        key: CompactString,
        /// What is invalid, and where.
        reason: CompactString,
    },
    /// A record of a kind that the gateway ignores.
    Other,
}

/// A position in the log of a feed. A store that comes back from an older copy gives offsets out
/// again, so that an offset holds for one era only.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Position {
    /// The era.
    pub era: StoreEra,
    /// The number of records before it.
    pub offset: u64,
}

/// Consecutive records and the position after them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Batch {
    /// The records.
    pub records: Vec<Record>,
    /// Position of the next read. Its era is that of the response.
    pub next: Position,
}

/// Client of the platform's store.
pub trait Store: Send + Sync + 'static {
    /// Reads the newest record of each key.
    fn newest(
        &self,
        feed: Feed,
        timeout: Duration,
    ) -> impl Future<Output = Result<Batch, StoreError>> + Send;

    /// Reads records from a position on; waits up to `wait` if there are none yet.
    fn read(
        &self,
        feed: Feed,
        from: Position,
        wait: Duration,
        timeout: Duration,
    ) -> impl Future<Output = Result<Batch, StoreError>> + Send;

    /// Number of pieces of responses that have been received of a feed. While it grows, a call makes
    /// progress.
    fn received(&self, feed: Feed) -> u64;

    /// Parses a configuration record that was received from another node.
    fn catalog(&self, source: Bytes) -> Record;

    /// Adds this node to the list of nodes, or removes it if not `present`; returns the era in which
    /// that was done.
    fn announce(
        &self,
        node: &ListedNode,
        present: bool,
        timeout: Duration,
    ) -> impl Future<Output = Result<StoreEra, StoreError>> + Send;

    /// Adds a block to those that starting nodes read with the list of nodes.
    fn record_block(
        &self,
        block: &StoredBlock,
        timeout: Duration,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Adds the versions of a pool to those that starting nodes read with the list of nodes.
    fn record_versions(
        &self,
        versions: &StoredVersions,
        timeout: Duration,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Writes streams as record `slot` of the node at `peer`, in place of what it wrote there before.
    fn record_streams(
        &self,
        peer: SocketAddr,
        slot: u64,
        streams: &StoredStreams,
        timeout: Duration,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Writes the state of a pool's roll-out if the log of [`Feed::Rollouts`] still ends at `at`. Returns
    /// whether it did.
    fn record_rollout(
        &self,
        pool: &PoolName,
        status: &StatusRecord,
        at: Position,
        timeout: Duration,
    ) -> impl Future<Output = Result<bool, StoreError>> + Send;
}

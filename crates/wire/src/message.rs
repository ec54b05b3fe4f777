//! Messages exchanged between nodes.

use compact_str::CompactString;
use rwd_types::{
    BlockHash, Incarnation, InstanceName, LogOffset, Millis, PoolName, Problem, RegionName,
    RequestKey, Revision, StoreEra, TargetName, TierRank, Tokens, WorkspaceName, ZoneName,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Version of the protocol; nodes of different versions refuse to connect.
pub const VERSION: u16 = 11;
/// Length of a handshake nonce, in bytes.
pub const NONCE_BYTES: usize = 16;

/// The first message on a connection.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// [`VERSION`] of the sender.
    pub version: u16,
    /// The connecting node.
    pub from: InstanceName,
    /// Prevents replay of the handshake.
    pub nonce: [u8; NONCE_BYTES],
}

/// Failure detector state of a node, as in SWIM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Liveness {
    /// The node replies to probes.
    Alive,
    /// The node did not reply to a probe and may still refute the suspicion.
    Suspect,
    /// The node did not refute the suspicion in time.
    Failed,
}

/// A gossiped membership update about one node.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberUpdate {
    /// The node.
    pub name: InstanceName,
    /// The incarnation of the node.
    pub incarnation: Incarnation,
    /// Number of suspicions that the node has refuted in this incarnation.
    pub refutation: u32,
    /// The failure detector state.
    pub liveness: Liveness,
    /// Whether the node is leaving the cluster.
    pub leaving: bool,
    /// Address for callers.
    pub http: SocketAddr,
    /// Address for peers.
    pub peer: SocketAddr,
    /// The availability zone.
    pub zone: ZoneName,
    /// CPU share in thousandths of a core; zero if unknown.
    pub cpu_milli: u32,
}

/// Identifies a set of targets of one region and first pool that one node owns.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ShardId {
    /// The region of the targets.
    pub region: RegionName,
    /// The first pool of the targets.
    pub group: PoolName,
    /// The index of the shard in its group.
    pub index: u32,
}

/// Summary of a shard's queue, gossiped by its owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Digest {
    /// The shard.
    pub shard: ShardId,
    /// The node that owns the shard.
    pub owner: InstanceName,
    /// Increases with each digest of the owner.
    pub sequence: u64,
    /// The lowest-priority tier in the queue, if it is not empty.
    pub lowest: Option<TierRank>,
    /// Estimated tokens of all queued offers.
    pub queued: Tokens,
    /// Number of unused slots.
    pub free_slots: u32,
}

/// State that is piggybacked on every probe and its reply.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Gossip {
    /// The sender's own membership update.
    pub own: MemberUpdate,
    /// The active revision at the sender.
    pub revision: Revision,
    /// Membership updates about other nodes.
    pub updates: Vec<MemberUpdate>,
    /// Digests of shard queues.
    pub digests: Vec<Digest>,
}

/// Describes a request that waits for a slot at its home node, the node named in its key prefix.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Offer {
    /// The requested model or service.
    pub pool: PoolName,
    /// The shard to which the request is offered.
    pub shard: ShardId,
    /// Priority of the request's tier.
    pub tier: TierRank,
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Length of the prompt.
    pub prompt: Tokens,
    /// Estimated length of the response.
    pub output: Tokens,
    /// Chained hashes of the leading prompt blocks, to match prefix caches.
    pub blocks: Vec<BlockHash>,
    /// Time left until the deadline.
    pub time_left: Millis,
}

/// Identifies a grant at its owner.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct GrantId(pub u64);

/// Permission to send one request to a target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// The grant's id at its owner.
    pub id: GrantId,
    /// The target.
    pub target: TargetName,
    /// Address of the target.
    pub address: SocketAddr,
    /// The grant expires if the request is not dispatched within this time.
    pub lease: Millis,
    /// Token interval (inter-token latency) that the owner expects of the target.
    pub token_interval: Millis,
}

/// How a grant ended.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum GrantOutcome {
    /// Nothing was dispatched, for a reason unrelated to the target.
    #[default]
    Unused,
    /// Nothing was dispatched, because the target was unreachable.
    Unreachable,
    /// The response is complete.
    Whole,
    /// The home node abandoned the request while the target processed it.
    Abandoned,
    /// The target failed while it processed the request.
    TargetFailed,
}

/// Measurements of a granted request, from which the owner updates its estimates.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct GrantReport {
    /// How the grant ended.
    pub usage: GrantOutcome,
    /// Time from dispatch to the first token.
    pub first_token: Millis,
    /// Time from the first token to the last.
    pub decode: Millis,
    /// Tokens of the response.
    pub output: Tokens,
    /// Prompt tokens found in the target's cache, if the target reported them.
    pub cached: Option<Tokens>,
}

/// Reports a request in progress to the new owner of its target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Adopted {
    /// The offer for which the slot was granted.
    pub offer: Offer,
    /// The target that processes the request.
    pub target: TargetName,
}

/// A witness's verdict on a key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Verdict {
    /// The intent to dispatch is recorded; the request may be dispatched.
    Recorded,
    /// The key is closed and its request was never dispatched.
    Closed,
    /// The request may have been dispatched.
    MayHaveRun,
}

/// Head of a request that is forwarded to the home node of its key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ForwardHead {
    /// Request method.
    pub method: CompactString,
    /// Path and query.
    pub path: CompactString,
    /// Request headers.
    pub headers: Vec<(CompactString, CompactString)>,
}

/// Head of the response to a forwarded request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: u16,
    /// Response headers.
    pub headers: Vec<(CompactString, CompactString)>,
}

/// Position up to which a node has read the store's state from another node.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreCursor {
    /// The latest era of the store that the node knows.
    pub store_era: Option<StoreEra>,
    /// Newest version of the configuration that the node has or is receiving.
    pub catalog: Option<u64>,
    /// Random id of the process that numbered `change`.
    pub epoch: u64,
    /// Sequence number of the last change of targets received from that node.
    pub change: u64,
}

/// How a node gets the store's state.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum StoreAccess {
    /// It has no recent state, as after its start.
    #[default]
    Lacks,
    /// From another node.
    Follows,
    /// It reads the store.
    Reads,
    /// It reads the store, and its last calls failed or have got no reply yet.
    Fails,
}

/// Changes of the store's state that a reader relays to its followers.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StoreUpdate {
    /// How the sender gets the store's state.
    pub access: StoreAccess,
    /// The latest era of the store that the sender knows.
    pub store_era: Option<StoreEra>,
    /// Version of the sender's configuration; the receiver requests its source with
    /// [`Message::AskCatalog`].
    pub catalog: Option<u64>,
    /// Milliseconds since the configuration was last confirmed as the newest, if it ever was.
    pub catalog_age_ms: Option<f64>,
    /// Whether `targets` is the complete list.
    pub whole: bool,
    /// Changed entries; `None` for removed targets.
    pub targets: Vec<(TargetName, Option<rwd_placement::TargetEntry>)>,
    /// Milliseconds since the list of targets was last confirmed as the newest, if it ever was.
    pub targets_age_ms: Option<f64>,
    /// Milliseconds since when the list of targets has been confirmed again and again.
    pub targets_confirmed_ms: Option<f64>,
    /// Random id of the sender's process.
    pub epoch: u64,
    /// Sequence number of the last change of targets.
    pub change: u64,
    /// Milliseconds for which the sender held the request until it had an update.
    pub held_ms: f64,
    /// The newest order of a roll-out for each pool.
    pub orders: Vec<KnownOrder>,
    /// The versions that have served lately, unless the sender does not know all of them.
    pub served: Option<Vec<rwd_placement::ServedVersion>>,
}

/// An operator's order of a roll-out, as nodes relay it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct KnownOrder {
    /// The pool.
    pub pool: PoolName,
    /// The order.
    pub order: rwd_placement::RolloutOrder,
    /// Milliseconds since a node first saw it.
    pub age_ms: f64,
    /// Whether the operator has withdrawn it.
    pub withdrawn: bool,
    /// How it ended, if it has.
    pub end: Option<rwd_placement::Stage>,
    /// Orders that it replaced.
    pub past: Vec<rwd_placement::RolloutOrder>,
}

/// A slot that a scheduler granted to an offer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Placed {
    /// The target.
    pub target: TargetName,
    /// Address of the target.
    pub address: SocketAddr,
    /// Expected time to the first byte of the response, in milliseconds.
    pub first_ms: f64,
    /// Whether the target has responded to any request recently.
    pub proven: bool,
}

/// Maximum number of rooms in one [`Message::Rooms`].
pub const MAX_ROOM_ROWS: usize = 8;
/// Maximum number of workspaces in one [`ShardReport`].
pub const MAX_SHARE_ROWS: usize = 16;

/// The room of a shard, as a scheduler knows it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShardRoom {
    /// Hash of the shard's name.
    pub shard: u32,
    /// The room.
    pub room: rwd_placement::Room,
    /// Milliseconds since the scheduler of the shard took it.
    pub age_ms: u32,
}

/// What the scheduler of a shard tells the schedulers of the pool's other shards.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ShardReport {
    /// The shard.
    pub shard: PoolName,
    /// Its room.
    pub room: rwd_placement::Room,
    /// Milliseconds since the room was taken.
    pub age_ms: u32,
    /// Use of its slots by workspace, at most [`MAX_SHARE_ROWS`] rows.
    pub shares: Vec<rwd_placement::ShareUse>,
}

/// Units of a workspace that a node was granted by others than the coordinator asked, or refunded.
///
/// Both totals are monotonic, so messages may be lost, delayed or duplicated.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct QuotaTotals {
    /// The node's incarnation; the totals start at zero in each. Told apart, not ordered.
    pub life: Incarnation,
    /// Units granted by other coordinators or from the node's own share, since the node first asked
    /// this coordinator.
    pub spent_alone: f64,
    /// Units refunded because their requests did not run, since the node started.
    pub returned: f64,
}

/// A message between nodes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// Opens a connection.
    Hello(Hello),
    /// The accepting node's nonce and its proof of knowing the secret.
    Challenge {
        /// Prevents replay of the handshake.
        nonce: [u8; NONCE_BYTES],
        /// Authentication code over both nonces.
        proof: [u8; 32],
    },
    /// The connecting node's proof of knowing the secret.
    Proof {
        /// Authentication code over both nonces.
        proof: [u8; 32],
    },
    /// Completes the handshake.
    Welcome,
    /// A probe; the reply is [`Message::Ack`].
    Ping(Gossip),
    /// Requests an indirect probe, as in SWIM; the reply is [`Message::Ack`] if that succeeds.
    PingFor {
        /// The node to probe.
        target: InstanceName,
        /// The sender's gossip.
        gossip: Gossip,
    },
    /// The reply to a probe.
    Ack(Gossip),
    /// Requests the configuration if it is newer than `have`.
    Pull {
        /// The active revision at the sender.
        have: Revision,
    },
    /// A complete configuration: a snapshot record of the log, as JSON text.
    State {
        /// The record's text.
        json: String,
    },
    /// The accepted changes after the receiver's revision.
    Changes {
        /// The log position up to which the sender has read.
        position: LogOffset,
        /// The change records in order, as JSON text.
        changes: Vec<String>,
    },
    /// The sender has nothing newer.
    UpToDate,
    /// Offers a request; the stream stays open until the request ends.
    Offer(Box<Offer>),
    /// Grants a slot.
    Grant(Grant),
    /// Rejects the offer permanently.
    Refused(Problem),
    /// The receiver does not own the shard.
    NotOwner,
    /// Reports that the granted request progresses too slowly.
    Slow,
    /// Requests cancellation of the granted request in favor of higher-priority work.
    Cancel,
    /// Ends a grant and reports how the request went.
    Finished(GrantReport),
    /// Reports a request in progress to a new owner.
    Adopt(Box<Adopted>),
    /// Requests that the witness record the intent to dispatch.
    Record(RequestKey),
    /// Requests that the witness close a key whose home node is unreachable.
    Close(RequestKey),
    /// The witness's reply.
    Witnessed(Verdict),
    /// Opens a forwarded request.
    Forward(Box<ForwardHead>),
    /// Head of the response to a forwarded request.
    Head(ResponseHead),
    /// A chunk of a forwarded body.
    Data(Vec<u8>),
    /// The end of a forwarded body.
    End,
    /// Requests a slot; the stream stays open until the request ends.
    Place {
        /// The request.
        offer: Box<rwd_placement::Offer>,
        /// Age of the sender's list of targets, in milliseconds.
        list_age_ms: f64,
        /// Limits of targets that the receiver may not know.
        limits: Vec<rwd_placement::LimitNotice>,
    },
    /// The offer is queued.
    Queued,
    /// Grants a slot of a target.
    Placed(Placed),
    /// No slot was granted; the request has not run.
    Declined {
        /// Whether the pool has no target at all.
        no_target: bool,
        /// Time after which the caller may retry, in milliseconds.
        retry_after_ms: f64,
    },
    /// Reports the first byte of the target's response.
    Begun {
        /// Time to the first byte since the request was sent, in milliseconds.
        first_ms: f64,
        /// What the response says about the target's request limit.
        limit: rwd_placement::LimitReport,
    },
    /// Releases a slot.
    Release {
        /// How its use ended.
        outcome: rwd_placement::SlotOutcome,
        /// What the response says about the target's request limit.
        limit: rwd_placement::LimitReport,
    },
    /// Limits of targets that the receiver may not know; the reply is [`Message::UpToDate`].
    Limits(Vec<rwd_placement::LimitNotice>),
    /// Requests quota units from the workspace's quota coordinator.
    Demand {
        /// The workspace.
        workspace: WorkspaceName,
        /// Number of units.
        units: f64,
        /// The sender's totals for the workspace.
        totals: QuotaTotals,
    },
    /// Grants quota units.
    Leased {
        /// Number of units.
        units: f64,
        /// Whether they are within the quota rather than the tolerated excess.
        within: bool,
    },
    /// The quota is exhausted.
    Exhausted {
        /// Time until the demand can be met, in milliseconds.
        retry_after_ms: f64,
    },
    /// The receiver does not know the requested entity.
    Unknown,
    /// Requests updates of the store's state after the cursor; the reply is immediate if there are
    /// any, otherwise delayed (long polling).
    AskNews(StoreCursor),
    /// Updates of the store's state after the requested cursor.
    News(Box<StoreUpdate>),
    /// Asks how the receiver gets the store's state.
    AskAccess,
    /// How the sender gets the store's state.
    Access(StoreAccess),
    /// Requests a part of the source of a version of the configuration.
    AskCatalog {
        /// The version.
        version: u64,
        /// Index of the part.
        part: u32,
    },
    /// One part of the source of a version of the configuration.
    CatalogPart {
        /// Number of parts.
        count: u32,
        /// The part, compressed by itself in the zlib format.
        data: Vec<u8>,
    },
    /// News about requests that crash targets; the reply is the same message.
    Crashes {
        /// Hash of the blocks that the sender knows, its news included.
        digest: u64,
        /// What the receiver is to know, or nothing if blocks are only compared.
        news: Box<rwd_placement::CrashNews>,
    },
    /// Reports the room of a shard; the reply is [`Message::UpToDate`].
    ShardReport(Box<ShardReport>),
    /// Rooms of the shards of the offer's pool, at most [`MAX_ROOM_ROWS`]; precedes the reply to an
    /// offer.
    Rooms(Vec<ShardRoom>),
    /// Reports granted slots to the new scheduler of their shards; the reply is
    /// [`Message::UpToDate`], and the stream stays open until their requests have ended.
    HeldSlots(Vec<(u64, rwd_placement::HeldSlot)>),
    /// As [`Message::Begun`], for one of the reported slots.
    HeldBegun {
        /// The key of the slot in the report.
        key: u64,
        /// Time to the first byte since the request was sent, in milliseconds.
        first_ms: f64,
        /// What the response says about the target's request limit.
        limit: rwd_placement::LimitReport,
    },
    /// As [`Message::Release`], for one of the reported slots.
    HeldRelease {
        /// The key of the slot in the report.
        key: u64,
        /// How its use ended.
        outcome: rwd_placement::SlotOutcome,
        /// What the response says about the target's request limit.
        limit: rwd_placement::LimitReport,
    },
    /// What the scheduler of a shard has learned, for its successor; the reply is
    /// [`Message::UpToDate`].
    TargetReports {
        /// The shard.
        shard: PoolName,
        /// Some of its targets.
        targets: Vec<rwd_placement::TargetReport>,
    },
    /// Reports what a home node has seen of a roll-out; the reply is [`Message::RolloutGrant`].
    Rollout {
        /// The pool.
        pool: PoolName,
        /// The report.
        report: Box<rwd_placement::RolloutReport>,
    },
    /// What a home node may do in a roll-out.
    RolloutGrant(rwd_placement::RolloutGrant),
    /// Tells which versions began streams; the reply is [`Message::UpToDate`].
    Streams(Vec<(rwd_placement::StreamKey, rwd_placement::Origin)>),
    /// Asks which version began a stream; the reply is [`Message::StreamOrigin`].
    AskStream {
        /// The pool.
        pool: PoolName,
        /// The stream.
        key: rwd_placement::StreamKey,
    },
    /// What the sender knows of the stream and its pool.
    StreamOrigin(rwd_placement::OwnerReply),
    /// Requests a connection to a target; the reply is [`Message::Dialed`] or [`Message::NotDialed`]. After the
    /// former, [`Message::Data`] holds the bytes of the connection, both ways.
    Dial {
        /// The pool.
        pool: PoolName,
        /// The target.
        target: TargetName,
        /// Start time of its process.
        born: u64,
        /// Its address.
        address: SocketAddr,
    },
    /// The connection is established.
    Dialed,
    /// There is no connection.
    NotDialed(NotDialed),
    /// The target has ended the connection; the last message.
    DialEnded {
        /// Whether it closed it; otherwise the connection was reset.
        closed: bool,
    },
    /// What a target said on a connection of the receiver's; the reply is [`Message::UpToDate`].
    TargetSaid {
        /// The target.
        target: TargetName,
        /// Start time of its process.
        born: u64,
        /// Whether it leaves.
        leaving: bool,
        /// For how long it wants no request, in milliseconds.
        hold_ms: Option<f64>,
    },
}

/// Why a node has not connected to a target for another one.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub enum NotDialed {
    /// The node has no path to targets itself, carries too much, or is leaving: another one may.
    Unable,
    /// Nothing listens at the target's address.
    Refused,
    /// The target did not reply, though others do.
    Timeout,
    /// The node knows that the target leaves.
    Leaving,
    /// The target wants no request from that node.
    Held {
        /// For how long, in milliseconds.
        left_ms: f64,
    },
}

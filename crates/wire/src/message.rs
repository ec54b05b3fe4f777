//! What nodes say to one another.

use compact_str::CompactString;
use rwd_types::{
    BlockHash, Incarnation, InstanceName, LogOffset, Millis, PoolName, Problem, RegionName,
    RequestKey, Revision, TargetName, TierRank, Tokens, WorkspaceName, ZoneName,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The version of the messages; nodes of different versions do not talk.
pub const VERSION: u16 = 3;
/// Bytes of the random number in a handshake.
pub const NONCE_BYTES: usize = 16;

/// The first message on a connection.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// [`VERSION`] of the sender.
    pub version: u16,
    /// The sender.
    pub from: InstanceName,
    /// Makes the handshake unrepeatable.
    pub nonce: [u8; NONCE_BYTES],
}

/// What a node believes of another.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Liveness {
    /// It answers.
    Alive,
    /// It did not answer lately and may still refute that.
    Suspect,
    /// It did not refute in time.
    Failed,
}

/// One piece of membership news.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberUpdate {
    /// The node it is about.
    pub name: InstanceName,
    /// The life of that node.
    pub incarnation: Incarnation,
    /// Counts the node's own refutations in that life.
    pub refutation: u32,
    /// What is believed.
    pub liveness: Liveness,
    /// Whether the node is on its way out.
    pub leaving: bool,
    /// Where callers reach it.
    pub http: SocketAddr,
    /// Where peers reach it.
    pub peer: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its share of a core, in thousandths; zero if that is not known.
    pub cpu_milli: u32,
}

/// A group of targets in one region whose first pool is the same, with one owner.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ShardId {
    /// The region of the targets.
    pub region: RegionName,
    /// The first pool of the targets.
    pub group: PoolName,
    /// The number of the shard in its group.
    pub index: u32,
}

/// How much work of which tier waits for one shard.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Digest {
    /// The shard.
    pub shard: ShardId,
    /// The node that owns the shard.
    pub owner: InstanceName,
    /// Orders the digests of one owner.
    pub sequence: u64,
    /// The least valuable tier that waits, if any does.
    pub lowest: Option<TierRank>,
    /// The estimate of all waiting work.
    pub queued: Tokens,
    /// Slots without work.
    pub free_slots: u32,
}

/// What rides on every heartbeat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Gossip {
    /// The sender's view of itself.
    pub own: MemberUpdate,
    /// The revision in force at the sender.
    pub revision: Revision,
    /// Membership news.
    pub updates: Vec<MemberUpdate>,
    /// Queue digests.
    pub digests: Vec<Digest>,
}

/// Describes a request that waits at its home.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Offer {
    /// The model or service.
    pub pool: PoolName,
    /// The shard to which the request is offered.
    pub shard: ShardId,
    /// The tier.
    pub tier: TierRank,
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Length of the prompt.
    pub prompt: Tokens,
    /// Estimated length of the answer.
    pub output: Tokens,
    /// Chained hashes of the first blocks of the prompt.
    pub blocks: Vec<BlockHash>,
    /// Time left until the deadline.
    pub time_left: Millis,
}

/// Numbers the grants of one owner.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct GrantId(pub u64);

/// The right to use one slot of a target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// Identifies the grant at its owner.
    pub id: GrantId,
    /// The target.
    pub target: TargetName,
    /// Where the target listens.
    pub address: SocketAddr,
    /// The grant is void if the request is not dispatched within this time.
    pub lease: Millis,
    /// The time between two tokens that the owner expects of the target.
    pub token_interval: Millis,
}

/// How a granted slot was left.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum GrantOutcome {
    /// Nothing was dispatched, for a reason that says nothing about the target.
    #[default]
    Unused,
    /// The target could not be reached, so nothing was dispatched.
    Unreachable,
    /// The whole answer came.
    Whole,
    /// The home gave the request up while the target worked on it.
    Abandoned,
    /// The target failed while it worked on the request.
    TargetFailed,
}

/// How a granted request went, for the owner's estimates.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct GrantReport {
    /// How the slot was left.
    pub usage: GrantOutcome,
    /// Time from dispatch to the first token.
    pub first_token: Millis,
    /// Time from the first token to the last.
    pub decode: Millis,
    /// Tokens of the answer.
    pub output: Tokens,
    /// Prompt tokens that the target had in its cache, if it said so.
    pub cached: Option<Tokens>,
}

/// A request in progress whose target has a new owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Adopted {
    /// The descriptor with which the request was granted.
    pub offer: Offer,
    /// The target that works on it.
    pub target: TargetName,
}

/// What a witness says about a key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Verdict {
    /// The intent to dispatch is recorded; it may run from now on.
    Recorded,
    /// The key is closed and never ran.
    Closed,
    /// The key may have run.
    MayHaveRun,
}

/// A call that is passed on to the home of its key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ForwardHead {
    /// Request method.
    pub method: CompactString,
    /// Path and query.
    pub path: CompactString,
    /// Request headers.
    pub headers: Vec<(CompactString, CompactString)>,
}

/// Status and headers of a forwarded call's answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: u16,
    /// Response headers.
    pub headers: Vec<(CompactString, CompactString)>,
}

/// What a node knows of the store already.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreCursor {
    /// The version of the configuration.
    pub catalog: Option<u64>,
    /// The life of the node whose changes it has followed.
    pub epoch: u64,
    /// The last change of the targets that it has from that node.
    pub change: u64,
}

/// What a node that reads the store passes on.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StoreUpdate {
    /// The newest configuration record, if the receiver lacks it.
    pub catalog: Option<Vec<u8>>,
    /// Milliseconds since the configuration was known to be the newest; none if it never was.
    pub catalog_age_ms: Option<f64>,
    /// Whether `targets` is the whole list.
    pub whole: bool,
    /// Changed entries; none for a target that was removed.
    pub targets: Vec<(TargetName, Option<rwd_placement::TargetEntry>)>,
    /// Milliseconds since the list of targets was known to be the newest; none if it never was.
    pub targets_age_ms: Option<f64>,
    /// The life of the sender.
    pub epoch: u64,
    /// The last change of the targets.
    pub change: u64,
    /// Milliseconds for which the sender held the question until it had this answer.
    pub held_ms: f64,
}

/// A slot that a scheduler found for an offer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Placed {
    /// The target.
    pub target: TargetName,
    /// Where the target listens.
    pub address: SocketAddr,
    /// Expected milliseconds to the first byte of the answer.
    pub first_ms: f64,
    /// Whether the target has answered anything lately.
    pub proven: bool,
}

/// What a node has done with a workspace's units since it started, beside using its leases.
///
/// Both sums only grow, so a message may be lost, late, or come twice.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct QuotaTotals {
    /// The node's life, in which the sums began at zero.
    pub life: Incarnation,
    /// Units of its own share, used because the banker did not answer.
    pub spent_alone: f64,
    /// Units taken for requests that did not run.
    pub returned: f64,
}

/// Everything that one node says to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// Opens a connection.
    Hello(Hello),
    /// The acceptor's nonce and its proof that it knows the secret.
    Challenge {
        /// Makes the handshake unrepeatable.
        nonce: [u8; NONCE_BYTES],
        /// Code over both nonces.
        proof: [u8; 32],
    },
    /// The connector's proof that it knows the secret.
    Proof {
        /// Code over both nonces.
        proof: [u8; 32],
    },
    /// The connection may be used.
    Welcome,
    /// A heartbeat; answered with [`Message::Ack`].
    Ping(Gossip),
    /// Asks for a heartbeat to a third node; answered with [`Message::Ack`] if that answers.
    PingFor {
        /// The node to probe.
        target: InstanceName,
        /// The sender's news.
        gossip: Gossip,
    },
    /// The answer to a heartbeat.
    Ack(Gossip),
    /// Asks for the configuration if it is newer than `have`.
    Pull {
        /// The revision in force at the sender.
        have: Revision,
    },
    /// A whole configuration: a snapshot record of the log, as JSON text.
    State {
        /// The record's text.
        json: String,
    },
    /// The accepted changes after the receiver's revision.
    Changes {
        /// The log position that the sender has read up to.
        position: LogOffset,
        /// The change records in order, as JSON text.
        changes: Vec<String>,
    },
    /// The sender has nothing newer.
    UpToDate,
    /// Offers a request; the stream stays open for the life of the request.
    Offer(Box<Offer>),
    /// Grants a slot.
    Grant(Grant),
    /// Refuses the offer for good.
    Refused(Problem),
    /// The receiver does not own the shard.
    NotOwner,
    /// The granted request has been slow to progress.
    Slow,
    /// Asks the home to cancel the granted request for more valuable work.
    Cancel,
    /// Ends a grant.
    Finished(GrantReport),
    /// Reports a request in progress to a new owner.
    Adopt(Box<Adopted>),
    /// Asks the witness to record the intent to dispatch.
    Record(RequestKey),
    /// Asks the witness to close a key whose home cannot be reached.
    Close(RequestKey),
    /// The witness's answer.
    Witnessed(Verdict),
    /// Opens a forwarded call.
    Forward(Box<ForwardHead>),
    /// Status and headers of a forwarded call.
    Head(ResponseHead),
    /// A part of a forwarded body.
    Data(Vec<u8>),
    /// The end of a forwarded body.
    End,
    /// Asks for a slot; the stream stays open for the life of the request.
    Place {
        /// The request.
        offer: Box<rwd_placement::Offer>,
        /// Age of the sender's list of targets, in milliseconds.
        list_age_ms: f64,
    },
    /// The offer waits for a slot.
    Queued,
    /// A slot of a target.
    Placed(Placed),
    /// No slot; the request has not run.
    Declined {
        /// Whether the pool has no target at all.
        no_target: bool,
        /// When the caller may come back, in milliseconds.
        retry_after_ms: f64,
    },
    /// The target has begun to answer, so many milliseconds after the request was sent.
    Begun {
        /// The time to the first byte, in milliseconds.
        first_ms: f64,
    },
    /// Gives a slot back.
    Release(rwd_placement::SlotOutcome),
    /// Asks the workspace's banker for quota units.
    Demand {
        /// The workspace.
        workspace: WorkspaceName,
        /// How many.
        units: f64,
        /// What else the sender has done with the workspace's units.
        totals: QuotaTotals,
    },
    /// Units that may be used now.
    Leased {
        /// How many.
        units: f64,
        /// Whether they are within the quota, not only tolerated.
        within: bool,
    },
    /// The quota is used up.
    Exhausted {
        /// When the demand can be met, in milliseconds.
        retry_after_ms: f64,
    },
    /// The receiver does not know what was asked for.
    Unknown,
    /// Asks for what the receiver knows of the store; answered at once if that is newer than what
    /// the sender has, otherwise after a while.
    AskNews(StoreCursor),
    /// What the sender knows of the store beyond what was asked with.
    News(Box<StoreUpdate>),
}

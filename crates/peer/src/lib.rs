//! Links between nodes and the membership protocol that runs on them.
//!
//! A link is one HTTP/2 connection; every exchange between two nodes is one
//! stream on it. Membership follows SWIM (Das, Gupta, Motivala, DSN 2002): each
//! node probes one other node per period, and updates are piggybacked on the
//! probes, so the cost per node does not grow with the number of nodes.

mod byte_counter;
mod detector;
mod directory;
mod exchange;
mod handshake;
mod keep_alive;
mod link;
mod membership;
mod probe_order;
mod rendezvous;
mod server;

pub use crate::byte_counter::{ByteCounter, CountedStream};
pub use crate::detector::{Detector, Event, MAX_CHAINED_PROBES, MassLoss, Step};
pub use crate::directory::{Directory, ListedInstance, View, new_incarnation};
pub use crate::exchange::{Exchange, ExchangeReceiver, ExchangeSender};
pub use crate::keep_alive::KeepAlive;
pub use crate::link::{LinkSettings, Links};
pub use crate::membership::{
    INDIRECT_PROBES, Membership, MembershipSettings, NEWS_PERIOD, REFUTATION_PROBES,
};
pub use crate::probe_order::ProbeOrder;
pub use crate::rendezvous::{first_by_cpu, rank, rank_by_cpu, score};
pub use crate::server::{Handler, serve};

use derive_more::{Display, Error, From};
use rwd_types::InstanceName;

/// A failed exchange with a peer.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The connection could not be opened, or failed.
    #[display("connection failed: {_0}")]
    Io(std::io::Error),
    /// HTTP/2 failed on the connection.
    #[display("stream failed: {_0}")]
    Stream(h2::Error),
    /// The peer sent bytes that are not a valid message.
    #[display("bad frame: {_0}")]
    Frame(rwd_wire::Error),
    /// The peer did not respond in time.
    #[display("peer timed out")]
    #[from(skip)]
    Timeout,
    /// The peer ended the stream before its reply.
    #[display("peer ended the exchange early")]
    #[from(skip)]
    Ended,
    /// The peer sent a message that the protocol does not allow at this point.
    #[display("peer sent an unexpected message")]
    #[from(skip)]
    Unexpected,
    /// The peer does not know the shared secret or has another protocol version.
    #[display("peer failed the handshake")]
    #[from(skip)]
    Handshake,
    /// The directory has no node of this name.
    #[display("unknown instance {name}")]
    #[from(skip)]
    UnknownInstance {
        /// The name that was looked up.
        name: InstanceName,
    },
}

impl Error {
    /// Whether the peer has withdrawn the exchange on purpose, rather than been lost.
    pub fn is_withdrawn(&self) -> bool {
        let cancelled = Some(h2::Reason::CANCEL);
        matches!(self, Self::Stream(e) if e.is_reset() && e.is_remote() && e.reason() == cancelled)
    }

    /// Whether the peer's address refused the connection, so that its process has ended.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Io(e) if e.kind() == std::io::ErrorKind::ConnectionRefused)
    }
}

/// The result of an exchange with a peer.
pub type Result<T> = std::result::Result<T, Error>;

//! Links between nodes and the membership that is built on them.
//!
//! A link is one HTTP/2 connection; every exchange between two nodes is one
//! stream on it. Membership follows SWIM (Das, Gupta, Motivala, DSN 2002): each
//! node probes one other node per period, and news rides on the probes, so the
//! cost per node does not grow with their number.

mod bytes_count;
mod directory;
mod exchange;
mod handshake;
mod keep_alive;
mod link;
mod membership;
mod rendezvous;
mod server;

pub use crate::bytes_count::{ByteCounter, Counted};
pub use crate::directory::{Directory, ListedInstance, View, new_incarnation};
pub use crate::exchange::Exchange;
pub use crate::keep_alive::KeepAlive;
pub use crate::link::{LinkSettings, Links};
pub use crate::membership::{Membership, MembershipSettings};
pub use crate::rendezvous::{first_by_cpu, rank, rank_by_cpu, score};
pub use crate::server::{Handler, serve};

use derive_more::{Display, Error, From};
use rwd_types::InstanceName;

/// A failed exchange with a peer.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The connection could not be opened, or broke.
    #[display("connection failed: {_0}")]
    Io(std::io::Error),
    /// HTTP/2 failed on the connection.
    #[display("stream failed: {_0}")]
    Stream(h2::Error),
    /// The peer sent bytes that are no message.
    #[display("bad frame: {_0}")]
    Frame(rwd_wire::Error),
    /// The peer took too long.
    #[display("peer timed out")]
    #[from(skip)]
    Timeout,
    /// The peer ended the stream before its answer.
    #[display("peer ended the exchange early")]
    #[from(skip)]
    Ended,
    /// The peer sent a message that does not belong there.
    #[display("peer sent an unexpected message")]
    #[from(skip)]
    Unexpected,
    /// The peer does not know the shared secret or speaks another version.
    #[display("peer failed the handshake")]
    #[from(skip)]
    Handshake,
    /// No such node is known.
    #[display("unknown instance {name}")]
    #[from(skip)]
    UnknownInstance {
        /// The name that was looked up.
        name: InstanceName,
    },
}

impl Error {
    /// Whether nothing listens at the peer's address, so that its process is gone.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Io(e) if e.kind() == std::io::ErrorKind::ConnectionRefused)
    }
}

/// The result of an exchange with a peer.
pub type Result<T> = std::result::Result<T, Error>;

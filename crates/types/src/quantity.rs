//! Counts, sizes, rates and positions, each with its unit in its type.

use derive_more::{Display, From, FromStr, Into};
use serde::{Deserialize, Serialize};
use std::time::Duration;

macro_rules! quantities {
    ($($(#[$doc:meta])* $name:ident($inner:ty, $format:literal),)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Display, Eq, From, FromStr, Hash, Into, Ord, PartialEq,
            PartialOrd, Serialize, Deserialize,
        )]
        #[display($format, _0)]
        #[serde(transparent)]
        pub struct $name(pub $inner);
    )*};
}

quantities! {
    /// A number of tokens.
    Tokens(u64, "{}"),
    /// Tokens per second.
    TokenRate(u64, "{}"),
    /// A size in bytes.
    ByteSize(u64, "{}"),
    /// A duration in milliseconds.
    Millis(u64, "{}"),
    /// The number of a configuration; it never goes down.
    Revision(u64, "{}"),
    /// A position in a stream of the platform's log.
    LogOffset(u64, "{}"),
    /// Distinguishes the lives of one instance name; a later life has the higher number.
    Incarnation(u64, "{}"),
    /// Numbers the key prefixes that one node has issued.
    SessionId(u64, "{}"),
    /// The place of a tier in the order of value; 0 is the most valuable.
    TierRank(u8, "{}"),
    /// The chained hash of one block of a prompt and all blocks before it.
    BlockHash(u64, "{:016x}"),
}

impl Millis {
    /// The same length of time as a [`Duration`].
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl From<Duration> for Millis {
    fn from(d: Duration) -> Self {
        Self(u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
    }
}

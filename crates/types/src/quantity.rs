//! Newtypes for counts, sizes, rates and positions that carry the unit.

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
    /// The revision of a configuration; it never decreases.
    Revision(u64, "{}"),
    /// An offset in a stream of the platform's log.
    LogOffset(u64, "{}"),
    /// Identifies a process among those that ran under one instance name; later ones are higher.
    Incarnation(u64, "{}"),
    /// Identifies a key prefix among those of one home node.
    SessionId(u64, "{}"),
    /// Priority of a tier; 0 is the highest.
    TierRank(u8, "{}"),
    /// The chained hash of a prompt block and all blocks before it.
    BlockHash(u64, "{:016x}"),
}

impl Millis {
    /// Converts to a [`Duration`].
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl From<Duration> for Millis {
    fn from(d: Duration) -> Self {
        Self(u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
    }
}

//! Newtypes for counts, sizes, rates and positions that carry the unit.

use compact_str::{CompactString, ToCompactString};
use derive_more::{Display, Error, From, FromStr, Into};
use serde::{Deserialize, Serialize};
use std::str::FromStr;
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
    /// Number of times that the platform's store has come back from an older copy.
    StoreEra(u64, "{}"),
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

/// A rate of requests per second: a finite number, not negative.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, PartialOrd, Serialize, Deserialize)]
#[display("{_0}")]
#[serde(transparent)]
pub struct RequestRate(f64);

/// A text or number that is not a rate.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[display("`{text}` is not a rate")]
pub struct RateError {
    /// The invalid value.
    pub text: CompactString,
}

impl RequestRate {
    /// Creates a rate from requests per second.
    ///
    /// # Errors
    ///
    /// Fails for numbers that are negative, infinite or not a number.
    pub fn new(per_s: f64) -> Result<Self, RateError> {
        match per_s.is_finite() && per_s >= 0.0 {
            true => Ok(Self(per_s)),
            false => Err(RateError {
                text: per_s.to_compact_string(),
            }),
        }
    }

    /// Requests per second.
    pub const fn per_s(self) -> f64 {
        self.0
    }
}

impl FromStr for RequestRate {
    type Err = RateError;

    fn from_str(text: &str) -> Result<Self, RateError> {
        let error = || RateError { text: text.into() };
        let per_s = text.trim().parse().map_err(|_| error())?;
        Self::new(per_s).map_err(|_| error())
    }
}

//! Identifiers, quantities and the errors that callers see.
//!
//! All crates use these newtypes, so that the compiler rejects an instance name
//! in place of a target name, or a token count in place of a byte count.

mod key;
mod name;
mod outcome;
mod quantity;

pub use crate::key::{KeyError, KeyPrefix, RequestKey, Secret};
pub use crate::name::{
    ClassName, InstanceName, NameError, PoolName, PresetName, RegionName, TargetName, TierName,
    WorkspaceName, ZoneName,
};
pub use crate::outcome::{Executed, Problem, ProblemKind};
pub use crate::quantity::{
    BlockHash, ByteSize, Incarnation, LogOffset, Millis, RateError, RequestRate, Revision,
    SessionId, StoreEra, TierRank, TokenRate, Tokens,
};

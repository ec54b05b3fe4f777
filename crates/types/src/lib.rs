//! Identifiers, quantities and the caller-visible outcome of a request.
//!
//! Every other crate speaks in these types, so that an instance name can never
//! be passed where a target name is meant and a token count never where a byte
//! count is.

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
    BlockHash, ByteSize, Incarnation, LogOffset, Millis, Revision, SessionId, TierRank, TokenRate,
    Tokens,
};

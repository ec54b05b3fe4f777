//! Validated names of entities that operators configure.

use compact_str::CompactString;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use std::str::FromStr;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Error of parsing a name.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
pub enum NameError {
    /// The text is empty.
    #[display("a name must not be empty")]
    Empty,
    /// The text is longer than [`MAX_NAME_BYTES`].
    #[display("a name has at most {MAX_NAME_BYTES} bytes")]
    TooLong,
    /// The text contains a character outside `[A-Za-z0-9_-]`.
    #[display("a name may hold only letters, digits, `-` and `_`")]
    BadCharacter,
}

type Result<T> = std::result::Result<T, NameError>;

fn validate(s: &str) -> Result<()> {
    match s {
        "" => Err(NameError::Empty),
        s if s.len() > MAX_NAME_BYTES => Err(NameError::TooLong),
        s if s
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_') =>
        {
            Ok(())
        }
        _ => Err(NameError::BadCharacter),
    }
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident,)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
        )]
        #[serde(try_from = "CompactString")]
        pub struct $name(CompactString);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(s: &str) -> Result<Self> {
                validate(s)?;
                Ok(Self(s.into()))
            }
        }

        impl TryFrom<CompactString> for $name {
            type Error = NameError;

            fn try_from(s: CompactString) -> Result<Self> {
                validate(&s)?;
                Ok(Self(s))
            }
        }
    )*};
}

names! {
    /// An instance that runs a node.
    InstanceName,
    /// An availability zone.
    ZoneName,
    /// A region, which groups availability zones.
    RegionName,
    /// A workspace, which is one customer of the operators.
    WorkspaceName,
    /// A priority tier.
    TierName,
    /// A model or a service: the set of targets that can handle a request.
    PoolName,
    /// A model engine or an instance of a service.
    TargetName,
    /// A hardware class of targets.
    ClassName,
}

/// Name of a preset; exactly one preset is active.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum PresetName {
    /// Normal operation.
    #[default]
    #[display("ordinary")]
    Ordinary,
    /// Load peaks, such as the end of a month.
    #[display("peak")]
    Peak,
    /// Target maintenance.
    #[display("maintenance")]
    Maintenance,
}

/// Error of parsing a [`PresetName`].
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
#[display("unknown preset `{name}`: expected ordinary, peak or maintenance")]
pub struct UnknownPreset {
    name: CompactString,
}

impl FromStr for PresetName {
    type Err = UnknownPreset;

    fn from_str(s: &str) -> std::result::Result<Self, UnknownPreset> {
        match s {
            "ordinary" => Ok(Self::Ordinary),
            "peak" => Ok(Self::Peak),
            "maintenance" => Ok(Self::Maintenance),
            _ => Err(UnknownPreset { name: s.into() }),
        }
    }
}

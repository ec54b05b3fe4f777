//! Records of the configuration stream in the log.

use compact_str::CompactString;
use derive_more::Display;
use rwd_types::{LogOffset, Revision};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::Result;

/// Chosen by the publisher; finds a change in the log when the response to its append was lost.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[serde(transparent)]
pub struct PublishId(pub CompactString);

/// A configuration change proposed by an operator.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Change {
    /// Identifies this publication.
    pub id: PublishId,
    /// The revision that the change is based on.
    pub base: Revision,
    /// Who published it.
    pub by: CompactString,
    /// RFC 6902 patch of the configuration.
    pub patch: Value,
}

/// A complete configuration and the log position up to which it includes all changes.
///
/// Whether a change is accepted depends on the configuration active just before
/// it, so a reader that started from a configuration without its position could
/// accept other changes than its peers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Snapshot {
    /// Its revision.
    pub revision: Revision,
    /// The configuration.
    pub config: Value,
    /// Every record before this position has been applied.
    pub position: LogOffset,
    /// The most recently accepted changes and the revisions they created.
    #[serde(default)]
    pub accepted: Vec<(PublishId, Revision)>,
}

/// A record of the configuration stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum Record {
    /// A change.
    Change(Change),
    /// A snapshot, which allows older records to be dropped.
    Snapshot(Snapshot),
}

impl Record {
    /// Parses a record.
    ///
    /// # Errors
    ///
    /// Fails if `text` is not exactly one record.
    pub fn from_json(text: &str) -> Result<Self> {
        Ok(serde_json::from_str(text)?)
    }

    /// Encodes the record.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_else(|_| unreachable!("maps have text keys"))
    }
}

//! What stands in the configuration stream of the log.

use compact_str::CompactString;
use derive_more::Display;
use rwd_types::{LogOffset, Revision};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::Result;

/// Chosen by the publisher; finds a change again when the log's answer was lost.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[serde(transparent)]
pub struct PublishId(pub CompactString);

/// A change that operators want.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Change {
    /// Identifies this publication.
    pub id: PublishId,
    /// The revision that the change was made on.
    pub base: Revision,
    /// Who published it.
    pub by: CompactString,
    /// An RFC 6902 patch of the configuration.
    pub patch: Value,
}

/// A whole configuration and the log position that it accounts for.
///
/// The verdict on a record depends on the configuration in force just before it,
/// so a configuration without its position could lead a reader to other verdicts
/// than those of its peers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Snapshot {
    /// Its revision.
    pub revision: Revision,
    /// The configuration.
    pub config: Value,
    /// Every record before this position has been judged.
    pub position: LogOffset,
    /// The changes that were accepted last, and the revisions they led to.
    #[serde(default)]
    pub accepted: Vec<(PublishId, Revision)>,
}

/// One record.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum Record {
    /// A change.
    Change(Change),
    /// A snapshot, so that older records may go.
    Snapshot(Snapshot),
}

impl Record {
    /// Reads a record's text.
    ///
    /// # Errors
    ///
    /// Any text that is not one record.
    pub fn from_json(text: &str) -> Result<Self> {
        Ok(serde_json::from_str(text)?)
    }

    /// The record's text.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_else(|_| unreachable!("maps have text keys"))
    }
}

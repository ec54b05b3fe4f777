//! What workspaces ask of a shard and get, as schedulers report it to each other.

use rwd_types::WorkspaceName;
use serde::{Deserialize, Serialize};

/// One workspace's recent use of the slots of a shard.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ShareUse {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Slot time that it asked for, in milliseconds per second.
    pub asked_ms_per_s: f64,
    /// Slot time that it was given, in milliseconds per second.
    pub given_ms_per_s: f64,
}

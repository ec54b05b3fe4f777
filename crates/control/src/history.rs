//! Applies the changes of the log in order and holds the resulting configuration.
//!
//! The first valid change based on the active revision is accepted; every other
//! one is rejected. The active revision never decreases.

use compact_str::{CompactString, ToCompactString};
use indexmap::IndexMap;
use rwd_config::Configuration;
use rwd_types::{LogOffset, Revision};
use serde_json::Value;
use std::collections::VecDeque;
use std::sync::Arc;

use crate::{Change, PublishId, Result, Snapshot};

/// Accepted changes kept for peers that lag behind, and listed in a snapshot.
const MAX_RECENT_CHANGES: usize = 256;
/// Outcomes kept for publishers that retry.
const MAX_OUTCOMES: usize = 1024;

/// Outcome of a change.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeOutcome {
    /// The change is part of this revision and all later ones.
    Accepted(Revision),
    /// The change is not based on the active revision.
    Conflict {
        /// The revision that was active when the change was applied.
        in_force: Revision,
        /// Publisher of the last accepted change.
        winner: CompactString,
    },
    /// The change results in an invalid configuration.
    Invalid(rwd_config::Error),
}

/// The active configuration and the recent changes that led to it.
#[derive(Clone, Debug)]
pub struct History {
    revision: Revision,
    value: Value,
    cfg: Arc<Configuration>,
    last_publisher: CompactString,
    // The changes that led to the active revision, oldest first.
    recent: VecDeque<Change>,
    outcomes: IndexMap<PublishId, ChangeOutcome>,
}

impl Default for History {
    fn default() -> Self {
        Self {
            revision: Revision(0),
            value: Value::Object(serde_json::Map::new()),
            cfg: Arc::default(),
            last_publisher: "nobody".into(),
            recent: VecDeque::new(),
            outcomes: IndexMap::new(),
        }
    }
}

impl History {
    /// The active revision.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The active configuration as JSON.
    pub fn value(&self) -> &Value {
        &self.value
    }

    /// The active configuration.
    pub fn config(&self) -> &Arc<Configuration> {
        &self.cfg
    }

    /// Publisher of the last accepted change.
    pub fn last_publisher(&self) -> &str {
        &self.last_publisher
    }

    /// Outcome of a change, if it is among the recent ones.
    pub fn outcome(&self, id: &PublishId) -> Option<&ChangeOutcome> {
        self.outcomes.get(id)
    }

    /// Accepts or rejects the next change of the log.
    ///
    /// If a record was appended twice, only its first copy counts.
    pub fn process(&mut self, change: &Change) {
        if self.outcomes.contains_key(&change.id) {
            return;
        }
        let outcome = match change.base == self.revision {
            true => self.apply(change),
            false => ChangeOutcome::Conflict {
                in_force: self.revision,
                winner: self.last_publisher.clone(),
            },
        };
        self.record_outcome(change.id.clone(), outcome);
    }

    fn record_outcome(&mut self, id: PublishId, outcome: ChangeOutcome) {
        if self.outcomes.len() >= MAX_OUTCOMES {
            self.outcomes.shift_remove_index(0);
        }
        self.outcomes.insert(id, outcome);
    }

    fn apply(&mut self, change: &Change) -> ChangeOutcome {
        let next = match serde_json::from_value(change.patch.clone()) {
            Ok(patch) => Configuration::patched(self.revision, &self.value, &patch),
            Err(e) => {
                let message = e.to_compact_string();
                let kind = rwd_config::ErrorKind::Json { message };
                Err(rwd_config::Error::new("patch", kind))
            }
        };
        match next {
            Ok((value, cfg)) => {
                self.revision = Revision(self.revision.0 + 1);
                self.value = value;
                self.cfg = Arc::new(cfg);
                self.last_publisher = change.by.clone();
                self.recent.push_back(change.clone());
                if self.recent.len() > MAX_RECENT_CHANGES {
                    self.recent.pop_front();
                }
                ChangeOutcome::Accepted(self.revision)
            }
            Err(e) => ChangeOutcome::Invalid(e),
        }
    }

    /// Replaces the state by a snapshot from the log or a peer, if the snapshot is newer.
    ///
    /// # Errors
    ///
    /// Fails if the snapshot's configuration is invalid; the state is then unchanged.
    pub fn install_snapshot(&mut self, snapshot: &Snapshot) -> Result<bool> {
        if snapshot.revision <= self.revision {
            return Ok(false);
        }
        let cfg = Configuration::from_value(&snapshot.config)?;
        self.revision = snapshot.revision;
        self.value = snapshot.config.clone();
        self.cfg = Arc::new(cfg);
        self.recent.clear();
        // Changes rejected against an older configuration have to be applied again.
        self.outcomes
            .retain(|_, v| matches!(v, ChangeOutcome::Accepted(_)));
        for (id, revision) in &snapshot.accepted {
            self.record_outcome(id.clone(), ChangeOutcome::Accepted(*revision));
        }
        Ok(true)
    }

    /// Applies changes that a peer has accepted, skipping those already applied.
    ///
    /// # Errors
    ///
    /// Fails at the first change that does not apply; the ones before it stay applied.
    pub fn catch_up(&mut self, changes: &[Change]) -> Result<bool> {
        let before = self.revision;
        for change in changes {
            if change.base != self.revision {
                continue;
            }
            match self.apply(change) {
                ChangeOutcome::Invalid(e) => return Err(e.into()),
                outcome => self.record_outcome(change.id.clone(), outcome),
            }
        }
        Ok(self.revision != before)
    }

    /// The changes after revision `since`, if all of them are still kept.
    pub fn changes_since(&self, since: Revision) -> Option<Vec<&Change>> {
        let missing = self.revision.0.checked_sub(since.0)? as usize;
        let skip = self.recent.len().checked_sub(missing)?;
        Some(self.recent.iter().skip(skip).collect())
    }

    /// A snapshot of the active configuration, which includes the log up to `position`.
    pub fn snapshot(&self, position: LogOffset) -> Snapshot {
        let accepted = self.outcomes.iter().rev().filter_map(|(id, v)| match v {
            ChangeOutcome::Accepted(revision) => Some((id.clone(), *revision)),
            _ => None,
        });
        Snapshot {
            revision: self.revision,
            config: self.value.clone(),
            position,
            accepted: accepted.take(MAX_RECENT_CHANGES).collect(),
        }
    }
}

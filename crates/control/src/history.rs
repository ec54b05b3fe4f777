//! The verdict on each record, and the configuration that follows from them.
//!
//! The first change whose base is the revision in force is accepted, and every
//! other one is rejected. The revision in force never goes down.

use compact_str::{CompactString, ToCompactString};
use indexmap::IndexMap;
use rwd_config::Configuration;
use rwd_types::{LogOffset, Revision};
use serde_json::Value;
use std::collections::VecDeque;
use std::sync::Arc;

use crate::{Change, PublishId, Result, Snapshot};

/// Accepted changes kept for peers that lag behind.
const RECENT_CHANGES: usize = 256;
/// Verdicts kept for publishers that ask again.
const RECENT_VERDICTS: usize = 1024;

/// What became of a change.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeOutcome {
    /// It is part of this revision and all later ones.
    Accepted(Revision),
    /// Another change came first.
    Conflict {
        /// The revision in force when the change was read.
        in_force: Revision,
        /// Who published the last accepted change.
        winner: CompactString,
    },
    /// It does not give a valid configuration.
    Invalid(rwd_config::Error),
}

/// The configuration in force and how it came about.
#[derive(Clone, Debug)]
pub struct History {
    revision: Revision,
    value: Value,
    cfg: Arc<Configuration>,
    last_by: CompactString,
    // The changes that led to the revision in force, oldest first.
    recent: VecDeque<Change>,
    verdicts: IndexMap<PublishId, ChangeOutcome>,
}

impl Default for History {
    fn default() -> Self {
        Self {
            revision: Revision(0),
            value: Value::Object(serde_json::Map::new()),
            cfg: Arc::default(),
            last_by: "nobody".into(),
            recent: VecDeque::new(),
            verdicts: IndexMap::new(),
        }
    }
}

impl History {
    /// The revision in force.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The configuration in force as JSON.
    pub fn value(&self) -> &Value {
        &self.value
    }

    /// The configuration in force.
    pub fn config(&self) -> &Arc<Configuration> {
        &self.cfg
    }

    /// Who published the last accepted change.
    pub fn last_publisher(&self) -> &str {
        &self.last_by
    }

    /// What became of a change, if it was read lately.
    pub fn verdict(&self, id: &PublishId) -> Option<&ChangeOutcome> {
        self.verdicts.get(id)
    }

    /// Judges the next change of the log.
    ///
    /// The first copy of a doubled record decides.
    pub fn process(&mut self, change: &Change) {
        if self.verdicts.contains_key(&change.id) {
            return;
        }
        let verdict = match change.base == self.revision {
            true => self.apply(change),
            false => ChangeOutcome::Conflict {
                in_force: self.revision,
                winner: self.last_by.clone(),
            },
        };
        self.remember(change.id.clone(), verdict);
    }

    fn remember(&mut self, id: PublishId, verdict: ChangeOutcome) {
        if self.verdicts.len() >= RECENT_VERDICTS {
            self.verdicts.shift_remove_index(0);
        }
        self.verdicts.insert(id, verdict);
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
                self.last_by = change.by.clone();
                self.recent.push_back(change.clone());
                if self.recent.len() > RECENT_CHANGES {
                    self.recent.pop_front();
                }
                ChangeOutcome::Accepted(self.revision)
            }
            Err(e) => ChangeOutcome::Invalid(e),
        }
    }

    /// Takes over a snapshot, from the log or a peer, if it is newer.
    ///
    /// # Errors
    ///
    /// A snapshot whose configuration is wrong; it changes nothing.
    pub fn install_snapshot(&mut self, snapshot: &Snapshot) -> Result<bool> {
        if snapshot.revision <= self.revision {
            return Ok(false);
        }
        let cfg = Configuration::from_value(&snapshot.config)?;
        self.revision = snapshot.revision;
        self.value = snapshot.config.clone();
        self.cfg = Arc::new(cfg);
        self.recent.clear();
        // What was judged against an older configuration has to be judged again.
        self.verdicts
            .retain(|_, v| matches!(v, ChangeOutcome::Accepted(_)));
        for (id, revision) in &snapshot.accepted {
            self.remember(id.clone(), ChangeOutcome::Accepted(*revision));
        }
        Ok(true)
    }

    /// Takes over accepted changes from a peer; those already in force are passed over.
    ///
    /// # Errors
    ///
    /// A change that does not apply; the ones before it stay in force.
    pub fn catch_up(&mut self, changes: &[Change]) -> Result<bool> {
        let before = self.revision;
        for change in changes {
            if change.base != self.revision {
                continue;
            }
            match self.apply(change) {
                ChangeOutcome::Invalid(e) => return Err(e.into()),
                verdict => self.remember(change.id.clone(), verdict),
            }
        }
        Ok(self.revision != before)
    }

    /// The changes after `have`, if all of them are still kept.
    pub fn changes_since(&self, have: Revision) -> Option<Vec<&Change>> {
        let missing = self.revision.0.checked_sub(have.0)? as usize;
        let skip = self.recent.len().checked_sub(missing)?;
        Some(self.recent.iter().skip(skip).collect())
    }

    /// A snapshot of the configuration in force, which accounts for the log up to `position`.
    pub fn snapshot(&self, position: LogOffset) -> Snapshot {
        let accepted = self.verdicts.iter().rev().filter_map(|(id, v)| match v {
            ChangeOutcome::Accepted(revision) => Some((id.clone(), *revision)),
            _ => None,
        });
        Snapshot {
            revision: self.revision,
            config: self.value.clone(),
            position,
            accepted: accepted.take(RECENT_CHANGES).collect(),
        }
    }
}

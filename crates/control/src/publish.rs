//! Publishes configuration changes through the log.

use compact_str::{CompactString, ToCompactString};
use indexmap::IndexSet;
use log::warn;
use rwd_config::Configuration;
use rwd_types::{InstanceName, PresetName, Revision, TargetName};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::time::Duration;
use tokio::time::{Instant, sleep};

use crate::{CONFIG_STREAM, Change, ChangeOutcome, Control, Error, PublishId, Record, Result};

/// How long a publisher waits for its record to appear in the log.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(6);
/// Interval between reads of the log while waiting for an outcome.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// An operator's edit of the configuration.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "edit", rename_all = "lowercase")]
pub enum Edit {
    /// Replace the whole configuration.
    Replace {
        /// The new configuration.
        config: Value,
    },
    /// Activate a preset.
    Preset {
        /// The preset's name.
        name: PresetName,
    },
    /// Start or stop draining an instance or a target.
    Drain {
        /// Name of the instance or target.
        name: CompactString,
        /// Whether to drain.
        on: bool,
    },
}

/// An accepted change.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Published {
    /// The revision that the change created.
    pub revision: Revision,
    /// The revision that is active now.
    pub in_force: Revision,
}

impl Edit {
    fn apply(&self, cfg: &Configuration) -> Result<Value> {
        let mut next = cfg.clone();
        match self {
            Self::Replace { config } => {
                Configuration::from_value(config)?;
                return Ok(config.clone());
            }
            Self::Preset { name } => next.preset = *name,
            Self::Drain { name, on } => drain(&mut next, name, *on)?,
        }
        let value = next.to_value();
        Configuration::from_value(&value)?;
        Ok(value)
    }
}

fn drain(cfg: &mut Configuration, name: &str, on: bool) -> Result<()> {
    let is_target = |t: &TargetName| cfg.targets.contains_key(t);
    match name.parse::<TargetName>() {
        Ok(target) if is_target(&target) => set_drained(&mut cfg.drained_targets, target, on),
        _ => set_drained(&mut cfg.drained_instances, parse_instance(name)?, on),
    }
    Ok(())
}

fn set_drained<T: std::hash::Hash + Eq>(set: &mut IndexSet<T>, name: T, on: bool) {
    match on {
        true => set.insert(name),
        false => set.shift_remove(&name),
    };
}

fn parse_instance(name: &str) -> Result<InstanceName> {
    name.parse().map_err(|e: rwd_types::NameError| {
        let message = e.to_compact_string();
        rwd_config::Error::new("instance", rwd_config::ErrorKind::Json { message }).into()
    })
}

impl Control {
    /// Publishes an edit and waits for its outcome.
    ///
    /// `base` is the revision that the edit was based on, by default the active one.
    /// Publishing again with the same `id` never applies a change twice.
    ///
    /// # Errors
    ///
    /// [`Error::Config`] for an invalid result, [`Error::Conflict`] if another change was accepted
    /// first, [`Error::Log`] without the log, [`Error::UnknownOutcome`] for an unknown outcome.
    pub async fn publish(
        &self,
        id: PublishId,
        by: CompactString,
        base: Option<Revision>,
        edit: &Edit,
    ) -> Result<Published> {
        self.read_to_end().await?;
        let (record, base) = {
            let reader = self.lock();
            let history = &reader.history;
            if let Some(outcome) = history.outcome(&id) {
                return publish_result(
                    outcome.clone(),
                    base.unwrap_or_default(),
                    history.revision(),
                );
            }
            let base = base.unwrap_or(history.revision());
            if base != history.revision() {
                return Err(Error::Conflict {
                    base,
                    in_force: history.revision(),
                    winner: history.last_publisher().into(),
                });
            }
            let next = edit.apply(history.config())?;
            let patch = Configuration::diff(history.value(), &next);
            let patch = serde_json::to_value(&patch).map_err(Error::Record)?;
            (
                Record::Change(Change {
                    id: id.clone(),
                    base,
                    by,
                    patch,
                }),
                base,
            )
        };
        if let Err(e) = self.log.append(CONFIG_STREAM, record.to_json()).await {
            warn!(error:% = e; "append got no response; reading the log for the record");
        }
        self.await_outcome(&id, base).await
    }

    // Reads to the current end of the log, so that a change is not based on a stale revision.
    async fn read_to_end(&self) -> Result<()> {
        loop {
            let before = self.lock().next;
            let end = self.read_log(Duration::ZERO).await?;
            let reader = self.lock();
            if reader.caught_up && reader.next >= end && end >= before {
                return Ok(());
            }
        }
    }

    async fn await_outcome(&self, id: &PublishId, base: Revision) -> Result<Published> {
        let deadline = Instant::now() + OUTCOME_TIMEOUT;
        while Instant::now() < deadline {
            if let Err(e) = self.read_log(Duration::ZERO).await {
                warn!(error:% = e; "cannot read the log for the outcome of a change");
            }
            if let Some(result) = self.publish_outcome(id, base) {
                return result;
            }
            sleep(POLL_INTERVAL).await;
        }
        Err(Error::UnknownOutcome)
    }
}

impl Control {
    fn publish_outcome(&self, id: &PublishId, base: Revision) -> Option<Result<Published>> {
        let reader = self.lock();
        let outcome = reader.history.outcome(id)?.clone();
        Some(publish_result(outcome, base, reader.history.revision()))
    }
}

fn publish_result(outcome: ChangeOutcome, base: Revision, now: Revision) -> Result<Published> {
    match outcome {
        ChangeOutcome::Accepted(revision) => Ok(Published {
            revision,
            in_force: now,
        }),
        ChangeOutcome::Conflict { in_force, winner } => Err(Error::Conflict {
            base,
            in_force,
            winner,
        }),
        ChangeOutcome::Invalid(e) => Err(Error::Config(e)),
    }
}

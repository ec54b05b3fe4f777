//! Publishes changes through the log.

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

/// How long a publisher waits to see its record in the log.
const VERDICT_TIMEOUT: Duration = Duration::from_secs(6);
/// Pause between two looks at the log.
const LOOK_PAUSE: Duration = Duration::from_millis(100);

/// What operators want changed.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "edit", rename_all = "lowercase")]
pub enum Edit {
    /// Replace the whole configuration.
    Replace {
        /// The new configuration.
        config: Value,
    },
    /// Put a preset in force.
    Preset {
        /// Its name.
        name: PresetName,
    },
    /// Mark a node or a target for a planned stop, or take the mark back.
    Drain {
        /// The instance's or target's name.
        name: CompactString,
        /// Whether to set the mark.
        on: bool,
    },
}

/// An accepted change.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Published {
    /// The revision that the change led to.
    pub revision: Revision,
    /// The revision in force now.
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
        Ok(target) if is_target(&target) => mark(&mut cfg.drained_targets, target, on),
        _ => mark(&mut cfg.drained_instances, parse_instance(name)?, on),
    }
    Ok(())
}

fn mark<T: std::hash::Hash + Eq>(set: &mut IndexSet<T>, name: T, on: bool) {
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
    /// Publishes an edit and waits for the verdict.
    ///
    /// `base` is the revision that the operator looked at; without it, the one in force.
    /// Publishing again with the same `id` never applies a change twice.
    ///
    /// # Errors
    ///
    /// [`Error::Config`] if the result is wrong, [`Error::Conflict`] if another change came
    /// first, [`Error::Log`] if the log is away, [`Error::UnknownOutcome`] if its answer was lost.
    pub async fn publish(
        &self,
        id: PublishId,
        by: CompactString,
        base: Option<Revision>,
        edit: &Edit,
    ) -> Result<Published> {
        self.catch_up().await?;
        let (record, base) = {
            let reader = self.lock();
            let history = &reader.history;
            if let Some(verdict) = history.verdict(&id) {
                return outcome(
                    verdict.clone(),
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
            warn!(error:% = e; "the log gave no answer to an append; reading on to see");
        }
        self.await_verdict(&id, base).await
    }

    // A change is made on what the log says now, not on what it said some time ago.
    async fn catch_up(&self) -> Result<()> {
        loop {
            let before = self.lock().next;
            let end = self.read_log(Duration::ZERO).await?;
            let reader = self.lock();
            if reader.caught_up && reader.next >= end && end >= before {
                return Ok(());
            }
        }
    }

    async fn await_verdict(&self, id: &PublishId, base: Revision) -> Result<Published> {
        let give_up = Instant::now() + VERDICT_TIMEOUT;
        while Instant::now() < give_up {
            if let Err(e) = self.read_log(Duration::ZERO).await {
                warn!(error:% = e; "cannot read the log for a verdict");
            }
            if let Some(outcome) = self.settled(id, base) {
                return outcome;
            }
            sleep(LOOK_PAUSE).await;
        }
        Err(Error::UnknownOutcome)
    }
}

impl Control {
    fn settled(&self, id: &PublishId, base: Revision) -> Option<Result<Published>> {
        let reader = self.lock();
        let verdict = reader.history.verdict(id)?.clone();
        Some(outcome(verdict, base, reader.history.revision()))
    }
}

fn outcome(verdict: ChangeOutcome, base: Revision, now: Revision) -> Result<Published> {
    match verdict {
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

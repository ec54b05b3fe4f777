//! What operators publish: tiers, workspaces, presets, models, targets, services.

use compact_str::{CompactString, ToCompactString, format_compact};
use indexmap::{IndexMap, IndexSet};
use rwd_types::{
    ClassName, InstanceName, Millis, PoolName, PresetName, RegionName, Revision, TargetName,
    TierName, TierRank, TokenRate, Tokens, WorkspaceName, ZoneName,
};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::net::SocketAddr;

use crate::{Error, ErrorKind, Result};

/// Most tiers a configuration may define.
const MAX_TIERS: u64 = 16;

/// A tier of work.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// Place in the order of value; 0 is the most valuable.
    pub rank: TierRank,
    /// Deadline of a request that names none.
    pub deadline: Millis,
}

/// Bounds on what one workspace may use.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Requests per second, if bounded.
    pub requests_per_s: Option<u64>,
    /// Prompt tokens and reserved output tokens per second, if bounded.
    pub tokens_per_s: Option<TokenRate>,
    /// Requests in the system at the same time, if bounded.
    pub concurrent: Option<u64>,
}

/// A workspace.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// What its callers present.
    pub key: CompactString,
    /// Share in its tier relative to other workspaces.
    #[serde(default = "one")]
    pub weight: u64,
    /// Bounds on its use.
    #[serde(default)]
    pub limits: Limits,
}

fn one() -> u64 {
    1
}

/// How targets are chosen.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Queue at the owner of the target and grant slots by tier, fairness, cache and speed.
    #[default]
    Granted,
    /// Baseline: each node sends at once, to the targets in turn.
    RoundRobin,
    /// Baseline: each node sends at once, to the target with the least reported load.
    LeastReported,
}

/// A preset: what varies between ordinary days, peaks and maintenance.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Preset {
    /// How targets are chosen.
    pub policy: Policy,
    /// Largest total estimate of the work that waits for one pool shard.
    pub queue_tokens: Tokens,
    /// Least valuable tier that is admitted, if any is left out.
    pub lowest_rank: Option<TierRank>,
    /// The time between two tokens of a stream that targets are kept at.
    pub token_interval: Millis,
    /// Whether running work of lower tiers may be cancelled for higher work.
    pub cancel_lower: bool,
    /// Weight of prompt tokens that a target would have to process anew, in percent.
    pub prefill_weight: u64,
    /// How many targets one shard of a pool holds at most.
    pub shard_targets: usize,
    /// Slots of each target that only the most valuable tier may use.
    pub reserved_slots: u32,
    /// Unprocessed prompt work above which a target gets no further work of lower tiers.
    pub prefill_backlog: Millis,
}

impl Default for Preset {
    fn default() -> Self {
        Self {
            policy: Policy::default(),
            queue_tokens: Tokens(2_000_000),
            lowest_rank: None,
            token_interval: Millis(43),
            cancel_lower: false,
            prefill_weight: 100,
            shard_targets: 32,
            reserved_slots: 1,
            prefill_backlog: Millis(200),
        }
    }
}

/// A model that engines hold.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Largest accepted prompt.
    pub max_prompt: Tokens,
    /// Largest accepted `max_tokens`.
    pub max_output: Tokens,
}

/// What the operators know of one generation of hardware.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Prompt tokens processed per second.
    pub prefill: TokenRate,
    /// Time between two tokens of a stream when the target is not full.
    pub token_interval: Millis,
    /// Prompt tokens that the prefix cache holds.
    #[serde(default = "default_cache")]
    pub cache: Tokens,
}

fn default_cache() -> Tokens {
    Tokens(1 << 20)
}

/// A target: one model engine, or one instance of a plain service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its hardware class; plain services have none.
    #[serde(default)]
    pub class: Option<ClassName>,
    /// The models it holds, or the service it provides.
    pub pools: Vec<PoolName>,
    /// Requests it can work on at the same time.
    pub slots: u32,
}

/// A rule for calls of a plain service whose path starts with a prefix.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PathRule {
    /// Whether a call may be repeated.
    pub idempotent: bool,
}

/// A plain service.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Service {
    /// Rules by path prefix; the longest match counts.
    pub paths: IndexMap<CompactString, PathRule>,
}

/// The whole published configuration.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// The preset in force.
    pub preset: PresetName,
    /// The presets that can be put in force.
    pub presets: IndexMap<PresetName, Preset>,
    /// The region of each availability zone.
    pub zones: IndexMap<ZoneName, RegionName>,
    /// The tiers of work.
    pub tiers: IndexMap<TierName, Tier>,
    /// The workspaces.
    pub workspaces: IndexMap<WorkspaceName, Workspace>,
    /// The hardware classes.
    #[serde(default)]
    pub classes: IndexMap<ClassName, Class>,
    /// The models.
    #[serde(default)]
    pub models: IndexMap<PoolName, Model>,
    /// The plain services.
    #[serde(default)]
    pub services: IndexMap<PoolName, Service>,
    /// The targets.
    #[serde(default)]
    pub targets: IndexMap<TargetName, Target>,
    /// Nodes marked for a planned stop.
    #[serde(default)]
    pub drained_instances: IndexSet<InstanceName>,
    /// Targets marked for a planned stop.
    #[serde(default)]
    pub drained_targets: IndexSet<TargetName>,
}

impl Configuration {
    /// Reads and checks a configuration.
    ///
    /// # Errors
    ///
    /// The JSON path of the first field that is wrong.
    pub fn from_json(text: &str) -> Result<Self> {
        let cfg: Self = crate::read(text)?;
        cfg.check()?;
        Ok(cfg)
    }

    /// Reads and checks a configuration that is already a JSON value.
    ///
    /// # Errors
    ///
    /// The JSON path of the first field that is wrong.
    pub fn from_value(value: &Value) -> Result<Self> {
        let cfg: Self = serde_path_to_error::deserialize(value).map_err(Error::from_json)?;
        cfg.check()?;
        Ok(cfg)
    }

    /// The configuration as a JSON value.
    pub fn to_value(&self) -> Value {
        serde_json::to_value(self).unwrap_or_else(|_| unreachable!("maps have text keys"))
    }

    /// The preset in force.
    pub fn preset_in_force(&self) -> Preset {
        self.presets.get(&self.preset).cloned().unwrap_or_default()
    }

    /// The workspace that presents `key`.
    pub fn workspace_by_key(&self, key: &str) -> Option<(&WorkspaceName, &Workspace)> {
        self.workspaces.iter().find(|(_, w)| w.key == key)
    }

    /// The tier with the least value.
    pub fn lowest_tier(&self) -> Option<(&TierName, &Tier)> {
        self.tiers.iter().max_by_key(|(_, t)| t.rank)
    }

    /// The region of a zone; a zone that is not listed is a region of its own.
    pub fn region(&self, zone: &ZoneName) -> RegionName {
        let own = || {
            zone.as_str()
                .parse()
                .unwrap_or_else(|_| unreachable!("a zone name is a region name"))
        };
        self.zones.get(zone).cloned().unwrap_or_else(own)
    }

    /// Whether calls to `path` of a service may be repeated, as far as the operators say.
    pub fn idempotent(&self, service: &PoolName, path: &str) -> bool {
        let rules = self.services.get(service).map(|s| &s.paths);
        let longest = rules
            .into_iter()
            .flatten()
            .filter(|(prefix, _)| path.starts_with(prefix.as_str()))
            .max_by_key(|(prefix, _)| prefix.len());
        longest.is_none_or(|(_, rule)| rule.idempotent)
    }

    /// The change, as an RFC 6902 patch, that makes `next` out of `base`.
    pub fn diff(base: &Value, next: &Value) -> json_patch::Patch {
        json_patch::diff(base, next)
    }

    /// Applies a change to the value of revision `base` and checks the result.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Patch`] if the change does not fit; otherwise as [`Configuration::from_value`].
    pub fn patched(
        base: Revision,
        value: &Value,
        change: &json_patch::Patch,
    ) -> Result<(Value, Self)> {
        let mut next = value.clone();
        json_patch::patch(&mut next, change).map_err(|e| {
            let message = e.to_compact_string();
            Error::new(".", ErrorKind::Patch { base, message })
        })?;
        let cfg = Self::from_value(&next)?;
        Ok((next, cfg))
    }

    fn check(&self) -> Result<()> {
        self.check_tiers()?;
        self.check_presets()?;
        self.check_workspaces()?;
        self.check_targets()
    }

    fn check_tiers(&self) -> Result<()> {
        if self.tiers.is_empty() {
            return Err(Error::new("tiers", ErrorKind::Empty));
        }
        if self.tiers.len() as u64 > MAX_TIERS {
            return Err(Error::new("tiers", ErrorKind::TooLarge { most: MAX_TIERS }));
        }
        let mut seen: IndexMap<TierRank, &TierName> = IndexMap::new();
        for (name, tier) in &self.tiers {
            at_least(format_compact!("tiers.{name}.deadline"), tier.deadline.0, 1)?;
            if let Some(other) = seen.insert(tier.rank, name) {
                let other = other.to_compact_string();
                let path = format_compact!("tiers.{name}.rank");
                return Err(Error::new(path, ErrorKind::Duplicate { other }));
            }
        }
        Ok(())
    }

    fn check_presets(&self) -> Result<()> {
        if !self.presets.contains_key(&self.preset) {
            return Err(Error::new("preset", ErrorKind::PresetMissing));
        }
        for (name, preset) in &self.presets {
            let path = |field: &str| format_compact!("presets.{name}.{field}");
            at_least(path("queue_tokens"), preset.queue_tokens.0, 1)?;
            at_least(path("token_interval"), preset.token_interval.0, 1)?;
            at_least(path("shard_targets"), preset.shard_targets as u64, 1)?;
        }
        Ok(())
    }

    fn check_workspaces(&self) -> Result<()> {
        let mut seen: IndexMap<&str, &WorkspaceName> = IndexMap::new();
        for (name, workspace) in &self.workspaces {
            let path = |field: &str| format_compact!("workspaces.{name}.{field}");
            at_least(path("weight"), workspace.weight, 1)?;
            at_least(path("key"), workspace.key.len() as u64, 8)?;
            if let Some(other) = seen.insert(&workspace.key, name) {
                let other = other.to_compact_string();
                return Err(Error::new(path("key"), ErrorKind::Duplicate { other }));
            }
        }
        Ok(())
    }

    fn check_targets(&self) -> Result<()> {
        for (name, target) in &self.targets {
            let path = |field: &str| format_compact!("targets.{name}.{field}");
            at_least(path("slots"), u64::from(target.slots), 1)?;
            if let Some(class) = target
                .class
                .as_ref()
                .filter(|c| !self.classes.contains_key(*c))
            {
                return Err(unknown(path("class"), "hardware class", class));
            }
            let known = |p: &PoolName| self.models.contains_key(p) || self.services.contains_key(p);
            if let Some(i) = target.pools.iter().position(|p| !known(p)) {
                let at = format_compact!("targets.{name}.pools[{i}]");
                return Err(unknown(at, "model or service", &target.pools[i]));
            }
        }
        for name in &self.drained_targets {
            if !self.targets.contains_key(name) {
                return Err(unknown("drained_targets".into(), "target", name));
            }
        }
        Ok(())
    }
}

fn at_least(path: CompactString, value: u64, least: u64) -> Result<()> {
    match value {
        v if v < least => Err(Error::new(path, ErrorKind::TooSmall { least })),
        _ => Ok(()),
    }
}

fn unknown(path: CompactString, what: &'static str, name: &impl ToCompactString) -> Error {
    let name = name.to_compact_string();
    Error::new(path, ErrorKind::Unknown { what, name })
}

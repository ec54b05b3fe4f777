//! The published configuration: tiers, workspaces, presets, models, services and targets.

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

/// Maximum number of tiers.
const MAX_TIERS: u64 = 16;

/// A priority tier.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// Priority of the tier; 0 is the highest.
    pub rank: TierRank,
    /// Default deadline of requests.
    pub deadline: Millis,
}

/// Rate and concurrency limits of one workspace.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Requests per second, if limited.
    pub requests_per_s: Option<u64>,
    /// Prompt tokens and reserved output tokens per second, if limited.
    pub tokens_per_s: Option<TokenRate>,
    /// Concurrent requests, if limited.
    pub concurrent: Option<u64>,
}

/// A workspace.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// API key that callers present.
    pub key: CompactString,
    /// Fair-queueing weight relative to other workspaces of a tier.
    #[serde(default = "one")]
    pub weight: u64,
    /// Rate and concurrency limits.
    #[serde(default)]
    pub limits: Limits,
}

fn one() -> u64 {
    1
}

/// How targets are selected.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Requests queue at the target's owner, which grants slots by tier, fairness, cache and speed.
    #[default]
    Granted,
    /// Baseline: each node dispatches at once, to the targets in turn.
    RoundRobin,
    /// Baseline: each node dispatches at once, to the target with the lowest reported load.
    LeastReported,
}

/// Parameters that differ between normal operation, peaks and maintenance.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Preset {
    /// How targets are selected.
    pub policy: Policy,
    /// Maximum queue length of one pool shard, in estimated tokens.
    pub queue_tokens: Tokens,
    /// Lowest-priority tier that is admitted, if not all tiers are.
    pub lowest_rank: Option<TierRank>,
    /// Token interval (inter-token latency) within which targets are kept.
    pub token_interval: Millis,
    /// Whether running lower-tier requests may be cancelled for higher-tier ones.
    pub cancel_lower: bool,
    /// Weight of uncached prompt tokens in the cost of a target, in percent.
    pub prefill_weight: u64,
    /// Maximum number of targets of one pool shard.
    pub shard_targets: usize,
    /// Slots of each target that are reserved for the highest-priority tier.
    pub reserved_slots: u32,
    /// Prefill backlog above which a target gets no more requests of lower tiers.
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

/// A model that engines serve.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Maximum prompt length.
    pub max_prompt: Tokens,
    /// Maximum value of `max_tokens`.
    pub max_output: Tokens,
}

/// Performance of a hardware class, as stated by operators.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Prompt tokens processed per second.
    pub prefill: TokenRate,
    /// Token interval of a target that is not full.
    pub token_interval: Millis,
    /// Capacity of the prefix cache, in prompt tokens.
    #[serde(default = "default_cache")]
    pub cache: Tokens,
}

fn default_cache() -> Tokens {
    Tokens(1 << 20)
}

/// A target: a model engine or an instance of a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its hardware class; services have none.
    #[serde(default)]
    pub class: Option<ClassName>,
    /// The models or the service that it serves.
    pub pools: Vec<PoolName>,
    /// Maximum number of concurrent requests.
    pub slots: u32,
}

/// Rule for service calls whose path has a given prefix.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PathRule {
    /// Whether a call may be retried.
    pub idempotent: bool,
}

/// A non-LLM service.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Service {
    /// Rules by path prefix; the longest match wins.
    pub paths: IndexMap<CompactString, PathRule>,
}

/// The configuration that operators publish.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// The active preset.
    pub preset: PresetName,
    /// The presets that can be activated.
    pub presets: IndexMap<PresetName, Preset>,
    /// The region of each availability zone.
    pub zones: IndexMap<ZoneName, RegionName>,
    /// The priority tiers.
    pub tiers: IndexMap<TierName, Tier>,
    /// The workspaces.
    pub workspaces: IndexMap<WorkspaceName, Workspace>,
    /// The hardware classes.
    #[serde(default)]
    pub classes: IndexMap<ClassName, Class>,
    /// The models.
    #[serde(default)]
    pub models: IndexMap<PoolName, Model>,
    /// The services.
    #[serde(default)]
    pub services: IndexMap<PoolName, Service>,
    /// The targets.
    #[serde(default)]
    pub targets: IndexMap<TargetName, Target>,
    /// Instances whose nodes are being drained.
    #[serde(default)]
    pub drained_instances: IndexSet<InstanceName>,
    /// Targets that are being drained.
    #[serde(default)]
    pub drained_targets: IndexSet<TargetName>,
}

impl Configuration {
    /// Parses and validates a configuration.
    ///
    /// # Errors
    ///
    /// Names the JSON path of the first invalid field.
    pub fn from_json(text: &str) -> Result<Self> {
        let cfg: Self = crate::read(text)?;
        cfg.validate()?;
        Ok(cfg)
    }

    /// Parses and validates a configuration from a JSON value.
    ///
    /// # Errors
    ///
    /// Names the JSON path of the first invalid field.
    pub fn from_value(value: &Value) -> Result<Self> {
        let cfg: Self = serde_path_to_error::deserialize(value).map_err(Error::from_json)?;
        cfg.validate()?;
        Ok(cfg)
    }

    /// Converts the configuration to a JSON value.
    pub fn to_value(&self) -> Value {
        serde_json::to_value(self).unwrap_or_else(|_| unreachable!("maps have text keys"))
    }

    /// The parameters of the active preset.
    pub fn preset_in_force(&self) -> Preset {
        self.presets.get(&self.preset).cloned().unwrap_or_default()
    }

    /// The workspace that `key` belongs to.
    pub fn workspace_by_key(&self, key: &str) -> Option<(&WorkspaceName, &Workspace)> {
        self.workspaces.iter().find(|(_, w)| w.key == key)
    }

    /// The tier with the lowest priority.
    pub fn lowest_tier(&self) -> Option<(&TierName, &Tier)> {
        self.tiers.iter().max_by_key(|(_, t)| t.rank)
    }

    /// The region of a zone; an unlisted zone forms a region of its own.
    pub fn region(&self, zone: &ZoneName) -> RegionName {
        let own = || {
            zone.as_str()
                .parse()
                .unwrap_or_else(|_| unreachable!("a zone name is a region name"))
        };
        self.zones.get(zone).cloned().unwrap_or_else(own)
    }

    /// Whether the rules of a service allow retries of calls to `path`; the default is yes.
    pub fn idempotent(&self, service: &PoolName, path: &str) -> bool {
        let rules = self.services.get(service).map(|s| &s.paths);
        let longest = rules
            .into_iter()
            .flatten()
            .filter(|(prefix, _)| path.starts_with(prefix.as_str()))
            .max_by_key(|(prefix, _)| prefix.len());
        longest.is_none_or(|(_, rule)| rule.idempotent)
    }

    /// Computes the RFC 6902 patch that turns `base` into `next`.
    pub fn diff(base: &Value, next: &Value) -> json_patch::Patch {
        json_patch::diff(base, next)
    }

    /// Applies a patch to the value of revision `base` and validates the result.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Patch`] if the patch does not apply; otherwise as [`Configuration::from_value`].
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

    fn validate(&self) -> Result<()> {
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

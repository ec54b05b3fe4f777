//! Settings of one gateway node.

use compact_str::{CompactString, ToCompactString};
use derive_more::{Display, Error};
use rwd_placement::{PlacementSettings, RolloutLimits};
use rwd_types::{InstanceName, RegionName, Secret, ZoneName};
use serde::Deserialize;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use crate::ListedNode;

/// Least time in which a bad version can be given up, in milliseconds: nodes report several times a
/// second, and a grant must outlast two reports.
const MIN_ROLLBACK_MS: f64 = 2000.0;

/// Invalid settings.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
#[display("{place}: {reason}")]
pub struct SettingsError {
    /// The file or the JSON path.
    pub place: CompactString,
    /// Why the settings are invalid.
    pub reason: CompactString,
}

/// The result of reading settings.
pub type Result<T> = std::result::Result<T, SettingsError>;

/// Listen addresses of a node.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Requests of callers.
    pub requests: SocketAddr,
    /// Readiness and metrics.
    pub readiness: SocketAddr,
    /// Lookups of callers.
    pub directory: SocketAddr,
    /// Other nodes.
    pub peers: SocketAddr,
    /// Address at which other nodes reach [`Listen::peers`], if it is another one, as behind a
    /// proxy. It has the same IP address.
    #[serde(default)]
    pub advertised_peers: Option<SocketAddr>,
}

impl Listen {
    /// Address at which other nodes reach this one.
    pub fn reachable_peers(&self) -> SocketAddr {
        self.advertised_peers.unwrap_or(self.peers)
    }
}

/// Service-level bounds set by the operators.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Time that a process has for shutdown after SIGTERM, in seconds.
    pub stop_grace_s: f64,
    /// How long after its removal a key may still be used, in milliseconds.
    pub key_removal_ms: f64,
    /// How long after its publication a configuration must be active, in milliseconds.
    pub apply_ms: f64,
    /// How long after a target was listed as leaving, or is no longer listed, it may still get
    /// requests, in milliseconds.
    pub target_removal_ms: f64,
    /// Retry budget: retries to a pool as a share of its requests in one window.
    pub repeat_ratio: f64,
    /// Window of the retry budget, in seconds.
    pub repeat_window_s: f64,
    /// Retries allowed beyond the ratio in one window, summed over all nodes.
    pub repeat_slack: f64,
    /// Tolerated excess over a workspace's quota, as a share of it.
    pub quota_excess: f64,
    /// Quota units that all nodes together may grant beyond a workspace's quota.
    pub quota_slack: f64,
    /// Longest time for which callers cache a lookup response, in seconds.
    pub lookup_lifetime_s: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            stop_grace_s: 8.0,
            key_removal_ms: 5000.0,
            apply_ms: 2000.0,
            target_removal_ms: 2000.0,
            repeat_ratio: 0.2,
            repeat_window_s: 10.0,
            repeat_slack: 50.0,
            quota_excess: 0.0,
            quota_slack: 0.0,
            lookup_lifetime_s: 5.0,
        }
    }
}

impl Bounds {
    /// Time that a process has for shutdown after SIGTERM.
    pub fn stop_grace(&self) -> Duration {
        Duration::from_secs_f64(self.stop_grace_s)
    }

    /// How old what a node knows of the store's state may get, in milliseconds: the shortest of the
    /// bounds on using what has been changed.
    pub fn sync_ms(&self) -> f64 {
        let changes = [self.apply_ms, self.target_removal_ms, self.key_removal_ms];
        changes.into_iter().fold(f64::INFINITY, f64::min)
    }
}

/// Features of scheduling that operators switch on.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Scheduling {
    /// Whether route priorities that are served less often than lower ones gain weight.
    pub keeps_precedence: bool,
    /// Whether the slots of a pool that is short of them are shared out among workspaces.
    pub workspace_shares: bool,
    /// Whether refused callers return at the rate that the pool will serve.
    pub paced_returns: bool,
    /// Whether requests go to other availability zones where these have room.
    pub spilling: bool,
    /// Whether targets crash when their requests exceed their memory.
    pub bounded_memory: bool,
    /// Whether targets to which the home node has a connection are preferred.
    pub prefers_connected: bool,
    /// Whether a scheduler that takes over learns what its predecessor knew.
    pub handover: bool,
}

impl Scheduling {
    /// The settings of a node's scheduler.
    pub fn placement(&self) -> PlacementSettings {
        PlacementSettings {
            keeps_precedence: self.keeps_precedence,
            workspace_shares: self.workspace_shares,
            paced_returns: self.paced_returns,
            bounded_memory: self.bounded_memory,
            prefers_connected: self.prefers_connected,
            handover: self.handover,
            ..PlacementSettings::default()
        }
    }
}

/// Settings of one node.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// The machine's name, for logs.
    pub name: CompactString,
    /// The availability zone.
    pub zone: ZoneName,
    /// The region.
    pub region: RegionName,
    /// Listen addresses.
    pub listen: Listen,
    /// Peer addresses of other nodes; some of those nodes may no longer exist.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// CPU share as a fraction of a core; nodes with a larger one schedule for the others.
    #[serde(default = "whole_core")]
    pub cpu_share: f64,
    /// Memory limit of the process, in megabytes. With it, request bodies are received within a share
    /// of it.
    #[serde(default)]
    pub memory_mb: Option<u32>,
    /// Whether whole streams are held for callers that read slowly, within a share of the memory if that
    /// is limited.
    #[serde(default = "yes")]
    pub holds_streams: bool,
    /// Secret shared by all nodes; authenticates peer connections.
    pub secret: Secret,
    /// Service-level bounds.
    #[serde(default)]
    pub bounds: Bounds,
    /// Optional features of scheduling.
    #[serde(default)]
    pub scheduling: Scheduling,
    /// Terms under which the platform runs the system, in its own words; the adapter interprets them.
    #[serde(default)]
    pub platform_terms: Vec<CompactString>,
    /// What roll-outs may cost; without it there are none.
    #[serde(default)]
    pub rollouts: Option<RolloutLimits>,
}

/// Least memory of a node, in megabytes: a share of it has room for the largest event.
const MIN_MEMORY_MB: u32 = 32;

fn whole_core() -> f64 {
    1.0
}

fn yes() -> bool {
    true
}

impl GatewaySettings {
    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// Names the JSON path of the first invalid field.
    pub fn from_json(text: &str) -> Result<Self> {
        let mut de = serde_json::Deserializer::from_str(text);
        let cfg: Self = serde_path_to_error::deserialize(&mut de).map_err(|e| SettingsError {
            place: e.path().to_compact_string(),
            reason: e.inner().to_compact_string(),
        })?;
        cfg.validate()?;
        Ok(cfg)
    }

    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// As [`GatewaySettings::from_json`]; names the path of a file that cannot be read.
    pub fn from_file(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path).map_err(|e| SettingsError {
            place: path.display().to_compact_string(),
            reason: e.to_compact_string(),
        })?;
        Self::from_json(&text)
    }

    fn validate(&self) -> Result<()> {
        let b = &self.bounds;
        let positive = [
            ("bounds.stop_grace_s", b.stop_grace_s),
            ("bounds.key_removal_ms", b.key_removal_ms),
            ("bounds.apply_ms", b.apply_ms),
            ("bounds.target_removal_ms", b.target_removal_ms),
            ("bounds.repeat_window_s", b.repeat_window_s),
            ("bounds.lookup_lifetime_s", b.lookup_lifetime_s),
        ];
        let not_positive = positive.into_iter().find(|(_, value)| *value <= 0.0);
        let other_ip = self.listen.reachable_peers().ip() != self.listen.peers.ip();
        let bad_rollouts = self.rollouts.as_ref().and_then(invalid_rollouts);
        let too_small = self.memory_mb.is_some_and(|mb| mb < MIN_MEMORY_MB);
        let (place, reason) = match not_positive {
            Some((place, _)) => (place, "must be above zero"),
            None if bad_rollouts.is_some() => bad_rollouts.unwrap_or_default(),
            None if too_small => ("memory_mb", "must be at least 32"),
            // Nodes are named after their IP addresses.
            None if other_ip => (
                "listen.advertised_peers",
                "must have the IP address of listen.peers",
            ),
            None => return Ok(()),
        };
        Err(SettingsError {
            place: place.into(),
            reason: reason.into(),
        })
    }

    /// The node's entry in the list of nodes.
    pub fn node_entry(&self) -> ListedNode {
        ListedNode {
            peer: self.listen.reachable_peers(),
            zone: self.zone.clone(),
            cpu_milli: (self.cpu_share * 1000.0) as u32,
        }
    }

    /// The node's instance name.
    pub fn instance(&self) -> InstanceName {
        instance_name(self.listen.peers.ip())
    }
}

// The first invalid field of the limits of roll-outs, and why.
fn invalid_rollouts(limits: &RolloutLimits) -> Option<(&'static str, &'static str)> {
    match limits {
        l if !(l.canary_share > 0.0 && l.canary_share < 1.0) => {
            Some(("rollouts.canary_share", "must be between zero and one"))
        }
        l if !(0.0..=1e6).contains(&l.canary_slack) => Some((
            "rollouts.canary_slack",
            "must be between zero and a million",
        )),
        l if !(MIN_ROLLBACK_MS..=1e6).contains(&l.rollback_ms) => {
            Some(("rollouts.rollback_ms", "must be between 2000 and a million"))
        }
        _ => None,
    }
}

/// The instance name of the node at an address.
///
/// Derived from the address because seeds are configured as addresses only.
pub fn instance_name(ip: IpAddr) -> InstanceName {
    let text = ip.to_string().replace(['.', ':'], "-");
    // Digits, letters and dashes are valid in names, and an address has at most 45 characters.
    text.parse()
        .unwrap_or_else(|_| unreachable!("an address makes a valid name"))
}

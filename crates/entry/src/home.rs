//! State and dependencies of a home node, the only node that runs the requests under its keys.

use rwd_control::{Control, Limiter};
use rwd_edge::Targets;
use rwd_metrics::Metrics;
use rwd_peer::{Directory, Links, Membership};
use rwd_sched::{Baseline, OutputEstimates, Scheduler, Topology};
use rwd_types::{InstanceName, KeyPrefix, Millis, Secret, WorkspaceName, ZoneName};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::watch;

use crate::{KeyTable, KeyTableSettings, Witness, addresses};

/// Dependencies of a home node.
pub struct EntryDeps {
    /// The local instance.
    pub instance: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Secret that seals key prefixes.
    pub secret: Secret,
    /// Cluster membership and load digests.
    pub directory: Arc<Directory>,
    /// Connections to other nodes.
    pub links: Arc<Links>,
    /// Failure detection of other nodes.
    pub membership: Arc<Membership>,
    /// The local scheduler.
    pub scheduler: Arc<Scheduler>,
    /// The active configuration.
    pub control: Arc<Control>,
    /// Ownership of shards and targets.
    pub topology: watch::Receiver<Arc<Topology>>,
    /// Client for targets.
    pub targets: Arc<dyn Targets>,
    /// The baseline policies.
    pub baseline: Arc<Baseline>,
    /// Metrics of the local node.
    pub metrics: Arc<Metrics>,
}

/// Settings of a home node.
#[derive(Clone, Copy, Debug)]
pub struct EntrySettings {
    /// How long a dispatched stream may make no progress before it is resumed.
    pub progress_timeout: Duration,
    /// How long a request continues without a reader of its response.
    pub abandon_after: Duration,
    /// How long a witness may take to reply.
    pub witness_timeout: Duration,
    /// How long callers may cache a response of `/v1/addresses`.
    pub address_ttl: Millis,
    /// Bounds of the key table.
    pub keys: KeyTableSettings,
}

impl Default for EntrySettings {
    fn default() -> Self {
        Self {
            progress_timeout: Duration::from_secs(2),
            abandon_after: Duration::from_secs(10),
            witness_timeout: Duration::from_secs(1),
            address_ttl: Millis(5000),
            keys: KeyTableSettings::default(),
        }
    }
}

/// Amount of state held by a home node.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize)]
pub struct Load {
    /// Requests in progress.
    pub in_progress: usize,
    /// Key prefixes in the key table.
    pub sessions: usize,
    /// Requests whose key is in the key table.
    pub keys: usize,
    /// Key prefixes that this node witnesses.
    pub witnessed: usize,
}

/// Runs the requests whose keys name this node as their home node.
pub struct HomeNode {
    pub(crate) deps: EntryDeps,
    pub(crate) cfg: EntrySettings,
    pub(crate) keys: KeyTable,
    pub(crate) witness: Witness,
    pub(crate) limiter: Arc<Limiter>,
    pub(crate) estimates: OutputEstimates,
    pub(crate) in_progress: watch::Sender<usize>,
    rotation: AtomicU64,
    next_sequence: AtomicU64,
}

impl HomeNode {
    /// Creates a home node without requests.
    pub fn new(deps: EntryDeps, cfg: EntrySettings) -> Self {
        Self {
            deps,
            cfg,
            keys: KeyTable::new(cfg.keys),
            witness: Witness::default(),
            limiter: Arc::default(),
            estimates: OutputEstimates::default(),
            in_progress: watch::Sender::new(0),
            rotation: AtomicU64::new(rand::random::<u32>().into()),
            next_sequence: AtomicU64::new(0),
        }
    }

    /// Amount of state held.
    pub fn load(&self) -> Load {
        let (sessions, keys) = self.keys.sizes();
        Load {
            in_progress: *self.in_progress.borrow(),
            sessions,
            keys,
            witnessed: self.witness.len(),
        }
    }

    /// Waits until no request is in progress.
    pub async fn wait_idle(&self) {
        let mut in_progress = self.in_progress.subscribe();
        // The sender lives as long as `self`.
        let _ = in_progress.wait_for(|n| *n == 0).await;
    }

    /// The witness for keys of other home nodes.
    pub fn witness(&self) -> &Witness {
        &self.witness
    }

    /// Evicts responses that have been kept long enough.
    pub fn expire(&self) {
        self.keys.expire();
    }

    pub(crate) fn next_rotation(&self) -> u64 {
        self.rotation.fetch_add(1, Ordering::Relaxed)
    }

    pub(crate) fn is_leaving(&self) -> bool {
        let cfg = self.deps.control.in_force().cfg;
        self.deps.directory.own().leaving || cfg.drained_instances.contains(&self.deps.instance)
    }

    // Generates a key for a request without one, under a new prefix that no other caller knows.
    pub(crate) fn generate_key(&self) -> rwd_types::RequestKey {
        let own = self.deps.directory.own();
        let prefix: KeyPrefix = addresses::issue_prefix(&own, &self.deps.directory.view());
        let sequence = self.next_sequence.fetch_add(1, Ordering::Relaxed);
        rwd_types::RequestKey { prefix, sequence }
    }

    /// Number of nodes that share a workspace's limits.
    pub(crate) fn limit_shares(&self, workspace: &WorkspaceName) -> usize {
        let cfg = self.deps.control.in_force().cfg;
        addresses::node_subset(&cfg, &self.deps.directory.view(), workspace).len()
    }
}

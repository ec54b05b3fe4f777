//! The home of requests: what one node holds for its callers.

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

/// What the entry part of a node works with.
pub struct EntryDeps {
    /// The node.
    pub instance: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Seals key prefixes.
    pub secret: Secret,
    /// The other nodes.
    pub directory: Arc<Directory>,
    /// Links to them.
    pub links: Arc<Links>,
    /// Probes of them.
    pub membership: Arc<Membership>,
    /// The scheduler of this node.
    pub scheduler: Arc<Scheduler>,
    /// The configuration in force.
    pub control: Arc<Control>,
    /// Which node owns which targets.
    pub topology: watch::Receiver<Arc<Topology>>,
    /// The targets.
    pub targets: Arc<dyn Targets>,
    /// The baseline policies.
    pub baseline: Arc<Baseline>,
    /// Where to count.
    pub metrics: Arc<Metrics>,
}

/// Settings of the entry part.
#[derive(Clone, Copy, Debug)]
pub struct EntrySettings {
    /// How long a dispatched stream may stay silent before it is resumed.
    pub progress_timeout: Duration,
    /// How long a request goes on without anybody reading its answer.
    pub abandon_after: Duration,
    /// How long a witness may take to answer.
    pub witness_timeout: Duration,
    /// How long callers may keep an answer of `/v1/addresses`.
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

/// How much a home holds.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize)]
pub struct Load {
    /// Requests in progress.
    pub in_progress: usize,
    /// Key prefixes known.
    pub sessions: usize,
    /// Requests whose key is remembered.
    pub keys: usize,
    /// Key prefixes that this node witnesses.
    pub witnessed: usize,
}

/// The entry part of one node.
pub struct HomeNode {
    pub(crate) parts: EntryDeps,
    pub(crate) cfg: EntrySettings,
    pub(crate) keys: KeyTable,
    pub(crate) witness: Witness,
    pub(crate) limiter: Arc<Limiter>,
    pub(crate) estimates: OutputEstimates,
    pub(crate) in_progress: watch::Sender<usize>,
    turn: AtomicU64,
    own_sequence: AtomicU64,
}

impl HomeNode {
    /// A home without requests.
    pub fn new(parts: EntryDeps, cfg: EntrySettings) -> Self {
        Self {
            parts,
            cfg,
            keys: KeyTable::new(cfg.keys),
            witness: Witness::default(),
            limiter: Arc::default(),
            estimates: OutputEstimates::default(),
            in_progress: watch::Sender::new(0),
            turn: AtomicU64::new(rand::random::<u32>().into()),
            own_sequence: AtomicU64::new(0),
        }
    }

    /// What the home holds.
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

    /// The witness part of the node.
    pub fn witness(&self) -> &Witness {
        &self.witness
    }

    /// Forgets answers that have been kept long enough.
    pub fn expire(&self) {
        self.keys.expire();
    }

    pub(crate) fn next_turn(&self) -> u64 {
        self.turn.fetch_add(1, Ordering::Relaxed)
    }

    pub(crate) fn is_leaving(&self) -> bool {
        let cfg = self.parts.control.in_force().cfg;
        self.parts.directory.own().leaving || cfg.drained_instances.contains(&self.parts.instance)
    }

    // A prefix and sequence for a caller that brought no key; nobody else can name it.
    pub(crate) fn own_key(&self) -> rwd_types::RequestKey {
        let own = self.parts.directory.own();
        let prefix: KeyPrefix = addresses::issue(&own, &self.parts.directory.view());
        let sequence = self.own_sequence.fetch_add(1, Ordering::Relaxed);
        rwd_types::RequestKey { prefix, sequence }
    }

    /// Number of nodes over which a workspace's limits are divided.
    pub(crate) fn limit_shares(&self, workspace: &WorkspaceName) -> usize {
        let cfg = self.parts.control.in_force().cfg;
        addresses::node_subset(&cfg, &self.parts.directory.view(), workspace).len()
    }
}

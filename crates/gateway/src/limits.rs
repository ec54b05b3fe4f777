//! Takes quota units from this node's leases, the workspace's quota coordinator, or its own share.

use indexmap::IndexMap;
use log::info;
use rwd_peer::{Directory, Error, Links, View, first_by_cpu, new_incarnation};
use rwd_types::{InstanceName, PoolName, WorkspaceName};
use rwd_wire::{Message, QuotaTotals};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

use crate::quota::{
    LeaseReply, LocalQuota, NodeCounter, NodeCounts, QuotaBuckets, QuotaStatus, RetryBudget,
};
use crate::{Bounds, StoreReplica, Workspace, clock};

/// How long a quota coordinator may take to reply: some round trips between zones.
const COORDINATOR_TIMEOUT: Duration = Duration::from_millis(120);

#[derive(Default)]
struct Inner {
    node_counter: NodeCounter,
    quota_buckets: QuotaBuckets,
    local_quota: LocalQuota,
    retries: RetryBudget,
}

/// The quota coordinator of a workspace, as seen by a node with this view of the members.
pub fn coordinator<'a>(view: &'a View, workspace: &WorkspaceName) -> Option<&'a InstanceName> {
    let key = xxh3_64(workspace.as_str().as_bytes());
    first_by_cpu(key, view.candidates()).map(|m| &m.name)
}

/// Enforces the limits that all nodes share.
pub(crate) struct Limiter {
    instance: InstanceName,
    directory: Arc<Directory>,
    links: Arc<Links>,
    replica: Arc<StoreReplica>,
    bounds: Mutex<Bounds>,
    inner: Mutex<Inner>,
}

impl Limiter {
    pub fn new(
        instance: InstanceName,
        directory: Arc<Directory>,
        links: Arc<Links>,
        replica: Arc<StoreReplica>,
        bounds: Bounds,
    ) -> Self {
        Self {
            instance,
            directory,
            links,
            replica,
            bounds: Mutex::new(bounds),
            inner: Mutex::new(Inner {
                local_quota: LocalQuota::new(new_incarnation()),
                ..Inner::default()
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// The active bounds.
    pub fn bounds(&self) -> Bounds {
        self.bounds
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .clone()
    }

    /// Replaces the active bounds.
    pub fn set_bounds(&self, bounds: Bounds) {
        *self.bounds.lock().unwrap_or_else(|e| e.into_inner()) = bounds;
    }

    fn nodes(&self, inner: &mut Inner) -> NodeCounts {
        let view = self.directory.view();
        inner.node_counter.count(view.members.keys(), clock::now())
    }

    /// Fraction of the nodes that are visible to this one.
    pub fn visible_share(&self) -> f64 {
        let mut inner = self.lock();
        self.nodes(&mut inner).visible_share()
    }

    /// Sets the number of nodes that the store lists.
    pub fn set_listed_nodes(&self, count: usize) {
        self.lock()
            .node_counter
            .set_listed_nodes(count, clock::now());
    }

    /// Refills the buckets of the workspaces that this node coordinates; called several times a
    /// second.
    pub fn refill_buckets(&self) {
        let Some(catalog) = self.replica.catalog() else {
            return;
        };
        let is_own =
            |w: &&Arc<Workspace>| self.coordinator(&w.name).as_ref() == Some(&self.instance);
        let coordinated: IndexMap<_, _> = catalog
            .workspaces()
            .filter(is_own)
            .map(|w| (&w.name, w))
            .collect();
        let bounds = self.bounds();
        let mut inner = self.lock();
        let nodes = self.nodes(&mut inner);
        let now = clock::now();
        inner
            .quota_buckets
            .retain(|name| coordinated.contains_key(name));
        for (name, workspace) in coordinated {
            inner
                .quota_buckets
                .refill(name, &workspace.quota, nodes, &bounds, now);
        }
    }

    /// Takes units of a workspace's quota.
    ///
    /// # Errors
    ///
    /// The milliseconds after which the units will be available.
    pub async fn take(&self, workspace: &Workspace, units: f64) -> Result<QuotaStatus, f64> {
        if workspace.quota.per_s <= 0.0 {
            return Ok(QuotaStatus::Within);
        }
        if self
            .lock()
            .local_quota
            .take(&workspace.name, units, clock::now())
        {
            return Ok(QuotaStatus::Within);
        }
        let coordinator = self.coordinator(&workspace.name);
        let lease = match coordinator {
            Some(name) if name != self.instance => match self.demand(&name, workspace, units).await
            {
                Ok(lease) => {
                    self.record_lease(&workspace.name, &name, &lease);
                    lease
                }
                Err(e) => {
                    info!(event = "banker_lost", workspace:% = workspace.name, banker:% = name, error:% = e; "no reply from the quota coordinator, using this node's own share");
                    self.lease_own_share(workspace, units)
                }
            },
            _ => {
                let totals = self.totals(&workspace.name, &self.instance);
                let lease = self.lease(&self.instance, workspace, units, totals);
                self.record_lease(&workspace.name, &self.instance, &lease);
                lease
            }
        };
        match lease {
            LeaseReply::Granted { status, .. } => Ok(status),
            LeaseReply::Exhausted { retry_after_ms } => Err(retry_after_ms),
        }
    }

    fn record_lease(&self, workspace: &WorkspaceName, by: &InstanceName, lease: &LeaseReply) {
        if let LeaseReply::Granted { units, .. } = lease {
            let mut inner = self.lock();
            inner.local_quota.record_lease(workspace, by, *units);
        }
    }

    /// Refunds the units of a request that did not run.
    pub fn refund(&self, workspace: &WorkspaceName, units: f64) {
        self.lock()
            .local_quota
            .refund(workspace, units, clock::now());
    }

    fn coordinator(&self, workspace: &WorkspaceName) -> Option<InstanceName> {
        coordinator(&self.directory.view(), workspace).cloned()
    }

    fn totals(&self, workspace: &WorkspaceName, coordinator: &InstanceName) -> QuotaTotals {
        let now = clock::now();
        self.lock().local_quota.totals(workspace, coordinator, now)
    }

    fn lease(
        &self,
        node: &InstanceName,
        workspace: &Workspace,
        units: f64,
        totals: QuotaTotals,
    ) -> LeaseReply {
        let bounds = self.bounds();
        let mut inner = self.lock();
        let nodes = self.nodes(&mut inner);
        let (name, quota) = (&workspace.name, &workspace.quota);
        let now = clock::now();
        inner.quota_buckets.reconcile(name, node, totals, now);
        inner
            .quota_buckets
            .lease(name, quota, units, nodes, &bounds, now)
    }

    fn lease_own_share(&self, workspace: &Workspace, units: f64) -> LeaseReply {
        let bounds = self.bounds();
        let mut inner = self.lock();
        let nodes = self.nodes(&mut inner);
        let (name, quota) = (&workspace.name, &workspace.quota);
        inner
            .local_quota
            .lease_own_share(name, quota, units, nodes, &bounds, clock::now())
    }

    async fn demand(
        &self,
        coordinator: &InstanceName,
        workspace: &Workspace,
        units: f64,
    ) -> rwd_peer::Result<LeaseReply> {
        let demand = Message::Demand {
            workspace: workspace.name.clone(),
            units,
            totals: self.totals(&workspace.name, coordinator),
        };
        match self
            .links
            .ask(coordinator, &demand, COORDINATOR_TIMEOUT)
            .await?
        {
            Message::Leased { units, within } => {
                let status = if within {
                    QuotaStatus::Within
                } else {
                    QuotaStatus::Beyond
                };
                Ok(LeaseReply::Granted { units, status })
            }
            Message::Exhausted { retry_after_ms } => Ok(LeaseReply::Exhausted { retry_after_ms }),
            _ => Err(Error::Unexpected),
        }
    }

    /// Replies to a peer's demand for units.
    pub fn serve_demand(
        &self,
        from: &InstanceName,
        workspace: &WorkspaceName,
        units: f64,
        totals: QuotaTotals,
    ) -> Message {
        let catalog = self.replica.catalog();
        let known = catalog.as_ref().and_then(|c| c.workspace_named(workspace));
        let lease = match known {
            Some(workspace) => self.lease(from, workspace, units, totals),
            // The peer has a newer configuration; it uses its own share and asks again next time.
            None => return Message::Unknown,
        };
        match lease {
            LeaseReply::Granted { units, status } => Message::Leased {
                units,
                within: status == QuotaStatus::Within,
            },
            LeaseReply::Exhausted { retry_after_ms } => Message::Exhausted { retry_after_ms },
        }
    }

    /// Records a caller's request, which adds to the retry budget of its pool.
    pub fn record_request(&self, pool: &PoolName) {
        let bounds = self.bounds();
        self.lock()
            .retries
            .record_request(pool, &bounds, clock::now());
    }

    /// Whether one more retry is within the pool's budget; counts it if so.
    pub fn may_retry(&self, pool: &PoolName) -> bool {
        let bounds = self.bounds();
        let mut inner = self.lock();
        let nodes = self.nodes(&mut inner);
        inner.retries.try_retry(pool, nodes, &bounds, clock::now())
    }
}

//! The active configuration: routes, workspaces and their keys, pools, limits.

use bytes::Bytes;
use compact_str::CompactString;
use indexmap::IndexMap;
use rwd_placement::{Capacity, TargetEntry, TargetInfo};
use rwd_types::{PoolName, TargetName, WorkspaceName};
use std::sync::Arc;

/// How a request without a response may be retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryPolicy {
    /// It is idempotent and may run any number of times.
    Safe,
    /// It may run at most once.
    Never,
    /// Another target may resume its stream after the last event received.
    Resume,
}

/// Maps requests by host and path prefix to pools.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name, for logs.
    pub name: CompactString,
    /// Host that it matches.
    pub host: CompactString,
    /// Path prefix that it matches.
    pub path_prefix: CompactString,
    /// Pools and their weights.
    pub pools: Vec<(PoolName, u32)>,
    /// How its requests may be retried.
    pub retry: RetryPolicy,
    /// Whether responses are event streams.
    pub streams: bool,
    /// Longest time for which a request is kept in progress, in milliseconds.
    pub timeout_ms: f64,
    /// Latency objective, in milliseconds: a response within it is worth most.
    pub objective_ms: f64,
    /// Maximum number of targets that one request may be sent to.
    pub attempts: u32,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Whether requests need no key.
    pub public: bool,
}

/// Rate limit of a workspace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Units per second; zero for no limit.
    pub per_s: f64,
    /// Units allowed at once beyond the rate.
    pub burst: f64,
    /// Whether units are tokens; otherwise requests.
    pub in_tokens: bool,
    /// Tokens charged for a request without token counts.
    pub plain_tokens: f64,
}

/// Priority and quota of a workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Its name.
    pub name: WorkspaceName,
    /// Priority of its requests.
    pub priority: u8,
    /// Rate limit.
    pub quota: Quota,
}

/// Defaults for the targets of one pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Slots of each target whose registry entry does not set them.
    pub slots: Option<u32>,
    /// Memory of each target in tokens; `None` for non-LLM services.
    pub memory_tokens: Option<u32>,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
}

/// Size limits of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Maximum size of a request's head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// How long a connection of a caller may be idle, in milliseconds.
    pub idle_ms: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            idle_ms: 90_000.0,
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// Version number; a higher one is newer.
    pub version: u64,
    routes: IndexMap<CompactString, Vec<Arc<Route>>>,
    /// Pools by name.
    pub pools: IndexMap<PoolName, Pool>,
    keys: IndexMap<CompactString, Arc<Workspace>>,
    workspaces: IndexMap<WorkspaceName, Arc<Workspace>>,
    /// Size limits of requests.
    pub limits: Limits,
    /// The record that it was parsed from, to be forwarded to nodes that do not read the store.
    pub source: Bytes,
}

impl Catalog {
    /// Builds a version and its indexes by host and by key.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        pools: IndexMap<PoolName, Pool>,
        workspaces: Vec<(Workspace, Vec<CompactString>)>,
        limits: Limits,
    ) -> Self {
        let mut by_host: IndexMap<CompactString, Vec<Arc<Route>>> = IndexMap::new();
        for route in routes {
            let host = route.host.to_lowercase();
            by_host.entry(host).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.path_prefix.len()));
        }
        let mut by_key = IndexMap::new();
        let mut workspaces_by_name = IndexMap::new();
        for (workspace, keys) in workspaces {
            let workspace = Arc::new(workspace);
            by_key.extend(keys.into_iter().map(|k| (k, workspace.clone())));
            workspaces_by_name.insert(workspace.name.clone(), workspace);
        }
        Self {
            version,
            routes: by_host,
            pools,
            keys: by_key,
            workspaces: workspaces_by_name,
            limits,
            source: Bytes::new(),
        }
    }

    /// The route of a request: the longest matching path prefix among the routes of the host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.routes.get(host) {
            Some(routes) => routes,
            None => self.routes.get(host.to_lowercase().as_str())?,
        };
        routes
            .iter()
            .find(|r| path.starts_with(r.path_prefix.as_str()))
    }

    /// The workspace that an API key belongs to.
    pub fn workspace(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.keys.get(key)
    }

    /// A workspace by name.
    pub fn workspace_named(&self, name: &WorkspaceName) -> Option<&Arc<Workspace>> {
        self.workspaces.get(name)
    }

    /// All workspaces.
    pub fn workspaces(&self) -> impl Iterator<Item = &Arc<Workspace>> {
        self.workspaces.values()
    }

    /// Weights of workspaces in the slot time of a pool that is short of it: their quotas, if all
    /// have one in the same unit, so that a workspace that is large as agreed keeps its usual part.
    /// Empty for equal weights.
    pub fn share_weights(&self) -> IndexMap<WorkspaceName, f64> {
        let mut quotas = self.workspaces.values().map(|w| w.quota);
        let first = quotas.next();
        let is_alike = |q: &Quota| q.per_s > 0.0 && Some(q.in_tokens) == first.map(|f| f.in_tokens);
        match first.as_ref().is_some_and(is_alike) && quotas.all(|q| is_alike(&q)) {
            true => {
                let weights = self.workspaces.iter();
                weights.map(|(n, w)| (n.clone(), w.quota.per_s)).collect()
            }
            false => IndexMap::new(),
        }
    }

    /// Whether requests of a route need a key.
    pub fn needs_key(&self, route: &Route) -> bool {
        !self.workspaces.is_empty() && !route.public
    }
}

impl Pool {
    /// Converts a registry entry to the scheduler's form, with the pool's defaults.
    pub fn target_info(&self, name: &TargetName, entry: &TargetEntry) -> TargetInfo {
        TargetInfo {
            name: name.clone(),
            born: entry.born,
            address: entry.address,
            zone: entry.zone.clone(),
            capacity: Capacity {
                slots: entry.slots.or(self.slots).unwrap_or(1),
                memory_tokens: self.memory_tokens,
            },
            leaving: entry.leaving,
            warm_up_ms: entry.warm_up_ms,
            version: entry.version.clone(),
        }
    }
}

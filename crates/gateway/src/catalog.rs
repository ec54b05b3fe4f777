//! The configuration in force: routes, workspaces and their keys, pools, limits.

use bytes::Bytes;
use compact_str::CompactString;
use indexmap::IndexMap;
use rwd_placement::{Capacity, TargetEntry, TargetInfo};
use rwd_types::{PoolName, TargetName, WorkspaceName};
use std::sync::Arc;

/// What may be done with a request that got no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryPolicy {
    /// It may run any number of times.
    Safe,
    /// It may run once.
    Never,
    /// Another target may continue its stream after the last event that arrived.
    Resume,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name, for logs.
    pub name: CompactString,
    /// The host it belongs to.
    pub host: CompactString,
    /// The beginning of the paths it matches.
    pub path_prefix: CompactString,
    /// Pools and their shares of the route's requests.
    pub pools: Vec<(PoolName, u32)>,
    /// What may be repeated.
    pub retry: RetryPolicy,
    /// Whether answers are streams of events.
    pub streams: bool,
    /// Longest time for which a request may be kept, in milliseconds.
    pub timeout_ms: f64,
    /// Time in which an answer is worth most, in milliseconds.
    pub objective_ms: f64,
    /// Most targets that one request may be sent to.
    pub attempts: u32,
    /// Its place in the order of value; 0 is the highest.
    pub priority: u8,
    /// Whether requests need no key.
    pub public: bool,
}

/// How much of the targets one workspace may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Units a second; zero for no limit.
    pub per_s: f64,
    /// Units at once beyond the rate.
    pub burst: f64,
    /// Whether units are tokens; otherwise requests.
    pub in_tokens: bool,
    /// Tokens that a request without a token count is taken for.
    pub plain_tokens: f64,
}

/// One workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Its name.
    pub name: WorkspaceName,
    /// Its place in the order of value.
    pub priority: u8,
    /// What it may use.
    pub quota: Quota,
}

/// One pool of targets.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Slots of each target, where its registry entry does not say.
    pub slots: Option<u32>,
    /// Memory of each target in tokens; none for plain services.
    pub memory_tokens: Option<u32>,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// Its number; a higher one is newer.
    pub version: u64,
    routes: IndexMap<CompactString, Vec<Arc<Route>>>,
    /// Pools by name.
    pub pools: IndexMap<PoolName, Pool>,
    keys: IndexMap<CompactString, Arc<Workspace>>,
    workspaces: IndexMap<WorkspaceName, Arc<Workspace>>,
    /// What callers may send.
    pub limits: Limits,
    /// The record that it was read from, for nodes that do not read the store themselves.
    pub source: Bytes,
}

impl Catalog {
    /// Puts a version together.
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
        let mut by_name = IndexMap::new();
        for (workspace, keys) in workspaces {
            let workspace = Arc::new(workspace);
            by_key.extend(keys.into_iter().map(|k| (k, workspace.clone())));
            by_name.insert(workspace.name.clone(), workspace);
        }
        Self {
            version,
            routes: by_host,
            pools,
            keys: by_key,
            workspaces: by_name,
            limits,
            source: Bytes::new(),
        }
    }

    /// The route of a request: the longest prefix of the path among those of the host.
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

    /// The workspace that holds a key.
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

    /// Whether requests of a route need a key.
    pub fn needs_key(&self, route: &Route) -> bool {
        !self.workspaces.is_empty() && !route.public
    }
}

impl Pool {
    /// A registry entry as a scheduler needs it.
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
        }
    }
}

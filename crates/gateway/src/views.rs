//! What a node knows of the configuration and the targets, and how old that is.

use indexmap::IndexMap;
use log::{info, warn};
use rwd_placement::Moment;
use rwd_types::{PoolName, TargetName};
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::watch;

use crate::{Catalog, Record, TargetEntry, clock};

/// How long an entry that the store dropped during an outage may take to return, in milliseconds.
const RETURN_GRACE_MS: f64 = 1500.0;

#[derive(Default)]
struct Inner {
    catalog: Option<Arc<Catalog>>,
    catalog_as_of: Option<Moment>,
    targets: IndexMap<TargetName, TargetEntry>,
    // Entries that went missing during an outage, and when they count as gone.
    missing: IndexMap<TargetName, Moment>,
    targets_as_of: Option<Moment>,
}

/// The shared record of what the store says; versions only go forward.
pub struct Views {
    inner: Mutex<Inner>,
    changed: watch::Sender<u64>,
}

impl Default for Views {
    fn default() -> Self {
        Self {
            inner: Mutex::default(),
            changed: watch::Sender::new(0),
        }
    }
}

impl Views {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn notify(&self) {
        self.changed.send_modify(|n| *n += 1);
    }

    /// Follows changes of either view.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// The configuration in force.
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.lock().catalog.clone()
    }

    /// Milliseconds since the configuration was known to be the newest.
    pub fn catalog_age_ms(&self) -> f64 {
        let as_of = self.lock().catalog_as_of;
        as_of.map_or(f64::INFINITY, |t| clock::now() - t)
    }

    /// Whether the node knows enough to serve.
    pub fn is_complete(&self) -> bool {
        let inner = self.lock();
        inner.catalog.is_some() && inner.targets_as_of.is_some()
    }

    /// Takes in a version of the configuration; an older one changes nothing.
    pub fn apply_catalog(&self, catalog: Catalog) {
        let mut inner = self.lock();
        let known = inner.catalog.as_ref().map(|c| c.version);
        if known.is_some_and(|v| v >= catalog.version) {
            return;
        }
        info!(event = "config", version = catalog.version, before:? = known; "configuration in force");
        inner.catalog = Some(Arc::new(catalog));
        drop(inner);
        self.notify();
    }

    /// Records that the configuration was the newest at `as_of`.
    pub fn confirm_catalog(&self, as_of: Moment) {
        let mut inner = self.lock();
        if inner.catalog_as_of.is_none_or(|t| t < as_of) {
            inner.catalog_as_of = Some(as_of);
        }
    }

    /// Takes in a whole list of targets; `after_outage` gives missing entries time to return.
    pub fn replace_targets(&self, records: Vec<Record>, after_outage: bool) {
        let now = clock::now();
        let mut inner = self.lock();
        let mut listed = Vec::new();
        for record in records {
            match record {
                Record::Target(name, Some(entry)) => {
                    listed.push(name.clone());
                    inner.put_target(name, entry);
                }
                Record::Unreadable { key, reason } => {
                    warn!(event = "registry", key:%, reason:%; "unreadable entry");
                }
                _ => (),
            }
        }
        let grace = if after_outage { RETURN_GRACE_MS } else { 0.0 };
        let absent: Vec<_> = inner
            .targets
            .keys()
            .filter(|name| !listed.contains(name))
            .cloned()
            .collect();
        for name in absent {
            inner.missing.entry(name).or_insert(now + grace);
        }
        inner.expire(now);
        drop(inner);
        self.notify();
    }

    /// Takes in changes of the targets.
    pub fn apply_targets(&self, records: Vec<Record>, after_outage: bool) {
        let now = clock::now();
        let mut changed = false;
        let mut inner = self.lock();
        for record in records {
            match record {
                Record::Target(name, Some(entry)) => changed |= inner.put_target(name, entry),
                Record::Target(name, None) => {
                    let grace = if after_outage { RETURN_GRACE_MS } else { 0.0 };
                    inner.missing.entry(name).or_insert(now + grace);
                }
                Record::Unreadable { key, reason } => {
                    warn!(event = "registry", key:%, reason:%; "unreadable entry");
                }
                _ => (),
            }
        }
        changed |= inner.expire(now);
        drop(inner);
        if changed {
            self.notify();
        }
    }

    /// Records that the list of targets was the newest at `as_of`.
    pub fn confirm_targets(&self, as_of: Moment) {
        let mut inner = self.lock();
        if inner.targets_as_of.is_none_or(|t| t < as_of) {
            inner.targets_as_of = Some(as_of);
        }
    }

    /// Milliseconds since the list of targets was known to be the newest.
    pub fn targets_age_ms(&self) -> f64 {
        let as_of = self.lock().targets_as_of;
        as_of.map_or(f64::INFINITY, |t| clock::now() - t)
    }

    /// Whether a target may get work, as far as this node knows.
    pub fn is_staying(&self, target: &TargetName) -> bool {
        let inner = self.lock();
        let entry = inner.targets.get(target);
        entry.is_some_and(|e| !e.leaving) && !inner.missing.contains_key(target)
    }

    /// The targets of a pool.
    pub fn targets(&self, pool: &PoolName) -> Vec<(TargetName, TargetEntry)> {
        let inner = self.lock();
        let of_pool = inner.targets.iter().filter(|(_, e)| e.pool == *pool);
        of_pool.map(|(n, e)| (n.clone(), e.clone())).collect()
    }
}

impl Inner {
    // Whether anything but the sequence changed.
    fn put_target(&mut self, name: TargetName, entry: TargetEntry) -> bool {
        self.missing.swap_remove(&name);
        match self.targets.get_mut(&name) {
            Some(old) if !entry.replaces(old) => false,
            Some(old) => {
                let same = TargetEntry {
                    sequence: entry.sequence,
                    ..old.clone()
                } == entry;
                if !same {
                    info!(event = "registry", target:% = name, leaving = entry.leaving; "target changed");
                }
                *old = entry;
                !same
            }
            None => {
                info!(event = "registry", target:% = name, address:% = entry.address, pool:% = entry.pool; "target added");
                self.targets.insert(name, entry);
                true
            }
        }
    }

    fn expire(&mut self, now: Moment) -> bool {
        let due = self.missing.iter().filter(|(_, at)| **at <= now);
        let due: Vec<_> = due.map(|(n, _)| n.clone()).collect();
        for name in &due {
            self.missing.swap_remove(name);
            if self.targets.shift_remove(name).is_some() {
                info!(event = "registry", target:% = name; "target removed");
            }
        }
        !due.is_empty()
    }
}

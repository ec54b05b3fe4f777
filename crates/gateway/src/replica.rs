//! Local replica of the store's configuration and target registry, with the age of each.

use indexmap::{IndexMap, IndexSet};
use log::{info, warn};
use rwd_placement::{
    RolloutOrder, ServedVersion, ServedVersions, Stage, TargetEntry, Timestamp, Version, Versions,
};
use rwd_types::{PoolName, StoreEra, TargetName};
use rwd_wire::{KnownOrder, StoreAccess, StoreCursor, StoreUpdate};
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::watch;

use crate::catalog_sync::CatalogSource;
use crate::orders::Orders;
use crate::{Catalog, Feed, Record, clock, source};

/// Time without a confirmed list of targets above which the store counts as unavailable, in
/// milliseconds.
const OUTAGE_MS: f64 = 2000.0;
/// Longest time between two confirmations without an outage, in milliseconds. Shorter than an outage, so
/// that a node that noticed less of it than others does not deny it.
const MAX_CONFIRM_GAP_MS: f64 = 1500.0;
/// How long after an outage of the store entries that it drops may be back soon, in milliseconds.
const AFTER_OUTAGE_MS: f64 = 2000.0;
/// Age of the list of targets up to which a version that is listed alone counts as the only one, in milliseconds:
/// somewhat more than the list gets while its sources work.
const MAX_SOLE_AGE_MS: f64 = 2500.0;
/// How long an entry that the store dropped during an outage may take to return, in milliseconds.
const RETURN_GRACE_MS: f64 = 1500.0;
/// Maximum number of versions of the configuration whose sources are kept for followers. A transfer
/// must end although versions follow each other several times a second.
const MAX_SOURCES: usize = 8;
/// Maximum number of removed targets that are remembered.
const MAX_REMOVED: usize = 4096;
/// How long the operator and the targets may take to write again what a store has lost that came
/// back from an older copy, in milliseconds.
const REWRITE_MS: f64 = 2000.0;

/// Where a list of targets, or changes of it, come from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Source {
    /// The store; it may have come back from an older copy.
    Store,
    /// Another node, which knows of at least as late a time as this one.
    Peer,
}

#[derive(Default)]
struct Inner {
    catalog: Option<Arc<Catalog>>,
    catalog_as_of: Option<Timestamp>,
    // Sources of the active version and those before it, oldest first. Followers may still be
    // receiving an earlier one.
    sources: Vec<Arc<CatalogSource>>,
    // The store's latest era that is known, and when it was first seen if that was not the first one.
    store_era: Option<StoreEra>,
    restored_at: Option<Timestamp>,
    // The oldest version that may be the first one to become active.
    least_version: u64,
    targets: IndexMap<TargetName, TargetEntry>,
    targets_as_of: Option<Timestamp>,
    // Since when the list has been confirmed without a long gap.
    confirmed_since: Option<Timestamp>,
    // When the last outage of the store ended, as far as this node knows.
    outage_ended: Option<Timestamp>,
    // Entries that disappeared from the registry, and when each is removed.
    missing: IndexMap<TargetName, Timestamp>,
    // The last entries of removed targets. An older copy of the registry may still list them.
    removed: IndexMap<TargetName, TargetEntry>,
    // Number of the last change of each target, including removed ones.
    changes: IndexMap<TargetName, u64>,
    change: u64,
    // Orders of roll-outs; none if these are switched off.
    orders: Option<Orders>,
    // The versions that have served each pool, and whether this node knows all of them.
    served: ServedVersions,
    knows_served: bool,
    // Whether this node reads the store, and the feeds whose reads fail.
    reads: bool,
    failing: Vec<Feed>,
}

/// Local replica of the store; versions never go backwards.
pub struct StoreReplica {
    // Distinguishes this process's change numbers from those of an earlier process.
    epoch: u64,
    inner: Mutex<Inner>,
    changed: watch::Sender<u64>,
}

impl Default for StoreReplica {
    fn default() -> Self {
        Self {
            epoch: rand::random(),
            inner: Mutex::default(),
            changed: watch::Sender::new(0),
        }
    }
}

impl StoreReplica {
    /// A replica that also keeps the orders of roll-outs, if these are switched on.
    pub fn with_rollouts(on: bool) -> Self {
        let inner = Inner {
            orders: on.then(Orders::default),
            ..Inner::default()
        };
        Self {
            inner: Mutex::new(inner),
            ..Self::default()
        }
    }

    /// Whether orders of roll-outs are kept.
    pub fn has_rollouts(&self) -> bool {
        self.lock().orders.is_some()
    }

    // Changes the orders; `change` returns whether there is news for other nodes.
    fn change_orders(&self, change: impl FnOnce(&mut Orders) -> bool) {
        let mut inner = self.lock();
        let changed = inner.orders.as_mut().is_some_and(change);
        if changed {
            inner.change += 1;
            drop(inner);
            self.notify();
        }
    }

    /// Applies an order that was read from the store, or its withdrawal.
    pub fn apply_order(&self, pool: &PoolName, order: Option<RolloutOrder>) {
        self.change_orders(|orders| orders.apply(pool, order, clock::now()));
    }

    /// Applies the orders that another node knows as of `as_of`.
    pub fn merge_orders(&self, news: Vec<KnownOrder>, as_of: Timestamp) {
        self.change_orders(|orders| {
            let changed = news.into_iter().map(|n| orders.merge(n, as_of));
            changed.fold(false, |any, changed| any | changed)
        });
    }

    /// Records how an order ended.
    pub fn end_order(&self, pool: &PoolName, order: &RolloutOrder, stage: Stage) {
        self.change_orders(|orders| orders.end(pool, order, stage));
    }

    /// The newest order of each pool.
    pub fn orders(&self) -> Vec<KnownOrder> {
        let inner = self.lock();
        let orders = inner.orders.as_ref();
        orders.map_or(Vec::new(), |o| o.list(clock::now()))
    }

    /// Records versions that have served, as the store or another node knows them.
    pub fn learn_served(&self, served: &[ServedVersion]) {
        let mut inner = self.lock();
        let first = !inner.knows_served;
        inner.knows_served = true;
        if inner.served.merge(served, clock::now()) || first {
            inner.change += 1;
            drop(inner);
            self.notify();
        }
    }

    /// Whether this node knows all versions that have served lately, from the store or from another node.
    pub fn knows_served(&self) -> bool {
        self.lock().knows_served
    }

    /// The versions that have served lately, unless this node may not know all of them.
    pub fn served_versions(&self) -> Option<Vec<ServedVersion>> {
        let now = clock::now();
        let mut inner = self.lock();
        inner.observe_versions(now);
        inner.knows_served.then(|| inner.served.news(now))
    }

    /// The versions of listed targets, by pool.
    pub fn listed_versions(&self) -> IndexMap<PoolName, IndexSet<Version>> {
        let inner = self.lock();
        let mut listed: IndexMap<PoolName, IndexSet<Version>> = IndexMap::new();
        for entry in inner.targets.values() {
            let versions = listed.entry(entry.pool.clone()).or_default();
            versions.insert(entry.version.clone());
        }
        listed
    }

    /// The only version of a pool that may have begun streams which can be taken up, if there is one. A node
    /// that has not heard of the registry for long may not know of others.
    pub fn sole_version(&self, pool: &PoolName) -> Option<Version> {
        match self.versions(pool) {
            Versions::Sole(version) => Some(version),
            Versions::Unknown | Versions::Several => None,
        }
    }

    /// Which versions may have begun streams of a pool.
    pub fn versions(&self, pool: &PoolName) -> Versions {
        let now = clock::now();
        let mut inner = self.lock();
        inner.observe_versions(now);
        let is_recent = age_ms(inner.targets_as_of) <= MAX_SOLE_AGE_MS;
        match inner.served.sole(pool, now) {
            _ if !inner.knows_served || !is_recent => Versions::Unknown,
            Some(version) => Versions::Sole(version.clone()),
            None => Versions::Several,
        }
    }

    /// The pools of which targets of several versions serve, or served lately.
    pub fn mixed_pools(&self) -> IndexSet<PoolName> {
        let now = clock::now();
        let mut inner = self.lock();
        inner.observe_versions(now);
        let pools: IndexSet<_> = inner.targets.values().map(|e| e.pool.clone()).collect();
        let is_mixed = |pool: &PoolName| inner.served.sole(pool, now).is_none();
        pools.into_iter().filter(is_mixed).collect()
    }

    /// The version of a listed target and its warm-up time, in milliseconds.
    pub fn target_version(&self, target: &TargetName) -> Option<(Version, f64)> {
        let inner = self.lock();
        let entry = inner.targets.get(target)?;
        Some((entry.version.clone(), entry.warm_up_ms))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn notify(&self) {
        self.changed.send_modify(|n| *n += 1);
    }

    /// Subscribes to changes of the configuration or the targets.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// The source of a version of the configuration: the active one or one of those before it.
    pub(crate) fn catalog_source(&self, version: u64) -> Option<Arc<CatalogSource>> {
        let inner = self.lock();
        let found = inner.sources.iter().find(|s| s.version() == version);
        found.cloned()
    }

    /// The active configuration.
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.lock().catalog.clone()
    }

    /// Milliseconds since the configuration was last confirmed to be the newest.
    pub fn catalog_age_ms(&self) -> f64 {
        age_ms(self.lock().catalog_as_of)
    }

    /// Milliseconds since the list of targets was last confirmed to be the newest.
    pub fn targets_age_ms(&self) -> f64 {
        age_ms(self.lock().targets_as_of)
    }

    /// Whether both configuration and targets have been read, so that the node can serve.
    pub fn is_complete(&self) -> bool {
        let inner = self.lock();
        inner.catalog.is_some() && inner.targets_as_of.is_some()
    }

    /// How this node gets the store's state.
    pub fn access(&self) -> StoreAccess {
        self.lock().access()
    }

    /// Records whether this node reads the store.
    pub fn record_reading(&self, reads: bool) {
        let mut inner = self.lock();
        inner.reads = reads;
        inner.failing.clear();
    }

    /// Records whether this node's last read of a feed failed. Followers learn at once that it did.
    pub fn record_access(&self, feed: Feed, fails: bool) {
        let mut inner = self.lock();
        let before = inner.access();
        inner.failing.retain(|f| *f != feed);
        if fails {
            inner.failing.push(feed);
        }
        let changed = inner.access() != before;
        drop(inner);
        if changed {
            self.notify();
        }
    }

    /// Records the era of a response of the store, or the latest one that another node knows. Returns
    /// whether the store has come back from an older copy.
    pub fn observe_era(&self, era: StoreEra) -> bool {
        let mut inner = self.lock();
        let before = inner.store_era;
        if before.is_some_and(|known| known >= era) {
            return false;
        }
        inner.store_era = Some(era);
        let Some(before) = before else {
            return false;
        };
        inner.restored_at = Some(clock::now());
        let version = inner.catalog.as_ref().map(|c| c.version);
        info!(event = "store_restored", era:% = era, before:% = before, version:?, targets = inner.targets.len(); "the store has come back from an older copy");
        drop(inner);
        self.notify();
        true
    }

    /// The store's latest era that this node knows.
    pub fn store_era(&self) -> Option<StoreEra> {
        self.lock().store_era
    }

    /// When a restored store will hold again what the operator and the targets had written to it,
    /// if that is not yet so.
    pub fn rewritten_at(&self) -> Option<Timestamp> {
        self.lock().rewritten_at()
    }

    /// Prevents that an older version than this becomes the first active one: another node has it,
    /// and the store may have come back from an older copy.
    pub fn require_version(&self, version: u64) {
        let mut inner = self.lock();
        inner.least_version = inner.least_version.max(version);
    }

    /// Activates a version of the configuration if it is newer than the active one.
    pub fn apply_catalog(&self, catalog: Catalog) {
        let mut inner = self.lock();
        let known = inner.catalog.as_ref().map(|c| c.version);
        if known.is_some_and(|v| v >= catalog.version) {
            return;
        }
        if known.is_none() && catalog.version < inner.least_version {
            info!(event = "config_outdated", version = catalog.version, newest = inner.least_version; "not activated: another node has a newer version");
            return;
        }
        info!(event = "config", version = catalog.version, before:? = known, bytes = catalog.source.len(); "configuration activated");
        if inner.sources.len() == MAX_SOURCES {
            inner.sources.remove(0);
        }
        let source = CatalogSource::new(catalog.version, catalog.source.clone());
        inner.sources.push(Arc::new(source));
        inner.catalog = Some(Arc::new(catalog));
        drop(inner);
        self.notify();
    }

    /// Records that the configuration was the newest at `as_of`.
    ///
    /// Without effect if a restored store may have lacked newer versions at that time.
    pub fn confirm_catalog(&self, as_of: Timestamp) {
        let mut inner = self.lock();
        if inner.restored_at.is_some_and(|at| as_of < at + REWRITE_MS) {
            return;
        }
        inner.catalog_as_of = max_timestamp(inner.catalog_as_of, as_of);
    }

    /// Records that the list of targets was the newest at `as_of`.
    pub fn confirm_targets(&self, as_of: Timestamp) {
        let mut inner = self.lock();
        let first = inner.targets_as_of.is_none();
        if inner
            .targets_as_of
            .is_none_or(|t| as_of - t > MAX_CONFIRM_GAP_MS)
        {
            inner.confirmed_since = Some(as_of);
        }
        inner.targets_as_of = max_timestamp(inner.targets_as_of, as_of);
        drop(inner);
        if first {
            self.notify();
        }
    }

    /// Records that the store has responded to a read from `at`. If no node that this one knows of has
    /// reached it for long, entries that expired meanwhile get time to return.
    pub fn record_store_read(&self, at: Timestamp) {
        let mut inner = self.lock();
        if inner.targets_as_of.is_some_and(|t| at - t > OUTAGE_MS) {
            inner.outage_ended = Some(at);
        }
    }

    /// Whether entries that the store drops may be back soon, because it was unavailable.
    pub fn is_after_outage(&self) -> bool {
        let ended = self.lock().outage_ended;
        ended.is_some_and(|t| clock::now() - t < AFTER_OUTAGE_MS)
    }

    /// Takes note that another node has had a confirmed list since `since`: only this node was unable
    /// to reach the store, and entries that are missing are gone.
    pub fn record_confirmed_elsewhere(&self, since: Timestamp) {
        let now = clock::now();
        let mut inner = self.lock();
        let is_refuted = inner.outage_ended.is_some_and(|t| t - since > OUTAGE_MS);
        if !is_refuted {
            return;
        }
        inner.outage_ended = None;
        for expires in inner.missing.values_mut() {
            *expires = now;
        }
        drop(inner);
        self.expire_missing();
    }

    /// When the next missing entry expires.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        let inner = self.lock();
        let times = inner.missing.values().copied();
        times.min_by(|a, b| a.0.total_cmp(&b.0))
    }

    /// Removes the targets whose missing entries have had time to return.
    pub fn expire_missing(&self) {
        let changed = self.lock().expire(clock::now());
        if changed {
            self.notify();
        }
    }

    /// Applies a complete list of targets; `after_outage` gives missing entries time to return.
    pub fn replace_targets(&self, records: Vec<Record>, after_outage: bool) {
        self.replace(records, after_outage, Source::Store);
    }

    fn replace(&self, records: Vec<Record>, after_outage: bool, source: Source) {
        let now = clock::now();
        let mut inner = self.lock();
        let listed_names = records.iter().filter_map(|r| match r {
            Record::Target(name, Some(_)) => Some(name.clone()),
            _ => None,
        });
        let listed: Vec<_> = listed_names.collect();
        inner.apply_records(records, now, return_grace_ms(after_outage), source);
        let absent = inner.targets.keys().filter(|name| !listed.contains(name));
        // A restored store lacks targets that registered after the copy was made.
        let absent: Vec<_> = match inner.rewritten_at() {
            Some(_) if source == Source::Store => Vec::new(),
            _ => absent.cloned().collect(),
        };
        for name in absent {
            inner
                .missing
                .entry(name)
                .or_insert(now + return_grace_ms(after_outage));
        }
        let changed = inner.expire(now);
        drop(inner);
        if changed || !listed.is_empty() {
            self.notify();
        }
    }

    /// Applies changed target entries; `after_outage` gives removed entries time to return.
    pub fn apply_targets(&self, records: Vec<Record>, after_outage: bool) {
        self.apply(records, after_outage, Source::Store);
    }

    fn apply(&self, records: Vec<Record>, after_outage: bool, source: Source) {
        let now = clock::now();
        let mut inner = self.lock();
        let mut changed = inner.apply_records(records, now, return_grace_ms(after_outage), source);
        changed |= inner.expire(now);
        drop(inner);
        if changed {
            self.notify();
        }
    }

    /// Applies a peer's target entries as of `as_of`: the `whole` list, or changes to it.
    ///
    /// Returns `false` for entries older than the local list; they could restore removed targets.
    pub fn apply_update(&self, records: Vec<Record>, whole: bool, as_of: Timestamp) -> bool {
        let own = self.lock().targets_as_of;
        if own.is_some_and(|own| own > as_of) {
            return false;
        }
        match whole {
            true => self.replace(records, false, Source::Peer),
            false => self.apply(records, false, Source::Peer),
        }
        self.confirm_targets(as_of);
        true
    }

    /// Whether a target may be sent requests: it is listed, not draining and not missing.
    pub fn is_active(&self, target: &TargetName) -> bool {
        let inner = self.lock();
        let entry = inner.targets.get(target);
        entry.is_some_and(|e| !e.leaving) && !inner.missing.contains_key(target)
    }

    /// Whether a target of a pool with this version may be sent requests.
    pub fn is_served(&self, pool: &PoolName, version: &Version) -> bool {
        let inner = self.lock();
        let mut of_pool = inner.targets.iter().filter(|(_, e)| e.pool == *pool);
        of_pool.any(|(name, e)| {
            !e.leaving && e.version == *version && !inner.missing.contains_key(name)
        })
    }

    /// The start time of a listed target's process, and the version of its software.
    pub fn process(&self, target: &TargetName) -> Option<(u64, Version)> {
        let inner = self.lock();
        let entry = inner.targets.get(target)?;
        Some((entry.born, entry.version.clone()))
    }

    /// The start time of a listed target's process.
    pub fn born(&self, target: &TargetName) -> Option<u64> {
        self.lock().targets.get(target).map(|e| e.born)
    }

    /// The targets of a pool; those whose entries are missing count as draining.
    pub fn targets(&self, pool: &PoolName) -> Vec<(TargetName, TargetEntry)> {
        let inner = self.lock();
        let of_pool = inner.targets.iter().filter(|(_, e)| e.pool == *pool);
        let entries = of_pool.map(|(name, entry)| {
            let leaving = entry.leaving || inner.missing.contains_key(name);
            let entry = TargetEntry {
                leaving,
                ..entry.clone()
            };
            (name.clone(), entry)
        });
        entries.collect()
    }

    /// Whether this replica has changes that a follower at `cursor` lacks.
    pub fn has_update(&self, cursor: &StoreCursor) -> bool {
        let inner = self.lock();
        let version = inner.catalog.as_ref().map(|c| c.version);
        let is_changed = cursor.epoch != self.epoch || cursor.change < inner.change;
        version > cursor.catalog || inner.store_era > cursor.store_era || is_changed
    }

    /// The changes that a follower at `cursor` lacks, and their age.
    pub fn update_since(&self, cursor: &StoreCursor) -> StoreUpdate {
        let mut inner = self.lock();
        inner.observe_versions(clock::now());
        let catalog = inner.catalog.as_ref();
        let whole = cursor.epoch != self.epoch;
        let since = if whole { 0 } else { cursor.change };
        let changed = inner.changes.iter().filter(|(_, n)| **n > since);
        let targets = changed.map(|(name, _)| (name.clone(), inner.targets.get(name).cloned()));
        let targets = targets.filter(|(_, entry)| !whole || entry.is_some());
        let age = |as_of: Option<Timestamp>| as_of.map(|t| clock::now() - t);
        StoreUpdate {
            access: inner.access(),
            store_era: inner.store_era,
            catalog: catalog.map(|c| c.version),
            catalog_age_ms: age(inner.catalog_as_of),
            whole,
            targets: targets.collect(),
            targets_age_ms: age(inner.targets_as_of),
            targets_confirmed_ms: age(inner.confirmed_since),
            epoch: self.epoch,
            change: inner.change,
            held_ms: 0.0,
            served: inner.knows_served.then(|| inner.served.news(clock::now())),
            orders: inner
                .orders
                .as_ref()
                .map_or(Vec::new(), |o| o.list(clock::now())),
        }
    }
}

fn age_ms(as_of: Option<Timestamp>) -> f64 {
    as_of.map_or(f64::INFINITY, |t| clock::now() - t)
}

fn max_timestamp(known: Option<Timestamp>, as_of: Timestamp) -> Option<Timestamp> {
    match known {
        Some(t) if t >= as_of => Some(t),
        _ => Some(as_of),
    }
}

fn return_grace_ms(after_outage: bool) -> f64 {
    if after_outage { RETURN_GRACE_MS } else { 0.0 }
}

impl Inner {
    // Records that the listed targets serve.
    fn observe_versions(&mut self, now: Timestamp) {
        let targets = self.targets.values();
        let seen: IndexSet<_> = targets.map(|e| (&e.pool, &e.version)).collect();
        for (pool, version) in seen {
            self.served.record(pool, version, now);
        }
    }

    fn access(&self) -> StoreAccess {
        let age_ms = age_ms(self.catalog_as_of).max(age_ms(self.targets_as_of));
        source::access(self.reads, !self.failing.is_empty(), age_ms)
    }

    fn rewritten_at(&self) -> Option<Timestamp> {
        let at = self.restored_at? + REWRITE_MS;
        (clock::now() < at).then_some(at)
    }

    fn apply_records(
        &mut self,
        records: Vec<Record>,
        now: Timestamp,
        grace_ms: f64,
        source: Source,
    ) -> bool {
        let mut changed = false;
        for record in records {
            match record {
                Record::Target(name, Some(entry)) if self.is_outdated(&name, &entry, source) => {
                    info!(event = "registry_outdated", target:% = name, sequence = entry.sequence; "ignoring an entry from before the target's removal");
                }
                Record::Target(name, Some(entry)) => changed |= self.upsert_target(name, entry),
                Record::Target(name, None) => {
                    changed |= !self.missing.contains_key(&name);
                    self.missing.entry(name).or_insert(now + grace_ms);
                }
                Record::Unreadable { key, reason } => {
                    warn!(event = "registry", key:%, reason:%; "unreadable entry");
                }
                _ => (),
            }
        }
        changed
    }

    // Whether the store's entry of a target was written before that was removed.
    fn is_outdated(&self, name: &TargetName, entry: &TargetEntry, source: Source) -> bool {
        let removed = self.removed.get(name);
        source == Source::Store && removed.is_some_and(|removed| !entry.is_newer(removed))
    }

    // Returns whether anything but the sequence changed.
    fn upsert_target(&mut self, name: TargetName, entry: TargetEntry) -> bool {
        self.removed.shift_remove(&name);
        let returned = self.missing.swap_remove(&name).is_some();
        let old = self.targets.get(&name);
        if old.is_some_and(|old| !entry.replaces(old)) {
            return returned;
        }
        let changed = old.is_none_or(|old| entry.differs(old));
        if let Some(old) = old {
            self.served.record(&old.pool, &old.version, clock::now());
        }
        if changed {
            info!(event = "registry", target:% = name, address:% = entry.address, pool:% = entry.pool, leaving = entry.leaving; "target listed");
            self.record_change(&name);
        }
        self.targets.insert(name, entry);
        changed || returned
    }

    fn record_change(&mut self, name: &TargetName) {
        self.change += 1;
        self.changes.shift_remove(name);
        self.changes.insert(name.clone(), self.change);
        let (changes, targets) = (&mut self.changes, &self.targets);
        if changes.len() > targets.len() + MAX_REMOVED {
            changes.retain(|name, _| targets.contains_key(name));
        }
    }

    fn expire(&mut self, now: Timestamp) -> bool {
        let expired = self.missing.iter().filter(|(_, at)| **at <= now);
        let expired: Vec<_> = expired.map(|(n, _)| n.clone()).collect();
        let mut changed = false;
        for name in &expired {
            self.missing.swap_remove(name);
            if let Some(entry) = self.targets.shift_remove(name) {
                info!(event = "registry", target:% = name; "target removed");
                self.served.record(&entry.pool, &entry.version, now);
                self.record_change(name);
                self.removed.insert(name.clone(), entry);
                changed = true;
            }
        }
        while self.removed.len() > MAX_REMOVED {
            self.removed.shift_remove_index(0);
        }
        changed
    }
}

//! Roll-outs: keeps this node's requests to what it is allowed, and decides for all nodes where this one is
//! the decider.

use compact_str::CompactString;
use indexmap::IndexMap;
use log::{debug, info, warn};
use rwd_metrics::{Metrics, label};
use rwd_peer::{Directory, Links, first_by_cpu};
use rwd_placement::{
    Decider, NodeRollout, RolloutGrant, RolloutLimits, RolloutReport, Stage, StatusRecord,
    Timestamp, Version, VersionRule,
};
use rwd_timer::Timer;
use rwd_types::{InstanceName, PoolName, TargetName};
use rwd_wire::{KnownOrder, Liveness, Message};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{Feed, Position, Record, Store, StoreReplica, UnixClock, clock};

/// Period in which reports that are due are sent.
const TICK: Duration = Duration::from_millis(50);
/// How long a decider may take to reply: some round trips between zones.
const REPLY_TIMEOUT: Duration = Duration::from_millis(300);
/// Period of a decider's writes to the store.
const WRITE_PERIOD: Duration = Duration::from_millis(100);
/// Time between two reads of the status records while a roll-out is under way, in milliseconds; two fit
/// into the time for which they count as known.
const READ_MS: f64 = 500.0;
/// Timeout of a store call.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Seed of the rendezvous keys by which nodes rank the deciders of pools.
const DECIDER_SEED: u64 = 0x726f_6c6c;
/// Age of an order up to which a pool whose targets all have its version needs no roll-out, in
/// milliseconds; later, the targets of the old version may have failed.
const ALREADY_THERE_MS: f64 = 3000.0;

struct Local {
    node: NodeRollout,
    has_old: bool,
    has_new: bool,
}

#[derive(Default)]
struct Inner {
    local: IndexMap<PoolName, Local>,
    deciders: IndexMap<PoolName, Decider>,
    // Requests in progress at targets of each version, from this node.
    in_use: IndexMap<(PoolName, Version), u32>,
}

/// The roll-outs that this node takes part in.
pub(crate) struct Rollouts {
    instance: InstanceName,
    directory: Arc<Directory>,
    links: Arc<Links>,
    replica: Arc<StoreReplica>,
    metrics: Arc<Metrics>,
    /// Without limits there are no roll-outs.
    limits: Option<RolloutLimits>,
    unix: UnixClock,
    inner: Mutex<Inner>,
}

/// The roll-out has gone on while a request waited for its slot, which it must not use.
pub(crate) struct Superseded;

/// A request in progress at a target, until dropped.
pub(crate) struct InUse {
    rollouts: Arc<Rollouts>,
    pool: PoolName,
    version: Version,
    target: TargetName,
    /// Whether the target still warmed up when the request was sent.
    warms_up: bool,
    since: Timestamp,
}

impl InUse {
    /// Records an answer and the time to its first byte, in milliseconds.
    pub fn record_answer(&self, route: &CompactString, failed: bool, ms: f64) {
        let mut inner = self.rollouts.lock();
        let Some(Local { node, .. }) = inner.local.get_mut(&self.pool) else {
            return;
        };
        let is_new = node.order().to == self.version;
        let is_slow = !self.warms_up && node.is_slow(route, ms);
        node.record_answer(route, is_new, failed, (!self.warms_up).then_some(ms));
        if is_new && (failed || is_slow) {
            node.record_bad_target(xxh3_64(self.target.as_str().as_bytes()));
        }
    }

    /// Whether the target has the new version of a roll-out.
    pub fn is_new(&self) -> bool {
        let inner = self.rollouts.lock();
        let local = inner.local.get(&self.pool);
        local.is_some_and(|l| l.node.order().to == self.version)
    }
}

impl Drop for InUse {
    fn drop(&mut self) {
        let mut inner = self.rollouts.lock();
        let key = (self.pool.clone(), self.version.clone());
        let left = inner.in_use.get(&key).copied().unwrap_or_default();
        match left {
            0 | 1 => drop(inner.in_use.swap_remove(&key)),
            left => drop(inner.in_use.insert(key, left - 1)),
        }
        if let Some(Local { node, .. }) = inner.local.get_mut(&self.pool)
            && node.order().to != self.version
        {
            node.record_old_end(clock::now() - self.since);
        }
    }
}

impl Rollouts {
    pub fn new(
        instance: InstanceName,
        directory: Arc<Directory>,
        links: Arc<Links>,
        replica: Arc<StoreReplica>,
        metrics: Arc<Metrics>,
        limits: Option<RolloutLimits>,
    ) -> Self {
        Self {
            instance,
            directory,
            links,
            replica,
            metrics,
            limits,
            unix: UnixClock::start(),
            inner: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Which versions a request may go to; `began_old` says whether it was sent to an old one before.
    pub fn choose(&self, pool: &PoolName, began_old: bool) -> VersionRule {
        let mut inner = self.lock();
        match inner.local.get_mut(pool) {
            Some(l) => l.node.choose(began_old, l.has_old, l.has_new, clock::now()),
            None => VersionRule::Any,
        }
    }

    /// The rule for a stream that a version of the pool began; none if it may not go on there.
    pub fn choose_resume(&self, pool: &PoolName, version: &Version) -> Option<VersionRule> {
        let mut inner = self.lock();
        let rule = match inner.local.get_mut(pool) {
            Some(l) => l.node.choose_resume(version, l.has_new, clock::now()),
            None => VersionRule::Only(version.clone()),
        };
        Some(rule).filter(|rule| rule.allows(version))
    }

    /// Records that a request is about to be sent to a target; without roll-outs there is nothing to
    /// record.
    ///
    /// # Errors
    ///
    /// The request must not be sent there any more.
    pub fn enter(
        self: &Arc<Self>,
        pool: &PoolName,
        target: &TargetName,
        rule: &VersionRule,
        is_first: bool,
    ) -> Result<Option<InUse>, Superseded> {
        if self.limits.is_none() {
            return Ok(None);
        }
        let (version, warm_up_ms) = self.replica.target_version(target).unwrap_or_default();
        let now = clock::now();
        let mut inner = self.lock();
        if let Some(Local { node, .. }) = inner.local.get_mut(pool) {
            let is_new = node.order().to == version;
            if !node.may_send(rule, is_new, now) {
                return Err(Superseded);
            }
            if is_first {
                node.record_request();
            }
            if !node.stage().is_final() {
                let version = if is_new { "new" } else { "old" };
                let labels = [label("version", version)];
                self.metrics.rollout_sends.add(1, &labels);
            }
        }
        *inner
            .in_use
            .entry((pool.clone(), version.clone()))
            .or_default() += 1;
        Ok(Some(InUse {
            rollouts: self.clone(),
            pool: pool.clone(),
            version,
            target: target.clone(),
            warms_up: warm_up_ms > 0.0,
            since: now,
        }))
    }

    fn decider(&self, pool: &PoolName) -> Option<InstanceName> {
        let view = self.directory.view();
        let key = xxh3_64_with_seed(pool.as_str().as_bytes(), DECIDER_SEED);
        first_by_cpu(key, view.candidates()).map(|m| m.name.clone())
    }

    /// Replies to a report; `None` if this node knows no such order, or is not its decider.
    pub fn serve_report(
        &self,
        from: &InstanceName,
        pool: &PoolName,
        report: &RolloutReport,
    ) -> Option<RolloutGrant> {
        let limits = self.limits?;
        if self.decider(pool).as_ref() != Some(&self.instance) {
            return None;
        }
        let now = clock::now();
        let nodes = self.directory.view().members.len();
        let mut inner = self.lock();
        let order = inner.local.get(pool)?.node.order().clone();
        if !order.is_same(&report.order) {
            return None;
        }
        let new = || {
            info!(event = "rollout_decider", pool:%, to:% = order.to; "deciding on a roll-out");
            Decider::new(order, limits, now)
        };
        let decider = inner.deciders.entry(pool.clone()).or_insert_with(new);
        let before = decider.stage();
        decider.observe(from, report, now);
        log_stage(pool, decider, before, now);
        Some(decider.grant(from, nodes, now))
    }

    /// Takes in changes of the orders and the targets, until the task is dropped.
    pub async fn follow_orders(self: Arc<Self>) {
        if self.limits.is_none() {
            return;
        }
        let mut changes = self.replica.watch();
        loop {
            for known in self.replica.orders() {
                self.apply_order(known);
            }
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    fn apply_order(&self, known: KnownOrder) {
        let KnownOrder {
            pool,
            order,
            age_ms,
            withdrawn,
            end,
            ..
        } = known;
        let Some(catalog) = self.replica.catalog() else {
            return;
        };
        let targets = self.replica.targets(&pool);
        let active = || targets.iter().filter(|(_, e)| !e.leaving);
        let has_new = active().any(|(_, e)| e.version == order.to);
        let has_old = active().any(|(_, e)| e.version != order.to);
        let is_known_pool = catalog.pools.contains_key(&pool);
        let now = clock::now();
        let mut inner = self.lock();
        let before = inner.local.get(&pool);
        let is_next = before.is_none_or(|l| !l.node.order().is_same(&order));
        let told = before.filter(|_| !is_next).map(|l| (l.has_old, l.has_new));
        if is_next {
            inner.deciders.shift_remove(&pool);
            let node = NodeRollout::new(order.clone(), rand::random(), age_ms, now);
            let local = Local {
                node,
                has_old,
                has_new,
            };
            inner.local.insert(pool.clone(), local);
        }
        if told != Some((has_old, has_new)) && end.is_none() {
            info!(event = "rollout_targets", pool:%, to:% = order.to, is_known_pool, has_old, has_new; "targets of the versions of a roll-out");
        }
        let Some(local) = inner.local.get_mut(&pool) else {
            return;
        };
        (local.has_old, local.has_new) = (has_old, has_new);
        let already_there = is_next
            && has_new
            && !has_old
            && age_ms < ALREADY_THERE_MS
            && self.replica.is_complete();
        let stage = match end {
            Some(stage) => Some(stage),
            None if withdrawn => Some(Stage::Reverted),
            None if already_there => Some(Stage::Done),
            None => None,
        };
        if let Some(stage) = stage
            && local.node.end(stage, now)
        {
            info!(event = "rollout", pool:%, to:% = order.to, stage:%, withdrawn, already_there; "a roll-out has ended, as the store or another node says");
        }
        let decider = inner.deciders.get_mut(&pool);
        if let Some(decider) = decider.filter(|_| withdrawn) {
            let before = decider.stage();
            decider.withdraw();
            log_stage(&pool, decider, before, now);
        }
    }

    /// Reports to the deciders and applies their replies, until the task is dropped.
    pub async fn report(self: Arc<Self>, timer: Timer) {
        if self.limits.is_none() {
            return;
        }
        let mut ticks = timer.every(TICK);
        loop {
            ticks.tick().await;
            let now = clock::now();
            for (pool, report) in self.due_reports(now) {
                let rollouts = self.clone();
                tokio::spawn(async move { rollouts.send_report(pool, report, now).await });
            }
        }
    }

    fn due_reports(&self, now: Timestamp) -> Vec<(PoolName, RolloutReport)> {
        let mut inner = self.lock();
        let Inner { local, in_use, .. } = &mut *inner;
        let due = local.iter_mut().filter_map(|(pool, l)| {
            let to = &l.node.order().to;
            let of_old = in_use.iter().filter(|((p, v), _)| p == pool && v != to);
            let old_in_progress = of_old.map(|(_, n)| *n).sum();
            let report = l.node.due_report(old_in_progress, now)?;
            Some((pool.clone(), report))
        });
        due.collect()
    }

    async fn send_report(&self, pool: PoolName, report: RolloutReport, reported: Timestamp) {
        let Some(decider) = self.decider(&pool) else {
            return;
        };
        let order = report.order.clone();
        let grant = match decider == self.instance {
            true => self.serve_report(&decider, &pool, &report),
            false => {
                let message = Message::Rollout {
                    pool: pool.clone(),
                    report: Box::new(report),
                };
                match self.links.ask(&decider, &message, REPLY_TIMEOUT).await {
                    Ok(Message::RolloutGrant(grant)) => Some(grant),
                    // It has another view of the nodes or of the orders, for the moment.
                    Ok(_) => None,
                    Err(e) => {
                        debug!(event = "rollout_unreported", pool:%, decider:%, error:% = e; "no reply from the decider of a roll-out");
                        None
                    }
                }
            }
        };
        let now = clock::now();
        let mut inner = self.lock();
        let local = inner.local.get_mut(&pool);
        let (Some(grant), Some(l)) = (grant, local.filter(|l| l.node.order().is_same(&order)))
        else {
            return;
        };
        let changed = l.node.learn(&grant, reported, now);
        drop(inner);
        if changed {
            info!(event = "rollout", pool:%, to:% = order.to, stage:% = grant.stage, decider:%, age_ms = (now - reported) as u64; "stage of a roll-out at this node");
        }
        if grant.stage.is_final() {
            self.replica.end_order(&pool, &order, grant.stage);
        }
    }

    /// Keeps the status records of the roll-outs that this node decides on, until the task is dropped.
    pub async fn decide<S: Store>(self: Arc<Self>, store: Arc<S>, timer: Timer) {
        if self.limits.is_none() {
            return;
        }
        let mut ticks = timer.every(WRITE_PERIOD);
        let mut position: Option<Position> = None;
        let mut read_at = Timestamp::default();
        let mut era = None;
        loop {
            ticks.tick().await;
            let before = std::mem::replace(&mut era, self.replica.store_era());
            self.take_up_ended(before < era);
            let pools = self.open_deciders();
            if pools.is_empty() {
                position = None;
                continue;
            }
            if position.is_none() || clock::now() - read_at > READ_MS {
                read_at = clock::now();
                position = self.read_status(&*store, &pools).await;
            }
            for pool in &pools {
                let Some(at) = position else {
                    break;
                };
                position = self.write_status(&*store, pool, at).await;
            }
        }
    }

    // Makes sure that the store holds how orders ended: an earlier decider may not have written it, and a
    // restored store may have forgotten it.
    fn take_up_ended(&self, is_restored: bool) {
        let Some(limits) = self.limits else {
            return;
        };
        let now = clock::now();
        for known in self.replica.orders() {
            let Some(stage) = known.end else {
                continue;
            };
            if self.decider(&known.pool).as_ref() != Some(&self.instance) {
                continue;
            }
            let mut inner = self.lock();
            let is_new = !inner.deciders.contains_key(&known.pool);
            let new = || Decider::new(known.order, limits, now + -known.age_ms);
            let decider = inner.deciders.entry(known.pool).or_insert_with(new);
            if is_new || is_restored {
                decider.reopen(stage);
            }
        }
    }

    // The pools that this node decides on now and whose end the store may not hold yet.
    fn open_deciders(&self) -> Vec<PoolName> {
        let mut inner = self.lock();
        inner.deciders.retain(|pool, _| {
            let stays = self.decider(pool).as_ref() == Some(&self.instance);
            if !stays {
                info!(event = "rollout_decider", pool:%; "another node decides on the roll-out");
            }
            stays
        });
        let open = inner.deciders.iter().filter(|(_, d)| !d.is_settled());
        open.map(|(pool, _)| pool.clone()).collect()
    }

    async fn read_status<S: Store>(&self, store: &S, pools: &[PoolName]) -> Option<Position> {
        let as_of = clock::now();
        let batch = match store.newest(Feed::Rollouts, CALL_TIMEOUT).await {
            Ok(batch) => batch,
            Err(e) => {
                debug!(event = "rollout_status", error:% = e; "cannot read the states of roll-outs");
                return None;
            }
        };
        let mut stored: IndexMap<PoolName, StatusRecord> = IndexMap::new();
        for record in batch.records {
            match record {
                Record::RolloutStatus(pool, status) => drop(stored.insert(pool, status)),
                Record::Unreadable { key, reason } => {
                    warn!(event = "rollout_status", key:%, reason:%; "unreadable state of a roll-out");
                }
                _ => (),
            }
        }
        let now = clock::now();
        let mut inner = self.lock();
        for pool in pools {
            if let Some(decider) = inner.deciders.get_mut(pool) {
                let before = decider.stage();
                let found = stored.swap_remove(pool);
                decider.confirm(found, as_of, now, self.unix.unix_ms(0.0, clock::now()));
                log_stage(pool, decider, before, now);
            }
        }
        Some(batch.next)
    }

    // Writes what is due, and returns where the log ends then; `None` if it must be read again.
    async fn write_status<S: Store>(
        &self,
        store: &S,
        pool: &PoolName,
        at: Position,
    ) -> Option<Position> {
        let members: Vec<_> = {
            let view = self.directory.view();
            let members = view.members.values();
            let living = members.filter(|m| m.liveness != Liveness::Failed);
            living.map(|m| m.name.clone()).collect()
        };
        let as_of = clock::now();
        let due = {
            let inner = self.lock();
            let decider = inner.deciders.get(pool);
            decider
                .and_then(|d| d.next_write(&members, as_of, self.unix.unix_ms(0.0, clock::now())))
        };
        let Some(status) = due else {
            return Some(at);
        };
        match store.record_rollout(pool, &status, at, CALL_TIMEOUT).await {
            Ok(true) => (),
            Ok(false) => {
                info!(event = "rollout_status", pool:%, stage:% = status.stage, at = at.offset; "another node has written a state meanwhile; reading it");
                return None;
            }
            Err(e) => {
                info!(event = "rollout_status", pool:%, stage:% = status.stage, error:% = e; "cannot write the state of a roll-out");
                return None;
            }
        }
        let now = clock::now();
        let (stage, order) = (status.stage, status.order.clone());
        let mut inner = self.lock();
        if let Some(decider) = inner.deciders.get_mut(pool) {
            let before = decider.stage();
            decider.written(status, as_of, now);
            log_stage(pool, decider, before, now);
        }
        drop(inner);
        if stage.is_final() {
            let labels = [label("state", stage)];
            self.metrics.rollouts_ended.add(1, &labels);
            self.replica.end_order(pool, &order, stage);
        }
        Some(Position {
            offset: at.offset + 1,
            ..at
        })
    }
}

fn log_stage(pool: &PoolName, decider: &Decider, before: Stage, now: Timestamp) {
    let stage = decider.stage();
    if stage == before {
        return;
    }
    let (answers, bad) = decider.counts();
    let age_ms = decider.age_ms(now) as u64;
    let to = &decider.order().to;
    match decider.verdict().filter(|_| stage == Stage::Reverted) {
        Some(v) => {
            warn!(event = "rollout_verdict", pool:%, to:%, age_ms, route:% = v.route, route_answers = v.answers, route_bad = v.bad, old_share = v.old_share, answers, bad; "the new version is bad; going back")
        }
        None => {
            info!(event = "rollout_stage", pool:%, to:%, stage:%, before:%, age_ms, answers, bad; "stage of a roll-out")
        }
    }
}

//! The scheduler of one node, for all shards that it owns.

use indexmap::{IndexMap, IndexSet};
use log::info;
use rwd_config::Configuration;
use rwd_edge::CacheEvents;
use rwd_metrics::{Metrics, label};
use rwd_types::{InstanceName, Millis, PoolName, Problem, ProblemKind, TargetName, TierRank};
use rwd_wire::{Adopted, Digest, Grant, GrantId, GrantReport, Offer, ShardId};
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

use crate::pick::{Pick, pick};
use crate::shard::{PoolQueue, ShardState};
use crate::target_state::{Health, InFlight, TargetState};
use crate::{Decision, OfferId, QueuedOffer, Ticket, Topology};

/// Delay before a refused caller may retry.
const RETRY_AFTER: Millis = Millis(1000);

/// Settings of a scheduler.
#[derive(Clone, Debug)]
pub struct SchedulerSettings {
    /// The local node.
    pub instance: InstanceName,
    /// How long a grant may remain unused.
    pub lease: Millis,
}

/// One target in a status report.
#[derive(Clone, Debug, Serialize)]
pub struct TargetStatus {
    /// The target.
    pub name: TargetName,
    /// Its health, or `leaving` while it drains.
    pub health: &'static str,
    /// Requests in progress.
    pub in_flight: usize,
    /// Current limit of requests in progress.
    pub slots: u32,
    /// Moving average of the milliseconds between two tokens.
    pub token_interval_ms: f64,
    /// Estimated number of blocks in its prefix cache.
    pub cached_blocks: usize,
}

/// One owned shard in a status report.
#[derive(Clone, Debug, Serialize)]
pub struct ShardStatus {
    /// The shard.
    pub shard: ShardId,
    /// Queued offers by tier.
    pub waiting: IndexMap<TierRank, usize>,
    /// The targets.
    pub targets: Vec<TargetStatus>,
}

#[derive(Default)]
struct Inner {
    cfg: Arc<Configuration>,
    shards: IndexMap<ShardId, ShardState>,
    waiters: IndexMap<OfferId, Waiter>,
    next_id: OfferId,
    offers: u64,
}

struct Waiter {
    shard: ShardId,
    // `None` once the decision has been sent.
    tx: Option<oneshot::Sender<Decision>>,
    cancel: Arc<Notify>,
    // The target and the pool, once granted.
    granted: Option<(TargetName, PoolName)>,
}

/// Queues offers and grants slots for the shards that one node owns.
pub struct Scheduler {
    cfg: SchedulerSettings,
    metrics: Arc<Metrics>,
    inner: Mutex<Inner>,
}

impl Scheduler {
    /// Creates a scheduler that owns no shards yet.
    pub fn new(cfg: SchedulerSettings, metrics: Arc<Metrics>) -> Self {
        Self {
            cfg,
            metrics,
            inner: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Takes over the shards that the topology assigns to this node, and releases the others.
    pub fn apply(&self, cfg: &Arc<Configuration>, topology: &Topology) {
        let mut inner = self.lock();
        inner.cfg = cfg.clone();
        let owned: IndexSet<_> = topology
            .owned(&self.cfg.instance)
            .map(|s| s.id.clone())
            .collect();
        let released: Vec<_> = inner
            .shards
            .keys()
            .filter(|id| !owned.contains(*id))
            .cloned()
            .collect();
        for id in released {
            self.release_shard(&mut inner, &id);
        }
        for shard in topology.owned(&self.cfg.instance) {
            let state = inner.shards.entry(shard.id.clone()).or_insert_with(|| {
                info!(decision = "own", shard:? = shard.id; "took over a shard");
                ShardState::default()
            });
            state.apply(cfg, topology, shard);
        }
        self.grant_free_slots(&mut inner);
    }

    fn release_shard(&self, inner: &mut Inner, id: &ShardId) {
        info!(decision = "disown", shard:? = id; "released a shard");
        let Some(mut state) = inner.shards.swap_remove(id) else {
            return;
        };
        let queues = state.queues.values_mut().flat_map(|q| q.tiers.values_mut());
        for w in queues.flat_map(|q| q.drain()) {
            inner.decide(w.id, Decision::NotOwner);
        }
    }

    /// Queues an offer; the ticket returns the decision.
    pub fn offer(self: &Arc<Self>, offer: Offer) -> Ticket {
        let mut inner = self.lock();
        let (id, ticket) = self.ticket(&mut inner, &offer.shard);
        inner.offers += 1;
        if !inner.shards.contains_key(&offer.shard) {
            inner.decide(id, Decision::NotOwner);
            return ticket;
        }
        let now = Instant::now();
        let deadline = now + offer.time_left.duration();
        let w = QueuedOffer {
            id,
            offer,
            arrived: now,
            deadline,
            passed_over: 0,
        };
        self.enqueue(&mut inner, w);
        self.grant_free_slots(&mut inner);
        ticket
    }

    fn ticket(self: &Arc<Self>, inner: &mut Inner, shard: &ShardId) -> (OfferId, Ticket) {
        inner.next_id += 1;
        let id = inner.next_id;
        let (tx, decision) = oneshot::channel();
        let cancel = Arc::new(Notify::new());
        let waiter = Waiter {
            shard: shard.clone(),
            tx: Some(tx),
            cancel: cancel.clone(),
            granted: None,
        };
        inner.waiters.insert(id, waiter);
        let scheduler = self.clone();
        (
            id,
            Ticket {
                id,
                scheduler,
                decision,
                cancel,
                finish: None,
            },
        )
    }

    // Admits the offer, and sheds lower-priority offers if the queue is over its limit.
    fn enqueue(&self, inner: &mut Inner, w: QueuedOffer) {
        let bound = inner.cfg.preset_in_force().queue_tokens;
        let (id, tier) = (w.id, w.offer.tier);
        let (shard_id, pool) = (w.offer.shard.clone(), w.offer.pool.clone());
        let Some(shard) = inner.shards.get_mut(&shard_id) else {
            return;
        };
        if !shard.can_meet_deadline(&w, w.offer.time_left.0 as f64) {
            let detail = "the deadline is shorter than an idle target would need";
            let problem = Problem::not_run(ProblemKind::Deadline, detail);
            return self.refuse(inner, w, problem);
        }
        let queue = shard.queues.entry(pool.clone()).or_default();
        let now = w.arrived;
        if queue.must_shed(tier, now) {
            let problem = shed_problem("more valuable work of this pool had to be refused");
            return self.refuse(inner, w, problem);
        }
        queue.tiers.entry(tier).or_default().push(w);
        let mut shed = Vec::new();
        while queue.tokens() > bound {
            let lowest = queue.lowest().unwrap_or(tier);
            let fair = queue.tiers.get_mut(&lowest);
            let victim = fair.and_then(|q| q.shed_candidate().and_then(|v| q.remove(v)));
            match victim {
                Some(w) => {
                    queue.record_shed(w.offer.tier, now);
                    shed.push(w);
                }
                None => break,
            }
        }
        // Offers of this tier are shed only when the queue has no lower tier left.
        debug_assert!(shed.iter().all(|w| w.offer.tier >= tier || w.id == id));
        for w in shed {
            self.refuse(
                inner,
                w,
                shed_problem("more valuable work needs the capacity"),
            );
        }
    }

    fn refuse(&self, inner: &mut Inner, w: QueuedOffer, problem: Problem) {
        info!(
            decision = "refuse", id = w.id, tier:% = w.offer.tier, pool:% = w.offer.pool,
            workspace:% = w.offer.workspace, kind:% = problem.kind,
            waited_ms = w.arrived.elapsed().as_millis() as u64;
            "refused an offer"
        );
        let labels = [label("tier", w.offer.tier), label("kind", problem.kind)];
        self.metrics.refused.add(1, &labels);
        inner.decide(w.id, Decision::Refused(problem));
    }

    fn grant_free_slots(&self, inner: &mut Inner) {
        let now = Instant::now();
        let ids: Vec<_> = inner.shards.keys().cloned().collect();
        let preset = inner.cfg.preset_in_force();
        for id in ids {
            let targets = inner
                .shards
                .get_mut(&id)
                .into_iter()
                .flat_map(|s| s.targets.values_mut());
            targets.for_each(|t| t.store_processed(now));
            while let Some(shard) = inner.shards.get(&id) {
                match pick(shard, now, &preset) {
                    Some(pick) => self.grant(inner, &id, pick, now),
                    None => break,
                }
            }
            if preset.cancel_lower {
                preempt_lower(inner, &id);
            }
        }
    }

    fn grant(&self, inner: &mut Inner, shard_id: &ShardId, pick: Pick, now: Instant) {
        let cfg = inner.cfg.clone();
        let Some(shard) = inner.shards.get_mut(shard_id) else {
            return;
        };
        let queue = shard.queues.get_mut(&pick.pool);
        let Some(fair) = queue.and_then(|q| q.tiers.get_mut(&pick.tier)) else {
            return;
        };
        if let Some(head) = pick.passed_over {
            fair.pass_over(head);
        }
        let workspace = fair
            .get(pick.id)
            .and_then(|w| cfg.workspaces.get(&w.offer.workspace));
        let weight = workspace.map_or(1, |w| w.weight);
        let Some(w) = fair.dequeue(pick.id, weight) else {
            return;
        };
        let (Some(target), Some(waiter)) = (
            shard.targets.get_mut(&pick.target),
            inner.waiters.get_mut(&w.id),
        ) else {
            return;
        };
        info!(
            decision = "grant", id = w.id, tier:% = w.offer.tier, pool:% = pick.pool,
            workspace:% = w.offer.workspace, target:% = pick.target, probe = pick.probe.0,
            cached = target.cache.cached(&w.offer.blocks).0, prompt = w.offer.prompt.0,
            waited_ms = w.arrived.elapsed().as_millis() as u64;
            "granted a slot"
        );
        self.metrics.granted.add(1, &[label("pool", &pick.pool)]);
        let in_flight = InFlight {
            tier: w.offer.tier,
            offer: w.offer,
            granted: now,
            cancel: waiter.cancel.clone(),
            cancelled: false,
            probe: pick.probe.0,
        };
        target.grant(w.id, in_flight);
        waiter.granted = Some((pick.target.clone(), pick.pool));
        let grant = Grant {
            id: GrantId(w.id),
            target: pick.target,
            address: target.target.address,
            lease: self.cfg.lease,
            token_interval: Millis(target.interval.ceil() as u64),
        };
        // If the receiver is gone, its dropped ticket releases the slot.
        inner.decide(w.id, Decision::Granted(grant));
    }

    /// Counts a request in progress that the target's previous owner granted.
    pub fn adopt(self: &Arc<Self>, adopted: Adopted) -> Option<Ticket> {
        let mut inner = self.lock();
        let shard = inner.shards.get(&adopted.offer.shard)?;
        shard.targets.get(&adopted.target)?;
        let (id, ticket) = self.ticket(&mut inner, &adopted.offer.shard);
        let pool = adopted.offer.pool.clone();
        if let Some(waiter) = inner.waiters.get_mut(&id) {
            waiter.granted = Some((adopted.target.clone(), pool));
            waiter.tx = None;
        }
        let in_flight = InFlight {
            tier: adopted.offer.tier,
            granted: Instant::now(),
            cancel: ticket.cancel.clone(),
            cancelled: false,
            probe: false,
            offer: adopted.offer.clone(),
        };
        let shard = inner.shards.get_mut(&adopted.offer.shard)?;
        let target = shard.targets.get_mut(&adopted.target)?;
        target.cache.store(&in_flight.offer.blocks);
        target.in_flight.insert(id, in_flight);
        Some(ticket)
    }

    /// Marks the target of a granted request that progresses too slowly as a straggler.
    pub fn slow(&self, id: OfferId) {
        let mut inner = self.lock();
        if let Some((target, name)) = inner.granted_target(id) {
            if target.health == Health::Good {
                info!(decision = "straggler", target:% = name; "target is slower than its class");
            }
            target.mark_straggler();
        }
    }

    /// Withdraws an offer or releases its slot; called when a ticket is dropped.
    pub(crate) fn release(&self, id: OfferId, finish: Option<GrantReport>) {
        let mut inner = self.lock();
        let allowed = inner.cfg.preset_in_force().token_interval;
        if let Some((target, name)) = inner.granted_target(id) {
            let before = target.health;
            target.finish(id, finish.as_ref(), allowed);
            if before != target.health {
                let health = health_name(target.health);
                info!(decision = "health", target:% = name, health; "health of a target changed");
            }
        }
        if let Some(waiter) = inner.waiters.swap_remove(&id)
            && let Some(shard) = inner.shards.get_mut(&waiter.shard)
        {
            for queue in shard.queues.values_mut() {
                queue.remove(id);
            }
        }
        self.grant_free_slots(&mut inner);
    }

    /// Refuses offers whose deadline can no longer be met, and grants free slots.
    ///
    /// Call it several times a second.
    pub fn tick(&self) {
        let mut inner = self.lock();
        let now = Instant::now();
        let ids: Vec<_> = inner.shards.keys().cloned().collect();
        for id in ids {
            let Some(shard) = inner.shards.get_mut(&id) else {
                continue;
            };
            for (w, kind) in take_overdue(shard, now) {
                let problem = match kind {
                    ProblemKind::Deadline => {
                        Problem::not_run(kind, "the deadline cannot be met any more")
                    }
                    _ => shed_problem("more valuable work of this pool had to be refused"),
                };
                self.refuse(&mut inner, w, problem);
            }
        }
        self.grant_free_slots(&mut inner);
    }

    /// Applies a target's cache events to its cache index.
    pub fn cache_events(&self, target: &TargetName, events: &CacheEvents) {
        let mut inner = self.lock();
        let found = inner
            .shards
            .values_mut()
            .find_map(|s| s.targets.get_mut(target));
        if let Some(state) = found {
            for event in &events.events {
                state.cache.event(event.block, event.stored);
            }
        }
    }

    /// The owned targets, their addresses, and whether they have a hardware class.
    pub fn owned_targets(&self) -> Vec<(TargetName, SocketAddr, bool)> {
        let inner = self.lock();
        let targets = inner.shards.values().flat_map(|s| &s.targets);
        let row = |(name, t): (&TargetName, &TargetState)| {
            (name.clone(), t.target.address, t.target.class.is_some())
        };
        targets.map(row).collect()
    }

    /// Load digests of the owned shards, to be gossiped.
    pub fn digests(&self) -> Vec<Digest> {
        let mut inner = self.lock();
        let owner = self.cfg.instance.clone();
        let digests = inner.shards.iter_mut().map(|(id, shard)| {
            shard.digest_sequence += 1;
            let free = shard
                .targets
                .values()
                .filter(|t| t.is_usable())
                .map(|t| (t.slots.floor() as usize).saturating_sub(t.in_flight.len()) as u32);
            Digest {
                shard: id.clone(),
                owner: owner.clone(),
                sequence: shard.digest_sequence,
                lowest: shard.lowest(),
                queued: shard.queued(),
                free_slots: free.sum(),
            }
        });
        digests.collect()
    }

    /// Status of the owned shards.
    pub fn status(&self) -> Vec<ShardStatus> {
        let inner = self.lock();
        let shards = inner.shards.iter().map(|(id, shard)| ShardStatus {
            shard: id.clone(),
            waiting: waiting_by_tier(shard),
            targets: shard
                .targets
                .iter()
                .map(|(name, t)| TargetStatus {
                    name: name.clone(),
                    health: match t.leaving {
                        true => "leaving",
                        false => health_name(t.health),
                    },
                    in_flight: t.in_flight.len(),
                    slots: t.slots as u32,
                    token_interval_ms: t.interval,
                    cached_blocks: t.cache.len(),
                })
                .collect(),
        });
        shards.collect()
    }

    /// Number of offers received.
    pub fn offers_received(&self) -> u64 {
        self.lock().offers
    }
}

impl Inner {
    fn decide(&mut self, id: OfferId, decision: Decision) {
        if let Some(tx) = self.waiters.get_mut(&id).and_then(|w| w.tx.take()) {
            // If the receiver is gone, its ticket has been or is about to be dropped.
            let _ = tx.send(decision);
        }
    }

    fn granted_target(&mut self, id: OfferId) -> Option<(&mut TargetState, TargetName)> {
        let waiter = self.waiters.get(&id)?;
        let (name, _) = waiter.granted.clone()?;
        let shard = self.shards.get_mut(&waiter.shard)?;
        shard.targets.get_mut(&name).map(|t| (t, name))
    }
}

fn waiting_by_tier(shard: &ShardState) -> IndexMap<TierRank, usize> {
    let mut waiting = IndexMap::new();
    for (rank, q) in shard.queues.values().flat_map(|q: &PoolQueue| &q.tiers) {
        *waiting.entry(*rank).or_default() += q.len();
    }
    waiting.sort_unstable_keys();
    waiting
}

// Removes the offers that can no longer meet their deadline, and with them all lower tiers of the
// same pool, since no tier may be shed while a lower one stays queued.
fn take_overdue(shard: &mut ShardState, now: Instant) -> Vec<(QueuedOffer, ProblemKind)> {
    let mut overdue: Vec<(PoolName, OfferId, TierRank)> = Vec::new();
    for (pool, queue) in &shard.queues {
        for w in queue.tiers.values().flat_map(|q| q.iter()) {
            let left = w.deadline.saturating_duration_since(now).as_secs_f64() * 1000.0;
            if !shard.can_meet_deadline(w, left) {
                overdue.push((pool.clone(), w.id, w.offer.tier));
            }
        }
    }
    let mut out = Vec::new();
    for (pool, id, tier) in overdue {
        let Some(queue) = shard.queues.get_mut(&pool) else {
            continue;
        };
        if let Some(w) = queue.remove(id) {
            out.push((w, ProblemKind::Deadline));
            queue.record_shed(tier, now);
            let below = queue.drain_below(tier);
            out.extend(below.into_iter().map(|w| (w, ProblemKind::Shed)));
        }
    }
    out
}

// Preempts one running request of the lowest tier if a higher tier is queued.
fn preempt_lower(inner: &mut Inner, id: &ShardId) {
    let Some(shard) = inner.shards.get_mut(id) else {
        return;
    };
    let waiting = shard.ranks().first().copied();
    let in_flight = shard.targets.values().flat_map(|t| t.in_flight.values());
    if in_flight.clone().any(|f| f.cancelled) {
        return;
    }
    let running = shard
        .targets
        .values_mut()
        .flat_map(|t| t.in_flight.values_mut());
    let lowest = running.max_by_key(|f| (f.tier, f.granted));
    if let (Some(waiting), Some(f)) = (waiting, lowest)
        && f.tier > waiting
    {
        f.cancelled = true;
        f.cancel.notify_one();
    }
}

fn shed_problem(detail: &'static str) -> Problem {
    Problem::not_run(ProblemKind::Shed, detail).retry_after(RETRY_AFTER)
}

fn health_name(health: Health) -> &'static str {
    match health {
        Health::Good => "good",
        Health::Straggler { .. } => "straggler",
        Health::Down { .. } => "down",
    }
}

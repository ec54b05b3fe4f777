//! The queue of waiting requests, its service order, and admission control.

use indexmap::IndexMap;
use rwd_types::{PoolName, RequestRate, TargetName, WorkspaceName};
use std::collections::VecDeque;
use std::net::SocketAddr;

use crate::forecast::Forecast;
use crate::handover::slot_share;
use crate::memory::{MemoryBound, Role, exceeds, worst_case};
use crate::precedence::Precedence;
use crate::queue::{Order, Priority, REPEAT_MARK, Waiting};
use crate::request_limit::RequestLimit;
use crate::returns::{Returns, ServiceRate};
use crate::room::{GrantRate, Room};
use crate::shares::{ShareNews, ShareUse, Shares, Weights};
use crate::target::Target;
use crate::{LimitNotice, LimitReport, Offer, OfferId, Rank, SlotOutcome, TargetInfo, Timestamp};

/// Requests that one round may skip because no target fits them.
const MAX_SKIPPED: usize = 48;

/// Window over which the service rate of late requests is measured, in milliseconds.
const LATE_WINDOW_MS: f64 = 1000.0;

/// Smoothing factor of the mean slot time of a route priority.
const SLOT_TIME_ALPHA: f64 = 0.02;

/// Fraction of visible nodes below which the nodes on the other side of a partition are assumed to
/// schedule the same targets.
const QUORUM_FRACTION: f64 = 0.5;

/// A pool without offers for longer than this had another scheduler meanwhile, which may go on for as
/// long until all nodes agree on the new one, in milliseconds.
const HANDOVER_MS: f64 = 2000.0;
/// Fraction of the limits of targets that is used during a handover: both schedulers together stay
/// within one and a half times the limit.
const HANDOVER_SHARE: f64 = 0.5;
/// Time after a takeover by which home nodes have reported what is in progress, in milliseconds: they
/// find a broken link within 700 ms and see another view within two seconds.
const HANDOVER_REPORT_MS: f64 = 3000.0;
/// Longest time for which the requests of a predecessor are counted on, in milliseconds.
const MAX_PREDECESSOR_MS: f64 = 60_000.0;
/// Limits that are kept of targets that are in no pool: they come back in another one when a pool is
/// partitioned anew, or are not known to this node yet.
const MAX_UNPLACED_LIMITS: usize = 512;

/// Settings of a scheduler.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementSettings {
    /// Fraction of its remaining time that a request may wait for a slot before it is refused.
    pub wait_share: f64,
    /// Weight ratio between one route priority and the next lower one. Operators value each route
    /// priority 3 to 7 times as high as the next.
    pub priority_factor: f64,
    /// Whether route priorities that are served less often than lower ones gain weight.
    pub keeps_precedence: bool,
    /// Whether the slots of a pool that is short of them are shared out among workspaces.
    pub workspace_shares: bool,
    /// Whether refused callers return at the rate that the pool will serve.
    pub paced_returns: bool,
    /// Whether targets crash when their requests exceed their memory, so that the worst case counts.
    pub bounded_memory: bool,
    /// Whether targets to which the home node has a connection are preferred.
    pub prefers_connected: bool,
    /// Whether a scheduler that takes over learns what its predecessor knew.
    pub handover: bool,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            wait_share: 0.35,
            priority_factor: 4.5,
            keeps_precedence: false,
            workspace_shares: false,
            paced_returns: false,
            bounded_memory: false,
            prefers_connected: false,
            handover: false,
        }
    }
}

impl PlacementSettings {
    // Whether the slot time of workspaces is counted.
    fn counts_use(&self) -> bool {
        self.workspace_shares || self.paced_returns
    }
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The pool has no target that accepts requests.
    NoTarget,
    /// No slot came free within the request's maximum wait.
    Overload,
    /// The request is too large for the memory of any target.
    TooLarge,
}

/// What a scheduler decided about an offer.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// A slot was granted.
    Grant {
        /// The target.
        target: TargetName,
        /// Its address.
        address: SocketAddr,
        /// Expected time to first byte, in milliseconds.
        first_ms: f64,
        /// Whether the target has responded recently.
        proven: bool,
        /// How long the request waited, in milliseconds.
        waited_ms: f64,
    },
    /// No slot was granted; the request has not run.
    Refuse {
        /// The reason.
        reason: Refusal,
        /// Delay before the caller may retry, in milliseconds.
        retry_after_ms: f64,
        /// How long the request waited, in milliseconds.
        waited_ms: f64,
    },
}

#[derive(Default)]
pub(crate) struct Pool {
    pub(crate) targets: IndexMap<TargetName, Target>,
    waiting: Vec<Waiting>,
    returns: Returns,
    shares: Shares,
    // When requests began to wait, if any do.
    short_since: Timestamp,
    // Grants to late requests within the last `LATE_WINDOW_MS`.
    late_grants: VecDeque<Timestamp>,
    grant_rate: GrantRate,
    speed: Speed,
    precedence: Precedence,
    // Slot time over weight by route priority, as the order of service uses it.
    ratios: IndexMap<u8, f64>,
    // Mean slot time by route priority, in milliseconds.
    slot_ms: IndexMap<u8, f64>,
    last_offer: Option<Timestamp>,
    // When the scheduler began to get offers for the pool.
    taken_over: Timestamp,
    // When another scheduler of the pool last reported its targets.
    pub(crate) reported: Option<Timestamp>,
    // Whether another scheduler was active just before this one took over.
    pub(crate) had_predecessor: bool,
    // Index of the next target that is reported to the successor.
    pub(crate) next_report: usize,
    // Longest time limit of a request, in milliseconds.
    longest_ms: f64,
    // The fraction of the limits of targets that is used now.
    limit_share: Option<f64>,
}

/// Median speed of a pool's usable targets.
#[derive(Clone, Copy, Debug, Default)]
struct Speed {
    prefill_ms_per_token: f64,
    step_ms: f64,
    call_ms: f64,
}

impl Speed {
    // Expected slot time of a request, in milliseconds.
    fn slot_ms(&self, offer: &Offer) -> f64 {
        match offer.prompt {
            0 => self.call_ms,
            prompt => {
                let prefill_ms = f64::from(prompt) * self.prefill_ms_per_token;
                prefill_ms + f64::from(offer.output) * self.step_ms
            }
        }
    }
}

/// State of one target, for status pages and tests.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetView {
    /// The target.
    pub name: TargetName,
    /// Requests in progress.
    pub in_flight: usize,
    /// Recent failure rate, decayed over time.
    pub failures: f64,
    /// Whether it is given new requests.
    pub usable: bool,
    /// The limit that it has named for the requests of all nodes.
    pub limit: Option<RequestRate>,
}

/// Tracks the load of targets and grants their slots.
#[derive(Default)]
pub struct Scheduler {
    cfg: PlacementSettings,
    pub(crate) pools: IndexMap<PoolName, Pool>,
    pub(crate) granted: IndexMap<OfferId, (PoolName, TargetName)>,
    pub(crate) next_id: u64,
    slot_fraction: Option<f64>,
    visible_share: Option<f64>,
    weights: Weights,
    // Limits of targets that are in no pool, with the start times of their processes if these are
    // known.
    unplaced_limits: IndexMap<TargetName, (Option<u64>, RequestLimit)>,
    // Pools that were taken over and not yet returned by `take_takeovers`.
    takeovers: Vec<PoolName>,
}

impl Scheduler {
    /// A scheduler without targets.
    pub fn new(cfg: PlacementSettings) -> Self {
        Self {
            cfg,
            ..Self::default()
        }
    }

    /// Replaces a pool's targets; targets that remain keep their statistics.
    pub fn set_targets(&mut self, pool: &PoolName, infos: Vec<TargetInfo>) {
        let state = self.pools.entry(pool.clone()).or_default();
        let listed = |t: &TargetName| infos.iter().any(|i| i.name == *t);
        // A delisted target drains: it is removed once its last request has ended.
        for (name, t) in &mut state.targets {
            if !listed(name) {
                t.info.leaving = true;
                if t.limit.rate().is_some() {
                    let limit = (Some(t.info.born), t.limit.clone());
                    self.unplaced_limits.insert(name.clone(), limit);
                }
            }
        }
        state
            .targets
            .retain(|name, t| listed(name) || !t.in_flight.is_empty());
        let median = match self.cfg.handover {
            true => state.median_speeds(),
            false => None,
        };
        for info in infos {
            match state.targets.get_mut(&info.name) {
                Some(t) => t.update(info),
                None => {
                    let known = self.unplaced_limits.shift_remove(&info.name);
                    let known = known.filter(|(born, _)| born.is_none_or(|b| b == info.born));
                    let limit = known.map_or(RequestLimit::default(), |(_, limit)| limit);
                    let limit = limit.with_share(state.limit_share.unwrap_or(1.0));
                    let mut target = Target::new(info, limit);
                    if self.cfg.prefers_connected {
                        target.prefer_connected();
                    }
                    if let Some(median) = median {
                        target.set_speeds(median);
                    }
                    state.targets.insert(target.info.name.clone(), target);
                }
            }
        }
        self.forget_unplaced_limits();
    }

    fn forget_unplaced_limits(&mut self) {
        while self.unplaced_limits.len() > MAX_UNPLACED_LIMITS {
            self.unplaced_limits.shift_remove_index(0);
        }
    }

    /// Sets the fraction of the nodes that this node can see.
    ///
    /// In a minority partition the scheduler uses only that fraction of the slots, because the
    /// other side schedules the same targets. Of the limits of targets it always uses only that
    /// fraction.
    pub fn set_visible_share(&mut self, share: f64, now: Timestamp) {
        self.slot_fraction = (share < QUORUM_FRACTION).then_some(share);
        self.visible_share = Some(share);
        for pool in self.pools.values_mut() {
            pool.set_limit_share(share, now);
        }
    }

    /// The pools that have targets.
    pub fn pools(&self) -> impl Iterator<Item = &PoolName> {
        self.pools.keys()
    }

    /// Queues an offer; [`Scheduler::poll`] decides on it.
    pub fn offer(&mut self, offer: Offer, now: Timestamp) -> OfferId {
        self.next_id += 1;
        let id = OfferId(self.next_id);
        let pool = self.pools.entry(offer.pool.clone()).or_default();
        pool.record_slot_time(&offer);
        pool.longest_ms = pool.longest_ms.max(offer.time_left_ms);
        if !offer.last_resort {
            if pool.last_offer.is_none_or(|t| now - t > HANDOVER_MS) {
                pool.taken_over = now;
                if self.cfg.handover {
                    pool.take_over(now);
                    self.takeovers.push(offer.pool.clone());
                }
            }
            pool.last_offer = Some(now);
        }
        let repeats_early = self.cfg.paced_returns && pool.returns.is_early(&offer, now);
        if pool.waiting.is_empty() {
            pool.short_since = now;
        }
        pool.waiting.push(Waiting {
            id,
            offer,
            queued_at: now,
            order: Order::Resumed(0.0),
            slot_ms: 0.0,
            mark: 0,
            repeats_early,
        });
        id
    }

    /// Withdraws an offer, or frees its slot if it was granted.
    pub fn finish(&mut self, id: OfferId, outcome: SlotOutcome, now: Timestamp) {
        match self.granted.swap_remove(&id) {
            Some((pool, target)) => {
                let Some(pool) = self.pools.get_mut(&pool) else {
                    return;
                };
                if let Some((expected_ms, held_ms)) = pool.shares.finish(id, now)
                    && matches!(outcome, SlotOutcome::Complete { .. })
                {
                    pool.returns.record_end(expected_ms, held_ms);
                }
                if let Some(t) = pool.targets.get_mut(&target) {
                    t.finish(id, outcome, now);
                }
            }
            None => {
                for pool in self.pools.values_mut() {
                    for w in pool.waiting.extract_if(.., |w| w.id == id) {
                        pool.shares.withdraw(&w, now);
                    }
                }
            }
        }
    }

    /// Frees the slot of a request whose exchange with its home node was lost. Its target may still
    /// hold it, so its memory counts until its time limit.
    pub fn lose(&mut self, id: OfferId, now: Timestamp) {
        if self.cfg.bounded_memory
            && let Some((pool, target)) = self.granted.get(&id)
        {
            let pool = self.pools.get_mut(pool);
            if let Some(t) = pool.and_then(|p| p.targets.get_mut(target)) {
                t.detach(id, now);
            }
        }
        self.finish(id, SlotOutcome::Unused, now);
    }

    /// Records the first byte of a response, `first_ms` after the request was dispatched.
    pub fn record_first_byte(&mut self, id: OfferId, first_ms: f64, now: Timestamp) {
        let target = self.granted.get(&id).and_then(|(pool, target)| {
            let pool = self.pools.get_mut(pool)?;
            pool.targets.get_mut(target)
        });
        if let Some(t) = target {
            t.record_first_byte(id, first_ms, now);
        }
    }

    /// Records what the response to a granted request says about its target's limit. Returns the
    /// target and its limit if that changed.
    ///
    /// Call it before [`Scheduler::finish`].
    pub fn record_limit(
        &mut self,
        id: OfferId,
        report: LimitReport,
        now: Timestamp,
    ) -> Option<(TargetName, Option<RequestRate>)> {
        let (pool, name) = self.granted.get(&id)?.clone();
        let sent = self
            .pools
            .get(&pool)?
            .targets
            .get(&name)?
            .in_flight
            .get(&id)?
            .granted_at;
        self.update_limit(name, |limit| limit.report(report, sent, now))
    }

    /// Applies what another node knows about a target's limit. Returns the target and its limit if
    /// that changed.
    pub fn learn_limit(
        &mut self,
        notice: &LimitNotice,
        now: Timestamp,
    ) -> Option<(TargetName, Option<RequestRate>)> {
        let is_placed = self
            .pools
            .values()
            .any(|p| p.targets.contains_key(&notice.target));
        if !is_placed {
            let unplaced = self.unplaced_limits.entry(notice.target.clone());
            let unplaced = unplaced.or_insert((None, RequestLimit::default()));
            unplaced.1.learn(notice, now);
            self.forget_unplaced_limits();
        }
        self.update_limit(notice.target.clone(), |limit| limit.learn(notice, now))
    }

    // A target may be in several pools for a while, when a pool is partitioned anew.
    fn update_limit(
        &mut self,
        name: TargetName,
        update: impl Fn(&mut RequestLimit),
    ) -> Option<(TargetName, Option<RequestRate>)> {
        let mut changed = None;
        let targets = self.pools.values_mut();
        for t in targets.filter_map(|p| p.targets.get_mut(&name)) {
            let before = t.limit.rate();
            update(&mut t.limit);
            if t.limit.rate() != before {
                changed = Some(t.limit.rate());
            }
        }
        changed.map(|limit| (name, limit))
    }

    /// Makes all decisions that are possible at `now`.
    ///
    /// Call it after each change, and several times a second while offers are queued.
    pub fn poll(&mut self, now: Timestamp) -> Vec<(OfferId, Decision)> {
        let mut out = Vec::new();
        for (name, pool) in &mut self.pools {
            if pool.waiting.is_empty() {
                continue;
            }
            pool.sort(&self.cfg, &self.weights, now);
            pool.set_limit_share(self.visible_share.unwrap_or(1.0), now);
            if self.cfg.bounded_memory {
                let visible_share = self.visible_share.unwrap_or(1.0);
                pool.bound_memory(visible_share, self.cfg.handover, now);
            }
            if self.cfg.handover {
                let share = slot_share(now - pool.taken_over, pool.had_predecessor);
                let targets = pool.targets.values_mut();
                targets.for_each(|t| t.slot_share = share);
            }
            let granted = pool.grant_free_slots(self.slot_fraction, now);
            pool.grant_rate.record(granted.len(), now);
            for (w, target, address, first_ms, proven) in granted {
                if self.cfg.counts_use() {
                    pool.shares.give(&w, now);
                    pool.returns.record_grant(w.slot_ms, now);
                }
                self.granted.insert(w.id, (name.clone(), target.clone()));
                let waited_ms = now - w.queued_at;
                let decision = Decision::Grant {
                    target,
                    address,
                    first_ms,
                    proven,
                    waited_ms,
                };
                out.push((w.id, decision));
            }
            out.extend(pool.shed_unservable(&self.cfg, now));
        }
        out
    }

    /// The pools that this scheduler has begun to schedule since the last call, if it takes part in
    /// handovers.
    pub fn take_takeovers(&mut self) -> Vec<PoolName> {
        std::mem::take(&mut self.takeovers)
    }

    /// Sets the weights of workspaces in shares of slot time; others weigh 1. Weights that are not
    /// above zero are ignored.
    pub fn set_weights(&mut self, mut weights: IndexMap<WorkspaceName, f64>) {
        weights.retain(|_, weight| weight.is_finite() && *weight > 0.0);
        self.weights = weights;
    }

    /// What the workspaces of a pool asked for and were given here lately, for the schedulers of the
    /// pool's other shards.
    pub fn share_report(&self, pool: &PoolName, now: Timestamp) -> Vec<ShareUse> {
        let pool = self.pools.get(pool);
        pool.map_or_else(Vec::new, |p| p.shares.report(now))
    }

    /// Takes the report of another shard of the pool, made `age_ms` ago. Returns the number of its
    /// rows that were ignored because they are invalid or too many.
    pub fn learn_shares(
        &mut self,
        pool: &PoolName,
        from_shard: &PoolName,
        age_ms: f64,
        rows: Vec<ShareUse>,
        now: Timestamp,
    ) -> usize {
        match self.pools.get_mut(pool) {
            Some(p) if from_shard != pool => p.shares.learn(from_shard, age_ms, rows, now),
            _ => rows.len(),
        }
    }

    /// Which workspaces have come to be beyond their shares of a pool, or are within them again, since
    /// the last call.
    pub fn share_news(&mut self, now: Timestamp) -> Vec<(PoolName, ShareNews)> {
        let pools = self.pools.iter_mut();
        let news = pools.flat_map(|(name, p)| {
            let news = p.shares.news(now).into_iter();
            news.map(|n| (name.clone(), n))
        });
        news.collect()
    }

    /// Whether any offer is queued, so that the passage of time alone can cause a decision.
    pub fn has_waiting(&self) -> bool {
        self.pools.values().any(|p| !p.waiting.is_empty())
    }

    /// Number of waiting requests of a pool.
    pub fn waiting(&self, pool: &PoolName) -> usize {
        self.pools.get(pool).map_or(0, |p| p.waiting.len())
    }

    /// The room of a pool.
    pub fn room(&self, pool: &PoolName, now: Timestamp) -> Option<Room> {
        let pool = self.pools.get(pool).filter(|p| !p.targets.is_empty())?;
        Some(pool.room(self.slot_fraction, now))
    }

    /// The pools that got an offer within the last `window_ms` milliseconds.
    pub fn offered_pools(&self, window_ms: f64, now: Timestamp) -> Vec<PoolName> {
        let offered = |p: &Pool| p.last_offer.is_some_and(|t| now - t <= window_ms);
        let pools = self.pools.iter().filter(|(_, p)| offered(p));
        pools.map(|(name, _)| name.clone()).collect()
    }

    /// A pool's targets.
    pub fn targets(&self, pool: &PoolName, now: Timestamp) -> Vec<TargetView> {
        let targets = self.pools.get(pool).into_iter().flat_map(|p| &p.targets);
        let views = targets.map(|(name, t)| TargetView {
            name: name.clone(),
            in_flight: t.in_flight.len(),
            failures: t.failures(now),
            usable: t.is_usable(now),
            limit: t.limit.rate(),
        });
        views.collect()
    }
}

type Granted = (Waiting, TargetName, SocketAddr, f64, bool);

impl Pool {
    /// Whether this scheduler has got offers for the pool lately.
    pub fn is_active(&self, now: Timestamp) -> bool {
        self.last_offer.is_some_and(|t| now - t <= HANDOVER_MS)
    }

    fn set_limit_share(&mut self, visible_share: f64, now: Timestamp) {
        let share = match now - self.taken_over < HANDOVER_MS {
            true => visible_share * HANDOVER_SHARE,
            false => visible_share,
        };
        if self.limit_share.replace(share) != Some(share) {
            let targets = self.targets.values_mut();
            targets.for_each(|t| t.limit.set_share(share, now));
        }
    }

    fn bound_memory(&mut self, visible_share: f64, handover: bool, now: Timestamp) {
        // Without reports of home nodes, the requests of a predecessor end with their time limits.
        let unknown_ms = match handover {
            true => HANDOVER_REPORT_MS,
            false => self
                .longest_ms
                .clamp(HANDOVER_REPORT_MS, MAX_PREDECESSOR_MS),
        };
        let role = match now - self.taken_over < unknown_ms {
            true => Role::Successor,
            false => Role::Settled,
        };
        let bound = MemoryBound {
            role,
            visible_share,
        };
        let targets = self.targets.values_mut();
        targets.for_each(|t| t.memory.set_bound(Some(bound)));
    }

    // Whether no target may ever be sent the request because of its memory.
    fn is_too_large(&self, offer: &Offer) -> bool {
        let need = worst_case(offer);
        let mut targets = self.targets.values().filter(|t| !t.is_leaving()).peekable();
        let memory = |t: &Target| t.info.capacity.memory_tokens;
        targets.peek().is_some() && targets.all(|t| memory(t).is_some_and(|m| exceeds(need, m)))
    }

    fn record_slot_time(&mut self, offer: &Offer) {
        let Speed {
            prefill_ms_per_token,
            step_ms,
            ..
        } = self.speed;
        let sample =
            f64::from(offer.prompt) * prefill_ms_per_token + f64::from(offer.output) * step_ms;
        // Service calls have no tokens and all take about the same time, and no speed is known
        // before the first poll.
        if sample <= 0.0 {
            return;
        }
        let mean = self.slot_ms.entry(offer.rank.route).or_insert(sample);
        *mean += SLOT_TIME_ALPHA * (sample - *mean);
    }

    fn priority(&self, rank: Rank, mark: u8, cfg: &PlacementSettings) -> Priority {
        let ratio = self.ratios.get(&rank.route).copied();
        Priority {
            workspace: rank.workspace,
            mark,
            smith_ratio: ratio.unwrap_or_else(|| cfg.priority_factor.powi(i32::from(rank.route))),
        }
    }

    // Slot time over weight by route priority.
    fn update_ratios(&mut self, cfg: &PlacementSettings, now: Timestamp) {
        let slot_ms = self.slot_ms.iter();
        let ratios = slot_ms.map(|(r, ms)| (*r, ms * cfg.priority_factor.powi(i32::from(*r))));
        self.ratios = ratios.collect();
        if cfg.keeps_precedence {
            self.precedence.update(now);
            self.precedence.raise(&mut self.ratios);
        }
    }

    fn sort(&mut self, cfg: &PlacementSettings, weights: &Weights, now: Timestamp) {
        let usable = || self.targets.values().filter(|t| t.is_usable(now));
        self.speed = Speed {
            prefill_ms_per_token: median(usable().map(Target::prefill_ms_per_token).collect()),
            step_ms: median(usable().map(Target::step_ms).collect()),
            call_ms: median(usable().map(Target::call_ms).collect()),
        };
        let slots = usable().map(|t| f64::from(t.info.capacity.slots)).sum();
        self.update_ratios(cfg, now);
        if cfg.counts_use() {
            self.count_new();
        }
        for w in &mut self.waiting {
            w.mark = match w.repeats_early {
                true => REPEAT_MARK,
                false => 0,
            };
        }
        self.sort_by_order(cfg, now);
        if cfg.workspace_shares && self.shares.mark(&mut self.waiting, weights, slots, now) {
            self.sort_by_order(cfg, now);
        }
    }

    // An offer is counted once a speed is known.
    fn count_new(&mut self) {
        for w in self.waiting.iter_mut().filter(|w| w.slot_ms == 0.0) {
            w.slot_ms = self.speed.slot_ms(&w.offer);
            if w.slot_ms > 0.0 {
                self.shares.ask(w, w.queued_at);
            }
        }
    }

    fn sort_by_order(&mut self, cfg: &PlacementSettings, now: Timestamp) {
        let per_token = self.speed.prefill_ms_per_token;
        let mut waiting = std::mem::take(&mut self.waiting);
        for w in &mut waiting {
            let priority = self.priority(w.offer.rank, w.mark, cfg);
            w.order = w.order(now, f64::from(w.offer.prompt) * per_token, priority);
        }
        self.waiting = waiting;
        self.waiting.sort_by(|a, b| {
            let order = a.order.partial_cmp(&b.order);
            order.unwrap_or(std::cmp::Ordering::Equal)
        });
    }

    fn grant_free_slots(&mut self, slot_fraction: Option<f64>, now: Timestamp) -> Vec<Granted> {
        let mut out = Vec::new();
        let mut index = 0;
        let mut skipped = 0;
        while index < self.waiting.len() && skipped < MAX_SKIPPED {
            let mut targets = self.targets.values();
            let has_free = targets.any(|t| t.has_free_slot(now) || t.may_probe(now));
            if !has_free || slot_fraction.is_some_and(|f| self.exceeds_slot_fraction(f)) {
                break;
            }
            let offer = &self.waiting[index].offer;
            let eligible = self.targets.values_mut().filter(|t| t.accepts(offer, now));
            let cost = |t: &Target| t.cost(offer, now);
            let best = eligible.min_by(|a, b| cost(a).total_cmp(&cost(b)));
            match best {
                Some(t) => {
                    let first_ms = t.first_ms(offer, now);
                    let proven = t.is_proven(now);
                    let (name, address) = (t.info.name.clone(), t.info.address);
                    t.grant(self.waiting[index].id, offer, now);
                    let w = self.waiting.remove(index);
                    if w.is_late() {
                        self.late_grants.push_back(now);
                    }
                    if !w.offer.beyond_quota && !w.offer.resumes {
                        self.precedence.record(w.offer.rank.route, !w.is_late());
                    }
                    out.push((w, name, address, first_ms, proven));
                }
                None => {
                    index += 1;
                    skipped += 1;
                }
            }
        }
        out
    }

    fn room(&self, slot_fraction: Option<f64>, now: Timestamp) -> Room {
        let free = match slot_fraction.is_some_and(|f| self.exceeds_slot_fraction(f)) {
            true => 0,
            false => {
                let free = self.targets.values().map(|t| t.free_slots(now));
                free.fold(0, u32::saturating_add)
            }
        };
        let is_ahead = |w: &&Waiting| matches!(w.order, Order::Resumed(_) | Order::OnTime(..));
        let ahead = self.waiting.iter().filter(is_ahead).count();
        let rate = self.grant_rate.per_ms(now);
        Room::new(free, self.waiting.len(), ahead, rate)
    }

    fn exceeds_slot_fraction(&self, fraction: f64) -> bool {
        let slots = self.targets.values().map(|t| t.info.capacity.slots);
        let slots: f64 = slots.map(f64::from).sum();
        let used: usize = self.targets.values().map(|t| t.in_flight.len()).sum();
        used as f64 >= (slots * fraction).ceil()
    }

    fn shed_unservable(
        &mut self,
        cfg: &PlacementSettings,
        now: Timestamp,
    ) -> Vec<(OfferId, Decision)> {
        let active = self.targets.values().filter(|t| !t.is_leaving()).count();
        let window_start = now + -LATE_WINDOW_MS;
        while self.late_grants.front().is_some_and(|t| *t < window_start) {
            self.late_grants.pop_front();
        }
        let late_per_ms = (self.late_grants.len() + 1) as f64 / LATE_WINDOW_MS;
        let in_flight = self.targets.values().map(|t| t.in_flight.len()).sum();
        let pool_rate = self.returns.rate(in_flight, now);
        let late = self.waiting.iter().filter(|w| w.is_late()).count();
        let wait_per_ms = self.returns.ratio() / pool_rate;
        let mut forecast = Forecast::new(wait_per_ms, late_per_ms, late);
        let mut out = Vec::new();
        let mut index = 0;
        while index < self.waiting.len() {
            let w = &self.waiting[index];
            let waited_ms = now - w.queued_at;
            let left_ms = w.max_wait_ms(cfg) - waited_ms;
            let first_ms = f64::from(w.offer.prompt) * self.speed.prefill_ms_per_token;
            let until_late_ms = w.until_late_ms(now, first_ms);
            let in_vain = match cfg.paced_returns && in_flight > 0 {
                true => {
                    forecast.is_in_vain(w, until_late_ms, left_ms)
                        && !self.targets.values().any(|t| t.accepts(&w.offer, now))
                }
                false => forecast.is_late_in_vain(w, left_ms),
            };
            let too_large = cfg.bounded_memory && self.is_too_large(&w.offer);
            if left_ms > 0.0 && !in_vain && !too_large {
                forecast.keep(w, until_late_ms);
                index += 1;
                continue;
            }
            let reason = match active {
                0 => Refusal::NoTarget,
                _ if too_large => Refusal::TooLarge,
                _ => Refusal::Overload,
            };
            let w = self.waiting.remove(index);
            if !w.offer.beyond_quota {
                self.precedence.record(w.offer.rank.route, false);
            }
            let retry_after_ms = match cfg.paced_returns {
                true => {
                    let room = ServiceRate {
                        pool_rate,
                        short_ms: now - self.short_since,
                        workspace_rate: self.shares.rate(&w.offer.workspace, now),
                        drain_ms: forecast.drain_ms(),
                    };
                    self.returns.pace(&w, room, now)
                }
                false => self.returns.schedule(&w.offer, waited_ms, now),
            };
            let decision = Decision::Refuse {
                reason,
                retry_after_ms,
                waited_ms,
            };
            out.push((w.id, decision));
        }
        out
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

//! The queue of waiting requests, its service order, and admission control.

use indexmap::IndexMap;
use rwd_types::{PoolName, RequestRate, TargetName};
use std::collections::VecDeque;
use std::net::SocketAddr;

use crate::request_limit::RequestLimit;
use crate::target::Target;
use crate::{LimitNotice, LimitReport, Offer, OfferId, Rank, SlotOutcome, TargetInfo, Timestamp};

/// Requests that one round may skip because no target fits them.
const MAX_SKIPPED: usize = 48;
/// Lower bound of `Retry-After`, in milliseconds.
const MIN_RETRY_AFTER_MS: f64 = 300.0;
/// Time between the retries of two refused callers, in milliseconds.
const RETRY_SPACING_MS: f64 = 12.0;
/// Earliest retry as a fraction of the latest one: a caller that comes back too soon finds the pool
/// still full, and it retries only once.
const MIN_RETRY_FRACTION: f64 = 0.4;
/// Fraction of a caller's remaining time beyond which it ignores `Retry-After`.
const MAX_RETRY_FRACTION: f64 = 0.3;

/// Factor applied to the estimated time to first byte when checking the latency objective.
const ESTIMATE_MARGIN: f64 = 1.2;
/// Fraction of a request's latency objective kept as slack when deciding whether it can be on time.
const SLACK_FRACTION: f64 = 0.2;
/// Window over which the service rate of late requests is measured, in milliseconds.
const LATE_WINDOW_MS: f64 = 1000.0;
/// Longest wait of an over-quota request, as a fraction of its latency objective.
const OVER_QUOTA_WAIT_FRACTION: f64 = 0.1;

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
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            wait_share: 0.35,
            priority_factor: 4.5,
        }
    }
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The pool has no target that accepts requests.
    NoTarget,
    /// No slot came free within the request's maximum wait.
    Overload,
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

struct Waiting {
    id: OfferId,
    offer: Offer,
    queued_at: Timestamp,
    order: Order,
}

/// Sort key of the queue; derived `PartialOrd` makes the variants strict classes.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
enum Order {
    /// Resumes a broken stream, whose caller has part of the response already.
    Resumed(f64),
    /// Can still meet its latency objective: by priority, then by time left.
    OnTime(Priority, f64),
    /// Will miss its latency objective: retries first, then by priority, then by time left.
    Late(bool, Priority, f64),
    /// Exceeds its workspace's quota.
    OverQuota(Priority, f64),
}

/// Service priority of a request; the lowest is served first.
///
/// Within a workspace priority, requests are ordered by slot time over weight, as in Smith's rule
/// (W. E. Smith, "Various optimizers for single-stage production", 1956): a route priority whose
/// requests take a tenth of the slot time is not starved by one with twice its weight. The slot
/// time is the mean of the route priority, so that its long requests wait no longer than its short
/// ones.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct Priority {
    workspace: u8,
    smith_ratio: f64,
}

impl Waiting {
    // `first_ms` is the pool's median time to process a prompt of this length.
    fn order(&self, now: Timestamp, first_ms: f64, priority: Priority) -> Order {
        let aim_left = self.offer.aim_left_ms - (now - self.queued_at);
        match () {
            _ if self.offer.resumes => Order::Resumed(aim_left),
            _ if self.offer.beyond_quota => Order::OverQuota(priority, aim_left),
            _ if aim_left > first_ms * ESTIMATE_MARGIN + self.slack_ms() => {
                Order::OnTime(priority, aim_left)
            }
            _ => Order::Late(!self.offer.returned, priority, aim_left),
        }
    }

    // Without slack, half of the responses served just in time would be late.
    fn slack_ms(&self) -> f64 {
        self.offer.aim_left_ms.max(0.0) * SLACK_FRACTION
    }

    fn max_wait_ms(&self, cfg: &PlacementSettings) -> f64 {
        match self.offer.beyond_quota {
            true => self.offer.aim_left_ms.max(0.0) * OVER_QUOTA_WAIT_FRACTION,
            false => self.offer.time_left_ms * cfg.wait_share,
        }
    }
}

#[derive(Default)]
struct Pool {
    targets: IndexMap<TargetName, Target>,
    waiting: Vec<Waiting>,
    next_retry: Timestamp,
    // Grants to late requests within the last `LATE_WINDOW_MS`.
    late_grants: VecDeque<Timestamp>,
    speed: Speed,
    // Mean slot time by route priority, in milliseconds.
    slot_ms: IndexMap<u8, f64>,
    last_offer: Option<Timestamp>,
    // When the scheduler began to get offers for the pool.
    taken_over: Timestamp,
    // The fraction of the limits of targets that is used now.
    limit_share: Option<f64>,
}

/// Median speed of a pool's usable targets.
#[derive(Clone, Copy, Debug, Default)]
struct Speed {
    prefill_ms_per_token: f64,
    step_ms: f64,
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
    pools: IndexMap<PoolName, Pool>,
    granted: IndexMap<OfferId, (PoolName, TargetName)>,
    next_id: u64,
    slot_fraction: Option<f64>,
    visible_share: Option<f64>,
    // Limits of targets that are in no pool, with the start times of their processes if these are
    // known.
    unplaced_limits: IndexMap<TargetName, (Option<u64>, RequestLimit)>,
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
        for info in infos {
            match state.targets.get_mut(&info.name) {
                Some(t) => t.update(info),
                None => {
                    let known = self.unplaced_limits.shift_remove(&info.name);
                    let known = known.filter(|(born, _)| born.is_none_or(|b| b == info.born));
                    let limit = known.map_or(RequestLimit::default(), |(_, limit)| limit);
                    let limit = limit.with_share(state.limit_share.unwrap_or(1.0));
                    let target = Target::new(info, limit);
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
        if pool.last_offer.is_none_or(|t| now - t > HANDOVER_MS) {
            pool.taken_over = now;
        }
        pool.last_offer = Some(now);
        pool.waiting.push(Waiting {
            id,
            offer,
            queued_at: now,
            order: Order::Resumed(0.0),
        });
        id
    }

    /// Withdraws an offer, or frees its slot if it was granted.
    pub fn finish(&mut self, id: OfferId, outcome: SlotOutcome, now: Timestamp) {
        match self.granted.swap_remove(&id) {
            Some((pool, target)) => {
                let pool = self.pools.get_mut(&pool);
                if let Some(t) = pool.and_then(|p| p.targets.get_mut(&target)) {
                    t.finish(id, outcome, now);
                }
            }
            None => {
                for pool in self.pools.values_mut() {
                    pool.waiting.retain(|w| w.id != id);
                }
            }
        }
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
            pool.sort(&self.cfg, now);
            pool.set_limit_share(self.visible_share.unwrap_or(1.0), now);
            let granted = pool.grant_free_slots(self.slot_fraction, now);
            for (w, target, address, first_ms, proven) in granted {
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

    /// Whether any offer is queued, so that the passage of time alone can cause a decision.
    pub fn has_waiting(&self) -> bool {
        self.pools.values().any(|p| !p.waiting.is_empty())
    }

    /// Number of waiting requests of a pool.
    pub fn waiting(&self, pool: &PoolName) -> usize {
        self.pools.get(pool).map_or(0, |p| p.waiting.len())
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

    fn record_slot_time(&mut self, offer: &Offer) {
        let Speed {
            prefill_ms_per_token,
            step_ms,
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

    fn priority(&self, rank: Rank, cfg: &PlacementSettings) -> Priority {
        let slot_ms = self.slot_ms.get(&rank.route).copied().unwrap_or(1.0);
        Priority {
            workspace: rank.workspace,
            smith_ratio: slot_ms * cfg.priority_factor.powi(i32::from(rank.route)),
        }
    }

    fn sort(&mut self, cfg: &PlacementSettings, now: Timestamp) {
        let usable = || self.targets.values().filter(|t| t.is_usable(now));
        self.speed = Speed {
            prefill_ms_per_token: median(usable().map(Target::prefill_ms_per_token).collect()),
            step_ms: median(usable().map(Target::step_ms).collect()),
        };
        let per_token = self.speed.prefill_ms_per_token;
        let mut waiting = std::mem::take(&mut self.waiting);
        for w in &mut waiting {
            let priority = self.priority(w.offer.rank, cfg);
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
            let has_free = self.targets.values().any(|t| t.has_free_slot(now));
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
                    if matches!(w.order, Order::Late(..)) {
                        self.late_grants.push_back(now);
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
        let mut out = Vec::new();
        let mut index = 0;
        let mut late_ahead = 0;
        while index < self.waiting.len() {
            let w = &self.waiting[index];
            let waited_ms = now - w.queued_at;
            let left_ms = w.max_wait_ms(cfg) - waited_ms;
            let is_late = matches!(w.order, Order::Late(..));
            // Late requests are served only when no request on time is queued, so their recent
            // service rate predicts the wait.
            let unservable = is_late && f64::from(late_ahead) / late_per_ms > left_ms;
            if left_ms > 0.0 && !unservable {
                late_ahead += i32::from(is_late);
                index += 1;
                continue;
            }
            let reason = match active {
                0 => Refusal::NoTarget,
                _ => Refusal::Overload,
            };
            let w = self.waiting.remove(index);
            let retry_after_ms = self.schedule_retry(&w.offer, waited_ms, now);
            let decision = Decision::Refuse {
                reason,
                retry_after_ms,
                waited_ms,
            };
            out.push((w.id, decision));
        }
        out
    }

    // Spaces out the retries of refused callers. When more are refused than fit into the retry
    // window of a caller, the offsets wrap around.
    fn schedule_retry(&mut self, offer: &Offer, waited_ms: f64, now: Timestamp) -> f64 {
        let left = (offer.time_left_ms - waited_ms).max(0.0);
        let latest_ms = left * MAX_RETRY_FRACTION;
        let earliest_ms = MIN_RETRY_AFTER_MS.max(latest_ms * MIN_RETRY_FRACTION);
        let window = latest_ms - earliest_ms;
        if window <= 0.0 {
            return latest_ms;
        }
        let offset_ms = (self.next_retry - now).max(0.0);
        self.next_retry = now + offset_ms + RETRY_SPACING_MS;
        earliest_ms + offset_ms % window
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

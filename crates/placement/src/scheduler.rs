//! The queue of waiting requests and the order in which they are served.

use indexmap::IndexMap;
use rwd_types::{PoolName, TargetName};
use std::collections::VecDeque;
use std::net::SocketAddr;

use crate::target::Target;
use crate::{Offer, OfferId, Rank, SlotOutcome, TargetInfo, Timestamp};

/// Waiting requests without a fitting target that are looked at in one round.
const WINDOW: usize = 48;
/// Least time after which a refused caller is told to come back, in milliseconds.
const MIN_RETRY_AFTER_MS: f64 = 300.0;
/// Time in which a returning caller is spread around its expected slot, in milliseconds.
const RETURN_SPACING_MS: f64 = 12.0;
/// Share of the longest return time before which nobody is asked back: one that finds the pool as
/// full as before has waited in vain, and has no further try.
const SOONEST_RETURN_SHARE: f64 = 0.4;
/// Share of its remaining time after which a caller ignores `Retry-After`.
const MAX_RETURN_SHARE: f64 = 0.3;

/// How much longer than estimated the first byte may take.
const ESTIMATE_MARGIN: f64 = 1.2;
/// Share of a request's aim that is kept in hand when it is judged whether it can be on time.
const RESERVE_SHARE: f64 = 0.2;
/// Time over which the service of late work is counted, in milliseconds.
const LATE_WINDOW_MS: f64 = 1000.0;
/// Share of its aim for which a request beyond its workspace's quota waits.
const BEYOND_WAIT_SHARE: f64 = 0.1;

/// Weight of one request in the mean slot time of its kind.
const KIND_WEIGHT: f64 = 0.02;

/// Part of the nodes below which a scheduler must suppose that others schedule too.
const MINORITY: f64 = 0.5;

/// Settings of a scheduler.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementSettings {
    /// Share of its time that a request may wait for a slot before it is refused.
    pub wait_share: f64,
    /// How many times as much a request of one route priority is worth as one of the next. The
    /// operators' sheets value their kinds of request 3 to 7 times as high as the next ones.
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
    /// The pool has no target that takes work.
    NoTarget,
    /// No slot came free in the time that the request can wait.
    Overload,
}

/// What a scheduler decided about an offer.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// A slot of a target.
    Grant {
        /// The target.
        target: TargetName,
        /// Where it listens.
        address: SocketAddr,
        /// Expected milliseconds to the first byte.
        first_ms: f64,
        /// Whether the target has answered anything lately.
        proven: bool,
        /// How long the request waited, in milliseconds.
        waited_ms: f64,
    },
    /// No slot; the request has not run.
    Refuse {
        /// Why.
        reason: Refusal,
        /// When the caller may come back, in milliseconds.
        retry_after_ms: f64,
        /// How long the request waited, in milliseconds.
        waited_ms: f64,
    },
}

struct Waiting {
    id: OfferId,
    offer: Offer,
    since: Timestamp,
    order: Order,
}

/// The order in which waiting requests are served.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
enum Order {
    /// A stream that broke and goes on: its caller waits in the middle of an answer.
    Resumes(f64),
    /// Can still be on time: by place, then by who is late soonest.
    OnTime(Place, f64),
    /// Will be late: those that were refused before, then by place, then by age.
    Late(bool, Place, f64),
    /// Beyond its workspace's quota.
    Beyond(Place, f64),
}

/// The place of a kind of request in the order of service; the least goes first.
///
/// Within a workspace priority that is the slot time it takes for its value, as in Smith's rule
/// (W. E. Smith, "Various optimizers for single-stage production", 1956): a kind that takes a tenth
/// of the time is not starved by one that is worth twice as much. The time is the mean of the
/// kind, so that its long requests wait no longer than its short ones.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct Place {
    workspace: u8,
    slot_ms_per_value: f64,
}

impl Waiting {
    // `first_ms` is what the pool's targets need for a prompt of this length.
    fn order(&self, now: Timestamp, first_ms: f64, place: Place) -> Order {
        let aim_left = self.offer.aim_left_ms - (now - self.since);
        match () {
            _ if self.offer.resumes => Order::Resumes(aim_left),
            _ if self.offer.beyond_quota => Order::Beyond(place, aim_left),
            _ if aim_left > first_ms * ESTIMATE_MARGIN + self.reserve_ms() => {
                Order::OnTime(place, aim_left)
            }
            _ => Order::Late(!self.offer.returned, place, aim_left),
        }
    }

    // Served at the last moment, every second answer would be late.
    fn reserve_ms(&self) -> f64 {
        self.offer.aim_left_ms.max(0.0) * RESERVE_SHARE
    }

    // How long the request may wait before it is refused, in milliseconds.
    fn patience(&self, cfg: &PlacementSettings) -> f64 {
        match self.offer.beyond_quota {
            true => self.offer.aim_left_ms.max(0.0) * BEYOND_WAIT_SHARE,
            false => self.offer.time_left_ms * cfg.wait_share,
        }
    }
}

#[derive(Default)]
struct Pool {
    targets: IndexMap<TargetName, Target>,
    waiting: Vec<Waiting>,
    next_return: Timestamp,
    // When late work was served, in the last window.
    late_grants: VecDeque<Timestamp>,
    speed: Speed,
    // Mean slot time of the requests of each route priority, in milliseconds.
    slot_ms: IndexMap<u8, f64>,
}

/// What most targets of a pool need.
#[derive(Clone, Copy, Debug, Default)]
struct Speed {
    prefill_ms_per_token: f64,
    step_ms: f64,
}

/// One target as status pages and tests see it.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetView {
    /// The target.
    pub name: TargetName,
    /// Requests in progress.
    pub in_flight: usize,
    /// Recent share of failures.
    pub failures: f64,
    /// Whether it gets work.
    pub usable: bool,
}

/// Counts the work of targets and hands out their slots.
#[derive(Default)]
pub struct Scheduler {
    cfg: PlacementSettings,
    pools: IndexMap<PoolName, Pool>,
    granted: IndexMap<OfferId, (PoolName, TargetName)>,
    next_id: u64,
    share: Option<f64>,
}

impl Scheduler {
    /// A scheduler without targets.
    pub fn new(cfg: PlacementSettings) -> Self {
        Self {
            cfg,
            ..Self::default()
        }
    }

    /// Replaces the list of a pool's targets; what was learned of those that stay is kept.
    pub fn set_targets(&mut self, pool: &PoolName, infos: Vec<TargetInfo>) {
        let state = self.pools.entry(pool.clone()).or_default();
        let listed = |t: &TargetName| infos.iter().any(|i| i.name == *t);
        // A target that is still at work stays until its last request has ended.
        state
            .targets
            .retain(|name, t| listed(name) || !t.in_flight.is_empty());
        for (name, t) in &mut state.targets {
            if !listed(name) {
                t.info.leaving = true;
            }
        }
        for info in infos {
            match state.targets.get_mut(&info.name) {
                Some(t) => t.update(info),
                None => {
                    state.targets.insert(info.name.clone(), Target::new(info));
                }
            }
        }
    }

    /// Sets which part of the nodes this one can see.
    ///
    /// A scheduler of a small part that is cut off from the others uses only that part of the
    /// slots, because others schedule the same targets.
    pub fn set_visible_share(&mut self, share: f64) {
        self.share = (share < MINORITY).then_some(share);
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
        pool.count_kind(&offer);
        pool.waiting.push(Waiting {
            id,
            offer,
            since: now,
            order: Order::Resumes(0.0),
        });
        id
    }

    /// Takes back an offer, or frees its slot if it was granted.
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

    /// Notes that a target has begun to answer, `first_ms` after the request was sent to it.
    pub fn record_first_byte(&mut self, id: OfferId, first_ms: f64, now: Timestamp) {
        let target = self.granted.get(&id).and_then(|(pool, target)| {
            let pool = self.pools.get_mut(pool)?;
            pool.targets.get_mut(target)
        });
        if let Some(t) = target {
            t.record_first_byte(id, first_ms, now);
        }
    }

    /// Everything that can be decided now.
    ///
    /// Call it after each change, and several times a second while offers wait.
    pub fn poll(&mut self, now: Timestamp) -> Vec<(OfferId, Decision)> {
        let mut out = Vec::new();
        for (name, pool) in &mut self.pools {
            if pool.waiting.is_empty() {
                continue;
            }
            pool.sort(&self.cfg, now);
            let granted = pool.grant_free(self.share, now);
            for (w, target, address, first_ms, proven) in granted {
                self.granted.insert(w.id, (name.clone(), target.clone()));
                let waited_ms = now - w.since;
                let decision = Decision::Grant {
                    target,
                    address,
                    first_ms,
                    proven,
                    waited_ms,
                };
                out.push((w.id, decision));
            }
            out.extend(pool.refuse_hopeless(&self.cfg, now));
        }
        out
    }

    /// Whether anything waits, so that time alone can bring a decision.
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
        });
        views.collect()
    }
}

type Granted = (Waiting, TargetName, SocketAddr, f64, bool);

impl Pool {
    fn count_kind(&mut self, offer: &Offer) {
        let Speed {
            prefill_ms_per_token,
            step_ms,
        } = self.speed;
        let sample =
            f64::from(offer.prompt) * prefill_ms_per_token + f64::from(offer.output) * step_ms;
        // Plain calls take much the same time each, and no speed is known before the first poll.
        if sample <= 0.0 {
            return;
        }
        let mean = self.slot_ms.entry(offer.rank.route).or_insert(sample);
        *mean += KIND_WEIGHT * (sample - *mean);
    }

    fn place(&self, rank: Rank, cfg: &PlacementSettings) -> Place {
        let slot_ms = self.slot_ms.get(&rank.route).copied().unwrap_or(1.0);
        Place {
            workspace: rank.workspace,
            slot_ms_per_value: slot_ms * cfg.priority_factor.powi(i32::from(rank.route)),
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
            let place = self.place(w.offer.rank, cfg);
            w.order = w.order(now, f64::from(w.offer.prompt) * per_token, place);
        }
        self.waiting = waiting;
        self.waiting.sort_by(|a, b| {
            let order = a.order.partial_cmp(&b.order);
            order.unwrap_or(std::cmp::Ordering::Equal)
        });
    }

    fn grant_free(&mut self, share: Option<f64>, now: Timestamp) -> Vec<Granted> {
        let mut out = Vec::new();
        let mut index = 0;
        let mut seen = 0;
        while index < self.waiting.len() && seen < WINDOW {
            let has_free = self.targets.values().any(|t| t.has_free_slot(now));
            if !has_free || share.is_some_and(|s| self.is_above(s)) {
                break;
            }
            let offer = &self.waiting[index].offer;
            let able = self.targets.values_mut().filter(|t| t.takes(offer, now));
            let cost = |t: &Target| t.cost(offer, now);
            let best = able.min_by(|a, b| cost(a).total_cmp(&cost(b)));
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
                    seen += 1;
                }
            }
        }
        out
    }

    fn is_above(&self, share: f64) -> bool {
        let slots: u32 = self.targets.values().map(|t| t.info.capacity.slots).sum();
        let used: usize = self.targets.values().map(|t| t.in_flight.len()).sum();
        used as f64 >= (f64::from(slots) * share).ceil()
    }

    fn refuse_hopeless(
        &mut self,
        cfg: &PlacementSettings,
        now: Timestamp,
    ) -> Vec<(OfferId, Decision)> {
        let live = self.targets.values().filter(|t| !t.info.leaving).count();
        let oldest = now + -LATE_WINDOW_MS;
        while self.late_grants.front().is_some_and(|t| *t < oldest) {
            self.late_grants.pop_front();
        }
        let late_per_ms = (self.late_grants.len() + 1) as f64 / LATE_WINDOW_MS;
        let mut out = Vec::new();
        let mut index = 0;
        let mut late_ahead = 0;
        while index < self.waiting.len() {
            let w = &self.waiting[index];
            let waited_ms = now - w.since;
            let left_ms = w.patience(cfg) - waited_ms;
            let is_late = matches!(w.order, Order::Late(..));
            // Late work is served when nothing else waits: as fast as it was of late.
            let hopeless = is_late && f64::from(late_ahead) / late_per_ms > left_ms;
            if left_ms > 0.0 && !hopeless {
                late_ahead += i32::from(is_late);
                index += 1;
                continue;
            }
            let reason = match live {
                0 => Refusal::NoTarget,
                _ => Refusal::Overload,
            };
            let w = self.waiting.remove(index);
            let retry_after_ms = self.return_time(&w.offer, waited_ms, now);
            let decision = Decision::Refuse {
                reason,
                retry_after_ms,
                waited_ms,
            };
            out.push((w.id, decision));
        }
        out
    }

    // Refused callers come back one after the other, not all at once; where more are refused than
    // fit into the time that a caller has, the order begins anew.
    fn return_time(&mut self, offer: &Offer, waited_ms: f64, now: Timestamp) -> f64 {
        let left = (offer.time_left_ms - waited_ms).max(0.0);
        let last_ms = left * MAX_RETURN_SHARE;
        let soonest_ms = MIN_RETRY_AFTER_MS.max(last_ms * SOONEST_RETURN_SHARE);
        let window = last_ms - soonest_ms;
        if window <= 0.0 {
            return last_ms;
        }
        let behind = (self.next_return - now).max(0.0);
        self.next_return = now + behind + RETURN_SPACING_MS;
        soonest_ms + behind % window
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

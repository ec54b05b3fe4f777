//! The local scheduler, which serves the requests of this node and of its peers.

use indexmap::IndexMap;
use log::{info, warn};
use rwd_peer::Exchange;
use rwd_placement::{
    Decision, HeldSlot, LimitNotice, LimitReport, MAX_REPORTS, Offer, OfferId, PlacementSettings,
    Refusal, Room, Scheduler, SlotOutcome, TargetInfo, TargetReport,
};
use rwd_types::{InstanceName, PoolName, RequestRate, TargetName, WorkspaceName};
use rwd_wire::{Message, Placed, ShardReport, ShardRoom};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::{Notify, oneshot};

use crate::clock;
use crate::room::{learn_share_rows, share_rows};
use crate::room_sync::RoomSync;
use crate::slots::Declined;

/// Interval at which waiting offers are polled when no other event triggers it.
const POLL_PERIOD: Duration = Duration::from_millis(20);

#[derive(Default)]
struct Inner {
    scheduler: Scheduler,
    decisions: IndexMap<OfferId, oneshot::Sender<Decision>>,
}

/// Places requests on targets.
#[derive(Default)]
pub(crate) struct LocalScheduler {
    inner: Mutex<Inner>,
    waiting: Notify,
    // Set if home nodes are told of the rooms of shards.
    rooms: Option<Arc<RoomSync>>,
}

/// An offer to the scheduler; dropping it withdraws the offer or releases its slot.
pub(crate) struct Ticket {
    scheduler: Arc<LocalScheduler>,
    id: OfferId,
    decision: oneshot::Receiver<Decision>,
    outcome: SlotOutcome,
    // Whether the exchange with the home node was lost before the outcome was known.
    lost: bool,
}

type PlaceResult = Result<Placed, Declined>;

impl Ticket {
    /// Waits for the decision. Cancel safe.
    pub async fn decision(&mut self) -> PlaceResult {
        match (&mut self.decision).await {
            Ok(decision) => to_result(decision),
            // Unreachable: the scheduler outlives its tickets and drops no sender undecided.
            Err(_) => Err(Declined {
                no_target: true,
                retry_after_ms: 0.0,
            }),
        }
    }

    /// Returns the decision if it has been made.
    pub fn try_decision(&mut self) -> Option<PlaceResult> {
        self.decision.try_recv().ok().map(to_result)
    }

    /// Records that the first byte of the response has been received.
    pub fn record_first_byte(&self, first_ms: f64) {
        let mut inner = self.scheduler.lock();
        inner
            .scheduler
            .record_first_byte(self.id, first_ms, clock::now());
    }

    /// Records what the response says about its target's request limit.
    pub fn record_limit(&self, limit: LimitReport) {
        let mut inner = self.scheduler.lock();
        let changed = inner.scheduler.record_limit(self.id, limit, clock::now());
        log_limit(changed);
        inner.deliver_decisions();
    }

    /// Releases the slot and records the outcome of its request.
    pub fn release(mut self, outcome: SlotOutcome) {
        self.outcome = outcome;
    }

    /// Frees the slot after the exchange with the home node was lost.
    pub fn lose(mut self) {
        self.lost = true;
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        match self.lost {
            true => self.scheduler.lose(self.id),
            false => self.scheduler.finish(self.id, self.outcome),
        }
    }
}

impl LocalScheduler {
    pub fn new(cfg: PlacementSettings, rooms: Option<Arc<RoomSync>>) -> Self {
        let inner = Inner {
            scheduler: Scheduler::new(cfg),
            ..Inner::default()
        };
        Self {
            inner: Mutex::new(inner),
            waiting: Notify::new(),
            rooms,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Replaces the targets of a pool.
    pub fn set_targets(&self, pool: &PoolName, infos: Vec<TargetInfo>) {
        let mut inner = self.lock();
        inner.scheduler.set_targets(pool, infos);
        inner.deliver_decisions();
    }

    /// The names of a pool's targets.
    pub fn target_names(&self, pool: &PoolName) -> Vec<TargetName> {
        let inner = self.lock();
        let targets = inner.scheduler.targets(pool, clock::now()).into_iter();
        targets.map(|t| t.name).collect()
    }

    /// Sets the fraction of the nodes that are visible to this one.
    pub fn set_visible_share(&self, share: f64) {
        self.lock().scheduler.set_visible_share(share, clock::now());
    }

    /// Applies what another node knows about the limits of targets.
    pub fn learn_limits(&self, limits: &[LimitNotice]) {
        let mut inner = self.lock();
        for notice in limits {
            log_limit(inner.scheduler.learn_limit(notice, clock::now()));
        }
    }

    /// The room of a pool.
    pub fn room(&self, pool: &PoolName) -> Option<Room> {
        self.lock().scheduler.room(pool, clock::now())
    }

    // Rooms for a home node, if it is time to send them.
    fn rooms_for(
        &self,
        home: &InstanceName,
        shard: &PoolName,
        granted: bool,
    ) -> Option<Vec<ShardRoom>> {
        let rooms = self.rooms.as_ref()?;
        if !rooms.is_relay_due(home, shard, granted) {
            return None;
        }
        rooms.learn_own(shard, self.room(shard)?);
        Some(rooms.relay(shard))
    }

    /// Reports of the pools that got an offer within the last `window_ms` milliseconds.
    pub fn reports(&self, window_ms: f64) -> Vec<ShardReport> {
        let now = clock::now();
        let inner = self.lock();
        let pools = inner.scheduler.offered_pools(window_ms, now);
        let reports = pools.into_iter().filter_map(|shard| {
            Some(ShardReport {
                room: inner.scheduler.room(&shard, now)?,
                age_ms: 0,
                shares: share_rows(&inner.scheduler, &shard, now),
                shard,
            })
        });
        reports.collect()
    }

    /// Applies the report of another shard to the other shards of its pool.
    pub fn learn_report(&self, others: &[PoolName], report: &ShardReport) {
        let scheduler = &mut self.lock().scheduler;
        let ignored = learn_share_rows(scheduler, others, report, clock::now());
        if ignored > 0 {
            warn!(event = "bad_shares", shard:% = report.shard, ignored; "a peer reports shares that cannot be; ignoring the rows");
        }
    }

    /// Sets the weights of workspaces in shares of slot time.
    pub fn set_weights(&self, weights: IndexMap<WorkspaceName, f64>) {
        self.lock().scheduler.set_weights(weights);
    }

    /// Makes an offer.
    pub fn offer(self: &Arc<Self>, offer: Offer) -> Ticket {
        let (tx, decision) = oneshot::channel();
        let mut inner = self.lock();
        let id = inner.scheduler.offer(offer, clock::now());
        for pool in inner.scheduler.take_takeovers() {
            info!(event = "taken_over", pool:%; "scheduling a pool from now on; a safe share of its targets is used until home nodes have reported");
        }
        inner.decisions.insert(id, tx);
        inner.deliver_decisions();
        if inner.scheduler.has_waiting() {
            self.waiting.notify_one();
        }
        Ticket {
            scheduler: self.clone(),
            id,
            decision,
            outcome: SlotOutcome::Unused,
            lost: false,
        }
    }

    /// Counts a slot that another scheduler granted, unless its target is unknown.
    pub fn adopt(self: &Arc<Self>, held: &HeldSlot, home: &InstanceName) -> Option<Ticket> {
        let id = self.lock().scheduler.adopt(held, home, clock::now())?;
        // Decided already; nothing waits for the decision.
        let (_, decision) = oneshot::channel();
        Some(Ticket {
            scheduler: self.clone(),
            id,
            decision,
            outcome: SlotOutcome::Unused,
            lost: false,
        })
    }

    /// What the successor is told of some of a pool's targets.
    pub fn target_reports(&self, pool: &PoolName) -> Vec<TargetReport> {
        self.lock().scheduler.reports(pool, clock::now())
    }

    /// Applies what the scheduler of a pool has learned of its targets.
    pub fn learn(&self, from: &InstanceName, pool: &PoolName, mut reports: Vec<TargetReport>) {
        reports.truncate(MAX_REPORTS);
        reports.retain(|r| match r.check() {
            Ok(()) => true,
            Err(e) => {
                warn!(event = "bad_report", peer:% = from, error:% = e; "a report of a target is ignored");
                false
            }
        });
        self.lock().scheduler.learn(pool, &reports, clock::now());
    }

    fn finish(&self, id: OfferId, outcome: SlotOutcome) {
        let mut inner = self.lock();
        inner.decisions.swap_remove(&id);
        inner.scheduler.finish(id, outcome, clock::now());
        inner.deliver_decisions();
    }

    fn lose(&self, id: OfferId) {
        let mut inner = self.lock();
        inner.decisions.swap_remove(&id);
        inner.scheduler.lose(id, clock::now());
        inner.deliver_decisions();
    }

    /// Polls the scheduler while offers are waiting, until the task is dropped.
    pub async fn run(self: Arc<Self>) {
        loop {
            self.waiting.notified().await;
            while self.lock().scheduler.has_waiting() {
                tokio::time::sleep(POLL_PERIOD).await;
                self.lock().deliver_decisions();
            }
        }
    }

    /// Serves the offer of a peer until the peer ends the exchange.
    ///
    /// # Errors
    ///
    /// Fails when the exchange breaks; the offer is then withdrawn and its slot released.
    pub async fn serve(self: &Arc<Self>, offer: Offer, mut ex: Exchange) -> rwd_peer::Result<()> {
        let (home, shard) = (offer.home.clone(), offer.pool.clone());
        let mut ticket = self.offer(offer);
        let decision = ticket.try_decision();
        let granted = matches!(decision, Some(Ok(_)));
        if let Some(rows) = self.rooms_for(&home, &shard, granted) {
            ex.send(&Message::Rooms(rows)).await?;
        }
        let decision = match decision {
            Some(decision) => decision,
            None => {
                ex.send(&Message::Queued).await?;
                tokio::select! {
                    decision = ticket.decision() => decision,
                    // The home node, which made the offer, can only withdraw before the decision.
                    _ = ex.recv() => return Ok(()),
                }
            }
        };
        match decision {
            Ok(placed) => ex.send(&Message::Placed(placed)).await?,
            Err(declined) => {
                let message = Message::Declined {
                    no_target: declined.no_target,
                    retry_after_ms: declined.retry_after_ms,
                };
                return ex.send_last(&message).await;
            }
        }
        loop {
            match ex.recv().await {
                Ok(Some(Message::Begun { first_ms, limit })) => {
                    ticket.record_limit(limit);
                    ticket.record_first_byte(first_ms);
                }
                Ok(Some(Message::Release { outcome, limit })) => {
                    ticket.record_limit(limit);
                    ticket.release(outcome);
                    return Ok(());
                }
                Err(e) if e.is_withdrawn() => return Ok(()),
                // Without an outcome, the target may still hold the request.
                lost => {
                    ticket.lose();
                    return lost.map(drop);
                }
            }
        }
    }
}

fn log_limit(changed: Option<(TargetName, Option<RequestRate>)>) {
    match changed {
        Some((target, Some(limit))) => {
            info!(event = "request_limit", target:%, limit:%; "keeping to the limit of a target");
        }
        Some((target, None)) => {
            info!(event = "request_limit", target:%; "the limit of a target has ended");
        }
        None => (),
    }
}

fn to_result(decision: Decision) -> PlaceResult {
    match decision {
        Decision::Grant {
            target,
            address,
            first_ms,
            proven,
            ..
        } => Ok(Placed {
            target,
            address,
            first_ms,
            proven,
        }),
        Decision::Refuse {
            reason,
            retry_after_ms,
            ..
        } => Err(Declined {
            no_target: reason == Refusal::NoTarget,
            retry_after_ms,
        }),
    }
}

impl Inner {
    fn deliver_decisions(&mut self) {
        for (id, decision) in self.scheduler.poll(clock::now()) {
            if let Decision::Refuse {
                waited_ms, reason, ..
            } = &decision
            {
                info!(event = "refuse", offer:% = id, reason:?, waited_ms = *waited_ms as u64, waiting = self.decisions.len(); "offer refused: no slot in time");
            }
            match self.decisions.swap_remove(&id) {
                // Sending fails only if the ticket has been dropped or is being dropped.
                Some(tx) => drop(tx.send(decision)),
                None => self.scheduler.finish(id, SlotOutcome::Unused, clock::now()),
            }
        }
        self.log_shares();
    }

    fn log_shares(&mut self) {
        for (pool, n) in self.scheduler.share_news(clock::now()) {
            let workspace = n.workspace.as_ref().map_or("", |w| w.as_str());
            let (asked, given) = (n.asked_ms_per_s as u64, n.given_ms_per_s as u64);
            match n.is_beyond {
                true => {
                    info!(event = "beyond_share", pool:% = pool, workspace, asked_ms_per_s = asked, given_ms_per_s = given; "workspace asks for more than its share; the others go first")
                }
                false => {
                    info!(event = "within_share", pool:% = pool, workspace, asked_ms_per_s = asked, given_ms_per_s = given; "workspace is within its share again")
                }
            }
        }
    }
}

//! What home nodes and schedulers tell a scheduler that takes over a shard.
//!
//! A home node keeps a list of the slots that schedulers granted it. When the exchange of one
//! breaks, or another node becomes the scheduler of its shard, it reports the slot there; outcomes go
//! to both. Reports to one scheduler share a message and an exchange.

use futures_util::FutureExt;
use indexmap::IndexMap;
use log::{debug, info, warn};
use rwd_peer::{Exchange, Links, View, score};
use rwd_placement::{HeldSlot, LimitReport, Offer, SlotOutcome, Timestamp, worst_case};
use rwd_types::{InstanceName, PoolName, TargetName};
use rwd_wire::Message;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::Mutex as AsyncMutex;
use tokio::task::JoinSet;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock;
use crate::local_scheduler::{LocalScheduler, Ticket};

/// Slots of one home node that are reported; those beyond are freed as without hand-over.
const MAX_HELD: usize = 1024;
/// Slots in one message.
const MAX_BATCH: usize = 128;
/// Timeout of the reply to a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(350);

type SharedExchange = Arc<AsyncMutex<Exchange>>;

/// How a scheduler learns the outcome of a slot that it counts.
enum Counted {
    Local(Ticket),
    Remote(SharedExchange),
    /// It does not know the target.
    Unknown,
}

impl Counted {
    fn is_broken(&self) -> bool {
        // The peer sends nothing on these exchanges, so that anything received is their end.
        let ended = |mut ex: tokio::sync::MutexGuard<'_, Exchange>| ex.recv().now_or_never();
        match self {
            Self::Remote(ex) => ex.try_lock().is_ok_and(|ex| ended(ex).is_some()),
            Self::Local(_) | Self::Unknown => false,
        }
    }

    // Reports the first byte to a local scheduler; returns the exchange with a remote one.
    fn begin(&self, first_ms: f64, limit: LimitReport) -> Option<SharedExchange> {
        match self {
            Self::Local(ticket) => {
                ticket.record_limit(limit);
                ticket.record_first_byte(first_ms);
                None
            }
            Self::Remote(ex) => Some(ex.clone()),
            Self::Unknown => None,
        }
    }

    // Releases the slot at a local scheduler; returns the exchange with a remote one.
    fn end(self, outcome: SlotOutcome, limit: LimitReport) -> Option<SharedExchange> {
        match self {
            Self::Local(ticket) => {
                ticket.record_limit(limit);
                ticket.release(outcome);
                None
            }
            Self::Remote(ex) => Some(ex),
            Self::Unknown => None,
        }
    }
}

struct Entry {
    slot: HeldSlot,
    granted_at: Timestamp,
    deadline: Timestamp,
    // The scheduler that counts the slot.
    scheduler: InstanceName,
    // At the scheduler that granted the slot; `None` once the exchange has broken.
    first: Option<Counted>,
    // At the scheduler to which it was reported last.
    successor: Option<Counted>,
}

/// The slots that schedulers have granted to this node.
#[derive(Default)]
pub(crate) struct HeldSlots {
    inner: Mutex<(u64, IndexMap<u64, Entry>)>,
}

/// A granted slot of this node; dropping it releases the slot.
pub(crate) struct Held {
    slots: Arc<HeldSlots>,
    key: u64,
    outcome: SlotOutcome,
    limit: LimitReport,
}

impl Held {
    /// Reports the first byte of the response.
    pub async fn record_first_byte(&self, first_ms: f64, limit: LimitReport) {
        let (first, successor) = {
            let mut inner = self.slots.lock();
            let Some(entry) = inner.1.get_mut(&self.key) else {
                return;
            };
            entry.slot.unread = 0;
            let begin = |c: &Option<Counted>| c.as_ref().and_then(|c| c.begin(first_ms, limit));
            (begin(&entry.first), begin(&entry.successor))
        };
        // A broken exchange is found with the next check.
        if let Some(ex) = first {
            let _ = ex
                .lock()
                .await
                .send(&Message::Begun { first_ms, limit })
                .await;
        }
        if let Some(ex) = successor {
            let key = self.key;
            let message = Message::HeldBegun {
                key,
                first_ms,
                limit,
            };
            let _ = ex.lock().await.send(&message).await;
        }
    }

    /// Releases the slot and reports the outcome of its request.
    pub fn release(mut self, outcome: SlotOutcome, limit: LimitReport) {
        self.outcome = outcome;
        self.limit = limit;
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let Some(entry) = self.slots.lock().1.swap_remove(&self.key) else {
            return;
        };
        let (key, outcome, limit) = (self.key, self.outcome, self.limit);
        let end = |c: Option<Counted>| c.and_then(|c| c.end(outcome, limit));
        let (first, successor) = (end(entry.first), end(entry.successor));
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        runtime.spawn(async move {
            if let Some(ex) = successor {
                send_release(&ex, key, outcome, limit).await;
            }
            if let Some(ex) = first {
                let mut ex = ex.lock().await;
                let sent = ex.send_last(&Message::Release { outcome, limit }).await;
                // A reset could overtake the message.
                while sent.is_ok() && matches!(ex.recv().await, Ok(Some(_))) {}
            }
        });
    }
}

async fn send_release(ex: &SharedExchange, key: u64, outcome: SlotOutcome, limit: LimitReport) {
    let message = Message::HeldRelease {
        key,
        outcome,
        limit,
    };
    if let Err(e) = ex.lock().await.send(&message).await {
        debug!(error:% = e; "cannot report the outcome of a reported slot");
    }
}

impl HeldSlots {
    fn lock(&self) -> MutexGuard<'_, (u64, IndexMap<u64, Entry>)> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Adds a slot that the local scheduler granted; gives the ticket back if there are too many.
    pub fn add_local(
        self: &Arc<Self>,
        offer: &Offer,
        shard: &PoolName,
        target: TargetName,
        own: &InstanceName,
        ticket: Ticket,
    ) -> Result<Held, Ticket> {
        if self.lock().1.len() >= MAX_HELD {
            return Err(ticket);
        }
        Ok(self.insert(offer, shard, target, own.clone(), Counted::Local(ticket)))
    }

    /// Adds a slot that a remote scheduler granted; gives the exchange back if there are too many.
    pub fn add(
        self: &Arc<Self>,
        offer: &Offer,
        shard: &PoolName,
        target: TargetName,
        scheduler: InstanceName,
        ex: Box<Exchange>,
    ) -> Result<Held, Box<Exchange>> {
        if self.lock().1.len() >= MAX_HELD {
            return Err(ex);
        }
        let first = Counted::Remote(Arc::new(AsyncMutex::new(*ex)));
        Ok(self.insert(offer, shard, target, scheduler, first))
    }

    fn insert(
        self: &Arc<Self>,
        offer: &Offer,
        shard: &PoolName,
        target: TargetName,
        scheduler: InstanceName,
        first: Counted,
    ) -> Held {
        let mut inner = self.lock();
        inner.0 += 1;
        let key = inner.0;
        let now = clock::now();
        let slot = HeldSlot {
            shard: shard.clone(),
            target,
            request: offer.request.clone(),
            tokens: worst_case(offer),
            unread: offer.prompt,
            held_ms: 0.0,
            left_ms: 0.0,
        };
        let entry = Entry {
            slot,
            granted_at: now,
            deadline: now + offer.time_left_ms,
            scheduler,
            first: Some(first),
            successor: None,
        };
        inner.1.insert(key, entry);
        drop(inner);
        Held {
            slots: self.clone(),
            key,
            outcome: SlotOutcome::Unused,
            limit: LimitReport::Unknown,
        }
    }

    /// The slots that have to be reported, by the scheduler that gets the report.
    fn to_move(
        &self,
        scheduler: impl Fn(&PoolName) -> Option<InstanceName>,
    ) -> IndexMap<InstanceName, Vec<(u64, HeldSlot)>> {
        let now = clock::now();
        let mut schedulers: IndexMap<PoolName, Option<InstanceName>> = IndexMap::new();
        let mut moves: IndexMap<InstanceName, Vec<_>> = IndexMap::new();
        for (key, entry) in &mut self.lock().1 {
            for counted in [&mut entry.first, &mut entry.successor] {
                if counted.as_ref().is_some_and(Counted::is_broken) {
                    *counted = None;
                }
            }
            let shard = &entry.slot.shard;
            let current = match schedulers.get(shard) {
                Some(known) => known.clone(),
                None => {
                    let current = scheduler(shard);
                    schedulers.insert(shard.clone(), current.clone());
                    current
                }
            };
            let is_counted = entry.first.is_some() || entry.successor.is_some();
            match current {
                Some(to) if to != entry.scheduler || !is_counted => {
                    let slot = HeldSlot {
                        held_ms: (now - entry.granted_at).max(0.0),
                        left_ms: (entry.deadline - now).max(0.0),
                        ..entry.slot.clone()
                    };
                    moves.entry(to).or_default().push((*key, slot));
                }
                _ => (),
            }
        }
        moves
    }

    // Records to whom a slot was reported. Its request may have ended meanwhile.
    fn set_successor(&self, key: u64, to: &InstanceName, successor: Counted) {
        let (before, ended) = match self.lock().1.get_mut(&key) {
            Some(entry) => {
                entry.scheduler = to.clone();
                (entry.successor.replace(successor), None)
            }
            None => (None, Some(successor)),
        };
        for replaced in before.into_iter().chain(ended) {
            if let Counted::Remote(ex) = replaced {
                tokio::spawn(async move {
                    send_release(&ex, key, SlotOutcome::Unused, LimitReport::Unknown).await;
                });
            }
        }
    }

    /// Reports the slots whose schedulers were lost or have changed. Returns the schedulers that did
    /// not reply; their reports are made again with the next call.
    pub async fn hand_over(
        self: &Arc<Self>,
        own: &InstanceName,
        local: &Arc<LocalScheduler>,
        links: &Arc<Links>,
        scheduler: impl Fn(&PoolName) -> Option<InstanceName>,
    ) -> Vec<InstanceName> {
        let mut sent = JoinSet::new();
        for (to, slots) in self.to_move(scheduler) {
            info!(event = "handover", scheduler:% = to, slots = slots.len(); "reporting requests in progress to a scheduler");
            if to == *own {
                for (key, slot) in slots {
                    let ticket = local.adopt(&slot, own);
                    let successor = ticket.map_or(Counted::Unknown, Counted::Local);
                    self.set_successor(key, &to, successor);
                }
                continue;
            }
            for batch in slots.chunks(MAX_BATCH) {
                let (slots, links, to) = (self.clone(), links.clone(), to.clone());
                let batch = batch.to_vec();
                sent.spawn(async move {
                    let report = slots.report(&links, &to, batch);
                    let result = match tokio::time::timeout(REPORT_TIMEOUT, report).await {
                        Ok(result) => result,
                        Err(_) => Err(rwd_peer::Error::Timeout),
                    };
                    match result {
                        Ok(()) => None,
                        Err(e) => {
                            info!(event = "scheduler_lost", scheduler:% = to, error:% = e; "cannot report requests in progress");
                            Some(to)
                        }
                    }
                });
            }
        }
        let mut lost = Vec::new();
        while let Some(done) = sent.join_next().await {
            match done {
                Ok(to) => lost.extend(to),
                Err(e) => warn!(error:% = e; "reporting requests in progress failed"),
            }
        }
        lost
    }

    async fn report(
        &self,
        links: &Links,
        to: &InstanceName,
        batch: Vec<(u64, HeldSlot)>,
    ) -> rwd_peer::Result<()> {
        let keys: Vec<_> = batch.iter().map(|(key, _)| *key).collect();
        let mut ex = links.open(to, &Message::HeldSlots(batch)).await?;
        match ex.recv().await? {
            Some(Message::UpToDate) => (),
            Some(_) => return Err(rwd_peer::Error::Unexpected),
            None => return Err(rwd_peer::Error::Ended),
        }
        let ex = Arc::new(AsyncMutex::new(ex));
        for key in keys {
            self.set_successor(key, to, Counted::Remote(ex.clone()));
        }
        Ok(())
    }
}

/// Counts the slots that a home node reports until the exchange ends.
///
/// # Errors
///
/// Fails when the exchange breaks; the slots are then freed, their memory later.
pub(crate) async fn serve_held(
    scheduler: &Arc<LocalScheduler>,
    home: &InstanceName,
    slots: Vec<(u64, HeldSlot)>,
    mut ex: Exchange,
) -> rwd_peer::Result<()> {
    let count = slots.len();
    let mut tickets = IndexMap::new();
    for (key, slot) in slots.into_iter().take(MAX_BATCH) {
        match slot.check() {
            Ok(()) => tickets.extend(scheduler.adopt(&slot, home).map(|t| (key, t))),
            Err(e) => {
                warn!(event = "bad_report", peer:% = home, error:% = e; "a reported slot is ignored")
            }
        }
    }
    info!(event = "adopted", home:%, slots = count, known = tickets.len(); "counting requests in progress of another scheduler");
    ex.send(&Message::UpToDate).await?;
    loop {
        match ex.recv().await {
            Ok(Some(Message::HeldBegun {
                key,
                first_ms,
                limit,
            })) => {
                if let Some(ticket) = tickets.get(&key) {
                    ticket.record_limit(limit);
                    ticket.record_first_byte(first_ms);
                }
            }
            Ok(Some(Message::HeldRelease {
                key,
                outcome,
                limit,
            })) => {
                if let Some(ticket) = tickets.swap_remove(&key) {
                    ticket.record_limit(limit);
                    ticket.release(outcome);
                }
            }
            Err(e) if e.is_withdrawn() => return Ok(()),
            lost => {
                tickets.into_values().for_each(Ticket::lose);
                return lost.map(drop);
            }
        }
    }
}

/// Marks an offer of a home node that reaches no scheduler of a shard, and restricts it to the
/// targets that no other home node uses as its last resort.
///
/// Nodes with the same view agree on the node of each target by rendezvous hashing.
pub(crate) fn mark_last_resort(
    offer: &mut Offer,
    targets: Vec<TargetName>,
    own: &InstanceName,
    view: &View,
) {
    offer.last_resort = true;
    let names = || view.candidates().map(|m| &m.name);
    let first = |key| names().max_by_key(|name| (score(key, name), (*name).clone()));
    let is_others = |t: &TargetName| first(xxh3_64(t.as_str().as_bytes())) != Some(own);
    offer.exclude.extend(targets.into_iter().filter(is_others));
}

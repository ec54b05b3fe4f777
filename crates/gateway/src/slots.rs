//! Acquires slots from the scheduler of a request's pool, remote or local.

mod spill;

use compact_str::CompactString;
use futures_util::future::select_all;
use indexmap::{IndexMap, IndexSet};
use log::{debug, info, warn};
use rwd_peer::{Directory, Error, Exchange, Links, rank_by_cpu};
use rwd_placement::{
    KnownLimits, LimitNotice, LimitReport, Offer, Recipient, SlotOutcome, Timestamp, VersionRule,
    exceeds_memory, worst_case,
};
use rwd_types::{InstanceName, PoolName, TargetName};
use rwd_wire::{MemberUpdate, Message, Placed};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64;

use crate::handover::{Held, HeldSlots};
use crate::local_scheduler::{LocalScheduler, Ticket};
use crate::rollout::InUse;
use crate::room_sync::RoomSync;
use crate::shards::{Shard, Shards, partition};
use crate::{Scheduling, StoreReplica, clock, handover};

pub(crate) use spill::Spill;

/// How long a scheduler may take to acknowledge an offer. A busy one takes longer than the round
/// trip, and after a failover its successor starts with empty load counts.
const FIRST_REPLY_TIMEOUT: Duration = Duration::from_millis(350);
/// How long a scheduler that did not reply is skipped, in milliseconds: until the failure detector
/// has determined whether it has failed.
const AVOID_MS: f64 = 2000.0;
/// Number of remote schedulers tried before the local one.
const MAX_REMOTE_SCHEDULERS: usize = 4;

/// Number of schedulers of a shard that are told of limits before they get an offer: the present one
/// and those that are tried after it.
const INFORMED_SCHEDULERS: usize = MAX_REMOTE_SCHEDULERS;
/// Number of shards at which one request is queued.
const MAX_SHARDS: usize = 2;
/// Retry-after time if the pool has no target or its schedulers are lost, in milliseconds.
const NO_TARGET_RETRY_MS: f64 = 500.0;

/// No slot was granted; the request has not run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Declined {
    /// Whether the pool has no target at all.
    pub no_target: bool,
    /// Retry-after time for the caller, in milliseconds.
    pub retry_after_ms: f64,
}

enum SlotHandle {
    Local(Ticket),
    Remote(Box<Exchange>),
    Held(Held),
}

/// A granted slot of a target; dropping it releases the slot.
pub(crate) struct Slot {
    pub target: TargetName,
    pub address: SocketAddr,
    /// Expected time to first byte, in milliseconds.
    pub first_ms: f64,
    /// Whether the target has responded to any request recently.
    pub proven: bool,
    /// The node that granted the slot, for logs.
    pub scheduler: InstanceName,
    /// Set if the request goes to another zone.
    pub spill: Option<Spill>,
    shard: PoolName,
    // What the response says about the target's request limit, until that is reported.
    limit: LimitReport,
    /// Which versions the request may go to.
    pub rule: VersionRule,
    /// Set while a request is in progress at the target.
    pub in_use: Option<Box<InUse>>,
    handle: SlotHandle,
}

impl Slot {
    /// The slot with the version rule of the offer that it was granted to.
    pub fn with_rule(self, rule: VersionRule) -> Self {
        Self { rule, ..self }
    }

    /// Records an answer of the target and the time to its first byte, in milliseconds.
    pub fn record_answer(&self, route: &CompactString, failed: bool, ms: f64) {
        if let Some(in_use) = &self.in_use {
            in_use.record_answer(route, failed, ms);
        }
    }

    /// Reports to the scheduler that the first byte of the response has been received.
    pub async fn record_first_byte(&mut self, first_ms: f64) {
        // Reported once: by the end of the stream, another response may have changed it.
        let limit = std::mem::take(&mut self.limit);
        match &mut self.handle {
            SlotHandle::Local(ticket) => {
                ticket.record_limit(limit);
                ticket.record_first_byte(first_ms);
            }
            SlotHandle::Remote(ex) => {
                // A lost scheduler is detected when the slot is released.
                let _ = ex.send(&Message::Begun { first_ms, limit }).await;
            }
            SlotHandle::Held(held) => held.record_first_byte(first_ms, limit).await,
        }
    }

    /// Releases the slot and reports the outcome of its request.
    pub fn release(self, outcome: SlotOutcome) {
        let limit = self.limit;
        match self.handle {
            SlotHandle::Local(ticket) => {
                ticket.record_limit(limit);
                ticket.release(outcome);
            }
            SlotHandle::Held(held) => held.release(outcome, limit),
            SlotHandle::Remote(ex) => {
                tokio::spawn(async move {
                    let report = Message::Release { outcome, limit };
                    // Without the report the scheduler frees the slot when the exchange ends.
                    if let Err(e) = ex.finish(&report).await {
                        debug!(error:% = e; "cannot report a request's outcome to the scheduler");
                    }
                });
            }
        }
    }
}

/// Acquires slots for the requests of this node.
pub(crate) struct Slots {
    instance: InstanceName,
    local_scheduler: Arc<LocalScheduler>,
    directory: Arc<Directory>,
    links: Arc<Links>,
    shards: Arc<Shards>,
    replica: Arc<StoreReplica>,
    avoided: Mutex<IndexMap<InstanceName, Timestamp>>,
    known_limits: Mutex<KnownLimits>,
    // Set if requests go where there is room.
    rooms: Option<Arc<RoomSync>>,
    cfg: Scheduling,
    held: Arc<HeldSlots>,
}

/// An offer that is queued or granted at a scheduler.
enum OpenOffer {
    Local(Ticket),
    Remote(InstanceName, Box<Exchange>),
}

/// A scheduler's first reply to an offer.
enum Reply {
    Slot(Box<Slot>),
    Declined(Declined),
    Queued(OpenOffer),
}

impl Slots {
    pub fn new(
        instance: InstanceName,
        local_scheduler: Arc<LocalScheduler>,
        directory: Arc<Directory>,
        links: Arc<Links>,
        shards: Arc<Shards>,
        replica: Arc<StoreReplica>,
        cfg: Scheduling,
    ) -> Self {
        Self {
            instance,
            local_scheduler,
            directory,
            links,
            shards,
            replica,
            avoided: Mutex::default(),
            known_limits: Mutex::default(),
            rooms: None,
            cfg,
            held: Arc::default(),
        }
    }

    /// Whether a request is larger than a target of its pool may be sent.
    pub fn exceeds_memory(&self, offer: &Offer) -> bool {
        let catalog = self.replica.catalog().filter(|_| self.cfg.bounded_memory);
        let memory = catalog.and_then(|c| c.pools.get(&offer.pool)?.memory_tokens);
        memory.is_some_and(|m| exceeds_memory(worst_case(offer), m))
    }

    /// Offers requests to the shards that have room, as far as these are known.
    pub fn with_rooms(self, rooms: Option<Arc<RoomSync>>) -> Self {
        Self { rooms, ..self }
    }

    fn known_limits(&self) -> MutexGuard<'_, KnownLimits> {
        self.known_limits.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Records what the response to a request, sent at `sent`, says about its target's limit.
    /// Returns whether the limit changed.
    pub fn record_limit(&self, slot: &mut Slot, limit: LimitReport, sent: Timestamp) -> bool {
        slot.limit = limit;
        let by = self.recipient(&slot.scheduler);
        self.known_limits()
            .record(&slot.target, &slot.shard, limit, sent, by, clock::now())
    }

    /// Applies what another node knows about the limits of targets, as scheduler and as home node.
    pub fn learn_limits(&self, limits: &[LimitNotice]) {
        if limits.is_empty() {
            return;
        }
        self.local_scheduler.learn_limits(limits);
        let mut known = self.known_limits();
        for notice in limits {
            known.learn(notice, clock::now());
        }
    }

    /// Tells the schedulers of each shard, and their successors, of limits that they may not know.
    pub async fn spread_limits(&self) {
        let shards = self.known_limits().shards();
        let mut sent = JoinSet::new();
        for shard in self.shards.named(&shards) {
            for name in self
                .schedulers(&shard)
                .into_iter()
                .take(INFORMED_SCHEDULERS)
            {
                let Some(to) = self.recipient(&name).filter(|_| name != self.instance) else {
                    continue;
                };
                let limits = self.known_limits().untold(&shard.name, &to, clock::now());
                if limits.is_empty() {
                    continue;
                }
                let links = self.links.clone();
                sent.spawn(async move {
                    let message = Message::Limits(limits.clone());
                    let reply = links.ask(&to.0, &message, FIRST_REPLY_TIMEOUT).await;
                    (to, limits, reply)
                });
            }
        }
        while let Some(done) = sent.join_next().await {
            match done {
                Ok((to, limits, Ok(_))) => self.known_limits().mark_told(&limits, &to),
                // Tried again with the next period.
                Ok((to, _, Err(e))) => {
                    debug!(peer:% = to.0, error:% = e; "cannot tell a scheduler of limits")
                }
                Err(e) => warn!(error:% = e; "telling a scheduler of limits failed"),
            }
        }
    }

    fn recipient(&self, scheduler: &InstanceName) -> Option<Recipient> {
        let view = self.directory.view();
        let member = view.members.get(scheduler)?;
        Some((scheduler.clone(), member.incarnation))
    }

    /// Acquires a slot for a request, or returns the reason why there is none.
    ///
    /// A request that is queued at one shard is queued at a second one too and takes the first slot
    /// of either, as in late binding (Ousterhout et al., "Sparrow", SOSP 2013).
    pub async fn acquire(&self, mut offer: Offer) -> Result<Slot, Declined> {
        if let Some(rooms) = &self.rooms {
            return self.acquire_by_room(rooms, offer).await;
        }
        let created = clock::now();
        let shards = self.shards_of(&offer);
        let mut open = Vec::new();
        let mut declined = None;
        for shard in shards.into_iter().take(MAX_SHARDS) {
            offer.pool = shard.name.clone();
            match self.offer_to(&shard, &offer, created).await {
                Reply::Slot(slot) => return Ok(*slot),
                Reply::Declined(d) => declined = Some(d),
                Reply::Queued(o) => open.push((o, shard)),
            }
        }
        while !open.is_empty() {
            let waits = open.iter_mut().map(|(o, _)| Box::pin(o.decision()));
            let (result, index, _) = select_all(waits).await;
            let (open_offer, shard) = open.swap_remove(index);
            match result {
                Ok(Ok(granted)) => {
                    return Ok(self.granted_slot(open_offer, granted, &offer, &shard.name));
                }
                Ok(Err(d)) => declined = Some(d),
                Err(e) => {
                    self.record_loss(&open_offer, &offer, &e);
                    offer.pool = shard.name.clone();
                    match self.offer_to(&shard, &offer, created).await {
                        Reply::Slot(slot) => return Ok(*slot),
                        Reply::Declined(d) => declined = Some(d),
                        Reply::Queued(o) => return self.wait_after_loss(o, &offer).await,
                    }
                }
            }
        }
        Err(declined.unwrap_or(Declined {
            no_target: true,
            retry_after_ms: NO_TARGET_RETRY_MS,
        }))
    }

    // The shards of the offer's pool that have targets of its version, in the order to try them.
    fn shards_of(&self, offer: &Offer) -> Vec<Shard> {
        let mut shards = self.shards.of(&offer.pool, &offer.zone);
        if let VersionRule::Only(version) = &offer.version {
            let targets = self.replica.targets(&offer.pool);
            let partition = partition(&offer.pool, &targets);
            shards.retain(|shard| {
                let targets = partition.get(shard).into_iter().flatten();
                let mut entries = targets.map(|(_, entry)| entry);
                entries.any(|e| !e.leaving && e.version == *version)
            });
        }
        shards
    }

    // Waits at the last scheduler after another was lost; a second loss ends the wait.
    async fn wait_after_loss(
        &self,
        mut open_offer: OpenOffer,
        offer: &Offer,
    ) -> Result<Slot, Declined> {
        match open_offer.decision().await {
            Ok(Ok(granted)) => Ok(self.granted_slot(open_offer, granted, offer, &offer.pool)),
            Ok(Err(declined)) => Err(declined),
            Err(e) => {
                self.record_loss(&open_offer, offer, &e);
                Err(Declined {
                    no_target: false,
                    retry_after_ms: NO_TARGET_RETRY_MS,
                })
            }
        }
    }

    // Makes an offer to the scheduler of a shard, its successors, and finally the local scheduler.
    async fn offer_to(&self, shard: &Shard, offer: &Offer, created: Timestamp) -> Reply {
        // Whether this node is among the schedulers of the shard.
        let mut is_own = false;
        for name in self
            .schedulers(shard)
            .into_iter()
            .take(MAX_REMOTE_SCHEDULERS)
        {
            if name == self.instance {
                is_own = true;
                break;
            }
            match self.offer_remote(&name, offer, created).await {
                Ok(reply) => return reply,
                Err(e) => {
                    info!(event = "scheduler_lost", request:% = offer.request, scheduler:% = name, error:% = e; "trying another scheduler");
                    self.avoid(name);
                }
            }
        }
        let mut own_offer = aged(offer, created);
        if self.cfg.bounded_memory && own_offer.prompt > 0 && !is_own {
            let targets = self.local_scheduler.target_names(&shard.name);
            handover::mark_last_resort(
                &mut own_offer,
                targets,
                &self.instance,
                &self.directory.view(),
            );
        }
        if let Some(own) = self.recipient(&self.instance) {
            let mut known = self.known_limits();
            let limits = known.untold(&offer.pool, &own, clock::now());
            self.local_scheduler.learn_limits(&limits);
            known.mark_told(&limits, &own);
        }
        let mut ticket = self.local_scheduler.offer(own_offer);
        match ticket.try_decision() {
            Some(Ok(granted)) => {
                let open_offer = OpenOffer::Local(ticket);
                Reply::Slot(Box::new(self.granted_slot(
                    open_offer,
                    granted,
                    offer,
                    &shard.name,
                )))
            }
            Some(Err(declined)) => Reply::Declined(declined),
            None => Reply::Queued(OpenOffer::Local(ticket)),
        }
    }

    fn record_loss(&self, open_offer: &OpenOffer, offer: &Offer, e: &Error) {
        if let OpenOffer::Remote(name, _) = open_offer {
            info!(event = "scheduler_lost", request:% = offer.request, scheduler:% = name, error:% = e; "the scheduler was lost while the request was queued");
            self.avoid(name.clone());
        }
    }

    // All nodes rank the schedulers of a shard alike, so that one of them counts all of its load.
    fn schedulers(&self, shard: &Shard) -> Vec<InstanceName> {
        let now = clock::now();
        let mut avoided = self.avoided.lock().unwrap_or_else(|e| e.into_inner());
        avoided.retain(|_, until| *until > now);
        let view = self.directory.view();
        let in_zone = |m: &&MemberUpdate| shard.zone.as_ref().is_none_or(|z| *z == m.zone);
        let usable = || view.candidates().filter(|m| !avoided.contains_key(&m.name));
        let key = xxh3_64(shard.name.as_str().as_bytes());
        let mut ranked = rank_by_cpu(key, usable().filter(in_zone));
        if ranked.is_empty() {
            ranked = rank_by_cpu(key, usable());
        }
        ranked.into_iter().map(|m| m.name.clone()).collect()
    }

    fn avoid(&self, name: InstanceName) {
        let mut avoided = self.avoided.lock().unwrap_or_else(|e| e.into_inner());
        avoided.insert(name, clock::now() + AVOID_MS);
    }

    fn granted_slot(
        &self,
        open_offer: OpenOffer,
        granted: Placed,
        offer: &Offer,
        shard: &PoolName,
    ) -> Slot {
        let (scheduler, handle) = match open_offer {
            OpenOffer::Local(ticket) if self.cfg.handover => {
                let (target, own) = (granted.target.clone(), &self.instance);
                let handle = match self.held.add_local(offer, shard, target, own, ticket) {
                    Ok(held) => SlotHandle::Held(held),
                    Err(ticket) => SlotHandle::Local(ticket),
                };
                (own.clone(), handle)
            }
            OpenOffer::Local(ticket) => (self.instance.clone(), SlotHandle::Local(ticket)),
            OpenOffer::Remote(name, ex) if self.cfg.handover => {
                let target = granted.target.clone();
                let handle = match self.held.add(offer, shard, target, name.clone(), ex) {
                    Ok(held) => SlotHandle::Held(held),
                    Err(ex) => SlotHandle::Remote(ex),
                };
                (name, handle)
            }
            OpenOffer::Remote(name, ex) => (name, SlotHandle::Remote(ex)),
        };
        Slot {
            target: granted.target,
            address: granted.address,
            first_ms: granted.first_ms,
            proven: granted.proven,
            scheduler,
            spill: None,
            shard: shard.clone(),
            limit: LimitReport::Unknown,
            rule: VersionRule::Any,
            in_use: None,
            handle,
        }
    }

    /// Reports the slots in use whose schedulers were lost or have changed.
    pub async fn hand_over(&self) {
        let scheduler = |shard: &PoolName| self.scheduler_of(shard);
        let lost = self
            .held
            .hand_over(
                &self.instance,
                &self.local_scheduler,
                &self.links,
                scheduler,
            )
            .await;
        lost.into_iter().for_each(|name| self.avoid(name));
    }

    /// Tells the successor of this node, for each shard that it schedules, what it has learned.
    pub async fn report_targets(&self) {
        let mut sent = JoinSet::new();
        for shard in self.shards.all() {
            let targets = self.local_scheduler.target_reports(&shard.name);
            let next = self.schedulers(&shard).into_iter();
            let next = next.take(2).find(|name| *name != self.instance);
            let Some(next) = next.filter(|_| !targets.is_empty()) else {
                continue;
            };
            let links = self.links.clone();
            sent.spawn(async move {
                let shard = shard.name;
                let message = Message::TargetReports { shard, targets };
                // The next report replaces one that is lost.
                if let Err(e) = links.ask(&next, &message, FIRST_REPLY_TIMEOUT).await {
                    debug!(peer:% = next, error:% = e; "cannot report targets to the successor");
                }
            });
        }
        while sent.join_next().await.is_some() {}
    }

    // The scheduler to which offers of a shard go now.
    fn scheduler_of(&self, shard: &PoolName) -> Option<InstanceName> {
        let named = self.shards.named(&IndexSet::from([shard.clone()]));
        self.schedulers(named.first()?).into_iter().next()
    }

    async fn offer_remote(
        &self,
        name: &InstanceName,
        offer: &Offer,
        created: Timestamp,
    ) -> rwd_peer::Result<Reply> {
        let pool = offer.pool.clone();
        let recipient = self.recipient(name);
        let limits = recipient.as_ref().map(|to| {
            let mut known = self.known_limits();
            known.untold(&pool, to, clock::now())
        });
        let limits = limits.unwrap_or_default();
        let message = Message::Place {
            offer: Box::new(aged(offer, created)),
            list_age_ms: self.replica.targets_age_ms(),
            limits: limits.clone(),
        };
        let reply = async {
            let mut ex = self.links.open(name, &message).await?;
            let mut reply = ex.recv().await?.ok_or(Error::Ended)?;
            if let Message::Rooms(rows) = &reply {
                self.rooms.iter().for_each(|r| r.learn(rows));
                reply = ex.recv().await?.ok_or(Error::Ended)?;
            }
            Ok::<_, Error>((ex, reply))
        };
        let (ex, reply) = match timeout(FIRST_REPLY_TIMEOUT, reply).await {
            Ok(result) => result?,
            Err(_) => return Err(Error::Timeout),
        };
        if let Some(to) = recipient {
            self.known_limits().mark_told(&limits, &to);
        }
        let open_offer = OpenOffer::Remote(name.clone(), Box::new(ex));
        match reply {
            Message::Queued => Ok(Reply::Queued(open_offer)),
            reply => match parse_decision(reply)? {
                Ok(granted) => {
                    let slot = self.granted_slot(open_offer, granted, offer, &pool);
                    Ok(Reply::Slot(Box::new(slot)))
                }
                Err(declined) => Ok(Reply::Declined(declined)),
            },
        }
    }
}

impl OpenOffer {
    /// Waits for the decision. Cancel safe.
    async fn decision(&mut self) -> rwd_peer::Result<Result<Placed, Declined>> {
        match self {
            Self::Local(ticket) => Ok(ticket.decision().await),
            Self::Remote(_, ex) => parse_decision(ex.recv().await?.ok_or(Error::Ended)?),
        }
    }
}

fn parse_decision(reply: Message) -> rwd_peer::Result<Result<Placed, Declined>> {
    match reply {
        Message::Placed(placed) => Ok(Ok(placed)),
        Message::Declined {
            no_target,
            retry_after_ms,
        } => Ok(Err(Declined {
            no_target,
            retry_after_ms,
        })),
        _ => Err(Error::Unexpected),
    }
}

fn aged(offer: &Offer, created: Timestamp) -> Offer {
    let age_ms = clock::now() - created;
    Offer {
        aim_left_ms: offer.aim_left_ms - age_ms,
        time_left_ms: offer.time_left_ms - age_ms,
        ..offer.clone()
    }
}

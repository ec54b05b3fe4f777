//! Offers requests to the shards that have room, and reports the room of this node's shards.

use futures_util::future::{BoxFuture, select_all};
use log::{debug, warn};
use rwd_placement::{Offer, Timestamp};
use rwd_types::ZoneName;
use rwd_wire::{Message, ShardReport};
use std::future::pending;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::{
    Declined, FIRST_REPLY_TIMEOUT, NO_TARGET_RETRY_MS, OpenOffer, Reply, Slot, Slots, aged,
};
use crate::clock;
use crate::room::{Choice, MAX_SHARDS, Reason, Stage, is_further, report_receivers};
use crate::room_sync::RoomSync;
use crate::shards::Shard;

/// Interval at which a request that is queued at one shard is checked for a second one.
const RECHECK: Duration = Duration::from_millis(50);
/// Time since its last offer for which a shard is reported, in milliseconds.
const REPORTED_MS: f64 = 5000.0;

/// A request that was served in another zone.
#[derive(Clone, Debug)]
pub(crate) struct Spill {
    /// The zone.
    pub zone: ZoneName,
    /// Why.
    pub reason: Reason,
    /// Age of the room that led there, if one did, in milliseconds.
    pub room_age_ms: Option<f64>,
}

/// The offers of one request that wait for a slot.
struct Wait<'a> {
    open: Vec<(OpenOffer, Choice)>,
    asking: Option<BoxFuture<'a, (Choice, Reply)>>,
    tried: Vec<Shard>,
    declined: Option<Declined>,
    lost: bool,
}

impl Slots {
    /// As [`Slots::acquire`], at the shards that [`crate::room`] chooses.
    ///
    /// The reply of a further shard is awaited beside the decision of the first one, so that a
    /// zone that cannot be reached delays nothing.
    pub(super) async fn acquire_by_room(
        &self,
        sync: &RoomSync,
        offer: Offer,
    ) -> Result<Slot, Declined> {
        let created = clock::now();
        let shards = self.shards_of(&offer);
        let mut wait = Wait {
            open: Vec::new(),
            asking: None,
            tried: Vec::new(),
            declined: None,
            lost: false,
        };
        loop {
            if wait.asking.is_none() && wait.tried.len() < MAX_SHARDS {
                let now = aged(&offer, created);
                let stage = wait.stage(clock::now() - created);
                if let Some(choice) = sync.choose(&now, &shards, &wait.tried, stage) {
                    wait.tried.push(choice.shard.clone());
                    wait.asking = Some(Box::pin(self.ask(sync, choice, &offer, created)));
                }
            }
            if wait.asking.is_none() && wait.open.is_empty() {
                return Err(wait.declined.unwrap_or(Declined {
                    no_target: true,
                    retry_after_ms: NO_TARGET_RETRY_MS,
                }));
            }
            let may_recheck = wait.asking.is_none() && wait.tried.len() < MAX_SHARDS;
            tokio::select! {
                biased;
                (index, result) = next_decision(&mut wait.open) => {
                    let (open_offer, choice) = wait.open.swap_remove(index);
                    match result {
                        Ok(Ok(granted)) => {
                            let slot = self.granted_slot(open_offer, granted, &offer, &choice.shard.name);
                            return Ok(self.taken(sync, slot, &choice, &offer));
                        }
                        Ok(Err(d)) => wait.declined = Some(d),
                        Err(e) => {
                            self.record_loss(&open_offer, &offer, &e);
                            wait.declined = wait.declined.or(Some(Declined {
                                no_target: false,
                                retry_after_ms: NO_TARGET_RETRY_MS,
                            }));
                            // A second loss, or one while another shard is asked, ends this offer.
                            if !std::mem::replace(&mut wait.lost, true) && wait.asking.is_none() {
                                wait.asking = Some(Box::pin(self.ask(sync, choice, &offer, created)));
                            }
                        }
                    }
                }
                (choice, reply) = next_reply(&mut wait.asking) => {
                    wait.asking = None;
                    match reply {
                        Reply::Slot(slot) => return Ok(self.taken(sync, *slot, &choice, &offer)),
                        Reply::Declined(d) => wait.declined = Some(d),
                        Reply::Queued(o) => wait.open.push((o, choice)),
                    }
                }
                () = sleep(RECHECK), if may_recheck => (),
            }
        }
    }

    async fn ask(
        &self,
        sync: &RoomSync,
        choice: Choice,
        offer: &Offer,
        created: Timestamp,
    ) -> (Choice, Reply) {
        let offer = Offer {
            pool: choice.shard.name.clone(),
            ..offer.clone()
        };
        let reply = self.offer_to(&choice.shard, &offer, created).await;
        if let Reply::Queued(OpenOffer::Local(_)) = &reply
            && let Some(room) = self.local_scheduler.room(&offer.pool)
        {
            sync.learn_own(&offer.pool, room);
        }
        (choice, reply)
    }

    fn taken(&self, sync: &RoomSync, slot: Slot, choice: &Choice, offer: &Offer) -> Slot {
        let zone = choice.shard.zone.clone();
        let spill = zone.filter(|_| is_further(&choice.shard, &offer.zone));
        if spill.is_some() {
            sync.record_spill(&offer.pool, choice);
        }
        Slot {
            spill: spill.map(|zone| Spill {
                zone,
                reason: choice.reason,
                room_age_ms: choice.room.map(|r| r.age_ms),
            }),
            ..slot
        }
    }

    /// Reports the rooms of the shards that this node schedules to the schedulers of the others.
    pub async fn report_rooms(&self) {
        let Some(sync) = &self.rooms else { return };
        let mut sent = JoinSet::new();
        let mut reported = Vec::new();
        for report in self.local_scheduler.reports(REPORTED_MS) {
            let shards = self.shards.siblings(&report.shard);
            let Some(own) = shards.iter().find(|s| s.name == report.shard) else {
                continue;
            };
            // Other nodes that get offers for the shard know only a part of its load.
            if shards.len() < 2 || self.schedulers(own).first() != Some(&self.instance) {
                continue;
            }
            sync.learn_own(&report.shard, report.room);
            reported.push(report.shard.clone());
            if sync.is_report_due(&report.shard, report.room) {
                self.send_report(&report, &shards, &mut sent);
            }
        }
        sync.end_period(&reported);
        while let Some(done) = sent.join_next().await {
            if let Err(e) = done {
                warn!(error:% = e; "reporting the room of a shard failed");
            }
        }
    }

    fn send_report(&self, report: &ShardReport, shards: &[Shard], sent: &mut JoinSet<()>) {
        let receivers = report_receivers(&report.shard, shards);
        let mut peers: Vec<_> = receivers
            .into_iter()
            .filter_map(|s| self.schedulers(s).into_iter().next())
            .filter(|name| *name != self.instance)
            .collect();
        peers.sort_unstable();
        peers.dedup();
        for peer in peers {
            let message = Message::ShardReport(Box::new(report.clone()));
            let links = self.links.clone();
            sent.spawn(async move {
                // A room that is not reported is unknown; the next period reports again.
                if let Err(e) = links.ask(&peer, &message, FIRST_REPLY_TIMEOUT).await {
                    debug!(peer:%, error:% = e; "cannot report the room of a shard");
                }
            });
        }
    }

    /// Applies the report of another shard.
    pub fn learn_report(&self, report: &ShardReport) {
        match &self.rooms {
            Some(sync) if sync.learn_report(report) => {
                let siblings = self.shards.siblings(&report.shard).into_iter();
                let others = siblings.map(|s| s.name).filter(|n| *n != report.shard);
                let others: Vec<_> = others.collect();
                self.local_scheduler.learn_report(&others, report);
            }
            _ => (),
        }
    }
}

impl Wait<'_> {
    fn stage(&self, waited_ms: f64) -> Stage {
        match () {
            _ if !self.open.is_empty() => Stage::Queued { waited_ms },
            _ if self.tried.is_empty() => Stage::New,
            _ => Stage::Declined,
        }
    }
}

// Pending while nothing is queued. Cancel safe.
async fn next_decision(
    open: &mut [(OpenOffer, Choice)],
) -> (usize, rwd_peer::Result<Result<rwd_wire::Placed, Declined>>) {
    if open.is_empty() {
        return pending().await;
    }
    let waits = open.iter_mut().map(|(o, _)| Box::pin(o.decision()));
    let (result, index, _) = select_all(waits).await;
    (index, result)
}

// Pending while no shard is asked. Cancel safe.
async fn next_reply(asking: &mut Option<BoxFuture<'_, (Choice, Reply)>>) -> (Choice, Reply) {
    match asking {
        Some(asked) => asked.await,
        None => pending().await,
    }
}

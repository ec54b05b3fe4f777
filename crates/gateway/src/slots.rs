//! How a request gets a slot: from the node that schedules its pool, or from this one.

use futures_util::future::select_all;
use indexmap::IndexMap;
use log::{debug, info};
use rwd_peer::{Directory, Error, Exchange, Links, rank_by_cpu};
use rwd_placement::{Offer, SlotOutcome, Timestamp};
use rwd_types::{InstanceName, TargetName};
use rwd_wire::{MemberUpdate, Message, Placed};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64;

use crate::local_scheduler::{LocalScheduler, Ticket};
use crate::shards::{Shard, Shards};
use crate::{StoreReplica, clock};

/// How long a scheduler may take to say that it has an offer. A busy one takes longer than the
/// round trip, and leaving it makes its successor count from zero.
const FIRST_ANSWER_LIMIT: Duration = Duration::from_millis(350);
/// How long a scheduler that did not answer is passed over, in milliseconds: until membership
/// has found out whether it is gone.
const AVOID_MS: f64 = 2000.0;
/// Remote schedulers tried before the node places the request itself.
const MAX_REMOTE: usize = 4;

/// Shards at which one request waits.
const MAX_SHARDS: usize = 2;
/// When a caller may come back that found no target at all, in milliseconds.
const NO_TARGET_RETRY_MS: f64 = 500.0;

/// No slot; the request has not run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Declined {
    /// Whether the pool has no target at all.
    pub no_target: bool,
    /// When the caller may come back, in milliseconds.
    pub retry_after_ms: f64,
}

enum Holder {
    Local(Ticket),
    Remote(Box<Exchange>),
}

/// A slot of a target; dropping it gives it back.
pub(crate) struct Slot {
    pub target: TargetName,
    pub address: SocketAddr,
    /// Expected milliseconds to the first byte.
    pub first_ms: f64,
    /// Whether the target has answered anything lately.
    pub proven: bool,
    /// The node that granted it, for logs.
    pub scheduler: InstanceName,
    holder: Holder,
}

impl Slot {
    /// Tells the scheduler that the target has begun to answer.
    pub async fn record_first_byte(&mut self, first_ms: f64) {
        match &mut self.holder {
            Holder::Local(ticket) => ticket.record_first_byte(first_ms),
            Holder::Remote(ex) => {
                // A lost scheduler shows when the slot is given back.
                let _ = ex.send(&Message::Begun { first_ms }).await;
            }
        }
    }

    /// Gives the slot back and says how it went.
    pub fn release(self, outcome: SlotOutcome) {
        match self.holder {
            Holder::Local(ticket) => ticket.release(outcome),
            Holder::Remote(ex) => {
                tokio::spawn(async move {
                    // Without the report the scheduler frees the slot when the exchange ends.
                    if let Err(e) = ex.finish(&Message::Release(outcome)).await {
                        debug!(error:% = e; "the scheduler was not told how a request ended");
                    }
                });
            }
        }
    }
}

/// Finds slots for the requests of this node.
pub(crate) struct Slots {
    own: InstanceName,
    owner: Arc<LocalScheduler>,
    directory: Arc<Directory>,
    links: Arc<Links>,
    shards: Arc<Shards>,
    replica: Arc<StoreReplica>,
    avoided: Mutex<IndexMap<InstanceName, Timestamp>>,
}

/// An offer that a scheduler holds.
enum Held {
    Local(Ticket),
    Remote(InstanceName, Box<Exchange>),
}

/// A scheduler's first answer.
enum First {
    Slot(Slot),
    Declined(Declined),
    Held(Held),
}

impl Slots {
    pub fn new(
        own: InstanceName,
        owner: Arc<LocalScheduler>,
        directory: Arc<Directory>,
        links: Arc<Links>,
        shards: Arc<Shards>,
        replica: Arc<StoreReplica>,
    ) -> Self {
        Self {
            own,
            owner,
            directory,
            links,
            shards,
            replica,
            avoided: Mutex::default(),
        }
    }

    /// Gets a slot for a request, or the reason why there is none.
    ///
    /// A request that has to wait at one shard waits at a second one too and takes the first slot
    /// of either, as in late binding (Ousterhout et al., "Sparrow", SOSP 2013).
    pub async fn acquire(&self, mut offer: Offer) -> Result<Slot, Declined> {
        let made = clock::now();
        let shards = self.shards.of(&offer.pool, &offer.zone);
        let mut held = Vec::new();
        let mut declined = None;
        for shard in shards.into_iter().take(MAX_SHARDS) {
            offer.pool = shard.name.clone();
            match self.first(&shard, &offer, made).await {
                First::Slot(slot) => return Ok(slot),
                First::Declined(d) => declined = Some(d),
                First::Held(h) => held.push((h, shard)),
            }
        }
        while !held.is_empty() {
            let waits = held.iter_mut().map(|(h, _)| Box::pin(h.decision()));
            let (result, index, _) = select_all(waits).await;
            let (held, shard) = held.swap_remove(index);
            match result {
                Ok(Ok(granted)) => return Ok(held.into_slot(granted, &self.own)),
                Ok(Err(d)) => declined = Some(d),
                Err(e) => {
                    self.lost(&held, &offer, &e);
                    offer.pool = shard.name.clone();
                    match self.first(&shard, &offer, made).await {
                        First::Slot(slot) => return Ok(slot),
                        First::Declined(d) => declined = Some(d),
                        First::Held(h) => return self.wait_alone(h, &offer).await,
                    }
                }
            }
        }
        Err(declined.unwrap_or(Declined {
            no_target: true,
            retry_after_ms: NO_TARGET_RETRY_MS,
        }))
    }

    // After a scheduler was lost once; a second loss ends the wait.
    async fn wait_alone(&self, mut held: Held, offer: &Offer) -> Result<Slot, Declined> {
        match held.decision().await {
            Ok(Ok(granted)) => Ok(held.into_slot(granted, &self.own)),
            Ok(Err(declined)) => Err(declined),
            Err(e) => {
                self.lost(&held, offer, &e);
                Err(Declined {
                    no_target: false,
                    retry_after_ms: NO_TARGET_RETRY_MS,
                })
            }
        }
    }

    // Makes an offer to the scheduler of a shard, to its successors, and at last to the own one.
    async fn first(&self, shard: &Shard, offer: &Offer, made: Timestamp) -> First {
        for name in self.schedulers(shard).into_iter().take(MAX_REMOTE) {
            if name == self.own {
                break;
            }
            match self.ask(&name, aged(offer, made)).await {
                Ok(first) => return first,
                Err(e) => {
                    info!(event = "scheduler_lost", request:% = offer.request, scheduler:% = name, error:% = e; "asking another scheduler");
                    self.avoid(name);
                }
            }
        }
        let mut ticket = self.owner.offer(aged(offer, made));
        match ticket.decided() {
            Some(Ok(granted)) => First::Slot(Held::Local(ticket).into_slot(granted, &self.own)),
            Some(Err(declined)) => First::Declined(declined),
            None => First::Held(Held::Local(ticket)),
        }
    }

    fn lost(&self, held: &Held, offer: &Offer, e: &Error) {
        if let Held::Remote(name, _) = held {
            info!(event = "scheduler_lost", request:% = offer.request, scheduler:% = name, error:% = e; "the offer is made again");
            self.avoid(name.clone());
        }
    }

    // Every node ranks the schedulers of a shard alike, so that one of them counts all its work.
    fn schedulers(&self, shard: &Shard) -> Vec<InstanceName> {
        let now = clock::now();
        let mut avoided = self.avoided.lock().unwrap_or_else(|e| e.into_inner());
        avoided.retain(|_, until| *until > now);
        let view = self.directory.view();
        let near = |m: &&MemberUpdate| shard.zone.as_ref().is_none_or(|z| *z == m.zone);
        let usable = || view.active().filter(|m| !avoided.contains_key(&m.name));
        let key = xxh3_64(shard.name.as_str().as_bytes());
        let mut ranked = rank_by_cpu(key, usable().filter(near));
        if ranked.is_empty() {
            ranked = rank_by_cpu(key, usable());
        }
        ranked.into_iter().map(|m| m.name.clone()).collect()
    }

    fn avoid(&self, name: InstanceName) {
        let mut avoided = self.avoided.lock().unwrap_or_else(|e| e.into_inner());
        avoided.insert(name, clock::now() + AVOID_MS);
    }

    async fn ask(&self, name: &InstanceName, offer: Offer) -> rwd_peer::Result<First> {
        let message = Message::Place {
            offer: Box::new(offer),
            list_age_ms: self.replica.targets_age_ms(),
        };
        let first = async {
            let mut ex = self.links.open(name, &message).await?;
            let first = ex.recv().await?.ok_or(Error::Ended)?;
            Ok::<_, Error>((ex, first))
        };
        let (ex, answer) = match timeout(FIRST_ANSWER_LIMIT, first).await {
            Ok(result) => result?,
            Err(_) => return Err(Error::Timeout),
        };
        let held = Held::Remote(name.clone(), Box::new(ex));
        match answer {
            Message::Queued => Ok(First::Held(held)),
            answer => match answered(answer)? {
                Ok(granted) => Ok(First::Slot(held.into_slot(granted, &self.own))),
                Err(declined) => Ok(First::Declined(declined)),
            },
        }
    }
}

impl Held {
    /// Waits for the decision; dropping the future loses nothing.
    async fn decision(&mut self) -> rwd_peer::Result<Result<Placed, Declined>> {
        match self {
            Self::Local(ticket) => Ok(ticket.decision().await),
            Self::Remote(_, ex) => answered(ex.recv().await?.ok_or(Error::Ended)?),
        }
    }

    fn into_slot(self, granted: Placed, own: &InstanceName) -> Slot {
        let (scheduler, holder) = match self {
            Self::Local(ticket) => (own.clone(), Holder::Local(ticket)),
            Self::Remote(name, ex) => (name, Holder::Remote(ex)),
        };
        Slot {
            target: granted.target,
            address: granted.address,
            first_ms: granted.first_ms,
            proven: granted.proven,
            scheduler,
            holder,
        }
    }
}

fn answered(answer: Message) -> rwd_peer::Result<Result<Placed, Declined>> {
    match answer {
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

fn aged(offer: &Offer, made: Timestamp) -> Offer {
    let age_ms = clock::now() - made;
    Offer {
        aim_left_ms: offer.aim_left_ms - age_ms,
        time_left_ms: offer.time_left_ms - age_ms,
        ..offer.clone()
    }
}

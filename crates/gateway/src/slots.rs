//! How a request gets a slot: from the node that schedules its pool, or from this one.

use indexmap::IndexMap;
use log::info;
use rwd_peer::{Directory, Error, Exchange, Links, rank};
use rwd_placement::{Decision, Moment, Offer, Outcome, Refusal};
use rwd_types::{InstanceName, TargetName};
use rwd_wire::Message;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock;
use crate::owner::{Owner, Ticket};

/// How long a scheduler may take to say that it has an offer: some round trips between zones.
const FIRST_ANSWER_LIMIT: Duration = Duration::from_millis(150);
/// How long a scheduler that did not answer is passed over, in milliseconds: until membership
/// has found out whether it is gone.
const AVOID_MS: f64 = 2000.0;
/// Remote schedulers tried before the node places the request itself.
const MAX_REMOTE: usize = 2;

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
    /// The node that granted it, for logs.
    pub scheduler: InstanceName,
    holder: Holder,
}

impl Slot {
    /// Gives the slot back and says how it went.
    pub fn release(self, outcome: Outcome) {
        match self.holder {
            Holder::Local(ticket) => ticket.release(outcome),
            Holder::Remote(mut ex) => {
                tokio::spawn(async move {
                    // Without the report the scheduler frees the slot when the exchange ends.
                    let _ = ex.send_last(&Message::Release(outcome)).await;
                });
            }
        }
    }
}

/// Finds slots for the requests of this node.
pub(crate) struct Slots {
    own: InstanceName,
    owner: Arc<Owner>,
    directory: Arc<Directory>,
    links: Arc<Links>,
    avoided: Mutex<IndexMap<InstanceName, Moment>>,
}

impl Slots {
    pub fn new(
        own: InstanceName,
        owner: Arc<Owner>,
        directory: Arc<Directory>,
        links: Arc<Links>,
    ) -> Self {
        Self {
            own,
            owner,
            directory,
            links,
            avoided: Mutex::default(),
        }
    }

    /// Gets a slot for a request, or the reason why there is none.
    pub async fn acquire(&self, offer: Offer) -> Result<Slot, Declined> {
        let made = clock::now();
        let mut remote = 0;
        for name in self.schedulers(&offer) {
            if name == self.own || remote == MAX_REMOTE {
                break;
            }
            remote += 1;
            match self.ask(&name, aged(&offer, made)).await {
                Ok(answer) => return answer,
                Err(e) => {
                    info!(event = "scheduler_lost", request:% = offer.request, scheduler:% = name, error:% = e; "asking another scheduler");
                    self.avoid(name);
                }
            }
        }
        self.place_here(aged(&offer, made)).await
    }

    // Every node ranks the schedulers of a pool alike, so that one of them counts all its work.
    fn schedulers(&self, offer: &Offer) -> Vec<InstanceName> {
        let now = clock::now();
        let mut avoided = self.avoided.lock().unwrap_or_else(|e| e.into_inner());
        avoided.retain(|_, until| *until > now);
        let view = self.directory.view();
        let usable = view.staying().filter(|m| !avoided.contains_key(&m.name));
        let ranked = rank(xxh3_64(offer.pool.as_str().as_bytes()), usable);
        ranked.into_iter().map(|m| m.name.clone()).collect()
    }

    fn avoid(&self, name: InstanceName) {
        let mut avoided = self.avoided.lock().unwrap_or_else(|e| e.into_inner());
        avoided.insert(name, clock::now() + AVOID_MS);
    }

    async fn ask(
        &self,
        name: &InstanceName,
        offer: Offer,
    ) -> rwd_peer::Result<Result<Slot, Declined>> {
        let message = Message::Place(Box::new(offer));
        let first = async {
            let mut ex = self.links.open(name, &message).await?;
            let first = ex.recv().await?.ok_or(Error::Ended)?;
            Ok::<_, Error>((ex, first))
        };
        let (mut ex, mut answer) = match timeout(FIRST_ANSWER_LIMIT, first).await {
            Ok(result) => result?,
            Err(_) => return Err(Error::Timeout),
        };
        if answer == Message::Queued {
            answer = ex.recv().await?.ok_or(Error::Ended)?;
        }
        match answer {
            Message::Placed(p) => Ok(Ok(Slot {
                target: p.target,
                address: p.address,
                first_ms: p.first_ms,
                scheduler: name.clone(),
                holder: Holder::Remote(Box::new(ex)),
            })),
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

    async fn place_here(&self, offer: Offer) -> Result<Slot, Declined> {
        let mut ticket = self.owner.offer(offer);
        match ticket.decision().await {
            Decision::Grant {
                target,
                address,
                first_ms,
                ..
            } => Ok(Slot {
                target,
                address,
                first_ms,
                scheduler: self.own.clone(),
                holder: Holder::Local(ticket),
            }),
            Decision::Refuse {
                why,
                retry_after_ms,
                ..
            } => Err(Declined {
                no_target: why == Refusal::NoTarget,
                retry_after_ms,
            }),
        }
    }
}

fn aged(offer: &Offer, made: Moment) -> Offer {
    let age_ms = clock::now() - made;
    Offer {
        aim_left_ms: offer.aim_left_ms - age_ms,
        time_left_ms: offer.time_left_ms - age_ms,
        ..offer.clone()
    }
}

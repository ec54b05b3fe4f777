//! Connection of one request to the scheduler that owns its target.

use log::debug;
use rwd_peer::{Error, Exchange, Result};
use rwd_types::{InstanceName, Problem};
use rwd_wire::{Adopted, Grant, GrantReport, Message, Offer};

use crate::home::EntryDeps;
use rwd_sched::{Decision, Ticket};

/// An offer to a scheduler on this or another node.
pub(crate) enum OwnerLink {
    Local(Box<Ticket>),
    Remote(Box<Exchange>),
    /// Baseline policies have no owner, and a request continues after its link is lost.
    None,
}

/// An event from the scheduler about a granted request.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum LinkEvent {
    /// The scheduler reclaims the slot for higher-priority work.
    Cancel,
    /// The link broke or the owner no longer owns the shard.
    Lost,
}

/// A scheduler's decision on an offer.
pub(crate) enum OfferOutcome {
    Granted(Grant, OwnerLink),
    Refused(Problem),
    NotOwner,
}

impl OwnerLink {
    /// Offers a request to the scheduler of `owner` and waits for its decision.
    pub async fn offer(
        deps: &EntryDeps,
        owner: &InstanceName,
        offer: Offer,
    ) -> Result<OfferOutcome> {
        if *owner == deps.instance {
            let mut ticket = deps.scheduler.offer(offer);
            return Ok(match ticket.decision().await {
                Decision::Granted(grant) => {
                    OfferOutcome::Granted(grant, Self::Local(Box::new(ticket)))
                }
                Decision::Refused(problem) => OfferOutcome::Refused(problem),
                Decision::NotOwner => OfferOutcome::NotOwner,
            });
        }
        let mut ex = deps
            .links
            .open(owner, &Message::Offer(Box::new(offer)))
            .await?;
        match ex.recv().await?.ok_or(Error::Ended)? {
            Message::Grant(grant) => Ok(OfferOutcome::Granted(grant, Self::Remote(Box::new(ex)))),
            Message::Refused(problem) => Ok(OfferOutcome::Refused(problem)),
            Message::NotOwner => Ok(OfferOutcome::NotOwner),
            _ => Err(Error::Unexpected),
        }
    }

    /// Reports a request in progress to a new owner.
    pub async fn adopt(deps: &EntryDeps, owner: &InstanceName, adopted: Adopted) -> Result<Self> {
        if *owner == deps.instance {
            let ticket = deps.scheduler.adopt(adopted);
            return Ok(ticket.map_or(Self::None, |t| Self::Local(Box::new(t))));
        }
        let message = Message::Adopt(Box::new(adopted));
        let ex = deps.links.open(owner, &message).await?;
        Ok(Self::Remote(Box::new(ex)))
    }

    /// Waits for the next event from the scheduler. Cancel safe.
    pub async fn event(&mut self) -> LinkEvent {
        match self {
            Self::Local(ticket) => {
                ticket.cancelled().await;
                LinkEvent::Cancel
            }
            Self::Remote(ex) => match ex.recv().await {
                Ok(Some(Message::Cancel)) => LinkEvent::Cancel,
                _ => LinkEvent::Lost,
            },
            Self::None => std::future::pending().await,
        }
    }

    /// Reports that the request makes too little progress.
    pub async fn report_slow(&mut self) {
        match self {
            Self::Local(ticket) => ticket.report_slow(),
            Self::Remote(ex) => {
                // A broken link is reported by the next call of `event`.
                let _ = ex.send(&Message::Slow).await;
            }
            Self::None => (),
        }
    }

    /// Reports how the request ended, which releases the slot.
    pub async fn finish(self, finish: GrantReport) {
        match self {
            Self::Local(ticket) => ticket.finish(finish),
            Self::Remote(ex) => {
                tokio::spawn(async move {
                    // If the report is lost, the owner releases the slot when the exchange ends.
                    if let Err(e) = ex.finish(&Message::Finished(finish)).await {
                        debug!(error:% = e; "cannot report the end of a request to the owner");
                    }
                });
            }
            Self::None => (),
        }
    }
}

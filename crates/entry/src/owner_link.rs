//! The link of one request to the scheduler that owns its target.

use log::debug;
use rwd_peer::{Error, Exchange, Result};
use rwd_types::{InstanceName, Problem};
use rwd_wire::{Adopted, Grant, GrantReport, Message, Offer};

use crate::home::EntryDeps;
use rwd_sched::{Decision, Ticket};

/// An offer that was made to a scheduler, here or on another node.
pub(crate) enum OwnerLink {
    Local(Box<Ticket>),
    Remote(Box<Exchange>),
    /// Baselines have no owner, and a link may be lost; the request goes on without.
    None,
}

/// What a scheduler says of a granted request.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum LinkEvent {
    /// It wants the slot back for more valuable work.
    Cancel,
    /// The link broke or the owner gave the shard up.
    Lost,
}

/// A decision on an offer.
pub(crate) enum Decided {
    Granted(Grant, OwnerLink),
    Refused(Problem),
    NotOwner,
}

impl OwnerLink {
    /// Offers a request to the scheduler of `owner` and waits for its decision.
    pub async fn offer(parts: &EntryDeps, owner: &InstanceName, offer: Offer) -> Result<Decided> {
        if *owner == parts.instance {
            let mut ticket = parts.scheduler.offer(offer);
            return Ok(match ticket.decision().await {
                Decision::Granted(grant) => Decided::Granted(grant, Self::Local(Box::new(ticket))),
                Decision::Refused(problem) => Decided::Refused(problem),
                Decision::NotOwner => Decided::NotOwner,
            });
        }
        let mut ex = parts
            .links
            .open(owner, &Message::Offer(Box::new(offer)))
            .await?;
        match ex.recv().await?.ok_or(Error::Ended)? {
            Message::Grant(grant) => Ok(Decided::Granted(grant, Self::Remote(Box::new(ex)))),
            Message::Refused(problem) => Ok(Decided::Refused(problem)),
            Message::NotOwner => Ok(Decided::NotOwner),
            _ => Err(Error::Unexpected),
        }
    }

    /// Reports a request in progress to a new owner.
    pub async fn adopt(parts: &EntryDeps, owner: &InstanceName, adopted: Adopted) -> Result<Self> {
        if *owner == parts.instance {
            let ticket = parts.scheduler.adopt(adopted);
            return Ok(ticket.map_or(Self::None, |t| Self::Local(Box::new(t))));
        }
        let message = Message::Adopt(Box::new(adopted));
        let ex = parts.links.open(owner, &message).await?;
        Ok(Self::Remote(Box::new(ex)))
    }

    /// Waits until the scheduler has something to say; dropping the future loses nothing.
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
    pub async fn slow(&mut self) {
        match self {
            Self::Local(ticket) => ticket.report_slow(),
            Self::Remote(ex) => {
                // A broken link shows in the next event.
                let _ = ex.send(&Message::Slow).await;
            }
            Self::None => (),
        }
    }

    /// Gives the slot back.
    pub async fn finish(self, finish: GrantReport) {
        match self {
            Self::Local(ticket) => ticket.finish(finish),
            Self::Remote(ex) => {
                tokio::spawn(async move {
                    // Without the report the owner frees the slot when the exchange ends.
                    if let Err(e) = ex.finish(&Message::Finished(finish)).await {
                        debug!(error:% = e; "the owner was not told how a request ended");
                    }
                });
            }
            Self::None => (),
        }
    }
}

//! Answers offers that come from other nodes.

use rwd_peer::{Exchange, Result};
use rwd_wire::{Adopted, Message, Offer};
use std::sync::Arc;

use crate::{Decision, Scheduler, Ticket};

impl Scheduler {
    /// Queues a peer's offer and serves its slot until the peer ends the exchange.
    ///
    /// # Errors
    ///
    /// Fails when the exchange breaks; the offer and its slot are then given up.
    pub async fn serve_offer(self: &Arc<Self>, offer: Offer, mut ex: Exchange) -> Result<()> {
        let mut ticket = self.offer(offer);
        let decision = tokio::select! {
            decision = ticket.decision() => decision,
            // The home has nothing to say before the decision: it withdraws.
            _ = ex.recv() => return Ok(()),
        };
        match decision {
            Decision::Granted(grant) => ex.send(&Message::Grant(grant)).await?,
            Decision::Refused(problem) => return ex.send_last(&Message::Refused(problem)).await,
            Decision::NotOwner => return ex.send_last(&Message::NotOwner).await,
        }
        hold(ticket, ex).await
    }

    /// Counts a peer's request in progress until the peer ends the exchange.
    ///
    /// # Errors
    ///
    /// As [`Scheduler::serve_offer`].
    pub async fn serve_adopted(self: &Arc<Self>, adopted: Adopted, mut ex: Exchange) -> Result<()> {
        match self.adopt(adopted) {
            Some(ticket) => hold(ticket, ex).await,
            None => ex.send_last(&Message::NotOwner).await,
        }
    }
}

async fn hold(ticket: Ticket, mut ex: Exchange) -> Result<()> {
    loop {
        let message = tokio::select! {
            message = ex.recv() => message?,
            () = ticket.cancelled() => {
                ex.send(&Message::Cancel).await?;
                continue;
            }
        };
        match message {
            Some(Message::Slow) => ticket.report_slow(),
            Some(Message::Finished(finish)) => {
                ticket.finish(finish);
                return Ok(());
            }
            _ => return Ok(()),
        }
    }
}

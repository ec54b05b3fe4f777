//! The handle of an offer and its slot.

use rwd_types::Problem;
use rwd_wire::{Grant, GrantReport};
use std::sync::Arc;
use tokio::sync::{Notify, oneshot};

use crate::{OfferId, Scheduler};

/// The scheduler's decision on an offer.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// A slot was granted.
    Granted(Grant),
    /// The offer was refused for good.
    Refused(Problem),
    /// This node is not, or no longer, the owner of the shard.
    NotOwner,
}

/// An offer and, once granted, its slot. Dropping the ticket withdraws or releases them.
pub struct Ticket {
    pub(crate) id: OfferId,
    pub(crate) scheduler: Arc<Scheduler>,
    pub(crate) decision: oneshot::Receiver<Decision>,
    pub(crate) cancel: Arc<Notify>,
    pub(crate) finish: Option<GrantReport>,
}

impl Ticket {
    /// Waits for the decision.
    pub async fn decision(&mut self) -> Decision {
        (&mut self.decision).await.unwrap_or(Decision::NotOwner)
    }

    /// Waits until the scheduler preempts the request for a higher tier.
    pub async fn cancelled(&self) {
        self.cancel.notified().await;
    }

    /// Reports that the granted request progresses too slowly.
    pub fn report_slow(&self) {
        self.scheduler.slow(self.id);
    }

    /// Ends the grant with the home node's report.
    pub fn finish(mut self, finish: GrantReport) {
        self.finish = Some(finish);
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.scheduler.release(self.id, self.finish.take());
    }
}

//! What the holder of an offer waits on.

use rwd_types::Problem;
use rwd_wire::{Grant, GrantReport};
use std::sync::Arc;
use tokio::sync::{Notify, oneshot};

use crate::{Scheduler, WaitingId};

/// The scheduler's answer to an offer.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// A slot.
    Granted(Grant),
    /// No slot, for good.
    Refused(Problem),
    /// This node does not own the shard, or does not any more.
    NotOwner,
}

/// An offer and, once it is granted, the slot; dropping it gives both up.
pub struct Ticket {
    pub(crate) id: WaitingId,
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

    /// Waits until the scheduler wants the slot back for more valuable work.
    pub async fn cancelled(&self) {
        self.cancel.notified().await;
    }

    /// Reports that the granted request makes too little progress.
    pub fn report_slow(&self) {
        self.scheduler.slow(self.id);
    }

    /// Ends the grant with what the home saw.
    pub fn finish(mut self, finish: GrantReport) {
        self.finish = Some(finish);
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.scheduler.release(self.id, self.finish.take());
    }
}

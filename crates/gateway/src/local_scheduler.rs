//! The scheduler of this node, for its own requests and for those of its peers.

use indexmap::IndexMap;
use log::info;
use rwd_peer::Exchange;
use rwd_placement::{
    Decision, Offer, OfferId, PlacementSettings, Refusal, Scheduler, SlotOutcome, TargetInfo,
};
use rwd_types::PoolName;
use rwd_wire::{Message, Placed};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::{Notify, oneshot};

use crate::clock;
use crate::slots::Declined;

/// Time between two looks at waiting offers when nothing else happens.
const POLL_PERIOD: Duration = Duration::from_millis(20);

#[derive(Default)]
struct Inner {
    scheduler: Scheduler,
    decisions: IndexMap<OfferId, oneshot::Sender<Decision>>,
}

/// Places requests on targets.
#[derive(Default)]
pub(crate) struct LocalScheduler {
    inner: Mutex<Inner>,
    waiting: Notify,
}

/// An offer that has been made; dropping it takes it back.
pub(crate) struct Ticket {
    owner: Arc<LocalScheduler>,
    id: OfferId,
    decision: oneshot::Receiver<Decision>,
    outcome: SlotOutcome,
}

type Answer = Result<Placed, Declined>;

impl Ticket {
    /// Waits for the decision; dropping the future loses nothing.
    pub async fn decision(&mut self) -> Answer {
        match (&mut self.decision).await {
            Ok(decision) => answer(decision),
            // The scheduler lives as long as its tickets and drops no sender undecided.
            Err(_) => Err(Declined {
                no_target: true,
                retry_after_ms: 0.0,
            }),
        }
    }

    /// The decision, if there is one already.
    pub fn decided(&mut self) -> Option<Answer> {
        self.decision.try_recv().ok().map(answer)
    }

    /// Notes that the target has begun to answer.
    pub fn record_first_byte(&self, first_ms: f64) {
        let mut inner = self.owner.lock();
        inner
            .scheduler
            .record_first_byte(self.id, first_ms, clock::now());
    }

    /// Frees the slot and says how it went.
    pub fn release(mut self, outcome: SlotOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.owner.finish(self.id, self.outcome);
    }
}

impl LocalScheduler {
    pub fn new(cfg: PlacementSettings) -> Self {
        let inner = Inner {
            scheduler: Scheduler::new(cfg),
            ..Inner::default()
        };
        Self {
            inner: Mutex::new(inner),
            waiting: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Replaces the targets of a pool.
    pub fn set_targets(&self, pool: &PoolName, infos: Vec<TargetInfo>) {
        let mut inner = self.lock();
        inner.scheduler.set_targets(pool, infos);
        inner.pump();
    }

    /// Sets which part of the nodes this one can see.
    pub fn set_visible_share(&self, share: f64) {
        self.lock().scheduler.set_visible_share(share);
    }

    /// Makes an offer.
    pub fn offer(self: &Arc<Self>, offer: Offer) -> Ticket {
        let (tx, decision) = oneshot::channel();
        let mut inner = self.lock();
        let id = inner.scheduler.offer(offer, clock::now());
        inner.decisions.insert(id, tx);
        inner.pump();
        if inner.scheduler.has_waiting() {
            self.waiting.notify_one();
        }
        Ticket {
            owner: self.clone(),
            id,
            decision,
            outcome: SlotOutcome::Unused,
        }
    }

    fn finish(&self, id: OfferId, outcome: SlotOutcome) {
        let mut inner = self.lock();
        inner.decisions.swap_remove(&id);
        inner.scheduler.finish(id, outcome, clock::now());
        inner.pump();
    }

    /// Decides on waiting offers as time passes, until the task is dropped.
    pub async fn run(self: Arc<Self>) {
        loop {
            self.waiting.notified().await;
            while self.lock().scheduler.has_waiting() {
                tokio::time::sleep(POLL_PERIOD).await;
                self.lock().pump();
            }
        }
    }

    /// Serves the offer of a peer until the peer ends the exchange.
    ///
    /// # Errors
    ///
    /// Fails when the exchange breaks; the offer and its slot are then given up.
    pub async fn serve(self: &Arc<Self>, offer: Offer, mut ex: Exchange) -> rwd_peer::Result<()> {
        let mut ticket = self.offer(offer);
        let decision = match ticket.decided() {
            Some(decision) => decision,
            None => {
                ex.send(&Message::Queued).await?;
                tokio::select! {
                    decision = ticket.decision() => decision,
                    // The home has nothing to say before the decision: it withdraws.
                    _ = ex.recv() => return Ok(()),
                }
            }
        };
        match decision {
            Ok(placed) => ex.send(&Message::Placed(placed)).await?,
            Err(declined) => {
                let message = Message::Declined {
                    no_target: declined.no_target,
                    retry_after_ms: declined.retry_after_ms,
                };
                return ex.send_last(&message).await;
            }
        }
        loop {
            match ex.recv().await? {
                Some(Message::Begun { first_ms }) => ticket.record_first_byte(first_ms),
                Some(Message::Release(outcome)) => {
                    ticket.release(outcome);
                    return Ok(());
                }
                _ => return Ok(()),
            }
        }
    }
}

fn answer(decision: Decision) -> Answer {
    match decision {
        Decision::Grant {
            target,
            address,
            first_ms,
            proven,
            ..
        } => Ok(Placed {
            target,
            address,
            first_ms,
            proven,
        }),
        Decision::Refuse {
            reason,
            retry_after_ms,
            ..
        } => Err(Declined {
            no_target: reason == Refusal::NoTarget,
            retry_after_ms,
        }),
    }
}

impl Inner {
    fn pump(&mut self) {
        for (id, decision) in self.scheduler.poll(clock::now()) {
            if let Decision::Refuse { waited_ms, .. } = &decision {
                info!(event = "refuse", offer:% = id, waited_ms = *waited_ms as u64, waiting = self.decisions.len(); "no slot in time");
            }
            match self.decisions.swap_remove(&id) {
                // A receiver that is gone has dropped its ticket or is about to.
                Some(tx) => drop(tx.send(decision)),
                None => self.scheduler.finish(id, SlotOutcome::Unused, clock::now()),
            }
        }
    }
}

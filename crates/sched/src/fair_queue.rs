//! The queue of one tier: fair between workspaces, then by earliest deadline.
//!
//! Start-time fair queueing (Goyal, Vin, Cheng, SIGCOMM 1996): each workspace is
//! a flow whose start tag advances by the tokens served over its weight, and the
//! flow with the lowest start tag is served first.

use indexmap::IndexMap;
use rwd_types::{Tokens, WorkspaceName};
use rwd_wire::Offer;
use std::collections::BTreeMap;
use tokio::time::Instant;

/// Identifies an offer and its grant at one scheduler.
pub type OfferId = u64;

/// An offer that is queued for a slot.
#[derive(Clone, Debug)]
pub struct QueuedOffer {
    /// Its id.
    pub id: OfferId,
    /// The request.
    pub offer: Offer,
    /// When it arrived.
    pub arrived: Instant,
    /// When its response must be complete.
    pub deadline: Instant,
    /// How often a later offer was granted first because of its cached prefix.
    pub passed_over: u32,
}

impl QueuedOffer {
    /// Estimated cost, counted against queue limits and fair shares.
    pub fn tokens(&self) -> Tokens {
        Tokens(self.offer.prompt.0 + self.offer.output.0)
    }
}

type Order = (Instant, OfferId);

#[derive(Debug, Default)]
struct Flow {
    // Start tag of the next offer, in tokens over weight.
    start_tag: f64,
    tokens: u64,
    items: BTreeMap<Order, QueuedOffer>,
}

/// The queued offers of one tier and pool.
#[derive(Debug, Default)]
pub struct FairQueue {
    flows: IndexMap<WorkspaceName, Flow>,
    index: IndexMap<OfferId, (WorkspaceName, Order)>,
    tokens: u64,
    virtual_time: f64,
}

impl FairQueue {
    /// Number of queued offers.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Whether no offer is queued.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Estimated cost of all queued offers.
    pub fn tokens(&self) -> Tokens {
        Tokens(self.tokens)
    }

    /// Adds an offer.
    pub fn push(&mut self, w: QueuedOffer) {
        let order = (w.deadline, w.id);
        let workspace = w.offer.workspace.clone();
        let virtual_time = self.virtual_time;
        let flow = self.flows.entry(workspace.clone()).or_default();
        if flow.items.is_empty() {
            // An idle workspace accumulates no credit.
            flow.start_tag = flow.start_tag.max(virtual_time);
        }
        flow.tokens += w.tokens().0;
        self.tokens += w.tokens().0;
        self.index.insert(w.id, (workspace, order));
        flow.items.insert(order, w);
    }

    /// Removes an offer without charging its workspace.
    pub fn remove(&mut self, id: OfferId) -> Option<QueuedOffer> {
        let (workspace, order) = self.index.swap_remove(&id)?;
        let flow = self.flows.get_mut(&workspace)?;
        let w = flow.items.remove(&order)?;
        flow.tokens -= w.tokens().0;
        self.tokens -= w.tokens().0;
        if flow.items.is_empty() && flow.start_tag <= self.virtual_time {
            self.flows.swap_remove(&workspace);
        }
        Some(w)
    }

    /// Removes an offer and charges it to its workspace.
    pub fn dequeue(&mut self, id: OfferId, weight: u64) -> Option<QueuedOffer> {
        let (workspace, order) = self.index.get(&id)?;
        let flow = self.flows.get_mut(workspace)?;
        let start = flow.start_tag;
        let tokens = flow.items.get(order)?.tokens();
        flow.start_tag += tokens.0 as f64 / weight.max(1) as f64;
        self.virtual_time = self.virtual_time.max(start);
        self.remove(id)
    }

    /// The first `limit` offers in service order, at most `per_flow` of one workspace.
    pub fn front(&self, limit: usize, per_flow: usize) -> Vec<&QueuedOffer> {
        let mut flows: Vec<_> = self
            .flows
            .values()
            .filter(|f| !f.items.is_empty())
            .collect();
        flows.sort_by(|a, b| a.start_tag.total_cmp(&b.start_tag));
        let offers = flows.iter().flat_map(|f| f.items.values().take(per_flow));
        offers.take(limit).collect()
    }

    /// The offer to shed first: the latest deadline of the workspace with the most queued tokens.
    pub fn shed_candidate(&self) -> Option<OfferId> {
        let flow = self.flows.values().max_by_key(|f| f.tokens)?;
        flow.items.values().next_back().map(|w| w.id)
    }

    /// Records that another offer was granted before this one.
    pub fn pass_over(&mut self, id: OfferId) {
        let Some((workspace, order)) = self.index.get(&id) else {
            return;
        };
        let flow = self.flows.get_mut(workspace);
        if let Some(w) = flow.and_then(|f| f.items.get_mut(order)) {
            w.passed_over += 1;
        }
    }

    /// Returns a queued offer.
    pub fn get(&self, id: OfferId) -> Option<&QueuedOffer> {
        let (workspace, order) = self.index.get(&id)?;
        self.flows.get(workspace)?.items.get(order)
    }

    /// Iterates over all queued offers.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedOffer> {
        self.flows.values().flat_map(|f| f.items.values())
    }

    /// Removes and returns all offers.
    pub fn drain(&mut self) -> Vec<QueuedOffer> {
        self.index.clear();
        self.tokens = 0;
        let flows = std::mem::take(&mut self.flows);
        flows
            .into_values()
            .flat_map(|f| f.items.into_values())
            .collect()
    }
}

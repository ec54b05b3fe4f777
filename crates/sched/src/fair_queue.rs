//! One tier's waiting work: fair between workspaces, then by deadline.
//!
//! Start-time fair queueing (Goyal, Vin, Cheng, SIGCOMM 1996): each workspace
//! has a virtual time that advances by the tokens it was served over its weight,
//! and the workspace that is furthest behind comes first.

use indexmap::IndexMap;
use rwd_types::{Tokens, WorkspaceName};
use rwd_wire::Offer;
use std::collections::BTreeMap;
use tokio::time::Instant;

/// Numbers the offers and grants of one scheduler.
pub type WaitingId = u64;

/// An offer that waits for a slot.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// Its number.
    pub id: WaitingId,
    /// What is offered.
    pub offer: Offer,
    /// When it arrived.
    pub arrived: Instant,
    /// When its answer must be complete.
    pub deadline: Instant,
    /// How often a later offer was preferred for its cached prefix.
    pub passed_over: u32,
}

impl Waiting {
    /// What the offer counts for against bounds and shares.
    pub fn tokens(&self) -> Tokens {
        Tokens(self.offer.prompt.0 + self.offer.output.0)
    }
}

type Order = (Instant, WaitingId);

#[derive(Debug, Default)]
struct Lane {
    // Virtual time, in tokens over weight.
    served: f64,
    tokens: u64,
    items: BTreeMap<Order, Waiting>,
}

/// The waiting work of one tier for one pool.
#[derive(Debug, Default)]
pub struct FairQueue {
    lanes: IndexMap<WorkspaceName, Lane>,
    index: IndexMap<WaitingId, (WorkspaceName, Order)>,
    tokens: u64,
    now: f64,
}

impl FairQueue {
    /// Number of waiting offers.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// The estimate of all waiting work.
    pub fn tokens(&self) -> Tokens {
        Tokens(self.tokens)
    }

    /// Adds an offer.
    pub fn push(&mut self, w: Waiting) {
        let order = (w.deadline, w.id);
        let workspace = w.offer.workspace.clone();
        let now = self.now;
        let lane = self.lanes.entry(workspace.clone()).or_default();
        if lane.items.is_empty() {
            // A workspace that was away has no claim to what it did not use.
            lane.served = lane.served.max(now);
        }
        lane.tokens += w.tokens().0;
        self.tokens += w.tokens().0;
        self.index.insert(w.id, (workspace, order));
        lane.items.insert(order, w);
    }

    /// Takes an offer out, without counting it as served.
    pub fn remove(&mut self, id: WaitingId) -> Option<Waiting> {
        let (workspace, order) = self.index.swap_remove(&id)?;
        let lane = self.lanes.get_mut(&workspace)?;
        let w = lane.items.remove(&order)?;
        lane.tokens -= w.tokens().0;
        self.tokens -= w.tokens().0;
        if lane.items.is_empty() && lane.served <= self.now {
            self.lanes.swap_remove(&workspace);
        }
        Some(w)
    }

    /// Takes an offer out and counts it against its workspace's share.
    pub fn serve(&mut self, id: WaitingId, weight: u64) -> Option<Waiting> {
        let (workspace, order) = self.index.get(&id)?;
        let lane = self.lanes.get_mut(workspace)?;
        let start = lane.served;
        let tokens = lane.items.get(order)?.tokens();
        lane.served += tokens.0 as f64 / weight.max(1) as f64;
        self.now = self.now.max(start);
        self.remove(id)
    }

    /// The first `most` offers in the order of service, at most `per_lane` of one workspace.
    pub fn front(&self, most: usize, per_lane: usize) -> Vec<&Waiting> {
        let mut lanes: Vec<_> = self
            .lanes
            .values()
            .filter(|l| !l.items.is_empty())
            .collect();
        lanes.sort_by(|a, b| a.served.total_cmp(&b.served));
        let offers = lanes.iter().flat_map(|l| l.items.values().take(per_lane));
        offers.take(most).collect()
    }

    /// The offer to shed first: the last deadline of the workspace with the most waiting work.
    pub fn excess(&self) -> Option<WaitingId> {
        let lane = self.lanes.values().max_by_key(|l| l.tokens)?;
        lane.items.values().next_back().map(|w| w.id)
    }

    /// Notes that other offers were preferred to this one.
    pub fn pass_over(&mut self, id: WaitingId) {
        let Some((workspace, order)) = self.index.get(&id) else {
            return;
        };
        let lane = self.lanes.get_mut(workspace);
        if let Some(w) = lane.and_then(|l| l.items.get_mut(order)) {
            w.passed_over += 1;
        }
    }

    /// A waiting offer.
    pub fn get(&self, id: WaitingId) -> Option<&Waiting> {
        let (workspace, order) = self.index.get(&id)?;
        self.lanes.get(workspace)?.items.get(order)
    }

    /// All waiting offers.
    pub fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.lanes.values().flat_map(|l| l.items.values())
    }

    /// Takes everything out.
    pub fn drain(&mut self) -> Vec<Waiting> {
        self.index.clear();
        self.tokens = 0;
        let lanes = std::mem::take(&mut self.lanes);
        lanes
            .into_values()
            .flat_map(|l| l.items.into_values())
            .collect()
    }
}

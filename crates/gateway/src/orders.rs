//! The operator's orders of roll-outs that this node knows, from the store and from other nodes.

use indexmap::IndexMap;
use log::info;
use rwd_placement::{RolloutOrder, Stage, Timestamp};
use rwd_types::PoolName;
use rwd_wire::KnownOrder;

/// Maximum number of pools with an order.
const MAX_ORDERS: usize = 64;
/// Maximum number of replaced orders of one pool that are remembered.
const MAX_PAST: usize = 8;

#[derive(Clone, Debug)]
struct Entry {
    order: RolloutOrder,
    first_seen: Timestamp,
    withdrawn: bool,
    end: Option<Stage>,
    // Orders that it replaced; a restored store may bring one back.
    past: Vec<RolloutOrder>,
}

/// The newest order of each pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct Orders {
    entries: IndexMap<PoolName, Entry>,
}

impl Orders {
    /// Applies an order that was read from the store, or its withdrawal. Returns whether that is news.
    pub fn apply(&mut self, pool: &PoolName, order: Option<RolloutOrder>, now: Timestamp) -> bool {
        match (order, self.entries.get_mut(pool)) {
            (Some(order), _) => self.merge(
                KnownOrder {
                    pool: pool.clone(),
                    order,
                    age_ms: 0.0,
                    withdrawn: false,
                    end: None,
                    past: Vec::new(),
                },
                now,
            ),
            (None, Some(known)) if !known.withdrawn => {
                info!(event = "rollout_order", pool:%, to:% = known.order.to, outcome = "withdrawn"; "the order of a roll-out was withdrawn");
                known.withdrawn = true;
                true
            }
            (None, _) => false,
        }
    }

    /// Applies what another node knows as of `as_of`. Returns whether that is news.
    pub fn merge(&mut self, news: KnownOrder, as_of: Timestamp) -> bool {
        let first_seen = as_of + -news.age_ms.max(0.0);
        let Some(known) = self.entries.get_mut(&news.pool) else {
            return self.insert(news, first_seen);
        };
        if known.order.is_same(&news.order) {
            if news.order.era > known.order.era {
                known.order = news.order;
            }
            known.first_seen = Timestamp(known.first_seen.0.min(first_seen.0));
            let withdrawn = known.withdrawn || news.withdrawn;
            let end = known.end.max(news.end);
            let changed = (withdrawn, end) != (known.withdrawn, known.end);
            (known.withdrawn, known.end) = (withdrawn, end);
            return changed;
        }
        let position = |o: &RolloutOrder| (o.era, o.offset);
        let replaces_known = news.past.iter().any(|past| past.is_same(&known.order));
        let is_earlier = position(&news.order) < position(&known.order);
        let was_replaced = known.past.iter().any(|past| past.is_same(&news.order));
        if was_replaced && !is_earlier {
            info!(event = "rollout_order", pool:% = news.pool, to:% = news.order.to, outcome = "brought_back"; "ignoring an order that was replaced before: the store has come back from an older copy");
        }
        if was_replaced || (is_earlier && !replaces_known) {
            return false;
        }
        let mut past = std::mem::take(&mut known.past);
        past.push(known.order.clone());
        if past.len() > MAX_PAST {
            past.remove(0);
        }
        self.insert(KnownOrder { past, ..news }, first_seen)
    }

    fn insert(&mut self, news: KnownOrder, first_seen: Timestamp) -> bool {
        let KnownOrder {
            pool,
            order,
            withdrawn,
            end,
            mut past,
            ..
        } = news;
        if self.entries.len() >= MAX_ORDERS && !self.entries.contains_key(&pool) {
            return false;
        }
        past.truncate(MAX_PAST);
        info!(event = "rollout_order", pool:%, to:% = order.to, over_s = order.over_s, offset = order.offset, outcome = "known"; "learned of an order of a roll-out");
        let entry = Entry {
            order,
            first_seen,
            withdrawn,
            end,
            past,
        };
        self.entries.insert(pool, entry);
        true
    }

    /// Records how an order ended. Returns whether that is news.
    pub fn end(&mut self, pool: &PoolName, order: &RolloutOrder, stage: Stage) -> bool {
        match self.entries.get_mut(pool) {
            Some(known) if known.order.is_same(order) && known.end < Some(stage) => {
                known.end = Some(stage);
                true
            }
            _ => false,
        }
    }

    /// All orders, as other nodes are told of them.
    pub fn list(&self, now: Timestamp) -> Vec<KnownOrder> {
        let entries = self.entries.iter().map(|(pool, known)| KnownOrder {
            pool: pool.clone(),
            order: known.order.clone(),
            age_ms: now - known.first_seen,
            withdrawn: known.withdrawn,
            end: known.end,
            past: known.past.clone(),
        });
        entries.collect()
    }
}

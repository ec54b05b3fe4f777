//! Which home nodes have a free connection to a target.
//!
//! Home nodes open connections to targets, and a target pays for each. With many nodes before many
//! targets, hardly a pair meets again before its connection has been idle for too long. Each home
//! node is therefore steered to a few targets of its own and to those where it has a connection. It
//! is a term of the cost only: a target that is slow, full or gone loses its place.

use indexmap::IndexMap;
use rwd_types::{InstanceName, TargetName};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{Offer, Timestamp};

/// Cost of a new connection, in milliseconds of response time; less than a request to another zone.
const NEW_CONNECTION_MS: f64 = 10.0;
/// Largest cost of a target that is far from a home node's own few, in milliseconds of response time.
const FOREIGN_MS: f64 = 5.0;
/// Maximum number of home nodes whose connections to one target are tracked.
const MAX_HOMES: usize = 64;
/// Maximum number of free connections that are tracked for one home node and target.
const MAX_FREE: usize = 8;

/// Free connections to one target, by home node.
#[derive(Clone, Debug, Default)]
pub(crate) struct Connections {
    // When each was last used; the latest is the last.
    free: IndexMap<InstanceName, Vec<Timestamp>>,
}

impl Connections {
    /// Records that a home node has the response to a request, and so a free connection.
    pub fn put_back(&mut self, home: &InstanceName, now: Timestamp) {
        // Moved to the end, so that the first is the one that was used longest ago.
        let mut free = self.free.shift_remove(home).unwrap_or_default();
        if free.len() == MAX_FREE {
            free.remove(0);
        }
        free.push(now);
        self.free.insert(home.clone(), free);
        while self.free.len() > MAX_HOMES {
            self.free.shift_remove_index(0);
        }
    }

    /// Records that a home node sends a request, for which it takes a free connection if there is one.
    pub fn take(&mut self, offer: &Offer, now: Timestamp) {
        if let Some(free) = self.free.get_mut(&offer.home) {
            match free.last() {
                Some(used) if now - *used < offer.reuse_ms => drop(free.pop()),
                _ => free.clear(),
            }
        }
    }

    /// Cost of the connection for a request, in milliseconds of response time.
    pub fn cost(&self, offer: &Offer, target: &TargetName, now: Timestamp) -> f64 {
        let last = self.free.get(&offer.home).and_then(|free| free.last());
        match last {
            Some(used) if now - *used < offer.reuse_ms => 0.0,
            _ => NEW_CONNECTION_MS + FOREIGN_MS * distance(&offer.home, target),
        }
    }
}

// From 0 to 1, evenly distributed and independent for each pair (rendezvous hashing, Thaler and
// Ravishankar 1998), so that few pairs change when nodes or targets come and go.
fn distance(home: &InstanceName, target: &TargetName) -> f64 {
    let seed = xxh3_64(home.as_str().as_bytes());
    let hash = xxh3_64_with_seed(target.as_str().as_bytes(), seed);
    hash as f64 / u64::MAX as f64
}

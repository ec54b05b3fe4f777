//! What home nodes and schedulers tell a scheduler that takes over a shard.

use rwd_peer::{View, score};
use rwd_placement::Offer;
use rwd_types::{InstanceName, TargetName};
use xxhash_rust::xxh3::xxh3_64;

/// Marks an offer of a home node that reaches no scheduler of a shard, and restricts it to the
/// targets that no other home node uses as its last resort.
///
/// Nodes with the same view agree on the node of each target by rendezvous hashing.
pub(crate) fn mark_last_resort(
    offer: &mut Offer,
    targets: Vec<TargetName>,
    own: &InstanceName,
    view: &View,
) {
    offer.last_resort = true;
    let names = || view.active().map(|m| &m.name);
    let first = |key| names().max_by_key(|name| (score(key, name), (*name).clone()));
    let is_others = |t: &TargetName| first(xxh3_64(t.as_str().as_bytes())) != Some(own);
    offer.exclude.extend(targets.into_iter().filter(is_others));
}

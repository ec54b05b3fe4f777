//! Rendezvous hashing: every node ranks the candidates for a key in the same order.
//!
//! Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
//! IEEE/ACM Transactions on Networking, 1998.

use rwd_types::InstanceName;
use rwd_wire::MemberUpdate;
use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The weight of a candidate for a key; the highest weight wins.
pub fn score(key: u64, name: &InstanceName) -> u64 {
    xxh3_64_with_seed(name.as_str().as_bytes(), key)
}

/// The candidates for a key, best first.
pub fn rank<'a>(
    key: u64,
    candidates: impl Iterator<Item = &'a MemberUpdate>,
) -> Vec<&'a MemberUpdate> {
    let mut ranked: Vec<_> = candidates.collect();
    ranked.sort_by_cached_key(|m| Reverse((score(key, &m.name), m.name.clone())));
    ranked
}

/// The first of [`rank_by_cpu`], without ranking the rest.
pub fn first_by_cpu<'a>(
    key: u64,
    candidates: impl Iterator<Item = &'a MemberUpdate>,
) -> Option<&'a MemberUpdate> {
    candidates.max_by_key(|m| (m.cpu_milli, score(key, &m.name), m.name.clone()))
}

/// The candidates for a key, those with the most processor first, for duties that many nodes lean on.
pub fn rank_by_cpu<'a>(
    key: u64,
    candidates: impl Iterator<Item = &'a MemberUpdate>,
) -> Vec<&'a MemberUpdate> {
    let mut ranked = rank(key, candidates);
    ranked.sort_by_key(|m| Reverse(m.cpu_milli));
    ranked
}

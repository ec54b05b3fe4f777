//! Selects the nodes that callers should use, and issues the key prefixes of home nodes.

use rwd_config::Configuration;
use rwd_peer::{View, rank};
use rwd_types::{Incarnation, InstanceName, KeyPrefix, SessionId, WorkspaceName, ZoneName};
use rwd_wire::MemberUpdate;
use std::time::{SystemTime, UNIX_EPOCH};
use xxhash_rust::xxh3::xxh3_64;

/// Number of nodes that serve one workspace.
pub const SUBSET_SIZE: usize = 8;
/// Random low bits of a session id; the high bits are the time of issue in milliseconds.
const SESSION_RANDOM_BITS: u32 = 20;

/// The nodes that serve a workspace, the same set on every node.
pub fn node_subset<'a>(
    cfg: &Configuration,
    view: &'a View,
    workspace: &WorkspaceName,
) -> Vec<&'a MemberUpdate> {
    let key = xxh3_64(workspace.as_str().as_bytes());
    let eligible = view
        .active()
        .filter(|m| !cfg.drained_instances.contains(&m.name));
    let mut homes = rank(key, eligible);
    homes.truncate(SUBSET_SIZE);
    homes
}

/// Orders a workspace's nodes for a caller in `zone`: nodes of that zone first, each group rotated
/// by `rotation` so that callers spread over the nodes.
pub(crate) fn order_for_zone<'a>(
    homes: Vec<&'a MemberUpdate>,
    zone: &ZoneName,
    rotation: u64,
) -> Vec<&'a MemberUpdate> {
    let (mut same_zone, mut other_zones): (Vec<_>, Vec<_>) =
        homes.into_iter().partition(|m| m.zone == *zone);
    rotate(&mut same_zone, rotation);
    rotate(&mut other_zones, rotation);
    same_zone.append(&mut other_zones);
    same_zone
}

fn rotate<T>(items: &mut [T], rotation: u64) {
    if !items.is_empty() {
        let by = rotation % items.len() as u64;
        items.rotate_left(by as usize);
    }
}

/// Issues a key prefix for `home`, with a witness in another availability zone if possible.
pub(crate) fn issue_prefix(home: &MemberUpdate, view: &View) -> KeyPrefix {
    let session = new_session();
    KeyPrefix {
        home: home.name.clone(),
        incarnation: home.incarnation,
        session,
        witness: choose_witness(home, view, session),
    }
}

fn choose_witness(
    home: &MemberUpdate,
    view: &View,
    session: SessionId,
) -> Option<(InstanceName, Incarnation)> {
    // A prefix names its witness's incarnation, which is unknown before its first gossip.
    let known = |m: &&MemberUpdate| m.name != home.name && m.incarnation > Incarnation(0);
    let others = rank(session.0, view.active().filter(known));
    let other_zone = others.iter().find(|m| m.zone != home.zone);
    let witness = other_zone.or(others.first())?;
    Some((witness.name.clone(), witness.incarnation))
}

fn new_session() -> SessionId {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let random = rand::random::<u64>() >> (u64::BITS - SESSION_RANDOM_BITS);
    SessionId((since_epoch.as_millis() as u64) << SESSION_RANDOM_BITS | random)
}

//! Tells callers which nodes to use, and gives them a key prefix.

use rwd_config::Configuration;
use rwd_peer::{View, rank};
use rwd_types::{Incarnation, InstanceName, KeyPrefix, SessionId, WorkspaceName, ZoneName};
use rwd_wire::MemberUpdate;
use std::time::{SystemTime, UNIX_EPOCH};
use xxhash_rust::xxh3::xxh3_64;

/// Nodes that one workspace's callers are told of.
pub const SUBSET_SIZE: usize = 8;
/// Random low bits of a session number; the rest is the time of issue in milliseconds.
const SESSION_RANDOM_BITS: u32 = 20;

/// The nodes that serve a workspace: the same ones wherever its callers ask.
pub fn node_subset<'a>(
    cfg: &Configuration,
    view: &'a View,
    workspace: &WorkspaceName,
) -> Vec<&'a MemberUpdate> {
    let key = xxh3_64(workspace.as_str().as_bytes());
    let staying = view
        .active()
        .filter(|m| !cfg.drained_instances.contains(&m.name));
    let mut homes = rank(key, staying);
    homes.truncate(SUBSET_SIZE);
    homes
}

/// The home set of a workspace as a caller in `zone` should use it: near nodes first, and in an
/// order that differs from answer to answer, so that callers spread.
pub(crate) fn for_caller<'a>(
    homes: Vec<&'a MemberUpdate>,
    zone: &ZoneName,
    turn: u64,
) -> Vec<&'a MemberUpdate> {
    let (mut near, mut far): (Vec<_>, Vec<_>) = homes.into_iter().partition(|m| m.zone == *zone);
    rotate(&mut near, turn);
    rotate(&mut far, turn);
    near.append(&mut far);
    near
}

fn rotate<T>(items: &mut [T], turn: u64) {
    if !items.is_empty() {
        let by = turn % items.len() as u64;
        items.rotate_left(by as usize);
    }
}

/// A new key prefix for `home`, with a witness in another availability zone if there is one.
pub(crate) fn issue(home: &MemberUpdate, view: &View) -> KeyPrefix {
    let session = new_session();
    KeyPrefix {
        home: home.name.clone(),
        incarnation: home.incarnation,
        session,
        witness: witness(home, view, session),
    }
}

fn witness(
    home: &MemberUpdate,
    view: &View,
    session: SessionId,
) -> Option<(InstanceName, Incarnation)> {
    // A node that has not spoken yet has no known incarnation and cannot be named.
    let known = |m: &&MemberUpdate| m.name != home.name && m.incarnation > Incarnation(0);
    let others = rank(session.0, view.active().filter(known));
    let elsewhere = others.iter().find(|m| m.zone != home.zone);
    let witness = elsewhere.or(others.first())?;
    Some((witness.name.clone(), witness.incarnation))
}

fn new_session() -> SessionId {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let random = rand::random::<u64>() >> (u64::BITS - SESSION_RANDOM_BITS);
    SessionId((since_epoch.as_millis() as u64) << SESSION_RANDOM_BITS | random)
}

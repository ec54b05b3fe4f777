//! Member list: the other nodes' liveness and the digests of their queues.

use indexmap::IndexMap;
use rwd_types::{Incarnation, InstanceName, Revision, ZoneName};
use rwd_wire::{Digest, Gossip, Liveness, MemberUpdate, ShardId};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;
use tokio::time::Instant;

/// Maximum membership updates per gossip message; a failed zone of 40 nodes fits into one.
const MAX_UPDATES: usize = 64;
/// Maximum queue digests per gossip message.
const MAX_DIGESTS: usize = 6;
/// How long a failed node is kept, so that stale updates cannot bring it back.
const FAILED_RETENTION: Duration = Duration::from_secs(60);
/// How long a queue digest is valid.
const DIGEST_LIFETIME: Duration = Duration::from_secs(10);

/// The incarnation number of a process that starts now.
///
/// Ordered by start time; the random low byte separates starts within one millisecond.
pub fn new_incarnation() -> Incarnation {
    let started = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation((started.as_millis() as u64) << 8 | u64::from(rand::random::<u8>()))
}

/// A node's entry in the platform's instance list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedInstance {
    /// Instance name.
    pub name: InstanceName,
    /// Address for callers.
    pub http: SocketAddr,
    /// Address for peers.
    pub peer: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Whether the list marks it as leaving.
    pub leaving: bool,
    /// CPU share in thousandths of a core; zero if the list does not give it.
    pub cpu_milli: u32,
}

struct Member {
    update: MemberUpdate,
    changed_at: Instant,
    transmissions: u32,
    listed: bool,
    listed_leaving: bool,
    // Its last gossip was from an incarnation below the known one: it restarted after its clock was
    // set back.
    is_behind: bool,
}

struct DigestEntry {
    digest: Digest,
    received_at: Instant,
    transmissions: u32,
}

struct Inner {
    own: MemberUpdate,
    own_transmissions: u32,
    incarnations: Vec<Incarnation>,
    revision: Revision,
    members: IndexMap<InstanceName, Member>,
    digests: IndexMap<ShardId, DigestEntry>,
}

/// Membership view: the nodes that are considered alive, including the local one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// Alive and suspected nodes by name.
    pub members: IndexMap<InstanceName, MemberUpdate>,
}

impl View {
    /// The nodes that are not leaving.
    pub fn active(&self) -> impl Iterator<Item = &MemberUpdate> {
        self.members.values().filter(|m| !m.leaving)
    }

    /// The nodes among which holders of roles are selected: the active ones, or all while all are
    /// leaving, so that nodes with the same view always select the same holder.
    pub fn candidates(&self) -> impl Iterator<Item = &MemberUpdate> {
        let none_active = self.active().next().is_none();
        let members = self.members.values();
        members.filter(move |m| none_active || !m.leaving)
    }
}

/// Member list of one node, fed by gossip, probes and the platform's instance list.
pub struct Directory {
    inner: Mutex<Inner>,
    view: watch::Sender<Arc<View>>,
    newest: watch::Sender<Option<(Revision, InstanceName)>>,
    refutations: watch::Sender<u32>,
}

impl Directory {
    /// A directory that contains only the local node.
    pub fn new(own: MemberUpdate) -> Self {
        let inner = Inner {
            incarnations: vec![own.incarnation],
            own,
            own_transmissions: 0,
            revision: Revision(0),
            members: IndexMap::new(),
            digests: IndexMap::new(),
        };
        let view = Arc::new(inner.view());
        Self {
            inner: Mutex::new(inner),
            view: watch::Sender::new(view),
            newest: watch::Sender::new(None),
            refutations: watch::Sender::new(0),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn modify<T>(&self, f: impl FnOnce(&mut Inner) -> T) -> T {
        let mut inner = self.lock();
        let result = f(&mut inner);
        let refutation = inner.own.refutation;
        self.refutations.send_if_modified(|known| {
            let grown = *known < refutation;
            *known = refutation;
            grown
        });
        let view = inner.view();
        self.view.send_if_modified(|old| {
            let changed = **old != view;
            if changed {
                *old = Arc::new(view);
            }
            changed
        });
        result
    }

    /// The current membership view.
    pub fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// Subscribes to the membership view.
    pub fn watch(&self) -> watch::Receiver<Arc<View>> {
        self.view.subscribe()
    }

    /// Subscribes to the newest active revision that a peer has gossiped, and that peer.
    pub fn watch_newest(&self) -> watch::Receiver<Option<(Revision, InstanceName)>> {
        self.newest.subscribe()
    }

    /// The local node as it gossips itself.
    pub fn own(&self) -> MemberUpdate {
        self.lock().own.clone()
    }

    /// Whether this process has used `incarnation`.
    pub fn is_own_incarnation(&self, incarnation: Incarnation) -> bool {
        self.lock().incarnations.contains(&incarnation)
    }

    /// Marks the local node as leaving.
    pub fn set_leaving(&self) {
        self.modify(|inner| {
            if !inner.own.leaving {
                inner.own.leaving = true;
                inner.own.refutation += 1;
                inner.own_transmissions = 0;
            }
        });
    }

    /// Sets the local node's active revision.
    pub fn set_revision(&self, revision: Revision) {
        self.lock().revision = revision;
    }

    /// A node's address for peers.
    pub fn peer_address(&self, name: &InstanceName) -> Option<SocketAddr> {
        self.lock().members.get(name).map(|m| m.update.peer)
    }

    /// Merges the platform's instance list; returns the nodes that it added.
    pub fn apply_list(&self, list: &[ListedInstance]) -> Vec<InstanceName> {
        self.modify(|inner| inner.apply_list(list))
    }

    /// Merges gossip from a peer; to be called for all gossip received.
    pub fn merge_gossip(&self, gossip: &Gossip) {
        self.modify(|inner| {
            inner.merge_update(&gossip.own);
            if let Some(m) = inner.members.get_mut(&gossip.own.name) {
                m.is_behind = gossip.own.incarnation < m.update.incarnation;
            }
            for update in &gossip.updates {
                inner.merge_update(update);
            }
            for digest in &gossip.digests {
                inner.merge_digest(digest);
            }
        });
        self.newest.send_if_modified(|newest| match newest {
            Some((known, _)) if *known >= gossip.revision => false,
            _ => {
                *newest = Some((gossip.revision, gossip.own.name.clone()));
                true
            }
        });
    }

    /// Builds the gossip for the next message to `peer`.
    pub fn gossip_to(&self, peer: &InstanceName) -> Gossip {
        self.lock().gossip_to(peer)
    }

    /// Subscribes to the refutation number of the local node, which grows when the node learns that
    /// others take it for suspect or failed.
    pub fn watch_refutations(&self) -> watch::Receiver<u32> {
        self.refutations.subscribe()
    }

    /// Marks a node that did not reply as suspect; returns whether it was not before.
    pub fn suspect(&self, name: &InstanceName) -> bool {
        self.downgrade(name, Liveness::Suspect)
    }

    /// Marks a node whose process has ended as failed; returns whether it was not before.
    pub fn failed(&self, name: &InstanceName) -> bool {
        self.downgrade(name, Liveness::Failed)
    }

    fn downgrade(&self, name: &InstanceName, to: Liveness) -> bool {
        self.modify(|inner| match inner.members.get(name) {
            Some(m) if m.update.liveness < to => {
                let liveness = to;
                let update = MemberUpdate {
                    liveness,
                    ..m.update.clone()
                };
                inner.merge_update(&update);
                true
            }
            _ => false,
        })
    }

    /// Marks nodes as failed that did not refute in time, and drops old failures and digests.
    pub fn expire(&self, suspicion: Duration) {
        self.modify(|inner| inner.expire(suspicion));
    }

    /// Names of all other known nodes, including suspected and failed ones.
    pub fn probe_candidates(&self) -> Vec<InstanceName> {
        let inner = self.lock();
        inner.members.keys().cloned().collect()
    }

    /// Whether a node is failed in this node's view.
    pub fn is_failed(&self, name: &InstanceName) -> bool {
        self.has_liveness(name, Liveness::Failed)
    }

    /// Whether a node is suspect in this node's view.
    pub fn is_suspect(&self, name: &InstanceName) -> bool {
        self.has_liveness(name, Liveness::Suspect)
    }

    fn has_liveness(&self, name: &InstanceName, liveness: Liveness) -> bool {
        let inner = self.lock();
        let member = inner.members.get(name);
        member.is_some_and(|m| m.update.liveness == liveness)
    }

    /// Publishes the digest of an owned shard if it has changed or half its lifetime has passed.
    pub fn publish_digest(&self, digest: Digest) {
        let mut inner = self.lock();
        let same = inner.digests.get(&digest.shard).is_some_and(|k| {
            let known = Digest {
                sequence: digest.sequence,
                ..k.digest.clone()
            };
            known == digest && k.received_at.elapsed() < DIGEST_LIFETIME / 2
        });
        if !same {
            inner.merge_digest(&digest);
        }
    }

    /// The last digest of a shard, unless it has expired.
    pub fn digest(&self, shard: &ShardId) -> Option<Digest> {
        let inner = self.lock();
        let known = inner.digests.get(shard);
        let fresh = known.filter(|k| k.received_at.elapsed() < DIGEST_LIFETIME);
        fresh.map(|k| k.digest.clone())
    }

    /// Number of members and digests, for capacity metrics.
    pub fn sizes(&self) -> (usize, usize) {
        let inner = self.lock();
        (inner.members.len(), inner.digests.len())
    }
}

impl Inner {
    fn view(&self) -> View {
        let alive = self
            .members
            .values()
            .filter(|m| m.update.liveness < Liveness::Failed);
        let mut members: IndexMap<_, _> = alive
            .map(|m| {
                let leaving = m.update.leaving || m.listed_leaving;
                let update = MemberUpdate {
                    leaving,
                    liveness: Liveness::Alive,
                    refutation: 0,
                    ..m.update.clone()
                };
                (update.name.clone(), update)
            })
            .collect();
        let own = MemberUpdate {
            refutation: 0,
            ..self.own.clone()
        };
        members.insert(own.name.clone(), own);
        members.sort_unstable_keys();
        View { members }
    }

    fn apply_list(&mut self, list: &[ListedInstance]) -> Vec<InstanceName> {
        let mut fresh = Vec::new();
        for m in self.members.values_mut() {
            m.listed = false;
        }
        for listed in list {
            match self.members.get_mut(&listed.name) {
                _ if listed.name == self.own.name => (),
                Some(m) => {
                    m.listed = true;
                    m.listed_leaving = listed.leaving;
                    // No gossip from the node yet; an earlier list may have lacked its CPU share.
                    if m.update.incarnation == Incarnation(0)
                        && m.update.cpu_milli < listed.cpu_milli
                    {
                        m.update.cpu_milli = listed.cpu_milli;
                        m.update.zone = listed.zone.clone();
                    }
                }
                None => {
                    fresh.push(listed.name.clone());
                    self.insert(initial_update(listed), listed.leaving, true);
                }
            }
        }
        // A node that is missing from the list is kept, because the list lags behind. It is
        // removed when it stops replying to probes.
        fresh
    }

    fn insert(&mut self, update: MemberUpdate, listed_leaving: bool, listed: bool) {
        let changed_at = Instant::now();
        let member = Member {
            update,
            changed_at,
            // The others read the list themselves.
            transmissions: if listed { u32::MAX } else { 0 },
            listed,
            listed_leaving,
            is_behind: false,
        };
        self.members.insert(member.update.name.clone(), member);
    }

    fn merge_update(&mut self, update: &MemberUpdate) {
        if update.name == self.own.name {
            return self.merge_own_update(update);
        }
        match self.members.get_mut(&update.name) {
            Some(m) if precedence(update) > precedence(&m.update) => {
                // The list's leaving mark applies only to the incarnation for which it was set.
                m.listed_leaving &= update.incarnation == m.update.incarnation;
                m.update = update.clone();
                m.changed_at = Instant::now();
                m.transmissions = 0;
            }
            Some(_) => (),
            None if update.liveness == Liveness::Failed => (),
            None => self.insert(update.clone(), false, false),
        }
    }

    fn merge_own_update(&mut self, update: &MemberUpdate) {
        if update.incarnation > self.own.incarnation {
            // An earlier incarnation ran with a faster clock; exceed its number.
            self.own.incarnation = Incarnation(update.incarnation.0 + 1);
            self.incarnations.push(self.own.incarnation);
            self.own_transmissions = 0;
        } else if update.incarnation == self.own.incarnation
            && update.liveness > Liveness::Alive
            && update.refutation >= self.own.refutation
        {
            self.own.refutation = update.refutation + 1;
            self.own_transmissions = 0;
        }
    }

    fn merge_digest(&mut self, digest: &Digest) {
        let known = self.digests.get(&digest.shard);
        let stale = known.is_some_and(|k| {
            k.digest.owner == digest.owner && k.digest.sequence >= digest.sequence
        });
        if !stale {
            let received_at = Instant::now();
            let known = DigestEntry {
                digest: digest.clone(),
                received_at,
                transmissions: 0,
            };
            self.digests.insert(digest.shard.clone(), known);
        }
    }

    fn gossip_to(&mut self, peer: &InstanceName) -> Gossip {
        // Without it, a node that was declared failed would not learn so once the update has had
        // its transmissions, and would stay out of the views of others. One that is behind would
        // be ignored for good.
        let accusation = self.members.get(peer);
        let accusation = accusation.filter(|m| m.update.liveness > Liveness::Alive || m.is_behind);
        let accusation = accusation.map(|m| m.update.clone());
        // Each update is transmitted a number of times logarithmic in the number of nodes.
        let max_transmissions = 4 * (usize::BITS - self.members.len().leading_zeros()).max(1);
        let mut fresh: Vec<_> = self
            .members
            .values_mut()
            .filter(|m| m.transmissions < max_transmissions && m.update.name != *peer)
            .collect();
        fresh.sort_by_key(|m| m.transmissions);
        fresh.truncate(MAX_UPDATES);
        let updates = fresh.into_iter().map(|m| {
            m.transmissions += 1;
            m.update.clone()
        });
        let updates = accusation.into_iter().chain(updates).collect();
        let mut fresh: Vec<_> = self
            .digests
            .values_mut()
            .filter(|k| k.transmissions < max_transmissions)
            .collect();
        fresh.sort_by_key(|k| k.transmissions);
        fresh.truncate(MAX_DIGESTS);
        let digests = fresh.into_iter().map(|k| {
            k.transmissions += 1;
            k.digest.clone()
        });
        Gossip {
            own: self.own.clone(),
            revision: self.revision,
            updates,
            digests: digests.collect(),
        }
    }

    fn expire(&mut self, suspicion: Duration) {
        let timed_out = |m: &&mut Member| {
            m.update.liveness == Liveness::Suspect && m.changed_at.elapsed() >= suspicion
        };
        for m in self.members.values_mut().filter(timed_out) {
            m.update.liveness = Liveness::Failed;
            m.changed_at = Instant::now();
            m.transmissions = 0;
        }
        self.members.retain(|_, m| {
            let remembered = m.listed || m.changed_at.elapsed() < FAILED_RETENTION;
            m.update.liveness < Liveness::Failed || remembered
        });
        self.digests
            .retain(|_, k| k.received_at.elapsed() < DIGEST_LIFETIME);
    }
}

fn precedence(update: &MemberUpdate) -> (Incarnation, u32, Liveness, bool) {
    (
        update.incarnation,
        update.refutation,
        update.liveness,
        update.leaving,
    )
}

fn initial_update(listed: &ListedInstance) -> MemberUpdate {
    MemberUpdate {
        name: listed.name.clone(),
        incarnation: Incarnation(0),
        refutation: 0,
        liveness: Liveness::Alive,
        leaving: false,
        http: listed.http,
        peer: listed.peer,
        zone: listed.zone.clone(),
        cpu_milli: listed.cpu_milli,
    }
}

//! What a node knows of the other nodes and of their queues.

use indexmap::IndexMap;
use rwd_types::{Incarnation, InstanceName, Revision, ZoneName};
use rwd_wire::{Digest, Gossip, Liveness, MemberUpdate, ShardId};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;
use tokio::time::Instant;

/// Most pieces of membership news on one heartbeat.
const MAX_UPDATES: usize = 6;
/// Most digests on one heartbeat.
const MAX_DIGESTS: usize = 6;
/// How long the failure of a node is remembered, so that stale news of it is not believed.
const FAILED_RETENTION: Duration = Duration::from_secs(60);
/// How long a queue digest is believed.
const DIGEST_LIFETIME: Duration = Duration::from_secs(10);

/// The number of the life that begins now.
///
/// A later life has a later start; the random part keeps two lives of one millisecond apart.
pub fn new_incarnation() -> Incarnation {
    let started = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation((started.as_millis() as u64) << 8 | u64::from(rand::random::<u8>()))
}

/// A node as the platform's instance list shows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedInstance {
    /// Its name.
    pub name: InstanceName,
    /// Where callers reach it.
    pub http: SocketAddr,
    /// Where peers reach it.
    pub peer: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether the list marks it as leaving.
    pub leaving: bool,
    /// Its processor in thousandths of a core; zero if the list does not say.
    pub cpu_milli: u32,
}

struct Member {
    news: MemberUpdate,
    since: Instant,
    sent: u32,
    listed: bool,
    list_leaving: bool,
}

struct KnownDigest {
    digest: Digest,
    at: Instant,
    sent: u32,
}

struct Inner {
    own: MemberUpdate,
    own_sent: u32,
    lives: Vec<Incarnation>,
    revision: Revision,
    members: IndexMap<InstanceName, Member>,
    digests: IndexMap<ShardId, KnownDigest>,
}

/// The nodes that are believed to be alive, the own one among them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// Alive and suspected nodes by name.
    pub members: IndexMap<InstanceName, MemberUpdate>,
}

impl View {
    /// The nodes that are to stay.
    pub fn active(&self) -> impl Iterator<Item = &MemberUpdate> {
        self.members.values().filter(|m| !m.leaving)
    }
}

/// The shared record of membership.
pub struct Directory {
    inner: Mutex<Inner>,
    view: watch::Sender<Arc<View>>,
    newest: watch::Sender<Option<(Revision, InstanceName)>>,
}

impl Directory {
    /// A directory that knows only the own node.
    pub fn new(own: MemberUpdate) -> Self {
        let inner = Inner {
            lives: vec![own.incarnation],
            own,
            own_sent: 0,
            revision: Revision(0),
            members: IndexMap::new(),
            digests: IndexMap::new(),
        };
        let view = Arc::new(inner.view());
        Self {
            inner: Mutex::new(inner),
            view: watch::Sender::new(view),
            newest: watch::Sender::new(None),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn change<T>(&self, f: impl FnOnce(&mut Inner) -> T) -> T {
        let mut inner = self.lock();
        let result = f(&mut inner);
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

    /// The current view.
    pub fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// Follows the view.
    pub fn watch(&self) -> watch::Receiver<Arc<View>> {
        self.view.subscribe()
    }

    /// Follows which peer is known to have a newer revision in force.
    pub fn watch_newest(&self) -> watch::Receiver<Option<(Revision, InstanceName)>> {
        self.newest.subscribe()
    }

    /// The own node as it presents itself.
    pub fn own(&self) -> MemberUpdate {
        self.lock().own.clone()
    }

    /// Whether `incarnation` is one that this process has gone by.
    pub fn is_own_incarnation(&self, incarnation: Incarnation) -> bool {
        self.lock().lives.contains(&incarnation)
    }

    /// Marks the own node as leaving.
    pub fn set_leaving(&self) {
        self.change(|inner| {
            if !inner.own.leaving {
                inner.own.leaving = true;
                inner.own.refutation += 1;
                inner.own_sent = 0;
            }
        });
    }

    /// Records the own revision in force.
    pub fn set_revision(&self, revision: Revision) {
        self.lock().revision = revision;
    }

    /// Where peers reach a node.
    pub fn peer_address(&self, name: &InstanceName) -> Option<SocketAddr> {
        self.lock().members.get(name).map(|m| m.news.peer)
    }

    /// Takes in the platform's instance list; returns the nodes that were not known before.
    pub fn apply_list(&self, list: &[ListedInstance]) -> Vec<InstanceName> {
        self.change(|inner| inner.apply_list(list))
    }

    /// Takes in what a peer says; call for every gossip received.
    pub fn merge_gossip(&self, gossip: &Gossip) {
        self.change(|inner| {
            inner.learn(&gossip.own);
            for update in &gossip.updates {
                inner.learn(update);
            }
            for digest in &gossip.digests {
                inner.learn_digest(digest);
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

    /// What to tell a peer.
    pub fn gossip(&self) -> Gossip {
        self.lock().gossip()
    }

    /// Records that a node did not answer.
    pub fn suspect(&self, name: &InstanceName) {
        self.downgrade(name, Liveness::Suspect);
    }

    /// Records that a node's process is gone.
    pub fn failed(&self, name: &InstanceName) {
        self.downgrade(name, Liveness::Failed);
    }

    fn downgrade(&self, name: &InstanceName, to: Liveness) {
        self.change(|inner| match inner.members.get(name) {
            Some(m) if m.news.liveness < to => {
                let liveness = to;
                let news = MemberUpdate {
                    liveness,
                    ..m.news.clone()
                };
                inner.learn(&news);
            }
            _ => (),
        });
    }

    /// Turns long suspicion into failure and forgets old failures.
    pub fn expire(&self, suspicion: Duration) {
        self.change(|inner| inner.expire(suspicion));
    }

    /// Names of all nodes worth a probe.
    pub fn probe_candidates(&self) -> Vec<InstanceName> {
        let inner = self.lock();
        inner.members.keys().cloned().collect()
    }

    /// Publishes the digest of an owned shard, if it says something new or the last one is
    /// about to be forgotten.
    pub fn publish_digest(&self, digest: Digest) {
        let mut inner = self.lock();
        let same = inner.digests.get(&digest.shard).is_some_and(|k| {
            let known = Digest {
                sequence: digest.sequence,
                ..k.digest.clone()
            };
            known == digest && k.at.elapsed() < DIGEST_LIFETIME / 2
        });
        if !same {
            inner.learn_digest(&digest);
        }
    }

    /// The last digest of a shard, if it is recent.
    pub fn digest(&self, shard: &ShardId) -> Option<Digest> {
        let inner = self.lock();
        let known = inner.digests.get(shard);
        let fresh = known.filter(|k| k.at.elapsed() < DIGEST_LIFETIME);
        fresh.map(|k| k.digest.clone())
    }

    /// Number of members and digests held, for the capacity figures.
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
            .filter(|m| m.news.liveness < Liveness::Failed);
        let mut members: IndexMap<_, _> = alive
            .map(|m| {
                let leaving = m.news.leaving || m.list_leaving;
                let news = MemberUpdate {
                    leaving,
                    liveness: Liveness::Alive,
                    refutation: 0,
                    ..m.news.clone()
                };
                (news.name.clone(), news)
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
                    m.list_leaving = listed.leaving;
                    // Nothing was heard of it yet, and another list may have said less.
                    if m.news.incarnation == Incarnation(0) && m.news.cpu_milli < listed.cpu_milli {
                        m.news.cpu_milli = listed.cpu_milli;
                        m.news.zone = listed.zone.clone();
                    }
                }
                None => {
                    fresh.push(listed.name.clone());
                    self.insert(first_news(listed), listed.leaving, true);
                }
            }
        }
        // A node that the list does not show is not forgotten here: the list lags. It goes
        // when it stops answering.
        fresh
    }

    fn insert(&mut self, news: MemberUpdate, list_leaving: bool, listed: bool) {
        let since = Instant::now();
        let member = Member {
            news,
            since,
            sent: 0,
            listed,
            list_leaving,
        };
        self.members.insert(member.news.name.clone(), member);
    }

    fn learn(&mut self, news: &MemberUpdate) {
        if news.name == self.own.name {
            return self.learn_of_self(news);
        }
        match self.members.get_mut(&news.name) {
            Some(m) if precedence(news) > precedence(&m.news) => {
                // The list's mark belongs to the life that it was made for.
                m.list_leaving &= news.incarnation == m.news.incarnation;
                m.news = news.clone();
                m.since = Instant::now();
                m.sent = 0;
            }
            Some(_) => (),
            None if news.liveness == Liveness::Failed => (),
            None => self.insert(news.clone(), false, false),
        }
    }

    fn learn_of_self(&mut self, news: &MemberUpdate) {
        if news.incarnation > self.own.incarnation {
            // An earlier life had a faster clock; outrank it.
            self.own.incarnation = Incarnation(news.incarnation.0 + 1);
            self.lives.push(self.own.incarnation);
            self.own_sent = 0;
        } else if news.incarnation == self.own.incarnation
            && news.liveness > Liveness::Alive
            && news.refutation >= self.own.refutation
        {
            self.own.refutation = news.refutation + 1;
            self.own_sent = 0;
        }
    }

    fn learn_digest(&mut self, digest: &Digest) {
        let known = self.digests.get(&digest.shard);
        let stale = known.is_some_and(|k| {
            k.digest.owner == digest.owner && k.digest.sequence >= digest.sequence
        });
        if !stale {
            let at = Instant::now();
            let known = KnownDigest {
                digest: digest.clone(),
                at,
                sent: 0,
            };
            self.digests.insert(digest.shard.clone(), known);
        }
    }

    fn gossip(&mut self) -> Gossip {
        // Each piece goes out a number of times that is logarithmic in the number of nodes.
        let most = 4 * (usize::BITS - self.members.len().leading_zeros()).max(1);
        let mut fresh: Vec<_> = self
            .members
            .values_mut()
            .filter(|m| m.sent < most)
            .collect();
        fresh.sort_by_key(|m| m.sent);
        fresh.truncate(MAX_UPDATES);
        let updates = fresh.into_iter().map(|m| {
            m.sent += 1;
            m.news.clone()
        });
        let updates = updates.collect();
        let mut fresh: Vec<_> = self
            .digests
            .values_mut()
            .filter(|k| k.sent < most)
            .collect();
        fresh.sort_by_key(|k| k.sent);
        fresh.truncate(MAX_DIGESTS);
        let digests = fresh.into_iter().map(|k| {
            k.sent += 1;
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
        let late = |m: &&mut Member| {
            m.news.liveness == Liveness::Suspect && m.since.elapsed() >= suspicion
        };
        for m in self.members.values_mut().filter(late) {
            m.news.liveness = Liveness::Failed;
            m.since = Instant::now();
            m.sent = 0;
        }
        self.members.retain(|_, m| {
            let remembered = m.listed || m.since.elapsed() < FAILED_RETENTION;
            m.news.liveness < Liveness::Failed || remembered
        });
        self.digests.retain(|_, k| k.at.elapsed() < DIGEST_LIFETIME);
    }
}

fn precedence(news: &MemberUpdate) -> (Incarnation, u32, Liveness, bool) {
    (
        news.incarnation,
        news.refutation,
        news.liveness,
        news.leaving,
    )
}

fn first_news(listed: &ListedInstance) -> MemberUpdate {
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

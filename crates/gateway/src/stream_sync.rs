//! Shares between nodes which software version began each stream.
//!
//! Callers take broken streams up at any node, within milliseconds. While targets of several versions serve a
//! pool, each node tells three others of the streams that begin there: the owners of the stream's
//! partition, by rendezvous hashing. The first of them writes these to the store in batches, in case that
//! all nodes are lost; a node that has just started reads them when it is asked for a stream that nobody
//! knows. While there is one version, nothing is told or written, but owners are asked, as they may know of
//! another version that this node has missed.

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use futures_util::stream::{FuturesUnordered, StreamExt};
use indexmap::{IndexMap, IndexSet};
use log::{debug, info, warn};
use rwd_peer::{Directory, Exchange, Links, rank};
use rwd_placement::{
    Origin, OwnerReply, STREAM_LIFETIME_MS, ServedVersion, StreamKey, StreamLedger, Timestamp,
    Version, resolve,
};
use rwd_timer::Timer;
use rwd_types::{Incarnation, InstanceName, PoolName};
use rwd_wire::Message;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};

use crate::clock::UnixClock;
use crate::{
    Batch, Feed, Record, Store, StoreError, StoreReplica, StoredStreams, StoredVersion,
    StoredVersions, clock,
};

/// Number of partitions of all streams, by the least number of nodes. The first owner of each writes to the
/// store, and a single node can serve the streams of a small cluster.
const PARTITIONS: [(usize, u64); 4] = [(256, 16), (128, 8), (32, 4), (0, 1)];
/// Nodes that know the streams of a partition, beside those where they began.
const OWNERS: usize = 3;
/// How long streams are collected before other nodes are told of them.
const BATCH_PERIOD: Duration = Duration::from_millis(30);
/// Period of checking whether owners or versions have changed.
const CHECK_PERIOD: Duration = Duration::from_millis(500);
/// Period of a writer's calls to the store, in milliseconds. What began since is unknown after a loss of all
/// nodes, and streams in progress are seldom older than a second.
const WRITE_PERIOD_MS: u64 = 100;
/// Number of a node's records in the store; the next one replaces the oldest.
const STORED_RECORDS: u64 = 200;
/// Maximum streams in one record.
const MAX_RECORD_STREAMS: usize = 8192;
/// Age up to which new owners are told of a stream, in milliseconds: it has ended by then.
const RETELL_MS: f64 = 20_000.0;
/// How long an owner keeps streams that another one should have written, in milliseconds: longer than it takes
/// to find out that the other one is lost.
const KEEP_UNWRITTEN_MS: f64 = 15_000.0;
/// Pause before streams are written again that could not be written.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Timeout of a store call.
const STORE_TIMEOUT: Duration = Duration::from_millis(900);
/// How long an owner may take to reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a take-up waits for a list of targets that was read after it, if no owner replies, in milliseconds.
const MAX_FRESH_WAIT_MS: f64 = 1500.0;
/// Pause before owners and list are tried again meanwhile.
const FRESH_PERIOD: Duration = Duration::from_millis(100);
/// How long further owners may take once one has replied.
const OTHER_REPLIES: Duration = Duration::from_millis(60);
/// Pause before owners are asked once more: news of a stream that has just begun may be on the way.
const ASK_AGAIN: Duration = Duration::from_millis(150);
/// Pause before the store is read again after a failure.
const LOAD_PAUSE_MS: f64 = 1000.0;

type Owners = Vec<(InstanceName, Incarnation)>;

/// Reads the streams that the store keeps.
pub(crate) type ReadStreams =
    Box<dyn Fn() -> BoxFuture<'static, Result<Batch, StoreError>> + Send + Sync>;

/// Reads the streams that `store` keeps.
pub(crate) fn read_streams<S: Store>(store: Arc<S>) -> ReadStreams {
    Box::new(move || {
        let store = store.clone();
        async move { store.newest(Feed::Streams, STORE_TIMEOUT).await }.boxed()
    })
}

#[derive(Default)]
struct Inner {
    // Streams that began at this node.
    own: StreamLedger,
    // Those of them that new owners are told of, and when they were sent to their targets.
    recent: IndexMap<StreamKey, (Origin, Timestamp)>,
    // Streams that other nodes or the store told of.
    told: StreamLedger,
    // Streams of this node that each owner is still to be told of.
    untold: IndexMap<InstanceName, IndexMap<StreamKey, Origin>>,
    // Messages to owners that are not acknowledged yet.
    telling: usize,
    // Streams that the first owner of their partition still has to write, and since when they are known. The
    // other owners keep them for as long as they may become the first one.
    unwritten: IndexMap<StreamKey, (Origin, Timestamp)>,
    // Pools whose streams have to be told apart.
    mixed: IndexSet<PoolName>,
    owners: Vec<Owners>,
    // What the store knows of the versions of each pool.
    stored: IndexMap<PoolName, StoredVersions>,
    loaded: bool,
    loaded_at: Option<Timestamp>,
}

/// One node's knowledge of which versions began streams.
pub(crate) struct StreamSync {
    own: InstanceName,
    peer: SocketAddr,
    directory: Arc<Directory>,
    links: Arc<Links>,
    replica: Arc<StoreReplica>,
    read_streams: ReadStreams,
    unix: UnixClock,
    started: Timestamp,
    inner: Mutex<Inner>,
    // Held while the store is read, so that all callers that ask meanwhile wait for it.
    loading: tokio::sync::Mutex<()>,
    has_news: Notify,
    // Streams that are still to be told, or acknowledged, and those that this node still has to write.
    untold: watch::Sender<usize>,
    unwritten: watch::Sender<usize>,
}

impl StreamSync {
    pub fn new(
        own: InstanceName,
        peer: SocketAddr,
        directory: Arc<Directory>,
        links: Arc<Links>,
        replica: Arc<StoreReplica>,
        read_streams: ReadStreams,
    ) -> Self {
        Self {
            own,
            peer,
            directory,
            links,
            replica,
            read_streams,
            unix: UnixClock::start(),
            started: clock::now(),
            inner: Mutex::default(),
            loading: tokio::sync::Mutex::default(),
            has_news: Notify::new(),
            untold: watch::Sender::new(0),
            unwritten: watch::Sender::new(0),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// The number of streams that other nodes are still to be told of.
    pub fn untold(&self) -> watch::Receiver<usize> {
        self.untold.subscribe()
    }

    /// The number of streams that this node still has to write.
    pub fn unwritten(&self) -> watch::Receiver<usize> {
        self.unwritten.subscribe()
    }

    fn update_untold(&self) {
        let inner = self.lock();
        let untold = inner.untold.values().map(IndexMap::len);
        let count = untold.sum::<usize>() + inner.telling;
        self.untold.send_replace(count);
    }

    /// Records which version began a stream of this node.
    pub fn record(&self, pool: &PoolName, key: StreamKey, origin: Origin) {
        let now = clock::now();
        let mut inner = self.lock();
        if !inner.own.record(key, origin.clone(), now) {
            return;
        }
        inner.recent.insert(key, (origin.clone(), now));
        if inner.mixed.contains(pool) {
            inner.tell(key, &origin);
            drop(inner);
            self.update_untold();
            self.has_news.notify_one();
        }
    }

    /// Which version began a stream of a pool; none if nothing is known of it and there may be several.
    pub async fn origin(&self, pool: &PoolName, key: Option<StreamKey>) -> Option<Origin> {
        let Some(key) = key else {
            return self.replica.sole_version(pool).map(Origin::Version);
        };
        if let Some(origin) = self.known(key) {
            return Some(origin);
        }
        let asked = clock::now();
        if let Some(origin) = self.ask_owners(pool, key, asked).await {
            return Some(origin);
        }
        if self.is_young() {
            self.load().await;
        }
        if let Some(origin) = self.known(key) {
            return Some(origin);
        }
        sleep(ASK_AGAIN).await;
        loop {
            let origin = self.ask_owners(pool, key, asked).await;
            let may_wait = self.replica.sole_version(pool).is_some();
            if origin.is_some() || !may_wait || clock::now() - asked >= MAX_FRESH_WAIT_MS {
                return origin;
            }
            sleep(FRESH_PERIOD).await;
        }
    }

    // Whether the list of targets was read after `since`.
    fn is_list_fresh(&self, since: Timestamp) -> bool {
        self.replica.targets_age_ms() < clock::now() - since
    }

    fn known(&self, key: StreamKey) -> Option<Origin> {
        let now = clock::now();
        let mut inner = self.lock();
        let own = inner.own.origin(key, now);
        own.or_else(|| inner.told.origin(key, now))
    }

    // The nodes that know the streams of a partition, best first.
    fn owners_of(&self, partition: u64) -> Owners {
        let view = self.directory.view();
        let ranked = rank(partition, view.candidates()).into_iter().take(OWNERS);
        ranked.map(|m| (m.name.clone(), m.incarnation)).collect()
    }

    fn partitions(&self) -> u64 {
        let nodes = self.directory.view().members.len();
        let fitting = PARTITIONS.iter().find(|(least, _)| nodes >= *least);
        fitting.map_or(1, |(_, count)| *count)
    }

    // Asks the owners of a stream, and decides by their replies and the versions that this node knows.
    async fn ask_owners(
        &self,
        pool: &PoolName,
        key: StreamKey,
        since: Timestamp,
    ) -> Option<Origin> {
        let owners = self.owners_of(key.0 % self.partitions()).into_iter();
        let others = owners.filter(|(name, _)| *name != self.own);
        let mut asked: FuturesUnordered<_> = others
            .map(|(name, _)| async move {
                let pool = pool.clone();
                let request = Message::AskStream { pool, key };
                match self.links.ask(&name, &request, REPLY_TIMEOUT).await {
                    Ok(Message::StreamOrigin(reply)) => Some(reply),
                    Ok(_) => None,
                    Err(e) => {
                        debug!(peer:% = name, error:% = e; "cannot ask for a stream");
                        None
                    }
                }
            })
            .collect();
        let mut replies = Vec::new();
        // An owner that has been lost must not hold up the caller.
        let mut limit = REPLY_TIMEOUT;
        while let Ok(Some(reply)) = timeout(limit, asked.next()).await {
            let Some(reply) = reply else {
                continue;
            };
            let is_found = reply.origin.is_some();
            replies.push(reply);
            if is_found {
                break;
            }
            limit = OTHER_REPLIES;
        }
        let sole = self.replica.sole_version(pool);
        resolve(sole.as_ref(), self.is_list_fresh(since), &replies)
    }

    // Reads the streams that the store keeps, once in the life of a process.
    async fn load(&self) {
        let _loading = self.loading.lock().await;
        let now = clock::now();
        {
            let mut inner = self.lock();
            let is_recent = inner.loaded_at.is_some_and(|t| now - t < LOAD_PAUSE_MS);
            if inner.loaded || is_recent {
                return;
            }
            inner.loaded_at = Some(now);
        }
        let batch = match (self.read_streams)().await {
            Ok(batch) => batch,
            Err(e) => {
                warn!(event = "streams", error:% = e; "cannot read the streams that began before this node started");
                return;
            }
        };
        let mut count = 0;
        let mut inner = self.lock();
        for record in batch.records {
            match record {
                Record::Streams(stored) if self.is_recent(stored.at_ms) => {
                    for (version, keys) in stored.streams {
                        for key in keys {
                            count += 1;
                            let origin = Origin::Version(version.clone());
                            inner.told.record(StreamKey(key), origin, now);
                        }
                    }
                }
                Record::Unreadable { key, reason } => {
                    warn!(event = "streams", key:%, reason:%; "unreadable entry");
                }
                _ => (),
            }
        }
        inner.loaded = true;
        drop(inner);
        info!(event = "streams", count; "read the streams that began before this node started");
    }

    // Whether streams that began before this process may still be taken up.
    fn is_young(&self) -> bool {
        clock::now() - self.started < STREAM_LIFETIME_MS
    }

    fn is_recent(&self, at_ms: f64) -> bool {
        self.unix.age_ms(at_ms, clock::now()) < STREAM_LIFETIME_MS
    }

    /// Tells the owners of the streams that begin at this node, until the task is dropped.
    pub async fn tell(self: Arc<Self>, timer: Timer) {
        let mut ticks = timer.every(CHECK_PERIOD);
        let mut changes = self.replica.watch();
        loop {
            tokio::select! {
                () = self.has_news.notified() => sleep(BATCH_PERIOD).await,
                () = ticks.tick() => self.check_owners(),
                Ok(()) = changes.changed() => (),
            }
            if self.check_versions() && self.is_young() {
                let this = self.clone();
                tokio::spawn(async move { this.load().await });
            }
            self.tell_owners();
        }
    }

    // Tells all streams of this node once they have to be told apart. Returns whether those of another pool
    // have to be.
    fn check_versions(&self) -> bool {
        let mixed = self.replica.mixed_pools();
        let mut inner = self.lock();
        if mixed == inner.mixed {
            return false;
        }
        info!(event = "versions", pools = mixed.len(); "pools whose targets are of several versions");
        let is_more = mixed.iter().any(|pool| !inner.mixed.contains(pool));
        if is_more {
            inner.owners.clear();
        }
        inner.mixed = mixed;
        drop(inner);
        self.check_owners();
        is_more
    }

    // Tells owners that are new, or have started anew, of the streams of their partitions.
    fn check_owners(&self) {
        let now = clock::now();
        {
            let mut inner = self.lock();
            let began = |at: Timestamp| now - at < RETELL_MS;
            inner.recent.retain(|_, (_, at)| began(*at));
            if inner.mixed.is_empty() && inner.unwritten.is_empty() {
                return;
            }
        }
        let owners: Vec<_> = (0..self.partitions()).map(|p| self.owners_of(p)).collect();
        let mut inner = self.lock();
        if owners == inner.owners {
            return;
        }
        let before = std::mem::replace(&mut inner.owners, owners);
        inner.retell(&before);
        drop(inner);
        self.update_untold();
    }

    fn tell_owners(self: &Arc<Self>) {
        let untold = std::mem::take(&mut self.lock().untold);
        for (name, streams) in untold {
            match name == self.own {
                true => self.learn(streams),
                // An owner that does not reply must not delay the others.
                false => {
                    self.lock().telling += 1;
                    tokio::spawn(self.clone().tell_owner(name, streams));
                }
            }
        }
        self.update_untold();
    }

    async fn tell_owner(self: Arc<Self>, name: InstanceName, streams: IndexMap<StreamKey, Origin>) {
        let list = streams.iter().map(|(k, o)| (*k, o.clone())).collect();
        let message = Message::Streams(list);
        let told = self.links.ask(&name, &message, REPLY_TIMEOUT).await;
        let mut inner = self.lock();
        inner.telling -= 1;
        let mut owners = inner.owners.iter().flatten();
        let is_owner = owners.any(|(owner, _)| *owner == name);
        if let Err(e) = told {
            debug!(peer:% = name, error:% = e; "cannot tell of streams");
            // Told again with the next check, unless it is no owner any more.
            if is_owner {
                inner.untold.entry(name).or_default().extend(streams);
            }
        }
        drop(inner);
        self.update_untold();
    }

    // Records streams of other nodes.
    fn learn(&self, streams: IndexMap<StreamKey, Origin>) {
        let now = clock::now();
        let mut inner = self.lock();
        let mut is_own = false;
        for (key, origin) in streams {
            if inner.told.record(key, origin.clone(), now) {
                is_own |= inner.writes(key, &self.own);
                inner.unwritten.insert(key, (origin, now));
            }
        }
        drop(inner);
        if is_own {
            self.unwritten.send_modify(|count| *count += 1);
        }
    }

    // The streams that this node has to write, as the first owner of their partitions.
    fn own_unwritten(&self) -> IndexMap<StreamKey, Origin> {
        let inner = self.lock();
        let unwritten = inner.unwritten.iter();
        let own = unwritten.filter(|(key, _)| inner.writes(**key, &self.own));
        let own = own.take(MAX_RECORD_STREAMS);
        own.map(|(key, (origin, _))| (*key, origin.clone()))
            .collect()
    }

    /// Replies to a node that tells of its streams.
    ///
    /// # Errors
    ///
    /// Fails when the exchange breaks.
    pub async fn serve_streams(
        &self,
        streams: Vec<(StreamKey, Origin)>,
        mut ex: Exchange,
    ) -> rwd_peer::Result<()> {
        self.learn(streams.into_iter().collect());
        ex.send_last(&Message::UpToDate).await
    }

    /// Replies to a node that asks for a stream.
    ///
    /// # Errors
    ///
    /// Fails when the exchange breaks.
    pub async fn serve_ask(
        &self,
        pool: &PoolName,
        key: StreamKey,
        mut ex: Exchange,
    ) -> rwd_peer::Result<()> {
        let reply = OwnerReply {
            origin: self.known(key),
            versions: self.replica.versions(pool),
        };
        ex.send_last(&Message::StreamOrigin(reply)).await
    }

    /// Writes streams to the store, until the task is dropped. After a restore of the store, all are written
    /// again.
    pub async fn write_streams<S: Store>(self: Arc<Self>, store: Arc<S>, timer: Timer) {
        let mut ticks = timer.every(Duration::from_millis(WRITE_PERIOD_MS));
        let mut era = self.replica.store_era();
        loop {
            ticks.tick().await;
            let latest = self.replica.store_era();
            if era.is_some() && era < latest {
                let mut inner = self.lock();
                let now = clock::now();
                let told: Vec<_> = inner
                    .told
                    .all()
                    .map(|(k, o)| (k, (o.clone(), now)))
                    .collect();
                inner.unwritten.extend(told);
            }
            era = latest;
            if !self.write_batch(&*store).await {
                sleep(RETRY_PAUSE).await;
            }
        }
    }

    // Returns whether the store has taken what there was to write.
    async fn write_batch<S: Store>(&self, store: &S) -> bool {
        let now = clock::now();
        {
            let mut inner = self.lock();
            let written = |since: Timestamp| now - since >= KEEP_UNWRITTEN_MS;
            inner.unwritten.retain(|_, (_, since)| !written(*since));
            if inner.unwritten.is_empty() {
                return true;
            }
        }
        let batch = self.own_unwritten();
        if batch.is_empty() {
            return true;
        }
        let at_ms = self.unix.unix_ms(0.0, now);
        let mut streams: IndexMap<Version, Vec<u64>> = IndexMap::new();
        for (key, origin) in &batch {
            if let Origin::Version(version) = origin {
                streams.entry(version.clone()).or_default().push(key.0);
            }
        }
        let slot = (at_ms as u64 / WRITE_PERIOD_MS) % STORED_RECORDS;
        let stored = StoredStreams { at_ms, streams };
        let written = store.record_streams(self.peer, slot, &stored, STORE_TIMEOUT);
        let result = written.await;
        match &result {
            Ok(()) => {
                let mut inner = self.lock();
                inner.unwritten.retain(|key, _| !batch.contains_key(key));
            }
            // Written with the next ones.
            Err(e) => {
                debug!(error:% = e, count = batch.len(); "cannot write streams to the store");
            }
        }
        let count = self.own_unwritten().len();
        self.unwritten.send_replace(count);
        result.is_ok()
    }

    /// Takes in the versions that the store knows to have served.
    pub fn restore_versions(&self, stored: Vec<StoredVersions>) {
        let now = clock::now();
        let age_ms = |v: &StoredVersion| v.last_ms.map_or(0.0, |ms| self.unix.age_ms(ms, now));
        let served = stored.iter().flat_map(|s| {
            s.versions.iter().map(|v| ServedVersion {
                pool: s.pool.clone(),
                version: v.version.clone(),
                age_ms: age_ms(v),
            })
        });
        let served: Vec<_> = served.collect();
        self.replica.learn_served(&served);
        let mut inner = self.lock();
        for s in stored {
            inner.stored.insert(s.pool.clone(), s);
        }
    }

    /// Writes the versions that serve to the store while this node reads it, until the task is dropped.
    pub async fn write_versions<S: Store>(
        self: Arc<Self>,
        store: Arc<S>,
        reads: watch::Receiver<bool>,
        timer: Timer,
    ) {
        let mut changes = self.replica.watch();
        let mut retries = timer.every(Duration::from_secs(1));
        let mut era = self.replica.store_era();
        let mut all_written = true;
        loop {
            tokio::select! {
                Ok(()) = changes.changed() => (),
                () = retries.tick(), if !all_written => (),
            }
            let latest = self.replica.store_era();
            if era.is_some() && era < latest {
                self.lock().stored.clear();
            }
            era = latest;
            if *reads.borrow() && self.replica.knows_served() {
                all_written = self.write_changed_versions(&*store).await;
            }
        }
    }

    // Returns whether the store knows the present versions.
    async fn write_changed_versions<S: Store>(&self, store: &S) -> bool {
        let now = clock::now();
        let mut all_written = true;
        for (pool, listed) in self.replica.listed_versions() {
            let served = self.replica.served_versions();
            let served = served.into_iter().flatten().filter(|v| v.pool == pool);
            let versions = served.map(|v| StoredVersion {
                last_ms: match listed.contains(&v.version) {
                    true => None,
                    false => Some(self.unix.unix_ms(v.age_ms, now)),
                },
                version: v.version,
            });
            let versions: Vec<_> = versions.collect();
            let is_known = self.lock().stored.get(&pool).is_some_and(|s| {
                let known = s.versions.iter().filter(|v| v.last_ms.is_none());
                let known: IndexSet<_> = known.map(|v| v.version.clone()).collect();
                known == listed
            });
            if is_known {
                continue;
            }
            let stored = StoredVersions {
                pool: pool.clone(),
                versions,
            };
            match store.record_versions(&stored, STORE_TIMEOUT).await {
                Ok(()) => drop(self.lock().stored.insert(pool, stored)),
                Err(e) => {
                    warn!(event = "versions_not_stored", pool:%, error:% = e; "cannot write the versions of a pool to the store");
                    all_written = false;
                }
            }
        }
        all_written
    }
}

impl Inner {
    // Whether a node is the first owner of a stream's partition.
    fn writes(&self, key: StreamKey, own: &InstanceName) -> bool {
        let first = self.owners(key).first();
        first.is_some_and(|(name, _)| name == own)
    }

    fn owners(&self, key: StreamKey) -> &[(InstanceName, Incarnation)] {
        let count = self.owners.len().max(1) as u64;
        let owners = self.owners.get((key.0 % count) as usize);
        owners.map_or(&[], Vec::as_slice)
    }

    fn tell(&mut self, key: StreamKey, origin: &Origin) {
        for (name, _) in self.owners(key).to_vec() {
            let streams = self.untold.entry(name).or_default();
            streams.insert(key, origin.clone());
        }
    }

    // Tells owners that were none `before` of all streams that may still be taken up.
    fn retell(&mut self, before: &[Owners]) {
        let same_partitions = before.len() == self.owners.len();
        let owners = std::mem::take(&mut self.owners);
        let count = owners.len().max(1) as u64;
        for (partition, owners) in (0..).zip(&owners) {
            let before = before.get(partition as usize).filter(|_| same_partitions);
            let is_new = |owner: &&(InstanceName, Incarnation)| {
                before.is_none_or(|before| !before.contains(owner))
            };
            for (name, _) in owners.iter().filter(is_new) {
                let streams = self.recent.iter();
                let streams = streams.filter(|(key, _)| key.0 % count == partition);
                for (key, (origin, _)) in streams {
                    let untold = self.untold.entry(name.clone()).or_default();
                    untold.insert(*key, origin.clone());
                }
            }
        }
        self.owners = owners;
    }
}

/// Waits until there are none left; returns whether that is so within `limit`.
pub(crate) async fn await_none(mut count: watch::Receiver<usize>, limit: Duration) -> bool {
    let none = count.wait_for(|count| *count == 0);
    matches!(timeout(limit, none).await, Ok(Ok(_)))
}

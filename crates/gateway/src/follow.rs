//! Reads the store: configuration, registry of targets, list of nodes.

use log::{info, warn};
use rand::RngExt;
use rwd_metrics::{Metrics, label};
use rwd_peer::{Directory, ListedInstance};
use rwd_placement::Timestamp;
use rwd_timer::Timer;
use rwd_types::StoreEra;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

use crate::crash_sync::CrashGuard;
use crate::limits::Limiter;
use crate::settings::instance_name;
use crate::source::{
    CALL_TIMEOUT, CONFIG_WAIT, CONFIRM_WAIT, MAX_PAUSE, MIN_PAUSE, REPEATED_CALLS, SyncTiming,
    TARGETS_PERIOD,
};
use crate::stream_sync::StreamSync;
use crate::{
    Feed, GatewaySettings, ListedNode, Position, Record, Store, StoreError, StoreReplica, clock,
};

/// Time over which all nodes announce themselves again after a restore of the store, in milliseconds;
/// with the largest number of nodes, well below the store's limit of writes per second.
const REANNOUNCE_SPREAD_MS: f64 = 2000.0;
/// Poll interval of the list of nodes while no other node is known.
const NODES_PERIOD: Duration = Duration::from_secs(2);

/// Exponential backoff between failed calls.
struct Backoff(Duration);

impl Backoff {
    fn reset(&mut self) {
        self.0 = MIN_PAUSE;
    }

    async fn pause(&mut self) {
        tokio::time::sleep(self.0).await;
        self.0 = (self.0 * 2).min(MAX_PAUSE);
    }
}

impl Default for Backoff {
    fn default() -> Self {
        Self(MIN_PAUSE)
    }
}

/// What a task needs to read a feed of the store.
pub(crate) struct FeedReader<S> {
    pub store: Arc<S>,
    pub replica: Arc<StoreReplica>,
    pub limiter: Arc<Limiter>,
    pub metrics: Arc<Metrics>,
    /// Whether this node reads the store.
    pub reads: watch::Receiver<bool>,
}

/// Tracks whether the store is reachable, logs each transition once, and tells followers.
struct StoreHealth<S> {
    feed: Feed,
    cx: FeedReader<S>,
    unreachable: bool,
    // Calls in a row that failed.
    failed: u32,
    last_success: Timestamp,
}

impl<S: Store> StoreHealth<S> {
    fn new(feed: Feed, cx: FeedReader<S>) -> Self {
        Self {
            feed,
            cx,
            unreachable: false,
            failed: 0,
            last_success: clock::now(),
        }
    }

    // Awaits a call of the store whose reply may take `wait`. Followers are told when the reply is
    // late, and look for another reader before the call's own timeout.
    async fn watch_call<T>(&self, wait: Duration, call: impl Future<Output = T>) -> T {
        tokio::pin!(call);
        let reply = SyncTiming::new(&self.cx.limiter.bounds()).reply;
        let mut limit = wait + reply;
        loop {
            let before = self.cx.store.received(self.feed);
            if let Ok(result) = tokio::time::timeout(limit, &mut call).await {
                return result;
            }
            // A large response takes long over a slow link.
            if self.cx.store.received(self.feed) == before {
                info!(event = "store_late", feed:% = self.feed, waited_ms = limit.as_millis() as u64; "no reply of the store yet");
                self.cx.replica.record_access(self.feed, true);
                return call.await;
            }
            limit = reply;
        }
    }

    // Waits until this node is a reader; returns whether it had to wait. The time spent waiting
    // does not count as an outage of the store.
    async fn wait_until_reader(&mut self) -> bool {
        if *self.cx.reads.borrow() {
            return false;
        }
        if self.cx.reads.wait_for(|reads| *reads).await.is_err() {
            // The sender is dropped only when the node shuts down.
            std::future::pending::<()>().await;
        }
        self.failed = 0;
        self.last_success = clock::now();
        true
    }

    fn record_success(&mut self, at: Timestamp) {
        let away_ms = at - self.last_success;
        self.cx.replica.record_access(self.feed, false);
        if self.unreachable {
            info!(event = "store_back", feed:% = self.feed, away_ms; "store is reachable again");
        }
        self.unreachable = false;
        self.failed = 0;
        self.last_success = at;
    }

    fn record_failure(&mut self, e: &StoreError) {
        self.failed += 1;
        if self.failed > REPEATED_CALLS {
            self.cx.replica.record_access(self.feed, true);
        }
        let labels = [label("feed", self.feed)];
        self.cx.metrics.store_reads_failed.add(1, &labels);
        if !self.unreachable {
            warn!(event = "store_lost", feed:% = self.feed, error:% = e; "store is unreachable");
        }
        self.unreachable = true;
    }
}

// A long poll that timed out without records saw the end of the log only when its wait ended.
fn confirmed_at(requested_at: Timestamp, wait: Duration, was_empty: bool) -> Timestamp {
    let waited = requested_at + wait.as_secs_f64() * 1000.0;
    match was_empty && clock::now() >= waited {
        true => waited,
        false => requested_at,
    }
}

// Whether records read from `from` on are of a later era than that. They do not follow those before
// `from`: the records between may have changed.
fn was_restored(replica: &StoreReplica, from: Option<Position>, next: Position) -> bool {
    replica.observe_era(next.era);
    from.is_some_and(|from| from.era != next.era)
}

/// Keeps the configuration up to date until the task is dropped.
pub(crate) async fn configuration<S: Store>(cx: FeedReader<S>) {
    let (store, replica) = (cx.store.clone(), cx.replica.clone());
    let mut health = StoreHealth::new(Feed::Configuration, cx);
    let mut backoff = Backoff::default();
    let mut next: Option<Position> = None;
    let mut wait = CONFIG_WAIT;
    loop {
        if health.wait_until_reader().await {
            next = None;
            backoff.reset();
        }
        // Taken before the call: the response reflects the store at this time or later.
        let requested_at = clock::now();
        let result = match next {
            None => {
                let call = store.newest(Feed::Configuration, CALL_TIMEOUT);
                health.watch_call(Duration::ZERO, call).await
            }
            Some(from) => {
                let timeout = wait + CALL_TIMEOUT;
                let call = store.read(Feed::Configuration, from, wait, timeout);
                health.watch_call(wait, call).await
            }
        };
        match result {
            Ok(batch) if was_restored(&replica, next, batch.next) => next = None,
            Ok(batch) => {
                health.record_success(requested_at);
                backoff.reset();
                let mut readable = true;
                let was_empty = next.is_some() && batch.records.is_empty();
                for record in batch.records {
                    match record {
                        Record::Catalog(catalog) => replica.apply_catalog(*catalog),
                        Record::Unreadable { key, reason } => {
                            readable = false;
                            warn!(event = "config", key:%, reason:%; "unreadable configuration; keeping the last valid one");
                        }
                        Record::Rollout(pool, order) => replica.apply_order(&pool, order),
                        Record::BadRollout { key, reason } if replica.has_rollouts() => {
                            warn!(event = "rollout_order", key:%, reason:%, outcome = "invalid"; "invalid order of a roll-out; ignoring it");
                        }
                        _ => (),
                    }
                }
                next = Some(batch.next);
                if readable && replica.catalog().is_some() {
                    replica.confirm_catalog(confirmed_at(requested_at, wait, was_empty));
                }
                wait = match was_empty {
                    true => CONFIG_WAIT,
                    false => CONFIRM_WAIT,
                };
            }
            Err(StoreError::Gone) => next = None,
            Err(e) => {
                health.record_failure(&e);
                backoff.pause().await;
            }
        }
    }
}

/// Keeps the registry of targets up to date until the task is dropped.
pub(crate) async fn targets<S: Store>(cx: FeedReader<S>, timer: Timer) {
    let (store, replica) = (cx.store.clone(), cx.replica.clone());
    let mut health = StoreHealth::new(Feed::Targets, cx);
    let mut backoff = Backoff::default();
    let mut ticks = timer.every(TARGETS_PERIOD);
    let mut next: Option<Position> = None;
    // When the list is read again as a whole, after a restore of the store.
    let mut relist_at: Option<Timestamp> = None;
    loop {
        if health.wait_until_reader().await {
            next = None;
            backoff.reset();
        }
        let requested_at = clock::now();
        if relist_at.is_some_and(|at| requested_at >= at) {
            next = None;
        }
        let no_wait = Duration::ZERO;
        let result = match next {
            None => {
                let call = store.newest(Feed::Targets, CALL_TIMEOUT);
                health.watch_call(no_wait, call).await
            }
            Some(from) => {
                let call = store.read(Feed::Targets, from, no_wait, CALL_TIMEOUT);
                health.watch_call(no_wait, call).await
            }
        };
        match result {
            Ok(batch) if was_restored(&replica, next, batch.next) => next = None,
            Ok(batch) => {
                health.record_success(requested_at);
                backoff.reset();
                replica.record_store_read(requested_at);
                let after_outage = replica.is_after_outage();
                match next {
                    None => {
                        relist_at = replica.rewritten_at();
                        replica.replace_targets(batch.records, after_outage);
                    }
                    Some(_) => replica.apply_targets(batch.records, after_outage),
                }
                next = Some(batch.next);
                replica.confirm_targets(requested_at);
                let next_poll = async { ticks.tick().await };
                tokio::pin!(next_poll);
                while timeout_at_expiry(&replica, &mut next_poll).await {
                    replica.expire_missing();
                }
            }
            Err(StoreError::Gone) => next = None,
            Err(e) => {
                health.record_failure(&e);
                backoff.pause().await;
            }
        }
    }
}

// Waits for the next poll, or until a missing entry expires; returns whether one does.
async fn timeout_at_expiry(replica: &StoreReplica, next_poll: impl Future<Output = ()>) -> bool {
    match replica.next_expiry() {
        Some(at) => {
            let ms = (at - clock::now()).max(0.0);
            let limit = Duration::from_secs_f64(ms / 1000.0);
            tokio::time::timeout(limit, next_poll).await.is_err()
        }
        None => {
            next_poll.await;
            false
        }
    }
}

/// Announces one node in the store's list of nodes, and discovers others from the list and seeds.
pub(crate) struct NodeList<S> {
    pub store: Arc<S>,
    pub cfg: GatewaySettings,
    pub replica: Arc<StoreReplica>,
    pub directory: Arc<Directory>,
    pub limiter: Arc<Limiter>,
    pub crash_guard: Arc<CrashGuard>,
    pub streams: Arc<StreamSync>,
    /// Whether the list has been read.
    pub has_list: watch::Sender<bool>,
}

impl<S: Store> NodeList<S> {
    /// Runs until the task is dropped.
    pub async fn run(self, timer: Timer) {
        let mut announced = None;
        let mut ticks = timer.every(NODES_PERIOD);
        let own = self.cfg.node_entry();
        // The settings give only the addresses of seeds.
        let seeds = self.cfg.seeds.iter().map(|peer| ListedNode {
            peer: *peer,
            cpu_milli: 0,
            ..own.clone()
        });
        let seeds: Vec<_> = seeds.collect();
        apply_nodes(&self.cfg, &self.directory, &seeds);
        loop {
            // Announced before the list is read, so that nodes that start together find each other.
            announced = self.announce(&own, announced).await;
            let alone = self.directory.view().members.len() < 2;
            if alone || !*self.has_list.borrow() {
                self.read(&own, &seeds).await;
            }
            ticks.tick().await;
        }
    }

    // Adds this node's entry, unless the store has it since the era `announced`; a restored store may
    // have lost it. Returns the era in which the entry was added last.
    async fn announce(&self, own: &ListedNode, announced: Option<StoreEra>) -> Option<StoreEra> {
        match announced {
            None => (),
            Some(_) if announced < self.replica.store_era() => {
                let spread_ms = rand::rng().random_range(0.0..REANNOUNCE_SPREAD_MS);
                tokio::time::sleep(Duration::from_secs_f64(spread_ms / 1000.0)).await;
            }
            Some(_) => return announced,
        }
        match self.store.announce(own, true, CALL_TIMEOUT).await {
            Ok(era) => Some(era),
            Err(e) => {
                warn!(event = "announce", error:% = e; "cannot announce this node");
                announced
            }
        }
    }

    async fn read(&self, own: &ListedNode, seeds: &[ListedNode]) {
        let batch = match self.store.newest(Feed::Nodes, CALL_TIMEOUT).await {
            Ok(batch) => batch,
            Err(StoreError::Gone) => return,
            Err(e) => {
                warn!(event = "nodes", error:% = e; "cannot read the list of nodes");
                return;
            }
        };
        let (mut nodes, mut blocks, mut versions) = (Vec::new(), Vec::new(), Vec::new());
        for record in batch.records {
            match record {
                Record::Node(node) => nodes.push(node),
                Record::Block(block) => blocks.push(block),
                Record::Versions(of_pool) => versions.push(of_pool),
                Record::Unreadable { key, reason } => {
                    warn!(event = "nodes", key:%, reason:%; "unreadable entry");
                }
                _ => (),
            }
        }
        self.crash_guard.restore(blocks);
        self.streams.restore_versions(versions);
        for known in seeds.iter().chain([own]) {
            if nodes.iter().all(|n| n.peer != known.peer) {
                nodes.push(known.clone());
            }
        }
        if !*self.has_list.borrow() {
            self.limiter.set_listed_nodes(nodes.len());
        }
        apply_nodes(&self.cfg, &self.directory, &nodes);
        self.has_list.send_replace(true);
    }
}

fn apply_nodes(cfg: &GatewaySettings, directory: &Directory, nodes: &[ListedNode]) {
    let listed = nodes.iter().map(|node| ListedInstance {
        name: instance_name(node.peer.ip()),
        http: SocketAddr::new(node.peer.ip(), cfg.listen.requests.port()),
        peer: node.peer,
        zone: node.zone.clone(),
        leaving: false,
        cpu_milli: node.cpu_milli,
    });
    let listed: Vec<_> = listed.collect();
    directory.apply_list(&listed);
}

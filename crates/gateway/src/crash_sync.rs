//! Shares what the nodes know about requests that crash targets.
//!
//! [`CrashExchange`] decides who is told of what. Once a second each node that knows of blocks also compares
//! them with a random one, so that nodes that join or were cut off catch up.

use log::{debug, info, warn};
use rand::seq::IteratorRandom;
use rwd_peer::{Directory, Error, Exchange, Links, first_by_cpu, rank_by_cpu};
use rwd_placement::{
    Admission, BlockNews, COORDINATORS, CrashExchange, CrashNews, CrashPeers, CrashReport, Feature,
    Fingerprint, Timestamp,
};
use rwd_timer::Timer;
use rwd_types::{InstanceName, TargetName};
use rwd_wire::Message;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::clock::UnixClock;
use crate::{Store, StoreReplica, StoredBlock, clock};

/// How long news are collected before they are pushed.
const BATCH_PERIOD: Duration = Duration::from_millis(50);
/// Period of comparing with another node.
const COMPARE_PERIOD: Duration = Duration::from_secs(1);
/// Period of assessing the crashes: these count once they have settled.
const ASSESS_PERIOD: Duration = Duration::from_millis(250);
/// Timeout of a write to the store.
const WRITE_TIMEOUT: Duration = Duration::from_millis(900);
/// Pause before blocks are written again that could not be written.
const RETRY_PAUSE: Duration = Duration::from_secs(1);
/// Rendezvous key of the coordinators.
const COORDINATORS_KEY: u64 = 0x7472_6961_6c73;
/// How long a node may take to reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Default)]
struct Inner {
    exchange: CrashExchange,
    // Blocks that are not written to the store yet, if this node reads it.
    unwritten: Vec<BlockNews>,
    // Suspicions of this node that are not written to the store yet.
    suspects: Vec<BlockNews>,
}

/// A request that shows whether those like it still crash targets; the trial lasts until this is dropped.
pub(crate) struct Trial {
    guard: Arc<CrashGuard>,
    set: Vec<Feature>,
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.guard.lock().exchange.end_trial(&self.set);
    }
}

/// One node's knowledge of requests that crash targets.
pub(crate) struct CrashGuard {
    directory: Arc<Directory>,
    links: Arc<Links>,
    unix: UnixClock,
    inner: Mutex<Inner>,
    has_news: Notify,
    has_blocks: Notify,
}

impl CrashGuard {
    pub fn new(directory: Arc<Directory>, links: Arc<Links>) -> Self {
        Self {
            directory,
            links,
            unix: UnixClock::start(),
            inner: Mutex::default(),
            has_news: Notify::new(),
            has_blocks: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Whether a request may be sent; if not, the time until it may be tried, in milliseconds. `trial` is
    /// that of the request, if it is sent to try a target.
    pub fn admit(
        self: &Arc<Self>,
        features: &[Feature],
        trial: &mut Option<Trial>,
    ) -> std::result::Result<(), f64> {
        let mut inner = self.lock();
        let admission = inner
            .exchange
            .admit(features, || self.tries_requests(), clock::now());
        match admission {
            Admission::Free => Ok(()),
            // This request is the trial.
            Admission::Blocked { left_ms } if left_ms == 0.0 && trial.is_some() => Ok(()),
            Admission::Blocked { left_ms } => Err(left_ms),
            Admission::Trial(set) => {
                info!(event = "block_tried", features = names(&set); "sending one request to see whether it still crashes targets");
                // An earlier trial locks it as it ends.
                drop(inner);
                *trial = Some(Trial {
                    guard: self.clone(),
                    set,
                });
                Ok(())
            }
        }
    }

    // Whether this node is the one that tries requests after their blocks.
    fn tries_requests(&self) -> bool {
        let view = self.directory.view();
        let own = self.directory.own().name;
        first_by_cpu(COORDINATORS_KEY, view.candidates()).is_some_and(|m| m.name == own)
    }

    /// Records that a target crashed while it worked on a request.
    pub fn record_crash(
        &self,
        target: &TargetName,
        request: &str,
        features: &[Feature],
        dispatched: Timestamp,
    ) {
        let now = clock::now();
        let report = CrashReport {
            target: target.clone(),
            request: request.into(),
            features: features.to_vec(),
            dispatched_ms: now - dispatched,
            crashed_ms: 0.0,
        };
        if !self.lock().exchange.record_crash(report, now) {
            return;
        }
        self.has_news.notify_one();
        // A trial has failed before the next one begins.
        self.assess();
    }

    /// Records that a request, dispatched at `dispatched`, completed.
    pub fn record_complete(&self, features: &[Feature], dispatched: Timestamp) {
        let now = clock::now();
        let mut inner = self.lock();
        if inner.exchange.record_complete(features, dispatched, now) {
            self.has_news.notify_one();
        }
    }

    /// Adds blocks that the store has kept.
    pub fn restore(&self, blocks: Vec<StoredBlock>) {
        let now = clock::now();
        let blocked = blocks.into_iter().map(|b| BlockNews {
            set: stored_set(&b),
            first_crash_ms: self.unix.age_ms(b.first_crash_ms, now),
            since_ms: self.unix.age_ms(b.since_ms, now),
            lasts_ms: b.lasts_ms,
        });
        self.lock().exchange.restore(blocked.collect(), now);
    }

    // Any number of nodes may be lost, so the store keeps blocks too. The nodes that read the store
    // write to it; all nodes learn of a block at about the same time.
    //
    // Returns whether all were written.
    async fn write_blocks<S: Store>(&self, store: &S) -> bool {
        let blocks = {
            let mut inner = self.lock();
            let mut blocks = std::mem::take(&mut inner.unwritten);
            blocks.append(&mut inner.suspects);
            blocks
        };
        let mut failed = Vec::new();
        for b in blocks {
            let now = clock::now();
            let stored = StoredBlock {
                set: b.set.iter().filter_map(part).collect(),
                requests: b.set.iter().filter_map(request).collect(),
                first_crash_ms: self.unix.unix_ms(b.first_crash_ms, now),
                since_ms: self.unix.unix_ms(b.since_ms, now),
                lasts_ms: b.lasts_ms,
            };
            if let Err(e) = store.record_block(&stored, WRITE_TIMEOUT).await {
                warn!(event = "block_not_stored", error:% = e; "cannot write a block to the store");
                failed.push(b);
            }
        }
        let all_written = failed.is_empty();
        self.lock().unwritten.extend(failed);
        all_written
    }

    /// Writes blocks to the store while this node reads it, until the task is dropped. After a restore
    /// of the store, all blocks are written again.
    pub async fn store_blocks<S: Store>(
        self: Arc<Self>,
        store: Arc<S>,
        replica: Arc<StoreReplica>,
        reads: watch::Receiver<bool>,
    ) {
        let mut changes = replica.watch();
        let mut era = replica.store_era();
        let mut all_written = true;
        loop {
            tokio::select! {
                () = self.has_blocks.notified() => (),
                Ok(()) = changes.changed() => (),
                () = sleep(RETRY_PAUSE), if !all_written => (),
            }
            let latest = replica.store_era();
            let is_restored = era.is_some() && era < latest;
            era = latest;
            self.select_unwritten(*reads.borrow(), is_restored);
            all_written = self.write_blocks(&*store).await;
        }
    }

    fn select_unwritten(&self, is_reader: bool, is_restored: bool) {
        let mut inner = self.lock();
        match is_reader {
            true if is_restored => {
                inner.unwritten = inner.exchange.blocks(clock::now());
            }
            true => (),
            false => inner.unwritten.clear(),
        }
    }

    /// Tells other nodes and assesses crashes, until the task is dropped.
    pub async fn run(self: Arc<Self>, timer: Timer) {
        let mut ticks = timer.every(COMPARE_PERIOD);
        let mut assessments = timer.every(ASSESS_PERIOD);
        let mut exchanges = JoinSet::new();
        // A node that starts knows nothing until it has compared.
        let mut compared = false;
        loop {
            tokio::select! {
                () = self.has_news.notified() => {
                    sleep(BATCH_PERIOD).await;
                    self.assess();
                    self.send_due(&mut exchanges);
                }
                () = assessments.tick() => {
                    self.assess();
                    if self.lock().exchange.has_more() {
                        self.send_due(&mut exchanges);
                    }
                }
                () = ticks.tick() => {
                    let knows_any = self.lock().exchange.digest() != 0;
                    if (knows_any || !compared) && let Some(peer) = self.random_peer() {
                        exchanges.spawn(self.clone().compare(peer));
                    }
                }
                Some(done) = exchanges.join_next() => match done {
                    Ok(same) => compared |= same,
                    Err(e) => warn!(error:% = e; "the exchange of crashes failed"),
                },
            }
        }
    }

    fn assess(&self) {
        let now = clock::now();
        let mut inner = self.lock();
        let begun = inner.exchange.assess(now);
        for b in &begun {
            match b.lasts_ms {
                0.0 => {
                    info!(event = "request_suspected", features = names(&b.set); "targets crashed one after the other under this request")
                }
                lasts_ms => {
                    warn!(event = "prompt_blocked", parts = names(&b.set), lasts_ms; "targets keep crashing under requests with these features; blocking them")
                }
            }
        }
        let blocks = begun.into_iter().filter(|b| b.lasts_ms > 0.0);
        let blocks: Vec<_> = blocks.collect();
        let suspect = inner.exchange.take_suspect(now);
        if !blocks.is_empty() || suspect.is_some() {
            inner.unwritten.extend(blocks);
            inner.suspects.extend(suspect);
            self.has_blocks.notify_one();
            self.has_news.notify_one();
        }
    }

    fn peers(&self) -> CrashPeers {
        let own = self.directory.own().name;
        let view = self.directory.view();
        let coordinators = rank_by_cpu(COORDINATORS_KEY, view.candidates()).into_iter();
        let coordinators = coordinators.take(COORDINATORS);
        CrashPeers {
            others: view
                .members
                .keys()
                .filter(|n| **n != own)
                .cloned()
                .collect(),
            coordinators: coordinators
                .map(|m| (m.name.clone(), m.incarnation))
                .collect(),
            own,
        }
    }

    fn random_peer(&self) -> Option<InstanceName> {
        let peers = self.peers();
        peers.others.into_iter().choose(&mut rand::rng())
    }

    fn send_due(self: &Arc<Self>, exchanges: &mut JoinSet<bool>) {
        let peers = self.peers();
        let due = self
            .lock()
            .exchange
            .poll(&peers, &mut rand::rng(), clock::now());
        for (peer, news) in due {
            let this = self.clone();
            exchanges.spawn(async move {
                if this.tell(&peer, news.clone()).await.is_none() {
                    this.lock().exchange.record_unsent(&peer, &news);
                }
                false
            });
        }
    }

    // Returns the digest of the node's blocks, if it has replied.
    async fn tell(&self, peer: &InstanceName, news: CrashNews) -> Option<u64> {
        let request = Message::Crashes {
            digest: self.lock().exchange.digest(),
            news: Box::new(news),
        };
        match self.links.ask(peer, &request, REPLY_TIMEOUT).await {
            Ok(Message::Crashes { digest, news }) => {
                self.merge(*news);
                Some(digest)
            }
            Ok(_) => None,
            Err(e) => {
                debug!(peer:%, error:% = e; "cannot exchange crashes");
                None
            }
        }
    }

    // Compares blocks with a node, and sends this node's if they differ. Returns whether the node has replied.
    async fn compare(self: Arc<Self>, peer: InstanceName) -> bool {
        let Some(digest) = self.tell(&peer, CrashNews::default()).await else {
            return false;
        };
        let blocked = {
            let inner = self.lock();
            match inner.exchange.digest() == digest {
                true => Vec::new(),
                false => inner.exchange.latest_blocks(clock::now()),
            }
        };
        let news = CrashNews {
            blocked,
            ..CrashNews::default()
        };
        news.is_empty() || self.tell(&peer, news).await.is_some()
    }

    fn merge(&self, news: CrashNews) {
        let mut inner = self.lock();
        let (begun, _) = inner.exchange.merge(news, clock::now());
        self.record_begun(&mut inner, begun);
    }

    // Logs blocks that other nodes have found, and has them written to the store.
    fn record_begun(&self, inner: &mut Inner, begun: Vec<BlockNews>) {
        for b in &begun {
            info!(event = "prompt_blocked", parts = names(&b.set), lasts_ms = b.lasts_ms; "blocking requests with these features, as other nodes do");
        }
        if !begun.is_empty() {
            inner.unwritten.extend(begun);
            self.has_blocks.notify_one();
        }
        if inner.exchange.has_more() {
            self.has_news.notify_one();
        }
    }

    /// Replies to a peer's news; if the peer has none and compares, with the blocks that this node knows if
    /// these differ.
    ///
    /// # Errors
    ///
    /// Fails when the exchange breaks.
    pub async fn serve(&self, digest: u64, news: CrashNews, mut ex: Exchange) -> Result<(), Error> {
        let reply = {
            let mut inner = self.lock();
            let (begun, news) = inner.exchange.serve(digest, news, clock::now());
            self.record_begun(&mut inner, begun);
            Message::Crashes {
                digest: inner.exchange.digest(),
                news: Box::new(news),
            }
        };
        ex.send_last(&reply).await
    }
}

// The features of a set, for logs.
fn names(set: &[Feature]) -> String {
    let names: Vec<_> = set.iter().map(Feature::to_string).collect();
    names.join(",")
}

fn part(feature: &Feature) -> Option<u64> {
    match feature {
        Feature::Part(id) => Some(*id),
        Feature::Request(_) => None,
    }
}

fn request(feature: &Feature) -> Option<u64> {
    match feature {
        Feature::Part(_) => None,
        Feature::Request(fingerprint) => Some(fingerprint.0),
    }
}

fn stored_set(block: &StoredBlock) -> Vec<Feature> {
    let parts = block.set.iter().map(|id| Feature::Part(*id));
    let requests = block.requests.iter();
    let requests = requests.map(|id| Feature::Request(Fingerprint(*id)));
    parts.chain(requests).collect()
}

//! Shares what the nodes know about requests that crash targets.
//!
//! Such requests arrive at any node, and each node sees only the
//! crashes under its own requests. News are pushed from node to node like rumours;
//! once a second each node that knows anything also compares all it knows with a
//! random one, so that nodes that join or were cut off catch up (anti-entropy, as in
//! Demers et al., PODC 1987).

use log::{debug, info, warn};
use rand::seq::IteratorRandom;
use rwd_peer::{Directory, Error, Exchange, Links, first_by_cpu};
use rwd_placement::{
    Admission, BlockNews, CrashLedger, CrashNews, CrashReport, Feature, Fingerprint, Timestamp,
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

/// Number of nodes to which news are pushed.
const FANOUT: usize = 3;
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
/// Rendezvous key of the node that tries requests after their blocks.
const TRIALS_KEY: u64 = 0x7472_6961_6c73;
/// How long a node may take to reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Default)]
struct Inner {
    ledger: CrashLedger,
    // Not pushed yet.
    fresh: CrashNews,
    // Not written to the store yet.
    unwritten: Vec<BlockNews>,
}

/// A request that shows whether those like it still crash targets; the trial lasts until this is dropped.
pub(crate) struct Trial {
    guard: Arc<CrashGuard>,
    set: Vec<Feature>,
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.guard.lock().ledger.end_trial(&self.set);
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
            .ledger
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
        first_by_cpu(TRIALS_KEY, view.candidates()).is_some_and(|m| m.name == own)
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
        {
            let mut inner = self.lock();
            if !inner.ledger.record_crash(&report, now) {
                return;
            }
            inner.fresh.crashes.push(report);
        }
        self.has_news.notify_one();
        // A trial has failed before the next one begins.
        self.assess();
    }

    /// Records that a request, dispatched at `dispatched`, completed.
    pub fn record_complete(&self, features: &[Feature], dispatched: Timestamp) {
        let mut inner = self.lock();
        let cleared = inner.ledger.record_complete(features, dispatched);
        if !cleared.is_empty() {
            let now = clock::now();
            let cleared = cleared.into_iter().map(|(feature, t)| (feature, now - t));
            inner.fresh.sound.extend(cleared);
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
        let news = CrashNews {
            blocked: blocked.collect(),
            ..CrashNews::default()
        };
        self.lock().ledger.merge(news, now);
    }

    // Any number of nodes may be lost, so the store keeps blocks too. The nodes that read the store
    // write to it; all nodes learn of a block at about the same time.
    //
    // Returns whether all were written.
    async fn write_blocks<S: Store>(&self, store: &S) -> bool {
        let blocks = std::mem::take(&mut self.lock().unwritten);
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
                let blocked = inner.ledger.news(clock::now()).blocked;
                inner.unwritten = to_store(&blocked).collect();
            }
            true => (),
            false => inner.unwritten.clear(),
        }
    }

    /// Spreads news and assesses crashes, until the task is dropped.
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
                    let news = std::mem::take(&mut self.lock().fresh);
                    for peer in self.random_peers(FANOUT) {
                        exchanges.spawn(self.clone().exchange(peer, news.clone()));
                    }
                }
                () = assessments.tick() => self.assess(),
                () = ticks.tick() => {
                    let knows_any = self.lock().ledger.digest() != 0;
                    let peers = match knows_any || !compared {
                        true => self.random_peers(1),
                        false => Vec::new(),
                    };
                    for peer in peers {
                        exchanges.spawn(self.clone().exchange(peer, CrashNews::default()));
                    }
                }
                Some(done) = exchanges.join_next() => match done {
                    Ok(replied) => compared |= replied,
                    Err(e) => warn!(error:% = e; "the exchange of crashes failed"),
                },
            }
        }
    }

    fn assess(&self) {
        let now = clock::now();
        let mut inner = self.lock();
        let blocked = inner.ledger.assess(now);
        for b in &blocked {
            match b.lasts_ms {
                0.0 => {
                    info!(event = "request_suspected", features = names(&b.set); "targets crashed one after the other under this request")
                }
                lasts_ms => {
                    warn!(event = "prompt_blocked", parts = names(&b.set), lasts_ms; "targets keep crashing under requests with these features; blocking them")
                }
            }
        }
        if !blocked.is_empty() {
            inner.unwritten.extend(to_store(&blocked));
            inner.fresh.blocked.extend(blocked);
            self.has_blocks.notify_one();
            self.has_news.notify_one();
        }
    }

    fn random_peers(&self, count: usize) -> Vec<InstanceName> {
        let own = self.directory.own().name;
        let view = self.directory.view();
        let others = view.members.keys().filter(|name| **name != own);
        others.cloned().sample(&mut rand::rng(), count)
    }

    // Sends news; without any, compares what both know, and sends all that this node knows if that differs.
    // Returns whether both know the same now.
    async fn exchange(self: Arc<Self>, peer: InstanceName, news: CrashNews) -> bool {
        let compares = news.is_empty();
        let mut news = news;
        for _ in 0..2 {
            let digest = self.lock().ledger.digest();
            let request = Message::Crashes {
                digest,
                news: Box::new(news),
            };
            match self.links.ask(&peer, &request, REPLY_TIMEOUT).await {
                Ok(Message::Crashes { digest, news }) => {
                    self.merge(*news);
                    // While there is news all the time, no two nodes know the same.
                    let is_same = digest == self.lock().ledger.digest();
                    if is_same || !compares {
                        return is_same;
                    }
                }
                Ok(_) => return false,
                Err(e) => {
                    debug!(peer:% = peer, error:% = e; "cannot exchange crashes");
                    return false;
                }
            }
            news = self.lock().ledger.news(clock::now());
        }
        true
    }

    fn merge(&self, news: CrashNews) {
        if news.is_empty() {
            return;
        }
        let mut inner = self.lock();
        let fresh = inner.ledger.merge(news, clock::now());
        for b in &fresh.blocked {
            info!(event = "prompt_blocked", parts = names(&b.set), lasts_ms = b.lasts_ms; "blocking requests with these features, as other nodes do");
        }
        if !fresh.is_empty() {
            inner.fresh.sound.extend(fresh.sound);
            inner.fresh.crashes.extend(fresh.crashes);
            if !fresh.blocked.is_empty() {
                inner.unwritten.extend(to_store(&fresh.blocked));
                inner.fresh.blocked.extend(fresh.blocked);
                self.has_blocks.notify_one();
            }
            self.has_news.notify_one();
        }
    }

    /// Replies to a peer's news; if the peer has none and compares, with all that this node knows if that
    /// differs from what the peer knows.
    ///
    /// # Errors
    ///
    /// Fails when the exchange breaks.
    pub async fn serve(&self, digest: u64, news: CrashNews, mut ex: Exchange) -> Result<(), Error> {
        let compares = news.is_empty();
        self.merge(news);
        let reply = {
            let inner = self.lock();
            let own_digest = inner.ledger.digest();
            let news = match own_digest == digest || !compares {
                true => CrashNews::default(),
                false => inner.ledger.news(clock::now()),
            };
            Message::Crashes {
                digest: own_digest,
                news: Box::new(news),
            }
        };
        ex.send_last(&reply).await
    }
}

// The blocks that the store keeps: there are many suspects in trouble.
fn to_store(blocks: &[BlockNews]) -> impl Iterator<Item = BlockNews> {
    blocks.iter().filter(|b| b.lasts_ms > 0.0).cloned()
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

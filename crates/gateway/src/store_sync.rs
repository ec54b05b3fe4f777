//! Replicates the store's state from the source that [`crate::source`] selects.
//!
//! The age of an update counts from the time of the request, so a delayed reply cannot look fresher
//! than it is. A reader that cannot reach the store pulls from other nodes.

use log::{debug, info, warn};
use rand::seq::{IteratorRandom, SliceRandom};
use rwd_peer::{Directory, Exchange, Links, rank_by_cpu};
use rwd_placement::Timestamp;
use rwd_types::{InstanceName, ZoneName};
use rwd_wire::{MemberUpdate, Message, StoreAccess, StoreCursor, StoreUpdate};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

use crate::catalog_sync::CatalogTransfer;
use crate::limits::Limiter;
use crate::source::{Fault, LONG_POLL_WAIT, PACE, Sources, Step, SyncTiming, may_hold};
use crate::{Record, Store, StoreReplica, clock};

/// Replica age above which a node that reads the store pulls from others too, in milliseconds. Longer
/// than its own reads take.
const STALE_MS: f64 = 1500.0;
/// Nodes that a starting node asks at the same time, and nodes that a reader without the store pulls
/// from in a row.
const MAX_ASKED: usize = 3;
/// How long a starting node waits for the list of nodes.
const MAX_LIST_WAIT: Duration = Duration::from_secs(1);
/// How long a starting node goes on to ask others for the version that they have while none replies.
const MAX_LEARN_TIME: Duration = Duration::from_millis(1500);
/// Minimum nodes of a zone that form a group with a reader of its own.
const MIN_ZONE_GROUP: usize = 8;
/// Rendezvous key by which nodes rank the readers.
const READER_KEY: u64 = 0x7265_6164;

/// Keeps one node's replica up to date: chooses its role and pulls from readers.
pub(crate) struct Follower<S> {
    pub own: InstanceName,
    pub zone: ZoneName,
    pub transfer: Arc<CatalogTransfer<S>>,
    pub replica: Arc<StoreReplica>,
    pub directory: Arc<Directory>,
    pub links: Arc<Links>,
    /// Whether this node reads the store itself.
    pub reads: watch::Sender<bool>,
    /// A node that was seen to have a fresher list of targets.
    pub fresher_peer: watch::Receiver<Option<InstanceName>>,
    /// Whether this node has read the list of nodes; until then its order of readers is not that of
    /// the others.
    pub listed: watch::Receiver<bool>,
    /// Position in the changes of the node that was pulled from last.
    pub cursor: StoreCursor,
    pub limiter: Arc<Limiter>,
    pub sources: Sources,
}

impl<S: Store> Follower<S> {
    /// Pulls from a reader or reads the store, until the task is dropped.
    pub async fn run(mut self) {
        // All nodes that start together would read the store otherwise. A store that is down is
        // found out by this node's own reads.
        let _ = timeout(MAX_LIST_WAIT, self.listed.wait_for(|listed| *listed)).await;
        self.learn_version().await;
        loop {
            let ranked = self.ranked();
            match self.sources.next(&ranked, &self.own, clock::now()) {
                Step::Read => {
                    self.set_reads(true);
                    let fails = self.replica.access() == StoreAccess::Fails;
                    if fails || self.is_stale() || self.replica.is_after_outage() {
                        self.pull_from_any(&ranked).await;
                    }
                    sleep(PACE).await;
                }
                Step::Survey(names) => self.survey(names).await,
                Step::Pull(peer) => self.follow(&peer).await,
                Step::PullAny => match self.random_peer() {
                    Some(peer) => self.follow(&peer).await,
                    None => sleep(PACE).await,
                },
            }
        }
    }

    fn timing(&self) -> SyncTiming {
        SyncTiming::new(&self.limiter.bounds())
    }

    async fn follow(&mut self, peer: &InstanceName) {
        match self.pull(peer).await {
            None => self.set_reads(false),
            Some(_) => sleep(self.sources.pause()).await,
        }
    }

    // Asks nodes at the same time whether they can be sources; several may be lost at once, and their
    // timeouts must not add up.
    async fn survey(&mut self, names: Vec<InstanceName>) {
        let limit = self.timing().reply;
        let mut asked = JoinSet::new();
        for name in names {
            let links = self.links.clone();
            asked.spawn(async move {
                let reply = links.ask(&name, &Message::AskAccess, limit).await;
                let fault = match reply {
                    Ok(Message::Access(access)) => Fault::of(access),
                    _ => Some(Fault::Lost),
                };
                (name, fault)
            });
        }
        let results = asked.join_all().await;
        let lost = results.iter().filter(|(_, fault)| fault.is_some());
        info!(event = "survey", asked = results.len(), lost = lost.count(), stale_ms = self.stale_ms() as u64; "asked other nodes for a source");
        self.sources.record_survey(&results, clock::now());
    }

    // Asks other nodes for the version that they have: that of a store that has just come back from
    // an older copy may be older. The list may name many nodes that are gone.
    async fn learn_version(&self) {
        let mut others: Vec<_> = {
            let view = self.directory.view();
            let active = view.active().filter(|m| m.name != self.own);
            active.map(|m| m.name.clone()).collect()
        };
        others.shuffle(&mut rand::rng());
        let started = Instant::now();
        for asked in others.chunks(MAX_ASKED) {
            if started.elapsed() > MAX_LEARN_TIME || self.ask_version(asked).await {
                return;
            }
        }
    }

    // Asks these nodes for their version; whether any of them replied.
    async fn ask_version(&self, nodes: &[InstanceName]) -> bool {
        let limit = self.timing().pull();
        let mut replies = JoinSet::new();
        for name in nodes.iter().cloned() {
            let links = self.links.clone();
            replies.spawn(async move {
                let request = Message::AskNews(StoreCursor::default());
                let reply = links.ask(&name, &request, limit).await;
                (name, reply)
            });
        }
        let mut replied = false;
        while let Some(reply) = replies.join_next().await {
            match reply {
                Ok((name, Ok(Message::News(update)))) if update.catalog.is_some() => {
                    self.observe(&name, &update, None);
                    return true;
                }
                Ok((_, Ok(_))) => replied = true,
                Ok((name, Err(e))) => {
                    debug!(peer:% = name, error:% = e; "cannot ask for the version of the configuration");
                }
                Err(e) => warn!(error:% = e; "asking for the version of the configuration failed"),
            }
        }
        replied
    }

    // Applies what an update says about the store's era and the version of the configuration.
    fn observe(&self, from: &InstanceName, update: &StoreUpdate, as_of: Option<Timestamp>) {
        if let Some(era) = update.store_era {
            self.replica.observe_era(era);
        }
        if let Some(version) = update.catalog {
            self.replica.require_version(version);
            self.transfer.announce(version, from, as_of);
        }
    }

    // A node that is not leaving, of any group.
    fn random_peer(&self) -> Option<InstanceName> {
        let view = self.directory.view();
        let others = view.active().filter(|m| m.name != self.own);
        let chosen = others.choose(&mut rand::rng());
        chosen.map(|m| m.name.clone())
    }

    fn set_reads(&self, reads: bool) {
        self.reads.send_if_modified(|now| {
            let changed = *now != reads;
            if changed {
                info!(event = "reader", reads, stale_ms = self.stale_ms() as u64; "role changed");
                self.replica.record_reading(reads);
            }
            *now = reads;
            changed
        });
    }

    fn stale_ms(&self) -> f64 {
        self.transfer.age_ms().max(self.replica.targets_age_ms())
    }

    fn is_stale(&self) -> bool {
        self.stale_ms() > STALE_MS
    }

    // The nodes of this node's group in the order in which they become readers. A node that leaves
    // keeps its own place; the others that leave have theirs only while no other node is active.
    fn ranked(&self) -> Vec<InstanceName> {
        let view = self.directory.view();
        let no_other_active = view.active().all(|m| m.name == self.own);
        let members = view.members.values();
        let members = members.filter(|m| no_other_active || !m.leaving || m.name == self.own);
        let same_zone = |m: &&MemberUpdate| m.zone == self.zone;
        let in_zone = members.clone().filter(same_zone).count();
        let ranked = match in_zone >= MIN_ZONE_GROUP {
            true => rank_by_cpu(READER_KEY, members.filter(same_zone)),
            false => rank_by_cpu(READER_KEY, members),
        };
        ranked.into_iter().map(|m| m.name.clone()).collect()
    }

    // The store is unreachable from this node; another node may have a fresher replica.
    async fn pull_from_any(&mut self, ranked: &[InstanceName]) {
        let fresher_peer = self.fresher_peer.borrow().clone();
        let usable = ranked.iter().filter(|n| **n != self.own);
        let usable = usable.filter(|n| self.sources.fault(n).is_none());
        let usable = usable.take(MAX_ASKED - 1).cloned();
        let names: Vec<_> = fresher_peer.into_iter().chain(usable).collect();
        for name in names {
            let is_fresh = self.pull(&name).await.is_none();
            if is_fresh && !self.replica.is_after_outage() {
                return;
            }
        }
    }

    // Pulls from a node; returns why that brought no fresh state, if it did not.
    async fn pull(&mut self, name: &InstanceName) -> Option<Fault> {
        self.cursor.catalog = self.transfer.newest();
        self.cursor.store_era = self.replica.store_era();
        let requested_at = clock::now();
        let request = Message::AskNews(self.cursor);
        let reply = self.links.ask(name, &request, self.timing().pull()).await;
        let fault = match reply {
            Ok(Message::News(update)) => {
                let fault = Fault::of(update.access);
                self.accept(name, *update, requested_at);
                fault
            }
            Ok(_) => Some(Fault::Lost),
            Err(e) => {
                info!(event = "reader_lost", reader:% = name, error:% = e, stale_ms = self.stale_ms() as u64; "trying another reader");
                self.sources.record_fault(name, Fault::Lost, clock::now());
                return Some(Fault::Lost);
            }
        };
        match fault {
            None => self.sources.record_fresh(name),
            Some(fault) => {
                info!(event = "reader_stale", reader:% = name, fault:?, stale_ms = self.stale_ms() as u64; "trying another reader");
                self.sources.record_fault(name, fault, clock::now());
            }
        }
        fault
    }

    fn accept(&mut self, name: &InstanceName, update: StoreUpdate, requested_at: Timestamp) {
        let (epoch, change) = (update.epoch, update.change);
        let applied = self.apply(name, update, requested_at);
        self.cursor = match applied {
            true => StoreCursor {
                epoch,
                change,
                ..self.cursor
            },
            // Resets the cursor so that the next reply brings the complete list again.
            false => StoreCursor::default(),
        };
    }

    // Returns whether the target entries were applied.
    fn apply(&self, from: &InstanceName, update: StoreUpdate, requested_at: Timestamp) -> bool {
        let replied_at = requested_at + update.held_ms;
        let as_of = update.catalog_age_ms.map(|age_ms| replied_at + -age_ms);
        self.observe(from, &update, as_of);
        self.replica.merge_orders(update.orders, replied_at);
        if let Some(served) = update.served {
            self.replica.learn_served(&served);
        }
        let records = update.targets.into_iter();
        let records = records
            .map(|(name, entry)| Record::Target(name, entry))
            .collect();
        if let Some(ms) = update.targets_confirmed_ms {
            self.replica.record_confirmed_elsewhere(replied_at + -ms);
        }
        let as_of = update.targets_age_ms.map(|age_ms| replied_at + -age_ms);
        as_of.is_some_and(|t| self.replica.apply_update(records, update.whole, t))
    }
}

/// Replies how this node gets the store's state.
pub(crate) async fn serve_access(replica: &StoreReplica, mut ex: Exchange) -> rwd_peer::Result<()> {
    ex.send_last(&Message::Access(replica.access())).await
}

/// Replies to a follower's request, at once if there is an update.
pub(crate) async fn serve_pull(
    replica: &StoreReplica,
    cursor: StoreCursor,
    mut ex: Exchange,
) -> rwd_peer::Result<()> {
    let received_at = clock::now();
    let has_state = cursor.catalog.is_some();
    let mut changes = replica.watch();
    let _ = timeout(LONG_POLL_WAIT, async {
        while !replica.has_update(&cursor) && may_hold(replica.access(), has_state) {
            if changes.changed().await.is_err() {
                return;
            }
        }
    })
    .await;
    let update = StoreUpdate {
        held_ms: clock::now() - received_at,
        ..replica.update_since(&cursor)
    };
    ex.send_last(&Message::News(Box::new(update))).await
}

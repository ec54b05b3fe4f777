//! Selects the nodes that read the store and replicates from them to all others.
//!
//! In each group of nodes one reads the store; the others are its followers and
//! long-poll it for updates. The age of an update counts from the time of the
//! request, so a delayed reply cannot look fresher than it is. If the reader fails
//! or cannot reach the store, its successors take over. If those fail too, the
//! other nodes pull from nodes of any group, and only some of them read the store:
//! a failing store must not get reads from all nodes at once. If they do not reply at
//! all, some more read it at once: the store is not what failed. A reader that cannot
//! reach the store pulls from other nodes.

use log::{debug, info, warn};
use rand::seq::{IteratorRandom, SliceRandom};
use rwd_peer::{Directory, Error, Exchange, Links, rank_by_cpu};
use rwd_placement::Timestamp;
use rwd_types::{InstanceName, ZoneName};
use rwd_wire::{MemberUpdate, Message, StoreCursor, StoreUpdate};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

use crate::catalog_sync::CatalogTransfer;
use crate::{Record, Store, StoreReplica, clock};

/// How long a reader holds a follower's request until there is an update.
const LONG_POLL_WAIT: Duration = Duration::from_millis(400);
/// How long a reply may take beyond [`LONG_POLL_WAIT`].
const REPLY_MARGIN: Duration = Duration::from_millis(300);
/// Replica age above which a reader is assumed to be unable to reach the store, in milliseconds.
/// Longer than a reader's own reads take.
const STALE_MS: f64 = 1500.0;
/// Replica age above which a node that is not a successor reads the store itself, in milliseconds.
/// Shorter than the time for which a removed key may still be used, with room for a retry.
const FALLBACK_STALE_MS: f64 = 2500.0;
/// Maximum readers of a group: the first one and its successors.
const MAX_READERS: usize = 3;
/// Maximum nodes of a group beside its readers that read the store while their replicas are stale.
/// With a third of the nodes cut off from the store, one group in 6,000 has no other node left.
const MAX_FALLBACK_READERS: usize = 5;
/// Maximum nodes of a group that read the store as soon as no reader replies. With three quarters of
/// the nodes lost, one group in 100 has none of them left.
const MAX_SURVIVING_READERS: usize = 16;
/// Failed pulls in a row after which a node takes itself for cut off from the others.
const ISOLATED_AFTER: usize = 3;
/// How long a node reads the store itself after its readers failed, and how long a failed reader is
/// skipped, in milliseconds.
const FALLBACK_READ_MS: f64 = 3000.0;
/// How long a starting node waits for the list of nodes.
const MAX_LIST_WAIT: Duration = Duration::from_secs(1);
/// How long a starting node goes on to ask others for the version that they have while none replies.
const MAX_LEARN_TIME: Duration = Duration::from_millis(1500);
/// Time between two checks of a reading node's role.
const ROLE_CHECK_PERIOD: Duration = Duration::from_millis(300);
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
}

/// How a node keeps its replica up to date.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// It pulls from the node at this index in the order of readers.
    Follow(usize),
    /// It pulls from a node of any group, because its readers failed.
    FollowAny,
    /// It reads the store itself.
    Read,
}

impl Role {
    /// The role of the node at `position` in its group's order of readers, whose last `failed` pulls
    /// brought no fresh replica. Its own is `stale_ms` milliseconds old; the last `unanswered` pulls
    /// got no reply at all.
    pub fn choose(position: usize, failed: usize, stale_ms: f64, unanswered: usize) -> Self {
        let readers = position.min(MAX_READERS);
        let is_fallback = position < MAX_READERS + MAX_FALLBACK_READERS;
        let may_read = is_fallback || unanswered >= ISOLATED_AFTER;
        let readers_lost = unanswered >= readers;
        match position {
            0 => Self::Read,
            _ if failed < readers => Self::Follow(failed),
            _ if position < MAX_READERS => Self::Read,
            // The readers are lost together; nothing indicates that the store is.
            _ if readers_lost && position < MAX_SURVIVING_READERS => Self::Read,
            _ if stale_ms > FALLBACK_STALE_MS && may_read => Self::Read,
            _ if failed.is_multiple_of(2) => Self::Follow(failed / 2 % readers),
            _ => Self::FollowAny,
        }
    }
}

/// Pause before the next pull after `failed` ones that brought no fresh replica.
///
/// A node with nothing newer replies at once with its whole list. While the store is down, all
/// nodes are stale, so only the first round of readers is tried without a pause. The same holds for
/// peers that refuse connections.
pub fn pause_after_stale(failed: usize) -> Duration {
    match failed <= MAX_READERS {
        true => Duration::ZERO,
        false => ROLE_CHECK_PERIOD,
    }
}

impl<S: Store> Follower<S> {
    /// Pulls from a reader or reads the store, until the task is dropped.
    pub async fn run(mut self) {
        // All nodes that start together would read the store otherwise. A store that is down is
        // found out by this node's own reads.
        let _ = timeout(MAX_LIST_WAIT, self.listed.wait_for(|listed| *listed)).await;
        self.learn_version().await;
        let started = clock::now();
        let mut failed = 0;
        let mut failed_until = Timestamp::default();
        let mut read_until = Timestamp::default();
        let mut unanswered = 0;
        loop {
            let ranked = self.ranked();
            let position = ranked.iter().position(|n| *n == self.own).unwrap_or(0);
            let now = clock::now();
            // Counted from the first failure: a round of readers is not begun anew in its middle.
            if failed == 0 || now >= failed_until {
                failed = 0;
                failed_until = now + FALLBACK_READ_MS;
            }
            let stale_ms = self.stale_ms().min(now - started);
            let role = match now < read_until {
                true => Role::Read,
                false => Role::choose(position, failed, stale_ms, unanswered),
            };
            let peer = match role {
                Role::Follow(n) => Some(ranked[n].clone()),
                Role::FollowAny => self.random_peer(),
                Role::Read => {
                    if position > 0 && now >= read_until {
                        info!(event = "reading", position, stale_ms = self.stale_ms() as u64; "no reader has a fresh replica, reading the store");
                        read_until = now + FALLBACK_READ_MS;
                    }
                    self.set_reads(true);
                    if self.is_stale() || self.replica.is_after_outage() {
                        self.pull_from_any(&ranked).await;
                    }
                    sleep(ROLE_CHECK_PERIOD).await;
                    continue;
                }
            };
            let Some(peer) = peer else {
                failed += 1;
                sleep(ROLE_CHECK_PERIOD).await;
                continue;
            };
            match self.pull(&peer).await {
                Ok(()) if !self.is_stale() => {
                    unanswered = 0;
                    self.set_reads(false);
                }
                Ok(()) => {
                    unanswered = 0;
                    failed += 1;
                    self.set_reads(false);
                    info!(event = "reader_stale", reader:% = peer, stale_ms = self.stale_ms() as u64; "trying another reader");
                    sleep(pause_after_stale(failed)).await;
                }
                Err(e) => {
                    unanswered += 1;
                    failed += 1;
                    info!(event = "reader_lost", reader:% = peer, error:% = e; "trying another reader");
                    if failed == 1 {
                        // Several readers may be lost at once; their timeouts must not add up.
                        let readers = ranked.iter().take(position.min(MAX_READERS));
                        let others = readers.filter(|n| **n != peer).cloned().collect();
                        let lost = self.pull_from_all(others).await;
                        unanswered += lost;
                        failed += lost;
                    }
                    sleep(pause_after_stale(failed)).await;
                }
            }
        }
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
        for asked in others.chunks(MAX_READERS) {
            if started.elapsed() > MAX_LEARN_TIME || self.ask_version(asked).await {
                return;
            }
        }
    }

    // Asks these nodes for their version; whether any of them replied.
    async fn ask_version(&self, nodes: &[InstanceName]) -> bool {
        let mut replies = JoinSet::new();
        for name in nodes.iter().cloned() {
            let links = self.links.clone();
            replies.spawn(async move {
                let request = Message::AskNews(StoreCursor::default());
                let reply = links.ask(&name, &request, LONG_POLL_WAIT + REPLY_MARGIN);
                let reply = reply.await;
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
                info!(event = "reader", reads; "role changed");
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

    // The nodes of this node's group in the order in which they become readers.
    fn ranked(&self) -> Vec<InstanceName> {
        let view = self.directory.view();
        let same_zone = |m: &&MemberUpdate| m.zone == self.zone;
        let in_zone = view.active().filter(same_zone).count();
        let ranked = match in_zone >= MIN_ZONE_GROUP {
            true => rank_by_cpu(READER_KEY, view.active().filter(same_zone)),
            false => rank_by_cpu(READER_KEY, view.active()),
        };
        ranked.into_iter().map(|m| m.name.clone()).collect()
    }

    // The store is unreachable from this node; another node may have a fresher replica.
    async fn pull_from_any(&mut self, ranked: &[InstanceName]) {
        let fresher_peer = self.fresher_peer.borrow().clone();
        let own = self.own.clone();
        let others = ranked.iter().filter(|n| **n != own);
        for name in fresher_peer.iter().chain(others.take(MAX_READERS - 1)) {
            // On failure the next node is tried.
            let is_ok = self.pull(name).await.is_ok();
            if is_ok && !self.is_stale() && !self.replica.is_after_outage() {
                return;
            }
        }
    }

    // Pulls from several nodes at the same time until one has a fresh replica. Otherwise returns how
    // many did not reply.
    async fn pull_from_all(&mut self, names: Vec<InstanceName>) -> usize {
        let mut pulls = JoinSet::new();
        for name in names {
            let links = self.links.clone();
            // Each reply is to bring the whole list, as their changes have numbers of their own.
            let cursor = StoreCursor {
                catalog: self.transfer.newest(),
                ..StoreCursor::default()
            };
            pulls.spawn(async move { (ask_news(&links, &name, cursor).await, name) });
        }
        let mut lost = 0;
        while let Some(done) = pulls.join_next().await {
            match done {
                Ok((Ok((update, requested_at)), name)) => {
                    self.accept(&name, update, requested_at);
                    if !self.is_stale() {
                        return 0;
                    }
                }
                Ok((Err(e), name)) => {
                    lost += 1;
                    info!(event = "reader_lost", reader:% = name, error:% = e; "trying another reader");
                }
                Err(e) => warn!(error:% = e; "pulling from a reader failed"),
            }
        }
        lost
    }

    async fn pull(&mut self, name: &InstanceName) -> rwd_peer::Result<()> {
        self.cursor.catalog = self.transfer.newest();
        let (update, requested_at) = ask_news(&self.links, name, self.cursor).await?;
        self.accept(name, update, requested_at);
        Ok(())
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

// Asks a node for the changes after a cursor; returns them and when they were requested.
async fn ask_news(
    links: &Links,
    name: &InstanceName,
    cursor: StoreCursor,
) -> rwd_peer::Result<(StoreUpdate, Timestamp)> {
    let requested_at = clock::now();
    let request = Message::AskNews(cursor);
    let reply = links.ask(name, &request, LONG_POLL_WAIT + REPLY_MARGIN);
    match reply.await? {
        Message::News(update) => Ok((*update, requested_at)),
        _ => Err(Error::Unexpected),
    }
}

/// Replies to a follower's request, at once if there is an update.
pub(crate) async fn serve_pull(
    replica: &StoreReplica,
    cursor: StoreCursor,
    mut ex: Exchange,
) -> rwd_peer::Result<()> {
    let received_at = clock::now();
    let mut changes = replica.watch();
    let _ = timeout(LONG_POLL_WAIT, async {
        while !replica.has_update(&cursor) {
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

//! Who reads the store, and how the others learn what it says.
//!
//! In each group of nodes one reads the store; the others ask it and take over
//! what it knows with its age. The age counts from the moment of asking, so a
//! delayed answer cannot look fresher than it is. Where the reader is gone or has
//! itself lost the store, its successors take over; other nodes read for themselves
//! only if those fail too, because a store in trouble must not meet all nodes at
//! once. A reader that cannot reach the store asks other nodes.

use log::info;
use rwd_peer::{Directory, Error, Exchange, Links, rank_by_cpu};
use rwd_placement::Timestamp;
use rwd_types::{InstanceName, ZoneName};
use rwd_wire::{MemberUpdate, Message, StoreCursor, StoreUpdate};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::{Record, Store, StoreReplica, clock};

/// How long a question waits for something new.
const HOLD: Duration = Duration::from_millis(400);
/// How long an answer may take beyond that.
const ASK_LIMIT: Duration = Duration::from_millis(300);
/// Age from which on a reader counts as having lost the store, in milliseconds: longer than its
/// own reads take.
const STALE_MS: f64 = 1500.0;
/// Age from which on a node that is no successor reads for itself, in milliseconds: within the
/// shortest time for which a removed key may still be used, with time for a retry.
const SPARE_STALE_MS: f64 = 2500.0;
/// Readers of a group: the first, and the successors that take over from it.
const MAX_READERS: usize = 3;
/// How long a node reads for itself after its readers failed it, and how long a reader that failed
/// is passed over, in milliseconds.
const SELF_READ_MS: f64 = 3000.0;
/// Time between two looks at one's own role.
const ROLE_PERIOD: Duration = Duration::from_millis(300);
/// Nodes of a zone from which on it has a reader of its own.
const MIN_ZONE_GROUP: usize = 8;
/// Key by which nodes rank the readers.
const READER_KEY: u64 = 0x7265_6164;

/// The follower of one node.
pub(crate) struct Follower<S> {
    pub own: InstanceName,
    pub zone: ZoneName,
    pub store: Arc<S>,
    pub replica: Arc<StoreReplica>,
    pub directory: Arc<Directory>,
    pub links: Arc<Links>,
    /// Whether this node reads the store itself.
    pub reads: watch::Sender<bool>,
    /// A node that was seen to know a fresher list of targets.
    pub fresher: watch::Receiver<Option<InstanceName>>,
    /// What this node has from the one that it asked last.
    pub known: StoreCursor,
}

/// How a node stays up to date.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// It asks the node at this place in the order of readers.
    Follow(usize),
    /// It reads the store.
    Read,
}

impl Role {
    /// The role of the node at `position` in its group's order of readers, of which the first
    /// `failed` could not help it lately, with a view that is `stale_ms` milliseconds old.
    pub fn choose(position: usize, failed: usize, stale_ms: f64) -> Self {
        let readers = position.min(MAX_READERS);
        match position {
            0 => Self::Read,
            _ if failed < readers => Self::Follow(failed),
            _ if position < MAX_READERS => Self::Read,
            _ if stale_ms > SPARE_STALE_MS => Self::Read,
            _ => Self::Follow(failed % readers),
        }
    }
}

impl<S: Store> Follower<S> {
    /// Follows a reader, or reads, until the task is dropped.
    pub async fn run(mut self) {
        let started = clock::now();
        let mut failed = 0;
        let mut failed_until = Timestamp::default();
        let mut read_until = Timestamp::default();
        loop {
            let ranked = self.ranked();
            let position = ranked.iter().position(|n| *n == self.own).unwrap_or(0);
            let now = clock::now();
            if now >= failed_until {
                failed = 0;
                failed_until = now + SELF_READ_MS;
            }
            let role = match now < read_until {
                true => Role::Read,
                false => Role::choose(position, failed, self.stale_ms().min(now - started)),
            };
            let reader = match role {
                Role::Follow(n) => &ranked[n],
                Role::Read => {
                    if position > 0 && now >= read_until {
                        info!(event = "reading", position, stale_ms = self.stale_ms() as u64; "no reader has a fresh view");
                        read_until = now + SELF_READ_MS;
                    }
                    self.set_reads(true);
                    if self.is_stale() {
                        self.ask_anybody(&ranked).await;
                    }
                    sleep(ROLE_PERIOD).await;
                    continue;
                }
            };
            match self.ask(reader).await {
                Ok(()) if !self.is_stale() => self.set_reads(false),
                Ok(()) => {
                    failed += 1;
                    info!(event = "reader_stale", reader:% = reader, stale_ms = self.stale_ms() as u64; "trying another reader");
                }
                Err(e) => {
                    failed += 1;
                    info!(event = "reader_lost", reader:% = reader, error:% = e; "trying another reader");
                }
            }
        }
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
        self.replica
            .catalog_age_ms()
            .max(self.replica.targets_age_ms())
    }

    fn is_stale(&self) -> bool {
        self.stale_ms() > STALE_MS
    }

    // The nodes of this node's group in the order in which they read for it.
    fn ranked(&self) -> Vec<InstanceName> {
        let view = self.directory.view();
        let near = |m: &&MemberUpdate| m.zone == self.zone;
        let in_zone = view.active().filter(near).count();
        let ranked = match in_zone >= MIN_ZONE_GROUP {
            true => rank_by_cpu(READER_KEY, view.active().filter(near)),
            false => rank_by_cpu(READER_KEY, view.active()),
        };
        ranked.into_iter().map(|m| m.name.clone()).collect()
    }

    // The store does not answer this node; another one may reach it.
    async fn ask_anybody(&mut self, ranked: &[InstanceName]) {
        let fresher = self.fresher.borrow().clone();
        let own = self.own.clone();
        let others = ranked.iter().filter(|n| **n != own);
        for name in fresher.iter().chain(others.take(MAX_READERS - 1)) {
            // A failure was counted by the link, and the next node is asked.
            if self.ask(name).await.is_ok() && !self.is_stale() {
                return;
            }
        }
    }

    async fn ask(&mut self, name: &InstanceName) -> rwd_peer::Result<()> {
        self.known.catalog = self.replica.catalog().map(|c| c.version);
        let asked = clock::now();
        let question = Message::AskNews(self.known);
        let answer = self.links.ask(name, &question, HOLD + ASK_LIMIT).await?;
        let Message::News(news) = answer else {
            return Err(Error::Unexpected);
        };
        let (epoch, change) = (news.epoch, news.change);
        let was_taken = self.apply(*news, asked);
        self.known = match was_taken {
            true => StoreCursor {
                epoch,
                change,
                ..self.known
            },
            // What was passed over is sent again with the whole list.
            false => StoreCursor::default(),
        };
        Ok(())
    }

    // Whether the part about targets was taken.
    fn apply(&self, news: StoreUpdate, asked: Timestamp) -> bool {
        let answered = asked + news.held_ms;
        let mut readable = true;
        if let Some(source) = news.catalog {
            match self.store.catalog(source.into()) {
                Record::Catalog(catalog) => self.replica.apply_catalog(*catalog),
                other => {
                    readable = false;
                    info!(event = "config", record:? = other; "a peer's configuration cannot be read");
                }
            }
        }
        if let Some(age_ms) = news.catalog_age_ms.filter(|_| readable) {
            self.replica.confirm_catalog(answered + -age_ms);
        }
        let records = news.targets.into_iter();
        let records = records
            .map(|(name, entry)| Record::Target(name, entry))
            .collect();
        let as_of = news.targets_age_ms.map(|age_ms| answered + -age_ms);
        as_of.is_some_and(|t| self.replica.apply_update(records, news.whole, t))
    }
}

/// Answers a follower's question, at once if there is something new.
pub(crate) async fn answer(
    replica: &StoreReplica,
    known: StoreCursor,
    mut ex: Exchange,
) -> rwd_peer::Result<()> {
    let asked = clock::now();
    let mut changes = replica.watch();
    let _ = timeout(HOLD, async {
        while !replica.has_update(&known) {
            if changes.changed().await.is_err() {
                return;
            }
        }
    })
    .await;
    let news = StoreUpdate {
        held_ms: clock::now() - asked,
        ..replica.update_since(&known)
    };
    ex.send_last(&Message::News(Box::new(news))).await
}

//! Who reads the store, and how the others learn what it says.
//!
//! In each group of nodes one reads the store; the others ask it and take over
//! what it knows with its age. The age counts from the moment of asking, so a
//! delayed answer cannot look fresher than it is. A node whose reader is gone, or
//! has itself lost the store, reads for itself for a while; one that cannot reach
//! the store asks any other node.

use log::info;
use rwd_peer::{Directory, Error, Exchange, Links, rank};
use rwd_placement::Moment;
use rwd_types::{InstanceName, ZoneName};
use rwd_wire::{Known, MemberUpdate, Message, News};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::{Record, Store, Views, clock};

/// How long a question waits for something new.
const HOLD: Duration = Duration::from_millis(400);
/// How long an answer may take beyond that.
const ASK_LIMIT: Duration = Duration::from_millis(300);
/// Age from which on a reader counts as having lost the store, in milliseconds: longer than its
/// own reads take.
const STALE_MS: f64 = 1500.0;
/// How long a node reads for itself after its reader failed it, in milliseconds.
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
    pub views: Arc<Views>,
    pub directory: Arc<Directory>,
    pub links: Arc<Links>,
    /// Whether this node reads the store itself.
    pub reads: watch::Sender<bool>,
    /// A node that was seen to know a fresher list of targets.
    pub fresher: watch::Receiver<Option<InstanceName>>,
}

impl<S: Store> Follower<S> {
    /// Follows the reader, or reads, until the task is dropped.
    pub async fn run(self) {
        let mut known = Known::default();
        let mut self_until = Moment::default();
        loop {
            let others = self.ranked();
            let leads = others.first() == Some(&self.own);
            let asked = clock::now();
            if leads || asked < self_until {
                self.set_reads(true);
                if self.is_stale() {
                    self.ask_anybody(&others, &mut known).await;
                }
                sleep(ROLE_PERIOD).await;
                continue;
            }
            let Some(reader) = others.first() else {
                self_until = asked + SELF_READ_MS;
                continue;
            };
            match self.ask(reader, &mut known).await {
                Ok(()) if !self.is_stale() => self.set_reads(false),
                Ok(()) => {
                    info!(event = "reader_stale", reader:% = reader; "reading the store for itself");
                    self_until = clock::now() + SELF_READ_MS;
                }
                Err(e) => {
                    info!(event = "reader_lost", reader:% = reader, error:% = e; "reading the store for itself");
                    self_until = clock::now() + SELF_READ_MS;
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

    fn is_stale(&self) -> bool {
        self.views.catalog_age_ms() > STALE_MS || self.views.targets_age_ms() > STALE_MS
    }

    // The nodes of this node's group in the order in which they read for it.
    fn ranked(&self) -> Vec<InstanceName> {
        let view = self.directory.view();
        let near = |m: &&MemberUpdate| m.zone == self.zone;
        let in_zone = view.staying().filter(near).count();
        let ranked = match in_zone >= MIN_ZONE_GROUP {
            true => rank(READER_KEY, view.staying().filter(near)),
            false => rank(READER_KEY, view.staying()),
        };
        ranked.into_iter().map(|m| m.name.clone()).collect()
    }

    // The store does not answer this node; another one may reach it.
    async fn ask_anybody(&self, ranked: &[InstanceName], known: &mut Known) {
        let fresher = self.fresher.borrow().clone();
        let others = ranked.iter().filter(|n| **n != self.own).take(2);
        for name in fresher.iter().chain(others) {
            // A failure was counted by the link, and the next node is asked.
            if self.ask(name, known).await.is_ok() && !self.is_stale() {
                return;
            }
        }
    }

    async fn ask(&self, name: &InstanceName, known: &mut Known) -> rwd_peer::Result<()> {
        known.catalog = self.views.catalog().map(|c| c.version);
        let asked = clock::now();
        let question = Message::AskNews(*known);
        let answer = self.links.ask(name, &question, HOLD + ASK_LIMIT).await?;
        let Message::News(news) = answer else {
            return Err(Error::Unexpected);
        };
        known.epoch = news.epoch;
        known.change = news.change;
        self.apply(*news, asked);
        Ok(())
    }

    fn apply(&self, news: News, asked: Moment) {
        let mut readable = true;
        if let Some(source) = news.catalog {
            match self.store.catalog(source.into()) {
                Record::Catalog(catalog) => self.views.apply_catalog(*catalog),
                other => {
                    readable = false;
                    info!(event = "config", record:? = other; "a peer's configuration cannot be read");
                }
            }
        }
        if let Some(age_ms) = news.catalog_age_ms.filter(|_| readable) {
            self.views.confirm_catalog(asked + -age_ms);
        }
        let records = news.targets.into_iter();
        let records = records
            .map(|(name, entry)| Record::Target(name, entry))
            .collect();
        let Some(age_ms) = news.targets_age_ms else {
            return;
        };
        match news.whole {
            true => self.views.replace_targets(records, false),
            false => self.views.apply_targets(records, false),
        }
        self.views.confirm_targets(asked + -age_ms);
    }
}

/// Answers a follower's question, at once if there is something new.
pub(crate) async fn answer(views: &Views, known: Known, mut ex: Exchange) -> rwd_peer::Result<()> {
    let mut changes = views.watch();
    let _ = timeout(HOLD, async {
        while !views.has_news(&known) {
            if changes.changed().await.is_err() {
                return;
            }
        }
    })
    .await;
    ex.send_last(&Message::News(Box::new(views.news(&known))))
        .await
}

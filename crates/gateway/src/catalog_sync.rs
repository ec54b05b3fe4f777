//! Transfers versions of the configuration between nodes.
//!
//! Over a small machine's link a version may take longer than an exchange between
//! nodes should last. It is sent in parts, each compressed and with a timeout of its
//! own. A transfer that was interrupted continues with the next part, at any node
//! that has the version, and pulls of other updates go on meanwhile.

use bytes::Bytes;
use flate2::Compression;
use flate2::read::{ZlibDecoder, ZlibEncoder};
use log::{info, warn};
use rand::seq::IteratorRandom;
use rwd_peer::{Directory, Error, Exchange, Links};
use rwd_placement::Timestamp;
use rwd_types::{InstanceName, Revision};
use rwd_wire::Message;
use std::io::Read;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::{Record, Store, StoreReplica, clock};

/// Length of a part before compression, in bytes.
const PART_BYTES: usize = 128 << 10;
/// Timeout of one part; a part that cannot be compressed takes 0.1 s at 10 Mbit/s.
const PART_TIMEOUT: Duration = Duration::from_millis(1500);
/// Pause after a failed request for a part.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The source of one version, in the form in which it is sent.
pub(crate) struct CatalogSource {
    version: u64,
    source: Bytes,
    // Compressed when the first follower asks; most nodes have none.
    parts: OnceLock<Vec<Vec<u8>>>,
}

impl CatalogSource {
    pub fn new(version: u64, source: Bytes) -> Self {
        Self {
            version,
            source,
            parts: OnceLock::new(),
        }
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    fn part(&self, index: u32) -> Option<Message> {
        let parts = self
            .parts
            .get_or_init(|| self.source.chunks(PART_BYTES).map(compress).collect());
        let data = parts.get(index as usize)?.clone();
        let count = parts.len() as u32;
        Some(Message::CatalogPart { count, data })
    }
}

fn compress(data: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    // Reading from memory cannot fail.
    let _ = ZlibEncoder::new(data, Compression::fast()).read_to_end(&mut out);
    out
}

fn decompress(data: &[u8], out: &mut Vec<u8>) -> std::io::Result<()> {
    let limit = PART_BYTES as u64;
    ZlibDecoder::new(data).take(limit).read_to_end(out)?;
    Ok(())
}

/// Replies to a request for a part of a version.
pub(crate) async fn serve_part(
    replica: &StoreReplica,
    version: u64,
    part: u32,
    mut ex: Exchange,
) -> rwd_peer::Result<()> {
    let source = replica.catalog_source(version);
    let reply = source.and_then(|source| source.part(part));
    ex.send_last(&reply.unwrap_or(Message::Unknown)).await
}

/// A version that another node has.
#[derive(Clone)]
struct Announced {
    version: u64,
    by: InstanceName,
    /// When it was last confirmed to be the newest, if it ever was.
    as_of: Option<Timestamp>,
}

/// Receives versions that other nodes have and this one does not.
pub(crate) struct CatalogTransfer<S> {
    store: Arc<S>,
    replica: Arc<StoreReplica>,
    directory: Arc<Directory>,
    links: Arc<Links>,
    announced: watch::Sender<Option<Announced>>,
    progressed_at: Mutex<Timestamp>,
}

impl<S: Store> CatalogTransfer<S> {
    pub fn new(
        store: Arc<S>,
        replica: Arc<StoreReplica>,
        directory: Arc<Directory>,
        links: Arc<Links>,
    ) -> Self {
        Self {
            store,
            replica,
            directory,
            links,
            announced: watch::Sender::new(None),
            progressed_at: Mutex::default(),
        }
    }

    /// Records that the node `by` has a version, which was the newest at `as_of`.
    pub fn announce(&self, version: u64, by: &InstanceName, as_of: Option<Timestamp>) {
        if !self.is_missing(version) {
            if let Some(as_of) = as_of {
                self.replica.confirm_catalog(as_of);
            }
            return;
        }
        self.announced.send_if_modified(|known| match known {
            Some(a) if a.version > version => false,
            Some(a) if a.version == version => {
                if a.as_of < as_of {
                    a.as_of = as_of;
                    a.by = by.clone();
                }
                false
            }
            _ => {
                let by = by.clone();
                *known = Some(Announced { version, by, as_of });
                self.record_progress();
                true
            }
        });
    }

    /// The newest version that this node has or is receiving.
    pub fn newest(&self) -> Option<u64> {
        let own = self.replica.catalog().map(|c| c.version);
        own.max(self.announced.borrow().as_ref().map(|a| a.version))
    }

    /// Age of this node's configuration in milliseconds, where a version counts as present while
    /// its transfer makes progress.
    pub fn age_ms(&self) -> f64 {
        let own_ms = self.replica.catalog_age_ms();
        let announced = self.announced.borrow();
        let coming = announced.as_ref().filter(|a| self.is_missing(a.version));
        let progressed_at = *self.progressed();
        let as_of = coming.and_then(|a| a.as_of);
        let coming_ms = as_of.map(|t| (clock::now() - t).max(clock::now() - progressed_at));
        coming_ms.map_or(own_ms, |ms| ms.min(own_ms))
    }

    /// Receives each version that is announced, until the task is dropped.
    pub async fn run(self: Arc<Self>) {
        let mut announced = self.announced.subscribe();
        loop {
            let missing =
                |a: &Option<Announced>| a.as_ref().is_some_and(|a| self.is_missing(a.version));
            // The sender lives as long as this task.
            let found = announced.wait_for(missing).await.ok();
            let Some(found) = found.and_then(|a| a.clone()) else {
                return;
            };
            self.receive(found).await;
        }
    }

    /// Gossips the active version, and receives newer ones that others gossip, until the task is
    /// dropped. Versions spread so although all readers of a group are cut off from the store.
    pub async fn gossip(self: Arc<Self>) {
        let mut activated = self.replica.watch();
        let mut gossiped = self.directory.watch_newest();
        loop {
            let own = self.replica.catalog().map_or(0, |c| c.version);
            self.directory.set_revision(Revision(own));
            let newest = gossiped.borrow_and_update().clone();
            if let Some((Revision(version), by)) = newest.filter(|(r, _)| r.0 > own) {
                self.replica.require_version(version);
                self.announce(version, &by, None);
            }
            let ended = tokio::select! {
                activated = activated.changed() => activated.is_err(),
                gossiped = gossiped.changed() => gossiped.is_err(),
            };
            if ended {
                return;
            }
        }
    }

    fn progressed(&self) -> std::sync::MutexGuard<'_, Timestamp> {
        self.progressed_at.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn record_progress(&self) {
        *self.progressed() = clock::now();
    }

    fn is_missing(&self, version: u64) -> bool {
        let own = self.replica.catalog().map(|c| c.version);
        own.is_none_or(|own| own < version)
    }

    // Returns when the version is active, or has been superseded at the nodes that had it.
    async fn receive(&self, wanted: Announced) {
        let version = wanted.version;
        let started_at = clock::now();
        let mut peer = wanted.by.clone();
        let mut source = Vec::new();
        let mut next = 0;
        let mut failed: u32 = 0;
        while self.is_missing(version) {
            match self.ask_part(&peer, version, next, &mut source).await {
                Ok(count) => {
                    self.record_progress();
                    next += 1;
                    if next == count {
                        return self.activate(version, source, started_at).await;
                    }
                    continue;
                }
                Err(e) => {
                    failed += 1;
                    info!(event = "config_part", peer:% = peer, version, part = next, error:% = e; "cannot get a part of the configuration");
                }
            }
            let newest = self.announced.borrow().clone().unwrap_or(wanted.clone());
            if newest.version > version {
                return;
            }
            sleep(RETRY_PAUSE).await;
            peer = match failed.is_multiple_of(2) {
                true => newest.by,
                false => self.random_peer().unwrap_or(newest.by),
            };
        }
    }

    // Appends a part to `source` and returns the number of parts.
    async fn ask_part(
        &self,
        peer: &InstanceName,
        version: u64,
        part: u32,
        source: &mut Vec<u8>,
    ) -> rwd_peer::Result<u32> {
        let request = Message::AskCatalog { version, part };
        match self.links.ask(peer, &request, PART_TIMEOUT).await? {
            Message::CatalogPart { count, data } => {
                let len = source.len();
                decompress(&data, source).inspect_err(|_| source.truncate(len))?;
                Ok(count)
            }
            _ => Err(Error::Unexpected),
        }
    }

    async fn activate(&self, version: u64, source: Vec<u8>, started_at: Timestamp) {
        let (bytes, received_at) = (source.len(), clock::now());
        let record = self.store.catalog(source.into());
        info!(event = "config_received", version, bytes, transfer_ms = received_at - started_at, parse_ms = clock::now() - received_at; "configuration received from a peer");
        match record {
            Record::Catalog(catalog) if catalog.version >= version => {
                self.replica.apply_catalog(*catalog);
                let announced = self.announced.borrow().clone();
                let as_of = announced.filter(|a| a.version == version);
                if let Some(as_of) = as_of.and_then(|a| a.as_of) {
                    self.replica.confirm_catalog(as_of);
                }
            }
            other => {
                warn!(event = "config", record:? = other; "cannot parse the configuration received from a peer");
                sleep(PART_TIMEOUT).await;
            }
        }
    }

    fn random_peer(&self) -> Option<InstanceName> {
        let own = self.directory.own().name;
        let view = self.directory.view();
        let others = view.active().filter(|m| m.name != own);
        let chosen = others.choose(&mut rand::rng());
        chosen.map(|m| m.name.clone())
    }
}

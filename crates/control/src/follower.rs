//! Keeps the configuration in force up to date, from the log and from peers.

use log::{info, warn};
use rand::seq::SliceRandom;
use rwd_config::Configuration;
use rwd_edge::Log;
use rwd_peer::{Directory, Exchange, Links, Membership, rank};
use rwd_types::{InstanceName, LogOffset, Revision};
use rwd_wire::Message;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64;

use crate::reader::Reader;
use crate::{Change, Record, Result, Snapshot};

/// The stream of the log that holds the configuration.
pub const CONFIG_STREAM: &str = "configuration";
/// How many nodes wait on the log; the others hear of changes from peers.
const LOG_READERS: usize = 3;
/// How long a read of the log waits for news.
const READ_WAIT: Duration = Duration::from_secs(10);
/// How often nodes that do not wait on the log look at it all the same.
const SLOW_READ_PERIOD: Duration = Duration::from_secs(15);
/// Pause after a failed read of the log.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Peers that are told of a new revision at once.
const SPREAD: usize = 4;
/// How long a peer may take to hand over the configuration.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);

/// The configuration in force.
#[derive(Clone, Debug, Default)]
pub struct ActiveConfig {
    /// Its revision; 0 before any was published.
    pub revision: Revision,
    /// The configuration.
    pub cfg: Arc<Configuration>,
}

/// Settings of the follower.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// The node it runs on.
    pub instance: InstanceName,
    /// Age of the last snapshot after which a new one is due; well below the log's retention.
    pub snapshot_period: Duration,
}

/// The control part of a node.
pub struct Control {
    cfg: ControlSettings,
    pub(crate) log: Arc<dyn Log>,
    directory: Arc<Directory>,
    links: Arc<Links>,
    membership: Arc<Membership>,
    reader: Mutex<Reader>,
    in_force: watch::Sender<ActiveConfig>,
    pub(crate) look: Notify,
}

impl Control {
    /// A control part that knows no configuration yet.
    pub fn new(
        cfg: ControlSettings,
        log: Arc<dyn Log>,
        directory: Arc<Directory>,
        links: Arc<Links>,
        membership: Arc<Membership>,
    ) -> Self {
        Self {
            cfg,
            log,
            directory,
            links,
            membership,
            reader: Mutex::default(),
            in_force: watch::Sender::default(),
            look: Notify::new(),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Reader> {
        self.reader.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Follows the configuration in force.
    pub fn watch(&self) -> watch::Receiver<ActiveConfig> {
        self.in_force.subscribe()
    }

    /// The configuration in force.
    pub fn in_force(&self) -> ActiveConfig {
        self.in_force.borrow().clone()
    }

    /// The configuration in force as JSON, with its revision.
    pub fn snapshot(&self) -> Snapshot {
        let reader = self.lock();
        reader.snapshot()
    }

    /// Reads the log until the task is dropped.
    pub async fn follow_log(&self) {
        loop {
            let wait = match self.waits_on_log() {
                true => READ_WAIT,
                false => Duration::ZERO,
            };
            match self.read_log(wait).await {
                Ok(_) => self.write_snapshot_if_due().await,
                Err(e) => {
                    warn!(error:% = e; "cannot read the log");
                    let _ = timeout(RETRY_PAUSE, self.look.notified()).await;
                    continue;
                }
            }
            if !self.waits_on_log() {
                let _ = timeout(SLOW_READ_PERIOD, self.look.notified()).await;
            }
        }
    }

    /// Whether this node is one of those that wait on the log.
    fn waits_on_log(&self) -> bool {
        let view = self.directory.view();
        let ranked = rank(xxh3_64(CONFIG_STREAM.as_bytes()), view.active());
        let mut readers = ranked.iter().take(LOG_READERS);
        readers.any(|m| m.name == self.cfg.instance)
    }

    /// Reads once from the log; says up to which position.
    pub(crate) async fn read_log(&self, wait: Duration) -> Result<LogOffset> {
        let from = self.lock().next;
        let look = self.look.notified();
        let batch = tokio::select! {
            batch = self.log.read(CONFIG_STREAM, from, wait) => batch?,
            () = look => self.log.read(CONFIG_STREAM, from, Duration::ZERO).await?,
        };
        let changed = {
            let mut reader = self.lock();
            // Another read of this node, or a pull from a peer, may have been faster.
            if reader.next != from {
                return Ok(reader.next);
            }
            let before = reader.history.revision();
            reader.read(&batch);
            reader.history.revision() != before
        };
        if changed {
            self.changed().await;
        }
        Ok(batch.next)
    }

    async fn write_snapshot_if_due(&self) {
        if !self.writes_snapshots() {
            return;
        }
        let Some(snapshot) = self.lock().due_snapshot(self.cfg.snapshot_period) else {
            return;
        };
        match self
            .log
            .append(CONFIG_STREAM, Record::Snapshot(snapshot).to_json())
            .await
        {
            Ok(offset) => info!(offset = offset.0; "wrote a snapshot"),
            Err(e) => {
                warn!(error:% = e; "cannot write a snapshot");
                self.lock().snapshot_failed();
            }
        }
    }

    fn writes_snapshots(&self) -> bool {
        let view = self.directory.view();
        let ranked = rank(xxh3_64(CONFIG_STREAM.as_bytes()), view.active());
        ranked.first().is_none_or(|m| m.name == self.cfg.instance)
    }

    /// Pulls newer configurations from peers until the task is dropped.
    pub async fn follow_peers(&self) {
        let mut newest = self.directory.watch_newest();
        loop {
            let known = newest.borrow_and_update().clone();
            if let Some((revision, peer)) = known
                && revision > self.in_force().revision
                && let Err(e) = self.pull(&peer).await
            {
                warn!(peer:% = peer, error:% = e; "cannot pull the configuration");
                // The next heartbeat of any peer brings another chance; the log is the other.
                self.look.notify_one();
            }
            if newest.changed().await.is_err() {
                return;
            }
        }
    }

    async fn pull(&self, peer: &InstanceName) -> std::result::Result<(), rwd_peer::Error> {
        let have = self.in_force().revision;
        let answer = self
            .links
            .ask(peer, &Message::Pull { have }, PULL_TIMEOUT)
            .await?;
        let changed = match answer {
            Message::Changes { position, changes } => {
                read_changes(&changes).and_then(|changes| self.lock().catch_up(&changes, position))
            }
            Message::State { json } => match Record::from_json(&json) {
                Ok(Record::Snapshot(snapshot)) => self.lock().install_snapshot(&snapshot),
                Ok(Record::Change(_)) => return Err(rwd_peer::Error::Unexpected),
                Err(e) => Err(e),
            },
            Message::UpToDate => Ok(false),
            _ => return Err(rwd_peer::Error::Unexpected),
        };
        match changed {
            Ok(true) => self.changed().await,
            Ok(false) => (),
            Err(e) => warn!(peer:% = peer, error:% = e; "peer sent a bad configuration"),
        }
        Ok(())
    }

    /// Answers a peer that pulls.
    pub fn answer_pull(&self, have: Revision) -> Message {
        let reader = self.lock();
        let position = reader.judged();
        match reader.history.changes_since(have) {
            _ if have >= reader.history.revision() => Message::UpToDate,
            Some(changes) => {
                let records = changes
                    .into_iter()
                    .map(|c| Record::Change(c.clone()).to_json());
                Message::Changes {
                    position,
                    changes: records.collect(),
                }
            }
            None => {
                let snapshot = reader.snapshot();
                Message::State {
                    json: Record::Snapshot(snapshot).to_json(),
                }
            }
        }
    }

    /// Answers a peer's exchange.
    pub async fn serve_pull(&self, have: Revision, mut ex: Exchange) -> rwd_peer::Result<()> {
        ex.send_last(&self.answer_pull(have)).await
    }

    // Puts the new revision in force here and tells a few peers at once.
    async fn changed(&self) {
        let now = {
            let reader = self.lock();
            ActiveConfig {
                revision: reader.history.revision(),
                cfg: reader.history.config().clone(),
            }
        };
        let newer = self.in_force.send_if_modified(|old| {
            let newer = now.revision > old.revision;
            if newer {
                *old = now.clone();
            }
            newer
        });
        if !newer {
            return;
        }
        info!(decision = "configure", revision:% = now.revision, preset:% = now.cfg.preset; "revision in force");
        self.directory.set_revision(now.revision);
        let mut peers = self.directory.probe_candidates();
        peers.shuffle(&mut rand::rng());
        for peer in peers.into_iter().take(SPREAD) {
            let membership = self.membership.clone();
            tokio::spawn(async move { membership.probe(&peer).await });
        }
    }
}

fn read_changes(texts: &[String]) -> Result<Vec<Change>> {
    let records = texts.iter().map(|text| Record::from_json(text));
    let changes = records.filter_map(|record| match record {
        Ok(Record::Change(change)) => Some(Ok(change)),
        Ok(Record::Snapshot(_)) => None,
        Err(e) => Some(Err(e)),
    });
    changes.collect()
}

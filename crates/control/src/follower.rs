//! Keeps the active configuration up to date from the log and from peers.

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

use crate::reader::LogReader;
use crate::{Change, Record, Result, Snapshot};

/// The log stream that holds the configuration.
pub const CONFIG_STREAM: &str = "configuration";
/// Number of nodes that long-poll the log; the others get changes from peers.
const LOG_READERS: usize = 3;
/// How long a read of the log waits for new records.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(10);
/// How often nodes that do not long-poll the log read it.
const FALLBACK_POLL_PERIOD: Duration = Duration::from_secs(15);
/// Delay after a failed read of the log.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Number of peers that are notified of a new revision at once.
const NOTIFY_FANOUT: usize = 4;
/// How long a pull of the configuration from a peer may take.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);

/// The active configuration and its revision.
#[derive(Clone, Debug, Default)]
pub struct ActiveConfig {
    /// The active revision; 0 before the first publication.
    pub revision: Revision,
    /// The active configuration.
    pub cfg: Arc<Configuration>,
}

/// Settings of the follower.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// The instance that the follower runs on.
    pub instance: InstanceName,
    /// Age of the last snapshot after which a new one is due; well below the log's retention.
    pub snapshot_period: Duration,
}

/// Follows and publishes the configuration on one node.
pub struct Control {
    cfg: ControlSettings,
    pub(crate) log: Arc<dyn Log>,
    directory: Arc<Directory>,
    links: Arc<Links>,
    membership: Arc<Membership>,
    reader: Mutex<LogReader>,
    in_force: watch::Sender<ActiveConfig>,
    pub(crate) poll_now: Notify,
}

impl Control {
    /// Starts with an empty configuration at revision 0.
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
            poll_now: Notify::new(),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, LogReader> {
        self.reader.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Subscribes to the active configuration.
    pub fn watch(&self) -> watch::Receiver<ActiveConfig> {
        self.in_force.subscribe()
    }

    /// The active configuration.
    pub fn in_force(&self) -> ActiveConfig {
        self.in_force.borrow().clone()
    }

    /// The active configuration as JSON, with its revision.
    pub fn snapshot(&self) -> Snapshot {
        let reader = self.lock();
        reader.snapshot()
    }

    /// Reads the log until the task is dropped.
    pub async fn follow_log(&self) {
        loop {
            let wait = match self.is_log_reader() {
                true => LONG_POLL_TIMEOUT,
                false => Duration::ZERO,
            };
            match self.read_log(wait).await {
                Ok(_) => self.write_snapshot_if_due().await,
                Err(e) => {
                    warn!(error:% = e; "cannot read the log");
                    let _ = timeout(RETRY_DELAY, self.poll_now.notified()).await;
                    continue;
                }
            }
            if !self.is_log_reader() {
                let _ = timeout(FALLBACK_POLL_PERIOD, self.poll_now.notified()).await;
            }
        }
    }

    /// Whether this node is one of those that long-poll the log.
    fn is_log_reader(&self) -> bool {
        let view = self.directory.view();
        let ranked = rank(xxh3_64(CONFIG_STREAM.as_bytes()), view.candidates());
        let mut readers = ranked.iter().take(LOG_READERS);
        readers.any(|m| m.name == self.cfg.instance)
    }

    /// Reads one batch from the log and returns the position up to which it reached.
    pub(crate) async fn read_log(&self, wait: Duration) -> Result<LogOffset> {
        let from = self.lock().next;
        let poll_now = self.poll_now.notified();
        let batch = tokio::select! {
            batch = self.log.read(CONFIG_STREAM, from, wait) => batch?,
            () = poll_now => self.log.read(CONFIG_STREAM, from, Duration::ZERO).await?,
        };
        let changed = {
            let mut reader = self.lock();
            // A concurrent read, or a pull from a peer, has already advanced the position.
            if reader.next != from {
                return Ok(reader.next);
            }
            let before = reader.history.revision();
            reader.apply_batch(&batch);
            reader.history.revision() != before
        };
        if changed {
            self.activate().await;
        }
        Ok(batch.next)
    }

    async fn write_snapshot_if_due(&self) {
        if !self.is_snapshot_writer() {
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

    fn is_snapshot_writer(&self) -> bool {
        let view = self.directory.view();
        let ranked = rank(xxh3_64(CONFIG_STREAM.as_bytes()), view.candidates());
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
                // The next gossip of any peer triggers another pull; meanwhile poll the log.
                self.poll_now.notify_one();
            }
            if newest.changed().await.is_err() {
                return;
            }
        }
    }

    async fn pull(&self, peer: &InstanceName) -> std::result::Result<(), rwd_peer::Error> {
        let have = self.in_force().revision;
        let reply = self
            .links
            .ask(peer, &Message::Pull { have }, PULL_TIMEOUT)
            .await?;
        let changed = match reply {
            Message::Changes { position, changes } => {
                parse_changes(&changes).and_then(|changes| self.lock().catch_up(&changes, position))
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
            Ok(true) => self.activate().await,
            Ok(false) => (),
            Err(e) => warn!(peer:% = peer, error:% = e; "peer sent an invalid configuration"),
        }
        Ok(())
    }

    /// The response to a peer that pulls and has revision `have`.
    pub fn pull_response(&self, have: Revision) -> Message {
        let reader = self.lock();
        let position = reader.applied();
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

    /// Serves a peer's pull.
    pub async fn serve_pull(&self, have: Revision, mut ex: Exchange) -> rwd_peer::Result<()> {
        ex.send_last(&self.pull_response(have)).await
    }

    // Activates a newer revision on this node and notifies a few peers at once.
    async fn activate(&self) {
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
        info!(decision = "configure", revision:% = now.revision, preset:% = now.cfg.preset; "activated revision");
        self.directory.set_revision(now.revision);
        let mut peers = self.directory.probe_candidates();
        peers.shuffle(&mut rand::rng());
        for peer in peers.into_iter().take(NOTIFY_FANOUT) {
            let membership = self.membership.clone();
            tokio::spawn(async move { membership.probe(&peer).await });
        }
    }
}

fn parse_changes(texts: &[String]) -> Result<Vec<Change>> {
    let records = texts.iter().map(|text| Record::from_json(text));
    let changes = records.filter_map(|record| match record {
        Ok(Record::Change(change)) => Some(Ok(change)),
        Ok(Record::Snapshot(_)) => None,
        Err(e) => Some(Err(e)),
    });
    changes.collect()
}

//! Follows the store: the configuration, the registry of targets, the other nodes.

use log::{info, warn};
use rwd_metrics::{Metrics, label};
use rwd_peer::{Directory, ListedInstance};
use rwd_placement::Timestamp;
use rwd_timer::Timer;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

use crate::limits::Limiter;
use crate::settings::instance_name;
use crate::{Feed, GatewaySettings, ListedNode, Record, Store, StoreError, StoreReplica, clock};

/// How long one read of the configuration waits for a change. A key's removal binds within
/// [`crate::Bounds::key_removal_ms`], so the view has to be confirmed several times in that time.
const CONFIG_WAIT: Duration = Duration::from_millis(900);
/// How long the next read waits after one that brought a change: such an answer may be as old as
/// its whole wait, and a view must not grow older than one wait.
const CONFIRM_WAIT: Duration = Duration::from_millis(200);
/// Time between two reads of the registry; a leaving target must be left within two seconds.
const TARGETS_PERIOD: Duration = Duration::from_millis(600);
/// How long the store may take beyond the wait that was asked for.
const CALL_LIMIT: Duration = Duration::from_millis(900);
/// Longest pause after a failed call.
const MAX_PAUSE: Duration = Duration::from_millis(800);
/// Shortest pause after a failed call.
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// Age of the last good read from which on the store counts as having been away, in milliseconds.
const OUTAGE_MS: f64 = 2000.0;
/// Time between two looks for other nodes while none is known.
const NODES_PERIOD: Duration = Duration::from_secs(2);

/// Pauses between failed calls, longer each time.
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

/// Logs when a dependency is lost and when it is back, once each.
struct Contact {
    feed: Feed,
    metrics: Arc<Metrics>,
    lost: bool,
    last_good: Timestamp,
}

impl Contact {
    fn new(feed: Feed, metrics: Arc<Metrics>) -> Self {
        Self {
            feed,
            metrics,
            lost: false,
            last_good: clock::now(),
        }
    }

    // Waits while another node reads; whether there was such a time. It says nothing about the
    // store.
    async fn await_turn(&mut self, reads: &mut watch::Receiver<bool>) -> bool {
        if *reads.borrow() {
            return false;
        }
        if reads.wait_for(|reads| *reads).await.is_err() {
            // The node is going down.
            std::future::pending::<()>().await;
        }
        self.last_good = clock::now();
        true
    }

    // Whether the store had been away before this answer.
    fn good(&mut self, at: Timestamp) -> bool {
        let away_ms = at - self.last_good;
        if self.lost {
            info!(event = "store_back", feed:% = self.feed, away_ms; "the store answers again");
        }
        self.lost = false;
        self.last_good = at;
        away_ms > OUTAGE_MS
    }

    fn bad(&mut self, e: &StoreError) {
        self.metrics
            .store_reads_failed
            .add(1, &[label("feed", self.feed)]);
        if !self.lost {
            warn!(event = "store_lost", feed:% = self.feed, error:% = e; "the store does not answer");
        }
        self.lost = true;
    }
}

// A read that waited in vain for its whole time saw the end of the log only then.
fn true_as_of(asked: Timestamp, wait: Duration, was_empty: bool) -> Timestamp {
    let waited = asked + wait.as_secs_f64() * 1000.0;
    match was_empty && clock::now() >= waited {
        true => waited,
        false => asked,
    }
}

/// Keeps the configuration up to date until the task is dropped.
pub(crate) async fn configuration<S: Store>(
    store: Arc<S>,
    replica: Arc<StoreReplica>,
    metrics: Arc<Metrics>,
    mut reads: watch::Receiver<bool>,
) {
    let mut contact = Contact::new(Feed::Configuration, metrics);
    let mut backoff = Backoff::default();
    let mut next: Option<u64> = None;
    let mut wait = CONFIG_WAIT;
    loop {
        if contact.await_turn(&mut reads).await {
            next = None;
        }
        // Taken before the call: what the store says was true at some time after this.
        let asked = clock::now();
        let result = match next {
            None => store.newest(Feed::Configuration, CALL_LIMIT).await,
            Some(from) => {
                let limit = wait + CALL_LIMIT;
                store.read(Feed::Configuration, from, wait, limit).await
            }
        };
        match result {
            Ok(batch) => {
                contact.good(asked);
                backoff.reset();
                let mut readable = true;
                let was_empty = next.is_some() && batch.records.is_empty();
                for record in batch.records {
                    match record {
                        Record::Catalog(catalog) => replica.apply_catalog(*catalog),
                        Record::Unreadable { key, reason } => {
                            readable = false;
                            warn!(event = "config", key:%, reason:%; "unreadable configuration; the last good one stays in force");
                        }
                        _ => (),
                    }
                }
                next = Some(batch.next);
                if readable && replica.catalog().is_some() {
                    replica.confirm_catalog(true_as_of(asked, wait, was_empty));
                }
                wait = match was_empty {
                    true => CONFIG_WAIT,
                    false => CONFIRM_WAIT,
                };
            }
            Err(StoreError::Gone) => next = None,
            Err(e) => {
                contact.bad(&e);
                backoff.pause().await;
            }
        }
    }
}

/// Keeps the registry of targets up to date until the task is dropped.
pub(crate) async fn targets<S: Store>(
    store: Arc<S>,
    replica: Arc<StoreReplica>,
    timer: Timer,
    metrics: Arc<Metrics>,
    mut reads: watch::Receiver<bool>,
) {
    let mut contact = Contact::new(Feed::Targets, metrics);
    let mut backoff = Backoff::default();
    let mut ticks = timer.every(TARGETS_PERIOD);
    let mut next: Option<u64> = None;
    // Entries that lapsed while the store was away get time to return.
    let mut returning_until = Timestamp::default();
    loop {
        if contact.await_turn(&mut reads).await {
            next = None;
        }
        let asked = clock::now();
        let result = match next {
            None => store.newest(Feed::Targets, CALL_LIMIT).await,
            Some(from) => {
                let no_wait = Duration::ZERO;
                store.read(Feed::Targets, from, no_wait, CALL_LIMIT).await
            }
        };
        match result {
            Ok(batch) => {
                if contact.good(asked) {
                    returning_until = asked + OUTAGE_MS;
                }
                backoff.reset();
                let returning = asked < returning_until;
                match next {
                    None => replica.replace_targets(batch.records, returning),
                    Some(_) => replica.apply_targets(batch.records, returning),
                }
                next = Some(batch.next);
                replica.confirm_targets(asked);
                ticks.tick().await;
            }
            Err(StoreError::Gone) => next = None,
            Err(e) => {
                contact.bad(&e);
                backoff.pause().await;
            }
        }
    }
}

/// Announces this node and finds others, from the store and the seeds, until the task is dropped.
pub(crate) async fn nodes<S: Store>(
    store: Arc<S>,
    cfg: GatewaySettings,
    directory: Arc<Directory>,
    limiter: Arc<Limiter>,
    timer: Timer,
) {
    let mut announced = false;
    let mut listed = false;
    let mut ticks = timer.every(NODES_PERIOD);
    let own = cfg.listed();
    // The settings say nothing of seeds but their address.
    let seeds = cfg.seeds.iter().map(|peer| ListedNode {
        peer: *peer,
        cpu_milli: 0,
        ..own.clone()
    });
    let seeds: Vec<_> = seeds.collect();
    learn(&cfg, &directory, &seeds);
    loop {
        if !announced {
            // Before the list is read, so that nodes that start together see one another.
            match store.announce(&own, true, CALL_LIMIT).await {
                Ok(()) => announced = true,
                Err(e) => warn!(event = "announce", error:% = e; "cannot announce this node"),
            }
        }
        let alone = directory.view().members.len() < 2;
        if alone || !listed {
            match store.newest(Feed::Nodes, CALL_LIMIT).await {
                Ok(batch) => {
                    let found = batch.records.into_iter().filter_map(|r| match r {
                        Record::Node(node) => Some(node),
                        _ => None,
                    });
                    let mut nodes: Vec<_> = found.collect();
                    for known in seeds.iter().chain([&own]) {
                        if nodes.iter().all(|n| n.peer != known.peer) {
                            nodes.push(known.clone());
                        }
                    }
                    if !listed {
                        limiter.set_listed_nodes(nodes.len());
                    }
                    listed = true;
                    learn(&cfg, &directory, &nodes);
                }
                Err(StoreError::Gone) => (),
                Err(e) => warn!(event = "nodes", error:% = e; "cannot read the list of nodes"),
            }
        }
        ticks.tick().await;
    }
}

fn learn(cfg: &GatewaySettings, directory: &Directory, nodes: &[ListedNode]) {
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

//! One node of the gateway and its tasks.

use bytes::Bytes;
use derive_more::{Display, Error, From};
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use indexmap::IndexMap;
use log::{debug, info, warn};
use rwd_metrics::{Metrics, label};
use rwd_peer::{
    ByteCounter, Directory, Exchange, Handler, KeepAlive, LinkSettings, Links, MassLoss,
    Membership, MembershipSettings, new_incarnation,
};
use rwd_timer::Timer;
use rwd_types::InstanceName;
use rwd_wire::{Liveness, MemberUpdate, Message, StoreCursor};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use crate::buffers::BufferBudget;
use crate::catalog_sync::CatalogTransfer;
use crate::connection::{ConnectionPool, Dial, dial_tcp};
use crate::crash_sync::CrashGuard;
use crate::detour::{Detours, Said};
use crate::fingerprint::Fingerprinter;
use crate::follow::{FeedReader, NodeList};
use crate::gateway::{Body, Gateway, MAX_BUFFERED_BYTES};
use crate::held_stream::{HeldBytes, HeldStreams, memory_share};
use crate::limits::Limiter;
use crate::local_scheduler::LocalScheduler;
use crate::rollout::Rollouts;
use crate::room_sync::RoomSync;
use crate::server::{
    OpenConnections, SEND_BUFFER_BYTES, SocketLimits, StopPhase, accept, plain_response,
};
use crate::shards::{Shards, partition};
use crate::slots::Slots;
use crate::source::Sources;
use crate::stop::{Admission, ShutdownPlan};
use crate::store_sync::Follower;
use crate::stream_sync::{self, StreamSync};
use crate::{
    Bounds, GatewaySettings, Limits, Lookup, Protocol, Store, StoreError, StoreReplica,
    WithheldTargets, catalog_sync, clock, follow, handover, store_sync,
};

/// Probe period: a failed node must be out of lookup responses well within their lifetime.
const HEARTBEAT: Duration = Duration::from_millis(400);
/// Timeout of a probe: many round trips between zones.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a suspected node may take to refute.
const SUSPICION: Duration = Duration::from_millis(900);
/// Timeout for opening a link to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Pings on links in use; a scheduler that hangs is detected within two of them.
const LINK_KEEP_ALIVE: KeepAlive = KeepAlive {
    period: Duration::from_millis(300),
    timeout: Duration::from_millis(400),
};
/// Age of a scheduler's list of targets above which it pulls a fresher one from a home node, in
/// milliseconds. A draining target must stop receiving requests within two seconds.
const MAX_TARGETS_AGE_MS: f64 = 1700.0;
/// Lifetime of a lookup response: within the longest that callers honour, and short enough that
/// callers soon drop a leaving node.
const LOOKUP_LIFETIME: Duration = Duration::from_secs(2);
/// Maximum addresses in one lookup response.
const MAX_ADDRESSES: usize = 64;
/// Minimum nodes of the caller's zone for a lookup response without nodes of other zones.
const MIN_SAME_ZONE: usize = 2;
/// Timeout for removing the node from the store's list; a shutdown has only seconds.
const UNLIST_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between two counts of the visible nodes.
const SHARE_PERIOD: Duration = Duration::from_millis(500);
/// Interval at which schedulers are told of limits of targets that they may not know.
const LIMITS_PERIOD: Duration = Duration::from_millis(300);
/// Interval at which the rooms of shards are reported.
const ROOMS_PERIOD: Duration = Duration::from_millis(250);
/// Interval between two checks whether schedulers of slots in use were lost.
const HANDOVER_PERIOD: Duration = Duration::from_millis(50);
/// Interval at which schedulers tell their successors of targets.
const REPORT_PERIOD: Duration = Duration::from_millis(1500);
/// Period of dropping the holds of targets that have ended.
const HOLDS_PERIOD: Duration = Duration::from_millis(200);
/// Shortest idle timeout of callers' connections, in milliseconds.
const MIN_IDLE_MS: f64 = 1000.0;
/// Interval between two checks of the settings file and of idle connections.
const MAINTENANCE_PERIOD: Duration = Duration::from_secs(3);

/// Why a node cannot start.
#[derive(Debug, Display, Error, From)]
pub enum NodeError {
    /// A listen address cannot be bound.
    #[display("cannot listen on {address}: {source}")]
    #[from(skip)]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The underlying error.
        source: std::io::Error,
    },
    /// Metrics cannot be set up.
    #[display("{_0}")]
    Metrics(rwd_metrics::Error),
}

/// A running node; dropping it aborts its tasks.
pub struct GatewayNode {
    cfg: GatewaySettings,
    held_streams: Option<Arc<HeldStreams>>,
    streams: Arc<StreamSync>,
    directory: Arc<Directory>,
    membership: Arc<Membership>,
    replica: Arc<StoreReplica>,
    stop: watch::Sender<StopPhase>,
    in_progress: Arc<dyn Fn() -> usize + Send + Sync>,
    callers: OpenConnections,
    set_admission: Arc<dyn Fn(Admission) + Send + Sync>,
    // Removes this node's entry from the store's list.
    unlist: Arc<dyn Fn() -> BoxFuture<'static, Result<(), StoreError>> + Send + Sync>,
    reload: Arc<Notify>,
    _tasks: JoinSet<()>,
}

impl GatewayNode {
    /// Starts a node on the current runtime.
    ///
    /// # Errors
    ///
    /// Fails when a listen address of the settings cannot be bound or metrics cannot be set up.
    pub async fn start<P: Protocol, S: Store>(
        cfg: GatewaySettings,
        file: Option<PathBuf>,
        protocol: P,
        store: S,
    ) -> Result<Self, NodeError> {
        Self::start_with(cfg, file, protocol, store, dial_tcp()).await
    }

    /// As [`GatewayNode::start`], with connections to targets opened by `dial`.
    ///
    /// # Errors
    ///
    /// As [`GatewayNode::start`].
    pub async fn start_with<P: Protocol, S: Store>(
        cfg: GatewaySettings,
        file: Option<PathBuf>,
        protocol: P,
        store: S,
        dial: Dial,
    ) -> Result<Self, NodeError> {
        let requests = listen(cfg.listen.requests).await?;
        let readiness = listen(cfg.listen.readiness).await?;
        let lookups = listen(cfg.listen.directory).await?;
        let peers = listen(cfg.listen.peers).await?;
        let timer = Timer::start();
        let metrics = Arc::new(Metrics::new()?);
        let instance = cfg.instance();
        let directory = Arc::new(Directory::new(own_update(&cfg, &instance)));
        let link_cfg = LinkSettings {
            own: instance.clone(),
            secret: cfg.secret.clone(),
            connect_timeout: CONNECT_TIMEOUT,
            keep_alive: LINK_KEEP_ALIVE,
        };
        let bytes = ByteCounter::default();
        let bulk_links = Links::new(link_cfg.clone(), directory.clone(), bytes.clone());
        let links = Arc::new(Links::new(link_cfg, directory.clone(), bytes.clone()));
        let membership_cfg = MembershipSettings {
            heartbeat: HEARTBEAT,
            probe_timeout: PROBE_TIMEOUT,
            suspicion: SUSPICION,
        };
        let membership = Membership::new(membership_cfg, directory.clone(), links.clone())
            .with_mass_loss(MassLoss::default());
        let membership = Arc::new(membership);
        let shards = Arc::new(Shards::default());
        let rooms = cfg.scheduling.spilling;
        let rooms = rooms.then(|| Arc::new(RoomSync::new(shards.clone())));
        let scheduler = LocalScheduler::new(cfg.scheduling.placement(), rooms.clone());
        let scheduler = Arc::new(scheduler);
        let replica = Arc::new(StoreReplica::with_rollouts(cfg.rollouts.is_some()));
        let withheld = Arc::new(WithheldTargets::default());
        let detours = Arc::new(Detours::new(
            instance.clone(),
            cfg.zone.clone(),
            directory.clone(),
            links.clone(),
            bulk_links,
            dial.clone(),
            replica.clone(),
            withheld.clone(),
        ));
        let connections = Arc::new(ConnectionPool::new(dial, detours.clone()));
        let limiter = Arc::new(Limiter::new(
            instance.clone(),
            directory.clone(),
            links.clone(),
            replica.clone(),
            cfg.bounds.clone(),
        ));
        let crash_guard = Arc::new(CrashGuard::new(directory.clone(), links.clone()));
        let slots = Slots::new(
            instance.clone(),
            scheduler.clone(),
            directory.clone(),
            links.clone(),
            shards.clone(),
            replica.clone(),
            cfg.scheduling.clone(),
        );
        let slots = Arc::new(slots.with_rooms(rooms));
        let rollouts = Arc::new(Rollouts::new(
            instance.clone(),
            directory.clone(),
            links.clone(),
            replica.clone(),
            metrics.clone(),
            cfg.rollouts,
        ));
        let held_streams = cfg.memory_mb.filter(|_| cfg.holds_streams);
        let held_streams = held_streams.map(|mb| HeldStreams::new(mb, metrics.clone()));
        let store = Arc::new(store);
        let streams = Arc::new(StreamSync::new(
            instance.clone(),
            cfg.node_entry().peer,
            directory.clone(),
            links.clone(),
            replica.clone(),
            stream_sync::read_streams(store.clone()),
        ));
        let gateway = Arc::new(Gateway {
            protocol,
            instance,
            zone: cfg.zone.clone(),
            replica: replica.clone(),
            slots: slots.clone(),
            connections: connections.clone(),
            detours: detours.clone(),
            buffers: BufferBudget::new(MAX_BUFFERED_BYTES),
            held_streams: held_streams.clone(),
            bodies: cfg.memory_mb.map(|mb| BufferBudget::new(memory_share(mb))),
            withheld: withheld.clone(),
            directory: directory.clone(),
            limiter: limiter.clone(),
            crash_guard: crash_guard.clone(),
            fingerprinter: Fingerprinter::new(&cfg.secret),
            streams: streams.clone(),
            rollouts: rollouts.clone(),
            output_shares: Mutex::new(IndexMap::new()),
            max_time_left_ms: Mutex::new(IndexMap::new()),
            metrics: metrics.clone(),
            in_progress: AtomicUsize::new(0),
            admission: watch::Sender::new(Admission::Open),
        });
        let stop = watch::Sender::new(StopPhase::Running);
        let http_service = Arc::new(HttpService {
            gateway: gateway.clone(),
            metrics: metrics.clone(),
            region: cfg.region.clone(),
            stop: stop.subscribe(),
        });
        let mut tasks = JoinSet::new();
        let reads = watch::Sender::new(false);
        let fresher_peer = watch::Sender::new(None);
        let has_list = watch::Sender::new(false);
        let watch_reads = || reads.subscribe();
        let (store_for_blocks, reads_for_blocks) = (store.clone(), watch_reads());
        let reads_for_versions = watch_reads();
        let store_for_rollouts = store.clone();
        let feed_reader = || FeedReader {
            store: store.clone(),
            replica: replica.clone(),
            limiter: limiter.clone(),
            metrics: metrics.clone(),
            reads: watch_reads(),
        };
        tasks.spawn(follow::configuration(feed_reader()));
        tasks.spawn(follow::targets(feed_reader(), timer.clone()));
        let transfer = CatalogTransfer::new(
            store.clone(),
            replica.clone(),
            directory.clone(),
            links.clone(),
        );
        let transfer = Arc::new(transfer);
        tasks.spawn(transfer.clone().run());
        tasks.spawn(transfer.clone().gossip());
        let follower = Follower {
            own: cfg.instance(),
            zone: cfg.zone.clone(),
            transfer,
            replica: replica.clone(),
            directory: directory.clone(),
            links,
            reads,
            fresher_peer: fresher_peer.subscribe(),
            listed: has_list.subscribe(),
            cursor: StoreCursor::default(),
            limiter: limiter.clone(),
            sources: Sources::default(),
        };
        tasks.spawn(follower.run());
        let (store_client, entry) = (store.clone(), cfg.node_entry());
        let unlist = Arc::new(move || {
            let (store, entry) = (store_client.clone(), entry.clone());
            async move {
                store.announce(&entry, false, UNLIST_TIMEOUT).await?;
                Ok(())
            }
            .boxed()
        });
        tasks.spawn(streams.clone().tell(timer.clone()));
        tasks.spawn(streams.clone().write_streams(store.clone(), timer.clone()));
        tasks.spawn(streams.clone().write_versions(
            store.clone(),
            reads_for_versions,
            timer.clone(),
        ));
        let node_list = NodeList {
            store,
            cfg: cfg.clone(),
            replica: replica.clone(),
            directory: directory.clone(),
            limiter: limiter.clone(),
            crash_guard: crash_guard.clone(),
            streams: streams.clone(),
            has_list,
        };
        tasks.spawn(node_list.run(timer.clone()));
        tasks.spawn(apply_replica(
            replica.clone(),
            scheduler.clone(),
            shards.clone(),
        ));
        tasks.spawn(rollouts.clone().follow_orders());
        tasks.spawn(rollouts.clone().report(timer.clone()));
        tasks.spawn(rollouts.clone().decide(store_for_rollouts, timer.clone()));
        tasks.spawn(scheduler.clone().run());
        tasks.spawn(spread_limits(slots.clone(), timer.clone()));
        if cfg.scheduling.spilling {
            tasks.spawn(report_rooms(slots.clone(), timer.clone()));
        }
        if cfg.scheduling.handover {
            tasks.spawn(hand_over(slots.clone(), timer.clone()));
            tasks.spawn(report_targets(slots.clone(), timer.clone()));
        }
        tasks.spawn(end_holds(withheld, timer.clone()));
        tasks.spawn(crash_guard.clone().run(timer.clone()));
        tasks.spawn(crash_guard.clone().store_blocks(
            store_for_blocks,
            replica.clone(),
            reads_for_blocks,
        ));
        tasks.spawn(apply_visible_share(
            timer.clone(),
            scheduler.clone(),
            limiter.clone(),
        ));
        let l = limiter.clone();
        let handler = Arc::new(PeerHandler {
            membership: membership.clone(),
            scheduler,
            slots,
            limiter,
            crash_guard,
            streams: streams.clone(),
            rollouts,
            detours,
            replica: replica.clone(),
            fresher_peer,
        });
        tasks.spawn(rwd_peer::serve(
            peers,
            cfg.secret.clone(),
            bytes,
            LINK_KEEP_ALIVE,
            handler,
        ));
        let (m, t) = (membership.clone(), timer.clone());
        tasks.spawn(async move { m.run(&t).await });
        let defaults = Limits::default();
        let plain = SocketLimits {
            header_bytes: defaults.header_bytes,
            send_buffer: None,
            idle: idle_timeout(&defaults),
        };
        let g = gateway.clone();
        let serve = move |req| g.clone().serve(req);
        let send_buffer = held_streams.as_ref().map(|_| SEND_BUFFER_BYTES);
        let r = replica.clone();
        let limits = move || SocketLimits {
            send_buffer,
            idle: r.catalog().map_or(plain.idle, |c| idle_timeout(&c.limits)),
            ..plain
        };
        let callers = OpenConnections::default();
        let open = callers.clone();
        tasks.spawn(accept(requests, limits, open, stop.subscribe(), serve));
        let f = http_service.clone();
        let lookup = move |req| f.clone().lookup(req);
        let others = OpenConnections::default();
        let (limits, open) = (move || plain, others.clone());
        tasks.spawn(accept(lookups, limits, open, stop.subscribe(), lookup));
        let status = move |req| http_service.clone().status(req);
        tasks.spawn(accept(readiness, limits, others, stop.subscribe(), status));
        let reload = Arc::new(Notify::new());
        tasks.spawn(maintain(
            timer,
            connections,
            file,
            cfg.bounds.clone(),
            l,
            reload.clone(),
        ));
        let g = gateway.clone();
        let set_admission = Arc::new(move |a| {
            g.admission.send_replace(a);
        });
        let in_progress = Arc::new(move || gateway.in_progress.load(Ordering::Relaxed));
        Ok(Self {
            cfg,
            held_streams,
            streams,
            directory,
            membership,
            replica,
            stop,
            in_progress,
            callers,
            set_admission,
            unlist,
            reload,
            _tasks: tasks,
        })
    }

    /// Waits until the configuration and the targets have been read, so that the node can serve.
    pub async fn await_ready(&self) {
        let mut changes = self.replica.watch();
        while !self.replica.is_complete() && changes.changed().await.is_ok() {}
    }

    /// Waits until a version of the configuration, or a newer one, is active.
    pub async fn await_config(&self, version: u64) {
        let mut changes = self.replica.watch();
        let in_force = || self.replica.catalog().is_some_and(|c| c.version >= version);
        while !in_force() && changes.changed().await.is_ok() {}
    }

    /// Waits until the membership view has `count` active nodes, including this one.
    pub async fn await_members(&self, count: usize) {
        let mut view = self.directory.watch();
        // The sender lives as long as the node.
        let _ = view.wait_for(|v| v.active().count() == count).await;
    }

    /// What is held for callers that read streams slowly; none if the node's memory is not configured.
    pub fn held_bytes(&self) -> Option<HeldBytes> {
        self.held_streams.as_ref().map(|h| h.usage())
    }

    /// Waits until other nodes know which versions began the streams of this node, while there are several;
    /// returns whether they do within `limit`.
    pub async fn await_streams_told(&self, limit: Duration) -> bool {
        stream_sync::await_none(self.streams.untold(), limit).await
    }

    /// Waits until this node has written the streams that it has to write; returns whether it has within
    /// `limit`.
    pub async fn await_streams_written(&self, limit: Duration) -> bool {
        stream_sync::await_none(self.streams.unwritten(), limit).await
    }

    /// The local replica of the store.
    pub fn replica(&self) -> &StoreReplica {
        &self.replica
    }

    /// Reloads the settings file.
    pub fn reload(&self) {
        self.reload.notify_one();
    }

    /// Shuts down gracefully: refuses new requests, waits for those in progress, then returns.
    pub async fn stop(&self) {
        let started = Instant::now();
        let plan = ShutdownPlan::new(self.cfg.bounds.stop_grace());
        let close = clock::now() + plan.close.as_secs_f64() * 1000.0;
        self.directory.set_leaving();
        self.stop.send_replace(StopPhase::Leaving);
        self.notify_peers().await;
        if let Err(e) = (self.unlist)().await {
            // The entry stays until the address is reused; probes detect that nothing runs there.
            warn!(event = "announce", error:% = e; "cannot remove this node from the list of nodes");
        }
        loop {
            if started.elapsed() >= plan.refuse_from {
                (self.set_admission)(Admission::Closing { close });
            }
            let idle = (self.in_progress)() == 0;
            if started.elapsed() >= plan.close || (idle && started.elapsed() >= plan.linger) {
                break;
            }
            sleep(plan.poll).await;
        }
        info!(event = "stop", in_progress = (self.in_progress)(); "closing connections");
        self.stop.send_replace(StopPhase::Closing);
        let end = started + plan.end;
        // Responses are still being written to callers that read slowly.
        while (self.in_progress)() + self.callers.count() > 0 && Instant::now() < end {
            if started.elapsed() >= plan.give_up {
                (self.set_admission)(Admission::Over);
            }
            sleep(plan.poll / 4).await;
        }
        // Gives connections time to flush the responses that have just ended.
        sleep_until((Instant::now() + plan.poll).min(end)).await;
    }

    // Probes all peers at once, so that the leave reaches them before the next round of probes.
    async fn notify_peers(&self) {
        let mut probes = JoinSet::new();
        for name in self.directory.probe_candidates() {
            let membership = self.membership.clone();
            probes.spawn(async move { membership.probe(&name).await });
        }
        let _ = tokio::time::timeout(PROBE_TIMEOUT, async {
            while probes.join_next().await.is_some() {}
        })
        .await;
    }
}

struct HttpService<P> {
    gateway: Arc<Gateway<P>>,
    metrics: Arc<Metrics>,
    region: rwd_types::RegionName,
    stop: watch::Receiver<StopPhase>,
}

impl<P: Protocol> HttpService<P> {
    async fn lookup(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        let (parts, _) = req.into_parts();
        match self.gateway.protocol.read_lookup(&parts) {
            Some(lookup) => {
                let addresses = self.addresses(&lookup);
                let body = self
                    .gateway
                    .protocol
                    .lookup_response(&addresses, LOOKUP_LIFETIME);
                plain_response(StatusCode::OK, "application/json", body)
            }
            None => plain_response(StatusCode::NOT_FOUND, "text/plain", Bytes::new()),
        }
    }

    // Nodes of the caller's zone if there are enough, otherwise those of all zones.
    fn addresses(&self, lookup: &Lookup) -> Vec<SocketAddr> {
        let view = self.gateway.directory.view();
        let same_region = lookup.region.as_ref().is_none_or(|r| *r == self.region);
        let same_zone = view
            .active()
            .filter(|m| same_region && Some(&m.zone) == lookup.zone.as_ref());
        let same_zone: Vec<_> = same_zone.map(|m| m.http).collect();
        let mut addresses = match same_zone.len() >= MIN_SAME_ZONE {
            true => same_zone,
            false => view.active().map(|m| m.http).collect(),
        };
        addresses.truncate(MAX_ADDRESSES);
        addresses
    }

    fn metrics_text(&self) -> rwd_metrics::Result<String> {
        let (m, g) = (&self.metrics, &self.gateway);
        let streams = g.held_streams.as_ref().map_or(0, |h| h.usage().now);
        let bodies = g.bodies.as_ref().map_or(0, |b| b.used());
        let responses = g.buffers.used();
        for (kind, bytes) in [
            ("streams", streams),
            ("responses", responses),
            ("bodies", bodies),
        ] {
            m.held_bytes.record(bytes as u64, &[label("kind", kind)]);
        }
        m.text()
    }

    async fn status(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        let (parts, _) = req.into_parts();
        let running = *self.stop.borrow() == StopPhase::Running;
        match parts.uri.path() {
            "/metrics" => match self.metrics_text() {
                Ok(text) => plain_response(StatusCode::OK, "text/plain", Bytes::from(text)),
                Err(e) => {
                    warn!(event = "metrics", error:% = e; "cannot write metrics");
                    plain_response(
                        StatusCode::INTERNAL_SERVER_ERROR,
                        "text/plain",
                        Bytes::new(),
                    )
                }
            },
            _ if !self.gateway.protocol.is_readiness_check(&parts) => {
                plain_response(StatusCode::NOT_FOUND, "text/plain", Bytes::new())
            }
            _ if running && self.gateway.replica.is_complete() => {
                plain_response(StatusCode::OK, "text/plain", Bytes::new())
            }
            _ => plain_response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", Bytes::new()),
        }
    }
}

struct PeerHandler {
    membership: Arc<Membership>,
    scheduler: Arc<LocalScheduler>,
    slots: Arc<Slots>,
    limiter: Arc<Limiter>,
    crash_guard: Arc<CrashGuard>,
    streams: Arc<StreamSync>,
    rollouts: Arc<Rollouts>,
    detours: Arc<Detours>,
    replica: Arc<StoreReplica>,
    /// A node that was seen to have a fresher list of targets.
    fresher_peer: watch::Sender<Option<InstanceName>>,
}

impl PeerHandler {
    // A scheduler with a stale list still grants slots: home nodes send nothing to targets that
    // they know to be draining, and another scheduler would grant the same slots a second time.
    fn is_behind(&self, list_age_ms: f64) -> bool {
        let age_ms = self.replica.targets_age_ms();
        age_ms > MAX_TARGETS_AGE_MS && age_ms > list_age_ms + MAX_TARGETS_AGE_MS / 2.0
    }
}

impl Handler for PeerHandler {
    async fn handle(&self, from: InstanceName, first: Message, mut ex: Exchange) {
        let result = match first {
            Message::Ping(_) | Message::PingFor { .. } => {
                self.membership.serve_probe(&first, ex).await
            }
            Message::Place {
                offer,
                list_age_ms,
                limits,
            } => {
                self.slots.learn_limits(&limits);
                if self.is_behind(list_age_ms) {
                    self.fresher_peer.send_replace(Some(from.clone()));
                }
                self.scheduler.serve(*offer, ex).await
            }
            Message::Limits(limits) => {
                self.slots.learn_limits(&limits);
                ex.send_last(&Message::UpToDate).await
            }
            Message::ShardReport(report) => {
                self.slots.learn_report(&report);
                ex.send_last(&Message::UpToDate).await
            }
            Message::HeldSlots(slots) => {
                handover::serve_held(&self.scheduler, &from, slots, ex).await
            }
            Message::TargetReports { shard, targets } => {
                self.scheduler.learn(&from, &shard, targets);
                ex.send_last(&Message::UpToDate).await
            }
            Message::AskAccess => store_sync::serve_access(&self.replica, ex).await,
            Message::AskNews(cursor) => store_sync::serve_pull(&self.replica, cursor, ex).await,
            Message::AskCatalog { version, part } => {
                catalog_sync::serve_part(&self.replica, version, part, ex).await
            }
            Message::Crashes { digest, news } => self.crash_guard.serve(digest, *news, ex).await,
            Message::Streams(streams) => self.streams.serve_streams(streams, ex).await,
            Message::AskStream { pool, key } => self.streams.serve_ask(&pool, key, ex).await,
            Message::Dial {
                pool,
                target,
                born,
                address,
            } => self.detours.serve(&pool, &target, born, address, ex).await,
            Message::TargetSaid {
                target,
                born,
                leaving,
                hold_ms,
            } => {
                let said = Said { leaving, hold_ms };
                self.detours.serve_said(&target, born, said, ex).await
            }
            Message::Demand {
                workspace,
                units,
                totals,
            } => {
                let reply = self.limiter.serve_demand(&from, &workspace, units, totals);
                ex.send_last(&reply).await
            }
            Message::Rollout { pool, report } => {
                let grant = self.rollouts.serve_report(&from, &pool, &report);
                let reply = grant.map_or(Message::Unknown, Message::RolloutGrant);
                ex.send_last(&reply).await
            }
            _ => Err(rwd_peer::Error::Unexpected),
        };
        if let Err(e) = result {
            debug!(peer:% = from, error:% = e; "exchange failed");
        }
    }
}

// Passes the targets of each pool to the scheduler whenever the store replica changes.
async fn apply_replica(
    replica: Arc<StoreReplica>,
    scheduler: Arc<LocalScheduler>,
    shards: Arc<Shards>,
) {
    let mut changes = replica.watch();
    loop {
        if let Some(catalog) = replica.catalog() {
            scheduler.set_weights(catalog.share_weights());
            for (name, pool) in &catalog.pools {
                let targets = replica.targets(name);
                let by_shard = partition(name, &targets);
                let removed = shards.set(name, by_shard.keys().cloned().collect());
                for shard in removed {
                    scheduler.set_targets(&shard.name, Vec::new());
                }
                for (shard, targets) in by_shard {
                    let infos = targets.iter().map(|(n, e)| pool.target_info(n, e));
                    let infos = infos.collect();
                    scheduler.set_targets(&shard.name, infos);
                }
            }
        }
        if changes.changed().await.is_err() {
            return;
        }
    }
}

// Updates the scheduler's share of visible nodes and refills the limiter's buckets.
async fn apply_visible_share(timer: Timer, scheduler: Arc<LocalScheduler>, limiter: Arc<Limiter>) {
    let mut ticks = timer.every(SHARE_PERIOD);
    loop {
        ticks.tick().await;
        scheduler.set_visible_share(limiter.visible_share());
        limiter.refill_buckets();
    }
}

// Tells schedulers and their successors of the limits that targets named to this node.
async fn spread_limits(slots: Arc<Slots>, timer: Timer) {
    let mut ticks = timer.every(LIMITS_PERIOD);
    loop {
        ticks.tick().await;
        slots.spread_limits().await;
    }
}

// Tells the schedulers of a pool's other shards how much room there is.
async fn report_rooms(slots: Arc<Slots>, timer: Timer) {
    let mut ticks = timer.every(ROOMS_PERIOD);
    loop {
        ticks.tick().await;
        slots.report_rooms().await;
    }
}

// Reports slots in use to the schedulers that take over.
async fn hand_over(slots: Arc<Slots>, timer: Timer) {
    let mut ticks = timer.every(HANDOVER_PERIOD);
    loop {
        ticks.tick().await;
        slots.hand_over().await;
    }
}

// Tells the successors of this node what it has learned as a scheduler.
async fn report_targets(slots: Arc<Slots>, timer: Timer) {
    let mut ticks = timer.every(REPORT_PERIOD);
    loop {
        ticks.tick().await;
        slots.report_targets().await;
    }
}

// Drops the holds of targets that have ended.
async fn end_holds(withheld: Arc<WithheldTargets>, timer: Timer) {
    let mut ticks = timer.every(HOLDS_PERIOD);
    loop {
        ticks.tick().await;
        for ended in withheld.take_ended(clock::now()) {
            info!(event = "hold_ended", target:% = ended.target, lasted_ms = ended.lasted_ms as u64; "the target may get requests again");
        }
    }
}

async fn maintain(
    timer: Timer,
    connections: Arc<ConnectionPool>,
    file: Option<PathBuf>,
    mut bounds: Bounds,
    limiter: Arc<Limiter>,
    reload: Arc<Notify>,
) {
    let mut ticks = timer.every(MAINTENANCE_PERIOD);
    loop {
        tokio::select! {
            () = ticks.tick() => (),
            () = reload.notified() => info!(event = "reload"; "reloading the settings"),
        }
        connections.expire();
        let Some(file) = &file else {
            continue;
        };
        match GatewaySettings::from_file(file) {
            Ok(new) if new.bounds == bounds => (),
            Ok(new) => {
                info!(event = "reload"; "bounds changed");
                limiter.set_bounds(new.bounds.clone());
                bounds = new.bounds;
            }
            Err(e) => {
                warn!(event = "reload", error:% = e; "cannot read the settings; keeping the previous ones")
            }
        }
    }
}

fn own_update(cfg: &GatewaySettings, instance: &InstanceName) -> MemberUpdate {
    MemberUpdate {
        name: instance.clone(),
        incarnation: new_incarnation(),
        refutation: 0,
        liveness: Liveness::Alive,
        leaving: false,
        http: cfg.listen.requests,
        peer: cfg.listen.reachable_peers(),
        zone: cfg.zone.clone(),
        cpu_milli: cfg.node_entry().cpu_milli,
    }
}

// How long callers' connections may be idle. Out of range, the operator's limit is of no use.
fn idle_timeout(limits: &Limits) -> Duration {
    let ms = limits.idle_ms.clamp(MIN_IDLE_MS, Limits::default().idle_ms);
    Duration::from_secs_f64(ms / 1000.0)
}

async fn listen(address: SocketAddr) -> Result<TcpListener, NodeError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| NodeError::Listen { address, source })
}

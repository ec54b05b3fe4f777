//! A node, its components and its tasks.

use indexmap::IndexSet;
use rwd_config::Settings;
use rwd_control::{Control, ControlSettings};
use rwd_edge::{HttpInstanceList, HttpLog, HttpTargets, InstanceList, Log, Targets};
use rwd_entry::{Api, EntryDeps, EntrySettings, HomeNode, KeyTableSettings};
use rwd_metrics::Metrics;
use rwd_peer::{
    ByteCounter, Directory, KeepAlive, LinkSettings, Links, Membership, MembershipSettings,
    new_incarnation, serve,
};
use rwd_sched::{Baseline, Scheduler, SchedulerSettings, Topology};
use rwd_timer::Timer;
use rwd_types::{Millis, Revision, TargetName};
use rwd_wire::{Liveness, MemberUpdate};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::handler::PeerHandler;
use crate::{Error, NodeStatus, Result, http_server};

/// How long a grant may stay unused before it expires.
const GRANT_LEASE: Millis = Millis(1000);
/// Age of the last snapshot after which a new one is due.
const SNAPSHOT_PERIOD: Duration = Duration::from_secs(600);
/// Timeout for opening a link to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The external services of a node.
#[derive(Clone)]
pub struct ExternalServices {
    /// The platform's log.
    pub log: Arc<dyn Log>,
    /// The platform's instance list.
    pub instances: Arc<dyn InstanceList>,
    /// The targets.
    pub targets: Arc<dyn Targets>,
}

impl ExternalServices {
    /// Creates HTTP clients for the services that the settings name.
    pub fn over_http(cfg: &Settings) -> Self {
        Self {
            log: Arc::new(HttpLog::new(cfg.platform.log)),
            instances: Arc::new(HttpInstanceList::new(cfg.platform.instances)),
            targets: Arc::new(HttpTargets::default()),
        }
    }
}

/// State shared by the tasks of a node.
pub(crate) struct Shared {
    pub cfg: Settings,
    pub services: ExternalServices,
    pub timer: Timer,
    pub metrics: Arc<Metrics>,
    pub directory: Arc<Directory>,
    pub membership: Arc<Membership>,
    pub control: Arc<Control>,
    pub scheduler: Arc<Scheduler>,
    pub baseline: Arc<Baseline>,
    pub home: Arc<HomeNode>,
    pub topology: watch::Sender<Arc<Topology>>,
    // Targets that the instance list marks as leaving.
    pub leaving_targets: watch::Sender<IndexSet<TargetName>>,
    pub leaving: watch::Sender<bool>,
    pub closing: watch::Sender<bool>,
    pub peer_bytes: ByteCounter,
}

/// A running node; dropping it ends its tasks at once.
pub struct Node {
    pub(crate) shared: Arc<Shared>,
    http: SocketAddr,
    peer: SocketAddr,
    tasks: JoinSet<()>,
}

impl Node {
    /// Starts a node on the current runtime, with HTTP clients for its external services.
    ///
    /// # Errors
    ///
    /// Fails when an address of the settings cannot be listened on.
    pub async fn start(mut cfg: Settings) -> Result<Self> {
        let services = ExternalServices::over_http(&cfg);
        let http = listen(cfg.http).await?;
        let peer = listen(cfg.peer).await?;
        // A port of 0 stands for any free port; peers and callers need the real one.
        cfg.http = local_address(&http, cfg.http)?;
        cfg.peer = local_address(&peer, cfg.peer)?;
        Self::start_on(cfg, services, http, peer).await
    }

    /// Starts a node on open listeners.
    ///
    /// The node announces the addresses of the settings; the listeners may be bound to others.
    ///
    /// # Errors
    ///
    /// Fails when the metrics cannot be set up.
    pub async fn start_on(
        cfg: Settings,
        services: ExternalServices,
        http: TcpListener,
        peer: TcpListener,
    ) -> Result<Self> {
        let http_address = local_address(&http, cfg.http)?;
        let peer_address = local_address(&peer, cfg.peer)?;
        let shared = Arc::new(Shared::new(cfg, services)?);
        let mut node = Self {
            shared,
            http: http_address,
            peer: peer_address,
            tasks: JoinSet::new(),
        };
        node.spawn_tasks(http, peer);
        Ok(node)
    }

    fn spawn_tasks(&mut self, http: TcpListener, peer: TcpListener) {
        let shared = &self.shared;
        let api = Api::new(shared.home.clone());
        let handler = Arc::new(PeerHandler {
            directory: shared.directory.clone(),
            membership: shared.membership.clone(),
            control: shared.control.clone(),
            scheduler: shared.scheduler.clone(),
            api: api.clone(),
        });
        let (secret, bytes) = (shared.cfg.secret.clone(), shared.peer_bytes.clone());
        let tasks = &mut self.tasks;
        let keep_alive = keep_alive(&shared.cfg);
        tasks.spawn(serve(peer, secret, bytes, keep_alive, handler));
        tasks.spawn(http_server::serve(http, api, shared.clone()));
        let s = shared.clone();
        tasks.spawn(async move { s.membership.clone().run(&s.timer).await });
        let s = shared.clone();
        tasks.spawn(async move { s.control.follow_log().await });
        let s = shared.clone();
        tasks.spawn(async move { s.control.follow_peers().await });
        tasks.spawn(shared.clone().follow_instances());
        tasks.spawn(shared.clone().follow_topology());
        tasks.spawn(shared.clone().follow_drain());
        tasks.spawn(shared.clone().run_scheduler());
        tasks.spawn(shared.clone().poll_cache_events());
        tasks.spawn(shared.clone().poll_load());
    }

    /// Address of the listener for callers.
    pub fn http_address(&self) -> SocketAddr {
        self.http
    }

    /// Address of the listener for peers.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer
    }

    /// The active revision of the configuration at this node.
    pub fn revision(&self) -> Revision {
        self.shared.control.in_force().revision
    }

    /// Watches the membership view of this node.
    pub fn watch_members(&self) -> watch::Receiver<Arc<rwd_peer::View>> {
        self.shared.directory.watch()
    }

    /// The control component, for publishing from the same process.
    pub fn control(&self) -> &Arc<Control> {
        &self.shared.control
    }

    /// A snapshot of the node's state.
    pub fn status(&self) -> NodeStatus {
        self.shared.status()
    }
}

impl Shared {
    fn new(cfg: Settings, services: ExternalServices) -> Result<Self> {
        let timer = Timer::start();
        let metrics = Arc::new(Metrics::new()?);
        let directory = Arc::new(Directory::new(local_update(&cfg)));
        let peer_bytes = ByteCounter::default();
        let link_cfg = LinkSettings {
            own: cfg.instance.clone(),
            secret: cfg.secret.clone(),
            connect_timeout: CONNECT_TIMEOUT,
            keep_alive: keep_alive(&cfg),
        };
        let links = Arc::new(Links::new(link_cfg, directory.clone(), peer_bytes.clone()));
        let membership_cfg = MembershipSettings {
            heartbeat: cfg.heartbeat.duration(),
            probe_timeout: cfg.probe_timeout.duration(),
            suspicion: cfg.suspicion.duration(),
        };
        let membership = Membership::new(membership_cfg, directory.clone(), links.clone());
        let membership = Arc::new(membership);
        let control_cfg = ControlSettings {
            instance: cfg.instance.clone(),
            snapshot_period: SNAPSHOT_PERIOD,
        };
        let control = Arc::new(Control::new(
            control_cfg,
            services.log.clone(),
            directory.clone(),
            links.clone(),
            membership.clone(),
        ));
        let scheduler_cfg = SchedulerSettings {
            instance: cfg.instance.clone(),
            lease: GRANT_LEASE,
        };
        let scheduler = Arc::new(Scheduler::new(scheduler_cfg, metrics.clone()));
        let baseline = Arc::new(Baseline::default());
        let topology = watch::Sender::new(Arc::default());
        let deps = EntryDeps {
            instance: cfg.instance.clone(),
            zone: cfg.zone.clone(),
            secret: cfg.secret.clone(),
            directory: directory.clone(),
            links,
            membership: membership.clone(),
            scheduler: scheduler.clone(),
            control: control.clone(),
            topology: topology.subscribe(),
            targets: services.targets.clone(),
            baseline: baseline.clone(),
            metrics: metrics.clone(),
        };
        let entry_cfg = EntrySettings {
            progress_timeout: cfg.progress_timeout.duration(),
            address_ttl: cfg.address_ttl,
            keys: KeyTableSettings {
                max_response_bytes: cfg.answer_buffer.0 as usize,
                ..KeyTableSettings::default()
            },
            ..EntrySettings::default()
        };
        let home = Arc::new(HomeNode::new(deps, entry_cfg));
        Ok(Self {
            cfg,
            services,
            timer,
            metrics,
            directory,
            membership,
            control,
            scheduler,
            baseline,
            home,
            topology,
            leaving_targets: watch::Sender::default(),
            leaving: watch::Sender::new(false),
            closing: watch::Sender::new(false),
            peer_bytes,
        })
    }
}

fn keep_alive(cfg: &Settings) -> KeepAlive {
    KeepAlive {
        period: cfg.heartbeat.duration(),
        timeout: cfg.suspicion.duration(),
    }
}

fn local_update(cfg: &Settings) -> MemberUpdate {
    MemberUpdate {
        name: cfg.instance.clone(),
        incarnation: new_incarnation(),
        refutation: 0,
        liveness: Liveness::Alive,
        leaving: false,
        http: cfg.http,
        peer: cfg.peer,
        zone: cfg.zone.clone(),
        cpu_milli: 0,
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| Error::Listen { address, source })
}

fn local_address(listener: &TcpListener, address: SocketAddr) -> Result<SocketAddr> {
    let local = listener.local_addr();
    local.map_err(|source| Error::Listen { address, source })
}

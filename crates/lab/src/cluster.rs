//! A complete system in one process: fakes and nodes that talk over loopback.

use rwd_config::{
    Class, Configuration, Model, PathRule, Policy, Preset, Service, Settings, Target, Tier,
    Workspace,
};
use rwd_control::{Edit, PublishId, Published};
use rwd_edge::{Instance, InstanceRole, InstanceState};
use rwd_node::{ExternalServices, Node};
use rwd_types::{Incarnation, Millis, PresetName, Secret, TierRank, TokenRate, Tokens};
use rwd_wire::MemberUpdate;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};
use tokio::runtime::{Builder, Runtime};
use tokio::time::sleep;

use crate::fake::{
    Engine, EngineSettings, FakeInstanceList, FakeLog, FakeService, Ledger, ServiceSettings,
    TcpRelay,
};
use crate::{Caller, CallerSettings, Error, Result, Workload};

const SECRET: &str = "lab-shared-secret-0123456789";
const OPERATOR_TOKEN: &str = "lab-operator-token-0123456789";
/// How long the nodes may take to agree on membership or on a revision.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Delay until the fake instance list shows a change.
const LIST_LAG: Duration = Duration::from_millis(300);

/// Settings of a cluster.
#[derive(Clone, Debug)]
pub struct ClusterSettings {
    /// Number of nodes.
    pub nodes: usize,
    /// The workload that decides targets and configuration.
    pub workload: Workload,
    /// How targets are chosen.
    pub policy: Policy,
    /// The preset that all presets of the configuration copy, apart from the policy.
    pub preset: Preset,
    /// Whether relays stand in front of nodes and engines, to stall or block their connections.
    pub use_relays: bool,
    /// How long callers cache node addresses.
    pub address_ttl: Millis,
    /// Number of additional configured targets, all at the address of the first engine.
    pub extra_targets: usize,
    /// Number of additional configured workspaces.
    pub extra_workspaces: usize,
}

impl ClusterSettings {
    /// Six nodes for a workload, without relays.
    pub fn new(workload: Workload) -> Self {
        Self {
            nodes: 6,
            workload,
            policy: Policy::Granted,
            preset: Preset::default(),
            use_relays: false,
            address_ttl: Millis(2000),
            extra_targets: 0,
            extra_workspaces: 0,
        }
    }
}

/// A node on a dedicated runtime, so that it can be killed or frozen like a process.
pub struct NodeHandle {
    /// The node's name.
    pub name: String,
    /// The address that callers use.
    pub http: SocketAddr,
    zone: String,
    runtime: Option<Runtime>,
    node: Option<Node>,
    thaw: Option<mpsc::Sender<()>>,
    relays: Option<(TcpRelay, TcpRelay)>,
}

/// Running nodes and the fakes around them.
pub struct Cluster {
    /// The settings the cluster was started with.
    pub cfg: ClusterSettings,
    /// The fake configuration log.
    pub log: FakeLog,
    /// The fake instance list.
    pub instances: FakeInstanceList,
    /// The engines, without their relays.
    pub engines: Vec<Engine>,
    /// The instances of the service.
    pub services: Vec<FakeService>,
    /// Runs as recorded by the targets.
    pub ledger: Arc<Ledger>,
    /// The nodes, killed and stopped ones included.
    pub nodes: Vec<NodeHandle>,
    engine_relays: Vec<TcpRelay>,
    published: u64,
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Settings of the engine with this index: even ones belong to the newer, faster class.
pub(crate) fn engine_settings(index: usize) -> EngineSettings {
    let newer = EngineSettings {
        name: format!("e{index}"),
        ..EngineSettings::default()
    };
    match index % 2 {
        0 => newer,
        _ => EngineSettings {
            prefill_per_ms: 12.0,
            step_ms: 20.0,
            step_ms_per_request: 0.5,
            ..newer
        },
    }
}

impl Cluster {
    /// Starts fakes and nodes, and waits until all nodes have activated the configuration.
    ///
    /// # Errors
    ///
    /// Fails when a part cannot start, or [`Error::NotReady`] after a minute.
    pub async fn start(cfg: ClusterSettings) -> Result<Self> {
        let ledger = Arc::new(Ledger::default());
        let mut cluster = Self {
            log: FakeLog::start(loopback()).await?,
            instances: FakeInstanceList::start(loopback(), LIST_LAG).await?,
            engines: Vec::new(),
            services: Vec::new(),
            nodes: Vec::new(),
            engine_relays: Vec::new(),
            published: 0,
            ledger,
            cfg,
        };
        cluster.start_targets().await?;
        for index in 0..cluster.cfg.nodes {
            cluster.start_node(index).await?;
        }
        cluster.wait_for_members().await?;
        let config = cluster.configuration().to_value();
        cluster.publish(&Edit::Replace { config }).await?;
        cluster.wait_for_revision().await?;
        Ok(cluster)
    }

    async fn start_targets(&mut self) -> Result<()> {
        for index in 0..self.cfg.workload.engines {
            let engine =
                Engine::start(loopback(), engine_settings(index), self.ledger.clone()).await?;
            if self.cfg.use_relays {
                self.engine_relays
                    .push(TcpRelay::start(engine.address(), Duration::ZERO).await?);
            }
            self.engines.push(engine);
        }
        for index in 0..self.cfg.workload.services {
            let cfg = ServiceSettings {
                name: format!("s{index}"),
                ..ServiceSettings::default()
            };
            self.services
                .push(FakeService::start(loopback(), cfg, self.ledger.clone()).await?);
        }
        Ok(())
    }

    fn zone(&self, index: usize) -> &'static str {
        self.cfg.workload.zones[index % 3]
    }

    /// Starts the node with this index, or a new incarnation of it.
    ///
    /// # Errors
    ///
    /// Fails when the node cannot start.
    pub async fn start_node(&mut self, index: usize) -> Result<()> {
        let name = format!("n{index}");
        let zone = self.zone(index).to_owned();
        let handle = NodeHandle::start(&name, &zone, self).await?;
        self.instances.put(handle.list_entry());
        match self.nodes.iter().position(|n| n.name == name) {
            Some(i) => self.nodes[i] = handle,
            None => self.nodes.push(handle),
        }
        Ok(())
    }

    async fn wait_for_members(&self) -> Result<()> {
        let all = self.nodes.len();
        let joined = |m: &&MemberUpdate| m.incarnation > Incarnation(0);
        self.wait_until(|node| {
            let members = node.watch_members();
            let members = members.borrow();
            members.members.values().filter(joined).count() >= all
        })
        .await
    }

    /// Waits until the newest published revision is active on all running nodes.
    ///
    /// # Errors
    ///
    /// [`Error::NotReady`] after a minute.
    pub async fn wait_for_revision(&self) -> Result<()> {
        let newest = self.published;
        self.wait_until(|node| node.revision().0 >= newest).await
    }

    async fn wait_until(&self, ready: impl Fn(&Node) -> bool) -> Result<()> {
        let give_up_at = Instant::now() + READY_TIMEOUT;
        while Instant::now() < give_up_at {
            if self
                .nodes
                .iter()
                .filter_map(|n| n.node.as_ref())
                .all(&ready)
            {
                return Ok(());
            }
            sleep(Duration::from_millis(20)).await;
        }
        Err(Error::NotReady)
    }

    /// Publishes an edit through the first running node and returns the new revision.
    ///
    /// # Errors
    ///
    /// As [`rwd_control::Control::publish`].
    pub async fn publish(&mut self, edit: &Edit) -> Result<u64> {
        let mut running = self.nodes.iter().filter(|n| n.thaw.is_none());
        let running = running.find_map(|n| Some((n.node.as_ref()?, n.runtime.as_ref()?)));
        let (node, runtime) = running.ok_or(Error::NotReady)?;
        let publishing = runtime.spawn(publish_future(node, edit));
        let published = publishing.await.map_err(|_| Error::NotReady)??;
        self.published = self.published.max(published.revision.0);
        Ok(published.revision.0)
    }

    /// Publishes an edit through one node without waiting for the outcome.
    pub fn publish_detached(&self, node: usize, edit: &Edit) {
        let handle = self.nodes.get(node);
        let parts = handle.map(|n| (n.node.as_ref(), n.runtime.as_ref()));
        if let Some((Some(node), Some(runtime))) = parts {
            runtime.spawn(publish_future(node, edit));
        }
    }

    /// Puts a target on the instance list.
    pub fn list_target(&self, target: &str, leaving: bool) {
        self.instances.put(Instance {
            name: target.into(),
            role: InstanceRole::Target,
            state: match leaving {
                true => InstanceState::Leaving,
                false => InstanceState::Live,
            },
            zone: name(self.zone(0)),
            http: loopback(),
            peer: None,
        });
    }

    /// Kills all nodes.
    pub async fn stop(&mut self) {
        for node in &mut self.nodes {
            node.kill();
        }
    }

    /// The addresses of the nodes that callers use.
    pub fn http_addresses(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|n| n.http).collect()
    }

    /// Creates a caller of a workspace in a zone that may ask any node for addresses.
    pub fn caller(&self, workspace: &str, zone: &str, response_timeout: Duration) -> Caller {
        Caller::new(CallerSettings {
            workspace: workspace.to_owned(),
            key: Self::workspace_key(workspace),
            nodes: self.http_addresses(),
            zone: zone.to_owned(),
            response_timeout,
        })
    }

    /// The API key of a workspace.
    pub fn workspace_key(name: &str) -> String {
        format!("key-of-{name}")
    }

    /// The relay in front of an engine, if [`ClusterSettings::use_relays`] is on.
    pub fn engine_relay(&self, index: usize) -> Option<&TcpRelay> {
        self.engine_relays.get(index)
    }

    fn configuration(&self) -> Configuration {
        let w = &self.cfg.workload;
        let zones = w.zones.iter().map(|z| (name(z), name(w.region)));
        let tiers = w.tiers.iter().map(|t| {
            let tier = Tier {
                rank: TierRank(t.rank),
                deadline: t.deadline.into(),
            };
            (name(t.tier), tier)
        });
        let workspaces = w.workspaces.iter().map(|(workspace, _)| {
            let workspace_cfg = Workspace {
                key: Self::workspace_key(workspace).into(),
                weight: 1,
                limits: Default::default(),
            };
            (name(workspace), workspace_cfg)
        });
        let classes = [0, 1].map(|i| {
            let e = engine_settings(i);
            let class = Class {
                prefill: TokenRate((e.prefill_rate_when_full() * 1000.0) as u64),
                cache: Tokens(e.cache_blocks as u64 * rwd_edge::BLOCK_TOKENS as u64),
                token_interval: Millis((e.step_ms + e.step_ms_per_request * 8.0).ceil() as u64),
            };
            (name(CLASSES[i]), class)
        });
        let model = Model {
            max_prompt: Tokens(16_000),
            max_output: Tokens(4000),
        };
        let rule = PathRule { idempotent: false };
        let service = Service {
            paths: [(w.paths.1.into(), rule)].into(),
        };
        let preset = Preset {
            policy: self.cfg.policy,
            ..self.cfg.preset.clone()
        };
        let presets = [
            PresetName::Ordinary,
            PresetName::Peak,
            PresetName::Maintenance,
        ];
        Configuration {
            preset: PresetName::Peak,
            presets: presets.map(|p| (p, preset.clone())).into(),
            zones: zones.collect(),
            tiers: tiers.collect(),
            workspaces: workspaces.chain(self.extra_workspaces()).collect(),
            classes: classes.into(),
            models: [(name(w.model), model)].into(),
            services: [(name(w.service), service)].into(),
            targets: self.target_configuration(),
            ..Configuration::default()
        }
    }

    fn target_configuration(&self) -> indexmap::IndexMap<rwd_types::TargetName, Target> {
        let w = &self.cfg.workload;
        let engines = self.engines.iter().enumerate().map(|(i, engine)| {
            let relay = self.engine_relays.get(i).map(TcpRelay::address);
            let target = Target {
                address: relay.unwrap_or(engine.address()),
                zone: name(self.zone(i)),
                class: Some(name(CLASSES[i % 2])),
                pools: vec![name(w.model)],
                slots: engine_settings(i).batch as u32,
            };
            (name(&format!("e{i}")), target)
        });
        let services = self.services.iter().enumerate().map(|(i, service)| {
            let target = Target {
                address: service.address(),
                zone: name(self.zone(i)),
                class: None,
                pools: vec![name(w.service)],
                slots: 64,
            };
            (name(&format!("s{i}")), target)
        });
        engines
            .chain(services)
            .chain(self.extra_targets())
            .collect()
    }

    fn extra_targets(&self) -> impl Iterator<Item = (rwd_types::TargetName, Target)> {
        let first = self.engines.first().map(Engine::address);
        (0..self.cfg.extra_targets).map(move |i| {
            let target = Target {
                address: first.unwrap_or(loopback()),
                zone: name(self.zone(i)),
                class: Some(name(CLASSES[i % 2])),
                pools: vec![name(self.cfg.workload.model)],
                slots: 16,
            };
            (name(&format!("extra-{i}")), target)
        })
    }

    fn extra_workspaces(&self) -> impl Iterator<Item = (rwd_types::WorkspaceName, Workspace)> {
        (0..self.cfg.extra_workspaces).map(|i| {
            let workspace = Workspace {
                key: format!("key-of-extra-{i}").into(),
                weight: 1,
                limits: Default::default(),
            };
            (name(&format!("extra-{i}")), workspace)
        })
    }
}

fn publish_future(
    node: &Node,
    edit: &Edit,
) -> impl Future<Output = rwd_control::Result<Published>> + Send + 'static {
    let id = PublishId(format!("lab-{:x}", rand::random::<u64>()).into());
    let (control, edit) = (node.control().clone(), edit.clone());
    async move { control.publish(id, "lab".into(), None, &edit).await }
}

const CLASSES: [&str; 2] = ["newer", "older"];

// Parses a name that the lab itself made and that is therefore valid.
fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse()
        .unwrap_or_else(|e| unreachable!("{text}: {e:?}"))
}

impl NodeHandle {
    async fn start(node_name: &str, zone: &str, cluster: &Cluster) -> Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .thread_name(format!("node-{node_name}"))
            .enable_all()
            .build()?;
        let http = TcpListener::bind(loopback())?;
        let peer = TcpListener::bind(loopback())?;
        http.set_nonblocking(true)?;
        peer.set_nonblocking(true)?;
        let (http_address, peer_address) = (http.local_addr()?, peer.local_addr()?);
        let relays = match cluster.cfg.use_relays {
            true => {
                let http = TcpRelay::start(http_address, Duration::ZERO).await?;
                let peer = TcpRelay::start(peer_address, Duration::ZERO).await?;
                Some((http, peer))
            }
            false => None,
        };
        let relayed = relays.as_ref().map(|(h, p)| (h.address(), p.address()));
        let (advertised_http, advertised_peer) = relayed.unwrap_or((http_address, peer_address));
        let cfg = Settings {
            instance: name(node_name),
            zone: name(zone),
            http: advertised_http,
            peer: advertised_peer,
            secret: Secret::new(SECRET),
            operator_token: Secret::new(OPERATOR_TOKEN),
            platform: rwd_config::PlatformSettings {
                log: cluster.log.address(),
                instances: cluster.instances.address(),
            },
            address_ttl: cluster.cfg.address_ttl,
            ..Settings::default()
        };
        let started = runtime.spawn(async move {
            let http = tokio::net::TcpListener::from_std(http)?;
            let peer = tokio::net::TcpListener::from_std(peer)?;
            let external = ExternalServices::over_http(&cfg);
            Ok::<_, Error>(Node::start_on(cfg, external, http, peer).await?)
        });
        let node = started.await.map_err(|_| Error::NotReady)??;
        Ok(Self {
            name: node_name.to_owned(),
            http: advertised_http,
            zone: zone.to_owned(),
            runtime: Some(runtime),
            node: Some(node),
            thaw: None,
            relays,
        })
    }

    fn list_entry(&self) -> Instance {
        let peer = self.relays.as_ref().map(|(_, peer)| peer.address());
        Instance {
            name: self.name.as_str().into(),
            role: InstanceRole::Node,
            state: InstanceState::Live,
            zone: name(&self.zone),
            http: self.http,
            peer: peer.or(self.node.as_ref().map(Node::peer_address)),
        }
    }

    /// The node, unless it was killed or stopped.
    pub fn node(&self) -> Option<&Node> {
        self.node.as_ref()
    }

    /// The relays in front of the node's two listeners: for callers and for peers.
    pub fn relays(&self) -> Option<&(TcpRelay, TcpRelay)> {
        self.relays.as_ref()
    }

    /// Terminates the node without a shutdown, as a crash does.
    pub fn kill(&mut self) {
        self.thaw();
        self.node = None;
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Suspends the node, as SIGSTOP does a process, until [`thaw`](Self::thaw) is called.
    pub fn freeze(&mut self) {
        let (tx, rx) = mpsc::channel();
        if let Some(runtime) = &self.runtime {
            runtime.spawn(async move {
                // Blocks the runtime's only worker thread on purpose.
                let _ = rx.recv();
            });
            self.thaw = Some(tx);
        }
    }

    /// Resumes a frozen node.
    pub fn thaw(&mut self) {
        self.thaw = None;
    }

    /// Shuts the node down gracefully and waits until it has ended.
    pub async fn stop(&mut self) {
        if let (Some(node), Some(runtime)) = (self.node.take(), &self.runtime) {
            // A shutdown that fails leaves nothing to wait for.
            let _ = runtime.spawn(node.stop()).await;
        }
        self.kill();
    }
}

impl Drop for NodeHandle {
    fn drop(&mut self) {
        self.kill();
    }
}

//! A small cluster on loopback: a store, targets and gateway nodes.

use crate::cut_path::CutPath;
use rwd_gateway::{Bounds, GatewayNode, GatewaySettings, Listen};
use rwd_lab::site::{
    Call, CallResult, FakeStore, FakeTarget, SlowLink, call, config_record, server_record,
};
use rwd_platform::{PlatformProtocol, PlatformStore};
use rwd_types::Secret;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};

pub const KEY: &str = "k1";

/// Ports of every node; each node has its own IP address.
const REQUEST_PORT: u16 = 7801;
const READINESS_PORT: u16 = 7802;
const DIRECTORY_PORT: u16 = 7803;
const PEER_PORT: u16 = 7804;

static NEXT_SUBNET: AtomicU8 = AtomicU8::new(1);

pub struct TestCluster {
    pub store: FakeStore,
    pub desk_targets: Vec<FakeTarget>,
    pub model_targets: Vec<FakeTarget>,
    pub nodes: Vec<GatewayNode>,
    /// The paths of each node to all targets.
    pub paths: Vec<CutPath>,
    subnet: (u8, u8),
}

impl TestCluster {
    /// Starts `nodes` nodes and the given number of targets of the services `desk` and `model`.
    pub async fn start(nodes: u8, desks: usize, models: usize) -> Self {
        // Tests of one binary run in parallel, and so do test binaries.
        let subnet = (
            100 + (std::process::id() % 100) as u8,
            NEXT_SUBNET.fetch_add(1, Ordering::Relaxed),
        );
        let ip = ip_in(subnet, 250);
        let mut cluster = Self {
            store: FakeStore::start(ip).await.unwrap(),
            desk_targets: Vec::new(),
            model_targets: Vec::new(),
            nodes: Vec::new(),
            paths: Vec::new(),
            subnet,
        };
        for n in 0..desks {
            cluster
                .desk_targets
                .push(FakeTarget::start(ip, &format!("desk-{n}")).await.unwrap());
        }
        for n in 0..models {
            cluster
                .model_targets
                .push(FakeTarget::start(ip, &format!("model-{n}")).await.unwrap());
        }
        cluster.put_config(1, &[KEY], 1_000_000);
        cluster.register_targets("ready", 1);
        for n in 0..nodes {
            cluster.add_node(n).await;
        }
        for node in &cluster.nodes {
            node.await_ready().await;
            node.await_members(usize::from(nodes)).await;
        }
        cluster
    }

    pub fn put_config(&self, version: u64, keys: &[&str], per_s: u64) {
        let record = config_record(version, keys, per_s);
        self.store.put("keyed.op", "config", Some(&record));
    }

    pub fn register_targets(&self, state: &str, seq: u64) {
        for target in &self.desk_targets {
            let record = server_record("desk", target.address(), state, seq);
            self.store
                .put("keyed.servers", target.name(), Some(&record));
        }
        for target in &self.model_targets {
            let record = server_record("model", target.address(), state, seq);
            self.store
                .put("keyed.servers", target.name(), Some(&record));
        }
    }

    pub async fn add_node(&mut self, n: u8) {
        self.add_node_with(self.settings(n)).await;
    }

    pub async fn add_node_with(&mut self, cfg: GatewaySettings) {
        let store = PlatformStore::new(cfg.store);
        let path = CutPath::default();
        let node = GatewayNode::start_with(cfg, None, PlatformProtocol, store, path.dial()).await;
        self.nodes.push(node.unwrap());
        self.paths.push(path);
    }

    pub fn settings(&self, n: u8) -> GatewaySettings {
        let ip = ip_in(self.subnet, n + 1);
        let at = |port| SocketAddr::new(ip, port);
        GatewaySettings {
            name: format!("node-{n}").into(),
            zone: "z1".parse().unwrap(),
            region: "r1".parse().unwrap(),
            listen: Listen {
                requests: at(REQUEST_PORT),
                readiness: at(READINESS_PORT),
                directory: at(DIRECTORY_PORT),
                peers: at(PEER_PORT),
                advertised_peers: None,
            },
            seeds: vec![SocketAddr::new(ip_in(self.subnet, 1), PEER_PORT)],
            store: self.store.address(),
            cpu_share: 1.0,
            memory_mb: None,
            holds_streams: true,
            secret: Secret::new("a secret of the tests"),
            bounds: Bounds::default(),
            scheduling: Default::default(),
            platform_terms: Vec::new(),
            rollouts: None,
        }
    }

    /// A link from an address of the cluster, as a small machine has it.
    pub async fn slow_link(&self, n: u8, to: SocketAddr, bytes_per_s: u32) -> SlowLink {
        let ip = ip_in(self.subnet, n + 1);
        SlowLink::start(ip, to, bytes_per_s).await.unwrap()
    }

    /// The address at which a node accepts requests.
    pub fn request_addr(&self, n: u8) -> SocketAddr {
        SocketAddr::new(ip_in(self.subnet, n + 1), REQUEST_PORT)
    }

    pub fn readiness_addr(&self, n: u8) -> SocketAddr {
        SocketAddr::new(ip_in(self.subnet, n + 1), READINESS_PORT)
    }

    pub fn directory_addr(&self, n: u8) -> SocketAddr {
        SocketAddr::new(ip_in(self.subnet, n + 1), DIRECTORY_PORT)
    }

    /// Sends a request to the first node.
    pub async fn call(&self, req: &Call) -> CallResult {
        call(self.request_addr(0), req).await.unwrap()
    }

    /// How often targets of any service started work on a request.
    pub fn runs(&self, id: &str) -> usize {
        let targets = self.desk_targets.iter().chain(&self.model_targets);
        let arrivals = targets.flat_map(FakeTarget::arrivals);
        let matching = arrivals.filter(|a| a.started && a.header("request-id") == Some(id));
        matching.count()
    }
}

fn ip_in(subnet: (u8, u8), last: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, subnet.0, subnet.1, last))
}

pub fn get(path: &str, id: &str) -> Call {
    Call::new("GET", path, id, KEY)
}

pub fn post(path: &str, id: &str) -> Call {
    Call::new("POST", path, id, KEY)
}

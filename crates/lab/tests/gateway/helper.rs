//! A small installation on loopback: a store, runners, nodes of the gateway.

use rwd_gateway::{Bounds, GatewayNode, GatewaySettings, Listen};
use rwd_lab::site::{Call, CallResult, FakeStore, FakeTarget, call, config_record, server_record};
use rwd_platform::{PlatformProtocol, PlatformStore};
use rwd_types::Secret;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};

pub const KEY: &str = "k1";

/// Ports of every node; each has an address of its own.
const REQUESTS: u16 = 7801;
const READINESS: u16 = 7802;
const DIRECTORY: u16 = 7803;
const PEERS: u16 = 7804;

static BLOCK: AtomicU8 = AtomicU8::new(1);

pub struct Site {
    pub store: FakeStore,
    pub desks: Vec<FakeTarget>,
    pub models: Vec<FakeTarget>,
    pub nodes: Vec<GatewayNode>,
    block: (u8, u8),
}

impl Site {
    /// Starts `nodes` nodes before as many runners of each service as asked for.
    pub async fn start(nodes: u8, desks: usize, models: usize) -> Self {
        // Test binaries run side by side, and so do the tests of one.
        let block = (
            100 + (std::process::id() % 100) as u8,
            BLOCK.fetch_add(1, Ordering::Relaxed),
        );
        let ip = address(block, 250);
        let mut site = Self {
            store: FakeStore::start(ip).await.unwrap(),
            desks: Vec::new(),
            models: Vec::new(),
            nodes: Vec::new(),
            block,
        };
        for n in 0..desks {
            site.desks
                .push(FakeTarget::start(ip, &format!("desk-{n}")).await.unwrap());
        }
        for n in 0..models {
            site.models
                .push(FakeTarget::start(ip, &format!("model-{n}")).await.unwrap());
        }
        site.put_config(1, &[KEY], 1_000_000);
        site.list_runners("ready", 1);
        for n in 0..nodes {
            site.add_node(n).await;
        }
        for node in &site.nodes {
            node.await_ready().await;
            node.await_members(usize::from(nodes)).await;
        }
        site
    }

    pub fn put_config(&self, version: u64, keys: &[&str], per_s: u64) {
        let record = config_record(version, keys, per_s);
        self.store.put("keyed.op", "config", Some(&record));
    }

    pub fn list_runners(&self, state: &str, seq: u64) {
        for runner in &self.desks {
            let record = server_record("desk", runner.address(), state, seq);
            self.store
                .put("keyed.servers", runner.name(), Some(&record));
        }
        for runner in &self.models {
            let record = server_record("model", runner.address(), state, seq);
            self.store
                .put("keyed.servers", runner.name(), Some(&record));
        }
    }

    pub async fn add_node(&mut self, n: u8) {
        let cfg = self.settings(n);
        let store = PlatformStore::new(self.store.address());
        let node = GatewayNode::start(cfg, None, PlatformProtocol, store).await;
        self.nodes.push(node.unwrap());
    }

    pub fn settings(&self, n: u8) -> GatewaySettings {
        let ip = address(self.block, n + 1);
        let at = |port| SocketAddr::new(ip, port);
        GatewaySettings {
            name: format!("node-{n}").into(),
            zone: "z1".parse().unwrap(),
            region: "r1".parse().unwrap(),
            listen: Listen {
                requests: at(REQUESTS),
                readiness: at(READINESS),
                directory: at(DIRECTORY),
                peers: at(PEERS),
            },
            seeds: vec![SocketAddr::new(address(self.block, 1), PEERS)],
            store: self.store.address(),
            cpu_share: 1.0,
            secret: Secret::new("a secret of the tests"),
            bounds: Bounds::default(),
        }
    }

    /// Where a node takes requests.
    pub fn front(&self, n: u8) -> SocketAddr {
        SocketAddr::new(address(self.block, n + 1), REQUESTS)
    }

    pub fn readiness(&self, n: u8) -> SocketAddr {
        SocketAddr::new(address(self.block, n + 1), READINESS)
    }

    pub fn directory(&self, n: u8) -> SocketAddr {
        SocketAddr::new(address(self.block, n + 1), DIRECTORY)
    }

    /// Sends a request to the first node.
    pub async fn call(&self, call_: &Call) -> CallResult {
        call(self.front(0), call_).await.unwrap()
    }

    /// Requests that runners of all kinds began to work on, by request id.
    pub fn runs(&self, id: &str) -> usize {
        let runners = self.desks.iter().chain(&self.models);
        let arrivals = runners.flat_map(FakeTarget::arrivals);
        let of_id = arrivals.filter(|a| a.ran && a.header("request-id") == Some(id));
        of_id.count()
    }
}

fn address(block: (u8, u8), last: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, block.0, block.1, last))
}

pub fn get(path: &str, id: &str) -> Call {
    Call::new("GET", path, id, KEY)
}

pub fn post(path: &str, id: &str) -> Call {
    Call::new("POST", path, id, KEY)
}

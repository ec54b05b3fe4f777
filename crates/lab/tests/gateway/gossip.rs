//! Versions of the configuration that a node learns of by gossip.

use crate::helper::{KEY, TestCluster};
use flate2::Compression;
use flate2::read::ZlibEncoder;
use rwd_gateway::instance_name;
use rwd_lab::site::config_record;
use rwd_peer::{
    ByteCounter, Directory, Exchange, Handler, KeepAlive, LinkSettings, Links, ListedInstance,
    Membership, MembershipSettings, new_incarnation, serve,
};
use rwd_timer::Timer;
use rwd_types::{InstanceName, Revision, Secret};
use rwd_wire::{Liveness, MemberUpdate, Message};
use std::io::Read;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

const VERSION: u64 = 7;
const TIMEOUT: Duration = Duration::from_millis(400);
const KEEP_ALIVE: KeepAlive = KeepAlive {
    period: TIMEOUT,
    timeout: TIMEOUT,
};

/// A peer that takes part in the membership and sends its version of the configuration to nodes that
/// ask for it, but replies to no pull.
struct Peer {
    membership: Arc<Membership>,
    config: Vec<u8>,
}

impl Handler for Peer {
    async fn handle(&self, _: InstanceName, first: Message, mut ex: Exchange) {
        // A failed exchange is tried again by its node.
        let _ = match first {
            Message::Ping(_) | Message::PingFor { .. } => {
                self.membership.serve_probe(&first, ex).await
            }
            Message::AskCatalog { version, .. } if version == VERSION => {
                let part = Message::CatalogPart {
                    count: 1,
                    data: self.config.clone(),
                };
                ex.send_last(&part).await
            }
            _ => Ok(()),
        };
    }
}

/// Guards against nodes that learn of a version only when their readers do, as if those were all cut off
/// from the store: a removed key was accepted for more than three seconds.
#[tokio::test]
async fn a_version_that_a_peer_gossips_becomes_active_although_no_reader_has_it() {
    let cluster = TestCluster::start(1, 1, 1).await;
    let (node, cfg) = (cluster.settings(0), cluster.settings(1));
    let name = instance_name(cfg.listen.peers.ip());
    let directory = Arc::new(Directory::new(MemberUpdate {
        name: name.clone(),
        incarnation: new_incarnation(),
        refutation: 0,
        liveness: Liveness::Alive,
        leaving: false,
        http: cfg.listen.requests,
        peer: cfg.listen.peers,
        zone: cfg.zone.clone(),
        cpu_milli: 1000,
    }));
    directory.set_revision(Revision(VERSION));
    directory.apply_list(&[ListedInstance {
        name: instance_name(node.listen.peers.ip()),
        http: node.listen.requests,
        peer: node.listen.peers,
        zone: node.zone.clone(),
        leaving: false,
        cpu_milli: 1000,
    }]);
    let secret = Secret::new("a secret of the tests");
    let link_cfg = LinkSettings {
        own: name,
        secret: secret.clone(),
        connect_timeout: TIMEOUT,
        keep_alive: KEEP_ALIVE,
    };
    let links = Links::new(link_cfg, directory.clone(), ByteCounter::default());
    let membership_cfg = MembershipSettings {
        heartbeat: TIMEOUT,
        probe_timeout: TIMEOUT,
        suspicion: TIMEOUT,
    };
    let membership = Membership::new(membership_cfg, directory, Arc::new(links));
    let membership = Arc::new(membership);
    let record = config_record(VERSION, &[KEY], 1_000_000);
    let mut config = Vec::new();
    let mut encoder = ZlibEncoder::new(record.as_bytes(), Compression::fast());
    encoder.read_to_end(&mut config).unwrap();
    let peer = Arc::new(Peer {
        membership: membership.clone(),
        config,
    });
    let listener = TcpListener::bind(cfg.listen.peers).await.unwrap();
    tokio::spawn(serve(
        listener,
        secret,
        ByteCounter::default(),
        KEEP_ALIVE,
        peer,
    ));
    tokio::spawn(async move { membership.run(&Timer::start()).await });
    let active = cluster.nodes[0].await_config(VERSION);
    let active = tokio::time::timeout(Duration::from_secs(30), active).await;
    assert!(active.is_ok(), "the node does not have the version");
}

//! A peer server on a local port, and links to it.

use rwd_peer::{
    ByteCounter, Directory, Handler, KeepAlive, LinkSettings, Links, ListedInstance, serve,
};
use rwd_types::{Incarnation, Secret};
use rwd_wire::{Liveness, MemberUpdate};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Longer than any operation of these tests takes.
pub const TIMEOUT: Duration = Duration::from_secs(20);
const KEEP_ALIVE: KeepAlive = KeepAlive {
    period: TIMEOUT,
    timeout: TIMEOUT,
};

/// Starts a peer server with the given secret.
pub async fn listen<H: Handler>(secret: &str, handler: Arc<H>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(serve(
        listener,
        Secret::new(secret),
        ByteCounter::default(),
        KEEP_ALIVE,
        handler,
    ));
    address
}

/// The links of node `a`, whose directory has node `b` at address `to`.
pub fn links(secret: &str, to: SocketAddr) -> Links {
    let own = MemberUpdate {
        name: "a".parse().unwrap(),
        incarnation: Incarnation(1),
        refutation: 0,
        liveness: Liveness::Alive,
        leaving: false,
        http: to,
        peer: to,
        zone: "z".parse().unwrap(),
        cpu_milli: 0,
    };
    let directory = Arc::new(Directory::new(own));
    directory.apply_list(&[ListedInstance {
        name: "b".parse().unwrap(),
        http: to,
        peer: to,
        zone: "z".parse().unwrap(),
        leaving: false,
        cpu_milli: 0,
    }]);
    let cfg = LinkSettings {
        own: "a".parse().unwrap(),
        secret: Secret::new(secret),
        connect_timeout: TIMEOUT,
        keep_alive: KEEP_ALIVE,
    };
    Links::new(cfg, directory, ByteCounter::default())
}

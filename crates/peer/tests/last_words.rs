//! What a node says last in an exchange is heard by its peer.

use rwd_peer::{
    ByteCounter, Directory, Exchange, Handler, KeepAlive, LinkSettings, Links, ListedInstance,
    serve,
};
use rwd_placement::Outcome;
use rwd_types::{Incarnation, InstanceName, Secret};
use rwd_wire::{Liveness, MemberUpdate, Message};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

const LIMIT: Duration = Duration::from_secs(20);
const KEEP_ALIVE: KeepAlive = KeepAlive {
    period: LIMIT,
    timeout: LIMIT,
};

/// Answers the first message and reports the second.
struct Granting(mpsc::UnboundedSender<Option<Message>>);

impl Handler for Granting {
    async fn handle(&self, _from: InstanceName, _first: Message, mut ex: Exchange) {
        ex.send(&Message::Queued).await.unwrap();
        let last = ex.recv().await.unwrap_or_default();
        self.0.send(last).unwrap();
    }
}

#[tokio::test]
async fn a_release_is_heard_by_the_scheduler() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (tx, mut heard) = mpsc::unbounded_channel();
    tokio::spawn(serve(
        listener,
        Secret::new("s"),
        ByteCounter::default(),
        KEEP_ALIVE,
        Arc::new(Granting(tx)),
    ));
    let own = MemberUpdate {
        name: "a".parse().unwrap(),
        incarnation: Incarnation(1),
        refutation: 0,
        liveness: Liveness::Alive,
        leaving: false,
        http: address,
        peer: address,
        zone: "z".parse().unwrap(),
        cpu_milli: 0,
    };
    let directory = Arc::new(Directory::new(own));
    let scheduler: InstanceName = "b".parse().unwrap();
    directory.apply_list(&[ListedInstance {
        name: scheduler.clone(),
        http: address,
        peer: address,
        zone: "z".parse().unwrap(),
        leaving: false,
        cpu_milli: 0,
    }]);
    let cfg = LinkSettings {
        own: "a".parse().unwrap(),
        secret: Secret::new("s"),
        connect_timeout: LIMIT,
        keep_alive: KEEP_ALIVE,
    };
    let links = Links::new(cfg, directory, ByteCounter::default());
    let release = Message::Release(Outcome::Gone);
    for n in 0..50 {
        let mut ex = links.open(&scheduler, &Message::Queued).await.unwrap();
        assert_eq!(ex.recv().await.unwrap(), Some(Message::Queued));
        ex.finish(&release).await.unwrap();
        assert_eq!(
            heard.recv().await.unwrap(),
            Some(release.clone()),
            "try {n}"
        );
    }
}

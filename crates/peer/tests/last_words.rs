//! What a node says last in an exchange is heard by its peer.

mod helper;

use helper::{links, listen};
use rwd_peer::{Exchange, Handler};
use rwd_placement::SlotOutcome;
use rwd_types::InstanceName;
use rwd_wire::Message;
use std::sync::Arc;
use tokio::sync::mpsc;

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
    let (tx, mut heard) = mpsc::unbounded_channel();
    let address = listen("s", Arc::new(Granting(tx))).await;
    let links = links("s", address);
    let scheduler: InstanceName = "b".parse().unwrap();
    let release = Message::Release(SlotOutcome::Gone);
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

//! The last message of an exchange reaches the peer before the stream is reset.

mod helper;

use helper::{links, listen};
use rwd_peer::{Exchange, Handler};
use rwd_placement::{LimitReport, SlotOutcome};
use rwd_types::InstanceName;
use rwd_wire::Message;
use std::sync::Arc;
use tokio::sync::mpsc;

/// Replies to the first message and reports the second.
struct ReportSecond(mpsc::UnboundedSender<Option<Message>>);

impl Handler for ReportSecond {
    async fn handle(&self, _from: InstanceName, _first: Message, mut ex: Exchange) {
        ex.send(&Message::Queued).await.unwrap();
        let last = ex.recv().await.unwrap_or_default();
        self.0.send(last).unwrap();
    }
}

#[tokio::test]
async fn a_release_sent_with_finish_reaches_the_scheduler() {
    let (tx, mut received) = mpsc::unbounded_channel();
    let address = listen("s", Arc::new(ReportSecond(tx))).await;
    let links = links("s", address);
    let scheduler: InstanceName = "b".parse().unwrap();
    let release = Message::Release {
        outcome: SlotOutcome::Gone,
        limit: LimitReport::Unlimited,
    };
    for n in 0..50 {
        let mut ex = links.open(&scheduler, &Message::Queued).await.unwrap();
        assert_eq!(ex.recv().await.unwrap(), Some(Message::Queued));
        ex.finish(&release).await.unwrap();
        assert_eq!(
            received.recv().await.unwrap(),
            Some(release.clone()),
            "try {n}"
        );
    }
}

//! How a node leaves without harm to its callers.

use log::info;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

use crate::Node;
use crate::node::Shared;

/// How long callers may take to hear that an address is gone, beyond its time to live.
const ADDRESS_MARGIN: Duration = Duration::from_millis(500);
/// How long open connections may take to close once nothing is in progress.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

impl Shared {
    /// Marks the node as leaving: it is named in no new address answer, owns nothing, and asks
    /// callers on open connections to move.
    pub(crate) fn leave(&self) {
        let first = self
            .leaving
            .send_if_modified(|leaving| !std::mem::replace(leaving, true));
        if first {
            info!(decision = "leave"; "leaving");
            self.directory.set_leaving();
        }
    }

    // A node that operators mark for a planned stop leaves, and stays up until it is stopped.
    pub(crate) async fn follow_drain(self: Arc<Self>) {
        let mut config = self.control.watch();
        loop {
            let cfg = config.borrow_and_update().cfg.clone();
            if cfg.drained_instances.contains(&self.cfg.instance) {
                self.leave();
            }
            // The sender lives as long as `self`.
            let _ = config.changed().await;
        }
    }
}

impl Node {
    /// Marks the node as leaving without stopping it.
    pub fn leave(&self) {
        self.shared.leave();
    }

    /// A planned stop: returns when nothing is in progress and no caller can still hold the
    /// node's address, or when the longest wait of the settings has passed.
    ///
    /// Calling it again while it runs does no harm.
    pub async fn stop(self) {
        let shared = self.shared.clone();
        shared.leave();
        let longest = shared.cfg.stop_timeout.duration();
        sleep((shared.cfg.address_ttl.duration() + ADDRESS_MARGIN).min(longest)).await;
        let idle = timeout(longest, shared.home.wait_idle()).await.is_ok();
        shared.closing.send_replace(true);
        // The connections hold receivers and close when their last answer is out.
        let closed = timeout(CLOSE_TIMEOUT, shared.closing.closed())
            .await
            .is_ok();
        info!(decision = "stop", idle, closed; "stopped");
        drop(self);
    }
}

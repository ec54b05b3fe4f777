//! Graceful shutdown of a node.

use log::info;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

use crate::Node;
use crate::node::Shared;

/// Time beyond an address's TTL in which callers may still use the address.
const ADDRESS_MARGIN: Duration = Duration::from_millis(500);
/// Timeout for closing open connections once no request is in progress.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

impl Shared {
    /// Marks the node as leaving: it is left out of new address responses, owns no shards, and
    /// asks callers on open connections to move to other nodes. Idempotent.
    pub(crate) fn leave(&self) {
        let first = self
            .leaving
            .send_if_modified(|leaving| !std::mem::replace(leaving, true));
        if first {
            info!(decision = "leave"; "leaving");
            self.directory.set_leaving();
        }
    }

    // Leaves once operators drain this node; the process runs on until it is stopped.
    pub(crate) async fn follow_drain(self: Arc<Self>) {
        let mut config = self.control.watch();
        loop {
            let cfg = config.borrow_and_update().cfg.clone();
            if cfg.drained_instances.contains(&self.cfg.instance) {
                self.leave();
            }
            // Cannot fail: the sender lives as long as `self`.
            let _ = config.changed().await;
        }
    }
}

impl Node {
    /// Marks the node as leaving without stopping it.
    pub fn leave(&self) {
        self.shared.leave();
    }

    /// Shuts the node down gracefully: waits until no caller can still hold its address, then
    /// until no request is in progress. Each wait is bounded by the setting `stop_timeout`.
    pub async fn stop(self) {
        let shared = self.shared.clone();
        shared.leave();
        let max_wait = shared.cfg.stop_timeout.duration();
        sleep((shared.cfg.address_ttl.duration() + ADDRESS_MARGIN).min(max_wait)).await;
        let idle = timeout(max_wait, shared.home.wait_idle()).await.is_ok();
        shared.closing.send_replace(true);
        // Connections hold receivers of `closing` and close after their last response.
        let closed = timeout(CLOSE_TIMEOUT, shared.closing.closed())
            .await
            .is_ok();
        info!(decision = "stop", idle, closed; "stopped");
        drop(self);
    }
}

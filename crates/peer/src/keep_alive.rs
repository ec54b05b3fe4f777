//! Detects unresponsive connections, on the connecting and the accepting side.
//!
//! A connection is pinged only while an exchange is open on it. Without pings from
//! the accepting side, a scheduler would never free the slots of an unresponsive
//! home node.

use h2::{Ping, PingPong};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

use crate::ByteCounter;

/// How long a connection without exchanges is kept open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Timing of the keep-alive pings.
#[derive(Clone, Copy, Debug)]
pub struct KeepAlive {
    /// Time between two pings.
    pub period: Duration,
    /// How long the peer may take to acknowledge a ping.
    pub timeout: Duration,
}

/// Counts the exchanges that are open on one connection.
#[derive(Clone, Debug, Default)]
pub(crate) struct ActiveExchanges(Arc<AtomicUsize>);

impl ActiveExchanges {
    /// Counts an exchange until the returned guard is dropped.
    pub fn begin(&self) -> ExchangeGuard {
        self.0.fetch_add(1, Ordering::Relaxed);
        ExchangeGuard(self.clone())
    }

    fn is_empty(&self) -> bool {
        self.0.load(Ordering::Relaxed) == 0
    }
}

/// Counts one open exchange until it is dropped.
#[derive(Debug)]
pub(crate) struct ExchangeGuard(ActiveExchanges);

impl Drop for ExchangeGuard {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns the reason to close the connection: the peer stopped acknowledging pings while an
/// exchange was open, and sent nothing else, or there was no exchange for [`IDLE_TIMEOUT`].
pub(crate) async fn monitor(
    pings: Option<PingPong>,
    cfg: KeepAlive,
    active: &ActiveExchanges,
    received: &ByteCounter,
) -> &'static str {
    let Some(mut pings) = pings else {
        return std::future::pending().await;
    };
    let mut last_active = Instant::now();
    loop {
        sleep(cfg.period).await;
        match active.is_empty() {
            true if last_active.elapsed() >= IDLE_TIMEOUT => return "idle",
            true => continue,
            false => last_active = Instant::now(),
        }
        let acknowledged = pings.ping(Ping::opaque());
        tokio::pin!(acknowledged);
        loop {
            let before = received.get();
            match timeout(cfg.timeout, &mut acknowledged).await {
                Ok(Ok(_)) => break,
                // The acknowledgement queues behind these bytes.
                Err(_) if received.get() > before => (),
                _ => return "silent",
            }
        }
    }
}

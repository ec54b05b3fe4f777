//! Finds connections that have gone silent, on both of their sides.
//!
//! A connection is pinged only while an exchange is open on it. Without this on
//! the accepting side, an owner would count the slots of a silent home for ever.

use h2::{Ping, PingPong};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// How long a connection is kept without exchanges.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Times of the liveness check.
#[derive(Clone, Copy, Debug)]
pub struct KeepAlive {
    /// Time between two pings.
    pub period: Duration,
    /// How long the peer may take to answer one.
    pub timeout: Duration,
}

/// Counts the exchanges that are open on one connection.
#[derive(Clone, Debug, Default)]
pub(crate) struct Uses(Arc<AtomicUsize>);

impl Uses {
    /// Counts an exchange until the returned value is dropped.
    pub fn begin(&self) -> Use {
        self.0.fetch_add(1, Ordering::Relaxed);
        Use(self.clone())
    }

    fn none(&self) -> bool {
        self.0.load(Ordering::Relaxed) == 0
    }
}

/// One open exchange.
#[derive(Debug)]
pub(crate) struct Use(Uses);

impl Drop for Use {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns when the peer has stopped answering an exchange, or when there has been none for long;
/// dropping the connection then fails what is left of it.
pub(crate) async fn watch(pings: Option<PingPong>, cfg: KeepAlive, uses: &Uses) -> &'static str {
    let Some(mut pings) = pings else {
        return std::future::pending().await;
    };
    let mut used = Instant::now();
    loop {
        sleep(cfg.period).await;
        match uses.none() {
            true if used.elapsed() >= IDLE_TIMEOUT => return "idle",
            true => continue,
            false => used = Instant::now(),
        }
        match timeout(cfg.timeout, pings.ping(Ping::opaque())).await {
            Ok(Ok(_)) => (),
            _ => return "silent",
        }
    }
}

//! Finds connections that have gone silent, on both of their sides.
//!
//! A connection is pinged only while an exchange is open on it. Without this on
//! the accepting side, an owner would count the slots of a silent home for ever.

use h2::{Ping, PingPong};
use std::sync::Weak;
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

/// Returns when the peer has stopped answering an exchange, or when there has been none for long;
/// dropping the connection then fails what is left of it.
pub(crate) async fn watch(
    pings: Option<PingPong>,
    cfg: KeepAlive,
    users: &Weak<()>,
) -> &'static str {
    let Some(mut pings) = pings else {
        return std::future::pending().await;
    };
    let mut used = Instant::now();
    loop {
        sleep(cfg.period).await;
        // One count is the link's own.
        match users.strong_count() {
            0 => return "replaced",
            1 if used.elapsed() >= IDLE_TIMEOUT => return "idle",
            1 => continue,
            _ => used = Instant::now(),
        }
        match timeout(cfg.timeout, pings.ping(Ping::opaque())).await {
            Ok(Ok(_)) => (),
            _ => return "silent",
        }
    }
}

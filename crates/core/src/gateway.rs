//! Runs a gateway node on the users' platform until SIGTERM.

use log::info;
use rwd_gateway::{GatewayNode, GatewaySettings};
use rwd_platform::{PlatformProtocol, PlatformStore};
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

use crate::{Error, Result};

/// Runs a node; the first SIGTERM starts a graceful shutdown, further ones are ignored.
pub(crate) async fn run(mut cfg: GatewaySettings, file: PathBuf) -> Result<ExitCode> {
    let mut terminate = signal(SignalKind::terminate()).map_err(Error::Runtime)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(Error::Runtime)?;
    let name = cfg.name.clone();
    cfg.scheduling = rwd_platform::scheduling(&cfg.platform_terms, cfg.scheduling);
    cfg.holds_streams &= rwd_platform::has_slow_readers(&cfg.platform_terms);
    let store = PlatformStore::new(cfg.store);
    let node = GatewayNode::start(cfg, Some(file), PlatformProtocol, store).await?;
    info!(event = "start", node:% = name; "serving");
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => node.reload(),
        }
    }
    info!(event = "stop", node:% = name; "graceful shutdown started");
    let mut stop = std::pin::pin!(node.stop());
    loop {
        tokio::select! {
            () = &mut stop => break,
            _ = terminate.recv() => info!(event = "stop"; "graceful shutdown already in progress"),
            _ = hangup.recv() => info!(event = "reload"; "shutting down, settings not reloaded"),
        }
    }
    info!(event = "stopped", node:% = name; "graceful shutdown complete");
    Ok(ExitCode::SUCCESS)
}

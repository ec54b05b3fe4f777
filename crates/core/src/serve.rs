//! Runs a node until it is told to stop.

use log::info;
use rwd_config::Settings;
use rwd_node::Node;
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

use crate::{Error, Result};

/// Runs a node; the first SIGTERM begins a planned stop and later ones change nothing.
pub(crate) async fn run(cfg: Settings) -> Result<ExitCode> {
    let mut terminate = signal(SignalKind::terminate()).map_err(Error::Runtime)?;
    let node = Node::start(cfg).await?;
    info!(http:% = node.http_address(), peer:% = node.peer_address(); "serving");
    terminate.recv().await;
    info!("planned stop");
    let mut stop = std::pin::pin!(node.stop());
    loop {
        tokio::select! {
            () = &mut stop => return Ok(ExitCode::SUCCESS),
            _ = terminate.recv() => info!("a planned stop is already under way"),
        }
    }
}

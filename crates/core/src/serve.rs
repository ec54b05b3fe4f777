//! Runs a node until SIGTERM.

use log::info;
use rwd_config::Settings;
use rwd_node::Node;
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

use crate::{Error, Result};

/// Runs a node; the first SIGTERM starts a graceful shutdown, further ones are ignored.
pub(crate) async fn run(cfg: Settings) -> Result<ExitCode> {
    let mut terminate = signal(SignalKind::terminate()).map_err(Error::Runtime)?;
    let node = Node::start(cfg).await?;
    info!(http:% = node.http_address(), peer:% = node.peer_address(); "serving");
    terminate.recv().await;
    info!("graceful shutdown started");
    let mut stop = std::pin::pin!(node.stop());
    loop {
        tokio::select! {
            () = &mut stop => return Ok(ExitCode::SUCCESS),
            _ = terminate.recv() => info!("graceful shutdown already in progress"),
        }
    }
}

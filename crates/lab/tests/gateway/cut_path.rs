//! The paths of one node to all targets, which can be cut.

use futures_util::FutureExt;
use rwd_gateway::Dial;
use std::io::{Error, ErrorKind, Result};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What happens to a node's connections to targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cut {
    /// Nothing.
    None,
    /// Open ones fall silent, and new ones are not established.
    Silent,
    /// Open ones are reset, and new ones are refused.
    Reset,
    /// Open ones go on, and new ones are refused.
    NewRefused,
}

/// The paths of one node to all targets.
pub struct CutPath {
    cut: watch::Sender<Cut>,
    // Whether connections are forwarded, so that open ones can be cut.
    forwards: Arc<AtomicBool>,
}

impl Default for CutPath {
    fn default() -> Self {
        Self {
            cut: watch::Sender::new(Cut::None),
            forwards: Arc::default(),
        }
    }
}

impl CutPath {
    /// Forwards the connections that are opened from now on. A reset by a target becomes a close.
    pub fn forward(&self) {
        self.forwards.store(true, Ordering::Relaxed);
    }

    /// Cuts the paths, or heals them.
    pub fn set(&self, cut: Cut) {
        self.cut.send_replace(cut);
    }

    /// Opens connections on these paths.
    pub fn dial(&self) -> Dial {
        let (cut, forwards) = (self.cut.subscribe(), self.forwards.clone());
        Arc::new(move |address| match forwards.load(Ordering::Relaxed) {
            true => connect(address, cut.clone()).boxed(),
            false => TcpStream::connect(address).boxed(),
        })
    }
}

async fn connect(address: SocketAddr, cut: watch::Receiver<Cut>) -> Result<TcpStream> {
    let now = *cut.borrow();
    match now {
        Cut::None => (),
        Cut::Silent => std::future::pending().await,
        Cut::Reset | Cut::NewRefused => return Err(Error::from(ErrorKind::ConnectionRefused)),
    }
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let server = TcpStream::connect(address).await?;
    let (near, far) = tokio::join!(
        TcpStream::connect(listener.local_addr()?),
        listener.accept()
    );
    let (far, _) = far?;
    tokio::spawn(forward(far, server, cut));
    near
}

// Forwards until a cut. A silent connection is kept, so that neither side learns of it.
async fn forward(mut far: TcpStream, mut server: TcpStream, mut cut: watch::Receiver<Cut>) {
    let is_cut = cut.wait_for(|c| matches!(c, Cut::Silent | Cut::Reset));
    let ended = tokio::select! {
        _ = copy_bidirectional(&mut far, &mut server) => None,
        cut = is_cut => cut.ok().map(|c| *c),
    };
    match ended {
        Some(Cut::Reset) => {
            // An error means that the peer was faster.
            let _ = far.set_zero_linger();
        }
        Some(Cut::Silent) => {
            tokio::time::sleep(Duration::from_secs(3600)).await;
        }
        _ => (),
    }
}

//! A relay before a listener, to cut or silence its connections from outside.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Bytes moved at once.
const BUFFER_BYTES: usize = 16 * 1024;

/// What the relay does.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Cut {
    /// Connections with a lower number stay open and carry nothing any more.
    silent_before: u64,
    /// No connection is accepted, and open ones carry nothing.
    blocked: bool,
}

/// A running relay.
pub struct TcpRelay {
    address: SocketAddr,
    cut: Arc<watch::Sender<Cut>>,
    accepted: Arc<watch::Sender<u64>>,
    accept: tokio::task::JoinHandle<()>,
}

impl TcpRelay {
    /// Starts a relay to `to` that delays each piece by `delay` in each direction.
    ///
    /// # Errors
    ///
    /// Fails when no address can be listened on.
    pub async fn start(to: SocketAddr, delay: Duration) -> io::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let address = listener.local_addr()?;
        let cut = Arc::new(watch::Sender::new(Cut::default()));
        let accepted = Arc::new(watch::Sender::new(0));
        let (cuts, count) = (cut.clone(), accepted.clone());
        let accept = tokio::spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((tcp, _)) = listener.accept().await {
                count.send_modify(|n| *n += 1);
                let number = *count.borrow();
                let cut = cuts.subscribe();
                connections.spawn(relay(tcp, to, number, cut, delay));
                while connections.try_join_next().is_some() {}
            }
        });
        Ok(Self {
            address,
            cut,
            accepted,
            accept,
        })
    }

    /// Where the relay listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Silences all open connections for good; new ones work.
    pub fn silence(&self) {
        let silent_before = *self.accepted.borrow() + 1;
        self.cut.send_modify(|c| c.silent_before = silent_before);
    }

    /// Stops all traffic, or lets it flow again on connections that are not silenced.
    pub fn block(&self, blocked: bool) {
        self.cut.send_modify(|c| c.blocked = blocked);
    }
}

impl Drop for TcpRelay {
    fn drop(&mut self) {
        self.accept.abort();
    }
}

async fn relay(
    a: TcpStream,
    to: SocketAddr,
    number: u64,
    cut: watch::Receiver<Cut>,
    delay: Duration,
) {
    let mut open = cut.clone();
    // A connection that is accepted while the relay is blocked stays without an answer.
    if open.wait_for(|c| !c.blocked).await.is_err() {
        return;
    }
    let Ok(b) = TcpStream::connect(to).await else {
        return;
    };
    let _ = (a.set_nodelay(true), b.set_nodelay(true));
    let (a_rx, a_tx) = a.into_split();
    let (b_rx, b_tx) = b.into_split();
    tokio::select! {
        () = copy(a_rx, b_tx, number, cut.clone(), delay) => (),
        () = copy(b_rx, a_tx, number, cut, delay) => (),
    }
}

async fn copy(
    mut rx: tokio::net::tcp::OwnedReadHalf,
    mut tx: tokio::net::tcp::OwnedWriteHalf,
    number: u64,
    mut cut: watch::Receiver<Cut>,
    delay: Duration,
) {
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let n = match rx.read(&mut buf).await {
            Ok(0) => 0,
            Ok(n) => n,
            Err(_) => return,
        };
        if !delay.is_zero() {
            sleep(delay).await;
        }
        // Nobody learns of anything on a silenced connection, not even of its end.
        let carries = cut
            .wait_for(|c| !c.blocked || number < c.silent_before)
            .await;
        let silent = carries.map_or(true, |c| number < c.silent_before);
        if silent {
            return std::future::pending().await;
        }
        if n == 0 || tx.write_all(&buf[..n]).await.is_err() {
            return;
        }
    }
}

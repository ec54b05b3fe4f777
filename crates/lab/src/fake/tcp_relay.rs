//! A TCP proxy that can delay, stall and block the connections to a listener.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Size of the copy buffer of one direction.
const BUFFER_BYTES: usize = 16 * 1024;

/// Which connections of a relay carry data.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RelayState {
    /// Connections with a lower number are stalled: they stay open and carry nothing.
    stalled_before: u64,
    /// New connections are not served, and open ones carry nothing.
    blocked: bool,
}

/// A running relay.
pub struct TcpRelay {
    address: SocketAddr,
    state: Arc<watch::Sender<RelayState>>,
    accepted: Arc<watch::Sender<u64>>,
    lost: Lost,
    accept: tokio::task::JoinHandle<()>,
}

/// Bytes from the listener that did not get through, or late.
type Lost = Arc<Mutex<Vec<Vec<u8>>>>;

/// How long bytes may be held up before they count as late.
const MAX_HOLD_UP: Duration = Duration::from_millis(500);

/// Bytes that were read from the listener; they count as lost unless they are delivered in time.
struct Carried {
    lost: Lost,
    bytes: Vec<u8>,
    read_at: Instant,
}

impl Carried {
    fn delivered(mut self) {
        if self.read_at.elapsed() < MAX_HOLD_UP {
            self.bytes.clear();
        }
    }
}

impl Drop for Carried {
    fn drop(&mut self) {
        if !self.bytes.is_empty() {
            let mut lost = self.lost.lock().unwrap_or_else(|e| e.into_inner());
            lost.push(std::mem::take(&mut self.bytes));
        }
    }
}

impl TcpRelay {
    /// Starts a relay to `to` that delays each chunk by `delay` in both directions.
    ///
    /// # Errors
    ///
    /// Returns an error if no loopback port can be bound.
    pub async fn start(to: SocketAddr, delay: Duration) -> io::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(watch::Sender::new(RelayState::default()));
        let accepted = Arc::new(watch::Sender::new(0));
        let lost = Lost::default();
        let (states, count, losses) = (state.clone(), accepted.clone(), lost.clone());
        let accept = tokio::spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((tcp, _)) = listener.accept().await {
                count.send_modify(|n| *n += 1);
                let number = *count.borrow();
                let state = states.subscribe();
                connections.spawn(relay(tcp, to, number, state, delay, losses.clone()));
                while connections.try_join_next().is_some() {}
            }
        });
        Ok(Self {
            address,
            state,
            accepted,
            lost,
            accept,
        })
    }

    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stalls all open connections permanently; new ones work.
    pub fn stall(&self) {
        let stalled_before = *self.accepted.borrow() + 1;
        self.state
            .send_modify(|s| s.stalled_before = stalled_before);
    }

    /// Whether bytes from the listener in which this text occurs got lost, or came late.
    pub fn has_lost(&self, text: &str) -> bool {
        let lost = self.lost.lock().unwrap_or_else(|e| e.into_inner());
        lost.iter()
            .any(|b| String::from_utf8_lossy(b).contains(text))
    }

    /// Stops all traffic, or resumes it on connections that are not stalled.
    pub fn block(&self, blocked: bool) {
        self.state.send_modify(|s| s.blocked = blocked);
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
    state: watch::Receiver<RelayState>,
    delay: Duration,
    lost: Lost,
) {
    let mut unblocked = state.clone();
    // While the relay is blocked, an accepted connection waits before it reaches the listener.
    if unblocked.wait_for(|s| !s.blocked).await.is_err() {
        return;
    }
    let Ok(b) = TcpStream::connect(to).await else {
        return;
    };
    let _ = (a.set_nodelay(true), b.set_nodelay(true));
    let (a_rx, a_tx) = a.into_split();
    let (b_rx, b_tx) = b.into_split();
    tokio::select! {
        () = copy(a_rx, b_tx, number, state.clone(), delay, None) => (),
        () = copy(b_rx, a_tx, number, state, delay, Some(lost)) => (),
    }
}

async fn copy(
    mut rx: tokio::net::tcp::OwnedReadHalf,
    mut tx: tokio::net::tcp::OwnedWriteHalf,
    number: u64,
    mut state: watch::Receiver<RelayState>,
    delay: Duration,
    lost: Option<Lost>,
) {
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let n = match rx.read(&mut buf).await {
            Ok(0) => 0,
            Ok(n) => n,
            Err(_) => return,
        };
        let carried = lost.as_ref().map(|lost| Carried {
            lost: lost.clone(),
            bytes: buf[..n].to_vec(),
            read_at: Instant::now(),
        });
        if !delay.is_zero() {
            sleep(delay).await;
        }
        // A stalled connection carries nothing, not even the end of the stream.
        let current = state
            .wait_for(|s| !s.blocked || number < s.stalled_before)
            .await;
        let stalled = current.map_or(true, |s| number < s.stalled_before);
        if stalled {
            drop(carried);
            return std::future::pending().await;
        }
        if n == 0 || tx.write_all(&buf[..n]).await.is_err() {
            return;
        }
        if let Some(carried) = carried {
            carried.delivered();
        }
    }
}

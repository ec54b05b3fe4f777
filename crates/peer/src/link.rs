//! Outgoing connections, one per peer, reused for all exchanges with it.

use bytes::Bytes;
use h2::client::{Builder, SendRequest};
use http::Request;
use indexmap::IndexMap;
use log::{debug, info};
use rwd_types::{InstanceName, Secret};
use rwd_wire::Message;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::{Instant, timeout, timeout_at};

use crate::keep_alive::{ActiveExchanges, KeepAlive, monitor};
use crate::{ByteCounter, CountedStream, Directory, Error, Exchange, Result, handshake};

/// Flow-control window of a connection and of each stream, in bytes. What is in flight delays pings:
/// by 50 ms over a link of 10 Mbit/s.
pub(crate) const WINDOW_BYTES: u32 = 64 << 10;

/// Flow-control window of one of many streams that carry bytes of callers, in bytes.
const BULK_WINDOW_BYTES: u32 = 16 << 10;

/// Longest time for one reply that makes progress.
const MAX_REPLY_TIME: Duration = Duration::from_secs(10);

/// Settings of outgoing links.
#[derive(Clone, Debug)]
pub struct LinkSettings {
    /// Name of the local node.
    pub own: InstanceName,
    /// The shared secret.
    pub secret: Secret,
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Keep-alive pings of a connection in use.
    pub keep_alive: KeepAlive,
}

struct Link {
    address: SocketAddr,
    tx: SendRequest<Bytes>,
    active: ActiveExchanges,
}

type LinkCell = Arc<Mutex<Option<Link>>>;

/// Connection pool of a node's outgoing links.
pub struct Links {
    cfg: LinkSettings,
    directory: Arc<Directory>,
    counter: ByteCounter,
    windows: Windows,
    cells: std::sync::Mutex<IndexMap<InstanceName, LinkCell>>,
}

/// Flow-control windows, in bytes.
#[derive(Clone, Copy, Debug)]
struct Windows {
    stream: u32,
    connection: u32,
}

impl Links {
    /// An empty pool for links to the nodes in `directory`.
    pub fn new(cfg: LinkSettings, directory: Arc<Directory>, counter: ByteCounter) -> Self {
        Self {
            cfg,
            directory,
            counter,
            windows: Windows {
                stream: WINDOW_BYTES,
                connection: WINDOW_BYTES,
            },
            cells: std::sync::Mutex::default(),
        }
    }

    /// With a connection window that `streams` streams fill together: one whose bytes are not read does not
    /// hold up the others.
    pub fn with_streams(self, streams: u32) -> Self {
        let stream = BULK_WINDOW_BYTES;
        let windows = Windows {
            stream,
            connection: stream * streams,
        };
        Self { windows, ..self }
    }

    /// Opens an exchange with a peer and sends its first message.
    ///
    /// # Errors
    ///
    /// Fails when the peer is unknown, cannot be reached or fails the handshake.
    pub async fn open(&self, to: &InstanceName, first: &Message) -> Result<Exchange> {
        let unknown = || Error::UnknownInstance { name: to.clone() };
        let address = self.directory.peer_address(to).ok_or_else(unknown)?;
        let result = match timeout(self.cfg.connect_timeout, self.open_stream(to, address)).await {
            Ok(result) => result,
            Err(_) => Err(Error::Timeout),
        };
        let mut ex = match result {
            Ok(ex) => ex,
            Err(e) => {
                self.discard(to);
                return Err(e);
            }
        };
        ex.send(first).await?;
        Ok(ex)
    }

    /// Sends one request and waits for its reply.
    ///
    /// `limit` holds until the first bytes of the reply, and again between two pieces of it: how
    /// long a whole reply takes depends on its size and on the network.
    ///
    /// # Errors
    ///
    /// As [`Links::open`], or [`Error::Timeout`].
    pub async fn ask(
        &self,
        to: &InstanceName,
        request: &Message,
        limit: Duration,
    ) -> Result<Message> {
        let started = Instant::now();
        let opened = timeout(limit, self.open(to, request)).await;
        let reply = match opened {
            Ok(Ok(mut ex)) => {
                let reply = recv_reply(&mut ex, started, limit).await;
                let received = ex.partial_bytes();
                if received > 0 && matches!(reply, Err(Error::Timeout)) {
                    info!(event = "reply_cut", peer:% = to, received, limit_ms = limit.as_millis() as u64; "timeout in the middle of a reply");
                }
                reply
            }
            Ok(Err(e)) => Err(e),
            Err(_) => Err(Error::Timeout),
        };
        if matches!(reply, Err(Error::Timeout)) {
            // The connection may be unresponsive; the next exchange opens a new one.
            self.discard(to);
        }
        reply
    }

    async fn open_stream(&self, to: &InstanceName, address: SocketAddr) -> Result<Exchange> {
        let cell = self.cell(to);
        let mut link = cell.lock().await;
        let reusable = link.take().filter(|l| l.address == address);
        let (mut tx, active) = match reusable {
            Some(l) => match l.tx.ready().await {
                Ok(tx) => (tx, l.active),
                Err(_) => self.connect(to, address).await?,
            },
            None => self.connect(to, address).await?,
        };
        let ex = start_exchange(&mut tx, &active)?;
        *link = Some(Link {
            address,
            tx,
            active,
        });
        Ok(ex)
    }

    fn cell(&self, to: &InstanceName) -> LinkCell {
        let mut cells = self.cells.lock().unwrap_or_else(|e| e.into_inner());
        cells.entry(to.clone()).or_default().clone()
    }

    // Tasks that wait for the old cell still use it; later ones open a new link.
    fn discard(&self, to: &InstanceName) {
        let mut cells = self.cells.lock().unwrap_or_else(|e| e.into_inner());
        cells.swap_remove(to);
    }

    async fn connect(
        &self,
        to: &InstanceName,
        address: SocketAddr,
    ) -> Result<(SendRequest<Bytes>, ActiveExchanges)> {
        let tcp = TcpStream::connect(address).await?;
        tcp.set_nodelay(true)?;
        let io = CountedStream::new(tcp, self.counter.clone());
        let received = io.received();
        let (mut tx, mut connection) = Builder::new()
            .initial_window_size(self.windows.stream)
            .initial_connection_window_size(self.windows.connection)
            .handshake::<_, Bytes>(io)
            .await?;
        let pings = connection.ping_pong();
        let active = ActiveExchanges::default();
        let monitored = active.clone();
        let cfg = self.cfg.clone();
        let peer = to.clone();
        tokio::spawn(async move {
            tokio::select! {
                result = connection => debug!(peer:% = peer, ok = result.is_ok(); "link closed"),
                reason = monitor(pings, cfg.keep_alive, &monitored, &received) => debug!(peer:% = peer, reason; "closing link"),
            }
        });
        let mut ex = start_exchange(&mut tx, &active)?;
        handshake::connect(&mut ex, &self.cfg.secret, &self.cfg.own).await?;
        Ok((tx, active))
    }
}

async fn recv_reply(ex: &mut Exchange, started: Instant, limit: Duration) -> Result<Message> {
    let end = started + MAX_REPLY_TIME.max(limit);
    let mut deadline = started + limit;
    loop {
        if let Some(reply) = ex.next_buffered()? {
            return Ok(reply);
        }
        let piece = timeout_at(deadline.min(end), ex.recv_piece()).await;
        if !piece.map_err(|_| Error::Timeout)?? {
            return Err(Error::Ended);
        }
        if ex.partial_bytes() > 0 {
            deadline = Instant::now() + limit;
        }
    }
}

fn start_exchange(tx: &mut SendRequest<Bytes>, active: &ActiveExchanges) -> Result<Exchange> {
    let mut req = Request::new(());
    *req.method_mut() = http::Method::POST;
    *req.uri_mut() = http::Uri::from_static("http://p/");
    let (response, send) = tx.send_request(req, false)?;
    Ok(Exchange::opened(send, response, active.begin()))
}

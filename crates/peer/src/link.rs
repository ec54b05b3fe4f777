//! Outgoing connections, one to each peer that is talked to.

use bytes::Bytes;
use h2::client::{Builder, SendRequest};
use http::Request;
use indexmap::IndexMap;
use log::debug;
use rwd_types::{InstanceName, Secret};
use rwd_wire::Message;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::timeout;

use crate::keep_alive::{KeepAlive, Uses, watch};
use crate::{ByteCounter, Counted, Directory, Error, Exchange, Result, handshake};

/// Flow-control window of a connection and of each stream, in bytes.
pub(crate) const WINDOW_BYTES: u32 = 1 << 20;

/// What a node needs to open links.
#[derive(Clone, Debug)]
pub struct LinkSettings {
    /// The node itself.
    pub own: InstanceName,
    /// The shared secret.
    pub secret: Secret,
    /// How long opening a connection may take.
    pub connect_timeout: Duration,
    /// The liveness check of a connection in use.
    pub keep_alive: KeepAlive,
}

struct Link {
    address: SocketAddr,
    tx: SendRequest<Bytes>,
    uses: Uses,
}

type Slot = Arc<Mutex<Option<Link>>>;

/// All outgoing links of a node.
pub struct Links {
    cfg: LinkSettings,
    directory: Arc<Directory>,
    counter: ByteCounter,
    slots: std::sync::Mutex<IndexMap<InstanceName, Slot>>,
}

impl Links {
    /// Creates an empty set of links to the nodes in `directory`.
    pub fn new(cfg: LinkSettings, directory: Arc<Directory>, counter: ByteCounter) -> Self {
        Self {
            cfg,
            directory,
            counter,
            slots: std::sync::Mutex::default(),
        }
    }

    /// Opens an exchange with a peer and sends its first message.
    ///
    /// # Errors
    ///
    /// Fails when the peer is unknown, cannot be reached or fails the handshake.
    pub async fn open(&self, to: &InstanceName, first: &Message) -> Result<Exchange> {
        let unknown = || Error::UnknownInstance { name: to.clone() };
        let address = self.directory.peer_address(to).ok_or_else(unknown)?;
        let result = match timeout(self.cfg.connect_timeout, self.stream(to, address)).await {
            Ok(result) => result,
            Err(_) => Err(Error::Timeout),
        };
        let mut ex = match result {
            Ok(ex) => ex,
            Err(e) => {
                self.forget(to);
                return Err(e);
            }
        };
        ex.send(first).await?;
        Ok(ex)
    }

    /// Asks one question and waits for its one answer.
    ///
    /// # Errors
    ///
    /// As [`Links::open`], or when no answer comes within `limit`.
    pub async fn ask(
        &self,
        to: &InstanceName,
        question: &Message,
        limit: Duration,
    ) -> Result<Message> {
        let exchange = async {
            let mut ex = self.open(to, question).await?;
            ex.recv().await?.ok_or(Error::Ended)
        };
        match timeout(limit, exchange).await {
            Ok(answer) => answer,
            Err(_) => {
                // The connection may have gone silent; the next exchange opens a new one.
                self.forget(to);
                Err(Error::Timeout)
            }
        }
    }

    async fn stream(&self, to: &InstanceName, address: SocketAddr) -> Result<Exchange> {
        let slot = self.slot(to);
        let mut link = slot.lock().await;
        let reusable = link.take().filter(|l| l.address == address);
        let (mut tx, uses) = match reusable {
            Some(l) => match l.tx.ready().await {
                Ok(tx) => (tx, l.uses),
                Err(_) => self.connect(to, address).await?,
            },
            None => self.connect(to, address).await?,
        };
        let ex = request(&mut tx, &uses)?;
        *link = Some(Link { address, tx, uses });
        Ok(ex)
    }

    fn slot(&self, to: &InstanceName) -> Slot {
        let mut slots = self.slots.lock().unwrap_or_else(|e| e.into_inner());
        slots.entry(to.clone()).or_default().clone()
    }

    // A task that waits for the old slot still finishes there; new ones start afresh.
    fn forget(&self, to: &InstanceName) {
        let mut slots = self.slots.lock().unwrap_or_else(|e| e.into_inner());
        slots.swap_remove(to);
    }

    async fn connect(
        &self,
        to: &InstanceName,
        address: SocketAddr,
    ) -> Result<(SendRequest<Bytes>, Uses)> {
        let tcp = TcpStream::connect(address).await?;
        tcp.set_nodelay(true)?;
        let io = Counted::new(tcp, self.counter.clone());
        let (mut tx, mut connection) = Builder::new()
            .initial_window_size(WINDOW_BYTES)
            .initial_connection_window_size(WINDOW_BYTES)
            .handshake::<_, Bytes>(io)
            .await?;
        let pings = connection.ping_pong();
        let uses = Uses::default();
        let watched = uses.clone();
        let cfg = self.cfg.clone();
        let peer = to.clone();
        tokio::spawn(async move {
            tokio::select! {
                result = connection => debug!(peer:% = peer, ok = result.is_ok(); "link closed"),
                reason = watch(pings, cfg.keep_alive, &watched) => debug!(peer:% = peer, reason; "closing link"),
            }
        });
        let mut ex = request(&mut tx, &uses)?;
        handshake::connect(&mut ex, &self.cfg.secret, &self.cfg.own).await?;
        Ok((tx, uses))
    }
}

fn request(tx: &mut SendRequest<Bytes>, uses: &Uses) -> Result<Exchange> {
    let mut req = Request::new(());
    *req.method_mut() = http::Method::POST;
    *req.uri_mut() = http::Uri::from_static("http://p/");
    let (response, send) = tx.send_request(req, false)?;
    Ok(Exchange::opened(send, response, uses.begin()))
}

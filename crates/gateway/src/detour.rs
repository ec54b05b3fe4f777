//! Connections to targets through other nodes.
//!
//! A node that has no path to a target asks another one to connect to it, and sends the bytes of the
//! connection through that node, the carrier. Everything about the request stays at its home node: the
//! carrier knows neither requests nor responses. It only checks that it may connect to the target itself.

use futures_util::stream::{FuturesUnordered, StreamExt};
use indexmap::IndexMap;
use log::{debug, info};
use rand::RngExt;
use rand::seq::SliceRandom;
use rwd_peer::{Directory, Exchange, Links};
use rwd_placement::{Path, Paths, Timestamp};
use rwd_types::{InstanceName, PoolName, TargetName, ZoneName};
use rwd_wire::{MemberUpdate, Message, NotDialed};
use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::connection::{CONNECT_TIMEOUT, Dial};
use crate::{StoreReplica, Withheld, WithheldTargets, clock};

/// Bytes of a connection that are buffered each way.
const BUFFER_BYTES: usize = 16 << 10;
/// Bytes that are sent in one message.
const CHUNK_BYTES: usize = 8 << 10;
/// Nodes that are asked for one connection.
const MAX_CARRIERS: usize = 3;
/// How long a node may take to reply before the next one is asked as well.
const HEDGE_AFTER: Duration = Duration::from_millis(80);
/// How long a node may take to reply: the target's time, and that of the link.
const DIAL_TIMEOUT: Duration = Duration::from_millis(450);
/// How long a node that could not connect is not asked, in milliseconds.
const AVOID_MS: f64 = 1000.0;
/// How long a node that has connected is trusted to have a path, in milliseconds.
const TRUST_MS: f64 = 2000.0;
/// Nodes without a proven path that must fail to reach a target before it counts as down: they may be cut off
/// as well.
const MIN_REFUSERS: usize = 2;
/// Share of the connections for which nodes are asked regardless of what is known of their paths.
const EXPLORED_SHARE: f64 = 0.1;
/// Connections that a node carries for others at the same time.
const MAX_CARRIED: usize = 256;
/// Timeout for telling a carrier what a target said.
const TELL_TIMEOUT: Duration = Duration::from_millis(400);

const RUNNING: u8 = 0;
const CLOSED: u8 = 1;
const RESET: u8 = 2;

/// How a carried connection ended; lost with its carrier unless the target ended it.
#[derive(Debug, Default)]
pub(crate) struct TunnelEnd(AtomicU8);

/// A connection to a target through another node.
pub(crate) struct Tunnel {
    io: DuplexStream,
    end: Arc<TunnelEnd>,
    pub carrier: InstanceName,
}

impl Tunnel {
    fn open(ex: Exchange, carrier: InstanceName) -> Self {
        let (io, far) = tokio::io::duplex(BUFFER_BYTES);
        let end = Arc::new(TunnelEnd::default());
        tokio::spawn(pump(ex, far, end.clone()));
        Self { io, end, carrier }
    }

    /// How the connection ends.
    pub fn end(&self) -> Arc<TunnelEnd> {
        self.end.clone()
    }
}

impl TunnelEnd {
    /// Whether the target has ended the connection, rather than that its carrier was lost.
    pub fn is_of_target(&self) -> bool {
        self.0.load(Ordering::Relaxed) != RUNNING
    }
}

impl AsyncRead for Tunnel {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.io).poll_read(cx, buf))?;
        // A response may end with its connection, so only a close by the target looks like one.
        let ended = buf.filled().len() == before && buf.remaining() > 0;
        if ended && self.end.0.load(Ordering::Relaxed) != CLOSED {
            return Poll::Ready(Err(Error::from(ErrorKind::ConnectionReset)));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Tunnel {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}

// Moves the bytes of the home node's side. Dropping the exchange tells the carrier that the home node has
// closed the connection.
async fn pump(ex: Exchange, far: DuplexStream, end: Arc<TunnelEnd>) {
    let (mut tx, mut rx) = ex.split();
    let (mut near_rx, mut near_tx) = tokio::io::split(far);
    let up = async {
        let mut buf = vec![0; CHUNK_BYTES];
        loop {
            let n = near_rx.read(&mut buf).await.unwrap_or(0);
            if n == 0 || tx.send(&Message::Data(buf[..n].to_vec())).await.is_err() {
                return n;
            }
        }
    };
    let down = async {
        loop {
            match rx.recv().await {
                Ok(Some(Message::Data(data))) => {
                    if near_tx.write_all(&data).await.is_err() {
                        return;
                    }
                }
                Ok(Some(Message::DialEnded { closed })) => {
                    let how = if closed { CLOSED } else { RESET };
                    end.0.store(how, Ordering::Relaxed);
                    return;
                }
                _ => return,
            }
        }
    };
    tokio::pin!(down);
    tokio::select! {
        // The carrier takes no more bytes; what it has sent is still to be read.
        unsent = up => if unsent > 0 { down.await },
        () = &mut down => (),
    }
}

/// What one node knows of its paths to targets, and the connections that it carries for others.
pub(crate) struct Detours {
    own: InstanceName,
    zone: ZoneName,
    directory: Arc<Directory>,
    links: Arc<Links>,
    // For the bytes of carried connections.
    bulk_links: Links,
    dial: Dial,
    replica: Arc<StoreReplica>,
    withheld: Arc<WithheldTargets>,
    paths: Mutex<IndexMap<PoolName, Paths>>,
    avoided: Mutex<IndexMap<InstanceName, Timestamp>>,
    trusted: Mutex<IndexMap<InstanceName, Timestamp>>,
    carried: AtomicUsize,
}

/// Why no node has connected to a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum NoDetour {
    /// There is no other node.
    Alone,
    /// No node that could be asked has a path.
    Unknown,
    /// A node that reaches others does not reach the target.
    Confirmed,
    /// The target leaves.
    Leaving,
}

// Counts a connection as carried until it is dropped.
struct Carried<'a>(&'a AtomicUsize);

impl Drop for Carried<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Detours {
    #[expect(
        clippy::too_many_arguments,
        reason = "built once, from the parts of a node"
    )]
    pub fn new(
        own: InstanceName,
        zone: ZoneName,
        directory: Arc<Directory>,
        links: Arc<Links>,
        bulk_links: Links,
        dial: Dial,
        replica: Arc<StoreReplica>,
        withheld: Arc<WithheldTargets>,
    ) -> Self {
        Self {
            own,
            zone,
            directory,
            links,
            bulk_links: bulk_links.with_streams(MAX_CARRIED as u32),
            dial,
            replica,
            withheld,
            paths: Mutex::default(),
            avoided: Mutex::default(),
            trusted: Mutex::default(),
            carried: AtomicUsize::new(0),
        }
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<PoolName, Paths>> {
        self.paths.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn with_paths<T>(&self, pool: &PoolName, f: impl FnOnce(&mut Paths) -> T) -> T {
        f(self.lock().entry(pool.clone()).or_default())
    }

    /// How to connect to a target now, and whether connections to it that are open may be used.
    pub fn path_to(&self, pool: &PoolName, target: &TargetName) -> (Path, bool) {
        let now = clock::now();
        self.with_paths(pool, |p| (p.to(target, now), p.uses_open(now)))
    }

    /// Whether this node has no path to the targets of a pool.
    pub fn is_cut_off(&self, pool: &PoolName) -> bool {
        self.with_paths(pool, |p| p.is_cut_off(clock::now()))
    }

    /// Records a response on a connection of this node's own.
    pub fn record_response(&self, pool: &PoolName) {
        self.with_paths(pool, |p| p.record_response(clock::now()));
    }

    /// Records that this node has connected to a target itself.
    pub fn record_connected(&self, pool: &PoolName, target: &TargetName) {
        let now = clock::now();
        let was_cut_off = self.with_paths(pool, |p| {
            let was_cut_off = p.is_cut_off(now);
            p.record_connected(target, now);
            was_cut_off
        });
        if was_cut_off {
            info!(event = "path_back", pool:%, target:%; "this node reaches targets again");
        }
    }

    /// Records that another node has connected to a target. `failed` says whether this one has just failed to.
    pub fn record_detour(&self, pool: &PoolName, target: &TargetName, failed: bool) {
        let now = clock::now();
        let is_news = self.with_paths(pool, |p| {
            let was_cut_off = p.is_cut_off(now);
            match failed {
                true => p.record_failed(target, now),
                false => p.record_detour(target, now),
            }
            !was_cut_off && p.is_cut_off(now)
        });
        if is_news {
            info!(event = "cut_off", pool:%, target:%; "other nodes reach targets and this one does not; connecting through them");
        }
    }

    /// Connects to a target through another node.
    pub async fn connect(
        &self,
        pool: &PoolName,
        target: &TargetName,
        born: u64,
        address: SocketAddr,
    ) -> std::result::Result<Tunnel, NoDetour> {
        let mut carriers = self.carriers().into_iter();
        let first = carriers.next().ok_or(match self.is_alone() {
            true => NoDetour::Alone,
            false => NoDetour::Unknown,
        })?;
        let ask = |name: InstanceName| async move {
            let asked = self.ask(&name, pool, target, born, address).await;
            (name, asked)
        };
        let mut asked = FuturesUnordered::from_iter([ask(first)]);
        let mut refusers = Vec::new();
        loop {
            let reply = tokio::select! {
                reply = asked.next() => reply,
                () = sleep(HEDGE_AFTER), if carriers.len() > 0 => {
                    asked.extend(carriers.next().map(ask));
                    continue;
                }
            };
            match reply {
                Some((name, Ok(ex))) => {
                    debug!(target:%, carrier:% = name; "connected through another node");
                    // Their paths are cut as well.
                    refusers.into_iter().for_each(|name| self.avoid(name));
                    self.trust(name.clone());
                    return Ok(Tunnel::open(ex, name));
                }
                Some((name, Err(NotDialed::Refused | NotDialed::Timeout))) => {
                    let is_trusted = self.trusted().contains(&name);
                    refusers.push(name);
                    if is_trusted || refusers.len() >= MIN_REFUSERS {
                        return Err(NoDetour::Confirmed);
                    }
                    asked.extend(carriers.next().map(ask));
                }
                Some((_, Err(NotDialed::Leaving))) => return Err(NoDetour::Leaving),
                Some((name, Err(NotDialed::Unable | NotDialed::Held { .. }))) => {
                    self.avoid(name);
                    asked.extend(carriers.next().map(ask));
                }
                None if refusers.is_empty() => return Err(NoDetour::Unknown),
                None => return Err(NoDetour::Confirmed),
            }
        }
    }

    fn is_alone(&self) -> bool {
        self.directory.view().members.len() <= 1
    }

    // Nodes that have connected to a target for this one lately.
    fn trusted(&self) -> Vec<InstanceName> {
        let now = clock::now();
        let mut trusted = self.trusted.lock().unwrap_or_else(|e| e.into_inner());
        trusted.retain(|_, until| *until > now);
        trusted.keys().cloned().collect()
    }

    fn trust(&self, name: InstanceName) {
        let mut trusted = self.trusted.lock().unwrap_or_else(|e| e.into_inner());
        trusted.insert(name, clock::now() + TRUST_MS);
    }

    // Nodes to ask: those that have a path for certain, then those of the own zone, as bytes between zones are
    // priced. At times in another order, so that others are found.
    fn carriers(&self) -> Vec<InstanceName> {
        let now = clock::now();
        let trusted = self.trusted();
        let mut avoided = self.avoided.lock().unwrap_or_else(|e| e.into_inner());
        avoided.retain(|_, until| *until > now);
        let view = self.directory.view();
        let is_usable = |m: &&MemberUpdate| m.name != self.own && !avoided.contains_key(&m.name);
        let mut usable: Vec<_> = view.active().filter(is_usable).collect();
        let rng = &mut rand::rng();
        usable.shuffle(rng);
        let explores = rng.random_bool(EXPLORED_SHARE);
        usable.sort_by_key(|m| {
            let is_trusted = !explores && trusted.contains(&m.name);
            (!is_trusted, m.zone != self.zone)
        });
        let names = usable.into_iter().map(|m| m.name.clone());
        names.take(MAX_CARRIERS).collect()
    }

    fn avoid(&self, name: InstanceName) {
        let mut avoided = self.avoided.lock().unwrap_or_else(|e| e.into_inner());
        avoided.insert(name, clock::now() + AVOID_MS);
    }

    async fn ask(
        &self,
        carrier: &InstanceName,
        pool: &PoolName,
        target: &TargetName,
        born: u64,
        address: SocketAddr,
    ) -> std::result::Result<Exchange, NotDialed> {
        let request = Message::Dial {
            pool: pool.clone(),
            target: target.clone(),
            born,
            address,
        };
        let dialed = async {
            let mut ex = self.bulk_links.open(carrier, &request).await?;
            let reply = ex.recv_within(DIAL_TIMEOUT).await?;
            Ok::<_, rwd_peer::Error>((ex, reply))
        };
        match timeout(DIAL_TIMEOUT, dialed).await {
            Ok(Ok((ex, Message::Dialed))) => Ok(ex),
            Ok(Ok((_, Message::NotDialed(reason)))) => Err(reason),
            Ok(Ok(_)) | Err(_) => Err(NotDialed::Unable),
            Ok(Err(e)) => {
                debug!(peer:% = carrier, error:% = e; "cannot ask a node to connect to a target");
                Err(NotDialed::Unable)
            }
        }
    }

    /// Tells the carrier of a connection what the target has said of itself.
    pub fn tell(&self, carrier: &InstanceName, target: &TargetName, born: u64, said: Said) {
        let message = Message::TargetSaid {
            target: target.clone(),
            born,
            leaving: said.leaving,
            hold_ms: said.hold_ms,
        };
        let (links, carrier) = (self.links.clone(), carrier.clone());
        tokio::spawn(async move {
            if let Err(e) = links.ask(&carrier, &message, TELL_TIMEOUT).await {
                debug!(peer:% = carrier, error:% = e; "cannot tell a node what a target said");
            }
        });
    }

    /// Records what a target has said on a connection that this node carries.
    ///
    /// # Errors
    ///
    /// Fails when the exchange breaks.
    pub async fn serve_said(
        &self,
        target: &TargetName,
        born: u64,
        said: Said,
        mut ex: Exchange,
    ) -> rwd_peer::Result<()> {
        if said.leaving {
            self.withheld.record_leaving(target, born);
        }
        if let Some(hold_ms) = said.hold_ms {
            self.withheld.record_hold(target, hold_ms, clock::now());
        }
        ex.send_last(&Message::UpToDate).await
    }

    /// Connects to a target for another node, and carries the connection until either side ends it.
    ///
    /// # Errors
    ///
    /// Fails when the exchange breaks.
    pub async fn serve(
        &self,
        pool: &PoolName,
        target: &TargetName,
        born: u64,
        address: SocketAddr,
        mut ex: Exchange,
    ) -> rwd_peer::Result<()> {
        let others = self.carried.fetch_add(1, Ordering::Relaxed);
        let _carried = Carried(&self.carried);
        let tcp = match others < MAX_CARRIED {
            true => self.dial_for_peer(pool, target, born, address).await,
            false => Err(NotDialed::Unable),
        };
        match tcp {
            Ok(tcp) => {
                ex.send(&Message::Dialed).await?;
                carry(ex, tcp).await
            }
            Err(reason) => ex.send_last(&Message::NotDialed(reason)).await,
        }
    }

    async fn dial_for_peer(
        &self,
        pool: &PoolName,
        target: &TargetName,
        born: u64,
        address: SocketAddr,
    ) -> std::result::Result<TcpStream, NotDialed> {
        if self.directory.own().leaving || self.is_cut_off(pool) {
            return Err(NotDialed::Unable);
        }
        match self.withheld.check(target, born, clock::now()) {
            Some(Withheld::Leaving) => return Err(NotDialed::Leaving),
            Some(Withheld::Held { left_ms }) => return Err(NotDialed::Held { left_ms }),
            None => (),
        }
        match self.replica.process(target) {
            None => return Err(NotDialed::Unable),
            Some(_) if !self.replica.is_active(target) => return Err(NotDialed::Leaving),
            Some(_) => (),
        }
        let dialed = timeout(CONNECT_TIMEOUT, (self.dial)(address)).await;
        let reason = match dialed {
            Ok(Ok(tcp)) if tcp.set_nodelay(true).is_ok() => {
                self.record_connected(pool, target);
                return Ok(tcp);
            }
            Ok(_) => NotDialed::Refused,
            Err(_) => NotDialed::Timeout,
        };
        // Without a path, this node cannot tell.
        match self.with_paths(pool, |p| p.works(clock::now())) {
            true => Err(reason),
            false => Err(NotDialed::Unable),
        }
    }
}

/// What a target says of itself in a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Said {
    pub leaving: bool,
    pub hold_ms: Option<f64>,
}

// Moves the bytes of the carrier's side, until the home node resets the exchange or the target ends the
// connection.
async fn carry(ex: Exchange, tcp: TcpStream) -> rwd_peer::Result<()> {
    let (mut tx, mut rx) = ex.split();
    let (mut target_rx, mut target_tx) = tcp.into_split();
    let up = async {
        while let Ok(Some(Message::Data(data))) = rx.recv().await {
            if target_tx.write_all(&data).await.is_err() {
                // What the target has sent before it closed is still to be read.
                std::future::pending::<()>().await;
            }
        }
    };
    let down = async {
        let mut buf = vec![0; CHUNK_BYTES];
        loop {
            let (n, is_reset) = match target_rx.read(&mut buf).await {
                Ok(n) => (n, false),
                Err(_) => (0, true),
            };
            if n == 0 {
                let closed = !is_reset;
                tx.send(&Message::DialEnded { closed }).await?;
                // The home node resets the exchange once it has read that.
                return Ok(());
            }
            tx.send(&Message::Data(buf[..n].to_vec())).await?;
        }
    };
    let ended = tokio::select! {
        () = up => return Ok(()),
        ended = down => ended,
    };
    if ended.is_ok() {
        let drained = async { while let Ok(Some(_)) = rx.recv().await {} };
        // A home node that does not close has been lost.
        let _ = timeout(DIAL_TIMEOUT * 4, drained).await;
    }
    ended
}

//! A pool of connections to targets, its own ones and those through other nodes.

use bytes::Bytes;
use compact_str::CompactString;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use http::{HeaderMap, Request, Response, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use log::debug;
use rwd_placement::{Path, Timestamp};
use rwd_types::{InstanceName, PoolName, TargetName};
use socket2::SockRef;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::clock;
use crate::detour::{Detours, NoDetour, Tunnel, TunnelEnd};
use crate::proof::{Permit, Proof, SendInfo};

/// Connect timeout: some round trips, and the target's time to accept.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which another node is asked for a connection that is not established yet.
const DETOUR_AFTER: Duration = Duration::from_millis(100);
/// How long sent bytes may stay unacknowledged before the connection counts as broken.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2500);
/// Keep-alive timeout of a connection if the target sends none, in milliseconds.
const DEFAULT_KEEP_ALIVE_MS: f64 = 4000.0;
/// Fraction of the target's keep-alive timeout for which an idle connection is reused.
const KEEP_ALIVE_SHARE: f64 = 0.5;
/// Idle time after which a connection may be dead without notice, in milliseconds; requests that
/// must not run twice are sent on a new one.
const MAX_FRESH_IDLE_MS: f64 = 500.0;
/// Largest read buffer of a connection, and so the largest head of a response, in bytes.
const MAX_READ_BUFFER_BYTES: usize = 64 << 10;
/// Maximum number of idle connections to one target.
const MAX_IDLE: usize = 16;

/// Opens TCP connections to targets.
pub type Dial =
    Arc<dyn Fn(SocketAddr) -> BoxFuture<'static, std::io::Result<TcpStream>> + Send + Sync>;

/// Opens TCP connections through the network of the process.
pub fn dial_tcp() -> Dial {
    Arc::new(|address| TcpStream::connect(address).boxed())
}

/// Why nothing was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq, derive_more::Display)]
pub(crate) enum ConnectError {
    /// The connection was not established in time.
    #[display("connect timeout")]
    Timeout,
    /// The target's host refused the connection.
    #[display("connection refused")]
    Refused,
    /// Neither this node nor one that it asked has a path to the target, as far as they know.
    #[display("no path")]
    NoPath,
    /// A node that was to connect to the target knows that it leaves.
    #[display("target leaves")]
    Leaving,
}

/// Which connections a request may be sent on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Reuse {
    /// Any.
    Allowed,
    /// Those that are not likely to be dead.
    Sound,
}

impl Reuse {
    // Longest idle time of a connection for reuse, in milliseconds.
    fn max_idle_ms(self) -> f64 {
        match self {
            Self::Allowed => f64::INFINITY,
            Self::Sound => MAX_FRESH_IDLE_MS,
        }
    }

    /// Idle time within which a connection is likely to be reused, in milliseconds; a target may name
    /// another one.
    pub fn likely_idle_ms(self) -> f64 {
        self.max_idle_ms().min(DEFAULT_KEEP_ALIVE_MS)
    }
}

/// The result of sending a request on a connection.
pub(crate) enum SendResult {
    /// The head of the response.
    Response(Response<Incoming>),
    /// The connection was closed before anything was sent.
    NotSent(Proof),
    /// The connection broke after the request may have been sent.
    Broken(hyper::Error),
}

/// A connection; dropping it in the middle of a response closes it.
pub(crate) struct Connection {
    target: TargetName,
    address: SocketAddr,
    tx: SendRequest<Full<Bytes>>,
    /// Requests that were sent on it before the current one.
    pub earlier: u32,
    /// How long it was idle before the current request, in milliseconds.
    pub idle_ms: f64,
    opened: Timestamp,
    // Set if another node carries it.
    detour: Option<(InstanceName, Arc<TunnelEnd>)>,
}

impl Connection {
    /// The node that carries it, if it is not a connection of this node.
    pub fn carrier(&self) -> Option<&InstanceName> {
        self.detour.as_ref().map(|(name, _)| name)
    }

    /// Whether it ended because the node that carries it was lost.
    pub fn is_carrier_lost(&self) -> bool {
        let detour = self.detour.as_ref();
        detour.is_some_and(|(_, end)| !end.is_of_target())
    }

    /// Whether an earlier request was sent on it.
    pub fn is_reused(&self) -> bool {
        self.earlier > 0
    }

    /// A send of a request on it, which begins now.
    pub fn begin_send(&self, id: &CompactString, same_address: bool) -> SendInfo {
        SendInfo {
            id: id.clone(),
            target: self.target.clone(),
            at: clock::now(),
            same_address,
            earlier: self.earlier,
            idle_ms: self.idle_ms,
            opened: self.opened,
        }
    }

    /// Sends a request, for which it spends a permit, and waits for the head of the response.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
        _permit: Permit,
        send: &SendInfo,
    ) -> SendResult {
        match self.tx.try_send_request(req).await {
            Ok(response) => SendResult::Response(response),
            Err(mut e) => match e.take_message() {
                Some(unwritten) => SendResult::NotSent(Proof::not_sent(unwritten, send.clone())),
                None => SendResult::Broken(e.into_error()),
            },
        }
    }
}

struct Idle {
    connection: Connection,
    since: Timestamp,
    until: Timestamp,
}

/// The target that connections belong to. Another one that is started at the same address gets
/// connections of its own, as late bytes on the earlier ones may be about the same requests.
type Owner = (TargetName, SocketAddr);

/// The connections of a node to targets.
pub(crate) struct ConnectionPool {
    dial: Dial,
    detours: Arc<Detours>,
    idle: Mutex<IndexMap<Owner, Vec<Idle>>>,
}

impl ConnectionPool {
    pub fn new(dial: Dial, detours: Arc<Detours>) -> Self {
        Self {
            dial,
            detours,
            idle: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<Owner, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Returns an idle connection to a target of a pool, which was started at `born`, or opens one.
    pub async fn get(
        self: &Arc<Self>,
        pool: &PoolName,
        target: &TargetName,
        born: u64,
        address: SocketAddr,
        reuse: Reuse,
    ) -> Result<Connection, ConnectError> {
        let owner = (target.clone(), address);
        let (path, uses_open) = self.detours.path_to(pool, target);
        let idle = uses_open.then(|| self.take(&owner, reuse.max_idle_ms()));
        if let Some(connection) = idle.flatten() {
            return Ok(connection);
        }
        match path {
            Path::Direct => self.open_hedged(pool, owner, born).await,
            Path::Detour { probe } => {
                if probe {
                    let probe = self.clone().open_direct(pool.clone(), owner.clone());
                    tokio::spawn(self.clone().keep_opened(probe));
                }
                let tunnel = self.detours.connect(pool, target, born, address).await;
                if tunnel.is_ok() {
                    self.detours.record_detour(pool, target, false);
                }
                self.open_tunnel(owner, tunnel, ConnectError::Timeout).await
            }
        }
    }

    // Opens a connection; if that takes long or fails, another node is asked to as well.
    async fn open_hedged(
        self: &Arc<Self>,
        pool: &PoolName,
        owner: Owner,
        born: u64,
    ) -> Result<Connection, ConnectError> {
        let (target, address) = (owner.0.clone(), owner.1);
        let mut direct = self
            .clone()
            .open_direct(pool.clone(), owner.clone())
            .boxed();
        let first = timeout(DETOUR_AFTER, &mut direct).await;
        if let Ok(Ok(connection)) = first {
            return Ok(connection);
        }
        let mut detour = self.detours.connect(pool, &target, born, address).boxed();
        let (tunnel, failure) = match first {
            Ok(Err(e)) => (detour.await, e),
            Ok(Ok(_)) | Err(_) => tokio::select! {
                direct = &mut direct => match direct {
                    Ok(connection) => return Ok(connection),
                    Err(e) => (detour.await, e),
                },
                tunnel = &mut detour => match tunnel {
                    // A direct connection that is merely slow says nothing about the path.
                    Ok(tunnel) => {
                        let (this, pool, target) = (self.clone(), pool.clone(), target.clone());
                        tokio::spawn(async move {
                            if !this.clone().keep_opened(direct).await {
                                this.detours.record_detour(&pool, &target, true);
                            }
                        });
                        return self.open_tunnel(owner, Ok(tunnel), ConnectError::Timeout).await;
                    }
                    Err(e) => match direct.await {
                        Ok(connection) => return Ok(connection),
                        Err(failure) => (Err(e), failure),
                    },
                },
            },
        };
        if tunnel.is_ok() {
            self.detours.record_detour(pool, &target, true);
        }
        self.open_tunnel(owner, tunnel, failure).await
    }

    async fn open_direct(
        self: Arc<Self>,
        pool: PoolName,
        owner: Owner,
    ) -> Result<Connection, ConnectError> {
        let target = owner.0.clone();
        let connection = open(&self.dial, owner).await?;
        self.detours.record_connected(&pool, &target);
        Ok(connection)
    }

    // Keeps a connection for later requests; returns whether it was opened.
    async fn keep_opened(
        self: Arc<Self>,
        opening: impl Future<Output = Result<Connection, ConnectError>>,
    ) -> bool {
        let opened = opening.await;
        let is_open = opened.is_ok();
        if let Ok(connection) = opened {
            self.keep(connection, DEFAULT_KEEP_ALIVE_MS);
        }
        is_open
    }

    async fn open_tunnel(
        &self,
        owner: Owner,
        tunnel: Result<Tunnel, NoDetour>,
        failure: ConnectError,
    ) -> Result<Connection, ConnectError> {
        match tunnel {
            Ok(tunnel) => {
                let detour = (tunnel.carrier.clone(), tunnel.end());
                let connection = handshake(owner, tunnel).await?;
                Ok(Connection {
                    detour: Some(detour),
                    ..connection
                })
            }
            Err(NoDetour::Leaving) => Err(ConnectError::Leaving),
            Err(NoDetour::Unknown) => Err(ConnectError::NoPath),
            Err(NoDetour::Confirmed | NoDetour::Alone) => Err(failure),
        }
    }

    fn take(&self, owner: &Owner, max_idle_ms: f64) -> Option<Connection> {
        let now = clock::now();
        let mut all = self.lock();
        let idle = all.get_mut(owner)?;
        idle.retain(|i| i.until > now && !i.connection.tx.is_closed());
        // The most recently used connection is the least likely to be dead.
        let newest = idle.pop()?;
        let idle_ms = now - newest.since;
        if idle_ms > max_idle_ms {
            idle.push(newest);
            return None;
        }
        Some(Connection {
            idle_ms,
            ..newest.connection
        })
    }

    /// Returns a connection to the pool after a complete response, unless the target closes it.
    pub fn release(&self, mut connection: Connection, response: &HeaderMap) {
        let Some(keep_alive_ms) = keep_alive_ms(response) else {
            return;
        };
        // The node that carries it cannot tell whether another request may go to the target.
        if connection.detour.is_some() {
            return;
        }
        connection.earlier += 1;
        self.keep(connection, keep_alive_ms);
    }

    fn keep(&self, connection: Connection, keep_alive_ms: f64) {
        let since = clock::now();
        let until = since + keep_alive_ms;
        let mut all = self.lock();
        let owner = (connection.target.clone(), connection.address);
        let idle = all.entry(owner).or_default();
        idle.retain(|i| i.until > since && !i.connection.tx.is_closed());
        if idle.len() >= MAX_IDLE {
            idle.remove(0);
        }
        idle.push(Idle {
            connection,
            since,
            until,
        });
    }

    /// Closes connections that have been idle for too long.
    pub fn expire(&self) {
        let now = clock::now();
        self.lock().retain(|_, idle| {
            idle.retain(|i| i.until > now && !i.connection.tx.is_closed());
            !idle.is_empty()
        });
    }
}

// None if the connection must not be reused.
fn keep_alive_ms(response: &HeaderMap) -> Option<f64> {
    let closes = response.get_all(header::CONNECTION).iter().any(|v| {
        let v = v.to_str().unwrap_or_default();
        v.split(',').any(|t| t.trim().eq_ignore_ascii_case("close"))
    });
    if closes {
        return None;
    }
    let keep_alive = response.get("keep-alive").and_then(|v| v.to_str().ok());
    let timeout = keep_alive.and_then(|v| {
        let mut fields = v.split(',');
        fields.find_map(|f| f.trim().strip_prefix("timeout="))
    });
    match timeout.map(|t| t.trim().parse::<f64>()) {
        Some(Ok(s)) => Some(s * 1000.0 * KEEP_ALIVE_SHARE),
        _ => Some(DEFAULT_KEEP_ALIVE_MS),
    }
}

async fn open(dial: &Dial, (target, address): Owner) -> Result<Connection, ConnectError> {
    let opened = async {
        let tcp = dial(address).await?;
        tcp.set_nodelay(true)?;
        SockRef::from(&tcp).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
        Ok::<_, std::io::Error>(tcp)
    };
    let tcp = match timeout(CONNECT_TIMEOUT, opened).await {
        Ok(Ok(tcp)) => tcp,
        Ok(Err(_)) => return Err(ConnectError::Refused),
        Err(_) => return Err(ConnectError::Timeout),
    };
    handshake((target, address), tcp).await
}

async fn handshake<T>((target, address): Owner, io: T) -> Result<Connection, ConnectError>
where
    T: AsyncRead + AsyncWrite + Send + Unpin + 'static,
{
    let handshake = Builder::new()
        .max_buf_size(MAX_READ_BUFFER_BYTES)
        .handshake(TokioIo::new(io));
    let (tx, driver) = match handshake.await {
        Ok(pair) => pair,
        Err(_) => return Err(ConnectError::Refused),
    };
    tokio::spawn(async move {
        if let Err(e) = driver.await {
            debug!(address:%, error:% = e; "connection to a target ended");
        }
    });
    Ok(Connection {
        target,
        address,
        tx,
        earlier: 0,
        idle_ms: 0.0,
        opened: clock::now(),
        detour: None,
    })
}

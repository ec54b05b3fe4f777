//! A pool of connections to targets.

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
use rwd_placement::Timestamp;
use rwd_types::TargetName;
use socket2::SockRef;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::clock;
use crate::proof::{Permit, Proof, SendInfo};

/// Connect timeout: some round trips, and the target's time to accept.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
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
}

impl Connection {
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

/// The idle connections of a node.
pub(crate) struct ConnectionPool {
    dial: Dial,
    idle: Mutex<IndexMap<Owner, Vec<Idle>>>,
}

impl ConnectionPool {
    pub fn new(dial: Dial) -> Self {
        Self {
            dial,
            idle: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<Owner, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Returns an idle connection to a target or opens one.
    pub async fn get(
        &self,
        target: &TargetName,
        address: SocketAddr,
        reuse: Reuse,
    ) -> Result<Connection, ConnectError> {
        let owner = (target.clone(), address);
        match self.take(&owner, reuse.max_idle_ms()) {
            Some(connection) => Ok(connection),
            None => open(&self.dial, owner).await,
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
        connection.earlier += 1;
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
    let handshake = Builder::new()
        .max_buf_size(MAX_READ_BUFFER_BYTES)
        .handshake(TokioIo::new(tcp));
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
    })
}

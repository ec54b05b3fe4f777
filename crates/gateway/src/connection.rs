//! Connections to targets, kept for further requests.

use bytes::Bytes;
use http::{HeaderMap, Request, Response, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use log::debug;
use rwd_placement::Timestamp;
use socket2::SockRef;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::clock;

/// How long opening a connection may take: some round trips, and the target's own time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long sent bytes may stay unacknowledged before the connection counts as broken.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(2500);
/// How long a connection is kept if the target does not say, in milliseconds.
const KEEP_MS: f64 = 4000.0;
/// Share of the target's stated time for which a connection is used.
const KEEP_SHARE: f64 = 0.5;
/// Idle time after which a connection may have died unseen, in milliseconds; what must not run
/// twice goes out on a new one.
const SURE_MS: f64 = 500.0;
/// Most idle connections kept for one target.
const MAX_IDLE: usize = 16;

/// Why nothing was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq, derive_more::Display)]
pub(crate) enum ConnectError {
    /// No connection in time.
    #[display("no connection in time")]
    Timeout,
    /// The target's machine refused it.
    #[display("connection refused")]
    Refused,
}

/// What became of a request that was handed to a connection.
pub(crate) enum Sent {
    /// The head of an answer.
    Answer(Response<Incoming>),
    /// The connection was closed before anything was sent.
    ClosedBefore,
    /// The connection broke afterwards.
    Broken(hyper::Error),
}

/// One connection; dropping it in the middle of an answer closes it.
pub(crate) struct Channel {
    address: SocketAddr,
    tx: SendRequest<Full<Bytes>>,
    /// Whether an earlier request used it.
    pub reused: bool,
}

impl Channel {
    /// Sends a request and waits for the head of its answer.
    pub async fn send(&mut self, req: Request<Full<Bytes>>) -> Sent {
        match self.tx.try_send_request(req).await {
            Ok(response) => Sent::Answer(response),
            Err(mut e) => match e.take_message() {
                Some(_) => Sent::ClosedBefore,
                None => Sent::Broken(e.into_error()),
            },
        }
    }
}

struct Idle {
    channel: Channel,
    since: Timestamp,
    until: Timestamp,
}

/// All kept connections of a node.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    idle: Mutex<IndexMap<SocketAddr, Vec<Idle>>>,
}

impl ConnectionPool {
    fn lock(&self) -> MutexGuard<'_, IndexMap<SocketAddr, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// A kept connection, or a new one; `sure` rules out those that were idle for long.
    pub async fn get(&self, address: SocketAddr, sure: bool) -> Result<Channel, ConnectError> {
        match self.take(address, sure) {
            Some(channel) => Ok(channel),
            None => open(address).await,
        }
    }

    fn take(&self, address: SocketAddr, sure: bool) -> Option<Channel> {
        let now = clock::now();
        let mut all = self.lock();
        let idle = all.get_mut(&address)?;
        idle.retain(|i| i.until > now && !i.channel.tx.is_closed());
        // The one used last has had the least time to die.
        let newest = idle.pop()?;
        match sure && now - newest.since > SURE_MS {
            true => {
                idle.push(newest);
                None
            }
            false => Some(newest.channel),
        }
    }

    /// Keeps a connection whose last answer is complete, unless the target wants it closed.
    pub fn put_back(&self, mut channel: Channel, answer: &HeaderMap) {
        let Some(keep_ms) = keep_ms(answer) else {
            return;
        };
        channel.reused = true;
        let since = clock::now();
        let until = since + keep_ms;
        let mut all = self.lock();
        let idle = all.entry(channel.address).or_default();
        idle.retain(|i| i.until > since && !i.channel.tx.is_closed());
        if idle.len() >= MAX_IDLE {
            idle.remove(0);
        }
        idle.push(Idle {
            channel,
            since,
            until,
        });
    }

    /// Closes what has been idle for too long.
    pub fn expire(&self) {
        let now = clock::now();
        self.lock().retain(|_, idle| {
            idle.retain(|i| i.until > now && !i.channel.tx.is_closed());
            !idle.is_empty()
        });
    }
}

// None if the connection is not to be kept.
fn keep_ms(answer: &HeaderMap) -> Option<f64> {
    let closes = answer.get_all(header::CONNECTION).iter().any(|v| {
        let v = v.to_str().unwrap_or_default();
        v.split(',').any(|t| t.trim().eq_ignore_ascii_case("close"))
    });
    if closes {
        return None;
    }
    let stated = answer.get("keep-alive").and_then(|v| v.to_str().ok());
    let timeout = stated.and_then(|v| {
        let mut fields = v.split(',');
        fields.find_map(|f| f.trim().strip_prefix("timeout="))
    });
    match timeout.map(|t| t.trim().parse::<f64>()) {
        Some(Ok(s)) => Some(s * 1000.0 * KEEP_SHARE),
        _ => Some(KEEP_MS),
    }
}

async fn open(address: SocketAddr) -> Result<Channel, ConnectError> {
    let opened = async {
        let tcp = TcpStream::connect(address).await?;
        tcp.set_nodelay(true)?;
        SockRef::from(&tcp).set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))?;
        Ok::<_, std::io::Error>(tcp)
    };
    let tcp = match timeout(CONNECT_TIMEOUT, opened).await {
        Ok(Ok(tcp)) => tcp,
        Ok(Err(_)) => return Err(ConnectError::Refused),
        Err(_) => return Err(ConnectError::Timeout),
    };
    let (tx, connection) = match handshake(TokioIo::new(tcp)).await {
        Ok(pair) => pair,
        Err(_) => return Err(ConnectError::Refused),
    };
    tokio::spawn(async move {
        if let Err(e) = connection.await {
            debug!(address:%, error:% = e; "connection to a target ended");
        }
    });
    Ok(Channel {
        address,
        tx,
        reused: false,
    })
}

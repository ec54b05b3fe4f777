//! Accepts connections from peers.

use bytes::Bytes;
use h2::RecvStream;
use h2::server::{Builder, SendResponse};
use http::{Request, Response};
use log::{debug, warn};
use rwd_types::{InstanceName, Secret};
use rwd_wire::Message;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::keep_alive::{ActiveExchanges, KeepAlive, monitor};
use crate::link::WINDOW_BYTES;
use crate::{ByteCounter, CountedStream, Error, Exchange, Result, handshake};

/// Pause after a failed accept, usually because the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// How long an unauthenticated client may take to set up HTTP/2 and to open its first stream.
const SETUP_TIMEOUT: Duration = Duration::from_secs(3);

/// Largest head of a stream, in bytes; peers send almost none.
const MAX_HEADER_BYTES: u32 = 4 << 10;

/// Handles the exchanges that peers open.
pub trait Handler: Send + Sync + 'static {
    /// Handles one exchange, given its first message.
    fn handle(
        &self,
        from: InstanceName,
        first: Message,
        ex: Exchange,
    ) -> impl Future<Output = ()> + Send;
}

/// Accepts peer connections until the task is dropped, with one task per connection.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    secret: Secret,
    counter: ByteCounter,
    keep_alive: KeepAlive,
    handler: Arc<H>,
) {
    // Dropped with this task: a node that is gone must not reply on open connections.
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(ended) = connections.join_next() => {
                if let Err(e) = ended {
                    warn!(error:% = e; "a peer connection's task failed");
                }
                continue;
            }
        };
        match accepted {
            Ok((tcp, address)) => {
                let (secret, counter, handler) = (secret.clone(), counter.clone(), handler.clone());
                connections.spawn(async move {
                    if let Err(e) =
                        serve_connection(tcp, address, &secret, counter, keep_alive, handler).await
                    {
                        debug!(address:% = address, error:% = e; "peer connection ended");
                    }
                });
            }
            Err(e) => {
                warn!(error:% = e; "cannot accept a peer connection");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection<H: Handler>(
    tcp: TcpStream,
    address: SocketAddr,
    secret: &Secret,
    counter: ByteCounter,
    keep_alive: KeepAlive,
    handler: Arc<H>,
) -> Result<()> {
    tcp.set_nodelay(true)?;
    let io = CountedStream::new(tcp, counter);
    let received = io.received();
    let mut builder = Builder::new();
    builder
        .max_header_list_size(MAX_HEADER_BYTES)
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES);
    let setup = timeout(SETUP_TIMEOUT, builder.handshake::<_, Bytes>(io));
    let mut h2 = setup.await.map_err(|_| Error::Timeout)??;
    let active = ActiveExchanges::default();
    let pings = h2.ping_pong();
    let first = timeout(SETUP_TIMEOUT, h2.accept()).await;
    let (req, respond) = first.map_err(|_| Error::Timeout)?.ok_or(Error::Ended)??;
    let from = {
        let mut ex = accept(req, respond, &active)?;
        // The connection must be polled while the handshake runs on its first stream. A second
        // stream before the handshake ends violates the protocol.
        tokio::select! {
            from = handshake::accept(&mut ex, secret) => from?,
            _ = h2.accept() => return Err(Error::Handshake),
        }
    };
    debug!(peer:% = from, address:% = address; "peer connected");
    let accept_all = async {
        while let Some(stream) = h2.accept().await {
            let (req, respond) = stream?;
            let ex = accept(req, respond, &active)?;
            let (from, handler) = (from.clone(), handler.clone());
            tokio::spawn(async move {
                if let Err(e) = serve_exchange(ex, from, handler).await {
                    debug!(error:% = e; "exchange ended");
                }
            });
        }
        Ok(())
    };
    // Returning drops the connection, which fails the exchanges that are still open on it.
    tokio::select! {
        result = accept_all => result,
        reason = monitor(pings, keep_alive, &active, &received) => {
            debug!(peer:% = from, reason; "closing peer connection");
            Ok(())
        }
    }
}

async fn serve_exchange<H: Handler>(
    mut ex: Exchange,
    from: InstanceName,
    handler: Arc<H>,
) -> Result<()> {
    let first = ex.recv().await?.ok_or(Error::Ended)?;
    handler.handle(from, first, ex).await;
    Ok(())
}

fn accept(
    req: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    active: &ActiveExchanges,
) -> Result<Exchange> {
    let tx = respond.send_response(Response::new(()), false)?;
    Ok(Exchange::accepted(tx, req.into_body(), active.begin()))
}

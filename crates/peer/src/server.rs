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
use tokio::time::{sleep, timeout};

use crate::keep_alive::{KeepAlive, Uses, watch};
use crate::link::WINDOW_BYTES;
use crate::{ByteCounter, Counted, Error, Exchange, Result, handshake};

/// Pause after a failed accept, which mostly means that files have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// How long a stranger may take to open HTTP/2 and its first stream.
const GREETING_TIMEOUT: Duration = Duration::from_secs(3);

/// Answers the exchanges that peers open.
pub trait Handler: Send + Sync + 'static {
    /// Handles one exchange, given its first message.
    fn handle(
        &self,
        from: InstanceName,
        first: Message,
        ex: Exchange,
    ) -> impl Future<Output = ()> + Send;
}

/// Accepts peers until the task is dropped; one task for each connection.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    secret: Secret,
    counter: ByteCounter,
    keep_alive: KeepAlive,
    handler: Arc<H>,
) {
    loop {
        match listener.accept().await {
            Ok((tcp, address)) => {
                let (secret, counter, handler) = (secret.clone(), counter.clone(), handler.clone());
                tokio::spawn(async move {
                    if let Err(e) =
                        connection(tcp, address, &secret, counter, keep_alive, handler).await
                    {
                        debug!(address:% = address, error:% = e; "peer connection ended");
                    }
                });
            }
            Err(e) => {
                warn!(error:% = e; "cannot accept a peer");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection<H: Handler>(
    tcp: TcpStream,
    address: SocketAddr,
    secret: &Secret,
    counter: ByteCounter,
    keep_alive: KeepAlive,
    handler: Arc<H>,
) -> Result<()> {
    tcp.set_nodelay(true)?;
    let io = Counted::new(tcp, counter);
    let mut builder = Builder::new();
    builder
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES);
    let greeting = timeout(GREETING_TIMEOUT, builder.handshake::<_, Bytes>(io));
    let mut h2 = greeting.await.map_err(|_| Error::Timeout)??;
    let uses = Uses::default();
    let pings = h2.ping_pong();
    let first = timeout(GREETING_TIMEOUT, h2.accept()).await;
    let (req, respond) = first.map_err(|_| Error::Timeout)?.ok_or(Error::Ended)??;
    let from = {
        let mut ex = accept(req, respond, &uses)?;
        // The connection must be driven while the handshake runs on its first stream. A second
        // stream before its end comes from somebody who does not know the protocol.
        tokio::select! {
            from = handshake::accept(&mut ex, secret) => from?,
            _ = h2.accept() => return Err(Error::Handshake),
        }
    };
    debug!(peer:% = from, address:% = address; "peer connected");
    let accept_all = async {
        while let Some(stream) = h2.accept().await {
            let (req, respond) = stream?;
            let ex = accept(req, respond, &uses)?;
            let (from, handler) = (from.clone(), handler.clone());
            tokio::spawn(async move {
                if let Err(e) = exchange(ex, from, handler).await {
                    debug!(error:% = e; "exchange ended");
                }
            });
        }
        Ok(())
    };
    // Leaving drops the connection, which fails the exchanges that are still open on it.
    tokio::select! {
        result = accept_all => result,
        reason = watch(pings, keep_alive, &uses) => {
            debug!(peer:% = from, reason; "closing a peer's connection");
            Ok(())
        }
    }
}

async fn exchange<H: Handler>(mut ex: Exchange, from: InstanceName, handler: Arc<H>) -> Result<()> {
    let first = ex.recv().await?.ok_or(Error::Ended)?;
    handler.handle(from, first, ex).await;
    Ok(())
}

fn accept(
    req: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    uses: &Uses,
) -> Result<Exchange> {
    let tx = respond.send_response(Response::new(()), false)?;
    Ok(Exchange::accepted(tx, req.into_body(), uses.begin()))
}

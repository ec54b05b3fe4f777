//! A TCP proxy with the bandwidth of a slow network link.

use std::io::Result;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;
use tokio::task::AbortHandle;
use tokio::time::sleep;

/// Bytes that are forwarded at once.
const CHUNK_BYTES: usize = 4096;

/// A running proxy to one address; dropping it stops accepting connections.
///
/// All of its connections share the bandwidth towards the client, as they share the link of the
/// client's machine.
pub struct SlowLink {
    address: SocketAddr,
    task: AbortHandle,
}

impl Drop for SlowLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl SlowLink {
    /// Starts on a free port of `ip`; bytes from `to` pass at `bytes_per_s`.
    ///
    /// # Errors
    ///
    /// Returns an error if no port of `ip` can be bound.
    pub async fn start(ip: IpAddr, to: SocketAddr, bytes_per_s: u32) -> Result<Self> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let address = listener.local_addr()?;
        let link = Arc::new(Mutex::new(()));
        let task = tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let Ok(server) = TcpStream::connect(to).await else {
                    continue;
                };
                let (client_rx, client_tx) = client.into_split();
                let (server_rx, server_tx) = server.into_split();
                // An error means that one side has closed its connection.
                tokio::spawn(forward(client_rx, server_tx, None));
                tokio::spawn(forward(
                    server_rx,
                    client_tx,
                    Some((link.clone(), bytes_per_s)),
                ));
            }
        });
        Ok(Self {
            address,
            task: task.abort_handle(),
        })
    }

    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn forward(
    mut rx: OwnedReadHalf,
    mut tx: OwnedWriteHalf,
    link: Option<(Arc<Mutex<()>>, u32)>,
) -> Result<()> {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let n = rx.read(&mut buf).await?;
        if n == 0 {
            return Ok(());
        }
        if let Some((link, bytes_per_s)) = &link {
            let _turn = link.lock().await;
            sleep(Duration::from_secs_f64(n as f64 / f64::from(*bytes_per_s))).await;
        }
        tx.write_all(&buf[..n]).await?;
    }
}

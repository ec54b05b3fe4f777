//! The platform's append-only log.

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::Method;
use rwd_types::LogOffset;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

use crate::http_client::{get, request};
use crate::{HttpClient, Result};

/// Timeout of an append; once it has passed, the record may or may not be in the log.
const APPEND_TIMEOUT: Duration = Duration::from_secs(3);
/// Time that a read may take beyond its long-poll wait.
const READ_SLACK: Duration = Duration::from_secs(2);

/// A record of a stream of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogRecord {
    /// Its offset.
    pub offset: LogOffset,
    /// Its payload.
    pub data: String,
}

/// The result of a read.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Batch {
    /// Oldest retained offset.
    pub first: LogOffset,
    /// Offset of the next append.
    pub next: LogOffset,
    /// Records from the requested offset on.
    pub records: Vec<LogRecord>,
}

#[derive(Deserialize)]
struct AppendResponse {
    offset: LogOffset,
}

/// The platform's log.
pub trait Log: Send + Sync {
    /// Appends a record and returns its offset; after an error the record may be in the log.
    fn append<'a>(&'a self, stream: &'a str, data: String) -> BoxFuture<'a, Result<LogOffset>>;

    /// Reads records from offset `from` on; waits up to `wait` for the first one.
    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: LogOffset,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Batch>>;
}

/// The log service over HTTP.
#[derive(Clone, Debug)]
pub struct HttpLog {
    address: SocketAddr,
    client: HttpClient,
}

impl HttpLog {
    /// Creates a client for the service at `address`.
    pub fn new(address: SocketAddr) -> Self {
        let client = HttpClient::default();
        Self { address, client }
    }
}

impl Log for HttpLog {
    fn append<'a>(&'a self, stream: &'a str, data: String) -> BoxFuture<'a, Result<LogOffset>> {
        Box::pin(async move {
            let uri = format!("http://{}/v1/streams/{stream}", self.address);
            let req = request(Method::POST, &uri, Bytes::from(data))?;
            let appended: AppendResponse = self.client.json(req, APPEND_TIMEOUT).await?;
            Ok(appended.offset)
        })
    }

    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: LogOffset,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Batch>> {
        Box::pin(async move {
            let wait_ms = wait.as_millis();
            let address = self.address;
            let uri = format!("http://{address}/v1/streams/{stream}?from={from}&wait_ms={wait_ms}");
            self.client.json(get(&uri)?, wait + READ_SLACK).await
        })
    }
}

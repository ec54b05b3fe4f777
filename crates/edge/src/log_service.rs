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

/// How long an append may take before its fate is unknown.
const APPEND_TIMEOUT: Duration = Duration::from_secs(3);
/// How much longer than its waiting time a read may take.
const READ_SLACK: Duration = Duration::from_secs(2);

/// One record of a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogRecord {
    /// Its position.
    pub offset: LogOffset,
    /// Its text.
    pub data: String,
}

/// What a read returns.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Batch {
    /// The oldest position that is still kept.
    pub first: LogOffset,
    /// The position that the next append gets.
    pub next: LogOffset,
    /// Records from the asked position on.
    pub records: Vec<LogRecord>,
}

#[derive(Deserialize)]
struct Appended {
    offset: LogOffset,
}

/// The log service.
pub trait Log: Send + Sync {
    /// Appends a record and returns its position; an error leaves open whether it was appended.
    fn append<'a>(&'a self, stream: &'a str, data: String) -> BoxFuture<'a, Result<LogOffset>>;

    /// Reads from `from` on; waits up to `wait` for a first record.
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
    /// The service at `address`.
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
            let appended: Appended = self.client.json(req, APPEND_TIMEOUT).await?;
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

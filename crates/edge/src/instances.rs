//! The platform's list of instances.

use compact_str::CompactString;
use futures_util::future::BoxFuture;
use rwd_types::ZoneName;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

use crate::http_client::get;
use crate::{HttpClient, Result};

/// Time that a read may take beyond its long-poll wait.
const READ_SLACK: Duration = Duration::from_secs(2);

/// What runs on an instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceRole {
    /// A node of the scheduler.
    Node,
    /// A model engine or a service.
    Target,
}

/// Whether an instance is in service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// In service.
    Live,
    /// About to be stopped; gets no new work.
    Leaving,
}

/// An entry of the instance list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Instance {
    /// Its name.
    pub name: CompactString,
    /// What runs on it.
    pub role: InstanceRole,
    /// Whether it is in service.
    pub state: InstanceState,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Address for callers.
    pub http: SocketAddr,
    /// Address for peers; targets have none.
    #[serde(default)]
    pub peer: Option<SocketAddr>,
}

/// A version of the instance list.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Listing {
    /// Increases with every change.
    pub version: u64,
    /// The instances.
    pub instances: Vec<Instance>,
}

/// The platform's instance list.
pub trait InstanceList: Send + Sync {
    /// Long poll: returns the list once its version differs from `known`, or after `wait`.
    fn list(&self, known: u64, wait: Duration) -> BoxFuture<'_, Result<Listing>>;
}

/// The instance list over HTTP.
#[derive(Clone, Debug)]
pub struct HttpInstanceList {
    address: SocketAddr,
    client: HttpClient,
}

impl HttpInstanceList {
    /// Creates a client for the service at `address`.
    pub fn new(address: SocketAddr) -> Self {
        let client = HttpClient::default();
        Self { address, client }
    }
}

impl InstanceList for HttpInstanceList {
    fn list(&self, known: u64, wait: Duration) -> BoxFuture<'_, Result<Listing>> {
        Box::pin(async move {
            let wait_ms = wait.as_millis();
            let address = self.address;
            let uri = format!("http://{address}/v1/instances?known={known}&wait_ms={wait_ms}");
            self.client.json(get(&uri)?, wait + READ_SLACK).await
        })
    }
}

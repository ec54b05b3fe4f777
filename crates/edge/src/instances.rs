//! The platform's list of instances.

use compact_str::CompactString;
use futures_util::future::BoxFuture;
use rwd_types::ZoneName;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

use crate::http_client::get;
use crate::{HttpClient, Result};

/// How much longer than its waiting time a read may take.
const READ_SLACK: Duration = Duration::from_secs(2);

/// What runs on an instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceRole {
    /// A node of this program.
    Node,
    /// A model engine or a plain service.
    Target,
}

/// Whether an instance is to stay.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// It is to stay.
    Live,
    /// It is on its way out.
    Leaving,
}

/// One instance of the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Instance {
    /// Its name.
    pub name: CompactString,
    /// What runs on it.
    pub role: InstanceRole,
    /// Whether it is to stay.
    pub state: InstanceState,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where callers connect.
    pub http: SocketAddr,
    /// Where nodes connect; targets have none.
    #[serde(default)]
    pub peer: Option<SocketAddr>,
}

/// The list at one version.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Listing {
    /// Goes up with every change.
    pub version: u64,
    /// The instances.
    pub instances: Vec<Instance>,
}

/// The instance list.
pub trait InstanceList: Send + Sync {
    /// The list once its version differs from `known`, or after `wait`.
    fn list(&self, known: u64, wait: Duration) -> BoxFuture<'_, Result<Listing>>;
}

/// The instance list over HTTP.
#[derive(Clone, Debug)]
pub struct HttpInstanceList {
    address: SocketAddr,
    client: HttpClient,
}

impl HttpInstanceList {
    /// The service at `address`.
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

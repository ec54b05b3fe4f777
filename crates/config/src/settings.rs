//! Start-up settings of one node.

use rwd_types::{ByteSize, InstanceName, Millis, Secret, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::Path;

use compact_str::ToCompactString;

use crate::{Error, ErrorKind, Result};

/// Minimum length of the shared secret and the operator token, in bytes.
const MIN_SECRET_BYTES: u64 = 16;

/// Addresses of the platform's services.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the append-only log service.
    pub log: SocketAddr,
    /// Address of the instance list.
    pub instances: SocketAddr,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            log: SocketAddr::from(([127, 0, 0, 1], 7101)),
            instances: SocketAddr::from(([127, 0, 0, 1], 7102)),
        }
    }
}

/// The settings of one node.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// The instance that runs the node.
    pub instance: InstanceName,
    /// The availability zone of the instance.
    pub zone: ZoneName,
    /// Listen address for callers and operators; port 0 takes any free port.
    pub http: SocketAddr,
    /// Listen address for other nodes; port 0 takes any free port.
    pub peer: SocketAddr,
    /// Secret shared by all nodes; authenticates peers and seals key prefixes.
    pub secret: Secret,
    /// Token that operators present to the administration API.
    pub operator_token: Secret,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Maximum size of a request body.
    pub max_body: ByteSize,
    /// Memory for responses that callers may read again after a reconnect.
    pub answer_buffer: ByteSize,
    /// Interval between membership probes.
    pub heartbeat: Millis,
    /// Time after which an unanswered probe makes its peer suspect.
    pub probe_timeout: Millis,
    /// Time that a suspected peer has to refute before it is considered failed.
    pub suspicion: Millis,
    /// Time without progress after which a stream is resumed on a new connection.
    pub progress_timeout: Millis,
    /// Time that a graceful shutdown waits for requests in progress.
    pub stop_timeout: Millis,
    /// Time that callers may cache a response of `/v1/addresses`.
    pub address_ttl: Millis,
}

impl Default for Settings {
    fn default() -> Self {
        let name = |s: &str| s.parse().unwrap_or_else(|_| unreachable!("a valid name"));
        Self {
            instance: name("n1"),
            zone: "a".parse().unwrap_or_else(|_| unreachable!("a valid name")),
            http: SocketAddr::from(([127, 0, 0, 1], 7001)),
            peer: SocketAddr::from(([127, 0, 0, 1], 7002)),
            secret: Secret::new(""),
            operator_token: Secret::new(""),
            platform: PlatformSettings::default(),
            max_body: ByteSize(1 << 20),
            answer_buffer: ByteSize(64 << 20),
            heartbeat: Millis(1000),
            probe_timeout: Millis(500),
            suspicion: Millis(1500),
            progress_timeout: Millis(2000),
            stop_timeout: Millis(2 * 3600 * 1000),
            address_ttl: Millis(5000),
        }
    }
}

impl Settings {
    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// Names the JSON path of the first invalid field.
    pub fn from_json(text: &str) -> Result<Self> {
        let settings: Self = crate::read(text)?;
        settings.validate()?;
        Ok(settings)
    }

    /// Reads, parses and validates a settings file.
    ///
    /// # Errors
    ///
    /// As [`Settings::from_json`]; if the file cannot be read, names the file instead.
    pub fn from_file(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path).map_err(|e| {
            let message = e.to_compact_string();
            Error::new(path.display(), ErrorKind::Unreadable { message })
        })?;
        Self::from_json(&text)
    }

    fn validate(&self) -> Result<()> {
        let at_least = [
            ("secret", self.secret.len() as u64, MIN_SECRET_BYTES),
            (
                "operator_token",
                self.operator_token.len() as u64,
                MIN_SECRET_BYTES,
            ),
            ("max_body", self.max_body.0, 1024),
            ("answer_buffer", self.answer_buffer.0, self.max_body.0),
            ("heartbeat", self.heartbeat.0, 10),
            ("probe_timeout", self.probe_timeout.0, 10),
            ("suspicion", self.suspicion.0, 10),
            ("progress_timeout", self.progress_timeout.0, 100),
            ("address_ttl", self.address_ttl.0, 100),
        ];
        match at_least.into_iter().find(|(_, value, least)| value < least) {
            Some((path, _, least)) => Err(Error::new(path, ErrorKind::TooSmall { least })),
            None => Ok(()),
        }
    }
}

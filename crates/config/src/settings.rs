//! What one node is told about itself when it starts.

use rwd_types::{ByteSize, InstanceName, Millis, Secret, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::Path;

use compact_str::ToCompactString;

use crate::{Error, ErrorKind, Result};

/// Shortest accepted shared secret, in bytes.
const MIN_SECRET_BYTES: u64 = 16;

/// Where the platform's services are.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The append-only log service.
    pub log: SocketAddr,
    /// The instance list.
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
    /// The instance on which the node runs.
    pub instance: InstanceName,
    /// The availability zone of the instance.
    pub zone: ZoneName,
    /// Where callers and operators connect.
    pub http: SocketAddr,
    /// Where other nodes connect.
    pub peer: SocketAddr,
    /// Shared by all nodes; proves a peer at connect and seals key prefixes.
    pub secret: Secret,
    /// What operators present to the administration API.
    pub operator_token: Secret,
    /// Where the platform's services are.
    pub platform: PlatformSettings,
    /// Largest accepted request body.
    pub max_body: ByteSize,
    /// How many bytes of answers the node keeps for callers that come back.
    pub answer_buffer: ByteSize,
    /// Period of the membership probes.
    pub heartbeat: Millis,
    /// How long an unanswered probe may take before its peer is suspected.
    pub probe_timeout: Millis,
    /// How long a suspected peer may take to refute before it counts as failed.
    pub suspicion: Millis,
    /// How long a dispatched stream may stay silent before it is resumed on a new connection.
    pub progress_timeout: Millis,
    /// How long a planned stop waits for requests in progress.
    pub stop_timeout: Millis,
    /// How long callers may keep an answer of `/v1/addresses`.
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
    /// Reads and checks settings.
    ///
    /// # Errors
    ///
    /// The JSON path of the first field that is wrong.
    pub fn from_json(text: &str) -> Result<Self> {
        let settings: Self = crate::read(text)?;
        settings.check()?;
        Ok(settings)
    }

    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// As [`Settings::from_json`]; a file that cannot be read is named by its path.
    pub fn from_file(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path).map_err(|e| {
            let message = e.to_compact_string();
            Error::new(path.display(), ErrorKind::Unreadable { message })
        })?;
        Self::from_json(&text)
    }

    fn check(&self) -> Result<()> {
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

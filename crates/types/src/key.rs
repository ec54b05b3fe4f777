//! Request keys, which name the only node that may dispatch the request.
//!
//! A key is `prefix.sequence`. The prefix names the home node of its requests and
//! the witness of the non-idempotent ones. A message authentication code over
//! both and the workspace prevents callers from forging a prefix or using the
//! prefix of another workspace.

use compact_str::{CompactString, format_compact};
use derive_more::{Debug, Display, Error};
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use std::fmt;
use std::str::FromStr;

use crate::{Incarnation, InstanceName, SessionId, WorkspaceName};

/// Length of the truncated message authentication code in a prefix, in bytes.
const MAC_BYTES: usize = 8;
/// Marks an absent witness in the text form of a prefix.
const NO_WITNESS: &str = "-";

/// Error of parsing or verifying a request key.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
pub enum KeyError {
    /// The text is not of the form `prefix.sequence`.
    #[display("a key has the form prefix.sequence, with a prefix from /v1/addresses")]
    Form,
    /// No node of this cluster issued the prefix for this workspace.
    #[display("the key prefix was not issued for this workspace")]
    Foreign,
}

type Result<T> = std::result::Result<T, KeyError>;

/// The secret shared by all nodes of a cluster.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[debug("Secret")]
#[serde(transparent)]
pub struct Secret(CompactString);

impl Secret {
    /// Creates a secret from its text.
    pub fn new(s: &str) -> Self {
        Self(s.into())
    }

    /// Length of the secret in bytes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether the secret is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Compares `text` with the secret in constant time.
    pub fn matches(&self, text: &str) -> bool {
        constant_time_eq(self.0.as_bytes(), text.as_bytes())
    }

    /// Computes the HMAC-SHA-256 of `parts`, each prefixed with its length.
    pub fn mac(&self, parts: &[&[u8]]) -> [u8; 32] {
        let mut mac = Hmac::<Sha256>::new_from_slice(self.0.as_bytes())
            .unwrap_or_else(|_| unreachable!("HMAC takes a key of any length"));
        for part in parts {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac.finalize().into_bytes().into()
    }
}

/// The part that all request keys of one session share: the home node and the witness.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct KeyPrefix {
    /// The home node, which alone dispatches the requests under the prefix.
    pub home: InstanceName,
    /// The home node's incarnation when the prefix was issued.
    pub incarnation: Incarnation,
    /// Identifies the prefix among those that name the home node.
    pub session: SessionId,
    /// The node that records non-idempotent requests, if one was available.
    pub witness: Option<(InstanceName, Incarnation)>,
}

impl KeyPrefix {
    /// Formats the prefix with an authentication code that binds it to `workspace`.
    pub fn seal(&self, secret: &Secret, workspace: &WorkspaceName) -> CompactString {
        format_compact!("{self}~{}", self.mac(secret, workspace))
    }

    fn mac(&self, secret: &Secret, workspace: &WorkspaceName) -> CompactString {
        let text = format_compact!("{self}");
        let mac = secret.mac(&[b"prefix", text.as_bytes(), workspace.as_str().as_bytes()]);
        let mut hex = CompactString::default();
        for byte in &mac[..MAC_BYTES] {
            hex.push_str(&format_compact!("{byte:02x}"));
        }
        hex
    }
}

impl fmt::Display for KeyPrefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}~{:x}~{:x}~",
            self.home, self.incarnation.0, self.session.0
        )?;
        match &self.witness {
            Some((name, incarnation)) => write!(f, "{name}~{:x}", incarnation.0),
            None => write!(f, "{NO_WITNESS}~0"),
        }
    }
}

/// Identifies a request by a prefix and the caller's sequence number.
#[derive(Clone, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[display("{prefix}.{sequence}")]
pub struct RequestKey {
    /// Names the home node and the witness.
    pub prefix: KeyPrefix,
    /// Identifies the request under its prefix.
    pub sequence: u64,
}

impl RequestKey {
    /// Parses and verifies a key presented by a caller of `workspace`.
    ///
    /// # Errors
    ///
    /// [`KeyError::Form`] if the text is malformed, [`KeyError::Foreign`] if its
    /// prefix was not sealed for this workspace with this secret.
    pub fn open(s: &str, secret: &Secret, workspace: &WorkspaceName) -> Result<Self> {
        let (sealed, sequence) = s.rsplit_once('.').ok_or(KeyError::Form)?;
        let (prefix, mac) = sealed.rsplit_once('~').ok_or(KeyError::Form)?;
        let prefix: KeyPrefix = prefix.parse()?;
        let sequence = parse_number(sequence, 10)?;
        match prefix.mac(secret, workspace) {
            expected if constant_time_eq(expected.as_bytes(), mac.as_bytes()) => {
                Ok(Self { prefix, sequence })
            }
            _ => Err(KeyError::Foreign),
        }
    }
}

impl FromStr for KeyPrefix {
    type Err = KeyError;

    fn from_str(s: &str) -> Result<Self> {
        let parts: Vec<&str> = s.split('~').collect();
        let [home, incarnation, session, witness, witness_incarnation] = parts[..] else {
            return Err(KeyError::Form);
        };
        let prefix = Self {
            home: home.parse().map_err(|_| KeyError::Form)?,
            incarnation: Incarnation(parse_number(incarnation, 16)?),
            session: SessionId(parse_number(session, 16)?),
            witness: match witness {
                NO_WITNESS => None,
                name => Some((
                    name.parse().map_err(|_| KeyError::Form)?,
                    Incarnation(parse_number(witness_incarnation, 16)?),
                )),
            },
        };
        // Only the canonical spelling is accepted: two spellings would give one request two keys.
        match prefix.to_string() == s {
            true => Ok(prefix),
            false => Err(KeyError::Form),
        }
    }
}

// Rejects a leading `+`, which `from_str_radix` accepts: it would give one key two spellings.
fn parse_number(s: &str, radix: u32) -> Result<u64> {
    match u64::from_str_radix(s, radix) {
        Ok(n) if !s.starts_with('+') => Ok(n),
        _ => Err(KeyError::Form),
    }
}

// The running time does not depend on where the texts differ.
fn constant_time_eq(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |acc, (x, y)| acc | (x ^ y)) == 0
}

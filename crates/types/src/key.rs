//! Request keys that name the node which may run them.
//!
//! A key is `prefix.sequence`. The prefix names the home that issued it, the
//! witness of its non-idempotent requests, and carries a code over all of that
//! and the workspace, so that a caller can neither invent a prefix nor use one
//! of another workspace.

use compact_str::{CompactString, format_compact};
use derive_more::{Debug, Display, Error};
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use std::fmt;
use std::str::FromStr;

use crate::{Incarnation, InstanceName, SessionId, WorkspaceName};

/// Bytes of the message authentication code that a prefix carries.
const CODE_BYTES: usize = 8;
/// What stands for "no witness" in the text form of a prefix.
const NO_WITNESS: &str = "-";

/// Why a text is not an acceptable request key.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
pub enum KeyError {
    /// The text does not have the form `prefix.sequence`.
    #[display("a key has the form prefix.sequence, with a prefix from /v1/addresses")]
    Form,
    /// The prefix was not issued by this system for this workspace.
    #[display("the key prefix was not issued for this workspace")]
    Foreign,
}

type Result<T> = std::result::Result<T, KeyError>;

/// The secret that all nodes of one system share.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[debug("Secret")]
#[serde(transparent)]
pub struct Secret(CompactString);

impl Secret {
    /// Wraps the given text.
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

    /// Whether `text` is this secret; takes a time that does not depend on where they differ.
    pub fn matches(&self, text: &str) -> bool {
        same(self.0.as_bytes(), text.as_bytes())
    }

    /// The authentication code (HMAC-SHA-256) of `parts`, each preceded by its length.
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

/// The issuing home and the witness of a family of request keys.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct KeyPrefix {
    /// The node that issued the prefix; only it dispatches requests under it.
    pub home: InstanceName,
    /// The life of the home in which it issued the prefix.
    pub incarnation: Incarnation,
    /// The number of the prefix among those of its home.
    pub session: SessionId,
    /// The node that records non-idempotent requests, if one was to be had.
    pub witness: Option<(InstanceName, Incarnation)>,
}

impl KeyPrefix {
    /// The text form, bound to `workspace` by a code made with `secret`.
    pub fn seal(&self, secret: &Secret, workspace: &WorkspaceName) -> CompactString {
        format_compact!("{self}~{}", self.mac(secret, workspace))
    }

    fn mac(&self, secret: &Secret, workspace: &WorkspaceName) -> CompactString {
        let text = format_compact!("{self}");
        let code = secret.mac(&[b"prefix", text.as_bytes(), workspace.as_str().as_bytes()]);
        let mut hex = CompactString::default();
        for byte in &code[..CODE_BYTES] {
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

/// One request's identity: a prefix and the caller's sequence number.
#[derive(Clone, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[display("{prefix}.{sequence}")]
pub struct RequestKey {
    /// Names the home and the witness.
    pub prefix: KeyPrefix,
    /// Distinguishes the requests under one prefix.
    pub sequence: u64,
}

impl RequestKey {
    /// Reads a key that a caller of `workspace` presents.
    ///
    /// # Errors
    ///
    /// [`KeyError::Form`] when the text is no key, [`KeyError::Foreign`] when its
    /// prefix was not sealed for this workspace with this secret.
    pub fn open(s: &str, secret: &Secret, workspace: &WorkspaceName) -> Result<Self> {
        let (sealed, sequence) = s.rsplit_once('.').ok_or(KeyError::Form)?;
        let (prefix, code) = sealed.rsplit_once('~').ok_or(KeyError::Form)?;
        let prefix: KeyPrefix = prefix.parse()?;
        let sequence = parse_number(sequence, 10)?;
        match prefix.mac(secret, workspace) {
            expected if same(expected.as_bytes(), code.as_bytes()) => Ok(Self { prefix, sequence }),
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
        // A second spelling of the same prefix would be a second name of the same request.
        match prefix.to_string() == s {
            true => Ok(prefix),
            false => Err(KeyError::Form),
        }
    }
}

// `from_str_radix` accepts a leading `+`, which would give one key two texts.
fn parse_number(s: &str, radix: u32) -> Result<u64> {
    match u64::from_str_radix(s, radix) {
        Ok(n) if !s.starts_with('+') => Ok(n),
        _ => Err(KeyError::Form),
    }
}

// Compares in a time that does not depend on where the texts differ.
fn same(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |acc, (x, y)| acc | (x ^ y)) == 0
}

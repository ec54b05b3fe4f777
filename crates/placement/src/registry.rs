//! Registry entries of targets.

use rwd_types::{PoolName, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

use crate::Version;

/// A target's entry in the registry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TargetEntry {
    /// The pool it serves.
    pub pool: PoolName,
    /// The address it listens on.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Concurrent requests, if it reports them.
    pub slots: Option<u32>,
    /// Whether it is draining and gets no new requests.
    pub leaving: bool,
    /// Warm-up time after its start, in milliseconds.
    pub warm_up_ms: f64,
    /// Start time of the process, in Unix milliseconds.
    pub born: u64,
    /// Sequence number of the entry within one process.
    pub sequence: u64,
    /// Version of its software; empty if it reports none.
    pub version: Version,
}

impl TargetEntry {
    /// Whether this entry supersedes `old`; entries may arrive late and out of order.
    pub fn replaces(&self, old: &Self) -> bool {
        (self.born, self.sequence) >= (old.born, old.sequence)
    }

    /// Whether this entry was written after `old`.
    pub fn is_newer(&self, old: &Self) -> bool {
        (self.born, self.sequence) > (old.born, old.sequence)
    }

    /// Whether the entries differ in more than their sequence.
    pub fn differs(&self, old: &Self) -> bool {
        let same_sequence = Self {
            sequence: self.sequence,
            ..old.clone()
        };
        same_sequence != *self
    }
}

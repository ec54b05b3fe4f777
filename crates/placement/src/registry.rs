//! What the registry says of a target.

use rwd_types::{PoolName, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A target's entry in the registry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TargetEntry {
    /// The pool it serves.
    pub pool: PoolName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests that it works on at once, if it says so.
    pub slots: Option<u32>,
    /// Whether it is to get no new work.
    pub leaving: bool,
    /// Milliseconds for which it stays slow after its start.
    pub warm_up_ms: f64,
    /// Start of the process, in Unix milliseconds.
    pub born: u64,
    /// Orders the entries of one process.
    pub sequence: u64,
}

impl TargetEntry {
    /// Whether this entry replaces `old`: entries may arrive late and out of order.
    pub fn replaces(&self, old: &Self) -> bool {
        (self.born, self.sequence) >= (old.born, old.sequence)
    }

    /// Whether the entries differ in more than their sequence.
    pub fn differs(&self, old: &Self) -> bool {
        let aligned = Self {
            sequence: self.sequence,
            ..old.clone()
        };
        aligned != *self
    }
}

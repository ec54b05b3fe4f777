//! Tells a node that has no path to targets from targets that are down.
//!
//! A node that cannot connect to a target asks other nodes to. If one of them can, the path is at fault, not
//! the target: connections to this target go through other nodes for a while. After two such targets, with no
//! connection of its own established since, the node takes itself for cut off, and connects to no target
//! itself, but for a probe now and then. Each pool has its own [`Paths`]: the targets of one may be reached
//! while those of another are not.

use indexmap::IndexMap;
use rwd_types::TargetName;

use crate::Timestamp;

/// Targets that other nodes reach, and this one does not, before it takes itself for cut off.
const MIN_TARGETS: usize = 2;
/// How long a path that failed is avoided, and how long a node without requests takes itself for cut off, in
/// milliseconds.
const AVOID_MS: f64 = 2000.0;
/// Time between two connections that are opened to see whether a path is back, in milliseconds.
const PROBE_PERIOD_MS: f64 = 400.0;
/// How long a connection or a response proves that the node has a path, in milliseconds.
const WORKS_MS: f64 = 1500.0;
/// Maximum number of targets that are remembered.
const MAX_TARGETS: usize = 256;

/// How to connect to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Path {
    /// From this node.
    Direct,
    /// Through another node.
    Detour {
        /// Whether to try the direct path as well, to see whether it is back.
        probe: bool,
    },
}

/// What one node knows of its paths to the targets of a pool.
#[derive(Debug, Default)]
pub struct Paths {
    // When this node last failed to reach each target that another one did; while it is cut off, when another
    // one last reached it.
    failed: IndexMap<TargetName, Timestamp>,
    // When the node last established a connection itself.
    connected: Option<Timestamp>,
    // Since when it is cut off.
    cut_since: Option<Timestamp>,
    probed: Option<Timestamp>,
    // When a response last arrived on a connection that had been opened before the cut.
    heard: Option<Timestamp>,
}

impl Paths {
    /// How to connect to a target now.
    pub fn to(&mut self, target: &TargetName, now: Timestamp) -> Path {
        self.forget(now);
        if self.cut_since.is_none() && !self.failed.contains_key(target) {
            return Path::Direct;
        }
        let probe = self.probed.is_none_or(|t| now - t >= PROBE_PERIOD_MS);
        if probe {
            self.probed = Some(now);
        }
        Path::Detour { probe }
    }

    /// Records that the node has connected to a target itself.
    pub fn record_connected(&mut self, target: &TargetName, now: Timestamp) {
        self.connected = Some(now);
        match self.cut_since.take() {
            Some(_) => self.failed.clear(),
            None => drop(self.failed.shift_remove(target)),
        }
    }

    /// Records that another node has connected to a target to which this one has just failed to connect.
    pub fn record_failed(&mut self, target: &TargetName, now: Timestamp) {
        self.failed.shift_remove(target);
        while self.failed.len() >= MAX_TARGETS {
            self.failed.shift_remove_index(0);
        }
        self.failed.insert(target.clone(), now);
        let since = |at: &&Timestamp| self.connected.is_none_or(|t| **at > t);
        let count = self.failed.values().filter(since).count();
        if count >= MIN_TARGETS && self.cut_since.is_none() {
            self.cut_since = Some(now);
            self.probed = Some(now);
        }
    }

    /// Records that another node has connected to a target to which this one did not try to connect. That is no
    /// evidence, but a node that is cut off remains so while it sends requests.
    pub fn record_detour(&mut self, target: &TargetName, now: Timestamp) {
        if self.cut_since.is_some() {
            self.failed.insert(target.clone(), now);
        }
    }

    /// Records a response on a connection that this node has opened itself.
    pub fn record_response(&mut self, now: Timestamp) {
        self.heard = Some(now);
    }

    /// Whether the node has no path to targets.
    pub fn is_cut_off(&mut self, now: Timestamp) -> bool {
        self.forget(now);
        self.cut_since.is_some()
    }

    /// Whether connections that are open may be used: while the node is cut off, they must have shown that they
    /// still work.
    pub fn uses_open(&mut self, now: Timestamp) -> bool {
        self.forget(now);
        let heard = self.heard;
        self.cut_since
            .is_none_or(|since| heard.is_some_and(|t| t > since))
    }

    /// Whether the node has reached any target itself lately, so that one that it does not reach is at fault.
    pub fn works(&mut self, now: Timestamp) -> bool {
        let last = [self.connected, self.heard].into_iter().flatten();
        !self.is_cut_off(now) && last.into_iter().any(|t| now - t < WORKS_MS)
    }

    fn forget(&mut self, now: Timestamp) {
        self.failed.retain(|_, at| now - *at < AVOID_MS);
        if self.failed.is_empty() {
            self.cut_since = None;
        }
    }
}

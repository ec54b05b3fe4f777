//! Loads, failures and outcomes of the simulation.

use std::collections::BTreeMap;

/// How homes choose shards.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// One queue for all zones, without latency.
    Clairvoyant,
    /// The own zone's shard and a random one.
    Random,
    /// By room.
    Room,
}

/// A load and its failures.
pub struct Scenario {
    pub policy: Policy,
    pub zones: usize,
    pub homes: usize,
    pub seconds: f64,
    /// Requests per second of a zone at a time, in seconds.
    pub rate: fn(usize, f64) -> f64,
    /// Half of the targets of a zone are dead from the first to the second time, in seconds.
    pub dead: Option<(usize, f64, f64)>,
    /// A zone is cut off from the others between two times, in seconds.
    pub cut: Option<(usize, f64, f64)>,
    /// A zone's scheduler is replaced by an empty one at a time, in seconds.
    pub lost: Option<(usize, f64)>,
    /// Delay of reports, in milliseconds; infinite if they are lost.
    pub report_delay_ms: f64,
}

impl Scenario {
    pub fn new(policy: Policy, rate: fn(usize, f64) -> f64) -> Self {
        Self {
            policy,
            zones: 8,
            homes: 48,
            seconds: 120.0,
            rate,
            dead: None,
            cut: None,
            lost: None,
            report_delay_ms: 0.0,
        }
    }
}

/// What became of the requests.
#[derive(Debug, Default)]
pub struct Outcome {
    pub offered: u32,
    pub on_time: u32,
    pub spilled: u32,
    /// Requests on time, by zone of their home.
    pub by_zone: BTreeMap<usize, u32>,
}

//! The plain rivals: each node chooses a target by itself.

use indexmap::IndexMap;
use rwd_edge::LoadReport;
use rwd_types::{PoolName, TargetName};
use std::net::SocketAddr;
use std::sync::Mutex;

use crate::Topology;

#[derive(Debug, Default)]
struct Inner {
    turns: IndexMap<PoolName, usize>,
    reports: IndexMap<TargetName, LoadReport>,
}

/// Chooses targets in turn or by their last load report.
#[derive(Debug, Default)]
pub struct Baseline {
    inner: Mutex<Inner>,
}

type Choice = (TargetName, SocketAddr);

impl Baseline {
    /// The next target of a pool in turn.
    pub fn round_robin(&self, topology: &Topology, pool: &PoolName) -> Option<Choice> {
        let choices = choices(topology, pool);
        let mut inner = self.inner.lock().unwrap_or_else(|e| e.into_inner());
        let turn = inner.turns.entry(pool.clone()).or_default();
        *turn += 1;
        choices.get(*turn % choices.len().max(1)).cloned()
    }

    /// The target of a pool that last reported the least load.
    pub fn least_reported(&self, topology: &Topology, pool: &PoolName) -> Option<Choice> {
        let mut choices = choices(topology, pool);
        let inner = self.inner.lock().unwrap_or_else(|e| e.into_inner());
        let load = |(name, _): &Choice| {
            let report = inner.reports.get(name).copied().unwrap_or_default();
            report.running + report.waiting
        };
        let least = choices.iter().map(load).min()?;
        choices.retain(|c| load(c) == least);
        let choice = rand::random_range(0..choices.len());
        choices.get(choice).cloned()
    }

    /// Takes in a load report.
    pub fn record_load(&self, target: &TargetName, report: LoadReport) {
        let mut inner = self.inner.lock().unwrap_or_else(|e| e.into_inner());
        inner.reports.insert(target.clone(), report);
    }
}

fn choices(topology: &Topology, pool: &PoolName) -> Vec<Choice> {
    let targets = topology.targets_of(pool);
    let staying = targets.filter(|(name, _)| !topology.leaving.contains(*name));
    staying.map(|(name, t)| (name.clone(), t.address)).collect()
}

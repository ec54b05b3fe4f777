//! Baseline policies for comparison: each node chooses targets on its own.

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

/// Chooses targets round robin or by their last load report.
#[derive(Debug, Default)]
pub struct Baseline {
    inner: Mutex<Inner>,
}

type Choice = (TargetName, SocketAddr);

impl Baseline {
    /// Returns the next target of a pool, round robin.
    pub fn round_robin(&self, topology: &Topology, pool: &PoolName) -> Option<Choice> {
        let choices = choices(topology, pool);
        let mut inner = self.inner.lock().unwrap_or_else(|e| e.into_inner());
        let turn = inner.turns.entry(pool.clone()).or_default();
        *turn += 1;
        choices.get(*turn % choices.len().max(1)).cloned()
    }

    /// Returns the target with the lowest reported load; ties are broken at random.
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

    /// Records a load report.
    pub fn record_load(&self, target: &TargetName, report: LoadReport) {
        let mut inner = self.inner.lock().unwrap_or_else(|e| e.into_inner());
        inner.reports.insert(target.clone(), report);
    }
}

fn choices(topology: &Topology, pool: &PoolName) -> Vec<Choice> {
    let targets = topology.targets_of(pool);
    let accepting = targets.filter(|(name, _)| !topology.leaving.contains(*name));
    accepting
        .map(|(name, t)| (name.clone(), t.address))
        .collect()
}

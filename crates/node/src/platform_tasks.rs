//! Background tasks that poll the platform and the targets and drive the scheduler.

use indexmap::{IndexMap, IndexSet};
use log::warn;
use rwd_config::Policy;
use rwd_edge::{Instance, InstanceRole, InstanceState};
use rwd_peer::ListedInstance;
use rwd_sched::Topology;
use rwd_types::TargetName;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::node::Shared;

/// Long-poll wait of a read of the instance list.
const LIST_WAIT: Duration = Duration::from_secs(10);
/// Delay after a failed read of the instance list.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of new nodes of one list that are probed immediately.
const MAX_IMMEDIATE_PROBES: usize = 8;
/// Period of scheduler ticks.
const SCHEDULER_PERIOD: Duration = Duration::from_millis(50);
/// Scheduler ticks between two publications of queue digests.
const TICKS_PER_DIGEST: u32 = 10;
/// Poll period for cache events of engines.
const CACHE_EVENT_PERIOD: Duration = Duration::from_secs(1);
/// Poll period for load reports of targets.
const LOAD_PERIOD: Duration = Duration::from_millis(500);

impl Shared {
    pub(crate) async fn follow_instances(self: Arc<Self>) {
        let mut known = 0;
        loop {
            let wait = if known == 0 {
                Duration::ZERO
            } else {
                LIST_WAIT
            };
            match self.services.instances.list(known, wait).await {
                Ok(listing) => {
                    known = listing.version;
                    self.apply_list(&listing.instances);
                }
                Err(e) => {
                    warn!(error:% = e; "cannot read the instance list");
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    fn apply_list(&self, instances: &[Instance]) {
        let nodes: Vec<_> = instances.iter().filter_map(listed_node).collect();
        let new_nodes = self.directory.apply_list(&nodes);
        // A node's first reply carries its incarnation. The nodes beyond the limit wait for
        // their regular probes.
        for name in new_nodes.into_iter().take(MAX_IMMEDIATE_PROBES) {
            let membership = self.membership.clone();
            tokio::spawn(async move { membership.probe(&name).await });
        }
        let local = nodes.iter().find(|n| n.name == self.cfg.instance);
        if local.is_some_and(|n| n.leaving) {
            self.leave();
        }
        let leaving = instances
            .iter()
            .filter(|i| i.role == InstanceRole::Target && i.state == InstanceState::Leaving);
        let leaving: IndexSet<TargetName> = leaving.filter_map(|i| i.name.parse().ok()).collect();
        self.leaving_targets.send_if_modified(|old| {
            let changed = *old != leaving;
            *old = leaving;
            changed
        });
    }

    // Recomputes shard ownership when the configuration, the members or the leaving targets change.
    pub(crate) async fn follow_topology(self: Arc<Self>) {
        let mut config = self.control.watch();
        let mut view = self.directory.watch();
        let mut leaving = self.leaving_targets.subscribe();
        loop {
            let cfg = config.borrow_and_update().cfg.clone();
            let members = view.borrow_and_update().clone();
            let targets = leaving.borrow_and_update().clone();
            let topology = Arc::new(Topology::new(&cfg, &members, &targets));
            self.scheduler.apply(&cfg, &topology);
            self.topology.send_if_modified(|old| {
                let changed = **old != *topology;
                *old = topology;
                changed
            });
            // Cannot fail: the senders live as long as `self`.
            tokio::select! {
                _ = config.changed() => (),
                _ = view.changed() => (),
                _ = leaving.changed() => (),
            }
        }
    }

    pub(crate) async fn run_scheduler(self: Arc<Self>) {
        let mut ticks = self.timer.every(SCHEDULER_PERIOD);
        let mut tick_count = 0;
        loop {
            ticks.tick().await;
            self.scheduler.tick();
            tick_count += 1;
            if tick_count % TICKS_PER_DIGEST == 0 {
                for digest in self.scheduler.digests() {
                    self.directory.publish_digest(digest);
                }
                self.home.expire();
            }
        }
    }

    pub(crate) async fn poll_cache_events(self: Arc<Self>) {
        let mut ticks = self.timer.every(CACHE_EVENT_PERIOD);
        let mut positions: IndexMap<TargetName, u64> = IndexMap::new();
        loop {
            ticks.tick().await;
            let engines = self.scheduler.owned_targets().into_iter().filter(|t| t.2);
            let engines: Vec<_> = engines.collect();
            positions.retain(|name, _| engines.iter().any(|(n, _, _)| n == name));
            let mut polls = JoinSet::new();
            for (name, address, _) in engines {
                let targets = self.services.targets.clone();
                let from = positions.get(&name).copied().unwrap_or(0);
                polls.spawn(async move { (name, targets.cache_events(address, from).await) });
            }
            while let Some(poll) = polls.join_next().await {
                if let Ok((name, Ok(events))) = poll {
                    self.scheduler.cache_events(&name, &events);
                    positions.insert(name, events.next);
                }
            }
        }
    }

    // Only the least-reported baseline needs load reports: a shard owner counts what it grants.
    pub(crate) async fn poll_load(self: Arc<Self>) {
        let mut ticks = self.timer.every(LOAD_PERIOD);
        loop {
            ticks.tick().await;
            let cfg = self.control.in_force().cfg;
            if cfg.preset_in_force().policy != Policy::LeastReported {
                continue;
            }
            let mut polls = JoinSet::new();
            for (name, target) in cfg.targets.clone() {
                let targets = self.services.targets.clone();
                polls.spawn(async move { (name, targets.load(target.address).await) });
            }
            while let Some(poll) = polls.join_next().await {
                if let Ok((name, Ok(report))) = poll {
                    self.baseline.record_load(&name, report);
                }
            }
        }
    }
}

fn listed_node(instance: &Instance) -> Option<ListedInstance> {
    match (instance.role, instance.peer, instance.name.parse()) {
        (InstanceRole::Node, Some(peer), Ok(name)) => Some(ListedInstance {
            name,
            http: instance.http,
            peer,
            zone: instance.zone.clone(),
            leaving: instance.state == InstanceState::Leaving,
            cpu_milli: 0,
        }),
        _ => None,
    }
}

//! Seeded sequences of changes, restores of the store and replacements of nodes.

use crate::helper::{KEY, TestCluster};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rwd_gateway::StoreReplica;
use rwd_lab::site::{FakeTarget, StoreCopy, StoreFault, server_record};
use rwd_types::TargetName;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::timeout;

/// Time within which all nodes must show the state that was acknowledged last.
const APPLY: Duration = Duration::from_secs(8);
const STEPS: u32 = 24;

/// State and sequence number of a target's entry.
type Entry = (&'static str, u64);

struct Storm {
    cluster: TestCluster,
    rng: StdRng,
    version: u64,
    /// The latest entry of each target; `None` if it has left.
    entries: BTreeMap<String, (FakeTarget, Option<Entry>)>,
    copies: Vec<StoreCopy>,
    next_node: u8,
    /// The newest version that any node had.
    seen: u64,
}

impl Storm {
    async fn start(seed: u64) -> Self {
        let cluster = TestCluster::start(3, 1, 1).await;
        let copies = vec![cluster.store.copy()];
        let mut storm = Self {
            cluster,
            rng: StdRng::seed_from_u64(seed),
            version: 1,
            entries: BTreeMap::new(),
            copies,
            next_node: 3,
            seen: 1,
        };
        for n in 0..6 {
            let ip = storm.cluster.store.address().ip();
            let name = format!("s{n}");
            let target = FakeTarget::start(ip, &name).await.unwrap();
            storm.entries.insert(name.clone(), (target, None));
            storm.write_target(&name, Some("ready"));
        }
        storm
    }

    fn publish(&mut self) {
        self.version += self.rng.random_range(1..4);
        self.cluster.put_config(self.version, &[KEY], 1_000_000);
    }

    fn write_target(&mut self, name: &str, state: Option<&'static str>) {
        let (target, entry) = self.entries.get_mut(name).unwrap();
        let seq = entry.map_or(1, |(_, seq)| seq + 1);
        *entry = state.map(|state| (state, seq));
        let record = entry.map(|(state, seq)| server_record("desk", target.address(), state, seq));
        self.cluster
            .store
            .put("keyed.servers", name, record.as_deref());
    }

    fn change_target(&mut self) {
        let n = self.rng.random_range(0..self.entries.len());
        let (name, entry) = self.entries.iter().nth(n).unwrap();
        let (name, state) = (name.clone(), entry.1.map(|(state, _)| state));
        match state {
            Some("ready") => match self.rng.random_range(0..3) {
                0 => self.write_target(&name, Some("draining")),
                1 => self.write_target(&name, None),
                _ => self.write_target(&name, Some("ready")),
            },
            Some(_) => self.write_target(&name, None),
            // A target that has left does not come back under its name.
            None => (),
        }
    }

    /// Restores an earlier copy; the operator and the targets that live write again what they wrote.
    fn restore(&mut self) {
        let n = self.rng.random_range(0..self.copies.len());
        self.cluster.store.set_fault(StoreFault::Reset);
        let copy = self.copies[n].clone();
        self.cluster.store.restore(&copy);
        // Copies of a later state are lost, too.
        self.copies.truncate(n + 1);
        let names: Vec<_> = self.entries.keys().cloned().collect();
        let rounds = self.rng.random_range(1..4);
        for _ in 0..rounds {
            for name in &names {
                match self.entries[name].1 {
                    Some((state, _)) => self.write_target(name, Some(state)),
                    None => self.cluster.store.put("keyed.servers", name, None),
                }
            }
        }
        self.cluster.put_config(self.version, &[KEY], 1_000_000);
        for n in 0..self.rng.random_range(0..4) {
            self.cluster
                .store
                .put("keyed.op", &format!("other-{n}"), Some("{}"));
        }
        self.cluster.store.set_fault(StoreFault::None);
    }

    async fn replace_node(&mut self) {
        let n = self.rng.random_range(0..self.cluster.nodes.len());
        drop(self.cluster.nodes.remove(n));
        self.cluster.add_node(self.next_node).await;
        self.next_node += 1;
    }

    async fn run(&mut self) {
        for _ in 0..STEPS {
            match self.rng.random_range(0..10) {
                0..3 => self.publish(),
                3..6 => self.change_target(),
                6 => self.copies.push(self.cluster.store.copy()),
                7 => self.restore(),
                8 => self.replace_node().await,
                _ => self.settle().await,
            }
            self.check_versions();
        }
        self.publish();
        self.settle().await;
    }

    // No node that serves has an older version than one that was confirmed at all nodes.
    fn check_versions(&self) {
        for node in &self.cluster.nodes {
            let version = node.replica().catalog().map(|c| c.version);
            assert!(
                version.is_none_or(|v| v >= self.seen),
                "version {version:?}, {} was in force",
                self.seen
            );
        }
    }

    // Waits until all nodes show what was acknowledged.
    async fn settle(&mut self) {
        let names: BTreeMap<TargetName, bool> = self
            .entries
            .iter()
            .map(|(name, (_, entry))| {
                let is_ready = entry.is_some_and(|(state, _)| state == "ready");
                (name.parse().unwrap(), is_ready)
            })
            .collect();
        let is_current = |r: &StoreReplica| {
            let targets = names
                .iter()
                .all(|(name, ready)| r.is_active(name) == *ready);
            targets && r.catalog().is_some_and(|c| c.version >= self.version)
        };
        for node in &self.cluster.nodes {
            let replica = node.replica();
            let mut changes = replica.watch();
            let settled = async {
                while !is_current(replica) {
                    changes.changed().await.unwrap();
                }
            };
            let is_settled = timeout(APPLY, settled).await.is_ok();
            let version = replica.catalog().map(|c| c.version);
            let wrong: Vec<_> = names
                .iter()
                .filter(|(name, ready)| replica.is_active(name) != **ready)
                .collect();
            assert!(
                is_settled,
                "version {version:?} of {}, wrong targets {wrong:?}",
                self.version
            );
        }
        self.seen = self.version;
    }
}

// issue 28, CONFIG: whatever is restored, and whoever reads, the state acknowledged last holds.
#[tokio::test]
async fn the_latest_state_holds_whatever_is_restored_and_whoever_reads() {
    let number = |name: &str| std::env::var(name).ok().and_then(|v| v.parse().ok());
    let first: u64 = number("RESTORE_FIRST_SEED").unwrap_or(0);
    let count: u64 = number("RESTORE_SEEDS").unwrap_or(3);
    for seed in first..first + count {
        eprintln!("seed {seed}");
        Storm::start(seed).await.run().await;
    }
}

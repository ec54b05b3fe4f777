//! Planned and unplanned disruptions of a cluster under load.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rwd_control::Edit;
use rwd_types::PresetName;
use std::collections::HashMap;
use std::time::{Duration, Instant};
use tokio::time::sleep;

use super::BenchSettings;
use crate::fake::{FaultSettings, Ledger};
use crate::invariants::Invariants;
use crate::{Cluster, Report, RequestOutcome, RequestRecord, Result};

/// Minimum time between two faults.
const MIN_FAULT_GAP_MS: u64 = 400;
/// Maximum time between two faults.
const MAX_FAULT_GAP_MS: u64 = 1400;
/// Time until a lasting fault is reverted.
const FAULT_DURATION: Duration = Duration::from_millis(2000);
/// Period at which the nodes' active revisions are polled.
const POLL_PERIOD: Duration = Duration::from_millis(20);

/// A record of the disruptions, and the checks that need it.
#[derive(Debug, Default)]
pub(crate) struct Disruptions {
    started: Option<Instant>,
    events: Vec<String>,
    // Targets, and since when they drain.
    draining: Vec<(String, Instant)>,
    // Nodes that were shut down gracefully.
    stopped: Vec<String>,
    // The last revision seen of each incarnation: a node's name and HTTP port.
    revisions: HashMap<(String, u64), u64>,
    reverted: u64,
    polled_revisions: bool,
}

impl Disruptions {
    fn start() -> Self {
        Self {
            started: Some(Instant::now()),
            polled_revisions: true,
            ..Self::default()
        }
    }

    fn record(&mut self, event: String) {
        let at = self.started.map_or(0.0, |s| s.elapsed().as_secs_f64());
        self.events.push(format!("{at:5.1} s {event}"));
    }

    // Polls the nodes' active revisions for `time` and counts each decrease.
    async fn poll_revisions(&mut self, cluster: &Cluster, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            for handle in &cluster.nodes {
                let Some(node) = handle.node() else {
                    continue;
                };
                let incarnation = (handle.name.clone(), u64::from(handle.http.port()));
                let last = self.revisions.entry(incarnation).or_default();
                let revision = node.revision().0;
                if revision < *last {
                    self.reverted += 1;
                }
                *last = revision;
            }
            sleep(POLL_PERIOD).await;
        }
    }

    /// Adds the events and the invariants that were checked to a report.
    pub fn add_to(self, report: &mut Report, records: &[RequestRecord], ledger: &Ledger) {
        let late = self
            .draining
            .iter()
            .map(|(t, since)| Invariants::late_to_leaving(ledger, t, *since));
        report.invariants.late_to_leaving = late.sum();
        let interrupted = records.iter().filter(|r| {
            let home = r.key.split('~').next().unwrap_or_default();
            let without_response = matches!(
                r.outcome,
                RequestOutcome::Unknown { .. } | RequestOutcome::Lost
            );
            without_response && self.stopped.iter().any(|n| n == home)
        });
        report.invariants.cut_by_planned_stop = interrupted.count() as u64;
        report.invariants.config_reverted = self.reverted;
        report.events = self.events;
        let measured = |field: &str| match field {
            "invariants.late_to_leaving" => !self.draining.is_empty(),
            "invariants.cut_by_planned_stop" => !self.stopped.is_empty(),
            "invariants.config_reverted" => self.polled_revisions,
            _ => false,
        };
        report.not_measured.retain(|field| !measured(field));
    }
}

/// Drains two targets, shuts two nodes down gracefully at the same time and restarts them.
pub(crate) async fn drain(cluster: &mut Cluster, cfg: &BenchSettings) -> Result<Disruptions> {
    let mut disruptions = Disruptions::start();
    let step = cfg.time / 6;
    disruptions.poll_revisions(cluster, step).await;
    let edit = Edit::Drain {
        name: "e0".into(),
        on: true,
    };
    cluster.publish(&edit).await?;
    disruptions.draining.push(("e0".into(), Instant::now()));
    disruptions.record("target e0 marked for a planned stop by operators".into());
    cluster.list_target("e1", true);
    disruptions.draining.push(("e1".into(), Instant::now()));
    disruptions.record("target e1 marked as leaving by the instance list".into());
    disruptions.poll_revisions(cluster, step).await;
    let edit = Edit::Drain {
        name: "n2".into(),
        on: true,
    };
    cluster.publish(&edit).await?;
    disruptions.record("node n2 marked for a planned stop by operators".into());
    disruptions.record("planned stop of nodes n1 and n2 at once".into());
    disruptions.stopped = vec!["n1".into(), "n2".into()];
    let (a, b) = cluster.nodes.split_at_mut(2);
    tokio::join!(a[1].stop(), b[0].stop());
    disruptions.record("nodes n1 and n2 have stopped".into());
    cluster.instances.remove("n1");
    cluster.instances.remove("n2");
    disruptions.poll_revisions(cluster, step).await;
    let edit = Edit::Drain {
        name: "n2".into(),
        on: false,
    };
    cluster.publish(&edit).await?;
    for index in [1, 2] {
        cluster.start_node(index).await?;
        disruptions.record(format!("a new life of node n{index}"));
    }
    disruptions.poll_revisions(cluster, step).await;
    Ok(disruptions)
}

/// A fault to inject.
#[derive(Clone, Copy, Debug)]
enum Fault {
    KillNode,
    FreezeNode,
    SilenceNode,
    CutNode,
    SilenceEngine,
    FreezeEngine,
    SlowEngine,
    LoseEngineAnswers,
    LoseServiceAnswers,
    LogDown,
    LogFrozen,
    LoseAppendAnswer,
    DoubleAppend,
    LogRetention,
    LogLag,
    ListDown,
    OperatorRace,
    PresetChange,
}

const FAULTS: [Fault; 18] = [
    Fault::KillNode,
    Fault::FreezeNode,
    Fault::SilenceNode,
    Fault::CutNode,
    Fault::SilenceEngine,
    Fault::FreezeEngine,
    Fault::SlowEngine,
    Fault::LoseEngineAnswers,
    Fault::LoseServiceAnswers,
    Fault::LogDown,
    Fault::LogFrozen,
    Fault::LoseAppendAnswer,
    Fault::DoubleAppend,
    Fault::LogRetention,
    Fault::LogLag,
    Fault::ListDown,
    Fault::OperatorRace,
    Fault::PresetChange,
];

// How to revert a lasting fault.
enum Undo {
    StartNode(usize),
    ThawNode(usize),
    UnblockNode(usize),
    ResetEngine(usize),
    ResetLog,
    ResetList,
}

/// Injects faults drawn at random from the seed; several may be active at the same time.
pub(crate) async fn faults(cluster: &mut Cluster, cfg: &BenchSettings) -> Result<Disruptions> {
    let mut disruptions = Disruptions::start();
    let mut rng = StdRng::seed_from_u64(cfg.seed);
    let end = Instant::now() + cfg.time;
    let mut pending: Vec<(Instant, Undo)> = Vec::new();
    while Instant::now() < end {
        let gap = Duration::from_millis(rng.random_range(MIN_FAULT_GAP_MS..=MAX_FAULT_GAP_MS));
        disruptions.poll_revisions(cluster, gap).await;
        let (due, later): (Vec<_>, Vec<_>) = pending
            .into_iter()
            .partition(|(at, _)| *at <= Instant::now());
        pending = later;
        for (_, undo) in due {
            revert(cluster, undo, &mut disruptions).await?;
        }
        let fault = FAULTS[rng.random_range(0..FAULTS.len())];
        let draw: usize = rng.random_range(0..1000);
        if let Some(undo) = inject(cluster, fault, draw, &mut disruptions).await {
            pending.push((Instant::now() + FAULT_DURATION, undo));
        }
    }
    for (_, undo) in pending {
        revert(cluster, undo, &mut disruptions).await?;
    }
    Ok(disruptions)
}

async fn revert(cluster: &mut Cluster, undo: Undo, disruptions: &mut Disruptions) -> Result<()> {
    match undo {
        Undo::StartNode(i) => {
            cluster.start_node(i).await?;
            disruptions.record(format!("a new life of node n{i}"));
        }
        Undo::ThawNode(i) => {
            cluster.nodes[i].thaw();
            disruptions.record(format!("node n{i} goes on"));
        }
        Undo::UnblockNode(i) => {
            if let Some((http, peer)) = cluster.nodes[i].relays() {
                http.block(false);
                peer.block(false);
            }
            disruptions.record(format!("node n{i} is reached again"));
        }
        Undo::ResetEngine(i) => cluster.engines[i].faults().set(FaultSettings::default()),
        Undo::ResetLog => cluster.log.faults().set(FaultSettings::default()),
        Undo::ResetList => cluster.instances.faults().set(FaultSettings::default()),
    }
    Ok(())
}

async fn inject(
    cluster: &mut Cluster,
    fault: Fault,
    draw: usize,
    disruptions: &mut Disruptions,
) -> Option<Undo> {
    let node = draw % cluster.nodes.len();
    let engine = draw % cluster.engines.len();
    let service = draw % cluster.services.len();
    disruptions.record(format!(
        "{fault:?} (node n{node}, engine e{engine}, service s{service})"
    ));
    let defaults = FaultSettings::default;
    match fault {
        Fault::KillNode if cluster.nodes[node].node().is_some() => {
            cluster.nodes[node].kill();
            return Some(Undo::StartNode(node));
        }
        Fault::FreezeNode if cluster.nodes[node].node().is_some() => {
            cluster.nodes[node].freeze();
            return Some(Undo::ThawNode(node));
        }
        Fault::SilenceNode => {
            if let Some((http, peer)) = cluster.nodes[node].relays() {
                http.stall();
                peer.stall();
            }
        }
        Fault::CutNode => {
            if let Some((http, peer)) = cluster.nodes[node].relays() {
                http.block(true);
                peer.block(true);
            }
            return Some(Undo::UnblockNode(node));
        }
        Fault::SilenceEngine => {
            if let Some(relay) = cluster.engine_relay(engine) {
                relay.stall();
            }
        }
        Fault::FreezeEngine => {
            cluster.engines[engine].faults().set(FaultSettings {
                frozen: true,
                ..defaults()
            });
            return Some(Undo::ResetEngine(engine));
        }
        Fault::SlowEngine => {
            cluster.engines[engine].faults().set(FaultSettings {
                slow: 5.0,
                ..defaults()
            });
            return Some(Undo::ResetEngine(engine));
        }
        Fault::LoseEngineAnswers => {
            let faults = FaultSettings {
                lose_answers: 3,
                ..defaults()
            };
            cluster.engines[engine].faults().set(faults);
        }
        Fault::LoseServiceAnswers => {
            let faults = FaultSettings {
                lose_answers: 3,
                ..defaults()
            };
            cluster.services[service].faults().set(faults);
        }
        Fault::LogDown => {
            cluster.log.faults().set(FaultSettings {
                down: true,
                ..defaults()
            });
            return Some(Undo::ResetLog);
        }
        Fault::LogFrozen => {
            cluster.log.faults().set(FaultSettings {
                frozen: true,
                ..defaults()
            });
            return Some(Undo::ResetLog);
        }
        Fault::LogLag => {
            cluster.log.faults().set(FaultSettings {
                lag_records: 2,
                ..defaults()
            });
            return Some(Undo::ResetLog);
        }
        Fault::LoseAppendAnswer => {
            let faults = FaultSettings {
                lose_answers: 1,
                ..cluster.log.faults().get()
            };
            cluster.log.faults().set(faults);
            publish_preset(cluster, node, disruptions);
        }
        Fault::DoubleAppend => {
            let faults = FaultSettings {
                double_appends: 1,
                ..cluster.log.faults().get()
            };
            cluster.log.faults().set(faults);
            publish_preset(cluster, node, disruptions);
        }
        Fault::LogRetention => cluster.log.retain(1),
        Fault::ListDown => {
            cluster.instances.faults().set(FaultSettings {
                down: true,
                ..defaults()
            });
            return Some(Undo::ResetList);
        }
        Fault::OperatorRace => {
            publish_preset(cluster, node, disruptions);
            publish_preset(cluster, (node + 1) % cluster.nodes.len(), disruptions);
        }
        Fault::PresetChange => publish_preset(cluster, node, disruptions),
        Fault::KillNode | Fault::FreezeNode => (),
    }
    None
}

// Publishes a preset through a node, as an operator does, without waiting for the outcome.
fn publish_preset(cluster: &Cluster, node: usize, disruptions: &mut Disruptions) {
    let names = [
        PresetName::Ordinary,
        PresetName::Peak,
        PresetName::Maintenance,
    ];
    let name = names[disruptions.events.len() % names.len()];
    cluster.publish_detached(node, &Edit::Preset { name });
}

//! What is done to a system while requests are sent.

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

/// Least time between two faults.
const LEAST_GAP_MS: u64 = 400;
/// Most time between two faults.
const MOST_GAP_MS: u64 = 1400;
/// How long a fault that ends lasts.
const FAULT_TIME: Duration = Duration::from_millis(2000);
/// How often the revisions in force are looked at.
const LOOK_PERIOD: Duration = Duration::from_millis(20);

/// What was done, and what only the one who did it can check.
#[derive(Debug, Default)]
pub(crate) struct Disturbed {
    started: Option<Instant>,
    events: Vec<String>,
    // Targets that were marked as leaving.
    marked: Vec<(String, Instant)>,
    // Nodes that had a planned stop.
    stopped: Vec<String>,
    // The newest revision seen of each node's life.
    revisions: HashMap<(String, u64), u64>,
    reverted: u64,
    watched_config: bool,
}

impl Disturbed {
    fn start() -> Self {
        Self {
            started: Some(Instant::now()),
            watched_config: true,
            ..Self::default()
        }
    }

    fn note(&mut self, event: String) {
        let at = self.started.map_or(0.0, |s| s.elapsed().as_secs_f64());
        self.events.push(format!("{at:5.1} s {event}"));
    }

    // Lets time pass and watches that no revision goes down.
    async fn pass(&mut self, cluster: &Cluster, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            for handle in &cluster.nodes {
                let Some(node) = handle.node() else {
                    continue;
                };
                let life = (handle.name.clone(), u64::from(handle.http.port()));
                let seen = self.revisions.entry(life).or_default();
                let now = node.revision().0;
                if now < *seen {
                    self.reverted += 1;
                }
                *seen = now;
            }
            sleep(LOOK_PERIOD).await;
        }
    }

    /// Completes a report with what was checked here.
    pub fn add_to(self, report: &mut Report, records: &[RequestRecord], ledger: &Ledger) {
        let late = self
            .marked
            .iter()
            .map(|(t, at)| Invariants::late_to_leaving(ledger, t, *at));
        report.invariants.late_to_leaving = late.sum();
        let cut = records.iter().filter(|r| {
            let home = r.key.split('~').next().unwrap_or_default();
            let ended = matches!(
                r.outcome,
                RequestOutcome::Unknown { .. } | RequestOutcome::Lost
            );
            ended && self.stopped.iter().any(|n| n == home)
        });
        report.invariants.cut_by_planned_stop = cut.count() as u64;
        report.invariants.config_reverted = self.reverted;
        report.events = self.events;
        let measured = |field: &str| match field {
            "invariants.late_to_leaving" => !self.marked.is_empty(),
            "invariants.cut_by_planned_stop" => !self.stopped.is_empty(),
            "invariants.config_reverted" => self.watched_config,
            _ => false,
        };
        report.not_measured.retain(|field| !measured(field));
    }
}

/// Planned stops: two targets leave, two nodes stop at once, new lives take their place.
pub(crate) async fn drain(cluster: &mut Cluster, cfg: &BenchSettings) -> Result<Disturbed> {
    let mut done = Disturbed::start();
    let step = cfg.time / 6;
    done.pass(cluster, step).await;
    let edit = Edit::Drain {
        name: "e0".into(),
        on: true,
    };
    cluster.publish(&edit).await?;
    done.marked.push(("e0".into(), Instant::now()));
    done.note("target e0 marked for a planned stop by operators".into());
    cluster.list_target("e1", true);
    done.marked.push(("e1".into(), Instant::now()));
    done.note("target e1 marked as leaving by the instance list".into());
    done.pass(cluster, step).await;
    let edit = Edit::Drain {
        name: "n2".into(),
        on: true,
    };
    cluster.publish(&edit).await?;
    done.note("node n2 marked for a planned stop by operators".into());
    done.note("planned stop of nodes n1 and n2 at once".into());
    done.stopped = vec!["n1".into(), "n2".into()];
    let (a, b) = cluster.nodes.split_at_mut(2);
    tokio::join!(a[1].stop(), b[0].stop());
    done.note("nodes n1 and n2 have stopped".into());
    cluster.instances.remove("n1");
    cluster.instances.remove("n2");
    done.pass(cluster, step).await;
    let edit = Edit::Drain {
        name: "n2".into(),
        on: false,
    };
    cluster.publish(&edit).await?;
    for index in [1, 2] {
        cluster.start_node(index).await?;
        done.note(format!("a new life of node n{index}"));
    }
    done.pass(cluster, step).await;
    Ok(done)
}

/// The faults that are drawn.
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

// A fault that is to be undone.
enum Undo {
    Start(usize),
    Thaw(usize),
    Uncut(usize),
    Engine(usize),
    Log,
    List,
}

/// Draws faults by the seed; several may hold at the same time.
pub(crate) async fn faults(cluster: &mut Cluster, cfg: &BenchSettings) -> Result<Disturbed> {
    let mut done = Disturbed::start();
    let mut rng = StdRng::seed_from_u64(cfg.seed);
    let end = Instant::now() + cfg.time;
    let mut undo: Vec<(Instant, Undo)> = Vec::new();
    while Instant::now() < end {
        let gap = Duration::from_millis(rng.random_range(LEAST_GAP_MS..=MOST_GAP_MS));
        done.pass(cluster, gap).await;
        let (due, later): (Vec<_>, Vec<_>) =
            undo.into_iter().partition(|(at, _)| *at <= Instant::now());
        undo = later;
        for (_, u) in due {
            revert(cluster, u, &mut done).await?;
        }
        let fault = FAULTS[rng.random_range(0..FAULTS.len())];
        let which: usize = rng.random_range(0..1000);
        if let Some(u) = inject(cluster, fault, which, &mut done).await {
            undo.push((Instant::now() + FAULT_TIME, u));
        }
    }
    for (_, u) in undo {
        revert(cluster, u, &mut done).await?;
    }
    Ok(done)
}

async fn revert(cluster: &mut Cluster, undo: Undo, done: &mut Disturbed) -> Result<()> {
    match undo {
        Undo::Start(i) => {
            cluster.start_node(i).await?;
            done.note(format!("a new life of node n{i}"));
        }
        Undo::Thaw(i) => {
            cluster.nodes[i].thaw();
            done.note(format!("node n{i} goes on"));
        }
        Undo::Uncut(i) => {
            if let Some((http, peer)) = cluster.nodes[i].relays() {
                http.block(false);
                peer.block(false);
            }
            done.note(format!("node n{i} is reached again"));
        }
        Undo::Engine(i) => cluster.engines[i].faults().set(FaultSettings::default()),
        Undo::Log => cluster.log.faults().set(FaultSettings::default()),
        Undo::List => cluster.instances.faults().set(FaultSettings::default()),
    }
    Ok(())
}

async fn inject(
    cluster: &mut Cluster,
    fault: Fault,
    which: usize,
    done: &mut Disturbed,
) -> Option<Undo> {
    let node = which % cluster.nodes.len();
    let engine = which % cluster.engines.len();
    let service = which % cluster.services.len();
    done.note(format!(
        "{fault:?} (node n{node}, engine e{engine}, service s{service})"
    ));
    let defaults = FaultSettings::default;
    match fault {
        Fault::KillNode if cluster.nodes[node].node().is_some() => {
            cluster.nodes[node].kill();
            return Some(Undo::Start(node));
        }
        Fault::FreezeNode if cluster.nodes[node].node().is_some() => {
            cluster.nodes[node].freeze();
            return Some(Undo::Thaw(node));
        }
        Fault::SilenceNode => {
            if let Some((http, peer)) = cluster.nodes[node].relays() {
                http.silence();
                peer.silence();
            }
        }
        Fault::CutNode => {
            if let Some((http, peer)) = cluster.nodes[node].relays() {
                http.block(true);
                peer.block(true);
            }
            return Some(Undo::Uncut(node));
        }
        Fault::SilenceEngine => {
            if let Some(relay) = cluster.engine_relay(engine) {
                relay.silence();
            }
        }
        Fault::FreezeEngine => {
            cluster.engines[engine].faults().set(FaultSettings {
                frozen: true,
                ..defaults()
            });
            return Some(Undo::Engine(engine));
        }
        Fault::SlowEngine => {
            cluster.engines[engine].faults().set(FaultSettings {
                slow: 5.0,
                ..defaults()
            });
            return Some(Undo::Engine(engine));
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
            return Some(Undo::Log);
        }
        Fault::LogFrozen => {
            cluster.log.faults().set(FaultSettings {
                frozen: true,
                ..defaults()
            });
            return Some(Undo::Log);
        }
        Fault::LogLag => {
            cluster.log.faults().set(FaultSettings {
                lag_records: 2,
                ..defaults()
            });
            return Some(Undo::Log);
        }
        Fault::LoseAppendAnswer => {
            let faults = FaultSettings {
                lose_answers: 1,
                ..cluster.log.faults().get()
            };
            cluster.log.faults().set(faults);
            race(cluster, node, done);
        }
        Fault::DoubleAppend => {
            let faults = FaultSettings {
                double_appends: 1,
                ..cluster.log.faults().get()
            };
            cluster.log.faults().set(faults);
            race(cluster, node, done);
        }
        Fault::LogRetention => cluster.log.retain(1),
        Fault::ListDown => {
            cluster.instances.faults().set(FaultSettings {
                down: true,
                ..defaults()
            });
            return Some(Undo::List);
        }
        Fault::OperatorRace => {
            race(cluster, node, done);
            race(cluster, (node + 1) % cluster.nodes.len(), done);
        }
        Fault::PresetChange => race(cluster, node, done),
        Fault::KillNode | Fault::FreezeNode => (),
    }
    None
}

// An operator publishes through a node and does not wait for the verdict.
fn race(cluster: &Cluster, node: usize, done: &mut Disturbed) {
    let names = [
        PresetName::Ordinary,
        PresetName::Peak,
        PresetName::Maintenance,
    ];
    let name = names[done.events.len() % names.len()];
    cluster.publish_unattended(node, &Edit::Preset { name });
}

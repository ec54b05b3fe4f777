//! The scenarios and how each is run.

use derive_more::{Display, FromStr};
use rwd_config::{Policy, Preset};
use std::time::{Duration, Instant};

use super::disturb::{self, Disturbed};
use super::{LoadPlan, LoadTarget, ProcessUsage, direct, drive, one_node, slopes};
use crate::{Cluster, ClusterSettings, Report, RequestRecord, Result, Workload, WorkloadName};

/// What an experiment is about.
#[derive(Clone, Copy, Debug, Display, Eq, FromStr, PartialEq)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum Scenario {
    /// Both kinds of day in short: the month's end at a small scale.
    Demo,
    /// A tenth of the month's end.
    Ordinary,
    /// 2.5 times what the targets can carry.
    MonthEnd,
    /// Two targets become 5 times slower for a while.
    Straggler,
    /// One workspace offers 10 times its share.
    Fairness,
    /// Nodes and targets leave and come back as planned.
    Drain,
    /// Faults of all kinds, drawn by the seed.
    Faults,
    /// What a node costs as the system grows.
    Slopes,
    /// What one node carries on one core.
    OneNode,
}

/// Load of the demo.
const DEMO_LOAD: f64 = 1.5;
/// Load of an ordinary day as a multiple of what the targets can carry.
const ORDINARY_LOAD: f64 = 0.25;
/// Load of the month's end.
const MONTH_END_LOAD: f64 = 2.5;
/// Load while two targets are slow.
const STRAGGLER_LOAD: f64 = 0.6;
/// Load beside the greedy workspace.
const FAIRNESS_LOAD: f64 = 0.8;
/// Load while nodes and targets come and go.
const FAULTS_LOAD: f64 = 0.5;
/// How many times slower a straggler is.
const STRAGGLER_SLOW: f64 = 5.0;

/// Settings of an experiment.
#[derive(Clone, Debug)]
pub struct BenchSettings {
    /// The scenario.
    pub scenario: Scenario,
    /// How targets are chosen.
    pub policy: Policy,
    /// The mix.
    pub workload: WorkloadName,
    /// Decides all that is random.
    pub seed: u64,
    /// How long requests are sent.
    pub time: Duration,
    /// Number of nodes.
    pub nodes: usize,
    /// The preset in force.
    pub preset: Preset,
    /// Multiple of what the targets can carry, if not the scenario's own.
    pub load: Option<f64>,
    /// Where to write a plot, for scenarios that have one.
    pub plot: Option<std::path::PathBuf>,
}

impl Default for BenchSettings {
    fn default() -> Self {
        Self {
            scenario: Scenario::Ordinary,
            policy: Policy::Granted,
            workload: WorkloadName::Neonvalg,
            seed: 1,
            time: Duration::from_secs(20),
            nodes: 6,
            preset: Preset::default(),
            load: None,
            plot: None,
        }
    }
}

/// Runs an experiment.
///
/// # Errors
///
/// Fails when the system cannot be started or brought together.
pub async fn run(cfg: &BenchSettings) -> Result<Report> {
    match cfg.scenario {
        Scenario::Slopes => return slopes::run(cfg).await,
        Scenario::OneNode => return one_node::run(cfg).await,
        _ => (),
    }
    let cluster_cfg = ClusterSettings {
        nodes: cfg.nodes,
        policy: cfg.policy,
        preset: cfg.preset.clone(),
        relays: cfg.scenario == Scenario::Faults,
        ..ClusterSettings::new(Workload::new(cfg.workload))
    };
    let mut cluster = Cluster::start(cluster_cfg).await?;
    let mut measure = Measure::start(&cluster);
    let load = match cfg.scenario {
        Scenario::Demo => DEMO_LOAD,
        Scenario::Ordinary | Scenario::Slopes | Scenario::OneNode => ORDINARY_LOAD,
        Scenario::MonthEnd => MONTH_END_LOAD,
        Scenario::Straggler => STRAGGLER_LOAD,
        Scenario::Fairness => FAIRNESS_LOAD,
        Scenario::Drain | Scenario::Faults => FAULTS_LOAD,
    };
    let plan = LoadPlan {
        greedy: (cfg.scenario == Scenario::Fairness).then_some((0, 10.0)),
        ..plan(cfg, load)
    };
    let requests = tokio::spawn(drive(LoadTarget::of(&cluster), plan));
    let disturbed = match cfg.scenario {
        Scenario::Straggler => straggler(&cluster, cfg).await,
        Scenario::Drain => disturb::drain(&mut cluster, cfg).await?,
        Scenario::Faults => disturb::faults(&mut cluster, cfg).await?,
        _ => Disturbed::default(),
    };
    let records = requests.await.unwrap_or_default();
    measure.stop(&cluster);
    let mut report = measure.report(cfg, &cluster, &records);
    disturbed.add_to(&mut report, &records, &cluster.ledger);
    if cfg.scenario == Scenario::Ordinary {
        let idle = direct::compare(&cluster).await;
        let figures = &mut report.figures;
        figures.insert("idle first token p50 ms through".into(), idle.through.p50);
        figures.insert("idle first token p95 ms through".into(), idle.through.p95);
        figures.insert("idle first token p50 ms direct".into(), idle.direct.p50);
        figures.insert("idle first token p95 ms direct".into(), idle.direct.p95);
        figures.insert(
            "idle first token p95 ms added".into(),
            idle.through.p95 - idle.direct.p95,
        );
    }
    if cfg.scenario == Scenario::Fairness {
        by_workspace(&mut report, &records);
    }
    cluster.stop().await;
    Ok(report)
}

fn plan(cfg: &BenchSettings, load: f64) -> LoadPlan {
    LoadPlan {
        seed: cfg.seed,
        time: cfg.time,
        load: cfg.load.unwrap_or(load),
        greedy: None,
    }
}

async fn straggler(cluster: &Cluster, cfg: &BenchSettings) -> Disturbed {
    tokio::time::sleep(cfg.time / 3).await;
    set_slow(cluster, STRAGGLER_SLOW);
    tokio::time::sleep(cfg.time / 3).await;
    set_slow(cluster, 1.0);
    Disturbed::default()
}

fn set_slow(cluster: &Cluster, slow: f64) {
    for engine in cluster.engines.iter().take(2) {
        let faults = engine.faults().get();
        engine
            .faults()
            .set(crate::fake::FaultSettings { slow, ..faults });
    }
}

fn by_workspace(report: &mut Report, records: &[RequestRecord]) {
    for tier in &report.tiers.clone() {
        let of_tier = records.iter().filter(|r| r.tier == tier.tier);
        let (greedy, others): (Vec<_>, Vec<_>) =
            of_tier.partition(|r| r.workspace == records_greedy(records));
        let goodput = |of: &[&RequestRecord]| {
            of.iter().filter(|r| r.in_time()).count() as f64 / of.len().max(1) as f64
        };
        let name = |who: &str| format!("goodput {} {who}", tier.tier);
        report
            .figures
            .insert(name("of the greedy workspace"), goodput(&greedy));
        report
            .figures
            .insert(name("of the others"), goodput(&others));
    }
}

// The greedy workspace has by far the most requests.
fn records_greedy(records: &[RequestRecord]) -> String {
    let mut counts = indexmap::IndexMap::<&str, usize>::new();
    for record in records {
        *counts.entry(&record.workspace).or_default() += 1;
    }
    let most = counts.into_iter().max_by_key(|(_, n)| *n);
    most.map(|(name, _)| name.to_owned()).unwrap_or_default()
}

/// What the nodes use while requests are sent.
pub(crate) struct Measure {
    started: Instant,
    took: Duration,
    before: ProcessUsage,
    after: ProcessUsage,
    peer_bytes: u64,
}

impl Measure {
    pub fn start(cluster: &Cluster) -> Self {
        Self {
            started: Instant::now(),
            took: Duration::ZERO,
            before: ProcessUsage::now(),
            after: ProcessUsage::default(),
            peer_bytes: peer_bytes(cluster),
        }
    }

    pub fn stop(&mut self, cluster: &Cluster) {
        self.took = self.started.elapsed();
        self.after = ProcessUsage::now();
        self.peer_bytes = peer_bytes(cluster).saturating_sub(self.peer_bytes);
    }

    /// Peer bytes per second and share of a core of one of `nodes` nodes.
    pub fn per_node(&self, nodes: f64) -> (f64, f64) {
        let node_seconds = self.took.as_secs_f64() * nodes;
        let cpu = self.after.node_cpu_s - self.before.node_cpu_s;
        (self.peer_bytes as f64 / node_seconds, cpu / node_seconds)
    }

    pub fn report(
        &self,
        cfg: &BenchSettings,
        cluster: &Cluster,
        records: &[RequestRecord],
    ) -> Report {
        let mut report = Report::new(&cfg.scenario.to_string(), records, &cluster.ledger);
        let (bytes, core) = self.per_node(cluster.nodes.len() as f64);
        let tokens: u64 = records.iter().map(|r| r.tokens).sum();
        report.policy = policy_name(cfg.policy).to_owned();
        report.workload = cfg.workload.to_string();
        report.seed = cfg.seed;
        report.seconds = cfg.time.as_secs_f64();
        report.nodes = cluster.nodes.len();
        report.targets = cluster.engines.len() + cluster.services.len();
        report.control.bytes_per_node_s = bytes;
        report.control.core_share = core;
        report.control.rss_mb = self.after.rss_mb;
        let figures = &mut report.figures;
        figures.insert("seconds measured".into(), self.took.as_secs_f64());
        figures.insert("answer tokens".into(), tokens as f64);
        report.not_measured = ["cut_by_planned_stop", "late_to_leaving", "config_reverted"]
            .map(|field| format!("invariants.{field}"))
            .to_vec();
        report
    }
}

fn peer_bytes(cluster: &Cluster) -> u64 {
    let nodes = cluster.nodes.iter().filter_map(|n| n.node());
    nodes.map(|n| n.status().usage.peer_bytes).sum()
}

/// The name of a policy on the command line.
pub fn policy_name(policy: Policy) -> &'static str {
    match policy {
        Policy::Granted => "granted",
        Policy::RoundRobin => "round-robin",
        Policy::LeastReported => "least-reported",
    }
}

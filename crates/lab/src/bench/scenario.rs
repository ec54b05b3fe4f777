//! The scenarios of `bench` and the measurements common to them.

use derive_more::{Display, FromStr};
use rwd_config::{Policy, Preset};
use std::time::{Duration, Instant};

use super::disruptions::{self, Disruptions};
use super::{LoadPlan, LoadTarget, ProcessUsage, direct, generate_load, one_node, slopes};
use crate::{Cluster, ClusterSettings, Report, RequestRecord, Result, Workload, WorkloadName};

/// Selects an experiment.
#[derive(Clone, Copy, Debug, Display, Eq, FromStr, PartialEq)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum Scenario {
    /// The month's end in short, at 1.5 times the targets' capacity.
    Demo,
    /// A quarter of the targets' capacity, a tenth of the month's end.
    Ordinary,
    /// 2.5 times the targets' capacity.
    MonthEnd,
    /// Two engines are 5 times slower for a third of the time.
    Straggler,
    /// One workspace sends 10 times its share of requests.
    Fairness,
    /// Targets drain; nodes shut down gracefully and come back.
    Drain,
    /// Faults drawn at random from the seed.
    Faults,
    /// Resource usage per node as the system grows.
    Slopes,
    /// Throughput of service calls per core, and the memory that queued requests use.
    OneNode,
}

/// Load of the demo; the loads are multiples of the targets' capacity.
const DEMO_LOAD: f64 = 1.5;
const ORDINARY_LOAD: f64 = 0.25;
const MONTH_END_LOAD: f64 = 2.5;
/// Load while two engines are slow.
const STRAGGLER_LOAD: f64 = 0.6;
/// Load without the excess of the greedy workspace.
const FAIRNESS_LOAD: f64 = 0.8;
/// Load during planned and unplanned disruptions.
const FAULTS_LOAD: f64 = 0.5;
/// Factor by which a straggler is slower.
const STRAGGLER_SLOWDOWN: f64 = 5.0;

/// Settings of an experiment.
#[derive(Clone, Debug)]
pub struct BenchSettings {
    /// The scenario.
    pub scenario: Scenario,
    /// How targets are chosen.
    pub policy: Policy,
    /// The workload.
    pub workload: WorkloadName,
    /// Seed of requests, arrival times and faults.
    pub seed: u64,
    /// How long requests are sent.
    pub time: Duration,
    /// Number of nodes.
    pub nodes: usize,
    /// The active preset.
    pub preset: Preset,
    /// Offered load as a multiple of the targets' capacity; the scenario's own if `None`.
    pub load: Option<f64>,
    /// Path of the plot to write; only [`Scenario::Slopes`] has one.
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
/// Fails when the cluster cannot start or does not become ready.
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
        use_relays: cfg.scenario == Scenario::Faults,
        ..ClusterSettings::new(Workload::new(cfg.workload))
    };
    let mut cluster = Cluster::start(cluster_cfg).await?;
    let mut meter = UsageMeter::start(&cluster);
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
    let requests = tokio::spawn(generate_load(LoadTarget::of(&cluster), plan));
    let disruptions = match cfg.scenario {
        Scenario::Straggler => straggler(&cluster, cfg).await,
        Scenario::Drain => disruptions::drain(&mut cluster, cfg).await?,
        Scenario::Faults => disruptions::faults(&mut cluster, cfg).await?,
        _ => Disruptions::default(),
    };
    let records = requests.await.unwrap_or_default();
    meter.stop(&cluster);
    let mut report = meter.report(cfg, &cluster, &records);
    disruptions.add_to(&mut report, &records, &cluster.ledger);
    if cfg.scenario == Scenario::Ordinary {
        let idle = direct::compare(&cluster).await;
        let figures = &mut report.figures;
        figures.insert("idle first token p50 ms through".into(), idle.proxied.p50);
        figures.insert("idle first token p95 ms through".into(), idle.proxied.p95);
        figures.insert("idle first token p50 ms direct".into(), idle.direct.p50);
        figures.insert("idle first token p95 ms direct".into(), idle.direct.p95);
        figures.insert(
            "idle first token p95 ms added".into(),
            idle.proxied.p95 - idle.direct.p95,
        );
    }
    if cfg.scenario == Scenario::Fairness {
        add_goodput_by_workspace(&mut report, &records);
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

async fn straggler(cluster: &Cluster, cfg: &BenchSettings) -> Disruptions {
    tokio::time::sleep(cfg.time / 3).await;
    set_slow(cluster, STRAGGLER_SLOWDOWN);
    tokio::time::sleep(cfg.time / 3).await;
    set_slow(cluster, 1.0);
    Disruptions::default()
}

fn set_slow(cluster: &Cluster, slow: f64) {
    for engine in cluster.engines.iter().take(2) {
        let faults = engine.faults().get();
        engine
            .faults()
            .set(crate::fake::FaultSettings { slow, ..faults });
    }
}

fn add_goodput_by_workspace(report: &mut Report, records: &[RequestRecord]) {
    for tier in &report.tiers.clone() {
        let of_tier = records.iter().filter(|r| r.tier == tier.tier);
        let (greedy, others): (Vec<_>, Vec<_>) =
            of_tier.partition(|r| r.workspace == greedy_workspace(records));
        let goodput = |group: &[&RequestRecord]| {
            group.iter().filter(|r| r.in_time()).count() as f64 / group.len().max(1) as f64
        };
        let name = |group: &str| format!("goodput {} {group}", tier.tier);
        report
            .figures
            .insert(name("of the greedy workspace"), goodput(&greedy));
        report
            .figures
            .insert(name("of the others"), goodput(&others));
    }
}

// The greedy workspace has by far the most requests.
fn greedy_workspace(records: &[RequestRecord]) -> String {
    let mut counts = indexmap::IndexMap::<&str, usize>::new();
    for record in records {
        *counts.entry(&record.workspace).or_default() += 1;
    }
    let greedy = counts.into_iter().max_by_key(|(_, n)| *n);
    greedy.map(|(name, _)| name.to_owned()).unwrap_or_default()
}

/// Measures the resources that the nodes use between `start` and `stop`.
pub(crate) struct UsageMeter {
    started: Instant,
    elapsed: Duration,
    before: ProcessUsage,
    after: ProcessUsage,
    peer_bytes: u64,
}

impl UsageMeter {
    pub fn start(cluster: &Cluster) -> Self {
        Self {
            started: Instant::now(),
            elapsed: Duration::ZERO,
            before: ProcessUsage::now(),
            after: ProcessUsage::default(),
            peer_bytes: peer_bytes(cluster),
        }
    }

    pub fn stop(&mut self, cluster: &Cluster) {
        self.elapsed = self.started.elapsed();
        self.after = ProcessUsage::now();
        self.peer_bytes = peer_bytes(cluster).saturating_sub(self.peer_bytes);
    }

    /// Mean peer bytes per second and CPU cores of each of `nodes` nodes.
    pub fn per_node(&self, nodes: f64) -> (f64, f64) {
        let node_seconds = self.elapsed.as_secs_f64() * nodes;
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
        let (bytes_per_s, cores) = self.per_node(cluster.nodes.len() as f64);
        let tokens: u64 = records.iter().map(|r| r.tokens).sum();
        report.policy = policy_name(cfg.policy).to_owned();
        report.workload = cfg.workload.to_string();
        report.seed = cfg.seed;
        report.seconds = cfg.time.as_secs_f64();
        report.nodes = cluster.nodes.len();
        report.targets = cluster.engines.len() + cluster.services.len();
        report.control.bytes_per_node_s = bytes_per_s;
        report.control.core_share = cores;
        report.control.rss_mb = self.after.rss_mb;
        let figures = &mut report.figures;
        figures.insert("seconds measured".into(), self.elapsed.as_secs_f64());
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

/// The name of a policy, as on the command line.
pub fn policy_name(policy: Policy) -> &'static str {
    match policy {
        Policy::Granted => "granted",
        Policy::RoundRobin => "round-robin",
        Policy::LeastReported => "least-reported",
    }
}

//! What one node carries on one core, and what waiting requests cost it.

use rwd_types::Tokens;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

use super::scenario::Measure;
use super::{BenchSettings, ProcessUsage};
use crate::fake::FaultSettings;
use crate::{
    Caller, Cluster, ClusterSettings, Report, RequestKind, RequestOutcome, RequestRecord,
    RequestSpec, Result, Workload,
};

/// How long a caller waits on one connection.
const PATIENCE: Duration = Duration::from_secs(10);
/// Calls in progress at the same time.
const CALLERS: usize = 96;
/// Requests that wait at the same time.
const WAITING: usize = 3000;
/// Prompt of a waiting request.
const WAITING_PROMPT: Tokens = Tokens(250);

/// Asks one node for as many service calls as it can answer, then lets requests wait at it.
pub(crate) async fn run(cfg: &BenchSettings) -> Result<Report> {
    // A second node is there as the witness of calls that may not be repeated.
    let cluster_cfg = ClusterSettings {
        nodes: 2,
        ..ClusterSettings::new(Workload::new(cfg.workload))
    };
    let mut cluster = Cluster::start(cluster_cfg).await?;
    let mut measure = Measure::start(&cluster);
    let answered = call_as_fast_as_possible(&cluster, cfg.time).await;
    measure.stop(&cluster);
    let (_, core) = measure.per_node(1.0);
    let mut report = measure.report(cfg, &cluster, &[]);
    let per_s = answered as f64 / cfg.time.as_secs_f64();
    report.figures.insert("service calls per s".into(), per_s);
    report.figures.insert("cores of all nodes".into(), core);
    report.figures.insert(
        "service calls per core second".into(),
        per_s / core.max(0.001),
    );
    let mb = memory_of_waiting(&cluster).await;
    report.figures.insert(
        "MB per 1000 waiting, callers and engines included".into(),
        mb,
    );
    cluster.stop().await;
    Ok(report)
}

fn caller(cluster: &Cluster) -> Caller {
    let workload = &cluster.cfg.workload;
    cluster.caller(workload.workspaces[0].0, workload.zones[0], PATIENCE)
}

async fn call_as_fast_as_possible(cluster: &Cluster, time: Duration) -> u64 {
    let answered = Arc::new(AtomicU64::new(0));
    let until = Instant::now() + time;
    let mut loops = JoinSet::new();
    for i in 0..CALLERS {
        let (caller, answered) = (caller(cluster), answered.clone());
        let workload = cluster.cfg.workload.clone();
        loops.spawn(async move {
            let mut n = 0;
            while Instant::now() < until {
                n += 1;
                let spec = RequestSpec {
                    tier: workload.tiers[0].tier,
                    rank: 0,
                    pool: workload.service,
                    shape: RequestKind::Service {
                        path: workload.paths.0,
                        idempotent: true,
                    },
                    deadline: Duration::from_secs(5),
                    tag: format!("{i}-{n}"),
                };
                let record: RequestRecord = caller.run(spec).await;
                let whole = record.outcome == RequestOutcome::Whole;
                answered.fetch_add(u64::from(whole), Ordering::Relaxed);
            }
        });
    }
    while loops.join_next().await.is_some() {}
    answered.load(Ordering::Relaxed)
}

// The engines stand still, so that everything beyond their slots waits at the node.
async fn memory_of_waiting(cluster: &Cluster) -> f64 {
    for engine in &cluster.engines {
        engine.faults().set(FaultSettings {
            frozen: true,
            ..FaultSettings::default()
        });
    }
    let workload = cluster.cfg.workload.clone();
    let before = ProcessUsage::now().rss_mb;
    let caller = Arc::new(caller(cluster));
    let mut waiting = JoinSet::new();
    for i in 0..WAITING {
        let spec = RequestSpec {
            tier: workload.tiers[0].tier,
            rank: 0,
            pool: workload.model,
            shape: RequestKind::Completion {
                prompt: format!("{i} ").repeat(WAITING_PROMPT.0 as usize),
                max_tokens: 10,
                output: 10,
            },
            deadline: Duration::from_secs(60),
            tag: i.to_string(),
        };
        let caller = caller.clone();
        waiting.spawn(async move { caller.run(spec).await });
    }
    tokio::time::sleep(Duration::from_secs(5)).await;
    let used = ProcessUsage::now().rss_mb - before;
    waiting.abort_all();
    used * 1000.0 / WAITING as f64
}

//! Throughput of service calls per core, and the memory that queued requests use.

use rwd_types::Tokens;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

use super::scenario::UsageMeter;
use super::{BenchSettings, ProcessUsage};
use crate::fake::FaultSettings;
use crate::{
    Caller, Cluster, ClusterSettings, Report, RequestKind, RequestOutcome, RequestRecord,
    RequestSpec, Result, Workload,
};

/// How long a caller waits for data on a connection before it retries.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of callers, each with one call in progress.
const CALLERS: usize = 96;
/// Number of requests sent while the engines are frozen.
const QUEUED: usize = 3000;
/// Prompt length of a queued request.
const QUEUED_PROMPT: Tokens = Tokens(250);

/// Measures service call throughput at saturation, then the memory that queued requests use.
pub(crate) async fn run(cfg: &BenchSettings) -> Result<Report> {
    // The second node is the witness that non-idempotent requests need.
    let cluster_cfg = ClusterSettings {
        nodes: 2,
        ..ClusterSettings::new(Workload::new(cfg.workload))
    };
    let mut cluster = Cluster::start(cluster_cfg).await?;
    let mut meter = UsageMeter::start(&cluster);
    let completed = saturate(&cluster, cfg.time).await;
    meter.stop(&cluster);
    let (_, cores) = meter.per_node(1.0);
    let mut report = meter.report(cfg, &cluster, &[]);
    let per_s = completed as f64 / cfg.time.as_secs_f64();
    report.figures.insert("service calls per s".into(), per_s);
    report.figures.insert("cores of all nodes".into(), cores);
    report.figures.insert(
        "service calls per core second".into(),
        per_s / cores.max(0.001),
    );
    let mb = mb_per_1000_queued(&cluster).await;
    report.figures.insert(
        "MB per 1000 waiting, callers and engines included".into(),
        mb,
    );
    cluster.stop().await;
    Ok(report)
}

fn caller(cluster: &Cluster) -> Caller {
    let workload = &cluster.cfg.workload;
    cluster.caller(
        workload.workspaces[0].0,
        workload.zones[0],
        RESPONSE_TIMEOUT,
    )
}

async fn saturate(cluster: &Cluster, time: Duration) -> u64 {
    let completed = Arc::new(AtomicU64::new(0));
    let until = Instant::now() + time;
    let mut loops = JoinSet::new();
    for i in 0..CALLERS {
        let (caller, completed) = (caller(cluster), completed.clone());
        let workload = cluster.cfg.workload.clone();
        loops.spawn(async move {
            let mut n = 0;
            while Instant::now() < until {
                n += 1;
                let spec = RequestSpec {
                    tier: workload.tiers[0].tier,
                    rank: 0,
                    pool: workload.service,
                    kind: RequestKind::Service {
                        path: workload.paths.0,
                        idempotent: true,
                    },
                    deadline: Duration::from_secs(5),
                    tag: format!("{i}-{n}"),
                };
                let record: RequestRecord = caller.run(spec).await;
                let complete = record.outcome == RequestOutcome::Complete;
                completed.fetch_add(u64::from(complete), Ordering::Relaxed);
            }
        });
    }
    while loops.join_next().await.is_some() {}
    completed.load(Ordering::Relaxed)
}

// Freezes the engines, so that all requests in excess of their slots queue at the nodes.
async fn mb_per_1000_queued(cluster: &Cluster) -> f64 {
    for engine in &cluster.engines {
        engine.faults().set(FaultSettings {
            frozen: true,
            ..FaultSettings::default()
        });
    }
    let workload = cluster.cfg.workload.clone();
    let before = ProcessUsage::now().rss_mb;
    let caller = Arc::new(caller(cluster));
    let mut queued = JoinSet::new();
    for i in 0..QUEUED {
        let spec = RequestSpec {
            tier: workload.tiers[0].tier,
            rank: 0,
            pool: workload.model,
            kind: RequestKind::Completion {
                prompt: format!("{i} ").repeat(QUEUED_PROMPT.0 as usize),
                max_tokens: 10,
                output: 10,
            },
            deadline: Duration::from_secs(60),
            tag: i.to_string(),
        };
        let caller = caller.clone();
        queued.spawn(async move { caller.run(spec).await });
    }
    tokio::time::sleep(Duration::from_secs(5)).await;
    let used = ProcessUsage::now().rss_mb - before;
    queued.abort_all();
    used * 1000.0 / QUEUED as f64
}

//! An open-loop load generator: requests are sent at a given rate, however long they take.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use crate::cluster::engine_settings;
use crate::workload::Generator;
use crate::{Caller, CallerSettings, Cluster, RequestRecord, RequestSpec, TierWorkload, Workload};

/// Share of the shared prefix tokens that are assumed to miss the prompt cache.
const ASSUMED_MISS_RATIO: f64 = 0.15;

/// How much to offer.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Seed of the requests and their arrival times.
    pub seed: u64,
    /// How long requests are sent.
    pub time: Duration,
    /// Offered load as a multiple of the targets' capacity.
    pub load: f64,
    /// Index of a workspace that sends this many times its share of requests.
    pub greedy: Option<(usize, f64)>,
}

/// Mean engine time of a tier's requests, in seconds.
pub(crate) fn seconds_per_request(tier: &TierWorkload) -> f64 {
    let mean = |(min, max): (u64, u64)| (min + max) as f64 / 2.0;
    let per_engine = [0, 1].map(|i| {
        let e = engine_settings(i);
        let decode = mean(tier.output_tokens) * e.full_step_ms() / e.batch as f64;
        let prompt = mean(tier.suffix_tokens) + ASSUMED_MISS_RATIO * mean(tier.prefix_tokens);
        (decode + prompt / e.prefill_per_ms) / 1000.0
    });
    per_engine.iter().sum::<f64>() / 2.0
}

/// The nodes and workload that requests are generated for.
#[derive(Clone, Debug)]
pub struct LoadTarget {
    workload: Workload,
    nodes: Vec<SocketAddr>,
}

impl LoadTarget {
    /// Captures a cluster's workload and its nodes at this time.
    pub fn of(cluster: &Cluster) -> Self {
        Self {
            workload: cluster.cfg.workload.clone(),
            nodes: cluster.http_addresses(),
        }
    }
}

/// Sends requests as planned and returns a record of each.
pub async fn generate_load(target: LoadTarget, plan: LoadPlan) -> Vec<RequestRecord> {
    let plan = &plan;
    let workload = Arc::new(target.workload);
    let callers = Arc::new(callers(&target.nodes, &workload));
    let records = Arc::new(Mutex::new(Vec::new()));
    let mut sources = JoinSet::new();
    for (i, tier) in workload.tiers.iter().enumerate() {
        let rate = Workload::rate(
            tier.load_share,
            plan.load,
            workload.engines,
            seconds_per_request(tier),
        );
        let tier = tier.clone();
        let source = Source::new(plan, i as u64, rate, &workload, &callers, &records);
        sources.spawn(source.run(move |g, w, workspace| g.completion(w, &tier, workspace)));
    }
    // `service_rate` is that of the month's end, whose load is 2.5; it scales with the load.
    let rate = workload.service_rate * plan.load / 2.5;
    let source = Source::new(plan, 99, rate, &workload, &callers, &records);
    sources.spawn(source.run(|g, w, _| g.service(w)));
    while sources.join_next().await.is_some() {}
    let mut records = records.lock().unwrap_or_else(|e| e.into_inner());
    std::mem::take(&mut *records)
}

fn callers(nodes: &[SocketAddr], workload: &Workload) -> Vec<Caller> {
    let caller = |(i, (workspace, _)): (usize, &(&str, f64))| {
        Caller::new(CallerSettings {
            workspace: (*workspace).to_owned(),
            key: Cluster::workspace_key(workspace),
            nodes: nodes.to_vec(),
            zone: workload.zones[i % 3].to_owned(),
            response_timeout: Duration::from_secs(4),
        })
    };
    workload.workspaces.iter().enumerate().map(caller).collect()
}

// A stream of requests with Poisson arrivals.
struct Source {
    generator: Generator,
    rate: f64,
    time: Duration,
    greedy: Option<(usize, f64)>,
    workload: Arc<Workload>,
    callers: Arc<Vec<Caller>>,
    records: Arc<Mutex<Vec<RequestRecord>>>,
}

impl Source {
    fn new(
        plan: &LoadPlan,
        stream: u64,
        rate: f64,
        workload: &Arc<Workload>,
        callers: &Arc<Vec<Caller>>,
        records: &Arc<Mutex<Vec<RequestRecord>>>,
    ) -> Self {
        Self {
            generator: Generator::new(plan.seed.wrapping_mul(1000).wrapping_add(stream)),
            rate,
            time: plan.time,
            greedy: plan.greedy,
            workload: workload.clone(),
            callers: callers.clone(),
            records: records.clone(),
        }
    }

    async fn run(mut self, generate: impl Fn(&mut Generator, &Workload, usize) -> RequestSpec) {
        let start = Instant::now();
        let mut arrival_s = 0.0;
        let mut requests = JoinSet::new();
        loop {
            arrival_s += self.generator.interarrival_s(self.rate);
            if arrival_s >= self.time.as_secs_f64() {
                break;
            }
            sleep_until(start + Duration::from_secs_f64(arrival_s)).await;
            let workspace = self.generator.workspace(&self.workload);
            let copies = match self.greedy {
                Some((greedy, factor)) if greedy == workspace => factor as usize,
                _ => 1,
            };
            for _ in 0..copies {
                let spec = generate(&mut self.generator, &self.workload, workspace);
                let callers = self.callers.clone();
                let records = self.records.clone();
                requests.spawn(async move {
                    let record = callers[workspace].run(spec).await;
                    records
                        .lock()
                        .unwrap_or_else(|e| e.into_inner())
                        .push(record);
                });
            }
            while requests.try_join_next().is_some() {}
        }
        while requests.join_next().await.is_some() {}
    }
}

//! Offers a mix of requests to a system at a given rate.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use crate::cluster::engine_settings;
use crate::workload::Generator;
use crate::{Caller, CallerSettings, Cluster, RequestRecord, RequestSpec, TierMix, Workload};

/// Share of a shared prefix that is taken to be processed anew when load is worked out.
const ASSUMED_MISS: f64 = 0.15;

/// How much to offer.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Decides all requests and their times.
    pub seed: u64,
    /// How long requests are sent.
    pub time: Duration,
    /// Multiple of what the targets can carry.
    pub load: f64,
    /// A workspace that offers this many times its share, by its number.
    pub greedy: Option<(usize, f64)>,
}

/// Engine seconds that a request of a tier takes on average.
pub(crate) fn seconds_per_request(mix: &TierMix) -> f64 {
    let mean = |(least, most): (u64, u64)| (least + most) as f64 / 2.0;
    let per_engine = [0, 1].map(|i| {
        let e = engine_settings(i);
        let decode = mean(mix.output) * e.full_step_ms() / e.batch as f64;
        let prompt = mean(mix.own) + ASSUMED_MISS * mean(mix.shared);
        (decode + prompt / e.prefill_per_ms) / 1000.0
    });
    per_engine.iter().sum::<f64>() / 2.0
}

/// Where requests are sent.
#[derive(Clone, Debug)]
pub struct LoadTarget {
    workload: Workload,
    nodes: Vec<SocketAddr>,
}

impl LoadTarget {
    /// The nodes of a system, as they are now.
    pub fn of(cluster: &Cluster) -> Self {
        Self {
            workload: cluster.cfg.workload.clone(),
            nodes: cluster.http_addresses(),
        }
    }
}

/// Sends requests as planned and returns what became of each.
pub async fn drive(target: LoadTarget, plan: LoadPlan) -> Vec<RequestRecord> {
    let plan = &plan;
    let workload = Arc::new(target.workload);
    let callers = Arc::new(callers(&target.nodes, &workload));
    let records = Arc::new(Mutex::new(Vec::new()));
    let mut sources = JoinSet::new();
    for (i, mix) in workload.tiers.iter().enumerate() {
        let rate = Workload::rate(
            mix.share,
            plan.load,
            workload.engines,
            seconds_per_request(mix),
        );
        let mix = mix.clone();
        let source = Source::new(plan, i as u64, rate, &workload, &callers, &records);
        sources.spawn(source.run(move |g, w, workspace| g.completion(w, &mix, workspace)));
    }
    // The plain services are asked ten times as much at the month's end, as everything is.
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
        number: u64,
        rate: f64,
        workload: &Arc<Workload>,
        callers: &Arc<Vec<Caller>>,
        records: &Arc<Mutex<Vec<RequestRecord>>>,
    ) -> Self {
        Self {
            generator: Generator::new(plan.seed.wrapping_mul(1000).wrapping_add(number)),
            rate,
            time: plan.time,
            greedy: plan.greedy,
            workload: workload.clone(),
            callers: callers.clone(),
            records: records.clone(),
        }
    }

    async fn run(mut self, make: impl Fn(&mut Generator, &Workload, usize) -> RequestSpec) {
        let start = Instant::now();
        let mut at = 0.0;
        let mut requests = JoinSet::new();
        loop {
            at += self.generator.gap(self.rate);
            if at >= self.time.as_secs_f64() {
                break;
            }
            sleep_until(start + Duration::from_secs_f64(at)).await;
            let workspace = self.generator.workspace(&self.workload);
            let copies = match self.greedy {
                Some((greedy, times)) if greedy == workspace => times as usize,
                _ => 1,
            };
            for _ in 0..copies {
                let spec = make(&mut self.generator, &self.workload, workspace);
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

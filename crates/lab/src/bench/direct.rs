//! What the system adds to a request when everything is idle.

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use rwd_edge::HttpClient;
use serde_json::json;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::report::{Percentiles, percentiles};
use crate::{Cluster, RequestKind, RequestSpec};

/// How long the caller waits on one connection.
const PATIENCE: Duration = Duration::from_secs(4);
/// Pairs of requests that are compared.
const PAIRS: u64 = 200;
/// Answer tokens of each.
const OUTPUT: u64 = 2;

/// Times to the first token, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Comparison {
    /// Through the system.
    pub through: Percentiles,
    /// Asking an engine directly.
    pub direct: Percentiles,
}

/// Sends requests in turn through the system and directly to an engine.
///
/// An engine takes one step to produce the first token, whoever asks; an idle engine begins its
/// step when the request comes.
pub(crate) async fn compare(cluster: &Cluster) -> Comparison {
    let workload = &cluster.cfg.workload;
    let workspace = workload.workspaces[0].0;
    let caller = cluster.caller(workspace, workload.zones[0], PATIENCE);
    let client = HttpClient::default();
    let mut through = Vec::new();
    let mut direct = Vec::new();
    for i in 0..PAIRS {
        let spec = RequestSpec {
            tier: workload.tiers[0].tier,
            rank: 0,
            pool: workload.model,
            shape: RequestKind::Completion {
                prompt: format!("idle {i}"),
                max_tokens: OUTPUT,
                output: OUTPUT,
            },
            deadline: Duration::from_secs(10),
            tag: format!("idle{i}"),
        };
        let record = caller.run(spec).await;
        let first = record.first_token.map(|first| first - record.sent);
        through.extend(first.map(|t| t.as_secs_f64() * 1000.0));
        // The engine of the same class as the system prefers for short work: the newer one.
        let address = cluster.engines[0].address();
        direct.extend(ask_directly(&client, address, workload.model, i).await);
    }
    Comparison {
        through: percentiles(through.into_iter()),
        direct: percentiles(direct.into_iter()),
    }
}

async fn ask_directly(
    client: &HttpClient,
    address: SocketAddr,
    model: &str,
    i: u64,
) -> Option<f64> {
    let body = json!({
        "model": model,
        "prompt": format!("idle {i}"),
        "max_tokens": OUTPUT,
        "stream": true,
        "lab_tag": "direct",
    });
    let req = Request::post(format!("http://{address}/v1/completions"))
        .header("x-request-id", format!("direct-{i}"))
        .body(Full::new(Bytes::from(body.to_string())))
        .ok()?;
    let sent = Instant::now();
    let mut response = client.send(req).await.ok()?.into_body();
    let mut first = None;
    while let Some(Ok(_)) = response.frame().await {
        first.get_or_insert_with(|| sent.elapsed());
    }
    first.map(|t| t.as_secs_f64() * 1000.0)
}

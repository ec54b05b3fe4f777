//! The latency that the nodes add to a request on an idle system.

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use rwd_edge::HttpClient;
use serde_json::json;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::report::{Percentiles, percentiles};
use crate::{Cluster, RequestKind, RequestSpec};

/// How long a caller waits for data on a connection before it retries.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// Number of request pairs, one proxied and one direct each.
const PAIRS: u64 = 200;
/// Tokens of each response.
const OUTPUT_TOKENS: u64 = 2;

/// Time to the first token, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Comparison {
    /// Through a node.
    pub proxied: Percentiles,
    /// Directly from an engine.
    pub direct: Percentiles,
}

/// Sends requests alternately through a node and directly to an engine.
///
/// The engine adds the same to both: one step for the first token, and an idle engine begins
/// the step when the request arrives.
pub(crate) async fn compare(cluster: &Cluster) -> Comparison {
    let workload = &cluster.cfg.workload;
    let workspace = workload.workspaces[0].0;
    let caller = cluster.caller(workspace, workload.zones[0], RESPONSE_TIMEOUT);
    let client = HttpClient::default();
    let mut proxied = Vec::new();
    let mut direct = Vec::new();
    for i in 0..PAIRS {
        let spec = RequestSpec {
            tier: workload.tiers[0].tier,
            rank: 0,
            pool: workload.model,
            kind: RequestKind::Completion {
                prompt: format!("idle {i}"),
                max_tokens: OUTPUT_TOKENS,
                output: OUTPUT_TOKENS,
            },
            deadline: Duration::from_secs(10),
            tag: format!("idle{i}"),
        };
        let record = caller.run(spec).await;
        let first = record.first_token.map(|first| first - record.sent);
        proxied.extend(first.map(|t| t.as_secs_f64() * 1000.0));
        // Engine 0 is of the newer class, the one that nodes prefer for short requests.
        let address = cluster.engines[0].address();
        direct.extend(time_direct_request(&client, address, workload.model, i).await);
    }
    Comparison {
        proxied: percentiles(proxied.into_iter()),
        direct: percentiles(direct.into_iter()),
    }
}

async fn time_direct_request(
    client: &HttpClient,
    address: SocketAddr,
    model: &str,
    i: u64,
) -> Option<f64> {
    let body = json!({
        "model": model,
        "prompt": format!("idle {i}"),
        "max_tokens": OUTPUT_TOKENS,
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

//! A small cluster in one process, and calls to it.

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use rwd_edge::HttpClient;
use rwd_lab::{
    Caller, Cluster, ClusterSettings, RequestKind, RequestRecord, RequestSpec, Workload,
    WorkloadName,
};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;

/// Upper bound on every wait, far above its usual time; only a fault reaches it.
pub const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// Starts three nodes, two engines and one service, with relays in front of nodes and engines.
pub async fn start_cluster() -> Cluster {
    let workload = Workload {
        engines: 2,
        services: 1,
        ..Workload::new(WorkloadName::Neonvalg)
    };
    let cfg = ClusterSettings {
        nodes: 3,
        use_relays: true,
        ..ClusterSettings::new(workload)
    };
    Cluster::start(cfg).await.expect("the cluster starts")
}

pub fn caller(cluster: &Cluster) -> Caller {
    caller_in_zone(cluster, "harju-a")
}

/// A caller in a zone, which prefers the node there.
pub fn caller_in_zone(cluster: &Cluster, zone: &str) -> Caller {
    cluster.caller("festival", zone, Duration::from_secs(3))
}

pub fn completion(tag: &str, output: u64) -> RequestSpec {
    RequestSpec {
        tier: "walker",
        rank: 0,
        pool: "assistant",
        kind: RequestKind::Completion {
            prompt: format!("a question about {tag}"),
            max_tokens: output,
            output,
        },
        deadline: Duration::from_secs(30),
        tag: tag.into(),
    }
}

/// Status and JSON body of a response.
#[derive(Clone, Debug)]
pub struct JsonResponse {
    pub status: u16,
    pub body: Value,
}

impl JsonResponse {
    pub fn ran(&self) -> &str {
        self.body["ran"].as_str().unwrap_or("")
    }

    pub fn detail(&self) -> &str {
        self.body["detail"].as_str().unwrap_or("")
    }
}

/// Sends one POST request on a new connection.
pub async fn post(
    node: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> JsonResponse {
    let mut req = Request::post(format!("http://{node}{path}"));
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let req = req.body(Full::new(Bytes::from(body.to_owned()))).unwrap();
    let call = async {
        let response = HttpClient::default().send_fresh(req).await.unwrap();
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.unwrap().to_bytes();
        let body = serde_json::from_slice(&body).unwrap_or_default();
        JsonResponse { status, body }
    };
    tokio::time::timeout(WAIT_LIMIT, call)
        .await
        .expect("no response in time")
}

/// A non-idempotent service call with an idempotency key.
pub async fn confirm(node: SocketAddr, key: &str) -> JsonResponse {
    let auth = format!("Bearer {}", Cluster::workspace_key("festival"));
    let headers = [
        ("authorization", auth.as_str()),
        ("idempotency-key", key),
        ("x-tier", "walker"),
        ("x-deadline-ms", "20000"),
    ];
    let body = json!({ "lab_tag": "confirm" }).to_string();
    post(node, "/v1/services/booking/confirm", &headers, &body).await
}

/// The response of `/v1/addresses` for a caller in a zone.
pub async fn addresses(node: SocketAddr, zone: &str) -> Value {
    let auth = format!("Bearer {}", Cluster::workspace_key("festival"));
    let req = Request::get(format!(
        "http://{node}/v1/addresses?workspace=festival&zone={zone}"
    ))
    .header("authorization", auth)
    .body(Full::default())
    .unwrap();
    HttpClient::default().json(req, WAIT_LIMIT).await.unwrap()
}

/// A new key of the node in this zone, with the indices of its home node and its witness.
pub async fn new_key(cluster: &Cluster, zone: &str) -> (String, usize, usize) {
    let value = addresses(cluster.nodes[0].http, zone).await;
    let prefix = value["key_prefix"].as_str().unwrap().to_owned();
    let parts: Vec<&str> = prefix.split('~').collect();
    let number = |name: &str| name.trim_start_matches('n').parse().unwrap();
    let (home, witness) = (number(parts[0]), number(parts[3]));
    (format!("{prefix}.1"), home, witness)
}

/// Yields until a condition holds.
pub async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let waiting = async {
        while !condition() {
            tokio::task::yield_now().await;
        }
    };
    let result = tokio::time::timeout(WAIT_LIMIT, waiting).await;
    result.unwrap_or_else(|_| panic!("timed out waiting for: {what}"));
}

/// Number of runs on the service.
pub fn service_runs(cluster: &Cluster) -> usize {
    let runs = cluster.ledger.all();
    runs.values()
        .flatten()
        .filter(|r| r.target.starts_with('s'))
        .count()
}

/// Starts a stream and waits until an engine has started work on it.
pub async fn running_stream(
    cluster: &Cluster,
    tag: &str,
    output: u64,
) -> tokio::task::JoinHandle<RequestRecord> {
    let (caller, spec) = (caller(cluster), completion(tag, output));
    let running = tokio::spawn(async move { caller.run(spec).await });
    wait_until("the stream has started", || {
        let runs = cluster.ledger.all();
        runs.values().flatten().any(|r| r.started.is_some())
    })
    .await;
    running
}

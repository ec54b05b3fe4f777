//! A small system in one process, and calls to it.

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

/// Far more than anything here takes; only a fault reaches it.
pub const LONGEST: Duration = Duration::from_secs(60);

/// Three nodes, two engines and one plain service; relays stand before nodes and engines.
pub async fn system() -> Cluster {
    let workload = Workload {
        engines: 2,
        services: 1,
        ..Workload::new(WorkloadName::Neonvalg)
    };
    let cfg = ClusterSettings {
        nodes: 3,
        relays: true,
        ..ClusterSettings::new(workload)
    };
    Cluster::start(cfg).await.expect("the system starts")
}

pub fn caller(cluster: &Cluster) -> Caller {
    caller_in(cluster, "harju-a")
}

/// A caller in a zone, near the node there.
pub fn caller_in(cluster: &Cluster, zone: &str) -> Caller {
    cluster.caller("festival", zone, Duration::from_secs(3))
}

pub fn completion(tag: &str, output: u64) -> RequestSpec {
    RequestSpec {
        tier: "walker",
        rank: 0,
        pool: "assistant",
        shape: RequestKind::Completion {
            prompt: format!("a question about {tag}"),
            max_tokens: output,
            output,
        },
        deadline: Duration::from_secs(30),
        tag: tag.into(),
    }
}

/// An answer to one call.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    pub body: Value,
}

impl Reply {
    pub fn ran(&self) -> &str {
        self.body["ran"].as_str().unwrap_or("")
    }

    pub fn detail(&self) -> &str {
        self.body["detail"].as_str().unwrap_or("")
    }
}

/// One call with these headers.
pub async fn post(node: SocketAddr, path: &str, headers: &[(&str, &str)], body: &str) -> Reply {
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
        Reply { status, body }
    };
    tokio::time::timeout(LONGEST, call)
        .await
        .expect("an answer")
}

/// A call that must not be repeated, under a key.
pub async fn confirm(node: SocketAddr, key: &str) -> Reply {
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

/// What `/v1/addresses` says for a caller in a zone.
pub async fn addresses(node: SocketAddr, zone: &str) -> Value {
    let auth = format!("Bearer {}", Cluster::workspace_key("festival"));
    let req = Request::get(format!(
        "http://{node}/v1/addresses?workspace=festival&zone={zone}"
    ))
    .header("authorization", auth)
    .body(Full::default())
    .unwrap();
    HttpClient::default().json(req, LONGEST).await.unwrap()
}

/// A fresh key of the node in this zone, with the names of its home and its witness.
pub async fn key_of(cluster: &Cluster, zone: &str) -> (String, usize, usize) {
    let value = addresses(cluster.nodes[0].http, zone).await;
    let prefix = value["key_prefix"].as_str().unwrap().to_owned();
    let parts: Vec<&str> = prefix.split('~').collect();
    let number = |name: &str| name.trim_start_matches('n').parse().unwrap();
    let (home, witness) = (number(parts[0]), number(parts[3]));
    (format!("{prefix}.1"), home, witness)
}

/// Yields until something holds.
pub async fn until(what: &str, holds: impl Fn() -> bool) {
    let waiting = async {
        while !holds() {
            tokio::task::yield_now().await;
        }
    };
    let waited = tokio::time::timeout(LONGEST, waiting).await;
    waited.unwrap_or_else(|_| panic!("never: {what}"));
}

/// How often any request ran on the plain service.
pub fn service_runs(cluster: &Cluster) -> usize {
    let runs = cluster.ledger.all();
    runs.values()
        .flatten()
        .filter(|r| r.target.starts_with('s'))
        .count()
}

/// Starts a stream and waits until an engine works on it.
pub async fn running_stream(
    cluster: &Cluster,
    tag: &str,
    output: u64,
) -> tokio::task::JoinHandle<RequestRecord> {
    let (caller, spec) = (caller(cluster), completion(tag, output));
    let running = tokio::spawn(async move { caller.run(spec).await });
    until("the stream has begun", || {
        let runs = cluster.ledger.all();
        runs.values().flatten().any(|r| r.started.is_some())
    })
    .await;
    running
}

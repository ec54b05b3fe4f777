//! Fakes of the users' platform: its store, its targets and its callers.
//!
//! They implement the part of the platform's published protocol that the gateway
//! uses, inject faults on demand, and each records what it received.

mod caller;
mod limit_count;
mod slow_link;
mod store;
mod target;

pub use crate::site::caller::{Call, CallResult, LateReader, call};
pub use crate::site::limit_count::{Excess, LimitCount};
pub use crate::site::slow_link::SlowLink;
pub use crate::site::store::{FakeStore, PAGE_RECORDS, StoreCopy, StoreFault};
pub use crate::site::target::{Arrival, Behaviour, FakeTarget, Late, STREAM_EVENTS};

/// Timeout of the route for long requests in [`config_record`], in milliseconds.
const LONG_TIMEOUT_MS: u64 = 45_000;

/// A configuration record for tests.
///
/// It has a service with a safe and two unsafe routes, one of which allows for more time than a
/// planned stop takes, a model service with a stream that can be resumed on another target and one that
/// cannot, and one workspace.
pub fn config_record(version: u64, keys: &[&str], per_s: u64) -> String {
    large_config_record(version, keys, per_s, 0)
}

/// As [`config_record`], with `count` more routes to the safe service.
pub fn large_config_record(version: u64, keys: &[&str], per_s: u64, count: u64) -> String {
    let mut routes = vec![
        route("r-safe", "/safe/", "safe", "desk", 2, false),
        route("r-unsafe", "/unsafe/", "unsafe", "desk", 1, false),
        route("r-resume", "/resume/", "stream", "model", 2, true),
        route("r-once", "/once/", "stream", "model", 1, false),
        route("r-long", "/long/", "unsafe", "desk", 1, false),
    ];
    routes[4]["timeout_ms"] = LONG_TIMEOUT_MS.into();
    routes.extend((0..count).map(|n| {
        let id = xxhash_rust::xxh3::xxh3_64(&n.to_be_bytes());
        let (name, prefix) = (format!("r-{id:x}"), format!("/{id:x}/"));
        route(&name, &prefix, "safe", "desk", 2, false)
    }));
    serde_json::json!({
        "version": version,
        "routes": routes,
        "services": [
            {"name": "desk", "health_path": "/healthz", "max_conns": 100},
            {"name": "model", "health_path": "/healthz", "max_conns": 100,
             "engine": {"slots": 4, "kv_cap_tokens": 100_000, "stride": 2}},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4096,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "t1", "api_keys": keys, "priority": 1, "unit": "tokens",
                     "plain_tokens": 10, "per_s": per_s, "burst": per_s}],
        "a field of a later release": true,
    })
    .to_string()
}

fn route(
    name: &str,
    prefix: &str,
    kind: &str,
    service: &str,
    attempts: u32,
    can_resume: bool,
) -> serde_json::Value {
    serde_json::json!({
        "name": name, "host": "shop.example", "path_prefix": prefix, "kind": kind,
        "timeout_ms": 3000, "target_latency_ms": 600, "priority": 0, "service": service,
        "attempts": attempts, "public": false, "can_resume": can_resume, "gap_aim_ms": 800,
    })
}

/// A target's record in the registry.
pub fn server_record(service: &str, addr: std::net::SocketAddr, state: &str, seq: u64) -> String {
    versioned_record(service, addr, state, seq, "v1")
}

/// As [`server_record`], with the version of the target's software.
pub fn versioned_record(
    service: &str,
    addr: std::net::SocketAddr,
    state: &str,
    seq: u64,
    version: &str,
) -> String {
    serde_json::json!({
        "service": service, "addr": addr, "zone": "z1", "version": version, "slots": 4,
        "state": state, "cold_left_ms": 0, "seq": seq, "born": 1,
    })
    .to_string()
}

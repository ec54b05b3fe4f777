//! Invalid calls get a response that names the field, and never run.

use crate::helper::{addresses, post, start_cluster};
use rwd_lab::Cluster;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

#[tokio::test(flavor = "multi_thread")]
async fn invalid_calls_are_refused_with_the_field_and_never_run() {
    let cluster = start_cluster().await;
    let node = cluster.nodes[0].http;
    let auth = format!("Bearer {}", Cluster::workspace_key("festival"));
    let other = format!("Bearer {}", Cluster::workspace_key("oldtown"));
    let good = json!({ "model": "assistant", "prompt": "hello", "max_tokens": 2 }).to_string();
    let prefix = addresses(node, "harju-a").await["key_prefix"]
        .as_str()
        .unwrap()
        .to_owned();
    let key = format!("{prefix}.1");
    let mut forged = key.clone();
    forged.replace_range(0..2, "n9");
    let completions = "/v1/completions";
    let body = |change: serde_json::Value| {
        let mut body = json!({ "model": "assistant", "prompt": "hello", "max_tokens": 2 });
        for (name, value) in change.as_object().unwrap() {
            body[name] = value.clone();
        }
        body.to_string()
    };
    let long = "x".repeat(80_000);
    let huge = "x".repeat(2 << 20);
    let auth_header = ("authorization", auth.as_str());
    type Case<'a> = (
        &'a str,
        &'a str,
        Vec<(&'a str, &'a str)>,
        String,
        u16,
        &'a str,
    );
    let cases: Vec<Case> = vec![
        (
            "broken JSON",
            completions,
            vec![auth_header],
            "{\"model\":".into(),
            400,
            "field `",
        ),
        (
            "wrong type",
            completions,
            vec![auth_header],
            body(json!({ "prompt": 7 })),
            400,
            "field `prompt`",
        ),
        (
            "no prompt",
            completions,
            vec![auth_header],
            json!({ "model": "assistant" }).to_string(),
            400,
            "prompt",
        ),
        (
            "unknown model",
            completions,
            vec![auth_header],
            body(json!({ "model": "poet" })),
            404,
            "field `model`",
        ),
        (
            "bad model name",
            completions,
            vec![auth_header],
            body(json!({ "model": "a/b" })),
            404,
            "field `model`",
        ),
        (
            "oversize prompt",
            completions,
            vec![auth_header],
            body(json!({ "prompt": long })),
            413,
            "field `prompt`",
        ),
        (
            "oversize output",
            completions,
            vec![auth_header],
            body(json!({ "max_tokens": 99999 })),
            413,
            "field `max_tokens`",
        ),
        (
            "no output",
            completions,
            vec![auth_header],
            body(json!({ "max_tokens": 0 })),
            400,
            "field `max_tokens`",
        ),
        (
            "oversize body",
            completions,
            vec![auth_header],
            huge,
            413,
            "body",
        ),
        (
            "no key",
            completions,
            vec![],
            good.clone(),
            401,
            "authorization",
        ),
        (
            "unknown key",
            completions,
            vec![("authorization", "Bearer nobody")],
            good.clone(),
            401,
            "authorization",
        ),
        (
            "unknown tier",
            completions,
            vec![auth_header, ("x-tier", "king")],
            good.clone(),
            400,
            "x-tier",
        ),
        (
            "no deadline",
            completions,
            vec![auth_header, ("x-deadline-ms", "0")],
            good.clone(),
            400,
            "x-deadline-ms",
        ),
        (
            "absurd deadline",
            completions,
            vec![auth_header, ("x-deadline-ms", "99999999999")],
            good.clone(),
            400,
            "x-deadline-ms",
        ),
        (
            "negative deadline",
            completions,
            vec![auth_header, ("x-deadline-ms", "-5")],
            good.clone(),
            400,
            "x-deadline-ms",
        ),
        (
            "deadline too short",
            completions,
            vec![auth_header, ("x-deadline-ms", "1")],
            good.clone(),
            504,
            "deadline",
        ),
        (
            "not a key",
            completions,
            vec![auth_header, ("idempotency-key", "abc")],
            good.clone(),
            400,
            "idempotency-key",
        ),
        (
            "unknown prefix",
            completions,
            vec![auth_header, ("idempotency-key", &forged)],
            good.clone(),
            403,
            "idempotency-key",
        ),
        (
            "key of another workspace",
            completions,
            vec![("authorization", other.as_str()), ("idempotency-key", &key)],
            good.clone(),
            403,
            "idempotency-key",
        ),
        (
            "bad last event",
            completions,
            vec![auth_header, ("last-event-id", "x")],
            good.clone(),
            400,
            "last-event-id",
        ),
        (
            "unknown service",
            "/v1/services/bank/pay",
            vec![auth_header],
            "{}".into(),
            404,
            "service",
        ),
        (
            "invalid x-idempotent",
            "/v1/services/booking/confirm",
            vec![auth_header, ("x-idempotent", "maybe")],
            "{}".into(),
            400,
            "x-idempotent",
        ),
        (
            "unknown path",
            "/v1/poems",
            vec![auth_header],
            "{}".into(),
            404,
            "path",
        ),
    ];
    for (name, path, headers, body, status, detail) in cases {
        let response = post(node, path, &headers, &body).await;
        assert_eq!(
            (response.status, response.ran()),
            (status, "no"),
            "{name}: {:?}",
            response.body
        );
        assert!(
            response.detail().contains(detail),
            "{name}: {:?}",
            response.body
        );
    }
    assert!(cluster.ledger.all().is_empty(), "nothing ran");
    // The node still serves valid calls.
    let response = post(node, completions, &[auth_header], &good).await;
    assert_eq!(response.status, 200);
    assert_eq!(cluster.ledger.all().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idempotency_key_is_valid_for_one_request_only() {
    let cluster = start_cluster().await;
    let node = cluster.nodes[0].http;
    let auth = format!("Bearer {}", Cluster::workspace_key("festival"));
    let prefix = addresses(node, "harju-a").await["key_prefix"]
        .as_str()
        .unwrap()
        .to_owned();
    let key = format!("{prefix}.1");
    let headers = [
        ("authorization", auth.as_str()),
        ("idempotency-key", key.as_str()),
    ];
    let body = |prompt: &str| {
        json!({ "model": "assistant", "prompt": prompt, "max_tokens": 2, "lab_tag": "t" })
            .to_string()
    };
    let first = post(node, "/v1/completions", &headers, &body("one")).await;
    let retry = post(node, "/v1/completions", &headers, &body("one")).await;
    let other = post(node, "/v1/completions", &headers, &body("two")).await;
    assert_eq!((first.status, retry.status, other.status), (200, 200, 409));
    assert_eq!(first.body["choices"], retry.body["choices"]);
    assert_eq!(other.ran(), "no");
    assert_eq!(
        cluster.ledger.counts().into_values().collect::<Vec<_>>(),
        [1]
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn half_sent_bodies_and_garbage_close_only_their_own_connection() {
    let cluster = start_cluster().await;
    let node = cluster.nodes[0].http;
    for bytes in [
        &b"POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\n{\"mod"[..],
        b"\x00\xff\x00\xff garbage \r\n\r\n",
        b"GET /v1/addresses HTTP/1.1\r\n",
    ] {
        let mut tcp = TcpStream::connect(node).await.unwrap();
        tcp.write_all(bytes).await.unwrap();
        tcp.shutdown().await.unwrap();
        let mut response = Vec::new();
        // The response, if there is one, must be a refusal.
        let _ = tcp.read_to_end(&mut response).await;
        assert!(!response.starts_with(b"HTTP/1.1 2"), "{bytes:?}");
    }
    assert!(cluster.ledger.all().is_empty());
    assert!(addresses(node, "harju-a").await["key_prefix"].is_string());
}

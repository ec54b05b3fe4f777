//! Requests that must be refused without reaching a target.

use crate::helper::{KEY, TestCluster, get, post};
use bytes::Bytes;
use rwd_lab::site::{Call, call};

#[tokio::test]
async fn invalid_requests_reach_no_target() {
    let cluster = TestCluster::start(1, 1, 1).await;
    let mut large = post("/unsafe/a", "x");
    large.body = Bytes::from(vec![b'x'; 5000]);
    let cases = [
        (Call::new("GET", "/safe/a", "x", "nobody"), 401),
        (get("/nowhere/a", "x"), 404),
        (get("/safe", "x"), 404),
        (get("/safe/a", "x").header("host", "other.example"), 404),
        (get("/safe/a", "x").header("token-count", "many"), 400),
        (get("/safe/a", "x").header("token-count", "1"), 400),
        (get("/safe/a", "x").header("prompt-prefix", "zz:1"), 400),
        (get("/safe/a", "x").header("prompt-prefix", "a1"), 400),
        (get("/safe/a", "x").header("last-event-id", "last"), 400),
        (large, 413),
    ];
    for (request, status) in cases {
        let result = cluster.call(&request).await;
        assert_eq!(
            result.status.map(|s| s.as_u16()),
            Some(status),
            "{request:?}"
        );
    }
    assert!(cluster.desk_targets[0].arrivals().is_empty());
    assert!(cluster.model_targets[0].arrivals().is_empty());
}

#[tokio::test]
async fn a_smuggled_request_reaches_no_target() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let cluster = TestCluster::start(1, 1, 1).await;
    let inner = format!(
        "GET /safe/inner HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: inner\r\n\
         Authorization: Bearer {KEY}\r\n\r\n"
    );
    let body = format!("0\r\n\r\n{inner}");
    let outer = format!(
        "POST /unsafe/a HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: outer\r\n\
         Authorization: Bearer {KEY}\r\nContent-Length: {}\r\n\
         Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    let mut tcp = tokio::net::TcpStream::connect(cluster.request_addr(0))
        .await
        .unwrap();
    tcp.write_all(outer.as_bytes()).await.unwrap();
    let mut response = Vec::new();
    // The gateway may reset the connection after it has refused the request.
    let _ = tcp.read_to_end(&mut response).await;
    assert_eq!(cluster.runs("inner"), 0);
}

#[tokio::test]
async fn over_quota_requests_are_refused_and_do_not_run() {
    let cluster = TestCluster::start(1, 1, 1).await;
    cluster.put_config(2, &[KEY], 100);
    cluster.nodes[0].await_config(2).await;
    let mut refused = 0;
    for n in 0..40 {
        let request = get("/safe/a", &format!("q{n}")).header("token-count", "40,10");
        let result = call(cluster.request_addr(0), &request).await.unwrap();
        if result.status.map(|s| s.as_u16()) == Some(429) {
            assert!(result.headers.contains_key("retry-after"));
            assert_eq!(cluster.runs(&format!("q{n}")), 0);
            refused += 1;
        }
    }
    assert!(refused > 0, "2,000 units passed a quota of 100 a second");
}

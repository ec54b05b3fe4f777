//! Authentication on the peer port: clients without the shared secret are rejected.

mod helper;

use helper::{TIMEOUT, links, listen};
use rwd_peer::{Exchange, Handler, Links};
use rwd_types::InstanceName;
use rwd_wire::Message;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

#[derive(Default)]
struct Echo {
    handled: AtomicU64,
}

impl Handler for Echo {
    async fn handle(&self, _from: InstanceName, first: Message, mut ex: Exchange) {
        self.handled.fetch_add(1, Ordering::Relaxed);
        ex.send_last(&first).await.unwrap();
    }
}

async fn server(secret: &str) -> (SocketAddr, Arc<Echo>) {
    let echo = Arc::new(Echo::default());
    (listen(secret, echo.clone()).await, echo)
}

#[tokio::test]
async fn a_peer_with_the_secret_gets_a_reply() {
    let (address, echo) = server("the right secret").await;
    let links = links("the right secret", address);
    let request = Message::Data(vec![7; 300_000]);
    let reply = links
        .ask(&"b".parse().unwrap(), &request, TIMEOUT)
        .await
        .unwrap();
    assert_eq!(reply, request);
    assert_eq!(echo.handled.load(Ordering::Relaxed), 1);
}

#[tokio::test]
async fn a_peer_with_another_secret_is_rejected() {
    let (address, echo) = server("the right secret").await;
    let links = links("a wrong secret", address);
    assert!(
        links
            .ask(&"b".parse().unwrap(), &Message::Welcome, TIMEOUT)
            .await
            .is_err()
    );
    assert_eq!(echo.handled.load(Ordering::Relaxed), 0);
}

#[tokio::test]
async fn connections_that_send_garbage_are_closed_and_peers_still_served() {
    let (address, echo) = server("the right secret").await;
    for garbage in [
        &b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"[..],
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff",
        &[0; 4096],
        b"PRI * HTTP/2.0\r\n",
    ] {
        let mut tcp = TcpStream::connect(address).await.unwrap();
        tcp.write_all(garbage).await.unwrap();
        let mut reply = Vec::new();
        // The server closes the connection, possibly after an HTTP/2 GOAWAY frame.
        let _ = tokio::time::timeout(TIMEOUT, tcp.read_to_end(&mut reply))
            .await
            .expect("closed");
    }
    assert_eq!(echo.handled.load(Ordering::Relaxed), 0);
    let links = links("the right secret", address);
    assert!(
        links
            .ask(&"b".parse().unwrap(), &Message::Welcome, TIMEOUT)
            .await
            .is_ok()
    );
}

#[tokio::test]
async fn a_link_is_reused_and_a_refused_connection_is_reported() {
    let (address, _) = server("the right secret").await;
    let links = links("the right secret", address);
    let to = "b".parse().unwrap();
    for _ in 0..3 {
        assert!(links.ask(&to, &Message::Welcome, TIMEOUT).await.is_ok());
    }
    let refused = links_to_closed_port().await;
    let e = refused
        .ask(&to, &Message::Welcome, TIMEOUT)
        .await
        .unwrap_err();
    assert!(e.is_refused());
}

async fn links_to_closed_port() -> Links {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    links("the right secret", listener.local_addr().unwrap())
}

// A client that ignores the server's proof and sends a forged one.
#[tokio::test]
async fn a_forged_proof_is_rejected() {
    let (address, echo) = server("the right secret").await;
    let tcp = TcpStream::connect(address).await.unwrap();
    let (mut tx, connection) = h2::client::handshake(tcp).await.unwrap();
    let connection = tokio::spawn(connection);
    let req = || http::Request::post("http://p/").body(()).unwrap();
    let (response, mut body) = tx.send_request(req(), false).unwrap();
    let hello = rwd_wire::Hello {
        version: rwd_wire::VERSION,
        from: "a".parse().unwrap(),
        nonce: [7; rwd_wire::NONCE_BYTES],
    };
    body.send_data(rwd_wire::encode(&Message::Hello(hello)).unwrap(), false)
        .unwrap();
    let mut reply = response.await.unwrap().into_body();
    let challenge = reply.data().await.unwrap().unwrap();
    assert!(matches!(
        rwd_wire::decode(&challenge[4..]),
        Ok(Message::Challenge { .. })
    ));
    let proof = rwd_wire::encode(&Message::Proof { proof: [9; 32] }).unwrap();
    body.send_data(proof, true).unwrap();
    // The server closes the connection without another message.
    assert!(!matches!(reply.data().await, Some(Ok(_))));
    let _ = tokio::time::timeout(TIMEOUT, connection)
        .await
        .expect("closed");
    assert_eq!(echo.handled.load(Ordering::Relaxed), 0);
}

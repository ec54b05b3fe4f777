//! Callers that send each request on a new connection.

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

/// One request.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: &'static str,
    /// Path and query.
    pub path: String,
    /// Headers; `call` adds `host` if it is missing.
    pub headers: Vec<(&'static str, String)>,
    /// Request body.
    pub body: Bytes,
}

impl Call {
    /// A request with an ID, a key and a deadline of three seconds.
    pub fn new(method: &'static str, path: &str, id: &str, key: &str) -> Self {
        Self {
            method,
            path: path.to_owned(),
            headers: vec![
                ("request-id", id.to_owned()),
                ("authorization", format!("Bearer {key}")),
                ("deadline-ms", "3000".to_owned()),
            ],
            body: Bytes::new(),
        }
    }

    /// Adds a header.
    pub fn header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.to_owned()));
        self
    }

    /// The request with this body.
    pub fn with_body(self, body: &str) -> Self {
        let body = Bytes::from(body.to_owned());
        Self { body, ..self }
    }
}

/// What the caller received.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// Status; `None` if the connection ended before it.
    pub status: Option<StatusCode>,
    /// Response headers.
    pub headers: HeaderMap,
    /// The part of the body that was received.
    pub body: Bytes,
    /// Whether the body was received completely.
    pub complete: bool,
}

/// Sends a request and reads its response.
///
/// # Errors
///
/// Returns an error if no connection can be opened.
pub async fn call(to: SocketAddr, call: &Call) -> std::io::Result<CallResult> {
    let tcp = TcpStream::connect(to).await?;
    let failed = |e: hyper::Error| std::io::Error::other(e);
    let (mut tx, connection) = handshake(TokioIo::new(tcp)).await.map_err(failed)?;
    let task = tokio::spawn(connection);
    let mut req = Request::builder().method(call.method).uri(&call.path);
    if !call.headers.iter().any(|(name, _)| *name == "host") {
        req = req.header("host", "shop.example");
    }
    for (name, value) in &call.headers {
        req = req.header(*name, value);
    }
    let req = req
        .body(Full::new(call.body.clone()))
        .map_err(std::io::Error::other)?;
    let mut result = CallResult {
        status: None,
        headers: HeaderMap::new(),
        body: Bytes::new(),
        complete: false,
    };
    if let Ok(response) = tx.send_request(req).await {
        let (parts, mut body) = response.into_parts();
        result.status = Some(parts.status);
        result.headers = parts.headers;
        let mut buf = BytesMut::new();
        result.complete = loop {
            match body.frame().await {
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        buf.extend_from_slice(data);
                    }
                }
                Some(Err(_)) => break false,
                None => break true,
            }
        };
        result.body = buf.freeze();
    }
    task.abort();
    Ok(result)
}

/// Receive buffer of a caller that reads late, in bytes.
const LATE_BUFFER_BYTES: u32 = 16 << 10;

/// A caller that reads the head of its response, and the body only when told to.
pub struct LateReader {
    tcp: TcpStream,
    received: BytesMut,
}

impl LateReader {
    /// Sends a request without a body and reads until the end of the response's head.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or ends before that.
    pub async fn open(to: SocketAddr, call: &Call) -> std::io::Result<Self> {
        Self::send_part(to, call, 0, 0).await
    }

    /// Sends `sent` bytes of a body of `length` bytes, no more, and reads until the end of the response's head.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or ends before that.
    pub async fn send_part(
        to: SocketAddr,
        call: &Call,
        length: usize,
        sent: usize,
    ) -> std::io::Result<Self> {
        let socket = match to {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_recv_buffer_size(LATE_BUFFER_BYTES)?;
        let mut tcp = socket.connect(to).await?;
        let mut head = format!("{} {} HTTP/1.1\r\n", call.method, call.path);
        head += "host: shop.example\r\nconnection: close\r\n";
        head += &format!("content-length: {length}\r\n");
        for (name, value) in &call.headers {
            head += &format!("{name}: {value}\r\n");
        }
        tcp.write_all((head + "\r\n").as_bytes()).await?;
        tcp.write_all(&vec![b'x'; sent]).await?;
        let mut received = BytesMut::new();
        while head_end(&received).is_none() {
            if tcp.read_buf(&mut received).await? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(Self { tcp, received })
    }

    /// The status line of the response.
    pub fn status(&self) -> String {
        let line = self.received[..].split(|b| *b == b'\r').next();
        String::from_utf8_lossy(line.unwrap_or_default()).into_owned()
    }

    /// Reads some bytes of the body, at most so many; returns how many, none if the connection has ended.
    pub async fn read_up_to(&mut self, max: usize) -> usize {
        let mut buf = vec![0; max];
        // An error ends the response as well.
        let n = self.tcp.read(&mut buf).await.unwrap_or(0);
        self.received.extend_from_slice(&buf[..n]);
        n
    }

    /// Reads until the connection ends; the body with its chunk framing, and whether it is complete.
    pub async fn finish(mut self) -> (Bytes, bool) {
        // An error ends the response as well.
        while matches!(self.tcp.read_buf(&mut self.received).await, Ok(n) if n > 0) {}
        let body = head_end(&self.received).unwrap_or(self.received.len());
        let body = self.received.split_off(body).freeze();
        let complete = body.ends_with(b"\r\n0\r\n\r\n");
        (body, complete)
    }
}

fn head_end(bytes: &[u8]) -> Option<usize> {
    let at = bytes.windows(4).position(|w| w == b"\r\n\r\n");
    at.map(|at| at + 4)
}

//! Stand-in for a requester.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use crate::http::{Conn, Head};

pub const HOST: &str = "ficu95.example";

/// A request as a requester sends it.
pub struct Ask<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub key: &'a str,
    pub deadline_ms: u32,
    /// `Token-Count`, on routes to model runners.
    pub tokens: Option<(u32, u32)>,
    pub body: &'a [u8],
}

impl Ask<'_> {
    pub fn head(&self) -> String {
        let Self {
            method,
            path,
            id,
            key,
            deadline_ms,
            ..
        } = self;
        let mut head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {key}\r\n"
        );
        if let Some((prompt, output)) = self.tokens {
            head.push_str(&format!(
                "Model: m\r\nToken-Count: {prompt},{output}\r\nPrompt-Prefix: 5c1e07a2:60,{id}:{}\r\n",
                prompt - 60
            ));
        }
        if *method != "GET" {
            head.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        head + "\r\n"
    }

    pub fn send(&self, conn: &mut Conn) -> io::Result<()> {
        let mut bytes = self.head().into_bytes();
        bytes.extend_from_slice(self.body);
        conn.send(&bytes)
    }
}

/// Waits for the whole answer.
pub fn receive(conn: &mut Conn) -> io::Result<(Head, Vec<u8>)> {
    let head = conn.read_head()?;
    let closed = || io::Error::new(io::ErrorKind::UnexpectedEof, "closed without an answer");
    let head = head.ok_or_else(closed)?;
    let body = conn.read_body(&head)?;
    Ok((head, body))
}

/// What a requester knows of the addresses that it may use.
pub struct Addresses {
    directory: Vec<SocketAddr>,
    zone: &'static str,
    /// How many times `ttl_s` it keeps an answer.
    keeps: f64,
    known: Vec<SocketAddr>,
    until: f64,
}

impl Addresses {
    pub fn new(directory: Vec<SocketAddr>, zone: &'static str, keeps: f64) -> Self {
        let (known, until) = (Vec::new(), 0.0);
        Self {
            directory,
            zone,
            keeps,
            known,
            until,
        }
    }

    /// The addresses that it may use at `now` (in ms); it asks anew when its last answer is too old, and keeps that
    /// if it gets no other.
    pub fn at(&mut self, now: f64) -> &[SocketAddr] {
        if now >= self.until {
            // Three of those that answer such questions, nearest first.
            for n in 0..self.directory.len().min(3) {
                if let Some((known, ttl_s)) = self.ask(self.directory[n]) {
                    self.known = known;
                    self.until = now + ttl_s * 1000.0 * self.keeps;
                    break;
                }
            }
        }
        &self.known
    }

    // None if the answer has no addresses.
    fn ask(&self, directory: SocketAddr) -> Option<(Vec<SocketAddr>, f64)> {
        let mut conn = Conn::connect(directory).ok()?;
        conn.stream
            .set_read_timeout(Some(Duration::from_secs(1)))
            .ok()?;
        let zone = self.zone;
        let ask = format!(
            "GET /api/lookup?name={HOST}&region=viti-west&zone={zone} HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n"
        );
        conn.send(ask.as_bytes()).ok()?;
        let (head, body) = receive(&mut conn).ok()?;
        let text = String::from_utf8(body).ok()?;
        let addrs = text.split_once('[')?.1.split_once(']')?.0;
        let addrs = addrs
            .split(',')
            .filter_map(|a| a.trim().trim_matches('"').parse().ok());
        let addrs: Vec<_> = addrs.collect();
        let ttl = text.split_once("\"ttl_s\":")?.1;
        let ttl = ttl
            .trim_end_matches(|c: char| !c.is_ascii_digit())
            .split([',', '}'])
            .next()?;
        (head.status() == 200 && !addrs.is_empty()).then_some((addrs, ttl.trim().parse().ok()?))
    }
}

//! Just enough HTTP/1.1 for the stand-ins: heads, bodies with a length or in chunks.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request's or a response's head.
#[derive(Clone, Debug)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter();
        let found = found.find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    /// Method and path of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.first.split(' ');
        let method = words.next().unwrap_or("");
        (method, words.next().unwrap_or(""))
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        let word = self.first.split(' ').nth(1);
        word.and_then(|w| w.parse().ok()).unwrap_or(0)
    }

    pub fn closes(&self) -> bool {
        self.header("connection")
            .is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }
}

/// A connection with what has been read of it and not used yet.
pub struct Conn {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

fn broken(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, what.to_owned())
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        let buf = Vec::new();
        Self { stream, buf }
    }

    pub fn connect(to: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        Ok(Self::new(stream))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut piece = [0u8; 16384];
        let n = self.stream.read(&mut piece)?;
        self.buf.extend_from_slice(&piece[..n]);
        Ok(n)
    }

    /// The next head; none if the peer has closed the channel before it.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        let end = loop {
            if let Some(n) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                break n;
            }
            if self.fill()? == 0 {
                return match self.buf.is_empty() {
                    true => Ok(None),
                    false => Err(broken("closed within a head")),
                };
            }
        };
        let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        self.buf.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or("").to_owned();
        let headers = lines.filter_map(|l| l.split_once(':'));
        let headers = headers.map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()));
        let headers = headers.collect();
        Ok(Some(Head { first, headers }))
    }

    fn take(&mut self, n: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < n {
            if self.fill()? == 0 {
                return Err(broken("closed within a body"));
            }
        }
        Ok(self.buf.drain(..n).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(n) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..n]).into_owned();
                self.buf.drain(..n + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(broken("closed within a chunk's length"));
            }
        }
    }

    /// The body that follows a head; fails if it is not complete.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if let Some(n) = head.header("content-length") {
            return self.take(n.parse().map_err(|_| broken("bad length"))?);
        }
        let mut body = Vec::new();
        if head.header("transfer-encoding").is_some() {
            loop {
                let n = usize::from_str_radix(self.line()?.trim(), 16);
                let n = n.map_err(|_| broken("bad chunk"))?;
                body.extend(self.take(n)?);
                self.line()?;
                if n == 0 {
                    break;
                }
            }
        }
        Ok(body)
    }

    /// Reads a body of known length at `per_s` bytes a second. Returns how much of it came.
    pub fn read_slowly(&mut self, len: usize, per_s: f64) -> (usize, io::Result<()>) {
        let started = std::time::Instant::now();
        let mut got = self.buf.len().min(len);
        self.buf.clear();
        let mut piece = vec![0u8; 8192];
        while got < len {
            let due = got as f64 / per_s;
            let ahead = due - started.elapsed().as_secs_f64();
            if ahead > 0.0 {
                std::thread::sleep(Duration::from_secs_f64(ahead));
            }
            match self.stream.read(&mut piece) {
                Ok(0) => return (got, Err(broken("closed within a body"))),
                Ok(n) => got += n,
                Err(e) => return (got, Err(e)),
            }
        }
        (got, Ok(()))
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Whether the peer has closed the channel; what it sends is kept.
    pub fn is_closed(&mut self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let result = self.fill();
        let _ = self.stream.set_nonblocking(false);
        match result {
            Ok(n) => n == 0,
            Err(e) => e.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

/// A response with a length, as bytes.
pub fn response(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

//! Stand-in for a requester.

use std::io;

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

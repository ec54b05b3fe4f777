//! Splits a stream's body into complete events.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Largest event that is relayed, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One event as received, with the blank line that ends it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// The event's id, if it has one.
    pub id: Option<u64>,
    /// The event's bytes.
    pub raw: Bytes,
}

/// Buffers bytes until they form complete events.
#[derive(Debug, Default)]
pub struct EventBuffer {
    buf: BytesMut,
    // Length of the prefix that is known to contain no end of an event.
    searched: usize,
}

impl EventBuffer {
    /// Adds bytes.
    pub fn extend(&mut self, data: &[u8]) {
        self.buf.extend_from_slice(data);
    }

    /// Removes the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let from = self.searched.saturating_sub(3);
        let Some(end) = find_end(&self.buf[from..]) else {
            self.searched = self.buf.len();
            return None;
        };
        let raw = self.buf.split_to(from + end).freeze();
        self.searched = 0;
        let id = event_id(&raw);
        Some(Event { id, raw })
    }

    /// Whether the buffered bytes exceed the size limit of an event.
    pub fn is_oversized(&self) -> bool {
        self.buf.len() > MAX_EVENT_BYTES
    }

    /// Whether no bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }
}

// The position after the blank line that ends an event.
fn find_end(buf: &[u8]) -> Option<usize> {
    let mut at = 0;
    while let Some(n) = buf[at..].iter().position(|b| *b == b'\n') {
        let next = at + n + 1;
        match buf[next..] {
            [b'\n', ..] => return Some(next + 1),
            [b'\r', b'\n', ..] => return Some(next + 2),
            _ => at = next,
        }
    }
    None
}

fn event_id(raw: &[u8]) -> Option<u64> {
    let mut lines = raw.split(|b| *b == b'\n');
    let id = lines.find_map(|l| l.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}

/// The next item of a stream.
#[derive(Debug)]
pub(crate) enum Next {
    /// A complete event.
    Event(Event),
    /// The target completed the stream.
    End,
    /// The stream broke, or ended within an event.
    Broken,
}

/// Reads events from a target's response.
pub(crate) struct EventReader {
    body: Incoming,
    buffer: EventBuffer,
}

impl EventReader {
    pub fn new(body: Incoming) -> Self {
        Self {
            body,
            buffer: EventBuffer::default(),
        }
    }

    /// Waits for the next event. Cancel safe.
    pub async fn next(&mut self) -> Next {
        loop {
            if let Some(event) = self.buffer.next_event() {
                return Next::Event(event);
            }
            if self.buffer.is_oversized() {
                return Next::Broken;
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend(&data);
                    }
                }
                Some(Err(_)) => return Next::Broken,
                None if self.buffer.is_empty() => return Next::End,
                None => return Next::Broken,
            }
        }
    }
}

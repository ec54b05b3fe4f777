//! Splits a stream's body into events and rejects bytes that are none.

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::response;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::buffers::{OverBudget, Reservation};

/// Largest event that is relayed, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Why the bytes of a stream are not the next event.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum EventError {
    /// A line is not a field.
    #[display("line {line} of an event is not a field")]
    Line {
        /// Its number within the event, from 1.
        line: usize,
    },
    /// An id is not a number, or is the second one of its event.
    #[display("line {line} of an event is not its id")]
    Id {
        /// Its number within the event, from 1.
        line: usize,
    },
    /// An event ends without an id.
    #[display("an event has no id")]
    NoId,
    /// An event exceeds the size limit.
    #[display("an event exceeds the size limit")]
    TooLarge,
    /// The ids of two events are not consecutive.
    #[display("event {id} follows event {after}")]
    Order {
        /// The id before it.
        after: u64,
        /// Its id.
        id: u64,
    },
}

/// The result of reading an event.
pub type Result<T> = std::result::Result<T, EventError>;

/// One event as received, with the blank line that ends it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// The event's id.
    pub id: u64,
    /// The event's bytes.
    pub raw: Bytes,
}

/// Buffers bytes until they form complete events.
///
/// Lines are checked as they arrive, so bytes that are no event are not collected up to its size limit.
#[derive(Debug, Default)]
pub struct EventBuffer {
    buf: BytesMut,
    // Length of the prefix that consists of lines that have been checked.
    checked: usize,
    // Length of the prefix that is known to contain no further end of a line.
    searched: usize,
    // Number of lines checked.
    lines: usize,
    id: Option<u64>,
}

impl EventBuffer {
    /// Adds bytes.
    pub fn extend(&mut self, data: &[u8]) {
        self.buf.extend_from_slice(data);
    }

    /// Removes the next event; `None` if it is not complete.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are no event. What follows them cannot be trusted either.
    pub fn next_event(&mut self) -> Result<Option<Event>> {
        while let Some(n) = self.buf[self.searched..].iter().position(|b| *b == b'\n') {
            let end = self.searched + n;
            let line = &self.buf[self.checked..end];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            self.checked = end + 1;
            self.searched = end + 1;
            self.lines += 1;
            match (parse_line(line, self.lines)?, self.id) {
                (Line::Blank, Some(id)) => {
                    let raw = self.buf.split_to(self.checked).freeze();
                    *self = Self {
                        buf: std::mem::take(&mut self.buf),
                        ..Self::default()
                    };
                    return Ok(Some(Event { id, raw }));
                }
                (Line::Blank, None) => return Err(EventError::NoId),
                (Line::Id(id), None) => self.id = Some(id),
                (Line::Id(_), Some(_)) => return Err(EventError::Id { line: self.lines }),
                (Line::Field, _) => (),
            }
        }
        self.searched = self.buf.len();
        match self.buf.len() > MAX_EVENT_BYTES {
            true => Err(EventError::TooLarge),
            false => Ok(None),
        }
    }

    /// Number of buffered bytes.
    pub fn len(&self) -> usize {
        self.buf.len()
    }

    /// Whether no bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }
}

enum Line {
    Blank,
    Id(u64),
    Field,
}

// Parses a line `name: value`; a comment has no name.
fn parse_line(line: &[u8], number: usize) -> Result<Line> {
    if line.is_empty() {
        return Ok(Line::Blank);
    }
    let invalid = EventError::Line { line: number };
    let text = std::str::from_utf8(line).map_err(|_| invalid)?;
    let (name, value) = text.split_once(':').ok_or(invalid)?;
    let is_name = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    match name {
        "id" => {
            let id = value.trim().parse();
            id.map(Line::Id)
                .map_err(|_| EventError::Id { line: number })
        }
        _ if name.chars().all(is_name) => Ok(Line::Field),
        _ => Err(invalid),
    }
}

/// Why a stream ended without being complete.
#[derive(Debug, Display)]
pub(crate) enum StreamError {
    /// The target sent bytes that are not the next event.
    #[display("{_0}")]
    Malformed(EventError),
    /// The stream ended within an event.
    #[display("ended within an event")]
    Truncated,
    /// The connection ended before any event of a response without a length.
    #[display("ended before an event")]
    Empty,
    /// The node may not buffer as much of it.
    #[display("{_0}")]
    TooLarge(OverBudget),
    /// The connection failed.
    #[display("{_0}")]
    Connection(hyper::Error),
}

/// The next item of a stream.
#[derive(Debug)]
pub(crate) enum Next {
    /// A complete event, which the caller does not have yet.
    Event(Event),
    /// The target completed the stream.
    End,
    /// The stream broke.
    Broken(StreamError),
}

/// Reads events from a target's response.
pub(crate) struct EventReader {
    body: Incoming,
    // Whether the head says where the body ends; otherwise it ends with the connection.
    framed: bool,
    buffer: EventBuffer,
    reservation: Reservation,
    // The last event that the caller has.
    last: Option<u64>,
    // The last event of this response.
    previous: Option<u64>,
}

impl EventReader {
    /// Reads the events of a response that follow `last`.
    pub fn new(
        head: &response::Parts,
        body: Incoming,
        last: Option<u64>,
        reservation: Reservation,
    ) -> Self {
        let h = &head.headers;
        Self {
            body,
            framed: h.contains_key(CONTENT_LENGTH) || h.contains_key(TRANSFER_ENCODING),
            buffer: EventBuffer::default(),
            reservation,
            last,
            previous: None,
        }
    }

    /// Waits for the next event. Cancel safe.
    pub async fn next(&mut self) -> Next {
        loop {
            match self.next_buffered() {
                Ok(Some(event)) => return Next::Event(event),
                Ok(None) => (),
                Err(e) => return Next::Broken(StreamError::Malformed(e)),
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        let bytes = self.buffer.len() + data.len();
                        if let Err(e) = self.reservation.resize(bytes) {
                            return Next::Broken(StreamError::TooLarge(e));
                        }
                        self.buffer.extend(&data);
                    }
                }
                Some(Err(e)) => return Next::Broken(StreamError::Connection(e)),
                None if !self.buffer.is_empty() => return Next::Broken(StreamError::Truncated),
                None if !self.framed && self.previous.is_none() => {
                    return Next::Broken(StreamError::Empty);
                }
                None => return Next::End,
            }
        }
    }

    fn next_buffered(&mut self) -> Result<Option<Event>> {
        while let Some(event) = self.buffer.next_event()? {
            let id = event.id;
            match (self.previous, self.last) {
                (Some(after), _) if after.checked_add(1) != Some(id) => {
                    return Err(EventError::Order { after, id });
                }
                // A target that resumes a stream may start with events that the caller already has.
                (_, Some(last)) if id <= last => self.previous = Some(id),
                (None, Some(after)) if after.checked_add(1) != Some(id) => {
                    return Err(EventError::Order { after, id });
                }
                _ => {
                    self.previous = Some(id);
                    self.last = Some(id);
                    return Ok(Some(event));
                }
            }
        }
        Ok(None)
    }
}

//! Incremental parser of server-sent events with bounded memory.

use crate::{Error, Result};
use bytes::{Buf, BytesMut};
use compact_str::ToCompactString;

/// Maximum length of a line and of an event's data, in bytes.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// One server-sent event.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SseEvent {
    /// The event's numeric ID, if it has one.
    pub id: Option<u64>,
    /// The event's name; empty for unnamed events.
    pub event: String,
    /// The event's data, its lines joined by line feeds.
    pub data: String,
}

/// An incremental parser of server-sent events.
#[derive(Debug, Default)]
pub struct SseParser {
    buf: BytesMut,
    pending: SseEvent,
    has_data: bool,
}

impl SseParser {
    /// Appends received bytes to the buffer.
    pub fn extend(&mut self, data: &[u8]) {
        self.buf.extend_from_slice(data);
    }

    /// Returns the next complete event, if there is one.
    ///
    /// # Errors
    ///
    /// Fails on an event longer than [`MAX_EVENT_BYTES`] or on text that is not UTF-8.
    pub fn next_event(&mut self) -> Result<Option<SseEvent>> {
        while let Some(end) = self.buf.iter().position(|b| *b == b'\n') {
            let mut line = self.buf.split_to(end);
            self.buf.advance(1);
            if line.ends_with(b"\r") {
                line.truncate(line.len() - 1);
            }
            let line = std::str::from_utf8(&line).map_err(|e| protocol_error(&e))?;
            if !line.is_empty() {
                self.parse_field(line)?;
                continue;
            }
            let event = std::mem::take(&mut self.pending);
            if std::mem::take(&mut self.has_data) {
                return Ok(Some(event));
            }
        }
        match self.buf.len() {
            n if n > MAX_EVENT_BYTES => Err(protocol_error(&"event too long")),
            _ => Ok(None),
        }
    }

    fn parse_field(&mut self, line: &str) -> Result<()> {
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match name {
            "data" => {
                if self.has_data {
                    self.pending.data.push('\n');
                }
                self.has_data = true;
                self.pending.data.push_str(value);
            }
            "id" => self.pending.id = value.parse().ok(),
            "event" => self.pending.event = value.to_owned(),
            _ => (),
        }
        match self.pending.data.len() {
            n if n > MAX_EVENT_BYTES => Err(protocol_error(&"event too long")),
            _ => Ok(()),
        }
    }
}

fn protocol_error(message: &impl ToString) -> Error {
    let message = message.to_string().to_compact_string();
    Error::Protocol { message }
}

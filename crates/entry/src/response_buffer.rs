//! The response to one request, buffered at its home node while callers may still resume it.

use bytes::Bytes;
use rwd_types::Problem;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;

/// One event of a response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResponseEvent {
    /// Event number, strictly increasing within a response.
    pub id: u64,
    /// Event data.
    pub data: Bytes,
}

/// How a response ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ResponseEnd {
    /// The response is complete.
    Complete {
        /// HTTP status from the target; relayed for services.
        status: u16,
    },
    /// The response is incomplete.
    Failed(Problem),
}

#[derive(Debug, Default)]
struct State {
    events: Vec<ResponseEvent>,
    bytes: usize,
    end: Option<ResponseEnd>,
}

/// The events of one response, shared by the request's task and its readers.
#[derive(Debug)]
pub struct ResponseBuffer {
    state: Mutex<State>,
    // Incremented on every change of `state`.
    changed: watch::Sender<u64>,
    readers: watch::Sender<usize>,
}

impl Default for ResponseBuffer {
    fn default() -> Self {
        Self {
            state: Mutex::default(),
            changed: watch::Sender::new(0),
            readers: watch::Sender::new(0),
        }
    }
}

impl ResponseBuffer {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Appends an event if its id is above the last one; others are duplicates and are dropped.
    pub fn push(&self, event: ResponseEvent) -> bool {
        let mut state = self.lock();
        if state.end.is_some() || state.events.last().is_some_and(|last| last.id >= event.id) {
            return false;
        }
        state.bytes += event.data.len();
        state.events.push(event);
        drop(state);
        self.changed.send_modify(|n| *n += 1);
        true
    }

    /// Ends the response; only the first call takes effect.
    pub fn end(&self, end: ResponseEnd) {
        self.lock().end.get_or_insert(end);
        self.changed.send_modify(|n| *n += 1);
    }

    /// Id of the last event.
    pub fn last_id(&self) -> Option<u64> {
        self.lock().events.last().map(|e| e.id)
    }

    /// How the response ended, if it has.
    pub fn ended(&self) -> Option<ResponseEnd> {
        self.lock().end.clone()
    }

    /// Total size of the event data.
    pub fn bytes(&self) -> usize {
        self.lock().bytes
    }

    /// Number of readers.
    pub fn readers(&self) -> usize {
        *self.readers.borrow()
    }

    /// Waits until the response has had no reader for `grace`.
    pub async fn abandoned(&self, grace: Duration) {
        let mut readers = self.readers.subscribe();
        loop {
            // The sender lives as long as `self`.
            let _ = readers.wait_for(|n| *n == 0).await;
            tokio::select! {
                () = sleep(grace) => return,
                _ = readers.wait_for(|n| *n > 0) => (),
            }
        }
    }

    /// Returns a reader that starts after event `last`.
    pub fn subscribe(self: &Arc<Self>, last: Option<u64>) -> ResponseReader {
        self.readers.send_modify(|n| *n += 1);
        let state = self.lock();
        let next = last.map_or(0, |last| state.events.partition_point(|e| e.id <= last));
        drop(state);
        ResponseReader {
            changed: self.changed.subscribe(),
            buffer: self.clone(),
            next,
        }
    }
}

/// A reader of a response.
pub struct ResponseReader {
    buffer: Arc<ResponseBuffer>,
    changed: watch::Receiver<u64>,
    next: usize,
}

impl ResponseReader {
    /// Waits for the next event, or returns how the response ended.
    pub async fn next(&mut self) -> Result<ResponseEvent, ResponseEnd> {
        loop {
            self.changed.borrow_and_update();
            {
                let state = self.buffer.lock();
                if let Some(event) = state.events.get(self.next) {
                    self.next += 1;
                    return Ok(event.clone());
                }
                if let Some(end) = &state.end {
                    return Err(end.clone());
                }
            }
            // The sender lives in the buffer that this reader holds.
            let _ = self.changed.changed().await;
        }
    }
}

impl Drop for ResponseReader {
    fn drop(&mut self) {
        self.buffer.readers.send_modify(|n| *n -= 1);
    }
}

//! The answer of one request, kept at its home for as long as callers may ask for it.

use bytes::Bytes;
use rwd_types::Problem;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;

/// One event of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResponseEvent {
    /// Its number; numbers increase.
    pub id: u64,
    /// Its data.
    pub data: Bytes,
}

/// How an answer ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum End {
    /// It is whole; plain services also gave this HTTP status.
    Whole {
        /// HTTP status of the target.
        status: u16,
    },
    /// It is not whole.
    Failed(Problem),
}

#[derive(Debug, Default)]
struct State {
    events: Vec<ResponseEvent>,
    bytes: usize,
    end: Option<End>,
}

/// The events of one answer, shared by the request's task and its readers.
#[derive(Debug)]
pub struct ResponseBuffer {
    state: Mutex<State>,
    // Counts changes of the state.
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

    /// Adds an event; one that is not newer than the last is a repetition and is dropped.
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

    /// Ends the answer; the first end counts.
    pub fn end(&self, end: End) {
        self.lock().end.get_or_insert(end);
        self.changed.send_modify(|n| *n += 1);
    }

    /// The number of the last event.
    pub fn last_id(&self) -> Option<u64> {
        self.lock().events.last().map(|e| e.id)
    }

    /// How it ended, if it has.
    pub fn ended(&self) -> Option<End> {
        self.lock().end.clone()
    }

    /// Bytes held.
    pub fn bytes(&self) -> usize {
        self.lock().bytes
    }

    /// Number of readers.
    pub fn readers(&self) -> usize {
        *self.readers.borrow()
    }

    /// Waits until nobody has read the answer for `grace`.
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

    /// Reads the answer from after event `last` on.
    pub fn subscribe(self: &Arc<Self>, last: Option<u64>) -> ResponseReader {
        self.readers.send_modify(|n| *n += 1);
        let state = self.lock();
        let next = last.map_or(0, |last| state.events.partition_point(|e| e.id <= last));
        drop(state);
        ResponseReader {
            changed: self.changed.subscribe(),
            answer: self.clone(),
            next,
        }
    }
}

/// One reader of an answer.
pub struct ResponseReader {
    answer: Arc<ResponseBuffer>,
    changed: watch::Receiver<u64>,
    next: usize,
}

impl ResponseReader {
    /// The next event, or how the answer ended.
    pub async fn next(&mut self) -> Result<ResponseEvent, End> {
        loop {
            self.changed.borrow_and_update();
            {
                let state = self.answer.lock();
                if let Some(event) = state.events.get(self.next) {
                    self.next += 1;
                    return Ok(event.clone());
                }
                if let Some(end) = &state.end {
                    return Err(end.clone());
                }
            }
            // The sender lives in the answer that this reader holds.
            let _ = self.changed.changed().await;
        }
    }
}

impl Drop for ResponseReader {
    fn drop(&mut self) {
        self.answer.readers.send_modify(|n| *n -= 1);
    }
}

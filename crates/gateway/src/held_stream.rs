//! Holds the events of streams until callers have read them, within the budget of [`Backlog`].

use bytes::Bytes;
use compact_str::CompactString;
use http::{Extensions, request};
use log::warn;
use rwd_metrics::Metrics;
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::{Notify, mpsc};
use tokio::time::timeout;

use crate::backlog::{Backlog, ReaderId, Verdict};
use crate::clock;
use crate::gateway::Aborted;

/// Fraction of the memory of the process that may be held for callers that read streams slowly, and for those
/// that send request bodies.
const BACKLOG_SHARE: usize = 8;
/// What an event occupies beside its own bytes: an allocation each for it and its reservation, and its
/// place in the queue.
const EVENT_OVERHEAD_BYTES: usize = 256;
/// Interval at which an event that waits for room asks again.
const RETRY_PERIOD: Duration = Duration::from_millis(100);

/// A piece of a response body.
pub(crate) type Item = Result<Bytes, Aborted>;

/// The caller has disconnected or was given up.
#[derive(Debug)]
pub(crate) struct Gone;

/// What a node holds for callers that have not read it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldBytes {
    /// Bytes held now.
    pub now: usize,
    /// The most that were held at any time.
    pub peak: usize,
    /// The budget.
    pub max: usize,
}

/// What may be held for slow callers of one kind, in bytes, of so much memory in megabytes.
pub(crate) fn memory_share(memory_mb: u32) -> usize {
    ((memory_mb as usize) << 20) / BACKLOG_SHARE
}

/// Ends a caller's connection from outside the task that serves it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Hangup(Arc<Notify>);

impl Hangup {
    /// Attaches it to the requests of the connection.
    pub fn attach(&self, extensions: &mut Extensions) {
        extensions.insert(self.clone());
    }

    fn of(parts: &request::Parts) -> Self {
        parts.extensions.get().cloned().unwrap_or_default()
    }

    fn hang_up(&self) {
        self.0.notify_one();
    }

    /// Waits until the connection is to end.
    pub async fn requested(&self) {
        self.0.notified().await;
    }
}

/// What a node holds for all callers that read streams.
pub(crate) struct HeldStreams {
    backlog: Mutex<Backlog<Arc<Reader>>>,
    released: Notify,
    metrics: Arc<Metrics>,
}

/// The caller of one stream.
struct Reader {
    request: CompactString,
    hangup: Hangup,
    // Notified when nothing is held for it.
    drained: Notify,
}

impl HeldStreams {
    /// Holds a share of so much memory, in megabytes.
    pub fn new(memory_mb: u32, metrics: Arc<Metrics>) -> Arc<Self> {
        let max_bytes = memory_share(memory_mb);
        Arc::new(Self {
            backlog: Mutex::new(Backlog::new(max_bytes)),
            released: Notify::new(),
            metrics,
        })
    }

    /// What is held, in bytes.
    pub fn usage(&self) -> HeldBytes {
        let backlog = self.lock();
        HeldBytes {
            now: backlog.held(),
            peak: backlog.peak(),
            max: backlog.max_bytes(),
        }
    }

    /// A queue of events for the caller of a request.
    pub fn open(
        self: &Arc<Self>,
        request: &str,
        parts: &request::Parts,
    ) -> (HeldSender, mpsc::UnboundedReceiver<Item>) {
        let reader = Arc::new(Reader {
            request: request.into(),
            hangup: Hangup::of(parts),
            drained: Notify::new(),
        });
        let id = self.lock().add(reader.clone(), clock::now());
        let (tx, rx) = mpsc::unbounded_channel();
        let held = self.clone();
        let sender = HeldSender {
            held,
            id,
            reader,
            tx,
            waited_ms: 0.0,
        };
        (sender, rx)
    }

    fn lock(&self) -> MutexGuard<'_, Backlog<Arc<Reader>>> {
        self.backlog.lock().unwrap_or_else(|e| e.into_inner())
    }

    // Ends the connection of a reader; what it holds is released with it.
    fn give_up(&self, id: ReaderId, bytes: usize, stalled_ms: f64) {
        let (reader, held) = {
            let backlog = self.lock();
            (backlog.get(id).cloned(), backlog.held())
        };
        let Some(reader) = reader else { return };
        warn!(event = "slow_reader_dropped", request:% = reader.request, bytes, stalled_ms = stalled_ms as u64, held; "no room for what a caller has not read");
        self.metrics.slow_readers_dropped.add(1, &[]);
        reader.hangup.hang_up();
        reader.drained.notify_one();
    }

    fn release(&self, id: ReaderId, bytes: usize) {
        let drained = {
            let mut backlog = self.lock();
            let reader = backlog.get(id).cloned();
            backlog.release(id, bytes, clock::now());
            reader.filter(|_| backlog.held_for(id) == 0)
        };
        if let Some(reader) = drained {
            reader.drained.notify_one();
        }
        self.released.notify_waiters();
    }
}

/// Sends events to the caller of one stream.
pub(crate) struct HeldSender {
    held: Arc<HeldStreams>,
    id: ReaderId,
    reader: Arc<Reader>,
    tx: mpsc::UnboundedSender<Item>,
    waited_ms: f64,
}

impl HeldSender {
    /// Queues an event; waits only for room in the node's memory.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected or was given up.
    pub async fn send(&mut self, event: &[u8]) -> Result<(), Gone> {
        let bytes = event.len() + EVENT_OVERHEAD_BYTES;
        let started = clock::now();
        loop {
            let held = self.held.clone();
            let mut released = pin!(held.released.notified());
            // A release between the request and the wait is not missed.
            released.as_mut().enable();
            let now = clock::now();
            let verdict = self.held.lock().hold(self.id, bytes, now - started, now);
            match verdict {
                Verdict::Held => break,
                Verdict::Gone => return Err(Gone),
                Verdict::GiveUp {
                    reader,
                    bytes,
                    stalled_ms,
                } => self.held.give_up(reader, bytes, stalled_ms),
                Verdict::Wait => tokio::select! {
                    _ = timeout(RETRY_PERIOD, released) => (),
                    () = self.tx.closed() => return Err(Gone),
                },
            }
        }
        self.waited_ms += clock::now() - started;
        let event = HeldEvent {
            // A copy, because the event is a slice of a buffer that would be kept as a whole.
            data: event.into(),
            bytes,
            id: self.id,
            held: self.held.clone(),
        };
        self.tx.send(Ok(Bytes::from_owner(event))).map_err(|_| Gone)
    }

    /// Aborts the response behind the events that are queued.
    pub fn abort(&self) {
        // Fails only if the caller has disconnected meanwhile.
        let _ = self.tx.send(Err(Aborted));
    }

    /// How long events have waited for room, in milliseconds.
    pub fn waited_ms(&self) -> f64 {
        self.waited_ms
    }

    /// Waits until the caller has disconnected or was given up.
    pub async fn closed(&self) {
        self.tx.closed().await;
    }

    /// Whether the caller was given up.
    pub fn is_given_up(&self) -> bool {
        self.held.lock().is_given_up(self.id)
    }

    /// Waits until the connection has all events.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected or was given up before that.
    pub async fn drained(&self) -> Result<(), Gone> {
        loop {
            {
                let backlog = self.held.lock();
                match (backlog.is_given_up(self.id), backlog.held_for(self.id)) {
                    (true, _) => return Err(Gone),
                    (false, 0) if self.tx.is_closed() => return Err(Gone),
                    (false, 0) => return Ok(()),
                    (false, _) => (),
                }
            }
            self.reader.drained.notified().await;
        }
    }
}

impl Drop for HeldSender {
    fn drop(&mut self) {
        if self.is_given_up() {
            // The end of the queue would be taken for the end of the response.
            self.abort();
        }
        self.held.lock().close(self.id);
    }
}

// An event that counts until the connection has written it.
struct HeldEvent {
    data: Box<[u8]>,
    bytes: usize,
    id: ReaderId,
    held: Arc<HeldStreams>,
}

impl AsRef<[u8]> for HeldEvent {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl Drop for HeldEvent {
    fn drop(&mut self) {
        self.held.release(self.id, self.bytes);
    }
}

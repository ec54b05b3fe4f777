//! Decides how much is held for callers that have not read it, and who is given up when that is too much.
//!
//! A node takes streams from targets whether or not callers read them, because a target's slot is
//! scarcer than memory and targets cut off responses that stay unread. What is held never exceeds
//! the budget; the reader with the largest product of held bytes and time without progress pays.

use indexmap::IndexMap;
use rwd_placement::Timestamp;

/// Time without progress after which a reader may be given up at once, in milliseconds.
const MIN_STALL_MS: f64 = 200.0;
/// How long an event waits for readers that make progress before one of them is given up, in
/// milliseconds. Targets wait for several seconds before they cut a response off.
const MAX_WAIT_MS: f64 = 1000.0;

/// A reader of one response.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct ReaderId(u64);

/// What to do with bytes for a reader.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// They fit and are counted now.
    Held,
    /// There is no room yet; try again after a release.
    Wait,
    /// There is no room, and this reader pays. Its bytes count until they are released.
    GiveUp {
        /// The reader.
        reader: ReaderId,
        /// Bytes that are held for it.
        bytes: usize,
        /// Time since it last took something, in milliseconds.
        stalled_ms: f64,
    },
    /// The reader of these bytes was given up.
    Gone,
}

#[derive(Debug)]
struct Reader<T> {
    data: T,
    bytes: usize,
    // When it last took something, or when the first of its bytes came.
    progress: Timestamp,
    given_up: bool,
    // Whether nothing more comes for it.
    closed: bool,
}

/// The bytes that a node holds for its readers, with data of each reader.
#[derive(Debug)]
pub struct Backlog<T> {
    max_bytes: usize,
    held: usize,
    peak: usize,
    next: u64,
    readers: IndexMap<ReaderId, Reader<T>>,
}

impl<T> Backlog<T> {
    /// A budget of so many bytes.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            held: 0,
            peak: 0,
            next: 0,
            readers: IndexMap::new(),
        }
    }

    /// The budget, in bytes.
    pub fn max_bytes(&self) -> usize {
        self.max_bytes
    }

    /// Bytes that are held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// The most bytes that were held at any time.
    pub fn peak(&self) -> usize {
        self.peak
    }

    /// Adds a reader that holds nothing.
    pub fn add(&mut self, data: T, now: Timestamp) -> ReaderId {
        let id = ReaderId(self.next);
        self.next += 1;
        let reader = Reader {
            data,
            bytes: 0,
            progress: now,
            given_up: false,
            closed: false,
        };
        self.readers.insert(id, reader);
        id
    }

    /// The data of a reader that is not removed yet.
    pub fn get(&self, id: ReaderId) -> Option<&T> {
        self.readers.get(&id).map(|r| &r.data)
    }

    /// Bytes that are held for a reader.
    pub fn held_for(&self, id: ReaderId) -> usize {
        self.readers.get(&id).map_or(0, |r| r.bytes)
    }

    /// Whether a reader was given up.
    pub fn is_given_up(&self, id: ReaderId) -> bool {
        self.readers.get(&id).is_some_and(|r| r.given_up)
    }

    /// Asks to hold more bytes for a reader, which has waited for `waited_ms` for them.
    pub fn hold(&mut self, id: ReaderId, bytes: usize, waited_ms: f64, now: Timestamp) -> Verdict {
        match self.readers.get_mut(&id) {
            Some(r) if !r.given_up && self.held + bytes <= self.max_bytes => {
                if r.bytes == 0 {
                    r.progress = now;
                }
                r.bytes += bytes;
                self.held += bytes;
                self.peak = self.peak.max(self.held);
                return Verdict::Held;
            }
            Some(r) if !r.given_up => (),
            _ => return Verdict::Gone,
        }
        let leaving = self.readers.values().filter(|r| r.given_up);
        let leaving: usize = leaving.map(|r| r.bytes).sum();
        if self.held - leaving + bytes <= self.max_bytes {
            return Verdict::Wait;
        }
        let stalled = |r: &Reader<T>| (now - r.progress).max(0.0);
        let cost = |r: &Reader<T>| r.bytes as f64 * stalled(r);
        let may_pay = |r: &Reader<T>| {
            !r.given_up && r.bytes > 0 && (stalled(r) >= MIN_STALL_MS || waited_ms >= MAX_WAIT_MS)
        };
        let candidates = self.readers.iter_mut().filter(|(_, r)| may_pay(r));
        let slowest = candidates.max_by(|(_, a), (_, b)| cost(a).total_cmp(&cost(b)));
        match slowest {
            Some((reader, r)) => {
                r.given_up = true;
                Verdict::GiveUp {
                    reader: *reader,
                    bytes: r.bytes,
                    stalled_ms: stalled(r),
                }
            }
            // Not even an empty budget has room.
            None if bytes > self.max_bytes => Verdict::Gone,
            None => Verdict::Wait,
        }
    }

    /// Records that a reader took bytes, or that they were dropped. A closed reader is removed with its
    /// last bytes.
    pub fn release(&mut self, id: ReaderId, bytes: usize, now: Timestamp) {
        let Some(r) = self.readers.get_mut(&id) else {
            return;
        };
        let bytes = bytes.min(r.bytes);
        r.bytes -= bytes;
        r.progress = now;
        self.held -= bytes;
        if r.closed && r.bytes == 0 {
            self.readers.swap_remove(&id);
        }
    }

    /// Records that nothing more comes for a reader. What it holds still counts.
    pub fn close(&mut self, id: ReaderId) {
        match self.readers.get_mut(&id) {
            Some(r) if r.bytes > 0 => r.closed = true,
            _ => {
                self.readers.swap_remove(&id);
            }
        }
    }
}

//! One timer task per node that other parts subscribe to.
//!
//! Periodic work asks for a period and waits on [`Ticks::tick`]. A subscriber
//! that falls behind sees one tick, not a burst of missed ones. Time is tokio's,
//! so tests may pause and advance it.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use tokio::sync::{mpsc, watch};
use tokio::time::{Duration, Instant, sleep_until};

type Subscriber = watch::Sender<u64>;

struct Entry {
    period: Duration,
    tx: Subscriber,
}

/// A handle to the timer task; clones share the task.
#[derive(Clone)]
pub struct Timer {
    tx: mpsc::UnboundedSender<Entry>,
}

impl Timer {
    /// Starts the timer task on the current runtime; it ends with the last handle.
    pub fn start() -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        tokio::spawn(run(rx));
        Self { tx }
    }

    /// Subscribes to a tick every `period`; the first comes one period from now.
    pub fn every(&self, period: Duration) -> Ticks {
        let (tx, rx) = watch::channel(0);
        // A closed channel means that the runtime is going down; the ticks then never come.
        let _ = self.tx.send(Entry { period, tx });
        Ticks {
            rx,
            _timer: Arc::new(self.clone()),
        }
    }
}

/// One subscription to the timer.
pub struct Ticks {
    rx: watch::Receiver<u64>,
    // Keeps the timer task alive for as long as anybody waits on it.
    _timer: Arc<Timer>,
}

impl Ticks {
    /// Waits for the next tick.
    pub async fn tick(&mut self) {
        if self.rx.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

async fn run(mut rx: mpsc::UnboundedReceiver<Entry>) {
    let mut entries: Vec<Option<Entry>> = Vec::new();
    let mut due: BinaryHeap<Reverse<(Instant, usize)>> = BinaryHeap::new();
    loop {
        let next = due.peek().map(|Reverse((at, _))| *at);
        tokio::select! {
            entry = rx.recv() => match entry {
                Some(entry) => {
                    due.push(Reverse((Instant::now() + entry.period, entries.len())));
                    entries.push(Some(entry));
                }
                None => return,
            },
            () = sleep_until(next.unwrap_or_else(Instant::now)), if next.is_some() => {
                if let Some(Reverse((_, index))) = due.pop() {
                    fire(&mut entries[index], index, &mut due);
                }
            }
        }
    }
}

fn fire(slot: &mut Option<Entry>, index: usize, due: &mut BinaryHeap<Reverse<(Instant, usize)>>) {
    match slot {
        Some(entry) if entry.tx.receiver_count() > 0 => {
            entry.tx.send_modify(|n| *n += 1);
            due.push(Reverse((Instant::now() + entry.period, index)));
        }
        _ => *slot = None,
    }
}

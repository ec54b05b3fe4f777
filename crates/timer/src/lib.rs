//! A timer task, shared by all periodic work of a node.
//!
//! Subscribers choose a period and wait on [`Ticks::tick`]. Missed ticks are
//! coalesced: a subscriber that falls behind gets one tick, not a burst. Tests
//! can pause and advance the clock, as it is tokio's.

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
    /// Spawns the timer task on the current runtime; it ends when the last handle is dropped.
    pub fn start() -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        tokio::spawn(run(rx));
        Self { tx }
    }

    /// Subscribes to ticks every `period`, the first one period from now.
    pub fn every(&self, period: Duration) -> Ticks {
        let (tx, rx) = watch::channel(0);
        // Fails only while the runtime shuts down; the subscription then never ticks.
        let _ = self.tx.send(Entry { period, tx });
        Ticks {
            rx,
            _timer: Arc::new(self.clone()),
        }
    }
}

/// A subscription to the timer.
pub struct Ticks {
    rx: watch::Receiver<u64>,
    // Keeps the timer task alive while there are subscriptions.
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

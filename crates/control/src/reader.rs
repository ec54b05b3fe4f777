//! Reads batches of the log into a history, whatever the log has lost.

use log::{info, warn};
use rwd_edge::{Batch, LogRecord};
use rwd_types::{LogOffset, Revision};
use std::time::Duration;
use tokio::time::Instant;

use crate::{Change, History, Record, Result, Snapshot};

/// Records after which a new snapshot is due.
const SNAPSHOT_RECORDS: u64 = 200;

/// A history and the position of the log that it accounts for.
#[derive(Debug)]
pub struct Reader {
    /// The configuration that follows from the records read.
    pub history: History,
    /// The position to read from next.
    pub next: LogOffset,
    // Every record before this position has been judged; with a gap it stays behind `next`.
    judged: LogOffset,
    /// Whether the log has been read to its end.
    pub caught_up: bool,
    // Records that were never read are gone, so no change can be judged until a snapshot or a
    // peer bridges the gap.
    gap: bool,
    records_since_snapshot: u64,
    snapshot_at: Instant,
    // The log does not lead a new reader to the revision in force.
    log_lacks_state: bool,
}

impl Default for Reader {
    fn default() -> Self {
        Self {
            history: History::default(),
            next: LogOffset(0),
            judged: LogOffset(0),
            caught_up: false,
            gap: false,
            records_since_snapshot: 0,
            snapshot_at: Instant::now(),
            log_lacks_state: false,
        }
    }
}

impl Reader {
    /// Takes in a batch that was read from [`Reader::next`].
    pub fn read(&mut self, batch: &Batch) {
        if batch.next < self.next {
            // All that is left has been read. What comes at the lost positions is new, or
            // known by its publish id.
            warn!(had = self.next.0, has = batch.next.0; "the log came back shorter");
            self.go_to(batch.next);
            self.log_lacks_state = true;
            return;
        }
        if batch.first > self.next {
            warn!(had = self.next.0, first = batch.first.0; "the log dropped unread records");
            self.gap = true;
            self.next = batch.first;
        }
        for record in &batch.records {
            match self.read_record(record, batch.first) {
                Step::On if self.gap => self.next = LogOffset(record.offset.0 + 1),
                Step::On => self.go_to(LogOffset(record.offset.0 + 1)),
                Step::Back(position) => {
                    self.go_to(position);
                    self.caught_up = false;
                    return;
                }
            }
        }
        self.caught_up = self.next >= batch.next;
    }

    fn read_record(&mut self, record: &LogRecord, first: LogOffset) -> Step {
        if record.offset < self.next {
            return Step::On;
        }
        self.records_since_snapshot += 1;
        match Record::from_json(&record.data) {
            Ok(Record::Change(_)) if self.gap => Step::On,
            Ok(Record::Change(change)) => {
                self.history.process(&change);
                Step::On
            }
            Ok(Record::Snapshot(snapshot)) => self.read_snapshot(&snapshot, first),
            Err(e) => {
                warn!(offset = record.offset.0, error:% = e; "passed over a bad record");
                Step::On
            }
        }
    }

    fn read_snapshot(&mut self, snapshot: &Snapshot, first: LogOffset) -> Step {
        let own = self.history.revision();
        if snapshot.revision >= own {
            self.records_since_snapshot = 0;
            self.snapshot_at = Instant::now();
            self.log_lacks_state = false;
        }
        match self.history.install_snapshot(snapshot) {
            // The records between the snapshot's position and its place were judged against an
            // older configuration, or not at all.
            Ok(true) if snapshot.position >= first => {
                self.gap = false;
                Step::Back(snapshot.position)
            }
            Ok(true) => {
                self.gap = true;
                self.judged = snapshot.position;
                Step::On
            }
            Ok(false) if self.gap && snapshot.revision == own && snapshot.position >= first => {
                self.gap = false;
                Step::Back(snapshot.position)
            }
            Ok(false) => Step::On,
            Err(e) => {
                warn!(error:% = e; "passed over a bad snapshot");
                Step::On
            }
        }
    }

    /// Takes over a peer's whole state.
    ///
    /// # Errors
    ///
    /// A snapshot whose configuration is wrong; it changes nothing.
    pub fn install_snapshot(&mut self, snapshot: &Snapshot) -> Result<bool> {
        let changed = self.history.install_snapshot(snapshot)?;
        if changed {
            self.jump(snapshot.position);
        }
        Ok(changed)
    }

    /// Takes over accepted changes from a peer that has read the log up to `position`.
    ///
    /// # Errors
    ///
    /// A change that does not apply; the ones before it stay in force.
    pub fn catch_up(&mut self, changes: &[Change], position: LogOffset) -> Result<bool> {
        let changed = self.history.catch_up(changes)?;
        let reached = changes.last().map(|c| Revision(c.base.0 + 1));
        if changed && reached == Some(self.history.revision()) {
            self.jump(position);
        }
        Ok(changed)
    }

    // A peer's newer state was reached at a later position, unless the log has lost records.
    fn jump(&mut self, position: LogOffset) {
        self.go_to(self.judged.max(position));
        self.gap = false;
    }

    fn go_to(&mut self, position: LogOffset) {
        self.next = position;
        self.judged = position;
    }

    /// The position up to which every record has been judged.
    pub fn judged(&self) -> LogOffset {
        self.judged
    }

    /// A snapshot of the configuration in force and the position that it accounts for.
    pub fn snapshot(&self) -> Snapshot {
        self.history.snapshot(self.judged)
    }

    /// A snapshot to append, if one is due.
    pub fn due_snapshot(&mut self, period: Duration) -> Option<Snapshot> {
        let old = self.snapshot_at.elapsed() >= period && self.records_since_snapshot > 0;
        let many = self.records_since_snapshot >= SNAPSHOT_RECORDS;
        let known = self.caught_up && !self.gap && self.history.revision() > Revision(0);
        if !known || !(old || many || self.log_lacks_state) {
            return None;
        }
        info!(revision:% = self.history.revision(), old, many, lacking = self.log_lacks_state; "a snapshot is due");
        self.snapshot_at = Instant::now();
        self.log_lacks_state = false;
        Some(self.snapshot())
    }

    /// Notes that a snapshot could not be appended.
    pub fn snapshot_failed(&mut self) {
        self.log_lacks_state = true;
    }
}

enum Step {
    On,
    // Read again from here.
    Back(LogOffset),
}

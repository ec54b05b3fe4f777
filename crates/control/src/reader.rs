//! Applies batches of log records to a history and handles records that the log has lost.

use log::{info, warn};
use rwd_edge::{Batch, LogRecord};
use rwd_types::{LogOffset, Revision};
use std::time::Duration;
use tokio::time::Instant;

use crate::{Change, History, Record, Result, Snapshot};

/// Records since the last snapshot after which a new one is due.
const SNAPSHOT_RECORDS: u64 = 200;

/// A history and the log position up to which it is current.
#[derive(Debug)]
pub struct LogReader {
    /// The configuration that results from the records read.
    pub history: History,
    /// The position to read from next.
    pub next: LogOffset,
    // Every record before this position has been applied. Lags behind `next` during a gap.
    applied: LogOffset,
    /// Whether the log has been read to its end.
    pub caught_up: bool,
    // The log dropped records that were not read, so no change can be applied until a snapshot
    // or a peer's state covers the gap.
    gap: bool,
    records_since_snapshot: u64,
    snapshot_at: Instant,
    // A new reader cannot reach the active revision from the log alone.
    snapshot_missing: bool,
}

impl Default for LogReader {
    fn default() -> Self {
        Self {
            history: History::default(),
            next: LogOffset(0),
            applied: LogOffset(0),
            caught_up: false,
            gap: false,
            records_since_snapshot: 0,
            snapshot_at: Instant::now(),
            snapshot_missing: false,
        }
    }
}

impl LogReader {
    /// Applies a batch that was read from [`LogReader::next`].
    pub fn apply_batch(&mut self, batch: &Batch) {
        if batch.next < self.next {
            // Every remaining record has been read. Records appended at the lost positions are
            // either new or recognized by their publish id.
            warn!(had = self.next.0, has = batch.next.0; "the log was truncated");
            self.seek(batch.next);
            self.snapshot_missing = true;
            return;
        }
        if batch.first > self.next {
            warn!(had = self.next.0, first = batch.first.0; "the log dropped unread records");
            self.gap = true;
            self.next = batch.first;
        }
        for record in &batch.records {
            match self.apply_record(record, batch.first) {
                Step::Continue if self.gap => self.next = LogOffset(record.offset.0 + 1),
                Step::Continue => self.seek(LogOffset(record.offset.0 + 1)),
                Step::Rewind(position) => {
                    self.seek(position);
                    self.caught_up = false;
                    return;
                }
            }
        }
        self.caught_up = self.next >= batch.next;
    }

    fn apply_record(&mut self, record: &LogRecord, first: LogOffset) -> Step {
        if record.offset < self.next {
            return Step::Continue;
        }
        self.records_since_snapshot += 1;
        match Record::from_json(&record.data) {
            Ok(Record::Change(_)) if self.gap => Step::Continue,
            Ok(Record::Change(change)) => {
                self.history.process(&change);
                Step::Continue
            }
            Ok(Record::Snapshot(snapshot)) => self.apply_snapshot(&snapshot, first),
            Err(e) => {
                warn!(offset = record.offset.0, error:% = e; "skipped an invalid record");
                Step::Continue
            }
        }
    }

    fn apply_snapshot(&mut self, snapshot: &Snapshot, first: LogOffset) -> Step {
        let current = self.history.revision();
        if snapshot.revision >= current {
            self.records_since_snapshot = 0;
            self.snapshot_at = Instant::now();
            self.snapshot_missing = false;
        }
        match self.history.install_snapshot(snapshot) {
            // The records between the position that the snapshot covers and the snapshot itself
            // were applied to an older configuration, or not at all.
            Ok(true) if snapshot.position >= first => {
                self.gap = false;
                Step::Rewind(snapshot.position)
            }
            Ok(true) => {
                self.gap = true;
                self.applied = snapshot.position;
                Step::Continue
            }
            Ok(false) if self.gap && snapshot.revision == current && snapshot.position >= first => {
                self.gap = false;
                Step::Rewind(snapshot.position)
            }
            Ok(false) => Step::Continue,
            Err(e) => {
                warn!(error:% = e; "skipped an invalid snapshot");
                Step::Continue
            }
        }
    }

    /// Installs a peer's snapshot if it is newer.
    ///
    /// # Errors
    ///
    /// Fails if the snapshot's configuration is invalid; the state is then unchanged.
    pub fn install_snapshot(&mut self, snapshot: &Snapshot) -> Result<bool> {
        let changed = self.history.install_snapshot(snapshot)?;
        if changed {
            self.advance_to(snapshot.position);
        }
        Ok(changed)
    }

    /// Applies changes accepted by a peer that has applied the log up to `position`.
    ///
    /// # Errors
    ///
    /// Fails at the first change that does not apply; the ones before it stay applied.
    pub fn catch_up(&mut self, changes: &[Change], position: LogOffset) -> Result<bool> {
        let changed = self.history.catch_up(changes)?;
        let reached = changes.last().map(|c| Revision(c.base.0 + 1));
        if changed && reached == Some(self.history.revision()) {
            self.advance_to(position);
        }
        Ok(changed)
    }

    // A peer's newer state has a later position, unless the log has lost records.
    fn advance_to(&mut self, position: LogOffset) {
        self.seek(self.applied.max(position));
        self.gap = false;
    }

    fn seek(&mut self, position: LogOffset) {
        self.next = position;
        self.applied = position;
    }

    /// The position up to which every record has been applied.
    pub fn applied(&self) -> LogOffset {
        self.applied
    }

    /// A snapshot of the active configuration at [`LogReader::applied`].
    pub fn snapshot(&self) -> Snapshot {
        self.history.snapshot(self.applied)
    }

    /// Returns a snapshot to append if one is due, and restarts the snapshot period.
    pub fn due_snapshot(&mut self, period: Duration) -> Option<Snapshot> {
        let old = self.snapshot_at.elapsed() >= period && self.records_since_snapshot > 0;
        let many = self.records_since_snapshot >= SNAPSHOT_RECORDS;
        let known = self.caught_up && !self.gap && self.history.revision() > Revision(0);
        if !known || !(old || many || self.snapshot_missing) {
            return None;
        }
        info!(revision:% = self.history.revision(), old, many, lacking = self.snapshot_missing; "a snapshot is due");
        self.snapshot_at = Instant::now();
        self.snapshot_missing = false;
        Some(self.snapshot())
    }

    /// Makes a snapshot due again after a failed append.
    pub fn snapshot_failed(&mut self) {
        self.snapshot_missing = true;
    }
}

enum Step {
    Continue,
    // Read again from this position.
    Rewind(LogOffset),
}

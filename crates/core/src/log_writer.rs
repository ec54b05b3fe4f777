//! Writes log lines to standard output without ever blocking the caller.
//!
//! A thread writes queued lines in batches; beyond a bound, further ones are dropped and counted.
//! Warnings are written by the caller itself, as a process that is killed loses what is queued. So
//! that they fit into a pipe whose reader is slow, other lines use a part of the pipe only.

use log::Level;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::ioctl_fionread;
use rustix::pipe::fcntl_getpipe_size;
use std::collections::VecDeque;
use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum number of queued lines; further ones are dropped and counted.
const MAX_QUEUED_LINES: usize = 2000;
/// Maximum number of queued warnings, which wait only while the output takes nothing.
const MAX_QUEUED_WARNINGS: usize = 1000;
/// Time for which lines are collected into one write.
const BATCH_TIME: Duration = Duration::from_millis(100);
/// Time between attempts to write what is left when the process ends.
const FLUSH_INTERVAL: Duration = Duration::from_millis(5);
/// How long the end of the process may be delayed by a slow reader of the log.
const MAX_FLUSH_TIME: Duration = Duration::from_millis(300);
/// Maximum bytes per write, unless a single line is longer: writes to a pipe are atomic up to
/// PIPE_BUF, so lines of processes that share a pipe do not mix.
const MAX_WRITE_BYTES: usize = 4096;
/// The part of a pipe that may hold unread lines before only warnings are added, as a divisor. A write
/// may leave up to half of a page unused.
const PIPE_SHARE: usize = 4;

#[derive(Default)]
struct Queues {
    lines: VecDeque<Vec<u8>>,
    warnings: VecDeque<Vec<u8>>,
    // Lines dropped since the last one that says so.
    dropped: u64,
    closing: bool,
    // Whether the writer thread has ended.
    closed: bool,
}

impl Queues {
    fn is_empty(&self) -> bool {
        self.lines.is_empty() && self.warnings.is_empty()
    }

    // The next lines that fit into one write.
    fn take_chunk(&mut self) -> Vec<u8> {
        let mut chunk = Vec::new();
        if self.dropped > 0 && !self.lines.is_empty() {
            let dropped = std::mem::take(&mut self.dropped);
            let note = format!("{{\"event\":\"log_lines_dropped\",\"count\":{dropped}}}\n");
            chunk.extend(note.into_bytes());
        }
        while let Some(line) = self.lines.front()
            && (chunk.is_empty() || chunk.len() + line.len() <= MAX_WRITE_BYTES)
        {
            chunk.extend(self.lines.pop_front().unwrap_or_default());
        }
        chunk
    }
}

#[derive(Default)]
struct Shared {
    queues: Mutex<Queues>,
    changed: Condvar,
    // Held while bytes are written.
    output: Mutex<()>,
}

/// Writes lines to standard output.
pub(crate) struct LineWriter {
    shared: Arc<Shared>,
}

impl LineWriter {
    pub(crate) fn start() -> Self {
        let shared = Arc::new(Shared::default());
        let writer = shared.clone();
        thread::spawn(move || {
            // Standard output is gone, so there is nowhere to report an error.
            let _ = writer.run();
            let mut queues = writer.lock();
            queues.closed = true;
            writer.changed.notify_all();
        });
        Self { shared }
    }

    /// Writes a line, which must end with a newline.
    pub(crate) fn write(&self, level: Level, line: Vec<u8>) {
        match level {
            Level::Error | Level::Warn => self.shared.write_warning(line),
            _ => self.shared.queue_line(line),
        }
    }

    /// Writes what is queued and ends the writer thread, or gives up after `MAX_FLUSH_TIME`.
    pub(crate) fn close(&self) {
        let mut queues = self.shared.lock();
        queues.closing = true;
        self.shared.changed.notify_all();
        let closed = self
            .shared
            .changed
            .wait_timeout_while(queues, MAX_FLUSH_TIME, |q| !q.closed);
        drop(closed);
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Queues> {
        self.queues.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn queue_line(&self, line: Vec<u8>) {
        let mut queues = self.lock();
        if queues.lines.len() >= MAX_QUEUED_LINES {
            queues.dropped += 1;
            return;
        }
        queues.lines.push_back(line);
        if queues.lines.len() == 1 {
            self.changed.notify_all();
        }
    }

    fn write_warning(&self, line: Vec<u8>) {
        if self.try_write(&line) {
            return;
        }
        let mut queues = self.lock();
        if queues.warnings.len() >= MAX_QUEUED_WARNINGS {
            queues.dropped += 1;
            return;
        }
        queues.warnings.push_back(line);
        self.changed.notify_all();
    }

    // Writes a line if that does not block.
    fn try_write(&self, line: &[u8]) -> bool {
        // The writer thread may be blocked in a write.
        let Ok(_output) = self.output.try_lock() else {
            return false;
        };
        line.len() <= MAX_WRITE_BYTES && is_writable() && write_out(line).is_ok()
    }

    // Returns once the writer is closed, or when standard output cannot be written.
    fn run(&self) -> io::Result<()> {
        while let Some(warnings) = self.wait() {
            for line in warnings {
                let _output = self.output.lock().unwrap_or_else(|e| e.into_inner());
                write_out(&line)?;
            }
            while has_room_for_lines() {
                let chunk = self.lock().take_chunk();
                if chunk.is_empty() {
                    break;
                }
                let _output = self.output.lock().unwrap_or_else(|e| e.into_inner());
                write_out(&chunk)?;
            }
        }
        Ok(())
    }

    // Waits for the next batch and returns its warnings; none if the writer is closed.
    fn wait(&self) -> Option<VecDeque<Vec<u8>>> {
        let queues = self.lock();
        let idle = |q: &mut Queues| q.is_empty() && !q.closing;
        let queues = self.changed.wait_while(queues, idle);
        let mut queues = queues.unwrap_or_else(|e| e.into_inner());
        if queues.closing && queues.is_empty() {
            return None;
        }
        let time = match queues.closing {
            true => FLUSH_INTERVAL,
            false => BATCH_TIME,
        };
        let until = Instant::now() + time;
        let was_closing = queues.closing;
        while queues.warnings.is_empty()
            && queues.closing == was_closing
            && let Some(left) = until.checked_duration_since(Instant::now())
        {
            let waited = self.changed.wait_timeout(queues, left);
            queues = waited.unwrap_or_else(|e| e.into_inner()).0;
        }
        Some(std::mem::take(&mut queues.warnings))
    }
}

// Whether `MAX_WRITE_BYTES` can be written without blocking.
fn is_writable() -> bool {
    let out = io::stdout();
    let mut fds = [PollFd::new(&out, PollFlags::OUT)];
    matches!(poll(&mut fds, Some(&Timespec::default())), Ok(1))
}

// Whether lines other than warnings may be written. They may block on what is no pipe.
fn has_room_for_lines() -> bool {
    let out = io::stdout();
    match (fcntl_getpipe_size(&out), ioctl_fionread(&out)) {
        (Ok(size), Ok(unread)) => unread as usize <= size / PIPE_SHARE && is_writable(),
        _ => true,
    }
}

fn write_out(bytes: &[u8]) -> io::Result<()> {
    let mut out = io::stdout().lock();
    out.write_all(bytes)?;
    out.flush()
}

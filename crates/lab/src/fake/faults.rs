//! Faults that a test or an experiment injects into a fake.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::watch;

/// The active faults; also the JSON body of `POST /lab/faults`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultSettings {
    /// All work stops and no call gets a response.
    pub frozen: bool,
    /// Every call gets status 503.
    pub down: bool,
    /// Factor by which the duration of work is multiplied.
    pub slow: f64,
    /// Number of further calls whose response is lost after they have taken effect.
    pub lose_answers: u64,
    /// Number of further appends that are recorded twice.
    pub double_appends: u64,
    /// Number of newest records that reads omit.
    pub lag_records: u64,
}

impl Default for FaultSettings {
    fn default() -> Self {
        Self {
            frozen: false,
            down: false,
            slow: 1.0,
            lose_answers: 0,
            double_appends: 0,
            lag_records: 0,
        }
    }
}

/// The faults of one fake.
#[derive(Debug)]
pub struct Faults {
    settings: watch::Sender<FaultSettings>,
    // Streams with a lower number are stalled.
    stalled_before: Mutex<u64>,
    next_stream: AtomicU64,
    stalls: watch::Sender<u64>,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            settings: watch::Sender::default(),
            stalled_before: Mutex::default(),
            next_stream: AtomicU64::new(1),
            stalls: watch::Sender::new(0),
        }
    }
}

impl Faults {
    /// The active faults.
    pub fn get(&self) -> FaultSettings {
        self.settings.borrow().clone()
    }

    /// Replaces the active faults.
    pub fn set(&self, settings: FaultSettings) {
        self.settings.send_replace(settings);
    }

    /// Activates faults from the body of `POST /lab/faults`.
    ///
    /// # Errors
    ///
    /// Returns the parse error if the body is invalid.
    pub fn set_json(&self, body: &Bytes) -> Result<(), serde_json::Error> {
        self.set(serde_json::from_slice(body)?);
        Ok(())
    }

    /// Waits while the fake is frozen.
    pub async fn wait_until_thawed(&self) {
        let mut settings = self.settings.subscribe();
        // Cannot fail: the sender lives as long as `self`.
        let _ = settings.wait_for(|s| !s.frozen).await;
    }

    /// Whether to lose the response to this call; uses up one of `lose_answers`.
    pub fn take_lost_response(&self) -> bool {
        self.take_one(|s| &mut s.lose_answers)
    }

    /// Whether to record this append twice; uses up one of `double_appends`.
    pub fn take_double_append(&self) -> bool {
        self.take_one(|s| &mut s.double_appends)
    }

    fn take_one(&self, count: impl Fn(&mut FaultSettings) -> &mut u64) -> bool {
        let mut taken = false;
        self.settings.send_if_modified(|s| {
            let remaining = count(s);
            taken = *remaining > 0;
            *remaining = remaining.saturating_sub(1);
            false
        });
        taken
    }

    /// Assigns a number to a new stream.
    pub fn open_stream(&self) -> u64 {
        self.next_stream.fetch_add(1, Ordering::Relaxed)
    }

    /// Stalls all open streams; later ones work.
    pub fn stall_open_streams(&self) {
        let now = self.next_stream.load(Ordering::Relaxed);
        *self
            .stalled_before
            .lock()
            .unwrap_or_else(|e| e.into_inner()) = now;
        self.stalls.send_modify(|n| *n += 1);
    }

    /// Whether a stream is stalled.
    pub fn is_stalled(&self, stream: u64) -> bool {
        stream
            < *self
                .stalled_before
                .lock()
                .unwrap_or_else(|e| e.into_inner())
    }
}

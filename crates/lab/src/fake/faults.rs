//! Faults that a test or an experiment sets on a stand-in.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::watch;

/// The faults in force; also the JSON body of `POST /lab/faults`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultSettings {
    /// Nothing moves and nothing is answered.
    pub frozen: bool,
    /// Every call is refused with status 503.
    pub down: bool,
    /// Work takes this many times as long.
    pub slow: f64,
    /// Answers to this many further calls are lost after the call has acted.
    pub lose_answers: u64,
    /// This many further appends are recorded twice.
    pub double_appends: u64,
    /// Reads do not show this many of the newest records.
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

/// The faults of one stand-in.
#[derive(Debug)]
pub struct Faults {
    settings: watch::Sender<FaultSettings>,
    // Connections opened before the current value are silent.
    silent_before: Mutex<u64>,
    connections: AtomicU64,
    silenced: watch::Sender<u64>,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            settings: watch::Sender::default(),
            silent_before: Mutex::default(),
            connections: AtomicU64::new(1),
            silenced: watch::Sender::new(0),
        }
    }
}

impl Faults {
    /// The faults in force.
    pub fn get(&self) -> FaultSettings {
        self.settings.borrow().clone()
    }

    /// Puts faults in force.
    pub fn set(&self, settings: FaultSettings) {
        self.settings.send_replace(settings);
    }

    /// Puts faults in force from the body of `POST /lab/faults`.
    ///
    /// # Errors
    ///
    /// What is wrong with the body.
    pub fn set_json(&self, body: &Bytes) -> Result<(), serde_json::Error> {
        self.set(serde_json::from_slice(body)?);
        Ok(())
    }

    /// Waits while the stand-in is frozen.
    pub async fn thaw(&self) {
        let mut settings = self.settings.subscribe();
        // The sender lives as long as `self`.
        let _ = settings.wait_for(|s| !s.frozen).await;
    }

    /// Whether the answer to this call is to be lost; counts it.
    pub fn take_lost_answer(&self) -> bool {
        self.take(|s| &mut s.lose_answers)
    }

    /// Whether this append is to be doubled; counts it.
    pub fn take_double_append(&self) -> bool {
        self.take(|s| &mut s.double_appends)
    }

    fn take(&self, count: impl Fn(&mut FaultSettings) -> &mut u64) -> bool {
        let mut taken = false;
        self.settings.send_if_modified(|s| {
            let left = count(s);
            taken = *left > 0;
            *left = left.saturating_sub(1);
            false
        });
        taken
    }

    /// Numbers a stream that is about to be written.
    pub fn open_stream(&self) -> u64 {
        self.connections.fetch_add(1, Ordering::Relaxed)
    }

    /// Silences all streams that are open now; new ones work.
    pub fn silence_open_streams(&self) {
        let now = self.connections.load(Ordering::Relaxed);
        *self.silent_before.lock().unwrap_or_else(|e| e.into_inner()) = now;
        self.silenced.send_modify(|n| *n += 1);
    }

    /// Whether a stream has been silenced.
    pub fn is_silent(&self, stream: u64) -> bool {
        stream < *self.silent_before.lock().unwrap_or_else(|e| e.into_inner())
    }
}

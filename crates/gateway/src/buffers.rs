//! A node-wide budget for bytes of responses that are buffered before they are passed on.
//!
//! Each response may hold as much as it leaves for others (dynamic thresholds; Choudhury and
//! Hahne, IEEE/ACM ToN 1998). A single large response may take half of the budget, `n` endless ones
//! get an equal part of `1/(n + 1)` each, and there is always room for one that is small.

use bytes::Bytes;
use derive_more::{Display, Error};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A response holds more bytes than the budget has left.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("{bytes} bytes of a response exceed what the node may buffer")]
pub struct OverBudget {
    /// Size of the response with the bytes that were refused.
    pub bytes: usize,
}

/// The result of buffering bytes.
pub type Result<T> = std::result::Result<T, OverBudget>;

/// The budget of one node.
#[derive(Debug)]
pub struct BufferBudget {
    max_bytes: usize,
    used: AtomicUsize,
}

impl BufferBudget {
    /// A budget of so many bytes.
    pub fn new(max_bytes: usize) -> Arc<Self> {
        Arc::new(Self {
            max_bytes,
            used: AtomicUsize::new(0),
        })
    }

    /// Bytes that are buffered.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// An empty reservation.
    pub fn reserve(self: &Arc<Self>) -> Reservation {
        Reservation {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

/// What one response holds of the budget; released when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<BufferBudget>,
    bytes: usize,
}

impl Reservation {
    /// Changes the reservation to so many bytes.
    ///
    /// # Errors
    ///
    /// Fails if that is more than the budget has left for others; the reservation stays as it is.
    pub fn resize(&mut self, bytes: usize) -> Result<()> {
        let used = &self.budget.used;
        let change = |used: usize| {
            let others = used - self.bytes;
            let fits = bytes <= self.bytes || others + 2 * bytes <= self.budget.max_bytes;
            fits.then_some(others + bytes)
        };
        match used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, change) {
            Ok(_) => {
                self.bytes = bytes;
                Ok(())
            }
            Err(_) => Err(OverBudget { bytes }),
        }
    }

    /// Attaches the reservation to the bytes that it is for: it is released with them.
    pub fn attach(self, bytes: impl Into<Bytes>) -> Bytes {
        Bytes::from_owner(Reserved {
            bytes: bytes.into(),
            _reservation: self,
        })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

struct Reserved {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Reserved {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

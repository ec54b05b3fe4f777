//! Estimates how long answers will be.

use indexmap::IndexMap;
use rwd_types::{PoolName, TierName, Tokens, WorkspaceName};
use std::sync::Mutex;

/// The quantile of past answers that is expected of the next one.
const QUANTILE: f64 = 0.6;
/// Step of the estimate relative to its value.
const STEP: f64 = 0.1;
/// Most combinations of workspace, tier and pool that are remembered.
const MAX_ENTRIES: usize = 8192;
/// The estimate before any answer was seen, relative to what the caller allows.
const FIRST_SHARE: f64 = 0.5;

type Key = (WorkspaceName, TierName, PoolName);

/// A running quantile of answer lengths for each workspace, tier and pool.
#[derive(Debug, Default)]
pub struct OutputEstimates {
    entries: Mutex<IndexMap<Key, f64>>,
}

impl OutputEstimates {
    /// The expected length of an answer of at most `most` tokens.
    pub fn expect(&self, key: &Key, most: Tokens) -> Tokens {
        let entries = self.entries.lock().unwrap_or_else(|e| e.into_inner());
        let most = most.0 as f64;
        let expected = entries.get(key).copied().unwrap_or(most * FIRST_SHARE);
        Tokens(expected.min(most).max(1.0) as u64)
    }

    /// Learns from a whole answer.
    pub fn observe(&self, key: Key, length: Tokens) {
        let mut entries = self.entries.lock().unwrap_or_else(|e| e.into_inner());
        if entries.len() >= MAX_ENTRIES && !entries.contains_key(&key) {
            entries.swap_remove_index(0);
        }
        let length = length.0 as f64;
        let estimate = entries.entry(key).or_insert(length);
        // The stochastic approximation of Robbins and Monro, with a relative step.
        let step = STEP * estimate.max(1.0);
        *estimate += match length > *estimate {
            true => step * QUANTILE,
            false => -step * (1.0 - QUANTILE),
        };
    }
}

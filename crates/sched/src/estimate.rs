//! Estimates response lengths.

use indexmap::IndexMap;
use rwd_types::{PoolName, TierName, Tokens, WorkspaceName};
use std::sync::Mutex;

/// Quantile of past response lengths used as the estimate.
const QUANTILE: f64 = 0.6;
/// Step size relative to the estimate.
const STEP: f64 = 0.1;
/// Limit of tracked combinations of workspace, tier and pool.
const MAX_ENTRIES: usize = 8192;
/// Estimate before the first sample, as a fraction of the caller's token limit.
const INITIAL_FRACTION: f64 = 0.5;

type Key = (WorkspaceName, TierName, PoolName);

/// Running quantiles of response lengths by workspace, tier and pool.
#[derive(Debug, Default)]
pub struct OutputEstimates {
    entries: Mutex<IndexMap<Key, f64>>,
}

impl OutputEstimates {
    /// Estimates the length of a response of at most `max` tokens.
    pub fn expect(&self, key: &Key, max: Tokens) -> Tokens {
        let entries = self.entries.lock().unwrap_or_else(|e| e.into_inner());
        let max = max.0 as f64;
        let expected = entries.get(key).copied().unwrap_or(max * INITIAL_FRACTION);
        Tokens(expected.min(max).max(1.0) as u64)
    }

    /// Updates the estimate with the length of a complete response.
    pub fn observe(&self, key: Key, length: Tokens) {
        let mut entries = self.entries.lock().unwrap_or_else(|e| e.into_inner());
        if entries.len() >= MAX_ENTRIES && !entries.contains_key(&key) {
            entries.swap_remove_index(0);
        }
        let length = length.0 as f64;
        let estimate = entries.entry(key).or_insert(length);
        // Robbins-Monro stochastic approximation of a quantile, with a relative step.
        let step = STEP * estimate.max(1.0);
        *estimate += match length > *estimate {
            true => step * QUANTILE,
            false => -step * (1.0 - QUANTILE),
        };
    }
}

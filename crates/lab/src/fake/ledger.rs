//! Runs as recorded by the targets themselves.

use indexmap::{IndexMap, IndexSet};
use rwd_types::BlockHash;
use std::sync::{Mutex, MutexGuard};
use std::time::Instant;

/// One run of a request on a target.
#[derive(Clone, Debug)]
pub struct Run {
    /// Name of the target.
    pub target: String,
    /// When the request reached the target.
    pub arrived: Instant,
    /// When the target started work on it.
    pub started: Option<Instant>,
    /// Whether the target finished it.
    pub finished: bool,
    /// Prompt tokens prefilled for it.
    pub prefill_tokens: u64,
    /// Those of `prefill_tokens` that some target had prefilled before.
    pub recomputed_tokens: u64,
}

#[derive(Debug, Default)]
struct Inner {
    runs: IndexMap<String, Vec<Run>>,
    blocks: IndexSet<BlockHash>,
}

/// The runs of all targets of one experiment.
#[derive(Debug, Default)]
pub struct Ledger {
    inner: Mutex<Inner>,
}

impl Ledger {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Records that a request reached a target; returns the index of the run.
    pub fn record_arrival(&self, request: &str, target: &str) -> usize {
        let mut inner = self.lock();
        let runs = inner.runs.entry(request.to_owned()).or_default();
        runs.push(Run {
            target: target.to_owned(),
            arrived: Instant::now(),
            started: None,
            finished: false,
            prefill_tokens: 0,
            recomputed_tokens: 0,
        });
        runs.len() - 1
    }

    fn update(&self, request: &str, run: usize, f: impl FnOnce(&mut Run)) {
        if let Some(run) = self
            .lock()
            .runs
            .get_mut(request)
            .and_then(|r| r.get_mut(run))
        {
            f(run);
        }
    }

    /// Records that work on a request started.
    pub fn record_start(&self, request: &str, run: usize) {
        self.update(request, run, |r| r.started = Some(Instant::now()));
    }

    /// Records that a request was finished.
    pub fn record_finish(&self, request: &str, run: usize) {
        self.update(request, run, |r| r.finished = true);
    }

    /// Records that `tokens` prompt tokens were prefilled, including those of the full `blocks`.
    pub fn record_prefill(
        &self,
        request: &str,
        run: usize,
        tokens: u64,
        blocks: &[BlockHash],
        block_tokens: u64,
    ) {
        let mut inner = self.lock();
        let recomputed = blocks.iter().filter(|b| !inner.blocks.insert(**b)).count() as u64;
        if let Some(run) = inner.runs.get_mut(request).and_then(|r| r.get_mut(run)) {
            run.prefill_tokens += tokens;
            run.recomputed_tokens += recomputed * block_tokens;
        }
    }

    /// The runs of a request.
    pub fn runs(&self, request: &str) -> Vec<Run> {
        self.lock().runs.get(request).cloned().unwrap_or_default()
    }

    /// All runs, by request.
    pub fn all(&self) -> IndexMap<String, Vec<Run>> {
        self.lock().runs.clone()
    }

    /// Number of runs per request.
    pub fn counts(&self) -> IndexMap<String, usize> {
        let inner = self.lock();
        inner
            .runs
            .iter()
            .map(|(key, runs)| (key.clone(), runs.len()))
            .collect()
    }

    /// Prompt tokens prefilled, and how many of them were wasted: prefilled before by some
    /// target, or for a run that did not finish.
    pub fn prefill_totals(&self) -> (u64, u64) {
        let inner = self.lock();
        let runs = inner.runs.values().flatten();
        runs.fold((0, 0), |(total, wasted), run| {
            let waste = match run.finished {
                true => run.recomputed_tokens,
                false => run.prefill_tokens,
            };
            (total + run.prefill_tokens, wasted + waste)
        })
    }
}

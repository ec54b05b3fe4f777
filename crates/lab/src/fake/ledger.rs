//! What the targets did, counted by themselves.

use indexmap::{IndexMap, IndexSet};
use rwd_types::BlockHash;
use std::sync::{Mutex, MutexGuard};
use std::time::Instant;

/// One run of a request on a target.
#[derive(Clone, Debug)]
pub struct Run {
    /// The target.
    pub target: String,
    /// When the request reached the target.
    pub arrived: Instant,
    /// When the target began to work on it.
    pub started: Option<Instant>,
    /// Whether the target finished it.
    pub finished: bool,
    /// Prompt tokens that were processed for it.
    pub prefill_tokens: u64,
    /// Prompt tokens among them that some target had processed before.
    pub repeated_tokens: u64,
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

    /// Records that a request reached a target; returns the number of the run.
    pub fn arrived(&self, request: &str, target: &str) -> usize {
        let mut inner = self.lock();
        let runs = inner.runs.entry(request.to_owned()).or_default();
        runs.push(Run {
            target: target.to_owned(),
            arrived: Instant::now(),
            started: None,
            finished: false,
            prefill_tokens: 0,
            repeated_tokens: 0,
        });
        runs.len() - 1
    }

    fn change(&self, request: &str, run: usize, f: impl FnOnce(&mut Run)) {
        if let Some(run) = self
            .lock()
            .runs
            .get_mut(request)
            .and_then(|r| r.get_mut(run))
        {
            f(run);
        }
    }

    /// Records that work on a request began.
    pub fn started(&self, request: &str, run: usize) {
        self.change(request, run, |r| r.started = Some(Instant::now()));
    }

    /// Records that a request was finished.
    pub fn finished(&self, request: &str, run: usize) {
        self.change(request, run, |r| r.finished = true);
    }

    /// Records that prompt tokens were processed, those of whole `blocks` among them.
    pub fn prefilled(
        &self,
        request: &str,
        run: usize,
        tokens: u64,
        blocks: &[BlockHash],
        block_tokens: u64,
    ) {
        let mut inner = self.lock();
        let repeated = blocks.iter().filter(|b| !inner.blocks.insert(**b)).count() as u64;
        if let Some(run) = inner.runs.get_mut(request).and_then(|r| r.get_mut(run)) {
            run.prefill_tokens += tokens;
            run.repeated_tokens += repeated * block_tokens;
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

    /// How often each request ran.
    pub fn counts(&self) -> IndexMap<String, usize> {
        let inner = self.lock();
        inner
            .runs
            .iter()
            .map(|(key, runs)| (key.clone(), runs.len()))
            .collect()
    }

    /// Prompt tokens processed, and those of them that were wasted: processed before by some
    /// target, or for a request that was not finished.
    pub fn prefill(&self) -> (u64, u64) {
        let inner = self.lock();
        let runs = inner.runs.values().flatten();
        runs.fold((0, 0), |(all, wasted), run| {
            let lost = match run.finished {
                true => run.repeated_tokens,
                false => run.prefill_tokens,
            };
            (all + run.prefill_tokens, wasted + lost)
        })
    }
}

//! Engine simulator: continuous batching with a prefix cache.
//!
//! One step decodes one token for every running request and prefills one chunk of
//! prompt tokens, oldest prompt first. Requests are admitted first come, first
//! served; the engine has no priorities.

use indexmap::IndexMap;
use rwd_edge::{BLOCK_TOKENS, CacheEvents, LoadReport, prompt_blocks, prompt_tokens};
use rwd_types::{BlockHash, Tokens};
use serde::Deserialize;
use serde_json::json;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, watch};
use tokio::time::sleep_until;

use super::prefix_cache::PrefixCache;
use super::{Faults, Ledger};

/// Prompt tokens processed in one step.
pub(crate) const CHUNK_TOKENS: u64 = 128;
/// Streams kept; beyond this, the oldest ended stream can no longer be resumed.
const MAX_STREAMS: usize = 2048;

/// Speed and size of one engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Target name in the ledger.
    pub name: String,
    /// Maximum number of requests in a batch.
    pub batch: usize,
    /// Prompt tokens processed per millisecond.
    pub prefill_per_ms: f64,
    /// Base duration of a step in milliseconds.
    pub step_ms: f64,
    /// Milliseconds that each running request adds to a step.
    pub step_ms_per_request: f64,
    /// Capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
    /// Age at which a load report becomes visible.
    pub load_lag: Duration,
    /// Age at which a cache event becomes visible.
    pub event_lag: Duration,
    /// Every n-th cache event is lost; 0 loses none.
    pub event_gap_every: u64,
}

impl EngineSettings {
    /// Milliseconds of a step with a full batch and no prefill.
    pub fn full_step_ms(&self) -> f64 {
        self.step_ms + self.step_ms_per_request * self.batch as f64
    }

    /// Prompt tokens processed per millisecond while a full batch is decoding.
    pub fn prefill_rate_when_full(&self) -> f64 {
        let chunk = CHUNK_TOKENS as f64;
        chunk / (self.full_step_ms() + chunk / self.prefill_per_ms)
    }
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            name: "engine".into(),
            batch: 16,
            prefill_per_ms: 20.0,
            step_ms: 15.0,
            step_ms_per_request: 0.4,
            cache_blocks: 640,
            load_lag: Duration::from_millis(1500),
            event_lag: Duration::from_millis(1000),
            event_gap_every: 50,
        }
    }
}

/// The fields of a completion request that the simulator reads.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct CompletionRequest {
    pub model: String,
    pub prompt: String,
    pub max_tokens: Option<u64>,
    /// Output length in tokens, if the experiment fixes it.
    pub lab_output_tokens: Option<u64>,
    /// Prefix of every output token, by which the caller recognizes its response.
    #[serde(default)]
    pub lab_tag: String,
}

/// Events of one stream, numbered from 1.
#[derive(Debug, Default)]
pub(crate) struct StreamState {
    pub events: Vec<String>,
    /// `None` while the stream is open, then whether it is complete.
    pub ended: Option<bool>,
}

pub(crate) type Stream = watch::Sender<StreamState>;

struct Job {
    request: String,
    run: usize,
    stream: Arc<Stream>,
    tag: String,
    prompt: u64,
    output: u64,
    blocks: Vec<BlockHash>,
    cached: u64,
    prefill_left: u64,
    decoded: u64,
}

struct State {
    waiting: VecDeque<Job>,
    running: Vec<Job>,
    streams: IndexMap<String, Arc<Stream>>,
    cache: PrefixCache,
    reports: VecDeque<(Instant, LoadReport)>,
}

/// One simulated engine.
pub(crate) struct EngineSim {
    cfg: EngineSettings,
    faults: Arc<Faults>,
    ledger: Arc<Ledger>,
    state: Mutex<State>,
    work: Notify,
}

impl EngineSim {
    pub fn new(cfg: EngineSettings, faults: Arc<Faults>, ledger: Arc<Ledger>) -> Self {
        let state = State {
            waiting: VecDeque::new(),
            running: Vec::new(),
            streams: IndexMap::new(),
            cache: PrefixCache::new(cfg.cache_blocks, cfg.event_lag, cfg.event_gap_every),
            reports: VecDeque::new(),
        };
        Self {
            cfg,
            faults,
            ledger,
            state: Mutex::new(state),
            work: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Queues a request; every call is recorded as a run.
    pub fn submit(&self, request: &str, req: CompletionRequest) -> Arc<Stream> {
        let run = self.ledger.record_arrival(request, &self.cfg.name);
        let stream = Arc::new(Stream::default());
        let max_tokens = req.max_tokens.unwrap_or(16);
        let prompt = prompt_tokens(&req.prompt).0;
        let job = Job {
            request: request.to_owned(),
            run,
            stream: stream.clone(),
            tag: req.lab_tag,
            prompt,
            output: req
                .lab_output_tokens
                .unwrap_or(max_tokens)
                .clamp(1, max_tokens),
            blocks: prompt_blocks(&req.model, &req.prompt),
            cached: 0,
            prefill_left: prompt,
            decoded: 0,
        };
        let mut state = self.lock();
        if state.streams.len() > MAX_STREAMS {
            let ended = state
                .streams
                .values()
                .position(|s| s.borrow().ended.is_some());
            ended.and_then(|i| state.streams.shift_remove_index(i));
        }
        state.streams.insert(request.to_owned(), stream.clone());
        state.waiting.push_back(job);
        drop(state);
        self.work.notify_one();
        stream
    }

    pub fn stream(&self, request: &str) -> Option<Arc<Stream>> {
        self.lock().streams.get(request).cloned()
    }

    /// Cancels a waiting or running request; false if there is none.
    pub fn cancel(&self, request: &str) -> bool {
        let mut state = self.lock();
        state.waiting.retain(|j| j.request != request);
        state.running.retain(|j| j.request != request);
        let stream = state.streams.get(request).cloned();
        drop(state);
        let running = stream.filter(|s| s.borrow().ended.is_none());
        running.is_some_and(|s| {
            s.send_modify(|s| s.ended = Some(false));
            true
        })
    }

    pub fn load(&self) -> LoadReport {
        let state = self.lock();
        let visible = state
            .reports
            .iter()
            .rev()
            .find(|(at, _)| at.elapsed() >= self.cfg.load_lag);
        visible.map(|(_, report)| *report).unwrap_or_default()
    }

    pub fn cache_events(&self, from: u64) -> CacheEvents {
        let events = self.lock().cache.events(from);
        let next = events.last().map_or(from, |e| e.sequence + 1);
        CacheEvents { next, events }
    }

    /// Executes steps until the task is aborted.
    pub async fn run(self: Arc<Self>) {
        let mut next = tokio::time::Instant::now();
        loop {
            self.faults.wait_until_thawed().await;
            let step = self.start_step();
            match step {
                Some(ms) => {
                    let step_time = Duration::from_secs_f64(ms * self.faults.get().slow / 1000.0);
                    // Each step is scheduled from the end of the previous one, so timer delays
                    // do not add up; an engine that fell behind does not catch up.
                    let now = tokio::time::Instant::now();
                    next = (next + step_time).max(now);
                    sleep_until(next).await;
                    self.finish_step();
                }
                None => {
                    self.record_load();
                    tokio::select! {
                        () = self.work.notified() => (),
                        () = tokio::time::sleep(Duration::from_millis(200)) => (),
                    }
                    next = tokio::time::Instant::now();
                }
            }
        }
    }

    fn record_load(&self) {
        let mut state = self.lock();
        let running = state.running.iter();
        let report = LoadReport {
            running: state.running.len() as u64,
            waiting: state.waiting.len() as u64,
            prefill_backlog: Tokens(running.chain(&state.waiting).map(|j| j.prefill_left).sum()),
        };
        let recent = state
            .reports
            .back()
            .is_some_and(|(at, _)| at.elapsed() < Duration::from_millis(50));
        if !recent {
            state.reports.push_back((Instant::now(), report));
            if state.reports.len() > 256 {
                state.reports.pop_front();
            }
        }
    }

    // Starts a step and returns its duration in milliseconds, or `None` if there is no work.
    fn start_step(&self) -> Option<f64> {
        self.record_load();
        let mut guard = self.lock();
        let state = &mut *guard;
        while state.running.len() < self.cfg.batch
            && let Some(mut job) = state.waiting.pop_front()
        {
            let hits = state.cache.lookup(&job.blocks);
            // The last token of a prompt is processed even if the whole prompt is cached.
            job.cached = ((hits * BLOCK_TOKENS) as u64).min(job.prompt.saturating_sub(1));
            job.prefill_left = job.prompt - job.cached;
            self.ledger.record_start(&job.request, job.run);
            state.running.push(job);
        }
        if state.running.is_empty() {
            return None;
        }
        let mut chunk = 0;
        while let Some(job) = state.running.iter_mut().find(|j| j.prefill_left > 0)
            && chunk < CHUNK_TOKENS
        {
            let tokens = job.prefill_left.min(CHUNK_TOKENS - chunk);
            job.prefill_left -= tokens;
            chunk += tokens;
            if job.prefill_left == 0 {
                let cached = job.cached as usize / BLOCK_TOKENS;
                let processed = job.prompt - job.cached;
                let uncached = &job.blocks[cached.min(job.blocks.len())..];
                self.ledger.record_prefill(
                    &job.request,
                    job.run,
                    processed,
                    uncached,
                    BLOCK_TOKENS as u64,
                );
                state.cache.store(&job.blocks);
            }
        }
        let requests = state.running.len() as f64;
        let decode = self.cfg.step_ms + self.cfg.step_ms_per_request * requests;
        Some(decode + chunk as f64 / self.cfg.prefill_per_ms)
    }

    // Ends a step: emits one token for every request whose prompt has been processed.
    fn finish_step(&self) {
        let mut guard = self.lock();
        let state = &mut *guard;
        for job in state.running.iter_mut().filter(|j| j.prefill_left == 0) {
            job.decoded += 1;
            let complete = job.decoded == job.output;
            let text = format!("{}:{} ", job.tag, job.decoded);
            let mut event = json!({ "choices": [{ "index": 0, "text": text }] });
            if complete {
                event["usage"] = json!({
                    "prompt_tokens": job.prompt,
                    "completion_tokens": job.output,
                    "prompt_tokens_details": { "cached_tokens": job.cached },
                });
                self.ledger.record_finish(&job.request, job.run);
            }
            job.stream.send_modify(|s| {
                s.events.push(event.to_string());
                s.ended = complete.then_some(true);
            });
        }
        state.running.retain(|j| j.decoded < j.output);
    }
}

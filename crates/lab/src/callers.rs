//! A caller that discovers nodes, sends requests, and retries as the guide for callers says.

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use rwd_edge::{HttpClient, SseEvent, SseParser};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

/// A request without an outcome this long after its deadline counts as lost.
pub const LOST_AFTER: Duration = Duration::from_secs(5);
/// Pause between two attempts at a request.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Settings of a caller.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// The workspace it belongs to.
    pub workspace: String,
    /// The workspace's API key.
    pub key: String,
    /// Nodes to ask for addresses.
    pub nodes: Vec<SocketAddr>,
    /// Its availability zone.
    pub zone: String,
    /// How long the caller waits for data on a connection before it retries on a new one.
    pub response_timeout: Duration,
}

/// What a request asks for.
#[derive(Clone, Debug)]
pub enum RequestKind {
    /// A completion.
    Completion {
        /// The prompt.
        prompt: String,
        /// The output bound that the request states, in tokens.
        max_tokens: u64,
        /// Tokens that the engine simulator generates.
        output: u64,
    },
    /// A service call.
    Service {
        /// Path within the service.
        path: &'static str,
        /// Whether the call may be retried after it ran.
        idempotent: bool,
    },
}

/// A request to send.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// The tier.
    pub tier: &'static str,
    /// Priority of the tier; 0 is the highest.
    pub rank: u8,
    /// The model or service.
    pub pool: &'static str,
    /// What it asks for.
    pub kind: RequestKind,
    /// Time until the deadline, from when the request is sent.
    pub deadline: Duration,
    /// A unique text that the response repeats, to detect responses to another request.
    pub tag: String,
}

/// How a request ended, as its caller sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestOutcome {
    /// A complete response with the expected content.
    Complete,
    /// Refused without being run.
    NotRun {
        /// The kind of problem.
        kind: String,
    },
    /// Ended without a complete response; the request may have run.
    Unknown {
        /// The kind of problem.
        kind: String,
    },
    /// The response belongs to another request or is incomplete without saying so.
    Wrong,
    /// No outcome until `LOST_AFTER` past the deadline.
    Lost,
}

/// What a caller recorded of one request; the prompt is left out.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// The tier.
    pub tier: &'static str,
    /// Priority of the tier; 0 is the highest.
    pub rank: u8,
    /// The model or service.
    pub pool: &'static str,
    /// Whether it may be retried after it ran; always false for completions.
    pub idempotent: bool,
    /// The request key as targets see it.
    pub key: String,
    /// When it was sent.
    pub sent: Instant,
    /// When the first token arrived.
    pub first_token: Option<Instant>,
    /// Inter-token latencies, in milliseconds.
    pub intervals: Vec<f32>,
    /// When it ended.
    pub ended: Instant,
    /// How it ended.
    pub outcome: RequestOutcome,
    /// Time until the deadline, from `sent`.
    pub deadline: Duration,
    /// The workspace.
    pub workspace: String,
    /// Tokens received.
    pub tokens: u64,
}

impl RequestRecord {
    /// Whether a complete response arrived by the deadline.
    pub fn in_time(&self) -> bool {
        self.outcome == RequestOutcome::Complete && self.ended - self.sent <= self.deadline
    }
}

struct Addresses {
    list: Vec<SocketAddr>,
    key_prefix: String,
    last_sequence: u64,
    expires: Instant,
}

/// A caller and its cached node addresses.
pub struct Caller {
    cfg: CallerSettings,
    client: HttpClient,
    addresses: Mutex<Option<Addresses>>,
}

struct Progress {
    last_event_id: Option<u64>,
    received: u64,
    first_token: Option<Instant>,
    previous_token: Option<Instant>,
    intervals: Vec<f32>,
    mismatch: bool,
}

enum Attempt {
    Done(RequestOutcome),
    Retry,
}

impl Caller {
    /// Creates a caller; it asks for addresses when it sends its first request.
    pub fn new(cfg: CallerSettings) -> Self {
        Self {
            cfg,
            client: HttpClient::default(),
            addresses: Mutex::new(None),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<Addresses>> {
        self.addresses.lock().unwrap_or_else(|e| e.into_inner())
    }

    // Returns an unused request key and the addresses of the nodes that accept it.
    async fn next_key(&self, give_up_at: Instant) -> Option<(String, Vec<SocketAddr>)> {
        while Instant::now() < give_up_at {
            if let Some(addresses) = self.lock().as_mut().filter(|a| a.expires > Instant::now()) {
                addresses.last_sequence += 1;
                let key = format!("{}.{}", addresses.key_prefix, addresses.last_sequence);
                return Some((key, addresses.list.clone()));
            }
            if !self.fetch_addresses().await {
                sleep(RETRY_PAUSE).await;
            }
        }
        None
    }

    async fn fetch_addresses(&self) -> bool {
        let node = self.cfg.nodes[rand::random_range(0..self.cfg.nodes.len())];
        let (workspace, zone) = (&self.cfg.workspace, &self.cfg.zone);
        let uri = format!("http://{node}/v1/addresses?workspace={workspace}&zone={zone}");
        let Ok(req) = self.request(Method::GET, &uri).body(Full::default()) else {
            return false;
        };
        let value: Value = match self.client.json(req, self.cfg.response_timeout).await {
            Ok(value) => value,
            Err(_) => return false,
        };
        let list = value["addresses"].as_array().into_iter().flatten();
        let list: Vec<_> = list.filter_map(|a| a.as_str()?.parse().ok()).collect();
        let ttl = Duration::from_millis(value["ttl_ms"].as_u64().unwrap_or(0));
        let Some(key_prefix) = value["key_prefix"].as_str().filter(|_| !list.is_empty()) else {
            return false;
        };
        let expires = Instant::now() + ttl;
        *self.lock() = Some(Addresses {
            list,
            key_prefix: key_prefix.to_owned(),
            last_sequence: 0,
            expires,
        });
        true
    }

    fn request(&self, method: Method, uri: &str) -> http::request::Builder {
        let bearer = format!("Bearer {}", self.cfg.key);
        Request::builder()
            .method(method)
            .uri(uri)
            .header("authorization", bearer)
    }

    /// Sends a request and retries it until it has an outcome or is lost.
    pub async fn run(&self, spec: RequestSpec) -> RequestRecord {
        let sent = Instant::now();
        let give_up_at = sent + spec.deadline + LOST_AFTER;
        let mut progress = Progress {
            last_event_id: None,
            received: 0,
            first_token: None,
            previous_token: None,
            intervals: Vec::new(),
            mismatch: false,
        };
        let (key, addresses) = self.next_key(give_up_at).await.unwrap_or_default();
        let mut outcome = RequestOutcome::Lost;
        let mut retries = 0;
        while Instant::now() < give_up_at && !addresses.is_empty() {
            let node = addresses[retries % addresses.len()];
            let left = give_up_at - Instant::now();
            let attempt = timeout(
                left,
                self.attempt(node, &key, &spec, &mut progress, retries > 0),
            )
            .await;
            match attempt {
                Ok(Attempt::Done(result)) => {
                    outcome = result;
                    break;
                }
                Ok(Attempt::Retry) => {
                    retries += 1;
                    sleep(RETRY_PAUSE).await;
                }
                Err(_) => break,
            }
        }
        if retries > 0 {
            // The next request must not use addresses that failed.
            *self.lock() = None;
        }
        // Targets see the key without the MAC that follows the last `~` of the prefix.
        let without_mac = key
            .rsplit_once('.')
            .and_then(|(p, n)| Some((p.rsplit_once('~')?.0, n)));
        RequestRecord {
            tier: spec.tier,
            rank: spec.rank,
            pool: spec.pool,
            idempotent: matches!(
                spec.kind,
                RequestKind::Service {
                    idempotent: true,
                    ..
                }
            ),
            key: without_mac
                .map(|(p, n)| format!("{p}.{n}"))
                .unwrap_or_default(),
            sent,
            first_token: progress.first_token,
            intervals: progress.intervals,
            ended: Instant::now(),
            outcome,
            deadline: spec.deadline,
            workspace: self.cfg.workspace.clone(),
            tokens: progress.received,
        }
    }

    async fn attempt(
        &self,
        node: SocketAddr,
        key: &str,
        spec: &RequestSpec,
        progress: &mut Progress,
        retry: bool,
    ) -> Attempt {
        let Some(req) = self.build_request(node, key, spec, progress.last_event_id) else {
            return Attempt::Done(RequestOutcome::Wrong);
        };
        if progress.mismatch {
            return Attempt::Done(RequestOutcome::Wrong);
        }
        // After a failed attempt any pooled connection may be unresponsive, so a retry opens one.
        let head = match retry {
            true => timeout(self.cfg.response_timeout, self.client.send_fresh(req)).await,
            false => timeout(self.cfg.response_timeout, self.client.send(req)).await,
        };
        let response = match head {
            Ok(Ok(response)) => response,
            _ => return Attempt::Retry,
        };
        match (&spec.kind, response.status().is_success()) {
            (_, false) => read_problem(response, self.cfg.response_timeout).await,
            (RequestKind::Completion { output, .. }, true) => {
                self.read_stream(response, spec, *output, progress).await
            }
            (RequestKind::Service { .. }, true) => {
                let Some(value) = read_json(response, self.cfg.response_timeout).await else {
                    return Attempt::Retry;
                };
                progress.first_token.get_or_insert(Instant::now());
                match value["lab_tag"] == spec.tag.as_str() {
                    true => Attempt::Done(RequestOutcome::Complete),
                    false => Attempt::Done(RequestOutcome::Wrong),
                }
            }
        }
    }

    fn build_request(
        &self,
        node: SocketAddr,
        key: &str,
        spec: &RequestSpec,
        last_event_id: Option<u64>,
    ) -> Option<Request<Full<Bytes>>> {
        let (path, body) = match &spec.kind {
            RequestKind::Completion {
                prompt,
                max_tokens,
                output,
            } => {
                let body = json!({
                    "model": spec.pool,
                    "prompt": prompt,
                    "max_tokens": max_tokens,
                    "stream": true,
                    "lab_output_tokens": output,
                    "lab_tag": spec.tag,
                });
                ("/v1/completions".to_owned(), body)
            }
            RequestKind::Service { path, .. } => {
                let path = format!("/v1/services/{}/{path}", spec.pool);
                (path, json!({ "lab_tag": spec.tag }))
            }
        };
        let mut req = self.request(Method::POST, &format!("http://{node}{path}"));
        req = req
            .header("content-type", "application/json")
            .header("idempotency-key", key)
            .header("x-tier", spec.tier)
            .header("x-deadline-ms", spec.deadline.as_millis().to_string());
        if let RequestKind::Service {
            idempotent: false, ..
        } = spec.kind
        {
            req = req.header("x-idempotent", "false");
        }
        if let Some(id) = last_event_id {
            req = req.header("last-event-id", id.to_string());
        }
        req.body(Full::new(body.to_string().into())).ok()
    }

    async fn read_stream(
        &self,
        response: Response<Incoming>,
        spec: &RequestSpec,
        output: u64,
        progress: &mut Progress,
    ) -> Attempt {
        let mut body = response.into_body();
        let mut parser = SseParser::default();
        loop {
            while let Ok(Some(event)) = parser.next_event() {
                if let Some(attempt) = progress.handle_event(&event, spec, output) {
                    return attempt;
                }
            }
            match timeout(self.cfg.response_timeout, body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        parser.extend(&data);
                    }
                }
                _ => {
                    // The stream broke or stalled; a retry resumes it after the last event.
                    progress.last_event_id.get_or_insert(0);
                    return Attempt::Retry;
                }
            }
        }
    }
}

impl Progress {
    fn handle_event(
        &mut self,
        event: &SseEvent,
        spec: &RequestSpec,
        output: u64,
    ) -> Option<Attempt> {
        if event.data == "[DONE]" {
            return Some(Attempt::Done(
                match self.received == output && !self.mismatch {
                    true => RequestOutcome::Complete,
                    false => RequestOutcome::Wrong,
                },
            ));
        }
        if event.event == "error" {
            let value: Value = serde_json::from_str(&event.data).unwrap_or_default();
            return Some(match value["title"].as_str() {
                Some("home-lost") => Attempt::Retry,
                _ => Attempt::Done(problem_outcome(&value)),
            });
        }
        let now = Instant::now();
        self.received += 1;
        let value: Value = serde_json::from_str(&event.data).unwrap_or_default();
        let expected = format!("{}:{} ", spec.tag, self.received);
        self.mismatch |= value["choices"][0]["text"] != expected.as_str();
        self.last_event_id = event.id;
        match self.previous_token.replace(now) {
            Some(previous) => self.intervals.push((now - previous).as_secs_f32() * 1000.0),
            None => self.first_token = Some(now),
        }
        None
    }
}

async fn read_json(response: Response<Incoming>, response_timeout: Duration) -> Option<Value> {
    let body = timeout(response_timeout, response.into_body().collect())
        .await
        .ok()?
        .ok()?;
    serde_json::from_slice(&body.to_bytes()).ok()
}

async fn read_problem(response: Response<Incoming>, response_timeout: Duration) -> Attempt {
    let Some(value) = read_json(response, response_timeout).await else {
        return Attempt::Retry;
    };
    Attempt::Done(problem_outcome(&value))
}

// The outcome that a problem document reports; `ran` says whether the request ran.
fn problem_outcome(problem: &Value) -> RequestOutcome {
    let kind = problem["title"].as_str().unwrap_or("").to_owned();
    match problem["ran"].as_str() {
        Some("no") => RequestOutcome::NotRun { kind },
        _ => RequestOutcome::Unknown { kind },
    }
}

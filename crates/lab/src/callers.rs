//! A caller: asks for addresses, sends requests, retries as the guide tells callers to.

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

/// How long after its deadline a request may take before it counts as lost.
pub const LOST_AFTER: Duration = Duration::from_secs(5);
/// Pause between two attempts at a request.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Who a caller is.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// Its workspace.
    pub workspace: String,
    /// The workspace's key.
    pub key: String,
    /// Nodes to ask for addresses.
    pub nodes: Vec<SocketAddr>,
    /// Its availability zone.
    pub zone: String,
    /// How long it waits for anything on one connection before it asks again on a new one.
    pub response_timeout: Duration,
}

/// What a request asks for.
#[derive(Clone, Debug)]
pub enum RequestKind {
    /// A completion.
    Completion {
        /// The prompt.
        prompt: String,
        /// The bound on the answer that the caller states.
        max_tokens: u64,
        /// The answer's length.
        output: u64,
    },
    /// A call of a plain service.
    Service {
        /// Path within the service.
        path: &'static str,
        /// Whether it may be repeated.
        idempotent: bool,
    },
}

/// One request to send.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// Its tier.
    pub tier: &'static str,
    /// The place of its tier in the order of value.
    pub rank: u8,
    /// The model or service.
    pub pool: &'static str,
    /// What it asks for.
    pub shape: RequestKind,
    /// Its deadline.
    pub deadline: Duration,
    /// Tells its answer from others.
    pub tag: String,
}

/// How a request ended, as its caller sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestOutcome {
    /// The whole answer, and the right one.
    Whole,
    /// Refused, not run.
    NotRun {
        /// The kind of problem.
        kind: String,
    },
    /// Ended without a whole answer; it may have run, or ran.
    Unknown {
        /// The kind of problem.
        kind: String,
    },
    /// Not the answer to this request.
    Wrong,
    /// Nothing by the deadline and some time more.
    Lost,
}

/// What a caller recorded of one request.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// What was asked; the prompt is left out.
    pub tier: &'static str,
    /// The place of its tier in the order of value.
    pub rank: u8,
    /// The model or service.
    pub pool: &'static str,
    /// Whether it may be repeated; completions may not.
    pub idempotent: bool,
    /// Its key as targets see it.
    pub key: String,
    /// When it was sent.
    pub sent: Instant,
    /// When the first token came.
    pub first_token: Option<Instant>,
    /// Times between tokens, in milliseconds.
    pub intervals: Vec<f32>,
    /// When it ended.
    pub ended: Instant,
    /// How it ended.
    pub outcome: RequestOutcome,
    /// Its deadline.
    pub deadline: Duration,
    /// The workspace.
    pub workspace: String,
    /// Tokens of the answer.
    pub tokens: u64,
}

impl RequestRecord {
    /// Whether the whole answer came by the deadline.
    pub fn in_time(&self) -> bool {
        self.outcome == RequestOutcome::Whole && self.ended - self.sent <= self.deadline
    }
}

struct Addresses {
    list: Vec<SocketAddr>,
    prefix: String,
    next: u64,
    until: Instant,
}

/// One caller.
pub struct Caller {
    cfg: CallerSettings,
    client: HttpClient,
    addresses: Mutex<Option<Addresses>>,
}

struct Progress {
    last: Option<u64>,
    received: u64,
    first: Option<Instant>,
    previous: Option<Instant>,
    intervals: Vec<f32>,
    wrong: bool,
}

enum Attempt {
    End(RequestOutcome),
    Again,
}

impl Caller {
    /// A caller without addresses.
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

    // A fresh key and the addresses that go with it.
    async fn next_key(&self, give_up: Instant) -> Option<(String, Vec<SocketAddr>)> {
        while Instant::now() < give_up {
            if let Some(addresses) = self.lock().as_mut().filter(|a| a.until > Instant::now()) {
                addresses.next += 1;
                let key = format!("{}.{}", addresses.prefix, addresses.next);
                return Some((key, addresses.list.clone()));
            }
            if !self.ask_addresses().await {
                sleep(RETRY_PAUSE).await;
            }
        }
        None
    }

    async fn ask_addresses(&self) -> bool {
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
        let Some(prefix) = value["key_prefix"].as_str().filter(|_| !list.is_empty()) else {
            return false;
        };
        let until = Instant::now() + ttl;
        *self.lock() = Some(Addresses {
            list,
            prefix: prefix.to_owned(),
            next: 0,
            until,
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

    /// Sends one request and stays with it until it ends.
    pub async fn run(&self, spec: RequestSpec) -> RequestRecord {
        let sent = Instant::now();
        let give_up = sent + spec.deadline + LOST_AFTER;
        let mut progress = Progress {
            last: None,
            received: 0,
            first: None,
            previous: None,
            intervals: Vec::new(),
            wrong: false,
        };
        let (key, addresses) = self.next_key(give_up).await.unwrap_or_default();
        let mut outcome = RequestOutcome::Lost;
        let mut turn = 0;
        while Instant::now() < give_up && !addresses.is_empty() {
            let node = addresses[turn % addresses.len()];
            let left = give_up - Instant::now();
            let attempt = timeout(
                left,
                self.attempt(node, &key, &spec, &mut progress, turn > 0),
            )
            .await;
            match attempt {
                Ok(Attempt::End(end)) => {
                    outcome = end;
                    break;
                }
                Ok(Attempt::Again) => {
                    turn += 1;
                    sleep(RETRY_PAUSE).await;
                }
                Err(_) => break,
            }
        }
        if turn > 0 {
            // Addresses that failed are not used for the next request.
            *self.lock() = None;
        }
        let sealed = key
            .rsplit_once('.')
            .and_then(|(p, n)| Some((p.rsplit_once('~')?.0, n)));
        RequestRecord {
            tier: spec.tier,
            rank: spec.rank,
            pool: spec.pool,
            idempotent: matches!(
                spec.shape,
                RequestKind::Service {
                    idempotent: true,
                    ..
                }
            ),
            key: sealed.map(|(p, n)| format!("{p}.{n}")).unwrap_or_default(),
            sent,
            first_token: progress.first,
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
        let Some(req) = self.build(node, key, spec, progress.last) else {
            return Attempt::End(RequestOutcome::Wrong);
        };
        if progress.wrong {
            return Attempt::End(RequestOutcome::Wrong);
        }
        // After a failed attempt any open connection may be a silent one.
        let head = match retry {
            true => timeout(self.cfg.response_timeout, self.client.send_fresh(req)).await,
            false => timeout(self.cfg.response_timeout, self.client.send(req)).await,
        };
        let response = match head {
            Ok(Ok(response)) => response,
            _ => return Attempt::Again,
        };
        match (&spec.shape, response.status().is_success()) {
            (_, false) => problem(response, self.cfg.response_timeout).await,
            (RequestKind::Completion { output, .. }, true) => {
                self.read_stream(response, spec, *output, progress).await
            }
            (RequestKind::Service { .. }, true) => {
                let Some(value) = read_json(response, self.cfg.response_timeout).await else {
                    return Attempt::Again;
                };
                progress.first.get_or_insert(Instant::now());
                match value["lab_tag"] == spec.tag.as_str() {
                    true => Attempt::End(RequestOutcome::Whole),
                    false => Attempt::End(RequestOutcome::Wrong),
                }
            }
        }
    }

    fn build(
        &self,
        node: SocketAddr,
        key: &str,
        spec: &RequestSpec,
        last: Option<u64>,
    ) -> Option<Request<Full<Bytes>>> {
        let (path, body) = match &spec.shape {
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
        } = spec.shape
        {
            req = req.header("x-idempotent", "false");
        }
        if let Some(last) = last {
            req = req.header("last-event-id", last.to_string());
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
                if let Some(end) = progress.event(&event, spec, output) {
                    return end;
                }
            }
            match timeout(self.cfg.response_timeout, body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        parser.extend(&data);
                    }
                }
                _ => {
                    // The stream broke or went silent; a new connection goes on from the last event.
                    progress.last.get_or_insert(0);
                    return Attempt::Again;
                }
            }
        }
    }
}

impl Progress {
    fn event(&mut self, event: &SseEvent, spec: &RequestSpec, output: u64) -> Option<Attempt> {
        if event.data == "[DONE]" {
            return Some(Attempt::End(match self.received == output && !self.wrong {
                true => RequestOutcome::Whole,
                false => RequestOutcome::Wrong,
            }));
        }
        if event.event == "error" {
            let value: Value = serde_json::from_str(&event.data).unwrap_or_default();
            return Some(match value["title"].as_str() {
                Some("home-lost") => Attempt::Again,
                _ => Attempt::End(ended(&value)),
            });
        }
        let now = Instant::now();
        self.received += 1;
        let value: Value = serde_json::from_str(&event.data).unwrap_or_default();
        let expected = format!("{}:{} ", spec.tag, self.received);
        self.wrong |= value["choices"][0]["text"] != expected.as_str();
        self.last = event.id;
        match self.previous.replace(now) {
            Some(previous) => self.intervals.push((now - previous).as_secs_f32() * 1000.0),
            None => self.first = Some(now),
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

async fn problem(response: Response<Incoming>, response_timeout: Duration) -> Attempt {
    let Some(value) = read_json(response, response_timeout).await else {
        return Attempt::Again;
    };
    Attempt::End(ended(&value))
}

// What a problem says of the request.
fn ended(problem: &Value) -> RequestOutcome {
    let kind = problem["title"].as_str().unwrap_or("").to_owned();
    match problem["ran"].as_str() {
        Some("no") => RequestOutcome::NotRun { kind },
        _ => RequestOutcome::Unknown { kind },
    }
}

//! A fake of the platform's store: keyed topics with one partition each.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use percent_encoding::percent_decode_str;
use serde_json::json;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// Fault that the store injects.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreFault {
    /// No fault.
    None,
    /// Every call gets 503.
    Busy,
    /// No call gets a response.
    Unresponsive,
    /// Every connection is closed without a response.
    Reset,
}

#[derive(Clone, Default)]
struct Topic {
    records: Vec<(String, Vec<u8>)>,
    first: u64,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

/// Value and offset of the newest record by topic and key.
type Newest = IndexMap<(String, String), (Vec<u8>, u64)>;

struct Shared {
    topics: Mutex<IndexMap<String, Topic>>,
    newest: Mutex<Newest>,
    changed: watch::Sender<u64>,
    fault: watch::Sender<StoreFault>,
    // Rises with each restore.
    era: Mutex<u64>,
    calls: Mutex<u64>,
}

/// Records in one page of the newest records.
pub const PAGE_RECORDS: usize = 500;

/// Bytes of records in one page of the newest records.
const PAGE_BYTES: usize = 1 << 20;

/// The content of a store at one time, from which it can be restored.
#[derive(Clone)]
pub struct StoreCopy {
    topics: IndexMap<String, Topic>,
    newest: Newest,
}

impl StoreCopy {
    /// The copy without one topic, as if that had been created later.
    pub fn without(mut self, topic: &str) -> Self {
        self.topics.shift_remove(topic);
        self.newest.retain(|(t, _), _| t != topic);
        self
    }
}

/// A running fake store; dropping it stops accepting connections.
pub struct FakeStore {
    address: SocketAddr,
    shared: Arc<Shared>,
    task: AbortHandle,
}

impl Drop for FakeStore {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl FakeStore {
    /// Starts on a free port of `ip`.
    ///
    /// # Errors
    ///
    /// Returns an error if no port of `ip` can be bound.
    pub async fn start(ip: std::net::IpAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            topics: Mutex::default(),
            newest: Mutex::default(),
            changed: watch::Sender::new(0),
            fault: watch::Sender::new(StoreFault::None),
            era: Mutex::new(1),
            calls: Mutex::new(0),
        });
        let task = tokio::spawn(accept(listener, shared.clone())).abort_handle();
        Ok(Self {
            address,
            shared,
            task,
        })
    }

    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of calls received.
    pub fn calls(&self) -> u64 {
        *lock(&self.shared.calls)
    }

    /// Replaces the active fault.
    pub fn set_fault(&self, fault: StoreFault) {
        self.shared.fault.send_replace(fault);
    }

    /// Appends a record, as the operator and the targets do; `None` removes the key.
    pub fn put(&self, topic: &str, key: &str, value: Option<&str>) {
        let value = value.unwrap_or_default().as_bytes();
        self.shared.append(topic, key, value);
    }

    /// Copies the content.
    pub fn copy(&self) -> StoreCopy {
        let topics = lock(&self.shared.topics);
        StoreCopy {
            topics: topics.clone(),
            newest: lock(&self.shared.newest).clone(),
        }
    }

    /// Replaces the content by an earlier copy and begins a new era.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut topics = lock(&self.shared.topics);
        *topics = copy.topics.clone();
        *lock(&self.shared.newest) = copy.newest.clone();
        *lock(&self.shared.era) += 1;
        drop(topics);
        self.shared.changed.send_modify(|n| *n += 1);
    }

    /// Waits for the next change of any topic.
    pub async fn changed(&self) {
        let mut changed = self.shared.changed.subscribe();
        // Cannot fail: the sender lives as long as `self`.
        let _ = changed.changed().await;
    }

    /// The end offset of a topic.
    pub fn end(&self, topic: &str) -> u64 {
        lock(&self.shared.topics).get(topic).map_or(0, Topic::end)
    }

    /// The newest value of a key.
    pub fn value(&self, topic: &str, key: &str) -> Option<String> {
        let newest = lock(&self.shared.newest);
        let (value, _) = newest.get(&(topic.to_owned(), key.to_owned()))?;
        Some(String::from_utf8_lossy(value).into_owned())
    }

    /// The keys of a topic that have a value.
    pub fn keys(&self, topic: &str) -> Vec<String> {
        let newest = lock(&self.shared.newest);
        let keys = newest.keys().filter(|(t, _)| t == topic);
        keys.map(|(_, key)| key.clone()).collect()
    }

    /// The nodes in the gateway's list of nodes, by their keys.
    pub fn listed_nodes(&self) -> Vec<String> {
        let mut keys = self.keys("keyed.nodes");
        keys.retain(|key| key.parse::<SocketAddr>().is_ok());
        keys
    }

    /// Deletes the log of a topic but keeps the newest value of each key.
    pub fn compact(&self, topic: &str) {
        let mut topics = lock(&self.shared.topics);
        if let Some(topic) = topics.get_mut(topic) {
            topic.first = topic.end();
            topic.records.clear();
        }
        drop(topics);
        self.shared.changed.send_modify(|n| *n += 1);
    }
}

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|e| e.into_inner())
}

impl Shared {
    fn append(&self, topic: &str, key: &str, value: &[u8]) {
        let mut topics = lock(&self.topics);
        let log = topics.entry(topic.to_owned()).or_default();
        let offset = log.end();
        log.records.push((key.to_owned(), value.to_vec()));
        let id = (topic.to_owned(), key.to_owned());
        match value.is_empty() {
            true => lock(&self.newest).shift_remove(&id),
            false => lock(&self.newest).insert(id, (value.to_vec(), offset)),
        };
        drop(topics);
        self.changed.send_modify(|n| *n += 1);
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((tcp, _)) = listener.accept().await {
        let shared = shared.clone();
        tokio::spawn(async move {
            let mut fault = shared.fault.subscribe();
            let service = service_fn(move |req| handle(req, shared.clone()));
            let connection = http1::Builder::new().serve_connection(TokioIo::new(tcp), service);
            // Ends when the caller disconnects or a reset closes all connections.
            tokio::select! {
                _ = connection => (),
                _ = fault.wait_for(|f| *f == StoreFault::Reset) => (),
            }
        });
    }
}

type StoreResponse = Response<Full<Bytes>>;

async fn handle(req: Request<Incoming>, shared: Arc<Shared>) -> Result<StoreResponse, Infallible> {
    *lock(&shared.calls) += 1;
    let fault = *shared.fault.borrow();
    match fault {
        StoreFault::Busy => return Ok(status(StatusCode::SERVICE_UNAVAILABLE)),
        StoreFault::Unresponsive | StoreFault::Reset => std::future::pending::<()>().await,
        StoreFault::None => (),
    }
    let (parts, body) = req.into_parts();
    let query = parts.uri.query().unwrap_or_default().to_owned();
    let param = |name: &str| {
        let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
        pairs.find(|(k, _)| *k == name).map(|(_, v)| v.to_owned())
    };
    let topic = param("topic").unwrap_or_default();
    let mut response = match (parts.method, parts.uri.path()) {
        (Method::GET, "/api/log-newest") => {
            let after = param("after");
            let after = after.map(|a| percent_decode_str(&a).decode_utf8_lossy().into_owned());
            newest(&shared, &topic, after.as_deref())
        }
        (Method::GET, "/api/log-read") => {
            let from = param("from").and_then(|v| v.parse().ok()).unwrap_or(0);
            let wait = param("wait_ms").and_then(|v| v.parse().ok()).unwrap_or(0);
            let max_kb = param("max_kb").and_then(|v| v.parse().ok()).unwrap_or(1024);
            let wait = Duration::from_millis(wait);
            read(&shared, &topic, from, max_kb << 10, wait).await
        }
        (Method::POST, "/api/log-append") => match body.collect().await {
            Ok(body) => {
                let at = param("at").and_then(|v| v.parse().ok());
                append(&shared, &topic, at, body.to_bytes())
            }
            Err(_) => status(StatusCode::BAD_REQUEST),
        },
        _ => status(StatusCode::NOT_FOUND),
    };
    let era = *lock(&shared.era);
    response.headers_mut().insert("Store-Era", era.into());
    Ok(response)
}

// One page of the newest records, in the order of their keys.
fn newest(shared: &Shared, topic: &str, after: Option<&str>) -> StoreResponse {
    let end = lock(&shared.topics).get(topic).map_or(0, Topic::end);
    let newest = lock(&shared.newest);
    let items = newest.iter().filter(|((t, key), _)| {
        let is_after = after.is_none_or(|after| key.as_str() > after);
        t == topic && is_after
    });
    let mut items: Vec<_> = items.collect();
    items.sort_by(|((_, a), _), ((_, b), _)| a.cmp(b));
    // A page has at least one record, however long that is.
    let mut bytes = 0;
    let fitting = items
        .iter()
        .take(PAGE_RECORDS)
        .take_while(|(_, (value, _))| {
            bytes += value.len();
            bytes == value.len() || bytes <= PAGE_BYTES
        });
    let count = fitting.count();
    let has_more = items.len() > count;
    items.truncate(count);
    let items = items.into_iter().map(|((_, key), (value, offset))| {
        json!({"key": key, "value": STANDARD.encode(value), "offset": offset})
    });
    let items: Vec<_> = items.collect();
    let body = json!({"items": items, "has_more": has_more, "end_offset": end});
    Response::new(Full::new(Bytes::from(body.to_string())))
}

async fn read(
    shared: &Shared,
    topic: &str,
    from: u64,
    max_bytes: usize,
    wait: Duration,
) -> StoreResponse {
    let mut changed = shared.changed.subscribe();
    let has_update = |topics: &IndexMap<String, Topic>| {
        topics
            .get(topic)
            .is_some_and(|t| t.end() != from || t.first > from)
    };
    let updated = async {
        while !has_update(&lock(&shared.topics)) {
            if changed.changed().await.is_err() {
                return;
            }
        }
    };
    // If the wait ends without an update, the response has no records.
    let _ = timeout(wait, updated).await;
    let topics = lock(&shared.topics);
    let empty = Topic::default();
    let log = topics.get(topic).unwrap_or(&empty);
    if from < log.first || from > log.end() {
        return status(StatusCode::GONE);
    }
    let mut buf = BytesMut::new();
    buf.put_u64(log.end());
    buf.put_u64(log.first);
    let head = buf.len();
    for (key, value) in log.records.iter().skip((from - log.first) as usize) {
        if buf.len() > head && buf.len() + value.len() > max_bytes {
            break;
        }
        buf.put_u32((1 + key.len() + value.len()) as u32);
        buf.put_u8(key.len() as u8);
        buf.put_slice(key.as_bytes());
        buf.put_slice(value);
    }
    Response::new(Full::new(buf.freeze()))
}

fn append(shared: &Shared, topic: &str, at: Option<u64>, mut body: Bytes) -> StoreResponse {
    // Calls run on one thread, and nothing waits in between.
    let end = lock(&shared.topics).get(topic).map_or(0, Topic::end);
    if at.is_some_and(|at| at != end) {
        return status(StatusCode::PRECONDITION_FAILED);
    }
    while body.len() > 4 {
        let len = body.get_u32() as usize;
        let mut record = body.split_to(len.min(body.len()));
        let key_len = usize::from(record.get_u8());
        let key = record.split_to(key_len.min(record.len()));
        shared.append(topic, &String::from_utf8_lossy(&key), &record);
    }
    Response::new(Full::new(Bytes::from_static(b"{}")))
}

fn status(status: StatusCode) -> StoreResponse {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

//! Stand-in for the platform's store. Each node has a channel to it of its own, an address, on which
//! its calls can be turned away while the other nodes and the operator are served.

use std::collections::BTreeMap;
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Conn, Head, response};
use crate::record::Record;

/// What a node's calls get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    None = 0,
    /// 503
    Busy = 1,
}

#[derive(Default)]
struct Topic {
    records: Vec<(String, Vec<u8>)>,
    newest: BTreeMap<String, (Vec<u8>, u64)>,
}

type Topics = BTreeMap<String, Topic>;

struct Shared {
    topics: Mutex<Topics>,
    changed: Condvar,
    record: Record,
}

/// The way of one node to the store.
pub struct Door {
    pub address: SocketAddr,
    fault: Arc<AtomicU8>,
    // The last successful read of the operator's topic, in ms, and how many there were.
    reads: Arc<Mutex<(u64, f64)>>,
}

impl Door {
    pub fn set_fault(&self, fault: Fault) {
        self.fault.store(fault as u8, Ordering::SeqCst);
    }

    /// How many reads of the operator's topic came, and when the last one did.
    pub fn reads(&self) -> (u64, f64) {
        *self.reads.lock().unwrap()
    }
}

pub struct Store {
    shared: Arc<Shared>,
}

impl Store {
    pub fn new(record: Record) -> Self {
        let shared = Shared {
            topics: Mutex::default(),
            changed: Condvar::new(),
            record,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Writes a record as the operator or a runner; returns when it is acknowledged, in ms.
    pub fn put(&self, topic: &str, key: &str, value: &str) -> f64 {
        self.shared.append(topic, key, value.as_bytes());
        self.shared.record.now()
    }

    pub fn open(&self, ip: IpAddr) -> Door {
        let listener = TcpListener::bind((ip, 0)).expect("a port for the store");
        let address = listener.local_addr().expect("its address");
        let fault = Arc::new(AtomicU8::new(0));
        let reads = Arc::new(Mutex::new((0, 0.0)));
        let (shared, f, r) = (self.shared.clone(), fault.clone(), reads.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (shared, f, r) = (shared.clone(), f.clone(), r.clone());
                thread::spawn(move || shared.serve(Conn::new(stream), &f, &r));
            }
        });
        Door {
            address,
            fault,
            reads,
        }
    }
}

fn parameter(query: &str, name: &str) -> Option<String> {
    let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
    let value = pairs.find(|(k, _)| *k == name).map(|(_, v)| v)?;
    let (mut out, bytes) = (Vec::new(), value.as_bytes());
    let mut i = 0;
    while i < bytes.len() {
        let hex = value
            .get(i + 1..i + 3)
            .and_then(|h| u8::from_str_radix(h, 16).ok());
        match (bytes[i], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                i += 3;
            }
            (byte, _) => {
                out.push(byte);
                i += 1;
            }
        }
    }
    Some(String::from_utf8_lossy(&out).into_owned())
}

fn base64(data: &[u8]) -> String {
    const LETTERS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for piece in data.chunks(3) {
        let all = piece.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - piece.len()));
        for i in 0..4 {
            match i <= piece.len() {
                true => out.push(LETTERS[(all >> (18 - 6 * i)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}

impl Shared {
    fn append(&self, topic: &str, key: &str, value: &[u8]) {
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(topic.to_owned()).or_default();
        let offset = topic.records.len() as u64;
        topic.records.push((key.to_owned(), value.to_vec()));
        match value.is_empty() {
            true => topic.newest.remove(key),
            false => topic
                .newest
                .insert(key.to_owned(), (value.to_vec(), offset)),
        };
        self.changed.notify_all();
    }

    fn serve(&self, mut conn: Conn, fault: &AtomicU8, reads: &Mutex<(u64, f64)>) {
        while let Ok(Some(head)) = conn.read_head() {
            let Ok(body) = conn.read_body(&head) else {
                return;
            };
            // It takes 4 ms to answer.
            thread::sleep(Duration::from_millis(4));
            let answer = match fault.load(Ordering::SeqCst) {
                1 => Some(response("503 Service Unavailable", &[], b"")),
                _ => {
                    let answer = self.answer(&head, &body, fault);
                    if answer.is_some() && head.target().1.contains("topic=keyed.op") {
                        let mut reads = reads.lock().unwrap();
                        *reads = (reads.0 + 1, self.record.now());
                    }
                    answer
                }
            };
            let Some(answer) = answer else {
                // Turned away in the middle of a wait.
                let _ = conn.stream.shutdown(Shutdown::Both);
                return;
            };
            if conn.send(&answer).is_err() {
                return;
            }
        }
    }

    // None if the call is turned away while it waits.
    fn answer(&self, head: &Head, body: &[u8], fault: &AtomicU8) -> Option<Vec<u8>> {
        let (method, uri) = head.target();
        let (path, query) = uri.split_once('?').unwrap_or((uri, ""));
        let topic = parameter(query, "topic").unwrap_or_default();
        let number = |name: &str| parameter(query, name).and_then(|v| v.parse::<u64>().ok());
        let json = ("Content-Type", "application/json");
        let era = ("Store-Era", "1");
        Some(match (method, path) {
            ("POST", "/api/log-append") => {
                let mut rest = body;
                while rest.len() >= 4 {
                    let n = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                    let entry = &rest[4..4 + n];
                    let key = usize::from(entry[0]);
                    let name = String::from_utf8_lossy(&entry[1..1 + key]).into_owned();
                    self.append(&topic, &name, &entry[1 + key..]);
                    rest = &rest[4 + n..];
                }
                let end = self.end(&topic);
                let text = format!("{{\"offset\":{},\"end_offset\":{end}}}", end.max(1) - 1);
                response("200 OK", &[json, era], text.as_bytes())
            }
            ("GET", "/api/log-newest") => {
                let after = parameter(query, "after").unwrap_or_default();
                let topics = self.topics.lock().unwrap();
                let empty = Topic::default();
                let t = topics.get(&topic).unwrap_or(&empty);
                let items = t.newest.iter().filter(|(key, _)| **key > after);
                let items = items.map(|(key, (value, offset))| {
                    let value = base64(value);
                    format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
                });
                let items: Vec<_> = items.collect();
                let text = format!(
                    "{{\"items\":[{}],\"has_more\":false,\"end_offset\":{}}}",
                    items.join(","),
                    t.records.len()
                );
                response("200 OK", &[json, era], text.as_bytes())
            }
            ("GET", "/api/log-read") => {
                let from = number("from").unwrap_or(0) as usize;
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(30_000));
                let end = Instant::now() + wait;
                let mut topics = self.topics.lock().unwrap();
                let len = |t: &Topics| t.get(&topic).map_or(0, |t| t.records.len());
                while len(&topics) <= from && Instant::now() < end {
                    let step = Duration::from_millis(5);
                    topics = self.changed.wait_timeout(topics, step).unwrap().0;
                    if fault.load(Ordering::SeqCst) != 0 {
                        return None;
                    }
                }
                let len = len(&topics);
                if from > len {
                    return Some(response("410 Gone", &[json, era], b"{\"first_offset\":0}"));
                }
                let mut bytes = (len as u64).to_be_bytes().to_vec();
                bytes.extend(0u64.to_be_bytes());
                for (key, value) in topics.get(&topic).iter().flat_map(|t| &t.records[from..]) {
                    bytes.extend((1 + key.len() as u32 + value.len() as u32).to_be_bytes());
                    bytes.push(key.len() as u8);
                    bytes.extend(key.as_bytes());
                    bytes.extend(value);
                }
                response("200 OK", &[era], &bytes)
            }
            _ => response("404 Not Found", &[era], b""),
        })
    }

    fn end(&self, topic: &str) -> usize {
        let topics = self.topics.lock().unwrap();
        topics.get(topic).map_or(0, |t| t.records.len())
    }
}

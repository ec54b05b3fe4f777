//! Stand-ins of the platform's store, of runners and of requesters, and the start of gateway
//! processes by the command of the deploy file. Only the standard library is used.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A small generator of random numbers (splitmix64).
pub struct Rng(AtomicU64);

impl Rng {
    pub fn new(seed: u64) -> Self {
        Self(AtomicU64::new(seed))
    }

    pub fn next(&self) -> u64 {
        let mut z = self.0.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    pub fn unit(&self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn below(&self, n: usize) -> usize {
        (self.next() % n as u64) as usize
    }

    pub fn exponential(&self, mean: f64) -> f64 {
        -(1.0 - self.unit()).ln() * mean
    }
}

/// What was sent, answered and run: one line each, with the milliseconds since the start.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(path: &str) -> Self {
        let file = File::create(path).expect("record.txt");
        Self { start: Instant::now(), file: Mutex::new(file) }
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:10.1} {text}", self.now());
    }

    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{:8.1} {text}", self.now());
    }
}

// ---- HTTP ----

pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }
}

/// A connection with its unread bytes.
pub struct Channel {
    pub tcp: TcpStream,
    pub buf: Vec<u8>,
}

pub enum Got {
    Bytes,
    End,
    Timeout,
    Reset,
}

impl Channel {
    pub fn new(tcp: TcpStream) -> Self {
        let _ = tcp.set_nodelay(true);
        Self { tcp, buf: Vec::new() }
    }

    pub fn more(&mut self, until: Option<Instant>) -> Got {
        let left = until.map(|u| u.saturating_duration_since(Instant::now()).max(ms(1)));
        let _ = self.tcp.set_read_timeout(left);
        let mut chunk = [0u8; 16384];
        match self.tcp.read(&mut chunk) {
            Ok(0) => Got::End,
            Ok(n) => {
                self.buf.extend_from_slice(&chunk[..n]);
                Got::Bytes
            }
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => Got::Timeout,
            Err(_) => Got::Reset,
        }
    }

    pub fn head(&mut self, until: Option<Instant>) -> Result<Head, Got> {
        loop {
            if let Some(at) = find(&self.buf, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buf[..at]).into_owned();
                self.buf.drain(..at + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or_default().to_owned();
                let fields = lines.filter_map(|l| l.split_once(':'));
                let fields = fields.map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()));
                return Ok(Head { first, fields: fields.collect() });
            }
            match self.more(until) {
                Got::Bytes => (),
                other => return Err(other),
            }
        }
    }

    pub fn exactly(&mut self, n: usize, until: Option<Instant>) -> Result<Vec<u8>, Got> {
        while self.buf.len() < n {
            match self.more(until) {
                Got::Bytes => (),
                other => return Err(other),
            }
        }
        Ok(self.buf.drain(..n).collect())
    }

    pub fn line(&mut self, until: Option<Instant>) -> Result<String, Got> {
        loop {
            if let Some(at) = find(&self.buf, b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..at]).into_owned();
                self.buf.drain(..at + 2);
                return Ok(line);
            }
            match self.more(until) {
                Got::Bytes => (),
                other => return Err(other),
            }
        }
    }
}

pub fn find(hay: &[u8], needle: &[u8]) -> Option<usize> {
    hay.windows(needle.len()).position(|w| w == needle)
}

fn listen(addr: SocketAddr, serve: impl Fn(TcpStream) + Send + Sync + 'static) {
    let listener = TcpListener::bind(addr).unwrap_or_else(|e| {
        eprintln!("cannot listen on {addr}: {e}");
        std::process::exit(2)
    });
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for tcp in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(tcp));
        }
    });
}

// ---- The platform's store ----

#[derive(Default)]
struct Topic {
    records: Vec<(String, Vec<u8>)>,
}

#[derive(Default)]
pub struct Store {
    topics: Mutex<HashMap<String, Topic>>,
    changed: Condvar,
    /// While set, calls get no answer.
    pub silent: AtomicBool,
    /// While set, calls are closed.
    pub down: AtomicBool,
    /// Addresses (third and last byte) whose calls are refused.
    pub refused: Mutex<Vec<u8>>,
}

impl Store {
    pub fn start(addr: SocketAddr) -> Arc<Self> {
        let store = Arc::new(Self::default());
        let s = store.clone();
        listen(addr, move |tcp| s.serve(tcp));
        store
    }

    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.topics.lock().unwrap();
        let t = topics.entry(topic.to_owned()).or_default();
        t.records.push((key.to_owned(), value.as_bytes().to_vec()));
        drop(topics);
        self.changed.notify_all();
    }

    /// Several records in one call: all or nothing, one after the other.
    pub fn put_all(&self, topic: &str, items: &[(&str, &str)]) {
        let mut topics = self.topics.lock().unwrap();
        let t = topics.entry(topic.to_owned()).or_default();
        for (key, value) in items {
            t.records.push(((*key).to_owned(), value.as_bytes().to_vec()));
        }
        drop(topics);
        self.changed.notify_all();
    }

    fn serve(&self, tcp: TcpStream) {
        let peer = match tcp.peer_addr().map(|a| a.ip()) {
            Ok(std::net::IpAddr::V4(ip)) => ip.octets()[3],
            _ => return,
        };
        let mut ch = Channel::new(tcp);
        while let Ok(head) = ch.head(None) {
            let len = head.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
            let Ok(body) = ch.exactly(len, None) else { return };
            if self.down.load(Ordering::Relaxed) {
                return;
            }
            while self.silent.load(Ordering::Relaxed) {
                thread::sleep(ms(20));
            }
            thread::sleep(ms(4));
            let refused = self.refused.lock().unwrap().contains(&peer);
            let (status, kind, answer) = match refused {
                true => ("503 Service Unavailable", "application/json", b"{}".to_vec()),
                false => self.answer(&head.first, &body),
            };
            let text = format!("HTTP/1.1 {status}\r\nContent-Type: {kind}\r\nContent-Length: {}\r\n\r\n", answer.len());
            if ch.tcp.write_all(&[text.as_bytes(), &answer].concat()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, first: &str, body: &[u8]) -> (&'static str, &'static str, Vec<u8>) {
        let path = first.split(' ').nth(1).unwrap_or_default();
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let query: HashMap<_, _> = query.split('&').filter_map(|p| p.split_once('=')).collect();
        let number = |name: &str| query.get(name).and_then(|v| v.parse::<u64>().ok());
        let topic = (*query.get("topic").unwrap_or(&"")).to_owned();
        let json = "application/json";
        match path {
            "/api/log-append" => {
                let mut rest = body;
                let mut topics = self.topics.lock().unwrap();
                let t = topics.entry(topic).or_default();
                let offset = t.records.len();
                while rest.len() >= 4 {
                    let len = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                    let record = &rest[4..4 + len];
                    let key_len = record[0] as usize;
                    let key = String::from_utf8_lossy(&record[1..1 + key_len]).into_owned();
                    t.records.push((key, record[1 + key_len..].to_vec()));
                    rest = &rest[4 + len..];
                }
                let end = t.records.len();
                drop(topics);
                self.changed.notify_all();
                ("200 OK", json, format!("{{\"offset\":{offset},\"end_offset\":{end}}}").into_bytes())
            }
            "/api/log-read" => {
                let from = number("from").unwrap_or(0) as usize;
                let until = Instant::now() + ms(number("wait_ms").unwrap_or(0));
                let mut topics = self.topics.lock().unwrap();
                loop {
                    let end = topics.get(&topic).map_or(0, |t| t.records.len());
                    let left = until.saturating_duration_since(Instant::now());
                    if end > from || left.is_zero() {
                        let mut out = Vec::new();
                        out.extend((end as u64).to_be_bytes());
                        out.extend(0u64.to_be_bytes());
                        let records = topics.get(&topic).map(|t| &t.records[from.min(end)..]);
                        for (key, value) in records.unwrap_or_default() {
                            out.extend((1 + key.len() as u32 + value.len() as u32).to_be_bytes());
                            out.push(key.len() as u8);
                            out.extend(key.as_bytes());
                            out.extend(value);
                        }
                        return ("200 OK", "application/octet-stream", out);
                    }
                    topics = self.changed.wait_timeout(topics, left).unwrap().0;
                }
            }
            "/api/log-newest" => {
                let topics = self.topics.lock().unwrap();
                let mut newest = BTreeMap::new();
                let records = topics.get(&topic).map_or(&[][..], |t| &t.records);
                for (offset, (key, value)) in records.iter().enumerate() {
                    match value.is_empty() {
                        true => drop(newest.remove(key)),
                        false => drop(newest.insert(key, (offset, value))),
                    }
                }
                let items = newest.iter().map(|(key, (offset, value))| {
                    format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
                });
                let items: Vec<_> = items.collect();
                let text = format!("{{\"items\":[{}],\"has_more\":false,\"end_offset\":{}}}", items.join(","), records.len());
                ("200 OK", json, text.into_bytes())
            }
            _ => ("404 Not Found", json, b"{}".to_vec()),
        }
    }
}

fn base64(data: &[u8]) -> String {
    const SET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for c in data.chunks(3) {
        let n = u32::from(c[0]) << 16 | u32::from(*c.get(1).unwrap_or(&0)) << 8 | u32::from(*c.get(2).unwrap_or(&0));
        for i in 0..4 {
            match i <= c.len() {
                true => out.push(SET[(n >> (18 - 6 * i)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}

// ---- Runners ----

pub struct Request {
    pub head: Head,
    pub body: Vec<u8>,
}

impl Request {
    pub fn id(&self) -> &str {
        self.head.get("request-id").unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.head.first.split(' ').nth(1).unwrap_or_default()
    }
}

/// What a runner does with a request; returns whether the channel stays open.
pub type Work = Arc<dyn Fn(&Runner, &Request, &mut TcpStream) -> bool + Send + Sync>;

pub struct Runner {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub addr: SocketAddr,
    pub slots: u32,
    pub born: u64,
    pub seq: AtomicU64,
    pub leaving: AtomicBool,
    pub beats: AtomicBool,
    pub active: AtomicU64,
    pub record: Arc<Record>,
}

impl Runner {
    pub fn start(id: &str, service: &str, zone: &str, addr: SocketAddr, slots: u32, store: Arc<Store>, record: Arc<Record>, work: Work) -> Arc<Self> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let runner = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            addr,
            slots,
            born,
            seq: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            beats: AtomicBool::new(true),
            active: AtomicU64::new(0),
            record,
        });
        let r = runner.clone();
        listen(addr, move |tcp| r.serve(tcp, &work));
        let r = runner.clone();
        thread::spawn(move || {
            loop {
                if r.beats.load(Ordering::Relaxed) {
                    store.put("keyed.servers", &r.id, &r.entry());
                }
                thread::sleep(ms(1200));
            }
        });
        runner
    }

    /// Its entry in the store, with the next `seq`.
    pub fn entry(&self) -> String {
        let seq = self.seq.fetch_add(1, Ordering::Relaxed);
        self.entry_at(seq)
    }

    pub fn entry_at(&self, seq: u64) -> String {
        let state = match self.leaving.load(Ordering::Relaxed) {
            true => "draining",
            false => "ready",
        };
        format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\"state\":\"{state}\",\"cold_left_ms\":0,\"seq\":{seq},\"born\":{}}}",
            self.service, self.addr, self.zone, self.slots, self.born
        )
    }

    fn serve(&self, tcp: TcpStream, work: &Work) {
        let mut ch = Channel::new(tcp);
        while let Ok(head) = ch.head(None) {
            let len = head.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
            let Ok(body) = ch.exactly(len, None) else { return };
            let req = Request { head, body };
            if req.head.get("expect-instance").is_some_and(|i| i != self.id) {
                let text = format!("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id);
                let _ = ch.tcp.write_all(text.as_bytes());
                continue;
            }
            let limit = u64::from(self.slots) * 5;
            if self.active.fetch_add(1, Ordering::Relaxed) >= limit {
                self.active.fetch_sub(1, Ordering::Relaxed);
                let text = format!("HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", req.id());
                let _ = ch.tcp.write_all(text.as_bytes());
                continue;
            }
            self.record.line(&format!("run {} at {}", req.id(), self.id));
            let stays = work(self, &req, &mut ch.tcp);
            self.active.fetch_sub(1, Ordering::Relaxed);
            if !stays {
                let _ = ch.tcp.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}

pub fn ok_head(req: &Request, fields: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nSeal: s.{}\r\n{fields}\r\n", req.id(), req.id())
}

pub fn chunk(data: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", data.len()).as_bytes(), data, b"\r\n"].concat()
}

pub fn event(n: u64, id: &str) -> String {
    format!("id: {n}\ndata: {id} event {n} {}\n\n", "x".repeat(30))
}

// ---- Gateway processes ----

pub struct Node {
    pub name: String,
    pub ip: String,
    pub http: SocketAddr,
    pub directory: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    pub starts: AtomicU64,
}

impl Node {
    pub fn start_process(&self) {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log).unwrap();
        let child = Command::new("target/release/redwingdrift")
            .args(["gateway", "--settings"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => *self.child.lock().unwrap() = Some(child),
            Err(e) => {
                eprintln!("cannot start the gateway: {e}");
                std::process::exit(2);
            }
        }
        self.starts.fetch_add(1, Ordering::Relaxed);
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.lock().unwrap().as_ref().map(Child::id)
    }

    pub fn signal(&self, signal: i32) {
        if let Some(pid) = self.pid() {
            // The process is a child of this one that has not been waited for.
            unsafe { kill(pid as i32, signal) };
        }
    }

    /// Waits for the process and forgets it; returns its exit status.
    pub fn reap(&self) -> String {
        let child = self.child.lock().unwrap().take();
        child.map_or_else(String::new, |mut c| c.wait().map(|s| s.to_string()).unwrap_or_default())
    }

    pub fn exited(&self) -> Option<String> {
        let mut child = self.child.lock().unwrap();
        child.as_mut().and_then(|c| c.try_wait().ok().flatten()).map(|s| s.to_string())
    }

    /// Anonymous memory of the process, in MB.
    pub fn memory_mb(&self) -> f64 {
        let Some(pid) = self.pid() else { return 0.0 };
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status.lines().find(|l| l.starts_with("RssAnon:"));
        let kb = line.and_then(|l| l.split_whitespace().nth(1)).and_then(|v| v.parse::<f64>().ok());
        kb.unwrap_or(0.0) / 1024.0
    }

    pub fn is_ready(&self) -> bool {
        let Ok(tcp) = TcpStream::connect_timeout(&self.ready, ms(200)) else { return false };
        let mut ch = Channel::new(tcp);
        let _ = ch.tcp.write_all(b"GET /api/readyz HTTP/1.1\r\nHost: a\r\n\r\n");
        let head = ch.head(Some(Instant::now() + ms(500)));
        head.is_ok_and(|h| h.first.contains(" 200 "))
    }
}

pub struct World {
    pub rng: Rng,
    pub record: Arc<Record>,
    pub subnet: (u8, u8),
    pub tmp: PathBuf,
    pub store: Arc<Store>,
    pub nodes: Vec<Arc<Node>>,
    next_id: AtomicU64,
    pub zones: Vec<String>,
}

impl World {
    /// The store and `count` gateway processes that aren't started yet, with the ports and bounds of
    /// a small deployment.
    pub fn new(count: usize, zones: &[&str], bounds: &str) -> Self {
        let record = Arc::new(Record::new(&std::env::var("RECORD").unwrap_or("record.txt".into())));
        let rng = Rng::new(std::process::id() as u64 ^ record.start.elapsed().as_nanos() as u64);
        let pid = std::process::id();
        let subnet = (100 + (pid % 100) as u8, 1 + (pid / 100 % 250) as u8);
        let tmp = std::env::temp_dir().join(format!("review-{pid}"));
        std::fs::create_dir_all(&tmp).expect("a temporary folder");
        let at = |host: u8, port: u16| -> SocketAddr { format!("127.{}.{}.{host}:{port}", subnet.0, subnet.1).parse().unwrap() };
        let store_at = at(250, 8225);
        let store = Store::start(store_at);
        let seeds: Vec<_> = (0..count.min(3)).map(|n| format!("\"{}\"", at(n as u8 + 1, 8229))).collect();
        let mut nodes = Vec::new();
        for n in 0..count {
            let host = n as u8 + 1;
            let name = format!("front-{}", n + 1);
            let zone = zones[n % zones.len()];
            let text = format!(
                "{{\"name\":\"{name}\",\"zone\":\"{zone}\",\"region\":\"r1\",\"listen\":{{\"requests\":\"{}\",\"readiness\":\"{}\",\"directory\":\"{}\",\"peers\":\"{}\"}},\"seeds\":[{}],\"store\":\"{store_at}\",\"cpu_share\":0.25,\"secret\":\"redwingdrift-nodes\",\"bounds\":{bounds}}}",
                at(host, 8221), at(host, 8224), at(host, 8220), at(host, 8229), seeds.join(",")
            );
            let settings = tmp.join(format!("{name}.json"));
            std::fs::write(&settings, text).expect("settings");
            nodes.push(Arc::new(Node {
                ip: at(host, 0).ip().to_string(),
                http: at(host, 8221),
                directory: at(host, 8220),
                ready: at(host, 8224),
                log: tmp.join(format!("{name}.log")),
                name,
                settings,
                child: Mutex::new(None),
                starts: AtomicU64::new(0),
            }));
        }
        Self { rng, record, subnet, tmp, store, nodes, next_id: AtomicU64::new(1), zones: zones.iter().map(|z| (*z).to_owned()).collect() }
    }

    pub fn at(&self, host: u8, port: u16) -> SocketAddr {
        format!("127.{}.{}.{host}:{port}", self.subnet.0, self.subnet.1).parse().unwrap()
    }

    pub fn id(&self) -> String {
        format!("{:016x}", (self.rng.next() & 0xffff_ffff_0000_0000) | self.next_id.fetch_add(1, Ordering::Relaxed))
    }

    /// Starts all nodes and waits until each is ready.
    pub fn start_nodes(&self) {
        for node in &self.nodes {
            node.start_process();
        }
        let until = Instant::now() + ms(20_000);
        for node in &self.nodes {
            while !node.is_ready() {
                if Instant::now() > until {
                    eprintln!("{} isn't ready", node.name);
                    self.end(2);
                }
                thread::sleep(ms(50));
            }
        }
        thread::sleep(ms(3000));
    }

    /// Ends all processes, removes the temporary folder and exits.
    pub fn end(&self, code: i32) -> ! {
        for node in &self.nodes {
            node.signal(SIGCONT);
            node.signal(SIGKILL);
            node.reap();
        }
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.tmp);
        } else {
            println!("logs in {}", self.tmp.display());
        }
        std::process::exit(code)
    }
}

pub fn is_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

// ---- Requesters ----

#[derive(Debug, Clone, PartialEq)]
pub enum End {
    /// The answer is complete.
    Complete,
    /// The channel ended before or within the answer.
    Closed,
    /// The requester's time was over.
    GaveUp,
    /// No channel could be opened.
    NoChannel,
}

#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub end: End,
    pub keeps: bool,
}

impl Answer {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }
}

/// Sends a request on a channel and reads the answer.
pub fn ask(ch: &mut Channel, text: &[u8], time: Duration) -> Answer {
    let until = Some(Instant::now() + time);
    let mut answer = Answer { status: 0, fields: Vec::new(), body: Vec::new(), end: End::Closed, keeps: false };
    if ch.tcp.write_all(text).is_err() {
        return answer;
    }
    let ended = |got| match got {
        Got::Timeout => End::GaveUp,
        _ => End::Closed,
    };
    let head = match ch.head(until) {
        Ok(head) => head,
        Err(got) => {
            answer.end = ended(got);
            return answer;
        }
    };
    answer.status = head.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    answer.keeps = !head.get("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
    let len = head.get("content-length").and_then(|v| v.parse::<usize>().ok());
    let chunked = head.get("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
    answer.fields = head.fields;
    if let Some(len) = len {
        answer.end = match ch.exactly(len, until) {
            Ok(body) => {
                answer.body = body;
                End::Complete
            }
            Err(got) => ended(got),
        };
        return answer;
    }
    if chunked {
        loop {
            let size = match ch.line(until) {
                Ok(line) => usize::from_str_radix(line.trim(), 16).unwrap_or(0),
                Err(got) => {
                    answer.end = ended(got);
                    return answer;
                }
            };
            match ch.exactly(size + 2, until) {
                Ok(data) => answer.body.extend(&data[..size]),
                Err(got) => {
                    answer.end = ended(got);
                    return answer;
                }
            }
            if size == 0 {
                answer.end = End::Complete;
                return answer;
            }
        }
    }
    loop {
        match ch.more(until) {
            Got::Bytes => (),
            Got::End => {
                answer.body = std::mem::take(&mut ch.buf);
                answer.end = End::Complete;
                answer.keeps = false;
                return answer;
            }
            got => {
                answer.body = std::mem::take(&mut ch.buf);
                answer.end = ended(got);
                return answer;
            }
        }
    }
}

//! Stand-in for a runner: it registers in the store, runs what is meant for it, and answers.

use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Conn, Head, response};
use crate::record::Record;
use crate::store::Store;

/// Interval of its reports to the store.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Requests that wait for a slot, at most.
const QUEUE: usize = 24;

/// How a request runs, as the case wants it.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    pub ms: u64,
    /// Bytes of the answer, or events of a stream.
    pub size: usize,
}

/// A request that reached the runner.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub at: f64,
    /// When its run began and ended, if it did.
    pub ran: Option<f64>,
    pub ended: Option<f64>,
}

struct Shared {
    id: String,
    record: Record,
    work: Work,
    streams: bool,
    slots: usize,
    // Running and waiting requests.
    load: Mutex<(usize, usize)>,
    freed: Condvar,
    arrivals: Mutex<Vec<Arrival>>,
    stopped: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
}

// What a runner reports of itself.
enum State {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    zone: String,
    seq: Arc<AtomicU64>,
    born: u64,
    state: Arc<Mutex<State>>,
    shared: Arc<Shared>,
}

impl Runner {
    /// Starts a runner and reports it as ready from now on, with every heartbeat.
    pub fn start(
        store: &Arc<Store>,
        record: &Record,
        ip: IpAddr,
        (id, service, zone): (&str, &str, &str),
        slots: usize,
        streams: bool,
        work: Work,
    ) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a port for a runner");
        let address = listener.local_addr().expect("its address");
        let shared = Arc::new(Shared {
            id: id.into(),
            record: record.clone(),
            work,
            streams,
            slots,
            load: Mutex::default(),
            freed: Condvar::new(),
            arrivals: Mutex::default(),
            stopped: AtomicBool::new(false),
            open: Mutex::default(),
        });
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let runner = Self {
            id: id.into(),
            address,
            service: service.into(),
            zone: zone.into(),
            seq: Arc::default(),
            born: unix.map_or(0, |t| t.as_millis() as u64),
            state: Arc::new(Mutex::new(State::Ready)),
            shared: shared.clone(),
        };
        let accepted = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepted.stopped.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    accepted.open.lock().unwrap().push(copy);
                }
                let shared = accepted.clone();
                thread::spawn(move || shared.serve(Conn::new(stream)));
            }
        });
        let (beating, to) = (runner.clone(), store.clone());
        beating.report(&to, "ready");
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                let state = beating.state.lock().unwrap();
                match *state {
                    State::Ready => beating.report(&to, "ready"),
                    State::Draining => beating.report(&to, "draining"),
                    State::Gone => return,
                };
            }
        });
        runner
    }

    /// Reports that it drains; returns when the store has accepted that, in ms.
    pub fn drain(&self, store: &Store) -> f64 {
        let mut state = self.state.lock().unwrap();
        *state = State::Draining;
        self.report(store, "draining")
    }

    /// Removes its entry. It takes no new channel from now on.
    pub fn leave(&self, store: &Store) {
        *self.state.lock().unwrap() = State::Gone;
        store.put("keyed.servers", &self.id, "");
        self.shared.stopped.store(true, Ordering::SeqCst);
        for stream in self.shared.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn report(&self, store: &Store, state: &str) -> f64 {
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let (service, zone, slots) = (&self.service, &self.zone, self.shared.slots);
        let entry = format!(
            "{{\"service\":\"{service}\",\"addr\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"{state}\",\"cold_left_ms\":0,\"seq\":{seq},\"born\":{}}}",
            self.address, self.born
        );
        store.put("keyed.servers", &self.id, &entry)
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.shared.arrivals.lock().unwrap().clone()
    }
}

impl Shared {
    fn change(&self, index: usize, change: impl FnOnce(&mut Arrival)) {
        change(&mut self.arrivals.lock().unwrap()[index]);
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(Some(head)) = conn.read_head() {
            if conn.read_body(&head).is_err() || !self.respond(&mut conn, &head) {
                break;
            }
        }
        let _ = conn.stream.shutdown(Shutdown::Both);
    }

    // Returns whether the channel is kept.
    fn respond(&self, conn: &mut Conn, head: &Head) -> bool {
        let text = |name: &str| head.header(name).unwrap_or("").to_owned();
        let id = text("request-id");
        let echo = ("Request-Id", id.as_str());
        if head.header("expect-instance").is_some_and(|i| i != self.id) {
            let headers = [echo, ("Not-Run", "1"), ("Instance-Id", self.id.as_str())];
            return conn
                .send(&response("421 Misdirected Request", &headers, b""))
                .is_ok();
        }
        let at = self.record.now();
        let index = {
            let mut arrivals = self.arrivals.lock().unwrap();
            let id = id.clone();
            arrivals.push(Arrival {
                id,
                at,
                ran: None,
                ended: None,
            });
            arrivals.len() - 1
        };
        let mut load = self.load.lock().unwrap();
        if load.0 >= self.slots {
            if load.1 >= QUEUE {
                drop(load);
                let headers = [echo, ("Not-Run", "1")];
                return conn
                    .send(&response("503 Service Unavailable", &headers, b""))
                    .is_ok();
            }
            load.1 += 1;
            while load.0 >= self.slots {
                load = self.freed.wait(load).unwrap();
            }
            load.1 -= 1;
        }
        load.0 += 1;
        drop(load);
        let kept = self.run(conn, index, &id);
        self.load.lock().unwrap().0 -= 1;
        self.freed.notify_one();
        kept
    }

    // It drops the request when its channel closes.
    fn run(&self, conn: &mut Conn, index: usize, id: &str) -> bool {
        if conn.is_closed() {
            return false;
        }
        let ran = self.record.now();
        self.change(index, |a| a.ran = Some(ran));
        let work = self.work;
        let seal = format!("seal-{}-{id}", self.id);
        let headers = [("Request-Id", id), ("Seal", seal.as_str())];
        let sent = match self.streams {
            false => {
                for _ in 0..work.ms / 10 {
                    thread::sleep(Duration::from_millis(10));
                    if conn.is_closed() {
                        return false;
                    }
                }
                let body: Vec<u8> = id.bytes().cycle().take(work.size).collect();
                conn.send(&response("200 OK", &headers, &body))
            }
            true => {
                let mut head =
                    String::from("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n");
                for (name, value) in headers {
                    head.push_str(&format!("{name}: {value}\r\n"));
                }
                head.push_str("Transfer-Encoding: chunked\r\n\r\n");
                let mut sent = conn.send(head.as_bytes());
                for n in 1..=work.size {
                    if sent.is_err() || conn.is_closed() {
                        return false;
                    }
                    thread::sleep(Duration::from_millis(work.ms / work.size as u64));
                    let event = format!("id: {n}\ndata: {id} {n}\n\n");
                    sent = conn.send(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes());
                }
                sent.and_then(|()| conn.send(b"0\r\n\r\n"))
            }
        };
        let ended = self.record.now();
        self.change(index, |a| a.ended = Some(ended));
        sent.is_ok()
    }
}

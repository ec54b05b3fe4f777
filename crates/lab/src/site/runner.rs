//! A runner: answers, streams, refuses, and misbehaves as told.

use bytes::BytesMut;
use std::collections::VecDeque;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// What a runner does with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Behaviour {
    /// Answers in full: a stream on stream routes, a short body elsewhere.
    Answer,
    /// Says that it is full and has not run the request.
    NotRun,
    /// Says that another runner is meant.
    Misdirected,
    /// Runs it and fails.
    Fail,
    /// Runs it and answers for another request.
    WrongId,
    /// Runs it and leaves the receipt out.
    NoReceipt,
    /// Runs it and answers with an encoded body.
    Encoded,
    /// Runs it and closes the connection before any answer.
    Lost,
    /// Runs it and closes the connection within the body, or within an event of a stream.
    Cut,
    /// Sends bytes that are no answer.
    Garbage,
    /// Answers in full and sends a second answer behind it.
    Extra,
    /// Answers without a length and closes the connection.
    Unframed,
    /// Runs it and never answers.
    Silent,
    /// Answers in full, with a pause in the middle.
    Pauses,
}

/// Length of a pause: longer than the gateway takes a stream for silent.
const PAUSE: Duration = Duration::from_millis(2000);

/// One request that reached the runner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Arrival {
    /// Its head as it came, in lower case.
    pub head: String,
    /// Whether the runner began to work on it.
    pub ran: bool,
}

impl Arrival {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|l| l.split_once(':'));
        lines.find(|(n, _)| *n == name).map(|(_, v)| v.trim())
    }
}

#[derive(Default)]
struct Shared {
    plan: VecDeque<Behaviour>,
    arrivals: Vec<Arrival>,
}

/// The stand-in; its tasks end with it.
pub struct FakeTarget {
    name: String,
    address: SocketAddr,
    shared: Arc<Mutex<Shared>>,
    arrived: watch::Sender<usize>,
    open: watch::Sender<usize>,
    task: AbortHandle,
}

impl Drop for FakeTarget {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Events of every stream.
pub const EVENTS: u64 = 4;

impl FakeTarget {
    /// Starts on any port of an address.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be listened on.
    pub async fn start(ip: IpAddr, name: &str) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Mutex::new(Shared::default()));
        let (arrived, open) = (watch::Sender::new(0), watch::Sender::new(0));
        let accepting = accept(listener, shared.clone(), arrived.clone(), open.clone());
        Ok(Self {
            name: name.to_owned(),
            address,
            shared,
            arrived,
            open,
            task: tokio::spawn(accepting).abort_handle(),
        })
    }

    /// Its name in the registry.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What it does with the next requests; later ones are answered.
    pub fn plan(&self, behaviours: &[Behaviour]) {
        lock(&self.shared).plan.extend(behaviours);
    }

    /// What has reached it.
    pub fn arrivals(&self) -> Vec<Arrival> {
        lock(&self.shared).arrivals.clone()
    }

    /// Waits until so many requests have reached it.
    pub async fn await_arrivals(&self, count: usize) {
        let mut arrived = self.arrived.subscribe();
        // The sender lives as long as the runner.
        let _ = arrived.wait_for(|n| *n >= count).await;
    }

    /// Waits until no connection to it is open.
    pub async fn await_closed(&self) {
        let mut open = self.open.subscribe();
        // As above.
        let _ = open.wait_for(|n| *n == 0).await;
    }
}

fn lock(m: &Mutex<Shared>) -> MutexGuard<'_, Shared> {
    m.lock().unwrap_or_else(|e| e.into_inner())
}

async fn accept(
    listener: TcpListener,
    shared: Arc<Mutex<Shared>>,
    arrived: watch::Sender<usize>,
    open: watch::Sender<usize>,
) {
    while let Ok((tcp, _)) = listener.accept().await {
        let (shared, arrived, open) = (shared.clone(), arrived.clone(), open.clone());
        open.send_modify(|n| *n += 1);
        tokio::spawn(async move {
            // A caller that leaves is what many tests are about.
            let _ = serve(tcp, &shared, &arrived).await;
            open.send_modify(|n| *n -= 1);
        });
    }
}

async fn serve(
    mut tcp: TcpStream,
    shared: &Mutex<Shared>,
    arrived: &watch::Sender<usize>,
) -> std::io::Result<()> {
    let mut buf = BytesMut::new();
    loop {
        let Some(head) = read_request(&mut tcp, &mut buf).await? else {
            return Ok(());
        };
        let behaviour = {
            let mut shared = lock(shared);
            let behaviour = shared.plan.pop_front().unwrap_or(Behaviour::Answer);
            let ran = !matches!(behaviour, Behaviour::NotRun | Behaviour::Misdirected);
            let head = head.clone();
            shared.arrivals.push(Arrival { head, ran });
            behaviour
        };
        arrived.send_modify(|n| *n += 1);
        let arrival = Arrival { head, ran: true };
        let (bytes, keeps) = answer(behaviour, &arrival);
        let middle = match behaviour {
            Behaviour::Pauses => bytes.len() - bytes.len() / 4,
            _ => bytes.len(),
        };
        tcp.write_all(&bytes[..middle]).await?;
        if behaviour == Behaviour::Pauses {
            tokio::time::sleep(PAUSE).await;
            tcp.write_all(&bytes[middle..]).await?;
        }
        if behaviour == Behaviour::Silent {
            // Until the caller closes the connection.
            while tcp.read_buf(&mut buf).await? > 0 {}
            return Ok(());
        }
        if !keeps {
            return Ok(());
        }
    }
}

// Reads one request and its body; none at the end of the connection.
async fn read_request(tcp: &mut TcpStream, buf: &mut BytesMut) -> std::io::Result<Option<String>> {
    let end = loop {
        if let Some(at) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        if tcp.read_buf(buf).await? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buf.split_to(end)).to_lowercase();
    let arrival = Arrival { head, ran: false };
    let body = arrival
        .header("content-length")
        .and_then(|v| v.parse().ok());
    let body: usize = body.unwrap_or(0);
    while buf.len() < body {
        if tcp.read_buf(buf).await? == 0 {
            return Ok(None);
        }
    }
    let _ = buf.split_to(body);
    Ok(Some(arrival.head))
}

// The bytes of an answer, and whether the connection is kept.
fn answer(behaviour: Behaviour, arrival: &Arrival) -> (Vec<u8>, bool) {
    let id = arrival.header("request-id").unwrap_or_default();
    let streams = arrival.head.contains(" /resume/") || arrival.head.contains(" /once/");
    let head = |status: &str, id: &str, more: &str| {
        format!("HTTP/1.1 {status}\r\nRequest-Id: {id}\r\n{more}")
    };
    let body = match streams {
        true => events(arrival),
        false => format!("answer to {id}"),
    };
    let sized = |text: &str| format!("Content-Length: {}\r\n\r\n{text}", text.len());
    let whole = |id: &str, more: &str| head("200 OK", id, more) + &sized(&body);
    let (text, keeps) = match behaviour {
        Behaviour::Answer | Behaviour::Pauses => (whole(id, "Seal: s\r\n"), true),
        Behaviour::NotRun => {
            let more = "Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
            (head("503 Service Unavailable", id, more), true)
        }
        Behaviour::Misdirected => {
            let more = "Instance-Id: other\r\nContent-Length: 0\r\n\r\n";
            (
                "HTTP/1.1 421 Misdirected Request\r\n".to_owned() + more,
                true,
            )
        }
        Behaviour::Fail => {
            let failed = head("500 Internal Server Error", id, "Seal: s\r\n");
            (failed + &sized("it failed"), true)
        }
        Behaviour::WrongId => (whole("another", "Seal: s\r\n"), true),
        Behaviour::NoReceipt => (whole(id, ""), true),
        Behaviour::Encoded => (whole(id, "Seal: s\r\nContent-Encoding: gzip\r\n"), true),
        Behaviour::Lost => (String::new(), false),
        Behaviour::Cut => {
            let whole = whole(id, "Seal: s\r\n");
            (whole[..whole.len() - 5].to_owned(), false)
        }
        Behaviour::Garbage => ("\u{1}\u{2} no answer\r\n\r\n".to_owned(), true),
        Behaviour::Extra => {
            let first = whole(id, "Seal: s\r\n");
            (first + &whole("late", "Seal: s\r\n"), true)
        }
        Behaviour::Unframed => {
            let head = head("200 OK", id, "Seal: s\r\nConnection: close\r\n\r\n");
            (head + &body, false)
        }
        Behaviour::Silent => (String::new(), false),
    };
    (text.into_bytes(), keeps)
}

fn events(arrival: &Arrival) -> String {
    let last = arrival.header("last-event-id").and_then(|v| v.parse().ok());
    let from: u64 = last.unwrap_or(0);
    (from + 1..=EVENTS)
        .map(|id| format!("id: {id}\ndata: event {id}\n\n"))
        .collect()
}

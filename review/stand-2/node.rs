//! The project's own program as separate processes, and the platform that starts and stops them.

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Conn;

#[repr(C)]
struct Limit {
    soft: u64,
    hard: u64,
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn getrlimit(resource: i32, limit: *mut Limit) -> i32;
    fn setrlimit(resource: i32, limit: *const Limit) -> i32;
}

/// The number of open files, in Linux.
const RLIMIT_NOFILE: i32 = 7;
/// `limits.max_fds` of the sites.
const MAX_FDS: u64 = 4100;

/// Lets this process have so many descriptors; returns whether it may.
pub fn allow_descriptors(count: u64) -> bool {
    let mut limit = Limit { soft: 0, hard: 0 };
    // Both calls only read or write the value that they are given.
    unsafe {
        if getrlimit(RLIMIT_NOFILE, &mut limit) != 0 || limit.hard < count {
            return false;
        }
        limit.soft = limit.soft.max(count);
        setrlimit(RLIMIT_NOFILE, &limit) == 0
    }
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// Bounds and limits of a node, as the template `deploy/settings.json.in` hands them on.
#[derive(Clone)]
pub struct Site {
    pub memory_mb: u32,
    pub terms: &'static str,
    pub grace_s: u32,
}

/// The contracts of both site files in `sites/`.
pub const TERMS: &str = "\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"quota\",\"platform\"";

/// Addresses of one run: all in 127.0.0.0/8, and ports that are free.
pub struct Place {
    second: u8,
    third: u8,
    ports: [u16; 4],
    pub folder: PathBuf,
    root: PathBuf,
}

impl Place {
    pub fn find(root: &Path, folder: &Path) -> Self {
        let pid = std::process::id();
        let (second, third) = (64 + (pid % 128) as u8, (pid / 128 % 200) as u8);
        let ip = Ipv4Addr::new(127, second, third, 1);
        let free: Vec<_> = (0..4)
            .map(|_| TcpListener::bind((ip, 0)).expect("a free port"))
            .collect();
        let port = |n: usize| free[n].local_addr().map_or(0, |a| a.port());
        Self {
            second,
            third,
            ports: [port(0), port(1), port(2), port(3)],
            folder: folder.into(),
            root: root.into(),
        }
    }

    /// The address of node `n` from 1.
    pub fn node(&self, n: u8) -> IpAddr {
        Ipv4Addr::new(127, self.second, self.third, n).into()
    }

    /// An address for a stand-in.
    pub fn other(&self, n: u8) -> IpAddr {
        self.node(100 + n)
    }
}

pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub directory: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    root: PathBuf,
    log: PathBuf,
    child: Arc<Mutex<Option<Child>>>,
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Node {
    /// Writes the settings of node `n` of `count` and starts it.
    pub fn start(
        place: &Place,
        n: u8,
        count: u8,
        zone: &str,
        store: SocketAddr,
        site: &Site,
    ) -> Self {
        let [front, ready, directory, peers] = place.ports;
        let ip = place.node(n);
        let name = format!("front-{n}");
        let node = Self {
            name: name.clone(),
            front: (ip, front).into(),
            directory: (ip, directory).into(),
            ready: (ip, ready).into(),
            settings: place.folder.join(format!("{name}.json")),
            root: place.root.clone(),
            log: place.folder.join(format!("{name}.log")),
            child: Arc::default(),
        };
        let seeds = (1..=count.min(3)).map(|s| format!("\"{}:{peers}\"", place.node(s)));
        let seeds: Vec<_> = seeds.collect();
        let listen = format!(
            "{{\"requests\":\"{ip}:{front}\",\"readiness\":\"{ip}:{ready}\",\
             \"directory\":\"{ip}:{directory}\",\"peers\":\"{ip}:{peers}\"}}"
        );
        let fixed = format!(
            "\"name\":\"{name}\",\"zone\":\"{zone}\",\"region\":\"viti-west\",\"listen\":{listen},\
             \"seeds\":[{}],\"store\":\"{store}\",\"cpu_share\":0.25",
            seeds.join(",")
        );
        std::fs::write(place.folder.join(format!("{name}.fixed")), fixed).expect("a settings file");
        node.write_settings(site);
        node.spawn();
        node
    }

    /// Writes the settings file anew, as the platform does whenever the settings change.
    pub fn write_settings(&self, site: &Site) {
        let fixed = std::fs::read_to_string(self.settings.with_extension("fixed"));
        let (grace_s, memory_mb, terms) = (site.grace_s, site.memory_mb, site.terms);
        let text = format!(
            "{{{},\"memory_mb\":{memory_mb},\"secret\":\"redwingdrift-nodes\",\
             \"platform_terms\":[{terms}],\"bounds\":{{\"stop_grace_s\":{grace_s},\
             \"key_removal_ms\":5000,\"apply_ms\":2000,\"repeat_ratio\":0.2,\"repeat_window_s\":10,\
             \"repeat_slack\":52,\"quota_excess\":0.1,\"quota_slack\":140000,\"lookup_lifetime_s\":5}},\
             \"scheduling\":{{\"paced_returns\":true,\"spilling\":true,\"prefers_connected\":true,\
             \"handover\":true}}}}",
            fixed.expect("its fixed part")
        );
        std::fs::write(&self.settings, text).expect("a settings file");
    }

    /// Starts its process with the command of the deploy file.
    pub fn spawn(&self) {
        let mut options = File::options();
        let log = options.create(true).append(true).open(&self.log);
        let log = log.expect("a file for the log");
        let mut command = Command::new("target/release/redwingdrift");
        // The descriptors that the platform gives it.
        unsafe {
            command.pre_exec(|| {
                let limit = Limit {
                    soft: MAX_FDS,
                    hard: MAX_FDS,
                };
                setrlimit(RLIMIT_NOFILE, &limit);
                Ok(())
            });
        }
        let child = command
            .args(["gateway", "--settings"])
            .arg(&self.settings)
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("the same file"))
            .stdout(log)
            .spawn()
            .unwrap_or_else(|e| crate::cannot_run(&format!("the program does not start: {e}")));
        *self.child.lock().unwrap() = Some(child);
    }

    fn pid(&self) -> Option<i32> {
        self.child.lock().unwrap().as_ref().map(|c| c.id() as i32)
    }

    pub fn signal(&self, signal: i32) {
        if let Some(pid) = self.pid() {
            // The process is this one's child and has not been waited for.
            unsafe { kill(pid, signal) };
        }
    }

    /// Whether the process has ended.
    pub fn has_ended(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        child
            .as_mut()
            .is_none_or(|c| c.try_wait().is_ok_and(|s| s.is_some()))
    }

    /// Resident memory of the process, in bytes.
    pub fn memory(&self) -> Option<u64> {
        let statm = std::fs::read_to_string(format!("/proc/{}/statm", self.pid()?)).ok()?;
        let pages: u64 = statm.split(' ').nth(1)?.parse().ok()?;
        Some(pages * 4096)
    }

    /// Its open descriptors.
    pub fn descriptors(&self) -> usize {
        let files = self
            .pid()
            .and_then(|p| std::fs::read_dir(format!("/proc/{p}/fd")).ok());
        files.map_or(0, Iterator::count)
    }

    /// A channel for questions whether it is ready.
    pub fn readiness_channel(&self) -> Option<Conn> {
        let conn = Conn::connect(self.ready).ok()?;
        conn.stream
            .set_read_timeout(Some(Duration::from_secs(1)))
            .ok()?;
        Some(conn)
    }

    /// Asks on a kept channel whether it is ready.
    pub fn asks_ready(conn: &mut Conn) -> bool {
        let answer = conn.send(b"GET /api/readyz HTTP/1.1\r\nHost: node\r\n\r\n");
        let head = answer.and_then(|()| {
            let head = conn.read_head()?;
            if let Some(head) = &head {
                conn.read_body(head)?;
            }
            Ok(head)
        });
        matches!(head, Ok(Some(head)) if head.status() == 200)
    }

    pub fn is_ready(&self) -> bool {
        let answer = Conn::connect(self.ready).and_then(|mut conn| {
            let timeout = Some(Duration::from_secs(1));
            conn.stream.set_read_timeout(timeout)?;
            conn.send(b"GET /api/readyz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")?;
            conn.read_head()
        });
        matches!(answer, Ok(Some(head)) if head.status() == 200)
    }
}

/// Waits until all nodes are ready.
pub fn await_ready(nodes: &[Node]) {
    let end = Instant::now() + Duration::from_secs(15);
    while !nodes.iter().all(Node::is_ready) {
        if Instant::now() > end {
            crate::cannot_run("the nodes do not get ready");
        }
        thread::sleep(Duration::from_millis(50));
    }
}

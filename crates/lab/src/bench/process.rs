//! CPU time and memory of the process and its nodes, read from `/proc`.

use std::fs;

/// Clock ticks per second in `/proc/[pid]/stat` on Linux.
const TICKS_PER_S: f64 = 100.0;

/// A snapshot of CPU time and memory.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessUsage {
    /// CPU seconds of all node threads.
    pub node_cpu_s: f64,
    /// Resident memory of the process in mebibytes.
    pub rss_mb: f64,
}

impl ProcessUsage {
    /// Reads the current usage; a value that cannot be read counts as 0.
    pub fn now() -> Self {
        Self {
            node_cpu_s: node_cpu_s(),
            rss_mb: rss_mb(),
        }
    }
}

fn node_cpu_s() -> f64 {
    let tasks = fs::read_dir("/proc/self/task")
        .into_iter()
        .flatten()
        .flatten();
    let stats = tasks.filter_map(|t| fs::read_to_string(t.path().join("stat")).ok());
    let ticks = stats
        .filter(|s| s.contains("(node-"))
        .filter_map(|s| ticks(&s));
    ticks.sum::<f64>() / TICKS_PER_S
}

// User and system time are fields 14 and 15 in proc(5); field 2, the name, may contain spaces.
fn ticks(stat: &str) -> Option<f64> {
    let after_name = stat.rsplit_once(')')?.1;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let field = |n: usize| fields.get(n - 3)?.parse::<f64>().ok();
    Some(field(14)? + field(15)?)
}

fn rss_mb() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kib = line.and_then(|l| l.split_whitespace().next()?.parse::<f64>().ok());
    kib.unwrap_or(0.0) / 1024.0
}

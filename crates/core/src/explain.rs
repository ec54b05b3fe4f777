//! Joins the log lines of several gateway processes that name one request.

use serde_json::{Map, Value};
use std::fmt::{self, Display, Formatter};
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use crate::{Error, Result};

/// Fields that are printed in front of the others, or not at all.
const LEADING_FIELDS: [&str; 5] = ["time", "level", "event", "request", "msg"];

/// One line that names the request.
struct Line {
    source: String,
    fields: Map<String, Value>,
}

impl Line {
    fn text(&self, field: &str) -> &str {
        self.fields.get(field).and_then(Value::as_str).unwrap_or("")
    }
}

impl Display for Line {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let (time, event) = (self.text("time"), self.text("event"));
        write!(f, "{time} {} {event}", self.source)?;
        let others = self.fields.iter();
        for (key, value) in others.filter(|(key, _)| !LEADING_FIELDS.contains(&key.as_str())) {
            match value {
                Value::String(text) if !text.contains(' ') => write!(f, " {key}={text}")?,
                _ => write!(f, " {key}={value}")?,
            }
        }
        write!(f, " ({})", self.text("msg"))
    }
}

/// What the logs say about one request.
#[derive(Default)]
struct Account {
    lines: Vec<Line>,
    /// Lines that processes dropped because their output was not read.
    dropped: u64,
    /// Lines that are no JSON objects, such as those of other programs.
    unreadable: u64,
}

impl Account {
    fn read(&mut self, source: &str, request: &str, log: impl BufRead) -> std::io::Result<()> {
        for line in log.split(b'\n') {
            let line = line?;
            match serde_json::from_slice(&line) {
                Ok(Value::Object(fields)) => self.add(source, request, fields),
                _ if line.is_empty() => (),
                _ => self.unreadable += 1,
            }
        }
        Ok(())
    }

    fn add(&mut self, source: &str, request: &str, fields: Map<String, Value>) {
        let text = |field| fields.get(field).and_then(Value::as_str);
        match text("event") {
            Some("log_lines_dropped") => {
                self.dropped += fields.get("count").and_then(Value::as_u64).unwrap_or(0);
            }
            _ if text("request") == Some(request) => self.lines.push(Line {
                source: source.to_owned(),
                fields,
            }),
            _ => (),
        }
    }

    // Dispatches of a request that must not be repeated.
    fn unrepeatable_dispatches(&self) -> usize {
        let once = |l: &&Line| {
            l.text("event") == "dispatch" && l.fields.get("may_repeat") == Some(&Value::Bool(false))
        };
        self.lines.iter().filter(once).count()
    }
}

impl Display for Account {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            writeln!(f, "{line}")?;
        }
        if self.lines.is_empty() {
            writeln!(f, "no line names the request")?;
        }
        let dispatches = self.unrepeatable_dispatches();
        if dispatches > 1 {
            writeln!(
                f,
                "note: {dispatches} dispatches of a request that may run once; the lines between them say why"
            )?;
        }
        if self.dropped > 0 {
            writeln!(f, "note: {} lines were dropped", self.dropped)?;
        }
        if self.unreadable > 0 {
            writeln!(f, "note: {} lines cannot be read", self.unreadable)?;
        }
        Ok(())
    }
}

/// Prints the lines that name a request, in order of time. Files of processes whose clocks differ are
/// ordered by those clocks.
pub(crate) fn run(request: &str, files: &[PathBuf]) -> Result<ExitCode> {
    let mut account = Account::default();
    for path in files {
        let failed = |source| Error::File {
            path: path.display().to_string(),
            source,
        };
        let log = BufReader::new(File::open(path).map_err(failed)?);
        account
            .read(&source_name(path), request, log)
            .map_err(failed)?;
    }
    // Lines of one process keep their order within a millisecond.
    account
        .lines
        .sort_by(|a, b| a.text("time").cmp(b.text("time")));
    print!("{account}");
    match account.lines.is_empty() {
        true => Ok(ExitCode::FAILURE),
        false => Ok(ExitCode::SUCCESS),
    }
}

fn source_name(path: &Path) -> String {
    let stem = path.file_stem().unwrap_or(path.as_os_str());
    stem.to_string_lossy().into_owned()
}

//! Logging: `key=value` text or JSON on standard error, or bounded JSON on standard output.

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, Logger, LoggerHandle, Record};
use log::kv::{Error, Key, Value, VisitSource};
use std::io::{self, Write};

use crate::Result;
use crate::log_writer::LineWriter;
use crate::resolved::LogFormat;

/// Log filter if `RUST_LOG` is not set.
const DEFAULT_SPEC: &str = "info, h2=warn, hyper=warn, warp=warn";

/// Starts the logger, which runs until the handle is dropped.
pub(crate) fn start(format: LogFormat) -> Result<Option<LoggerHandle>> {
    let logger = match format {
        LogFormat::Off => return Ok(None),
        LogFormat::Text => Logger::try_with_env_or_str(DEFAULT_SPEC)?.format(text),
        LogFormat::Json => Logger::try_with_env_or_str(DEFAULT_SPEC)?.format(json),
        LogFormat::Bounded => {
            let writer = Box::new(JsonWriter(LineWriter::start()));
            let logger = Logger::try_with_env_or_str(DEFAULT_SPEC)?;
            return Ok(Some(logger.log_to_writer(writer).start()?));
        }
    };
    Ok(Some(logger.log_to_stderr().start()?))
}

/// Writes records as JSON lines.
struct JsonWriter(LineWriter);

impl LogWriter for JsonWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record) -> io::Result<()> {
        let mut line = Vec::with_capacity(256);
        json(&mut line, now, record)?;
        line.push(b'\n');
        self.0.write(record.level(), line);
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }

    fn shutdown(&self) {
        self.0.close();
    }
}

struct Text(String);

impl<'kvs> VisitSource<'kvs> for Text {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> std::result::Result<(), Error> {
        let value = value.to_string();
        self.0.push(' ');
        self.0.push_str(key.as_str());
        self.0.push('=');
        match value.contains([' ', '"', '=']) {
            true => self.0.push_str(&format!("{value:?}")),
            false => self.0.push_str(&value),
        }
        Ok(())
    }
}

fn text(w: &mut dyn Write, now: &mut DeferredNow, record: &Record) -> io::Result<()> {
    let mut pairs = Text(String::new());
    // The line is written even if its key-value pairs cannot be formatted.
    let _ = record.key_values().visit(&mut pairs);
    let time = now.now().format("%Y-%m-%dT%H:%M:%S%.3f%:z");
    let (level, target) = (record.level(), record.target());
    write!(
        w,
        "{time} {level} {target} msg={:?}{}",
        record.args().to_string(),
        pairs.0
    )
}

struct Json(serde_json::Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Json {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> std::result::Result<(), Error> {
        let json = match (value.to_u64(), value.to_bool()) {
            (Some(n), _) => n.into(),
            (_, Some(b)) => b.into(),
            _ => value.to_string().into(),
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}

fn json(w: &mut dyn Write, now: &mut DeferredNow, record: &Record) -> io::Result<()> {
    let mut line = Json(serde_json::Map::new());
    let time = now.now().format("%Y-%m-%dT%H:%M:%S%.3f%:z").to_string();
    line.0.insert("time".into(), time.into());
    line.0
        .insert("level".into(), record.level().as_str().into());
    // Not `target`, which is a key of many lines.
    line.0.insert("module".into(), record.target().into());
    line.0
        .insert("msg".into(), record.args().to_string().into());
    // The line is written even if its key-value pairs cannot be formatted.
    let _ = record.key_values().visit(&mut line);
    write!(w, "{}", serde_json::Value::Object(line.0))
}

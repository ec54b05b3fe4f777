//! What was sent, answered and run, with times in milliseconds since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    pub fn note(&self, text: &str) {
        self.note_at(self.now(), text);
    }

    pub fn note_at(&self, at: f64, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:10.1} ms  {text}");
    }
}

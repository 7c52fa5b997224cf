//! Record of what was sent, answered and run, with the time since the start of the script.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Shared record; clones write to the same file.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record { start: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn add(&self, line: impl AsRef<str>) {
        let text = format!("{:>8.3} s  {}\n", self.start.elapsed().as_secs_f64(), line.as_ref());
        let mut file = self.file.lock().expect("lock");
        file.write_all(text.as_bytes()).expect("the record can be written");
    }
}

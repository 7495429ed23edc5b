//! The record of a case: what was sent, answered and run, with the seconds since the start.

use crate::lock;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

struct Inner {
    start: Instant,
    file: Mutex<File>,
}

/// A record that all threads of a case share.
#[derive(Clone)]
pub struct Record(Arc<Inner>);

impl Record {
    /// Starts a record in a file.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Mutex::new(File::create(path)?);
        let start = Instant::now();
        Ok(Record(Arc::new(Inner { start, file })))
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.0.start.elapsed().as_secs_f64()
    }

    /// Adds a line.
    pub fn say(&self, line: impl AsRef<str>) {
        let mut file = lock(&self.0.file);
        let _ = writeln!(file, "{:9.3} {}", self.now(), line.as_ref());
    }
}

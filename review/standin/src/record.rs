//! The record of what was sent, answered and run, and the clock that all of a case shares.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes `record.txt`; every line begins with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    out: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        let file = File::create(path)?;
        Ok(Self {
            start: Instant::now(),
            out: Arc::new(Mutex::new(BufWriter::new(file))),
        })
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let now = self.now();
        let mut out = self.out.lock().unwrap();
        let _ = writeln!(out, "{now:>7} {text}");
        let _ = out.flush();
    }
}

//! What was sent, answered and run, with the time of each event.

use std::fmt::Write;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

/// The start of a task by a worker.
#[derive(Clone, Debug)]
pub struct Start {
    pub at_ms: u64,
    pub worker: String,
    pub zone: String,
    pub task: String,
    pub run: u64,
}

/// A shared record of events.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<String>>>,
    starts: Arc<Mutex<Vec<Start>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            began: Instant::now(),
            lines: Arc::default(),
            starts: Arc::default(),
        }
    }

    /// Milliseconds since the record began.
    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Adds a line.
    pub fn note(&self, text: &str) {
        let line = format!("{:>7} ms  {text}", self.now_ms());
        lock(&self.lines).push(line);
    }

    /// Adds the start of a task.
    pub fn note_start(&self, start: Start) {
        self.note(&format!(
            "worker {} in {} starts {} run {}",
            start.worker, start.zone, start.task, start.run
        ));
        lock(&self.starts).push(start);
    }

    /// All starts so far.
    pub fn starts(&self) -> Vec<Start> {
        lock(&self.starts).clone()
    }

    /// Writes all lines to a file.
    pub fn write(&self, file: &Path) {
        let mut text = String::new();
        for line in lock(&self.lines).iter() {
            let _ = writeln!(text, "{line}");
        }
        let _ = std::fs::write(file, text);
    }
}

/// Locks a mutex, also after a panic of another thread.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

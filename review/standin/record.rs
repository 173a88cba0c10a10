//! What was sent, answered and run, in the order of time.

use std::fs;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The record of one case, shared by all stand-ins.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Adds a line with the time since the start.
    pub fn add(&self, what: &str) {
        let at = self.started.elapsed().as_secs_f64();
        self.lines
            .lock()
            .unwrap()
            .push(format!("{at:8.3} s  {what}"));
    }

    /// Writes the record to a file.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let mut file = fs::File::create(path)?;
        for line in self.lines.lock().unwrap().iter() {
            writeln!(file, "{line}")?;
        }
        Ok(())
    }
}

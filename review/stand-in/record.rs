//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self { started: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.now().as_secs_f64());
        print!("{line}");
        let mut file = self.file.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let _ = file.write_all(line.as_bytes());
    }
}

//! The record of a trial: what was sent, answered and run, with the seconds since the trial began.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(
                File::create(path).expect("the record can be written"),
            )),
        }
    }

    /// Seconds since the trial began.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{:8.3} {}", self.now(), text.as_ref()).expect("the record can be written");
    }
}

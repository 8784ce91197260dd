//! What was sent, answered and run, with the time since the start.
use std::io::Write;
use std::sync::{Arc, Mutex};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<std::io::BufWriter<std::fs::File>>>,
    started: std::time::Instant,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Record> {
        let file = std::io::BufWriter::new(std::fs::File::create(path)?);
        Ok(Record { file: Arc::new(Mutex::new(file)), started: std::time::Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_micros();
        let mut file = self.file.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let _ = writeln!(file, "{:>10.3} ms  {text}", at as f64 / 1000.0);
    }

    /// A line that is also shown on standard output.
    pub fn tell(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }

    pub fn flush(&self) {
        let mut file = self.file.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let _ = file.flush();
    }
}

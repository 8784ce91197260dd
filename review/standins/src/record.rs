//! The record of a case: one line for each thing that was sent, answered or run, with its time.
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started: Instant,
    file: Mutex<std::io::BufWriter<std::fs::File>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Record> {
        let file = std::io::BufWriter::new(std::fs::File::create(path)?);
        Ok(Record { started: Instant::now(), file: Mutex::new(file) })
    }

    pub fn ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let ms = self.ms();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{:>7}.{:03} {text}", ms / 1000, ms % 1000);
        }
    }

    /// A line that is also shown.
    pub fn tell(&self, text: &str) {
        println!("{:>4}.{:03} {text}", self.ms() / 1000, self.ms() % 1000);
        self.line(text);
    }

    pub fn flush(&self) {
        if let Ok(mut file) = self.file.lock() {
            let _ = file.flush();
        }
    }
}

//! Log writer that keeps recent low-level records in memory and writes them out when an error is logged.
use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FlexiLoggerError, LogSpecification, Logger};
use std::io::Write;
use std::sync::Mutex;

/// Number of buffered lines.
const BUFFERED_LINES: usize = 256;
/// Minimum interval between two writes of the buffer.
const FLUSH_INTERVAL: std::time::Duration = std::time::Duration::from_secs(5);

struct BufferedWriter {
    level: log::LevelFilter,
    buffer: Mutex<Buffer>,
}

#[derive(Default)]
struct Buffer {
    lines: std::collections::VecDeque<String>,
    flushed_at: Option<std::time::Instant>,
}

impl LogWriter for BufferedWriter {
    fn write(&self, now: &mut DeferredNow, record: &log::Record<'_>) -> std::io::Result<()> {
        let line = format!("{} {} {}", now.format("%H:%M:%S%.3f"), record.level(), record.args());
        let Ok(mut buffer) = self.buffer.lock() else { return Ok(()) };
        let mut out = std::io::stderr().lock();
        let is_error = record.level() == log::Level::Error;
        // The buffered records show what led up to the error.
        if is_error && buffer.flushed_at.is_none_or(|flushed_at| flushed_at.elapsed() > FLUSH_INTERVAL) {
            buffer.flushed_at = Some(std::time::Instant::now());
            for line in buffer.lines.drain(..) {
                writeln!(out, "  {line}")?;
            }
        }
        if record.level() <= self.level {
            return writeln!(out, "{line}");
        }
        if buffer.lines.len() == BUFFERED_LINES {
            buffer.lines.pop_front();
        }
        buffer.lines.push_back(line);
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        std::io::stderr().flush()
    }
}

/// Writes records up to `level` at once and buffers the others.
pub fn start(level: &str) -> Result<(), FlexiLoggerError> {
    let level = level.parse().unwrap_or(log::LevelFilter::Warn);
    let writer = BufferedWriter { level, buffer: Mutex::default() };
    let spec = LogSpecification::builder().default(level.max(log::LevelFilter::Info)).build();
    Logger::with(spec).log_to_writer(Box::new(writer)).start().map(std::mem::forget)
}

//! Logs: a ring in memory, written out when something goes wrong.
use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FlexiLoggerError, LogSpecification, Logger};
use std::io::Write;
use std::sync::Mutex;

const KEPT: usize = 256;
/// After an error the ring is written out at most this often.
const PAUSE: std::time::Duration = std::time::Duration::from_secs(5);

struct Ring {
    level: log::LevelFilter,
    kept: Mutex<Kept>,
}

#[derive(Default)]
struct Kept {
    lines: std::collections::VecDeque<String>,
    written: Option<std::time::Instant>,
}

impl LogWriter for Ring {
    fn write(&self, now: &mut DeferredNow, record: &log::Record<'_>) -> std::io::Result<()> {
        let line = format!("{} {} {}", now.format("%H:%M:%S%.3f"), record.level(), record.args());
        let Ok(mut kept) = self.kept.lock() else { return Ok(()) };
        let mut out = std::io::stderr().lock();
        let is_error = record.level() == log::Level::Error;
        // What led up to an error is wanted with it, though not again and again.
        if is_error && kept.written.is_none_or(|written| written.elapsed() > PAUSE) {
            kept.written = Some(std::time::Instant::now());
            for line in kept.lines.drain(..) {
                writeln!(out, "  {line}")?;
            }
        }
        if record.level() <= self.level {
            return writeln!(out, "{line}");
        }
        if kept.lines.len() == KEPT {
            kept.lines.pop_front();
        }
        kept.lines.push_back(line);
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        std::io::stderr().flush()
    }
}

pub fn start(level: &str) -> Result<(), FlexiLoggerError> {
    let shown = level.parse().unwrap_or(log::LevelFilter::Warn);
    let ring = Ring { level: shown, kept: Mutex::default() };
    let spec = LogSpecification::builder().default(shown.max(log::LevelFilter::Info)).build();
    Logger::with(spec).log_to_writer(Box::new(ring)).start().map(std::mem::forget)
}

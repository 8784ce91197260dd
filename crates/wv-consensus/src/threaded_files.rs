//! Runs disk writes on a separate thread, so that a disk that hangs does not block the node's event loop.
use crate::DurableFiles;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender};

enum Job {
    Write(String, Vec<u8>),
    Append(String, Vec<u8>),
}

/// Files whose writes time out. While a timed-out write is still running, further writes fail immediately and are not
/// queued.
pub struct ThreadedFiles {
    reader: Box<dyn DurableFiles>,
    jobs: SyncSender<Job>,
    results: Receiver<std::io::Result<()>>,
    timeout: std::time::Duration,
    is_timed_out: bool,
}

impl ThreadedFiles {
    /// `reader` and `writer` must refer to the same files. A write that takes longer than `timeout` fails.
    pub fn start(
        reader: Box<dyn DurableFiles>,
        mut writer: Box<dyn DurableFiles + Send>,
        timeout: std::time::Duration,
    ) -> std::io::Result<ThreadedFiles> {
        let (jobs, queue) = std::sync::mpsc::sync_channel::<Job>(1);
        let (result_sender, results) = std::sync::mpsc::sync_channel(1);
        std::thread::Builder::new().name("disk".to_owned()).stack_size(128 << 10).spawn(move || {
            for job in queue {
                let result = match job {
                    Job::Write(name, bytes) => writer.write(&name, &bytes),
                    Job::Append(name, bytes) => writer.append(&name, &bytes),
                };
                if result_sender.send(result).is_err() {
                    return;
                }
            }
        })?;
        Ok(ThreadedFiles { reader, jobs, results, timeout, is_timed_out: false })
    }

    fn run(&mut self, job: Job) -> std::io::Result<()> {
        let timeout_error = || std::io::Error::new(std::io::ErrorKind::TimedOut, "disk write timed out");
        if self.is_timed_out {
            self.results
                .try_recv()
                .map_err(|_| timeout_error())?
                .unwrap_or_else(|error| log::warn!("timed-out disk write failed: {error}"));
            self.is_timed_out = false;
            log::warn!("disk responds to writes again");
        }
        let thread_error = || std::io::Error::other("disk thread has terminated");
        self.jobs.send(job).map_err(|_| thread_error())?;
        match self.results.recv_timeout(self.timeout) {
            Ok(result) => result,
            Err(RecvTimeoutError::Timeout) => {
                self.is_timed_out = true;
                Err(timeout_error())
            }
            Err(RecvTimeoutError::Disconnected) => Err(thread_error()),
        }
    }
}

impl DurableFiles for ThreadedFiles {
    fn read(&self, name: &str) -> std::io::Result<Option<Vec<u8>>> {
        self.reader.read(name)
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> std::io::Result<()> {
        self.run(Job::Write(name.to_owned(), bytes.to_vec()))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> std::io::Result<()> {
        self.run(Job::Append(name.to_owned(), bytes.to_vec()))
    }
}

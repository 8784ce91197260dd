//! A disk behind a thread of its own: one that hangs costs its node the vote, and not its turn.
use crate::Files;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender};

enum Job {
    Write(String, Vec<u8>),
    Append(String, Vec<u8>),
}

/// Files whose writes are given up on after a while. Until the disk has ended the one that hangs, all others fail at
/// once; what they would have written is not written later behind anyone's back.
pub struct ThreadFiles {
    reader: Box<dyn Files>,
    jobs: SyncSender<Job>,
    ends: Receiver<std::io::Result<()>>,
    limit: std::time::Duration,
    is_hanging: bool,
}

impl ThreadFiles {
    /// `reader` and `writer` are the same files, opened twice. A write that takes longer than `limit` is no vote: slow
    /// disks are waited for, hanging ones are not.
    pub fn start(
        reader: Box<dyn Files>,
        mut writer: Box<dyn Files + Send>,
        limit: std::time::Duration,
    ) -> std::io::Result<ThreadFiles> {
        let (jobs, work) = std::sync::mpsc::sync_channel::<Job>(1);
        let (done, ends) = std::sync::mpsc::sync_channel(1);
        std::thread::Builder::new().name("disk".to_owned()).stack_size(128 << 10).spawn(move || {
            for job in work {
                let end = match job {
                    Job::Write(name, bytes) => writer.write(&name, &bytes),
                    Job::Append(name, bytes) => writer.append(&name, &bytes),
                };
                if done.send(end).is_err() {
                    return;
                }
            }
        })?;
        Ok(ThreadFiles { reader, jobs, ends, limit, is_hanging: false })
    }

    fn run(&mut self, job: Job) -> std::io::Result<()> {
        let hangs = || std::io::Error::new(std::io::ErrorKind::TimedOut, "the disk hangs");
        if self.is_hanging {
            self.ends.try_recv().map_err(|_| hangs())?.unwrap_or_else(|error| log::warn!("a write that hung: {error}"));
            self.is_hanging = false;
            log::warn!("the disk writes again");
        }
        let gone = || std::io::Error::other("the disk's thread is gone");
        self.jobs.send(job).map_err(|_| gone())?;
        match self.ends.recv_timeout(self.limit) {
            Ok(end) => end,
            Err(RecvTimeoutError::Timeout) => {
                self.is_hanging = true;
                Err(hangs())
            }
            Err(RecvTimeoutError::Disconnected) => Err(gone()),
        }
    }
}

impl Files for ThreadFiles {
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

use std::io::Write;

/// File operations of the store; each returns only after the data is durable.
pub trait DurableFiles {
    fn read(&self, name: &str) -> std::io::Result<Option<Vec<u8>>>;
    fn write(&mut self, name: &str, bytes: &[u8]) -> std::io::Result<()>;
    fn append(&mut self, name: &str, bytes: &[u8]) -> std::io::Result<()>;
}

/// Operations on one directory without implicit syncing: a power loss may undo or tear anything that was not synced
/// afterwards.
pub trait Directory {
    fn read(&self, name: &str) -> std::io::Result<Option<Vec<u8>>>;
    fn exists(&self, name: &str) -> bool;
    /// Creates or truncates the file.
    fn create(&mut self, name: &str) -> std::io::Result<()>;
    fn append(&mut self, name: &str, bytes: &[u8]) -> std::io::Result<()>;
    /// Makes the file's contents durable.
    fn sync(&self, name: &str) -> std::io::Result<()>;
    /// Makes the directory's current entries durable.
    fn sync_directory(&self) -> std::io::Result<()>;
}

/// Files of a directory, synced after every operation.
pub struct SyncedDirectory<F> {
    directory: F,
    /// Whether a new directory entry may not be durable yet, including after a failed operation.
    needs_directory_sync: bool,
}

impl<F: Directory> SyncedDirectory<F> {
    pub fn over(directory: F) -> std::io::Result<SyncedDirectory<F>> {
        // A killed process may have left directory entries that a power loss would still remove.
        directory.sync_directory()?;
        Ok(SyncedDirectory { directory, needs_directory_sync: false })
    }
}

impl<F: Directory> SyncedDirectory<F> {
    fn create(&mut self, name: &str) -> std::io::Result<()> {
        self.needs_directory_sync |= !self.directory.exists(name);
        self.directory.create(name)
    }

    fn append_synced(&mut self, name: &str, bytes: &[u8]) -> std::io::Result<()> {
        self.directory.append(name, bytes)?;
        self.directory.sync(name)?;
        if self.needs_directory_sync {
            self.directory.sync_directory()?;
        }
        self.needs_directory_sync = false;
        Ok(())
    }
}

impl<F: Directory> DurableFiles for SyncedDirectory<F> {
    fn read(&self, name: &str) -> std::io::Result<Option<Vec<u8>>> {
        let bytes = self.directory.read(name)?;
        // Data written but not synced by a killed process must be durable before it is used.
        bytes.iter().try_for_each(|_| self.directory.sync(name))?;
        Ok(bytes)
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> std::io::Result<()> {
        self.create(name)?;
        self.append_synced(name, bytes)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> std::io::Result<()> {
        if !self.directory.exists(name) {
            self.create(name)?;
        }
        self.append_synced(name, bytes)
    }
}

/// A directory of the operating system's file system.
pub struct OsDirectory {
    path: std::path::PathBuf,
    /// The most recently written file.
    last_written: Option<(String, std::fs::File)>,
}

impl OsDirectory {
    fn last_written(&self, name: &str) -> Option<&std::fs::File> {
        self.last_written.as_ref().filter(|(last_name, _)| last_name == name).map(|(_, file)| file)
    }
}

impl Directory for OsDirectory {
    fn read(&self, name: &str) -> std::io::Result<Option<Vec<u8>>> {
        match std::fs::read(self.path.join(name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn exists(&self, name: &str) -> bool {
        self.last_written(name).is_some() || self.path.join(name).exists()
    }

    fn create(&mut self, name: &str) -> std::io::Result<()> {
        self.last_written = None;
        self.last_written = Some((name.to_owned(), std::fs::File::create(self.path.join(name))?));
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> std::io::Result<()> {
        if self.last_written(name).is_none() {
            let file = std::fs::OpenOptions::new().append(true).open(self.path.join(name))?;
            self.last_written = Some((name.to_owned(), file));
        }
        let (_, file) = self.last_written.as_mut().ok_or(std::io::ErrorKind::NotFound)?;
        file.write_all(bytes)
    }

    fn sync(&self, name: &str) -> std::io::Result<()> {
        match self.last_written(name) {
            Some(file) => file.sync_data(),
            None => std::fs::OpenOptions::new().write(true).open(self.path.join(name))?.sync_data(),
        }
    }

    fn sync_directory(&self) -> std::io::Result<()> {
        std::fs::File::open(&self.path).and_then(|handle| handle.sync_all())
    }
}

/// Durable files in a directory of the operating system's file system.
pub type OsFiles = SyncedDirectory<OsDirectory>;

impl OsFiles {
    pub fn open(path: &std::path::Path) -> std::io::Result<OsFiles> {
        let is_new = !path.exists();
        std::fs::create_dir_all(path)?;
        let parent = path.parent().filter(|parent| is_new && !parent.as_os_str().is_empty());
        parent.into_iter().try_for_each(|parent| std::fs::File::open(parent)?.sync_all())?;
        SyncedDirectory::over(OsDirectory { path: path.to_owned(), last_written: None })
    }
}

/// In-memory files, for nodes without a data directory and for simulations that inject faults.
#[derive(Clone, Default)]
pub struct MemoryFiles {
    /// Whether writes fail because the disk is full.
    pub is_full: std::rc::Rc<std::cell::Cell<bool>>,
    /// Whether whole-file writes take effect and still return an error.
    pub fails_after_write: std::rc::Rc<std::cell::Cell<bool>>,
    /// Total number of bytes written.
    pub written: std::rc::Rc<std::cell::Cell<usize>>,
    pub files: std::rc::Rc<std::cell::RefCell<std::collections::BTreeMap<String, Vec<u8>>>>,
}

impl MemoryFiles {
    /// Returns an independent copy of the files.
    pub fn copy(&self) -> MemoryFiles {
        let files = self.files.borrow().clone();
        MemoryFiles { files: std::rc::Rc::new(std::cell::RefCell::new(files)), ..MemoryFiles::default() }
    }
}

impl DurableFiles for MemoryFiles {
    fn read(&self, name: &str) -> std::io::Result<Option<Vec<u8>>> {
        Ok(self.files.borrow().get(name).cloned())
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> std::io::Result<()> {
        if self.is_full.get() {
            return Err(std::io::ErrorKind::StorageFull.into());
        }
        self.written.set(self.written.get() + bytes.len());
        self.files.borrow_mut().insert(name.to_owned(), bytes.to_vec());
        if self.fails_after_write.get() {
            return Err(std::io::ErrorKind::TimedOut.into());
        }
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> std::io::Result<()> {
        if self.is_full.get() {
            return Err(std::io::ErrorKind::StorageFull.into());
        }
        self.written.set(self.written.get() + bytes.len());
        self.files.borrow_mut().entry(name.to_owned()).or_default().extend_from_slice(bytes);
        Ok(())
    }
}

use std::io::Write;

/// The few file calls that the store needs; each returns only once the disk holds the bytes.
pub trait Files {
    fn read(&self, name: &str) -> std::io::Result<Option<Vec<u8>>>;
    fn write(&mut self, name: &str, bytes: &[u8]) -> std::io::Result<()>;
    fn append(&mut self, name: &str, bytes: &[u8]) -> std::io::Result<()>;
}

/// Calls on one folder as a disk offers them: a loss of power may undo, or tear, whatever was not synced after it.
pub trait Folder {
    fn read(&self, name: &str) -> std::io::Result<Option<Vec<u8>>>;
    fn has(&self, name: &str) -> bool;
    /// Makes the file, or empties it.
    fn create(&mut self, name: &str) -> std::io::Result<()>;
    fn append(&mut self, name: &str, bytes: &[u8]) -> std::io::Result<()>;
    /// What the file holds lasts.
    fn sync(&self, name: &str) -> std::io::Result<()>;
    /// The names that the folder has now last.
    fn sync_names(&self) -> std::io::Result<()>;
}

/// The files of a folder, each call synced.
pub struct Synced<F> {
    folder: F,
    /// A name was made that may not last yet, also where an earlier call failed after it.
    is_name_due: bool,
}

impl<F: Folder> Synced<F> {
    pub fn over(folder: F) -> std::io::Result<Synced<F>> {
        // A process that was killed may have left names that a loss of power would still take away.
        folder.sync_names()?;
        Ok(Synced { folder, is_name_due: false })
    }
}

impl<F: Folder> Synced<F> {
    fn create(&mut self, name: &str) -> std::io::Result<()> {
        self.is_name_due |= !self.folder.has(name);
        self.folder.create(name)
    }

    fn finish(&mut self, name: &str, bytes: &[u8]) -> std::io::Result<()> {
        self.folder.append(name, bytes)?;
        self.folder.sync(name)?;
        if self.is_name_due {
            self.folder.sync_names()?;
        }
        self.is_name_due = false;
        Ok(())
    }
}

impl<F: Folder> Files for Synced<F> {
    fn read(&self, name: &str) -> std::io::Result<Option<Vec<u8>>> {
        let bytes = self.folder.read(name)?;
        // What a killed process wrote and did not sync is read like all else: from now on others may rest on it.
        bytes.iter().try_for_each(|_| self.folder.sync(name))?;
        Ok(bytes)
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> std::io::Result<()> {
        self.create(name)?;
        self.finish(name, bytes)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> std::io::Result<()> {
        if !self.folder.has(name) {
            self.create(name)?;
        }
        self.finish(name, bytes)
    }
}

/// A folder of the real disk.
pub struct Dir {
    path: std::path::PathBuf,
    /// The file that was written last.
    tail: Option<(String, std::fs::File)>,
}

impl Dir {
    fn tail(&self, name: &str) -> Option<&std::fs::File> {
        self.tail.as_ref().filter(|(held, _)| held == name).map(|(_, file)| file)
    }
}

impl Folder for Dir {
    fn read(&self, name: &str) -> std::io::Result<Option<Vec<u8>>> {
        match std::fs::read(self.path.join(name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn has(&self, name: &str) -> bool {
        self.tail(name).is_some() || self.path.join(name).exists()
    }

    fn create(&mut self, name: &str) -> std::io::Result<()> {
        self.tail = None;
        self.tail = Some((name.to_owned(), std::fs::File::create(self.path.join(name))?));
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> std::io::Result<()> {
        if self.tail(name).is_none() {
            let file = std::fs::OpenOptions::new().append(true).open(self.path.join(name))?;
            self.tail = Some((name.to_owned(), file));
        }
        let (_, file) = self.tail.as_mut().ok_or(std::io::ErrorKind::NotFound)?;
        file.write_all(bytes)
    }

    fn sync(&self, name: &str) -> std::io::Result<()> {
        match self.tail(name) {
            Some(file) => file.sync_data(),
            None => std::fs::OpenOptions::new().write(true).open(self.path.join(name))?.sync_data(),
        }
    }

    fn sync_names(&self) -> std::io::Result<()> {
        std::fs::File::open(&self.path).and_then(|dir| dir.sync_all())
    }
}

/// Files in a folder of the real disk.
pub type DirFiles = Synced<Dir>;

impl DirFiles {
    pub fn open(path: &std::path::Path) -> std::io::Result<DirFiles> {
        let is_new = !path.exists();
        std::fs::create_dir_all(path)?;
        let parent = path.parent().filter(|parent| is_new && !parent.as_os_str().is_empty());
        parent.into_iter().try_for_each(|parent| std::fs::File::open(parent)?.sync_all())?;
        Synced::over(Dir { path: path.to_owned(), tail: None })
    }
}

/// Files in memory: for nodes without a disk and for the in-memory fleet, which tears and wipes them.
#[derive(Clone, Default)]
pub struct MemFiles {
    /// Set where the disk takes nothing more.
    pub is_full: std::rc::Rc<std::cell::Cell<bool>>,
    /// Set where whole files are written and the caller is yet told that they were not.
    pub fails_late: std::rc::Rc<std::cell::Cell<bool>>,
    /// Bytes written since the start.
    pub written: std::rc::Rc<std::cell::Cell<usize>>,
    pub files: std::rc::Rc<std::cell::RefCell<std::collections::BTreeMap<String, Vec<u8>>>>,
}

impl MemFiles {
    /// The same files, on their own from now on.
    pub fn copy(&self) -> MemFiles {
        let files = self.files.borrow().clone();
        MemFiles { files: std::rc::Rc::new(std::cell::RefCell::new(files)), ..MemFiles::default() }
    }
}

impl Files for MemFiles {
    fn read(&self, name: &str) -> std::io::Result<Option<Vec<u8>>> {
        Ok(self.files.borrow().get(name).cloned())
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> std::io::Result<()> {
        if self.is_full.get() {
            return Err(std::io::ErrorKind::StorageFull.into());
        }
        self.written.set(self.written.get() + bytes.len());
        self.files.borrow_mut().insert(name.to_owned(), bytes.to_vec());
        if self.fails_late.get() {
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

use std::io::Write;

/// The few file calls that the store needs; each returns only once the disk holds the bytes.
pub trait Files {
    fn read(&self, name: &str) -> std::io::Result<Option<Vec<u8>>>;
    fn write(&mut self, name: &str, bytes: &[u8]) -> std::io::Result<()>;
    fn append(&mut self, name: &str, bytes: &[u8]) -> std::io::Result<()>;
}

/// Files in a folder of the real disk.
pub struct DirFiles {
    dir: std::path::PathBuf,
    tail: Option<(String, std::fs::File)>,
}

impl DirFiles {
    pub fn open(dir: &std::path::Path) -> std::io::Result<DirFiles> {
        std::fs::create_dir_all(dir)?;
        Ok(DirFiles { dir: dir.to_owned(), tail: None })
    }

    fn sync_dir(&self) -> std::io::Result<()> {
        std::fs::File::open(&self.dir).and_then(|dir| dir.sync_all())
    }
}

impl Files for DirFiles {
    fn read(&self, name: &str) -> std::io::Result<Option<Vec<u8>>> {
        match std::fs::read(self.dir.join(name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> std::io::Result<()> {
        // An append handle on the same name would go on at its old place.
        self.tail = None;
        let path = self.dir.join(name);
        let is_new = !path.exists();
        let mut file = std::fs::File::create(path)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        if is_new {
            self.sync_dir()?;
        }
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> std::io::Result<()> {
        if self.tail.as_ref().is_none_or(|(held, _)| held != name) {
            let path = self.dir.join(name);
            let is_new = !path.exists();
            let file = std::fs::OpenOptions::new().create(true).append(true).open(path)?;
            if is_new {
                file.sync_all()?;
                self.sync_dir()?;
            }
            self.tail = Some((name.to_owned(), file));
        }
        let (_, file) = self.tail.as_mut().ok_or(std::io::ErrorKind::NotFound)?;
        file.write_all(bytes)?;
        file.sync_data()
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

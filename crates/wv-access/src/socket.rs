//! A TCP socket that passes received bytes to a closure and writes without waiting while the send buffer has room.
use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

const READ_BYTES: usize = 16 << 10;

thread_local! {
    static READ_BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_BYTES]);
}

pub struct Socket {
    writer: RefCell<Option<OwnedWriteHalf>>,
    pending: RefCell<Vec<u8>>,
    is_flushing: Cell<bool>,
    closed: tokio::sync::Notify,
    is_closed: Cell<bool>,
}

impl Socket {
    pub fn split(stream: tokio::net::TcpStream) -> (OwnedReadHalf, Rc<Socket>) {
        let (reader, writer) = stream.into_split();
        let sock = Socket {
            writer: RefCell::new(Some(writer)),
            pending: RefCell::default(),
            is_flushing: Cell::new(false),
            closed: tokio::sync::Notify::new(),
            is_closed: Cell::new(false),
        };
        (reader, Rc::new(sock))
    }

    /// Writes as much as the send buffer accepts and queues the rest.
    pub fn write(self: &Rc<Self>, out: &mut Vec<u8>) {
        let mut at = 0;
        if !self.is_flushing.get() {
            if let Some(writer) = self.writer.borrow().as_ref() {
                while at < out.len() {
                    match writer.try_write(&out[at..]) {
                        Ok(0) | Err(_) => break,
                        Ok(len) => at += len,
                    }
                }
            }
        }
        if at < out.len() {
            self.pending.borrow_mut().extend_from_slice(&out[at..]);
            self.flush_pending();
        }
        out.clear();
    }

    fn flush_pending(self: &Rc<Self>) {
        if self.is_flushing.replace(true) {
            return;
        }
        let sock = self.clone();
        tokio::task::spawn_local(async move {
            let writer = sock.writer.borrow_mut().take();
            let Some(writer) = writer else { return };
            loop {
                let out = std::mem::take(&mut *sock.pending.borrow_mut());
                if out.is_empty() {
                    break;
                }
                let mut at = 0;
                while at < out.len() {
                    if writer.writable().await.is_err() {
                        return;
                    }
                    match writer.try_write(&out[at..]) {
                        Ok(len) => at += len,
                        Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                        Err(_) => return,
                    }
                }
            }
            sock.is_flushing.set(false);
            if !sock.is_closed.get() {
                *sock.writer.borrow_mut() = Some(writer);
            }
        });
    }

    /// Closes the connection after the pending bytes are written.
    pub fn close(&self) {
        self.is_closed.set(true);
        self.writer.borrow_mut().take();
        self.closed.notify_one();
    }

    /// Reads until either side closes, and returns the error that ended the connection, if any.
    pub async fn read(&self, reader: &mut OwnedReadHalf, mut take: impl FnMut(&[u8])) -> Option<std::io::Error> {
        let reading = std::future::poll_fn(|context| loop {
            // All sockets of the thread share the buffer, so no data is left in it across an await.
            let mut bytes = READ_BUFFER.with(|buf| std::mem::take(&mut *buf.borrow_mut()));
            if bytes.is_empty() {
                bytes = vec![0; READ_BYTES];
            }
            let mut view = ReadBuf::new(&mut bytes);
            let polled = Pin::new(&mut *reader).poll_read(context, &mut view);
            let is_done = match &polled {
                std::task::Poll::Ready(Ok(())) if !view.filled().is_empty() => {
                    take(view.filled());
                    false
                }
                _ => true,
            };
            READ_BUFFER.with(|buf| *buf.borrow_mut() = bytes);
            if is_done {
                break polled.map(|result| result.err());
            }
        });
        tokio::select! {
            biased;
            _ = self.closed.notified() => None,
            error = reading => error,
        }
    }
}

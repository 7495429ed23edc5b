//! A non-blocking TCP connection with what is waiting to be written.

use constants::READ_CHUNK;
use polling::{Event, PollMode, Poller};
use socket2::{Domain, Protocol, SockAddr, Socket, Type};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};

/// A connection known to the poller under a key.
pub struct Conn {
    stream: TcpStream,
    key: usize,
    out: Vec<u8>,
    sent: usize,
    wants_write: bool,
}

impl Conn {
    /// Takes over a connected or connecting stream.
    pub fn new(
        poller: &Poller,
        stream: TcpStream,
        key: usize,
        connecting: bool,
    ) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        let event = Event::new(key, true, connecting);
        // The stream is removed from the poller before it is dropped, in `close`.
        register(poller, &stream, event)?;
        Ok(Conn {
            stream,
            key,
            out: Vec::new(),
            sent: 0,
            wants_write: connecting,
        })
    }

    /// Starts to connect.
    pub fn connect(poller: &Poller, addr: SocketAddrV4, key: usize) -> io::Result<Self> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        let _ = socket.set_nodelay(true);
        match socket.connect(&SockAddr::from(addr)) {
            Ok(()) => {}
            Err(e) if e.raw_os_error() == Some(EINPROGRESS) => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
        Conn::new(poller, socket.into(), key, true)
    }

    /// Whether a connection attempt has succeeded.
    pub fn connected(&self) -> io::Result<()> {
        match self.stream.take_error()? {
            Some(e) => Err(e),
            None => self.stream.peer_addr().map(|_| ()),
        }
    }

    /// Bytes waiting to be written.
    pub fn backlog(&self) -> usize {
        self.out.len() - self.sent
    }

    /// Where to append what is to be written.
    pub fn out(&mut self) -> &mut Vec<u8> {
        &mut self.out
    }

    /// Writes what can be written now.
    pub fn flush(&mut self, poller: &Poller) -> io::Result<()> {
        while self.sent < self.out.len() {
            match self.stream.write(&self.out[self.sent..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => self.sent += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        if self.sent >= self.out.len() {
            self.sent = 0;
            self.out.clear();
            if self.out.capacity() > READ_CHUNK {
                self.out = Vec::new();
            }
        }
        let wants = !self.out.is_empty();
        if wants != self.wants_write {
            self.wants_write = wants;
            let event = Event::new(self.key, true, wants);
            poller.modify_with_mode(&self.stream, event, PollMode::Level)?;
        }
        Ok(())
    }

    /// Reads what is there into `take`; false once the other side has closed.
    pub fn read(&mut self, buf: &mut [u8], mut take: impl FnMut(&[u8])) -> io::Result<bool> {
        loop {
            match self.stream.read(buf) {
                Ok(0) => return Ok(false),
                Ok(n) => {
                    take(&buf[..n]);
                    if n < buf.len() {
                        return Ok(true);
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(true),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// Closes it.
    pub fn close(self, poller: &Poller) {
        let _ = poller.delete(&self.stream);
    }
}

/// `EINPROGRESS` of Linux: a connection attempt goes on in the background.
const EINPROGRESS: i32 = 115;

#[allow(unsafe_code)]
fn register(poller: &Poller, stream: &TcpStream, event: Event) -> io::Result<()> {
    // SAFETY: every stream is deleted from the poller in `Conn::close`, the only way a `Conn` is disposed of
    // while the poller lives; a stream dropped by an early error path is closed, which epoll forgets by itself.
    unsafe { poller.add_with_mode(stream, event, PollMode::Level) }
}

/// Gives out keys of the poller, each once.
pub struct KeySequence {
    next: usize,
}

impl KeySequence {
    /// The first key that is given out.
    pub fn starting_at(first: usize) -> Self {
        KeySequence { next: first }
    }

    /// A key that nothing else has.
    pub fn take(&mut self) -> usize {
        self.next += 1;
        self.next - 1
    }
}

/// A listening socket known to the poller under a key.
pub struct Listener {
    inner: TcpListener,
}

impl Listener {
    /// Listens.
    #[allow(unsafe_code)]
    pub fn bind(poller: &Poller, addr: SocketAddrV4, key: usize, backlog: i32) -> io::Result<Self> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.bind(&SockAddr::from(addr))?;
        socket.listen(backlog)?;
        socket.set_nonblocking(true)?;
        let inner: TcpListener = socket.into();
        // SAFETY: listeners live as long as the poller.
        unsafe { poller.add_with_mode(&inner, Event::readable(key), PollMode::Level)? };
        Ok(Listener { inner })
    }

    /// The next waiting connection.
    pub fn accept(&self) -> Option<TcpStream> {
        loop {
            match self.inner.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nodelay(true);
                    return Some(stream);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return None,
            }
        }
    }
}

//! Non-blocking TCP: connections with their output buffers, listeners and the poller's keys.

use constants::READ_BUFFER_BYTES;
use polling::{Event, PollMode, Poller};
use socket2::{Domain, Protocol, SockAddr, Socket, Type};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};

/// `EINPROGRESS` of Linux: a connection attempt goes on in the background.
const EINPROGRESS: i32 = 115;

/// A connection that is registered with the poller under a key.
pub struct Connection {
    stream: TcpStream,
    key: usize,
    output: Vec<u8>,
    /// Number of bytes at the start of `output` that have been written.
    written: usize,
    /// Whether the poller reports when the stream can be written.
    watches_write: bool,
}

impl Connection {
    /// Takes over a stream that a listener has accepted.
    pub fn accepted(poller: &Poller, stream: TcpStream, key: usize) -> io::Result<Self> {
        Connection::new(poller, stream, key, false)
    }

    /// Starts to connect.
    pub fn connect(poller: &Poller, addr: SocketAddrV4, key: usize) -> io::Result<Self> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        let _ = socket.set_nodelay(true);
        match socket.connect(&SockAddr::from(addr)) {
            Ok(()) => {}
            Err(error) if error.raw_os_error() == Some(EINPROGRESS) => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
        Connection::new(poller, socket.into(), key, true)
    }

    /// Registers a stream. While it is `connecting`, the poller reports when it can be written, which ends the attempt.
    fn new(poller: &Poller, stream: TcpStream, key: usize, connecting: bool) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        let event = Event::new(key, true, connecting);
        // The stream is removed from the poller before it is dropped, in `close`.
        register(poller, &stream, event)?;
        Ok(Connection {
            stream,
            key,
            output: Vec::new(),
            written: 0,
            watches_write: connecting,
        })
    }

    /// Fails if the connection attempt has failed. Meant for the first event after [`Connection::connect`].
    pub fn check_connected(&self) -> io::Result<()> {
        match self.stream.take_error()? {
            Some(error) => Err(error),
            None => self.stream.peer_addr().map(|_| ()),
        }
    }

    /// Number of bytes that are waiting to be written.
    pub fn backlog(&self) -> usize {
        self.output.len() - self.written
    }

    /// The output buffer, to which callers append.
    pub fn output(&mut self) -> &mut Vec<u8> {
        &mut self.output
    }

    /// Writes what can be written now, and has the poller report when the rest can be.
    pub fn flush(&mut self, poller: &Poller) -> io::Result<()> {
        self.write_output()?;
        if self.written >= self.output.len() {
            self.reset_output();
        }
        self.watch_write(poller, !self.output.is_empty())
    }

    fn write_output(&mut self) -> io::Result<()> {
        while self.written < self.output.len() {
            match self.stream.write(&self.output[self.written..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => self.written += count,
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Empties the output buffer. The memory of a large one is released.
    fn reset_output(&mut self) {
        self.written = 0;
        self.output.clear();
        if self.output.capacity() > READ_BUFFER_BYTES {
            self.output = Vec::new();
        }
    }

    fn watch_write(&mut self, poller: &Poller, watch: bool) -> io::Result<()> {
        if watch == self.watches_write {
            return Ok(());
        }
        self.watches_write = watch;
        let event = Event::new(self.key, true, watch);
        poller.modify_with_mode(&self.stream, event, PollMode::Level)
    }

    /// Passes all bytes that can be read now to `take`, and writes what can be written. Returns whether the connection
    /// is still open in both directions.
    pub fn exchange(
        &mut self,
        poller: &Poller,
        buffer: &mut [u8],
        take: impl FnMut(&[u8]),
    ) -> bool {
        let read = self.read(buffer, take);
        let flushed = self.flush(poller);
        flushed.is_ok() && matches!(read, Ok(true))
    }

    /// Passes all bytes that can be read now to `take`. Returns false once the other side has closed the connection.
    fn read(&mut self, buffer: &mut [u8], mut take: impl FnMut(&[u8])) -> io::Result<bool> {
        loop {
            match self.stream.read(buffer) {
                Ok(0) => return Ok(false),
                Ok(count) => {
                    take(&buffer[..count]);
                    if count < buffer.len() {
                        return Ok(true);
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(true),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Removes the connection from the poller and closes it.
    pub fn close(self, poller: &Poller) {
        let _ = poller.delete(&self.stream);
    }
}

/// Registers a stream with the poller.
#[allow(unsafe_code)]
fn register(poller: &Poller, stream: &TcpStream, event: Event) -> io::Result<()> {
    // SAFETY: every stream is deleted from the poller in `Connection::close`, the only way a `Connection` is disposed
    // of while the poller lives; a stream dropped by an early error path is closed, which epoll forgets by itself.
    unsafe { poller.add_with_mode(stream, event, PollMode::Level) }
}

/// Allocates keys of the poller, each once.
pub struct KeySequence {
    next: usize,
}

impl KeySequence {
    /// A sequence that begins with the key `first`.
    pub fn starting_at(first: usize) -> Self {
        KeySequence { next: first }
    }

    /// The next key. No other connection or listener has it.
    pub fn take(&mut self) -> usize {
        let key = self.next;
        self.next += 1;
        key
    }
}

/// A listening socket that is registered with the poller under a key.
pub struct Listener {
    inner: TcpListener,
}

impl Listener {
    /// Listens on an address. `backlog` is the number of connections that may wait to be accepted.
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

    /// Accepts the next connection that waits, if one does.
    pub fn accept(&self) -> Option<TcpStream> {
        loop {
            match self.inner.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nodelay(true);
                    return Some(stream);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return None,
            }
        }
    }
}

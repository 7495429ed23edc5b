//! Non-blocking TCP: connections with output buffers, listeners and the allocation of poller keys.

use constants::READ_BUFFER_BYTES;
use polling::{Event, PollMode, Poller};
use socket2::{Domain, Protocol, SockAddr, Socket, Type};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};

/// `EINPROGRESS` of Linux: the connection attempt continues in the background.
const EINPROGRESS: i32 = 115;

/// A TCP connection that is registered with the poller under a key.
pub struct TcpConnection {
    stream: TcpStream,
    key: usize,
    output: Vec<u8>,
    /// Number of bytes at the start of `output` that have been written.
    written: usize,
    /// Whether the poller reports when the stream becomes writable.
    has_write_interest: bool,
}

impl TcpConnection {
    /// Registers a stream that a listener has accepted.
    pub fn from_accepted(poller: &Poller, stream: TcpStream, key: usize) -> io::Result<Self> {
        TcpConnection::register(poller, stream, key, false)
    }

    /// Starts to connect to an address.
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
        TcpConnection::register(poller, socket.into(), key, true)
    }

    /// Registers a stream with the poller. If the stream `is_connecting`, the poller reports when it becomes writable,
    /// which is when the connection attempt ends.
    fn register(
        poller: &Poller,
        stream: TcpStream,
        key: usize,
        is_connecting: bool,
    ) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        let event = Event::new(key, true, is_connecting);
        // `close` removes the stream from the poller before it is dropped.
        add_to_poller(poller, &stream, event)?;
        Ok(TcpConnection {
            stream,
            key,
            output: Vec::new(),
            written: 0,
            has_write_interest: is_connecting,
        })
    }

    /// Returns an error if the connection attempt has failed. To be called at the first event after
    /// [`TcpConnection::connect`].
    pub fn check_connected(&self) -> io::Result<()> {
        match self.stream.take_error()? {
            Some(error) => Err(error),
            None => self.stream.peer_addr().map(|_| ()),
        }
    }

    /// Number of output bytes that have not been written yet.
    pub fn unwritten_bytes(&self) -> usize {
        self.output.len() - self.written
    }

    /// The output buffer, to which callers append.
    pub fn output_buffer(&mut self) -> &mut Vec<u8> {
        &mut self.output
    }

    /// Writes as much output as the socket accepts. If some is left, the poller reports when the socket is writable.
    pub fn flush(&mut self, poller: &Poller) -> io::Result<()> {
        self.write_output()?;
        if self.written >= self.output.len() {
            self.clear_output();
        }
        self.set_write_interest(poller, !self.output.is_empty())
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

    /// Empties the output buffer, and releases its memory if it has grown large.
    fn clear_output(&mut self) {
        self.written = 0;
        self.output.clear();
        if self.output.capacity() > READ_BUFFER_BYTES {
            self.output = Vec::new();
        }
    }

    fn set_write_interest(&mut self, poller: &Poller, is_wanted: bool) -> io::Result<()> {
        if is_wanted == self.has_write_interest {
            return Ok(());
        }
        self.has_write_interest = is_wanted;
        let event = Event::new(self.key, true, is_wanted);
        poller.modify_with_mode(&self.stream, event, PollMode::Level)
    }

    /// Passes all bytes that are available to `on_bytes`, and writes as much output as the socket accepts. Returns
    /// whether the connection is still open in both directions.
    pub fn read_and_flush(
        &mut self,
        poller: &Poller,
        buffer: &mut [u8],
        on_bytes: impl FnMut(&[u8]),
    ) -> bool {
        let read = self.read(buffer, on_bytes);
        let flushed = self.flush(poller);
        flushed.is_ok() && matches!(read, Ok(true))
    }

    /// Passes all bytes that are available to `on_bytes`. Returns false once the remote side has closed the connection.
    fn read(&mut self, buffer: &mut [u8], mut on_bytes: impl FnMut(&[u8])) -> io::Result<bool> {
        loop {
            match self.stream.read(buffer) {
                Ok(0) => return Ok(false),
                Ok(count) => {
                    on_bytes(&buffer[..count]);
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

#[allow(unsafe_code)]
fn add_to_poller(poller: &Poller, stream: &TcpStream, event: Event) -> io::Result<()> {
    // SAFETY: `TcpConnection::close` deletes the stream from the poller, and a `TcpConnection` is disposed of in no
    // other way while the poller lives. A stream that an early error path drops is closed, and epoll removes closed
    // streams by itself.
    unsafe { poller.add_with_mode(stream, event, PollMode::Level) }
}

/// Allocates poller keys. No key is allocated twice.
pub struct KeyAllocator {
    next: usize,
}

impl KeyAllocator {
    /// An allocator whose first key is `first`.
    pub fn starting_at(first: usize) -> Self {
        KeyAllocator { next: first }
    }

    /// Returns a key that no other connection or listener has.
    pub fn allocate(&mut self) -> usize {
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

    /// Accepts the next pending connection, if there is one.
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

//! A small HTTP/1.1 server and client over blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What a handler does with a request.
pub enum Reply {
    /// Answers with a status and a body.
    Answer(u16, Vec<u8>),
    /// Never answers; the connection stays open.
    Silence,
    /// Closes the connection without an answer.
    Close,
}

/// Handles a request, given its method, target and body.
pub type Handler = dyn Fn(&str, &str, &[u8]) -> Reply + Send + Sync;

/// A request or a response: start line, body, and whether the connection ends after it.
struct Message {
    start: String,
    body: Vec<u8>,
    close: bool,
}

/// Reads the next message. `None` if the other side has closed the connection.
fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let mut chunk = [0u8; 16 * 1024];
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).to_string();
            let header = |name: &str| {
                head.split("\r\n").skip(1).find_map(|line| {
                    let (key, value) = line.split_once(':')?;
                    key.eq_ignore_ascii_case(name)
                        .then(|| value.trim().to_string())
                })
            };
            let length: usize = header("content-length")
                .and_then(|l| l.parse().ok())
                .unwrap_or(0);
            let total = end + 4 + length;
            if buffer.len() >= total {
                let body = buffer[end + 4..total].to_vec();
                buffer.drain(..total);
                let start = head.split("\r\n").next().unwrap_or_default().to_string();
                let close = header("connection").is_some_and(|c| c.eq_ignore_ascii_case("close"));
                return Ok(Some(Message { start, body, close }));
            }
        }
        match stream.read(&mut chunk)? {
            0 => return Ok(None),
            count => buffer.extend_from_slice(&chunk[..count]),
        }
    }
}

/// Serves requests on a listener, with a thread for each connection, until the process ends.
pub fn serve(listener: TcpListener, handler: Arc<Handler>) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            std::thread::spawn(move || serve_connection(stream, &handler));
        }
    });
}

fn serve_connection(mut stream: TcpStream, handler: &Arc<Handler>) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Ok(Some(request)) = read_message(&mut stream, &mut buffer) {
        let mut parts = request.start.split(' ');
        let (method, target) = (parts.next().unwrap_or(""), parts.next().unwrap_or(""));
        match handler(method, target, &request.body) {
            Reply::Answer(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                if stream
                    .write_all(&[head.as_bytes(), &body].concat())
                    .is_err()
                {
                    return;
                }
            }
            Reply::Silence => {
                while matches!(read_message(&mut stream, &mut buffer), Ok(Some(_))) {}
                return;
            }
            Reply::Close => return,
        }
        if request.close {
            return;
        }
    }
}

/// A client that keeps its connection until one side closes it or another address is called.
#[derive(Default)]
pub struct Client {
    connection: Option<(SocketAddr, TcpStream)>,
}

impl Client {
    /// Sends a request and waits for the response: its status and body.
    pub fn call(
        &mut self,
        addr: SocketAddr,
        method: &str,
        target: &str,
        body: &[u8],
        timeout_s: f64,
    ) -> io::Result<(u16, Vec<u8>)> {
        let deadline = Instant::now() + Duration::from_secs_f64(timeout_s);
        let timeout = Duration::from_secs_f64(timeout_s);
        let mut stream = match self.connection.take() {
            Some((peer, stream)) if peer == addr => stream,
            _ => TcpStream::connect_timeout(&addr, timeout)?,
        };
        stream.set_nodelay(true)?;
        let head = format!(
            "{method} {target} HTTP/1.1\r\nHost: {addr}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(&[head.as_bytes(), body].concat())?;
        let left = deadline.saturating_duration_since(Instant::now());
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        let mut buffer = Vec::new();
        let response = read_message(&mut stream, &mut buffer)?
            .ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?;
        let status = response
            .start
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok());
        let status = status.ok_or_else(|| io::Error::from(io::ErrorKind::InvalidData))?;
        if !response.close {
            self.connection = Some((addr, stream));
        }
        Ok((status, response.body))
    }

    /// Closes the connection.
    pub fn close(&mut self) {
        self.connection = None;
    }

    /// Gives the open connection away, so that it can be left open without being used.
    pub fn take_connection(&mut self) -> Option<TcpStream> {
        self.connection.take().map(|(_, stream)| stream)
    }
}

/// A listener on a free loopback port.
pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a free loopback port");
    let addr = listener.local_addr().expect("read the listener's address");
    (listener, addr)
}

/// First port, number of ports in a block, and number of blocks of addresses for the service's own processes. They lie
/// below the ports that the system assigns by itself, so that a process can be started again on its address.
const FIRST_PORT: u32 = 12_000;
const PORTS_PER_BLOCK: u32 = 100;
const BLOCKS: u32 = 190;

/// A loopback address that nothing listens on, and that is not given out twice by this process.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let block = std::env::var("PORT_BLOCK")
        .ok()
        .and_then(|block| block.parse().ok());
    let block: u32 = block.unwrap_or_else(std::process::id) % BLOCKS;
    loop {
        let next = NEXT.fetch_add(1, Ordering::SeqCst);
        let port = FIRST_PORT + (block * PORTS_PER_BLOCK + next) % (BLOCKS * PORTS_PER_BLOCK);
        let addr = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

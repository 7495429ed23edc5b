//! An HTTP server and client over blocking sockets.

use crate::Shared;
use http::{encode_request, encode_response, RequestParser, Response, ResponseParser};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of bytes per read.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// How long a server waits for data before it checks whether it has to stop.
const READ_TIMEOUT: Duration = Duration::from_millis(200);
/// How long a server sleeps when there is no new connection to accept.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(2);

/// Handles a request, given its method, target and body, and returns the status and body of the response.
pub type Handler = dyn Fn(&str, &str, &[u8]) -> (u16, Vec<u8>) + Send + Sync;

/// Starts a server on a free loopback port and returns its address. It uses one thread per connection and runs until the
/// environment stops.
pub fn serve(shared: Arc<Shared>, handler: Arc<Handler>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a free loopback port");
    let addr = listener
        .local_addr()
        .expect("read the local address of the listener");
    listener
        .set_nonblocking(true)
        .expect("make the listener non-blocking");
    std::thread::spawn(move || {
        while !shared.is_stopping() {
            match listener.accept() {
                Ok((stream, _)) => {
                    let (shared, handler) = (Arc::clone(&shared), Arc::clone(&handler));
                    std::thread::spawn(move || serve_connection(&shared, &handler, stream));
                }
                Err(_) => std::thread::sleep(ACCEPT_INTERVAL),
            }
        }
    });
    addr
}

fn serve_connection(shared: &Shared, handler: &Arc<Handler>, mut stream: TcpStream) {
    let _ = stream.set_nonblocking(false);
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(READ_TIMEOUT));
    let mut parser = RequestParser::default();
    let mut chunk = vec![0; READ_CHUNK_BYTES];
    while !shared.is_stopping() {
        match parser.next_request() {
            Ok(Some(request)) => {
                let (status, body) = handler(&request.method, &request.target, &request.body);
                let mut out = Vec::new();
                encode_response(&mut out, status, None, &body, false);
                if stream.write_all(&out).is_err() {
                    return;
                }
                continue;
            }
            Ok(None) => {}
            Err(_) => return,
        }
        match stream.read(&mut chunk) {
            Ok(0) => return,
            Ok(n) => parser.feed(&chunk[..n]),
            Err(error) if is_timeout(&error) => {}
            Err(_) => return,
        }
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

/// Sends one request on a new connection and returns the status and body of the response.
pub fn call(
    addr: SocketAddr,
    method: &str,
    target: &str,
    body: &[u8],
    timeout: Duration,
) -> io::Result<(u16, Vec<u8>)> {
    Client::default().call(addr, method, target, body, timeout)
}

/// A client that reuses its connection until one side closes it or a request goes to another address.
#[derive(Default)]
pub struct Client {
    connection: Option<(SocketAddr, TcpStream)>,
}

impl Client {
    /// Sends a request and returns the status and body of the response.
    pub fn call(
        &mut self,
        addr: SocketAddr,
        method: &str,
        target: &str,
        body: &[u8],
        timeout: Duration,
    ) -> io::Result<(u16, Vec<u8>)> {
        let mut stream = match self.connection.take() {
            Some((peer, stream)) if peer == addr => stream,
            _ => TcpStream::connect_timeout(&addr, timeout)?,
        };
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        let mut out = Vec::new();
        encode_request(&mut out, method, &addr.to_string(), target, body);
        stream.write_all(&out)?;
        let response = read_response(&mut stream)?;
        if !response.close {
            self.connection = Some((addr, stream));
        }
        Ok((response.status, response.body))
    }
}

fn read_response(stream: &mut TcpStream) -> io::Result<Response> {
    let mut parser = ResponseParser::default();
    let mut chunk = vec![0; READ_CHUNK_BYTES];
    loop {
        let n = stream.read(&mut chunk)?;
        if n == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        parser.feed(&chunk[..n]);
        match parser.next_response() {
            Ok(Some(response)) => return Ok(response),
            Ok(None) => {}
            Err(_) => return Err(io::ErrorKind::InvalidData.into()),
        }
    }
}

//! HTTP over blocking sockets.

use crate::Shared;
use http::{encode_request, encode_response, RequestParser, Response, ResponseParser};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// Bytes read at a time.
const READ_CHUNK: usize = 16 * 1024;
/// How long a server waits for the next request until it checks whether it must end.
const READ_TIMEOUT: Duration = Duration::from_millis(200);
/// How often a server without a new connection checks again.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(2);

/// Answers a request, given method, target and body, with status and body.
pub type Handler = dyn Fn(&str, &str, &[u8]) -> (u16, Vec<u8>) + Send + Sync;

/// Serves a free port of the loopback interface until all threads are to end, with one thread per connection.
pub fn serve(shared: Arc<Shared>, handler: Arc<Handler>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("its address");
    listener.set_nonblocking(true).expect("non-blocking");
    std::thread::spawn(move || {
        while !shared.is_over() {
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
    let mut chunk = vec![0; READ_CHUNK];
    while !shared.is_over() {
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

/// Makes one call on a connection of its own.
pub fn call(
    addr: SocketAddr,
    method: &str,
    target: &str,
    body: &[u8],
    timeout: Duration,
) -> io::Result<(u16, Vec<u8>)> {
    Client::default().call(addr, method, target, body, timeout)
}

/// A client that keeps its connection until one side closes it or another address is called.
#[derive(Default)]
pub struct Client {
    open: Option<(SocketAddr, TcpStream)>,
}

impl Client {
    /// Makes a call.
    pub fn call(
        &mut self,
        addr: SocketAddr,
        method: &str,
        target: &str,
        body: &[u8],
        timeout: Duration,
    ) -> io::Result<(u16, Vec<u8>)> {
        let mut stream = match self.open.take() {
            Some((to, stream)) if to == addr => stream,
            _ => TcpStream::connect_timeout(&addr, timeout)?,
        };
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        let mut out = Vec::new();
        encode_request(&mut out, method, &addr.to_string(), target, body);
        stream.write_all(&out)?;
        let response = read_response(&mut stream)?;
        if !response.close {
            self.open = Some((addr, stream));
        }
        Ok((response.status, response.body))
    }
}

fn read_response(stream: &mut TcpStream) -> io::Result<Response> {
    let mut parser = ResponseParser::default();
    let mut chunk = vec![0; READ_CHUNK];
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

//! A small HTTP/1.1 codec that does no I/O: bytes go in, messages come out.
//!
//! Both roles are here: [`RequestParser`] with [`encode_response`] for servers, [`ResponseParser`] with
//! [`encode_request`] for clients. Bodies need a `Content-Length`; chunked bodies are refused.

use constants::{MAX_BODY_BYTES, MAX_HEADER_BYTES, MAX_REPLY_BYTES};
use thiserror::Error;

/// Why a message could not be read. The connection is of no further use after any of these.
#[derive(Debug, Error, Clone, Copy, PartialEq, Eq)]
pub enum ParseError {
    /// The start line, a header or the length is not valid HTTP.
    #[error("malformed message")]
    Malformed,
    /// Header or body is larger than allowed.
    #[error("message too large")]
    TooLarge,
}

/// A request as a server sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Method in upper case, as sent.
    pub method: String,
    /// Path with query.
    pub target: String,
    /// Body, empty when there is none.
    pub body: Vec<u8>,
    /// Whether the connection is to be closed after the response.
    pub close: bool,
}

/// A response as a client sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Body, empty when there is none.
    pub body: Vec<u8>,
    /// Whether the connection is to be closed.
    pub close: bool,
}

struct Head {
    start: String,
    length: Option<usize>,
    close: bool,
    size: usize,
}

fn parse_head(buf: &[u8], scanned: &mut usize) -> Result<Option<Head>, ParseError> {
    let from = scanned.saturating_sub(3);
    let end = buf[from..]
        .windows(4)
        .position(|w| w == b"\r\n\r\n")
        .map(|p| from + p);
    let Some(end) = end else {
        if buf.len() > MAX_HEADER_BYTES {
            return Err(ParseError::TooLarge);
        }
        *scanned = buf.len();
        return Ok(None);
    };
    if end > MAX_HEADER_BYTES {
        return Err(ParseError::TooLarge);
    }
    let text = std::str::from_utf8(&buf[..end]).map_err(|_| ParseError::Malformed)?;
    let mut lines = text.split("\r\n");
    let start = lines.next().unwrap_or_default().to_string();
    let (mut length, mut close) = (None, false);
    for line in lines {
        let (name, value) = line.split_once(':').ok_or(ParseError::Malformed)?;
        if name.is_empty() || name.contains([' ', '\t']) {
            return Err(ParseError::Malformed);
        }
        let value = value.trim();
        if name.eq_ignore_ascii_case("content-length") {
            if value.is_empty() || !value.bytes().all(|b| b.is_ascii_digit()) {
                return Err(ParseError::Malformed);
            }
            let n: usize = value.parse().map_err(|_| ParseError::TooLarge)?;
            if length.is_some_and(|l| l != n) {
                return Err(ParseError::Malformed);
            }
            length = Some(n);
        } else if name.eq_ignore_ascii_case("connection") {
            close |= value
                .split(',')
                .any(|v| v.trim().eq_ignore_ascii_case("close"));
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(ParseError::Malformed);
        }
    }
    Ok(Some(Head {
        start,
        length,
        close,
        size: end + 4,
    }))
}

#[derive(Default)]
struct Reader {
    buf: Vec<u8>,
    scanned: usize,
    head: Option<Head>,
}

impl Reader {
    fn next(&mut self, limit: usize) -> Result<Option<(Head, Vec<u8>)>, ParseError> {
        if self.head.is_none() {
            self.head = parse_head(&self.buf, &mut self.scanned)?;
        }
        let Some(head) = &self.head else {
            return Ok(None);
        };
        let length = head.length.unwrap_or(0);
        if length > limit {
            return Err(ParseError::TooLarge);
        }
        let total = head.size + length;
        if self.buf.len() < total {
            return Ok(None);
        }
        let body = self.buf[head.size..total].to_vec();
        self.buf.drain(..total);
        if self.buf.is_empty() && self.buf.capacity() > MAX_HEADER_BYTES {
            self.buf = Vec::new();
        }
        self.scanned = 0;
        Ok(self.head.take().map(|head| (head, body)))
    }
}

/// Reads requests from a byte stream, however it is split.
#[derive(Default)]
pub struct RequestParser {
    inner: Reader,
}

impl RequestParser {
    /// Adds bytes that arrived.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.inner.buf.extend_from_slice(bytes);
    }

    /// Whether bytes of an unfinished request are waiting.
    pub fn is_partial(&self) -> bool {
        !self.inner.buf.is_empty()
    }

    /// The next whole request, if it is there.
    pub fn next_request(&mut self) -> Result<Option<Request>, ParseError> {
        let Some((head, body)) = self.inner.next(MAX_BODY_BYTES)? else {
            return Ok(None);
        };
        let mut words = head.start.split(' ');
        let (method, target, version) = (words.next(), words.next(), words.next());
        let (Some(method), Some(target), Some(version), None) =
            (method, target, version, words.next())
        else {
            return Err(ParseError::Malformed);
        };
        let method_ok = !method.is_empty() && method.bytes().all(|b| b.is_ascii_uppercase());
        if !method_ok || !target.starts_with('/') || !version.starts_with("HTTP/1.") {
            return Err(ParseError::Malformed);
        }
        Ok(Some(Request {
            method: method.to_string(),
            target: target.to_string(),
            body,
            close: head.close || version == "HTTP/1.0",
        }))
    }
}

/// Reads responses from a byte stream, however it is split.
#[derive(Default)]
pub struct ResponseParser {
    inner: Reader,
}

impl ResponseParser {
    /// Adds bytes that arrived.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.inner.buf.extend_from_slice(bytes);
    }

    /// The next whole response, if it is there.
    pub fn next_response(&mut self) -> Result<Option<Response>, ParseError> {
        let Some((head, body)) = self.inner.next(MAX_REPLY_BYTES)? else {
            return Ok(None);
        };
        let mut words = head.start.splitn(3, ' ');
        let version = words.next().unwrap_or_default();
        let status = words.next().and_then(|s| s.parse::<u16>().ok());
        match status {
            Some(status) if version.starts_with("HTTP/1.") && (100..600).contains(&status) => {
                Ok(Some(Response {
                    status,
                    body,
                    close: head.close || version == "HTTP/1.0",
                }))
            }
            _ => Err(ParseError::Malformed),
        }
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        503 => "Service Unavailable",
        _ => "Status",
    }
}

/// Appends a response to `out`.
pub fn encode_response(
    out: &mut Vec<u8>,
    status: u16,
    retry_after_s: Option<u32>,
    body: &[u8],
    close: bool,
) {
    let mut head = format!("HTTP/1.1 {status} {}\r\n", reason(status));
    if !body.is_empty() {
        head.push_str("Content-Type: application/cbor\r\n");
    }
    if let Some(s) = retry_after_s {
        head.push_str(&format!("Retry-After: {s}\r\n"));
    }
    if close {
        head.push_str("Connection: close\r\n");
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(body);
}

/// Appends a request to `out`.
pub fn encode_request(out: &mut Vec<u8>, method: &str, host: &str, target: &str, body: &[u8]) {
    let mut head = format!("{method} {target} HTTP/1.1\r\nHost: {host}\r\n");
    if !body.is_empty() {
        head.push_str("Content-Type: application/cbor\r\n");
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(body);
}

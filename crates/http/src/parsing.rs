//! Reading messages from a byte stream.

use crate::head::{parse_head, Head};
use crate::{ParseError, Request, Response};
use constants::{MAX_BODY_BYTES, MAX_HEADER_BYTES, MAX_REPLY_BYTES};

/// Splits a byte stream into heads and bodies.
#[derive(Default)]
struct MessageReader {
    buf: Vec<u8>,
    scanned: usize,
    head: Option<Head>,
}

impl MessageReader {
    /// The next whole message, if its body has no more than `limit` bytes.
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
    inner: MessageReader,
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
        let mut parts = head.start.split(' ');
        let (method, target, version) = (parts.next(), parts.next(), parts.next());
        let (Some(method), Some(target), Some(version), None) =
            (method, target, version, parts.next())
        else {
            return Err(ParseError::Malformed);
        };
        let is_method_valid =
            !method.is_empty() && method.bytes().all(|byte| byte.is_ascii_uppercase());
        if !is_method_valid || !target.starts_with('/') || !version.starts_with("HTTP/1.") {
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
    inner: MessageReader,
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
        let mut parts = head.start.splitn(3, ' ');
        let version = parts.next().unwrap_or_default();
        let status = parts.next().and_then(|status| status.parse::<u16>().ok());
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

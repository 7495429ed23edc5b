//! Parsing of requests and responses from a byte stream.

use crate::head::{parse_head, Head};
use crate::{ParseError, Request, Response};
use constants::{MAX_BODY_BYTES, MAX_HEADER_BYTES, MAX_REPLY_BYTES};

/// Splits a byte stream into messages, each with its head and its body.
#[derive(Default)]
struct MessageReader {
    /// Bytes received that belong to no complete message yet.
    buf: Vec<u8>,
    /// Number of bytes of `buf` that have been searched for the end of the head.
    scanned: usize,
    /// Head of the message whose body is incomplete.
    head: Option<Head>,
}

impl MessageReader {
    /// Removes and returns the next message, if it is complete. A body of more than `max_body_bytes` is an error.
    fn next(&mut self, max_body_bytes: usize) -> Result<Option<(Head, Vec<u8>)>, ParseError> {
        if self.head.is_none() {
            self.head = parse_head(&self.buf, &mut self.scanned)?;
        }
        let Some(head) = &self.head else {
            return Ok(None);
        };
        let body_bytes = head.content_length.unwrap_or(0);
        if body_bytes > max_body_bytes {
            return Err(ParseError::TooLarge);
        }
        let total = head.size + body_bytes;
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

/// Parses requests from a byte stream that arrives in pieces of any size.
#[derive(Default)]
pub struct RequestParser {
    reader: MessageReader,
}

impl RequestParser {
    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.reader.buf.extend_from_slice(bytes);
    }

    /// Whether bytes of an incomplete request are buffered.
    pub fn is_partial(&self) -> bool {
        !self.reader.buf.is_empty()
    }

    /// Removes and returns the next request, if it is complete.
    pub fn next_request(&mut self) -> Result<Option<Request>, ParseError> {
        let Some((head, body)) = self.reader.next(MAX_BODY_BYTES)? else {
            return Ok(None);
        };
        let mut parts = head.start_line.split(' ');
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

/// Parses responses from a byte stream that arrives in pieces of any size.
#[derive(Default)]
pub struct ResponseParser {
    reader: MessageReader,
}

impl ResponseParser {
    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.reader.buf.extend_from_slice(bytes);
    }

    /// Removes and returns the next response, if it is complete.
    pub fn next_response(&mut self) -> Result<Option<Response>, ParseError> {
        let Some((head, body)) = self.reader.next(MAX_REPLY_BYTES)? else {
            return Ok(None);
        };
        let mut parts = head.start_line.splitn(3, ' ');
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

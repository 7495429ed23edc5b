//! A small HTTP/1.1 codec that performs no I/O: it parses messages from bytes and encodes them to bytes.
//!
//! Servers use [`RequestParser`] and [`encode_response`], clients use [`ResponseParser`] and [`encode_request`]. A body
//! needs a `Content-Length` header; chunked bodies are rejected.

mod encoding;
mod head;
mod parsing;

pub use encoding::{encode_request, encode_response};
pub use parsing::{RequestParser, ResponseParser};

use thiserror::Error;

/// Why a message could not be parsed. The connection cannot be used after any of these errors.
#[derive(Debug, Error, Clone, Copy, PartialEq, Eq)]
pub enum ParseError {
    /// The start line, a header or the content length is not valid, or the message has a `Transfer-Encoding`.
    #[error("malformed message")]
    Malformed,
    /// The headers or the body are larger than allowed.
    #[error("message too large")]
    TooLarge,
}

/// A request that a server has received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Method, in upper case.
    pub method: String,
    /// Request target: path with query.
    pub target: String,
    /// Body, empty if there is none.
    pub body: Vec<u8>,
    /// Whether the connection is to be closed after the response.
    pub close: bool,
}

/// A response that a client has received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Body, empty if there is none.
    pub body: Vec<u8>,
    /// Whether the connection is to be closed.
    pub close: bool,
}

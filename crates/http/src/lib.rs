//! A small HTTP/1.1 codec that does no I/O: bytes go in, messages come out.
//!
//! Both roles are here: [`RequestParser`] with [`encode_response`] for servers, [`ResponseParser`] with
//! [`encode_request`] for clients. Bodies need a `Content-Length`; chunked bodies are refused.

mod encoding;
mod head;
mod parsing;

pub use encoding::{encode_request, encode_response};
pub use parsing::{RequestParser, ResponseParser};

use thiserror::Error;

/// Why a message could not be read. The connection can't be used any further after any of these.
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

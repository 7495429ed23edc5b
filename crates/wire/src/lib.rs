//! Message formats of vetchmount's interfaces. Clients can use them, too.
//!
//! Bodies are CBOR. Controllers exchange `postcard` frames that begin with their length. The protocols have field names
//! of their own: each is mapped at its field by serde, and the Rust names are the usual ones.

pub mod cloud;
pub mod partitions;
pub mod peers;
pub mod records;
pub mod state;
pub mod users;
pub mod workers;

use serde::{de::DeserializeOwned, Serialize};
use std::io;
use thiserror::Error;

/// A body that could not be decoded.
#[derive(Debug, Error)]
#[error("not a valid message: {0}")]
pub struct DecodeError(pub String);

/// Decodes a CBOR body.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, DecodeError> {
    ciborium::de::from_reader(body).map_err(|error| DecodeError(error.to_string()))
}

/// Encodes a CBOR body.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    let mut body = Vec::new();
    // Writing to memory fails only for types that CBOR can't express. No type of this crate is one.
    if ciborium::ser::into_writer(message, &mut body).is_err() {
        body.clear();
    }
    body
}

/// Counts the bytes that are written to it.
struct ByteCounter {
    bytes: usize,
}

impl io::Write for ByteCounter {
    fn write(&mut self, buffer: &[u8]) -> io::Result<usize> {
        self.bytes += buffer.len();
        Ok(buffer.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Size of a message as JSON, in bytes. The services limit sizes in this form.
pub fn json_bytes<T: Serialize>(message: &T) -> usize {
    let mut counter = ByteCounter { bytes: 0 };
    // A message that can't be written as JSON counts as too large for any limit.
    match serde_json::to_writer(&mut counter, message) {
        Ok(()) => counter.bytes,
        Err(_) => usize::MAX,
    }
}

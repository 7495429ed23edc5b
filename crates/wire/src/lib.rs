//! Message formats of vetchmount's interfaces. Clients can use them, too.
//!
//! Request and response bodies are CBOR. Controllers exchange length-prefixed `postcard` frames. Field names of the
//! protocols that differ from the usual terms are mapped by serde attributes at each field.

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
    // Writing to memory fails only for types that CBOR cannot represent, and this crate has no such type.
    if ciborium::ser::into_writer(message, &mut body).is_err() {
        body.clear();
    }
    body
}

/// A writer that discards its input and counts the bytes.
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

/// Size of a message when encoded as JSON, in bytes. The size limits of the services apply to this encoding.
pub fn json_size<T: Serialize>(message: &T) -> usize {
    let mut counter = ByteCounter { bytes: 0 };
    // A message that cannot be encoded as JSON counts as larger than any limit.
    match serde_json::to_writer(&mut counter, message) {
        Ok(()) => counter.bytes,
        Err(_) => usize::MAX,
    }
}

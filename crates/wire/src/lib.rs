//! Message formats of vetchmount's interfaces, usable by clients too.
//!
//! Bodies are CBOR except between controllers, where frames are `postcard` behind a length. The outside's words
//! stay in this crate: in Rust a `mandate` is a term, a `tenure` a session, a `shard` a task.

pub mod cloud;
pub mod partitions;
pub mod peers;
pub mod records;
pub mod state;
pub mod users;
pub mod workers;

use serde::{de::DeserializeOwned, Serialize};
use thiserror::Error;

/// A body that could not be read.
#[derive(Debug, Error)]
#[error("not a valid message: {0}")]
pub struct BadBody(pub String);

/// Reads a CBOR body.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, BadBody> {
    ciborium::de::from_reader(body).map_err(|e| BadBody(e.to_string()))
}

/// Writes a CBOR body.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    let mut out = Vec::new();
    // Writing to memory fails only for types CBOR can't express; none of ours is one.
    if ciborium::ser::into_writer(message, &mut out).is_err() {
        out.clear();
    }
    out
}

/// Bytes of a message in JSON, the form in which the outside counts sizes.
pub fn json_bytes<T: Serialize>(message: &T) -> usize {
    struct Count(usize);
    impl std::io::Write for Count {
        fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
            self.0 += buf.len();
            Ok(buf.len())
        }
        fn flush(&mut self) -> std::io::Result<()> {
            Ok(())
        }
    }
    let mut count = Count(0);
    // What can't be written as JSON has no size that would be allowed.
    match serde_json::to_writer(&mut count, message) {
        Ok(()) => count.0,
        Err(_) => usize::MAX,
    }
}

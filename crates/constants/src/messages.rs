//! Sizes of messages, and the version of the peer protocol.

/// Bytes of a request body, and of an answer to users and workers, at most (the protocol's limit).
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Bytes of a request line with its headers at most. Requests of this program and of its callers
/// stay far below.
pub const MAX_HEADER_BYTES: usize = 8 * 1024;
/// Bytes of a reply from the state service or the cloud at most. Watches have no size limit of
/// their own.
pub const MAX_REPLY_BYTES: usize = 4 * 1024 * 1024;
/// Bytes of a frame between controllers at most: a forwarded request with its envelope.
pub const MAX_FRAME_BYTES: usize = MAX_BODY_BYTES + 4096;
/// Version of the frames between controllers. Frames of a peer with another version are ignored.
pub const PEER_VERSION: u8 = 2;

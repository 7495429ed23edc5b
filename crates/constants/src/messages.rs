//! Sizes of messages and the version of the peer protocol.

/// Bytes. The protocol's limit for a request body, and for what we answer users and workers.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Bytes. A request line with headers; ours and our callers' stay far below.
pub const MAX_HEADER_BYTES: usize = 8 * 1024;
/// Bytes. Largest reply read from the state service or the cloud; watches have no size limit of
/// their own.
pub const MAX_REPLY_BYTES: usize = 4 * 1024 * 1024;
/// Bytes. Largest frame between controllers: a forwarded request with its envelope.
pub const MAX_FRAME_BYTES: usize = MAX_BODY_BYTES + 4096;
/// Version of the frames between controllers. Frames of a peer with another version are ignored.
pub const PEER_VERSION: u8 = 2;

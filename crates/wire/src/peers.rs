//! Messages between controllers: `postcard` frames that start with their length and the protocol version.

use crate::partitions::PartitionMessage;
use constants::{MAX_FRAME_BYTES, PEER_VERSION};
use serde::{Deserialize, Serialize};

/// Progress of an open job, sent by the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobUpdate {
    /// Job id.
    pub id: String,
    /// Number of tasks that are done.
    pub done: u32,
    /// Number of tasks that are running.
    pub running: u32,
    /// Version of the job's record.
    pub version: u64,
    /// Whether the job is cancelled in that version.
    pub aborted: bool,
}

/// A message between controllers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// First message on every connection. It identifies the sender.
    Hello {
        /// Label of the sender.
        node: String,
    },
    /// Periodic message that reports the state of the sender.
    Heartbeat {
        /// Highest term that the sender knows.
        term: u64,
        /// Milliseconds since the state service last answered the sender without an error.
        state_ago_ms: u64,
        /// Whether the sender is the leader of that term.
        leads: bool,
        /// Milliseconds since a worker last contacted the sender, if any did.
        worker_ago_ms: Option<u64>,
        /// The sender's monotonic clock.
        sent: u64,
        /// `sent` of the last heartbeat that the sender received from the receiver.
        echo: u64,
        /// Random number of the sender's process.
        boot: u64,
        /// Number of cancellations that this process has confirmed to users.
        aborts: u64,
    },
    /// A cancellation. It is sent to peers before it is confirmed to the user.
    Aborted {
        /// Number of this cancellation among those of the process.
        number: u64,
        /// Job id.
        job: String,
    },
    /// Open jobs, from the leader: task counts for display, and record versions for reads from the state service.
    Counts {
        /// Term of the leader.
        term: u64,
        /// Jobs.
        jobs: Vec<JobUpdate>,
    },
    /// Jobs whose final records have just been written.
    Over {
        /// Id of each job, and whether the job is done rather than cancelled.
        jobs: Vec<(String, bool)>,
    },
    /// A user's request, forwarded to a controller that can reach the state service.
    Forward {
        /// Number of the call, unique within the sender.
        call: u64,
        /// HTTP method.
        method: String,
        /// HTTP request target.
        target: String,
        /// Body.
        body: Vec<u8>,
    },
    /// Response to a forwarded request.
    Forwarded {
        /// Number of the call.
        call: u64,
        /// HTTP status.
        status: u16,
        /// Body.
        body: Vec<u8>,
    },
    /// The leader is about to stop as planned, and the receiver is its successor. Sent only to processes that have
    /// announced the feature: others cannot decode the message and would close the connection.
    Handover {
        /// Term of the leader that stops.
        term: u64,
    },
    /// A message about partitions of the fleet. Sent only to processes that have announced the feature.
    Partitions(PartitionMessage),
}

/// Size of a frame's length field. Its value counts the version and the content.
const LENGTH_BYTES: usize = 4;
/// Size of a frame's header: the length field and the version.
const HEADER_BYTES: usize = LENGTH_BYTES + 1;
/// Minimum value of the length field: a version and one byte of content.
const MIN_FRAME_BYTES: usize = 2;

/// Appends a message to `output` as a frame. A message that exceeds the maximum frame size is dropped.
pub fn encode_frame(output: &mut Vec<u8>, message: &PeerMessage) {
    if let Ok(bytes) = postcard::to_stdvec(message) {
        if bytes.len() < MAX_FRAME_BYTES {
            output.extend_from_slice(&(bytes.len() as u32 + 1).to_le_bytes());
            output.push(PEER_VERSION);
            output.extend_from_slice(&bytes);
        }
    }
}

/// Why a frame cannot be decoded. The connection cannot be used after any of these errors.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The length is out of bounds.
    #[error("frame length out of bounds")]
    Length,
    /// The frame has another version of the protocol.
    #[error("unsupported protocol version")]
    Version,
    /// The content cannot be decoded.
    #[error("frame content cannot be decoded")]
    Content,
}

/// Removes the next complete frame from the front of `buffer` and decodes it. Returns `None` if there is no complete
/// frame yet.
pub fn decode_frame(buffer: &mut Vec<u8>) -> Result<Option<PeerMessage>, FrameError> {
    let Some(length_bytes) = buffer.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_le_bytes(*length_bytes) as usize;
    if !(MIN_FRAME_BYTES..=MAX_FRAME_BYTES).contains(&length) {
        return Err(FrameError::Length);
    }
    let end = LENGTH_BYTES + length;
    if buffer.len() < end {
        return Ok(None);
    }
    if buffer[LENGTH_BYTES] != PEER_VERSION {
        return Err(FrameError::Version);
    }
    let content = &buffer[HEADER_BYTES..end];
    let message = postcard::from_bytes(content).map_err(|_| FrameError::Content)?;
    buffer.drain(..end);
    Ok(Some(message))
}

//! What controllers say to each other: `postcard` frames behind a length and a version.

use crate::partitions::PartitionMessage;
use constants::{MAX_FRAME_BYTES, PEER_VERSION};
use serde::{Deserialize, Serialize};

/// What the leader tells of an open job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobUpdate {
    /// Job.
    pub id: String,
    /// Tasks done.
    pub done: u32,
    /// Tasks running.
    pub running: u32,
    /// Version of its record.
    pub version: u64,
    /// Whether that version says it is cancelled.
    pub aborted: bool,
}

/// A message between controllers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// First on every connection: who speaks.
    Hello {
        /// Label of the node.
        node: String,
    },
    /// Regular sign of life.
    Heartbeat {
        /// Highest term the node knows.
        term: u64,
        /// Milliseconds since the state service last answered it well.
        state_ago_ms: u64,
        /// Whether it leads in that term.
        leads: bool,
        /// Milliseconds since a worker last asked it, if any did.
        worker_ago_ms: Option<u64>,
        /// Sender's steady clock.
        sent: u64,
        /// `sent` of the last beat the sender had from the receiver.
        echo: u64,
        /// Number drawn at the start of the sender's process.
        boot: u64,
        /// Cancellations this process has confirmed to users so far.
        aborts: u64,
    },
    /// A cancellation, told before its user is.
    Aborted {
        /// Number of this cancellation among those of the process.
        number: u64,
        /// Job.
        job: String,
    },
    /// Open jobs, from the leader: counts for display, and which version of the record to ask the state service
    /// about.
    Counts {
        /// Term of the leader.
        term: u64,
        /// Jobs.
        jobs: Vec<JobUpdate>,
    },
    /// Jobs that have just been filed away for good: (job, whether done; else cancelled).
    Over {
        /// Jobs.
        jobs: Vec<(String, bool)>,
    },
    /// A user's request for a node that reaches the state service.
    Forward {
        /// Number, the sender's own.
        call: u64,
        /// HTTP method.
        method: String,
        /// HTTP target.
        target: String,
        /// Body.
        body: Vec<u8>,
    },
    /// Answer to a forwarded request.
    Forwarded {
        /// Its number.
        call: u64,
        /// HTTP status.
        status: u16,
        /// Body.
        body: Vec<u8>,
    },
    /// The leader stops as planned and names the receiver its successor. Only to processes that have announced the
    /// feature: others can't read it and would end the connection.
    Handover {
        /// Its term.
        term: u64,
    },
    /// About partitions of the fleet. Only to processes that have announced the feature.
    Partitions(PartitionMessage),
}

/// Appends a frame to `out`.
pub fn encode_frame(out: &mut Vec<u8>, message: &PeerMessage) {
    if let Ok(bytes) = postcard::to_stdvec(message) {
        if bytes.len() < MAX_FRAME_BYTES {
            out.extend_from_slice(&(bytes.len() as u32 + 1).to_le_bytes());
            out.push(PEER_VERSION);
            out.extend_from_slice(&bytes);
        }
    }
}

/// A frame that makes its connection useless.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BadFrame {
    /// Length out of bounds.
    #[error("frame length out of bounds")]
    Length,
    /// Another version of the protocol.
    #[error("other protocol version")]
    Version,
    /// Content that can't be read.
    #[error("unreadable frame")]
    Content,
}

/// Takes the next whole frame from the front of `buf`.
pub fn decode_frame(buf: &mut Vec<u8>) -> Result<Option<PeerMessage>, BadFrame> {
    let Some(head) = buf.first_chunk::<4>() else {
        return Ok(None);
    };
    let length = u32::from_le_bytes(*head) as usize;
    if !(2..=MAX_FRAME_BYTES).contains(&length) {
        return Err(BadFrame::Length);
    }
    if buf.len() < 4 + length {
        return Ok(None);
    }
    if buf[4] != PEER_VERSION {
        return Err(BadFrame::Version);
    }
    let message = postcard::from_bytes(&buf[5..4 + length]).map_err(|_| BadFrame::Content)?;
    buf.drain(..4 + length);
    Ok(Some(message))
}

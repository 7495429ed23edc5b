//! Client of the cloud. Keeps to the cloud's call rate and sends returns before rentals and rentals
//! before listings.

mod calls;

use crate::effects::{CallError, CallId, Effects};
use crate::requests::{CloudOp, CloudReply, CloudTag};
use crate::token_bucket::TokenBucket;
use calls::{decode_reply, encode_call};
use std::collections::{HashMap, VecDeque};

/// Share of the cloud's call rate that is used. The burst is one second at the full rate.
const CALL_RATE_SHARE: f64 = 0.8;
/// Milliseconds without calls after a call that was refused or whose outcome is unknown.
const RETRY_PAUSE_MS: u64 = 1000;
/// Minimum wait in milliseconds when the call rate is used up.
const RATE_WAIT_MIN_MS: u64 = 10;
/// Tokens that a call takes from the bucket.
const ONE_CALL: f64 = 1.0;
/// Number of queues, one for each kind of call.
const QUEUE_COUNT: usize = 4;

/// Result of a call: status and body, or the reason why there is no reply.
type CallResult = Result<(u16, Vec<u8>), CallError>;

/// Sends the leader's requests to the cloud.
pub(crate) struct CloudClient {
    bucket: TokenBucket,
    /// Queues in the order in which they are served.
    queues: [VecDeque<(CloudOp, CloudTag)>; QUEUE_COUNT],
    in_flight: HashMap<CallId, (CloudOp, CloudTag)>,
    paused_until: u64,
    next_send_at: Option<u64>,
}

impl CloudClient {
    /// Creates a client of a cloud that allows `rps` calls per second.
    pub fn new(rps: f64) -> Self {
        CloudClient {
            bucket: TokenBucket::new(rps * CALL_RATE_SHARE, rps),
            queues: Default::default(),
            in_flight: HashMap::new(),
            paused_until: 0,
            next_send_at: None,
        }
    }

    /// Queues a request. It is sent by [`CloudClient::send_due`].
    pub fn enqueue(&mut self, op: CloudOp, tag: CloudTag) {
        self.queues[queue_index(&op)].push_back((op, tag));
    }

    /// Drops all queued requests.
    pub fn clear(&mut self) {
        self.queues = Default::default();
    }

    /// Sends the queued requests that the call rate allows.
    pub fn send_due(&mut self, next_call: &mut CallId, effects: &mut Effects) {
        let now = effects.now.mono;
        self.next_send_at = None;
        for queue in &mut self.queues {
            while !queue.is_empty() {
                if now < self.paused_until || !self.bucket.try_take(now, ONE_CALL) {
                    let wait_ms = self.bucket.wait_ms(ONE_CALL).max(RATE_WAIT_MIN_MS);
                    self.next_send_at = Some(self.paused_until.max(now + wait_ms));
                    return;
                }
                if let Some((op, tag)) = queue.pop_front() {
                    *next_call += 1;
                    effects.outputs.push(encode_call(&op, *next_call));
                    self.in_flight.insert(*next_call, (op, tag));
                }
            }
        }
    }

    /// Returns when [`CloudClient::send_due`] must be called again for queued requests.
    pub fn next_wake(&self) -> Option<u64> {
        self.next_send_at
    }

    /// Interprets a reply if the call is one of this client's.
    pub fn on_reply(
        &mut self,
        now: u64,
        call: CallId,
        result: &CallResult,
    ) -> Option<(CloudTag, CloudOp, CloudReply)> {
        let (op, tag) = self.in_flight.remove(&call)?;
        let reply = decode_reply(&op, result);
        if matches!(reply, CloudReply::Refused | CloudReply::Unknown) {
            self.paused_until = now + RETRY_PAUSE_MS;
        }
        Some((tag, op, reply))
    }
}

/// Returns the index of the queue for a request.
fn queue_index(op: &CloudOp) -> usize {
    match op {
        CloudOp::Return(_) => 0,
        CloudOp::Rent(_) => 1,
        CloudOp::List { .. } => 2,
        CloudOp::Types => 3,
    }
}

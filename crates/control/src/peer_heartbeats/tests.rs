//! Tests of the notices of jobs that have ended.

use super::*;
use crate::effects::Now;
use wire::peers::encode_frame;

/// A message that exceeds the size of a frame is not sent at all, so many ended jobs must be split
/// over several messages.
#[test]
fn ended_jobs_are_split_into_messages_that_fit_a_frame() {
    let mut heartbeats = PeerHeartbeats::new(1, 0);
    let ids: Vec<String> = (0..12_000).map(|n| format!("run-{n:06}")).collect();
    for id in &ids {
        heartbeats.on_job_ended(id.clone(), JobOutcome::Done);
    }
    let mut effects = Effects::new(Now::default());
    heartbeats.send_ended_jobs(&mut effects);
    let mut notified = Vec::new();
    for output in effects.outputs {
        let Output::Peer { message, .. } = output else {
            continue;
        };
        let mut frame = Vec::new();
        encode_frame(&mut frame, &message);
        assert!(!frame.is_empty(), "the message must fit a frame");
        if let PeerMessage::Over { jobs } = message {
            notified.extend(jobs.into_iter().map(|(id, _)| id));
        }
    }
    assert_eq!(notified, ids);
}

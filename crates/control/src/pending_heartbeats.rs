//! Worker heartbeats whose answers wait.
//!
//! [`PendingHeartbeats`] have not been handled yet, because no leader is known or because this node
//! is the leader and is still reading its records. [`DeferredAnswers`] belong to heartbeats that
//! the leader has already handled.

mod deferred_answers;

pub(crate) use deferred_answers::DeferredAnswers;

use crate::effects::RequestId;
use constants::{
    LEADER_LOADING_DEFERRAL_MS, NO_LEADER_DEFERRAL_MS, PENDING_HEARTBEATS_CHECK_INTERVAL_MS,
    PENDING_HEARTBEATS_PER_TURN_MAX, PENDING_HEARTBEATS_WAKE_INTERVAL_MS,
};

/// What a node knows of the leader, as far as pending heartbeats are concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LeaderStatus {
    /// No leader is known.
    Unknown,
    /// Another node is the leader.
    Elsewhere,
    /// This node is the leader and is still reading its records.
    Loading,
    /// This node is the leader and answers workers.
    Ready,
}

impl LeaderStatus {
    /// Returns the milliseconds for which a heartbeat may stay pending.
    fn heartbeat_timeout_ms(self) -> u64 {
        match self {
            LeaderStatus::Loading => LEADER_LOADING_DEFERRAL_MS,
            _ => NO_LEADER_DEFERRAL_MS,
        }
    }
}

/// A heartbeat as it was received.
pub(crate) struct PendingHeartbeat {
    /// The request to answer.
    pub id: RequestId,
    /// The encoded heartbeat.
    pub body: Vec<u8>,
    received_at: u64,
}

/// Heartbeats received while no leader was known, or before this leader had read its records.
pub(crate) struct PendingHeartbeats {
    heartbeats: Vec<PendingHeartbeat>,
    capacity: usize,
    next_check_at: u64,
}

impl PendingHeartbeats {
    /// Creates an empty list with room for `capacity` heartbeats, which is the number of workers
    /// that may be connected.
    pub fn new(capacity: usize) -> Self {
        PendingHeartbeats {
            heartbeats: Vec::new(),
            capacity,
            next_check_at: 0,
        }
    }

    /// Returns whether no heartbeat is pending.
    pub fn is_empty(&self) -> bool {
        self.heartbeats.is_empty()
    }

    /// Returns whether another heartbeat may be added.
    pub fn has_room(&self) -> bool {
        self.heartbeats.len() < self.capacity
    }

    /// Adds a heartbeat that was just received.
    pub fn push(&mut self, id: RequestId, body: &[u8], now: u64) {
        self.heartbeats.push(PendingHeartbeat {
            id,
            body: body.to_vec(),
            received_at: now,
        });
    }

    /// Returns when the heartbeats must be checked again: at once if the leader can answer them.
    pub fn next_wake(&self, leader_is_ready: bool, now: u64) -> Option<u64> {
        match (self.is_empty(), leader_is_ready) {
            (true, _) => None,
            (false, true) => Some(now),
            (false, false) => Some(now + PENDING_HEARTBEATS_WAKE_INTERVAL_MS),
        }
    }

    /// Removes and returns the next heartbeats for a leader that is ready: a limited number, oldest
    /// first.
    pub fn take_batch(&mut self) -> Vec<PendingHeartbeat> {
        let count = PENDING_HEARTBEATS_PER_TURN_MAX.min(self.heartbeats.len());
        self.heartbeats.drain(..count).collect()
    }

    /// Removes the heartbeats whose workers should try another node: all of them if another node is
    /// the leader, otherwise those that have waited for the maximum time.
    pub fn take_redirected(&mut self, leader: LeaderStatus, now: u64) -> Vec<RequestId> {
        let is_elsewhere = leader == LeaderStatus::Elsewhere;
        if !is_elsewhere && now < self.next_check_at {
            return Vec::new();
        }
        self.next_check_at = now + PENDING_HEARTBEATS_CHECK_INTERVAL_MS;
        let timeout_ms = leader.heartbeat_timeout_ms();
        let mut redirected = Vec::new();
        self.heartbeats.retain(|heartbeat| {
            let stays_pending = !is_elsewhere && now <= heartbeat.received_at + timeout_ms;
            if !stays_pending {
                redirected.push(heartbeat.id);
            }
            stays_pending
        });
        redirected
    }
}

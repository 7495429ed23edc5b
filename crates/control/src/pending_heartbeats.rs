//! Heartbeats of workers whose answers wait.
//!
//! [`PendingHeartbeats`] have not been handled yet: no leader is known, or this node leads and is still reading its
//! records. [`DeferredAnswers`] belong to heartbeats that the leader has handled.

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
    /// Another node leads.
    Elsewhere,
    /// This node leads and is reading its records.
    Loading,
    /// This node leads and answers workers.
    Ready,
}

impl LeaderStatus {
    /// Milliseconds for which a heartbeat may be pending.
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

/// Heartbeats received while no leader was known, or before this one had read its records.
pub(crate) struct PendingHeartbeats {
    heartbeats: Vec<PendingHeartbeat>,
    capacity: usize,
    next_check: u64,
}

impl PendingHeartbeats {
    /// Room for `capacity` heartbeats: as many as workers may be connected.
    pub fn new(capacity: usize) -> Self {
        PendingHeartbeats {
            heartbeats: Vec::new(),
            capacity,
            next_check: 0,
        }
    }

    /// Whether none is pending.
    pub fn is_empty(&self) -> bool {
        self.heartbeats.is_empty()
    }

    /// Whether another one may be added.
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

    /// When the heartbeats are to be checked again; at once if the leader can answer them.
    pub fn next_wake(&self, leader_is_ready: bool, now: u64) -> Option<u64> {
        match (self.is_empty(), leader_is_ready) {
            (true, _) => None,
            (false, true) => Some(now),
            (false, false) => Some(now + PENDING_HEARTBEATS_WAKE_INTERVAL_MS),
        }
    }

    /// Removes the next heartbeats for a leader that is ready: a few at a time, the oldest first.
    pub fn take_batch(&mut self) -> Vec<PendingHeartbeat> {
        let count = PENDING_HEARTBEATS_PER_TURN_MAX.min(self.heartbeats.len());
        self.heartbeats.drain(..count).collect()
    }

    /// Removes the heartbeats whose workers should try another node: all of them if another node leads, else those
    /// that have waited as long as they may.
    pub fn take_redirected(&mut self, leader: LeaderStatus, now: u64) -> Vec<RequestId> {
        let is_elsewhere = leader == LeaderStatus::Elsewhere;
        if !is_elsewhere && now < self.next_check {
            return Vec::new();
        }
        self.next_check = now + PENDING_HEARTBEATS_CHECK_INTERVAL_MS;
        let timeout_ms = leader.heartbeat_timeout_ms();
        let mut redirected = Vec::new();
        self.heartbeats.retain(|heartbeat| {
            let is_pending = !is_elsewhere && now <= heartbeat.received_at + timeout_ms;
            if !is_pending {
                redirected.push(heartbeat.id);
            }
            is_pending
        });
        redirected
    }
}

//! Reasons for returning machines.

use crate::leader::consolidation::CONSOLIDATED;

/// Why a machine is returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReturnReason {
    /// The cloud lists it as failed.
    Failed,
    /// The cloud no longer lists it.
    Unlisted,
    /// Its termination notice has expired.
    NoticeExpired,
    /// Its worker has never sent a heartbeat.
    NeverRegistered,
    /// Its worker no longer sends heartbeats.
    Silent,
    /// It has a termination notice and no tasks.
    EmptyUnderNotice,
    /// Its tasks were moved to other machines.
    Consolidated,
    /// Tasks fail on it.
    Faulty,
    /// Answers to heartbeats do not reach its worker.
    Unreachable,
    /// It has been idle for too long.
    Idle,
}

impl ReturnReason {
    /// The text of the reason in the log.
    pub fn as_str(self) -> &'static str {
        match self {
            ReturnReason::Failed => "failed",
            ReturnReason::Unlisted => "taken",
            ReturnReason::NoticeExpired => "its notice is over",
            ReturnReason::NeverRegistered => "never came up",
            ReturnReason::Silent => "silent",
            ReturnReason::EmptyUnderNotice => "under notice and empty",
            ReturnReason::Consolidated => CONSOLIDATED,
            ReturnReason::Faulty => "faulty",
            ReturnReason::Unreachable => "answers do not reach it",
            ReturnReason::Idle => "idle",
        }
    }
}

//! Reasons for which machines are returned.

use crate::leader::consolidation::CONSOLIDATED;

/// Why a machine is returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReturnReason {
    /// The cloud lists it as failed.
    Failed,
    /// The cloud no longer lists it.
    Unlisted,
    /// Its termination notice has run out.
    NoticeOver,
    /// It has never reported.
    NeverUp,
    /// It has stopped reporting.
    Silent,
    /// It has a termination notice and no tasks.
    EmptyUnderNotice,
    /// Its tasks were moved to other machines.
    Consolidated,
    /// Tasks fail on it.
    Faulty,
    /// Our answers do not reach it.
    Unreachable,
    /// It has been idle for too long.
    Idle,
}

impl ReturnReason {
    /// The reason as the log has it.
    pub fn as_str(self) -> &'static str {
        match self {
            ReturnReason::Failed => "failed",
            ReturnReason::Unlisted => "taken",
            ReturnReason::NoticeOver => "its notice is over",
            ReturnReason::NeverUp => "never came up",
            ReturnReason::Silent => "silent",
            ReturnReason::EmptyUnderNotice => "under notice and empty",
            ReturnReason::Consolidated => CONSOLIDATED,
            ReturnReason::Faulty => "faulty",
            ReturnReason::Unreachable => "answers do not reach it",
            ReturnReason::Idle => "idle",
        }
    }
}

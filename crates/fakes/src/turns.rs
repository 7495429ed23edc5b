//! Turns of nodes: the handling of one input or one wake-up each, with its kind and duration.

use crate::HEARTBEAT_PATH;
use control::{Input, Stopwatch};
use wire::peers::PeerMessage;

/// Kind of a turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TurnKind {
    /// A worker's report, directly or forwarded by a peer, or the response to a forwarded report.
    WorkerHeartbeat,
    /// Partitions: grants, permits, recalls.
    Partitions,
    /// Any other message, reply or request.
    Other,
    /// Wake-up of the node by its timer.
    Tick,
}

impl TurnKind {
    /// Kind of the turn that handles an input.
    pub(crate) fn of(input: &Input) -> Self {
        match input {
            Input::Request { target, .. } if target == HEARTBEAT_PATH => TurnKind::WorkerHeartbeat,
            Input::Peer { message, .. } => match message {
                PeerMessage::Forward { target, .. } if target == HEARTBEAT_PATH => {
                    TurnKind::WorkerHeartbeat
                }
                PeerMessage::Forwarded { .. } => TurnKind::WorkerHeartbeat,
                PeerMessage::Partitions(_) => TurnKind::Partitions,
                _ => TurnKind::Other,
            },
            _ => TurnKind::Other,
        }
    }
}

/// The handling of one input or wake-up by a node.
#[derive(Debug, Clone, Copy)]
pub struct Turn {
    /// Index of the node.
    pub node: usize,
    /// Kind of the turn.
    pub kind: TurnKind,
    /// Duration in microseconds, as measured by [`crate::World::stopwatch`].
    pub took_us: u64,
}

/// Records a turn that began at `started`, if turns are recorded.
pub(crate) fn record_turn(
    turns: &mut Option<Vec<Turn>>,
    (node, kind): (usize, TurnKind),
    started: u64,
    stopwatch: Stopwatch,
) {
    if let Some(turns) = turns {
        let took_us = stopwatch().saturating_sub(started);
        turns.push(Turn {
            node,
            kind,
            took_us,
        });
    }
}

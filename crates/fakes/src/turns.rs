//! Turns of nodes: what each is about and how long it took.

use crate::HEARTBEAT_PATH;
use control::{Input, Stopwatch};
use wire::peers::PeerMessage;

/// What a turn of a node is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TurnAbout {
    /// A worker's report, directly or forwarded by a peer, or the answer to one that was forwarded.
    WorkerHeartbeat,
    /// Partitions: grants, permits, recalls.
    Partitions,
    /// Another message, reply or request.
    Other,
    /// Time that passed.
    Tick,
}

impl TurnAbout {
    /// The subject of an input.
    pub(crate) fn of(input: &Input) -> Self {
        match input {
            Input::Request { target, .. } if target == HEARTBEAT_PATH => TurnAbout::WorkerHeartbeat,
            Input::Peer { message, .. } => match message {
                PeerMessage::Forward { target, .. } if target == HEARTBEAT_PATH => {
                    TurnAbout::WorkerHeartbeat
                }
                PeerMessage::Forwarded { .. } => TurnAbout::WorkerHeartbeat,
                PeerMessage::Partitions(_) => TurnAbout::Partitions,
                _ => TurnAbout::Other,
            },
            _ => TurnAbout::Other,
        }
    }
}

/// A turn of a node.
#[derive(Debug, Clone, Copy)]
pub struct Turn {
    /// The node.
    pub node: usize,
    /// What it was about.
    pub about: TurnAbout,
    /// Microseconds of the stopwatch that it took.
    pub took_us: u64,
}

/// Records a turn that began at `started`, if turns are recorded.
pub(crate) fn note_turn(
    turns: &mut Option<Vec<Turn>>,
    (node, about): (usize, TurnAbout),
    started: u64,
    stopwatch: Stopwatch,
) {
    if let Some(turns) = turns {
        let took_us = stopwatch().saturating_sub(started);
        turns.push(Turn {
            node,
            about,
            took_us,
        });
    }
}

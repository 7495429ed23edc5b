//! Faults of the simulated cluster, apart from those of a worker itself ([`crate::FakeWorker`]). All are described by
//! one type, so that any two can be combined. They are drawn from the world's seed, never from a clock.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;

/// Milliseconds by which a transaction without an answer may be late.
pub const LATE_TXN_MS: RangeInclusive<u64> = 2_000..=12_000;
/// The least lateness of a report's copy, in milliseconds.
pub const LATE_REPORT_MS: u64 = 2_000;

/// Where late copies of reports arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CopyTo {
    /// At the node that the report was sent to.
    Same,
    /// At any node.
    Any,
    /// At every node, as soon as there is a leader that did not exist when the report was sent.
    NextLeader,
}

/// The other end of a controller's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Party {
    /// The state service, which the controller asks.
    State,
    /// Workers, which report to the controller and receive orders.
    Workers,
    /// Users, who ask the controller.
    Users,
}

/// How a connection between two parties fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cut {
    /// Requests are lost: nobody executes them.
    Requests,
    /// Requests arrive and are executed, and their answers are lost.
    Answers,
    /// Requests are refused at once: connections by the controller, or with 503 by the state service.
    Refused,
}

/// Troubles of the state service, the network and the controllers. Shares are between 0 and 1.
#[derive(Debug, Clone, Default)]
pub struct Troubles {
    /// Share of transactions that get no answer and are executed 2 to 12 s later, in any order.
    pub late_txns: f64,
    /// Share of transactions that are executed at once and whose answer is lost.
    pub lost_answers: f64,
    /// Answers of the state service to these nodes take up to so many milliseconds; it executes at once.
    pub slow_state: BTreeMap<usize, u64>,
    /// Requests of these nodes to the state service take up to so many milliseconds to arrive there.
    pub slow_to_state: BTreeMap<usize, u64>,
    /// Nodes whose requests to the state service are lost on their way, while it answers others.
    pub cut_from_state: BTreeSet<usize>,
    /// Frames from one node to another are lost with their connection until then. Later ones arrive.
    pub lost_frames: BTreeMap<(usize, usize), u64>,
    /// Frames from one node to another take up to so many milliseconds more, each for itself, so that they overtake
    /// others.
    pub slow_frames: BTreeMap<(usize, usize), u64>,
    /// Share of workers' reports of which a copy arrives again, 2 s to one and a half leases later.
    pub late_reports: Option<(f64, CopyTo)>,
    /// Direct orders and answers to these machines are delayed until then, and delivered in order.
    pub delayed_orders: BTreeMap<String, u64>,
    /// One-sided cuts between a controller and a party. Direct orders to workers are cut like answers.
    pub cuts: BTreeSet<(usize, Party, Cut)>,
    /// Controllers that get neither input nor ticks until then, and process their backlog afterwards.
    pub frozen: BTreeMap<usize, u64>,
}

impl Troubles {
    /// Whether a node is frozen, and until when.
    pub(crate) fn frozen_until(&self, node: usize, now: u64) -> Option<u64> {
        self.frozen.get(&node).copied().filter(|until| now < *until)
    }

    /// Whether a connection of a node fails in this way.
    pub(crate) fn is_cut(&self, node: usize, party: Party, cut: Cut) -> bool {
        self.cuts.contains(&(node, party, cut))
    }

    /// Whether frames from one node to another are lost.
    pub(crate) fn loses_frame(&self, from: usize, to: usize, now: u64) -> bool {
        let until = self.lost_frames.get(&(from, to));
        until.is_some_and(|until| now < *until)
    }

    /// Until when messages to a machine are delayed.
    pub(crate) fn held_until(&self, machine: &str, now: u64) -> Option<u64> {
        let until = self.delayed_orders.get(machine).copied();
        until.filter(|until| now < *until)
    }
}

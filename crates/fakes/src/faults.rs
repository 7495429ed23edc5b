//! Faults of the simulated cluster, apart from those of a single worker ([`crate::FakeWorker`]). One type describes all
//! of them, so that any two can be combined. Random faults are drawn from the world's seed, never from a clock.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;

/// Range of the delay in milliseconds of a late transaction.
pub const LATE_TXN_DELAY_MS: RangeInclusive<u64> = 2_000..=12_000;
/// Minimum delay of a duplicate report in milliseconds.
pub const MIN_DUPLICATE_DELAY_MS: u64 = 2_000;

/// Destination of duplicate reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DuplicateTarget {
    /// The node that the report was sent to.
    SameNode,
    /// A random node.
    AnyNode,
    /// Every node, as soon as there is a leader with a higher term than at the time of the report.
    NextLeader,
}

/// The other end of a controller's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Party {
    /// The state service, which receives requests from the controller.
    State,
    /// Workers, which report to the controller and receive orders.
    Workers,
    /// Users, who send requests to the controller.
    Users,
}

/// How a connection between two parties fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionFault {
    /// Requests are lost and not executed.
    RequestsLost,
    /// Requests arrive and are executed, but their responses are lost.
    ResponsesLost,
    /// Requests are refused at once: the controller refuses connections, the state service answers with 503.
    Refused,
}

/// Faults of the state service, the network and the controllers. Shares are between 0 and 1.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// Share of transactions that get no response and are executed 2 to 12 s later, in any order.
    pub late_txn_share: f64,
    /// Share of transactions that are executed at once and whose response is lost.
    pub lost_response_share: f64,
    /// Maximum additional delay of the responses of the state service to a node, in milliseconds. The requests are
    /// executed without delay.
    pub max_state_response_delay_ms: BTreeMap<usize, u64>,
    /// Maximum additional delay until the requests of a node arrive at the state service, in milliseconds.
    pub max_state_request_delay_ms: BTreeMap<usize, u64>,
    /// Nodes whose requests to the state service are lost, while the state service answers other nodes.
    pub isolated_from_state_service: BTreeSet<usize>,
    /// Time until which frames from one node to another are lost with their connection. Later frames arrive.
    pub frames_lost_until: BTreeMap<(usize, usize), u64>,
    /// Maximum additional delay of frames from one node to another, in milliseconds. The delay is drawn for each frame,
    /// so that frames can overtake each other.
    pub max_frame_delay_ms: BTreeMap<(usize, usize), u64>,
    /// Share of workers' reports that are duplicated, and the destination of the duplicates. Unless it is the next
    /// leader, a duplicate is delayed by 2 s up to 2 s plus one and a half leases.
    pub duplicate_reports: Option<(f64, DuplicateTarget)>,
    /// Delays in milliseconds after which copies of messages that carry orders arrive once more: direct orders, responses
    /// to reports, and the reports and responses that controllers forward for each other. Each message is copied once
    /// for each delay. A copy reaches whichever process then runs at its destination.
    pub order_copy_delays_ms: Vec<u64>,
    /// Time until which direct orders and responses to a machine are delayed. They are then delivered in order.
    pub messages_delayed_until: BTreeMap<String, u64>,
    /// One-way failures between a controller and a party. Direct orders to workers are lost like responses.
    pub connection_faults: BTreeSet<(usize, Party, ConnectionFault)>,
    /// Time until which a controller gets neither input nor ticks. It processes its backlog afterwards.
    pub frozen_until: BTreeMap<usize, u64>,
}

impl Faults {
    /// Time until which a node is frozen, if it is frozen now.
    pub(crate) fn frozen_until(&self, node: usize, now: u64) -> Option<u64> {
        self.frozen_until
            .get(&node)
            .copied()
            .filter(|until| now < *until)
    }

    /// Whether a connection of a node fails in this way.
    pub(crate) fn has_connection_fault(
        &self,
        node: usize,
        party: Party,
        fault: ConnectionFault,
    ) -> bool {
        self.connection_faults.contains(&(node, party, fault))
    }

    /// Whether frames from one node to another are lost.
    pub(crate) fn is_frame_lost(&self, from: usize, to: usize, now: u64) -> bool {
        let until = self.frames_lost_until.get(&(from, to));
        until.is_some_and(|until| now < *until)
    }

    /// Time until which messages to a machine are delayed, if they are delayed now.
    pub(crate) fn messages_delayed_until(&self, machine: &str, now: u64) -> Option<u64> {
        let until = self.messages_delayed_until.get(machine).copied();
        until.filter(|until| now < *until)
    }
}

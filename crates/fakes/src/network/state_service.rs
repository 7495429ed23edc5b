//! Delivery of requests to the state service, with injected faults, and of the responses to watches.

use crate::events::{Call, CallResult, Event, Sender};
use crate::state::Caller;
use crate::{ConnectionFault, Party, World, LATE_TXN_DELAY_MS, MESSAGE_DELAY_MS};
use control::CallError;
use wire::state::{Txn, Write};

/// Milliseconds until a late request that arrives during an outage is retried.
const OUTAGE_RETRY_DELAY_MS: u64 = 1_000;
/// Caller of a late request, which gets no response.
const NO_CALLER: Caller = Caller {
    node: usize::MAX,
    call: 0,
};

/// Fault that affects a request.
enum RequestFault {
    None,
    /// The request does not arrive.
    RequestLost,
    /// The request is refused with 503.
    Refused,
    /// The request is executed, but its sender waits for the response until the deadline.
    ResponseLost,
    /// The request is executed after `late_ms`. Its sender learns at `caller_fails_at` that the outcome is unknown.
    Late {
        late_ms: u64,
        caller_fails_at: u64,
    },
    /// The request is not executed, and its outcome is unknown to the sender.
    NotExecuted,
    /// The request is executed, but its outcome is unknown to the sender.
    OutcomeUnknown,
}

impl World {
    /// Handles the arrival of a request at the state service.
    pub(super) fn serve_state(&mut self, call: Call) {
        match call.from {
            Some(sender) => self.serve_sender(sender, call),
            None => self.execute_late(call),
        }
    }

    /// Executes a request whose sender no longer waits. An outage delays the execution further. Watches are dropped.
    fn execute_late(&mut self, call: Call) {
        if self.state_service_down {
            return self.schedule(self.now + OUTAGE_RETRY_DELAY_MS, Event::ToState(call));
        }
        if !call.path.starts_with("/changes") {
            self.execute(NO_CALLER, &call);
        }
    }

    fn execute(&mut self, caller: Caller, call: &Call) -> Option<(u16, Vec<u8>)> {
        self.state_service
            .serve(self.now, caller, call.method, &call.path, &call.body)
    }

    fn serve_sender(&mut self, sender: Sender, call: Call) {
        let is_txn = is_txn(&call);
        self.txn_count += u64::from(is_txn);
        if is_txn
            && writes_key_with(&call.body, self.counted_key_prefix)
            && self.count_and_maybe_crash(sender.node, &call)
        {
            return;
        }
        let (soon, deadline) = (self.now + MESSAGE_DELAY_MS, call.deadline);
        let unknown = Err(CallError::Unknown);
        let (at, result) = match self.draw_fault(sender.node, &call) {
            RequestFault::None => match self.serve_without_fault(sender, &call) {
                Some(reply) => reply,
                None => return,
            },
            RequestFault::RequestLost => (deadline, unknown),
            RequestFault::Refused => (soon, Ok((503, vec![]))),
            RequestFault::ResponseLost => {
                self.execute_late(Call { from: None, ..call });
                (deadline, unknown)
            }
            RequestFault::Late {
                late_ms,
                caller_fails_at,
            } => {
                let call = Call { from: None, ..call };
                self.schedule(self.now + late_ms, Event::ToState(call));
                (caller_fails_at, unknown)
            }
            RequestFault::NotExecuted => (soon, unknown),
            RequestFault::OutcomeUnknown => {
                self.execute(caller_of(sender), &call);
                (soon, unknown)
            }
        };
        self.reply(at.min(deadline), sender, result);
    }

    /// Selects the fault that affects a request. Random numbers are drawn independently of the connection faults.
    fn draw_fault(&mut self, node: usize, call: &Call) -> RequestFault {
        let is_lost = is_txn(call)
            && self.lost_txn_interval > 0
            && self.txn_count.is_multiple_of(self.lost_txn_interval);
        let late = self.draw_late(node, call);
        let has_connection_fault =
            |fault| self.faults.has_connection_fault(node, Party::State, fault);
        if self.faults.isolated_from_state_service.contains(&node)
            || has_connection_fault(ConnectionFault::RequestsLost)
        {
            return RequestFault::RequestLost;
        }
        if self.state_service_down
            || self.refused_by_state_service.contains(&node)
            || has_connection_fault(ConnectionFault::Refused)
        {
            return RequestFault::Refused;
        }
        if has_connection_fault(ConnectionFault::ResponsesLost) {
            return RequestFault::ResponseLost;
        }
        if let Some(late) = late {
            return late;
        }
        let is_failing = (self.fail_watches && call.path.starts_with("/changes"))
            || (self.fail_lists && call.path.starts_with("/kv?"));
        if is_failing || (is_lost && !self.txn_count.is_multiple_of(2 * self.lost_txn_interval)) {
            return RequestFault::NotExecuted;
        }
        match is_lost {
            true => RequestFault::OutcomeUnknown,
            false => RequestFault::None,
        }
    }

    /// Draws whether a transaction is executed late, and by how much.
    fn draw_late(&mut self, node: usize, call: &Call) -> Option<RequestFault> {
        if !is_txn(call) {
            return None;
        }
        if let Some(late_ms) = self.txn_delay_ms.get(&node).copied() {
            let caller_fails_at = self.now + MESSAGE_DELAY_MS;
            return Some(RequestFault::Late {
                late_ms,
                caller_fails_at,
            });
        }
        self.happens(self.faults.late_txn_share)
            .then(|| RequestFault::Late {
                late_ms: self.rng.u64(LATE_TXN_DELAY_MS),
                caller_fails_at: call.deadline,
            })
    }

    /// Executes a request. Returns time and result of the reply to its sender, or `None` for a watch that stays open.
    fn serve_without_fault(&mut self, sender: Sender, call: &Call) -> Option<(u64, CallResult)> {
        let served = self.execute(caller_of(sender), call);
        if is_txn(call) && self.happens(self.faults.lost_response_share) {
            return Some((call.deadline, Err(CallError::Unknown)));
        }
        let slow_ms = self
            .faults
            .max_state_response_delay_ms
            .get(&sender.node)
            .copied();
        let at = self.now + MESSAGE_DELAY_MS + self.random_up_to(slow_ms);
        let response = served?;
        match at > call.deadline {
            true => Some((at, Err(CallError::Unknown))),
            false => Some((at, Ok(response))),
        }
    }

    /// Counts a transaction. Crashes the sender and returns true if the transaction is the one that
    /// [`World::crash_at_counted_txn`] selects.
    fn count_and_maybe_crash(&mut self, node: usize, call: &Call) -> bool {
        self.counted_txns += 1;
        let Some((_, is_executed)) = self
            .crash_at_counted_txn
            .take_if(|(number, _)| *number == self.counted_txns)
        else {
            return false;
        };
        if is_executed {
            self.execute(NO_CALLER, call);
        }
        self.crash(node);
        true
    }

    /// Answers watches that have changes or have expired. Watches of a node that the state service refuses or that is
    /// disconnected from it stay open.
    pub(crate) fn answer_watches(&mut self) {
        if self.state_service_down {
            return;
        }
        let (refused, faults) = (&self.refused_by_state_service, &self.faults);
        let connection_faults = [
            ConnectionFault::RequestsLost,
            ConnectionFault::ResponsesLost,
            ConnectionFault::Refused,
        ];
        let is_silent = |node: usize| {
            let mut connection_faults = connection_faults.iter();
            let has_connection_fault = connection_faults
                .any(|fault| faults.has_connection_fault(node, Party::State, *fault));
            refused.contains(&node)
                || faults.isolated_from_state_service.contains(&node)
                || has_connection_fault
        };
        for (caller, body) in self.state_service.take_due_watches(self.now, is_silent) {
            let sender = Sender {
                node: caller.node,
                process_epoch: self.nodes[caller.node].process_epoch,
                call: caller.call,
            };
            let slow_ms = self
                .faults
                .max_state_response_delay_ms
                .get(&caller.node)
                .copied();
            let at = self.now + MESSAGE_DELAY_MS + self.random_up_to(slow_ms);
            self.reply(at, sender, Ok((200, body)));
        }
    }
}

fn caller_of(sender: Sender) -> Caller {
    Caller {
        node: sender.node,
        call: sender.call,
    }
}

fn is_txn(call: &Call) -> bool {
    call.path == "/multi"
}

/// Whether a transaction puts a key with this prefix.
fn writes_key_with(body: &[u8], prefix: &str) -> bool {
    let Ok(txn) = wire::decode::<Txn>(body) else {
        return false;
    };
    let mut writes = txn.writes.iter();
    writes.any(|write| matches!(write, Write::Put { key, .. } if key.starts_with(prefix)))
}

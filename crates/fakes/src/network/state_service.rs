//! Requests to the state service: which are executed, late or lost, and which watches are answered.

use crate::events::{Call, CallResult, Event, Sender};
use crate::state::Waiter;
use crate::{Cut, Party, World, DELAY_MS, LATE_TXN_MS};
use control::CallError;
use wire::state::{Txn, Write};

/// Milliseconds until a late request that meets an outage is tried again.
const OUTAGE_RETRY_MS: u64 = 1_000;
/// Who waits for the answer of a late request: nobody.
const NOBODY: Waiter = Waiter {
    node: usize::MAX,
    call: 0,
};

/// What goes wrong with a request.
enum Fault {
    None,
    /// It does not arrive.
    RequestLost,
    /// It is refused with 503.
    Refused,
    /// It is executed, and its sender waits in vain.
    AnswerLost,
    /// It is executed later. The sender learns at `answered_at` that its outcome is unknown.
    Late {
        late_ms: u64,
        answered_at: u64,
    },
    /// It is not executed, and its outcome is unknown.
    NotExecuted,
    /// It is executed, and its outcome is unknown.
    OutcomeUnknown,
}

impl World {
    /// The state service gets a request.
    pub(super) fn serve_state(&mut self, call: Call) {
        match call.from {
            Some(sender) => self.serve_sender(sender, call),
            None => self.execute_late(call),
        }
    }

    /// Executes a request whose sender no longer waits. An outage delays it further.
    fn execute_late(&mut self, call: Call) {
        if self.state_down {
            return self.push(self.now + OUTAGE_RETRY_MS, Event::ToState(call));
        }
        if !call.path.starts_with("/changes") {
            self.execute(NOBODY, &call);
        }
    }

    fn execute(&mut self, waiter: Waiter, call: &Call) -> Option<(u16, Vec<u8>)> {
        self.state
            .serve(self.now, waiter, call.method, &call.path, &call.body)
    }

    fn serve_sender(&mut self, sender: Sender, call: Call) {
        let is_txn = is_txn(&call);
        self.txns += u64::from(is_txn);
        if is_txn
            && changes(&call.body, self.counted_keys)
            && self.crashes_at_counted_write(sender.node, &call)
        {
            return;
        }
        let (soon, deadline) = (self.now + DELAY_MS, call.deadline);
        let unknown = Err(CallError::Unknown);
        let (at, result) = match self.fault_of(sender.node, &call) {
            Fault::None => match self.serve_without_fault(sender, &call) {
                Some(answer) => answer,
                None => return,
            },
            Fault::RequestLost => (deadline, unknown),
            Fault::Refused => (soon, Ok((503, vec![]))),
            Fault::AnswerLost => {
                self.execute_late(Call { from: None, ..call });
                (deadline, unknown)
            }
            Fault::Late {
                late_ms,
                answered_at,
            } => {
                let call = Call { from: None, ..call };
                self.push(self.now + late_ms, Event::ToState(call));
                (answered_at, unknown)
            }
            Fault::NotExecuted => (soon, unknown),
            Fault::OutcomeUnknown => {
                self.execute(waiter_of(sender), &call);
                (soon, unknown)
            }
        };
        self.reply(at.min(deadline), sender, result);
    }

    /// Which fault meets a request. What is drawn does not depend on the cuts.
    fn fault_of(&mut self, node: usize, call: &Call) -> Fault {
        let is_lost =
            is_txn(call) && self.lose_txns > 0 && self.txns.is_multiple_of(self.lose_txns);
        let late = self.draw_late(node, call);
        let is_cut = |cut| self.troubles.is_cut(node, Party::State, cut);
        if self.troubles.cut_from_state.contains(&node) || is_cut(Cut::Requests) {
            return Fault::RequestLost;
        }
        if self.state_down || self.refused.contains(&node) || is_cut(Cut::Refused) {
            return Fault::Refused;
        }
        if is_cut(Cut::Answers) {
            return Fault::AnswerLost;
        }
        if let Some(late) = late {
            return late;
        }
        let is_broken = (self.break_watches && call.path.starts_with("/changes"))
            || (self.break_lists && call.path.starts_with("/kv?"));
        if is_broken || (is_lost && !self.txns.is_multiple_of(2 * self.lose_txns)) {
            return Fault::NotExecuted;
        }
        match is_lost {
            true => Fault::OutcomeUnknown,
            false => Fault::None,
        }
    }

    /// Whether a transaction is executed late.
    fn draw_late(&mut self, node: usize, call: &Call) -> Option<Fault> {
        if !is_txn(call) {
            return None;
        }
        if let Some(late_ms) = self.late_txns.get(&node).copied() {
            let answered_at = self.now + DELAY_MS;
            return Some(Fault::Late {
                late_ms,
                answered_at,
            });
        }
        self.is_drawn(self.troubles.late_txns).then(|| Fault::Late {
            late_ms: self.rng.u64(LATE_TXN_MS),
            answered_at: call.deadline,
        })
    }

    /// Executes a request. Returns when its sender is answered and how, or `None` for a watch that stays open.
    fn serve_without_fault(&mut self, sender: Sender, call: &Call) -> Option<(u64, CallResult)> {
        let served = self.execute(waiter_of(sender), call);
        if is_txn(call) && self.is_drawn(self.troubles.lost_answers) {
            return Some((call.deadline, Err(CallError::Unknown)));
        }
        let slow_ms = self.troubles.slow_state.get(&sender.node).copied();
        let at = self.now + DELAY_MS + self.draw(slow_ms);
        let answer = served?;
        match at > call.deadline {
            true => Some((at, Err(CallError::Unknown))),
            false => Some((at, Ok(answer))),
        }
    }

    /// Ends the process that sends a change of the counted keys, if it is the one chosen for that.
    fn crashes_at_counted_write(&mut self, node: usize, call: &Call) -> bool {
        self.counted_writes += 1;
        let Some((_, is_executed)) = self
            .crash_at_counted_write
            .take_if(|(number, _)| *number == self.counted_writes)
        else {
            return false;
        };
        if is_executed {
            self.execute(NOBODY, call);
        }
        self.crash(node);
        true
    }

    /// Answers watches with changes or whose time is over. Those of a node that is refused stay open.
    pub(crate) fn answer_watches(&mut self) {
        if self.state_down {
            return;
        }
        let (refused, troubles) = (&self.refused, &self.troubles);
        let cuts = [Cut::Requests, Cut::Answers, Cut::Refused];
        let is_silent = |node: usize| {
            let mut cuts = cuts.iter();
            let is_cut = cuts.any(|cut| troubles.is_cut(node, Party::State, *cut));
            refused.contains(&node) || troubles.cut_from_state.contains(&node) || is_cut
        };
        for (waiter, body) in self.state.due_watches(self.now, is_silent) {
            let sender = Sender {
                node: waiter.node,
                start: self.nodes[waiter.node].start,
                call: waiter.call,
            };
            let slow_ms = self.troubles.slow_state.get(&waiter.node).copied();
            let at = self.now + DELAY_MS + self.draw(slow_ms);
            self.reply(at, sender, Ok((200, body)));
        }
    }
}

fn waiter_of(sender: Sender) -> Waiter {
    Waiter {
        node: sender.node,
        call: sender.call,
    }
}

fn is_txn(call: &Call) -> bool {
    call.path == "/multi"
}

/// Whether a transaction writes a key with this prefix.
fn changes(body: &[u8], prefix: &str) -> bool {
    let Ok(txn) = wire::decode::<Txn>(body) else {
        return false;
    };
    let mut writes = txn.writes.iter();
    writes.any(|write| matches!(write, Write::Put { key, .. } if key.starts_with(prefix)))
}

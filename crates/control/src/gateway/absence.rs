//! Ids that this node has never heard of: one transaction shows for many of them at once that no job has them.
//!
//! Users also ask about jobs that nobody has submitted, and each 404 needs a fresh look at the open record and at the
//! final one. One transaction of conditions looks at both, for as many ids as it holds, at a single moment after the
//! questions came. What turns out to exist is read.

use super::*;
use std::collections::BTreeSet;

/// Requests about ids never heard of, and the transaction that some of them wait for.
#[derive(Default)]
pub(super) struct UnknownIds {
    /// Submissions that are refused unless known, and cancellations.
    changes: VecDeque<u64>,
    questions: VecDeque<u64>,
    check: Option<Check>,
    checks: u64,
    next_at: u64,
}

/// A transaction under way.
struct Check {
    number: u64,
    pending_requests: Vec<u64>,
}

impl UnknownIds {
    fn queue(&mut self, change: bool) -> &mut VecDeque<u64> {
        match change {
            true => &mut self.changes,
            false => &mut self.questions,
        }
    }

    fn len(&self) -> usize {
        self.changes.len() + self.questions.len()
    }

    /// The next one, taken from both queues in turn so that neither waits for the end of the other.
    fn pop(&mut self, change: bool) -> Option<u64> {
        let first = self.queue(change).pop_front();
        first.or_else(|| self.queue(!change).pop_front())
    }
}

impl Gateway {
    /// Ids that one transaction can hold: each takes two conditions.
    fn ids_a_check(&self) -> usize {
        self.proof_guards / 2
    }

    /// Whether so many requests of a kind wait that another would not be answered in time.
    pub(super) fn has_too_many_unheard(&mut self, change: bool) -> bool {
        let most = UNHEARD_CHECKS * self.ids_a_check();
        self.unheard.queue(change).len() >= most
    }

    /// A request about an id never heard of waits for the next transaction.
    pub(super) fn start_search(&mut self, number: u64, change: bool) {
        self.unheard.queue(change).push_back(number);
    }

    /// When waiting requests are to be sent.
    pub(super) fn next_check(&self) -> u64 {
        let fronts = [&self.unheard.changes, &self.unheard.questions];
        let first = fronts.iter().filter_map(|q| q.front()).min();
        match first {
            Some(_) if self.unheard.check.is_some() => u64::MAX,
            Some(number) => {
                let since = self.pending_requests.get(number).map_or(0, |t| t.since);
                self.unheard.next_at.max(since + PROOF_GATHER_MS)
            }
            None => u64::MAX,
        }
    }

    /// Sends one transaction that finds out which of the waiting ids no job has.
    pub(super) fn check_unheard(&mut self, effects: &mut Effects) {
        let now = effects.now.mono;
        let most = self.ids_a_check();
        let full = self.unheard.len() >= most && now >= self.unheard.next_at;
        if self.unheard.check.is_some() || !(full || now >= self.next_check()) {
            return;
        }
        let mut ids = BTreeSet::new();
        let mut pending_requests = Vec::new();
        let mut change = true;
        while ids.len() < most {
            let Some(number) = self.unheard.pop(change) else {
                break;
            };
            change = !change;
            let Some(pending) = self.pending_requests.get(&number) else {
                continue;
            };
            if let Some(end) = self.known_final(&pending.id) {
                if let Some(t) = self.close(number) {
                    self.answer_final(t.request, &t.id, end, effects);
                }
                continue;
            }
            ids.insert(pending.id.clone());
            pending_requests.push(number);
        }
        if pending_requests.is_empty() {
            return;
        }
        let absent = |id: &String| [Compare::new(job_key(id), 0), Compare::new(final_key(id), 0)];
        let op = StateOp::Txn(Txn {
            compares: ids.iter().flat_map(absent).collect(),
            writes: Vec::new(),
        });
        self.unheard.next_at = now + UNHEARD_EVERY_MS;
        self.unheard.checks += 1;
        let number = self.unheard.checks;
        let tag = StateTag::UnknownIds(number);
        effects.state.push((Priority::Proof, op, tag));
        self.unheard.check = Some(Check {
            number,
            pending_requests,
        });
    }

    /// Such a transaction came back: what no job has is answered, what exists is read, the others wait for the next.
    pub fn on_unknown_ids(&mut self, number: u64, reply: StateReply, effects: &mut Effects) {
        let Some(check) = self.unheard.check.take_if(|c| c.number == number) else {
            return;
        };
        let now = effects.now.mono;
        // Backwards, since what has to wait goes to the front again.
        for number in check.pending_requests.into_iter().rev() {
            let Some(pending) = self.pending_requests.get(&number) else {
                continue;
            };
            let (change, id) = (pending.want.is_change(), pending.id.clone());
            match &reply {
                StateReply::Committed { .. } => self.found_nothing(number, effects),
                StateReply::Conflict { failed } if failed.contains(&job_key(&id)) => {
                    self.go(number, Stage::Open, effects);
                }
                StateReply::Conflict { failed } if failed.contains(&final_key(&id)) => {
                    self.go(number, Stage::Final, effects);
                }
                StateReply::Conflict { .. } => {
                    self.unheard.queue(change).push_front(number);
                    self.unheard.next_at = now;
                }
                StateReply::Refused if self.may_wait(number, now) => {
                    self.unheard.queue(change).push_front(number);
                    self.unheard.next_at = now + STATE_RETRY_MS;
                }
                StateReply::Refused => {
                    self.refuse(number, 503, "the state service refuses", effects);
                }
                _ => self.refuse(number, 503, "the state service does not answer", effects),
            }
        }
        self.check_unheard(effects);
    }
}

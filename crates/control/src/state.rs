//! Client of the state service: budgets, priorities, and answers told apart.

use crate::effects::{CallError, CallId, Effects, Now, Output, Target};
use crate::requests::{Priority, StateOp, StateReply, StateTag};
use crate::token_bucket::TokenBucket;
use constants::*;
use std::collections::{HashMap, VecDeque};
use wire::state::*;

struct Waiting {
    op: StateOp,
    tag: StateTag,
    since: u64,
}

pub(crate) struct StateClient {
    /// Controllers that share the state service's rate.
    nodes: usize,
    requests: TokenBucket,
    change_reads: TokenBucket,
    questions: TokenBucket,
    user_writes: TokenBucket,
    leader_writes: TokenBucket,
    queues: [VecDeque<Waiting>; Priority::ALL.len()],
    in_flight: HashMap<CallId, (StateOp, StateTag)>,
    paused_until: u64,
    /// Rate and burst that the leader's records may have, what share of the rate it takes, and when that was reckoned.
    leader_rate: (f64, f64),
    strain: (f64, u64),
    /// Of the two that share the rate of questions, a single reading goes next: the last one was a proof.
    reading_is_next: bool,
    wake: Option<u64>,
    last_good: u64,
    last_bad: u64,
}

/// What one node may send, each as a rate and a burst.
struct Shares {
    requests: (f64, f64),
    change_reads: (f64, f64),
    questions: (f64, f64),
    user_writes: (f64, f64),
    leader_writes: (f64, f64),
}

impl Shares {
    fn new(rps: f64, write_rps: f64, nodes: usize) -> Self {
        let requests = rps * STATE_RPS_SHARE;
        let change_reads = rps * CHANGE_READ_SHARE / nodes as f64;
        let questions = rps * QUESTION_SHARE / nodes as f64;
        let leader_rate = write_rps * STATE_WRITE_SHARE;
        Shares {
            requests: (requests, requests * 0.5),
            change_reads: (change_reads, change_reads * CHANGE_READ_BURST_S),
            questions: (questions, questions * QUESTION_BURST_S),
            user_writes: (write_rps * USER_WRITE_SHARE, write_rps * USER_WRITE_BURST),
            leader_writes: (leader_rate, leader_rate * 0.5),
        }
    }
}

fn writes_of(op: &StateOp) -> f64 {
    match op {
        StateOp::Txn(txn) => txn.writes.len() as f64,
        _ => 0.0,
    }
}

impl StateClient {
    /// A client of one of `nodes` controllers that share these rates.
    pub fn new(rps: f64, write_rps: f64, nodes: usize) -> Self {
        let shares = Shares::new(rps, write_rps, nodes);
        let bucket = |(rate, burst): (f64, f64)| TokenBucket::new(rate, burst);
        StateClient {
            nodes,
            requests: bucket(shares.requests),
            change_reads: bucket(shares.change_reads),
            questions: bucket(shares.questions),
            user_writes: bucket(shares.user_writes),
            leader_writes: bucket(shares.leader_writes),
            queues: Default::default(),
            in_flight: HashMap::new(),
            paused_until: 0,
            leader_rate: shares.leader_writes,
            strain: (1.0, 0),
            reading_is_next: false,
            wake: None,
            last_good: 0,
            last_bad: 0,
        }
    }

    /// Shares out these limits of the state service from now on.
    pub fn hold_to(&mut self, rps: f64, write_rps: f64) {
        let shares = Shares::new(rps, write_rps, self.nodes);
        self.requests.set(shares.requests.0, shares.requests.1);
        self.change_reads
            .set(shares.change_reads.0, shares.change_reads.1);
        self.questions.set(shares.questions.0, shares.questions.1);
        self.user_writes
            .set(shares.user_writes.0, shares.user_writes.1);
        self.leader_rate = shares.leader_writes;
        let leader_rate = self.leader_rate;
        self.leader_writes
            .set(leader_rate.0 * self.strain.0, leader_rate.1);
    }

    /// The rate limit was hit, which nodes share and which may have fallen without notice: the leader's records take less for
    /// a while.
    fn ease(&mut self, now: u64, hit: bool) {
        let (share, at) = self.strain;
        let passed = now.saturating_sub(at) as f64 / 1000.0;
        let mut next = (share + passed * STRAIN_EASE).min(1.0);
        if hit && now >= at + RATE_RETRY_MS {
            next = (next * STRAIN_CUT).max(STRAIN_LEAST);
        } else if hit || next == share {
            return;
        }
        self.strain = (next, now);
        self.leader_writes
            .set(self.leader_rate.0 * next, self.leader_rate.1);
    }

    /// Whether requests have lately been answered well.
    pub fn is_up(&self, now: u64) -> bool {
        self.last_good > 0
            && (self.last_good >= self.last_bad || now < self.last_good + STATE_DOWN_MS)
    }

    /// Moment of the last good answer.
    pub fn last_good(&self) -> u64 {
        self.last_good
    }

    pub fn push(&mut self, now: Now, priority: Priority, op: StateOp, tag: StateTag) {
        let since = now.mono;
        self.queues[priority as usize].push_back(Waiting { op, tag, since });
    }

    /// Forgets what a former leader still wanted to write.
    pub fn drop_leader_requests(&mut self) {
        self.queues[Priority::LeaderRecords as usize].clear();
    }

    /// Sends what the budget allows. Requests that waited too long come back as refused.
    pub fn pump(
        &mut self,
        next_call: &mut CallId,
        effects: &mut Effects,
        expired: &mut Vec<(StateTag, StateReply)>,
    ) {
        let now = effects.now.mono;
        self.wake = None;
        self.ease(now, false);
        for priority in self.order() {
            let queue = priority as usize;
            while let Some(first) = self.queues[queue].front() {
                if priority.is_for_user() && now > first.since + USER_DEADLINE_MS {
                    if let Some(w) = self.queues[queue].pop_front() {
                        expired.push((w.tag, StateReply::Refused));
                    }
                    continue;
                }
                if priority != Priority::Leadership && now < self.paused_until {
                    self.wake = Some(self.paused_until);
                    break;
                }
                let writes = writes_of(&first.op);
                let wait = self.wait(priority, writes, now);
                if wait > 0 {
                    let at = now + wait;
                    self.wake = Some(self.wake.map_or(at, |w| w.min(at)));
                    break;
                }
                self.requests.spend(1.0);
                let (own, amount) = self.own_bucket(priority, writes);
                own.spend(amount);
                self.reading_is_next = match priority {
                    Priority::Proof => true,
                    Priority::Question => false,
                    _ => self.reading_is_next,
                };
                if let Some(w) = self.queues[queue].pop_front() {
                    *next_call += 1;
                    effects.out.push(call_of(&w.op, *next_call));
                    self.in_flight.insert(*next_call, (w.op, w.tag));
                }
            }
        }
    }

    /// The order in which to look at what waits. Proofs and single readings share a rate and take turns at it: with 4,000
    /// machines there was always a proof to send, and a question that needs readings first, about a job that waits for
    /// others, was never answered.
    fn order(&self) -> [Priority; Priority::ALL.len()] {
        let mut order = Priority::ALL;
        if self.reading_is_next {
            let last = order.len() - 1;
            order.swap(last - 1, last);
        }
        order
    }

    /// The rate that a priority has to itself, and what a request takes of it.
    ///
    /// With one rate for all, users' questions, which go before the leader's records, left those nothing during a flood, and
    /// submissions waited behind questions until they were refused.
    fn own_bucket(&mut self, priority: Priority, writes: f64) -> (&mut TokenBucket, f64) {
        match priority {
            Priority::Leadership | Priority::LeaderRecords => (&mut self.leader_writes, writes),
            Priority::Change => (&mut self.user_writes, writes),
            Priority::ChangeRead => (&mut self.change_reads, 1.0),
            Priority::Proof | Priority::Question => (&mut self.questions, 1.0),
        }
    }

    /// Milliseconds until a request may go.
    fn wait(&mut self, priority: Priority, writes: f64, now: u64) -> u64 {
        self.requests.refill(now);
        let all = self.requests.wait(1.0);
        let (own, amount) = self.own_bucket(priority, writes);
        own.refill(now);
        match priority {
            // Elections and renewals are never held back by what others have used up.
            Priority::Leadership => 0,
            _ => own.wait(amount).max(all),
        }
    }

    pub fn next_wake(&self) -> Option<u64> {
        self.wake
    }

    /// Takes a reply if the call was this actor's.
    pub fn on_reply(
        &mut self,
        now: Now,
        call: CallId,
        result: &Result<(u16, Vec<u8>), CallError>,
    ) -> Option<(StateTag, StateReply)> {
        let (op, tag) = self.in_flight.remove(&call)?;
        let reply = read_reply(&op, result);
        match &reply {
            StateReply::Refused | StateReply::Unknown => {
                // A watch that breaks says little: it may just have been open while the connection went. And a
                // rate limit that was hit is no outage: users need not be turned away for it.
                let limited = matches!(result, Ok((429, _)));
                if limited && writes_of(&op) > 0.0 {
                    self.ease(now.mono, true);
                }
                if !matches!(op, StateOp::Watch { .. }) && !limited {
                    self.last_bad = now.mono;
                }
                let pause = if limited {
                    RATE_RETRY_MS
                } else {
                    STATE_RETRY_MS
                };
                self.paused_until = now.mono + pause;
            }
            _ => self.last_good = now.mono,
        }
        Some((tag, reply))
    }
}

fn call_of(op: &StateOp, call: CallId) -> Output {
    let (method, path, body, timeout_ms) = match op {
        StateOp::Get(key) => ("GET", format!("/kv/{key}"), vec![], STATE_TIMEOUT_MS),
        StateOp::List { prefix, from } => {
            let from = if from.is_empty() {
                String::new()
            } else {
                format!("&from={from}")
            };
            let path = format!("/kv?under={prefix}{from}&limit={LIST_PAGE}");
            ("GET", path, vec![], 2 * STATE_TIMEOUT_MS)
        }
        StateOp::Txn(txn) => (
            "POST",
            "/multi".to_string(),
            wire::encode(txn),
            STATE_TIMEOUT_MS,
        ),
        StateOp::Grant { ttl_ms } => (
            "POST",
            "/leases".to_string(),
            wire::encode(&LeaseAsk { ttl_ms: *ttl_ms }),
            STATE_TIMEOUT_MS,
        ),
        StateOp::Renew(id) => (
            "POST",
            format!("/leases/{id}/renew"),
            vec![],
            STATE_TIMEOUT_MS,
        ),
        StateOp::Revoke(id) => ("DELETE", format!("/leases/{id}"), vec![], STATE_TIMEOUT_MS),
        StateOp::Watch { prefix, from } => (
            "GET",
            format!("/changes?under={prefix}&from={from}&hold_ms={WATCH_HOLD_MS}"),
            vec![],
            WATCH_HOLD_MS + STATE_TIMEOUT_MS,
        ),
    };
    Output::Call {
        call,
        target: Target::State,
        method,
        path,
        body,
        timeout_ms,
    }
}

fn read_reply(op: &StateOp, result: &Result<(u16, Vec<u8>), CallError>) -> StateReply {
    let (status, body) = match result {
        Err(CallError::NotSent) => return StateReply::Refused,
        Err(CallError::Unknown) => return StateReply::Unknown,
        Ok((status, body)) => (*status, body.as_slice()),
    };
    match status {
        429 | 503 => return StateReply::Refused,
        500.. => return StateReply::Unknown,
        _ => {}
    }
    let read = match (op, status) {
        (StateOp::Get(_), 200) => wire::decode(body).map(StateReply::Item),
        (StateOp::Get(_), 404) => Ok(StateReply::Missing),
        (StateOp::List { .. }, 200) => wire::decode(body).map(StateReply::Page),
        (StateOp::Txn(_), 200) => wire::decode(body).map(|a: TxnAnswer| StateReply::Committed {
            version: a.revision,
        }),
        (StateOp::Txn(_), 409) => {
            wire::decode(body).map(|a: TxnAnswer| StateReply::Conflict { failed: a.failed })
        }
        (StateOp::Txn(_), 400) => {
            let lease = String::from_utf8_lossy(body).contains("no such lease");
            Ok(if lease {
                StateReply::NoLease
            } else {
                StateReply::Invalid
            })
        }
        (StateOp::Grant { .. }, 200) => {
            wire::decode(body).map(|l: Lease| StateReply::Granted(l.lease))
        }
        (StateOp::Renew(_), 200) => Ok(StateReply::Renewed),
        (StateOp::Renew(_), 404) => Ok(StateReply::NoLease),
        (StateOp::Revoke(_), _) => Ok(StateReply::Renewed),
        (StateOp::Watch { .. }, 200) => wire::decode(body).map(StateReply::Changes),
        (StateOp::Watch { .. }, 410) => Ok(StateReply::TooOld),
        _ => Ok(StateReply::Invalid),
    };
    // A body that can't be read leaves open what was done.
    read.unwrap_or(StateReply::Unknown)
}

#[cfg(test)]
mod tests;

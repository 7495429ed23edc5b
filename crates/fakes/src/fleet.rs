//! The workers: their tasks progress, they report, and copies of their reports arrive late.

use crate::jobs::{behaviour_of, job_of};
use crate::{
    CopyTo, Cut, FakeWorker, Gang, Party, World, DELAY_MS, HEARTBEAT_PATH, KIND, LATE_REPORT_MS,
};
use control::Input;
use std::collections::BTreeMap;
use wire::workers::WorkerHeartbeat;

/// Milliseconds for which a worker waits for an answer.
pub(crate) const REPORT_DROP_MS: u64 = 4_000;
/// Milliseconds until a worker that got no answer reports to the next node.
const NEXT_NODE_MS: u64 = 1_000;

/// What is known of each gang's attempt, by job and attempt.
type Gangs = BTreeMap<(String, u64), Gang>;

/// A report that leaves its worker.
struct SentReport {
    machine: String,
    node: usize,
    report: WorkerHeartbeat,
}

impl World {
    /// Lets the workers run until now, and sends their reports.
    pub(crate) fn run_workers(&mut self) {
        let now = self.now;
        let lease_ms = (self.settings[0].deployment.workers.lease_s * 1000.0) as u64;
        self.workers
            .retain(|_, worker| worker.taken_at.is_none_or(|at| now < at));
        for worker in self.workers.values_mut() {
            worker.wake(now, lease_ms);
        }
        let gangs = self.gangs();
        for sent in self.advance_workers(&gangs) {
            let body = wire::encode(&sent.report);
            self.copy_late(sent.node, &body, lease_ms);
            let id = self.request(sent.node, "POST", HEARTBEAT_PATH, body);
            self.reporters.insert(id, (sent.machine, sent.report.seq));
        }
    }

    /// Which tasks of each gang's attempt are present.
    fn gangs(&self) -> Gangs {
        let now = self.now;
        let mut gangs = Gangs::new();
        for worker in self.workers.values().filter(|w| now >= w.hung_until) {
            for (task, attempt) in worker.live() {
                if behaviour_of(&self.behaviour, task).is_none_or(|b| b.gang == 0) {
                    continue;
                }
                let key = (job_of(task).to_string(), attempt);
                worker.join(task, attempt, gangs.entry(key).or_default(), now);
            }
        }
        gangs
    }

    /// Advances all tasks. Returns the reports that reach a node.
    fn advance_workers(&mut self, gangs: &Gangs) -> Vec<SentReport> {
        let now = self.now;
        let (jobs, rules) = (&self.behaviour, &self.rules);
        let peer_ms = (self.settings[0].deployment.workers.gang_peer_s * 1000.0) as u64;
        let report_ms = (self.settings[0].deployment.workers.report_s * 1000.0) as u64;
        let gang = |job: &str, attempt: u64| {
            let key = (job.to_string(), attempt);
            gangs.get(&key).copied().unwrap_or_default()
        };
        let is_cut = |node: usize, cut: Cut| self.troubles.is_cut(node, Party::Workers, cut);
        let is_reached = |worker: &FakeWorker| {
            let allows = |only: Option<usize>| only.is_none_or(|only| only == worker.node);
            let is_lost = self.unreached.contains(&worker.node)
                || worker.mute
                || is_cut(worker.node, Cut::Requests);
            now >= worker.cut_until && !is_lost && allows(self.stuck_workers) && allows(worker.only)
        };
        let mut completed = Vec::new();
        let mut reports = Vec::new();
        for worker in self.workers.values_mut() {
            completed.extend(worker.advance(
                now,
                peer_ms,
                |task| behaviour_of(jobs, task),
                |task| rules.has_completed(task),
                gang,
            ));
            if now < worker.hung_until {
                continue;
            }
            if !is_report_due(worker, self.nodes.len(), now) {
                continue;
            }
            let report = worker.report(KIND, now);
            worker.in_flight = Some((now, worker.seq));
            worker.report_at = now + report_ms;
            if is_cut(worker.node, Cut::Refused) {
                try_next_node(worker, self.nodes.len(), now);
            } else if is_reached(worker) {
                reports.push(SentReport {
                    machine: worker.name.clone(),
                    node: worker.node,
                    report,
                });
            }
        }
        for task in completed {
            self.rules.completed(task);
        }
        reports
    }

    /// Sends a late copy of some of the reports.
    fn copy_late(&mut self, node: usize, body: &[u8], lease_ms: u64) {
        let Some((share, to)) = self.troubles.late_reports else {
            return;
        };
        if !self.is_drawn(share) {
            return;
        }
        let most_ms = LATE_REPORT_MS + lease_ms * 3 / 2;
        let late_ms = self.rng.u64(LATE_REPORT_MS..=most_ms);
        match to {
            CopyTo::Same => self.send_copy(node, body.to_vec(), late_ms),
            CopyTo::Any => {
                let node = self.rng.usize(..self.nodes.len());
                self.send_copy(node, body.to_vec(), late_ms);
            }
            CopyTo::NextLeader => {
                let terms = (0..self.nodes.len()).filter_map(|node| self.term_of(node));
                let term = terms.max().unwrap_or(0);
                self.copies_for_next_leader.push((term, body.to_vec()));
            }
        }
    }

    /// A copy of a report arrives late. Nobody waits for its answer.
    fn send_copy(&mut self, node: usize, body: Vec<u8>, late_ms: u64) {
        self.next_request += 1;
        let id = self.next_request;
        self.reporters.insert(id, (String::new(), 0));
        let input = Input::Request {
            id,
            method: "POST".into(),
            target: HEARTBEAT_PATH.into(),
            body,
        };
        self.push_input(self.now + DELAY_MS + late_ms, node, input);
    }

    /// Sends the copies that wait for a newer leader to every node, once there is one.
    pub(crate) fn release_copies(&mut self) {
        if self.copies_for_next_leader.is_empty() {
            return;
        }
        let term = self.leader().and_then(|leader| self.term_of(leader));
        for (older_term, body) in std::mem::take(&mut self.copies_for_next_leader) {
            if term.is_some_and(|term| term > older_term) {
                for node in 0..self.nodes.len() {
                    self.send_copy(node, body.clone(), 0);
                }
            } else {
                self.copies_for_next_leader.push((older_term, body));
            }
        }
    }
}

/// Whether a worker reports now. One whose answer is overdue tries the next node first.
fn is_report_due(worker: &mut FakeWorker, nodes: usize, now: u64) -> bool {
    let is_overdue = |(sent, _): (u64, u64)| now > sent + REPORT_DROP_MS;
    if worker.in_flight.is_some_and(is_overdue) {
        try_next_node(worker, nodes, now);
    }
    worker.in_flight.is_none() && now >= worker.report_at
}

/// A worker abandons its node, and soon reports to the next one.
fn try_next_node(worker: &mut FakeWorker, nodes: usize, now: u64) {
    worker.in_flight = None;
    worker.node = (worker.node + 1) % nodes;
    worker.report_at = now + NEXT_NODE_MS;
}

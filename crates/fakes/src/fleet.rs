//! Simulation of the workers: progress of their tasks, their reports, and duplicates of these reports.

use crate::jobs::{behaviour_of, job_of};
use crate::{
    ConnectionFault, DuplicateTarget, FakeWorker, GangState, Party, World, HEARTBEAT_PATH,
    MESSAGE_DELAY_MS, MIN_DUPLICATE_DELAY_MS,
};
use control::Input;
use std::collections::BTreeMap;
use wire::workers::WorkerHeartbeat;

/// Milliseconds for which a worker waits for the response to a report.
pub(crate) const REPORT_TIMEOUT_MS: u64 = 4_000;
/// Milliseconds until a worker that got no response reports to the next node.
const NEXT_NODE_DELAY_MS: u64 = 1_000;

/// Counts of each gang's attempt, by job and attempt.
type Gangs = BTreeMap<(String, u64), GangState>;

/// A report that reaches a node.
struct SentReport {
    machine: String,
    node: usize,
    report: WorkerHeartbeat,
}

impl World {
    /// Advances the workers to the current time, and sends their reports.
    pub(crate) fn run_workers(&mut self) {
        let now = self.now;
        let lease_ms = (self.settings[0].deployment.workers.lease_s * 1000.0) as u64;
        self.workers
            .retain(|_, worker| worker.reclaim_at.is_none_or(|at| now < at));
        for worker in self.workers.values_mut() {
            worker.update_clock(now, lease_ms);
        }
        let gangs = self.gangs();
        for sent in self.advance_workers(&gangs) {
            let body = wire::encode(&sent.report);
            self.duplicate_report(sent.node, &body, lease_ms);
            let id = self.request(sent.node, "POST", HEARTBEAT_PATH, body);
            self.pending_reports
                .insert(id, (sent.machine, sent.report.seq));
        }
    }

    /// Counts the tasks of each gang's attempt.
    fn gangs(&self) -> Gangs {
        let now = self.now;
        let mut gangs = Gangs::new();
        for worker in self.workers.values().filter(|w| now >= w.hung_until) {
            for (task, attempt) in worker.active_tasks() {
                if behaviour_of(&self.task_behaviour, task).is_none_or(|b| b.gang_size == 0) {
                    continue;
                }
                let key = (job_of(task).to_string(), attempt);
                worker.add_to_gang(task, attempt, gangs.entry(key).or_default(), now);
            }
        }
        gangs
    }

    /// Advances the tasks of all workers. Returns the reports that reach a node.
    fn advance_workers(&mut self, gangs: &Gangs) -> Vec<SentReport> {
        let now = self.now;
        let (jobs, rules) = (&self.task_behaviour, &self.rules);
        let gang_peer_timeout_ms =
            (self.settings[0].deployment.workers.gang_peer_s * 1000.0) as u64;
        let report_interval_ms = (self.settings[0].deployment.workers.report_s * 1000.0) as u64;
        let gang = |job: &str, attempt: u64| {
            let key = (job.to_string(), attempt);
            gangs.get(&key).copied().unwrap_or_default()
        };
        let has_connection_fault = |node: usize, fault: ConnectionFault| {
            self.faults
                .has_connection_fault(node, Party::Workers, fault)
        };
        let is_reached = |worker: &FakeWorker| {
            let allows = |only: Option<usize>| only.is_none_or(|only| only == worker.node);
            let is_lost = self.isolated_from_workers.contains(&worker.node)
                || worker.reports_lost
                || has_connection_fault(worker.node, ConnectionFault::RequestsLost);
            now >= worker.disconnected_until
                && !is_lost
                && allows(self.only_reachable_node)
                && allows(worker.only_node)
        };
        let mut completed = Vec::new();
        let mut reports = Vec::new();
        for worker in self.workers.values_mut() {
            completed.extend(worker.advance_tasks(
                now,
                gang_peer_timeout_ms,
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
            let machine_type = worker.machine_type.clone();
            let report = worker.report(&machine_type, now);
            worker.record_sent_report(now);
            worker.next_report_at = now + report_interval_ms;
            if has_connection_fault(worker.node, ConnectionFault::Refused) {
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
            self.rules.task_completed(task);
        }
        reports
    }

    /// Duplicates a report with the probability that the faults set.
    fn duplicate_report(&mut self, node: usize, body: &[u8], lease_ms: u64) {
        let Some((share, to)) = self.faults.duplicate_reports else {
            return;
        };
        if !self.happens(share) {
            return;
        }
        let max_delay_ms = MIN_DUPLICATE_DELAY_MS + lease_ms * 3 / 2;
        let delay_ms = self.rng.u64(MIN_DUPLICATE_DELAY_MS..=max_delay_ms);
        match to {
            DuplicateTarget::SameNode => self.send_duplicate(node, body.to_vec(), delay_ms),
            DuplicateTarget::AnyNode => {
                let node = self.rng.usize(..self.nodes.len());
                self.send_duplicate(node, body.to_vec(), delay_ms);
            }
            DuplicateTarget::NextLeader => {
                let terms = (0..self.nodes.len()).filter_map(|node| self.term_of(node));
                let term = terms.max().unwrap_or(0);
                self.duplicates_for_next_leader.push((term, body.to_vec()));
            }
        }
    }

    /// Sends a duplicate of a report with a delay. No worker receives its response.
    fn send_duplicate(&mut self, node: usize, body: Vec<u8>, delay_ms: u64) {
        self.last_request_id += 1;
        let id = self.last_request_id;
        self.pending_reports.insert(id, (String::new(), 0));
        let input = Input::Request {
            id,
            method: "POST".into(),
            target: HEARTBEAT_PATH.into(),
            body,
        };
        self.schedule_input(self.now + MESSAGE_DELAY_MS + delay_ms, node, input);
    }

    /// Sends the duplicates that wait for a newer leader to every node, once there is one.
    pub(crate) fn send_due_duplicates(&mut self) {
        if self.duplicates_for_next_leader.is_empty() {
            return;
        }
        let term = self.leader().and_then(|leader| self.term_of(leader));
        for (older_term, body) in std::mem::take(&mut self.duplicates_for_next_leader) {
            if term.is_some_and(|term| term > older_term) {
                for node in 0..self.nodes.len() {
                    self.send_duplicate(node, body.clone(), 0);
                }
            } else {
                self.duplicates_for_next_leader.push((older_term, body));
            }
        }
    }
}

/// Whether a report of a worker is due. A worker whose response is overdue first switches to the next node.
fn is_report_due(worker: &mut FakeWorker, nodes: usize, now: u64) -> bool {
    let is_overdue = |(sent, _): (u64, u64)| now > sent + REPORT_TIMEOUT_MS;
    if worker.report_in_flight.is_some_and(is_overdue) {
        try_next_node(worker, nodes, now);
    }
    worker.report_in_flight.is_none() && now >= worker.next_report_at
}

/// Switches a worker to the next node, to which it reports after [`NEXT_NODE_DELAY_MS`].
fn try_next_node(worker: &mut FakeWorker, nodes: usize, now: u64) {
    worker.report_in_flight = None;
    worker.node = (worker.node + 1) % nodes;
    worker.next_report_at = now + NEXT_NODE_DELAY_MS;
}

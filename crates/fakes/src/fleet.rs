//! The workers: their tasks go on, they report, and copies of their reports come late.

use super::*;

impl World {
    pub(crate) fn work(&mut self) {
        let now = self.now;
        let lease_ms = (self.settings[0].deployment.workers.lease_s * 1000.0) as u64;
        let report_ms = (self.settings[0].deployment.workers.report_s * 1000.0) as u64;
        let peer_ms = (self.settings[0].deployment.workers.gang_peer_s * 1000.0) as u64;
        self.workers
            .retain(|_, w| w.taken_at.is_none_or(|at| now < at));
        for w in self.workers.values_mut() {
            w.wake(now, lease_ms);
        }
        let jobs = &self.behaviour;
        let mut gangs: BTreeMap<(String, u64), Gang> = BTreeMap::new();
        for w in self.workers.values().filter(|w| now >= w.hung_until) {
            for (task, attempt) in w.live() {
                if behave(jobs, task).is_none_or(|b| b.gang == 0) {
                    continue;
                }
                let job = task.split('/').next().unwrap_or_default().to_string();
                let gang = gangs.entry((job, attempt)).or_default();
                w.join(task, attempt, gang, now);
            }
        }
        let mut reports = Vec::new();
        let troubles = &self.troubles;
        let mut completed = Vec::new();
        let stuck = self.stuck_workers;
        let nodes = self.nodes.len();
        for w in self.workers.values_mut() {
            let gang = |job: &str, attempt: u64| {
                let key = (job.to_string(), attempt);
                gangs.get(&key).copied().unwrap_or_default()
            };
            let rules = &self.rules;
            completed.extend(w.advance(
                now,
                peer_ms,
                |t| behave(jobs, t),
                |t| rules.has_completed(t),
                gang,
            ));
            if now < w.hung_until {
                continue;
            }
            if let Some((sent, _)) = w.in_flight {
                if now > sent + REPORT_DROP_MS {
                    w.in_flight = None;
                    w.node = (w.node + 1) % nodes;
                    w.report_at = now + 1_000;
                }
            }
            if w.in_flight.is_none() && now >= w.report_at {
                let report = w.report(KIND, now);
                w.in_flight = Some((now, w.seq));
                w.report_at = now + report_ms;
                if troubles.is_cut(w.node, Party::Workers, Cut::Refused) {
                    w.in_flight = None;
                    w.node = (w.node + 1) % nodes;
                    w.report_at = now + 1_000;
                    continue;
                }
                let cut = troubles.is_cut(w.node, Party::Workers, Cut::Requests);
                let unreached = self.unreached.contains(&w.node) || w.mute || cut;
                let only = |n: Option<usize>| n.is_none_or(|n| n == w.node);
                if now >= w.cut_until && !unreached && only(stuck) && only(w.only) {
                    reports.push((w.name.clone(), w.node, w.seq, report));
                }
            }
        }
        for task in completed {
            self.rules.completed(task);
        }
        for (name, node, seq, report) in reports {
            let body = wire::encode(&report);
            self.copy_late(node, &body, lease_ms);
            let id = self.request(node, "POST", REPORT_PATH, body);
            self.reporters.insert(id, (name, seq));
        }
    }

    /// Of a share of the reports a copy arrives later.
    pub(crate) fn copy_late(&mut self, node: usize, body: &[u8], lease_ms: u64) {
        let Some((share, to)) = self.troubles.late_reports else {
            return;
        };
        if !self.happens(share) {
            return;
        }
        let late = self
            .rng
            .u64(LATE_REPORT_MS..=LATE_REPORT_MS + lease_ms * 3 / 2);
        match to {
            CopyTo::Same => self.send_copy(node, body.to_vec(), late),
            CopyTo::Any => {
                let node = self.rng.usize(..self.nodes.len());
                self.send_copy(node, body.to_vec(), late);
            }
            CopyTo::NextLeader => {
                let terms = (0..self.nodes.len()).filter_map(|i| self.term_of(i));
                let term = terms.max().unwrap_or(0);
                self.kept.push((term, body.to_vec()));
            }
        }
    }

    /// A copy of a report arrives late; nobody waits for its answer.
    pub(crate) fn send_copy(&mut self, node: usize, body: Vec<u8>, late_ms: u64) {
        self.next_request += 1;
        let id = self.next_request;
        self.reporters.insert(id, (String::new(), 0));
        let input = Input::Request {
            id,
            method: "POST".into(),
            target: REPORT_PATH.into(),
            body,
        };
        let life = self.nodes[node].life;
        self.push(self.now + DELAY + late_ms, Event::ToNode(node, life, input));
    }

    /// Copies of reports that were kept arrive everywhere once a new leader is there.
    pub(crate) fn release_kept(&mut self) {
        if self.kept.is_empty() {
            return;
        }
        let term = self.leader().and_then(|l| self.term_of(l));
        let kept = std::mem::take(&mut self.kept);
        for (than, body) in kept {
            if term.is_some_and(|t| t > than) {
                for node in 0..self.nodes.len() {
                    self.send_copy(node, body.clone(), 0);
                }
            } else {
                self.kept.push((than, body));
            }
        }
    }
}

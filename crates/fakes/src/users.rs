//! Simulation of the users: their requests, and the responses to them.

use crate::{ConnectionFault, Party, RequestKind, TaskBehaviour, World, MESSAGE_DELAY_MS};
use control::Input;
use std::collections::BTreeSet;
use wire::users::{JobStatus, Phase, Submission, SubmissionId};

/// Steps of simulated time for which [`World::send_and_wait`] waits for a response: 3 s.
const MAX_RESPONSE_STEPS: u64 = 300;

impl World {
    /// Sends a user request to a node and waits up to 3 s for the response. Returns status 0 if there is none.
    pub fn send_and_wait(
        &mut self,
        node: usize,
        method: &str,
        target: &str,
        body: Vec<u8>,
    ) -> (u16, Vec<u8>) {
        let id = self.send_user_request(node, method, target, body);
        for _ in 0..MAX_RESPONSE_STEPS {
            if let Some(response) = self.responses.remove(&id) {
                return response;
            }
            self.step();
        }
        (0, vec![])
    }

    /// Sends a user request without waiting. [`World::take_response`] returns the response later.
    pub fn send_user_request(
        &mut self,
        node: usize,
        method: &str,
        target: &str,
        body: Vec<u8>,
    ) -> u64 {
        let kind_and_job = match (method, target.strip_prefix("/submissions")) {
            ("POST", Some("")) => wire::decode(&body)
                .ok()
                .map(|submitted: SubmissionId| (RequestKind::Submit, submitted.id)),
            (_, Some(rest)) => {
                let rest = rest.trim_start_matches('/');
                Some(match rest.strip_suffix("/abort") {
                    Some(id) => (RequestKind::Abort, id.to_string()),
                    None => (RequestKind::Status, rest.to_string()),
                })
            }
            _ => None,
        };
        let lost = [ConnectionFault::RequestsLost, ConnectionFault::Refused]
            .iter()
            .any(|fault| self.faults.has_connection_fault(node, Party::Users, *fault));
        let id = if lost {
            self.last_request_id += 1;
            self.last_request_id
        } else {
            self.request(node, method, target, body)
        };
        if let Some((kind, job)) = kind_and_job {
            self.rules.request_sent(id, kind, &job, self.now);
            self.violations.append(&mut self.rules.violations);
        }
        id
    }

    /// Removes and returns the response to a request.
    pub fn take_response(&mut self, request: u64) -> Option<(u16, Vec<u8>)> {
        self.response_times.remove(&request);
        self.responses.remove(&request)
    }

    /// Removes the response to a request, and returns its time and status.
    pub fn take_response_time(&mut self, request: u64) -> Option<(u64, u16)> {
        let at = self.response_times.get(&request).copied()?;
        self.take_response(request).map(|(status, _)| (at, status))
    }

    /// Records the response of a node to a user.
    pub(crate) fn respond(&mut self, request: u64, status: u16, body: Vec<u8>) {
        let job_status: Option<JobStatus> = wire::decode(&body).ok();
        let dependencies = job_status
            .as_ref()
            .map(|job_status| self.dependencies(&job_status.id));
        let jobs_and_dependencies = (&self.jobs, &dependencies.unwrap_or_default());
        let phase = job_status.map(|job_status| job_status.phase);
        self.rules
            .response_received(request, status, phase, jobs_and_dependencies, self.now);
        self.violations.append(&mut self.rules.violations);
        self.responses.insert(request, (status, body));
        self.response_times.insert(request, self.now);
    }

    /// Sends a request of a user or worker to a node.
    pub(crate) fn request(
        &mut self,
        node: usize,
        method: &str,
        target: &str,
        body: Vec<u8>,
    ) -> u64 {
        self.last_request_id += 1;
        let id = self.last_request_id;
        let input = Input::Request {
            id,
            method: method.to_string(),
            target: target.to_string(),
            body,
        };
        self.schedule_input(self.now + MESSAGE_DELAY_MS, node, input);
        id
    }

    /// Submits a job and returns the status.
    pub fn submit(&mut self, node: usize, job: &Submission, behaviour: TaskBehaviour) -> u16 {
        self.upload_job(job, behaviour);
        self.send_and_wait(node, "POST", "/submissions", wire::encode(job))
            .0
    }

    /// Makes a job's description and the behaviour of its tasks known to the workers, as users do before they submit a
    /// job.
    pub fn upload_job(&mut self, job: &Submission, behaviour: TaskBehaviour) {
        if !self.rules.is_accepted(&job.id) {
            self.jobs.insert(job.id.clone(), job.clone());
        }
        self.task_behaviour.insert(job.id.clone(), behaviour);
    }

    /// Queries a node for the phases of many jobs at once.
    pub fn phases(&mut self, node: usize, ids: &[String]) -> Vec<Option<Phase>> {
        let targets = ids.iter().map(|id| format!("/submissions/{id}"));
        let sent: Vec<u64> = targets
            .map(|t| self.send_user_request(node, "GET", &t, vec![]))
            .collect();
        self.run_for(2_000);
        let read = |(status, body): (u16, Vec<u8>)| {
            let status: Option<JobStatus> = wire::decode(&body).ok().filter(|_| status == 200);
            status.map(|s| s.phase)
        };
        sent.iter()
            .map(|id| self.responses.remove(id).and_then(read))
            .collect()
    }

    /// Queries a node for the phase of a job.
    pub fn phase(&mut self, node: usize, id: &str) -> Option<Phase> {
        let (status, body) = self.send_and_wait(node, "GET", &format!("/submissions/{id}"), vec![]);
        if status != 200 {
            return None;
        }
        wire::decode::<JobStatus>(&body).ok().map(|s| s.phase)
    }

    /// Jobs that a job depends on, directly or transitively.
    fn dependencies(&self, id: &str) -> BTreeSet<String> {
        let mut all = BTreeSet::new();
        let mut stack = vec![id.to_string()];
        while let Some(id) = stack.pop() {
            for need in self.jobs.get(&id).into_iter().flat_map(|j| &j.dependencies) {
                if all.insert(need.clone()) {
                    stack.push(need.clone());
                }
            }
        }
        all
    }

    /// Cancels a job and returns its phase, if the request was accepted.
    pub fn abort(&mut self, node: usize, id: &str) -> Option<Phase> {
        let (status, body) =
            self.send_and_wait(node, "POST", &format!("/submissions/{id}/abort"), vec![]);
        if status != 200 {
            return None;
        }
        wire::decode::<JobStatus>(&body).ok().map(|s| s.phase)
    }
}

//! Users: their requests, and the answers to them.

use crate::{Behaviour, Cut, Party, Question, World, DELAY_MS};
use control::Input;
use std::collections::BTreeSet;
use wire::users::{JobStatus, Phase, Submission, SubmissionId};

impl World {
    /// Sends a request to a node and waits for the answer, for 3 s at most.
    pub fn ask(
        &mut self,
        node: usize,
        method: &str,
        target: &str,
        body: Vec<u8>,
    ) -> (u16, Vec<u8>) {
        let id = self.send(node, method, target, body);
        for _ in 0..300 {
            if let Some(answer) = self.answers.remove(&id) {
                return answer;
            }
            self.step();
        }
        (0, vec![])
    }

    /// Sends a request of a user and does not wait: [`World::answer`] has the answer later.
    pub fn send(&mut self, node: usize, method: &str, target: &str, body: Vec<u8>) -> u64 {
        let question = match (method, target.strip_prefix("/submissions")) {
            ("POST", Some("")) => wire::decode(&body)
                .ok()
                .map(|submitted: SubmissionId| (Question::Submit, submitted.id)),
            (_, Some(rest)) => {
                let rest = rest.trim_start_matches('/');
                Some(match rest.strip_suffix("/abort") {
                    Some(id) => (Question::Abort, id.to_string()),
                    None => (Question::Status, rest.to_string()),
                })
            }
            _ => None,
        };
        let lost = [Cut::Requests, Cut::Refused]
            .iter()
            .any(|cut| self.troubles.is_cut(node, Party::Users, *cut));
        let id = if lost {
            self.next_request += 1;
            self.next_request
        } else {
            self.request(node, method, target, body)
        };
        if let Some((question, job)) = question {
            self.rules.sent(id, question, &job, self.now);
            self.broken.append(&mut self.rules.broken);
        }
        id
    }

    /// The answer to a request, once.
    pub fn answer(&mut self, request: u64) -> Option<(u16, Vec<u8>)> {
        self.answered_at.remove(&request);
        self.answers.remove(&request)
    }

    /// When a request was answered and with which status, once.
    pub fn answer_at(&mut self, request: u64) -> Option<(u64, u16)> {
        let at = self.answered_at.get(&request).copied()?;
        self.answer(request).map(|(status, _)| (at, status))
    }

    /// A node answers a user.
    pub(crate) fn respond(&mut self, request: u64, status: u16, body: Vec<u8>) {
        let answer: Option<JobStatus> = wire::decode(&body).ok();
        let dependencies = answer.as_ref().map(|answer| self.dependencies(&answer.id));
        let about = (&self.jobs, &dependencies.unwrap_or_default());
        let phase = answer.map(|answer| answer.phase);
        self.rules.answered(request, status, phase, about, self.now);
        self.broken.append(&mut self.rules.broken);
        self.answers.insert(request, (status, body));
        self.answered_at.insert(request, self.now);
    }

    /// Sends a request to a node.
    pub(crate) fn request(
        &mut self,
        node: usize,
        method: &str,
        target: &str,
        body: Vec<u8>,
    ) -> u64 {
        self.next_request += 1;
        let id = self.next_request;
        let input = Input::Request {
            id,
            method: method.to_string(),
            target: target.to_string(),
            body,
        };
        self.push_input(self.now + DELAY_MS, node, input);
        id
    }

    /// Submits a job; returns the status.
    pub fn submit(&mut self, node: usize, job: &Submission, behaviour: Behaviour) -> u16 {
        self.describe(job, behaviour);
        self.ask(node, "POST", "/submissions", wire::encode(job)).0
    }

    /// Uploads a job's description for the workers, as users do before they submit it.
    pub fn describe(&mut self, job: &Submission, behaviour: Behaviour) {
        if !self.rules.is_accepted(&job.id) {
            self.jobs.insert(job.id.clone(), job.clone());
        }
        self.behaviour.insert(job.id.clone(), behaviour);
    }

    /// Asks a node for the phases of many jobs at once.
    pub fn phases(&mut self, node: usize, ids: &[String]) -> Vec<Option<Phase>> {
        let targets = ids.iter().map(|id| format!("/submissions/{id}"));
        let sent: Vec<u64> = targets
            .map(|t| self.send(node, "GET", &t, vec![]))
            .collect();
        self.run(2_000);
        let read = |(status, body): (u16, Vec<u8>)| {
            let status: Option<JobStatus> = wire::decode(&body).ok().filter(|_| status == 200);
            status.map(|s| s.phase)
        };
        sent.iter()
            .map(|id| self.answers.remove(id).and_then(read))
            .collect()
    }

    /// Asks for a job's phase.
    pub fn phase(&mut self, node: usize, id: &str) -> Option<Phase> {
        let (status, body) = self.ask(node, "GET", &format!("/submissions/{id}"), vec![]);
        if status != 200 {
            return None;
        }
        wire::decode::<JobStatus>(&body).ok().map(|s| s.phase)
    }

    /// Jobs that a job depends on, directly or through others.
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

    /// Cancels a job.
    pub fn abort(&mut self, node: usize, id: &str) -> Option<Phase> {
        let (status, body) = self.ask(node, "POST", &format!("/submissions/{id}/abort"), vec![]);
        if status != 200 {
            return None;
        }
        wire::decode::<JobStatus>(&body).ok().map(|s| s.phase)
    }
}

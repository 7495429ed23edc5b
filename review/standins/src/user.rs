//! Users: they submit jobs, ask about them and cancel them.

use crate::cbor::{decode, encode, get_text, int, json, map, text, Value};
use crate::http::Client;
use crate::record::Record;
use std::net::SocketAddr;

/// A submission.
#[derive(Clone)]
pub struct Job {
    pub id: String,
    pub cohort: String,
    pub tenant: String,
    /// `array` or `group`.
    pub shape: String,
    pub shards: u64,
    pub cpus: f64,
    pub gpus: f64,
    pub mem_gb: f64,
    pub loaners: bool,
    pub guess_s: f64,
    pub awaits: Vec<String>,
}

impl Job {
    fn encode(&self) -> Vec<u8> {
        let mut fields = vec![
            ("id", text(&self.id)),
            ("cohort", text(&self.cohort)),
            ("tenant", text(&self.tenant)),
            ("shape", text(&self.shape)),
            ("rank", text("normal")),
            ("shards", int(self.shards)),
            ("cpus", Value::Float(self.cpus)),
            ("gpus", Value::Float(self.gpus)),
            ("mem_gb", Value::Float(self.mem_gb)),
            ("bundle", text("img-01")),
            ("pull_gb", Value::Float(1.0)),
            ("breeds", Value::Null),
            ("valley", Value::Null),
            ("same_place", Value::Bool(false)),
            ("apart", Value::Bool(false)),
            ("loaners", Value::Bool(self.loaners)),
            ("guess_s", Value::Float(self.guess_s)),
            ("stow_every_s", Value::Float(0.0)),
            ("stow_s", Value::Float(0.0)),
            ("due_s", Value::Null),
        ];
        if !self.awaits.is_empty() {
            fields.push((
                "awaits",
                Value::Array(self.awaits.iter().map(|id| text(id)).collect()),
            ));
        }
        encode(&map(fields))
    }
}

/// An answer: its status, 0 if there was none, and the phase that it names.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub phase: String,
}

/// Users of a service.
#[derive(Clone)]
pub struct Users {
    pub record: Record,
    pub controllers: Vec<SocketAddr>,
}

impl Users {
    fn call(
        &self,
        node: usize,
        method: &str,
        target: &str,
        body: &[u8],
        timeout_s: f64,
        note: bool,
    ) -> Answer {
        let sent = self.record.now();
        let result =
            Client::default().call(self.controllers[node], method, target, body, timeout_s);
        let (status, body) = result.unwrap_or((0, Vec::new()));
        let value = decode(&body).unwrap_or(Value::Null);
        if note || status != 200 {
            let shown = if status == 0 {
                "no answer".into()
            } else {
                json(&value)
            };
            self.record.say(format!(
                "user n{node} {method} {target} sent {sent:.3} -> {status} {shown}"
            ));
        }
        let phase = get_text(&value, "phase").unwrap_or("").to_string();
        Answer { status, phase }
    }

    /// Submits a job at one node, once.
    pub fn submit(&self, node: usize, job: &Job) -> Answer {
        self.call(node, "POST", "/submissions", &job.encode(), 5.0, true)
    }

    /// Submits a job, at one node after another, for as long as a user tries.
    pub fn submit_until_accepted(&self, first: usize, job: &Job) -> bool {
        let until = self.record.now() + 60.0;
        let mut node = first;
        while self.record.now() < until {
            let answer = self.submit(node, job);
            match answer.status {
                200 | 201 => return true,
                400 | 422 => return false,
                _ => crate::sleep(1.0),
            }
            node = (node + 1) % self.controllers.len();
        }
        false
    }

    /// Cancels a job at one node, once.
    pub fn cancel(&self, node: usize, id: &str) -> Answer {
        self.call(
            node,
            "POST",
            &format!("/submissions/{id}/abort"),
            &[],
            5.0,
            true,
        )
    }

    /// Asks about a job at one node, once.
    pub fn ask(&self, node: usize, id: &str) -> Answer {
        self.call(node, "GET", &format!("/submissions/{id}"), &[], 2.0, true)
    }

    /// Whether a node says that it is ready.
    pub fn is_ready(&self, node: usize) -> bool {
        let result = Client::default().call(self.controllers[node], "GET", "/ready", &[], 1.0);
        matches!(result, Ok((200, _)))
    }
}

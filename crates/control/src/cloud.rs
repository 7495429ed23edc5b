//! Client of the cloud: within its call rate, returns ahead of rentals ahead of listings.

use crate::effects::{CallError, CallId, Effects, Output, Target};
use crate::requests::{CloudOp, CloudReply, CloudTag};
use crate::token_bucket::TokenBucket;
use constants::*;
use std::collections::{HashMap, VecDeque};
use wire::cloud::*;

pub(crate) struct CloudClient {
    bucket: TokenBucket,
    queues: [VecDeque<(CloudOp, CloudTag)>; 4],
    in_flight: HashMap<CallId, (CloudOp, CloudTag)>,
    paused_until: u64,
    wake: Option<u64>,
}

impl CloudClient {
    pub fn new(rps: f64) -> Self {
        CloudClient {
            bucket: TokenBucket::new(rps * 0.8, rps),
            queues: Default::default(),
            in_flight: HashMap::new(),
            paused_until: 0,
            wake: None,
        }
    }

    pub fn push(&mut self, op: CloudOp, tag: CloudTag) {
        let queue = match op {
            CloudOp::Return(_) => 0,
            CloudOp::Rent(_) => 1,
            CloudOp::List { .. } => 2,
            CloudOp::Types => 3,
        };
        self.queues[queue].push_back((op, tag));
    }

    pub fn clear(&mut self) {
        self.queues = Default::default();
    }

    pub fn pump(&mut self, next_call: &mut CallId, effects: &mut Effects) {
        let now = effects.now.mono;
        self.wake = None;
        for queue in &mut self.queues {
            while !queue.is_empty() {
                if now < self.paused_until || !self.bucket.take(now, 1.0) {
                    let at = self.paused_until.max(now + self.bucket.wait(1.0).max(10));
                    self.wake = Some(at);
                    return;
                }
                if let Some((op, tag)) = queue.pop_front() {
                    *next_call += 1;
                    effects.out.push(call_of(&op, *next_call));
                    self.in_flight.insert(*next_call, (op, tag));
                }
            }
        }
    }

    pub fn next_wake(&self) -> Option<u64> {
        self.wake
    }

    pub fn on_reply(
        &mut self,
        now: u64,
        call: CallId,
        result: &Result<(u16, Vec<u8>), CallError>,
    ) -> Option<(CloudTag, CloudOp, CloudReply)> {
        let (op, tag) = self.in_flight.remove(&call)?;
        let reply = read_reply(&op, result);
        if matches!(reply, CloudReply::Refused | CloudReply::Unknown) {
            self.paused_until = now + 1000;
        }
        Some((tag, op, reply))
    }
}

fn call_of(op: &CloudOp, call: CallId) -> Output {
    let (method, path, body) = match op {
        CloudOp::Return(names) => {
            let machines = names.clone();
            let body = wire::encode(&MachineNames { machines });
            ("POST", "/hosts/return".to_string(), body)
        }
        CloudOp::Rent(rent) => ("POST", "/hosts".to_string(), wire::encode(rent)),
        CloudOp::List { from } if from.is_empty() => ("GET", "/hosts?limit=500".into(), vec![]),
        CloudOp::List { from } => ("GET", format!("/hosts?from={from}&limit=500"), vec![]),
        CloudOp::Types => ("GET", "/machine_types".to_string(), vec![]),
    };
    Output::Call {
        call,
        target: Target::Cloud,
        method,
        path,
        body,
        timeout_ms: CLOUD_TIMEOUT_MS,
    }
}

fn read_reply(op: &CloudOp, result: &Result<(u16, Vec<u8>), CallError>) -> CloudReply {
    let (status, body) = match result {
        Err(CallError::NotSent) => return CloudReply::Refused,
        Err(CallError::Unknown) => return CloudReply::Unknown,
        Ok((status, body)) => (*status, body.as_slice()),
    };
    let read = match (op, status) {
        (CloudOp::Return(_), 200) => Ok(CloudReply::Returned),
        (CloudOp::Rent(_), 200) => {
            wire::decode(body).map(|n: MachineNames| CloudReply::Rented(n.machines))
        }
        (CloudOp::Rent(_), 503) if String::from_utf8_lossy(body).contains("no capacity") => {
            Ok(CloudReply::NoCapacity)
        }
        (CloudOp::List { .. }, 200) => wire::decode(body).map(CloudReply::Listed),
        (CloudOp::Types, 200) => {
            wire::decode(body).map(|t: MachineTypes| CloudReply::Types(t.types))
        }
        (_, 429 | 503) => Ok(CloudReply::Refused),
        (_, 400..=499) => Ok(CloudReply::Invalid),
        _ => Ok(CloudReply::Unknown),
    };
    read.unwrap_or(CloudReply::Unknown)
}

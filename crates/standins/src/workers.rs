//! Workers: one thread a machine, which reports and runs tasks.

use crate::connections::Client;
use crate::users::behaviour;
use crate::{lock, Shared};
use fakes::{FakeWorker, Gang, KIND};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use wire::workers::{Elsewhere, HeartbeatResponse};

/// How long a worker waits for an answer.
const PATIENCE: Duration = Duration::from_secs(4);
/// How often it looks at its tasks.
const LOOK: Duration = Duration::from_millis(20);
/// Milliseconds between reports, and of a lease, as the controllers' settings have them.
pub(crate) const REPORT_MS: u64 = 1_000;
pub(crate) const LEASE_MS: u64 = 10_000;
/// Milliseconds after which a gang's tasks miss each other; there are no gangs here.
const GANG_PEER_MS: u64 = 8_000;

pub fn start(shared: Arc<Shared>, name: String) -> JoinHandle<()> {
    std::thread::spawn(move || {
        let mut worker = FakeWorker::new(&name, "a", false, shared.now_ms());
        worker.node = fastrand::usize(..shared.controllers.len());
        let mut client = Client::default();
        while !shared.is_over() {
            step(&shared, &mut worker, &mut client);
        }
    })
}

fn step(shared: &Shared, worker: &mut FakeWorker, client: &mut Client) {
    let now = shared.now_ms();
    let incarnation = worker.incarnation;
    worker.wake(now, LEASE_MS);
    if worker.incarnation != incarnation {
        lock(&shared.history).lapsed();
    }
    let done = worker.advance(
        now,
        GANG_PEER_MS,
        |task| Some(behaviour(task)),
        |_| false,
        |_, _| Gang::default(),
    );
    let live: BTreeSet<String> = worker.live().map(|(task, _)| task.clone()).collect();
    lock(&shared.history).on_machine(&worker.name, live, done);
    if now < worker.report_at {
        return std::thread::sleep(LOOK);
    }
    report(shared, worker, client, now);
}

fn report(shared: &Shared, worker: &mut FakeWorker, client: &mut Client, now: u64) {
    worker.report_at = now + REPORT_MS;
    let body = wire::encode(&worker.report(KIND, now));
    let addr = shared.controllers[worker.node];
    let answer = client.call(addr, "POST", "/v1/report", &body, PATIENCE);
    let nodes = shared.controllers.len();
    match answer {
        Ok((200, body)) => {
            if let Ok(answer) = wire::decode::<HeartbeatResponse>(&body) {
                execute(shared, worker, now, &answer);
            }
        }
        Ok((421, body)) => {
            let named = wire::decode::<Elsewhere>(&body).ok().and_then(|e| e.leader);
            let leader = named.and_then(|name| shared.labels.iter().position(|l| *l == name));
            match leader.filter(|l| *l != worker.node) {
                Some(leader) => {
                    worker.node = leader;
                    worker.report_at = now;
                }
                None => try_next(worker, now, nodes),
            }
        }
        _ => try_next(worker, shared.now_ms(), nodes),
    }
}

fn try_next(worker: &mut FakeWorker, now: u64, nodes: usize) {
    worker.node = (worker.node + 1) % nodes;
    worker.report_at = now + 1_000;
}

fn execute(shared: &Shared, worker: &mut FakeWorker, sent: u64, answer: &HeartbeatResponse) {
    if answer.term < worker.term {
        return;
    }
    worker.term = answer.term;
    worker.lease_from = sent;
    let now = shared.now_ms();
    let fresh = worker.execute(&answer.orders, |task| Some(behaviour(task)), now);
    let tasks: Vec<String> = fresh.into_iter().map(|(task, _)| task).collect();
    if !tasks.is_empty() {
        worker.report_at = worker.report_at.min(now + 500);
        lock(&shared.history).started(&worker.name, &tasks, now);
    }
}

//! Workers: one thread per machine, which reports and runs tasks.

use crate::connections::Client;
use crate::users::behaviour;
use crate::{lock, Shared};
use fakes::{FakeWorker, GangState, MACHINE_TYPE};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use wire::workers::{HeartbeatResponse, Redirect};

/// How long a worker waits for an answer.
const REPORT_TIMEOUT: Duration = Duration::from_secs(4);
/// How often it advances its tasks.
const STEP: Duration = Duration::from_millis(20);
/// Milliseconds between reports, as in the controllers' settings.
pub(crate) const REPORT_MS: u64 = 1_000;
/// Milliseconds of a lease, as in the controllers' settings.
pub(crate) const LEASE_MS: u64 = 10_000;
/// Milliseconds after which the tasks of an incomplete gang end. There are no gangs here.
const GANG_PEER_MS: u64 = 8_000;
/// Milliseconds until a worker that got no answer reports to the next controller.
const NEXT_NODE_MS: u64 = 1_000;
/// Milliseconds after a start until a worker reports at the latest.
const START_REPORT_MS: u64 = 500;

/// Starts the thread of a machine.
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
    worker.update_clock(now, LEASE_MS);
    if worker.incarnation != incarnation {
        lock(&shared.history).lease_expired();
    }
    let completed = worker.advance_tasks(
        now,
        GANG_PEER_MS,
        |task| Some(behaviour(task)),
        |_| false,
        |_, _| GangState::default(),
    );
    let live: BTreeSet<String> = worker
        .active_tasks()
        .map(|(task, _)| task.clone())
        .collect();
    lock(&shared.history).on_machine(&worker.name, live, completed);
    if now < worker.next_report_at {
        return std::thread::sleep(STEP);
    }
    report(shared, worker, client, now);
}

fn report(shared: &Shared, worker: &mut FakeWorker, client: &mut Client, now: u64) {
    worker.next_report_at = now + REPORT_MS;
    let body = wire::encode(&worker.report(MACHINE_TYPE, now));
    let addr = shared.controllers[worker.node];
    let answer = client.call(addr, "POST", "/v1/report", &body, REPORT_TIMEOUT);
    let nodes = shared.controllers.len();
    match answer {
        Ok((200, body)) => {
            if let Ok(answer) = wire::decode::<HeartbeatResponse>(&body) {
                execute(shared, worker, now, &answer);
            }
        }
        Ok((421, body)) => {
            let named = wire::decode::<Redirect>(&body)
                .ok()
                .and_then(|elsewhere| elsewhere.controller);
            let leader =
                named.and_then(|name| shared.labels.iter().position(|label| *label == name));
            match leader.filter(|leader| *leader != worker.node) {
                Some(leader) => {
                    worker.node = leader;
                    worker.next_report_at = now;
                }
                None => try_next(worker, now, nodes),
            }
        }
        _ => try_next(worker, shared.now_ms(), nodes),
    }
}

fn try_next(worker: &mut FakeWorker, now: u64, nodes: usize) {
    worker.node = (worker.node + 1) % nodes;
    worker.next_report_at = now + NEXT_NODE_MS;
}

fn execute(shared: &Shared, worker: &mut FakeWorker, sent: u64, answer: &HeartbeatResponse) {
    if answer.term < worker.term {
        return;
    }
    worker.term = answer.term;
    worker.lease_start = sent;
    let now = shared.now_ms();
    let started = worker.execute_orders(&answer.orders, |task| Some(behaviour(task)), now);
    let tasks: Vec<String> = started.into_iter().map(|(task, _)| task).collect();
    if !tasks.is_empty() {
        worker.next_report_at = worker.next_report_at.min(now + START_REPORT_MS);
        lock(&shared.history).started(&worker.name, &tasks, now);
    }
}

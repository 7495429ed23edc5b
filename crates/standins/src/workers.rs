//! Workers: one thread per machine, which sends reports and runs tasks.

use crate::connections::Client;
use crate::users::task_behaviour;
use crate::{lock, Shared};
use fakes::{FakeWorker, GangState, MACHINE_TYPE};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use wire::workers::{HeartbeatResponse, Redirect};

/// How long a worker waits for the response to a report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(4);
/// Interval at which a worker advances its tasks.
const STEP_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between reports, in milliseconds. The settings of the controllers use the same value.
pub(crate) const REPORT_INTERVAL_MS: u64 = 1_000;
/// Duration of a worker's lease, in milliseconds. The settings of the controllers use the same value.
pub(crate) const LEASE_MS: u64 = 10_000;
/// Milliseconds after which the tasks of an incomplete gang end. The users of this crate submit no gangs.
const GANG_PEER_TIMEOUT_MS: u64 = 8_000;
/// Milliseconds until a worker that got no usable response reports to the next controller.
const NEXT_CONTROLLER_DELAY_MS: u64 = 1_000;
/// Upper limit, in milliseconds, on the time between the start of a task and the next report.
const MAX_START_REPORT_DELAY_MS: u64 = 500;

/// Starts the worker thread of the machine called `name`.
pub fn start(shared: Arc<Shared>, name: String) -> JoinHandle<()> {
    std::thread::spawn(move || {
        let mut worker = FakeWorker::new(&name, "a", false, shared.now_ms());
        worker.node = fastrand::usize(..shared.controllers.len());
        let mut client = Client::default();
        while !shared.is_stopping() {
            step(&shared, &mut worker, &mut client);
        }
    })
}

/// Advances the tasks of a worker and sends a report if one is due.
fn step(shared: &Shared, worker: &mut FakeWorker, client: &mut Client) {
    let now = shared.now_ms();
    let incarnation = worker.incarnation;
    worker.update_clock(now, LEASE_MS);
    if worker.incarnation != incarnation {
        lock(&shared.history).record_expired_lease();
    }
    let completed = worker.advance_tasks(
        now,
        GANG_PEER_TIMEOUT_MS,
        |task| Some(task_behaviour(task)),
        |_| false,
        |_, _| GangState::default(),
    );
    let live: BTreeSet<String> = worker
        .active_tasks()
        .map(|(task, _)| task.clone())
        .collect();
    lock(&shared.history).record_machine_tasks(&worker.name, live, completed);
    if now < worker.next_report_at {
        return std::thread::sleep(STEP_INTERVAL);
    }
    report(shared, worker, client, now);
}

/// Sends a report and handles its response. On a redirect, the worker switches to the named leader immediately.
fn report(shared: &Shared, worker: &mut FakeWorker, client: &mut Client, now: u64) {
    worker.next_report_at = now + REPORT_INTERVAL_MS;
    let body = wire::encode(&worker.report(MACHINE_TYPE, now));
    let addr = shared.controllers[worker.node];
    let response = client.call(addr, "POST", "/v1/report", &body, REPORT_TIMEOUT);
    let controller_count = shared.controllers.len();
    match response {
        Ok((200, body)) => {
            if let Ok(heartbeat) = wire::decode::<HeartbeatResponse>(&body) {
                apply_response(shared, worker, now, &heartbeat);
            }
        }
        Ok((421, body)) => {
            let leader_label = wire::decode::<Redirect>(&body)
                .ok()
                .and_then(|redirect| redirect.controller);
            let leader =
                leader_label.and_then(|name| shared.labels.iter().position(|label| *label == name));
            match leader.filter(|leader| *leader != worker.node) {
                Some(leader) => {
                    worker.node = leader;
                    worker.next_report_at = now;
                }
                None => switch_to_next_controller(worker, now, controller_count),
            }
        }
        _ => switch_to_next_controller(worker, shared.now_ms(), controller_count),
    }
}

/// Makes the worker report to the next controller after a delay.
fn switch_to_next_controller(worker: &mut FakeWorker, now: u64, controller_count: usize) {
    worker.node = (worker.node + 1) % controller_count;
    worker.next_report_at = now + NEXT_CONTROLLER_DELAY_MS;
}

/// Renews the lease of a worker and executes the orders of a response, unless the response has an outdated term.
fn apply_response(
    shared: &Shared,
    worker: &mut FakeWorker,
    sent_at: u64,
    response: &HeartbeatResponse,
) {
    if response.term < worker.term {
        return;
    }
    worker.term = response.term;
    worker.lease_start = sent_at;
    let now = shared.now_ms();
    let started = worker.execute_orders(&response.orders, |task| Some(task_behaviour(task)), now);
    let tasks: Vec<String> = started.into_iter().map(|(task, _)| task).collect();
    if !tasks.is_empty() {
        worker.next_report_at = worker.next_report_at.min(now + MAX_START_REPORT_DELAY_MS);
        lock(&shared.history).record_starts(&worker.name, &tasks, now);
    }
}

//! Users: they submit jobs, ask about them, and cancel some.

use crate::connections::call;
use crate::{lock, Shared};
use fakes::{array_job, TaskBehaviour};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use wire::users::{JobStatus, Phase};

/// How long a user waits for an answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between two submissions.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(250);
/// Pause between two status queries.
const QUERY_INTERVAL: Duration = Duration::from_millis(60);
/// One job in so many is cancelled.
const CANCELLED_PART: u64 = 6;
/// Attempts of a request until its user gives up.
const ATTEMPTS: usize = 60;
/// Pause between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// How the tasks of a job behave: some seconds each, by its number.
pub(crate) fn behaviour(task: &str) -> TaskBehaviour {
    let job = task.split('/').next().unwrap_or_default();
    let number: u64 = job.trim_start_matches("run-").parse().unwrap_or(0);
    TaskBehaviour {
        image_fetch_ms: 50,
        run_ms: 500 + 400 * (number % 5),
        checkpoint_write_ms: 0,
        gang_size: 0,
        fails_after_run: false,
    }
}

/// Starts one thread that submits and cancels, and another that queries.
pub fn start(shared: Arc<Shared>) -> Vec<JoinHandle<()>> {
    let (submitting, querying) = (Arc::clone(&shared), shared);
    vec![
        std::thread::spawn(move || submit_jobs(&submitting)),
        std::thread::spawn(move || query_jobs(&querying)),
    ]
}

fn submit_jobs(shared: &Shared) {
    let mut number = 0;
    while !shared.is_over() && lock(&shared.history).takes_jobs() {
        number += 1;
        let id = format!("run-{number:06}");
        let body = wire::encode(&array_job(&id, 1 + number % 4));
        if let Some((_, now)) = call_any(shared, "POST", "/submissions", &body) {
            lock(&shared.history).accepted(&id, now);
        }
        if number % CANCELLED_PART == 0 {
            cancel(shared, &id);
        }
        std::thread::sleep(SUBMIT_INTERVAL);
    }
}

fn cancel(shared: &Shared, id: &str) {
    lock(&shared.history).cancel_requested(id);
    let target = format!("/submissions/{id}/abort");
    if let Some((body, now)) = call_any(shared, "POST", &target, &[]) {
        lock(&shared.history).answered(id, phase_of(&body), now);
    }
}

fn query_jobs(shared: &Shared) {
    while !shared.is_over() {
        let open = lock(&shared.history).open_job_names();
        for id in open {
            if shared.is_over() {
                return;
            }
            let target = format!("/submissions/{id}");
            let node = fastrand::usize(..shared.controllers.len());
            match call(
                shared.controllers[node],
                "GET",
                &target,
                &[],
                REQUEST_TIMEOUT,
            ) {
                Ok((200, body)) => {
                    lock(&shared.history).answered(&id, phase_of(&body), shared.now_ms());
                }
                Ok((404, _)) => lock(&shared.history).answered(&id, None, shared.now_ms()),
                _ => lock(&shared.history).refused(),
            }
            std::thread::sleep(QUERY_INTERVAL);
        }
        std::thread::sleep(QUERY_INTERVAL);
    }
}

fn phase_of(body: &[u8]) -> Option<Phase> {
    wire::decode::<JobStatus>(body)
        .ok()
        .map(|status| status.phase)
}

/// Sends a request to one controller after the other until one accepts it. Returns its answer and when it arrived.
fn call_any(shared: &Shared, method: &str, target: &str, body: &[u8]) -> Option<(Vec<u8>, u64)> {
    let first = fastrand::usize(..shared.controllers.len());
    for number in 0..ATTEMPTS {
        if shared.is_over() {
            return None;
        }
        let addr = shared.controllers[(first + number) % shared.controllers.len()];
        match call(addr, method, target, body, REQUEST_TIMEOUT) {
            Ok((200 | 201, answer)) => return Some((answer, shared.now_ms())),
            _ => lock(&shared.history).refused(),
        }
        std::thread::sleep(RETRY_INTERVAL);
    }
    None
}

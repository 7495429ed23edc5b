//! Users, who submit jobs, query their status and cancel some of them.

use crate::connections::call;
use crate::{lock, Shared};
use fakes::{array_job, TaskBehaviour};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use wire::users::{JobStatus, Phase};

/// How long a user waits for the response to a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between submissions.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(250);
/// Pause between status queries.
const QUERY_INTERVAL: Duration = Duration::from_millis(60);
/// Users cancel each job whose number is a multiple of this.
const CANCEL_EVERY_NTH_JOB: u64 = 6;
/// Number of attempts after which a user gives up on a request.
const MAX_ATTEMPTS: usize = 60;
/// Pause between attempts.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Behaviour of a task. The run time depends on the number of its job and ranges from 0.5 s to 2.1 s.
pub(crate) fn task_behaviour(task: &str) -> TaskBehaviour {
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

/// Starts one thread that submits and cancels jobs, and another that queries their status.
pub fn start(shared: Arc<Shared>) -> Vec<JoinHandle<()>> {
    let (submitting, querying) = (Arc::clone(&shared), shared);
    vec![
        std::thread::spawn(move || submit_jobs(&submitting)),
        std::thread::spawn(move || query_jobs(&querying)),
    ]
}

fn submit_jobs(shared: &Shared) {
    let mut number = 0;
    while !shared.is_stopping() && lock(&shared.history).accepts_submissions() {
        number += 1;
        let id = format!("run-{number:06}");
        let body = wire::encode(&array_job(&id, 1 + number % 4));
        if let Some((_, now)) = call_until_accepted(shared, "POST", "/submissions", &body) {
            lock(&shared.history).record_accepted(&id, now);
        }
        if number % CANCEL_EVERY_NTH_JOB == 0 {
            cancel_job(shared, &id);
        }
        std::thread::sleep(SUBMIT_INTERVAL);
    }
}

fn cancel_job(shared: &Shared, id: &str) {
    lock(&shared.history).record_cancel_request(id);
    let target = format!("/submissions/{id}/abort");
    if let Some((body, now)) = call_until_accepted(shared, "POST", &target, &[]) {
        lock(&shared.history).record_phase(id, phase_of(&body), now);
    }
}

fn query_jobs(shared: &Shared) {
    while !shared.is_stopping() {
        let open_jobs = lock(&shared.history).open_jobs();
        for id in open_jobs {
            if shared.is_stopping() {
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
                    lock(&shared.history).record_phase(&id, phase_of(&body), shared.now_ms());
                }
                Ok((404, _)) => lock(&shared.history).record_phase(&id, None, shared.now_ms()),
                _ => lock(&shared.history).record_refused(),
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

/// Sends a request to one controller after another until one accepts it. Returns the response body and its arrival
/// time in milliseconds, or `None` after [`MAX_ATTEMPTS`] attempts or once the environment stops.
fn call_until_accepted(
    shared: &Shared,
    method: &str,
    target: &str,
    body: &[u8],
) -> Option<(Vec<u8>, u64)> {
    let first = fastrand::usize(..shared.controllers.len());
    for attempt in 0..MAX_ATTEMPTS {
        if shared.is_stopping() {
            return None;
        }
        let addr = shared.controllers[(first + attempt) % shared.controllers.len()];
        match call(addr, method, target, body, REQUEST_TIMEOUT) {
            Ok((200 | 201, answer)) => return Some((answer, shared.now_ms())),
            _ => lock(&shared.history).record_refused(),
        }
        std::thread::sleep(RETRY_DELAY);
    }
    None
}

//! A leader is cut from the state service and from the other controllers, workers and users still reach it, and a job
//! is cancelled through another controller. The case looks for a launch of the job's task in the answer to a report
//! that the worker sent after the user had been told that the job is cancelled.

use review_standins::site::{Plan, Site};
use review_standins::user::Job;
use review_standins::worker::{Behaviour, Behaviours};
use review_standins::{sleep, trouble};
use std::sync::Arc;

const COULD_NOT_RUN: i32 = 2;
/// How long after the answer to the user the next report is sent at least, in seconds.
const MARGIN_S: f64 = 0.5;
/// Tries, each with a job of its own, until the assignment is recorded in time.
const TRIES: usize = 4;

fn main() {
    let mut site = Site::prepare(Plan::ferries());
    let behaviours: Arc<Behaviours> = Arc::new(|_: &str| Behaviour {
        fetch_s: 0.5,
        run_s: 20.0,
        gang: 1,
    });
    let worker = site.add_machine("vm-000001", 0, false, &behaviours);
    site.start_controllers();
    for number in 1..=TRIES {
        let id = format!("run-{number:06}");
        match attempt(&site, &worker, &id) {
            Some(status) => {
                site.controllers.record_logged(&[
                    "event=elected",
                    "event=stepped_down",
                    "event=place",
                    &id,
                ]);
                site.controllers.finish(status)
            }
            None => sleep(1.0),
        }
    }
    site.controllers.finish(COULD_NOT_RUN);
}

/// One try. `None` if the events did not come in the order that the case needs.
fn attempt(site: &Site, worker: &review_standins::worker::Worker, id: &str) -> Option<i32> {
    let record = &site.record;
    let job = Job {
        id: id.to_string(),
        cohort: "swellrisk-sweep".into(),
        tenant: site.plan.team.into(),
        shape: "array".into(),
        shards: 1,
        cpus: 10.0,
        gpus: 1.0,
        mem_gb: 72.0,
        loaners: true,
        guess_s: 20.0,
        awaits: Vec::new(),
    };
    // The worker is at the leader once it has had two answers in a row from the same controller.
    let is_settled = || worker.mandate() > 0 && site.users.is_ready(worker.contact().2);
    if !site.wait(30.0, is_settled) {
        return None;
    }
    // Wait for a report and its answer: the idle worker's answer is held for some seconds, and then the worker waits
    // for its next report.
    let before = worker.contact().0;
    site.wait(15.0, || worker.contact().0 > before);
    let (sent, _, _) = worker.contact();
    worker.set_next_report(4.3);
    if !site.wait(4.5, || worker.contact().1 > sent) {
        return None;
    }
    let (reported, answered, leader) = worker.contact();
    if reported > sent || answered - sent > 3.7 {
        return None;
    }
    let other = (leader + 1) % site.plan.controllers;
    record.say(format!(
        "the leader is n{leader}; the worker has reported at {sent:.3} and is answered"
    ));
    if !matches!(site.users.submit(other, &job).status, 200 | 201) {
        return None;
    }
    let is_recorded = || {
        site.state
            .under("b/")
            .iter()
            .any(|(_, page)| page.contains(id) && page.contains("vm-000001"))
    };
    if !site.wait(1.0, is_recorded) || worker.contact().0 > sent {
        record.say("the assignment is not recorded before the next report");
        site.users.cancel(other, id);
        return None;
    }
    // The leader hears of its commit.
    sleep(0.05);
    record.say("the assignment of the task is recorded");
    if trouble() {
        site.cut_from_state_and_peers(leader, true);
    }
    let answer = site.users.cancel(other, id);
    let told_at = record.now();
    if answer.status != 200 || answer.phase != "aborted" || worker.contact().0 > sent {
        site.cut_from_state_and_peers(leader, false);
        return None;
    }
    record.say(format!(
        "the user is told at {told_at:.3} that {id} is cancelled"
    ));
    // Everything that the worker is told within the next report interval and some more.
    site.wait(8.0, || false);
    if trouble() {
        site.cut_from_state_and_peers(leader, false);
        site.wait(5.0, || false);
    }
    let launches: Vec<_> = worker
        .launches()
        .into_iter()
        .filter(|l| l.shard.starts_with(id))
        .collect();
    let (reported, _, _) = worker.contact();
    if reported < told_at + MARGIN_S {
        return None;
    }
    let late: Vec<_> = launches
        .iter()
        .filter(|l| l.report_sent_at >= told_at + MARGIN_S)
        .collect();
    for launch in &late {
        record.say(format!(
            "BROKEN: {} was started {:.3} s after its user was told that it is cancelled, in the answer to a report sent {:.3} s after",
            launch.shard,
            launch.at - told_at,
            launch.report_sent_at - told_at
        ));
    }
    if late.is_empty() {
        record.say(format!(
            "held: no task of {id} was started after its user was told"
        ));
    }
    Some(i32::from(!late.is_empty()))
}

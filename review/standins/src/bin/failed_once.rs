//! The only machine runs a long task and has room. It fails every task that it starts, for some seconds, and a job fails
//! on it once. The cloud has further machines. The case looks whether the job is started again within 90 s after the
//! machine is sound again.

use review_standins::site::{Plan, Site};
use review_standins::user::Job;
use review_standins::worker::{Behaviour, Behaviours};
use review_standins::{sleep, trouble};
use std::sync::Arc;

const COULD_NOT_RUN: i32 = 2;
/// The bound of the rule, in seconds.
const BOUND_S: f64 = 90.0;
/// How long the machine fails at most, in seconds.
const FAILING_S: f64 = 20.0;
/// Machines that the cloud would rent out.
const OFFERED: u64 = 20;
/// Its task runs all the time and takes half of the machine.
const LONG: &str = "run-000001";
const JOB: &str = "run-000002";

fn main() {
    let mut site = Site::prepare(Plan::ferries());
    let behaviours: Arc<Behaviours> = Arc::new(|job: &str| match job {
        LONG => Behaviour {
            fetch_s: 0.5,
            run_s: 600.0,
            gang: 1,
        },
        _ => Behaviour {
            fetch_s: 0.5,
            run_s: 10.0,
            gang: 1,
        },
    });
    site.start_controllers();
    let status = run(&site, &behaviours);
    site.controllers
        .record_logged(&["event=elected", "event=place", "event=task_ended", JOB]);
    site.controllers.finish(status);
}

fn job(site: &Site, id: &str, guess_s: f64) -> Job {
    Job {
        id: id.into(),
        cohort: "swellrisk-sweep".into(),
        tenant: site.plan.team.into(),
        shape: "array".into(),
        shards: 1,
        cpus: 10.0,
        gpus: 1.0,
        mem_gb: 72.0,
        loaners: true,
        guess_s,
        awaits: Vec::new(),
    }
}

fn run(site: &Site, behaviours: &Arc<Behaviours>) -> i32 {
    let record = &site.record;
    let worker = site.add_machine("vm-000001", 0, false, behaviours);
    if !site.wait(20.0, || worker.mandate() > 0) {
        return COULD_NOT_RUN;
    }
    if !site.users.submit_until_accepted(0, &job(site, LONG, 600.0)) {
        return COULD_NOT_RUN;
    }
    let is_long_running = || worker.live() == [format!("{LONG}/0")];
    if !site.wait(15.0, is_long_running) {
        return COULD_NOT_RUN;
    }
    site.offer_machines(OFFERED, behaviours);
    if trouble() {
        worker.set_failing(true);
    }
    if !site.users.submit_until_accepted(0, &job(site, JOB, 10.0)) {
        return COULD_NOT_RUN;
    }
    let starts = || {
        let workers = review_standins::lock(&site.workers);
        let launches = workers.values().flat_map(|worker| worker.launches());
        launches
            .filter(|launch| launch.shard.starts_with(JOB))
            .count()
    };
    if trouble() {
        if !site.wait(FAILING_S, || starts() > 0) {
            return COULD_NOT_RUN;
        }
        sleep(2.0);
        worker.set_failing(false);
    }
    let (since, before) = (record.now(), if trouble() { starts() } else { 0 });
    record.say(format!(
        "the troubles are over; {JOB} has been started {before} times"
    ));
    let mut next_question = since;
    let mut had_room = true;
    while record.now() < since + BOUND_S + 1.0 && starts() == before {
        had_room &= is_long_running();
        if record.now() >= next_question {
            site.users.ask(0, JOB);
            next_question += 5.0;
            let (sent, answered, node) = worker.contact();
            let live = worker.live();
            record.say(format!(
                "vm-000001 runs {live:?}, last report {sent:.3}, answered {answered:.3} by n{node}"
            ));
        }
        sleep(0.05);
    }
    let waited = record.now() - since;
    if starts() > before {
        record.say(format!("held: {JOB} was started after {waited:.1} s"));
        return 0;
    }
    if !had_room {
        record.say("no verdict: the machine did not have room all the time");
        return COULD_NOT_RUN;
    }
    record.say(format!(
        "BROKEN: {JOB} has waited for {waited:.1} s, while vm-000001 was sound and had room for it; of {OFFERED} further \
         machines on offer the service has asked for {}",
        site.cloud.rentals()
    ));
    1
}

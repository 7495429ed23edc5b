//! Of four machines three are full, and one has room. This one fails every task that it starts, for some seconds, and a
//! job fails on it once. The case looks whether the job is started within 90 s after the machine is sound again.

use review_standins::site::{Plan, Site};
use review_standins::user::Job;
use review_standins::worker::{Behaviour, Behaviours, Worker};
use review_standins::{sleep, trouble};
use std::sync::Arc;

const COULD_NOT_RUN: i32 = 2;
/// The bound of the rule, in seconds.
const BOUND_S: f64 = 90.0;
/// How long the machines fail at most, in seconds.
const FAILING_S: f64 = 20.0;
const MACHINES: usize = 4;
/// Its three tasks fill three machines all the time.
const FULL: &str = "run-000001";
/// Its task takes half of the fourth machine all the time.
const HALF: &str = "run-000002";
const JOB: &str = "run-000003";

fn main() {
    let mut site = Site::prepare(Plan::ferries());
    let behaviours: Arc<Behaviours> = Arc::new(|job: &str| match job {
        FULL | HALF => Behaviour {
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

fn job(
    site: &Site,
    id: &str,
    shards: u64,
    (cpus, gpus, mem_gb): (f64, f64, f64),
    guess_s: f64,
) -> Job {
    Job {
        id: id.into(),
        cohort: "swellrisk-sweep".into(),
        tenant: site.plan.team.into(),
        shape: "array".into(),
        shards,
        cpus,
        gpus,
        mem_gb,
        loaners: true,
        guess_s,
        awaits: Vec::new(),
    }
}

/// Number of this job's tasks that are on a machine.
fn tasks_of(worker: &Worker, id: &str) -> usize {
    worker
        .live()
        .iter()
        .filter(|task| task.starts_with(id))
        .count()
}

fn launches(workers: &[Arc<Worker>]) -> usize {
    let all = workers.iter().flat_map(|worker| worker.launches());
    all.filter(|launch| launch.shard.starts_with(JOB)).count()
}

fn run(site: &Site, behaviours: &Arc<Behaviours>) -> i32 {
    let record = &site.record;
    let machine = |n: usize| site.add_machine(&format!("vm-{n:06}"), n % 2, false, behaviours);
    let workers: Vec<Arc<Worker>> = (1..=MACHINES).map(machine).collect();
    if !site.wait(20.0, || workers.iter().all(|worker| worker.mandate() > 0)) {
        return COULD_NOT_RUN;
    }
    for (id, tasks, needs) in [(FULL, 3, (20.0, 2.0, 140.0)), (HALF, 1, (10.0, 1.0, 140.0))] {
        if !site
            .users
            .submit_until_accepted(0, &job(site, id, tasks, needs, 600.0))
        {
            return COULD_NOT_RUN;
        }
        if !site.wait(15.0, || {
            workers
                .iter()
                .map(|worker| tasks_of(worker, id))
                .sum::<usize>()
                == tasks as usize
        }) {
            return COULD_NOT_RUN;
        }
    }
    let Some(with_room) = workers.iter().find(|worker| tasks_of(worker, HALF) == 1) else {
        return COULD_NOT_RUN;
    };
    let host = &with_room.host;
    record.say(format!("the machine with room for one more task is {host}"));
    if trouble() {
        with_room.set_failing(true);
    }
    if !site
        .users
        .submit_until_accepted(0, &job(site, JOB, 1, (10.0, 1.0, 40.0), 10.0))
    {
        return COULD_NOT_RUN;
    }
    if trouble() {
        if !site.wait(FAILING_S, || launches(&workers) > 0) {
            return COULD_NOT_RUN;
        }
        sleep(2.0);
        with_room.set_failing(false);
    }
    let (since, before) = (record.now(), if trouble() { launches(&workers) } else { 0 });
    record.say(format!(
        "the troubles are over; {JOB} has been started {before} times"
    ));
    let mut next_question = since;
    let mut had_room = true;
    while record.now() < since + BOUND_S + 1.0 && launches(&workers) == before {
        had_room &= tasks_of(with_room, HALF) == 1 && with_room.live().len() == 1;
        if record.now() >= next_question {
            site.users.ask(0, JOB);
            next_question += 5.0;
            let (sent, answered, node) = with_room.contact();
            let live = with_room.live();
            record.say(format!(
                "{host} runs {live:?}, last report {sent:.3}, answered {answered:.3} by n{node}"
            ));
        }
        sleep(0.05);
    }
    let waited = record.now() - since;
    if launches(&workers) > before {
        record.say(format!("held: {JOB} was started after {waited:.1} s"));
        return 0;
    }
    if !had_room {
        record.say("no verdict: the machine did not have room all the time");
        return COULD_NOT_RUN;
    }
    record.say(format!(
        "BROKEN: {JOB} has waited for {waited:.1} s, while {host} was sound and had room for it"
    ));
    1
}

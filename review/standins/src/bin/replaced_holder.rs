//! The leader stands still for some seconds while it gives idle machines back. Another controller takes the lead and
//! puts work on the machines. The case looks for a machine that the former leader gives back after it goes on.

use review_standins::site::{Plan, Site};
use review_standins::user::Job;
use review_standins::worker::{Behaviour, Behaviours, Worker};
use review_standins::{lock, sleep, trouble};
use std::sync::Arc;

const COULD_NOT_RUN: i32 = 2;
const MACHINES: usize = 30;
/// Seconds between the machines' first reports.
const SPACING_S: f64 = 0.45;

fn main() {
    let mut site = Site::prepare(Plan::hut_grid());
    let behaviours: Arc<Behaviours> = Arc::new(|_: &str| Behaviour {
        fetch_s: 0.3,
        run_s: 100.0,
        gang: 1,
    });
    site.start_controllers();
    let status = run(&site, &behaviours);
    let words = [
        "event=elected",
        "event=stepped_down",
        "event=process_stalled",
        "event=return_machine",
    ];
    site.controllers.record_logged(&words);
    site.controllers.finish(status);
}

/// The machines that a controller has decided to give back, from its log.
fn decided(site: &Site, node: usize) -> Vec<String> {
    let log = site.controllers.logged(node);
    let lines = log
        .lines()
        .filter(|line| line.contains("event=return_machine"));
    let names = lines.filter_map(|line| line.split("machine=").nth(1)?.split(' ').next());
    names.map(str::to_string).collect()
}

fn is_returned(site: &Site, host: &str) -> bool {
    site.cloud
        .returns()
        .iter()
        .any(|returned| returned.hosts.iter().any(|name| name == host))
}

fn run(site: &Site, behaviours: &Arc<Behaviours>) -> i32 {
    let record = &site.record;
    let workers: Vec<Arc<Worker>> = (1..=6).map(|n| add(site, n, behaviours)).collect();
    if !site.wait(20.0, || workers.iter().all(|worker| worker.mandate() > 0)) {
        return COULD_NOT_RUN;
    }
    let leader = workers[0].contact().2;
    record.say(format!(
        "the leader is n{leader}, mandate {}",
        workers[0].mandate()
    ));
    // Machines come up one after another, and with no work the leader gives them back.
    let mut held = None;
    for number in 7..=MACHINES {
        add(site, number, behaviours);
        let until = record.now() + SPACING_S;
        while record.now() < until && held.is_none() {
            held = hold_leader(site, leader);
            sleep(0.002);
        }
        if held.is_some() {
            break;
        }
    }
    if trouble() && held.is_none() {
        record.say("no return was waiting in the leader");
        return COULD_NOT_RUN;
    }
    let stopped_at = record.now();
    let other = (leader + 1) % site.plan.controllers;
    let left = lock(&site.workers)
        .keys()
        .filter(|host| !is_returned(site, host))
        .count();
    let job = Job {
        id: "run-000001".into(),
        cohort: "bunkscore-sweep".into(),
        tenant: site.plan.team.into(),
        shape: "array".into(),
        shards: left as u64,
        cpus: 24.0,
        gpus: 4.0,
        mem_gb: 192.0,
        loaners: false,
        guess_s: 100.0,
        awaits: Vec::new(),
    };
    if !site.users.submit_until_accepted(other, &job) {
        return COULD_NOT_RUN;
    }
    let is_running = |host: &String| {
        lock(&site.workers)
            .get(host)
            .is_some_and(|worker| !worker.live().is_empty())
    };
    if let Some(hosts) = &held {
        // The next leader uses the machines.
        if !site.wait(25.0, || hosts.iter().any(is_running)) {
            record.say("the machines were not used by the next leader");
            return COULD_NOT_RUN;
        }
        let used: Vec<&String> = hosts.iter().filter(|host| is_running(host)).collect();
        record.say(format!("the next leader runs work on {used:?}"));
        sleep(1.0);
        let stood = record.now() - stopped_at;
        record.say(format!("n{leader} stood still for {stood:.1} s"));
        site.controllers.signal(leader, "CONT");
    } else {
        sleep(12.0);
    }
    sleep(6.0);
    verdict(site)
}

fn add(site: &Site, number: usize, behaviours: &Arc<Behaviours>) -> Arc<Worker> {
    site.add_machine(&format!("vm-{number:06}"), number % 3, false, behaviours)
}

/// Stops the leader if it has decided to give machines back and the cloud has not been asked yet. Returns the machines.
fn hold_leader(site: &Site, leader: usize) -> Option<Vec<String>> {
    if !trouble() {
        return None;
    }
    let waiting = || -> Vec<String> {
        decided(site, leader)
            .into_iter()
            .filter(|host| !is_returned(site, host))
            .collect()
    };
    if waiting().is_empty() {
        return None;
    }
    // A request that is not held back by the rate arrives within a few milliseconds.
    sleep(0.02);
    if waiting().is_empty() {
        return None;
    }
    site.controllers.signal(leader, "STOP");
    sleep(0.5);
    let hosts = waiting();
    if hosts.is_empty() {
        site.controllers.signal(leader, "CONT");
        return None;
    }
    site.record.say(format!(
        "the leader stands still; it has not yet asked the cloud to take back {hosts:?}"
    ));
    Some(hosts)
}

/// Looks for requests of a controller after a worker had seen the token of a later leader.
fn verdict(site: &Site) -> i32 {
    let record = &site.record;
    let workers = lock(&site.workers);
    let mut broken = false;
    for returned in site.cloud.returns() {
        let taken_over = workers.values().flat_map(|worker| worker.mandates());
        let later = taken_over
            .filter(|seen| seen.node != returned.node && seen.at < returned.at)
            .min_by(|a, b| b.mandate.cmp(&a.mandate).then(a.at.total_cmp(&b.at)));
        let own = workers.values().flat_map(|worker| worker.mandates());
        let own = own
            .filter(|seen| seen.node == returned.node && seen.at < returned.at)
            .map(|s| s.mandate)
            .max();
        let Some(later) = later.filter(|later| own.is_some_and(|own| own < later.mandate)) else {
            continue;
        };
        broken = true;
        record.say(format!(
            "BROKEN: n{} gave {:?} back {:.3} s after n{} had led under mandate {} (its own was {})",
            returned.node,
            returned.hosts,
            returned.at - later.at,
            later.node,
            later.mandate,
            own.unwrap_or(0)
        ));
    }
    if !broken {
        record.say("held: no controller gave a machine back after another had taken the lead");
    }
    i32::from(broken)
}

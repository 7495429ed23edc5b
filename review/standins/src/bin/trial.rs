//! A trial, not a case: users, workers and drawn troubles for a minute, then some quiet. The rules are checked as far as
//! users and machines can see. `SEED` draws everything but the timing of processes.

use review_standins::site::{Plan, Site};
use review_standins::user::{Answer, Job, Users};
use review_standins::worker::{Behaviour, Behaviours};
use review_standins::{lock, sleep};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

const TROUBLES_FROM_S: f64 = 6.0;
const TROUBLES_END_S: f64 = 66.0;
const SUBMISSIONS_END_S: f64 = 68.0;
const END_S: f64 = 111.0;
const CANCEL_S: f64 = 37.0;

struct Random(u64);

impl Random {
    fn draw(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
    fn below(&mut self, n: usize) -> usize {
        (self.draw() * n as f64) as usize
    }
    fn between(&mut self, a: f64, b: f64) -> f64 {
        a + (b - a) * self.draw()
    }
}

struct Known {
    job: Job,
    accepted_at: Option<f64>,
    asked_to_cancel: bool,
    cancelled_at: Option<f64>,
    final_phase: Option<(String, f64)>,
    answered_at: f64,
}

#[derive(Default)]
struct Ledger {
    jobs: BTreeMap<String, Known>,
    on: BTreeMap<String, BTreeSet<String>>,
    done: BTreeSet<String>,
    broken: Vec<String>,
}

impl Ledger {
    fn is_complete(&self, id: &str) -> bool {
        let Some(known) = self.jobs.get(id) else {
            return false;
        };
        let done = |n: u64| self.done.contains(&format!("{id}/{n}"));
        if known.job.shape == "group" {
            (0..known.job.shards).any(done)
        } else {
            (0..known.job.shards).all(done)
        }
    }
    fn ancestors_asked_to_cancel(&self, id: &str) -> bool {
        let Some(known) = self.jobs.get(id) else {
            return false;
        };
        known.asked_to_cancel
            || known
                .job
                .awaits
                .iter()
                .any(|up| self.ancestors_asked_to_cancel(up))
    }
    fn ancestor_cancelled_at(&self, id: &str) -> Option<f64> {
        let known = self.jobs.get(id)?;
        let ups = known
            .job
            .awaits
            .iter()
            .filter_map(|up| self.ancestor_cancelled_at(up));
        ups.chain(known.cancelled_at).min_by(f64::total_cmp)
    }
    fn used(&self, team: &str) -> f64 {
        let tasks = self.on.iter().filter(|(_, hosts)| !hosts.is_empty());
        tasks
            .filter_map(|(shard, hosts)| {
                let known = self.jobs.get(shard.split('/').next()?)?;
                (known.job.tenant == team).then_some(known.job.gpus * hosts.len() as f64)
            })
            .sum()
    }
}

fn main() {
    let seed: u64 = std::env::var("SEED")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(1);
    let mut random = Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    for _ in 0..10 {
        random.draw();
    }
    // With `THRIFT` set idle machines are given back, and the cloud has more.
    let is_thrifty = std::env::var("THRIFT").is_ok();
    let mut plan = match is_thrifty {
        true => Plan::hut_grid(),
        false => Plan::hut_grid_with_guarantee(),
    };
    plan.teams = vec![("weather-unit", 16.0, 30.0), ("permits-office", 8.0, 14.0)];
    let mut site = Site::prepare(plan);
    let ledger: Arc<Mutex<Ledger>> = Arc::default();
    let known = Arc::clone(&ledger);
    let behaviours: Arc<Behaviours> = Arc::new(move |job: &str| {
        let number: u64 = job.trim_start_matches("run-").parse().unwrap_or(0);
        let gang = lock(&known)
            .jobs
            .get(job)
            .filter(|k| k.job.shape == "group")
            .map_or(1, |k| k.job.shards);
        let long = if number.is_multiple_of(9) { 14.0 } else { 1.0 };
        Behaviour {
            fetch_s: 0.2 + 0.3 * (number % 4) as f64,
            run_s: long + 0.7 * (number % 7) as f64,
            gang: gang as usize,
        }
    });
    let record = site.record.clone();
    record.say(format!("seed {seed}"));
    watch(&site, &ledger);
    for n in 1..=if is_thrifty { 3 } else { 14 } {
        let worker = site.add_machine(&format!("vm-{n:06}"), n % 3, n % 4 == 0, &behaviours);
        if seed.is_multiple_of(2) {
            worker.copy_reports(0.1);
        }
    }
    if is_thrifty {
        site.offer_machines(60, &behaviours);
    }
    site.start_controllers();
    let users = site.users.clone();
    for thread in 0..2 {
        let (users, ledger) = (users.clone(), Arc::clone(&ledger));
        let random = Random(seed.wrapping_add(thread * 77) | 1);
        std::thread::spawn(move || submit(&users, &ledger, random, thread));
    }
    for thread in 0..3 {
        let (users, ledger) = (users.clone(), Arc::clone(&ledger));
        let random = Random(seed.wrapping_add(1_000 + thread) | 1);
        std::thread::spawn(move || ask(&users, &ledger, random, thread));
    }
    sleep(TROUBLES_FROM_S - record.now());
    trouble(&mut site, &mut random, seed);
    record.say("the troubles are over");
    sleep(END_S - record.now());
    finish(&site, &ledger);
}

fn watch(site: &Site, ledger: &Arc<Mutex<Ledger>>) {
    let (ledger, record) = (Arc::clone(ledger), site.record.clone());
    let limits: BTreeMap<String, f64> = site
        .plan
        .teams
        .iter()
        .map(|(n, _, max)| (n.to_string(), *max))
        .collect();
    site.gangs.watch(Arc::new(
        move |host: &str, shard: &str, _attempt: u64, is_on: bool, why: &str| {
            let now = record.now();
            let mut ledger = lock(&ledger);
            let id = shard.split('/').next().unwrap_or_default().to_string();
            let mut broken = Vec::new();
            if !is_on {
                ledger.on.entry(shard.to_string()).or_default().remove(host);
                if why == "done" {
                    ledger.done.insert(shard.to_string());
                }
                let cancelled = ledger.ancestor_cancelled_at(&id);
                if cancelled.is_some_and(|at| now > at + CANCEL_S + 0.1) {
                    broken.push(format!(
                        "ran_cancelled {shard} on {host} until {now:.3}, cancelled {cancelled:?}"
                    ));
                }
            } else {
                let others: Vec<String> = ledger
                    .on
                    .get(shard)
                    .into_iter()
                    .flatten()
                    .filter(|h| *h != host)
                    .cloned()
                    .collect();
                if !others.is_empty() {
                    broken.push(format!(
                        "ran_twice {shard} starts on {host} while on {others:?}"
                    ));
                }
                ledger
                    .on
                    .entry(shard.to_string())
                    .or_default()
                    .insert(host.to_string());
                let needs = ledger
                    .jobs
                    .get(&id)
                    .map(|k| k.job.awaits.clone())
                    .unwrap_or_default();
                for up in needs {
                    if !ledger.is_complete(&up) {
                        broken.push(format!("too_early {shard} before {up}"));
                    }
                }
                if let Some(known) = ledger.jobs.get(&id) {
                    let team = known.job.tenant.clone();
                    let used = ledger.used(&team);
                    if used > limits[&team] + 1e-6 {
                        broken.push(format!("quota {team} uses {used}"));
                    }
                }
                let cancelled = ledger.ancestor_cancelled_at(&id);
                if cancelled.is_some_and(|at| now > at + CANCEL_S) {
                    broken.push(format!(
                        "ran_cancelled {shard} starts, cancelled {cancelled:?}"
                    ));
                }
            }
            for line in broken {
                record.say(format!("BROKEN: {line}"));
                ledger.broken.push(line);
            }
        },
    ));
}

fn submit(users: &Users, ledger: &Mutex<Ledger>, mut random: Random, thread: u64) {
    let record = &users.record;
    let mut number = thread;
    while record.now() < SUBMISSIONS_END_S {
        number += 2;
        let id = format!("run-{number:06}");
        let recent: Vec<String> = {
            let ledger = lock(ledger);
            let accepted = ledger.jobs.iter().filter(|(_, k)| k.accepted_at.is_some());
            accepted.map(|(id, _)| id.clone()).rev().take(8).collect()
        };
        let mut awaits = Vec::new();
        if random.draw() < 0.3 && !recent.is_empty() {
            for _ in 0..1 + random.below(2) {
                awaits.push(recent[random.below(recent.len())].clone());
            }
            awaits.sort();
            awaits.dedup();
        }
        let is_gang = random.draw() < 0.3;
        let team = if random.draw() < 0.6 {
            "weather-unit"
        } else {
            "permits-office"
        };
        let job = Job {
            id: id.clone(),
            cohort: if is_gang {
                "ridgecast-train".into()
            } else {
                "bunkscore-sweep".into()
            },
            tenant: team.into(),
            shape: if is_gang {
                "group".into()
            } else {
                "array".into()
            },
            shards: 1 + random.below(if is_gang { 3 } else { 5 }) as u64,
            cpus: 6.0,
            gpus: if random.draw() < 0.3 { 2.0 } else { 1.0 },
            mem_gb: 48.0,
            loaners: random.draw() < 0.5,
            guess_s: 3.0,
            awaits,
        };
        lock(ledger).jobs.insert(
            id.clone(),
            Known {
                job: job.clone(),
                accepted_at: None,
                asked_to_cancel: false,
                cancelled_at: None,
                final_phase: None,
                answered_at: record.now(),
            },
        );
        let until = record.now() + 30.0;
        let mut is_accepted = false;
        while record.now() < until.min(END_S - 20.0) && !is_accepted {
            let sent = record.now();
            let node = random.below(users.controllers.len());
            let answer = users.submit(node, &job);
            is_accepted = matches!(answer.status, 200 | 201);
            if matches!(answer.status, 400 | 422 | 404) {
                note(
                    ledger,
                    users,
                    format!("submission of {id} got {}", answer.status),
                );
            }
            observe(ledger, users, &id, node, sent, &answer);
            if !is_accepted {
                sleep(0.5);
            }
        }
        if is_accepted {
            lock(ledger).jobs.get_mut(&id).expect("known").accepted_at = Some(record.now());
            if random.draw() < 0.2 {
                close_look(users, ledger, &id);
            }
            if random.draw() < 0.25 {
                let wait = if random.draw() < 0.3 {
                    0.0
                } else {
                    random.between(0.2, 6.0)
                };
                sleep(wait);
                cancel(users, ledger, &id, &mut random);
            }
        }
        sleep(random.between(0.2, 0.9));
    }
}

fn cancel(users: &Users, ledger: &Mutex<Ledger>, id: &str, random: &mut Random) {
    lock(ledger)
        .jobs
        .get_mut(id)
        .expect("known")
        .asked_to_cancel = true;
    for _ in 0..60 {
        let sent = users.record.now();
        let node = random.below(users.controllers.len());
        let answer = users.cancel(node, id);
        if answer.status == 200 {
            if answer.phase == "aborted" {
                let at = users.record.now();
                lock(ledger)
                    .jobs
                    .get_mut(id)
                    .expect("known")
                    .cancelled_at
                    .get_or_insert(at);
            }
            observe(ledger, users, id, node, sent, &answer);
            close_look(users, ledger, id);
            return;
        }
        if answer.status == 404 {
            observe(ledger, users, id, node, sent, &answer);
        }
        sleep(0.5);
    }
}

/// Asks at all nodes at once.
fn close_look(users: &Users, ledger: &Mutex<Ledger>, id: &str) {
    std::thread::scope(|scope| {
        for node in 0..users.controllers.len() {
            scope.spawn(move || {
                for _ in 0..2 {
                    let sent = users.record.now();
                    let answer = users.ask(node, id);
                    observe(ledger, users, id, node, sent, &answer);
                }
            });
        }
    });
}

fn note(ledger: &Mutex<Ledger>, users: &Users, line: String) {
    users.record.say(format!("BROKEN: {line}"));
    lock(ledger).broken.push(line);
}

fn observe(
    ledger: &Mutex<Ledger>,
    users: &Users,
    id: &str,
    node: usize,
    sent: f64,
    answer: &Answer,
) {
    let now = users.record.now();
    let mut broken = Vec::new();
    {
        let mut ledger = lock(ledger);
        let is_complete = ledger.is_complete(id);
        let may_be_aborted = ledger.ancestors_asked_to_cancel(id);
        let cancelled = ledger.ancestor_cancelled_at(id);
        let Some(known) = ledger.jobs.get_mut(id) else {
            return;
        };
        if answer.status == 404 && known.accepted_at.is_some_and(|at| sent > at) {
            broken.push(format!("forgotten {id}: 404 at n{node}"));
        }
        if !matches!(answer.status, 200 | 201) {
            return drop(broken);
        }
        known.answered_at = now;
        let phase = answer.phase.as_str();
        if let Some((earlier, at)) = &known.final_phase {
            if sent > *at && earlier != phase {
                broken.push(format!("went_back {id}: {phase} at n{node} asked {sent:.3}, but {earlier} was told at {at:.3}"));
            }
        }
        if phase == "done" && !is_complete {
            broken.push(format!("not_done {id} is called done"));
        }
        if phase == "aborted" && !may_be_aborted {
            broken.push(format!("went_back {id} is called cancelled"));
        }
        if (phase == "queued" || phase == "running")
            && cancelled.is_some_and(|at| sent > at + CANCEL_S)
        {
            broken.push(format!("orphaned {id} is {phase}, cancelled {cancelled:?}"));
        }
        if matches!(phase, "done" | "aborted") && known.final_phase.is_none() {
            known.final_phase = Some((phase.to_string(), now));
        }
    }
    for line in broken {
        note(ledger, users, line);
    }
}

fn ask(users: &Users, ledger: &Mutex<Ledger>, mut random: Random, thread: u64) {
    let quiet = Users {
        record: users.record.clone(),
        controllers: users.controllers.clone(),
    };
    let mut turn = thread as usize;
    loop {
        let ids: Vec<String> = {
            let ledger = lock(ledger);
            let asked = ledger.jobs.iter().filter(|(_, k)| k.accepted_at.is_some());
            let open = asked.filter(|(_, k)| k.final_phase.is_none() || turn.is_multiple_of(5));
            open.map(|(id, _)| id.clone()).collect()
        };
        turn += 3;
        for id in ids {
            let node = random.below(quiet.controllers.len());
            let sent = quiet.record.now();
            let answer = quiet.ask(node, &id);
            let was_final = lock(ledger).jobs[&id].final_phase.is_some();
            observe(ledger, &quiet, &id, node, sent, &answer);
            if !was_final && matches!(answer.phase.as_str(), "done" | "aborted") {
                close_look(&quiet, ledger, &id);
            }
            sleep(random.between(0.02, 0.12));
        }
        sleep(0.2);
    }
}

fn trouble(site: &mut Site, random: &mut Random, seed: u64) {
    let nodes = site.plan.controllers;
    // Ends of troubles: when, and what ends.
    let mut ends: Vec<(f64, usize, &'static str)> = Vec::new();
    let (late, lost) = (
        if seed.is_multiple_of(3) { 0.04 } else { 0.0 },
        if seed % 3 == 1 { 0.04 } else { 0.0 },
    );
    site.state.set_faults(|f| (f.late, f.lost) = (late, lost));
    let mut vanished = 0;
    let mut next = site.record.now();
    loop {
        let now = site.record.now();
        let is_over = now >= TROUBLES_END_S;
        let due: Vec<_> = ends
            .iter()
            .filter(|(at, _, _)| is_over || *at <= now)
            .cloned()
            .collect();
        ends.retain(|(at, _, _)| !is_over && *at > now);
        for (_, node, what) in due {
            site.record.say(format!("trouble {what} n{node} ends"));
            match what {
                "stop" => site.controllers.signal(node, "CONT"),
                "kill" => site.start_controller(node),
                "term" => {
                    site.controllers.kill(node);
                    site.start_controller(node);
                }
                "failing" => lock(&site.workers)
                    .values()
                    .for_each(|worker| worker.set_failing(false)),
                "isolated" => site.cut_from_state_and_peers(node, false),
                "state" => site.cut_from_state(node, false),
                "links" => site.cut_links(node, false),
                "refused" => site.state.set_faults(|f| f.refused.retain(|n| *n != node)),
                "outage" => site.state.set_faults(|f| f.outage = false),
                "slow" => site.state.set_faults(|f| f.slow_s = 0.0),
                _ => {}
            }
        }
        if is_over {
            break;
        }
        if now >= next {
            next = now + random.between(0.5, 6.0);
            let node = random.below(nodes);
            let lasts = match random.below(3) {
                0 => random.between(0.3, 2.5),
                1 => random.between(2.5, 9.0),
                _ => random.between(9.0, 30.0),
            };
            let kinds = [
                "stop", "kill", "isolated", "state", "links", "refused", "outage", "slow",
                "machines", "term", "failing",
            ];
            let kind = kinds[random.below(kinds.len())];
            let is_busy = ends.iter().any(|(_, n, k)| {
                *n == node
                    && (*k == kind
                        || *k == "stop"
                        || *k == "kill"
                        || *k == "term"
                        || *k == "isolated")
            });
            if is_busy && kind != "machines" {
                continue;
            }
            site.record
                .say(format!("trouble {kind} n{node} for {lasts:.1} s"));
            match kind {
                "stop" => site.controllers.signal(node, "STOP"),
                "kill" => site.controllers.kill(node),
                "term" => site.controllers.signal(node, "TERM"),
                "failing" => {
                    let workers: Vec<_> = lock(&site.workers).values().cloned().collect();
                    for _ in 0..1 + random.below(3) {
                        workers[random.below(workers.len())].set_failing(true);
                    }
                }
                "isolated" => site.cut_from_state_and_peers(node, true),
                "state" => site.cut_from_state(node, true),
                "links" => site.cut_links(node, true),
                "refused" => site.state.set_faults(|f| f.refused.push(node)),
                "outage" => site.state.set_faults(|f| f.outage = true),
                "slow" => site.state.set_faults(|f| f.slow_s = 0.8),
                _ => {
                    let workers: Vec<_> = lock(&site.workers).values().cloned().collect();
                    for _ in 0..1 + random.below(4) {
                        let worker = &workers[random.below(workers.len())];
                        match random.below(7) {
                            0 | 1 => worker.isolate(lasts),
                            2 | 3 => worker.deafen(lasts),
                            4 | 5 => worker.hang(lasts),
                            _ if vanished < 4 => {
                                vanished += 1;
                                worker.vanish();
                                site.cloud.fail(&worker.host);
                            }
                            _ => {}
                        }
                    }
                    continue;
                }
            }
            let lasts = if kind == "kill" || kind == "term" {
                lasts.min(6.0)
            } else {
                lasts
            };
            ends.push((now + lasts, node, kind));
        }
        sleep(0.02);
    }
    site.state
        .set_faults(|f| (f.late, f.lost, f.slow_s) = (0.0, 0.0, 0.0));
}

fn finish(site: &Site, ledger: &Mutex<Ledger>) -> ! {
    let record = &site.record;
    let launches: Vec<_> = {
        let workers = lock(&site.workers);
        workers
            .values()
            .flat_map(|worker| worker.launches())
            .collect()
    };
    let mut ledger = lock(ledger);
    let mut lines = Vec::new();
    for (id, known) in &ledger.jobs {
        if known.accepted_at.is_some() && known.final_phase.is_none() {
            lines.push(format!(
                "open {id} at the end, last answer at {:.1} awaits {:?}",
                known.answered_at, known.job.awaits
            ));
        }
    }
    for node in 0..site.plan.controllers {
        if site.controllers.has_ended(node) {
            lines.push(format!("n{node} has ended"));
        }
        if site.controllers.logged(node).contains("panicked") {
            lines.push(format!("n{node} panicked"));
        }
    }
    for launch in launches {
        let id = launch.shard.split('/').next().unwrap_or_default();
        let cancelled = ledger.jobs.get(id).and_then(|known| known.cancelled_at);
        if cancelled.is_some_and(|at| launch.report_sent_at > at + 0.5) {
            record.say(format!("late start {launch:?}, cancelled {cancelled:?}"));
        }
    }
    for line in &lines {
        record.say(format!("BROKEN: {line}"));
    }
    ledger.broken.extend(lines);
    let accepted = ledger
        .jobs
        .values()
        .filter(|k| k.accepted_at.is_some())
        .count();
    let cancelled = ledger
        .jobs
        .values()
        .filter(|k| k.cancelled_at.is_some())
        .count();
    record.say(format!(
        "accepted {accepted} cancelled {cancelled} tasks done {} broken {}",
        ledger.done.len(),
        ledger.broken.len()
    ));
    site.controllers.record_logged(&["level=ERROR", "panicked"]);
    let status = i32::from(!ledger.broken.is_empty());
    drop(ledger);
    site.controllers.finish(status)
}

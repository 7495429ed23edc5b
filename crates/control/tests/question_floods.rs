//! Floods of questions: what each answer may cost, and what keeps its share of the state service's rate meanwhile.

mod common;

use common::*;
use fakes::{array_job, World};
use std::collections::{BTreeMap, BTreeSet};
use wire::records::*;
use wire::users::Submission;

/// Milliseconds between two batches of questions.
const BATCH_MS: u64 = 100;
/// Milliseconds for which a user waits for the answer to a question.
const QUESTION_PATIENCE_MS: u64 = 2_000;
/// Milliseconds within which an answer counts as given at once.
const AT_ONCE_MS: u64 = 20;
/// Milliseconds after which a user repeats a submission or cancellation.
const RETRY_MS: u64 = 1_000;

/// A submission or cancellation, repeated until it is answered.
struct Change {
    node: usize,
    target: String,
    body: Vec<u8>,
    began: u64,
    request: Option<u64>,
    again_at: u64,
}

struct Question {
    request: u64,
    id: String,
    sent: u64,
}

/// Users who ask far more often than they should, and some who submit and cancel meanwhile.
struct Flood {
    random: fastrand::Rng,
    /// Ids that are asked about, drawn at random.
    ids: Vec<String>,
    /// Questions a second at each node.
    rate: u64,
    /// Whether every second one is a cancellation instead.
    cancels: bool,
    questions: Vec<Question>,
    changes: Vec<Change>,
    asked: u64,
    answers: BTreeMap<u16, u64>,
    /// Ids about which a question was answered with anything but a refusal.
    answered_ids: BTreeSet<String>,
    late_refusals: u64,
    unanswered: u64,
    slowest_change_ms: u64,
    changes_done: u64,
}

impl Flood {
    fn new(ids: Vec<String>, rate: u64) -> Self {
        Flood {
            random: fastrand::Rng::with_seed(7),
            ids,
            rate,
            cancels: false,
            questions: Vec::new(),
            changes: Vec::new(),
            asked: 0,
            answers: BTreeMap::new(),
            answered_ids: BTreeSet::new(),
            late_refusals: 0,
            unanswered: 0,
            slowest_change_ms: 0,
            changes_done: 0,
        }
    }

    fn count(&self, status: u16) -> u64 {
        self.answers.get(&status).copied().unwrap_or(0)
    }

    fn has_answered_each_of(&self, ids: &[String]) {
        let open = ids.iter().filter(|id| !self.answered_ids.contains(*id));
        assert_eq!(open.count(), 0, "jobs about which no question was answered");
    }

    fn change(&mut self, w: &World, node: usize, target: &str, body: Vec<u8>) {
        self.changes.push(Change {
            node,
            target: target.to_string(),
            body,
            began: w.now,
            request: None,
            again_at: w.now,
        });
    }

    fn submit(&mut self, w: &mut World, node: usize, job: &Submission, run_ms: u64) {
        w.upload_job(job, runs(run_ms));
        self.change(w, node, "/submissions", wire::encode(job));
    }

    fn cancel(&mut self, w: &World, node: usize, id: &str) {
        self.change(w, node, &format!("/submissions/{id}/abort"), Vec::new());
    }

    fn ask_all_nodes(&mut self, w: &mut World) {
        for node in (0..w.node_count())
            .filter(|n| !w.is_down(*n))
            .collect::<Vec<_>>()
        {
            for n in 0..self.rate * BATCH_MS / 1_000 {
                let id = self.ids[self.random.usize(..self.ids.len())].clone();
                let target = format!("/submissions/{id}");
                let request = match self.cancels && n % 2 == 1 {
                    true => w.send_user_request(node, "POST", &format!("{target}/abort"), vec![]),
                    false => w.send_user_request(node, "GET", &target, vec![]),
                };
                let sent = w.now;
                self.asked += 1;
                self.questions.push(Question { request, id, sent });
            }
        }
    }

    fn send_changes(&mut self, w: &mut World) {
        for change in &mut self.changes {
            if change.request.is_none() && w.now >= change.again_at {
                // A load balancer would not offer a node that is down.
                while w.is_down(change.node) {
                    change.node = (change.node + 1) % w.node_count();
                }
                let (target, body) = (&change.target, change.body.clone());
                change.request = Some(w.send_user_request(change.node, "POST", target, body));
                change.again_at = w.now + 5 * RETRY_MS;
            }
        }
    }

    fn read_answers(&mut self, w: &mut World) {
        for q in std::mem::take(&mut self.questions) {
            match w.take_response_time(q.request) {
                Some((at, status)) => {
                    *self.answers.entry(status).or_default() += 1;
                    let refused = !matches!(status, 200 | 404);
                    if !refused {
                        self.answered_ids.insert(q.id);
                    }
                    self.late_refusals += u64::from(refused && at > q.sent + AT_ONCE_MS);
                }
                None if w.now > q.sent + QUESTION_PATIENCE_MS => self.unanswered += 1,
                None => self.questions.push(q),
            }
        }
        for mut change in std::mem::take(&mut self.changes) {
            let answer = change.request.and_then(|r| w.take_response_time(r));
            match answer {
                Some((at, 200 | 201)) => {
                    self.changes_done += 1;
                    self.slowest_change_ms = self.slowest_change_ms.max(at - change.began);
                    continue;
                }
                Some((at, status)) => {
                    assert!(matches!(status, 429 | 503), "{}: {status}", change.target);
                    change.request = None;
                    change.again_at = at + RETRY_MS;
                }
                None if w.now >= change.again_at => change.request = None,
                None => {}
            }
            self.changes.push(change);
        }
    }

    fn play(&mut self, w: &mut World, ms: u64) {
        let until = w.now + ms;
        while w.now < until {
            self.ask_all_nodes(w);
            self.send_changes(w);
            w.run_for(BATCH_MS);
            self.read_answers(w);
        }
    }

    /// Plays on while every second a job is submitted at each node and one is cancelled at the next; each must come
    /// through. The jobs of the first seconds must be done at the end.
    fn play_with_changes(&mut self, w: &mut World, seconds: u64, first: u64) {
        let mut early = Vec::new();
        for s in 0..seconds {
            for node in 0..w.node_count() {
                let n = first + s * 10 + node as u64;
                let (short, long) = (format!("run-{n}1"), format!("run-{n}2"));
                self.submit(w, node, &array_job(&short, 1), 500);
                self.submit(w, node, &array_job(&long, 1), 600_000);
                if s + 10 <= seconds {
                    early.push(short);
                }
                if s >= 3 {
                    let before = format!("run-{}2", n - 30);
                    self.cancel(w, (node + 1) % w.node_count(), &before);
                }
            }
            self.play(w, 1_000);
        }
        let waiting = self.changes.iter().filter(|c| w.now > c.began + 5_000);
        assert_eq!(waiting.count(), 0, "submissions or cancellations starve");
        let open = |id: &&String| {
            w.state_service.read::<JobOutcome>(&final_record_key(id)) != Some(JobOutcome::Done)
        };
        let open: Vec<&String> = early.iter().filter(open).collect();
        assert!(open.is_empty(), "submitted long ago, not done: {open:?}");
    }
}

fn ids(from: u64, count: u64) -> Vec<String> {
    (from..from + count).map(|n| format!("run-{n}")).collect()
}

/// Jobs on record that no machine can take, so that they stay open.
fn record_open_jobs(w: &mut World, ids: &[String]) {
    for id in ids {
        let spec = Submission {
            machine_types: Some(vec!["none".into()]),
            ..array_job(id, 1)
        };
        w.upload_job(&spec, runs(1_000));
        record_open_job(w, spec);
    }
}

/// Questions and changes were counted together, and shared one queue and one rate, which left the leader's records nothing. Of more
/// jobs than fit into the leader's message each node had to read the same ones again and again.
#[test]
fn thousands_of_open_jobs_asked_eight_times_as_often_cost_few_requests_and_starve_nothing() {
    let mut w = world(3, 6, 0.0);
    let open = ids(100_000, 2_400);
    record_open_jobs(&mut w, &open);
    w.run_for(3_000);
    // Each job every 5 s would be 160 questions a second at each node.
    let mut flood = Flood::new(open.clone(), 8 * 160);
    let before = w.state_service.request_counts;
    flood.play_with_changes(&mut w, 16, 500_000);
    let spent = w.state_service.request_counts.since(&before);
    let answered = flood.count(200);
    assert!(
        spent.reads_and_comparisons() * 10 <= answered,
        "{spent:?} for {answered} answers"
    );
    flood.has_answered_each_of(&open);
    assert_eq!(
        w.state_service.throttled_requests, 0,
        "all keep within the rate"
    );
    assert_eq!((flood.unanswered, flood.late_refusals), (0, 0));
    assert!(
        flood.slowest_change_ms < 2_000,
        "{}",
        flood.slowest_change_ms
    );
    clean(&w);
}

/// Each 404 took two readings: some 50 questions a second about ids that nobody has submitted used up the rate, and
/// what was submitted or cancelled waited behind them until it was refused.
#[test]
fn questions_and_cancellations_of_unknown_ids_starve_nothing_and_cost_few_requests() {
    let mut w = world(3, 6, 0.0);
    let mut flood = Flood::new(ids(900_000, 5_000), 400);
    flood.cancels = true;
    let before = w.state_service.request_counts;
    let leader = w.leader();
    flood.play_with_changes(&mut w, 16, 500_000);
    let spent = w.state_service.request_counts.since(&before);
    let answered = flood.count(404);
    assert_eq!(flood.count(200), 0);
    assert!(answered > 2_000, "{:?}", flood.answers);
    assert!(
        spent.reads_and_comparisons() * 5 <= answered,
        "{spent:?} for {answered} answers"
    );
    assert_eq!(w.leader(), leader);
    assert_eq!((flood.unanswered, flood.late_refusals), (0, 0));
    assert!(
        flood.slowest_change_ms < 3_000,
        "{}",
        flood.slowest_change_ms
    );
    clean(&w);
}

/// Questions about 600 open jobs and as many ids that no job has, 400 a second at each node.
fn mixed_flood(w: &mut World) -> (Vec<String>, Flood) {
    let open = ids(100_000, 600);
    record_open_jobs(w, &open);
    w.run_for(2_000);
    let flood = Flood::new([open.clone(), ids(900_000, 600)].concat(), 400);
    (open, flood)
}

#[test]
fn a_flood_during_a_change_of_leader_delays_neither_the_election_nor_changes() {
    let mut w = world(3, 6, 0.0);
    let (open, mut flood) = mixed_flood(&mut w);
    flood.play(&mut w, 2_000);
    let old = w.leader().expect("leader");
    w.crash(old);
    flood.play(&mut w, 4_000);
    assert!(w.leader().is_some(), "a new leader within seconds");
    w.start(old);
    flood.answered_ids.clear();
    flood.play_with_changes(&mut w, 14, 500_000);
    flood.has_answered_each_of(&open);
    assert!(
        flood.slowest_change_ms < 3_000,
        "{}",
        flood.slowest_change_ms
    );
    clean(&w);
}

/// The smallest rates of any deployment, and answers that take up to 0.4 s.
#[test]
fn a_flood_while_the_state_service_is_slow_leaves_changes_and_starts_their_share() {
    let mut w = cluster(3, 6, |i| {
        let mut settings = settings(i, 3, 0.0);
        settings.deployment.state.rps = 100.0;
        settings.deployment.state.write_rps = 25.0;
        settings
    });
    w.seed(3);
    let (open, mut flood) = mixed_flood(&mut w);
    w.faults.max_state_response_delay_ms = (0..3).map(|n| (n, 400)).collect();
    flood.play_with_changes(&mut w, 20, 500_000);
    flood.has_answered_each_of(&open);
    assert_eq!(
        w.state_service.throttled_requests, 0,
        "all keep within the rate"
    );
    assert!(
        flood.slowest_change_ms < 5_000,
        "{}",
        flood.slowest_change_ms
    );
    clean(&w);
}

#[test]
fn a_node_that_wakes_to_a_backlog_of_questions_takes_new_changes_at_once() {
    for leads in [false, true] {
        let mut w = world(3, 6, 0.0);
        let (_, mut flood) = mixed_flood(&mut w);
        let leader = w.leader().expect("leader");
        let asleep = if leads { leader } else { follower(&w) };
        w.faults.frozen_until.insert(asleep, w.now + 8_000);
        flood.play(&mut w, 8_100);
        // What it answers to the backlog comes too late for those who asked; those who ask now are answered.
        let mut flood = Flood::new(flood.ids, 400);
        let job = array_job("run-1", 1);
        flood.submit(&mut w, asleep, &job, 500);
        flood.play(&mut w, 1_500);
        assert_eq!(flood.changes_done, 1, "leader: {leads}");
        flood.play_with_changes(&mut w, 12, 500_000);
        assert!(flood.count(200) + flood.count(404) > 2_000);
        assert!(
            flood.slowest_change_ms < 2_000,
            "{}",
            flood.slowest_change_ms
        );
        clean(&w);
    }
}

/// What was due waited for a moment without any input: the leader's lease was not renewed, and nothing was started.
#[test]
fn a_node_with_input_at_every_moment_still_does_what_is_due() {
    let mut w = world(3, 2, 0.0);
    let leader = w.leader().expect("leader");
    let term = w.term_of(leader);
    assert_eq!(w.submit(leader, &array_job("run-1", 2), runs(1_000)), 201);
    for _ in 0..800 {
        for node in 0..3 {
            w.send_user_request(node, "GET", "/submissions/run-1", vec![]);
        }
        w.run_for(10);
    }
    assert_eq!((w.leader(), w.term_of(leader)), (Some(leader), term));
    let end = w
        .state_service
        .read::<JobOutcome>(&final_record_key("run-1"));
    assert_eq!(end, Some(JobOutcome::Done), "started and ended meanwhile");
    clean(&w);
}

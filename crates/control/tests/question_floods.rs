//! Floods of user queries: how many requests to the state service an answer may cost, and which other work keeps its
//! share of the state service's rate meanwhile.

mod common;

use common::*;
use fakes::{array_job, World};
use std::collections::{BTreeMap, BTreeSet};
use wire::records::*;
use wire::users::Submission;

/// Interval between two batches of requests.
const BATCH_INTERVAL_MS: u64 = 100;
/// Time for which a user waits for the answer to a query.
const USER_TIMEOUT_MS: u64 = 2_000;
/// Time within which a refusal counts as prompt.
const PROMPT_ANSWER_MS: u64 = 20;
/// Time after which a user repeats a refused submission or cancellation.
const RETRY_DELAY_MS: u64 = 1_000;

/// A submission or cancellation, repeated until it succeeds.
struct Change {
    node: usize,
    target: String,
    body: Vec<u8>,
    first_sent_at: u64,
    request_id: Option<u64>,
    next_attempt_at: u64,
}

/// A status query or cancellation that is part of the flood. It is not repeated.
struct FloodRequest {
    request_id: u64,
    id: String,
    sent_at: u64,
}

/// Users who send far more requests than they should, and others who submit and cancel jobs meanwhile.
struct Flood {
    rng: fastrand::Rng,
    /// Ids of the requests, drawn at random.
    ids: Vec<String>,
    /// Requests per second to each node.
    requests_per_s: u64,
    /// Whether every second request is a cancellation instead of a status query.
    half_are_cancellations: bool,
    pending_requests: Vec<FloodRequest>,
    pending_changes: Vec<Change>,
    sent_requests: u64,
    answers_by_status: BTreeMap<u16, u64>,
    /// Ids for which a request was answered with 200 or 404.
    answered_ids: BTreeSet<String>,
    /// Refusals that came after [`PROMPT_ANSWER_MS`].
    late_refusals: u64,
    unanswered: u64,
    slowest_change_ms: u64,
    completed_changes: u64,
}

impl Flood {
    fn new(ids: Vec<String>, requests_per_s: u64) -> Self {
        Flood {
            rng: fastrand::Rng::with_seed(7),
            ids,
            requests_per_s,
            half_are_cancellations: false,
            pending_requests: Vec::new(),
            pending_changes: Vec::new(),
            sent_requests: 0,
            answers_by_status: BTreeMap::new(),
            answered_ids: BTreeSet::new(),
            late_refusals: 0,
            unanswered: 0,
            slowest_change_ms: 0,
            completed_changes: 0,
        }
    }

    fn count(&self, status: u16) -> u64 {
        self.answers_by_status.get(&status).copied().unwrap_or(0)
    }

    fn assert_each_job_was_answered(&self, ids: &[String]) {
        let open = ids.iter().filter(|id| !self.answered_ids.contains(*id));
        assert_eq!(open.count(), 0, "jobs for which no request was answered");
    }

    fn add_change(&mut self, world: &World, node: usize, target: &str, body: Vec<u8>) {
        self.pending_changes.push(Change {
            node,
            target: target.to_string(),
            body,
            first_sent_at: world.now,
            request_id: None,
            next_attempt_at: world.now,
        });
    }

    fn submit(&mut self, world: &mut World, node: usize, job: &Submission, run_ms: u64) {
        world.upload_job(job, runs_for(run_ms));
        self.add_change(world, node, "/submissions", wire::encode(job));
    }

    fn cancel(&mut self, world: &World, node: usize, id: &str) {
        self.add_change(world, node, &format!("/submissions/{id}/abort"), Vec::new());
    }

    fn send_requests(&mut self, world: &mut World) {
        for node in (0..world.node_count())
            .filter(|n| !world.is_down(*n))
            .collect::<Vec<_>>()
        {
            for n in 0..self.requests_per_s * BATCH_INTERVAL_MS / 1_000 {
                let id = self.ids[self.rng.usize(..self.ids.len())].clone();
                let target = format!("/submissions/{id}");
                let request_id = match self.half_are_cancellations && n % 2 == 1 {
                    true => {
                        world.send_user_request(node, "POST", &format!("{target}/abort"), vec![])
                    }
                    false => world.send_user_request(node, "GET", &target, vec![]),
                };
                let sent_at = world.now;
                self.sent_requests += 1;
                self.pending_requests.push(FloodRequest {
                    request_id,
                    id,
                    sent_at,
                });
            }
        }
    }

    fn send_changes(&mut self, world: &mut World) {
        for change in &mut self.pending_changes {
            if change.request_id.is_none() && world.now >= change.next_attempt_at {
                // A load balancer would not offer a node that is down.
                while world.is_down(change.node) {
                    change.node = (change.node + 1) % world.node_count();
                }
                let (target, body) = (&change.target, change.body.clone());
                change.request_id =
                    Some(world.send_user_request(change.node, "POST", target, body));
                change.next_attempt_at = world.now + 5 * RETRY_DELAY_MS;
            }
        }
    }

    fn read_answers(&mut self, world: &mut World) {
        for request in std::mem::take(&mut self.pending_requests) {
            match world.take_response_time(request.request_id) {
                Some((at, status)) => {
                    *self.answers_by_status.entry(status).or_default() += 1;
                    let refused = !matches!(status, 200 | 404);
                    if !refused {
                        self.answered_ids.insert(request.id);
                    }
                    self.late_refusals +=
                        u64::from(refused && at > request.sent_at + PROMPT_ANSWER_MS);
                }
                None if world.now > request.sent_at + USER_TIMEOUT_MS => self.unanswered += 1,
                None => self.pending_requests.push(request),
            }
        }
        for mut change in std::mem::take(&mut self.pending_changes) {
            let answer = change.request_id.and_then(|r| world.take_response_time(r));
            match answer {
                Some((at, 200 | 201)) => {
                    self.completed_changes += 1;
                    self.slowest_change_ms = self.slowest_change_ms.max(at - change.first_sent_at);
                    continue;
                }
                Some((at, status)) => {
                    assert!(matches!(status, 429 | 503), "{}: {status}", change.target);
                    change.request_id = None;
                    change.next_attempt_at = at + RETRY_DELAY_MS;
                }
                None if world.now >= change.next_attempt_at => change.request_id = None,
                None => {}
            }
            self.pending_changes.push(change);
        }
    }

    fn run_flood(&mut self, world: &mut World, ms: u64) {
        let until = world.now + ms;
        while world.now < until {
            self.send_requests(world);
            self.send_changes(world);
            world.run_for(BATCH_INTERVAL_MS);
            self.read_answers(world);
        }
    }

    /// Runs the flood for some seconds. Every second two jobs are submitted at each node, and a long job submitted
    /// there three seconds earlier is cancelled at the next node. At the end no change may be open for more than 5 s,
    /// and the short jobs submitted 10 s before or earlier must be done. Job ids count from `first`.
    fn run_flood_with_changes(&mut self, world: &mut World, seconds: u64, first: u64) {
        let mut early = Vec::new();
        for s in 0..seconds {
            for node in 0..world.node_count() {
                let n = first + s * 10 + node as u64;
                let (short, long) = (format!("run-{n}1"), format!("run-{n}2"));
                self.submit(world, node, &array_job(&short, 1), 500);
                self.submit(world, node, &array_job(&long, 1), 600_000);
                if s + 10 <= seconds {
                    early.push(short);
                }
                if s >= 3 {
                    let before = format!("run-{}2", n - 30);
                    self.cancel(world, (node + 1) % world.node_count(), &before);
                }
            }
            self.run_flood(world, 1_000);
        }
        let waiting = self
            .pending_changes
            .iter()
            .filter(|c| world.now > c.first_sent_at + 5_000);
        assert_eq!(waiting.count(), 0, "submissions or cancellations starve");
        let open = |id: &&String| {
            world
                .state_service
                .read::<JobOutcome>(&final_record_key(id))
                != Some(JobOutcome::Done)
        };
        let open: Vec<&String> = early.iter().filter(open).collect();
        assert!(
            open.is_empty(),
            "short jobs not done long after their submission: {open:?}"
        );
    }
}

fn ids(from: u64, count: u64) -> Vec<String> {
    (from..from + count).map(|n| format!("run-{n}")).collect()
}

/// Writes records of jobs whose machine type does not exist, so that they stay open.
fn record_unplaceable_jobs(world: &mut World, ids: &[String]) {
    for id in ids {
        let spec = Submission {
            machine_types: Some(vec!["none".into()]),
            ..array_job(id, 1)
        };
        world.upload_job(&spec, runs_for(1_000));
        record_open_job(world, spec);
    }
}

/// Guards against a flood that leaves the leader's records nothing of the rate: queries and changes were counted
/// together and shared one queue and one rate. With more jobs than fit into the leader's message, each node also had to
/// read the same jobs again and again.
#[test]
fn thousands_of_open_jobs_queried_eight_times_too_often_cost_few_requests_and_starve_nothing() {
    let mut world = start_cluster(3, 6, 0.0);
    let open = ids(100_000, 2_400);
    record_unplaceable_jobs(&mut world, &open);
    world.run_for(3_000);
    // One query per job every 5 s would be 160 queries per second at each node.
    let mut flood = Flood::new(open.clone(), 8 * 160);
    let before = world.state_service.request_counts;
    flood.run_flood_with_changes(&mut world, 16, 500_000);
    let spent = world.state_service.request_counts.since(&before);
    let answered = flood.count(200);
    assert!(
        spent.reads_and_comparisons() * 10 <= answered,
        "{spent:?} for {answered} answers"
    );
    flood.assert_each_job_was_answered(&open);
    assert_eq!(
        world.state_service.throttled_requests, 0,
        "the nodes exceeded the rate of the state service"
    );
    assert_eq!((flood.unanswered, flood.late_refusals), (0, 0));
    assert!(
        flood.slowest_change_ms < 2_000,
        "{}",
        flood.slowest_change_ms
    );
    assert_no_violations(&world);
}

/// Guards against unknown ids that use up the rate: when each 404 took two reads, some 50 queries per second for ids
/// that nobody had submitted were enough, and submissions and cancellations waited behind them until they were refused.
#[test]
fn queries_and_cancellations_of_unknown_ids_starve_nothing_and_cost_few_requests() {
    let mut world = start_cluster(3, 6, 0.0);
    let mut flood = Flood::new(ids(900_000, 5_000), 400);
    flood.half_are_cancellations = true;
    let before = world.state_service.request_counts;
    let leader = world.leader();
    flood.run_flood_with_changes(&mut world, 16, 500_000);
    let spent = world.state_service.request_counts.since(&before);
    let answered = flood.count(404);
    assert_eq!(flood.count(200), 0);
    assert!(answered > 2_000, "{:?}", flood.answers_by_status);
    assert!(
        spent.reads_and_comparisons() * 5 <= answered,
        "{spent:?} for {answered} answers"
    );
    assert_eq!(world.leader(), leader);
    assert_eq!((flood.unanswered, flood.late_refusals), (0, 0));
    assert!(
        flood.slowest_change_ms < 3_000,
        "{}",
        flood.slowest_change_ms
    );
    assert_no_violations(&world);
}

/// Queries for 600 open jobs and as many ids that no job has, 400 per second at each node.
fn mixed_flood(world: &mut World) -> (Vec<String>, Flood) {
    let open = ids(100_000, 600);
    record_unplaceable_jobs(world, &open);
    world.run_for(2_000);
    let flood = Flood::new([open.clone(), ids(900_000, 600)].concat(), 400);
    (open, flood)
}

#[test]
fn a_flood_during_a_change_of_leader_delays_neither_the_election_nor_changes() {
    let mut world = start_cluster(3, 6, 0.0);
    let (open, mut flood) = mixed_flood(&mut world);
    flood.run_flood(&mut world, 2_000);
    let old = world.leader().expect("leader");
    world.crash(old);
    flood.run_flood(&mut world, 4_000);
    assert!(world.leader().is_some(), "no new leader within 4 s");
    world.start(old);
    flood.answered_ids.clear();
    flood.run_flood_with_changes(&mut world, 14, 500_000);
    flood.assert_each_job_was_answered(&open);
    assert!(
        flood.slowest_change_ms < 3_000,
        "{}",
        flood.slowest_change_ms
    );
    assert_no_violations(&world);
}

/// The state service has the smallest rates of any deployment, and its answers take up to 0.4 s.
#[test]
fn a_flood_while_the_state_service_is_slow_leaves_changes_and_starts_their_share() {
    let mut world = start_cluster_with(3, 6, |i| {
        let mut settings = settings(i, 3, 0.0);
        settings.deployment.state.rps = 100.0;
        settings.deployment.state.write_rps = 25.0;
        settings
    });
    world.seed(3);
    let (open, mut flood) = mixed_flood(&mut world);
    world.faults.max_state_response_delay_ms = (0..3).map(|n| (n, 400)).collect();
    flood.run_flood_with_changes(&mut world, 20, 500_000);
    flood.assert_each_job_was_answered(&open);
    assert_eq!(
        world.state_service.throttled_requests, 0,
        "the nodes exceeded the rate of the state service"
    );
    assert!(
        flood.slowest_change_ms < 5_000,
        "{}",
        flood.slowest_change_ms
    );
    assert_no_violations(&world);
}

#[test]
fn a_resumed_node_with_a_backlog_of_queries_accepts_new_changes_at_once() {
    for leader_is_frozen in [false, true] {
        let mut world = start_cluster(3, 6, 0.0);
        let (_, mut flood) = mixed_flood(&mut world);
        let leader = world.leader().expect("leader");
        let frozen_node = if leader_is_frozen {
            leader
        } else {
            follower(&world)
        };
        world
            .faults
            .frozen_until
            .insert(frozen_node, world.now + 8_000);
        flood.run_flood(&mut world, 8_100);
        // The answers to the backlog come too late for the users who asked. Users who ask from now on are answered.
        let mut flood = Flood::new(flood.ids, 400);
        let job = array_job("run-1", 1);
        flood.submit(&mut world, frozen_node, &job, 500);
        flood.run_flood(&mut world, 1_500);
        assert_eq!(flood.completed_changes, 1, "leader: {leader_is_frozen}");
        flood.run_flood_with_changes(&mut world, 12, 500_000);
        assert!(flood.count(200) + flood.count(404) > 2_000);
        assert!(
            flood.slowest_change_ms < 2_000,
            "{}",
            flood.slowest_change_ms
        );
        assert_no_violations(&world);
    }
}

/// Guards against timed work that waits for a moment without any input: the leader's lease was not renewed, and no task
/// was started.
#[test]
fn a_node_with_continuous_input_still_performs_its_timed_work() {
    let mut world = start_cluster(3, 2, 0.0);
    let leader = world.leader().expect("leader");
    let term = world.term_of(leader);
    assert_eq!(
        world.submit(leader, &array_job("run-1", 2), runs_for(1_000)),
        201
    );
    for _ in 0..800 {
        for node in 0..3 {
            world.send_user_request(node, "GET", "/submissions/run-1", vec![]);
        }
        world.run_for(10);
    }
    assert_eq!(
        (world.leader(), world.term_of(leader)),
        (Some(leader), term)
    );
    let end = world
        .state_service
        .read::<JobOutcome>(&final_record_key("run-1"));
    assert_eq!(
        end,
        Some(JobOutcome::Done),
        "run-1 was not started and finished meanwhile"
    );
    assert_no_violations(&world);
}

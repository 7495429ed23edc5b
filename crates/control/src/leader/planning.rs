//! Planning: the leader's state becomes a snapshot for the scheduler, and the scheduler's decisions become assignments,
//! reservations and preemptions.
//!
//! | module | subject |
//! | --- | --- |
//! | `snapshot` | the snapshot of teams and machines, and its assembly |
//! | `job_snapshots` | the jobs and running tasks of the snapshot |
//! | `waiting_tasks` | tasks that wait for a machine |
//! | `numbering` | numbers for names |
//! | `estimates` | run times, deadlines and latest starts |
//! | `decisions` | decisions of a round carried out |

mod decisions;
mod estimates;
mod job_snapshots;
mod numbering;
mod snapshot;
mod waiting_tasks;

pub(super) use snapshot::{type_resources, SchedulingSnapshot};

use super::Leader;
use crate::effects::Effects;
use constants::{
    ROUND_BUDGET_MS, ROUND_DECISIONS_MIN_MS, ROUND_INTERVAL_MIN_MS, ROUND_PAUSE_FACTOR,
};
use decisions::{JobQueue, RoundSubjects};
use sched::{ClusterSnapshot, Outcome, Round};
use std::collections::BTreeSet;

/// Moments of a round, in microseconds of the stopwatch.
struct RoundTimes {
    started: u64,
    /// When the snapshot was complete.
    snapshot_taken: u64,
    decided: u64,
}

/// Sizes of a round's snapshot, for the log.
struct SnapshotSizes {
    jobs: usize,
    waiting_jobs: usize,
    machines: usize,
    running_tasks: usize,
}

impl SnapshotSizes {
    fn of(view: &ClusterSnapshot) -> Self {
        let waiting = view.jobs.iter().filter(|job| !job.waiting.is_empty());
        SnapshotSizes {
            jobs: view.jobs.len(),
            waiting_jobs: waiting.count(),
            machines: view.machines.len(),
            running_tasks: view.running.len(),
        }
    }
}

impl Leader {
    /// One round of decisions, carried out.
    pub(super) fn run_round(&mut self, effects: &mut Effects) {
        let now = effects.now;
        let started = (self.stopwatch)();
        self.plan_due = false;
        self.rounds += 1;
        self.propagate_downstream_demand();
        let snapshot = self.scheduling_snapshot(now);
        let sizes = SnapshotSizes::of(&snapshot.view);
        let subjects = RoundSubjects {
            queues: snapshot.view.jobs.iter().map(JobQueue::of).collect(),
            jobs: snapshot.jobs,
            machines: snapshot.machines,
        };
        let skipped_jobs = std::mem::take(&mut self.skipped_jobs);
        let (outcome, times) = self.decide(snapshot.view, &subjects.jobs, &skipped_jobs, started);
        if !outcome.finished || !skipped_jobs.is_empty() {
            self.plan_due = true;
        }
        if !outcome.finished {
            let blocked = outcome.blocked.iter();
            self.skipped_jobs = blocked.map(|&job| subjects.jobs[job].clone()).collect();
        }
        log_round(&outcome, &times, &sizes);
        self.carry_out(outcome.decisions, &subjects, now);
        // Users and workers are served between rounds, however long those take.
        let took_ms = (self.stopwatch)().saturating_sub(started) / 1000;
        self.next_round =
            now.mono + took_ms + ROUND_INTERVAL_MIN_MS.max(took_ms * ROUND_PAUSE_FACTOR);
        self.has_new_decisions = true;
    }

    /// Decides within the time budget. Jobs for which the last round found no room before it was cut short go last.
    fn decide(
        &self,
        view: ClusterSnapshot,
        jobs: &[String],
        skipped_jobs: &BTreeSet<String>,
        started: u64,
    ) -> (Outcome, RoundTimes) {
        let policy = self.operator.policy();
        let stopwatch = self.stopwatch;
        let mut round = Round::new(&policy, view);
        round.exclude((0..jobs.len()).filter(|&job| skipped_jobs.contains(&jobs[job])));
        let snapshot_taken = stopwatch();
        // The budget is for the whole round, but the decisions get their least share in any case.
        let budget_end = started + ROUND_BUDGET_MS * 1000;
        let until = budget_end.max(snapshot_taken + ROUND_DECISIONS_MIN_MS * 1000);
        let outcome = round.run(|| stopwatch() < until);
        let times = RoundTimes {
            started,
            snapshot_taken,
            decided: stopwatch(),
        };
        (outcome, times)
    }
}

fn log_round(outcome: &Outcome, times: &RoundTimes, sizes: &SnapshotSizes) {
    let took_us = times.decided - times.started;
    let is_long = !outcome.finished || took_us > ROUND_DECISIONS_MIN_MS * 1000;
    let level = match is_long {
        true => log::Level::Info,
        false => log::Level::Debug,
    };
    log::log!(
        level,
        "event=round finished={} view_ms={} decide_ms={} decisions={} jobs={} waiting={} machines={} running={} \
         took_us={took_us}",
        outcome.finished,
        (times.snapshot_taken - times.started) / 1000,
        (times.decided - times.snapshot_taken) / 1000,
        outcome.decisions.len(),
        sizes.jobs,
        sizes.waiting_jobs,
        sizes.machines,
        sizes.running_tasks
    );
}

//! Scheduling rounds: builds a snapshot of the leader's state for the scheduler, and applies the scheduler's decisions
//! as assignments, reservations and preemptions.
//!
//! | module | subject |
//! | --- | --- |
//! | `snapshot` | assembly of the snapshot, with its teams and machines |
//! | `job_snapshots` | the jobs and running tasks of the snapshot |
//! | `waiting_tasks` | tasks that wait for a machine |
//! | `interner` | indices for names |
//! | `estimates` | run times, deadlines and latest starts |
//! | `decisions` | application of a round's decisions |

mod decisions;
mod estimates;
mod interner;
mod job_snapshots;
mod snapshot;
mod waiting_tasks;

pub(super) use snapshot::SchedulingSnapshot;

use super::Leader;
use crate::effects::Effects;
use constants::{
    ROUND_BUDGET_MS, ROUND_DECISIONS_MIN_MS, ROUND_INTERVAL_MIN_MS, ROUND_PAUSE_FACTOR,
};
use decisions::{IndexedNames, JobQueue};
use sched::{ClusterSnapshot, Round, RoundOutcome};
use std::collections::BTreeSet;

/// Timestamps of a round, in microseconds of the stopwatch.
struct RoundTimes {
    started: u64,
    /// When the snapshot was complete.
    snapshot_taken: u64,
    /// When the scheduler had decided.
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
    fn of(cluster: &ClusterSnapshot) -> Self {
        let waiting = cluster
            .jobs
            .iter()
            .filter(|job| !job.waiting_tasks.is_empty());
        SnapshotSizes {
            jobs: cluster.jobs.len(),
            waiting_jobs: waiting.count(),
            machines: cluster.machines.len(),
            running_tasks: cluster.running_tasks.len(),
        }
    }
}

impl Leader {
    /// Runs one scheduling round and applies its decisions.
    pub(super) fn run_round(&mut self, effects: &mut Effects) {
        let now = effects.now;
        let started = (self.stopwatch)();
        self.round_due = false;
        self.rounds += 1;
        self.propagate_downstream_demand();
        let snapshot = self.scheduling_snapshot(now);
        let sizes = SnapshotSizes::of(&snapshot.cluster);
        let names = IndexedNames {
            job_queues: snapshot.cluster.jobs.iter().map(JobQueue::of).collect(),
            job_ids: snapshot.job_ids,
            machine_names: snapshot.machine_names,
        };
        let skipped_jobs = std::mem::take(&mut self.skipped_jobs);
        let (outcome, times) =
            self.run_scheduler(snapshot.cluster, &names.job_ids, &skipped_jobs, started);
        if !outcome.finished || !skipped_jobs.is_empty() {
            self.round_due = true;
        }
        if !outcome.finished {
            let blocked = outcome.blocked.iter();
            self.skipped_jobs = blocked.map(|&job| names.job_ids[job].clone()).collect();
        }
        log_round(&outcome, &times, &sizes);
        self.apply_decisions(outcome.decisions, &names, now);
        // The pause grows with the length of the round, so that users and workers are served between rounds.
        let took_ms = (self.stopwatch)().saturating_sub(started) / 1000;
        self.next_round_at =
            now.mono + took_ms + ROUND_INTERVAL_MIN_MS.max(took_ms * ROUND_PAUSE_FACTOR);
        self.has_new_decisions = true;
    }

    /// Runs the scheduler within the time budget, without the jobs for which the last round found no room before it was
    /// cut short.
    fn run_scheduler(
        &self,
        cluster: ClusterSnapshot,
        job_ids: &[String],
        skipped_jobs: &BTreeSet<String>,
        started: u64,
    ) -> (RoundOutcome, RoundTimes) {
        let policy = self.operator.policy();
        let stopwatch = self.stopwatch;
        let mut round = Round::new(&policy, cluster);
        round.exclude((0..job_ids.len()).filter(|&job| skipped_jobs.contains(&job_ids[job])));
        let snapshot_taken = stopwatch();
        // The budget covers the whole round, but the scheduler gets a minimum of time in any case.
        let budget_end = started + ROUND_BUDGET_MS * 1000;
        let deadline = budget_end.max(snapshot_taken + ROUND_DECISIONS_MIN_MS * 1000);
        let outcome = round.run(|| stopwatch() < deadline);
        let times = RoundTimes {
            started,
            snapshot_taken,
            decided: stopwatch(),
        };
        (outcome, times)
    }
}

fn log_round(outcome: &RoundOutcome, times: &RoundTimes, sizes: &SnapshotSizes) {
    let took_us = times.decided - times.started;
    let is_notable = !outcome.finished || took_us > ROUND_DECISIONS_MIN_MS * 1000;
    let level = match is_notable {
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

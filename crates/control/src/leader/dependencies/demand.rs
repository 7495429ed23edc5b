//! Propagation of deadlines and priorities from jobs to their dependencies.

use crate::leader::model::{DownstreamDemand, Job};
use crate::leader::Leader;
use std::collections::{BTreeMap, HashMap};
use wire::users::Priority;

/// Two times of day, in milliseconds, by which a job must start or end: for a deadline to be met, and for the last
/// moment at which an objective still counts.
type Deadlines = (u64, u64);

/// The earlier of each of the two times.
fn earliest(a: Option<Deadlines>, b: Option<Deadlines>) -> Option<Deadlines> {
    let deadlines = [a, b].into_iter().flatten();
    deadlines.reduce(|a, b| (a.0.min(b.0), a.1.min(b.1)))
}

/// State of a propagation, which proceeds from jobs without dependents to their dependencies (reverse topological
/// order).
struct Propagation<'a> {
    jobs: &'a BTreeMap<String, Job>,
    demands: HashMap<String, DownstreamDemand>,
    /// Number of open dependents whose demand has not been merged yet, by job. A job's own demand is complete at 0.
    remaining_dependents: HashMap<&'a str, usize>,
    /// Jobs whose demand is complete and has yet to be propagated.
    ready: Vec<&'a String>,
}

impl<'a> Propagation<'a> {
    fn new(leader: &'a Leader) -> Self {
        let mut propagation = Propagation {
            jobs: &leader.jobs,
            demands: HashMap::new(),
            remaining_dependents: HashMap::new(),
            ready: Vec::new(),
        };
        for (dependency, dependents) in &leader.dependencies.dependents {
            let open = dependents
                .iter()
                .filter_map(|dependent| propagation.open_job(dependent));
            let count = open.count();
            propagation.remaining_dependents.insert(dependency, count);
        }
        propagation.ready = propagation.jobs_without_dependents();
        propagation
    }

    fn open_job(&self, id: &str) -> Option<&'a Job> {
        self.jobs.get(id).filter(|job| !job.aborted)
    }

    /// Open jobs that wait for dependencies and have no open dependents.
    fn jobs_without_dependents(&self) -> Vec<&'a String> {
        let has_no_dependents = |id: &String| {
            self.remaining_dependents
                .get(id.as_str())
                .is_none_or(|count| *count == 0)
        };
        let is_last = |(id, job): &(&String, &Job)| {
            !job.aborted && job.awaits_dependencies() && has_no_dependents(id)
        };
        let last = self.jobs.iter().filter(is_last);
        last.map(|(id, _)| id).collect()
    }

    /// Merges the demand of a job into that of one of its dependencies. `start_deadlines` are the times by which the
    /// job must start, and so by which the dependency must have ended.
    fn merge_demand(
        &mut self,
        dependency: &str,
        start_deadlines: Option<Deadlines>,
        priority: Priority,
    ) {
        let none = DownstreamDemand {
            deadlines: None,
            priority: Priority::Low,
        };
        let demand = self.demands.entry(dependency.to_string()).or_insert(none);
        demand.priority = demand.priority.max(priority);
        demand.deadlines = earliest(demand.deadlines, start_deadlines);
        self.finish_dependent(dependency);
    }

    /// Counts a dependent whose demand has been merged. After the last one the demand of the dependency is complete.
    fn finish_dependent(&mut self, dependency: &str) {
        let Some(count) = self.remaining_dependents.get_mut(dependency) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            let job = self.jobs.get_key_value(dependency);
            self.ready.extend(job.map(|(id, _)| id));
        }
    }
}

impl Leader {
    /// Propagates deadlines and priorities to dependencies: a job must have ended by the earliest time at which one of
    /// its dependents must start.
    pub(in crate::leader) fn propagate_downstream_demand(&mut self) {
        if !std::mem::take(&mut self.dependencies.propagation_due) {
            return;
        }
        let mut demands = self.downstream_demands();
        for (id, job) in &mut self.jobs {
            job.downstream_demand = demands.remove(id);
        }
    }

    fn downstream_demands(&self) -> HashMap<String, DownstreamDemand> {
        let mut propagation = Propagation::new(self);
        while let Some(id) = propagation.ready.pop() {
            let Some(job) = propagation.open_job(id) else {
                continue;
            };
            let demand = propagation.demands.get(id).copied();
            let end_deadlines = earliest(
                self.own_deadlines(job),
                demand.and_then(|demand| demand.deadlines),
            );
            let duration_ms = self.expected_duration_ms(job, self.task_estimate(job).run_time_s);
            let start_deadlines = end_deadlines.map(|(first, last)| {
                (
                    first.saturating_sub(duration_ms),
                    last.saturating_sub(duration_ms),
                )
            });
            let own_priority = job.spec.priority;
            let priority = demand.map_or(own_priority, |demand| demand.priority.max(own_priority));
            for dependency in &job.unmet_dependencies {
                propagation.merge_demand(dependency, start_deadlines, priority);
            }
        }
        propagation.demands
    }

    /// When a job must have ended because of its own deadline and objectives.
    fn own_deadlines(&self, job: &Job) -> Option<Deadlines> {
        let due_s = job.spec.due_s?;
        let end = |times: f64| job.submitted_at + (due_s * times * 1000.0) as u64;
        let last_multiple = self.deadline_multiple(job).unwrap_or(1.0);
        Some((end(1.0), end(last_multiple)))
    }
}

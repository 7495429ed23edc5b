//! Deadlines and priorities, passed back along pipelines to what the jobs depend on.

use crate::leader::model::{DownstreamDemand, Job};
use crate::leader::Leader;
use std::collections::{BTreeMap, HashMap};
use wire::users::Priority;

/// Moments (time of day, ms) by which a job must have ended: to meet its deadline, and for the last moment that an
/// objective counts.
type Ends = (u64, u64);

/// The earlier of both, moment by moment.
fn earliest(a: Option<Ends>, b: Option<Ends>) -> Option<Ends> {
    let ends = [a, b].into_iter().flatten();
    ends.reduce(|a, b| (a.0.min(b.0), a.1.min(b.1)))
}

/// Demands while they are passed back, from the last jobs of the pipelines to the first.
struct Propagation<'a> {
    jobs: &'a BTreeMap<String, Job>,
    demands: HashMap<String, DownstreamDemand>,
    /// Open dependents whose demand is still to come, by job; the job's own demand is complete once there are none.
    dependents_left: HashMap<&'a str, usize>,
    /// Jobs whose demand is complete.
    ready: Vec<&'a String>,
}

impl<'a> Propagation<'a> {
    fn new(leader: &'a Leader) -> Self {
        let mut propagation = Propagation {
            jobs: &leader.jobs,
            demands: HashMap::new(),
            dependents_left: HashMap::new(),
            ready: Vec::new(),
        };
        for (dependency, dependents) in &leader.dependencies.dependents {
            let open = dependents
                .iter()
                .filter_map(|dependent| propagation.open_job(dependent));
            let count = open.count();
            propagation.dependents_left.insert(dependency, count);
        }
        propagation.ready = propagation.last_jobs();
        propagation
    }

    fn open_job(&self, id: &str) -> Option<&'a Job> {
        self.jobs.get(id).filter(|job| !job.aborted)
    }

    /// Waiting jobs without dependents.
    fn last_jobs(&self) -> Vec<&'a String> {
        let has_no_dependents = |id: &String| {
            self.dependents_left
                .get(id.as_str())
                .is_none_or(|count| *count == 0)
        };
        let is_last = |(id, job): &(&String, &Job)| {
            !job.aborted && job.awaits_dependencies() && has_no_dependents(id)
        };
        let last = self.jobs.iter().filter(is_last);
        last.map(|(id, _)| id).collect()
    }

    /// Merges the demand of a job into that of one it depends on.
    fn pass_back(&mut self, dependency: &str, starts: Option<Ends>, priority: Priority) {
        let none = DownstreamDemand {
            deadlines: None,
            priority: Priority::Low,
        };
        let demand = self.demands.entry(dependency.to_string()).or_insert(none);
        demand.priority = demand.priority.max(priority);
        demand.deadlines = earliest(demand.deadlines, starts);
        self.count_off(dependency);
    }

    /// One dependent less is to come.
    fn count_off(&mut self, dependency: &str) {
        let Some(count) = self.dependents_left.get_mut(dependency) else {
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
    /// Passes deadlines and priorities back along the pipelines: a job must have ended when the jobs that depend on it
    /// must start, the earliest of them.
    pub(in crate::leader) fn propagate_downstream_demand(&mut self) {
        if !std::mem::take(&mut self.dependencies.demand_due) {
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
            let ends = earliest(
                self.own_ends(job),
                demand.and_then(|demand| demand.deadlines),
            );
            let takes_ms = self.expected_duration_ms(job, self.task_estimate(job).run_time_s);
            let starts = ends.map(|(first, last)| {
                (
                    first.saturating_sub(takes_ms),
                    last.saturating_sub(takes_ms),
                )
            });
            let own_priority = job.spec.priority;
            let priority = demand.map_or(own_priority, |demand| demand.priority.max(own_priority));
            for dependency in &job.unmet_dependencies {
                propagation.pass_back(dependency, starts, priority);
            }
        }
        propagation.demands
    }

    /// When a job must have ended by its own deadline.
    fn own_ends(&self, job: &Job) -> Option<Ends> {
        let due_s = job.spec.due_s?;
        let end = |times: f64| job.submitted_at + (due_s * times * 1000.0) as u64;
        let last_multiple = self.deadline_multiple(job).unwrap_or(1.0);
        Some((end(1.0), end(last_multiple)))
    }
}

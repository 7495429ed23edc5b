//! Jobs that need others: when they may begin, when they are cancelled with them, and how their deadline reaches back.
//!
//! A job is held until this leader knows of each job it needs that it is filed as done: by its own transaction, or by
//! reading the final record. What is found neither open nor final is looked for again, never taken for done. Answers
//! to users do not rest on any of this: nodes look up the chain in the store themselves.

use super::model::*;
use super::*;
use std::collections::HashSet;
use wire::users::Priority as Rank;

/// What the leader keeps about jobs that need others.
#[derive(Default)]
pub(super) struct Dependencies {
    /// Open jobs that name a job which is not known to be over.
    needed_by: HashMap<String, BTreeSet<String>>,
    /// Cancelled jobs whose followers are still to be cancelled.
    cascade: VecDeque<String>,
    /// Needed jobs that are not open here: how they ended is to be read, not before a moment.
    lookups: VecDeque<(u64, String)>,
    looking: HashSet<String>,
    /// Jobs whose records go on in further ones, which are being read, with the version of the first.
    partial: HashMap<String, (JobRecord, u64)>,
    /// Deadlines and priorities are to be passed back anew.
    reach_due: bool,
}

impl Leader {
    /// Notes what a job that has just become known waits for.
    pub(super) fn track_dependencies(&mut self, id: &str, now: Now) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.aborted {
            return self.cancel_dependents(id);
        }
        let mut dependency_cancelled = false;
        let mut held = BTreeSet::new();
        for need in &job.spec.needs {
            match (self.archived_as(need), self.jobs.get(need)) {
                (Some(Final::Done), _) => continue,
                (Some(Final::Aborted), _) => dependency_cancelled = true,
                (None, Some(open)) => dependency_cancelled |= open.aborted,
                (None, None) => self
                    .dependencies
                    .lookups
                    .push_back((now.mono, need.clone())),
            }
            held.insert(need.clone());
        }
        for need in &held {
            let dependents = self.dependencies.needed_by.entry(need.clone()).or_default();
            dependents.insert(id.to_string());
        }
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if !job.spec.needs.is_empty() {
            // Whether it was released long ago is not known to a new leader.
            job.ready_at = now.unix;
            self.dependencies.reach_due = true;
        }
        job.needs = held;
        if dependency_cancelled {
            self.cancel_by_dependency(id, now);
        }
    }

    /// Whether a job is over, not filed yet, and others wait for that.
    pub(super) fn is_awaited_end(&self, id: &str) -> bool {
        self.dependencies.needed_by.contains_key(id)
            && self.jobs.get(id).is_some_and(|j| j.final_due().is_some())
    }

    /// A job is filed: what needs it may go on, or is cancelled with it.
    pub(super) fn over(&mut self, id: &str, end: Final, now: Now) {
        let Some(dependents) = self.dependencies.needed_by.remove(id) else {
            return;
        };
        self.dependencies.reach_due = true;
        for dependent in dependents {
            if end == Final::Aborted {
                self.cancel_by_dependency(&dependent, now);
                continue;
            }
            let Some(job) = self.jobs.get_mut(&dependent) else {
                continue;
            };
            if job.needs.remove(id) && job.needs.is_empty() {
                job.ready_at = now.unix;
                self.plan_due = true;
                log::info!(
                    "event=released job={dependent} by={id} class={} after_s={:.1}",
                    job.spec.class,
                    now.unix.saturating_sub(job.submitted_at) as f64 / 1000.0
                );
            }
        }
    }

    /// A job that is over waits for nothing any more.
    pub(super) fn remove_dependent(&mut self, need: &str, dependent: &str) {
        if let Some(dependents) = self.dependencies.needed_by.get_mut(need) {
            dependents.remove(dependent);
            if dependents.is_empty() {
                self.dependencies.needed_by.remove(need);
            }
        }
    }

    /// A job is cancelled: what needs it will be, a few jobs at a time.
    pub(super) fn cancel_dependents(&mut self, id: &str) {
        if self.dependencies.needed_by.contains_key(id) {
            self.dependencies.cascade.push_back(id.to_string());
        }
    }

    /// Cancels a job with one that it needs. It has never begun; its record says so once it is filed away.
    fn cancel_by_dependency(&mut self, id: &str, now: Now) {
        let Some(job) = self.jobs.get_mut(id).filter(|j| !j.aborted) else {
            return;
        };
        job.aborted = true;
        log::info!("event=dependent_cancelled job={id} placed={}", job.assigned);
        self.dependencies.reach_due = true;
        self.cancel_assignments(id, now);
        self.queue_write_if_final(id);
        self.cancel_dependents(id);
    }

    /// Goes on with cancellations and with reading how jobs ended.
    pub(super) fn maintain_pipelines(&mut self, effects: &mut Effects) {
        let now = effects.now;
        let mut left = CASCADE_A_TURN;
        while left > 0 {
            let Some(id) = self.dependencies.cascade.front().cloned() else {
                break;
            };
            let dependents = self.dependencies.needed_by.get(&id).into_iter().flatten();
            let open = |f: &&String| self.jobs.get(*f).is_some_and(|j| !j.aborted);
            let next: Vec<String> = dependents.filter(open).take(left).cloned().collect();
            if next.len() < left {
                self.dependencies.cascade.pop_front();
            }
            left -= next.len();
            for dependent in next {
                self.cancel_by_dependency(&dependent, now);
            }
        }
        while self.dependencies.looking.len() < LOOKUPS {
            // What is not due stays where it is.
            let next = self.dependencies.lookups.front();
            if next.is_none_or(|(at, _)| now.mono < *at) {
                break;
            }
            let Some((_, id)) = self.dependencies.lookups.pop_front() else {
                break;
            };
            let known =
                self.jobs.contains_key(&id) || !self.dependencies.needed_by.contains_key(&id);
            if !known && self.dependencies.looking.insert(id.clone()) {
                let op = StateOp::Get(final_key(&id));
                self.send_state_request(
                    Priority::LeaderRecords,
                    op,
                    LeaderRequest::Final(id),
                    effects,
                );
            }
        }
    }

    pub(super) fn pipelines_wake(&self) -> u64 {
        if !self.dependencies.cascade.is_empty() {
            return 0;
        }
        let next = self.dependencies.lookups.front();
        let free = self.dependencies.looking.len() < LOOKUPS;
        next.filter(|_| free).map_or(u64::MAX, |(at, _)| *at)
    }

    /// How a needed job ended, or that this is not known yet.
    pub(super) fn on_final(&mut self, id: &str, reply: StateReply, effects: &mut Effects) {
        self.dependencies.looking.remove(id);
        let end = match reply {
            StateReply::Item(item) => item.value.deserialized::<Final>().ok(),
            _ => None,
        };
        match end {
            Some(end) => {
                self.archived.insert(id.to_string(), end);
                self.over(id, end, effects.now);
            }
            // Just created, and still to be told by the watch; or the state service does not answer.
            None => {
                let at = effects.now.mono + LOOKUP_RETRY_MS;
                self.dependencies.lookups.push_back((at, id.to_string()));
            }
        }
        self.maintain_pipelines(effects);
    }

    /// A job's record goes on in others: they are read before it counts.
    pub(super) fn fetch_more(
        &mut self,
        id: &str,
        record: JobRecord,
        version: u64,
        effects: &mut Effects,
    ) {
        if self
            .dependencies
            .partial
            .insert(id.to_string(), (record, version))
            .is_none()
        {
            let op = StateOp::Get(more_key(id, 1));
            self.send_state_request(
                Priority::LeaderRecords,
                op,
                LeaderRequest::More(id.to_string(), 1),
                effects,
            );
        }
    }

    pub(super) fn on_more(
        &mut self,
        id: String,
        number: u32,
        reply: StateReply,
        effects: &mut Effects,
    ) {
        if self.jobs.contains_key(&id) || self.archived_as(&id).is_some() {
            self.dependencies.partial.remove(&id);
            return;
        }
        let more = match reply {
            StateReply::Item(item) => item.value.deserialized::<MoreRecord>().ok(),
            _ => None,
        };
        let Some((record, _)) = self.dependencies.partial.get_mut(&id) else {
            return;
        };
        let next = match more {
            Some(more) => {
                record
                    .spec
                    .types
                    .get_or_insert_with(Vec::new)
                    .extend(more.types);
                number + 1
            }
            // Refused or lost; these records go with the job's own and never change.
            None => number,
        };
        if next <= record.more {
            let op = StateOp::Get(more_key(&id, next));
            return self.send_state_request(
                Priority::LeaderRecords,
                op,
                LeaderRequest::More(id, next),
                effects,
            );
        }
        if let Some((record, version)) = self.dependencies.partial.remove(&id) {
            self.insert_job(&id, record, version, effects);
        }
    }

    /// Milliseconds a job is expected to take from its places to its end.
    pub(super) fn expected_ms(&self, job: &Job, secs: f64) -> u64 {
        let run_s = match job.is_gang() {
            true => secs,
            false => secs * LONGEST_TASK,
        };
        ((START_LAG_S + run_s).min(1e9) * 1000.0) as u64
    }

    /// Passes deadlines and priorities back along the pipelines, from the last jobs to the first: what a job must be
    /// over by is when the jobs that need it must start, the earliest of them.
    pub(super) fn propagate_downstream_demand(&mut self) {
        if !std::mem::take(&mut self.dependencies.reach_due) {
            return;
        }
        let mut downstream: HashMap<String, DownstreamDemand> = HashMap::new();
        let open = |id: &String| self.jobs.get(id).filter(|j| !j.aborted);
        // Followers still to be heard of, by job; a job's own is known once there is none.
        let mut left: HashMap<&String, usize> = HashMap::new();
        for (need, dependents) in &self.dependencies.needed_by {
            left.insert(need, dependents.iter().filter_map(open).count());
        }
        let last = |(id, job): &(&String, &Job)| {
            !job.aborted && job.awaits_dependencies() && left.get(*id).is_none_or(|n| *n == 0)
        };
        let mut ready: Vec<&String> = self.jobs.iter().filter(last).map(|(id, _)| id).collect();
        while let Some(id) = ready.pop() {
            let Some(job) = open(id) else { continue };
            let mine = downstream.get(id).copied();
            let own = job.spec.due_s.map(|due| {
                let at = |times: f64| job.submitted_at + (due * times * 1000.0) as u64;
                (at(1.0), at(self.late_times(job).unwrap_or(1.0)))
            });
            let both = [own, mine.and_then(|r| r.ends)].into_iter().flatten();
            let ends = both.reduce(|a, b| (a.0.min(b.0), a.1.min(b.1)));
            let takes = self.expected_ms(job, self.task_secs(job).0);
            let starts = ends.map(|e| (e.0.saturating_sub(takes), e.1.saturating_sub(takes)));
            let priority = mine.map_or(job.spec.priority, |r| r.priority.max(job.spec.priority));
            for need in &job.needs {
                let entry = downstream.entry(need.clone()).or_insert(DownstreamDemand {
                    ends: None,
                    priority: Rank::Low,
                });
                entry.priority = entry.priority.max(priority);
                let both = [entry.ends, starts].into_iter().flatten();
                entry.ends = both.reduce(|a, b| (a.0.min(b.0), a.1.min(b.1)));
                if let Some(n) = left.get_mut(need) {
                    *n -= 1;
                    if *n == 0 {
                        ready.extend(self.jobs.get_key_value(need).map(|(id, _)| id));
                    }
                }
            }
        }
        for (id, job) in &mut self.jobs {
            job.downstream = downstream.remove(id);
        }
    }
}

//! Jobs that need others: when they may begin, when they are cancelled with them, and how their deadline reaches back.
//!
//! A job is held until this leader knows of each job it needs that it is filed as done: by its own transaction, or by
//! reading the final record. What is found neither open nor final is looked for again, never taken for done. Answers
//! to users do not rest on any of this: nodes look up the chain in the store themselves.

use super::books::*;
use super::*;
use std::collections::HashSet;
use wire::users::Priority as Rank;

/// What the leader keeps about jobs that need others.
#[derive(Default)]
pub(super) struct Pipes {
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
    pub(super) fn await_needs(&mut self, id: &str, now: Now) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.aborted {
            return self.cascade_from(id);
        }
        let mut doomed = false;
        let mut held = BTreeSet::new();
        for need in &job.spec.needs {
            match (self.filed_as(need), self.jobs.get(need)) {
                (Some(Final::Done), _) => continue,
                (Some(Final::Aborted), _) => doomed = true,
                (None, Some(open)) => doomed |= open.aborted,
                (None, None) => self.pipes.lookups.push_back((now.mono, need.clone())),
            }
            held.insert(need.clone());
        }
        for need in &held {
            let followers = self.pipes.needed_by.entry(need.clone()).or_default();
            followers.insert(id.to_string());
        }
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if !job.spec.needs.is_empty() {
            // Whether it was released long ago is not known to a new leader.
            job.ready_at = now.unix;
            self.pipes.reach_due = true;
        }
        job.needs = held;
        if doomed {
            self.doom(id, now);
        }
    }

    /// Whether a job is over, not filed yet, and others wait for that.
    pub(super) fn is_awaited_end(&self, id: &str) -> bool {
        self.pipes.needed_by.contains_key(id)
            && self.jobs.get(id).is_some_and(|j| j.final_due().is_some())
    }

    /// A job is filed: what needs it may go on, or is cancelled with it.
    pub(super) fn over(&mut self, id: &str, end: Final, now: Now) {
        let Some(followers) = self.pipes.needed_by.remove(id) else {
            return;
        };
        self.pipes.reach_due = true;
        for follower in followers {
            if end == Final::Aborted {
                self.doom(&follower, now);
                continue;
            }
            let Some(job) = self.jobs.get_mut(&follower) else {
                continue;
            };
            if job.needs.remove(id) && job.needs.is_empty() {
                job.ready_at = now.unix;
                self.plan_due = true;
                log::info!(
                    "event=released job={follower} by={id} class={} after_s={:.1}",
                    job.spec.class,
                    now.unix.saturating_sub(job.at) as f64 / 1000.0
                );
            }
        }
    }

    /// A job that is over waits for nothing any more.
    pub(super) fn unfollow(&mut self, need: &str, follower: &str) {
        if let Some(followers) = self.pipes.needed_by.get_mut(need) {
            followers.remove(follower);
            if followers.is_empty() {
                self.pipes.needed_by.remove(need);
            }
        }
    }

    /// A job is cancelled: what needs it will be, a few jobs at a time.
    pub(super) fn cascade_from(&mut self, id: &str) {
        if self.pipes.needed_by.contains_key(id) {
            self.pipes.cascade.push_back(id.to_string());
        }
    }

    /// Cancels a job with one that it needs. It has never begun; its record says so once it is filed away.
    fn doom(&mut self, id: &str, now: Now) {
        let Some(job) = self.jobs.get_mut(id).filter(|j| !j.aborted) else {
            return;
        };
        job.aborted = true;
        log::info!("event=abort_follows job={id} placed={}", job.placed);
        self.pipes.reach_due = true;
        self.abort_places(id, now);
        self.mark_if_final(id);
        self.cascade_from(id);
    }

    /// Goes on with cancellations and with reading how jobs ended.
    pub(super) fn mind_pipelines(&mut self, mail: &mut Mail) {
        let now = mail.now;
        let mut left = CASCADE_A_TURN;
        while left > 0 {
            let Some(id) = self.pipes.cascade.front().cloned() else {
                break;
            };
            let followers = self.pipes.needed_by.get(&id).into_iter().flatten();
            let open = |f: &&String| self.jobs.get(*f).is_some_and(|j| !j.aborted);
            let next: Vec<String> = followers.filter(open).take(left).cloned().collect();
            if next.len() < left {
                self.pipes.cascade.pop_front();
            }
            left -= next.len();
            for follower in next {
                self.doom(&follower, now);
            }
        }
        while self.pipes.looking.len() < LOOKUPS {
            // What is not due stays where it is.
            let next = self.pipes.lookups.front();
            if next.is_none_or(|(at, _)| now.mono < *at) {
                break;
            }
            let Some((_, id)) = self.pipes.lookups.pop_front() else {
                break;
            };
            let known = self.jobs.contains_key(&id) || !self.pipes.needed_by.contains_key(&id);
            if !known && self.pipes.looking.insert(id.clone()) {
                let op = StateOp::Get(final_key(&id));
                self.ask(Priority::Books, op, LeaderRequest::Final(id), mail);
            }
        }
    }

    pub(super) fn pipelines_wake(&self) -> u64 {
        if !self.pipes.cascade.is_empty() {
            return 0;
        }
        let next = self.pipes.lookups.front();
        let free = self.pipes.looking.len() < LOOKUPS;
        next.filter(|_| free).map_or(u64::MAX, |(at, _)| *at)
    }

    /// How a needed job ended, or that this is not known yet.
    pub(super) fn on_final(&mut self, id: &str, reply: StateReply, mail: &mut Mail) {
        self.pipes.looking.remove(id);
        let end = match reply {
            StateReply::Item(item) => item.value.deserialized::<Final>().ok(),
            _ => None,
        };
        match end {
            Some(end) => {
                self.filed.insert(id.to_string(), end);
                self.over(id, end, mail.now);
            }
            // Just created, and still to be told by the watch; or the state service does not answer.
            None => {
                let at = mail.now.mono + LOOKUP_RETRY_MS;
                self.pipes.lookups.push_back((at, id.to_string()));
            }
        }
        self.mind_pipelines(mail);
    }

    /// A job's record goes on in others: they are read before it counts.
    pub(super) fn fetch_more(
        &mut self,
        id: &str,
        record: JobRecord,
        version: u64,
        mail: &mut Mail,
    ) {
        if self
            .pipes
            .partial
            .insert(id.to_string(), (record, version))
            .is_none()
        {
            let op = StateOp::Get(more_key(id, 1));
            self.ask(
                Priority::Books,
                op,
                LeaderRequest::More(id.to_string(), 1),
                mail,
            );
        }
    }

    pub(super) fn on_more(&mut self, id: String, number: u32, reply: StateReply, mail: &mut Mail) {
        if self.jobs.contains_key(&id) || self.filed_as(&id).is_some() {
            self.pipes.partial.remove(&id);
            return;
        }
        let more = match reply {
            StateReply::Item(item) => item.value.deserialized::<MoreRecord>().ok(),
            _ => None,
        };
        let Some((record, _)) = self.pipes.partial.get_mut(&id) else {
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
            return self.ask(Priority::Books, op, LeaderRequest::More(id, next), mail);
        }
        if let Some((record, version)) = self.pipes.partial.remove(&id) {
            self.insert_job(&id, record, version, mail);
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
    pub(super) fn pass_reach(&mut self) {
        if !std::mem::take(&mut self.pipes.reach_due) {
            return;
        }
        let mut reach: HashMap<String, Reach> = HashMap::new();
        let open = |id: &String| self.jobs.get(id).filter(|j| !j.aborted);
        // Followers still to be heard of, by job; a job's own is known once there is none.
        let mut left: HashMap<&String, usize> = HashMap::new();
        for (need, followers) in &self.pipes.needed_by {
            left.insert(need, followers.iter().filter_map(open).count());
        }
        let last = |(id, job): &(&String, &Job)| {
            !job.aborted && job.is_held() && left.get(*id).is_none_or(|n| *n == 0)
        };
        let mut ready: Vec<&String> = self.jobs.iter().filter(last).map(|(id, _)| id).collect();
        while let Some(id) = ready.pop() {
            let Some(job) = open(id) else { continue };
            let mine = reach.get(id).copied();
            let own = job.spec.due_s.map(|due| {
                let at = |times: f64| job.at + (due * times * 1000.0) as u64;
                (at(1.0), at(self.late_times(job).unwrap_or(1.0)))
            });
            let both = [own, mine.and_then(|r| r.ends)].into_iter().flatten();
            let ends = both.reduce(|a, b| (a.0.min(b.0), a.1.min(b.1)));
            let takes = self.expected_ms(job, self.task_secs(job).0);
            let starts = ends.map(|e| (e.0.saturating_sub(takes), e.1.saturating_sub(takes)));
            let priority = mine.map_or(job.spec.priority, |r| r.priority.max(job.spec.priority));
            for need in &job.needs {
                let entry = reach.entry(need.clone()).or_insert(Reach {
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
            job.reach = reach.remove(id);
        }
    }
}

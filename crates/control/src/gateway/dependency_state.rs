//! Jobs before a job: which records say whether one of them is cancelled.
//!
//! What jobs a job needs is written with it and never changes; done and cancelled are final. So a walk up the chain
//! rests on what was read before, and only the versions of records that are open are to be proven anew.

use super::*;
use std::collections::HashSet;

/// What is known of the jobs before a job.
pub(super) enum DependencyState {
    /// One of them is cancelled, for good.
    Cancelled,
    /// These were never looked at, or have changed since.
    Unknown(String),
    /// None was, as long as these records are as they were.
    Open(Keys),
}

impl Gateway {
    /// Walks up from some jobs, themselves included. Ends that are known need no proof.
    pub(super) fn dependency_state<'a>(
        &'a self,
        from: impl Iterator<Item = &'a String>,
    ) -> DependencyState {
        let mut stack: Vec<&String> = from.collect();
        let mut seen: HashSet<&String> = stack.iter().copied().collect();
        let mut keys = Keys::new();
        let mut unknown = None;
        while let Some(id) = stack.pop() {
            match (self.known_final(id), self.known_version(id)) {
                (Some(Final::Done), _) => {}
                (Some(Final::Aborted), _) => return DependencyState::Cancelled,
                (None, Some(v)) if v.aborted => return DependencyState::Cancelled,
                (None, Some(v)) => {
                    keys.insert(id.clone(), v.version);
                    stack.extend(v.needs.iter().filter(|n| seen.insert(n)));
                }
                (None, None) => unknown = Some(id),
            }
        }
        match unknown {
            Some(id) => DependencyState::Unknown(id.clone()),
            None => DependencyState::Open(keys),
        }
    }

    fn look(&mut self, number: u64, id: String, effects: &mut Effects) {
        let last = false;
        self.go(number, Stage::Looking { id, last }, effects);
    }

    /// The next step of a submission that names jobs: all of them must have been accepted, and whether one before it
    /// is cancelled decides how it is answered.
    pub(super) fn go_on_creating(&mut self, number: u64, effects: &mut Effects) {
        let Some(PendingRequest {
            want: Want::Submit {
                spec: Some(spec), ..
            },
            ..
        }) = self.pending_requests.get(&number)
        else {
            return;
        };
        let known =
            |id: &&String| self.known_final(id).is_some() || self.known_version(id).is_some();
        if let Some(id) = spec.needs.iter().find(|id| !known(id)).cloned() {
            return self.look(number, id, effects);
        }
        let (dependency_cancelled, todo) = match self.dependency_state(spec.needs.iter()) {
            DependencyState::Unknown(id) => return self.look(number, id, effects),
            DependencyState::Cancelled => (true, Keys::new()),
            DependencyState::Open(keys) => (false, keys),
        };
        // What fits goes as conditions of the creation itself; it has two of its own.
        let many = todo.len() + 2 > self.proof_guards;
        if let Some(pending) = self.pending_requests.get_mut(&number) {
            pending.dependency_cancelled = dependency_cancelled;
            pending.todo = Some(todo);
        }
        let stage = if many {
            Stage::Checking
        } else {
            Stage::Creating
        };
        self.go(number, stage, effects);
    }

    /// Some of the jobs before it were proven.
    pub(super) fn checked(&mut self, number: u64, effects: &mut Effects) {
        let most = self.proof_guards;
        let Some(todo) = self
            .pending_requests
            .get_mut(&number)
            .and_then(|t| t.todo.as_mut())
        else {
            return;
        };
        for id in todo.keys().take(most).cloned().collect::<Vec<_>>() {
            todo.remove(&id);
        }
        let many = todo.len() + 2 > most;
        let stage = if many {
            Stage::Checking
        } else {
            Stage::Creating
        };
        self.go(number, stage, effects);
    }

    /// Whether a key is that of the pending request's own job.
    pub(super) fn is_own_key(&self, number: u64, key: &str) -> bool {
        let pending = self.pending_requests.get(&number);
        pending.is_some_and(|t| key == job_key(&t.id) || key == final_key(&t.id))
    }

    /// Jobs before it have changed since they were last seen: mostly, they are over.
    pub(super) fn before_changed(&mut self, number: u64, failed: &[String], effects: &mut Effects) {
        for id in failed.iter().filter_map(|k| k.strip_prefix(JOBS)) {
            self.forget_version(id);
        }
        self.go_on_creating(number, effects);
    }

    /// A job before it was looked at.
    pub(super) fn looked(&mut self, number: u64, reply: StateReply, effects: &mut Effects) {
        let Some(pending) = self.pending_requests.get_mut(&number) else {
            return;
        };
        let Stage::Looking { id, last } = &pending.stage else {
            return;
        };
        let (id, last) = (id.clone(), *last);
        match reply {
            StateReply::Item(item) if last => match item.value.deserialized::<Final>() {
                Ok(end) => self.remember_final(id, end),
                Err(_) => return self.refuse(number, 503, "unreadable record", effects),
            },
            StateReply::Item(item) => match item.value.deserialized::<JobRecord>() {
                Ok(r) => {
                    if r.aborted {
                        // Its user may be told so by this node from now on.
                        effects.events.push(NodeEvent::Aborted(id.clone()));
                    }
                    self.remember_version(&id, item.version, r.aborted, &r.spec.needs);
                }
                Err(_) => return self.refuse(number, 503, "unreadable record", effects),
            },
            StateReply::Missing if !last => {
                return self.go(number, Stage::Looking { id, last: true }, effects);
            }
            StateReply::Missing => {
                // Neither open nor over: it was never accepted. An id that is known is answered all the same.
                match &mut pending.want {
                    Want::Submit { refusal, .. } => {
                        *refusal = Some((422, format!("awaits: {id:?} was never accepted")));
                        return self.go(number, Stage::Open, effects);
                    }
                    _ => {
                        log::error!("event=needed_job_missing job={} needs={id}", pending.id);
                        return self.refuse(number, 503, "a job before it is not found", effects);
                    }
                }
            }
            _ => return self.refuse(number, 503, "the state service does not answer", effects),
        }
        let pending = self.pending_requests.get(&number);
        let creates = |t: &PendingRequest| matches!(&t.want, Want::Submit { refusal: None, .. });
        // A known id that is submitted again asks only for its state.
        match pending.is_some_and(|t| creates(t) && self.known_version(&t.id).is_none()) {
            true => self.go_on_creating(number, effects),
            false => self.start_proof(number, effects),
        }
    }

    /// What is to be proven for the answer about a job. Nothing if the answer is known, or is being looked for.
    pub(super) fn keys_for(&mut self, number: u64, effects: &mut Effects) -> Option<Keys> {
        let pending = self.pending_requests.get(&number)?;
        if let Some(todo) = &pending.todo {
            return Some(todo.clone());
        }
        let id = pending.id.clone();
        if self.known_version(&id).is_none() {
            self.go(number, Stage::Open, effects);
            return None;
        }
        match self.dependency_state(std::iter::once(&id)) {
            DependencyState::Open(keys) => {
                if keys.len() == 1 {
                    self.is_free(&id);
                }
                if let Some(pending) = self.pending_requests.get_mut(&number) {
                    pending.todo = Some(keys.clone());
                }
                Some(keys)
            }
            DependencyState::Unknown(before) => {
                self.look(number, before, effects);
                None
            }
            DependencyState::Cancelled => {
                let t = self.close(number)?;
                match self.known_final(&id) {
                    Some(end) => self.answer_final(t.request, &id, end, effects),
                    None => self.answer_open(t.request, &id, true, effects),
                }
                None
            }
        }
    }

    /// A pending request goes to those that wait for a proof.
    pub(super) fn start_proof(&mut self, number: u64, effects: &mut Effects) {
        if let Some(pending) = self.pending_requests.get_mut(&number) {
            pending.stage = Stage::Proving;
            pending.todo = None;
            self.proving.push_back(number);
        }
        self.prove(effects);
    }
}

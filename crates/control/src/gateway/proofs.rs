//! Questions about open jobs, many of them proven by one transaction.
//!
//! The version of a record is remembered from whoever told it last. It is a hint about what to ask and never an
//! answer: only a transaction that compares it with the store, sent after the question came, makes it one. For a job
//! that waits for others their records are compared too, in several transactions if they are many: each holds at a
//! moment after the question, so nothing cancelled before it is missed.

use super::*;

impl Gateway {
    /// Notes which version of a job's record was last seen. An older one than known changes nothing, but that nothing
    /// before a job is left to wait for stays true.
    pub fn remember_version(&mut self, id: &str, version: u64, aborted: bool, needs: &[String]) {
        if self.known_final(id).is_some() {
            return;
        }
        let known = self.version_of(id);
        let free = needs.is_empty() || known.as_ref().is_some_and(|k| k.needs.is_empty());
        let needs: Rc<[String]> = if free { Rc::default() } else { needs.into() };
        let entry = match known {
            Some(known) if known.version >= version => {
                if known.needs.is_empty() || !free {
                    return;
                }
                Version { needs, ..known }
            }
            _ => Version {
                version,
                aborted,
                needs,
            },
        };
        self.versions.insert(id.to_string(), entry);
    }

    /// All jobs before it are done.
    pub(super) fn is_free(&mut self, id: &str) {
        if let Some(v) = self.version_of(id) {
            self.remember_version(id, v.version, v.aborted, &[]);
        }
    }

    pub(super) fn known_version(&self, id: &str) -> Option<&Version> {
        self.versions.get(id)
    }

    pub(super) fn version_of(&self, id: &str) -> Option<Version> {
        self.known_version(id).cloned()
    }

    pub(super) fn forget_version(&mut self, id: &str) {
        self.versions.remove(id);
    }

    /// Sends one transaction without writes that proves the records of as many questions as it can hold.
    pub(super) fn prove(&mut self, effects: &mut Effects) {
        let now = effects.now.mono;
        if self.proof.is_some() || now < self.next_proof {
            return;
        }
        let gathered = self.proving.len() >= self.proof_guards
            || self
                .proving
                .front()
                .and_then(|n| self.pending_requests.get(n))
                .is_none_or(|t| now >= t.since + PROOF_GATHER_MS);
        if !gathered {
            return;
        }
        let mut keys = Keys::new();
        let mut pending_requests = Vec::new();
        for number in std::mem::take(&mut self.proving) {
            let Some(todo) = self.keys_for(number, effects) else {
                continue;
            };
            for (id, version) in &todo {
                if keys.len() < self.proof_guards && !keys.contains_key(id) {
                    keys.insert(id.clone(), *version);
                }
            }
            // A request with many records goes on in the next ones.
            match todo.iter().any(|(id, v)| keys.get(id) == Some(v)) {
                true => pending_requests.push(number),
                false => self.proving.push_back(number),
            }
        }
        if keys.is_empty() {
            return;
        }
        let compares = keys.iter().map(|(id, v)| Compare::new(job_key(id), *v));
        let op = StateOp::Txn(Txn {
            compares: compares.collect(),
            writes: Vec::new(),
        });
        self.next_proof = now + PROOF_EVERY_MS;
        self.proofs += 1;
        let number = self.proofs;
        effects
            .state
            .push((Priority::Proof, op, StateTag::Proof(number)));
        self.proof = Some(Proof {
            number,
            keys,
            pending_requests,
        });
    }

    /// A proof came back: what held is answered, what did not is read.
    pub fn on_proof(&mut self, number: u64, reply: StateReply, effects: &mut Effects) {
        let Some(Proof {
            keys,
            pending_requests,
            ..
        }) = self.proof.take_if(|p| p.number == number)
        else {
            return;
        };
        let now = effects.now.mono;
        match reply {
            StateReply::Committed { .. } => {
                for number in pending_requests.into_iter().rev() {
                    let Some(t) = self.pending_requests.get_mut(&number) else {
                        continue;
                    };
                    let todo = t.todo.get_or_insert_with(Keys::new);
                    todo.retain(|id, version| keys.get(id) != Some(version));
                    if !todo.is_empty() {
                        self.proving.push_front(number);
                        self.next_proof = now;
                        continue;
                    }
                    if let Some(t) = self.close(number) {
                        let aborted = self.known_version(&t.id).is_some_and(|v| v.aborted);
                        self.answer_open(t.request, &t.id, aborted, effects);
                    }
                }
            }
            StateReply::Conflict { failed } => {
                for id in failed.iter().filter_map(|k| k.strip_prefix(JOBS)) {
                    let told = keys.get(id).copied();
                    // A newer version may have been learnt since.
                    if told.is_some() && self.known_version(id).map(|v| v.version) == told {
                        self.forget_version(id);
                    }
                }
                // The others wait for the next one, which is sent at once: they were not proven by this.
                for number in pending_requests.into_iter().rev() {
                    if let Some(t) = self.pending_requests.get_mut(&number) {
                        t.todo = None;
                        self.proving.push_front(number);
                    }
                }
                self.next_proof = now;
            }
            StateReply::Refused => {
                for number in pending_requests.into_iter().rev() {
                    if self.may_wait(number, now) {
                        self.proving.push_front(number);
                    } else {
                        self.refuse(number, 503, "the state service refuses", effects);
                    }
                }
                self.next_proof = now + STATE_RETRY_MS;
            }
            _ => {
                for number in pending_requests {
                    self.refuse(number, 503, "the state service does not answer", effects);
                }
            }
        }
        self.prove(effects);
    }

    /// What the leader tells of open jobs: only of those for which nothing before them is left to wait for.
    pub fn hear(&mut self, jobs: &[JobUpdate]) {
        // A full message tells of some of the jobs, any other of all.
        if jobs.len() < JOB_UPDATES_MAX {
            self.counts.clear();
        }
        for j in jobs {
            self.remember_version(&j.id, j.version, j.aborted, &[]);
            if j.done + j.running > 0 {
                self.counts.insert(j.id.clone(), (j.done, j.running));
            } else {
                self.counts.remove(&j.id);
            }
        }
    }

    /// When a waiting proof or search is to be sent.
    pub fn next_wake(&self) -> u64 {
        let proof = match self
            .proving
            .front()
            .and_then(|n| self.pending_requests.get(n))
        {
            Some(t) if self.proof.is_none() => self.next_proof.max(t.since + PROOF_GATHER_MS),
            _ => u64::MAX,
        };
        proof.min(self.next_check())
    }
}

//! Questions about open jobs, many of them proven by one transaction.
//!
//! The version of a record is remembered from whoever told it last. It is a hint about what to ask and never an
//! answer: only a transaction that compares it with the store, sent after the question came, makes it one.

use super::*;

impl Gateway {
    /// Notes which version of a job's record was last seen. An older one than known changes nothing.
    pub fn remember_version(&mut self, id: &str, version: u64, aborted: bool) {
        if self.version_of(id).is_some_and(|(v, _)| v >= version) || self.known_final(id).is_some()
        {
            return;
        }
        if self.versions.len() >= VERSION_CACHE / 2 {
            self.old_versions = std::mem::take(&mut self.versions);
        }
        self.versions.insert(id.to_string(), (version, aborted));
    }

    pub(super) fn version_of(&self, id: &str) -> Option<Version> {
        let known = self.versions.get(id).or_else(|| self.old_versions.get(id));
        known.copied()
    }

    pub(super) fn forget_version(&mut self, id: &str) {
        self.versions.remove(id);
        self.old_versions.remove(id);
    }

    /// Sends one transaction without writes that proves the records of as many questions as it can hold.
    pub(super) fn prove(&mut self, mail: &mut Mail) {
        let now = mail.now.mono;
        if self.proof.is_some() || now < self.next_proof {
            return;
        }
        let gathered = self.proving.len() >= self.proof_guards
            || self
                .proving
                .front()
                .and_then(|n| self.tickets.get(n))
                .is_none_or(|t| now >= t.since + PROOF_GATHER_MS);
        if !gathered {
            return;
        }
        let mut keys: BTreeMap<String, Version> = BTreeMap::new();
        let mut tickets = Vec::new();
        let mut unknown = Vec::new();
        while let Some(number) = self.proving.pop_front() {
            let Some(id) = self.tickets.get(&number).map(|t| t.id.clone()) else {
                continue;
            };
            let Some(version) = self.version_of(&id) else {
                unknown.push(number);
                continue;
            };
            if keys.len() >= self.proof_guards && !keys.contains_key(&id) {
                self.proving.push_front(number);
                break;
            }
            keys.insert(id, version);
            tickets.push(number);
        }
        for number in unknown {
            self.go(number, Stage::Open, mail);
        }
        if keys.is_empty() {
            return;
        }
        let guard = |(id, (version, _)): (&String, &Version)| Guard::new(job_key(id), *version);
        let guards = keys.iter().map(guard).collect();
        let writes = Vec::new();
        self.next_proof = now + PROOF_EVERY_MS;
        self.proofs += 1;
        let tag = StateTag::Proof(self.proofs);
        let op = StateOp::Txn(Txn { guards, writes });
        mail.state.push((Priority::User, op, tag));
        self.proof = Some((self.proofs, keys.into_iter().collect(), tickets));
    }

    /// A proof came back: what held is answered, what did not is read.
    pub fn on_proof(&mut self, number: u64, reply: StateReply, mail: &mut Mail) {
        let Some((_, keys, tickets)) = self.proof.take_if(|p| p.0 == number) else {
            return;
        };
        let now = mail.now.mono;
        match reply {
            StateReply::Committed { .. } => {
                for number in tickets {
                    let Some(t) = self.tickets.remove(&number) else {
                        continue;
                    };
                    let held = keys.binary_search_by(|(id, _)| id.cmp(&t.id));
                    let aborted = held.is_ok_and(|at| keys[at].1 .1);
                    self.answer_open(t.request, &t.id, aborted, mail);
                }
            }
            StateReply::Conflict { failed } => {
                for id in failed.iter().filter_map(|k| k.strip_prefix(JOBS)) {
                    let told = keys.binary_search_by(|(k, _)| k.as_str().cmp(id));
                    // A newer version may have been learnt since.
                    if told.is_ok_and(|at| self.version_of(id) == Some(keys[at].1)) {
                        self.forget_version(id);
                    }
                }
                // The others wait for the next one, which is sent at once: they were not proven by this.
                for number in tickets.into_iter().rev() {
                    self.proving.push_front(number);
                }
                self.next_proof = now;
            }
            StateReply::Refused => {
                for number in tickets.into_iter().rev() {
                    if self.may_wait(number, now) {
                        self.proving.push_front(number);
                    } else {
                        self.refuse(number, 503, "the state service refuses", mail);
                    }
                }
                self.next_proof = now + STATE_RETRY_MS;
            }
            _ => {
                for number in tickets {
                    self.refuse(number, 503, "the state service does not answer", mail);
                }
            }
        }
        self.prove(mail);
    }

    /// What the leader tells of open jobs.
    pub fn hear(&mut self, jobs: &[JobNews]) {
        self.counts.clear();
        for j in jobs {
            self.remember_version(&j.id, j.version, j.aborted);
            if j.done + j.running > 0 {
                self.counts.insert(j.id.clone(), (j.done, j.running));
            }
        }
    }

    /// When a waiting proof is to be sent.
    pub fn next_wake(&self) -> u64 {
        match self.proving.front().and_then(|n| self.tickets.get(n)) {
            Some(t) if self.proof.is_none() => self.next_proof.max(t.since + PROOF_GATHER_MS),
            _ => u64::MAX,
        }
    }
}

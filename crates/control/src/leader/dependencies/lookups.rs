//! Records read for dependencies: how jobs ended that others depend on, and the further records of a job whose list of
//! types does not fit into one.

use crate::effects::Effects;
use crate::leader::Leader;
use crate::requests::{LeaderRequest, Priority, StateOp, StateReply};
use constants::{LOOKUPS, LOOKUP_RETRY_MS};
use std::collections::{HashMap, HashSet, VecDeque};
use wire::records::{final_record_key, job_overflow_key, JobOutcome, JobOverflowRecord, JobRecord};

/// An open job's own record, read before its further ones.
struct PartialJob {
    record: JobRecord,
    version: u64,
}

/// A job whose end is to be read, not before a moment of the steady clock.
struct Lookup {
    not_before: u64,
    id: String,
}

/// Lookups that wait or are in progress.
#[derive(Default)]
pub(super) struct Lookups {
    /// Jobs that others depend on and that are not open here.
    queue: VecDeque<Lookup>,
    in_flight: HashSet<String>,
    /// Jobs whose further records are being read.
    partial: HashMap<String, PartialJob>,
}

impl Lookups {
    /// Queues a lookup of how a job ended.
    pub fn push(&mut self, not_before: u64, id: &str) {
        self.queue.push_back(Lookup {
            not_before,
            id: id.to_string(),
        });
    }

    /// When the next lookup may be sent.
    pub fn wake(&self) -> u64 {
        if self.in_flight.len() >= LOOKUPS {
            return u64::MAX;
        }
        self.queue.front().map_or(u64::MAX, |next| next.not_before)
    }

    /// Takes the next lookup from the queue if it is due and may be sent. One that is not due stays where it is.
    fn pop_due(&mut self, now: u64) -> Option<String> {
        if now < self.wake() {
            return None;
        }
        self.queue.pop_front().map(|lookup| lookup.id)
    }
}

impl Leader {
    /// Sends lookups that are due, as many as may be in progress at a time.
    pub(super) fn send_lookups(&mut self, effects: &mut Effects) {
        while let Some(id) = self.dependencies.lookups.pop_due(effects.now.mono) {
            let needed = self.dependencies.dependents.contains_key(&id);
            if self.jobs.contains_key(&id) || !needed {
                continue;
            }
            if self.dependencies.lookups.in_flight.insert(id.clone()) {
                let op = StateOp::Get(final_record_key(&id));
                let request = LeaderRequest::FinalRecord(id);
                self.send_state_request(Priority::LeaderRecords, op, request, effects);
            }
        }
    }

    /// The reply to a lookup of how a job ended.
    pub(in crate::leader) fn on_final_record(
        &mut self,
        id: &str,
        reply: StateReply,
        effects: &mut Effects,
    ) {
        self.dependencies.lookups.in_flight.remove(id);
        let end = match reply {
            StateReply::Item(item) => item.value.deserialized::<JobOutcome>().ok(),
            _ => None,
        };
        match end {
            Some(end) => {
                self.archived.insert(id.to_string(), end);
                self.on_job_archived(id, end, effects.now);
            }
            // It was just created, and the watch is still to report it; or the state service does not answer.
            None => {
                let not_before = effects.now.mono + LOOKUP_RETRY_MS;
                self.dependencies.lookups.push(not_before, id);
            }
        }
        self.maintain_pipelines(effects);
    }

    /// Reads the further records of a job, which counts only once all are read.
    pub(in crate::leader) fn read_further_records(
        &mut self,
        id: &str,
        record: JobRecord,
        version: u64,
        effects: &mut Effects,
    ) {
        let partial = &mut self.dependencies.lookups.partial;
        let known = partial.insert(id.to_string(), PartialJob { record, version });
        if known.is_none() {
            self.request_more(id.to_string(), 1, effects);
        }
    }

    /// The reply to a request for a further record of a job.
    pub(in crate::leader) fn on_further_record(
        &mut self,
        id: String,
        number: u32,
        reply: StateReply,
        effects: &mut Effects,
    ) {
        let partial = &mut self.dependencies.lookups.partial;
        if self.jobs.contains_key(&id) || self.archived.get(&id).is_some() {
            partial.remove(&id);
            return;
        }
        let more = match reply {
            StateReply::Item(item) => item.value.deserialized::<JobOverflowRecord>().ok(),
            _ => None,
        };
        let Some(PartialJob { record, .. }) = partial.get_mut(&id) else {
            return;
        };
        let next = match more {
            Some(more) => {
                let types = record.spec.machine_types.get_or_insert_with(Vec::new);
                types.extend(more.machine_types);
                number + 1
            }
            // Refused or lost: it is read again. These records go with the job's own and never change.
            None => number,
        };
        if next <= record.overflow_record_count {
            return self.request_more(id, next, effects);
        }
        if let Some(PartialJob { record, version }) = partial.remove(&id) {
            self.insert_job(&id, record, version, effects);
        }
    }

    fn request_more(&self, id: String, number: u32, effects: &mut Effects) {
        let op = StateOp::Get(job_overflow_key(&id, number));
        let request = LeaderRequest::FurtherRecord(id, number);
        self.send_state_request(Priority::LeaderRecords, op, request, effects);
    }
}

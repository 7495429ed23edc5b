//! Records that are read on demand: final records of jobs that others depend on, and overflow records of jobs whose
//! list of machine types does not fit into one record.

use crate::effects::Effects;
use crate::leader::Leader;
use crate::requests::{Priority, StateOp, StatePurpose, StateReply};
use constants::{FINAL_RECORD_LOOKUPS_MAX, FINAL_RECORD_LOOKUP_RETRY_MS};
use std::collections::hash_map::Entry;
use std::collections::{HashMap, HashSet, VecDeque};
use wire::records::{final_record_key, job_overflow_key, JobOutcome, JobOverflowRecord, JobRecord};

/// A job whose own record has been read, but not all of its overflow records.
struct PartialJob {
    record: JobRecord,
    version: u64,
}

/// A pending read of a job's final record. Times are of the monotonic clock, in milliseconds.
struct Lookup {
    not_before: u64,
    id: String,
}

/// Lookups that are queued or in flight.
#[derive(Default)]
pub(super) struct Lookups {
    /// Jobs that others depend on and that this leader does not know as open.
    queue: VecDeque<Lookup>,
    in_flight: HashSet<String>,
    /// Jobs whose overflow records are being read.
    partial_jobs: HashMap<String, PartialJob>,
}

impl Lookups {
    /// Queues a lookup of a job's final record, to be sent at `not_before` at the earliest.
    pub fn push(&mut self, not_before: u64, id: &str) {
        self.queue.push_back(Lookup {
            not_before,
            id: id.to_string(),
        });
    }

    /// When the next lookup may be sent; `u64::MAX` if none is queued or too many are in flight.
    pub fn next_wake(&self) -> u64 {
        if self.in_flight.len() >= FINAL_RECORD_LOOKUPS_MAX {
            return u64::MAX;
        }
        self.queue.front().map_or(u64::MAX, |next| next.not_before)
    }

    /// Takes the next lookup from the queue if it is due and may be sent. A lookup that is not due stays at the front.
    fn pop_due(&mut self, now: u64) -> Option<String> {
        if now < self.next_wake() {
            return None;
        }
        self.queue.pop_front().map(|lookup| lookup.id)
    }
}

impl Leader {
    /// Sends lookups that are due, up to the limit of lookups in flight.
    pub(super) fn send_lookups(&mut self, effects: &mut Effects) {
        while let Some(id) = self.dependencies.lookups.pop_due(effects.now.mono) {
            let has_dependents = self.dependencies.dependents.contains_key(&id);
            if self.jobs.contains_key(&id) || !has_dependents {
                continue;
            }
            if self.dependencies.lookups.in_flight.insert(id.clone()) {
                let op = StateOp::Get(final_record_key(&id));
                let request = StatePurpose::FinalRecord(id);
                self.send_state_request(Priority::LeaderRecords, op, request, effects);
            }
        }
    }

    /// Handles the reply to a lookup of a final record.
    pub(in crate::leader) fn on_final_record_reply(
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
                self.archived_jobs.insert(id.to_string(), end);
                self.on_job_archived(id, end, effects.now);
            }
            // Either the job was just created and the watch has not reported it yet, or the state service does not
            // answer.
            None => {
                let not_before = effects.now.mono + FINAL_RECORD_LOOKUP_RETRY_MS;
                self.dependencies.lookups.push(not_before, id);
            }
        }
        self.process_dependencies(effects);
    }

    /// Reads the overflow records of a job, unless they are being read already. The job becomes known only once all of
    /// them are read.
    pub(in crate::leader) fn read_overflow_records(
        &mut self,
        id: &str,
        record: JobRecord,
        version: u64,
        effects: &mut Effects,
    ) {
        // The record may be reported several times. What has been read of its overflow records is kept: an open job's
        // record changes only when the job is cancelled.
        let partial_jobs = &mut self.dependencies.lookups.partial_jobs;
        let Entry::Vacant(entry) = partial_jobs.entry(id.to_string()) else {
            return;
        };
        entry.insert(PartialJob { record, version });
        self.request_overflow_record(id.to_string(), 1, effects);
    }

    /// Handles the reply to a request for an overflow record of a job.
    pub(in crate::leader) fn on_overflow_record_reply(
        &mut self,
        id: String,
        number: u32,
        reply: StateReply,
        effects: &mut Effects,
    ) {
        let partial_jobs = &mut self.dependencies.lookups.partial_jobs;
        if self.jobs.contains_key(&id) || self.archived_jobs.get(&id).is_some() {
            partial_jobs.remove(&id);
            return;
        }
        let overflow = match reply {
            StateReply::Item(item) => item.value.deserialized::<JobOverflowRecord>().ok(),
            _ => None,
        };
        let Some(PartialJob { record, .. }) = partial_jobs.get_mut(&id) else {
            return;
        };
        let next = match overflow {
            Some(overflow) => {
                let types = record.spec.machine_types.get_or_insert_with(Vec::new);
                types.extend(overflow.machine_types);
                number + 1
            }
            // The request failed and is repeated. Overflow records are created with the job's own record and never
            // change.
            None => number,
        };
        if next <= record.overflow_record_count {
            return self.request_overflow_record(id, next, effects);
        }
        if let Some(PartialJob { record, version }) = partial_jobs.remove(&id) {
            self.insert_job(&id, record, version, effects);
        }
    }

    fn request_overflow_record(&self, id: String, number: u32, effects: &mut Effects) {
        let op = StateOp::Get(job_overflow_key(&id, number));
        let request = StatePurpose::OverflowRecord(id, number);
        self.send_state_request(Priority::LeaderRecords, op, request, effects);
    }
}

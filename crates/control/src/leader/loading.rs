//! Loading of the records after an election.
//!
//! Open jobs are loaded first, then their overflow records and pages, then rentals and machine types. Each prefix is
//! read in lists of limited length. The leader makes no decisions before all records have been read.

use super::model::{Job, Machine, RecordCell};
use super::rental::Rental;
use super::Leader;
use crate::effects::{Effects, NodeEvent};
use crate::requests::{Priority, StateOp, StatePurpose, StateReply};
use constants::{HOUSEKEEPING_INTERVAL_MS, STATE_RETRY_MS};
use wire::cloud::MachineType;
use wire::records::{
    JobOverflowRecord, JobRecord, PageRecord, RentalRecord, JOB_OVERFLOW_PREFIX, JOB_PREFIX,
    MACHINE_TYPES_KEY, PAGE_PREFIX, RENTAL_PREFIX,
};
use wire::state::Item;

/// The records that are to be read next.
#[derive(Debug, Clone, PartialEq)]
enum Stage {
    /// Records under a prefix.
    Prefix {
        /// The prefix.
        prefix: &'static str,
        /// Key to continue from.
        from: String,
    },
    /// All records have been read.
    Complete,
}

impl Stage {
    /// The records under a prefix, from the first key on.
    fn start_of(prefix: &'static str) -> Self {
        Stage::Prefix {
            prefix,
            from: String::new(),
        }
    }

    /// The stage after everything under `prefix` has been read. The order matters: overflow records and page copies are
    /// applied only to jobs that are already known.
    fn after(prefix: &'static str) -> Self {
        match prefix {
            JOB_PREFIX => Stage::start_of(JOB_OVERFLOW_PREFIX),
            JOB_OVERFLOW_PREFIX => Stage::start_of(PAGE_PREFIX),
            PAGE_PREFIX => Stage::start_of(RENTAL_PREFIX),
            RENTAL_PREFIX => Stage::start_of(MACHINE_TYPES_KEY),
            _ => Stage::Complete,
        }
    }
}

/// Progress of loading.
pub(super) struct Loading {
    stage: Stage,
    /// Whether a list of records has been requested and has not arrived.
    in_flight: bool,
    /// When the next list may be requested after a failure.
    retry_at: u64,
}

impl Loading {
    /// Loading that has not started.
    pub fn start() -> Self {
        Loading {
            stage: Stage::start_of(JOB_PREFIX),
            in_flight: false,
            retry_at: 0,
        }
    }

    /// Loading that is complete.
    #[cfg(test)]
    pub fn complete() -> Self {
        Loading {
            stage: Stage::Complete,
            ..Loading::start()
        }
    }

    /// Whether all records have been read.
    pub fn is_complete(&self) -> bool {
        self.stage == Stage::Complete
    }

    /// When the next list may be requested; `u64::MAX` while one is in flight.
    pub fn next_wake(&self) -> u64 {
        if self.in_flight {
            u64::MAX
        } else {
            self.retry_at
        }
    }
}

impl Leader {
    /// Requests the next list of records, unless one is in flight or the backoff after a failure has not ended.
    pub(super) fn request_next_list(&mut self, effects: &mut Effects) {
        let now = effects.now.mono;
        let Stage::Prefix { prefix, from } = self.loading.stage.clone() else {
            return;
        };
        if self.loading.in_flight || now < self.loading.retry_at {
            return;
        }
        self.loading.in_flight = true;
        if self.job_watch.revision == 0 {
            self.job_watch.cancellations_known_until = now;
        }
        self.send_state_request(
            Priority::Leadership,
            StateOp::List { prefix, from },
            StatePurpose::Load(prefix),
            effects,
        );
    }

    /// Handles the reply to a request for a list of records.
    pub(super) fn on_load_reply(
        &mut self,
        prefix: &'static str,
        reply: StateReply,
        effects: &mut Effects,
    ) {
        self.loading.in_flight = false;
        let now = effects.now.mono;
        let StateReply::Page(page) = reply else {
            self.loading.retry_at = now + STATE_RETRY_MS;
            return;
        };
        if prefix == JOB_PREFIX && self.job_watch.revision == 0 {
            self.job_watch.revision = page.revision.max(1);
        }
        let last_key = page.items.last().map(|item| item.key.clone());
        for item in page.items {
            self.load_item(prefix, item, now);
        }
        let next = match last_key {
            Some(from) if page.has_more => Stage::Prefix { prefix, from },
            _ => Stage::after(prefix),
        };
        if next == Stage::Complete {
            return self.finish_loading(effects);
        }
        self.loading.stage = next;
        self.tick(false, effects);
    }

    fn load_item(&mut self, prefix: &'static str, item: Item, now: u64) {
        let key = item.key;
        let value = item.value;
        let version = item.version;
        let name = key.strip_prefix(prefix).unwrap_or_default();
        let loaded = match prefix {
            JOB_PREFIX => value.deserialized::<JobRecord>().map(|record| {
                let job = Job::new(record, version);
                self.jobs.insert(name.to_string(), job);
            }),
            JOB_OVERFLOW_PREFIX => value
                .deserialized::<JobOverflowRecord>()
                .map(|record| self.load_overflow_record(name, record)),
            PAGE_PREFIX => value.deserialized::<PageRecord>().map(|record| {
                if let Ok(number) = name.parse::<u32>() {
                    self.pages.load(number, record, version);
                }
            }),
            RENTAL_PREFIX => value.deserialized::<RentalRecord>().map(|record| {
                let rental = Rental::from_record(record, version, now);
                self.rentals.insert(name.to_string(), rental);
            }),
            _ if key == MACHINE_TYPES_KEY => {
                value.deserialized::<Vec<MachineType>>().map(|types| {
                    self.machine_types = RecordCell::new(Some(types), version);
                })
            }
            _ => Ok(()),
        };
        if let Err(why) = loaded {
            log::error!("event=record_unreadable key={key} why={why}");
        }
    }

    /// Adds the machine types that did not fit into a job's own record. `name` is the job's id and the number of the
    /// overflow record, separated by a slash.
    fn load_overflow_record(&mut self, name: &str, record: JobOverflowRecord) {
        let Some((id, _)) = name.split_once('/') else {
            return;
        };
        if let Some(job) = self
            .jobs
            .get_mut(id)
            .filter(|job| job.overflow_record_count > 0)
        {
            let types = job.spec.machine_types.get_or_insert_with(Vec::new);
            types.extend(record.machine_types);
        }
    }

    fn finish_loading(&mut self, effects: &mut Effects) {
        let now = effects.now.mono;
        self.loading.stage = Stage::Complete;
        self.ready_at = now;
        self.next_housekeeping_at = now + HOUSEKEEPING_INTERVAL_MS;
        if let Some(types) = &self.machine_types.saved {
            effects.emit(NodeEvent::MachineTypesRead(types.clone()));
        }
        self.apply_page_copies();
        self.apply_cancellation_notices();
        self.index_assignments(now);
        self.register_loaded_jobs(effects);
        log::info!(
            "event=leader_state_loaded term={} jobs={} pages={} machines={} rentals={} took_ms={}",
            self.term,
            self.jobs.len(),
            self.pages.len(),
            self.machines.len(),
            self.rentals.len(),
            now.saturating_sub(self.elected_at)
        );
        self.round_due = true;
        self.tick(false, effects);
    }

    /// Marks loaded jobs as cancelled if a cancellation notice arrived while records were being read.
    fn apply_cancellation_notices(&mut self) {
        for (id, job) in &mut self.jobs {
            job.aborted |= self.cancellation_notices.contains(id);
        }
    }

    /// Adds the loaded assignments to their machines. Machines that are not known yet are created.
    fn index_assignments(&mut self, now: u64) {
        for (id, job) in &self.jobs {
            for (task, assignment) in job.assignments() {
                let machine = self
                    .machines
                    .entry(assignment.machine.clone())
                    .or_insert_with(|| Machine::new(now));
                machine.assignments.insert((id.clone(), task));
            }
        }
    }

    /// Registers the dependencies of all loaded jobs, then stops the tasks of cancelled jobs and archives jobs that
    /// have ended.
    fn register_loaded_jobs(&mut self, effects: &Effects) {
        let ids: Vec<String> = self.jobs.keys().cloned().collect();
        for id in &ids {
            self.track_dependencies(id, effects.now);
        }
        for id in &ids {
            if self.jobs.get(id).is_some_and(|job| job.aborted) {
                self.cancel_assignments(id, effects.now);
            }
            self.queue_write_if_final(id);
        }
    }
}

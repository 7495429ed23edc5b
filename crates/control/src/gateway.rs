//! Requests of users: submissions, cancellations and status questions.
//!
//! Each request is decided against the state service. A cache answers alone only where what it holds is final: a job
//! that is done or cancelled never changes again. Everything else in the cache only tells what to ask.
//!
//! A request passes through these modules:
//!
//! - `intake` reads it and chooses its first stage, with `admission` for submissions;
//! - `pending` holds it, with its operation and its stage, while it waits;
//! - `sending` sends what a stage needs, and `replies` routes what comes back;
//! - `submit`, `cancel` and `status` decide the three operations;
//! - `read_validation` and `unknown_ids` answer many requests with one transaction;
//! - `dependency_state` and `dependency_reads` look at the jobs that a job needs.
//!
//! Around them, `job_cache` stores what is known of jobs, `events` takes in what the rest of the node reports,
//! `job_records` lays out a job's stored records, `compares` builds conditions, and `rejection` lists every reason to
//! refuse a request.

mod admission;
mod cancel;
mod compares;
mod dependency_reads;
mod dependency_state;
mod events;
mod intake;
mod job_cache;
mod job_records;
mod pending;
mod read_validation;
mod rejection;
mod replies;
mod sending;
mod status;
mod submit;
mod unknown_ids;

use crate::effects::Effects;
use crate::settings::{StateLimits, Team};
use admission::Admission;
use job_cache::JobCache;
use job_records::JobRecordWriter;
use pending::PendingRequests;
use read_validation::ReadValidation;
use rejection::Rejection;
use unknown_ids::UnknownIds;

/// Conditions that a transaction may hold for each write that it may hold; the protocol says so.
const COMPARES_PER_WRITE: usize = 4;

/// A node's users: their requests in hand, and what is known of the jobs they ask about.
pub(crate) struct Gateway {
    admission: Admission,
    records: JobRecordWriter,
    cache: JobCache,
    pending: PendingRequests,
    validation: ReadValidation,
    unknown_ids: UnknownIds,
    /// Conditions that one transaction can hold under any limits, today's or those to come.
    max_compares: usize,
}

impl Gateway {
    /// A gateway without requests, for these teams and limits of the state service.
    pub fn new(teams: Vec<Team>, limits: &StateLimits) -> Self {
        Gateway {
            admission: Admission::new(teams),
            records: JobRecordWriter::new(limits),
            cache: JobCache::new(),
            pending: PendingRequests::default(),
            validation: ReadValidation::default(),
            unknown_ids: UnknownIds::default(),
            max_compares: COMPARES_PER_WRITE * limits.least().txn_ops,
        }
    }

    /// Refuses requests that are past their deadline, and sends the transactions that are due.
    pub fn tick(&mut self, effects: &mut Effects) {
        for number in self.pending.past_deadline(effects.now.mono) {
            self.refuse(number, &Rejection::DeadlineExceeded, effects);
        }
        self.send_validation(effects);
        self.send_id_search(effects);
    }

    /// When [`Gateway::tick`] next has a transaction to send; `u64::MAX` if nothing waits for one.
    pub fn next_wake(&self) -> u64 {
        self.next_validation_at().min(self.next_id_search_at())
    }

    /// Refuses every request in hand, with 503.
    pub fn refuse_all(&mut self, why: &str, effects: &mut Effects) {
        for pending in self.pending.drain() {
            effects.refuse(pending.request, rejection::UNAVAILABLE, why);
        }
    }

    /// Whether no request waits for an answer.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    /// Whether the machine types are known, without which no submission can be accepted.
    pub fn knows_types(&self) -> bool {
        self.admission.knows_types()
    }
}

//! Processes users' requests: submissions, cancellations and status queries.
//!
//! The state service decides the answer to each request. The cache alone answers a request only if the cached data is
//! final: a job that is done or cancelled never changes again. All other cached data only determines which requests to
//! send to the state service.
//!
//! Only the leader refuses a job because it can never run: the other nodes' machine types may be out of date. They pass
//! such a submission on to the leader.
//!
//! A request passes through these modules:
//!
//! - `intake` parses it and chooses its first stage, using `admission` for submissions;
//! - `pending` stores it, with its operation and its stage, until it is answered;
//! - `sending` sends the state service request of a stage, and `replies` routes the reply;
//! - `submit`, `cancel` and `status` implement the three operations;
//! - `impossible_jobs` confirms that a job can never run before it is refused for good;
//! - `read_validation` and `unknown_ids` answer many requests with one transaction;
//! - `dependency_state` and `dependency_reads` evaluate the jobs on which a job depends.
//!
//! In addition, `job_cache` caches data about jobs, `events` handles reports from the rest of the node, `job_records`
//! defines the stored records of a job, `compares` builds the conditions of transactions, and `rejection` lists all
//! reasons for refusing a request.

mod admission;
mod cancel;
mod compares;
mod dependency_reads;
mod dependency_state;
mod events;
mod impossible_jobs;
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
use crate::settings::Deployment;
use admission::Admission;
use job_cache::JobCache;
use job_records::JobRecordWriter;
use pending::PendingRequests;
use read_validation::ReadValidation;
use rejection::Rejection;
use unknown_ids::UnknownIds;

pub(crate) use intake::{Acceptance, NodeStatus};

/// Number of compares that the state service protocol permits in a transaction per permitted write.
const COMPARES_PER_WRITE: usize = 4;

/// Serves a node's users: holds their pending requests and the cached data about jobs.
pub(crate) struct Gateway {
    admission: Admission,
    records: JobRecordWriter,
    cache: JobCache,
    pending: PendingRequests,
    validation: ReadValidation,
    unknown_ids: UnknownIds,
    /// Number of compares that a transaction may contain under both the current and the future limits.
    max_compares: usize,
}

impl Gateway {
    /// Creates a gateway for a deployment.
    pub fn new(deployment: &Deployment) -> Self {
        let limits = &deployment.state;
        Gateway {
            admission: Admission::new(deployment),
            records: JobRecordWriter::new(limits),
            cache: JobCache::new(),
            pending: PendingRequests::default(),
            validation: ReadValidation::default(),
            unknown_ids: UnknownIds::default(),
            max_compares: COMPARES_PER_WRITE * limits.strictest().txn_ops,
        }
    }

    /// Refuses requests whose deadline has passed, and sends the transactions that are due.
    pub fn tick(&mut self, effects: &mut Effects) {
        for pending_id in self.pending.past_deadline(effects.now.mono) {
            self.refuse(pending_id, &Rejection::DeadlineExceeded, effects);
        }
        self.send_validation(effects);
        self.send_unknown_id_check(effects);
    }

    /// When [`Gateway::tick`] has to send the next transaction; `u64::MAX` if no request waits for one.
    pub fn next_wake(&self) -> u64 {
        self.next_validation_at()
            .min(self.next_unknown_id_check_at())
    }

    /// Refuses all pending requests with status 503.
    pub fn refuse_all(&mut self, reason: &str, effects: &mut Effects) {
        for pending in self.pending.drain() {
            effects.refuse(pending.request, rejection::UNAVAILABLE, reason);
        }
    }

    /// Whether no request is pending.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    /// Whether the machine types are known. No submission can be accepted without them.
    pub fn knows_machine_types(&self) -> bool {
        self.admission.knows_machine_types()
    }
}

//! Submissions as stored records: one, or several where the state service's values are small.

use super::rejection::Rejection;
use crate::settings::{Limits, StateLimits};
use constants::MORE_RECORDS;
use wire::records::{job_key, job_overflow_key, JobOverflowRecord, JobRecord};
use wire::state::Write;
use wire::users::Submission;

/// Time of acceptance that sizes are computed with: the largest of 53 bits, so that no real one takes more bytes.
const LONGEST_TIME_MS: u64 = u64::MAX >> 11;
/// Bytes reserved in a job's record for the mark of a cancellation, which is written into the same record.
const CANCELLATION_MARK_BYTES: usize = 16;
/// Bytes that separate two names in a list.
const SEPARATOR_BYTES: usize = 1;
/// Writes of a transaction that are not for further records: the one that files a finished job away also deletes the
/// open record and writes the final one.
const WRITES_WITHOUT_MORE: usize = 2;

/// Writes jobs' records within the state service's limits.
pub(super) struct JobRecordWriter {
    /// Today's limits.
    now: Limits,
    /// The smaller of today's limits and those to come.
    least: Limits,
    /// No process is left that reads only what the version before the pipelines writes.
    upgraded: bool,
}

impl JobRecordWriter {
    /// A writer for these limits, before the end of the upgrade is known.
    pub(super) fn new(limits: &StateLimits) -> Self {
        JobRecordWriter {
            now: limits.now(),
            least: limits.least(),
            upgraded: false,
        }
    }

    /// Whether the end of the upgrade is known.
    pub(super) fn is_upgraded(&self) -> bool {
        self.upgraded
    }

    /// Notes that the upgrade is over.
    pub(super) fn set_upgraded(&mut self) {
        self.upgraded = true;
    }

    /// Whether a submission may be written in a form that old processes can't read: only when none can come back. A
    /// submission that needs others shows that by itself.
    fn may_use_new_form(&self, spec: &Submission) -> bool {
        self.upgraded || !spec.dependencies.is_empty()
    }

    fn limits_for(&self, spec: &Submission) -> Limits {
        if self.may_use_new_form(spec) {
            self.least
        } else {
            self.now
        }
    }

    /// Refuses a submission that is too long to be stored.
    pub(super) fn check_size(&self, spec: &Submission) -> Result<(), Rejection> {
        self.creation_writes(spec, LONGEST_TIME_MS).map(|_| ())
    }

    /// Whether a submission's one record is larger than the limits to come allow.
    pub(super) fn is_larger_than_least(&self, spec: &Submission) -> bool {
        let record = JobRecord::new(spec.clone(), LONGEST_TIME_MS);
        wire::json_size(&record) > self.least.value_bytes
    }

    /// The writes that store a submission accepted at a time of day. Machine types that do not fit into the job's own
    /// record go into further ones.
    pub(super) fn creation_writes(
        &self,
        spec: &Submission,
        accepted_at: u64,
    ) -> Result<Vec<Write>, Rejection> {
        let limits = self.limits_for(spec);
        let mut record = JobRecord::new(spec.clone(), accepted_at);
        let key = job_key(&spec.id);
        let bytes = wire::json_size(&record) + CANCELLATION_MARK_BYTES;
        if bytes <= limits.value_bytes {
            return Ok(vec![Write::put(key, &record)]);
        }
        let more = if self.may_use_new_form(spec) {
            move_types_out(&mut record, limits.value_bytes)
        } else {
            Vec::new()
        };
        let more_records = MORE_RECORDS.min(limits.txn_ops.saturating_sub(WRITES_WITHOUT_MORE));
        let own_bytes = wire::json_size(&record) + CANCELLATION_MARK_BYTES;
        if more.len() > more_records || own_bytes > limits.value_bytes {
            return Err(Rejection::TooLong {
                bytes,
                value_bytes: limits.value_bytes,
                more_records,
            });
        }
        let mut writes = vec![Write::put(key, &record)];
        for (number, record) in (1..).zip(&more) {
            writes.push(Write::put(job_overflow_key(&spec.id, number), record));
        }
        Ok(writes)
    }

    /// The record of a job as its cancellation leaves it. One that was written under larger limits loses what nobody
    /// needs any more.
    pub(super) fn cancelled(&self, record: JobRecord) -> JobRecord {
        let mut record = JobRecord {
            aborted: true,
            ..record
        };
        if wire::json_size(&record) > self.least.value_bytes {
            record.spec.machine_types = None;
            record.spec.dependencies.clear();
        }
        record
    }
}

/// Moves a record's machine types into further records of at most so many bytes each.
fn move_types_out(record: &mut JobRecord, value_bytes: usize) -> Vec<JobOverflowRecord> {
    let types = record.spec.machine_types.take().unwrap_or_default();
    // An empty list still says that only some types are allowed.
    record.spec.machine_types = (!types.is_empty()).then(Vec::new);
    let mut more: Vec<JobOverflowRecord> = Vec::new();
    for name in types {
        let name_bytes = wire::json_size(&name) + SEPARATOR_BYTES;
        let fits =
            |last: &&mut JobOverflowRecord| wire::json_size(*last) + name_bytes <= value_bytes;
        match more.last_mut().filter(fits) {
            Some(last) => last.machine_types.push(name),
            None => more.push(JobOverflowRecord {
                machine_types: vec![name],
            }),
        }
    }
    record.overflow_record_count = more.len() as u32;
    more
}

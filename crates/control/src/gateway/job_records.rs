//! Stored records of submissions: one record, or several if the state service accepts only small values.

use super::rejection::Rejection;
use crate::settings::{EffectiveLimits, StateLimits};
use constants::OVERFLOW_RECORDS_MAX;
use wire::records::{job_key, job_overflow_key, JobOverflowRecord, JobRecord};
use wire::state::Write;
use wire::users::Submission;

/// Acceptance time used to compute record sizes: the largest 53-bit number, so that no actual time takes more bytes.
const MAX_ACCEPTED_AT_MS: u64 = u64::MAX >> 11;
/// Bytes reserved in a job's record for the cancellation mark, which is written into the same record later.
const CANCELLATION_MARK_BYTES: usize = 16;
/// Bytes that separate two names in a stored list.
const LIST_SEPARATOR_BYTES: usize = 1;
/// Writes of a transaction that are not available for overflow records: the transaction that archives a finished job
/// also deletes the open record and writes the final record.
const NON_OVERFLOW_WRITES: usize = 2;

/// Builds the records of jobs within the state service's limits.
pub(super) struct JobRecordWriter {
    /// Current limits.
    current: EffectiveLimits,
    /// The smaller of the current and the future limits.
    strictest: EffectiveLimits,
    /// Whether no process remains that can read only the record format of the version before pipelines.
    upgraded: bool,
}

impl JobRecordWriter {
    /// Creates a writer for these limits. The upgrade is not known to be complete yet.
    pub(super) fn new(limits: &StateLimits) -> Self {
        JobRecordWriter {
            current: limits.current(),
            strictest: limits.strictest(),
            upgraded: false,
        }
    }

    /// Whether the upgrade is known to be complete.
    pub(super) fn is_upgraded(&self) -> bool {
        self.upgraded
    }

    /// Marks the upgrade as complete.
    pub(super) fn set_upgraded(&mut self) {
        self.upgraded = true;
    }

    /// Whether a submission may be written in a format that old processes can't read. It may once no old process can
    /// return, and a submission with dependencies is itself evidence of that.
    fn may_use_new_format(&self, spec: &Submission) -> bool {
        self.upgraded || !spec.dependencies.is_empty()
    }

    fn limits_for(&self, spec: &Submission) -> EffectiveLimits {
        if self.may_use_new_format(spec) {
            self.strictest
        } else {
            self.current
        }
    }

    /// Rejects a submission that is too large to be stored.
    pub(super) fn check_size(&self, spec: &Submission) -> Result<(), Rejection> {
        self.creation_writes(spec, MAX_ACCEPTED_AT_MS).map(|_| ())
    }

    /// Whether a submission, stored as a single record, exceeds the strictest value size limit.
    pub(super) fn exceeds_strictest_limits(&self, spec: &Submission) -> bool {
        let record = JobRecord::new(spec.clone(), MAX_ACCEPTED_AT_MS);
        wire::json_size(&record) > self.strictest.value_bytes
    }

    /// The writes that store a submission accepted at `accepted_at`, by the wall clock. Machine types that do not fit
    /// into the job's main record are stored in overflow records.
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
        let overflow = if self.may_use_new_format(spec) {
            split_off_machine_types(&mut record, limits.value_bytes)
        } else {
            Vec::new()
        };
        let max_overflow_records =
            OVERFLOW_RECORDS_MAX.min(limits.txn_ops.saturating_sub(NON_OVERFLOW_WRITES));
        let main_bytes = wire::json_size(&record) + CANCELLATION_MARK_BYTES;
        if overflow.len() > max_overflow_records || main_bytes > limits.value_bytes {
            return Err(Rejection::TooLong {
                bytes,
                value_bytes: limits.value_bytes,
                max_overflow_records,
            });
        }
        let mut writes = vec![Write::put(key, &record)];
        for (number, record) in (1..).zip(&overflow) {
            writes.push(Write::put(job_overflow_key(&spec.id, number), record));
        }
        Ok(writes)
    }

    /// The record of a job with the cancellation mark. If a record that was written under larger limits would be too
    /// large, data that is no longer needed is removed.
    pub(super) fn with_cancellation(&self, record: JobRecord) -> JobRecord {
        let mut record = JobRecord {
            aborted: true,
            ..record
        };
        if wire::json_size(&record) > self.strictest.value_bytes {
            record.spec.machine_types = None;
            record.spec.dependencies.clear();
        }
        record
    }
}

/// Moves a record's machine types into overflow records of at most `value_bytes` each.
fn split_off_machine_types(record: &mut JobRecord, value_bytes: usize) -> Vec<JobOverflowRecord> {
    let types = record.spec.machine_types.take().unwrap_or_default();
    // An empty list in the main record still means that only some types are allowed.
    record.spec.machine_types = (!types.is_empty()).then(Vec::new);
    let mut overflow: Vec<JobOverflowRecord> = Vec::new();
    for name in types {
        let name_bytes = wire::json_size(&name) + LIST_SEPARATOR_BYTES;
        let fits =
            |last: &&mut JobOverflowRecord| wire::json_size(*last) + name_bytes <= value_bytes;
        match overflow.last_mut().filter(fits) {
            Some(last) => last.machine_types.push(name),
            None => overflow.push(JobOverflowRecord {
                machine_types: vec![name],
            }),
        }
    }
    record.overflow_record_count = overflow.len() as u32;
    overflow
}

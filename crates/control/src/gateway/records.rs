//! Submissions as records: one, or several where the state service's values are small.

use super::*;
use wire::records::{more_key, MoreRecord};

impl Gateway {
    /// Limits that a submission's records are held to: what old processes can't read is written only when none can
    /// come back, and a submission that needs others says so itself.
    fn limits_for(&self, spec: &Submission) -> Limits {
        match self.upgraded || !spec.needs.is_empty() {
            true => self.least,
            false => self.now,
        }
    }

    /// Why a submission is too long to be kept.
    pub(super) fn too_long(&self, spec: &Submission) -> Option<(u16, String)> {
        self.draft(spec, u64::MAX >> 11).err().map(|why| (400, why))
    }

    /// Whether a submission's one record is larger than the limits to come allow.
    pub(super) fn is_larger_than_least(&self, number: u64) -> bool {
        let Some(Want::Submit { spec: Some(s), .. }) =
            self.pending_requests.get(&number).map(|t| &t.want)
        else {
            return false;
        };
        let record = JobRecord::new((**s).clone(), u64::MAX >> 11);
        wire::json_bytes(&record) > self.least.value_bytes
    }

    /// The writes that keep a submission. Machine types that do not fit go into further records.
    pub(super) fn draft(&self, spec: &Submission, at: u64) -> Result<Vec<Write>, String> {
        let limits = self.limits_for(spec);
        let mut record = JobRecord::new(spec.clone(), at);
        let key = job_key(&spec.id);
        // Room for the mark of a cancellation, which is written into the same record.
        let bytes = wire::json_bytes(&record) + 16;
        if bytes <= limits.value_bytes {
            return Ok(vec![Write::put(key, &record)]);
        }
        let most = MORE_RECORDS.min(limits.txn_ops.saturating_sub(2));
        let mut more: Vec<MoreRecord> = Vec::new();
        if self.upgraded || !spec.needs.is_empty() {
            let types = record.spec.types.take().unwrap_or_default();
            record.spec.types = (!types.is_empty()).then(Vec::new);
            for name in types {
                let size = wire::json_bytes(&name) + 1;
                let fits = |r: &&mut MoreRecord| wire::json_bytes(*r) + size <= limits.value_bytes;
                match more.last_mut().filter(fits) {
                    Some(last) => last.types.push(name),
                    None => more.push(MoreRecord { types: vec![name] }),
                }
            }
            record.more = more.len() as u32;
        }
        if more.len() > most || wire::json_bytes(&record) + 16 > limits.value_bytes {
            return Err(format!(
                "the submission takes {bytes} bytes; one value holds {}, and {most} further ones hold machine types",
                limits.value_bytes
            ));
        }
        let mut writes = vec![Write::put(key, &record)];
        for (n, record) in (1..).zip(&more) {
            writes.push(Write::put(more_key(&spec.id, n), record));
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
        if wire::json_bytes(&record) > self.least.value_bytes {
            record.spec.types = None;
            record.spec.needs.clear();
        }
        record
    }
}

//! Compares: the conditions of transactions on the records of jobs.

use crate::requests::StateOp;
use wire::records::{final_record_key, job_key};
use wire::state::{Compare, Txn};

/// Number of compares that require a job's absence: one for each of its two records.
pub(super) const COMPARES_PER_ABSENT_JOB: usize = 2;

/// Requires that no job, open or ended, has this ID.
pub(super) fn absence_compares(id: &str) -> [Compare; COMPARES_PER_ABSENT_JOB] {
    [
        Compare::new(job_key(id), 0),
        Compare::new(final_record_key(id), 0),
    ]
}

/// Requires that these jobs are open and that their records have these versions.
pub(super) fn version_compares<'a>(
    versions: impl Iterator<Item = (&'a String, &'a u64)> + 'a,
) -> impl Iterator<Item = Compare> + 'a {
    versions.map(|(id, version)| Compare::new(job_key(id), *version))
}

/// A transaction without writes. It commits only if all compares hold at a single point in time after it was sent.
pub(super) fn read_only_txn(compares: impl Iterator<Item = Compare>) -> StateOp {
    StateOp::Txn(Txn {
        compares: compares.collect(),
        writes: Vec::new(),
    })
}

//! Conditions of transactions on the records of jobs.

use crate::requests::StateOp;
use wire::records::{final_record_key, job_key};
use wire::state::{Compare, Txn};

/// Conditions that a job's absence takes: one for each of its two records.
pub(super) const COMPARES_PER_ABSENT_JOB: usize = 2;

/// No job has this id, neither an open one nor one that is over.
pub(super) fn absent(id: &str) -> [Compare; COMPARES_PER_ABSENT_JOB] {
    [
        Compare::new(job_key(id), 0),
        Compare::new(final_record_key(id), 0),
    ]
}

/// These jobs are open and their records have these versions.
pub(super) fn unchanged<'a>(
    versions: impl Iterator<Item = (&'a String, &'a u64)> + 'a,
) -> impl Iterator<Item = Compare> + 'a {
    versions.map(|(id, version)| Compare::new(job_key(id), *version))
}

/// A transaction without writes: whether it commits shows whether all conditions hold at one moment after it was sent.
pub(super) fn read_only_txn(compares: impl Iterator<Item = Compare>) -> StateOp {
    StateOp::Txn(Txn {
        compares: compares.collect(),
        writes: Vec::new(),
    })
}

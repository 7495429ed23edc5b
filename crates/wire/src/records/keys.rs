//! Keys of the state service.

/// Key of the leader's record, attached to its lease.
pub const LEADER_KEY: &str = "lead";
/// Key of the last term, which is kept when a leader's record expires.
pub const TERM_KEY: &str = "term";
/// Key of the machine types that the cloud listed last.
pub const MACHINE_TYPES_KEY: &str = "types";
/// Prefix of open jobs, and of cancelled ones that still have tasks.
pub const JOB_PREFIX: &str = "j/";
/// Prefix of pages, each of which holds assignments and progress of many jobs.
pub const PAGE_PREFIX: &str = "b/";
/// Prefix of the final records of finished jobs.
pub const FINAL_RECORD_PREFIX: &str = "f/";
/// Prefix of rental requests.
pub const RENTAL_PREFIX: &str = "r/";

/// Prefix of overflow records, for what does not fit into the records of open jobs. Builds without job dependencies do
/// not know it.
pub const JOB_OVERFLOW_PREFIX: &str = "x/";
/// Common prefix of [`NODE_GENERATION_PREFIX`] and [`COMMON_GENERATION_KEY`].
pub const GENERATIONS_PREFIX: &str = "v";
/// Prefix of each controller's generation, written as soon as the controller runs it. Builds without job dependencies
/// do not know it.
pub const NODE_GENERATION_PREFIX: &str = "v/";
/// Key of the generation that every controller is known to run. The generation never decreases.
pub const COMMON_GENERATION_KEY: &str = "vmark";

/// Key of a controller's generation.
pub fn node_generation_key(label: &str) -> String {
    format!("{NODE_GENERATION_PREFIX}{label}")
}

/// Key of an overflow record of an open job. Numbers start at 1.
pub fn job_overflow_key(id: &str, number: u32) -> String {
    format!("{JOB_OVERFLOW_PREFIX}{id}/{number}")
}

/// Key of an open job.
pub fn job_key(id: &str) -> String {
    format!("{JOB_PREFIX}{id}")
}

/// Key of a finished job's final record.
pub fn final_record_key(id: &str) -> String {
    format!("{FINAL_RECORD_PREFIX}{id}")
}

/// Key of a page.
pub fn page_key(number: u32) -> String {
    format!("{PAGE_PREFIX}{number:05}")
}

/// Key of a rental request.
pub fn rental_key(request: &str) -> String {
    format!("{RENTAL_PREFIX}{request}")
}

//! Keys of the state service.

/// Key of the leader's record, attached to its lease.
pub const LEADER: &str = "lead";
/// Key of the term, which outlives leaders.
pub const TERM: &str = "term";
/// Key of the machine types that were seen last.
pub const TYPES: &str = "types";
/// Prefix of open jobs, and of cancelled ones that still have tasks.
pub const JOBS: &str = "j/";
/// Prefix of pages: assignments and progress of many jobs together.
pub const PAGES: &str = "b/";
/// Prefix of finished jobs.
pub const FINALS: &str = "f/";
/// Prefix of rental requests.
pub const RENTALS: &str = "r/";

/// Prefix of the parts of open jobs that do not fit into their own records. Unknown to the version before the
/// pipelines.
pub const MORE: &str = "x/";
/// Common prefix of [`NODES`] and [`MARK`].
pub const GENERATIONS: &str = "v";
/// Prefix of the generation that each controller runs, written once it does. Unknown to the version before the
/// pipelines.
pub const NODES: &str = "v/";
/// Key of the generation that every controller is known to run. It never decreases.
pub const MARK: &str = "vmark";

/// Key of a controller's generation.
pub fn node_key(label: &str) -> String {
    format!("{NODES}{label}")
}

/// Key of a further record of an open job. Numbers begin with 1.
pub fn job_overflow_key(id: &str, number: u32) -> String {
    format!("{MORE}{id}/{number}")
}

/// Key of an open job.
pub fn job_key(id: &str) -> String {
    format!("{JOBS}{id}")
}

/// Key of a finished job.
pub fn final_key(id: &str) -> String {
    format!("{FINALS}{id}")
}

/// Key of a page.
pub fn page_key(number: u32) -> String {
    format!("{PAGES}{number:05}")
}

/// Key of a rental request.
pub fn rental_key(request: &str) -> String {
    format!("{RENTALS}{request}")
}

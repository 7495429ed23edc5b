//! Records in the state service: their encoding, and the leader's transactions.

/// Tasks of a part of a job in the format that the version before the pipelines reads: some 6 KiB
/// at worst.
pub const CHUNK_TASKS: u32 = 128;
/// Tasks of a part in the dense form: some 400 bytes, or 1.5 KiB when the machine names have
/// nothing in common.
pub const SMALL_TASKS: u32 = 32;
/// Bytes of a page of dense parts at most. Each write of the page costs its encoding.
pub const PAGE_BYTES: usize = 8 * 1024;
/// Part of a page (one in that many bytes) that may be copied unchanged when the page is
/// rewritten.
pub const REWRITTEN_PART: usize = 8;
/// Share of a value that a page of dense parts may take. Their sizes are estimated, not counted.
pub const DENSE_PAGE_FILL: f64 = 0.94;
/// Extension records of an open job at most, for what does not fit into its own record. All are
/// written in one transaction.
pub const MORE_RECORDS: usize = 2;
/// Jobs of a pipeline that are cancelled in memory per turn, so that a cascade of any size leaves
/// time for other work.
pub const CASCADE_A_TURN: usize = 64;
/// Final records looked up at a time, for jobs that depend on jobs which ended before this leader
/// was elected.
pub const LOOKUPS: usize = 8;
/// Milliseconds until the lookup of a job that was not found is repeated.
pub const LOOKUP_RETRY_MS: u64 = 500;
/// Bytes of records put in one transaction, by a cautious estimate of their JSON form. The limit
/// is 64 KiB.
pub const TXN_BYTES: usize = 40 * 1024;
/// Transactions of the leader's records in flight at a time.
pub const TXN_PARALLEL: usize = 3;
/// Milliseconds for which a change of a job's record that nobody waits for may be deferred until
/// another change that somebody waits for.
pub const DEFERRED_WRITE_MS: u64 = 15_000;
/// Milliseconds for which such a change may be deferred while other changes are queued too.
/// Meanwhile it is included in any transaction that has room.
pub const DEFERRED_WRITE_MAX_MS: u64 = 60_000;
/// Records per transaction that are examined for deferred changes.
pub const DEFERRED_WRITES_PER_TRANSACTION: usize = 24;

//! Records in the state service: their encoding, and the leader's transactions.

/// Tasks of a chunk of a job in the wide form, which versions without job pipelines can read: some
/// 6 KiB at worst.
pub const WIDE_CHUNK_TASKS: u32 = 128;
/// Tasks of a chunk of a job in the dense form: some 400 bytes, or 1.5 KiB if the machine names
/// have nothing in common.
pub const DENSE_CHUNK_TASKS: u32 = 32;
/// Bytes of a page of dense chunks at most. Each write of the page encodes all of it.
pub const DENSE_PAGE_MAX_BYTES: usize = 8 * 1024;
/// Divisor of the page size: one in that many bytes of a page may be copied unchanged when the
/// page is rewritten.
pub const DENSE_PAGE_UNCHANGED_DIVISOR: usize = 8;
/// Share of the value size limit that a page of dense chunks may use. Their sizes are estimated,
/// not counted.
pub const DENSE_PAGE_VALUE_SHARE: f64 = 0.94;
/// Overflow records of an open job at most, for what does not fit into its own record. All are
/// written in one transaction.
pub const OVERFLOW_RECORDS_MAX: usize = 2;
/// Jobs of a pipeline that are cancelled in memory per turn, so that a cascade of any size leaves
/// time for other work.
pub const CASCADED_CANCELLATIONS_PER_TURN_MAX: usize = 64;
/// Final records looked up at a time, for jobs that depend on jobs that ended before this leader
/// was elected.
pub const FINAL_RECORD_LOOKUPS_MAX: usize = 8;
/// Milliseconds until the lookup of a job that was not found is repeated.
pub const FINAL_RECORD_LOOKUP_RETRY_MS: u64 = 500;
/// Bytes of records put in one transaction, by a conservative estimate of their JSON form. The
/// limit is 64 KiB.
pub const TXN_MAX_BYTES: usize = 40 * 1024;
/// Transactions of the leader's records in flight at a time.
pub const TXNS_IN_FLIGHT_MAX: usize = 3;
/// Milliseconds for which a change of a job's record that no caller waits for may be deferred,
/// until another change that a caller waits for is written.
pub const DEFERRED_WRITE_MS: u64 = 15_000;
/// Milliseconds for which a deferred change may wait while other changes are queued too. Meanwhile
/// it is included in any transaction that has room.
pub const DEFERRED_WRITE_MAX_MS: u64 = 60_000;
/// Records per transaction that are examined for deferred changes.
pub const DEFERRED_WRITES_PER_TRANSACTION: usize = 24;

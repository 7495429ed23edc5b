//! Messages between controllers, and when a peer counts as connected.

/// Milliseconds between the messages in which the leader sends its counts of open jobs to its
/// peers.
pub const OPEN_JOB_COUNTS_INTERVAL_MS: u64 = 1_000;
/// Milliseconds between heartbeats to each peer.
pub const PEER_HEARTBEAT_INTERVAL_MS: u64 = 500;
/// Milliseconds between two readings of the clock beyond which a node did not run in between. A
/// node wakes up for every heartbeat, and even the longest turns of a busy leader take a fraction
/// of the rest.
pub const PROCESS_STALL_MS: u64 = 2 * PEER_HEARTBEAT_INTERVAL_MS;
/// Milliseconds for which a peer's last heartbeat counts as fresh.
pub const PEER_HEARTBEAT_FRESH_MS: u64 = 2_000;
/// Milliseconds without contact to the state service and to any peer after which a node reports to
/// the load balancer that it is not ready. Longer than a controller takes to restart, since the
/// load balancer takes seconds to offer the node again.
pub const ISOLATION_NOT_READY_MS: u64 = 4_000;
/// Milliseconds between attempts to connect to a peer.
pub const PEER_RECONNECT_INTERVAL_MS: u64 = 1_000;
/// Bytes queued for a peer at most. A longer queue closes the connection.
pub const PEER_QUEUE_MAX_BYTES: usize = 1024 * 1024;

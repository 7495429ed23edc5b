//! Messages between controllers, and when a peer counts as connected.

/// Milliseconds between the messages in which the leader sends its counts of open jobs to its
/// peers.
pub const COUNTS_MS: u64 = 1_000;
/// Milliseconds between heartbeats to each peer.
pub const PEER_HEARTBEAT_MS: u64 = 500;
/// Milliseconds between two readings of the clock that prove that a node did not run in between.
/// It wakes up for every heartbeat, and even the longest turns of a busy leader take a fraction of
/// the rest.
pub const STALL_MS: u64 = 2 * PEER_HEARTBEAT_MS;
/// Milliseconds for which a peer's last heartbeat counts as fresh.
pub const PEER_FRESH_MS: u64 = 2_000;
/// Milliseconds without the state service and without any peer after which a node reports to the
/// load balancer that it is not ready. Longer than a controller takes to restart, since it also
/// takes seconds to be offered again.
pub const CUT_OFF_MS: u64 = 4_000;
/// Milliseconds between attempts to connect to a peer.
pub const PEER_RETRY_MS: u64 = 1_000;
/// Bytes queued for a peer at most. A longer queue closes the connection.
pub const PEER_BACKLOG: usize = 1024 * 1024;

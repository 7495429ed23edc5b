//! Leader election: the lease, its renewal, resignation and handover.

use crate::PEER_HEARTBEAT_FRESH_MS;

/// Milliseconds for which the leader's lease is valid: long enough for a process short of CPU time
/// to renew it three times, short enough that a crashed leader is replaced within a few seconds.
pub const LEADER_LEASE_MS: u64 = 3_000;
/// Milliseconds between renewals of the leader's lease.
pub const LEADER_RENEW_INTERVAL_MS: u64 = 800;
/// Milliseconds between reads of the leader key by a follower. Bounds how late a vacancy is
/// noticed.
pub const LEADER_POLL_INTERVAL_MS: u64 = 600;
/// Milliseconds between reads of the leader key by a follower that knows of no leader.
pub const VACANT_LEADER_POLL_INTERVAL_MS: u64 = 200;
/// Milliseconds between probes of a leader that no worker reaches. A probe sends one worker to the
/// leader, to find out whether it can be reached again.
pub const LEADER_PROBE_INTERVAL_MS: u64 = 20_000;
/// Milliseconds without any worker report, while a peer receives some, after which a leader
/// resigns: twice the time for which a heartbeat of a peer counts as fresh.
pub const RESIGN_WITHOUT_REPORTS_MS: u64 = 2 * PEER_HEARTBEAT_FRESH_MS;
/// Milliseconds for which a leader that receives no worker reports waits for a peer to announce
/// that it receives some. Afterwards the leader resigns anyway. Longer than most network
/// partitions that affect all workers.
pub const RESIGN_WITHOUT_PEER_NOTICE_MS: u64 = 20_000;
/// Milliseconds between two resignations of a node that does not know whether a peer receives
/// worker reports. If no peer does, the nodes would otherwise keep replacing each other as leader.
pub const UNCERTAIN_RESIGN_INTERVAL_MS: u64 = 600_000;
/// Maximum random delay, in milliseconds, that is added to the pause before the next poll of the
/// leader key after a failed candidacy or the revocation of a leader's lease, so that two followers
/// seldom collide.
pub const ELECTION_JITTER_MS: u64 = 250;
/// Milliseconds after which a candidate abandons an attempt and starts again.
pub const CANDIDACY_TIMEOUT_MS: u64 = 4_000;
/// Milliseconds for which a leader that resigned leaves the election to others.
pub const RESIGN_PAUSE_MS: u64 = 20_000;
/// Milliseconds for which a build leaves the election to newer builds, which need no further
/// restart: two polls of a follower.
pub const OLDER_BUILD_ELECTION_DELAY_MS: u64 = 1_200;
/// Milliseconds between reads of the leader key by the named successor of a leader.
pub const HANDOVER_POLL_INTERVAL_MS: u64 = 40;
/// Milliseconds for which the named successor polls at [`HANDOVER_POLL_INTERVAL_MS`].
pub const HANDOVER_POLL_DURATION_MS: u64 = 1_500;
/// Milliseconds for which a stopping leader waits for its transactions before it hands over.
pub const HANDOVER_DRAIN_TIMEOUT_MS: u64 = 600;

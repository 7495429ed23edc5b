//! Connections and sockets.

/// Connections to one address at a time. The state service needs the most.
pub const CONNECTIONS_PER_ADDRESS_MAX: usize = 12;
/// Requests waiting for a connection to one address. More fail at once.
pub const QUEUED_REQUESTS_PER_ADDRESS_MAX: usize = 128;
/// Milliseconds to establish a connection.
pub const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Share of the permitted sockets that callers may use in any case. The rest is for outgoing calls
/// and peers.
pub const SERVER_SOCKET_SHARE: f64 = 0.8;
/// Sockets reserved for outgoing calls and peers where that is less than the rest of the share:
/// [`CONNECTIONS_PER_ADDRESS_MAX`] each for the state service and the cloud, two for each peer,
/// and direct orders, of which the leader sends some 20 a second and whose connections stay open
/// for [`CLIENT_IDLE_TIMEOUT_MS`].
pub const RESERVED_SOCKETS: usize = 256;
/// Share of the callers' sockets in use from which a worker's connection is closed after each
/// answer. If there are more workers than sockets, they then take turns; otherwise some would be
/// refused until their leases expire.
pub const SOCKET_SHORTAGE_SHARE: f64 = 0.95;
/// Milliseconds for which sockets count as short after a connection was refused for lack of one:
/// several reports of each worker.
pub const SOCKET_SHORTAGE_MS: u64 = 10_000;
/// Milliseconds for which an idle connection of a caller other than a worker stays open when
/// sockets are short. Users return every few seconds and can reconnect, while a worker that cannot
/// reconnect loses its lease.
pub const CALLER_IDLE_TIMEOUT_MS: u64 = 1_000;
/// Milliseconds for which an idle outgoing connection stays open for reuse.
pub const CLIENT_IDLE_TIMEOUT_MS: u64 = 6_000;
/// Bytes read from a socket at a time.
pub const READ_BUFFER_BYTES: usize = 16 * 1024;

//! Connections and sockets.

/// Connections to one address at a time; the state service needs most.
pub const CLIENT_CONNS: usize = 12;
/// Requests waiting for a connection to one address; more fail at once.
pub const CLIENT_QUEUE: usize = 128;
/// Milliseconds to establish a connection.
pub const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Share of the permitted sockets that callers may use in any case. The rest is for our own calls
/// and peers.
pub const SERVER_SOCKET_SHARE: f64 = 0.8;
/// Sockets reserved for our own calls and peers where that is less than the rest of the share:
/// [`CLIENT_CONNS`] each for the state service and the cloud, two for each peer, and direct
/// orders, of which the leader sends some 20 a second and whose connections stay open for
/// [`IDLE_CLIENT_MS`].
pub const OWN_SOCKETS: usize = 256;
/// Share of the callers' sockets in use from which a worker's connection is closed after each
/// answer. More workers than there are sockets then take turns, instead of some being refused
/// until their leases expire.
pub const CROWDED_SHARE: f64 = 0.95;
/// Milliseconds for which sockets count as short after a connection was refused for lack of one:
/// several reports of each worker.
pub const CROWDED_MS: u64 = 10_000;
/// Milliseconds for which an idle connection of a caller other than a worker stays open when
/// sockets are short. Users return every few seconds and can reconnect. A worker that can't loses
/// its lease.
pub const IDLE_CONN_MS: u64 = 1_000;
/// Milliseconds for which an idle connection of our own stays open for reuse.
pub const IDLE_CLIENT_MS: u64 = 6_000;
/// Bytes read from a socket at a time.
pub const READ_CHUNK: usize = 16 * 1024;

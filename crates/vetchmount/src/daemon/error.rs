//! What ends the process with an error.

use std::io;
use thiserror::Error;

/// Why the process could not start, or could not go on.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// The poller could not be created.
    #[error("poller: {0}")]
    CreatePoller(#[source] io::Error),
    /// The poller failed while the process was waiting for events.
    #[error("poll: {0}")]
    Poll(#[source] io::Error),
    /// An address of the settings is not an IPv4 address with a port.
    #[error("bad address {0:?}")]
    BadAddress(String),
    /// A listener could not be opened.
    #[error("{address}: {source}")]
    Listen {
        /// Address as the settings give it.
        address: String,
        /// Cause.
        source: io::Error,
    },
    /// The handler of the termination signal could not be installed.
    #[error("SIGTERM: {0}")]
    SignalHandler(#[source] io::Error),
}

//! Errors that end the process.

use std::io;
use thiserror::Error;

/// Why the process could not start, or could not continue.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// The poller could not be created.
    #[error("cannot create the poller: {0}")]
    CreatePoller(#[source] io::Error),
    /// The poller failed while the process was waiting for events.
    #[error("cannot wait for events: {0}")]
    Poll(#[source] io::Error),
    /// An address is not an IPv4 address with a port.
    #[error("{0:?} is not an IPv4 address with a port")]
    InvalidAddress(String),
    /// A listener could not be opened.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address as the settings give it.
        address: String,
        /// Cause.
        source: io::Error,
    },
    /// The handler of the termination signal could not be installed.
    #[error("cannot install the SIGTERM handler: {0}")]
    SignalHandler(#[source] io::Error),
}

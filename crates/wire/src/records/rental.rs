//! Records of requests for machines.

use serde::{Deserialize, Serialize};

/// A rental request whose machines the cloud's list may not show yet.
///
/// The request is idempotent: repeated under its name, it returns the same machines. So machines need no records of
/// their own, which would be too many for a small state service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RentalRecord {
    /// Machine type.
    pub kind: String,
    /// Zone.
    pub zone: String,
    /// Whether spot machines are wanted.
    pub spot: bool,
    /// Number of machines.
    pub count: u32,
}

//! Records of rental requests.

use serde::{Deserialize, Serialize};

/// A rental request whose machines may be missing from the cloud's machine list so far.
///
/// The request is idempotent: repeated under the same name, it returns the same machines. Machines therefore need no
/// records of their own, which would be too many for a small state service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RentalRecord {
    /// Machine type.
    #[serde(rename = "kind")]
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Whether spot instances are requested.
    pub spot: bool,
    /// Number of machines.
    pub count: u32,
}

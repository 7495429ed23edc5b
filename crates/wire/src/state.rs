//! Messages of the state service, a key-value store with transactions, leases and watches.

use ciborium::Value;
use serde::{Deserialize, Serialize};

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// Key.
    #[serde(rename = "path")]
    pub key: String,
    /// Value.
    #[serde(rename = "v")]
    pub value: Value,
    /// Version: the revision of the key's last change.
    #[serde(rename = "stamp")]
    pub version: u64,
    /// Lease to which the key is attached. The key is deleted when the lease expires.
    #[serde(rename = "tether", default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
}

/// A page of a key listing.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// Keys with their values, ordered by key.
    pub items: Vec<Item>,
    /// Whether more pages follow.
    #[serde(rename = "has_next", default)]
    pub has_more: bool,
    /// Revision of the store.
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// A condition of a transaction, for compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Compare {
    /// Key.
    #[serde(rename = "path")]
    pub key: String,
    /// Version that the key must have. 0 means that the key must not exist.
    #[serde(rename = "stamp")]
    pub version: u64,
}

impl Compare {
    /// Requires that `key` has the given version.
    pub fn new(key: impl Into<String>, version: u64) -> Self {
        let key = key.into();
        Self { key, version }
    }
}

/// A write of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write {
    /// Sets a key.
    Put {
        /// Key.
        #[serde(rename = "write")]
        key: String,
        /// Value.
        #[serde(rename = "v")]
        value: Value,
        /// Lease to which the key is attached.
        #[serde(rename = "tether", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// Key.
        #[serde(rename = "drop")]
        key: String,
    },
}

/// Converts a record to a CBOR value. This never fails for the record types of this crate, which are plain maps.
pub fn to_value<T: Serialize>(record: &T) -> Value {
    Value::serialized(record).unwrap_or(Value::Null)
}

impl Write {
    /// Sets a key to a record, without a lease.
    pub fn put<T: Serialize>(key: impl Into<String>, record: &T) -> Self {
        Write::Put {
            key: key.into(),
            value: to_value(record),
            lease: None,
        }
    }

    /// Deletes a key.
    pub fn delete(key: impl Into<String>) -> Self {
        Write::Delete { key: key.into() }
    }
}

/// A transaction.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Txn {
    /// Conditions, all of which must hold.
    #[serde(rename = "guards")]
    pub compares: Vec<Compare>,
    /// Writes, which are applied atomically.
    #[serde(rename = "writes")]
    pub writes: Vec<Write>,
}

/// Response to a transaction, or to a read of a key that does not exist.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct TxnResponse {
    /// Keys whose conditions did not hold.
    #[serde(rename = "failed", default, skip_serializing_if = "Vec::is_empty")]
    pub failed_keys: Vec<String>,
    /// Revision of the store.
    #[serde(rename = "epoch", default)]
    pub revision: u64,
}

/// Request for a new lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Time to live, in milliseconds.
    #[serde(rename = "life_ms")]
    pub ttl_ms: u64,
}

/// A lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    /// Id of the lease.
    #[serde(rename = "tether")]
    pub id: u64,
}

/// A change that a watch reports.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Key that was set.
    #[serde(rename = "write", default, skip_serializing_if = "Option::is_none")]
    pub put_key: Option<String>,
    /// Value that the key was set to.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub value: Option<Value>,
    /// Key that was deleted.
    #[serde(rename = "drop", default, skip_serializing_if = "Option::is_none")]
    pub deleted_key: Option<String>,
    /// Revision of the change, which is the new version of a key that was set.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// Response to a watch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// Revision up to which changes are reported.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// Changes, ordered by revision.
    #[serde(rename = "log", default)]
    pub changes: Vec<Change>,
}

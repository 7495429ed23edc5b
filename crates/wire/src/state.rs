//! What the state service is asked and answers.

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
    /// Revision of its last change.
    #[serde(rename = "stamp")]
    pub version: u64,
    /// Lease it is attached to.
    #[serde(rename = "tether", default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
}

/// A page of keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// Keys in order.
    pub items: Vec<Item>,
    /// Whether there are more.
    #[serde(rename = "has_next", default)]
    pub more: bool,
    /// Revision of the store.
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// A condition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Compare {
    /// Key.
    #[serde(rename = "path")]
    pub key: String,
    /// Version it must have; 0: it must not exist.
    #[serde(rename = "stamp")]
    pub version: u64,
}

impl Compare {
    /// The key must have this version.
    pub fn new(key: impl Into<String>, version: u64) -> Self {
        let key = key.into();
        Self { key, version }
    }
}

/// A change of a transaction.
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
        /// Lease to attach it to.
        #[serde(rename = "tether", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Removes a key.
    Delete {
        /// Key.
        #[serde(rename = "drop")]
        key: String,
    },
}

/// Any of ours as a value. Our record types are plain maps, which CBOR can always hold.
pub fn to_value<T: Serialize>(record: &T) -> Value {
    Value::serialized(record).unwrap_or(Value::Null)
}

impl Write {
    /// Sets a key to a record.
    pub fn put<T: Serialize>(key: impl Into<String>, record: &T) -> Self {
        Write::Put {
            key: key.into(),
            value: to_value(record),
            lease: None,
        }
    }

    /// Removes a key.
    pub fn delete(key: impl Into<String>) -> Self {
        Write::Delete { key: key.into() }
    }
}

/// A transaction.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Txn {
    /// Conditions.
    #[serde(rename = "guards")]
    pub compares: Vec<Compare>,
    /// Changes.
    #[serde(rename = "writes")]
    pub writes: Vec<Write>,
}

/// Answer to a transaction, or to a look at a missing key.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct TxnAnswer {
    /// Keys whose condition failed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failed: Vec<String>,
    /// Revision of the store.
    #[serde(rename = "epoch", default)]
    pub revision: u64,
}

/// Request for a lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaseAsk {
    /// Life in milliseconds.
    #[serde(rename = "life_ms")]
    pub ttl_ms: u64,
}

/// A lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    /// Its id.
    #[serde(rename = "tether")]
    pub lease: u64,
}

/// A change seen by a watch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Key set.
    #[serde(rename = "write", default, skip_serializing_if = "Option::is_none")]
    pub put: Option<String>,
    /// Its value.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub value: Option<Value>,
    /// Key removed.
    #[serde(rename = "drop", default, skip_serializing_if = "Option::is_none")]
    pub delete: Option<String>,
    /// Revision of the change.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// Answer to a watch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// Revision up to which changes are told.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// Changes in order.
    #[serde(rename = "log", default)]
    pub events: Vec<Change>,
}

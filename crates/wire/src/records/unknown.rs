//! Fields of a record that this build does not know.

use serde::{Serialize, Serializer};
use std::collections::BTreeMap;

/// Fields of a record that this build does not know. They are written back with the record, so that fields of a newer
/// build are not lost. Records that this build creates have none.
pub type UnknownFields = BTreeMap<String, ciborium::Value>;

/// Serializes a record with its unknown fields. Without unknown fields, the bytes are those of the known fields alone.
pub(super) fn serialize_with<T: Serialize, S: Serializer>(
    known: &T,
    unknown: &UnknownFields,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    #[derive(Serialize)]
    struct AllFields<'a, T> {
        #[serde(flatten)]
        known: &'a T,
        #[serde(flatten)]
        unknown: &'a UnknownFields,
    }
    if unknown.is_empty() {
        known.serialize(serializer)
    } else {
        AllFields { known, unknown }.serialize(serializer)
    }
}

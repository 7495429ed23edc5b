//! Fields of a record that this build does not know.

use serde::{Serialize, Serializer};
use std::collections::BTreeMap;

/// Fields of a record that this build does not know. They are preserved when the record is written again, so that what
/// a newer build has added is not lost. Empty in records that this build creates.
pub type UnknownFields = BTreeMap<String, ciborium::Value>;

/// Serializes a record with its unknown fields. Without unknown fields, the bytes are those of the known fields alone.
pub(super) fn serialize_with<T: Serialize, S: Serializer>(
    known: &T,
    unknown: &UnknownFields,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    #[derive(Serialize)]
    struct Both<'a, T> {
        #[serde(flatten)]
        known: &'a T,
        #[serde(flatten)]
        unknown: &'a UnknownFields,
    }
    if unknown.is_empty() {
        known.serialize(serializer)
    } else {
        Both { known, unknown }.serialize(serializer)
    }
}

//! Fields of a record that this build does not know.

use serde::{Serialize, Serializer};
use std::collections::BTreeMap;

/// Fields of a record that this build does not know: kept when the record is written again, so that what a newer build
/// has added survives. Empty in whatever this build writes itself.
pub type UnknownFields = BTreeMap<String, ciborium::Value>;

/// Writes a record with its unknown fields. Without any, its bytes are those of the known fields alone.
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
    match unknown.is_empty() {
        true => known.serialize(serializer),
        false => Both { known, unknown }.serialize(serializer),
    }
}

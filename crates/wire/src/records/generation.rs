//! Records of the generations that controllers run. They are used where staged upgrades are disabled; where they are
//! enabled, see [`super::LevelRecord`].

use super::{unknown, UnknownFields};
use serde::{Deserialize, Serialize, Serializer};

/// The generation that one controller runs, or that all controllers are known to run.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct GenerationRecord {
    /// Number of the generation. It never decreases.
    pub generation: u32,
    /// Fields that a newer build has added.
    #[serde(flatten)]
    pub unknown: UnknownFields,
}

impl GenerationRecord {
    /// A record without unknown fields.
    pub fn new(generation: u32) -> Self {
        GenerationRecord {
            generation,
            unknown: UnknownFields::new(),
        }
    }
}

impl Serialize for GenerationRecord {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        #[derive(Serialize)]
        struct Known {
            generation: u32,
        }
        let generation = self.generation;
        unknown::serialize_with(&Known { generation }, &self.unknown, serializer)
    }
}

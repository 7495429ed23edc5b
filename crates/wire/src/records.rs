//! Records that the controllers store in the state service, and their keys.

mod dense;
mod generation;
mod job;
mod keys;
mod leadership;
mod pages;
mod partitions;
mod rental;
mod rollout;
mod unknown;

pub use dense::{DenseChunk, DensePageEntry};
pub use generation::GenerationRecord;
pub use job::{JobOutcome, JobOverflowRecord, JobRecord};
pub use keys::{
    final_record_key, job_key, job_overflow_key, node_generation_key, page_key, rental_key,
    COMMON_GENERATION_KEY, FINAL_RECORD_PREFIX, GENERATIONS_PREFIX, JOB_OVERFLOW_PREFIX,
    JOB_PREFIX, LEADER_KEY, MACHINE_TYPES_KEY, NODE_GENERATION_PREFIX, PAGE_PREFIX, RENTAL_PREFIX,
    TERM_KEY,
};
pub use leadership::{LeaderRecord, TermRecord};
pub use pages::{ChunkRecord, PageEntry, PageRecord};
pub use partitions::{
    ownership_table_key, OwnershipTableRecord, PartitionRow, OWNERSHIP_TABLE_PREFIX,
};
pub use rental::RentalRecord;
pub use rollout::{
    member_key, LevelRecord, MemberRecord, PauseReason, RolloutPhase, CLUSTER_LEVEL_KEY,
    MEMBER_PREFIX, ROLLOUT_PREFIX,
};
pub use unknown::UnknownFields;

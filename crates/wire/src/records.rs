//! Records that the controllers store in the state service, and their keys.

mod generation;
mod job;
mod keys;
mod leadership;
mod pages;
mod partitions;
mod rental;
mod rollout;
mod small;
mod unknown;

pub use generation::GenerationRecord;
pub use job::{Final, JobOverflowRecord, JobRecord};
pub use keys::{
    final_key, job_key, job_overflow_key, node_key, page_key, rental_key, FINALS, GENERATIONS,
    JOBS, LEADER, MARK, MORE, NODES, PAGES, RENTALS, TERM, TYPES,
};
pub use leadership::{LeaderRecord, TermRecord};
pub use pages::{ChunkRecord, PageEntry, PageRecord};
pub use partitions::{partitions_key, PartitionRow, PartitionsRecord, PARTITIONS};
pub use rental::RentalRecord;
pub use rollout::{
    member_key, LevelRecord, MemberRecord, PauseReason, Phase, LEVEL, MEMBERS, ROLLOUT,
};
pub use small::{SmallEntry, SmallPart};
pub use unknown::UnknownFields;

//! The leader's model of jobs, tasks and machines.
//!
//! These types hold state and answer queries about it. Decisions are made in the other modules of the leader.

mod assignment;
mod boot_times;
mod job;
mod machine;
mod record_cell;
mod task_chunk;

pub(crate) use assignment::{Assignment, AssignmentStage, StopRequest};
pub(crate) use boot_times::BootTimes;
pub(crate) use job::{DownstreamDemand, Job};
pub(crate) use machine::{Machine, OwnerPermit};
pub(crate) use record_cell::RecordCell;
pub(crate) use task_chunk::Chunk;

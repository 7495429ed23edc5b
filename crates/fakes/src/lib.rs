//! wip

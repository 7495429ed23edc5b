//! Connects the node to its partitions actor.

use super::Node;
use crate::effects::{Effects, Now};
use crate::partitions::{NodeView, Partitions, PartitionsStatus};
use crate::settings::{Operator, Settings};
use constants::{CLOCK_DRIFT_FACTOR, GRANT_DURATION_MS};
use wire::partitions::{PartitionId, PartitionMessage};

impl Node {
    /// Returns what this controller knows of partitions, if they are enabled.
    pub fn partitions_status(&self) -> Option<PartitionsStatus> {
        let partitions = self.partitions.as_ref()?;
        Some(partitions.status(self.last_turn_at.mono))
    }

    /// Starts to move a partition to another controller at an operator's request. Returns false if
    /// this node is not the leader, if the partition is already being moved, or if that controller
    /// already owns it.
    pub fn move_partition(&mut self, partition: PartitionId, to: &str, now: Now) -> bool {
        let partitions = self.partitions.as_mut();
        partitions.is_some_and(|partitions| partitions.begin_move(partition, to, now.mono))
    }

    /// Returns the milliseconds for which owners may be granted partitions now. An owner must not
    /// answer workers for longer than this node may, given the cancellations known now.
    fn grant_ms(&self, now: u64) -> u64 {
        let Some(cancellations_known_until) = self
            .cancellations_known_until()
            .filter(|_| self.may_answer_workers(now))
        else {
            return 0;
        };
        let answers_until = cancellations_known_until + self.settings.keepalive_ms();
        let left_ms = answers_until.saturating_sub(now) as f64 / CLOCK_DRIFT_FACTOR;
        GRANT_DURATION_MS.min(left_ms as u64)
    }

    /// Performs the work of the partitions actor that is due.
    pub(super) fn tick_partitions(&mut self, effects: &mut Effects) {
        let now = effects.now.mono;
        let grant_ms = self.grant_ms(now);
        let Some(partitions) = &mut self.partitions else {
            return;
        };
        let view = NodeView::new(&self.rollout, &self.peers, &self.election, grant_ms, now);
        partitions.tick(&view, self.leader.as_mut(), effects);
    }

    /// Handles a peer's message about partitions. A node with partitions disabled refuses it.
    pub(super) fn on_partition_message(
        &mut self,
        from: &str,
        message: PartitionMessage,
        effects: &mut Effects,
    ) {
        let now = effects.now.mono;
        self.election.observe_term(message.term, effects);
        let grant_ms = self.grant_ms(now);
        let Some(partitions) = &mut self.partitions else {
            log::info!(
                "event=partition_message_refused from={from} why=\"partitions are disabled on this node\""
            );
            return;
        };
        let view = NodeView::new(&self.rollout, &self.peers, &self.election, grant_ms, now);
        partitions.on_message(from, message, &view, self.leader.as_mut(), effects);
    }
}

/// Creates the partitions actor, or returns `None` if partitions are disabled.
pub(super) fn new_partitions(
    settings: &Settings,
    operator: &Operator,
    boot: u64,
    now: u64,
) -> Option<Partitions> {
    let partitions = operator.partitions.as_ref()?;
    // The settings were validated when they were read.
    let pins = partitions.validated_pins(settings).unwrap_or_default();
    Some(Partitions::new(settings, pins, boot, now))
}

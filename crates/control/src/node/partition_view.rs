//! The interface between a node and its actor for partitions.

use super::Node;
use crate::effects::{Effects, Now};
use crate::partitions::{Partitions, PartitionsStatus, View};
use crate::settings::{Operator, Settings};
use constants::{DRIFT, GRANT_MS};
use wire::partitions::{PartitionId, PartitionMessage};

impl Node {
    /// What this controller knows of partitions, if they are switched on.
    pub fn partitions_status(&self) -> Option<PartitionsStatus> {
        let partitions = self.partitions.as_ref()?;
        Some(partitions.status(self.last_now.mono))
    }

    /// Begins to move a partition to another controller, as an operator asks for. Returns false if this
    /// node does not lead, if the partition is moving already, or if that controller owns it.
    pub fn move_partition(&mut self, partition: PartitionId, to: &str, now: Now) -> bool {
        let partitions = self.partitions.as_mut();
        partitions.is_some_and(|partitions| partitions.begin_move(partition, to, now.mono))
    }

    /// Milliseconds for which an owner may be granted partitions now. Its answers to workers must not come
    /// later than ours may, by what is known of cancellations at this moment.
    fn grant_ms(&self, now: u64) -> u64 {
        let Some(informed_until) = self.informed_until().filter(|_| self.may_answer(now)) else {
            return 0;
        };
        let answers_until = informed_until + self.settings.keepalive_ms();
        let left_ms = answers_until.saturating_sub(now) as f64 / DRIFT;
        GRANT_MS.min(left_ms as u64)
    }

    /// Lets the actor for partitions do what is due.
    pub(super) fn tick_partitions(&mut self, effects: &mut Effects) {
        let now = effects.now.mono;
        let grant_ms = self.grant_ms(now);
        let Some(partitions) = &mut self.partitions else {
            return;
        };
        let view = View::new(&self.rollout, &self.peers, &self.election, grant_ms, now);
        partitions.tick(&view, self.leader.as_mut(), effects);
    }

    /// Passes a peer's message about partitions on. A node where they are not switched on refuses it.
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
                "event=partition_message_refused from={from} why=\"partitions are off here\""
            );
            return;
        };
        let view = View::new(&self.rollout, &self.peers, &self.election, grant_ms, now);
        partitions.on_message(from, message, &view, self.leader.as_mut(), effects);
    }
}

/// The actor for partitions; `None` where they are not switched on.
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

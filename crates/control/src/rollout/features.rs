//! What the state of an upgrade allows this process and its peers to do: features, admission, and rules for elections.

use super::Rollout;
use crate::peers::Peers;
use rollout::{Feature, RolloutStateMachine};
use wire::state::Compare;

impl Rollout {
    /// Whether records may be written that builds before generation 1 can't read.
    pub fn small_values_enabled(&self) -> bool {
        self.gates().is_open(Feature::SmallValues)
    }

    /// Whether owners of partitions may answer workers.
    pub fn partitions_enabled(&self) -> bool {
        self.gates().is_open(Feature::Partitions)
    }

    /// Whether the running process of a peer has announced a level with partitions.
    pub fn peer_supports_partitions(&self, label: &str, now: u64) -> bool {
        let staged = self.staged();
        staged.is_some_and(|machine| machine.peer_supports(label, Feature::Partitions, now))
    }

    /// Whether this process may serve users, write and stand for election.
    pub fn is_admitted(&self) -> bool {
        self.staged().is_none_or(RolloutStateMachine::is_admitted)
    }

    /// Whether this process may stand for election: it must be admitted and have read the level after its last stall.
    pub fn may_stand_for_election(&self) -> bool {
        self.staged()
            .is_none_or(RolloutStateMachine::is_admission_current)
    }

    /// The level that the leader's record names, if the feature is enabled.
    pub fn leader_record_level(&self) -> Option<u32> {
        let (level, _) = self.gates().condition(Feature::LeaderLevel)?;
        Some(level)
    }

    /// Conditions of this process's election: nothing has been finalized since it was admitted, and the level that its
    /// record names is still active.
    pub fn election_conditions(&self) -> Vec<Compare> {
        let Some(machine) = self.staged() else {
            return Vec::new();
        };
        let admission = machine.admission_condition();
        let level = self.gates().condition(Feature::LeaderLevel);
        let level = level.map(|(_, condition)| condition);
        admission.into_iter().chain(level).collect()
    }

    /// Milliseconds by which this process delays its candidacy in favor of newer builds.
    pub fn election_delay_ms(&self, now: u64) -> u64 {
        let staged = self.staged();
        staged.map_or(0, |machine| machine.election_delay_ms(now))
    }

    /// The controller to which a stopping leader hands over: one that reaches the state service, and among those one of
    /// the newest build.
    pub fn successor(&self, peers: &Peers, now: u64) -> Option<String> {
        let machine = self.staged()?;
        if !self.gates().is_open(Feature::PlannedHandover) {
            return None;
        }
        let candidates = peers
            .peers_reaching_state(now)
            .filter(|label| machine.peer_supports(label, Feature::PlannedHandover, now));
        candidates
            .max_by_key(|label| machine.peer_newest_level(label))
            .map(str::to_string)
    }
}

//! What an upgrade allows this process and its peers to do: features, admission, and the rules of elections.

use super::Rollout;
use crate::peers::Peers;
use rollout::{Feature, RolloutMachine};
use wire::state::Compare;

impl Rollout {
    /// Whether records may be written that builds before generation 1 can't read.
    pub fn has_small_values(&self) -> bool {
        self.gates().is_open(Feature::SmallValues)
    }

    /// Whether owners of partitions may answer workers.
    pub fn has_partitions(&self) -> bool {
        self.gates().is_open(Feature::Partitions)
    }

    /// Whether a peer's process has announced that it knows partitions.
    pub fn peer_has_partitions(&self, label: &str, now: u64) -> bool {
        let levels = self.levels();
        levels.is_some_and(|machine| machine.peer_has(label, Feature::Partitions, now))
    }

    /// Whether this process may serve users, write and stand for election.
    pub fn is_admitted(&self) -> bool {
        self.levels().is_none_or(RolloutMachine::is_admitted)
    }

    /// Whether this process may stand for election: what it knows of the level was read after its last stall.
    pub fn may_stand(&self) -> bool {
        self.levels().is_none_or(RolloutMachine::is_up_to_date)
    }

    /// The level that the leader's record is to name, if it may name one.
    pub fn leader_level(&self) -> Option<u32> {
        let (level, _) = self.gates().condition(Feature::LeaderLevel)?;
        Some(level)
    }

    /// Conditions of this process's election: nothing has become final since it was admitted, and the level that its
    /// record names is still active.
    pub fn election_conditions(&self) -> Vec<Compare> {
        let Some(machine) = self.levels() else {
            return Vec::new();
        };
        let admission = machine.admission_guard();
        let level = self.gates().condition(Feature::LeaderLevel);
        let level = level.map(|(_, condition)| condition);
        admission.into_iter().chain(level).collect()
    }

    /// Milliseconds for which an election is left to newer builds.
    pub fn defers_election_ms(&self, now: u64) -> u64 {
        let levels = self.levels();
        levels.map_or(0, |machine| machine.defers_election_ms(now))
    }

    /// The controller to which a leader that stops hands over: one that reaches the state service, of the
    /// newest build among those.
    pub fn successor(&self, peers: &Peers, now: u64) -> Option<String> {
        let machine = self.levels()?;
        if !self.gates().is_open(Feature::PlannedHandover) {
            return None;
        }
        let candidates = peers
            .peers_reaching_state(now)
            .filter(|label| machine.peer_has(label, Feature::PlannedHandover, now));
        candidates
            .max_by_key(|label| machine.peer_newest(label))
            .map(str::to_string)
    }
}

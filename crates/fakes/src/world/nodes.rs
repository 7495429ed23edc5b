//! The controllers: starting, stopping and crashing them, and their own status.

use super::World;
use crate::events::NodeSlot;
use crate::MESSAGE_DELAY_MS;
use control::{Input, Node, Operator};

/// Difference between the boot numbers of two successive processes of a node. It exceeds the number of nodes, so that
/// no two processes have the same boot number.
const BOOT_NUMBER_STEP: u64 = 1000;

impl World {
    /// Starts a new process of a node.
    pub fn start(&mut self, i: usize) {
        let now = self.clock();
        let slot = &mut self.nodes[i];
        slot.process_epoch += 1;
        let boot = BOOT_NUMBER_STEP * slot.process_epoch + i as u64;
        slot.node = Some(Node::new(
            self.settings[i].clone(),
            self.operators[i].clone(),
            now,
            boot,
            self.stopwatch,
        ));
    }

    /// Sets the operator settings for later starts of a node.
    pub fn set_operator(&mut self, i: usize, operator: Operator) {
        self.operators[i] = operator;
    }

    /// Requests a node to stop. Its process ends once it has nothing left to do.
    pub fn stop(&mut self, i: usize) {
        let now = self.clock();
        if let Some(node) = &mut self.nodes[i].node {
            node.handle(now, Input::Stop);
        }
        self.send_outputs(i);
    }

    /// State of the staged upgrade as a node knows it.
    pub fn rollout_status(&self, i: usize) -> Option<control::RolloutStatus> {
        self.nodes[i].node.as_ref()?.rollout_status()
    }

    /// State of the fleet's partitions as a node knows it, if the node runs and partitions are enabled.
    pub fn partitions_status(&self, i: usize) -> Option<control::PartitionsStatus> {
        self.nodes[i].node.as_ref()?.partitions_status()
    }

    /// Tells a node whether its sockets are running short.
    pub fn set_crowded(&mut self, i: usize, is_crowded: bool) {
        if let Some(node) = &mut self.nodes[i].node {
            node.set_socket_shortage(is_crowded);
        }
    }

    /// Requests the leader to move a partition. Returns false if there is no leader or it does not move the partition.
    pub fn move_partition(&mut self, partition: u16, to: usize) -> bool {
        let (now, to) = (self.clock(), self.settings[to].label.clone());
        let Some(leader) = self.leader() else {
            return false;
        };
        let node = self.nodes[leader].node.as_mut();
        node.is_some_and(|node| node.move_partition(partition, &to, now))
    }

    /// Ends a node's process without warning. Connections of the other nodes to it are refused.
    pub fn crash(&mut self, i: usize) {
        self.nodes[i].node = None;
        self.nodes[i].process_epoch += 1;
        self.state_service
            .watches
            .retain(|watch| watch.caller.node != i);
        let from = self.settings[i].label.clone();
        for j in (0..self.nodes.len()).filter(|j| *j != i) {
            let input = Input::PeerConnectionRefused { from: from.clone() };
            self.schedule_input(self.now + MESSAGE_DELAY_MS, j, input);
        }
    }

    /// The leader with the highest term, if any node leads.
    pub fn leader(&self) -> Option<usize> {
        let term = |slot: &NodeSlot| slot.node.as_ref().and_then(Node::leading_term);
        (0..self.nodes.len())
            .filter(|&i| term(&self.nodes[i]).is_some())
            .max_by_key(|&i| term(&self.nodes[i]))
    }

    /// Term of a node, if the node leads.
    pub fn term_of(&self, i: usize) -> Option<u64> {
        self.nodes[i].node.as_ref().and_then(Node::leading_term)
    }

    /// Number of controllers, including those that are down.
    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Whether a node's process has ended.
    pub fn is_down(&self, i: usize) -> bool {
        self.nodes[i].node.is_none()
    }
}

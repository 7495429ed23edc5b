//! The controllers: starting, stopping and crashing them, and what they report of themselves.

use super::World;
use crate::events::NodeSlot;
use crate::DELAY_MS;
use control::{Input, Node, Operator};

/// Boot numbers between two starts: more than there are nodes, so that no two processes share one.
const BOOTS_PER_START: u64 = 1000;

impl World {
    /// Starts a new process of a node.
    pub fn start(&mut self, i: usize) {
        let now = self.clock();
        let slot = &mut self.nodes[i];
        slot.start += 1;
        let boot = BOOTS_PER_START * slot.start + i as u64;
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

    /// Asks a node to stop; its process ends once it has nothing left to do.
    pub fn stop(&mut self, i: usize) {
        let now = self.clock();
        if let Some(node) = &mut self.nodes[i].node {
            node.handle(now, Input::Stop);
        }
        self.drain(i);
    }

    /// The state of a staged upgrade, as a node knows it.
    pub fn rollout_status(&self, i: usize) -> Option<control::RolloutStatus> {
        self.nodes[i].node.as_ref()?.rollout_status()
    }

    /// What a node knows of partitions of the fleet, if it runs and they are switched on.
    pub fn partitions_status(&self, i: usize) -> Option<control::PartitionsStatus> {
        self.nodes[i].node.as_ref()?.partitions_status()
    }

    /// Notifies a node whether its sockets are short.
    pub fn set_crowded(&mut self, i: usize, is_crowded: bool) {
        if let Some(node) = &mut self.nodes[i].node {
            node.set_socket_shortage(is_crowded);
        }
    }

    /// Asks the leader to move a partition. Returns false if it does not.
    pub fn move_partition(&mut self, partition: u16, to: usize) -> bool {
        let (now, to) = (self.clock(), self.settings[to].label.clone());
        let Some(leader) = self.leader() else {
            return false;
        };
        let node = self.nodes[leader].node.as_mut();
        node.is_some_and(|node| node.move_partition(partition, &to, now))
    }

    /// Ends a node without warning.
    pub fn crash(&mut self, i: usize) {
        self.nodes[i].node = None;
        self.nodes[i].start += 1;
        self.state.watches.retain(|watch| watch.waiter.node != i);
        let from = self.settings[i].label.clone();
        for j in (0..self.nodes.len()).filter(|j| *j != i) {
            let input = Input::PeerConnectionRefused { from: from.clone() };
            self.push_input(self.now + DELAY_MS, j, input);
        }
    }

    /// The node that leads, if any does.
    pub fn leader(&self) -> Option<usize> {
        let term = |slot: &NodeSlot| slot.node.as_ref().and_then(Node::leading_term);
        (0..self.nodes.len())
            .filter(|&i| term(&self.nodes[i]).is_some())
            .max_by_key(|&i| term(&self.nodes[i]))
    }

    /// Term of a node, if it leads.
    pub fn term_of(&self, i: usize) -> Option<u64> {
        self.nodes[i].node.as_ref().and_then(Node::leading_term)
    }

    /// How many controllers there are, those that are down included.
    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Whether a node's process has ended.
    pub fn is_down(&self, i: usize) -> bool {
        self.nodes[i].node.is_none()
    }
}

//! Simulated time: its steps, and the events that are due in each.

use super::World;
use crate::events::Event;
use crate::turns::{record_turn, TurnKind};
use control::{Input, Now};

/// Duration of a step in milliseconds.
const STEP_MS: u64 = 10;
/// Number of workers above which workers are simulated in coarser steps.
const LARGE_FLEET_WORKERS: usize = 500;
/// Steps of the world for each step of the workers of a large fleet.
const LARGE_FLEET_STEP_INTERVAL: u64 = 10;
/// Unix time at simulated time 0, in milliseconds.
const UNIX_START_MS: u64 = 1_700_000_000_000;

impl World {
    /// Current time of the clocks, which are the same for all nodes.
    pub(crate) fn clock(&self) -> Now {
        Now {
            mono: self.now,
            unix: UNIX_START_MS + self.now,
        }
    }

    /// Schedules an event.
    pub(crate) fn schedule(&mut self, at: u64, event: Event) {
        self.last_event_number += 1;
        self.queue.insert((at, self.last_event_number), event);
    }

    /// Schedules input for the current process of a node.
    pub(crate) fn schedule_input(&mut self, at: u64, node: usize, input: Input) {
        let process_epoch = self.nodes[node].process_epoch;
        self.schedule(
            at,
            Event::ToNode {
                node,
                process_epoch,
                input,
            },
        );
    }

    /// Advances the simulated time by `ms`.
    pub fn run_for(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.now < until {
            self.step();
        }
    }

    /// Advances the simulated time until a condition holds. Returns false if it does not hold within `ms`.
    pub fn run_until(&mut self, ms: u64, mut holds: impl FnMut(&mut World) -> bool) -> bool {
        let until = self.now + ms;
        while self.now < until {
            if holds(self) {
                return true;
            }
            self.run_for(100);
        }
        holds(self)
    }

    /// Executes one step of simulated time.
    pub(crate) fn step(&mut self) {
        self.now += STEP_MS;
        if self.was_state_service_down && !self.state_service_down {
            self.state_service.renew_all_leases(self.now);
        }
        self.was_state_service_down = self.state_service_down;
        if !self.state_service_down {
            self.state_service.expire_leases(self.now);
        }
        self.deliver_due_events();
        self.answer_watches();
        for i in 0..self.nodes.len() {
            self.tick_node(i);
        }
        self.send_due_duplicates();
        self.boot_due_machines();
        // The workers of a large fleet are simulated in coarser steps.
        let interval = match self.workers.len() > LARGE_FLEET_WORKERS {
            true => LARGE_FLEET_STEP_INTERVAL,
            false => 1,
        };
        if (self.now / STEP_MS).is_multiple_of(interval) {
            self.run_workers();
            self.check_rules();
        }
    }

    /// Delivers the events that are due.
    fn deliver_due_events(&mut self) {
        while let Some((&(at, number), _)) = self.queue.first_key_value() {
            if at > self.now {
                break;
            }
            if let Some(event) = self.queue.remove(&(at, number)) {
                self.deliver(event);
            }
        }
    }

    /// Wakes a node whose wake-up is due, unless the node is frozen. Ends its process once the node has stopped.
    fn tick_node(&mut self, i: usize) {
        let now = self.clock();
        if self.faults.frozen_until(i, now.mono).is_some() {
            return;
        }
        if let Some(node) = &mut self.nodes[i].node {
            if now.mono >= node.next_wake() {
                self.node_wakeups += 1;
                let started = (self.stopwatch)();
                node.tick(now);
                let turn = (i, TurnKind::Tick);
                record_turn(&mut self.turns, turn, started, self.stopwatch);
            }
        }
        self.send_outputs(i);
        let stopped = self.nodes[i].node.as_ref();
        if stopped.is_some_and(|node| node.is_stopped(now.mono)) {
            self.crash(i);
        }
    }
}

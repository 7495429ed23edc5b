//! Simulated time: steps, and the messages that arrive meanwhile.

use super::World;
use crate::events::Event;
use crate::turns::{note_turn, TurnAbout};
use control::{Input, Now};

/// Milliseconds of a step.
const STEP_MS: u64 = 10;
/// Workers beyond which a fleet is simulated in coarser steps.
const LARGE_FLEET: usize = 500;
/// Steps of the world in one step of a large fleet.
const STEPS_OF_LARGE_FLEET: u64 = 10;
/// Time of day at the start, in milliseconds.
const UNIX_START_MS: u64 = 1_700_000_000_000;

impl World {
    /// The clocks of all nodes.
    pub(crate) fn clock(&self) -> Now {
        Now {
            mono: self.now,
            unix: UNIX_START_MS + self.now,
        }
    }

    /// Schedules a message.
    pub(crate) fn push(&mut self, at: u64, event: Event) {
        self.next_event += 1;
        self.queue.insert((at, self.next_event), event);
    }

    /// Schedules input for the present process of a node.
    pub(crate) fn push_input(&mut self, at: u64, node: usize, input: Input) {
        let start = self.nodes[node].start;
        self.push(at, Event::ToNode { node, start, input });
    }

    /// Lets time pass.
    pub fn run(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.now < until {
            self.step();
        }
    }

    /// Lets time pass until something holds; false if it does not within `ms`.
    pub fn until(&mut self, ms: u64, mut holds: impl FnMut(&mut World) -> bool) -> bool {
        let until = self.now + ms;
        while self.now < until {
            if holds(self) {
                return true;
            }
            self.run(100);
        }
        holds(self)
    }

    /// One step of simulated time.
    pub(crate) fn step(&mut self) {
        self.now += STEP_MS;
        if self.was_state_down && !self.state_down {
            self.state.refresh_leases(self.now);
        }
        self.was_state_down = self.state_down;
        if !self.state_down {
            self.state.expire(self.now);
        }
        self.deliver_due();
        self.answer_watches();
        for i in 0..self.nodes.len() {
            self.tick_node(i);
        }
        self.release_copies();
        self.boot();
        // The machines of a large fleet are simulated in coarser steps.
        let every = match self.workers.len() > LARGE_FLEET {
            true => STEPS_OF_LARGE_FLEET,
            false => 1,
        };
        if (self.now / STEP_MS).is_multiple_of(every) {
            self.run_workers();
            self.check();
        }
    }

    /// Delivers the messages that have arrived by now.
    fn deliver_due(&mut self) {
        while let Some((&(at, number), _)) = self.queue.first_key_value() {
            if at > self.now {
                break;
            }
            if let Some(event) = self.queue.remove(&(at, number)) {
                self.deliver(event);
            }
        }
    }

    /// Wakes a node that is due, unless it is frozen, and ends its process once it has stopped.
    fn tick_node(&mut self, i: usize) {
        let now = self.clock();
        if self.troubles.frozen_until(i, now.mono).is_some() {
            return;
        }
        if let Some(node) = &mut self.nodes[i].node {
            if now.mono >= node.next_wake() {
                self.ticks += 1;
                let started = (self.stopwatch)();
                node.tick(now);
                let turn = (i, TurnAbout::Tick);
                note_turn(&mut self.turns, turn, started, self.stopwatch);
            }
        }
        self.drain(i);
        let stopped = self.nodes[i].node.as_ref();
        if stopped.is_some_and(|node| node.is_stopped(now.mono)) {
            self.crash(i);
        }
    }
}

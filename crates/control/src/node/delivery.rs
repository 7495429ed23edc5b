//! Delivers the effects of actors: requests to the clients, events to the node, and outputs to the
//! process.

use super::Node;
use crate::effects::{CloudCall, Effects, StateRequest, WorkerMessage};
use crate::leader::direct_call;
use std::mem;

impl Node {
    /// Carries out effects, including those that this causes, until none are left.
    pub(super) fn deliver(&mut self, mut effects: Effects) {
        let mut must_handle_pending = true;
        loop {
            self.carry_out(&mut effects);
            if !effects.is_empty() {
                continue;
            }
            if mem::take(&mut must_handle_pending) {
                self.handle_pending_heartbeats(&mut effects);
            }
            self.release_deferred_answers(&mut effects);
            if effects.outputs.is_empty() {
                return;
            }
        }
    }

    /// Carries out effects once. Effects that this causes are added to `effects`.
    fn carry_out(&mut self, effects: &mut Effects) {
        let now = effects.now;
        for StateRequest { priority, op, tag } in mem::take(&mut effects.state_requests) {
            self.state.enqueue(now, priority, op, tag);
        }
        for CloudCall { op, tag } in mem::take(&mut effects.cloud_requests) {
            self.cloud.enqueue(op, tag);
        }
        for WorkerMessage { address, body } in mem::take(&mut effects.worker_messages) {
            self.last_call += 1;
            effects
                .outputs
                .push(direct_call(self.last_call, address, body));
        }
        for event in mem::take(&mut effects.events) {
            self.on_event(event, effects);
        }
        let mut expired = Vec::new();
        self.state
            .send_due(&mut self.last_call, effects, &mut expired);
        self.cloud.send_due(&mut self.last_call, effects);
        for (tag, reply) in expired {
            self.on_state_reply(tag, reply, effects);
        }
        for output in mem::take(&mut effects.outputs) {
            self.outputs
                .extend(self.forwarded_requests.route_response(output));
        }
    }

    /// Sends the deferred answers that have nothing left to wait for.
    fn release_deferred_answers(&mut self, effects: &mut Effects) {
        let now = effects.now.mono;
        if !self.deferred_answers.is_due(self.leader.as_mut(), now) {
            return;
        }
        let authority = self.leader_authority(now);
        let may_answer_workers = self.may_answer_workers(now);
        let leader = self.leader.as_mut().filter(|_| may_answer_workers);
        self.deferred_answers.release(leader, authority, effects);
    }
}

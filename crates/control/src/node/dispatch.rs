//! Dispatches inputs, ticks, and replies to calls to the actors that they concern.

use super::Node;
use crate::effects::{CallError, CallId, Effects, Input, Now};
use crate::election::ElectionRules;
use crate::forwarding::HttpRequest;
use crate::requests::{CloudTag, StateReply, StateTag};

impl Node {
    pub(super) fn on_input(&mut self, now: Now, input: Input) {
        let mut effects = Effects::new(now);
        self.check_for_stall(now, &mut effects);
        match input {
            Input::Request {
                id,
                method,
                target,
                body,
            } => {
                let request = HttpRequest {
                    id,
                    method: &method,
                    target: &target,
                    body: &body,
                };
                self.on_request(request, &mut effects);
            }
            Input::Reply { call, result } => self.on_reply(call, &result, &mut effects),
            Input::Peer { from, message } => self.on_peer(&from, message, &mut effects),
            Input::PeerConnectionRefused { from } => self
                .election
                .on_peer_connection_refused(&from, &mut effects),
            Input::Stop => self.begin_planned_stop(now),
        }
        self.deliver(effects);
    }

    pub(super) fn on_tick(&mut self, now: Now) {
        self.last_tick_at = now.mono;
        let mut effects = Effects::new(now);
        self.check_for_stall(now, &mut effects);
        let leader_label = self.election.leader_label(now.mono).map(str::to_string);
        self.rollout.tick(leader_label.as_deref(), &mut effects);
        self.election.set_rules(self.election_rules(now.mono));
        self.election.tick(&mut effects);
        self.gateway.tick(&mut effects);
        self.continue_planned_stop(&mut effects);
        if !self.rollout.is_admitted() {
            let reason = "this build may not take part";
            self.election.resign(reason, &mut effects);
        }
        let active = self.is_active(now.mono);
        if let Some(leader) = &mut self.leader {
            leader.tick(active, &mut effects);
        }
        self.tick_partitions(&mut effects);
        self.watch_leadership(&mut effects);
        let knows_types = self.gateway.knows_machine_types();
        let lists_types = self.leader.is_some();
        self.machine_types
            .tick(knows_types, lists_types, &mut effects);
        self.peer_heartbeats.tick(
            &self.election,
            &self.state,
            &self.peers,
            self.leader.as_mut(),
            &mut self.gateway,
            &mut effects,
        );
        self.forwarded_requests.tick(&mut effects);
        self.deliver(effects);
    }

    /// Returns the election rules that apply to this process now.
    fn election_rules(&self, now: u64) -> ElectionRules {
        ElectionRules {
            may_stand: self.rollout.may_stand_for_election() && self.planned_stop.is_none(),
            level: self.rollout.leader_record_level(),
            conditions: self.rollout.election_conditions(),
            defer_ms: self.rollout.election_delay_ms(now),
        }
    }

    fn watch_leadership(&mut self, effects: &mut Effects) {
        let reason = self.leadership_watch.reason_to_resign(
            self.leader.as_ref(),
            &self.election,
            &self.state,
            &self.peers,
            effects.now.mono,
        );
        if let Some(reason) = reason {
            self.election.resign(reason.as_str(), effects);
        }
    }

    fn on_reply(
        &mut self,
        call: CallId,
        result: &Result<(u16, Vec<u8>), CallError>,
        effects: &mut Effects,
    ) {
        if let Some((tag, reply)) = self.state.on_reply(effects.now, call, result) {
            return self.on_state_reply(tag, reply, effects);
        }
        if let Some((tag, op, reply)) = self.cloud.on_reply(effects.now.mono, call, result) {
            let CloudTag::Leader {
                term,
                purpose: request,
            } = tag;
            if let Some(leader) = self.leader.as_mut().filter(|leader| leader.term == term) {
                leader.handle_cloud_reply(request, op, reply, effects);
            }
        }
    }

    /// Passes a reply of the state service to the actor that sent the request.
    pub(super) fn on_state_reply(
        &mut self,
        tag: StateTag,
        reply: StateReply,
        effects: &mut Effects,
    ) {
        match tag {
            StateTag::Election(step) => self.election.on_reply(step, reply, effects),
            StateTag::User(number) => self.gateway.on_reply(number, reply, effects),
            StateTag::ReadValidation(number) => self
                .gateway
                .on_read_validation_reply(number, reply, effects),
            StateTag::UnknownIds(number) => self
                .gateway
                .on_unknown_id_check_reply(number, reply, effects),
            StateTag::Rollout(request) => self.rollout.on_reply(request, reply, effects),
            StateTag::Partitions { term, number } => {
                if let Some(partitions) = &mut self.partitions {
                    partitions.on_state_reply(term, number, reply, effects.now.mono);
                }
            }
            StateTag::Types => self.machine_types.on_reply(reply, effects),
            StateTag::Leader {
                term,
                purpose: request,
            } => {
                if let Some(leader) = self.leader.as_mut().filter(|leader| leader.term == term) {
                    leader.handle_state_reply(request, reply, effects);
                }
            }
        }
    }
}

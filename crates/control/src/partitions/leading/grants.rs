//! Handles owners' requests for grants and redirects workers to owners.

use super::{OwnerRequest, PartitionLeader};
use crate::effects::Effects;
use crate::leader::Leader;
use crate::partitions::{send, NodeView};
use crate::peers::Peers;
use ::partitions::partition_of;
use constants::{PEER_HEARTBEAT_FRESH_MS, REDIRECT_GRANT_REMAINING_MIN_MS};
use wire::partitions::{GrantRequest, PartitionMessageBody};
use wire::workers::WorkerHeartbeat;

impl PartitionLeader {
    /// Handles an owner's request for a grant of its partitions.
    pub fn on_request(
        &mut self,
        from: &str,
        term: u64,
        request: &GrantRequest,
        view: &NodeView,
        leader: &mut Leader,
        effects: &mut Effects,
    ) {
        let now = effects.now.mono;
        if let Some(why) = self.reason_to_refuse(from, term, request, view.peers, now) {
            log::info!("event=grant_request_refused from={from} term={term} why={why:?}");
            return;
        }
        self.note_owner(from, request, now);
        if !view.rollout.partitions_enabled() || self.is_table_unusable || view.grant_ms == 0 {
            return;
        }
        let entitled = self.mover.grantable_partitions(from);
        let grant = leader.on_grant_request(from, request, &entitled, view.grant_ms, now);
        match grant {
            Ok(Some(grant)) => send(from, self.term, PartitionMessageBody::Grant(grant), effects),
            Ok(None) => {}
            Err(why) => log::error!("event=grant_request_refused from={from} why=\"{why}\""),
        }
    }

    /// Returns why a request is refused, if it is. It must be from this term and from the process
    /// that sends heartbeats.
    fn reason_to_refuse(
        &self,
        from: &str,
        term: u64,
        request: &GrantRequest,
        peers: &Peers,
        now: u64,
    ) -> Option<&'static str> {
        if term != self.term {
            return Some("the request is from another term");
        }
        let process = peers.live_process(from, now);
        (process != Some(request.boot))
            .then_some("the request is not from the process that sends heartbeats")
    }

    /// Records the request, and whether the owner receives worker heartbeats.
    fn note_owner(&mut self, from: &str, request: &GrantRequest, now: u64) {
        let load = request.load;
        let before = self.owner_requests.insert(
            from.to_string(),
            OwnerRequest {
                received_at: now,
                load,
            },
        );
        if before.is_none_or(|before| load.reports > before.load.reports) {
            self.redirects.on_owner_received_heartbeats(from);
        }
    }

    /// Returns the owner to which a worker that sent a heartbeat to this leader is redirected, if
    /// any.
    pub fn redirect_target(
        &mut self,
        heartbeat: &WorkerHeartbeat,
        leader: &Leader,
        now: u64,
    ) -> Option<String> {
        let partition = partition_of(&heartbeat.machine);
        let owner = leader
            .grant_holder_at(partition, now + REDIRECT_GRANT_REMAINING_MIN_MS)?
            .to_string();
        let heard = self.owner_requests.get(&owner)?;
        let is_fresh = now < heard.received_at + PEER_HEARTBEAT_FRESH_MS;
        let is_current = is_fresh && heartbeat.term == self.term;
        let may_redirect = is_current && leader.may_be_redirected(&heartbeat.machine, now);
        let redirected =
            may_redirect && self.redirects.try_redirect(&heartbeat.machine, &owner, now);
        redirected.then_some(owner)
    }
}

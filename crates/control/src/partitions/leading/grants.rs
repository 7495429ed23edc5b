//! Owners' requests for grants, and redirects of workers to owners.

use super::{Leading, ReportingOwner};
use crate::effects::Effects;
use crate::leader::Leader;
use crate::partitions::{send, View};
use crate::peers::Peers;
use ::partitions::partition_of;
use constants::{PEER_FRESH_MS, REDIRECT_GRANT_MS};
use wire::partitions::{GrantRequest, PartitionBody};
use wire::workers::WorkerHeartbeat;

impl Leading {
    /// An owner requests a grant for its partitions.
    pub fn on_request(
        &mut self,
        from: &str,
        term: u64,
        request: &GrantRequest,
        view: &View,
        leader: &mut Leader,
        effects: &mut Effects,
    ) {
        let now = effects.now.mono;
        if let Some(why) = self.reason_to_refuse(from, term, request, view.peers, now) {
            log::info!("event=grant_request_refused from={from} term={term} why={why:?}");
            return;
        }
        self.note_owner(from, request, now);
        if !view.rollout.partitions_enabled() || self.is_unusable || view.grant_ms == 0 {
            return;
        }
        let entitled = self.handover.entitled(from);
        let grant = leader.on_grant_request(from, request, &entitled, view.grant_ms, now);
        match grant {
            Ok(Some(grant)) => send(from, self.term, PartitionBody::Grant(grant), effects),
            Ok(None) => {}
            Err(why) => log::error!("event=grant_request_refused from={from} why=\"{why}\""),
        }
    }

    /// Why a request is refused, if it is: it must be of this term and of the process that sends heartbeats.
    fn reason_to_refuse(
        &self,
        from: &str,
        term: u64,
        request: &GrantRequest,
        peers: &Peers,
        now: u64,
    ) -> Option<&'static str> {
        if term != self.term {
            return Some("of another term");
        }
        let process = peers.process_of(from, now);
        (process != Some(request.boot)).then_some("not of the process that is heard")
    }

    /// Notes the request, and whether the owner receives workers' reports.
    fn note_owner(&mut self, from: &str, request: &GrantRequest, now: u64) {
        let load = request.load;
        let before = self
            .owners
            .insert(from.to_string(), ReportingOwner { at: now, load });
        if before.is_none_or(|before| load.reports > before.load.reports) {
            self.redirects.owner_received_reports(from);
        }
    }

    /// The owner to which a worker that reported here is redirected, if it is.
    pub fn redirect(
        &mut self,
        report: &WorkerHeartbeat,
        leader: &Leader,
        now: u64,
    ) -> Option<String> {
        let partition = partition_of(&report.machine);
        let owner = leader
            .grant_holder_at(partition, now + REDIRECT_GRANT_MS)?
            .to_string();
        let heard = self.owners.get(&owner)?;
        let is_fresh = now < heard.at + PEER_FRESH_MS;
        let is_current = is_fresh && report.term == self.term;
        let may_redirect = is_current && leader.may_be_redirected(&report.machine, now);
        let redirected = may_redirect && self.redirects.try_redirect(&report.machine, &owner, now);
        redirected.then_some(owner)
    }
}

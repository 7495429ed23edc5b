//! Creation of jobs from submissions, including the checks of their dependencies.

use super::compares::COMPARES_PER_ABSENT_JOB;
use super::dependency_state::DependencyState;
use super::job_cache::JobVersion;
use super::pending::{Operation, PendingRequest, RecordVersions, Stage};
use super::Gateway;
use crate::effects::{Effects, NodeEvent};
use wire::records::{JobOutcome, JOB_PREFIX};
use wire::users::Phase;

impl Gateway {
    /// Continues a submission that has dependencies. All of them must have been accepted. The answer depends on whether
    /// a direct or transitive dependency is cancelled.
    pub(super) fn continue_submission(&mut self, pending_id: u64, effects: &mut Effects) {
        let Some(PendingRequest {
            operation: Operation::Submit(spec),
            ..
        }) = self.pending.get(pending_id)
        else {
            return;
        };
        if let Some(id) = spec.dependencies.iter().find(|id| !self.cache.is_known(id)) {
            return self.read_dependency(pending_id, id.clone(), effects);
        }
        let (dependency_cancelled, unvalidated) = match self
            .cache
            .dependency_state(spec.dependencies.iter())
        {
            DependencyState::Unknown(id) => return self.read_dependency(pending_id, id, effects),
            DependencyState::Cancelled => (true, RecordVersions::new()),
            DependencyState::Open(versions) => (false, versions),
        };
        if let Some(pending) = self.pending.get_mut(pending_id) {
            pending.dependency_cancelled = dependency_cancelled;
        }
        self.create_or_validate(pending_id, unvalidated, effects);
    }

    /// Starts the creating transaction, whose conditions are the job's absence and the versions of its dependencies. If
    /// these do not fit into it, some of the versions are validated first.
    fn create_or_validate(
        &mut self,
        pending_id: u64,
        unvalidated: RecordVersions,
        effects: &mut Effects,
    ) {
        let stage = if unvalidated.len() + COMPARES_PER_ABSENT_JOB > self.max_compares {
            Stage::ValidatingDependencies
        } else {
            Stage::Creating
        };
        if let Some(pending) = self.pending.get_mut(pending_id) {
            pending.unvalidated = Some(unvalidated);
        }
        self.advance(pending_id, stage, effects);
    }

    /// Handles the commit of a transaction that validated as many of a submission's dependencies as it could hold.
    pub(super) fn on_dependencies_validated(&mut self, pending_id: u64, effects: &mut Effects) {
        let Some(pending) = self.pending.get_mut(pending_id) else {
            return;
        };
        let Some(unvalidated) = pending.unvalidated.take() else {
            return;
        };
        // The transaction compared the first versions in map order.
        let rest = unvalidated.into_iter().skip(self.max_compares).collect();
        self.create_or_validate(pending_id, rest, effects);
    }

    /// Handles dependencies that have changed since they were last seen, usually because they have ended.
    pub(super) fn on_dependencies_changed(
        &mut self,
        pending_id: u64,
        failed_keys: &[String],
        effects: &mut Effects,
    ) {
        for id in failed_keys
            .iter()
            .filter_map(|key| key.strip_prefix(JOB_PREFIX))
        {
            self.cache.forget_version(id);
        }
        self.continue_submission(pending_id, effects);
    }

    /// Handles the commit of the creating transaction.
    pub(super) fn on_created(&mut self, pending_id: u64, version: u64, effects: &mut Effects) {
        let Some(pending) = self.pending.remove(pending_id) else {
            return;
        };
        let took_ms = effects.now.mono.saturating_sub(pending.received_at());
        let needs = match pending.operation {
            Operation::Submit(spec) => spec.dependencies,
            _ => Vec::new(),
        };
        log::info!(
            "event=job_accepted job={} took_ms={took_ms} needs={} dependency_cancelled={}",
            pending.job_id,
            needs.len(),
            pending.dependency_cancelled
        );
        if !needs.is_empty() && !self.records.is_upgraded() {
            let observation = "a submission that needs others";
            effects.emit(NodeEvent::UpgradeEvidence { observation });
        }
        self.cache
            .remember_version(&pending.job_id, JobVersion::new(version, false, &needs));
        let phase = self.created_phase(&pending.job_id, pending.dependency_cancelled);
        self.answer_created(pending.request, &pending.job_id, phase, effects);
    }

    /// Phase of a job that has just been created. Before this node received the reply to the creation, another node may
    /// have answered a repeat of the submission, and the job may have been cancelled.
    fn created_phase(&self, id: &str, dependency_cancelled: bool) -> Phase {
        match self.cache.known_outcome(id) {
            Some(JobOutcome::Done) => Phase::Done,
            Some(JobOutcome::Aborted) => Phase::Aborted,
            None if dependency_cancelled => Phase::Aborted,
            None => Phase::Queued,
        }
    }
}

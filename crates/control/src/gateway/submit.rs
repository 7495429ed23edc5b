//! Submissions on their way to being created, with the jobs that they need.

use super::compares::COMPARES_PER_ABSENT_JOB;
use super::dependency_state::DependencyState;
use super::job_cache::JobVersion;
use super::pending::{Operation, PendingRequest, RecordVersions, Stage};
use super::Gateway;
use crate::effects::{Effects, NodeEvent};
use wire::records::{JobOutcome, JOB_PREFIX};
use wire::users::Phase;

impl Gateway {
    /// Takes the next step of a submission that needs other jobs. All of them must have been accepted, and whether one
    /// before it is cancelled decides how it is answered.
    pub(super) fn continue_submission(&mut self, number: u64, effects: &mut Effects) {
        let Some(PendingRequest {
            operation: Operation::Submit(spec),
            ..
        }) = self.pending.get(number)
        else {
            return;
        };
        if let Some(id) = spec.dependencies.iter().find(|id| !self.cache.is_known(id)) {
            return self.read_dependency(number, id.clone(), effects);
        }
        let (dependency_cancelled, unvalidated) =
            match self.cache.dependency_state(spec.dependencies.iter()) {
                DependencyState::Unknown(id) => return self.read_dependency(number, id, effects),
                DependencyState::Cancelled => (true, RecordVersions::new()),
                DependencyState::Open(versions) => (false, versions),
            };
        if let Some(pending) = self.pending.get_mut(number) {
            pending.dependency_cancelled = dependency_cancelled;
        }
        self.create_or_validate(number, unvalidated, effects);
    }

    /// Versions that fit into the creating transaction are conditions of it, beside those for the job's absence. More
    /// of them are validated before.
    fn create_or_validate(
        &mut self,
        number: u64,
        unvalidated: RecordVersions,
        effects: &mut Effects,
    ) {
        let stage = if unvalidated.len() + COMPARES_PER_ABSENT_JOB > self.max_compares {
            Stage::ValidatingDependencies
        } else {
            Stage::Creating
        };
        if let Some(pending) = self.pending.get_mut(number) {
            pending.unvalidated = Some(unvalidated);
        }
        self.advance(number, stage, effects);
    }

    /// One transaction's worth of the jobs that a submission needs was validated.
    pub(super) fn on_dependencies_validated(&mut self, number: u64, effects: &mut Effects) {
        let Some(pending) = self.pending.get_mut(number) else {
            return;
        };
        let Some(unvalidated) = pending.unvalidated.take() else {
            return;
        };
        // The transaction compared the first ones in the order of the map.
        let rest = unvalidated.into_iter().skip(self.max_compares).collect();
        self.create_or_validate(number, rest, effects);
    }

    /// Jobs that a submission needs have changed since they were last seen: mostly, they are over.
    pub(super) fn on_dependencies_changed(
        &mut self,
        number: u64,
        failed_keys: &[String],
        effects: &mut Effects,
    ) {
        for id in failed_keys
            .iter()
            .filter_map(|key| key.strip_prefix(JOB_PREFIX))
        {
            self.cache.forget_version(id);
        }
        self.continue_submission(number, effects);
    }

    /// The creating transaction was committed.
    pub(super) fn on_created(&mut self, number: u64, version: u64, effects: &mut Effects) {
        let Some(pending) = self.pending.close(number) else {
            return;
        };
        let took_ms = effects.now.mono.saturating_sub(pending.since());
        let needs = match pending.operation {
            Operation::Submit(spec) => spec.dependencies,
            _ => Vec::new(),
        };
        log::info!(
            "event=job_accepted job={} took_ms={took_ms} needs={} dependency_cancelled={}",
            pending.id,
            needs.len(),
            pending.dependency_cancelled
        );
        if !needs.is_empty() && !self.records.is_upgraded() {
            let observation = "a submission that needs others";
            effects.emit(NodeEvent::UpgradeEvidence { observation });
        }
        self.cache
            .remember_version(&pending.id, JobVersion::new(version, false, &needs));
        let phase = self.created_phase(&pending.id, pending.dependency_cancelled);
        self.answer_created(pending.request, &pending.id, phase, effects);
    }

    /// Phase of a job that has just been created. A repeat at another node may have been answered, and the job
    /// cancelled, before the creation's reply came.
    fn created_phase(&self, id: &str, dependency_cancelled: bool) -> Phase {
        match self.cache.known_final(id) {
            Some(JobOutcome::Done) => Phase::Done,
            Some(JobOutcome::Aborted) => Phase::Aborted,
            None if dependency_cancelled => Phase::Aborted,
            None => Phase::Queued,
        }
    }
}

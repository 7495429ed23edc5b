//! The state machine of one controller in staged upgrades.
//!
//! It repeats one cycle: read the records of the upgrade (`reading`), apply them (`applying`), and write at most one
//! transaction (`writing`). At most one request to the state service is in flight at a time.

mod applying;
mod reading;
mod status;
mod writing;

use crate::gates::FeatureGates;
use crate::heartbeats::Liveness;
use crate::identity::{Identity, Policy};
use crate::levels::{Feature, Level};
use crate::plan::{self, Transition};
use crate::request::{Event, Reply, Request};
use crate::snapshot::Snapshot;
use crate::upgrade_monitor::UpgradeMonitor;
use constants::{GENERATION_POLL_INTERVAL_MS, OLDER_BUILD_ELECTION_DELAY_MS};
use reading::stored_record;
use wire::records::{RolloutPhase, LEADER_KEY, TERM_KEY};
use wire::state::Compare;

/// Whether this process may take part in the cluster.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Admission {
    /// Unknown: the records have not been read yet.
    Pending,
    Admitted,
    Refused,
}

/// The step of the cycle whose reply is awaited.
#[derive(Debug, Clone, PartialEq)]
enum Step {
    Idle,
    ReadMembers,
    ReadMark,
    ReadTerm,
    ReadLeader,
    /// Writes the announcement of this process.
    Announce,
    /// Writes a transition from this phase.
    Transition(RolloutPhase, Transition),
    /// Raises the mark to a level for which there is evidence.
    RaiseMark,
}

/// What a state machine asks its caller to do.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Output {
    /// A request to the state service. Its reply must be passed back before another request is made.
    pub request: Option<Request>,
    /// Events to be logged.
    pub events: Vec<Event>,
}

/// The state machine of one controller in staged upgrades.
pub struct RolloutStateMachine {
    identity: Identity,
    policy: Policy,
    gates: FeatureGates,
    admission: Admission,
    monitor: UpgradeMonitor,
    /// The last complete snapshot.
    last_snapshot: Option<Snapshot>,
    /// The snapshot that is being read.
    partial_snapshot: Snapshot,
    /// Key after which the next page of members starts.
    list_after: String,
    step: Step,
    awaits_reply: bool,
    next_cycle_at: u64,
    /// What proves that every controller runs generation 1, if anything does.
    evidence: Option<&'static str>,
    /// Label of the leader, as known from the election.
    leader: Option<String>,
}

impl RolloutStateMachine {
    /// The state of a process that has just started. `siblings` are the labels of the other controllers.
    pub fn new(identity: Identity, siblings: impl Iterator<Item = String>, policy: Policy) -> Self {
        RolloutStateMachine {
            monitor: UpgradeMonitor::new(&identity, siblings, policy),
            gates: FeatureGates::closed(identity.range),
            identity,
            policy,
            admission: Admission::Pending,
            last_snapshot: None,
            partial_snapshot: Snapshot::default(),
            list_after: String::new(),
            step: Step::Idle,
            awaits_reply: false,
            next_cycle_at: 0,
            evidence: None,
            leader: None,
        }
    }

    /// When [`RolloutStateMachine::tick`] is to be called next.
    pub fn next_wake(&self) -> u64 {
        match self.awaits_reply {
            true => u64::MAX,
            false => self.next_cycle_at,
        }
    }

    /// Which features may be used.
    pub fn gates(&self) -> FeatureGates {
        self.gates
    }

    /// Whether this process may serve and write. It may not before it has read what the cluster runs.
    pub fn is_admitted(&self) -> bool {
        self.admission == Admission::Admitted
    }

    /// Whether this process is admitted, and has read the level since its last stall.
    pub fn is_admission_current(&self) -> bool {
        self.is_admitted() && self.gates.is_fresh()
    }

    /// The condition that nothing has been finalized since this process was admitted.
    pub fn admission_condition(&self) -> Option<Compare> {
        let snapshot = self.last_snapshot.as_ref()?;
        Some(plan::admission_condition(snapshot))
    }

    /// Milliseconds by which this process delays its candidacy in favor of newer builds. A leader of a newer build
    /// needs no restart after the election, so leadership moves at most twice during an upgrade.
    pub fn election_delay_ms(&self, now: u64) -> u64 {
        let Some(snapshot) = &self.last_snapshot else {
            return 0;
        };
        let runs_newer_build = |label: &&String| {
            let member = snapshot.member(label);
            member.is_some_and(|member| member.newest_level > self.identity.range.newest())
                && self.monitor.liveness(label, snapshot, now) == Liveness::Confirmed
        };
        match self.monitor.labels().iter().find(runs_newer_build) {
            Some(_) => OLDER_BUILD_ELECTION_DELAY_MS,
            None => 0,
        }
    }

    /// Whether another controller has announced a level with a feature, and still runs the process that announced it.
    pub fn peer_supports(&self, label: &str, feature: Feature, now: u64) -> bool {
        let Some(snapshot) = &self.last_snapshot else {
            return false;
        };
        let member = snapshot.member(label);
        member.is_some_and(|member| feature.is_supported_at(member.newest_level))
            && self.monitor.liveness(label, snapshot, now) == Liveness::Confirmed
    }

    /// Newest level that another controller has announced, by which to choose among several; 0 if there is no
    /// announcement.
    pub fn peer_newest_level(&self, label: &str) -> Level {
        let snapshot = self.last_snapshot.as_ref();
        let member = snapshot.and_then(|snapshot| snapshot.member(label));
        member.map_or(0, |member| member.newest_level)
    }

    /// Notes a heartbeat of another controller.
    pub fn on_heartbeat(&mut self, label: &str, boot: u64, now: u64) {
        self.monitor.on_heartbeat(label, boot, now);
    }

    /// Schedules a new read of the records: the process was stalled or was notified of a change of the level, so the
    /// last snapshot may be outdated.
    pub fn reread(&mut self, now: u64) {
        self.gates.mark_stale();
        self.step = Step::Idle;
        self.awaits_reply = false;
        self.next_cycle_at = now;
        self.monitor.reset_soak();
    }

    /// Notes an observation that is possible only when every controller runs generation 1.
    pub fn on_upgrade_evidence(&mut self, evidence: &'static str, now: u64) {
        if self.evidence.is_none() {
            self.evidence = Some(evidence);
            self.next_cycle_at = self.next_cycle_at.min(now);
        }
        self.gates.set_generation_1_finalized();
    }

    /// Starts the next cycle if it is due. `leader` is the label of the leader, as known from the election.
    pub fn tick(&mut self, now: u64, leader: Option<&str>) -> Output {
        self.leader = leader.map(str::to_string);
        if self.awaits_reply || now < self.next_cycle_at {
            return Output::default();
        }
        self.partial_snapshot = Snapshot::default();
        self.list_after = String::new();
        self.send(Step::ReadMembers, self.list_request())
    }

    /// Handles the reply to the last request.
    pub fn on_reply(&mut self, reply: Reply, now: u64, unix_ms: u64) -> Output {
        self.awaits_reply = false;
        match (std::mem::replace(&mut self.step, Step::Idle), reply) {
            (Step::ReadMembers, Reply::Page(page)) => self.on_members(page.items, page.has_more),
            (Step::ReadMark, reply @ (Reply::Item(_) | Reply::Missing)) => {
                self.partial_snapshot.mark = stored_record(reply);
                match self.may_finalize_next() {
                    true => self.send(Step::ReadTerm, Request::Get(TERM_KEY)),
                    false => self.on_snapshot_complete(now, unix_ms),
                }
            }
            (Step::ReadTerm, reply @ (Reply::Item(_) | Reply::Missing)) => {
                self.partial_snapshot.term = stored_record(reply);
                self.send(Step::ReadLeader, Request::Get(LEADER_KEY))
            }
            (Step::ReadLeader, reply @ (Reply::Item(_) | Reply::Missing)) => {
                self.partial_snapshot.leader = stored_record(reply);
                self.on_snapshot_complete(now, unix_ms)
            }
            (Step::Announce, Reply::Committed) => {
                let range = self.identity.range;
                self.idle_with_events(now, vec![Event::Announced { range }])
            }
            (Step::Transition(from, transition), Reply::Committed) => {
                self.idle_with_events(now, writing::transition_events(from, &transition))
            }
            (Step::RaiseMark, Reply::Committed) => self.idle_until(now),
            // After a conflict or an unknown outcome, the next read shows what is stored.
            _ => self.idle_until(now + GENERATION_POLL_INTERVAL_MS),
        }
    }

    /// Sends a request, whose reply continues with this step.
    fn send(&mut self, step: Step, request: Request) -> Output {
        self.step = step;
        self.awaits_reply = true;
        Output {
            request: Some(request),
            events: Vec::new(),
        }
    }

    /// Schedules the next cycle.
    fn idle_until(&mut self, next_cycle_at: u64) -> Output {
        self.step = Step::Idle;
        self.awaits_reply = false;
        self.next_cycle_at = next_cycle_at;
        Output::default()
    }

    /// Schedules the next cycle and emits events.
    fn idle_with_events(&mut self, next_cycle_at: u64, events: Vec<Event>) -> Output {
        let output = self.idle_until(next_cycle_at);
        Output { events, ..output }
    }
}

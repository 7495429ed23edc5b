//! The state machine of one controller in staged upgrades.
//!
//! It repeats one cycle: read the records of the upgrade (`reading`), learn from them (`applying`), and write at most
//! one transaction (`writing`). At most one request to the state service is in flight at a time.

mod applying;
mod reading;
mod status;
mod writing;

use crate::gates::Gates;
use crate::heartbeats::Liveness;
use crate::identity::{Identity, Policy};
use crate::levels::{Feature, Level};
use crate::plan::{self, Transition};
use crate::request::{Event, Reply, Request};
use crate::snapshot::Snapshot;
use crate::upgrade_monitor::Supervision;
use constants::{ELECTION_DEFER_MS, GENERATION_POLL_MS};
use reading::stored;
use wire::records::{Phase, LEADER, TERM};
use wire::state::Compare;

/// Whether a process may take part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Admission {
    /// Not known yet: the records have not been read.
    Pending,
    Admitted,
    Refused,
}

/// The request whose reply is awaited.
#[derive(Debug, Clone, PartialEq)]
enum Step {
    Idle,
    ReadMembers,
    ReadMark,
    ReadTerm,
    ReadLeader,
    /// The announcement was sent.
    Announce,
    /// A transition was sent, from this phase.
    Transition(Phase, Transition),
    /// The mark of a proven level was sent.
    Prove,
}

/// What a machine wants done.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Output {
    /// A request to the state service. Its reply must be passed back before another request is made.
    pub request: Option<Request>,
    /// What has become known.
    pub events: Vec<Event>,
}

/// The state machine of one controller.
pub struct RolloutMachine {
    identity: Identity,
    policy: Policy,
    gates: Gates,
    admission: Admission,
    supervision: Supervision,
    /// The last complete reading.
    snapshot: Option<Snapshot>,
    /// The reading in progress.
    reading: Snapshot,
    /// Key after which the next page of members begins.
    read_from: String,
    step: Step,
    /// Whether a reply is awaited.
    busy: bool,
    next_at: u64,
    /// What proves that generation 1 is final, if anything does.
    evidence: Option<&'static str>,
    /// The leader, as the election knows it.
    leader: Option<String>,
}

impl RolloutMachine {
    /// A process that has just started. `siblings` are the labels of the other controllers.
    pub fn new(identity: Identity, siblings: impl Iterator<Item = String>, policy: Policy) -> Self {
        RolloutMachine {
            supervision: Supervision::new(&identity, siblings, policy),
            gates: Gates::closed(identity.range),
            identity,
            policy,
            admission: Admission::Pending,
            snapshot: None,
            reading: Snapshot::default(),
            read_from: String::new(),
            step: Step::Idle,
            busy: false,
            next_at: 0,
            evidence: None,
            leader: None,
        }
    }

    /// When [`RolloutMachine::tick`] is to be called next.
    pub fn next_wake(&self) -> u64 {
        match self.busy {
            true => u64::MAX,
            false => self.next_at,
        }
    }

    /// Which features may be used.
    pub fn gates(&self) -> Gates {
        self.gates
    }

    /// Whether this process may serve and write. It may not before it has read what the cluster runs.
    pub fn is_admitted(&self) -> bool {
        self.admission == Admission::Admitted
    }

    /// Whether it is admitted by a reading made since the process last stood still.
    pub fn is_up_to_date(&self) -> bool {
        self.is_admitted() && self.gates.is_fresh()
    }

    /// The condition that nothing has become final since this process was admitted.
    pub fn admission_guard(&self) -> Option<Compare> {
        let snapshot = self.snapshot.as_ref()?;
        Some(plan::admission_guard(snapshot))
    }

    /// Milliseconds for which this process leaves an election to others. A newer build needs no restart after the
    /// election, so that leadership moves twice at most during an upgrade.
    pub fn defers_election_ms(&self, now: u64) -> u64 {
        let Some(snapshot) = &self.snapshot else {
            return 0;
        };
        let newer = |label: &&String| {
            let member = snapshot.member(label);
            member.is_some_and(|member| member.newest > self.identity.range.newest())
                && self.supervision.liveness(label, snapshot, now) == Liveness::Confirmed
        };
        match self.supervision.labels().iter().find(newer) {
            Some(_) => ELECTION_DEFER_MS,
            None => 0,
        }
    }

    /// Whether the running process of another controller has a feature and is the process that announced it.
    pub fn peer_has(&self, label: &str, feature: Feature, now: u64) -> bool {
        let Some(snapshot) = &self.snapshot else {
            return false;
        };
        let member = snapshot.member(label);
        member.is_some_and(|member| feature.is_in(member.newest))
            && self.supervision.liveness(label, snapshot, now) == Liveness::Confirmed
    }

    /// Newest level that another controller has announced, for choosing among several.
    pub fn peer_newest(&self, label: &str) -> Level {
        let snapshot = self.snapshot.as_ref();
        let member = snapshot.and_then(|snapshot| snapshot.member(label));
        member.map_or(0, |member| member.newest)
    }

    /// A heartbeat of another controller arrived.
    pub fn on_heartbeat(&mut self, label: &str, boot: u64, now: u64) {
        self.supervision.on_heartbeat(label, boot, now);
    }

    /// The process stood still, or was notified of a change of the level: the last reading may be outdated.
    pub fn reread(&mut self, now: u64) {
        self.gates.forget();
        self.step = Step::Idle;
        self.busy = false;
        self.next_at = now;
        self.supervision.forget_soak();
    }

    /// Something happened that happens only when every controller runs generation 1.
    pub fn proven(&mut self, why: &'static str, now: u64) {
        if self.evidence.is_none() {
            self.evidence = Some(why);
            self.next_at = self.next_at.min(now);
        }
        self.gates.prove_generation_1();
    }

    /// Time passed. `leader` is the controller that leads, as the election knows it.
    pub fn tick(&mut self, now: u64, leader: Option<&str>) -> Output {
        self.leader = leader.map(str::to_string);
        if self.busy || now < self.next_at {
            return Output::default();
        }
        self.reading = Snapshot::default();
        self.read_from = String::new();
        self.send(Step::ReadMembers, self.list_request())
    }

    /// The reply to the last request.
    pub fn on_reply(&mut self, reply: Reply, now: u64, unix: u64) -> Output {
        self.busy = false;
        match (std::mem::replace(&mut self.step, Step::Idle), reply) {
            (Step::ReadMembers, Reply::Page(page)) => self.on_members(page.items, page.more),
            (Step::ReadMark, reply @ (Reply::Item(_) | Reply::Missing)) => {
                self.reading.mark = stored(reply);
                match self.is_about_to_finalize() {
                    true => self.send(Step::ReadTerm, Request::Get(TERM)),
                    false => self.on_read(now, unix),
                }
            }
            (Step::ReadTerm, reply @ (Reply::Item(_) | Reply::Missing)) => {
                self.reading.term = stored(reply);
                self.send(Step::ReadLeader, Request::Get(LEADER))
            }
            (Step::ReadLeader, reply @ (Reply::Item(_) | Reply::Missing)) => {
                self.reading.leader = stored(reply);
                self.on_read(now, unix)
            }
            (Step::Announce, Reply::Committed) => {
                let range = self.identity.range;
                self.idle_with(now, vec![Event::Announced { range }])
            }
            (Step::Transition(from, transition), Reply::Committed) => {
                self.idle_with(now, writing::events_of(from, &transition))
            }
            (Step::Prove, Reply::Committed) => self.idle(now),
            // After a conflict or an unknown outcome the next reading shows what is stored.
            _ => self.idle(now + GENERATION_POLL_MS),
        }
    }

    /// Sends a request and remembers what it is for.
    fn send(&mut self, step: Step, request: Request) -> Output {
        self.step = step;
        self.busy = true;
        Output {
            request: Some(request),
            events: Vec::new(),
        }
    }

    /// Waits until the next cycle is due.
    fn idle(&mut self, until: u64) -> Output {
        self.step = Step::Idle;
        self.busy = false;
        self.next_at = until;
        Output::default()
    }

    fn idle_with(&mut self, until: u64, events: Vec<Event>) -> Output {
        let output = self.idle(until);
        Output { events, ..output }
    }
}

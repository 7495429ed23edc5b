//! One controller's part in staged upgrades.

use crate::gates::Gates;
use crate::identity::{Identity, Policy};
use crate::levels::{Feature, Level, GENERATION_1};
use crate::observation::Liveness;
use crate::plan::{self, Controller, Transition, View};
use crate::request::{Event, Reply, Request};
use crate::snapshot::{Snapshot, Stored};
use crate::status::{ControllerStatus, RolloutStatus};
use crate::supervision::Supervision;
use constants::{ELECTION_DEFER_MS, GENERATION_POLL_MS, LEVEL_POLL_MS};
use serde::de::DeserializeOwned;
use wire::records::{Phase, LEADER, LEVEL, MARK, MEMBERS, ROLLOUT, TERM};
use wire::state::{Compare, Item};

/// Whether a process may take part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Admission {
    /// Not known yet.
    Pending,
    Admitted,
    Refused,
}

/// What is being done.
#[derive(Debug, Clone, PartialEq)]
enum Step {
    Rest,
    ReadMembers,
    ReadMark,
    ReadTerm,
    ReadLeader,
    /// The announcement was sent.
    Announce,
    /// A transition was sent, from this phase.
    Move(Phase, Transition),
    /// The mark of a proven level was sent.
    Prove,
}

/// What a machine wants done.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Output {
    /// A request to the state service. Its reply is to be given back before anything else is asked.
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
    /// What was read last, whole.
    snapshot: Option<Snapshot>,
    /// What is being read.
    reading: Snapshot,
    read_from: String,
    step: Step,
    busy: bool,
    next_at: u64,
    /// Something proves that generation 1 is final.
    proof: Option<&'static str>,
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
            step: Step::Rest,
            busy: false,
            next_at: 0,
            proof: None,
            leader: None,
        }
    }

    /// When [`RolloutMachine::tick`] wants to be called.
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

    /// Whether this process may serve and write. Until it has read what the cluster runs it may not.
    pub fn is_admitted(&self) -> bool {
        self.admission == Admission::Admitted
    }

    /// Whether it is admitted by what it has read since it last stood still.
    pub fn is_up_to_date(&self) -> bool {
        self.is_admitted() && self.gates.is_fresh()
    }

    /// The condition that nothing has become final since this process was admitted.
    pub fn admission_guard(&self) -> Option<Compare> {
        let snapshot = self.snapshot.as_ref()?;
        Some(plan::admission_guard(snapshot))
    }

    /// Milliseconds for which this process leaves an election to others: a newer build needs no restart after it, so
    /// that in an upgrade the lead moves twice at most.
    pub fn defers_election_ms(&self, now: u64) -> u64 {
        let Some(snapshot) = &self.snapshot else {
            return 0;
        };
        let newer = |label: &&String| {
            let member = snapshot.member(label);
            member.is_some_and(|m| m.newest > self.identity.range.newest())
                && self.supervision.liveness(label, snapshot, now) == Liveness::Confirmed
        };
        match self.supervision.labels().iter().find(newer) {
            Some(_) => ELECTION_DEFER_MS,
            None => 0,
        }
    }

    /// Whether a process of another controller has a feature, and is the one that announced it.
    pub fn peer_has(&self, label: &str, feature: Feature, now: u64) -> bool {
        let Some(snapshot) = &self.snapshot else {
            return false;
        };
        let member = snapshot.member(label);
        member.is_some_and(|m| feature.is_in(m.newest))
            && self.supervision.liveness(label, snapshot, now) == Liveness::Confirmed
    }

    /// Newest level that another controller has announced, for choosing among several.
    pub fn peer_newest(&self, label: &str) -> Level {
        let snapshot = self.snapshot.as_ref();
        let member = snapshot.and_then(|s| s.member(label));
        member.map_or(0, |m| m.newest)
    }

    /// A heartbeat of another controller arrived.
    pub fn on_heartbeat(&mut self, label: &str, boot: u64, now: u64) {
        self.supervision.on_heartbeat(label, boot, now);
    }

    /// The process stood still, or was told that the level has changed: what it read may not hold any more.
    pub fn read_anew(&mut self, now: u64) {
        self.gates.forget();
        self.step = Step::Rest;
        self.busy = false;
        self.next_at = now;
        self.supervision.forget_soak();
    }

    /// Something happened that happens only when every controller runs generation 1.
    pub fn proven(&mut self, why: &'static str, now: u64) {
        if self.proof.is_none() {
            self.proof = Some(why);
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
        self.ask(Step::ReadMembers, self.list_request())
    }

    fn list_request(&self) -> Request {
        Request::List {
            prefix: ROLLOUT,
            from: self.read_from.clone(),
        }
    }

    fn ask(&mut self, step: Step, request: Request) -> Output {
        self.step = step;
        self.busy = true;
        Output {
            request: Some(request),
            events: Vec::new(),
        }
    }

    fn rest(&mut self, until: u64) -> Output {
        self.step = Step::Rest;
        self.busy = false;
        self.next_at = until;
        Output::default()
    }

    /// The reply to the last request.
    pub fn on_reply(&mut self, reply: Reply, now: u64, unix: u64) -> Output {
        self.busy = false;
        match (std::mem::replace(&mut self.step, Step::Rest), reply) {
            (Step::ReadMembers, Reply::Page(page)) => self.on_members(page.items, page.more),
            (Step::ReadMark, reply @ (Reply::Item(_) | Reply::Missing)) => {
                self.reading.mark = stored(reply);
                match self.is_about_to_finalize() {
                    true => self.ask(Step::ReadTerm, Request::Get(TERM)),
                    false => self.on_read(now, unix),
                }
            }
            (Step::ReadTerm, reply @ (Reply::Item(_) | Reply::Missing)) => {
                self.reading.term = stored(reply);
                self.ask(Step::ReadLeader, Request::Get(LEADER))
            }
            (Step::ReadLeader, reply @ (Reply::Item(_) | Reply::Missing)) => {
                self.reading.leader = stored(reply);
                self.on_read(now, unix)
            }
            (Step::Announce, Reply::Committed) => {
                let range = self.identity.range;
                let events = vec![Event::Announced { range }];
                Output {
                    events,
                    ..self.rest(now)
                }
            }
            (Step::Move(from, transition), Reply::Committed) => {
                let events = moved(from, &transition);
                Output {
                    events,
                    ..self.rest(now)
                }
            }
            (Step::Prove, Reply::Committed) => self.rest(now),
            // What is stored tells what came of an unknown outcome or a conflict.
            _ => self.rest(now + GENERATION_POLL_MS),
        }
    }

    fn on_members(&mut self, items: Vec<Item>, more: bool) -> Output {
        let last = items.last().map(|item| item.key.clone());
        for item in items {
            if item.key == LEVEL {
                self.reading.level = stored(Reply::Item(item));
            } else if let Some(label) = item.key.strip_prefix(MEMBERS).map(str::to_string) {
                let member = stored(Reply::Item(item));
                self.reading.members.insert(label, member);
            }
        }
        match last.filter(|_| more) {
            Some(last) => {
                self.read_from = last;
                self.ask(Step::ReadMembers, self.list_request())
            }
            None => self.ask(Step::ReadMark, Request::Get(MARK)),
        }
    }

    /// Only then are term and leader of interest.
    fn is_about_to_finalize(&self) -> bool {
        let level = self.reading.level.record();
        level.is_some_and(|level| level.phase == Phase::Soaking) && self.policy.finalizes
    }

    /// Everything has been read.
    fn on_read(&mut self, now: u64, unix: u64) -> Output {
        let snapshot = std::mem::take(&mut self.reading);
        let mut events = self.learn(&snapshot, now);
        let mut output = self.act(&snapshot, now, unix);
        self.snapshot = Some(snapshot);
        events.append(&mut output.events);
        Output { events, ..output }
    }

    fn learn(&mut self, snapshot: &Snapshot, now: u64) -> Vec<Event> {
        let mut events = self.unreadable(snapshot);
        let before = self.gates;
        let known = self.snapshot.as_ref();
        let phase_before = known.and_then(|s| s.level.record()).map(|l| l.phase);
        // Below what was seen as final there is nothing, whatever has become of the record.
        let finalized = snapshot.finalized();
        self.gates
            .learn(snapshot.active(), finalized, snapshot.level.version());
        let level = snapshot.level.record();
        let phase = level.map_or(Phase::Idle, |level| level.phase);
        if known.is_none() || before != self.gates && phase_before != Some(phase) {
            events.push(Event::LevelRead {
                active: snapshot.active(),
                finalized,
                phase,
            });
        }
        self.admit(snapshot, &mut events);
        self.supervision.note(snapshot, now, &mut events);
        events
    }

    fn unreadable(&self, snapshot: &Snapshot) -> Vec<Event> {
        let known = self.snapshot.as_ref();
        let members = snapshot.members.iter().map(|(label, member)| {
            let was = known.and_then(|k| k.members.get(label));
            let was = was.is_some_and(Stored::is_unreadable);
            let key = format!("{MEMBERS}{label}");
            (key, member.is_unreadable() && !was)
        });
        let level_was = known.is_some_and(|k| k.level.is_unreadable());
        let mark_was = known.is_some_and(|k| k.mark.is_unreadable());
        let all = [
            (
                LEVEL.to_string(),
                snapshot.level.is_unreadable() && !level_was,
            ),
            (MARK.to_string(), snapshot.mark.is_unreadable() && !mark_was),
        ];
        let all = all.into_iter().chain(members);
        all.filter(|(_, is_new)| *is_new)
            .map(|(key, _)| Event::Unreadable { key })
            .collect()
    }

    /// Admission is lost for good by what is final; a process that was refused has written nothing and never will.
    fn admit(&mut self, snapshot: &Snapshot, events: &mut Vec<Event>) {
        let admitted = plan::is_admitted(self.identity.range, snapshot);
        let now_is = match admitted && self.admission != Admission::Refused {
            true => Admission::Admitted,
            false => Admission::Refused,
        };
        if now_is == Admission::Refused && self.admission != now_is {
            events.push(Event::Refused {
                range: self.identity.range,
                active: snapshot.active(),
                finalized: snapshot.finalized(),
            });
        }
        self.admission = now_is;
    }

    /// Writes what is due, if anything.
    fn act(&mut self, snapshot: &Snapshot, now: u64, unix: u64) -> Output {
        if !self.is_admitted() {
            return self.rest(now + LEVEL_POLL_MS);
        }
        if self.proof.is_some() && snapshot.finalized() < GENERATION_1 {
            let txn = plan::proven(snapshot, GENERATION_1);
            return self.ask(Step::Prove, Request::Commit(txn));
        }
        if let Some(txn) = plan::announcement(&self.identity, snapshot, unix) {
            return self.ask(Step::Announce, Request::Commit(txn));
        }
        if self.decides(snapshot, now) {
            if let Some(output) = self.move_on(snapshot, now, unix) {
                return output;
            }
        }
        let level = snapshot.level.record();
        let rests = level.is_some_and(|l| matches!(l.phase, Phase::Idle | Phase::Finalized));
        let poll_ms = match rests {
            true => LEVEL_POLL_MS,
            false => GENERATION_POLL_MS,
        };
        self.rest(now + poll_ms)
    }

    fn move_on(&mut self, snapshot: &Snapshot, now: u64, unix: u64) -> Option<Output> {
        let controllers = self.supervision.controllers(snapshot, now);
        let view = self.view(snapshot, &controllers, now, unix);
        let transition = view.next_transition()?;
        let txn = plan::transaction(snapshot, &transition)?;
        let from = snapshot.level.record()?.phase;
        Some(self.ask(Step::Move(from, transition), Request::Commit(txn)))
    }

    fn view<'a>(
        &self,
        snapshot: &'a Snapshot,
        controllers: &'a [Controller],
        now: u64,
        unix: u64,
    ) -> View<'a> {
        let before = self.snapshot.as_ref();
        View {
            snapshot,
            controllers,
            trouble: self.supervision.trouble(before, snapshot, now),
            may_finalize: self.policy.finalizes && self.supervision.has_soaked(now),
            unix,
        }
    }

    /// One controller decides: the leader if it takes part, else the first of those that do. Two that think so at once
    /// do no harm, since one of their transactions fails.
    fn decides(&self, snapshot: &Snapshot, now: u64) -> bool {
        let takes_part = |label: &str| {
            label == self.identity.label
                || self.supervision.liveness(label, snapshot, now) == Liveness::Confirmed
        };
        match self.leader.as_deref().filter(|l| takes_part(l)) {
            Some(leader) => leader == self.identity.label,
            None => {
                let mut labels = self.supervision.labels().iter().filter(|l| takes_part(l));
                labels.all(|l| *l >= self.identity.label)
            }
        }
    }

    /// The state of the upgrade, if it has been read.
    pub fn status(&self, now: u64) -> Option<RolloutStatus> {
        let snapshot = self.snapshot.as_ref()?;
        let level = snapshot.level.record()?;
        let controllers = self.supervision.controllers(snapshot, now);
        let view = self.view(snapshot, &controllers, now, level.since);
        let status = |c: &Controller| {
            let member = snapshot.member(&c.label);
            ControllerStatus {
                label: c.label.clone(),
                levels: member.map(|m| (m.oldest, m.newest)),
                build: member.map(|m| m.build.clone()),
                liveness: match c.liveness {
                    Liveness::Confirmed => "confirmed",
                    Liveness::Silent => "silent",
                    Liveness::Settling => "settling",
                    Liveness::Unannounced => "unannounced",
                },
            }
        };
        Some(RolloutStatus {
            phase: level.phase,
            active: snapshot.active(),
            target: level.target,
            finalized: snapshot.finalized(),
            since: level.since,
            pause: level.pause.clone(),
            waits_for: view.waits_for(level),
            admitted: self.is_admitted(),
            controllers: controllers.iter().map(status).collect(),
        })
    }
}

/// A record as a reply brought it.
fn stored<T: DeserializeOwned>(reply: Reply) -> Stored<T> {
    let Reply::Item(item) = reply else {
        return Stored::Missing;
    };
    let version = item.version;
    match item.value.deserialized() {
        Ok(record) => Stored::Known { record, version },
        Err(_) => Stored::Unreadable { version },
    }
}

fn moved(from: Phase, transition: &Transition) -> Vec<Event> {
    let level = &transition.level;
    let mut events = vec![Event::Moved {
        from,
        to: level.phase,
        active: level.active,
        why: transition.why,
    }];
    match (&level.pause, transition.why) {
        (Some(reason), _) => events.push(Event::Paused(reason.clone())),
        (None, "resumed") => events.push(Event::Resumed),
        _ => {}
    }
    events
}

//! A model of upgrades with crashes, lost answers and delayed writes, explored exhaustively within bounds.
//!
//! The processes run the crate's own planning code on what they have read; the model adds the state service, restarts
//! with other builds, elections, and transactions that are executed at any later time or never. `stateright` could
//! not be had from the registry; the reachable states are enumerated by `pathfinding`'s breadth-first search.
//!
//! Invariants, checked in every state and on every step:
//! 1. The active level is not above what any controller has announced.
//! 2. What is final never becomes less, and is supported by every controller that has announced.
//! 3. Once a level is final that fences the term, no process leads that does not support it.

use pathfinding::directed::bfs::bfs_reach;
use std::collections::BTreeMap;
use vetchmount_rollout::plan::{self, Controller, View};
use vetchmount_rollout::{Identity, LevelRange, Liveness, Snapshot, Stored};
use wire::records::*;
use wire::state::{Compare, Txn, Write};

const LABELS: [&str; 2] = ["a", "b"];
/// Revisions of the store up to which states are explored; the environment variable of this name explores further (10
/// takes a minute and a half in release mode).
const REVISIONS: u64 = 9;
/// Elections in a run of the model.
const ELECTIONS: u32 = 2;

/// A build of the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Build {
    /// From before rollouts: announces nothing, reads neither `u/` nor a fenced term.
    Unaware,
    /// Announces levels up to this one.
    Levels(u32),
}

/// Values by key, with versions. Values are encoded, so that states can be compared.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Store {
    revision: u64,
    values: BTreeMap<String, (Vec<u8>, u64)>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Process {
    build: Build,
    boot: u64,
    /// Version of the mark when it was admitted, if it is: by its last reading, however long ago that was.
    admitted_by: Option<u64>,
}

/// A transaction that has been sent, encoded.
type Sent = Vec<u8>;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    store: Store,
    processes: Vec<Process>,
    /// Builds that each label still has before it.
    scripts: Vec<Vec<Build>>,
    /// At most one a label is kept on its way.
    in_flight: Vec<Option<Sent>>,
    elections: u32,
    /// Process of each label that was heard last: another one may have begun since.
    heard: Vec<u64>,
    /// An invariant that a step broke.
    broken: Option<&'static str>,
}

/// A fault that is put into the protocol on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// Transitions and announcements do not name the version of this key.
    WithoutGuard(&'static str),
    /// An election does not rest on the mark.
    ElectionWithoutMark,
    /// A level is finalized without reading who leads.
    LeaderNotRead,
}

impl Store {
    fn get<T: serde::de::DeserializeOwned>(&self, key: &str) -> Stored<T> {
        match self.values.get(key) {
            None => Stored::Missing,
            Some((bytes, version)) => match wire::decode(bytes) {
                Ok(record) => Stored::Known {
                    record,
                    version: *version,
                },
                Err(_) => Stored::Unreadable { version: *version },
            },
        }
    }

    fn version(&self, key: &str) -> u64 {
        self.values.get(key).map_or(0, |(_, version)| *version)
    }

    fn commit(&mut self, txn: &Txn) {
        let holds = |guard: &Compare| self.version(&guard.key) == guard.version;
        if !txn.compares.iter().all(holds) {
            return;
        }
        self.revision += 1;
        for write in &txn.writes {
            if let Write::Put { key, value, .. } = write {
                let stored = (wire::encode(value), self.revision);
                self.values.insert(key.clone(), stored);
            }
        }
    }

    fn snapshot(&self) -> Snapshot {
        let members = LABELS
            .iter()
            .map(|label| (label.to_string(), self.get(&member_key(label))))
            .filter(|(_, member): &(String, Stored<MemberRecord>)| *member != Stored::Missing);
        Snapshot {
            level: self.get(CLUSTER_LEVEL_KEY),
            mark: self.get(COMMON_GENERATION_KEY),
            members: members.collect(),
            term: self.get(TERM_KEY),
            leader: self.get(LEADER_KEY),
        }
    }
}

impl State {
    fn first(scripts: [Vec<Build>; 2]) -> State {
        let mut store = Store::default();
        store.commit(&Txn {
            compares: Vec::new(),
            writes: vec![Write::put(TERM_KEY, &TermRecord::new(1))],
        });
        let mut scripts: Vec<Vec<Build>> = scripts.into();
        let processes = scripts.iter_mut().map(|script| Process {
            build: script.remove(0),
            boot: 1,
            admitted_by: None,
        });
        State {
            store,
            processes: processes.collect(),
            scripts,
            in_flight: vec![None; LABELS.len()],
            elections: 0,
            heard: vec![1; LABELS.len()],
            broken: None,
        }
    }

    fn identity(&self, number: usize) -> Option<Identity> {
        let process = &self.processes[number];
        let Build::Levels(newest) = process.build else {
            return None;
        };
        Some(Identity {
            label: LABELS[number].to_string(),
            build: "model".into(),
            boot: process.boot,
            range: LevelRange::any(0, newest).expect("a range"),
        })
    }

    /// A process reads, and sends what it would: it is executed later, or never.
    fn after_reading(&self, number: usize, fault: Fault) -> Option<State> {
        let identity = self.identity(number)?;
        let snapshot = self.store.snapshot();
        let mut state = self.clone();
        let admitted = plan::is_admitted(identity.range, &snapshot);
        state.processes[number].admitted_by = admitted.then(|| snapshot.mark.version());
        if self.in_flight[number].is_none() {
            let planned = self.plans(&identity, fault);
            state.in_flight[number] = planned.map(|txn| wire::encode(&txn));
        }
        Some(state)
    }

    /// A transaction that a process would send, from what is stored now.
    fn plans(&self, identity: &Identity, fault: Fault) -> Option<Txn> {
        let mut snapshot = self.store.snapshot();
        if fault == Fault::LeaderNotRead {
            snapshot.leader = Stored::Missing;
        }
        let mut txn = match plan::announcement(identity, &snapshot, 0) {
            Some(txn) => txn,
            None if !plan::is_admitted(identity.range, &snapshot) => return None,
            None => self.transition(&snapshot)?,
        };
        if let Fault::WithoutGuard(key) = fault {
            txn.compares.retain(|guard| guard.key != key);
        }
        Some(txn)
    }

    fn transition(&self, snapshot: &Snapshot) -> Option<Txn> {
        let controllers: Vec<Controller> = LABELS
            .iter()
            .zip(&self.heard)
            .map(|(label, heard)| {
                let announced = snapshot.member(label).map(|m| m.boot);
                Controller {
                    label: label.to_string(),
                    liveness: match announced == Some(*heard) {
                        true => Liveness::Confirmed,
                        false => Liveness::Unannounced,
                    },
                }
            })
            .collect();
        let pause = snapshot.level.record().and_then(|l| l.pause.clone());
        let view = View {
            snapshot,
            controllers: &controllers,
            // A pause lasts until its controllers are back.
            trouble: pause.filter(|_| {
                controllers
                    .iter()
                    .any(|c| c.liveness != Liveness::Confirmed)
            }),
            may_finalize: true,
            unix: 0,
        };
        plan::transaction(snapshot, &view.next_transition()?)
    }

    /// The transaction by which a process would be elected now, if it may stand.
    fn election(&self, number: usize, fault: Fault) -> Option<Txn> {
        let process = &self.processes[number];
        let term: Stored<TermRecord> = self.store.get(TERM_KEY);
        let record = term.record()?;
        let mut compares = vec![
            Compare::new(LEADER_KEY, self.store.version(LEADER_KEY)),
            Compare::new(TERM_KEY, term.version()),
        ];
        match process.build {
            Build::Unaware if record.fenced => return None,
            Build::Unaware => {}
            Build::Levels(_) => {
                let guard = Compare::new(COMMON_GENERATION_KEY, process.admitted_by?);
                if fault != Fault::ElectionWithoutMark {
                    compares.push(guard);
                }
            }
        }
        let leader = LeaderRecord {
            node: LABELS[number].to_string(),
            term: record.term + 1,
            boot: process.boot,
            level: None,
        };
        let next = TermRecord {
            term: record.term + 1,
            ..record.clone()
        };
        let writes = vec![Write::put(LEADER_KEY, &leader), Write::put(TERM_KEY, &next)];
        Some(Txn { compares, writes })
    }

    fn leads(&self, number: usize) -> bool {
        let leader: Stored<LeaderRecord> = self.store.get(LEADER_KEY);
        let process = &self.processes[number];
        leader
            .record()
            .is_some_and(|l| l.node == LABELS[number] && l.boot == process.boot)
    }

    /// All states that one step leads to.
    fn successors(&self, fault: Fault) -> Vec<State> {
        if self.broken.is_some() || self.store.revision >= revisions() {
            return Vec::new();
        }
        let mut next = Vec::new();
        for number in 0..LABELS.len() {
            next.extend(self.after_reading(number, fault));
            if let Some(sent) = &self.in_flight[number] {
                let txn: Txn = wire::decode(sent).expect("our own");
                let mut state = self.clone();
                state.in_flight[number] = None;
                state.store.commit(&txn);
                next.push(state);
            }
            let may_stand = self.elections < ELECTIONS && !self.leads(number);
            if let Some(txn) = self.election(number, fault).filter(|_| may_stand) {
                let mut state = self.clone();
                state.elections += 1;
                state.store.commit(&txn);
                next.push(state);
            }
            if self.heard[number] != self.processes[number].boot {
                let mut state = self.clone();
                state.heard[number] = self.processes[number].boot;
                next.push(state);
            }
            if !self.scripts[number].is_empty() {
                // What the process before has sent stays on its way.
                let mut state = self.clone();
                let process = &mut state.processes[number];
                process.build = state.scripts[number].remove(0);
                process.boot += 1;
                process.admitted_by = None;
                next.push(state);
            }
        }
        next.retain(|state| state != self);
        for state in &mut next {
            state.broken = state.breach(self);
        }
        next
    }

    fn breach(&self, before: &State) -> Option<&'static str> {
        let (now, then) = (self.store.snapshot(), before.store.snapshot());
        let mut members = now.members.values().filter_map(Stored::record);
        if members.any(|member| member.newest_level < now.active()) {
            return Some("1: active above what is announced");
        }
        if now.finalized() < then.finalized() {
            return Some("2: final level became less");
        }
        let leader_supports = |number: usize| match self.processes[number].build {
            Build::Unaware => false,
            Build::Levels(newest) => newest >= now.finalized(),
        };
        let leads = (0..LABELS.len()).find(|n| self.leads(*n));
        let fenced = now.term.record().is_some_and(|term| term.fenced);
        if fenced && !leads.is_none_or(leader_supports) {
            return Some("3: a process leads that does not support what is final");
        }
        None
    }
}

fn revisions() -> u64 {
    static REVISIONS_ASKED: std::sync::OnceLock<u64> = std::sync::OnceLock::new();
    let asked = || std::env::var("REVISIONS").ok()?.parse().ok();
    *REVISIONS_ASKED.get_or_init(|| asked().unwrap_or(REVISIONS))
}

/// What was found among all reachable states.
struct Explored {
    states: usize,
    /// States in which the newest level is final.
    finalized: usize,
    /// States in which the active level has gone back.
    lowered: usize,
    broken: Option<&'static str>,
}

fn explore(scripts: [Vec<Build>; 2], fault: Fault) -> Explored {
    let first = State::first(scripts);
    let mut found = Explored {
        states: 0,
        finalized: 0,
        lowered: 0,
        broken: None,
    };
    for state in bfs_reach(first, |state| state.successors(fault)) {
        let snapshot = state.store.snapshot();
        found.states += 1;
        found.finalized += usize::from(snapshot.finalized() == 2);
        let level = snapshot.level.record();
        let lowered = |l: &LevelRecord| matches!(l.pause, Some(PauseReason::Regressed { .. }));
        found.lowered += usize::from(level.is_some_and(lowered));
        if let Some(broken) = state.broken {
            found.broken = Some(broken);
            break;
        }
    }
    found
}

use Build::{Levels, Unaware};

/// Upgrades, returns and restarts of two controllers.
fn scripts() -> Vec<[Vec<Build>; 2]> {
    vec![
        [vec![Levels(2), Levels(2)], vec![Unaware, Levels(2)]],
        [vec![Levels(2), Unaware], vec![Levels(2)]],
        [vec![Levels(2), Levels(1)], vec![Levels(2)]],
        [vec![Levels(1), Levels(2)], vec![Levels(2)]],
        [vec![Levels(2), Unaware, Levels(2)], vec![Levels(2)]],
    ]
}

#[test]
fn no_invariant_breaks_in_any_reachable_state() {
    let (mut finalized, mut lowered, mut states) = (0, 0, 0);
    for script in scripts() {
        let found = explore(script.clone(), Fault::None);
        assert_eq!(found.broken, None, "{script:?}");
        finalized += found.finalized;
        lowered += found.lowered;
        states += found.states;
    }
    assert!(states > 10_000, "{states} states");
    assert!(finalized > 0, "the model reaches finalization");
    assert!(lowered > 0, "the model reaches a rollback");
}

/// The invariant that a fault breaks in some script.
fn broken_by(fault: Fault) -> Option<&'static str> {
    let mut found = scripts().into_iter().map(|s| explore(s, fault).broken);
    found.find_map(|broken| broken)
}

#[test]
fn transitions_without_the_levels_version_are_found() {
    let broken = broken_by(Fault::WithoutGuard(CLUSTER_LEVEL_KEY)).expect("found");
    assert!(broken.starts_with('1'), "{broken}");
}

#[test]
fn a_finalization_without_the_terms_version_is_found() {
    let broken = broken_by(Fault::WithoutGuard(TERM_KEY)).expect("found");
    assert!(broken.starts_with('3'), "{broken}");
}

#[test]
fn a_finalization_that_does_not_look_who_leads_is_found() {
    let broken = broken_by(Fault::LeaderNotRead).expect("found");
    assert!(broken.starts_with('3'), "{broken}");
}

#[test]
fn an_election_that_does_not_rest_on_the_mark_is_found() {
    let broken = broken_by(Fault::ElectionWithoutMark).expect("found");
    assert!(broken.starts_with('3'), "{broken}");
}

//! A model checker for upgrades with crashes, lost answers and delayed writes. It explores all states within bounds.
//!
//! The processes run the crate's own planning code on what they have read. The model adds the state service, restarts
//! with other builds, elections, and transactions that are executed at any later time or never. A breadth-first search
//! of `pathfinding` enumerates the reachable states, since the registry did not offer `stateright`.
//!
//! Invariants, checked in every state and on every step:
//! 1. The active level is not above what any controller has announced.
//! 2. The finalized level never decreases, and every controller that has announced supports it.
//! 3. Once a level that fences the term is finalized, no process leads that does not support that level.

use pathfinding::directed::bfs::bfs_reach;
use std::collections::BTreeMap;
use vetchmount_rollout::plan::{self, Controller, PlanningInput};
use vetchmount_rollout::{Identity, LevelRange, Liveness, Snapshot, Stored};
use wire::records::*;
use wire::state::{Compare, Txn, Write};

const LABELS: [&str; 2] = ["a", "b"];
/// Revision of the store up to which states are explored by default. The environment variable `REVISIONS` sets another
/// limit; 10 takes a minute and a half in release mode.
const DEFAULT_REVISION_MAX: u64 = 9;
/// Maximum number of elections on each path of the model.
const ELECTIONS_MAX: u32 = 2;

/// A build of the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Build {
    /// A build without staged upgrades: it announces nothing, and reads neither `u/` nor a fenced term.
    Unaware,
    /// A build that announces levels up to this one.
    Levels(u32),
}

/// The state service: values and versions by key. Values are encoded, so that states can be compared.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Store {
    revision: u64,
    values: BTreeMap<String, (Vec<u8>, u64)>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Process {
    build: Build,
    boot: u64,
    /// Version of the mark by which the process was admitted at its last read, however long ago that was. `None` if it
    /// is not admitted.
    admitted_at_version: Option<u64>,
}

/// A transaction that has been sent, encoded.
type SentTransaction = Vec<u8>;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    store: Store,
    processes: Vec<Process>,
    /// Builds that each label will still be restarted with.
    remaining_builds: Vec<Vec<Build>>,
    /// Transactions that were sent and not executed yet, at most one per label.
    in_flight: Vec<Option<SentTransaction>>,
    elections: u32,
    /// Boot number in the last heartbeat of each label. Another process may have started since.
    heartbeat_boots: Vec<u64>,
    /// The invariant that the last step broke, if any.
    broken: Option<&'static str>,
}

/// A fault that is injected into the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// Transitions and announcements lack the condition on the version of this key.
    WithoutCondition(&'static str),
    /// Elections lack the condition on the version of the mark.
    ElectionWithoutMarkCondition,
    /// A level is finalized without reading the leader.
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
        let holds = |condition: &Compare| self.version(&condition.key) == condition.version;
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
    fn initial(scripts: [Vec<Build>; 2]) -> State {
        let mut store = Store::default();
        store.commit(&Txn {
            compares: Vec::new(),
            writes: vec![Write::put(TERM_KEY, &TermRecord::new(1))],
        });
        let mut scripts: Vec<Vec<Build>> = scripts.into();
        let processes = scripts.iter_mut().map(|script| Process {
            build: script.remove(0),
            boot: 1,
            admitted_at_version: None,
        });
        State {
            store,
            processes: processes.collect(),
            remaining_builds: scripts,
            in_flight: vec![None; LABELS.len()],
            elections: 0,
            heartbeat_boots: vec![1; LABELS.len()],
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
            range: LevelRange::new(0, newest).expect("a valid range"),
        })
    }

    /// The state after a process reads the records and sends the transaction that is due, which is executed later or
    /// never.
    fn after_read(&self, number: usize, fault: Fault) -> Option<State> {
        let identity = self.identity(number)?;
        let snapshot = self.store.snapshot();
        let mut state = self.clone();
        let admitted = plan::is_admitted(identity.range, &snapshot);
        state.processes[number].admitted_at_version = admitted.then(|| snapshot.mark.version());
        if self.in_flight[number].is_none() {
            let planned = self.planned_transaction(&identity, fault);
            state.in_flight[number] = planned.map(|txn| wire::encode(&txn));
        }
        Some(state)
    }

    /// The transaction that a process would send according to what is stored now.
    fn planned_transaction(&self, identity: &Identity, fault: Fault) -> Option<Txn> {
        let mut snapshot = self.store.snapshot();
        if fault == Fault::LeaderNotRead {
            snapshot.leader = Stored::Missing;
        }
        let mut txn = match plan::announcement_transaction(identity, &snapshot, 0) {
            Some(txn) => txn,
            None if !plan::is_admitted(identity.range, &snapshot) => return None,
            None => self.transition(&snapshot)?,
        };
        if let Fault::WithoutCondition(key) = fault {
            txn.compares.retain(|condition| condition.key != key);
        }
        Some(txn)
    }

    fn transition(&self, snapshot: &Snapshot) -> Option<Txn> {
        let controllers: Vec<Controller> = LABELS
            .iter()
            .zip(&self.heartbeat_boots)
            .map(|(label, heartbeat_boot)| {
                let announced = snapshot.member(label).map(|m| m.boot);
                Controller {
                    label: label.to_string(),
                    liveness: match announced == Some(*heartbeat_boot) {
                        true => Liveness::Confirmed,
                        false => Liveness::Unannounced,
                    },
                }
            })
            .collect();
        let pause = snapshot.level.record().and_then(|l| l.pause.clone());
        let input = PlanningInput {
            snapshot,
            controllers: &controllers,
            // A pause lasts until every controller is confirmed.
            pause_reason: pause.filter(|_| {
                controllers
                    .iter()
                    .any(|c| c.liveness != Liveness::Confirmed)
            }),
            may_finalize: true,
            unix_ms: 0,
        };
        plan::transition_transaction(snapshot, &input.next_transition()?)
    }

    /// The transaction by which a process would be elected now, if it may stand for election.
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
                let condition = Compare::new(COMMON_GENERATION_KEY, process.admitted_at_version?);
                if fault != Fault::ElectionWithoutMarkCondition {
                    compares.push(condition);
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
        if self.broken.is_some() || self.store.revision >= revision_max() {
            return Vec::new();
        }
        let mut next = Vec::new();
        for number in 0..LABELS.len() {
            next.extend(self.after_read(number, fault));
            if let Some(sent) = &self.in_flight[number] {
                let txn: Txn = wire::decode(sent).expect("a transaction that the model encoded");
                let mut state = self.clone();
                state.in_flight[number] = None;
                state.store.commit(&txn);
                next.push(state);
            }
            let may_stand = self.elections < ELECTIONS_MAX && !self.leads(number);
            if let Some(txn) = self.election(number, fault).filter(|_| may_stand) {
                let mut state = self.clone();
                state.elections += 1;
                state.store.commit(&txn);
                next.push(state);
            }
            if self.heartbeat_boots[number] != self.processes[number].boot {
                let mut state = self.clone();
                state.heartbeat_boots[number] = self.processes[number].boot;
                next.push(state);
            }
            if !self.remaining_builds[number].is_empty() {
                // A transaction that the previous process has sent stays in flight.
                let mut state = self.clone();
                let process = &mut state.processes[number];
                process.build = state.remaining_builds[number].remove(0);
                process.boot += 1;
                process.admitted_at_version = None;
                next.push(state);
            }
        }
        next.retain(|state| state != self);
        for state in &mut next {
            state.broken = state.broken_invariant(self);
        }
        next
    }

    /// The invariant that the step from `before` breaks, if any.
    fn broken_invariant(&self, before: &State) -> Option<&'static str> {
        let (now, then) = (self.store.snapshot(), before.store.snapshot());
        let mut members = now.members.values().filter_map(Stored::record);
        if members.any(|member| member.newest_level < now.active()) {
            return Some("1: the active level is above an announced one");
        }
        if now.finalized() < then.finalized() {
            return Some("2: the finalized level decreased");
        }
        let leader_supports = |number: usize| match self.processes[number].build {
            Build::Unaware => false,
            Build::Levels(newest) => newest >= now.finalized(),
        };
        let leads = (0..LABELS.len()).find(|n| self.leads(*n));
        let fenced = now.term.record().is_some_and(|term| term.fenced);
        if fenced && !leads.is_none_or(leader_supports) {
            return Some("3: the leader does not support the finalized level");
        }
        None
    }
}

fn revision_max() -> u64 {
    static REVISION_MAX: std::sync::OnceLock<u64> = std::sync::OnceLock::new();
    let configured = || std::env::var("REVISIONS").ok()?.parse().ok();
    *REVISION_MAX.get_or_init(|| configured().unwrap_or(DEFAULT_REVISION_MAX))
}

/// Statistics of the reachable states, and an invariant that one of them breaks.
struct Explored {
    states: usize,
    /// Number of states in which the newest level is finalized.
    finalized: usize,
    /// Number of states in which the active level has been lowered, which shows in the reason of the pause.
    lowered: usize,
    broken: Option<&'static str>,
}

fn explore(scripts: [Vec<Build>; 2], fault: Fault) -> Explored {
    let initial = State::initial(scripts);
    let mut found = Explored {
        states: 0,
        finalized: 0,
        lowered: 0,
        broken: None,
    };
    for state in bfs_reach(initial, |state| state.successors(fault)) {
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

/// Upgrades, rollbacks and restarts of two controllers.
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

/// The invariant that a fault breaks in the first script where it breaks one.
fn broken_by(fault: Fault) -> Option<&'static str> {
    let mut found = scripts().into_iter().map(|s| explore(s, fault).broken);
    found.find_map(|broken| broken)
}

#[test]
fn transactions_without_a_condition_on_the_level_are_detected() {
    let broken = broken_by(Fault::WithoutCondition(CLUSTER_LEVEL_KEY)).expect("a broken invariant");
    assert!(broken.starts_with('1'), "{broken}");
}

#[test]
fn a_finalization_without_a_condition_on_the_term_is_detected() {
    let broken = broken_by(Fault::WithoutCondition(TERM_KEY)).expect("a broken invariant");
    assert!(broken.starts_with('3'), "{broken}");
}

#[test]
fn a_finalization_that_ignores_the_leader_is_detected() {
    let broken = broken_by(Fault::LeaderNotRead).expect("a broken invariant");
    assert!(broken.starts_with('3'), "{broken}");
}

#[test]
fn an_election_without_a_condition_on_the_mark_is_detected() {
    let broken = broken_by(Fault::ElectionWithoutMarkCondition).expect("a broken invariant");
    assert!(broken.starts_with('3'), "{broken}");
}

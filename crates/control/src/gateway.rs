//! Users: submissions, polls and cancellations, each decided against the state service, never against a cache
//! unless the answer is final.

mod absence;
mod dependency_state;
mod proofs;
mod records;

use crate::effects::{Effects, NodeEvent, RequestId};
use crate::recent_map::RecentMap;
use crate::requests::{Priority, StateOp, StateReply, StateTag};
use crate::settings::{Limits, StateLimits, Team};
use constants::*;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;
use wire::cloud::MachineType;
use wire::peers::JobUpdate;
use wire::records::{final_key, job_key, Final, JobRecord, JOBS};
use wire::state::{Compare, Txn, Write};
use wire::users::*;

/// What a user wants, and how far it has come.
enum Want {
    /// Record a job; the refusal is for ids that turn out to be unknown.
    Submit {
        refusal: Option<(u16, String)>,
        spec: Option<Box<Submission>>,
    },
    Status,
    Abort,
}

impl Want {
    /// Whether something is to be changed, rather than asked.
    fn is_change(&self) -> bool {
        !matches!(self, Want::Status)
    }
}

#[derive(PartialEq)]
enum Stage {
    /// The record's version is known: it waits for a transaction that proves that it still holds.
    Proving,
    /// Nothing is known of the id: it waits for a transaction that shows whether a job has it.
    Searching,
    /// A creating transaction is on its way.
    Creating,
    /// Looking at the open record.
    Open,
    /// Looking at the final record.
    Final,
    /// A cancelling transaction is on its way.
    Aborting,
    /// Looking at the open record of a job before it, or (last) at the final one.
    Looking { id: String, last: bool },
    /// A transaction that proves some of the jobs before it is on its way.
    Checking,
}

struct PendingRequest {
    request: RequestId,
    id: String,
    want: Want,
    stage: Stage,
    since: u64,
    /// Records whose versions are still to be proven: its own and those of jobs before it.
    todo: Option<Keys>,
    /// A job before it is cancelled.
    dependency_cancelled: bool,
}

/// Records with the versions that they are to have.
type Keys = BTreeMap<String, u64>;

/// Tasks (done, running) of a job, for display.
pub(crate) type Counts = HashMap<String, (u32, u32)>;

/// An open job's record as last seen.
#[derive(Clone)]
struct Version {
    version: u64,
    /// Whether that version says that it is cancelled.
    aborted: bool,
    /// Jobs it needs; none once all of them are known to be done.
    needs: Rc<[String]>,
}

/// A proof under way.
struct Proof {
    number: u64,
    keys: Keys,
    pending_requests: Vec<u64>,
}

pub(crate) struct Gateway {
    teams: Vec<Team>,
    types: Option<Vec<MachineType>>,
    pending_requests: HashMap<u64, PendingRequest>,
    /// How many of them are submissions and cancellations.
    changes: usize,
    next: u64,
    finals: RecentMap<Final>,
    /// Jobs whose cancellation is recorded, as this node or a peer has seen: that is final, so it may be answered at
    /// once, and must be wherever a reading says something older.
    cancelled: RecentMap<()>,
    pub counts: Counts,
    /// Versions of open jobs' records. Never an answer by themselves.
    versions: RecentMap<Version>,
    /// Tickets that wait for a proof, and the one under way.
    proving: VecDeque<u64>,
    proof: Option<Proof>,
    next_proof: u64,
    proofs: u64,
    proof_guards: usize,
    unheard: absence::UnknownIds,
    /// Limits of the state service today, and what holds at any time.
    now: Limits,
    least: Limits,
    /// Nobody is left who reads only what the version before the pipelines writes.
    upgraded: bool,
}

impl Gateway {
    pub fn new(teams: Vec<Team>, limits: &StateLimits) -> Self {
        Gateway {
            teams,
            types: None,
            pending_requests: HashMap::new(),
            changes: 0,
            next: 0,
            finals: RecentMap::new(FINAL_CACHE),
            cancelled: RecentMap::new(FINAL_CACHE),
            counts: Counts::new(),
            versions: RecentMap::new(VERSION_CACHE),
            proving: VecDeque::new(),
            proof: None,
            next_proof: 0,
            proofs: 0,
            // The protocol allows four times as many conditions as writes.
            proof_guards: 4 * limits.least().txn_ops,
            unheard: absence::UnknownIds::default(),
            now: limits.now(),
            least: limits.least(),
            upgraded: false,
        }
    }

    pub fn set_types(&mut self, types: Vec<MachineType>) {
        self.types = Some(types);
    }

    pub fn knows_types(&self) -> bool {
        self.types.is_some()
    }

    pub fn remember_final(&mut self, id: String, end: Final) {
        self.counts.remove(&id);
        self.versions.remove(&id);
        self.finals.insert(id, end);
    }

    /// A cancellation is recorded: no answer about the job may be older from now on.
    pub fn remember_cancelled(&mut self, id: &str) {
        if !self.cancelled.contains(id) {
            self.cancelled.insert(id.to_string(), ());
        }
    }

    /// Jobs known to be cancelled, for a leader that has yet to read its records.
    pub fn known_cancelled(&self) -> impl Iterator<Item = &String> {
        self.cancelled.keys()
    }

    /// How a job ends or has ended, where that is certain.
    fn known_final(&self, id: &str) -> Option<Final> {
        let cancelled = || self.cancelled.get(id).map(|()| Final::Aborted);
        self.finals.get(id).copied().or_else(cancelled)
    }

    /// A request of a user; `up` tells whether the state service answers.
    pub fn on_request(
        &mut self,
        request: RequestId,
        method: &str,
        path: &str,
        body: &[u8],
        up: bool,
        effects: &mut Effects,
    ) {
        let rest = path.strip_prefix("/submissions").unwrap_or_default();
        let (want, id) = match (method, rest) {
            ("POST", "") => match self.read_submission(body) {
                Ok(read) => read,
                Err(why) => {
                    log::info!("event=job_refused status=400 why={why:?}");
                    return effects.refuse(request, 400, &why);
                }
            },
            (_, "") => return effects.refuse(request, 405, "method not allowed"),
            _ => {
                let name = rest.strip_prefix('/').unwrap_or_default();
                let (name, abort) = match name.strip_suffix("/abort") {
                    Some(name) => (name, true),
                    None => (name, false),
                };
                match (method, abort) {
                    ("GET", false) => (Want::Status, name.to_string()),
                    ("POST", true) => (Want::Abort, name.to_string()),
                    _ => return effects.refuse(request, 405, "method not allowed"),
                }
            }
        };
        if !is_job_id(&id) {
            return effects.refuse(request, 404, "no such job");
        }
        if let Some(end) = self.known_final(&id) {
            return self.answer_final(request, &id, end, effects);
        }
        if !up {
            return effects.refuse(request, 503, "the state service does not answer");
        }
        let changes = want.is_change();
        // Counted apart: questions come in floods, and with one count for both they kept submissions and cancellations
        // from being taken at all.
        let in_hand = match changes {
            true => self.changes,
            false => self.pending_requests.len() - self.changes,
        };
        if in_hand >= USER_INFLIGHT {
            return effects.refuse(request, 503, "too many requests in hand");
        }
        let create = matches!(&want, Want::Submit { refusal: None, .. });
        let heard = self.version_of(&id).is_some();
        let searches = !create && !heard;
        if searches && self.has_too_many_unheard(changes) {
            return effects.refuse(request, 503, "too many requests about unknown ids");
        }
        self.next += 1;
        let needs = match &want {
            Want::Submit { spec: Some(s), .. } => !s.needs.is_empty(),
            _ => false,
        };
        // Users ask every few seconds about every open job: a read each would use up the state service's rate.
        let proves = matches!(&want, Want::Status) && heard;
        let stage = match (create, proves, searches) {
            (true, _, _) => Stage::Creating,
            (_, true, _) => Stage::Proving,
            (_, _, true) => Stage::Searching,
            _ => Stage::Open,
        };
        let since = effects.now.mono;
        let pending = PendingRequest {
            request,
            id,
            want,
            stage,
            since,
            todo: None,
            dependency_cancelled: false,
        };
        self.pending_requests.insert(self.next, pending);
        self.changes += usize::from(changes);
        if proves {
            self.proving.push_back(self.next);
        } else if searches {
            self.start_search(self.next, changes);
        } else if create && needs {
            self.go_on_creating(self.next, effects);
        } else {
            self.send(self.next, effects);
        }
    }

    /// Whether a request that was turned away may be tried again before its user is told to come back.
    fn may_wait(&self, number: u64, now: u64) -> bool {
        let pending = self.pending_requests.get(&number);
        pending.is_some_and(|t| now < t.since + USER_RETRY_MS)
    }

    /// Answers about a job that was found open. What has become certain while that was on its way goes first: another
    /// node may have told its user.
    fn answer_open(&self, request: RequestId, id: &str, aborted: bool, effects: &mut Effects) {
        if let Some(end) = self.known_final(id) {
            return self.answer_final(request, id, end, effects);
        }
        let counts = self.counts.get(id).copied().unwrap_or_default();
        let (phase, counts) = match (aborted, counts.1 > 0) {
            (true, _) => (Phase::Aborted, None),
            (false, true) => (Phase::Running, Some(counts)),
            (false, false) => (Phase::Queued, Some(counts)),
        };
        effects.respond(request, 200, status_body(id, phase, counts));
    }

    fn read_submission(&self, body: &[u8]) -> Result<(Want, String), String> {
        let spec: Result<Submission, _> = wire::decode(body);
        let (refusal, id, spec) = match spec {
            Err(why) => {
                let just: JustId = wire::decode(body).map_err(|_| why.to_string())?;
                (Some((400, why.to_string())), just.id, None)
            }
            Ok(mut spec) => {
                spec.dedup_needs();
                let stranger = |id: &&String| **id == spec.id || !is_job_id(id);
                let refusal = match spec.invalid_field() {
                    Some(field) => Some((400, format!("{field}: invalid"))),
                    None => match spec.needs.iter().find(stranger) {
                        Some(id) => Some((422, format!("awaits: {id:?} was never accepted"))),
                        None => self.never_runs(&spec).or_else(|| self.too_long(&spec)),
                    },
                };
                (refusal, spec.id.clone(), Some(Box::new(spec)))
            }
        };
        if !is_job_id(&id) {
            return Err("id: invalid".into());
        }
        Ok((Want::Submit { refusal, spec }, id))
    }

    /// Why a job could never run, or that this can't be said yet.
    fn never_runs(&self, spec: &Submission) -> Option<(u16, String)> {
        let Some(team) = self.teams.iter().find(|t| t.name == spec.team) else {
            return Some((422, format!("tenant: no team {:?}", spec.team)));
        };
        let n = if spec.shape == Shape::Gang {
            spec.tasks as f64
        } else {
            1.0
        };
        let over = |max: f64, need: f64| max > 0.0 && need * n > max + 1e-6;
        if over(team.cpus_max, spec.cpus) || over(team.gpus_max, spec.gpus) {
            return Some((422, "needs more than the team's limit".into()));
        }
        let Some(types) = &self.types else {
            return Some((503, "machine types are not known yet".into()));
        };
        let fits = types.iter().any(|t| {
            spec.types
                .as_ref()
                .is_none_or(|names| names.contains(&t.name))
                && spec
                    .zone
                    .as_ref()
                    .is_none_or(|z| t.zones.is_empty() || t.zones.contains(z))
                && spec.cpus <= t.cpus + 1e-6
                && spec.gpus <= t.gpus + 1e-6
                && spec.mem_gb <= t.mem_gb + 1e-6
        });
        (!fits).then(|| (422, "a task fits no allowed machine type".into()))
    }

    /// Sends the request that the pending request's stage needs.
    fn send(&mut self, number: u64, effects: &mut Effects) {
        let Some(pending) = self.pending_requests.get(&number) else {
            return;
        };
        let op = match (&pending.stage, &pending.want) {
            (Stage::Creating, Want::Submit { spec: Some(s), .. }) => {
                let writes = match self.draft(s, effects.now.unix) {
                    Ok(writes) => writes,
                    Err(why) => return self.refuse(number, 400, &why, effects),
                };
                let mut compares = vec![
                    Compare::new(job_key(&pending.id), 0),
                    Compare::new(final_key(&pending.id), 0),
                ];
                let before = pending.todo.iter().flatten();
                compares.extend(before.map(|(id, version)| Compare::new(job_key(id), *version)));
                StateOp::Txn(Txn { compares, writes })
            }
            (Stage::Checking, _) => {
                let before = pending.todo.iter().flatten().take(self.proof_guards);
                let compares = before.map(|(id, version)| Compare::new(job_key(id), *version));
                StateOp::Txn(Txn {
                    compares: compares.collect(),
                    writes: Vec::new(),
                })
            }
            (Stage::Looking { id, last: false }, _) => StateOp::Get(job_key(id)),
            (Stage::Looking { id, last: true }, _) => StateOp::Get(final_key(id)),
            (Stage::Final, _) => StateOp::Get(final_key(&pending.id)),
            _ => StateOp::Get(job_key(&pending.id)),
        };
        let priority = match (&op, pending.want.is_change()) {
            (StateOp::Txn(_), _) => Priority::Change,
            (_, true) => Priority::ChangeRead,
            (_, false) => Priority::Question,
        };
        effects.state.push((priority, op, StateTag::User(number)));
    }

    /// A request is about to be answered.
    fn close(&mut self, number: u64) -> Option<PendingRequest> {
        let pending = self.pending_requests.remove(&number)?;
        self.changes -= usize::from(pending.want.is_change());
        Some(pending)
    }

    fn refuse(&mut self, number: u64, status: u16, why: &str, effects: &mut Effects) {
        if let Some(pending) = self.close(number) {
            effects.refuse(pending.request, status, why);
        }
    }

    fn go(&mut self, number: u64, stage: Stage, effects: &mut Effects) {
        if let Some(pending) = self.pending_requests.get_mut(&number) {
            pending.stage = stage;
        }
        self.send(number, effects);
    }

    pub fn on_reply(&mut self, number: u64, reply: StateReply, effects: &mut Effects) {
        let Some(pending) = self.pending_requests.get(&number) else {
            return;
        };
        let late = effects.now.mono > pending.since + USER_DEADLINE_MS;
        match (&pending.stage, reply) {
            (Stage::Creating, StateReply::Committed { version }) => {
                if let Some(t) = self.close(number) {
                    let took_ms = effects.now.mono.saturating_sub(t.since);
                    let needs = match t.want {
                        Want::Submit { spec: Some(s), .. } => s.needs,
                        _ => Vec::new(),
                    };
                    log::info!(
                        "event=job_accepted job={} took_ms={took_ms} needs={} dependency_cancelled={}",
                        t.id,
                        needs.len(),
                        t.dependency_cancelled
                    );
                    if !needs.is_empty() && !self.upgraded {
                        effects
                            .events
                            .push(NodeEvent::Proven("a submission that needs others"));
                    }
                    self.remember_version(&t.id, version, false, &needs);
                    // A repeat at another node may have been answered, and the job cancelled, before this came back.
                    let phase = match (self.known_final(&t.id), t.dependency_cancelled) {
                        (Some(Final::Done), _) => Phase::Done,
                        (Some(Final::Aborted), _) | (None, true) => Phase::Aborted,
                        (None, false) => Phase::Queued,
                    };
                    effects.respond(t.request, 201, status_body(&t.id, phase, None));
                }
            }
            (Stage::Aborting, StateReply::Committed { version }) => {
                if let Some(t) = self.close(number) {
                    log::info!("event=job_aborted job={}", t.id);
                    self.remember_version(&t.id, version, true, &[]);
                    effects.events.push(NodeEvent::Aborted(t.id.clone()));
                    effects.respond(t.request, 200, status_body(&t.id, Phase::Aborted, None));
                }
            }
            // Certainly not executed; most often the rate limit that all nodes share.
            (
                Stage::Creating
                | Stage::Open
                | Stage::Final
                | Stage::Checking
                | Stage::Looking { .. },
                StateReply::Refused,
            ) if self.may_wait(number, effects.now.mono) => {
                self.send(number, effects);
            }
            (_, StateReply::Refused) => {
                self.refuse(number, 503, "the state service refuses", effects);
            }
            // A size that only the limits to come explain: they have come, and the record is written for them.
            (Stage::Creating, StateReply::Invalid)
                if !self.upgraded && self.is_larger_than_least(number) =>
            {
                self.upgraded = true;
                effects.events.push(NodeEvent::Proven(
                    "a submission that only new limits refuse",
                ));
                self.send(number, effects);
            }
            (_, StateReply::Invalid) => {
                log::error!("event=user_request_invalid job={}", pending.id);
                self.refuse(number, 503, "the state service can't take this", effects);
            }
            _ if late => self.refuse(number, 503, "not decided in time", effects),
            (Stage::Creating | Stage::Checking, StateReply::Conflict { failed })
                if !failed.iter().any(|k| self.is_own_key(number, k)) =>
            {
                self.before_changed(number, &failed, effects);
            }
            (Stage::Checking, StateReply::Committed { .. }) => self.checked(number, effects),
            (Stage::Looking { .. }, reply) => self.looked(number, reply, effects),
            // Unknown outcome or a conflict: what is recorded decides.
            (Stage::Creating | Stage::Aborting, _) => self.go(number, Stage::Open, effects),
            (Stage::Open, StateReply::Item(item)) => match item.value.deserialized::<JobRecord>() {
                Ok(record) => self.found_open(number, record, item.version, effects),
                Err(_) => self.refuse(number, 503, "unreadable record", effects),
            },
            (Stage::Open, StateReply::Missing) => self.go(number, Stage::Final, effects),
            (Stage::Final, StateReply::Item(item)) => match item.value.deserialized::<Final>() {
                Ok(end) => {
                    if let Some(t) = self.close(number) {
                        self.answer_final(t.request, &t.id, end, effects);
                        self.remember_final(t.id, end);
                    }
                }
                Err(_) => self.refuse(number, 503, "unreadable record", effects),
            },
            (Stage::Final, StateReply::Missing) => self.found_nothing(number, effects),
            _ => self.refuse(number, 503, "the state service does not answer", effects),
        }
    }

    fn found_open(&mut self, number: u64, record: JobRecord, version: u64, effects: &mut Effects) {
        let Some(pending) = self.pending_requests.get_mut(&number) else {
            return;
        };
        if let (Want::Abort, false) = (&pending.want, record.aborted) {
            pending.stage = Stage::Aborting;
            let key = job_key(&pending.id);
            let txn = Txn {
                compares: vec![Compare::new(key.clone(), version)],
                writes: vec![Write::put(key, &self.cancelled(record))],
            };
            let tag = StateTag::User(number);
            effects
                .state
                .push((Priority::Change, StateOp::Txn(txn), tag));
            return;
        }
        let id = pending.id.clone();
        self.remember_version(&id, version, record.aborted, &record.spec.needs);
        let held = self.version_of(&id).is_some_and(|v| !v.needs.is_empty());
        if held && !record.aborted {
            // Whether a job before it is cancelled is to be seen.
            return self.start_proof(number, effects);
        }
        let Some(t) = self.close(number) else {
            return;
        };
        if record.aborted {
            // Perhaps by a transaction of ours whose answer was lost, or of a node that crashed since.
            effects.events.push(NodeEvent::Aborted(t.id.clone()));
        }
        self.answer_open(t.request, &t.id, record.aborted, effects);
    }

    fn found_nothing(&mut self, number: u64, effects: &mut Effects) {
        let Some(pending) = self.pending_requests.get(&number) else {
            return;
        };
        match &pending.want {
            Want::Submit {
                refusal: Some((status, why)),
                ..
            } => {
                let (status, why) = (*status, why.clone());
                log::info!(
                    "event=job_refused job={} status={status} why={why:?}",
                    pending.id
                );
                self.refuse(number, status, &why, effects);
            }
            // The creation may still be on its way; a retry finds out.
            Want::Submit { .. } => self.refuse(number, 503, "not recorded yet", effects),
            // It has become known since the first of the two readings was sent.
            _ if self.known_final(&pending.id).is_some()
                || self.known_version(&pending.id).is_some() =>
            {
                self.go(number, Stage::Open, effects);
            }
            _ => self.refuse(number, 404, "no such job", effects),
        }
    }

    fn answer_final(&self, request: RequestId, id: &str, end: Final, effects: &mut Effects) {
        let phase = match end {
            Final::Done => Phase::Done,
            Final::Aborted => Phase::Aborted,
        };
        effects.respond(request, 200, status_body(id, phase, None));
    }

    /// Answers what has been undecided for too long.
    pub fn tick(&mut self, effects: &mut Effects) {
        let now = effects.now.mono;
        let late: Vec<u64> = self
            .pending_requests
            .iter()
            .filter(|(_, t)| now > t.since + USER_DEADLINE_MS)
            .map(|(n, _)| *n)
            .collect();
        for number in late {
            self.refuse(number, 503, "not decided in time", effects);
        }
        self.prove(effects);
        self.check_unheard(effects);
    }

    /// Turns away everybody who waits for an answer.
    pub fn refuse_all(&mut self, why: &str, effects: &mut Effects) {
        for (_, pending) in self.pending_requests.drain() {
            effects.refuse(pending.request, 503, why);
        }
        self.changes = 0;
    }

    pub fn is_idle(&self) -> bool {
        self.pending_requests.is_empty()
    }

    pub fn on_event(&mut self, event: &NodeEvent) {
        match event {
            NodeEvent::JobOver(id, end) => self.remember_final(id.clone(), *end),
            NodeEvent::Aborted(id) => self.remember_cancelled(id),
            NodeEvent::Types(types) => self.set_types(types.clone()),
            NodeEvent::Upgraded | NodeEvent::Proven(_) => self.upgraded = true,
            _ => {}
        }
    }
}

fn status_body(id: &str, phase: Phase, counts: Option<(u32, u32)>) -> Vec<u8> {
    wire::encode(&JobStatus {
        id: id.to_string(),
        phase,
        done: counts.map(|c| u64::from(c.0)),
        running: counts.map(|c| u64::from(c.1)),
    })
}

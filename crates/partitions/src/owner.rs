//! An owner's side: which reports it answers by itself, and what it tells the leader.

use crate::hash::{partition_of, PARTITION_COUNT};
use constants::{
    GRANT_RENEW_MS, OWNER_RELAY_MS, PASSED_ON_MAX, REDIRECTED_MAX, RELINQUISHED_A_REQUEST,
    RENAME_OWNER_MS, SILENT_EXTRA_MS, SILENT_HALF_REPORTS, STEADY_REPORTS,
};
use std::collections::{BTreeMap, HashMap};
use wire::partitions::*;
use wire::workers::WorkerHeartbeat;

/// What an owner does with a report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Answers it, without orders, under this term.
    Answer {
        /// Term.
        term: u64,
    },
    /// Passes it on to the leader.
    PassOn,
    /// Sends the worker to this controller, or to the leader.
    Redirect(Option<String>),
    /// Refuses it: it is the late copy of a report that was answered long ago.
    Outdated,
}

/// A grant that was applied.
#[derive(Debug, Clone)]
struct HeldGrant {
    number: u64,
    /// End by our own clock.
    ends_at: u64,
    partitions: BTreeMap<PartitionId, u64>,
}

/// A machine that the leader called steady.
#[derive(Debug, Clone)]
struct SteadyMachine {
    partition: PartitionEpoch,
    permit: u64,
    since: u64,
    /// The report that later ones must repeat; its number is that of the last one answered.
    report: WorkerHeartbeat,
    heard_at: u64,
    answered_at: Option<u64>,
}

/// A permit that is over, until the leader has confirmed that it knows.
#[derive(Debug, Clone)]
struct Over {
    permit: u64,
    answered_at: Option<u64>,
    heard_at: u64,
    /// First request that said so.
    told_in: Option<u64>,
}

/// The owner's side of one controller.
pub struct Owner {
    boot: u64,
    term: u64,
    grant: Option<HeldGrant>,
    /// Until when reports of partitions of the last grant are passed on although it has ended.
    relay_until: u64,
    relayed: BTreeMap<PartitionId, u64>,
    /// Highest number of a permit that was accepted or recalled: lower ones come late.
    permit_floor: u64,
    steady: HashMap<String, SteadyMachine>,
    over: BTreeMap<String, Over>,
    /// The last report that was passed on of each machine, for the permit that may follow.
    passed_on: HashMap<String, WorkerHeartbeat>,
    elsewhere: HashMap<PartitionId, String>,
    /// When machines were last sent to another owner.
    redirected: HashMap<String, u64>,
    last_request: u64,
    next_request_at: u64,
    report_ms: u64,
    next_look: u64,
}

impl Owner {
    /// The owner's side of a process, for workers that report every `report_ms`.
    pub fn new(boot: u64, report_ms: u64) -> Self {
        Owner {
            boot,
            term: 0,
            grant: None,
            relay_until: 0,
            relayed: BTreeMap::new(),
            permit_floor: 0,
            steady: HashMap::new(),
            over: BTreeMap::new(),
            passed_on: HashMap::new(),
            elsewhere: HashMap::new(),
            redirected: HashMap::new(),
            last_request: 0,
            next_request_at: 0,
            report_ms,
            next_look: 0,
        }
    }

    /// A term became known. Under a newer one, grants and permits of the one before are void.
    pub fn on_term(&mut self, term: u64, now: u64) {
        if term <= self.term {
            return;
        }
        self.term = term;
        self.end_grant(now);
        self.steady.clear();
        self.over.clear();
        self.elsewhere.clear();
        self.permit_floor = 0;
        self.next_request_at = now;
    }

    fn end_grant(&mut self, now: u64) {
        if let Some(grant) = self.grant.take() {
            self.relayed = grant.partitions;
            self.relay_until = now.min(grant.ends_at) + OWNER_RELAY_MS;
        }
    }

    /// When [`Owner::request`] is next due.
    pub fn next_wake(&self) -> u64 {
        self.next_request_at
    }

    /// Whether a grant holds that names a partition.
    pub fn holds(&self, partition: PartitionId, now: u64) -> bool {
        let held = self.grant.as_ref().filter(|grant| now < grant.ends_at);
        held.is_some_and(|grant| grant.partitions.contains_key(&partition))
    }

    /// Number of partitions under a grant that holds.
    pub fn partitions_held(&self, now: u64) -> usize {
        let held = self.grant.as_ref().filter(|grant| now < grant.ends_at);
        held.map_or(0, |grant| grant.partitions.len())
    }

    /// Number of machines that are answered here.
    pub fn steady_machines(&self) -> usize {
        self.steady.len()
    }

    /// The next request to the leader, if it is due.
    pub fn request(&mut self, load: ControllerLoad, now: u64) -> Option<GrantRequest> {
        if now < self.next_request_at {
            return None;
        }
        self.next_request_at = now + GRANT_RENEW_MS;
        self.look_for_silent(now);
        self.last_request += 1;
        let request = self.last_request;
        let mut relinquished = Vec::new();
        for (machine, over) in self.over.iter_mut().take(RELINQUISHED_A_REQUEST) {
            over.told_in.get_or_insert(request);
            relinquished.push(Relinquished {
                machine: machine.clone(),
                permit: over.permit,
                answered_ago_ms: over.answered_at.map(|at| now.saturating_sub(at)),
                heard_ago_ms: now.saturating_sub(over.heard_at),
            });
        }
        Some(GrantRequest {
            boot: self.boot,
            request,
            sent: now,
            partition_count: PARTITION_COUNT,
            applied: self.grant.as_ref().map_or(0, |grant| grant.number),
            relinquished,
            load,
        })
    }

    /// Gives up the permits of machines that have not been heard for some reports.
    fn look_for_silent(&mut self, now: u64) {
        if now < self.next_look {
            return;
        }
        self.next_look = now + GRANT_RENEW_MS / 2;
        let silent_ms = self.report_ms * SILENT_HALF_REPORTS / 2 + SILENT_EXTRA_MS;
        let is_silent = |steady: &SteadyMachine| now > steady.heard_at + silent_ms;
        let silent = self.steady.iter().filter(|(_, steady)| is_silent(steady));
        let silent: Vec<String> = silent.map(|(machine, _)| machine.clone()).collect();
        for machine in silent {
            self.give_up(&machine);
        }
        // Of machines that report elsewhere by now no permit will follow. Forgetting the others costs a report passed on.
        if self.passed_on.len() > PASSED_ON_MAX {
            self.passed_on.clear();
        }
    }

    /// Forgets a permit, and tells the leader with the next request.
    fn give_up(&mut self, machine: &str) {
        let Some(steady) = self.steady.remove(machine) else {
            return;
        };
        let over = self.over.entry(machine.to_string()).or_insert(Over {
            permit: 0,
            answered_at: None,
            heard_at: 0,
            told_in: None,
        });
        over.permit = over.permit.max(steady.permit);
        over.answered_at = over.answered_at.max(steady.answered_at);
        over.heard_at = over.heard_at.max(steady.heard_at);
        over.told_in = None;
    }

    /// A grant arrived. Returns whether it was applied.
    pub fn on_grant(&mut self, term: u64, grant: Grant, now: u64) -> bool {
        self.on_term(term, now);
        let is_newer = self
            .grant
            .as_ref()
            .is_none_or(|held| grant.number > held.number);
        if term != self.term || grant.boot != self.boot || !is_newer {
            return false;
        }
        self.over
            .retain(|_, over| over.told_in.is_none_or(|request| request > grant.request));
        for recalled in &grant.recalled {
            self.recall(recalled);
        }
        let granted = grant.partitions.iter();
        let held = HeldGrant {
            number: grant.number,
            ends_at: grant.sent + grant.valid_ms,
            partitions: granted
                .filter(|p| p.partition < PARTITION_COUNT)
                .map(|p| (p.partition, p.epoch))
                .collect(),
        };
        let lost = self.grant.as_ref().map(|before| &before.partitions);
        if let Some(lost) = lost.filter(|lost| lost.len() > held.partitions.len()) {
            self.relayed = lost.clone();
            self.relay_until = now + OWNER_RELAY_MS;
        }
        self.grant = Some(held);
        self.elsewhere = HashMap::new();
        for other in grant.elsewhere {
            for partition in other.partitions {
                self.elsewhere.insert(partition, other.owner.clone());
            }
        }
        true
    }

    /// Permits arrived. Those that are out of order or follow a report other than the last one passed on are refused.
    pub fn on_permits(&mut self, term: u64, boot: u64, permits: Vec<Permit>, now: u64) {
        if term != self.term || boot != self.boot {
            return;
        }
        for permit in permits {
            let is_its_own = partition_of(&permit.machine) == permit.partition.partition;
            if permit.number <= self.permit_floor || !is_its_own {
                continue;
            }
            self.permit_floor = permit.number;
            let follows = |report: &WorkerHeartbeat| {
                (report.incarnation, report.seq) == (permit.incarnation, permit.seq)
            };
            let Some(report) = self.passed_on.remove(&permit.machine).filter(follows) else {
                continue;
            };
            let steady = SteadyMachine {
                partition: permit.partition,
                permit: permit.number,
                since: now,
                report,
                heard_at: now,
                answered_at: None,
            };
            self.steady.insert(permit.machine, steady);
        }
    }

    /// Permits were withdrawn.
    pub fn on_recall(&mut self, term: u64, boot: u64, permits: &[RecalledPermit]) {
        if term == self.term && boot == self.boot {
            permits.iter().for_each(|recalled| self.recall(recalled));
        }
    }

    fn recall(&mut self, recalled: &RecalledPermit) {
        self.permit_floor = self.permit_floor.max(recalled.permit);
        let steady = self.steady.get(&recalled.machine);
        if steady.is_some_and(|steady| steady.permit <= recalled.permit) {
            self.give_up(&recalled.machine);
        }
    }

    /// What to do with a report.
    pub fn decide(&mut self, report: &WorkerHeartbeat, now: u64) -> Decision {
        let partition = partition_of(&report.machine);
        let held = self.grant.as_ref().filter(|grant| now < grant.ends_at);
        let epoch = held.and_then(|grant| grant.partitions.get(&partition).copied());
        let Some(epoch) = epoch else {
            return self.decide_without_grant(report, partition, now);
        };
        let refresh_ms = self.report_ms * STEADY_REPORTS;
        if let Some(steady) = self.steady.get_mut(&report.machine) {
            let last = (steady.report.incarnation, steady.report.seq);
            if (report.incarnation, report.seq) <= last {
                return Decision::Outdated;
            }
            let is_current = steady.partition == PartitionEpoch { partition, epoch }
                && report.term == self.term
                && now < steady.since + refresh_ms;
            if is_current && repeats(report, &steady.report) {
                steady.report.seq = report.seq;
                steady.heard_at = now;
                steady.answered_at = Some(now);
                return Decision::Answer { term: self.term };
            }
            steady.heard_at = now;
        }
        self.pass_on(report);
        Decision::PassOn
    }

    fn decide_without_grant(
        &mut self,
        report: &WorkerHeartbeat,
        partition: PartitionId,
        now: u64,
    ) -> Decision {
        if let Some(owner) = self.elsewhere.get(&partition).cloned() {
            let may = self.may_name_owner(&report.machine, now);
            return Decision::Redirect(may.then_some(owner));
        }
        let ended = self.grant.as_ref().filter(|grant| now >= grant.ends_at);
        let ended = ended.filter(|grant| now < grant.ends_at + OWNER_RELAY_MS);
        let relays = ended.is_some_and(|grant| grant.partitions.contains_key(&partition))
            || (now < self.relay_until && self.relayed.contains_key(&partition));
        if !relays {
            return Decision::Redirect(None);
        }
        self.pass_on(report);
        Decision::PassOn
    }

    /// Whether a machine may be sent to its owner: one that came back did not reach it, and the leader answers whoever comes.
    fn may_name_owner(&mut self, machine: &str, now: u64) -> bool {
        let last = self.redirected.get(machine);
        if last.is_some_and(|at| now < at + RENAME_OWNER_MS) {
            return false;
        }
        if self.redirected.len() >= REDIRECTED_MAX {
            self.redirected.clear();
        }
        self.redirected.insert(machine.to_string(), now);
        true
    }

    /// A report leaves for the leader: what it said of the machine is no longer known to hold.
    fn pass_on(&mut self, report: &WorkerHeartbeat) {
        self.give_up(&report.machine);
        self.passed_on
            .insert(report.machine.clone(), report.clone());
    }
}

/// Whether a report says what an earlier one said, but for its number.
fn repeats(report: &WorkerHeartbeat, earlier: &WorkerHeartbeat) -> bool {
    let renumbered = (report.incarnation, report.term) == (earlier.incarnation, earlier.term);
    renumbered
        && report.notice_s.is_none()
        && earlier.notice_s.is_none()
        && report.tasks == earlier.tasks
        && report.addr == earlier.addr
        && report.machine == earlier.machine
        && (&report.kind, &report.zone, report.spot) == (&earlier.kind, &earlier.zone, earlier.spot)
}

//! The leader's side of grants and permits: who may answer for it, for which machines, and until when an answer that is
//! not its own can have been given.
//!
//! Clocks are the leader's. A grant is counted from when it is given and for a little longer than its owner counts it
//! from its request, so an owner stops before the leader believes that it does.

use crate::hash::{partition_of, PARTITION_COUNT};
use constants::{ANSWERS_KEPT_MS, DRIFT, RECALLS_A_GRANT, STEADY_REPORTS};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use wire::partitions::*;

/// A request that the leader does not act on.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// Its sender knows another number of partitions.
    #[error("it knows {theirs} partitions, this build {PARTITION_COUNT}")]
    PartitionCount {
        /// Number that the sender knows.
        theirs: u16,
    },
}

/// What an owner says of a machine that it no longer answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeardMachine {
    /// Machine.
    pub machine: String,
    /// Moment at which the owner last heard it, or somewhat later.
    pub heard_at: u64,
}

/// The process that holds a grant for a partition, and the epoch it is for.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Holder {
    owner: String,
    boot: u64,
    epoch: u64,
}

/// A grant for a partition.
#[derive(Debug, Clone)]
struct PartitionGrant {
    holder: Holder,
    /// Latest moment at which the holder may answer.
    until: u64,
    /// Number of the first grant to the holder that no longer named the partition.
    withheld_in: Option<u64>,
}

/// A permit that its owner may be using.
#[derive(Debug, Clone)]
struct IssuedPermit {
    number: u64,
    issued_at: u64,
    /// Number of the first grant that recalled it.
    recalled_in: Option<u64>,
}

#[derive(Debug, Default)]
struct PartitionState {
    grant: Option<PartitionGrant>,
    permits: HashMap<String, IssuedPermit>,
    /// Machines whose permits are withdrawn, until the owner has confirmed it.
    withdrawn: BTreeSet<String>,
}

/// Grants and permits of one term.
#[derive(Debug)]
pub struct Delegation {
    partitions: Vec<PartitionState>,
    /// Latest moments at which machines may have been answered under permits that are over.
    answered: HashMap<String, u64>,
    /// Machines whose permits were withdrawn since recalls were last sent apart from grants.
    urgent: Vec<String>,
    /// Machines whose permits have ended since the caller last asked.
    ended: Vec<String>,
    last_permit: u64,
    last_grant: u64,
    report_ms: u64,
}

impl Delegation {
    /// Nothing is granted yet, for workers that report every `report_ms`.
    pub fn new(report_ms: u64) -> Self {
        let partitions = (0..PARTITION_COUNT).map(|_| PartitionState::default());
        Delegation {
            partitions: partitions.collect(),
            answered: HashMap::new(),
            urgent: Vec::new(),
            ended: Vec::new(),
            last_permit: 0,
            last_grant: 0,
            report_ms,
        }
    }

    fn state(&self, machine: &str) -> &PartitionState {
        &self.partitions[usize::from(partition_of(machine))]
    }

    /// Latest moment at which an owner may have answered, or may yet answer, a machine; nothing if none can have.
    pub fn answers_until(&self, machine: &str) -> Option<u64> {
        let state = self.state(machine);
        let permitted = state.permits.contains_key(machine);
        let grant = state.grant.as_ref().filter(|_| permitted);
        let open = grant.map(|grant| grant.until);
        open.max(self.answered.get(machine).copied())
    }

    /// Whether somebody may answer for a partition now.
    pub fn is_granted(&self, partition: PartitionId, now: u64) -> bool {
        let state = self.partitions.get(usize::from(partition));
        let grant = state.and_then(|state| state.grant.as_ref());
        grant.is_some_and(|grant| now < grant.until)
    }

    /// Machines whose permits have ended since this was last asked.
    pub fn take_ended(&mut self) -> Vec<String> {
        std::mem::take(&mut self.ended)
    }

    /// Milliseconds after which a steady machine has been passed on again, unless its owner does not know the permit.
    pub fn refresh_overdue_ms(&self) -> u64 {
        2 * STEADY_REPORTS * self.report_ms
    }

    /// The process that may answer for a partition, if there is one.
    pub fn holder(&self, partition: PartitionId, now: u64) -> Option<&str> {
        let grant = self.partitions.get(usize::from(partition))?.grant.as_ref();
        let holds = |grant: &&PartitionGrant| now < grant.until && grant.withheld_in.is_none();
        grant.filter(holds).map(|grant| grant.holder.owner.as_str())
    }

    /// Number of permits that may be in use.
    pub fn permits(&self) -> usize {
        self.partitions.iter().map(|s| s.permits.len()).sum()
    }

    /// Takes in what an owner says about permits and grants that are over.
    pub fn on_request(
        &mut self,
        owner: &str,
        request: &GrantRequest,
        now: u64,
    ) -> Result<Vec<HeardMachine>, RequestError> {
        if request.partition_count != PARTITION_COUNT {
            let theirs = request.partition_count;
            return Err(RequestError::PartitionCount { theirs });
        }
        let mut heard = Vec::new();
        for word in &request.relinquished {
            heard.push(self.relinquished(owner, request.boot, word, now));
        }
        for state in &mut self.partitions {
            let Some(grant) = state.grant.as_mut() else {
                continue;
            };
            if (grant.holder.owner.as_str(), grant.holder.boot) != (owner, request.boot) {
                continue;
            }
            let is_applied = |number: Option<u64>| number.is_some_and(|n| n <= request.applied);
            if is_applied(grant.withheld_in) {
                grant.until = grant.until.min(now);
            }
            let (permits, answered) = (&mut state.permits, &mut self.answered);
            let ended = &mut self.ended;
            state.withdrawn.retain(|machine| {
                let recalled_in = permits.get(machine).and_then(|permit| permit.recalled_in);
                let is_confirmed = is_applied(recalled_in);
                if is_confirmed {
                    permits.remove(machine);
                    note_answer(answered, machine, now);
                    ended.push(machine.clone());
                }
                !is_confirmed
            });
        }
        Ok(heard)
    }

    /// Withdraws the permit of a machine that is no longer steady, if it has one.
    pub fn withdraw(&mut self, machine: &str) {
        let state = &mut self.partitions[usize::from(partition_of(machine))];
        if state.permits.contains_key(machine) && state.withdrawn.insert(machine.to_string()) {
            self.urgent.push(machine.to_string());
        }
    }

    /// Withdraws the permits of all machines that are not steady.
    pub fn withdraw_unless(&mut self, is_steady: impl Fn(&str) -> bool) {
        let permitted = self
            .partitions
            .iter()
            .flat_map(|state| state.permits.keys());
        let unsteady = permitted.filter(|machine| !is_steady(machine));
        let unsteady: Vec<String> = unsteady.cloned().collect();
        unsteady.iter().for_each(|machine| self.withdraw(machine));
    }

    /// An owner says that it uses a permit no more.
    fn relinquished(
        &mut self,
        owner: &str,
        boot: u64,
        word: &Relinquished,
        now: u64,
    ) -> HeardMachine {
        // By its clock so long ago, by ours perhaps somewhat less.
        let ago = |ms: u64| now.saturating_sub((ms as f64 / DRIFT) as u64);
        if let Some(ms) = word.answered_ago_ms {
            note_answer(&mut self.answered, &word.machine, ago(ms));
        }
        let state = &mut self.partitions[usize::from(partition_of(&word.machine))];
        let holder = state.grant.as_ref().map(|grant| &grant.holder);
        let is_holder = holder.is_some_and(|h| (h.owner.as_str(), h.boot) == (owner, boot));
        let permit = state.permits.get(&word.machine);
        if is_holder && permit.is_some_and(|permit| permit.number <= word.permit) {
            state.permits.remove(&word.machine);
            state.withdrawn.remove(&word.machine);
            self.ended.push(word.machine.clone());
        }
        HeardMachine {
            machine: word.machine.clone(),
            heard_at: ago(word.heard_ago_ms),
        }
    }

    /// Grants an owner's process its partitions for `valid_ms` from its request on, as far as no other grant for them may
    /// still be in use. The caller has withdrawn the permits of all machines that are not steady by what it knows now.
    pub fn grant(
        &mut self,
        owner: &str,
        request: &GrantRequest,
        entitled: &[PartitionEpoch],
        valid_ms: u64,
        now: u64,
    ) -> Grant {
        self.last_grant += 1;
        let number = self.last_grant;
        let until = now + (valid_ms as f64 * DRIFT).ceil() as u64;
        let recalled = self.recalls_for(owner, request.boot, number, now);
        // A grant must name every recall: with more than it holds, it grants nothing until these are confirmed.
        let is_complete = recalled.len() <= RECALLS_A_GRANT;
        let entitled = if is_complete { entitled } else { &[] };
        let mut granted = Vec::new();
        for partition in 0..PARTITION_COUNT {
            let entry = entitled.iter().find(|e| e.partition == partition);
            let holder = entry.map(|entry| Holder {
                owner: owner.to_string(),
                boot: request.boot,
                epoch: entry.epoch,
            });
            let is_granted = holder.is_some_and(|h| self.extend(partition, h, until, now));
            match is_granted {
                true => granted.extend(entry),
                false => self.withhold(partition, owner, request.boot, number),
            }
        }
        Grant {
            boot: request.boot,
            request: request.request,
            sent: request.sent,
            number,
            valid_ms,
            partitions: granted,
            recalled: recalled.into_iter().take(RECALLS_A_GRANT).collect(),
            elsewhere: self.granted_elsewhere(owner, now),
        }
    }

    /// Grants a partition, or extends its grant; false while another one may still be in use.
    fn extend(&mut self, partition: PartitionId, holder: Holder, until: u64, now: u64) -> bool {
        let state = &mut self.partitions[usize::from(partition)];
        match &mut state.grant {
            Some(grant) if grant.holder == holder => {
                grant.until = grant.until.max(until);
                grant.withheld_in = None;
                return true;
            }
            Some(grant) if now <= grant.until => return false,
            Some(grant) => {
                for (machine, _) in state.permits.drain() {
                    note_answer(&mut self.answered, &machine, grant.until);
                    self.ended.push(machine);
                }
                state.withdrawn.clear();
            }
            None => {}
        }
        state.grant = Some(PartitionGrant {
            holder,
            until,
            withheld_in: None,
        });
        true
    }

    /// Notes that a grant to a process did not name a partition that it may hold.
    fn withhold(&mut self, partition: PartitionId, owner: &str, boot: u64, number: u64) {
        let grant = self.partitions[usize::from(partition)].grant.as_mut();
        let held = grant.filter(|g| (g.holder.owner.as_str(), g.holder.boot) == (owner, boot));
        if let Some(grant) = held {
            grant.withheld_in.get_or_insert(number);
        }
    }

    /// Permits that a grant of this number has to recall: those withdrawn, and those of which the owner does not seem to
    /// know.
    fn recalls_for(
        &mut self,
        owner: &str,
        boot: u64,
        number: u64,
        now: u64,
    ) -> Vec<RecalledPermit> {
        let overdue_ms = self.refresh_overdue_ms();
        let mut recalled = Vec::new();
        for state in &mut self.partitions {
            let holder = state.grant.as_ref().map(|grant| &grant.holder);
            if holder.is_none_or(|h| (h.owner.as_str(), h.boot) != (owner, boot)) {
                continue;
            }
            let overdue = state.permits.iter();
            let overdue = overdue.filter(|(_, permit)| now >= permit.issued_at + overdue_ms);
            state
                .withdrawn
                .extend(overdue.map(|(machine, _)| machine.clone()));
            for machine in &state.withdrawn {
                if let Some(permit) = state.permits.get_mut(machine) {
                    permit.recalled_in.get_or_insert(number);
                    recalled.push(RecalledPermit {
                        machine: machine.clone(),
                        permit: permit.number,
                    });
                }
            }
        }
        recalled
    }

    /// Recalls of permits that were just withdrawn, by owner and process: ahead of the next grant, which repeats them.
    pub fn urgent_recalls(&mut self) -> BTreeMap<(String, u64), Vec<RecalledPermit>> {
        let mut recalls: BTreeMap<(String, u64), Vec<RecalledPermit>> = BTreeMap::new();
        for machine in std::mem::take(&mut self.urgent) {
            let state = &self.partitions[usize::from(partition_of(&machine))];
            let permit = state.permits.get(&machine).map(|permit| permit.number);
            let (Some(grant), Some(permit)) = (&state.grant, permit) else {
                continue;
            };
            let key = (grant.holder.owner.clone(), grant.holder.boot);
            let recalled = RecalledPermit { machine, permit };
            recalls.entry(key).or_default().push(recalled);
        }
        recalls
    }

    /// Permits the owner to answer a machine that was found steady, if `owner` passed its report on and holds the grant.
    pub fn permit(
        &mut self,
        owner: &str,
        machine: &str,
        (incarnation, seq): (u64, u64),
        now: u64,
    ) -> Option<(u64, Permit)> {
        let partition = partition_of(machine);
        let state = &mut self.partitions[usize::from(partition)];
        let grant = state.grant.as_ref()?;
        if grant.holder.owner != owner || now >= grant.until || grant.withheld_in.is_some() {
            return None;
        }
        self.last_permit += 1;
        let number = self.last_permit;
        let issued = IssuedPermit {
            number,
            issued_at: now,
            recalled_in: None,
        };
        state.permits.insert(machine.to_string(), issued);
        state.withdrawn.remove(machine);
        let epoch = grant.holder.epoch;
        let permit = Permit {
            machine: machine.to_string(),
            partition: PartitionEpoch { partition, epoch },
            number,
            incarnation,
            seq,
        };
        Some((grant.holder.boot, permit))
    }

    fn granted_elsewhere(&self, asking: &str, now: u64) -> Vec<OwnedElsewhere> {
        let mut owners: BTreeMap<&str, Vec<PartitionId>> = BTreeMap::new();
        for partition in 0..PARTITION_COUNT {
            if let Some(owner) = self.holder(partition, now).filter(|o| *o != asking) {
                owners.entry(owner).or_default().push(partition);
            }
        }
        let owned = owners
            .into_iter()
            .map(|(owner, partitions)| OwnedElsewhere {
                owner: owner.to_string(),
                partitions,
            });
        owned.collect()
    }

    /// Forgets answers from so long ago that no lease depends on them.
    pub fn prune(&mut self, now: u64) {
        self.answered.retain(|_, at| now < *at + ANSWERS_KEPT_MS);
    }
}

fn note_answer(answered: &mut HashMap<String, u64>, machine: &str, at: u64) {
    match answered.get_mut(machine) {
        Some(known) => *known = at.max(*known),
        None => {
            answered.insert(machine.to_string(), at);
        }
    }
}

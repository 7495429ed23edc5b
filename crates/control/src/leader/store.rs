//! Bringing the records to what is wanted, in guarded transactions that never write twice.

use super::model::*;
use super::pages::{copies_in, PageDraft, PageEntryId};
use super::*;
use wire::state::{Compare, Txn, Write};

/// What a transaction brings up to date.
#[derive(Debug, Clone, PartialEq)]
enum Part {
    /// A page, with the parts of jobs it is to hold.
    Page(u32, Vec<PageEntryId>),
    /// A page that holds nothing and goes.
    NoPage(u32),
    /// A job filed away.
    Archived(String, Final),
    Rental(String, Option<RentalRecord>),
    Types(Vec<MachineType>),
}

impl Part {
    fn what(&self) -> RecordId {
        match self {
            Part::Page(number, _) | Part::NoPage(number) => RecordId::Page(*number),
            Part::Archived(id, _) => RecordId::Job(id.clone()),
            Part::Rental(name, _) => RecordId::Rental(name.clone()),
            Part::Types(_) => RecordId::Types,
        }
    }
}

/// A transaction on its way.
#[derive(Debug, Clone)]
pub(super) struct PendingTransaction {
    pub txn: Txn,
    parts: Vec<Part>,
    /// It was sent before with an unknown outcome.
    ambiguous: bool,
}

impl PendingTransaction {
    pub fn add_page(&mut self, number: u32, copied: Vec<PageEntryId>) {
        self.parts.push(Part::Page(number, copied));
    }
}

/// Guards, writes and a guess at the bytes of what one record needs.
#[derive(Default)]
struct RecordWrite {
    compares: Vec<Compare>,
    writes: Vec<Write>,
    bytes: usize,
}

impl RecordWrite {
    fn cell<T: serde::Serialize + PartialEq + Clone>(
        key: String,
        cell: &RecordCell<T>,
    ) -> RecordWrite {
        let write = match &cell.desired {
            Some(record) => Write::put(key.clone(), record),
            None => Write::delete(key.clone()),
        };
        RecordWrite {
            compares: vec![Compare::new(key, cell.version)],
            writes: vec![write],
            bytes: 512,
        }
    }
}

impl Leader {
    /// Notes that a record is not as wanted.
    pub(super) fn queue_write(&mut self, what: RecordId) {
        self.deferred_writes.remove(&what);
        // The end of a job that others wait for goes first.
        let first = matches!(&what, RecordId::Job(id) if self.is_awaited_end(id));
        if self.unsaved.insert(what.clone()) {
            match first {
                true => self.write_queue.push_front(what),
                false => self.write_queue.push_back(what),
            }
        } else if first {
            self.write_queue.retain(|w| *w != what);
            self.write_queue.push_front(what);
        }
    }

    /// Notes that a record is not as wanted, where nothing waits for it: what ended on a machine is kept by its
    /// worker until it is told to forget it, and a place that is free again is only a place not yet used. Such
    /// changes of a job are written with the next one that matters, or after a while.
    pub(super) fn defer_write(&mut self, what: RecordId, now: Now) {
        if let RecordId::Job(id) = &what {
            if self.jobs.get(id).is_some_and(|j| j.final_due().is_some()) {
                return self.queue_write(what);
            }
        }
        if !self.unsaved.contains(&what) {
            self.deferred_writes
                .entry(what)
                .or_insert(now.mono + DEFERRED_WRITE_MS);
        }
    }

    /// Moves on what has waited long enough.
    fn queue_due_deferred_writes(&mut self, now: u64) {
        if now < self.next_deferred_check {
            return;
        }
        self.next_deferred_check = now + HOUSEKEEPING_MS;
        // Starts and ends go first; what nobody waits for would take half of what a small state service takes.
        let more_ms = match self.write_queue.is_empty() {
            true => 0,
            false => DEFERRED_WRITE_MAX_MS - DEFERRED_WRITE_MS,
        };
        let due: Vec<RecordId> = self
            .deferred_writes
            .iter()
            .filter(|(_, at)| **at + more_ms <= now)
            .map(|(what, _)| what.clone())
            .collect();
        for what in due {
            self.queue_write(what);
        }
    }

    fn is_busy(&self, what: &RecordId) -> bool {
        match what {
            RecordId::Job(id) => self.jobs.get(id).is_some_and(|j| j.in_flight),
            RecordId::Rental(name) => self.rentals.get(name).is_some_and(|r| r.record.in_flight),
            RecordId::Types => self.types.in_flight,
            RecordId::Page(number) => self.pages.get(number).is_some_and(|p| p.busy),
        }
    }

    fn set_busy(&mut self, what: &RecordId, busy: bool) {
        match what {
            RecordId::Job(id) => {
                if let Some(j) = self.jobs.get_mut(id) {
                    j.in_flight = busy;
                }
            }
            RecordId::Rental(name) => {
                if let Some(r) = self.rentals.get_mut(name) {
                    r.record.in_flight = busy;
                }
            }
            RecordId::Types => self.types.in_flight = busy,
            RecordId::Page(number) => {
                if let Some(p) = self.pages.get_mut(number) {
                    p.busy = busy;
                }
            }
        }
    }

    /// What a record of its own needs, if anything.
    fn piece(&self, what: &RecordId) -> Option<(Part, RecordWrite)> {
        match what {
            RecordId::Job(id) => self.archive_write(id),
            RecordId::Rental(name) => {
                let cell = &self.rentals.get(name)?.record;
                let part = Part::Rental(name.clone(), cell.desired.clone());
                cell.is_unsaved()
                    .then(|| (part, RecordWrite::cell(rental_key(name), cell)))
            }
            RecordId::Types => {
                let types = self.types.desired.clone()?;
                // Those last recorded do as well: they are for nodes that start without a leader.
                if wire::json_bytes(&types) > self.limits().value_bytes {
                    log::info!("event=types_too_long bytes={}", wire::json_bytes(&types));
                    return None;
                }
                let part = Part::Types(types);
                let mut piece = RecordWrite::cell(TYPES.into(), &self.types);
                piece.bytes = TXN_BYTES / 2;
                self.types.is_unsaved().then_some((part, piece))
            }
            RecordId::Page(_) => None,
        }
    }

    /// Filing a job away: from the open ones to the final ones.
    fn archive_write(&self, id: &str) -> Option<(Part, RecordWrite)> {
        let job = self.jobs.get(id)?;
        let end = job.final_due()?;
        let mut writes = vec![Write::delete(job_key(id)), Write::put(final_key(id), &end)];
        writes.extend((1..=job.more).map(|n| Write::delete(more_key(id, n))));
        let piece = RecordWrite {
            compares: vec![
                Compare::new(job_key(id), job.version),
                Compare::new(final_key(id), 0),
            ],
            writes,
            bytes: 400,
        };
        Some((Part::Archived(id.to_string(), end), piece))
    }

    /// Whether a job has something to record in pages.
    fn is_for_pages(&self, what: &RecordId) -> Option<String> {
        match what {
            RecordId::Job(id) => {
                let job = self.jobs.get(id)?;
                let pages = job.final_due().is_none() && job.chunks.values().any(Chunk::is_unsaved);
                pages.then(|| id.clone())
            }
            _ => None,
        }
    }

    /// Sends transactions for what is unsaved.
    pub(super) fn flush(&mut self, effects: &mut Effects) {
        if !self.is_ready() {
            return;
        }
        let now = effects.now.mono;
        if now < self.invalid_until {
            return;
        }
        self.queue_due_deferred_writes(now);
        let due: Vec<u64> = self
            .retries
            .iter()
            .filter(|(at, _)| *at <= now)
            .map(|(_, n)| *n)
            .collect();
        self.retries.retain(|(at, _)| *at > now);
        for number in due {
            self.send_transaction(number, effects);
        }
        let max_ops = self.limits().txn_ops;
        while self.pending_transactions.len() < TXN_PARALLEL && !self.write_queue.is_empty() {
            let mut transaction = PendingTransaction {
                txn: Txn {
                    compares: vec![Compare::new(LEADER, self.lead_version)],
                    writes: Vec::new(),
                },
                parts: Vec::new(),
                ambiguous: false,
            };
            let (mut bytes, mut later) = (0, VecDeque::new());
            let mut drafts = Vec::new();
            while let Some(what) = self.write_queue.pop_front() {
                if self.is_busy(&what) {
                    later.push_back(what);
                    continue;
                }
                let compares = transaction.txn.compares.len();
                let drafted: usize = drafts.iter().map(PageDraft::compares).sum();
                if let Some(id) = self.is_for_pages(&what) {
                    let spare = (
                        max_ops - transaction.txn.writes.len(),
                        4 * max_ops - compares,
                        TXN_BYTES - bytes.min(TXN_BYTES),
                    );
                    if self.add_parts(&id, &mut drafts, spare) {
                        self.unsaved.remove(&what);
                        continue;
                    }
                    later.push_front(what);
                    break;
                }
                let room = max_ops - transaction.txn.writes.len() - drafts.len();
                let Some((part, piece)) = self.piece(&what) else {
                    self.unsaved.remove(&what);
                    continue;
                };
                let paged: usize = drafts.iter().map(PageDraft::bytes).sum();
                let full = piece.writes.len() > room
                    || compares + drafted + piece.compares.len() > 4 * max_ops
                    || (bytes + paged > 0 && bytes + paged + piece.bytes > TXN_BYTES);
                if full {
                    later.push_front(what);
                    break;
                }
                bytes += piece.bytes;
                transaction.txn.compares.extend(piece.compares);
                transaction.txn.writes.extend(piece.writes);
                self.set_busy(&what, true);
                self.unsaved.remove(&what);
                transaction.parts.push(part);
            }
            while let Some(what) = later.pop_back() {
                self.write_queue.push_front(what);
            }
            self.add_deferred_writes(&mut drafts, &transaction);
            self.write_pages(drafts, &mut transaction);
            if transaction.parts.is_empty() {
                return;
            }
            let calm = self.write_queue.is_empty();
            if let Some((number, version)) = self.spare_page().filter(|_| calm) {
                let room = transaction.txn.writes.len() < max_ops;
                if room && transaction.txn.compares.len() < 4 * max_ops {
                    let key = page_key(number);
                    transaction
                        .txn
                        .compares
                        .push(Compare::new(key.clone(), version));
                    transaction.txn.writes.push(Write::delete(key));
                    transaction.parts.push(Part::NoPage(number));
                    self.set_busy(&RecordId::Page(number), true);
                }
            }
            self.next_transaction_number += 1;
            self.pending_transactions
                .insert(self.next_transaction_number, transaction);
            self.send_transaction(self.next_transaction_number, effects);
        }
    }

    /// Changes that may wait are written where pages on their way have room left: that costs no change of its own.
    fn add_deferred_writes(
        &mut self,
        drafts: &mut Vec<PageDraft>,
        transaction: &PendingTransaction,
    ) {
        if drafts.is_empty() {
            return;
        }
        let compares = 4 * self.limits().txn_ops - transaction.txn.compares.len();
        let spare = (drafts.len(), compares, TXN_BYTES);
        let mut rides: Vec<(u64, RecordId)> = self
            .deferred_writes
            .iter()
            .map(|(w, at)| (*at, w.clone()))
            .collect();
        rides.sort_unstable();
        for (_, what) in rides.into_iter().take(DEFERRED_WRITES_PER_TRANSACTION) {
            let Some(id) = self.is_for_pages(&what).filter(|_| !self.is_busy(&what)) else {
                continue;
            };
            if self.add_parts(&id, drafts, spare) {
                self.deferred_writes.remove(&what);
            }
        }
    }

    fn send_transaction(&mut self, number: u64, effects: &mut Effects) {
        if let Some(transaction) = self.pending_transactions.get(&number) {
            let op = StateOp::Txn(transaction.txn.clone());
            self.send_state_request(
                Priority::LeaderRecords,
                op,
                LeaderRequest::PendingTransaction(number),
                effects,
            );
        }
    }

    pub(super) fn on_transaction_reply(
        &mut self,
        number: u64,
        reply: StateReply,
        effects: &mut Effects,
    ) {
        let Some(transaction) = self.pending_transactions.get_mut(&number) else {
            return;
        };
        match reply {
            StateReply::Committed { version } => {
                self.has_new_decisions = true;
                if let Some(transaction) = self.pending_transactions.remove(&number) {
                    for part in transaction.parts {
                        self.part_saved(part, version, effects);
                    }
                }
            }
            StateReply::Refused => self
                .retries
                .push((effects.now.mono + STATE_RETRY_MS, number)),
            StateReply::Unknown => {
                // The very same transaction again: its guards let it apply once at most.
                transaction.ambiguous = true;
                self.retries
                    .push((effects.now.mono + STATE_RETRY_MS, number));
            }
            StateReply::Conflict { failed } if failed.iter().any(|k| k == LEADER) => {
                effects
                    .events
                    .push(NodeEvent::SteppedDown("a transaction was fenced"));
            }
            StateReply::Conflict { failed } => {
                if let Some(transaction) = self.pending_transactions.remove(&number) {
                    self.conflicted(transaction, &failed, effects);
                }
            }
            other => {
                let Some(transaction) = self.pending_transactions.remove(&number) else {
                    return;
                };
                let over = !self.dense && self.fits_only_today(&transaction.txn);
                if over {
                    effects
                        .events
                        .push(NodeEvent::Proven("a size that only new limits refuse"));
                    self.go_dense();
                } else {
                    // Nothing that is written should ever be invalid; if it is, the rest must go on meanwhile.
                    log::error!("event=txn_invalid reply={other:?}");
                    self.invalid_until = effects.now.mono + INVALID_RETRY_MS;
                }
                // An earlier copy of it may have been executed, or be yet: what is recorded decides.
                self.conflicted(transaction, &[], effects);
            }
        }
        self.flush(effects);
    }

    /// Whether transactions have been sent whose outcome is not known yet.
    pub fn has_writes_in_flight(&self) -> bool {
        !self.pending_transactions.is_empty()
    }

    /// Whether today's limits allow a transaction that those to come do not.
    fn fits_only_today(&self, txn: &Txn) -> bool {
        let state = &self.settings.deployment.state;
        fits(txn, &state.now()) && !fits(txn, &state.least())
    }

    /// Records turned out different from what was known: those are read again before anything is written.
    fn conflicted(
        &mut self,
        transaction: PendingTransaction,
        failed: &[String],
        effects: &mut Effects,
    ) {
        log::info!(
            "event=txn_conflict ambiguous={} failed={failed:?}",
            transaction.ambiguous
        );
        let mut again: Vec<(RecordId, String)> = Vec::new();
        for key in failed {
            // A job that was cancelled meanwhile, most often; its places in pages must not be recorded.
            let id = key
                .strip_prefix(JOBS)
                .filter(|id| self.jobs.contains_key(*id));
            if let Some(id) = id {
                again.push((RecordId::Job(id.to_string()), key.clone()));
            }
        }
        for part in transaction.parts {
            let what = part.what();
            let key = match &part {
                Part::Page(number, _) | Part::NoPage(number) => page_key(*number),
                Part::Archived(id, _) => job_key(id),
                Part::Rental(name, _) => rental_key(name),
                Part::Types(_) => TYPES.into(),
            };
            if let Part::Page(_, copied) = &part {
                for copy in copied {
                    let job = self.jobs.get(&copy.job);
                    if job.is_some_and(|j| j.chunks.values().any(Chunk::is_unsaved)) {
                        self.queue_write(RecordId::Job(copy.job.clone()));
                    }
                }
            }
            if transaction.ambiguous || failed.contains(&key) {
                again.push((what, key));
            } else {
                self.set_busy(&what, false);
                self.queue_write(what);
            }
        }
        for (what, key) in again {
            if self.refreshing.insert(what.clone()) {
                self.set_busy(&what, true);
                let ask = LeaderRequest::Refresh(what, key.clone());
                self.send_state_request(Priority::LeaderRecords, StateOp::Get(key), ask, effects);
            }
        }
    }

    pub(super) fn on_refresh(
        &mut self,
        what: RecordId,
        key: String,
        reply: StateReply,
        effects: &mut Effects,
    ) {
        let item = match reply {
            StateReply::Item(item) => Some(item),
            StateReply::Missing => None,
            _ => {
                let ask = LeaderRequest::Refresh(what, key.clone());
                return self.send_state_request(
                    Priority::LeaderRecords,
                    StateOp::Get(key),
                    ask,
                    effects,
                );
            }
        };
        let version = item.as_ref().map_or(0, |i| i.version);
        match &what {
            RecordId::Job(id) if key == job_key(id) => {
                match item.map(|i| i.value.deserialized::<JobRecord>()) {
                    Some(Ok(record)) => self.learn_job(id, record, version, effects),
                    Some(Err(_)) => log::error!("event=record_unreadable key={key}"),
                    None => {
                        // Filed away: only this leader does that, so the lost answer was a yes.
                        let end = self.jobs.get(id).and_then(Job::final_due);
                        if let Some(end) = end {
                            self.part_saved(Part::Archived(id.clone(), end), version, effects);
                        }
                    }
                }
            }
            RecordId::Job(_) => {}
            RecordId::Page(number) => {
                // What it holds was written by this leader: the lost answer was a yes, or it is as it was.
                let record = item.and_then(|i| i.value.deserialized::<PageRecord>().ok());
                let copied = copies_in(&record.unwrap_or_default());
                self.page_holds(*number, version, &copied);
            }
            RecordId::Rental(name) => {
                if let Some(r) = self.rentals.get_mut(name) {
                    r.record.version = version;
                    r.record.saved = item.and_then(|i| i.value.deserialized().ok());
                }
            }
            RecordId::Types => {
                self.types.version = version;
                self.types.saved = item.and_then(|i| i.value.deserialized().ok());
            }
        }
        self.refreshing.remove(&what);
        self.set_busy(&what, false);
        if !matches!(what, RecordId::Page(_)) {
            self.queue_write(what);
        }
        self.flush(effects);
    }

    fn part_saved(&mut self, part: Part, version: u64, effects: &mut Effects) {
        let what = part.what();
        self.set_busy(&what, false);
        match part {
            Part::Page(number, copied) => {
                self.page_holds(number, version, &copied);
            }
            Part::NoPage(number) => {
                self.pages.remove(&number);
            }
            Part::Archived(id, end) => self.archived(&id, end, effects),
            Part::Rental(name, record) => {
                let Some(r) = self.rentals.get_mut(&name) else {
                    return;
                };
                r.record.version = if record.is_some() { version } else { 0 };
                r.record.saved = record;
                if r.record.is_unsaved() {
                    self.queue_write(what);
                } else if r.record.saved.is_none() {
                    self.rentals.remove(&name);
                } else {
                    self.send_rental(&name, effects);
                }
            }
            Part::Types(types) => {
                self.types.version = version;
                self.types.saved = Some(types);
                if self.types.is_unsaved() {
                    self.queue_write(what);
                }
            }
        }
    }

    fn archived(&mut self, id: &str, end: Final, effects: &mut Effects) {
        let Some(job) = self.jobs.remove(id) else {
            return;
        };
        log::info!(
            "event=job_finished job={id} end={end:?} took_s={:.1} class={}",
            effects.now.unix.saturating_sub(job.submitted_at) as f64 / 1000.0,
            job.spec.class
        );
        for (task, assignment) in job.assignments() {
            if let Some(m) = self.machines.get_mut(&assignment.machine) {
                m.assignments.remove(&(id.to_string(), task));
            }
        }
        self.leave_pages(id, &job);
        if end == Final::Aborted {
            self.forget_failures(id, &job);
        }
        self.plan_due = true;
        for need in &job.needs {
            self.remove_dependent(need, id);
        }
        self.over(id, end, effects.now);
        effects.events.push(NodeEvent::JobOver(id.to_string(), end));
        self.cancellation_notices.remove(id);
        self.archived.insert(id.to_string(), end);
    }

    /// Whether a change that the watch tells late is of a job already filed away.
    pub(super) fn archived_as(&self, id: &str) -> Option<Final> {
        self.archived.get(id).copied()
    }
}

/// Whether a transaction stays within limits.
fn fits(txn: &Txn, limits: &crate::settings::Limits) -> bool {
    let value = |w: &Write| match w {
        Write::Put { value, .. } => wire::json_bytes(value) <= limits.value_bytes,
        Write::Delete { .. } => true,
    };
    txn.writes.len() <= limits.txn_ops
        && txn.compares.len() <= 4 * limits.txn_ops
        && txn.writes.iter().all(value)
}

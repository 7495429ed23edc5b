//! Bringing the records to what is wanted, in guarded transactions that never write twice.

use super::books::*;
use super::pages::{copies_in, Copied, Draft};
use super::*;
use wire::state::{Guard, Txn, Write};

/// What a transaction brings up to date.
#[derive(Debug, Clone, PartialEq)]
enum Part {
    /// A page, with the parts of jobs it is to hold.
    Page(u32, Vec<Copied>),
    /// A page that holds nothing and goes.
    NoPage(u32),
    /// A job filed away.
    Filed(String, Final),
    Rental(String, Option<RentalRecord>),
    Types(Vec<MachineType>),
}

impl Part {
    fn what(&self) -> RecordId {
        match self {
            Part::Page(number, _) | Part::NoPage(number) => RecordId::Page(*number),
            Part::Filed(id, _) => RecordId::Job(id.clone()),
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
    pub fn add_page(&mut self, number: u32, copied: Vec<Copied>) {
        self.parts.push(Part::Page(number, copied));
    }
}

/// Guards, writes and a guess at the bytes of what one record needs.
#[derive(Default)]
struct Piece {
    guards: Vec<Guard>,
    writes: Vec<Write>,
    bytes: usize,
}

impl Piece {
    fn cell<T: serde::Serialize + PartialEq + Clone>(key: String, cell: &Cell<T>) -> Piece {
        let write = match &cell.want {
            Some(record) => Write::put(key.clone(), record),
            None => Write::delete(key.clone()),
        };
        Piece {
            guards: vec![Guard::new(key, cell.version)],
            writes: vec![write],
            bytes: 512,
        }
    }
}

impl Leader {
    /// Notes that a record is not as wanted.
    pub(super) fn mark(&mut self, what: RecordId) {
        self.lazy.remove(&what);
        // The end of a job that others wait for goes first.
        let first = matches!(&what, RecordId::Job(id) if self.is_awaited_end(id));
        if self.dirty.insert(what.clone()) {
            match first {
                true => self.dirty_order.push_front(what),
                false => self.dirty_order.push_back(what),
            }
        } else if first {
            self.dirty_order.retain(|w| *w != what);
            self.dirty_order.push_front(what);
        }
    }

    /// Notes that a record is not as wanted, where nothing waits for it: what ended on a machine is kept by its
    /// worker until it is told to forget it, and a place that is free again is only a place not yet used. Such
    /// changes of a job are written with the next one that matters, or after a while.
    pub(super) fn mark_lazily(&mut self, what: RecordId, now: Now) {
        if let RecordId::Job(id) = &what {
            if self.jobs.get(id).is_some_and(|j| j.final_due().is_some()) {
                return self.mark(what);
            }
        }
        if !self.dirty.contains(&what) {
            self.lazy.entry(what).or_insert(now.mono + LAZY_MS);
        }
    }

    /// Moves on what has waited long enough.
    fn end_patience(&mut self, now: u64) {
        if now < self.next_lazy {
            return;
        }
        self.next_lazy = now + HOUSEKEEPING_MS;
        // Starts and ends go first; what nobody waits for would take half of what a small state service takes.
        let more_ms = match self.dirty_order.is_empty() {
            true => 0,
            false => LAZY_MOST_MS - LAZY_MS,
        };
        let due: Vec<RecordId> = self
            .lazy
            .iter()
            .filter(|(_, at)| **at + more_ms <= now)
            .map(|(what, _)| what.clone())
            .collect();
        for what in due {
            self.mark(what);
        }
    }

    fn is_busy(&self, what: &RecordId) -> bool {
        match what {
            RecordId::Job(id) => self.jobs.get(id).is_some_and(|j| j.inflight),
            RecordId::Rental(name) => self.rentals.get(name).is_some_and(|r| r.record.inflight),
            RecordId::Types => self.types.inflight,
            RecordId::Page(number) => self.pages.get(number).is_some_and(|p| p.busy),
        }
    }

    fn set_busy(&mut self, what: &RecordId, busy: bool) {
        match what {
            RecordId::Job(id) => {
                if let Some(j) = self.jobs.get_mut(id) {
                    j.inflight = busy;
                }
            }
            RecordId::Rental(name) => {
                if let Some(r) = self.rentals.get_mut(name) {
                    r.record.inflight = busy;
                }
            }
            RecordId::Types => self.types.inflight = busy,
            RecordId::Page(number) => {
                if let Some(p) = self.pages.get_mut(number) {
                    p.busy = busy;
                }
            }
        }
    }

    /// What a record of its own needs, if anything.
    fn piece(&self, what: &RecordId) -> Option<(Part, Piece)> {
        match what {
            RecordId::Job(id) => self.filing_piece(id),
            RecordId::Rental(name) => {
                let cell = &self.rentals.get(name)?.record;
                let part = Part::Rental(name.clone(), cell.want.clone());
                cell.dirty()
                    .then(|| (part, Piece::cell(rental_key(name), cell)))
            }
            RecordId::Types => {
                let types = self.types.want.clone()?;
                // Those last recorded do as well: they are for nodes that start without a leader.
                if wire::json_bytes(&types) > self.limits().value_bytes {
                    log::info!("event=types_too_long bytes={}", wire::json_bytes(&types));
                    return None;
                }
                let part = Part::Types(types);
                let mut piece = Piece::cell(TYPES.into(), &self.types);
                piece.bytes = TXN_BYTES / 2;
                self.types.dirty().then_some((part, piece))
            }
            RecordId::Page(_) => None,
        }
    }

    /// Filing a job away: from the open ones to the final ones.
    fn filing_piece(&self, id: &str) -> Option<(Part, Piece)> {
        let job = self.jobs.get(id)?;
        let end = job.final_due()?;
        let mut writes = vec![Write::delete(job_key(id)), Write::put(final_key(id), &end)];
        writes.extend((1..=job.more).map(|n| Write::delete(more_key(id, n))));
        let piece = Piece {
            guards: vec![
                Guard::new(job_key(id), job.version),
                Guard::new(final_key(id), 0),
            ],
            writes,
            bytes: 400,
        };
        Some((Part::Filed(id.to_string(), end), piece))
    }

    /// Whether a job has something to record in pages.
    fn is_for_pages(&self, what: &RecordId) -> Option<String> {
        match what {
            RecordId::Job(id) => {
                let job = self.jobs.get(id)?;
                let pages = job.final_due().is_none() && job.chunks.values().any(Chunk::dirty);
                pages.then(|| id.clone())
            }
            _ => None,
        }
    }

    /// Sends transactions for what is dirty.
    pub(super) fn flush(&mut self, mail: &mut Mail) {
        if !self.is_ready() {
            return;
        }
        let now = mail.now.mono;
        if now < self.invalid_until {
            return;
        }
        self.end_patience(now);
        let due: Vec<u64> = self
            .retries
            .iter()
            .filter(|(at, _)| *at <= now)
            .map(|(_, n)| *n)
            .collect();
        self.retries.retain(|(at, _)| *at > now);
        for number in due {
            self.send_transaction(number, mail);
        }
        let max_ops = self.limits().txn_ops;
        while self.pending_transactions.len() < TXN_PARALLEL && !self.dirty_order.is_empty() {
            let mut transaction = PendingTransaction {
                txn: Txn {
                    guards: vec![Guard::new(LEADER, self.lead_version)],
                    writes: Vec::new(),
                },
                parts: Vec::new(),
                ambiguous: false,
            };
            let (mut bytes, mut later) = (0, VecDeque::new());
            let mut drafts = Vec::new();
            while let Some(what) = self.dirty_order.pop_front() {
                if self.is_busy(&what) {
                    later.push_back(what);
                    continue;
                }
                let guards = transaction.txn.guards.len();
                let drafted: usize = drafts.iter().map(Draft::guards).sum();
                if let Some(id) = self.is_for_pages(&what) {
                    let spare = (
                        max_ops - transaction.txn.writes.len(),
                        4 * max_ops - guards,
                        TXN_BYTES - bytes.min(TXN_BYTES),
                    );
                    if self.add_parts(&id, &mut drafts, spare) {
                        self.dirty.remove(&what);
                        continue;
                    }
                    later.push_front(what);
                    break;
                }
                let room = max_ops - transaction.txn.writes.len() - drafts.len();
                let Some((part, piece)) = self.piece(&what) else {
                    self.dirty.remove(&what);
                    continue;
                };
                let paged: usize = drafts.iter().map(Draft::bytes).sum();
                let full = piece.writes.len() > room
                    || guards + drafted + piece.guards.len() > 4 * max_ops
                    || (bytes + paged > 0 && bytes + paged + piece.bytes > TXN_BYTES);
                if full {
                    later.push_front(what);
                    break;
                }
                bytes += piece.bytes;
                transaction.txn.guards.extend(piece.guards);
                transaction.txn.writes.extend(piece.writes);
                self.set_busy(&what, true);
                self.dirty.remove(&what);
                transaction.parts.push(part);
            }
            while let Some(what) = later.pop_back() {
                self.dirty_order.push_front(what);
            }
            self.ride_along(&mut drafts, &transaction);
            self.write_pages(drafts, &mut transaction);
            if transaction.parts.is_empty() {
                return;
            }
            let calm = self.dirty_order.is_empty();
            if let Some((number, version)) = self.spare_page().filter(|_| calm) {
                let room = transaction.txn.writes.len() < max_ops;
                if room && transaction.txn.guards.len() < 4 * max_ops {
                    let key = page_key(number);
                    transaction
                        .txn
                        .guards
                        .push(Guard::new(key.clone(), version));
                    transaction.txn.writes.push(Write::delete(key));
                    transaction.parts.push(Part::NoPage(number));
                    self.set_busy(&RecordId::Page(number), true);
                }
            }
            self.next_transaction_number += 1;
            self.pending_transactions
                .insert(self.next_transaction_number, transaction);
            self.send_transaction(self.next_transaction_number, mail);
        }
    }

    /// Changes that may wait are written where pages on their way have room left: that costs no change of its own.
    fn ride_along(&mut self, drafts: &mut Vec<Draft>, transaction: &PendingTransaction) {
        if drafts.is_empty() {
            return;
        }
        let guards = 4 * self.limits().txn_ops - transaction.txn.guards.len();
        let spare = (drafts.len(), guards, TXN_BYTES);
        let mut rides: Vec<(u64, RecordId)> =
            self.lazy.iter().map(|(w, at)| (*at, w.clone())).collect();
        rides.sort_unstable();
        for (_, what) in rides.into_iter().take(LAZY_RIDES) {
            let Some(id) = self.is_for_pages(&what).filter(|_| !self.is_busy(&what)) else {
                continue;
            };
            if self.add_parts(&id, drafts, spare) {
                self.lazy.remove(&what);
            }
        }
    }

    fn send_transaction(&mut self, number: u64, mail: &mut Mail) {
        if let Some(transaction) = self.pending_transactions.get(&number) {
            let op = StateOp::Txn(transaction.txn.clone());
            self.ask(
                Priority::Books,
                op,
                LeaderRequest::PendingTransaction(number),
                mail,
            );
        }
    }

    pub(super) fn on_transaction_reply(&mut self, number: u64, reply: StateReply, mail: &mut Mail) {
        let Some(transaction) = self.pending_transactions.get_mut(&number) else {
            return;
        };
        match reply {
            StateReply::Committed { version } => {
                self.settled = true;
                if let Some(transaction) = self.pending_transactions.remove(&number) {
                    for part in transaction.parts {
                        self.part_saved(part, version, mail);
                    }
                }
            }
            StateReply::Refused => self.retries.push((mail.now.mono + STATE_RETRY_MS, number)),
            StateReply::Unknown => {
                // The very same transaction again: its guards let it apply once at most.
                transaction.ambiguous = true;
                self.retries.push((mail.now.mono + STATE_RETRY_MS, number));
            }
            StateReply::Conflict { failed } if failed.iter().any(|k| k == LEADER) => {
                mail.news.push(News::Deposed("a transaction was fenced"));
            }
            StateReply::Conflict { failed } => {
                if let Some(transaction) = self.pending_transactions.remove(&number) {
                    self.conflicted(transaction, &failed, mail);
                }
            }
            other => {
                let Some(transaction) = self.pending_transactions.remove(&number) else {
                    return;
                };
                let over = !self.dense && self.fits_only_today(&transaction.txn);
                if over {
                    mail.news
                        .push(News::Proven("a size that only new limits refuse"));
                    self.go_dense();
                } else {
                    // Nothing that is written should ever be invalid; if it is, the rest must go on meanwhile.
                    log::error!("event=txn_invalid reply={other:?}");
                    self.invalid_until = mail.now.mono + INVALID_RETRY_MS;
                }
                // An earlier copy of it may have been executed, or be yet: what is recorded decides.
                self.conflicted(transaction, &[], mail);
            }
        }
        self.flush(mail);
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
    fn conflicted(&mut self, transaction: PendingTransaction, failed: &[String], mail: &mut Mail) {
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
                Part::Filed(id, _) => job_key(id),
                Part::Rental(name, _) => rental_key(name),
                Part::Types(_) => TYPES.into(),
            };
            if let Part::Page(_, copied) = &part {
                for copy in copied {
                    let job = self.jobs.get(&copy.job);
                    if job.is_some_and(|j| j.chunks.values().any(Chunk::dirty)) {
                        self.mark(RecordId::Job(copy.job.clone()));
                    }
                }
            }
            if transaction.ambiguous || failed.contains(&key) {
                again.push((what, key));
            } else {
                self.set_busy(&what, false);
                self.mark(what);
            }
        }
        for (what, key) in again {
            if self.refreshing.insert(what.clone()) {
                self.set_busy(&what, true);
                let ask = LeaderRequest::Refresh(what, key.clone());
                self.ask(Priority::Books, StateOp::Get(key), ask, mail);
            }
        }
    }

    pub(super) fn on_refresh(
        &mut self,
        what: RecordId,
        key: String,
        reply: StateReply,
        mail: &mut Mail,
    ) {
        let item = match reply {
            StateReply::Item(item) => Some(item),
            StateReply::Missing => None,
            _ => {
                let ask = LeaderRequest::Refresh(what, key.clone());
                return self.ask(Priority::Books, StateOp::Get(key), ask, mail);
            }
        };
        let version = item.as_ref().map_or(0, |i| i.version);
        match &what {
            RecordId::Job(id) if key == job_key(id) => {
                match item.map(|i| i.value.deserialized::<JobRecord>()) {
                    Some(Ok(record)) => self.learn_job(id, record, version, mail),
                    Some(Err(_)) => log::error!("event=record_unreadable key={key}"),
                    None => {
                        // Filed away: only this leader does that, so the lost answer was a yes.
                        let end = self.jobs.get(id).and_then(Job::final_due);
                        if let Some(end) = end {
                            self.part_saved(Part::Filed(id.clone(), end), version, mail);
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
            self.mark(what);
        }
        self.flush(mail);
    }

    fn part_saved(&mut self, part: Part, version: u64, mail: &mut Mail) {
        let what = part.what();
        self.set_busy(&what, false);
        match part {
            Part::Page(number, copied) => {
                self.page_holds(number, version, &copied);
            }
            Part::NoPage(number) => {
                self.pages.remove(&number);
            }
            Part::Filed(id, end) => self.filed(&id, end, mail),
            Part::Rental(name, record) => {
                let Some(r) = self.rentals.get_mut(&name) else {
                    return;
                };
                r.record.version = if record.is_some() { version } else { 0 };
                r.record.saved = record;
                if r.record.dirty() {
                    self.mark(what);
                } else if r.record.saved.is_none() {
                    self.rentals.remove(&name);
                } else {
                    self.send_rental(&name, mail);
                }
            }
            Part::Types(types) => {
                self.types.version = version;
                self.types.saved = Some(types);
                if self.types.dirty() {
                    self.mark(what);
                }
            }
        }
    }

    fn filed(&mut self, id: &str, end: Final, mail: &mut Mail) {
        let Some(job) = self.jobs.remove(id) else {
            return;
        };
        log::info!(
            "event=job_over job={id} end={end:?} took_s={:.1} class={}",
            mail.now.unix.saturating_sub(job.at) as f64 / 1000.0,
            job.spec.class
        );
        for (task, place) in job.places() {
            if let Some(m) = self.machines.get_mut(&place.machine) {
                m.places.remove(&(id.to_string(), task));
            }
        }
        self.leave_pages(id, &job);
        if end == Final::Aborted {
            self.forget_failures(id, &job);
        }
        self.plan_due = true;
        for need in &job.needs {
            self.unfollow(need, id);
        }
        self.over(id, end, mail.now);
        mail.news.push(News::JobOver(id.to_string(), end));
        self.told.remove(id);
        self.filed.insert(id.to_string(), end);
    }

    /// Whether a change that the watch tells late is of a job already filed away.
    pub(super) fn filed_as(&self, id: &str) -> Option<Final> {
        self.filed.get(id).copied()
    }
}

/// Whether a transaction stays within limits.
fn fits(txn: &Txn, limits: &crate::settings::Limits) -> bool {
    let value = |w: &Write| match w {
        Write::Put { value, .. } => wire::json_bytes(value) <= limits.value_bytes,
        Write::Delete { .. } => true,
    };
    txn.writes.len() <= limits.txn_ops
        && txn.guards.len() <= 4 * limits.txn_ops
        && txn.writes.iter().all(value)
}

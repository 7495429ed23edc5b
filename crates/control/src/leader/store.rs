//! Bringing the records to what is wanted, in guarded transactions that never write twice.

use super::books::*;
use super::*;
use wire::state::{Guard, Txn, Write};

/// What a transaction brings up to date.
#[derive(Debug, Clone, PartialEq)]
enum Part {
    /// Chunks of a job, with the change that is written.
    Chunks(String, Vec<(u32, u64)>),
    /// A job filed away.
    Filed(String, Final),
    Rental(String, Option<RentalRecord>),
    Types(Vec<MachineType>),
    Orphan(String),
}

impl Part {
    fn what(&self) -> Dirty {
        match self {
            Part::Chunks(id, _) | Part::Filed(id, _) => Dirty::Job(id.clone()),
            Part::Rental(name, _) => Dirty::Rental(name.clone()),
            Part::Types(_) => Dirty::Types,
            Part::Orphan(key) => Dirty::Orphan(key.clone()),
        }
    }
}

/// A transaction on its way.
#[derive(Debug, Clone)]
pub(super) struct Flight {
    txn: Txn,
    parts: Vec<Part>,
    /// It was sent before with an unknown outcome.
    ambiguous: bool,
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
    pub(super) fn mark(&mut self, what: Dirty) {
        self.lazy.remove(&what);
        if self.dirty.insert(what.clone()) {
            self.dirty_order.push_back(what);
        }
    }

    /// Notes that a record is not as wanted, where nothing waits for it: what ended on a machine is kept by its
    /// worker until it is told to forget it, and a place that is free again is only a place not yet used. Such
    /// changes of a job are written with the next one that matters, or after a while.
    pub(super) fn mark_lazily(&mut self, what: Dirty, now: Now) {
        if let Dirty::Job(id) = &what {
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
        let due: Vec<Dirty> = self
            .lazy
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(what, _)| what.clone())
            .collect();
        for what in due {
            self.mark(what);
        }
    }

    fn is_busy(&self, what: &Dirty) -> bool {
        match what {
            Dirty::Job(id) => self.jobs.get(id).is_some_and(|j| j.inflight),
            Dirty::Rental(name) => self.rentals.get(name).is_some_and(|r| r.record.inflight),
            Dirty::Types => self.types.inflight,
            Dirty::Orphan(_) => false,
        }
    }

    fn set_busy(&mut self, what: &Dirty, busy: bool) {
        match what {
            Dirty::Job(id) => {
                if let Some(j) = self.jobs.get_mut(id) {
                    j.inflight = busy;
                }
            }
            Dirty::Rental(name) => {
                if let Some(r) = self.rentals.get_mut(name) {
                    r.record.inflight = busy;
                }
            }
            Dirty::Types => self.types.inflight = busy,
            Dirty::Orphan(_) => {}
        }
    }

    /// What a record needs, if anything. `room` is the number of writes left in the transaction.
    fn piece(&self, what: &Dirty, room: usize) -> Option<(Part, Piece)> {
        match what {
            Dirty::Job(id) => self.job_piece(id, room),
            Dirty::Rental(name) => {
                let cell = &self.rentals.get(name)?.record;
                let part = Part::Rental(name.clone(), cell.want.clone());
                cell.dirty()
                    .then(|| (part, Piece::cell(rental_key(name), cell)))
            }
            Dirty::Types => {
                let part = Part::Types(self.types.want.clone()?);
                let mut piece = Piece::cell(TYPES.into(), &self.types);
                piece.bytes = TXN_BYTES / 2;
                self.types.dirty().then_some((part, piece))
            }
            Dirty::Orphan(key) => {
                let version = *self.orphans.get(key)?;
                let piece = Piece {
                    guards: vec![Guard::new(key.clone(), version)],
                    writes: vec![Write::delete(key.clone())],
                    bytes: 100,
                };
                Some((Part::Orphan(key.clone()), piece))
            }
        }
    }

    fn job_piece(&self, id: &str, room: usize) -> Option<(Part, Piece)> {
        let job = self.jobs.get(id)?;
        let mut piece = Piece {
            guards: vec![Guard::new(job_key(id), job.version)],
            ..Piece::default()
        };
        if let Some(end) = job.final_due() {
            piece.writes.push(Write::delete(job_key(id)));
            piece.writes.push(Write::put(final_key(id), &end));
            piece.guards.push(Guard::new(final_key(id), 0));
            // What does not fit becomes an orphan, swept up later.
            let recorded = job.chunks.iter().filter(|(_, c)| c.version > 0);
            for (n, chunk) in recorded.take(room.saturating_sub(2)) {
                let key = chunk_key(id, *n);
                piece.guards.push(Guard::new(key.clone(), chunk.version));
                piece.writes.push(Write::delete(key));
            }
            piece.bytes = 200 * piece.writes.len();
            return Some((Part::Filed(id.to_string(), end), piece));
        }
        let mut written = Vec::new();
        for (n, chunk) in job.chunks.iter().filter(|(_, c)| c.dirty()) {
            let record = chunk.record();
            let bytes = 200 + record.done.len() + 48 * record.at.len();
            if written.len() >= room || piece.bytes + bytes > TXN_BYTES {
                break;
            }
            let key = chunk_key(id, *n);
            piece.guards.push(Guard::new(key.clone(), chunk.version));
            piece.writes.push(Write::put(key, &record));
            piece.bytes += bytes;
            written.push((*n, chunk.seq));
        }
        (!written.is_empty()).then(|| (Part::Chunks(id.to_string(), written), piece))
    }

    /// Sends transactions for what is dirty.
    pub(super) fn flush(&mut self, mail: &mut Mail) {
        if !self.is_ready() {
            return;
        }
        let now = mail.now.mono;
        self.end_patience(now);
        let due: Vec<u64> = self
            .retries
            .iter()
            .filter(|(at, _)| *at <= now)
            .map(|(_, n)| *n)
            .collect();
        self.retries.retain(|(at, _)| *at > now);
        for number in due {
            self.send_flight(number, mail);
        }
        let max_ops = self.settings.deployment.state.txn_ops;
        while self.flights.len() < TXN_PARALLEL && !self.dirty_order.is_empty() {
            let mut flight = Flight {
                txn: Txn {
                    guards: vec![Guard::new(LEADER, self.lead_version)],
                    writes: Vec::new(),
                },
                parts: Vec::new(),
                ambiguous: false,
            };
            let (mut bytes, mut later) = (0, VecDeque::new());
            while let Some(what) = self.dirty_order.pop_front() {
                if self.is_busy(&what) {
                    later.push_back(what);
                    continue;
                }
                let room = max_ops - flight.txn.writes.len();
                let Some((part, piece)) = self.piece(&what, max_ops) else {
                    self.dirty.remove(&what);
                    continue;
                };
                let guards = flight.txn.guards.len() + piece.guards.len();
                let full = piece.writes.len() > room
                    || guards > 4 * max_ops
                    || (bytes > 0 && bytes + piece.bytes > TXN_BYTES);
                if full {
                    later.push_front(what);
                    break;
                }
                bytes += piece.bytes;
                flight.txn.guards.extend(piece.guards);
                flight.txn.writes.extend(piece.writes);
                self.set_busy(&what, true);
                // It stays marked only if there is more to write than this transaction takes.
                self.dirty.remove(&what);
                flight.parts.push(part);
            }
            while let Some(what) = later.pop_back() {
                self.dirty_order.push_front(what);
            }
            if flight.parts.is_empty() {
                return;
            }
            self.next_flight += 1;
            self.flights.insert(self.next_flight, flight);
            self.send_flight(self.next_flight, mail);
        }
    }

    fn send_flight(&mut self, number: u64, mail: &mut Mail) {
        if let Some(flight) = self.flights.get(&number) {
            let op = StateOp::Txn(flight.txn.clone());
            self.ask(Priority::Books, op, Ask::Flight(number), mail);
        }
    }

    pub(super) fn on_flight(&mut self, number: u64, reply: StateReply, mail: &mut Mail) {
        let Some(flight) = self.flights.get_mut(&number) else {
            return;
        };
        match reply {
            StateReply::Committed { version } => {
                self.settled = true;
                if let Some(flight) = self.flights.remove(&number) {
                    for part in flight.parts {
                        self.part_saved(part, version, mail);
                    }
                }
            }
            StateReply::Refused => self.retries.push((mail.now.mono + STATE_RETRY_MS, number)),
            StateReply::Unknown => {
                // The very same transaction again: its guards let it apply once at most.
                flight.ambiguous = true;
                self.retries.push((mail.now.mono + STATE_RETRY_MS, number));
            }
            StateReply::Conflict { failed } if failed.iter().any(|k| k == LEADER) => {
                mail.news.push(News::Deposed("a transaction was fenced"));
            }
            StateReply::Conflict { failed } => {
                if let Some(flight) = self.flights.remove(&number) {
                    self.conflicted(flight, &failed, mail);
                }
            }
            other => {
                // Nothing that is written should ever be invalid; if it is, the rest must go on meanwhile.
                log::error!("event=txn_invalid reply={other:?}");
                self.retries
                    .push((mail.now.mono + INVALID_RETRY_MS, number));
            }
        }
        self.flush(mail);
    }

    /// Records turned out different from what was known: those are read again before anything is written.
    fn conflicted(&mut self, flight: Flight, failed: &[String], mail: &mut Mail) {
        log::info!(
            "event=txn_conflict ambiguous={} failed={failed:?}",
            flight.ambiguous
        );
        for part in flight.parts {
            let what = part.what();
            let keys: Vec<String> = match &part {
                Part::Chunks(id, written) => std::iter::once(job_key(id))
                    .chain(written.iter().map(|(n, _)| chunk_key(id, *n)))
                    .collect(),
                Part::Filed(id, _) => {
                    let chunks = self.jobs.get(id).map(|j| j.chunks.keys());
                    std::iter::once(job_key(id))
                        .chain(chunks.into_iter().flatten().map(|n| chunk_key(id, *n)))
                        .collect()
                }
                Part::Rental(name, _) => vec![rental_key(name)],
                Part::Types(_) => vec![TYPES.into()],
                Part::Orphan(key) => {
                    self.orphans.remove(key);
                    continue;
                }
            };
            let touched = flight.ambiguous || keys.iter().any(|k| failed.contains(k));
            if !touched {
                self.set_busy(&what, false);
                self.mark(what);
                continue;
            }
            self.refreshing.insert(what.clone(), keys.len());
            for key in keys {
                let ask = Ask::Refresh(what.clone(), key.clone());
                self.ask(Priority::Books, StateOp::Get(key), ask, mail);
            }
        }
    }

    pub(super) fn on_refresh(
        &mut self,
        what: Dirty,
        key: String,
        reply: StateReply,
        mail: &mut Mail,
    ) {
        let item = match reply {
            StateReply::Item(item) => Some(item),
            StateReply::Missing => None,
            _ => {
                let ask = Ask::Refresh(what, key.clone());
                return self.ask(Priority::Books, StateOp::Get(key), ask, mail);
            }
        };
        let version = item.as_ref().map_or(0, |i| i.version);
        match &what {
            Dirty::Job(id) if key == job_key(id) => {
                match item.map(|i| i.value.deserialized::<JobRecord>()) {
                    Some(Ok(record)) => self.learn_job(id, record, version, mail.now),
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
            Dirty::Job(id) => {
                let record = item.and_then(|i| i.value.deserialized::<ChunkRecord>().ok());
                let number = key.rsplit('/').next().and_then(|n| n.parse::<u32>().ok());
                let chunk = self.jobs.get_mut(id).zip(number);
                if let Some(chunk) = chunk.and_then(|(j, n)| j.chunks.get_mut(&n)) {
                    chunk.version = version;
                    if record == Some(chunk.record()) {
                        chunk.saved = chunk.seq;
                    }
                    chunk.written = record;
                }
            }
            Dirty::Rental(name) => {
                if let Some(r) = self.rentals.get_mut(name) {
                    r.record.version = version;
                    r.record.saved = item.and_then(|i| i.value.deserialized().ok());
                }
            }
            Dirty::Types => {
                self.types.version = version;
                self.types.saved = item.and_then(|i| i.value.deserialized().ok());
            }
            Dirty::Orphan(_) => {}
        }
        let left = self.refreshing.get_mut(&what).map_or(0, |n| {
            *n = n.saturating_sub(1);
            *n
        });
        if left == 0 {
            self.refreshing.remove(&what);
            self.set_busy(&what, false);
            self.mark(what);
            self.flush(mail);
        }
    }

    fn part_saved(&mut self, part: Part, version: u64, mail: &mut Mail) {
        let what = part.what();
        self.set_busy(&what, false);
        match part {
            Part::Chunks(id, written) => {
                let Some(job) = self.jobs.get_mut(&id) else {
                    return;
                };
                for (n, seq) in written {
                    if let Some(chunk) = job.chunks.get_mut(&n) {
                        chunk.version = version;
                        chunk.saved = chunk.saved.max(seq);
                    }
                }
                let unsent = |p: &Place| p.stage == Stage::Ready;
                let starts = |c: &&Chunk| c.dirty() && c.places.values().any(unsent);
                let urgent = job.chunks.values().any(|c| starts(&c)) || job.final_due().is_some();
                let more = job.chunks.values().any(Chunk::dirty);
                if urgent {
                    self.mark(what);
                } else if more {
                    self.mark_lazily(what, mail.now);
                }
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
            Part::Orphan(key) => {
                self.orphans.remove(&key);
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
        let room = self.settings.deployment.state.txn_ops.saturating_sub(2);
        let recorded = job.chunks.iter().filter(|(_, c)| c.version > 0);
        for (n, chunk) in recorded.skip(room) {
            let key = chunk_key(id, *n);
            self.orphans.insert(key.clone(), chunk.version);
            self.mark(Dirty::Orphan(key));
        }
        self.plan_due = true;
        mail.news.push(News::JobOver(id.to_string(), end));
        if self.filed[0].len() >= FINAL_CACHE / 2 {
            self.filed.swap(0, 1);
            self.filed[0].clear();
        }
        self.filed[0].insert(id.to_string());
    }

    /// Whether a change that the watch tells late is of a job already filed away.
    pub(super) fn is_filed(&self, id: &str) -> bool {
        self.filed.iter().any(|f| f.contains(id))
    }
}

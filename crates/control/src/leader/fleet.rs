//! Machines: renting, adopting, giving back. Every rental is recorded before it is asked for; a return sent twice
//! changes nothing and needs no record.

use super::consolidation::CONSOLIDATED;
use super::machine_health::MachineHealth;
use super::model::*;
use super::*;
use sched::{plan_fleet, FleetSnapshot, Offer, Resources};
use wire::cloud::{MachinePhase, Rent};

/// Where this leader's money went, by what the GPU share (or CPU share) of each machine did.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct CostAccount {
    boot: f64,
    idle: f64,
    unused: f64,
    starting: f64,
    stopping: f64,
    running: f64,
    at: u64,
}

impl Leader {
    /// Accounts for the time since the last look.
    fn account(&mut self, now: Now) {
        if now.mono < self.next_account {
            return;
        }
        self.next_account = now.mono + ACCOUNT_MS;
        let hours = now.mono.saturating_sub(self.costs.at).min(2 * ACCOUNT_MS) as f64 / 3_600_000.0;
        self.costs.at = now.mono;
        let types = self.types.desired.iter().flatten();
        let types: HashMap<&str, &MachineType> = types.map(|t| (t.name.as_str(), t)).collect();
        for m in self.machines.values() {
            let Some(t) = types.get(m.kind.as_str()) else {
                continue;
            };
            let money = hours * if m.spot { t.spot_price } else { t.price };
            if !m.synced {
                self.costs.boot += money;
                continue;
            }
            if m.assignments.is_empty() {
                self.costs.idle += money;
                continue;
            }
            let mut left = 1.0;
            for (id, task) in &m.assignments {
                let Some(job) = self.jobs.get(id) else {
                    continue;
                };
                let share = if t.gpus > 0.0 {
                    job.spec.gpus / t.gpus
                } else {
                    job.spec.cpus / t.cpus.max(1e-9)
                };
                let part = match job.assignment(*task).and_then(|p| p.phase) {
                    Some(TaskPhase::Running) => &mut self.costs.running,
                    Some(TaskPhase::Saving | TaskPhase::Ended) => &mut self.costs.stopping,
                    _ => &mut self.costs.starting,
                };
                *part += money * share;
                left -= share;
            }
            self.costs.unused += money * left.max(0.0);
        }
    }

    /// Regular look at the fleet.
    pub(super) fn maintain_fleet(&mut self, effects: &mut Effects) {
        let now = effects.now;
        self.account(now);
        if now.mono >= self.next_types {
            self.next_types = now.mono + (CLOUD_TYPES_S * 1000.0) as u64;
            self.send_cloud_request(CloudOp::Types, CloudRequest::Types, effects);
        }
        if now.mono >= self.next_list && self.list_busy.is_none() {
            // Pages are counted by the machines known, so that a large fleet's lists leave room for other calls.
            let pages = 1.0 + (self.machines.len() / LIST_MAX) as f64;
            let calls = self.settings.deployment.cloud.rps;
            let every_s = CLOUD_LIST_S.max(pages / calls / CLOUD_LIST_SHARE);
            self.next_list = now.mono + (every_s * 1000.0) as u64;
            self.list_busy = Some(now.mono);
            self.list_seen.clear();
            let op = CloudOp::List {
                from: String::new(),
            };
            self.send_cloud_request(op, CloudRequest::List { asked: now.mono }, effects);
        }
        self.consolidate(effects);
        self.return_machines(effects);
        self.resend_rentals(effects);
        self.rent(effects);
        let lag_ms = (self.settings.deployment.cloud.list_lag_s * 4000.0) as u64 + GONE_MS;
        self.departed.retain(|_, at| now.mono < *at + lag_ms);
        if now.mono >= self.next_summary {
            self.next_summary = now.mono + 15_000;
            let up = self.machines.values().filter(|m| m.synced).count();
            let held = self
                .jobs
                .values()
                .filter(|j| j.awaits_dependencies())
                .count();
            let waiting: u64 = self
                .jobs
                .values()
                .filter(|j| !j.awaits_dependencies())
                .map(|j| j.spec.tasks - j.done - u64::from(j.assigned).min(j.spec.tasks - j.done))
                .sum();
            let assigned: u32 = self.jobs.values().map(|j| j.assigned).sum();
            let s = self.costs;
            log::info!(
                "event=cost term={} boot={:.2} idle={:.2} unused={:.2} starting={:.2} stopping={:.2} running={:.2}",
                self.term, s.boot, s.idle, s.unused, s.starting, s.stopping, s.running
            );
            log::info!(
                "event=summary machines={} up={up} jobs={} held={held} placed={assigned} waiting={waiting} rentals={} \
                 is_unsaved={} starts={} sent_ms={} seen_ms={} ran_ms={}",
                self.machines.len(),
                self.jobs.len(),
                self.rentals.len(),
                self.unsaved.len(),
                self.start_latencies.sent.n,
                self.start_latencies.sent,
                self.start_latencies.seen,
                self.start_latencies.ran
            );
            self.start_latencies = StartLatencies::default();
        }
    }

    /// Milliseconds without a report after which a machine is silent.
    pub(super) fn silent_ms(&self) -> u64 {
        (self.settings.deployment.workers.report_s * 2500.0) as u64 + 500
    }

    fn patience_ms(&self, kind: &str) -> u64 {
        let boot = self
            .types
            .desired
            .iter()
            .flatten()
            .find(|t| t.name == kind)
            .map_or(60.0, |t| t.boot_s);
        ((boot * BOOT_PATIENCE + BOOT_PATIENCE_S) * 1000.0) as u64
    }

    /// Decides which machines go back, and sends them back, as many at a time as the cloud takes.
    fn return_machines(&mut self, effects: &mut Effects) {
        let now = effects.now.mono;
        let w = &self.settings.deployment.workers;
        let expiry_ms = (w.lease_s * 1000.0 * DRIFT) as u64 + LEASE_MARGIN_MS;
        let silent_ms = self.silent_ms();
        // What the list does not show any more and has missed a report is gone.
        let missed_ms = (w.report_s * 1_500.0) as u64 + 500;
        // Machines that have stopped are listed as failed before long. What is silent for longer is cut off or hangs,
        // and mostly comes back with its images sooner than another machine would be up: where nothing runs on it
        // any more, it has time.
        let silent_limit = |m: &Machine| match m.assignments.is_empty() && m.orphans.is_empty() {
            true => (expiry_ms as f64 * SILENT_LEASES) as u64,
            false => expiry_ms + SILENT_UNSURE_MS,
        };
        let idle_ms = |spot: bool| {
            let factor = if spot { IDLE_SPOT } else { IDLE_ORDINARY };
            (self.operator.idle_return_s * 1000.0 * factor) as u64
        };
        let minimizes_cost = self.settings.minimizes_cost();
        let mut wanted = self.wanted(effects.now);
        let mut in_use = |m: &Machine| wanted.iter_mut().any(|w| w.takes(m));
        let mut returns: Vec<(String, &'static str)> = Vec::new();
        // A part of the fleet that idles serves what comes next as well as all of it would.
        let idle = |m: &&Machine| m.synced && m.assignments.is_empty() && !m.returning;
        let pool = IDLE_LEAST + self.machines.len() / IDLE_PART;
        let mut surplus = self
            .machines
            .values()
            .filter(idle)
            .count()
            .saturating_sub(pool);
        for (name, m) in &self.machines {
            if m.returning {
                continue;
            }
            let empty = m.assignments.is_empty() && m.orphans.is_empty();
            // A leader that stood still for a minute of an outage, and still leads, would give its whole fleet back.
            let listening = self.ready_at.max(self.resumed_at);
            let heard = self.heard_at(m, now).unwrap_or(0).max(listening);
            let quiet = now.saturating_sub(heard);
            let why = if m.failed {
                Some("failed")
            } else if m.missed_listings >= 2 && quiet > missed_ms {
                Some("taken")
            } else if m
                .notice_at
                .is_some_and(|at| now > at + NOTICE_OVER_MS && now > heard + NOTICE_OVER_MS)
            {
                // Whether it is gone or not: the answer frees its tasks for sure, and nothing is left to wait for.
                Some("its notice is over")
            } else if m.last_heartbeat.is_none() {
                let limit = if m.assignments.is_empty() {
                    self.patience_ms(&m.kind)
                } else {
                    expiry_ms + SILENT_UNSURE_MS
                };
                (now > m.first_known + limit && quiet > limit).then_some("never came up")
            } else if quiet > silent_limit(m) {
                Some("silent")
            } else if empty && m.notice_at.is_some() {
                Some("under notice and empty")
            } else if empty && m.draining == Some(CONSOLIDATED) {
                Some(CONSOLIDATED)
            } else if empty && self.health(name, m, now) == MachineHealth::Faulty {
                Some("faulty")
            } else if empty
                && m.unreachable_since
                    .is_some_and(|at| now > at + UNREACHABLE_LEASES * expiry_ms)
            {
                Some("answers do not reach it")
            } else if minimizes_cost
                && empty
                && m.synced
                && quiet <= silent_ms
                && now
                    > m.idle_since
                        + if surplus > 0 {
                            IDLE_SURPLUS_MS
                        } else {
                            idle_ms(m.spot)
                        }
                && !in_use(m)
            {
                surplus = surplus.saturating_sub(1);
                Some("idle")
            } else {
                None
            };
            if let Some(why) = why {
                returns.push((name.clone(), why));
            }
        }
        for (name, why) in returns {
            let Some(m) = self.machines.get_mut(&name) else {
                continue;
            };
            log::info!(
                "event=return_machine machine={name} kind={} spot={} places={} why={why:?}",
                m.kind,
                m.spot,
                m.assignments.len()
            );
            m.draining.get_or_insert(why);
            m.returning = true;
        }
        let mut names = Vec::new();
        for (name, m) in &mut self.machines {
            let due = m
                .return_sent
                .is_none_or(|at| now > at + 2 * CLOUD_TIMEOUT_MS);
            if m.returning && due && names.len() < RETURN_MAX && !self.departed.contains_key(name) {
                m.return_sent = Some(now);
                names.push(name.clone());
            }
        }
        if !names.is_empty() {
            let op = CloudOp::Return(names.clone());
            self.send_cloud_request(op, CloudRequest::Return(names), effects);
        }
    }

    pub(super) fn send_rental(&mut self, name: &str, effects: &mut Effects) {
        let Some(rental) = self.rentals.get_mut(name) else {
            return;
        };
        let (Some(r), false) = (rental.record.saved.clone(), rental.sent) else {
            return;
        };
        if rental.got_at.is_some() {
            return;
        }
        if rental.record.is_unsaved() || effects.now.mono < rental.retry_at {
            return;
        }
        rental.sent = true;
        let rent = Rent {
            request: name.to_string(),
            kind: r.kind,
            zone: r.zone,
            spot: r.spot,
            count: r.count,
        };
        self.send_cloud_request(
            CloudOp::Rent(rent),
            CloudRequest::Rent(name.to_string()),
            effects,
        );
    }

    fn resend_rentals(&mut self, effects: &mut Effects) {
        // A record goes once the list certainly shows its machines: until then a next leader asks by its name.
        let shown_ms = (self.settings.deployment.cloud.list_lag_s * 2_500.0) as u64 + 2_000;
        let mut over = Vec::new();
        for (name, r) in &mut self.rentals {
            if r.got_at.is_some_and(|at| effects.now.mono > at + shown_ms)
                && r.record.desired.is_some()
            {
                r.record.desired = None;
                over.push(name.clone());
            }
        }
        for name in over {
            self.queue_write(RecordId::Rental(name));
        }
        for name in self.rentals.keys().cloned().collect::<Vec<_>>() {
            self.send_rental(&name, effects);
        }
    }

    /// Asks for what the waiting work needs.
    fn rent(&mut self, effects: &mut Effects) {
        let now = effects.now;
        // A new leader first learns what there is: the list may still hide what was rented before it.
        let Some(types) = self.types.desired.clone() else {
            return;
        };
        if !self.listed_once || now.mono < self.next_rent {
            return;
        }
        self.next_rent = now.mono + HOUSEKEEPING_MS;
        let mut scheduling_snapshot = self.scheduling_snapshot(now);
        let mut offers = Vec::new();
        let mut keys: Vec<OfferKey> = Vec::new();
        for t in &types {
            for zone in &t.zones {
                for spot in [false, true] {
                    let key = (t.name.clone(), zone.clone(), spot);
                    let open = self
                        .refused
                        .get(&key)
                        .is_none_or(|(until, _)| now.mono >= *until);
                    offers.push(Offer {
                        kind: scheduling_snapshot.kinds.number(&t.name),
                        zone: scheduling_snapshot.zones.number(zone),
                        spot,
                        total: Resources {
                            cpus: t.cpus,
                            gpus: t.gpus,
                            memory_gb: t.mem_gb,
                        },
                        price: if spot { t.spot_price } else { t.price },
                        open,
                    });
                    keys.push(key);
                }
            }
        }
        let mut coming = vec![0; offers.len()];
        let silent_ms = self.silent_ms();
        for m in self.machines.values() {
            let booting = m.expected && !m.synced;
            // Cut off or hanging, most likely: it is back before another would be up.
            let away = m.synced
                && m.assignments.is_empty()
                && m.last_heartbeat.is_some_and(|at| now.mono > at + silent_ms);
            if m.known && (booting || away) && !m.failed && !m.returning {
                let key = (m.kind.clone(), m.zone.clone(), m.spot);
                if let Some(i) = keys.iter().position(|k| *k == key) {
                    coming[i] += 1;
                }
            }
        }
        let mut asked = vec![false; offers.len()];
        for r in self.rentals.values().filter(|r| r.got_at.is_none()) {
            if let Some(desired) = r.record.desired.as_ref().or(r.record.saved.as_ref()) {
                let key = (desired.kind.clone(), desired.zone.clone(), desired.spot);
                if let Some(i) = keys.iter().position(|k| *k == key) {
                    coming[i] += desired.count;
                    asked[i] = true;
                }
            }
        }
        let fleet = FleetSnapshot {
            offers,
            expected: coming,
            minimizes_cost: self.settings.minimizes_cost(),
            horizon_s: types.iter().map(|t| t.boot_s).fold(f64::MAX, f64::min) * RENT_HORIZON,
        };
        let mut under_way = self.rentals.values().filter(|r| r.got_at.is_none()).count();
        let requests_by_offer = plan_fleet(&scheduling_snapshot.view, &fleet);
        // Of a large wish, one request at a time goes out for each offer until the first is answered in full.
        let mut requests_by_offer: VecDeque<_> = requests_by_offer
            .into_iter()
            .filter(|w| !asked[w.offer])
            .collect();
        while let Some(mut wish) = requests_by_offer.pop_front() {
            let (kind, zone, spot) = keys[wish.offer].clone();
            if under_way >= RENTALS_OPEN {
                break;
            }
            under_way += 1;
            self.next_request += 1;
            // The term makes the name unique among all leaders there ever were.
            let name = format!("t{}-{}", self.term, self.next_request);
            let count = wish.count.min(RENT_MAX);
            wish.count -= count;
            if wish.count > 0
                && self
                    .filled_offers
                    .contains(&(kind.clone(), zone.clone(), spot))
            {
                requests_by_offer.push_back(wish);
            }
            log::info!(
                "event=rent request={name} kind={kind} zone={zone} spot={spot} count={count}"
            );
            let mut record = RecordCell::new(None, 0);
            record.desired = Some(RentalRecord {
                kind,
                zone,
                spot,
                count,
            });
            let rental = Rental {
                record,
                sent: false,
                retry_at: 0,
                since: now.mono,
                got_at: None,
            };
            self.rentals.insert(name.clone(), rental);
            self.queue_write(RecordId::Rental(name));
        }
    }

    pub(super) fn cloud_answered(
        &mut self,
        ask: CloudRequest,
        op: CloudOp,
        reply: CloudReply,
        effects: &mut Effects,
    ) {
        let now = effects.now;
        match (ask, reply) {
            (CloudRequest::Types, CloudReply::Types(types)) => {
                if self.types.desired.as_ref() != Some(&types) {
                    effects.events.push(NodeEvent::Types(types.clone()));
                    self.types.desired = Some(types);
                    self.queue_write(RecordId::Types);
                    self.plan_due = true;
                }
            }
            (CloudRequest::Types, _) => {
                let pause = if self.types.desired.is_some() {
                    10_000
                } else {
                    1_000
                };
                self.next_types = now.mono + pause;
            }
            (CloudRequest::List { asked }, CloudReply::Listed(list)) => {
                let last = list.machines.last().map(|m| m.id.clone());
                for m in list.machines {
                    self.on_listed(m, now);
                }
                match (list.more, last) {
                    (true, Some(from)) => {
                        self.send_cloud_request(
                            CloudOp::List { from },
                            CloudRequest::List { asked },
                            effects,
                        );
                    }
                    _ => self.list_complete(asked),
                }
            }
            (CloudRequest::List { .. }, _) => self.list_busy = None,
            (CloudRequest::Rent(name), reply) => self.on_rented(&name, op, reply, now),
            (CloudRequest::Return(names), CloudReply::Returned) => {
                for name in names {
                    self.machine_gone(&name, now);
                }
            }
            (CloudRequest::Return(names), reply) => {
                log::info!(
                    "event=return_failed machines={} reply={reply:?}",
                    names.len()
                );
                for name in names {
                    if let Some(m) = self.machines.get_mut(&name) {
                        m.return_sent = Some(now.mono.saturating_sub(2 * CLOUD_TIMEOUT_MS - 2_000));
                    }
                }
            }
        }
    }

    fn machine_gone(&mut self, name: &str, now: Now) {
        self.free_machine(name, "its machine was given back", now);
        self.departed.insert(name.to_string(), now.mono);
        log::info!("event=machine_gone machine={name}");
        self.machines.remove(name);
        self.plan_due = true;
    }

    fn on_rented(&mut self, name: &str, op: CloudOp, reply: CloudReply, now: Now) {
        let CloudOp::Rent(rent) = op else { return };
        let Some(rental) = self.rentals.get_mut(name) else {
            return;
        };
        rental.sent = false;
        let key = (rent.kind.clone(), rent.zone.clone(), rent.spot);
        match reply {
            CloudReply::Rented(machines) => {
                log::info!(
                    "event=rented request={name} got={} of={} took_ms={}",
                    machines.len(),
                    rent.count,
                    now.mono - rental.since
                );
                rental.got_at = Some(now.mono);
                if machines.len() < rent.count as usize {
                    self.no_capacity(key, now);
                } else {
                    self.refused.remove(&key);
                    self.filled_offers.insert(key);
                }
                for machine in machines {
                    if self.departed.contains_key(&machine) {
                        continue;
                    }
                    let m = self
                        .machines
                        .entry(machine)
                        .or_insert_with(|| Machine::new(now.mono));
                    m.describe(&rent.kind, &rent.zone, rent.spot);
                    m.expected = true;
                    m.rented = m.last_heartbeat.is_none() && !m.listed;
                }
            }
            CloudReply::NoCapacity | CloudReply::Invalid => {
                rental.record.desired = None;
                self.no_capacity(key, now);
                self.queue_write(RecordId::Rental(name.to_string()));
            }
            _ => rental.retry_at = now.mono + 2_000,
        }
    }

    fn no_capacity(&mut self, key: OfferKey, now: Now) {
        self.filled_offers.remove(&key);
        let last = self.refused.get(&key).map_or(0, |(_, pause)| *pause);
        let pause = (last * 2).clamp(NO_CAPACITY_MS, NO_CAPACITY_MAX_MS);
        log::info!(
            "event=no_capacity kind={} zone={} spot={} pause_ms={pause}",
            key.0,
            key.1,
            key.2
        );
        self.refused.insert(key, (now.mono + pause, pause));
    }

    fn on_listed(&mut self, listed: wire::cloud::ListedMachine, now: Now) {
        self.list_seen.insert(listed.id.clone());
        if self.departed.contains_key(&listed.id) {
            return;
        }
        let age_ms = (listed.age_s.max(0.0) * 1000.0) as u64;
        let m = self
            .machines
            .entry(listed.id.clone())
            .or_insert_with(|| Machine::new(now.mono.saturating_sub(age_ms)));
        m.describe(&listed.kind, &listed.zone, listed.spot);
        if m.addr.is_none() {
            m.addr = listed.addr.clone();
        }
        m.listed = true;
        m.expected = true;
        m.missed_listings = 0;
        if listed.phase == MachinePhase::Failed && !m.failed {
            log::info!("event=machine_failed machine={}", listed.id);
            m.failed = true;
            self.plan_due = true;
        }
    }

    fn list_complete(&mut self, asked: u64) {
        self.list_busy = None;
        self.listed_once = true;
        if asked < self.list_asked {
            return;
        }
        self.list_asked = asked;
        // A machine that was named by the cloud but is not listed when it must be has gone again.
        let shown_ms = (self.settings.deployment.cloud.list_lag_s * 2_000.0) as u64 + 1_000;
        for (name, m) in &mut self.machines {
            let due = m.listed || asked > m.first_known + shown_ms;
            if due && !self.list_seen.contains(name) {
                m.missed_listings += 1;
            }
        }
    }
}

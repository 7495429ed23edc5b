//! Who leads: a key under a lease, and a term that only grows, raised in the same guarded transaction.

use crate::effects::{Effects, NodeEvent};
use crate::requests::{ElectionStep, Priority, StateOp, StateReply, StateTag};
use constants::*;
use wire::records::{LeaderRecord, TermRecord, LEADER, TERM};
use wire::state::{Compare, Item, Txn, Write};

/// What the node says of elections.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct ElectionRules {
    /// Whether this process may stand.
    pub may_stand: bool,
    /// The feature level that its record names, if it may name one.
    pub level: Option<u32>,
    /// Conditions of its election besides those of every other: what it has read of the cluster's level still holds.
    pub conditions: Vec<Compare>,
    /// Milliseconds for which a vacancy is left to newer builds.
    pub defer_ms: u64,
}

/// A hand-over that was announced to us.
#[derive(Debug, Clone, Copy)]
struct Handover {
    term: u64,
    until: u64,
}

enum Role {
    Follower,
    /// Running for leader: the lease and the term aimed at.
    Candidate {
        lead_version: u64,
        term: u64,
        term_version: u64,
        /// The record of the term as it was read, if there was one.
        last_term: Option<TermRecord>,
        lease: Option<u64>,
        since: u64,
    },
    Leader {
        term: u64,
        lease: u64,
        /// Sent-time of the last renewal that succeeded.
        renewed: u64,
    },
}

pub(crate) struct Election {
    label: String,
    boot: u64,
    role: Role,
    /// Number of the attempt or term the open replies must carry.
    round: u64,
    next_at: u64,
    busy_until: u64,
    paused_until: u64,
    known: Option<(LeaderRecord, u64)>,
    /// Since when that one is known.
    known_since: u64,
    /// Lease of the leader last seen.
    known_lease: Option<u64>,
    /// Term of the last leader whose lease was ended for it.
    ended_term: u64,
    highest_term: u64,
    /// When this process went on after it had stood still; 0 if it never did.
    resumed_at: u64,
    rules: ElectionRules,
    /// Since when nobody leads, as far as was seen.
    vacant_since: Option<u64>,
    handover: Option<Handover>,
    rng: fastrand::Rng,
}

impl Election {
    pub fn new(label: &str, boot: u64) -> Self {
        Election {
            label: label.to_string(),
            boot,
            role: Role::Follower,
            round: 0,
            next_at: 0,
            busy_until: 0,
            paused_until: 0,
            known: None,
            known_since: 0,
            known_lease: None,
            ended_term: 0,
            highest_term: 0,
            resumed_at: 0,
            rules: ElectionRules {
                may_stand: true,
                ..ElectionRules::default()
            },
            vacant_since: None,
            handover: None,
            rng: fastrand::Rng::with_seed(boot),
        }
    }

    /// Term, if this node leads (perhaps without knowing that it no longer does).
    pub fn leads(&self) -> Option<u64> {
        match self.role {
            Role::Leader { term, .. } => Some(term),
            _ => None,
        }
    }

    /// Whether the lease was certainly alive a moment ago, by our own clock.
    pub fn lease_holds(&self, now: u64) -> bool {
        matches!(self.role, Role::Leader { renewed, .. } if now < renewed + LEADER_LEASE_MS - 300)
    }

    /// The process stood still until now. Replies that waited tell what was true when they were sent: a former leader
    /// would be taken for the present one, and a lease that may be over for our own. So the leader key is looked at, or
    /// the lease renewed, anew.
    pub fn on_stall(&mut self, now: u64) {
        self.resumed_at = now;
        self.next_at = now;
        self.busy_until = 0;
        match &mut self.role {
            Role::Leader { renewed, .. } => *renewed = 0,
            // A candidate that was elected meanwhile finds itself under the key.
            _ => self.round += 1,
        }
    }

    /// What holds from now on. A leader that may not take part any more makes room.
    pub fn follow(&mut self, rules: ElectionRules) {
        self.rules = rules;
    }

    /// The leader stops as planned, and names us its successor: the vacancy is looked for until it is there.
    pub fn on_handover(&mut self, from: &str, term: u64, effects: &mut Effects) {
        let leads = self.known.as_ref();
        let is_leader = leads.is_none_or(|(record, _)| record.node == from && record.term == term);
        if !is_leader || term < self.highest_term || self.leads().is_some() {
            return;
        }
        log::info!("event=named_successor by={from} term={term}");
        let now = effects.now.mono;
        let until = now + HANDOVER_MS;
        self.handover = Some(Handover { term, until });
        self.round += 1;
        self.busy_until = 0;
        self.next_at = now;
    }

    pub fn highest_term(&self) -> u64 {
        self.highest_term
    }

    /// Label of the leader, if it was seen lately.
    pub fn leader_label(&self, now: u64) -> Option<&str> {
        if self.leads().is_some() {
            return Some(&self.label);
        }
        self.known
            .as_ref()
            .filter(|(_, at)| now < at + LEADER_LEASE_MS)
            .map(|(r, _)| r.node.as_str())
    }

    /// Since when this node has known the present leader.
    pub fn known_since(&self) -> u64 {
        self.known_since
    }

    /// A peer knows of a term.
    pub fn heard_term(&mut self, term: u64, effects: &mut Effects) {
        self.highest_term = self.highest_term.max(term);
        if let Role::Leader { term: mine, .. } = self.role {
            if term > mine {
                self.step_down("a peer knows a newer term", effects);
            }
        }
    }

    /// A peer that seems to have crashed: if it leads, its lease is ended for it, once a term. That is safe
    /// even when wrong (a filter between nodes refuses connections too): it would lose its place, no more.
    pub fn peer_refuses(&mut self, label: &str, effects: &mut Effects) {
        let Some((record, _)) = self.known.as_ref().filter(|(r, _)| r.node == label) else {
            return;
        };
        let (Some(lease), true) = (self.known_lease, record.term > self.ended_term) else {
            return;
        };
        self.ended_term = record.term;
        // Workers must not be sent there any more.
        let record = record.clone();
        self.known = None;
        log::info!("event=leader_unreachable node={label} term={}", record.term);
        effects.state.push((
            Priority::Leadership,
            StateOp::Revoke(lease),
            StateTag::Election(ElectionStep::Quit),
        ));
        // A successor that was named looks at once; the others leave it a moment.
        let pause_ms = match self.is_named(effects.now.mono) {
            true => 0,
            false => STATE_RETRY_MS / 5 + self.rng.u64(..ELECTION_JITTER_MS),
        };
        self.next_at = effects.now.mono + pause_ms;
        self.busy_until = 0;
    }

    /// Whether the leader has lately named this process its successor.
    fn is_named(&self, now: u64) -> bool {
        self.handover.is_some_and(|handover| now < handover.until)
    }

    /// Gives leadership up for a while, for a reason the others don't share.
    pub fn resign(&mut self, why: &'static str, effects: &mut Effects) {
        if let Role::Leader { lease, .. } = self.role {
            effects.state.push((
                Priority::Leadership,
                StateOp::Revoke(lease),
                StateTag::Election(ElectionStep::Quit),
            ));
            self.paused_until = effects.now.mono + RESIGN_PAUSE_MS;
            self.step_down(why, effects);
        }
    }

    fn step_down(&mut self, why: &'static str, effects: &mut Effects) {
        self.role = Role::Follower;
        self.round += 1;
        self.busy_until = 0;
        self.known = None;
        self.next_at = effects.now.mono + LEADER_POLL_MS;
        effects.events.push(NodeEvent::SteppedDown(why));
    }

    /// A transaction found the leader key gone or changed.
    pub fn fenced(&mut self, effects: &mut Effects) {
        if self.leads().is_some() {
            self.step_down("the leader key is not ours any more", effects);
        }
    }

    pub fn next_wake(&self) -> u64 {
        self.next_at.max(self.busy_until)
    }

    fn ask(&mut self, op: StateOp, step: ElectionStep, effects: &mut Effects) {
        self.busy_until = effects.now.mono + 3 * STATE_TIMEOUT_MS;
        effects
            .state
            .push((Priority::Leadership, op, StateTag::Election(step)));
    }

    pub fn tick(&mut self, effects: &mut Effects) {
        let now = effects.now.mono;
        if now < self.next_at || now < self.busy_until {
            return;
        }
        match &self.role {
            Role::Leader { term, lease, .. } => {
                let (term, lease) = (*term, *lease);
                self.next_at = now + LEADER_RENEW_MS;
                self.ask(
                    StateOp::Renew(lease),
                    ElectionStep::Renew(term, now),
                    effects,
                );
                self.busy_until = now + LEADER_RENEW_MS;
            }
            _ => {
                self.round += 1;
                let vacant = self.leader_label(now).is_none();
                let pause = if vacant {
                    VACANT_POLL_MS
                } else {
                    LEADER_POLL_MS
                };
                let pause = if self.is_named(now) {
                    HANDOVER_POLL_MS
                } else {
                    pause
                };
                self.next_at = now + pause;
                let round = self.round;
                self.ask(
                    StateOp::Get(LEADER.into()),
                    ElectionStep::Poll(round),
                    effects,
                );
            }
        }
    }

    fn again(&mut self, effects: &Effects) {
        self.busy_until = 0;
        self.next_at = effects.now.mono + LEADER_POLL_MS / 2 + self.rng.u64(..ELECTION_JITTER_MS);
    }

    pub fn on_reply(&mut self, step: ElectionStep, reply: StateReply, effects: &mut Effects) {
        match step {
            ElectionStep::Quit => {}
            ElectionStep::Renew(term, sent) => self.on_renewal(term, sent, &reply, effects),
            ElectionStep::Poll(r)
            | ElectionStep::Term(r)
            | ElectionStep::Grant(r)
            | ElectionStep::Run(r)
                if r != self.round => {}
            ElectionStep::Poll(_) => self.on_poll(reply, effects),
            ElectionStep::Term(_) => self.on_term(reply, effects),
            ElectionStep::Grant(_) => self.on_grant(reply, effects),
            ElectionStep::Run(_) => self.on_run(reply, effects),
        }
    }

    fn on_renewal(&mut self, of: u64, sent: u64, reply: &StateReply, effects: &mut Effects) {
        let Role::Leader { term, renewed, .. } = &mut self.role else {
            return;
        };
        if *term != of {
            return;
        }
        match reply {
            // Nothing from before a stall makes the lease hold again.
            StateReply::Renewed if sent < self.resumed_at => {}
            StateReply::Renewed => *renewed = (*renewed).max(sent),
            StateReply::NoLease => self.step_down("the lease ran out", effects),
            _ => {}
        }
    }

    fn on_poll(&mut self, reply: StateReply, effects: &mut Effects) {
        self.busy_until = 0;
        let now = effects.now.mono;
        match reply {
            StateReply::Item(item) => {
                let Ok(record) = item.value.deserialized::<LeaderRecord>() else {
                    log::error!("event=leader_record_unreadable version={}", item.version);
                    return;
                };
                self.highest_term = self.highest_term.max(record.term);
                self.vacant_since = None;
                if self.handover.is_some_and(|h| record.term > h.term) {
                    self.handover = None;
                }
                if record.node != self.label {
                    self.role = Role::Follower;
                    if self.known.as_ref().is_none_or(|(r, _)| *r != record) {
                        self.known_since = now;
                    }
                    self.known = Some((record, now));
                    self.known_lease = item.lease;
                } else if record.boot == self.boot {
                    self.found_ourselves(record, &item, effects);
                } else if self.may_stand(now) {
                    // Our own earlier process, which is gone: nobody needs to wait for its lease.
                    self.stand(item.version, effects);
                }
            }
            StateReply::Missing if self.may_stand(now) => {
                self.known = None;
                let since = *self.vacant_since.get_or_insert(now);
                if self.is_named(now) || now >= since + self.rules.defer_ms {
                    self.stand(0, effects);
                }
            }
            StateReply::Missing => self.known = None,
            _ => {}
        }
    }

    fn may_stand(&self, now: u64) -> bool {
        self.rules.may_stand && now >= self.paused_until
    }

    /// The answer to our candidacy was lost, but it succeeded.
    fn found_ourselves(&mut self, record: LeaderRecord, item: &Item, effects: &mut Effects) {
        let lease = match self.role {
            Role::Candidate {
                lease: Some(lease),
                term,
                ..
            } if term == record.term => Some(lease),
            _ => None,
        };
        match lease {
            Some(lease) => self.win(record.term, lease, item.version, effects),
            None => self.stand(item.version, effects),
        }
    }

    fn stand(&mut self, lead_version: u64, effects: &mut Effects) {
        self.role = Role::Candidate {
            lead_version,
            term: 0,
            term_version: 0,
            last_term: None,
            lease: None,
            since: effects.now.mono,
        };
        let round = self.round;
        self.ask(
            StateOp::Get(TERM.into()),
            ElectionStep::Term(round),
            effects,
        );
    }

    fn on_term(&mut self, reply: StateReply, effects: &mut Effects) {
        let (record, version) = match reply {
            StateReply::Item(item) => match item.value.deserialized::<TermRecord>() {
                Ok(record) => (Some(record), item.version),
                Err(_) => {
                    log::error!("event=term_record_unreadable version={}", item.version);
                    return self.again(effects);
                }
            },
            StateReply::Missing => (None, 0),
            _ => return self.again(effects),
        };
        let last = record.as_ref().map_or(0, |r| r.term);
        let next = last.max(self.highest_term) + 1;
        if let Role::Candidate {
            term,
            term_version,
            last_term,
            ..
        } = &mut self.role
        {
            (*term, *term_version) = (next, version);
            *last_term = record;
            let round = self.round;
            let ttl_ms = LEADER_LEASE_MS;
            self.ask(
                StateOp::Grant { ttl_ms },
                ElectionStep::Grant(round),
                effects,
            );
        }
    }

    fn on_grant(&mut self, reply: StateReply, effects: &mut Effects) {
        let StateReply::Granted(id) = reply else {
            return self.again(effects);
        };
        let Role::Candidate {
            lead_version,
            term,
            term_version,
            last_term,
            lease,
            since,
        } = &mut self.role
        else {
            return;
        };
        if effects.now.mono > *since + ELECTION_STALE_MS {
            return self.again(effects);
        }
        *lease = Some(id);
        let record = LeaderRecord {
            node: self.label.clone(),
            term: *term,
            boot: self.boot,
            level: self.rules.level,
        };
        // The layout that was read: once it is the fenced one it stays so.
        let next_term = match last_term.take() {
            Some(last) => TermRecord {
                term: *term,
                ..last
            },
            None => TermRecord::new(*term),
        };
        let mut compares = vec![
            Compare::new(LEADER, *lead_version),
            Compare::new(TERM, *term_version),
        ];
        compares.extend(self.rules.conditions.iter().cloned());
        let txn = Txn {
            compares,
            writes: vec![
                Write::Put {
                    key: LEADER.into(),
                    value: wire::state::to_value(&record),
                    lease: Some(id),
                },
                Write::put(TERM, &next_term),
            ],
        };
        *since = effects.now.mono;
        let round = self.round;
        self.ask(StateOp::Txn(txn), ElectionStep::Run(round), effects);
    }

    fn on_run(&mut self, reply: StateReply, effects: &mut Effects) {
        let Role::Candidate {
            term,
            lease: Some(lease),
            ..
        } = self.role
        else {
            return;
        };
        match reply {
            StateReply::Committed { version } => self.win(term, lease, version, effects),
            StateReply::Unknown => {
                // The role is kept: the next poll may find that we were elected.
                self.again(effects);
            }
            StateReply::Conflict { failed } if self.was_outdated(&failed) => {
                // A controller has announced itself meanwhile, most often: the level is read again first.
                self.role = Role::Follower;
                self.rules.may_stand = false;
                effects.events.push(NodeEvent::LevelChanged);
                self.next_at = effects.now.mono + HANDOVER_POLL_MS;
                self.busy_until = 0;
            }
            _ => {
                self.role = Role::Follower;
                self.again(effects);
            }
        }
    }

    /// Whether what the election rested on besides leader and term has changed.
    fn was_outdated(&self, failed: &[String]) -> bool {
        let mut conditions = self.rules.conditions.iter();
        conditions.any(|guard| failed.contains(&guard.key))
    }

    fn win(&mut self, term: u64, lease: u64, version: u64, effects: &mut Effects) {
        // The lease may have been granted a while ago: it counts as fresh only once it is renewed.
        self.role = Role::Leader {
            term,
            lease,
            renewed: 0,
        };
        self.highest_term = term;
        self.known = None;
        self.vacant_since = None;
        self.handover = None;
        self.round += 1;
        self.busy_until = 0;
        self.next_at = effects.now.mono;
        effects.events.push(NodeEvent::Elected { term, version });
        self.tick(effects);
    }
}

#[cfg(test)]
mod tests;

//! Which version all nodes are known to run, and with that what may be written.
//!
//! Each process of this version leaves its generation under its node's label in the state service, once. A node whose
//! label is there never runs an older version again (the operators take no way back), and so once every label is
//! there, nobody is left who could not read what is new. That moment is made durable as a mark that only grows,
//! raised under the conditions that it rests on; it is told to the node as [`News::Upgraded`].
//!
//! Users' requests can prove the same: what only the new version is asked for, or a refusal for a size that only the
//! limits to come explain, comes after the upgrade is over. A node that is down for good then holds up nothing.

use crate::mail::{Mail, News, StateTag};
use crate::state::{Priority, StateOp, StateReply};
use constants::GENERATION_POLL_MS;
use std::collections::BTreeMap;
use wire::records::*;
use wire::state::{Guard, Item, Txn, Write};

pub(crate) struct Upgrade {
    label: String,
    /// Labels of all nodes, this one included.
    labels: Vec<String>,
    /// Why no old process can be left, if that was proven by something else than the records.
    proof: Option<&'static str>,
    raised: bool,
    busy: bool,
    next_at: u64,
}

impl Upgrade {
    pub fn new(label: &str, siblings: impl Iterator<Item = String>) -> Self {
        Upgrade {
            label: label.to_string(),
            labels: siblings.chain([label.to_string()]).collect(),
            proof: None,
            raised: false,
            busy: false,
            next_at: 0,
        }
    }

    pub fn next_wake(&self) -> u64 {
        match self.raised || self.busy {
            true => u64::MAX,
            false => self.next_at,
        }
    }

    /// Whether what old processes can't read may be written.
    pub fn is_over(&self) -> bool {
        self.raised || self.proof.is_some()
    }

    /// Something happened that happens only after the upgrade.
    pub fn proven(&mut self, why: &'static str, mail: &mut Mail) {
        if !self.is_over() {
            log::info!("event=upgrade_proven why={why:?}");
            self.proof = Some(why);
            self.next_at = mail.now.mono;
            mail.news.push(News::Upgraded);
        }
    }

    pub fn tick(&mut self, mail: &mut Mail) {
        if self.raised || self.busy || mail.now.mono < self.next_at {
            return;
        }
        self.ask(
            StateOp::List {
                prefix: GENERATIONS,
                from: String::new(),
            },
            mail,
        );
    }

    fn ask(&mut self, op: StateOp, mail: &mut Mail) {
        self.busy = true;
        mail.state
            .push((Priority::Leadership, op, StateTag::Upgrade));
    }

    pub fn on_reply(&mut self, reply: StateReply, mail: &mut Mail) {
        self.busy = false;
        self.next_at = mail.now.mono + GENERATION_POLL_MS;
        match reply {
            // An answer read again tells what came of an unknown outcome or a conflict.
            StateReply::Page(page) => self.on_page(page.items, mail),
            StateReply::Committed { .. } => self.next_at = mail.now.mono,
            _ => {}
        }
    }

    fn on_page(&mut self, items: Vec<Item>, mail: &mut Mail) {
        let mut known: BTreeMap<String, (u32, u64)> = BTreeMap::new();
        for item in items {
            match item.value.deserialized::<GenerationRecord>() {
                Ok(r) => _ = known.insert(item.key, (r.generation, item.version)),
                Err(why) => log::error!("event=record_unreadable key={} why={why}", item.key),
            }
        }
        let of = |key: &str| known.get(key).copied().unwrap_or_default();
        let (mark, mark_version) = of(MARK);
        if mark >= GENERATION {
            log::info!(
                "event=upgraded generation={mark} nodes={}",
                self.labels.len()
            );
            self.raised = true;
            if self.proof.is_none() {
                mail.news.push(News::Upgraded);
            }
            return;
        }
        let record = GenerationRecord {
            generation: GENERATION,
        };
        let own = node_key(&self.label);
        if of(&own).0 < GENERATION {
            log::info!(
                "event=generation_told node={} generation={GENERATION}",
                self.label
            );
            return self.ask(
                StateOp::Txn(Txn {
                    guards: vec![Guard::new(own.clone(), of(&own).1)],
                    writes: vec![Write::put(own, &record)],
                }),
                mail,
            );
        }
        let nodes: Vec<(String, (u32, u64))> = self
            .labels
            .iter()
            .map(|label| node_key(label))
            .map(|key| (key.clone(), of(&key)))
            .collect();
        let missing = nodes.iter().filter(|(_, (g, _))| *g < GENERATION).count();
        if missing > 0 && self.proof.is_none() {
            return;
        }
        log::info!(
            "event=mark_raised generation={GENERATION} missing={missing} proof={:?}",
            self.proof.unwrap_or("every node has told")
        );
        let mut guards = vec![Guard::new(MARK, mark_version)];
        if self.proof.is_none() {
            // Kept few: the conditions of the smallest transaction allowed are sixteen.
            let told = nodes.into_iter().take(14);
            guards.extend(told.map(|(key, (_, version))| Guard::new(key, version)));
        }
        let writes = vec![Write::put(MARK, &record)];
        self.ask(StateOp::Txn(Txn { guards, writes }), mail);
    }
}

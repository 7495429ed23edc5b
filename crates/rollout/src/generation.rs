//! The upgrade from the build without pipelines, where rollouts are not switched on.
//!
//! Each process leaves its generation under its controller's label in the state service, once. A controller whose
//! label is there never runs an older build again. So once every label is there, every controller can read the new
//! formats. That moment is made durable as a mark that only grows, raised under the conditions that it depends on.
//!
//! Users' requests can prove the same: a request that only the new build accepts, or a refusal for a size that only
//! the future limits explain, comes after the upgrade is over. A controller that is permanently down then blocks
//! nothing.

use crate::gates::Gates;
use crate::levels::{Level, LevelRange, GENERATION_1};
use crate::request::{Event, Reply, Request};
use crate::state_machine::Output;
use constants::GENERATION_POLL_MS;
use std::collections::BTreeMap;
use wire::records::{node_key, GenerationRecord, UnknownFields, GENERATIONS, MARK};
use wire::state::{Compare, Item, Txn, Write};

/// Labels that are conditions of raising the mark. The smallest transaction limit allows sixteen conditions.
const GUARDED_LABELS: usize = 14;

/// A generation as it was read.
#[derive(Default, Clone)]
struct Read {
    generation: Level,
    version: u64,
    unknown: UnknownFields,
}

/// The state machine of one controller.
pub struct GenerationMachine {
    label: String,
    /// Labels of all controllers, this one included.
    labels: Vec<String>,
    /// Why no old process can be left, if something other than the records proves it.
    evidence: Option<&'static str>,
    raised: bool,
    busy: bool,
    next_at: u64,
}

impl GenerationMachine {
    /// A process that has just started.
    pub fn new(label: &str, siblings: impl Iterator<Item = String>) -> Self {
        GenerationMachine {
            label: label.to_string(),
            labels: siblings.chain([label.to_string()]).collect(),
            evidence: None,
            raised: false,
            busy: false,
            next_at: 0,
        }
    }

    /// When [`GenerationMachine::tick`] is to be called next.
    pub fn next_wake(&self) -> u64 {
        match self.raised || self.busy {
            true => u64::MAX,
            false => self.next_at,
        }
    }

    /// Which features may be used.
    pub fn gates(&self) -> Gates {
        let mut gates = Gates::closed(LevelRange::BUILD);
        if self.raised || self.evidence.is_some() {
            gates.prove_generation_1();
        }
        gates
    }

    /// Something happened that happens only after the upgrade.
    pub fn proven(&mut self, why: &'static str, now: u64) {
        if !self.raised && self.evidence.is_none() {
            self.evidence = Some(why);
            self.next_at = now;
        }
    }

    /// Time passed.
    pub fn tick(&mut self, now: u64) -> Output {
        if self.raised || self.busy || now < self.next_at {
            return Output::default();
        }
        let from = String::new();
        let prefix = GENERATIONS;
        self.ask(Request::List { prefix, from }, Vec::new())
    }

    fn ask(&mut self, request: Request, events: Vec<Event>) -> Output {
        self.busy = true;
        Output {
            request: Some(request),
            events,
        }
    }

    /// The reply to the last request.
    pub fn on_reply(&mut self, reply: Reply, now: u64) -> Output {
        self.busy = false;
        self.next_at = now + GENERATION_POLL_MS;
        match reply {
            // After a conflict or an unknown outcome the next reading shows what is stored.
            Reply::Page(page) => return self.on_page(page.items),
            Reply::Committed => self.next_at = now,
            _ => {}
        }
        Output::default()
    }

    fn on_page(&mut self, items: Vec<Item>) -> Output {
        let mut events = Vec::new();
        let mut known: BTreeMap<String, Read> = BTreeMap::new();
        for item in items {
            match item.value.deserialized::<GenerationRecord>() {
                Ok(record) => {
                    let read = Read {
                        generation: record.generation,
                        version: item.version,
                        unknown: record.unknown,
                    };
                    known.insert(item.key, read);
                }
                Err(_) => events.push(Event::Unreadable { key: item.key }),
            }
        }
        let mut output = self.act(&known);
        events.append(&mut output.events);
        Output { events, ..output }
    }

    fn act(&mut self, known: &BTreeMap<String, Read>) -> Output {
        let read = |key: &str| known.get(key).cloned().unwrap_or_default();
        let mark = read(MARK);
        if mark.generation >= GENERATION_1 {
            self.raised = true;
            return Output {
                request: None,
                events: vec![Event::MarkSeen {
                    generation: mark.generation,
                }],
            };
        }
        let own_key = node_key(&self.label);
        let own = read(&own_key);
        if own.generation < GENERATION_1 {
            let request = raise(own_key, own, Vec::new());
            return self.ask(request, vec![Event::GenerationRecorded]);
        }
        let nodes: Vec<(String, Read)> = self
            .labels
            .iter()
            .map(|label| node_key(label))
            .map(|key| (key.clone(), read(&key)))
            .collect();
        let has_recorded = |(_, read): &&(String, Read)| read.generation >= GENERATION_1;
        let missing = nodes.len() - nodes.iter().filter(has_recorded).count();
        if missing > 0 && self.evidence.is_none() {
            return Output::default();
        }
        let compares = match self.evidence {
            Some(_) => Vec::new(),
            None => {
                let guarded = nodes.into_iter().take(GUARDED_LABELS);
                guarded
                    .map(|(key, read)| Compare::new(key, read.version))
                    .collect()
            }
        };
        let evidence = self.evidence.unwrap_or("every node has told");
        let request = raise(MARK.to_string(), mark, compares);
        self.ask(request, vec![Event::MarkRaised { missing, evidence }])
    }
}

/// Writes generation 1 under a key, as it was read and under further conditions.
fn raise(key: String, read: Read, mut further: Vec<Compare>) -> Request {
    let record = GenerationRecord {
        generation: GENERATION_1,
        unknown: read.unknown,
    };
    let mut compares = vec![Compare::new(key.clone(), read.version)];
    compares.append(&mut further);
    Request::Commit(Txn {
        compares,
        writes: vec![Write::put(key, &record)],
    })
}

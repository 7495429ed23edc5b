//! The upgrade from the build without pipelines, where staged upgrades are not switched on.
//!
//! Each process records its generation in the state service, once, under the label of its controller. A controller
//! whose label is recorded never runs an older build again. So once all labels are recorded, every controller can read
//! the new formats. This fact is made durable as the mark, a generation number that never decreases. The mark is raised
//! on condition that the records on which it rests have not changed.
//!
//! Requests of users can prove the same: a request that only the new build accepts, or a refusal for a size that only
//! the future limits explain, comes after the end of the upgrade. Then a controller that is permanently down does not
//! block the upgrade.

use crate::gates::FeatureGates;
use crate::levels::{Level, LevelRange, GENERATION_1};
use crate::request::{Event, Reply, Request};
use crate::state_machine::Output;
use constants::GENERATION_POLL_INTERVAL_MS;
use std::collections::BTreeMap;
use wire::records::{
    node_generation_key, GenerationRecord, UnknownFields, COMMON_GENERATION_KEY, GENERATIONS_PREFIX,
};
use wire::state::{Compare, Item, Txn, Write};

/// Number of labels whose records are conditions of raising the mark. The smallest transaction limit allows sixteen
/// conditions.
const CONDITION_LABELS_MAX: usize = 14;

/// A generation record as it was read; generation 0 and version 0 if there is none.
#[derive(Default, Clone)]
struct StoredGeneration {
    generation: Level,
    version: u64,
    unknown: UnknownFields,
}

/// The generation state machine of one controller.
pub struct GenerationStateMachine {
    label: String,
    /// Labels of all controllers, this one included.
    labels: Vec<String>,
    /// What proves that no old process can be left, if something other than the records does.
    evidence: Option<&'static str>,
    is_mark_raised: bool,
    awaits_reply: bool,
    next_read_at: u64,
}

impl GenerationStateMachine {
    /// The state of a process that has just started.
    pub fn new(label: &str, siblings: impl Iterator<Item = String>) -> Self {
        GenerationStateMachine {
            label: label.to_string(),
            labels: siblings.chain([label.to_string()]).collect(),
            evidence: None,
            is_mark_raised: false,
            awaits_reply: false,
            next_read_at: 0,
        }
    }

    /// When [`GenerationStateMachine::tick`] is to be called next.
    pub fn next_wake(&self) -> u64 {
        match self.is_mark_raised || self.awaits_reply {
            true => u64::MAX,
            false => self.next_read_at,
        }
    }

    /// Which features may be used.
    pub fn gates(&self) -> FeatureGates {
        let mut gates = FeatureGates::closed(LevelRange::SUPPORTED);
        if self.is_mark_raised || self.evidence.is_some() {
            gates.set_generation_1_finalized();
        }
        gates
    }

    /// Notes an observation that is possible only after the upgrade.
    pub fn on_upgrade_evidence(&mut self, evidence: &'static str, now: u64) {
        if !self.is_mark_raised && self.evidence.is_none() {
            self.evidence = Some(evidence);
            self.next_read_at = now;
        }
    }

    /// Starts reading the generations if that is due.
    pub fn tick(&mut self, now: u64) -> Output {
        if self.is_mark_raised || self.awaits_reply || now < self.next_read_at {
            return Output::default();
        }
        let start_after = String::new();
        let prefix = GENERATIONS_PREFIX;
        let list = Request::List {
            prefix,
            start_after,
        };
        self.send(list, Vec::new())
    }

    fn send(&mut self, request: Request, events: Vec<Event>) -> Output {
        self.awaits_reply = true;
        Output {
            request: Some(request),
            events,
        }
    }

    /// Handles the reply to the last request.
    pub fn on_reply(&mut self, reply: Reply, now: u64) -> Output {
        self.awaits_reply = false;
        self.next_read_at = now + GENERATION_POLL_INTERVAL_MS;
        match reply {
            // After a conflict or an unknown outcome, the next read shows what is stored.
            Reply::Page(page) => return self.on_page(page.items),
            Reply::Committed => self.next_read_at = now,
            _ => {}
        }
        Output::default()
    }

    fn on_page(&mut self, items: Vec<Item>) -> Output {
        let mut events = Vec::new();
        let mut by_key: BTreeMap<String, StoredGeneration> = BTreeMap::new();
        for item in items {
            match item.value.deserialized::<GenerationRecord>() {
                Ok(record) => {
                    let stored = StoredGeneration {
                        generation: record.generation,
                        version: item.version,
                        unknown: record.unknown,
                    };
                    by_key.insert(item.key, stored);
                }
                Err(_) => events.push(Event::UnreadableRecord { key: item.key }),
            }
        }
        let mut output = self.next_write(&by_key);
        events.append(&mut output.events);
        Output { events, ..output }
    }

    /// Writes the record that is due, if any: the generation of this controller, then the mark.
    fn next_write(&mut self, by_key: &BTreeMap<String, StoredGeneration>) -> Output {
        let stored = |key: &str| by_key.get(key).cloned().unwrap_or_default();
        let mark = stored(COMMON_GENERATION_KEY);
        if mark.generation >= GENERATION_1 {
            self.is_mark_raised = true;
            return Output {
                request: None,
                events: vec![Event::MarkObserved {
                    generation: mark.generation,
                }],
            };
        }
        let own_key = node_generation_key(&self.label);
        let own = stored(&own_key);
        if own.generation < GENERATION_1 {
            let request = write_generation_1(own_key, own, Vec::new());
            return self.send(request, vec![Event::GenerationRecorded]);
        }
        let nodes: Vec<(String, StoredGeneration)> = self
            .labels
            .iter()
            .map(|label| node_generation_key(label))
            .map(|key| (key.clone(), stored(&key)))
            .collect();
        let has_recorded =
            |(_, node): &&(String, StoredGeneration)| node.generation >= GENERATION_1;
        let missing = nodes.len() - nodes.iter().filter(has_recorded).count();
        if missing > 0 && self.evidence.is_none() {
            return Output::default();
        }
        let conditions = match self.evidence {
            Some(_) => Vec::new(),
            None => {
                let checked = nodes.into_iter().take(CONDITION_LABELS_MAX);
                checked
                    .map(|(key, node)| Compare::new(key, node.version))
                    .collect()
            }
        };
        let evidence = self.evidence.unwrap_or("every node has told");
        let request = write_generation_1(COMMON_GENERATION_KEY.to_string(), mark, conditions);
        self.send(request, vec![Event::RaisingMark { missing, evidence }])
    }
}

/// A request that sets a record to generation 1, provided that the record is unchanged since it was read and that
/// further conditions hold.
fn write_generation_1(
    key: String,
    stored: StoredGeneration,
    mut further_conditions: Vec<Compare>,
) -> Request {
    let record = GenerationRecord {
        generation: GENERATION_1,
        unknown: stored.unknown,
    };
    let mut compares = vec![Compare::new(key.clone(), stored.version)];
    compares.append(&mut further_conditions);
    Request::Commit(Txn {
        compares,
        writes: vec![Write::put(key, &record)],
    })
}

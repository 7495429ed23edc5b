//! The state service: a key-value store with transactions, leases and watches, and its limits.

use crate::cbor::{decode, encode, get, get_int, get_list, get_text, int, json, map, text, Value};
use crate::http::{listen, serve, Reply};
use crate::{lock, sleep, Bucket};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Limits of the service, as the settings name them.
#[derive(Clone, Copy)]
pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    /// Time that an answer takes, in seconds.
    pub latency_s: f64,
}

struct Entry {
    value: Value,
    stamp: u64,
    tether: Option<u64>,
}

struct Lease {
    life: Duration,
    ends: Instant,
}

struct Change {
    epoch: u64,
    key: String,
    /// `None` if the key was removed.
    value: Option<Value>,
}

struct Store {
    entries: BTreeMap<String, Entry>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    log: Vec<Change>,
    epoch: u64,
    requests: Bucket,
    writes: Bucket,
}

/// What is wrong with the service at the moment.
#[derive(Default, Clone)]
pub struct Faults {
    /// Nobody is served.
    pub outage: bool,
    /// Controllers that alone are refused.
    pub refused: Vec<usize>,
    /// Share of transactions that get no answer and are carried out 2 to 12 s later.
    pub late: f64,
    /// Share of transactions that are carried out at once, and whose answer is lost.
    pub lost: f64,
    /// Further time that an answer takes, in seconds.
    pub slow_s: f64,
}

/// A running state service.
pub struct State {
    limits: Limits,
    faults: Mutex<Faults>,
    draws: Mutex<u64>,
    store: Mutex<Store>,
    changed: Condvar,
}

const LOG_LENGTH: usize = 10_000;
const LIST_ITEMS: usize = 1_000;
const LIST_BYTES: usize = 512 * 1024;
const TXN_BYTES: usize = 64 * 1024;

impl State {
    /// Starts the service.
    pub fn start(limits: Limits) -> Arc<Self> {
        let state = Arc::new(State {
            faults: Mutex::default(),
            draws: Mutex::new(0x9e37_79b9_7f4a_7c15),
            limits,
            store: Mutex::new(Store {
                entries: BTreeMap::new(),
                leases: BTreeMap::new(),
                last_lease: 0,
                log: Vec::new(),
                epoch: 1,
                requests: Bucket::new(limits.rps, 1.0),
                writes: Bucket::new(limits.write_rps, 1.0),
            }),
            changed: Condvar::new(),
        });
        let expiring = Arc::clone(&state);
        std::thread::spawn(move || loop {
            expiring.expire_leases();
            sleep(0.02);
        });
        state
    }

    /// Opens an address of the service for one controller.
    pub fn address_for(self: &Arc<Self>, node: usize) -> SocketAddr {
        let (listener, addr) = listen();
        let state = Arc::clone(self);
        serve(
            listener,
            Arc::new(move |method: &str, target: &str, body: &[u8]| {
                state.handle(node, method, target, body)
            }),
        );
        addr
    }

    /// Changes what is wrong with the service. After an outage every lease has its full time again.
    pub fn set_faults(&self, change: impl Fn(&mut Faults)) {
        let mut faults = lock(&self.faults);
        let was_out = faults.outage;
        change(&mut faults);
        let is_over = was_out && !faults.outage;
        drop(faults);
        if is_over {
            for lease in lock(&self.store).leases.values_mut() {
                lease.ends = Instant::now() + lease.life;
            }
        }
    }

    /// A number from 0 to 1.
    fn draw(&self) -> f64 {
        let mut draws = lock(&self.draws);
        *draws ^= *draws << 13;
        *draws ^= *draws >> 7;
        *draws ^= *draws << 17;
        (*draws >> 11) as f64 / (1u64 << 53) as f64
    }

    fn is_refused(&self, node: usize) -> bool {
        let faults = lock(&self.faults);
        faults.outage || faults.refused.contains(&node)
    }

    /// The values under a prefix, in JSON, by key.
    pub fn under(&self, prefix: &str) -> Vec<(String, String)> {
        let store = lock(&self.store);
        let entries = store
            .entries
            .iter()
            .filter(|(key, _)| key.starts_with(prefix));
        entries
            .map(|(key, entry)| (key.clone(), json(&entry.value)))
            .collect()
    }

    fn expire_leases(&self) {
        let faults = lock(&self.faults).clone();
        let mut store = lock(&self.store);
        let now = Instant::now();
        if faults.outage {
            return;
        }
        let ended: Vec<u64> = store
            .leases
            .iter()
            .filter(|(_, l)| l.ends <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            store.end_lease(id);
            self.changed.notify_all();
        }
    }

    fn handle(self: &Arc<Self>, node: usize, method: &str, target: &str, body: &[u8]) -> Reply {
        let faults = lock(&self.faults).clone();
        sleep(self.limits.latency_s + faults.slow_s * self.draw());
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        if self.is_refused(node) {
            return Reply::Answer(503, Vec::new());
        }
        if !lock(&self.store).requests.take(1.0) {
            return Reply::Answer(429, Vec::new());
        }
        let value = decode(body).unwrap_or(Value::Null);
        if path == "/multi" && faults.late + faults.lost > 0.0 {
            let draw = self.draw();
            if draw < faults.late {
                let (state, delay_s) = (Arc::clone(self), 2.0 + 10.0 * self.draw());
                std::thread::spawn(move || {
                    sleep(delay_s);
                    state.transact(&value);
                });
                return Reply::Silence;
            }
            if draw < faults.late + faults.lost {
                self.transact(&value);
                return Reply::Silence;
            }
        }
        let (status, answer) = match (method, path) {
            ("POST", "/multi") => self.transact(&value),
            ("POST", "/leases") => self.grant(&value),
            ("GET", "/kv") => self.list(query),
            ("GET", "/changes") => self.watch(node, query),
            ("GET", _) if path.starts_with("/kv/") => self.read(&path["/kv/".len()..]),
            (_, _) if path.starts_with("/leases/") => {
                self.change_lease(method, &path["/leases/".len()..])
            }
            _ => (400, Value::Null),
        };
        Reply::Answer(status, encode(&answer))
    }

    fn read(&self, key: &str) -> (u16, Value) {
        let store = lock(&self.store);
        match store.entries.get(key) {
            Some(entry) => (200, item(key, entry)),
            None => (404, map(vec![("epoch", int(store.epoch))])),
        }
    }

    fn list(&self, query: &str) -> (u16, Value) {
        let Some(prefix) = parameter(query, "under") else {
            return (400, Value::Null);
        };
        let from = parameter(query, "from").unwrap_or("");
        let limit = parameter(query, "limit")
            .and_then(|l| l.parse().ok())
            .unwrap_or(LIST_ITEMS);
        let store = lock(&self.store);
        let mut found = store
            .entries
            .iter()
            .filter(|(k, _)| k.starts_with(prefix) && k.as_str() > from);
        let (mut items, mut bytes, mut has_next) = (Vec::new(), 0, false);
        for (key, entry) in found.by_ref() {
            let value = item(key, entry);
            bytes += json(&value).len();
            if items.len() >= limit.min(LIST_ITEMS) || (bytes > LIST_BYTES && !items.is_empty()) {
                has_next = true;
                break;
            }
            items.push(value);
        }
        let page = map(vec![
            ("items", Value::Array(items)),
            ("has_next", Value::Bool(has_next)),
            ("epoch", int(store.epoch)),
        ]);
        (200, page)
    }

    fn transact(&self, txn: &Value) -> (u16, Value) {
        let (guards, writes) = (get_list(txn, "guards"), get_list(txn, "writes"));
        let value_bytes = (self.limits.value_kb * 1024.0) as usize;
        let too_large =
            |write: &Value| get(write, "v").is_some_and(|v| json(v).len() > value_bytes);
        if writes.len() > self.limits.txn_ops
            || guards.len() > 4 * self.limits.txn_ops
            || json(txn).len() > TXN_BYTES
            || writes.iter().any(too_large)
        {
            return (400, map(vec![("error", text("too large"))]));
        }
        let mut store = lock(&self.store);
        if !writes.is_empty() && !store.writes.take(writes.len() as f64) {
            return (429, Value::Null);
        }
        let tethers = writes.iter().filter_map(|write| get_int(write, "tether"));
        if tethers.clone().any(|id| !store.leases.contains_key(&id)) {
            return (400, map(vec![("error", text("no such lease"))]));
        }
        let mut failed = Vec::new();
        for guard in guards {
            let (Some(key), Some(stamp)) = (get_text(guard, "path"), get_int(guard, "stamp"))
            else {
                return (400, Value::Null);
            };
            if store.entries.get(key).map_or(0, |entry| entry.stamp) != stamp {
                failed.push(text(key));
            }
        }
        if !failed.is_empty() {
            let epoch = int(store.epoch);
            return (
                409,
                map(vec![("failed", Value::Array(failed)), ("epoch", epoch)]),
            );
        }
        if !writes.is_empty() {
            store.epoch += 1;
        }
        for write in writes {
            if let Some(key) = get_text(write, "drop") {
                store.remove(key);
            } else if let (Some(key), Some(value)) = (get_text(write, "write"), get(write, "v")) {
                store.put(key, value.clone(), get_int(write, "tether"));
            }
        }
        self.changed.notify_all();
        (200, map(vec![("epoch", int(store.epoch))]))
    }

    fn grant(&self, request: &Value) -> (u16, Value) {
        let Some(life) = get_int(request, "life_ms").filter(|life| (100..=600_000).contains(life))
        else {
            return (400, Value::Null);
        };
        let mut store = lock(&self.store);
        store.last_lease += 1;
        let (id, life) = (store.last_lease, Duration::from_millis(life));
        let ends = Instant::now() + life;
        store.leases.insert(id, Lease { life, ends });
        (200, map(vec![("tether", int(id))]))
    }

    fn change_lease(&self, method: &str, rest: &str) -> (u16, Value) {
        let (id, action) = rest.split_once('/').unwrap_or((rest, ""));
        let id: u64 = id.parse().unwrap_or(0);
        let mut store = lock(&self.store);
        let Some(lease) = store.leases.get_mut(&id) else {
            return (404, Value::Null);
        };
        match (method, action) {
            ("POST", "renew") => {
                lease.ends = Instant::now() + lease.life;
                (200, map(vec![("tether", int(id))]))
            }
            ("DELETE", "") => {
                store.end_lease(id);
                self.changed.notify_all();
                (200, Value::Map(Vec::new()))
            }
            _ => (400, Value::Null),
        }
    }

    fn watch(&self, node: usize, query: &str) -> (u16, Value) {
        let from = parameter(query, "from").and_then(|from| from.parse::<u64>().ok());
        let (Some(prefix), Some(from)) = (parameter(query, "under"), from) else {
            return (400, Value::Null);
        };
        let hold_ms = parameter(query, "hold_ms")
            .and_then(|hold| hold.parse().ok())
            .unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(u64::min(hold_ms, 60_000));
        let mut store = lock(&self.store);
        loop {
            // During an outage open watches stay open.
            if self.is_refused(node) {
                drop(store);
                sleep(0.02);
                store = lock(&self.store);
                continue;
            }
            let oldest = store.log.first().map_or(0, |change| change.epoch);
            if store.log.len() >= LOG_LENGTH && from + 1 < oldest {
                return (410, Value::Null);
            }
            let is_new = |change: &&Change| change.epoch > from && change.key.starts_with(prefix);
            let log: Vec<Value> = store.log.iter().filter(is_new).map(change_value).collect();
            if !log.is_empty() || Instant::now() >= deadline {
                return (
                    200,
                    map(vec![
                        ("epoch", int(store.epoch)),
                        ("log", Value::Array(log)),
                    ]),
                );
            }
            let left = deadline
                .saturating_duration_since(Instant::now())
                .min(Duration::from_millis(100));
            let waited = self.changed.wait_timeout(store, left);
            store = match waited {
                Ok((store, _)) => store,
                Err(poisoned) => poisoned.into_inner().0,
            };
        }
    }
}

impl Store {
    fn put(&mut self, key: &str, value: Value, tether: Option<u64>) {
        let stamp = self.epoch;
        let entry = Entry {
            value: value.clone(),
            stamp,
            tether,
        };
        self.entries.insert(key.to_string(), entry);
        self.note(key, Some(value));
    }

    fn remove(&mut self, key: &str) {
        if self.entries.remove(key).is_some() {
            self.note(key, None);
        }
    }

    fn note(&mut self, key: &str, value: Option<Value>) {
        let (epoch, key) = (self.epoch, key.to_string());
        self.log.push(Change { epoch, key, value });
        if self.log.len() > LOG_LENGTH {
            self.log.remove(0);
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let tethered = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.tether == Some(id));
        let keys: Vec<String> = tethered.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.epoch += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }
}

fn item(key: &str, entry: &Entry) -> Value {
    let mut pairs = vec![
        ("path", text(key)),
        ("v", entry.value.clone()),
        ("stamp", int(entry.stamp)),
    ];
    pairs.extend(entry.tether.map(|id| ("tether", int(id))));
    map(pairs)
}

fn change_value(change: &Change) -> Value {
    let stamp = ("stamp", int(change.epoch));
    match &change.value {
        Some(value) => map(vec![
            ("write", text(&change.key)),
            ("v", value.clone()),
            stamp,
        ]),
        None => map(vec![("drop", text(&change.key)), stamp]),
    }
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

//! The state service, as its protocol page describes it.

use std::collections::BTreeMap;
use wire::state::*;

struct Entry {
    value: ciborium::Value,
    version: u64,
    lease: Option<u64>,
}

/// An open watch.
pub struct Watch {
    /// Who waits: caller's token.
    pub waiter: (usize, u64),
    prefix: String,
    from: u64,
    until: u64,
}

/// What it takes at most.
#[derive(Debug, Clone, Copy)]
pub struct FakeLimits {
    /// Bytes of a value, as JSON.
    pub value_bytes: usize,
    /// Changes of a transaction, and a quarter of its conditions.
    pub txn_ops: usize,
    /// Requests a second.
    pub rps: f64,
    /// Changes a second.
    pub write_rps: f64,
}

/// What may still be taken of a rate at once, up to one second's worth of it.
#[derive(Default)]
struct Allowance {
    level: f64,
    at: u64,
}

impl Allowance {
    /// Takes `wanted` if that much is left; nothing if not.
    fn take(&mut self, now: u64, rate: f64, wanted: f64) -> bool {
        let passed = now.saturating_sub(self.at) as f64 / 1000.0;
        self.level = (self.level + passed * rate).min(rate);
        self.at = now;
        let granted = self.level + 1e-9 >= wanted;
        self.level -= if granted { wanted } else { 0.0 };
        granted
    }
}

/// How many requests of each kind have arrived, those refused for their rate included.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Readings of one key.
    pub reads: u64,
    /// Readings of many keys.
    pub lists: u64,
    /// Transactions that only compare.
    pub comparisons: u64,
    /// Transactions that write.
    pub commits: u64,
    /// Leases granted, renewed or ended.
    pub leases: u64,
    /// Watches.
    pub watches: u64,
}

impl RequestCounts {
    /// What was counted since an earlier count.
    pub fn since(&self, earlier: &RequestCounts) -> RequestCounts {
        RequestCounts {
            reads: self.reads - earlier.reads,
            lists: self.lists - earlier.lists,
            comparisons: self.comparisons - earlier.comparisons,
            commits: self.commits - earlier.commits,
            leases: self.leases - earlier.leases,
            watches: self.watches - earlier.watches,
        }
    }

    /// Requests that answers to users can have cost: single readings and comparisons. The leader's own single readings
    /// are among them.
    pub fn questions(&self) -> u64 {
        self.reads + self.comparisons
    }

    fn count(&mut self, method: &str, target: &str, body: &[u8]) {
        let path = target.split('?').next().unwrap_or_default();
        let compares = || wire::decode::<Txn>(body).is_ok_and(|txn| txn.writes.is_empty());
        let counter = match path {
            "/multi" if method == "POST" && compares() => &mut self.comparisons,
            "/multi" if method == "POST" => &mut self.commits,
            "/changes" => &mut self.watches,
            "/kv" => &mut self.lists,
            _ if path.starts_with("/leases") => &mut self.leases,
            _ => &mut self.reads,
        };
        *counter += 1;
    }
}

/// Keys, leases and changes.
#[derive(Default)]
pub struct FakeState {
    /// Limits, if any; may be lowered at any time.
    pub limits: Option<FakeLimits>,
    request_allowance: Allowance,
    write_allowance: Allowance,
    /// Transactions refused as too large, and for their rate.
    pub too_large: u64,
    /// See above.
    pub too_many: u64,
    /// Requests refused for their rate.
    pub too_frequent: u64,
    /// Requests by kind.
    pub counts: RequestCounts,
    entries: BTreeMap<String, Entry>,
    leases: BTreeMap<u64, (u64, u64)>,
    log: Vec<Change>,
    revision: u64,
    next_lease: u64,
    /// Open watches.
    pub watches: Vec<Watch>,
    /// Puts and deletes so far.
    pub writes: u64,
    /// Bytes of the values put so far, as JSON.
    pub bytes_written: usize,
    /// Requests so far.
    pub requests: u64,
}

fn param<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let query = target.split_once('?')?.1;
    query
        .split('&')
        .find_map(|p| p.strip_prefix(name)?.strip_prefix('='))
}

impl FakeState {
    /// Reads a record, for tests to look at.
    pub fn read<T: serde::de::DeserializeOwned>(&self, key: &str) -> Option<T> {
        self.entries.get(key)?.value.deserialized().ok()
    }

    /// Writes a record past all conditions, as another process would that this world does not run.
    pub fn write<T: serde::Serialize>(&mut self, key: &str, record: &T, lease: Option<u64>) {
        let value = to_value(record);
        let key = key.to_string();
        let writes = vec![Write::Put { key, value, lease }];
        self.commit(Txn {
            compares: Vec::new(),
            writes,
        });
    }

    /// Version of a key, 0 if there is none.
    pub fn version(&self, key: &str) -> u64 {
        self.entries.get(key).map_or(0, |e| e.version)
    }

    /// Removes a key past all conditions.
    pub fn erase(&mut self, key: &str) {
        self.commit(Txn {
            compares: Vec::new(),
            writes: vec![Write::delete(key)],
        });
    }

    /// Bytes of the largest value under a prefix.
    pub fn largest(&self, prefix: &str) -> usize {
        let under = self.entries.iter().filter(|(k, _)| k.starts_with(prefix));
        under
            .map(|(_, e)| wire::json_bytes(&e.value))
            .max()
            .unwrap_or(0)
    }

    /// Keys under a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let under = self.entries.keys().filter(|k| k.starts_with(prefix));
        under.cloned().collect()
    }

    fn remove(&mut self, key: &str) {
        if self.entries.remove(key).is_some() {
            self.log.push(Change {
                put: None,
                value: None,
                delete: Some(key.to_string()),
                version: self.revision,
            });
        }
    }

    /// Ends leases whose time is over.
    pub fn expire(&mut self, now: u64) {
        let dead: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (until, _))| now >= *until)
            .map(|(id, _)| *id)
            .collect();
        for id in dead {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, e)| e.lease == Some(id))
            .map(|(k, _)| k.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }

    /// After an outage every lease has its full time again.
    pub fn refresh_leases(&mut self, now: u64) {
        for (until, ttl) in self.leases.values_mut() {
            *until = now + *ttl;
        }
    }

    /// Executes a request; `None` for a watch that has to wait.
    pub fn serve(
        &mut self,
        now: u64,
        waiter: (usize, u64),
        method: &str,
        target: &str,
        body: &[u8],
    ) -> Option<(u16, Vec<u8>)> {
        self.requests += 1;
        self.counts.count(method, target, body);
        if let Some(limits) = self.limits {
            if !self.request_allowance.take(now, limits.rps, 1.0) {
                self.too_frequent += 1;
                return Some((429, vec![]));
            }
        }
        let path = target.split('?').next().unwrap_or_default();
        if method == "POST" && path == "/multi" {
            return Some(match wire::decode(body) {
                Ok(txn) => match self.refusal(now, &txn) {
                    Some(status) => (status, vec![]),
                    None => self.commit(txn),
                },
                Err(_) => (400, vec![]),
            });
        }
        if let Some(rest) = path.strip_prefix("/leases") {
            return Some(self.lease(now, method, rest, body));
        }
        if path == "/changes" {
            let from = param(target, "from").and_then(|f| f.parse().ok())?;
            let hold: u64 = param(target, "hold_ms").and_then(|h| h.parse().ok())?;
            self.watches.push(Watch {
                waiter,
                prefix: param(target, "under")?.to_string(),
                from,
                until: now + hold,
            });
            return None;
        }
        if let Some(prefix) = param(target, "under") {
            let from = param(target, "from").unwrap_or_default();
            let limit = param(target, "limit").and_then(|l| l.parse().ok())?;
            let mut items: Vec<Item> = self
                .entries
                .iter()
                .filter(|(k, _)| k.starts_with(prefix) && k.as_str() > from)
                .take(limit + 1)
                .map(|(k, e)| item(k, e))
                .collect();
            let more = items.len() > limit;
            items.truncate(limit);
            let revision = self.revision;
            let page = Page {
                items,
                more,
                revision,
            };
            return Some((200, wire::encode(&page)));
        }
        let key = path.strip_prefix("/kv/").unwrap_or_default();
        Some(match self.entries.get(key) {
            Some(e) => (200, wire::encode(&item(key, e))),
            None => (404, vec![]),
        })
    }

    fn lease(&mut self, now: u64, method: &str, rest: &str, body: &[u8]) -> (u16, Vec<u8>) {
        if rest.is_empty() {
            let Ok(ask) = wire::decode::<LeaseAsk>(body) else {
                return (400, vec![]);
            };
            self.next_lease += 1;
            let ttl = ask.ttl_ms;
            self.leases.insert(self.next_lease, (now + ttl, ttl));
            let lease = self.next_lease;
            return (200, wire::encode(&Lease { lease }));
        }
        let id = rest.trim_start_matches('/').split('/').next();
        let Some(id) = id.and_then(|i| i.parse::<u64>().ok()) else {
            return (400, vec![]);
        };
        if method == "DELETE" {
            self.end_lease(id);
            return (200, vec![]);
        }
        match self.leases.get_mut(&id) {
            Some((until, ttl)) => {
                *until = now + *ttl;
                (200, vec![])
            }
            None => (404, vec![]),
        }
    }

    /// Status of a transaction that goes beyond the limits.
    fn refusal(&mut self, now: u64, txn: &Txn) -> Option<u16> {
        let limits = self.limits?;
        let large = |w: &Write| match w {
            Write::Put { value, .. } => wire::json_bytes(value) > limits.value_bytes,
            Write::Delete { .. } => false,
        };
        let many = txn.writes.len() > limits.txn_ops || txn.compares.len() > 4 * limits.txn_ops;
        if many || txn.writes.iter().any(large) {
            self.too_large += 1;
            return Some(400);
        }
        let wanted = txn.writes.len() as f64;
        let granted = self.write_allowance.take(now, limits.write_rps, wanted);
        self.too_many += u64::from(!granted);
        (!granted).then_some(429)
    }

    fn commit(&mut self, txn: Txn) -> (u16, Vec<u8>) {
        let version = |key: &str| self.entries.get(key).map_or(0, |e| e.version);
        let failed: Vec<String> = txn
            .compares
            .iter()
            .filter(|g| version(&g.key) != g.version)
            .map(|g| g.key.clone())
            .collect();
        if !failed.is_empty() {
            let revision = self.revision;
            return (409, wire::encode(&TxnAnswer { failed, revision }));
        }
        let dead = txn.writes.iter().any(|w| match w {
            Write::Put { lease, .. } => lease.is_some_and(|l| !self.leases.contains_key(&l)),
            Write::Delete { .. } => false,
        });
        if dead {
            return (400, b"no such lease".to_vec());
        }
        self.revision += u64::from(!txn.writes.is_empty());
        self.writes += txn.writes.len() as u64;
        for write in txn.writes {
            match write {
                Write::Put { key, value, lease } => {
                    self.bytes_written += wire::json_bytes(&value);
                    self.log.push(Change {
                        put: Some(key.clone()),
                        value: Some(value.clone()),
                        delete: None,
                        version: self.revision,
                    });
                    let version = self.revision;
                    self.entries.insert(
                        key,
                        Entry {
                            value,
                            version,
                            lease,
                        },
                    );
                }
                Write::Delete { key } => self.remove(&key),
            }
        }
        let answer = TxnAnswer {
            failed: vec![],
            revision: self.revision,
        };
        (200, wire::encode(&answer))
    }

    /// Watches that have something to tell or whose time is over, except for those that are kept silent.
    pub fn ripe_watches(
        &mut self,
        now: u64,
        silent: impl Fn(usize) -> bool,
    ) -> Vec<((usize, u64), Vec<u8>)> {
        let mut ripe = Vec::new();
        let (log, revision) = (&self.log, self.revision);
        self.watches.retain(|w| {
            if silent(w.waiter.0) {
                return true;
            }
            let hit = |c: &&Change| {
                let key = c.put.as_ref().or(c.delete.as_ref());
                c.version > w.from && key.is_some_and(|k| k.starts_with(&w.prefix))
            };
            let events: Vec<Change> = log.iter().filter(hit).cloned().collect();
            if events.is_empty() && now < w.until {
                return true;
            }
            let changes = Changes { revision, events };
            ripe.push((w.waiter, wire::encode(&changes)));
            false
        });
        ripe
    }
}

fn item(key: &str, e: &Entry) -> Item {
    Item {
        key: key.to_string(),
        value: e.value.clone(),
        version: e.version,
        lease: e.lease,
    }
}

//! A simulated state service that follows the protocol of the state service.

mod leases;
mod limits;
mod transactions;
mod watches;

pub use limits::{RequestCounts, StateServiceLimits};
pub use watches::{Caller, Watch};

use leases::ActiveLease;
use limits::TokenBucket;
use std::collections::BTreeMap;
use wire::state::{to_value, Change, Item, Page, Txn, Write};

/// Status and body of a response.
type Response = (u16, Vec<u8>);

struct Entry {
    value: ciborium::Value,
    version: u64,
    lease: Option<u64>,
}

/// The state service: its records, leases, watches and changes.
#[derive(Default)]
pub struct FakeStateService {
    /// Limits, if any. They may be lowered at any time.
    pub limits: Option<StateServiceLimits>,
    request_tokens: TokenBucket,
    write_tokens: TokenBucket,
    /// Number of transactions refused for their size.
    pub oversized_txns: u64,
    /// Number of transactions refused for exceeding the write rate.
    pub throttled_txns: u64,
    /// Number of requests refused for exceeding the request rate.
    pub throttled_requests: u64,
    /// Number of requests of each kind.
    pub request_counts: RequestCounts,
    entries: BTreeMap<String, Entry>,
    leases: BTreeMap<u64, ActiveLease>,
    /// All changes so far, for watches.
    log: Vec<Change>,
    revision: u64,
    next_lease: u64,
    /// Open watches.
    pub watches: Vec<Watch>,
    /// Number of puts and deletes so far.
    pub write_count: u64,
    /// Total size of the values put so far, in bytes of JSON.
    pub written_bytes: usize,
    /// Number of requests so far.
    pub request_count: u64,
}

impl FakeStateService {
    /// Reads a record directly. Returns `None` if the key does not exist or its value is not a `T`.
    pub fn read<T: serde::de::DeserializeOwned>(&self, key: &str) -> Option<T> {
        self.entries.get(key)?.value.deserialized().ok()
    }

    /// Writes a record without conditions, as a process outside the simulated cluster would.
    pub fn write<T: serde::Serialize>(&mut self, key: &str, record: &T, lease: Option<u64>) {
        let value = to_value(record);
        let key = key.to_string();
        let writes = vec![Write::Put { key, value, lease }];
        self.commit(Txn {
            compares: Vec::new(),
            writes,
        });
    }

    /// Version of a key, 0 if the key does not exist.
    pub fn version(&self, key: &str) -> u64 {
        self.entries.get(key).map_or(0, |e| e.version)
    }

    /// Deletes a key without conditions.
    pub fn delete(&mut self, key: &str) {
        self.commit(Txn {
            compares: Vec::new(),
            writes: vec![Write::delete(key)],
        });
    }

    /// Size of the largest value under a prefix, in bytes of JSON.
    pub fn largest_value_bytes(&self, prefix: &str) -> usize {
        let under = self.entries.iter().filter(|(k, _)| k.starts_with(prefix));
        under
            .map(|(_, e)| wire::json_size(&e.value))
            .max()
            .unwrap_or(0)
    }

    /// All keys under a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let under = self.entries.keys().filter(|k| k.starts_with(prefix));
        under.cloned().collect()
    }

    /// Executes a request. Returns `None` for a watch, which [`FakeStateService::take_due_watches`] answers later.
    pub fn serve(
        &mut self,
        now: u64,
        caller: Caller,
        method: &str,
        target: &str,
        body: &[u8],
    ) -> Option<Response> {
        self.request_count += 1;
        self.request_counts.count(method, target, body);
        if let Some(limits) = self.limits {
            if !self.request_tokens.take(now, limits.rps, 1.0) {
                self.throttled_requests += 1;
                return Some((429, vec![]));
            }
        }
        let path = target.split('?').next().unwrap_or_default();
        if method == "POST" && path == "/multi" {
            return Some(self.serve_txn(now, body));
        }
        if let Some(rest) = path.strip_prefix("/leases") {
            return Some(self.serve_lease(now, method, rest, body));
        }
        if path == "/changes" {
            self.open_watch(now, caller, target);
            return None;
        }
        if let Some(prefix) = query_param(target, "under") {
            return self.list(prefix, target);
        }
        let key = path.strip_prefix("/kv/").unwrap_or_default();
        Some(match self.entries.get(key) {
            Some(entry) => (200, wire::encode(&item(key, entry))),
            None => (404, vec![]),
        })
    }

    /// Opens a watch. Returns `None` if a parameter is missing.
    fn open_watch(&mut self, now: u64, caller: Caller, target: &str) -> Option<()> {
        let after_revision = query_param(target, "from").and_then(|from| from.parse().ok())?;
        let hold_ms: u64 = query_param(target, "hold_ms").and_then(|hold| hold.parse().ok())?;
        self.watches.push(Watch {
            caller,
            prefix: query_param(target, "under")?.to_string(),
            after_revision,
            expires_at: now + hold_ms,
        });
        Some(())
    }

    /// A page of the records under a prefix. Returns `None` if the limit is missing.
    fn list(&self, prefix: &str, target: &str) -> Option<Response> {
        let from = query_param(target, "from").unwrap_or_default();
        let limit = query_param(target, "limit").and_then(|limit| limit.parse().ok())?;
        let under = self.entries.iter();
        let under = under.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > from);
        let mut items: Vec<Item> = under
            .take(limit + 1)
            .map(|(key, entry)| item(key, entry))
            .collect();
        let more = items.len() > limit;
        items.truncate(limit);
        let page = Page {
            items,
            has_more: more,
            revision: self.revision,
        };
        Some((200, wire::encode(&page)))
    }
}

/// Value of a parameter in a request's query.
fn query_param<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let query = target.split_once('?')?.1;
    let mut pairs = query.split('&');
    pairs.find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

fn item(key: &str, entry: &Entry) -> Item {
    Item {
        key: key.to_string(),
        value: entry.value.clone(),
        version: entry.version,
        lease: entry.lease,
    }
}

//! The state service, as its protocol page describes it.

mod leases;
mod limits;
mod transactions;
mod watches;

pub use limits::{FakeLimits, RequestCounts};
pub use watches::{Waiter, Watch};

use leases::ActiveLease;
use limits::TokenBucket;
use std::collections::BTreeMap;
use wire::state::{to_value, Change, Item, Page, Txn, Write};

/// Status and body.
type Response = (u16, Vec<u8>);

struct Entry {
    value: ciborium::Value,
    version: u64,
    lease: Option<u64>,
}

/// Keys, leases and changes.
#[derive(Default)]
pub struct FakeState {
    /// Limits, if any. They may be lowered at any time.
    pub limits: Option<FakeLimits>,
    request_tokens: TokenBucket,
    write_tokens: TokenBucket,
    /// Transactions refused as too large.
    pub too_large: u64,
    /// Transactions refused for their rate.
    pub too_many: u64,
    /// Requests refused for their rate.
    pub too_frequent: u64,
    /// Requests by kind.
    pub counts: RequestCounts,
    entries: BTreeMap<String, Entry>,
    leases: BTreeMap<u64, ActiveLease>,
    /// All changes so far, for watches.
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

impl FakeState {
    /// Reads a record, for tests.
    pub fn read<T: serde::de::DeserializeOwned>(&self, key: &str) -> Option<T> {
        self.entries.get(key)?.value.deserialized().ok()
    }

    /// Writes a record without conditions, as a process outside this world would.
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

    /// Removes a key without conditions.
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
            .map(|(_, e)| wire::json_size(&e.value))
            .max()
            .unwrap_or(0)
    }

    /// Keys under a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let under = self.entries.keys().filter(|k| k.starts_with(prefix));
        under.cloned().collect()
    }

    /// Executes a request. Returns `None` for a watch, which is answered later.
    pub fn serve(
        &mut self,
        now: u64,
        waiter: Waiter,
        method: &str,
        target: &str,
        body: &[u8],
    ) -> Option<Response> {
        self.requests += 1;
        self.counts.count(method, target, body);
        if let Some(limits) = self.limits {
            if !self.request_tokens.take(now, limits.rps, 1.0) {
                self.too_frequent += 1;
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
            self.open_watch(now, waiter, target);
            return None;
        }
        if let Some(prefix) = param(target, "under") {
            return self.list(prefix, target);
        }
        let key = path.strip_prefix("/kv/").unwrap_or_default();
        Some(match self.entries.get(key) {
            Some(entry) => (200, wire::encode(&item(key, entry))),
            None => (404, vec![]),
        })
    }

    /// Opens a watch, unless a parameter is missing.
    fn open_watch(&mut self, now: u64, waiter: Waiter, target: &str) -> Option<()> {
        let from = param(target, "from").and_then(|from| from.parse().ok())?;
        let hold_ms: u64 = param(target, "hold_ms").and_then(|hold| hold.parse().ok())?;
        self.watches.push(Watch {
            waiter,
            prefix: param(target, "under")?.to_string(),
            from,
            until: now + hold_ms,
        });
        Some(())
    }

    /// A page of the keys under a prefix.
    fn list(&self, prefix: &str, target: &str) -> Option<Response> {
        let from = param(target, "from").unwrap_or_default();
        let limit = param(target, "limit").and_then(|limit| limit.parse().ok())?;
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

/// A parameter of a request's query.
fn param<'a>(target: &'a str, name: &str) -> Option<&'a str> {
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

//! Transactions: writes that are executed atomically, under conditions on the versions of keys.

use super::{Entry, FakeStateService, Response};
use wire::state::{Change, Txn, TxnResponse, Write};

impl FakeStateService {
    /// Executes a transaction unless it exceeds the limits.
    pub(super) fn serve_txn(&mut self, now: u64, body: &[u8]) -> Response {
        let Ok(txn) = wire::decode::<Txn>(body) else {
            return (400, vec![]);
        };
        match self.refusal(now, &txn) {
            Some(status) => (status, vec![]),
            None => self.commit(txn),
        }
    }

    /// Status of the response to a transaction that exceeds the limits, or `None` if it does not.
    fn refusal(&mut self, now: u64, txn: &Txn) -> Option<u16> {
        let limits = self.limits?;
        let is_large = |w: &Write| match w {
            Write::Put { value, .. } => wire::json_size(value) > limits.value_bytes,
            Write::Delete { .. } => false,
        };
        let has_many = txn.writes.len() > limits.txn_ops || txn.compares.len() > 4 * limits.txn_ops;
        if has_many || txn.writes.iter().any(is_large) {
            self.oversized_txns += 1;
            return Some(400);
        }
        let wanted = txn.writes.len() as f64;
        let granted = self.write_tokens.take(now, limits.write_rps, wanted);
        self.throttled_txns += u64::from(!granted);
        (!granted).then_some(429)
    }

    /// Executes a transaction if its conditions hold and the leases of its writes exist.
    pub(super) fn commit(&mut self, txn: Txn) -> Response {
        let compares = txn.compares.iter();
        let failed: Vec<String> = compares
            .filter(|compare| self.version(&compare.key) != compare.version)
            .map(|compare| compare.key.clone())
            .collect();
        if !failed.is_empty() {
            let revision = self.revision;
            return (
                409,
                wire::encode(&TxnResponse {
                    failed_keys: failed,
                    revision,
                }),
            );
        }
        let lacks_lease = |write: &Write| match write {
            Write::Put { lease, .. } => lease.is_some_and(|id| !self.leases.contains_key(&id)),
            Write::Delete { .. } => false,
        };
        if txn.writes.iter().any(lacks_lease) {
            return (400, b"no such lease".to_vec());
        }
        self.revision += u64::from(!txn.writes.is_empty());
        self.write_count += txn.writes.len() as u64;
        for write in txn.writes {
            match write {
                Write::Put { key, value, lease } => self.put(key, value, lease),
                Write::Delete { key } => self.remove(&key),
            }
        }
        let response = TxnResponse {
            failed_keys: vec![],
            revision: self.revision,
        };
        (200, wire::encode(&response))
    }

    fn put(&mut self, key: String, value: ciborium::Value, lease: Option<u64>) {
        self.written_bytes += wire::json_size(&value);
        let version = self.revision;
        self.log.push(Change {
            put_key: Some(key.clone()),
            value: Some(value.clone()),
            deleted_key: None,
            version,
        });
        let entry = Entry {
            value,
            version,
            lease,
        };
        self.entries.insert(key, entry);
    }

    /// Removes a key at the current revision, if the key exists.
    pub(super) fn remove(&mut self, key: &str) {
        if self.entries.remove(key).is_some() {
            self.log.push(Change {
                put_key: None,
                value: None,
                deleted_key: Some(key.to_string()),
                version: self.revision,
            });
        }
    }
}

//! Leases, whose keys are removed when they end.

use super::FakeStateService;
use wire::state::{Lease, LeaseRequest};

/// A lease that has not ended.
pub(super) struct ActiveLease {
    expires_at: u64,
    ttl_ms: u64,
}

impl FakeStateService {
    /// Ends the leases that have expired.
    pub fn expire_leases(&mut self, now: u64) {
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| now >= lease.expires_at)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.end_lease(id);
        }
    }

    /// Ends a lease and removes its keys.
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

    /// Renews all leases, as the state service does after an outage.
    pub fn renew_all_leases(&mut self, now: u64) {
        for lease in self.leases.values_mut() {
            lease.expires_at = now + lease.ttl_ms;
        }
    }

    /// Grants, renews or ends a lease.
    pub(super) fn serve_lease(
        &mut self,
        now: u64,
        method: &str,
        rest: &str,
        body: &[u8],
    ) -> (u16, Vec<u8>) {
        if rest.is_empty() {
            let Ok(lease_request) = wire::decode::<LeaseRequest>(body) else {
                return (400, vec![]);
            };
            self.next_lease += 1;
            let ttl_ms = lease_request.ttl_ms;
            let granted = ActiveLease {
                expires_at: now + ttl_ms,
                ttl_ms,
            };
            self.leases.insert(self.next_lease, granted);
            let lease = self.next_lease;
            return (200, wire::encode(&Lease { id: lease }));
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
            Some(lease) => {
                lease.expires_at = now + lease.ttl_ms;
                (200, vec![])
            }
            None => (404, vec![]),
        }
    }
}

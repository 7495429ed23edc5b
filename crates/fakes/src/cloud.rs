//! The cloud: machine types, rentals, returns and the machine list.

use crate::{FakeWorker, World, KIND};
use wire::cloud::*;
use wire::users::Refusal;

impl World {
    pub(crate) fn boot(&mut self) {
        let now = self.now;
        let up: Vec<String> = self
            .booting
            .iter()
            .filter(|(_, (at, _))| now >= *at)
            .map(|(n, _)| n.clone())
            .collect();
        for name in up {
            if let Some((_, rent)) = self.booting.remove(&name) {
                let worker = FakeWorker::new(&name, &rent.zone, rent.spot, now);
                self.workers.insert(name, worker);
            }
        }
    }

    pub(crate) fn serve_cloud(&mut self, method: &str, path: &str, body: &[u8]) -> (u16, Vec<u8>) {
        match (method, path.split('?').next().unwrap_or_default()) {
            ("GET", "/machine_types") => {
                let types = vec![MachineType {
                    name: KIND.into(),
                    cpus: 32.0,
                    gpus: 4.0,
                    mem_gb: 256.0,
                    cache_gb: 80.0,
                    fetch_gb_per_s: 1.0,
                    price: 10.0,
                    spot_price: 4.0,
                    boot_s: 2.0,
                    zones: vec!["a".into(), "b".into()],
                }];
                (200, wire::encode(&MachineTypes { types }))
            }
            ("POST", "/hosts") => {
                let Ok(rent) = wire::decode::<Rent>(body) else {
                    return (400, vec![]);
                };
                if let Some(machines) = self.rented.get(&rent.request).cloned() {
                    return (200, wire::encode(&MachineNames { machines }));
                }
                let count = rent.count.min(self.capacity);
                if count == 0 {
                    let error = Refusal {
                        error: "no capacity".into(),
                    };
                    return (503, wire::encode(&error));
                }
                self.capacity -= count;
                let mut machines = Vec::new();
                for _ in 0..count {
                    self.next_machine += 1;
                    let name = format!("vm-{:06}", self.next_machine);
                    let up_at = self.now + self.rng.u64(self.boot_ms.clone());
                    self.booting.insert(name.clone(), (up_at, rent.clone()));
                    machines.push(name);
                }
                self.rentals.push(rent.request.clone());
                self.rented.insert(rent.request, machines.clone());
                (200, wire::encode(&MachineNames { machines }))
            }
            ("POST", "/hosts/return") => {
                if let Ok(names) = wire::decode::<MachineNames>(body) {
                    for name in names.machines {
                        let up = self.workers.remove(&name).is_some();
                        if up || self.booting.remove(&name).is_some() {
                            self.capacity += 1;
                        }
                    }
                }
                (200, vec![])
            }
            _ => {
                let list = |id: &String, zone: &String, spot: bool, phase| ListedMachine {
                    id: id.clone(),
                    addr: Some(format!("{id}:1")),
                    kind: KIND.into(),
                    zone: zone.clone(),
                    spot,
                    phase,
                    age_s: 1.0,
                };
                let mut machines: Vec<ListedMachine> = self
                    .workers
                    .values()
                    .map(|w| list(&w.name, &w.zone, w.spot, MachinePhase::Running))
                    .collect();
                let booting = self.booting.iter();
                machines.extend(
                    booting.map(|(n, (_, r))| list(n, &r.zone, r.spot, MachinePhase::Booting)),
                );
                let (from, limit) = list_range(path);
                machines.retain(|m| m.id.as_str() > from);
                machines.sort_by(|a, b| a.id.cmp(&b.id));
                let more = machines.len() > limit;
                machines.truncate(limit);
                self.listed_pages += 1;
                (200, wire::encode(&MachineList { machines, more }))
            }
        }
    }
}

/// Machines on a page of the list at most, whatever is asked for.
const PAGE_OF_LIST: usize = 500;

/// After which machine a page of the list begins, and how many it may hold.
fn list_range(path: &str) -> (&str, usize) {
    let query = path.split_once('?').map_or("", |(_, query)| query);
    let value = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(n, _)| *n == name).map(|(_, value)| value)
    };
    let limit = value("limit").and_then(|text| text.parse().ok());
    let limit = limit.unwrap_or(PAGE_OF_LIST).min(PAGE_OF_LIST);
    (value("from").unwrap_or_default(), limit)
}

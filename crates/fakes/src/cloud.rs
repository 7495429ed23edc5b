//! The cloud: machine types, rentals, returns and the machine list.

use crate::{FakeWorker, World, MACHINE_RESOURCES, MACHINE_TYPE};
use wire::cloud::{
    ListedMachine, MachineList, MachineNames, MachinePhase, MachineType, MachineTypes,
    RentalRequest,
};
use wire::users::ErrorResponse;

/// Maximum number of machines on a page of the list, whatever limit is requested.
const MAX_LIST_PAGE_MACHINES: usize = 500;

/// Status and body of a response.
type Response = (u16, Vec<u8>);

impl World {
    /// Adds the workers of the machines that have booted by now.
    pub(crate) fn boot_due_machines(&mut self) {
        let now = self.now;
        let booting = self.booting.iter();
        let up = booting.filter(|(_, (up_at, _))| now >= *up_at);
        let up: Vec<String> = up.map(|(name, _)| name.clone()).collect();
        for name in up {
            if let Some((_, rent)) = self.booting.remove(&name) {
                let mut worker = FakeWorker::new(&name, &rent.zone, rent.spot, now);
                worker.machine_type = rent.machine_type;
                self.workers.insert(name, worker);
            }
        }
    }

    /// Executes a request to the cloud.
    pub(crate) fn serve_cloud(&mut self, method: &str, target: &str, body: &[u8]) -> Response {
        if self.cloud_down {
            let error = "trouble".to_string();
            return (503, wire::encode(&ErrorResponse { error }));
        }
        let path = target.split('?').next().unwrap_or_default();
        match (method, path) {
            ("GET", "/machine_types") => {
                let types = self.machine_types.clone();
                (200, wire::encode(&MachineTypes { types }))
            }
            ("POST", "/hosts") => match wire::decode::<RentalRequest>(body) {
                Ok(rent) => self.rent(rent),
                Err(_) => (400, vec![]),
            },
            ("POST", "/hosts/return") => {
                if let Ok(names) = wire::decode::<MachineNames>(body) {
                    self.return_machines(&names);
                }
                (200, vec![])
            }
            _ => self.list_machines(target),
        }
    }

    /// Rents machines, or repeats the response to a rental request that was executed before.
    fn rent(&mut self, rent: RentalRequest) -> Response {
        if let Some(machines) = self.machines_by_rental.get(&rent.name).cloned() {
            return (200, wire::encode(&MachineNames { machines }));
        }
        let count = rent.count.min(self.cloud_capacity);
        if count == 0 {
            let error = "no capacity".to_string();
            return (503, wire::encode(&ErrorResponse { error }));
        }
        self.cloud_capacity -= count;
        let mut machines = Vec::new();
        for _ in 0..count {
            self.last_machine_number += 1;
            let name = format!("vm-{:06}", self.last_machine_number);
            let up_at = self.now + self.rng.u64(self.boot_ms.clone());
            self.booting.insert(name.clone(), (up_at, rent.clone()));
            machines.push(name);
        }
        self.executed_rentals.push(rent.name.clone());
        self.machines_by_rental.insert(rent.name, machines.clone());
        (200, wire::encode(&MachineNames { machines }))
    }

    fn return_machines(&mut self, names: &MachineNames) {
        for name in &names.machines {
            let is_up = self.workers.remove(name).is_some();
            if is_up || self.booting.remove(name).is_some() {
                self.cloud_capacity += 1;
            }
        }
    }

    /// A page of the list of machines, ordered by name.
    fn list_machines(&mut self, target: &str) -> Response {
        let workers = self.workers.values();
        let up = workers.map(|w| ListedMachine {
            name: w.name.clone(),
            addr: Some(format!("{}:1", w.name)),
            machine_type: w.machine_type.clone(),
            zone: w.zone.clone(),
            spot: w.spot,
            phase: MachinePhase::Running,
            age_s: 1.0,
        });
        let booting = self.booting.iter();
        let booting = booting.map(|(name, (_, rent))| ListedMachine {
            name: name.clone(),
            addr: Some(format!("{name}:1")),
            machine_type: rent.machine_type.clone(),
            zone: rent.zone.clone(),
            spot: rent.spot,
            phase: MachinePhase::Booting,
            age_s: 1.0,
        });
        let mut machines: Vec<ListedMachine> = up.chain(booting).collect();
        let (from, limit) = list_range(target);
        machines.retain(|machine| machine.name.as_str() > from);
        machines.sort_by(|a, b| a.name.cmp(&b.name));
        let more = machines.len() > limit;
        machines.truncate(limit);
        self.served_list_pages += 1;
        (
            200,
            wire::encode(&MachineList {
                machines,
                has_more: more,
            }),
        )
    }
}

/// A machine type with the resources of [`MACHINE_TYPE`] that is offered in these zones.
pub fn machine_type(name: &str, zones: &[&str]) -> MachineType {
    let (cpus, gpus, mem_gb) = MACHINE_RESOURCES;
    MachineType {
        name: name.into(),
        cpus,
        gpus,
        mem_gb,
        image_cache_gb: 80.0,
        fetch_gb_per_s: 1.0,
        price_per_hour: 10.0,
        spot_price_per_hour: 4.0,
        boot_s: 2.0,
        zones: zones.iter().map(|zone| zone.to_string()).collect(),
    }
}

/// The machine types of a new world: [`MACHINE_TYPE`], in the zones `a` and `b`.
pub(crate) fn default_machine_types() -> Vec<MachineType> {
    vec![machine_type(MACHINE_TYPE, &["a", "b"])]
}

/// Name of the machine after which a page of the list begins, and maximum number of machines on the page.
fn list_range(target: &str) -> (&str, usize) {
    let query = target.split_once('?').map_or("", |(_, query)| query);
    let value = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    };
    let limit = value("limit").and_then(|text| text.parse().ok());
    let limit = limit
        .unwrap_or(MAX_LIST_PAGE_MACHINES)
        .min(MAX_LIST_PAGE_MACHINES);
    (value("from").unwrap_or_default(), limit)
}

//! State service and cloud.

use crate::connections::serve;
use crate::{lock, Shared};
use fakes::{Caller, FakeStateService};
use serde::de::DeserializeOwned;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;
use wire::cloud::{ListedMachine, MachineList, MachinePhase, MachineType, MachineTypes};
use wire::users::ErrorResponse;

/// How often leases and watches are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Answers to watches, by the number of the request.
type Answers = HashMap<u64, Vec<u8>>;

/// The state service.
pub struct StateService {
    /// Its address.
    pub addr: SocketAddr,
    store: Arc<Store>,
}

/// The records and open watches.
struct Store {
    state: Mutex<FakeStateService>,
    /// Number of the last request.
    last_call: Mutex<u64>,
    answers: Mutex<Answers>,
    answered: Condvar,
}

impl StateService {
    /// Starts to serve, and the thread that expires leases and answers watches.
    pub fn start(shared: Arc<Shared>) -> Arc<Self> {
        let store = Arc::new(Store {
            state: Mutex::new(FakeStateService::default()),
            last_call: Mutex::new(0),
            answers: Mutex::new(Answers::new()),
            answered: Condvar::new(),
        });
        let handler = {
            let (shared, store) = (Arc::clone(&shared), Arc::clone(&store));
            move |method: &str, target: &str, body: &[u8]| {
                store.handle(&shared, method, target, body)
            }
        };
        let addr = serve(Arc::clone(&shared), Arc::new(handler));
        let ticking = Arc::clone(&store);
        std::thread::spawn(move || {
            while !shared.is_over() {
                ticking.tick(shared.now_ms());
                std::thread::sleep(CHECK_INTERVAL);
            }
            ticking.answered.notify_all();
        });
        Arc::new(StateService { addr, store })
    }

    /// A record as it is now.
    pub fn read<T: DeserializeOwned>(&self, key: &str) -> Option<T> {
        lock(&self.store.state).read(key)
    }
}

impl Store {
    /// Expires leases and answers watches.
    fn tick(&self, now: u64) {
        let due = {
            let mut state = lock(&self.state);
            state.expire_leases(now);
            state.take_due_watches(now, |_| false)
        };
        if due.is_empty() {
            return;
        }
        let mut answers = lock(&self.answers);
        for (waiter, body) in due {
            answers.insert(waiter.call, body);
        }
        self.answered.notify_all();
    }

    fn handle(&self, shared: &Shared, method: &str, target: &str, body: &[u8]) -> (u16, Vec<u8>) {
        let call = {
            let mut last_call = lock(&self.last_call);
            *last_call += 1;
            *last_call
        };
        let now = shared.now_ms();
        let waiter = Caller { node: 0, call };
        let served = lock(&self.state).serve(now, waiter, method, target, body);
        served.unwrap_or_else(|| self.wait(shared, call))
    }

    /// Waits for the answer to a watch.
    fn wait(&self, shared: &Shared, call: u64) -> (u16, Vec<u8>) {
        let mut answers = lock(&self.answers);
        while !shared.is_over() {
            if let Some(body) = answers.remove(&call) {
                return (200, body);
            }
            let waited = self.answered.wait_timeout(answers, CHECK_INTERVAL * 10);
            answers = match waited {
                Ok((answers, _)) => answers,
                Err(poisoned) => poisoned.into_inner().0,
            };
        }
        (503, Vec::new())
    }
}

/// A cloud whose machines are all rented.
pub struct Cloud {
    /// Its address.
    pub addr: SocketAddr,
}

impl Cloud {
    /// Starts to serve a list of these machines.
    pub fn start(shared: Arc<Shared>, machines: Vec<String>) -> Arc<Self> {
        let handler = move |method: &str, target: &str, _: &[u8]| -> (u16, Vec<u8>) {
            match (method, target.split('?').next().unwrap_or_default()) {
                ("GET", "/machine_types") => (200, wire::encode(&machine_types())),
                ("POST", "/hosts/return") => (200, Vec::new()),
                ("POST", _) => {
                    let error = "no capacity".to_string();
                    (503, wire::encode(&ErrorResponse { error }))
                }
                _ => (200, wire::encode(&machine_list(&machines))),
            }
        };
        let addr = serve(shared, Arc::new(handler));
        Arc::new(Cloud { addr })
    }
}

fn machine_types() -> MachineTypes {
    let (cpus, gpus, mem_gb) = fakes::MACHINE_RESOURCES;
    let machine = MachineType {
        name: fakes::MACHINE_TYPE.into(),
        cpus,
        gpus,
        mem_gb,
        image_cache_gb: 80.0,
        fetch_gb_per_s: 1.0,
        price_per_hour: 10.0,
        spot_price_per_hour: 4.0,
        boot_s: 5.0,
        zones: vec!["a".into()],
    };
    MachineTypes {
        types: vec![machine],
    }
}

fn machine_list(machines: &[String]) -> MachineList {
    let listed = |id: &String| ListedMachine {
        name: id.clone(),
        addr: None,
        machine_type: fakes::MACHINE_TYPE.into(),
        zone: "a".into(),
        spot: false,
        phase: MachinePhase::Running,
        age_s: 60.0,
    };
    MachineList {
        machines: machines.iter().map(listed).collect(),
        has_more: false,
    }
}

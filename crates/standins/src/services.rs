//! State service and cloud.

use crate::connections::serve;
use crate::{lock, Shared};
use fakes::FakeState;
use serde::de::DeserializeOwned;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;
use wire::cloud::{ListedMachine, MachineList, MachinePhase, MachineType, MachineTypes};
use wire::users::Refusal;

/// How often leases and watches are looked at.
const LOOK: Duration = Duration::from_millis(10);

/// Watches that are over, by the number of who waits.
type Answers = HashMap<u64, Vec<u8>>;

/// The state service.
pub struct StateService {
    pub addr: SocketAddr,
    store: Arc<Store>,
}

struct Store {
    state: Mutex<FakeState>,
    waiters: Mutex<u64>,
    answers: Mutex<Answers>,
    answered: Condvar,
}

impl StateService {
    pub fn start(shared: Arc<Shared>) -> Arc<Self> {
        let store = Arc::new(Store {
            state: Mutex::new(FakeState::default()),
            waiters: Mutex::new(0),
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
                std::thread::sleep(LOOK);
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
    fn tick(&self, now: u64) {
        let ripe = {
            let mut state = lock(&self.state);
            state.expire(now);
            state.ripe_watches(now, |_| false)
        };
        if ripe.is_empty() {
            return;
        }
        let mut answers = lock(&self.answers);
        for ((_, waiter), body) in ripe {
            answers.insert(waiter, body);
        }
        self.answered.notify_all();
    }

    fn handle(&self, shared: &Shared, method: &str, target: &str, body: &[u8]) -> (u16, Vec<u8>) {
        let waiter = {
            let mut waiters = lock(&self.waiters);
            *waiters += 1;
            *waiters
        };
        let now = shared.now_ms();
        let served = lock(&self.state).serve(now, (0, waiter), method, target, body);
        served.unwrap_or_else(|| self.wait(shared, waiter))
    }

    fn wait(&self, shared: &Shared, waiter: u64) -> (u16, Vec<u8>) {
        let mut answers = lock(&self.answers);
        while !shared.is_over() {
            if let Some(body) = answers.remove(&waiter) {
                return (200, body);
            }
            let waited = self.answered.wait_timeout(answers, LOOK * 10);
            answers = match waited {
                Ok((answers, _)) => answers,
                Err(poisoned) => poisoned.into_inner().0,
            };
        }
        (503, Vec::new())
    }
}

/// A cloud that has rented out all it has.
pub struct Cloud {
    pub addr: SocketAddr,
}

impl Cloud {
    pub fn start(shared: Arc<Shared>, machines: Vec<String>) -> Arc<Self> {
        let handler = move |method: &str, target: &str, _: &[u8]| -> (u16, Vec<u8>) {
            match (method, target.split('?').next().unwrap_or_default()) {
                ("GET", "/machine_types") => (200, wire::encode(&machine_types())),
                ("POST", "/hosts/return") => (200, Vec::new()),
                ("POST", _) => {
                    let error = "no capacity".to_string();
                    (503, wire::encode(&Refusal { error }))
                }
                _ => (200, wire::encode(&machine_list(&machines))),
            }
        };
        let addr = serve(shared, Arc::new(handler));
        Arc::new(Cloud { addr })
    }
}

fn machine_types() -> MachineTypes {
    let (cpus, gpus, mem_gb) = fakes::MACHINE;
    let machine = MachineType {
        name: fakes::KIND.into(),
        cpus,
        gpus,
        mem_gb,
        cache_gb: 80.0,
        fetch_gb_per_s: 1.0,
        price: 10.0,
        spot_price: 4.0,
        boot_s: 5.0,
        zones: vec!["a".into()],
    };
    MachineTypes {
        types: vec![machine],
    }
}

fn machine_list(machines: &[String]) -> MachineList {
    let listed = |id: &String| ListedMachine {
        id: id.clone(),
        addr: None,
        kind: fakes::KIND.into(),
        zone: "a".into(),
        spot: false,
        phase: MachinePhase::Running,
        age_s: 60.0,
    };
    MachineList {
        machines: machines.iter().map(listed).collect(),
        more: false,
    }
}

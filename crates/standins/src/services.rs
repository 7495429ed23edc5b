//! HTTP servers for the state service and the cloud.

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

/// Interval between checks for expired leases and for watches that are due.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Response bodies of watches that are due, by request number.
type WatchAnswers = HashMap<u64, Vec<u8>>;

/// A running state service.
pub struct StateService {
    /// Address that it listens on.
    pub addr: SocketAddr,
    store: Arc<Store>,
}

/// The records and the open watches.
struct Store {
    state: Mutex<FakeStateService>,
    /// Number of the last request.
    last_request: Mutex<u64>,
    answers: Mutex<WatchAnswers>,
    /// Notified when answers are added and when the service stops.
    answered: Condvar,
}

impl StateService {
    /// Starts the server and a thread that expires leases and answers watches.
    pub fn start(shared: Arc<Shared>) -> Arc<Self> {
        let store = Arc::new(Store {
            state: Mutex::new(FakeStateService::default()),
            last_request: Mutex::new(0),
            answers: Mutex::new(WatchAnswers::new()),
            answered: Condvar::new(),
        });
        let handler = {
            let (shared, store) = (Arc::clone(&shared), Arc::clone(&store));
            move |method: &str, target: &str, body: &[u8]| {
                store.handle(&shared, method, target, body)
            }
        };
        let addr = serve(Arc::clone(&shared), Arc::new(handler));
        let polled = Arc::clone(&store);
        std::thread::spawn(move || {
            while !shared.is_stopping() {
                polled.expire_leases_and_answer_watches(shared.now_ms());
                std::thread::sleep(POLL_INTERVAL);
            }
            polled.answered.notify_all();
        });
        Arc::new(StateService { addr, store })
    }

    /// Reads the current value of a record.
    pub fn read<T: DeserializeOwned>(&self, key: &str) -> Option<T> {
        lock(&self.store.state).read(key)
    }
}

impl Store {
    /// Expires leases and answers watches.
    fn expire_leases_and_answer_watches(&self, now: u64) {
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

    /// Answers a request. A watch blocks until its answer is available.
    fn handle(&self, shared: &Shared, method: &str, target: &str, body: &[u8]) -> (u16, Vec<u8>) {
        let request = {
            let mut last_request = lock(&self.last_request);
            *last_request += 1;
            *last_request
        };
        let now = shared.now_ms();
        let waiter = Caller {
            node: 0,
            call: request,
        };
        let served = lock(&self.state).serve(now, waiter, method, target, body);
        served.unwrap_or_else(|| self.wait_for_answer(shared, request))
    }

    /// Waits for the answer to a watch. Returns status 503 once the environment stops.
    fn wait_for_answer(&self, shared: &Shared, request: u64) -> (u16, Vec<u8>) {
        let mut answers = lock(&self.answers);
        while !shared.is_stopping() {
            if let Some(body) = answers.remove(&request) {
                return (200, body);
            }
            let waited = self.answered.wait_timeout(answers, POLL_INTERVAL * 10);
            answers = match waited {
                Ok((answers, _)) => answers,
                Err(poisoned) => poisoned.into_inner().0,
            };
        }
        (503, Vec::new())
    }
}

/// A cloud that lists a fixed set of running machines and refuses to rent more.
pub struct Cloud {
    /// Address that it listens on.
    pub addr: SocketAddr,
}

impl Cloud {
    /// Starts a server that lists these machines.
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

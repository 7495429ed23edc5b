//! The environment of a cluster on loopback, for tests and measurements with real controller processes: a state
//! service, a cloud, workers and users that speak the published protocols, and a history of what they observed.
//!
//! Everything is bounded in count and time and ends with [`Outside::stop`].

mod connections;
mod controllers;
mod history;
mod services;
mod users;
mod workers;

pub use controllers::{Build, Controllers};
pub use history::{Gaps, History};

use services::{Cloud, StateService};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use wire::records::{
    GenerationRecord, LevelRecord, TermRecord, CLUSTER_LEVEL_KEY, COMMON_GENERATION_KEY, TERM_KEY,
};

/// How often the end of the jobs is checked.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Locks a mutex, also after a thread that had locked it panicked: its content is still needed for the verdict.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// The state that all threads share.
struct Shared {
    start: Instant,
    stop: AtomicBool,
    history: Mutex<History>,
    /// Public addresses of the controllers, by number.
    controllers: Vec<SocketAddr>,
    labels: Vec<String>,
}

impl Shared {
    /// Milliseconds since the start.
    fn now_ms(&self) -> u64 {
        // Times start at 1 s, so that 0 can mean never.
        1_000 + self.start.elapsed().as_millis() as u64
    }

    /// Whether all threads are to end.
    fn is_over(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }
}

/// State service, cloud, workers and users of one cluster.
pub struct Outside {
    shared: Arc<Shared>,
    state: Arc<StateService>,
    cloud: Arc<Cloud>,
    threads: Vec<JoinHandle<()>>,
}

impl Outside {
    /// Starts state service and cloud for controllers with these labels and addresses, and workers.
    pub fn start(labels: Vec<String>, controllers: Vec<SocketAddr>, machines: usize) -> Self {
        let shared = Arc::new(Shared {
            start: Instant::now(),
            stop: AtomicBool::new(false),
            history: Mutex::new(History::default()),
            controllers,
            labels,
        });
        let state = StateService::start(Arc::clone(&shared));
        let names: Vec<String> = (0..machines)
            .map(|number| format!("vm-{number:06}"))
            .collect();
        let cloud = Cloud::start(Arc::clone(&shared), names.clone());
        let threads = names
            .into_iter()
            .map(|name| workers::start(Arc::clone(&shared), name));
        Outside {
            threads: threads.collect(),
            shared,
            state,
            cloud,
        }
    }

    /// Address of the state service.
    pub fn state_addr(&self) -> SocketAddr {
        self.state.addr
    }

    /// Address of the cloud.
    pub fn cloud_addr(&self) -> SocketAddr {
        self.cloud.addr
    }

    /// Users begin to submit jobs, ask about them and cancel some.
    pub fn start_users(&mut self) {
        self.threads.extend(users::start(Arc::clone(&self.shared)));
    }

    /// Ends the submission of jobs, and waits until every accepted job is final. Returns false if that takes longer
    /// than `within_ms`.
    pub fn drain(&mut self, within_ms: u64) -> bool {
        lock(&self.shared.history).submissions_end();
        let until = self.shared.now_ms() + within_ms;
        while self.shared.now_ms() < until {
            if lock(&self.shared.history).open_jobs() == 0 {
                return true;
            }
            std::thread::sleep(DRAIN_CHECK_INTERVAL);
        }
        false
    }

    /// What was observed so far.
    pub fn history(&self) -> MutexGuard<'_, History> {
        lock(&self.shared.history)
    }

    /// Milliseconds since the start, as the history counts them.
    pub fn now_ms(&self) -> u64 {
        self.shared.now_ms()
    }

    /// The last term: it grows by one with each election.
    pub fn term(&self) -> u64 {
        self.state
            .read::<TermRecord>(TERM_KEY)
            .map_or(0, |record| record.term)
    }

    /// The cluster's feature level, where staged upgrades are on.
    pub fn level(&self) -> Option<LevelRecord> {
        self.state.read(CLUSTER_LEVEL_KEY)
    }

    /// Level that is final.
    pub fn finalized(&self) -> u32 {
        let mark: Option<GenerationRecord> = self.state.read(COMMON_GENERATION_KEY);
        mark.map_or(0, |record| record.generation)
    }

    /// Ends all threads.
    pub fn stop(mut self) {
        self.shared.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            // A panic of a thread shows in the history.
            let _ = thread.join();
        }
    }
}

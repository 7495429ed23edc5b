//! The environment of a cluster on loopback, for tests and measurements with real controller processes: a state
//! service, a cloud, workers and users that speak the published protocols, and a history of what they observed.
//!
//! All activity is bounded in count and time and ends with [`Environment::stop`].

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

/// Interval between checks whether all jobs are final.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Locks a mutex even if it is poisoned: its content is still needed to evaluate the run after a thread has panicked.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// State shared by all threads of the environment.
struct Shared {
    start: Instant,
    /// Whether all threads have to end.
    stop: AtomicBool,
    history: Mutex<History>,
    /// Public addresses of the controllers, by number.
    controllers: Vec<SocketAddr>,
    /// Labels of the controllers, by number.
    labels: Vec<String>,
}

impl Shared {
    /// Milliseconds since the start, plus 1,000.
    fn now_ms(&self) -> u64 {
        // Time starts at 1 s, so that 0 can mean "never".
        1_000 + self.start.elapsed().as_millis() as u64
    }

    /// Whether all threads have to end.
    fn is_stopping(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }
}

/// The environment of one cluster: state service, cloud, workers and users.
pub struct Environment {
    shared: Arc<Shared>,
    state: Arc<StateService>,
    cloud: Arc<Cloud>,
    threads: Vec<JoinHandle<()>>,
}

impl Environment {
    /// Starts the state service, the cloud and the workers for controllers with these labels and public addresses. Users
    /// start with [`Environment::start_users`].
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
        Environment {
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

    /// Starts the users, who submit jobs, query their status and cancel some of them.
    pub fn start_users(&mut self) {
        self.threads.extend(users::start(Arc::clone(&self.shared)));
    }

    /// Stops the submission of jobs and waits until every accepted job is final. Returns false if this takes longer than
    /// `timeout_ms`.
    pub fn drain(&mut self, timeout_ms: u64) -> bool {
        lock(&self.shared.history).end_submissions();
        let deadline = self.shared.now_ms() + timeout_ms;
        while self.shared.now_ms() < deadline {
            if lock(&self.shared.history).open_job_count() == 0 {
                return true;
            }
            std::thread::sleep(DRAIN_POLL_INTERVAL);
        }
        false
    }

    /// Locks the history and returns it.
    pub fn history(&self) -> MutexGuard<'_, History> {
        lock(&self.shared.history)
    }

    /// Current time in milliseconds, on the clock that the history uses.
    pub fn now_ms(&self) -> u64 {
        self.shared.now_ms()
    }

    /// The current term. It increases by one with each election.
    pub fn term(&self) -> u64 {
        self.state
            .read::<TermRecord>(TERM_KEY)
            .map_or(0, |record| record.term)
    }

    /// The feature level of the cluster, if staged upgrades are enabled.
    pub fn level(&self) -> Option<LevelRecord> {
        self.state.read(CLUSTER_LEVEL_KEY)
    }

    /// The finalized feature level, or 0 if none is finalized.
    pub fn finalized_level(&self) -> u32 {
        let common_generation: Option<GenerationRecord> = self.state.read(COMMON_GENERATION_KEY);
        common_generation.map_or(0, |record| record.generation)
    }

    /// Stops all threads and waits for them to end.
    pub fn stop(mut self) {
        self.shared.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            // A panic of a thread shows in the history, so the result of the join is ignored.
            let _ = thread.join();
        }
    }
}

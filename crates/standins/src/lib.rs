//! The outside of a cluster on loopback, for tests and measurements with real controller processes: a state service, a
//! cloud, workers and users that speak the published protocols, and a history of what they saw.
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
use std::time::Instant;
use wire::records::{GenerationRecord, LevelRecord, TermRecord, LEVEL, MARK, TERM};

/// A lock whose holder may have panicked: what it holds is still worth looking at.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// What all threads share.
struct Shared {
    start: Instant,
    stop: AtomicBool,
    history: Mutex<History>,
    /// Public addresses of the controllers, by number.
    controllers: Vec<SocketAddr>,
    labels: Vec<String>,
}

impl Shared {
    fn now_ms(&self) -> u64 {
        // Moments start at 1 s, so that 0 can stand for never.
        1_000 + self.start.elapsed().as_millis() as u64
    }

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
        let names: Vec<String> = (0..machines).map(|m| format!("vm-{m:06}")).collect();
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

    /// No more jobs are submitted; waits until each that was accepted is over, for so long at most.
    pub fn drain(&mut self, within_ms: u64) -> bool {
        lock(&self.shared.history).submissions_end();
        let until = self.shared.now_ms() + within_ms;
        while self.shared.now_ms() < until {
            if lock(&self.shared.history).open_jobs() == 0 {
                return true;
            }
            std::thread::sleep(std::time::Duration::from_millis(100));
        }
        false
    }

    /// What was seen so far.
    pub fn history(&self) -> MutexGuard<'_, History> {
        lock(&self.shared.history)
    }

    /// Milliseconds since the start, as the history counts them.
    pub fn now_ms(&self) -> u64 {
        self.shared.now_ms()
    }

    /// The last term: it grows by one with each election.
    pub fn term(&self) -> u64 {
        self.state.read::<TermRecord>(TERM).map_or(0, |t| t.term)
    }

    /// The cluster's feature level, where staged upgrades are on.
    pub fn level(&self) -> Option<LevelRecord> {
        self.state.read(LEVEL)
    }

    /// Level that is final.
    pub fn finalized(&self) -> u32 {
        let mark: Option<GenerationRecord> = self.state.read(MARK);
        mark.map_or(0, |m| m.generation)
    }

    /// Ends all threads.
    pub fn stop(mut self) {
        self.shared.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            // A thread that panicked has left its mark in the history.
            let _ = thread.join();
        }
    }
}

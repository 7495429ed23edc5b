//! What a controller observes of the others' processes by their heartbeats.

use constants::{ANNOUNCE_GRACE_MS, CALM_MS, PEER_FRESH_MS, RESTARTS_IN_WINDOW, RESTART_WINDOW_MS};
use std::collections::BTreeMap;

/// How what a controller has announced compares with its heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Liveness {
    /// A recent heartbeat came from the process that announced.
    Confirmed,
    /// There was no recent heartbeat.
    Silent,
    /// A recent heartbeat came from a process that has not announced yet.
    Starting,
    /// The process has not announced for so long that it must be a build that does not announce.
    Unannounced,
}

/// A process as its heartbeats show it.
#[derive(Debug, Clone, Copy)]
struct Process {
    boot: u64,
    first_contact: u64,
    last_contact: u64,
}

/// What is observed of one controller.
#[derive(Debug, Clone, Default)]
struct Observed {
    process: Option<Process>,
    /// When its process was found to have changed.
    restarts: Vec<u64>,
}

/// Observations of all controllers.
#[derive(Debug, Clone, Default)]
pub(crate) struct Observations {
    controllers: BTreeMap<String, Observed>,
    last_restart: Option<u64>,
}

impl Observations {
    /// A heartbeat arrived.
    pub fn on_heartbeat(&mut self, label: &str, boot: u64, now: u64) {
        let observed = self.controllers.entry(label.to_string()).or_default();
        match &mut observed.process {
            Some(process) if process.boot == boot => process.last_contact = now,
            process => {
                if process.is_some() {
                    observed.restarts.push(now);
                    self.last_restart = Some(now);
                }
                *process = Some(Process {
                    boot,
                    first_contact: now,
                    last_contact: now,
                });
            }
        }
        let oldest = now.saturating_sub(RESTART_WINDOW_MS);
        observed.restarts.retain(|at| *at >= oldest);
    }

    /// How a controller's heartbeats compare with what it has announced.
    pub fn liveness(&self, label: &str, announced_boot: Option<u64>, now: u64) -> Liveness {
        let process = self
            .controllers
            .get(label)
            .and_then(|observed| observed.process);
        let Some(process) = process.filter(|process| now < process.last_contact + PEER_FRESH_MS)
        else {
            return Liveness::Silent;
        };
        if announced_boot == Some(process.boot) {
            return Liveness::Confirmed;
        }
        match now < process.first_contact + ANNOUNCE_GRACE_MS {
            true => Liveness::Starting,
            false => Liveness::Unannounced,
        }
    }

    /// A controller that restarts repeatedly.
    pub fn restarting(&self, now: u64) -> Option<&str> {
        let oldest = now.saturating_sub(RESTART_WINDOW_MS);
        let recent = |o: &Observed| o.restarts.iter().filter(|at| **at >= oldest).count();
        let mut controllers = self.controllers.iter();
        let found = controllers.find(|(_, o)| recent(o) > RESTARTS_IN_WINDOW);
        found.map(|(label, _)| label.as_str())
    }

    /// When the process of any controller last changed.
    pub fn last_restart(&self) -> Option<u64> {
        self.last_restart
    }

    /// Whether no controller has restarted for [`CALM_MS`].
    pub fn is_calm(&self, now: u64) -> bool {
        self.last_restart.is_none_or(|at| now >= at + CALM_MS)
    }
}

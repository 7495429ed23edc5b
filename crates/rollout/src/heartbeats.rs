//! What a controller observes of the processes of the other controllers by their heartbeats.

use constants::{
    ANNOUNCE_GRACE_MS, PEER_HEARTBEAT_FRESH_MS, RESTARTS_PER_WINDOW_MAX, RESTART_FREE_RESUME_MS,
    RESTART_WINDOW_MS,
};
use std::collections::BTreeMap;

/// How the heartbeats of a controller compare with its announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Liveness {
    /// The process that announced has sent a recent heartbeat.
    Confirmed,
    /// There is no recent heartbeat.
    Silent,
    /// A recent heartbeat is from a process that has not announced itself yet.
    Starting,
    /// The process has not announced itself for so long that it must be a build that announces nothing.
    Unannounced,
}

/// A process of a controller, as its heartbeats show it.
#[derive(Debug, Clone, Copy)]
struct ObservedProcess {
    boot: u64,
    first_heartbeat_at: u64,
    last_heartbeat_at: u64,
}

/// What is observed of one controller.
#[derive(Debug, Clone, Default)]
struct ObservedController {
    process: Option<ObservedProcess>,
    /// Times at which heartbeats from a new process were first received, within the last [`RESTART_WINDOW_MS`].
    restarts: Vec<u64>,
}

/// What is observed of all other controllers.
#[derive(Debug, Clone, Default)]
pub(crate) struct HeartbeatMonitor {
    controllers: BTreeMap<String, ObservedController>,
    last_restart_at: Option<u64>,
}

impl HeartbeatMonitor {
    /// Notes a heartbeat of a controller.
    pub fn on_heartbeat(&mut self, label: &str, boot: u64, now: u64) {
        let observed = self.controllers.entry(label.to_string()).or_default();
        match &mut observed.process {
            Some(process) if process.boot == boot => process.last_heartbeat_at = now,
            process => {
                if process.is_some() {
                    observed.restarts.push(now);
                    self.last_restart_at = Some(now);
                }
                *process = Some(ObservedProcess {
                    boot,
                    first_heartbeat_at: now,
                    last_heartbeat_at: now,
                });
            }
        }
        let window_start = now.saturating_sub(RESTART_WINDOW_MS);
        observed.restarts.retain(|at| *at >= window_start);
    }

    /// How the heartbeats of a controller compare with the boot number that it has announced.
    pub fn liveness(&self, label: &str, announced_boot: Option<u64>, now: u64) -> Liveness {
        let process = self
            .controllers
            .get(label)
            .and_then(|observed| observed.process);
        let Some(process) =
            process.filter(|process| now < process.last_heartbeat_at + PEER_HEARTBEAT_FRESH_MS)
        else {
            return Liveness::Silent;
        };
        if announced_boot == Some(process.boot) {
            return Liveness::Confirmed;
        }
        match now < process.first_heartbeat_at + ANNOUNCE_GRACE_MS {
            true => Liveness::Starting,
            false => Liveness::Unannounced,
        }
    }

    /// Label of a controller that restarts repeatedly, if there is one.
    pub fn restarting_controller(&self, now: u64) -> Option<&str> {
        let window_start = now.saturating_sub(RESTART_WINDOW_MS);
        let recent_restarts = |observed: &ObservedController| {
            let restarts = observed.restarts.iter();
            restarts.filter(|at| **at >= window_start).count()
        };
        let mut controllers = self.controllers.iter();
        let found =
            controllers.find(|(_, observed)| recent_restarts(observed) > RESTARTS_PER_WINDOW_MAX);
        found.map(|(label, _)| label.as_str())
    }

    /// When a restart of any controller was last observed.
    pub fn last_restart_at(&self) -> Option<u64> {
        self.last_restart_at
    }

    /// Whether no controller has restarted for [`RESTART_FREE_RESUME_MS`].
    pub fn is_restart_free(&self, now: u64) -> bool {
        self.last_restart_at
            .is_none_or(|at| now >= at + RESTART_FREE_RESUME_MS)
    }
}

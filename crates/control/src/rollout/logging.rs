//! Log lines about upgrades.

use super::BUILD_VERSION;
use rollout::{ControllerStatus, Event, RolloutStatus};

/// Logs the state of an upgrade that is under way.
pub(super) fn log_status(status: &RolloutStatus) {
    let controllers: Vec<String> = status.controllers.iter().map(controller_text).collect();
    log::info!(
        "event=rollout_status phase={:?} active={} target={} finalized={} since={} \
         waits_for={:?} controllers={}",
        status.phase,
        status.active,
        status.target,
        status.finalized,
        status.since,
        status.waits_for,
        controllers.join(",")
    );
}

/// The log text of a controller: its label, announced levels and liveness.
fn controller_text(controller: &ControllerStatus) -> String {
    let ControllerStatus {
        label, liveness, ..
    } = controller;
    match controller.levels {
        Some((oldest, newest)) => format!("{label}:{oldest}-{newest}:{liveness}"),
        None => format!("{label}:?:{liveness}"),
    }
}

/// Logs an event of a state machine.
pub(super) fn log_event(event: &Event) {
    match event {
        Event::Announced { range } => {
            log::info!("event=levels_announced range={range} build={BUILD_VERSION}");
        }
        Event::LevelRead {
            active,
            finalized,
            phase,
        } => log::info!("event=level_read active={active} finalized={finalized} phase={phase:?}"),
        Event::TransitionCommitted {
            from,
            to,
            active,
            reason,
        } => {
            log::info!("event=rollout_moved from={from:?} to={to:?} active={active} why={reason:?}");
        }
        Event::Paused(reason) => log::error!("event=rollout_paused why=\"{reason}\""),
        Event::Resumed => log::info!("event=rollout_resumed"),
        Event::UnannouncedController {
            label,
            finalized: 0,
        } => log::info!("event=member_unannounced node={label}"),
        Event::UnannouncedController { label, finalized } => log::error!(
            "event=rollback_impossible node={label} finalized={finalized} \
             why=\"the controller announces no levels, and a finalized level can't be rolled back\""
        ),
        Event::UnconfiguredController { label } => {
            log::error!("event=member_unknown node={label} why=\"the controller is not configured here\"");
        }
        Event::AdmissionRefused {
            range,
            active,
            finalized,
        } => log::error!(
            "event=build_refused range={range} active={active} finalized={finalized} \
             why=\"this build does not support the level of the cluster; it serves and writes nothing\""
        ),
        Event::UnreadableRecord { key } => {
            log::error!("event=record_unreadable key={key} why=\"this build can't decode the record\"");
        }
        Event::GenerationRecorded => log::info!("event=generation_announced generation=1"),
        Event::RaisingMark { missing, evidence } => {
            log::info!("event=generation_raised generation=1 missing={missing} proof={evidence:?}");
        }
        Event::MarkObserved { generation } => log::info!("event=upgraded generation={generation}"),
    }
}

//! Log lines about upgrades.

use super::BUILD;
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

/// A controller with its announced levels, as it is logged.
fn controller_text(controller: &ControllerStatus) -> String {
    let ControllerStatus {
        label, liveness, ..
    } = controller;
    match controller.levels {
        Some((oldest, newest)) => format!("{label}:{oldest}-{newest}:{liveness}"),
        None => format!("{label}:?:{liveness}"),
    }
}

/// Logs what a state machine has observed or done.
pub(super) fn log_event(event: &Event) {
    match event {
        Event::Announced { range } => {
            log::info!("event=levels_announced range={range} build={BUILD}");
        }
        Event::LevelRead {
            active,
            finalized,
            phase,
        } => log::info!("event=level_read active={active} finalized={finalized} phase={phase:?}"),
        Event::Moved {
            from,
            to,
            active,
            why,
        } => {
            log::info!("event=rollout_moved from={from:?} to={to:?} active={active} why={why:?}");
        }
        Event::Paused(reason) => log::error!("event=rollout_paused why=\"{reason}\""),
        Event::Resumed => log::info!("event=rollout_resumed"),
        Event::Unannounced {
            label,
            finalized: 0,
        } => log::info!("event=member_unannounced node={label}"),
        Event::Unannounced { label, finalized } => log::error!(
            "event=rollback_impossible node={label} finalized={finalized} \
             why=\"it announces no levels, and what is final stays\""
        ),
        Event::UnknownMember { label } => {
            log::error!("event=member_unknown node={label} why=\"it is not configured here\"");
        }
        Event::Refused {
            range,
            active,
            finalized,
        } => log::error!(
            "event=build_refused range={range} active={active} finalized={finalized} \
             why=\"this build can't run what the cluster runs; it serves and writes nothing\""
        ),
        Event::Unreadable { key } => {
            log::error!("event=record_unreadable key={key} why=\"not as this build writes it\"");
        }
        Event::GenerationRecorded => log::info!("event=generation_announced generation=1"),
        Event::MarkRaised { missing, evidence } => {
            log::info!("event=generation_raised generation=1 missing={missing} proof={evidence:?}");
        }
        Event::MarkSeen { generation } => log::info!("event=upgraded generation={generation}"),
    }
}

//! Plans for small fleets.

use super::{plan_fleet, FleetSnapshot, Offer, RentRequest};
use crate::{ClusterSnapshot, JobSnapshot, MachineSnapshot, Resources, TeamSnapshot};

/// Found by a scenario: room in two zones counted as enough for a gang that must stay in one, and machines were
/// rented in a zone that its other tasks ruled out.
#[test]
fn a_gang_of_one_zone_is_given_machines_in_its_zone() {
    let total = Resources {
        cpus: 32.0,
        gpus: 4.0,
        memory_gb: 256.0,
    };
    let machine = |zone| MachineSnapshot {
        kind: 0,
        zone,
        spot: false,
        free: total,
        free_after_stops: total,
        total,
        usable: true,
        free_slots: 9,
        pilots: 0,
        slow: false,
        images: vec![],
        busy_s: 0.0,
        dispatch_delay_s: 0.0,
        ready_in_s: None,
    };
    let mut job = JobSnapshot {
        team: 0,
        gang: true,
        service: false,
        priority: 1,
        task: total,
        kinds: None,
        zone: None,
        one_zone: true,
        max_per_zone: None,
        tasks_by_zone: vec![],
        spot: false,
        uncheckpointed: false,
        image: 0,
        waiting: vec![0, 1],
        pilots_due: 0,
        sampling: false,
        queue: 0,
        order: 0,
        running: 0,
        avoid: vec![],
        reserved_machines: vec![],
        urgent: false,
        backed_off: false,
        may_claim_limit: true,
        has_objective: true,
    };
    let offer = |zone| Offer {
        kind: 0,
        zone,
        spot: false,
        total,
        price: 1.0,
        open: true,
    };
    let fleet = FleetSnapshot {
        offers: vec![offer(0), offer(1)],
        expected: vec![0, 0],
        minimizes_cost: true,
        horizon_s: 0.0,
    };
    let snapshot = |job: &JobSnapshot, machines| ClusterSnapshot {
        machines,
        teams: vec![TeamSnapshot::default()],
        jobs: vec![job.clone()],
        running: vec![],
    };
    let one_each = plan_fleet(&snapshot(&job, vec![machine(0), machine(1)]), &fleet);
    assert_eq!(one_each, vec![RentRequest { offer: 0, count: 1 }]);
    job.tasks_by_zone = vec![(1, 1)];
    job.waiting = vec![1];
    let rest = plan_fleet(&snapshot(&job, vec![machine(0)]), &fleet);
    assert_eq!(rest, vec![RentRequest { offer: 1, count: 1 }]);
}

//! Fleet plans for small snapshots.

use super::{plan_fleet, FleetSnapshot, Offer, RentRequest};
use crate::{ClusterSnapshot, JobSnapshot, MachineSnapshot, Resources, TeamSnapshot};

/// Guards against two faults in the plan for a gang that must stay in one zone: capacity spread over two zones counted
/// as sufficient, and machines were rented in a zone that its tasks on machines ruled out.
#[test]
fn machines_for_a_single_zone_gang_are_rented_in_its_zone() {
    let total = Resources {
        cpus: 32.0,
        gpus: 4.0,
        memory_gb: 256.0,
    };
    let machine = |zone| MachineSnapshot {
        machine_type: 0,
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
        task_resources: total,
        machine_types: None,
        required_zone: None,
        one_zone: true,
        max_per_zone: None,
        tasks_by_zone: vec![],
        spot_allowed: false,
        uncheckpointed: false,
        image: 0,
        waiting_tasks: vec![0, 1],
        pilots_due: 0,
        sampling: false,
        queue: 0,
        order: 0,
        assigned_tasks: 0,
        avoided_machines: vec![],
        reserved_machines: vec![],
        urgent: false,
        backed_off: false,
        may_claim_limit: true,
        has_objective: true,
    };
    let offer = |zone| Offer {
        machine_type: 0,
        zone,
        spot: false,
        total,
        price_per_hour: 1.0,
        available: true,
    };
    let fleet = FleetSnapshot {
        offers: vec![offer(0), offer(1)],
        expected_by_offer: vec![0, 0],
        minimizes_cost: true,
        horizon_s: 0.0,
    };
    let snapshot = |job: &JobSnapshot, machines| ClusterSnapshot {
        machines,
        teams: vec![TeamSnapshot::default()],
        jobs: vec![job.clone()],
        running_tasks: vec![],
    };
    let plan_for_two_tasks = plan_fleet(&snapshot(&job, vec![machine(0), machine(1)]), &fleet);
    assert_eq!(plan_for_two_tasks, vec![RentRequest { offer: 0, count: 1 }]);
    job.tasks_by_zone = vec![(1, 1)];
    job.waiting_tasks = vec![1];
    let plan_for_one_task = plan_fleet(&snapshot(&job, vec![machine(0)]), &fleet);
    assert_eq!(plan_for_one_task, vec![RentRequest { offer: 1, count: 1 }]);
}

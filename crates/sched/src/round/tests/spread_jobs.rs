//! Room for jobs of which at most so many tasks may be in one zone.

use super::*;

/// A gang of two tasks of a whole machine each, in different zones.
fn spread_gang(order: u64) -> JobSnapshot {
    JobSnapshot {
        max_per_zone: Some(1),
        ..job(order, true, 2, 4.0)
    }
}

/// A machine whose tasks end in `busy_s` seconds.
fn busy_machine(zone: usize, busy_s: f64) -> MachineSnapshot {
    let mut busy = machine(zone, 4.0);
    (busy.free.gpus, busy.free_after_stops.gpus) = (0.0, 0.0);
    busy.busy_s = busy_s;
    busy
}

fn snapshot_of(machines: Vec<MachineSnapshot>, jobs: Vec<JobSnapshot>) -> ClusterSnapshot {
    ClusterSnapshot {
        machines,
        teams: vec![TeamSnapshot::default()],
        jobs,
        running_tasks: vec![],
    }
}

fn reservations_of(decisions: &[Decision], job: usize) -> Vec<usize> {
    let machines_of = |decision: &Decision| match decision {
        Decision::Reserve { job: j, machines } if *j == job => machines.clone(),
        _ => Vec::new(),
    };
    decisions.iter().flat_map(machines_of).collect()
}

/// A running task of the job with the number 1 that takes all GPUs of its machine.
fn low_priority_task(machine: usize) -> RunningTask {
    RunningTask {
        job: 1,
        number: machine as u32,
        machine,
        team: 0,
        priority: 0,
        resources: Resources {
            cpus: 1.0,
            gpus: 4.0,
            memory_gb: 1.0,
        },
        remaining_s: 50.0,
        preemptible: true,
        preemption_cost_s: 1.0,
    }
}

fn preemption_count(decisions: &[Decision]) -> usize {
    let is_preemption = |decision: &&Decision| matches!(decision, Decision::Preempt { .. });
    decisions.iter().filter(is_preemption).count()
}

/// Guards against a gang that reserved idle machines of one zone, in which it can't be placed, and closed them to all
/// other jobs.
#[test]
fn a_spread_gang_reserves_no_machines_where_it_cannot_be_placed() {
    let machines = vec![machine(0, 4.0), machine(0, 4.0)];
    let small = job(2, false, 8, 1.0);
    let decisions = decide(snapshot_of(machines, vec![spread_gang(1), small]));
    assert_eq!(reservations_of(&decisions, 0), Vec::<usize>::new());
    assert_eq!(placements_of(&decisions, 1).len(), 8);
}

#[test]
fn a_spread_gang_reserves_machines_in_as_many_zones_as_it_needs() {
    let machines = vec![
        busy_machine(0, 10.0),
        busy_machine(0, 20.0),
        busy_machine(1, 50.0),
    ];
    let decisions = decide(snapshot_of(machines, vec![spread_gang(1)]));
    assert_eq!(reservations_of(&decisions, 0), vec![0, 2]);
}

/// A reservation from an earlier round counts in its zone.
#[test]
fn a_spread_gang_adds_machines_in_other_zones_to_those_that_it_holds() {
    let mut gang = spread_gang(1);
    gang.reserved_machines = vec![1];
    let machines = vec![
        busy_machine(0, 10.0),
        busy_machine(0, 20.0),
        busy_machine(1, 50.0),
    ];
    let decisions = decide(snapshot_of(machines, vec![gang]));
    assert_eq!(reservations_of(&decisions, 0), vec![1, 2]);
}

/// Guards against tasks that were stopped for a gang although it could not be placed in their zone.
#[test]
fn nothing_is_preempted_for_a_spread_gang_in_a_single_zone() {
    let gang = |zones: [usize; 2]| {
        let mut gang = spread_gang(1);
        gang.priority = 3;
        let mut snapshot = snapshot_of(
            zones.map(|zone| busy_machine(zone, 50.0)).to_vec(),
            vec![gang, job(2, false, 0, 4.0)],
        );
        snapshot.running_tasks = vec![low_priority_task(0), low_priority_task(1)];
        snapshot
    };
    let preempted = |snapshot: ClusterSnapshot| preemption_count(&decide(snapshot));
    assert_eq!(preempted(gang([0, 0])), 0);
    assert_eq!(preempted(gang([0, 1])), 2);
}

/// Guards against a spread array that waited for a task to end on a machine in a zone that it has used up, instead of
/// having a task stopped elsewhere.
#[test]
fn a_spread_array_does_not_wait_for_room_in_a_full_zone() {
    let mut draining = busy_machine(0, 1.0);
    draining.free_after_stops.gpus = 4.0;
    let array = JobSnapshot {
        priority: 3,
        max_per_zone: Some(1),
        tasks_by_zone: vec![(0, 1)],
        ..job(1, false, 1, 4.0)
    };
    let machines = vec![draining, busy_machine(1, 50.0)];
    let mut snapshot = snapshot_of(machines, vec![array, job(2, false, 0, 4.0)]);
    snapshot.running_tasks = vec![low_priority_task(1)];
    assert_eq!(preemption_count(&decide(snapshot)), 1);
}

//! Decisions of a round over small snapshots.

mod spread_jobs;

use super::{Decision, Round};
use crate::{
    ClusterSnapshot, JobSnapshot, MachineSnapshot, Policy, ResourceBounds, Resources, RunningTask,
    TeamSnapshot, UNKNOWN_ZONE,
};

fn bounds(cpus: f64, gpus: f64) -> ResourceBounds {
    ResourceBounds::from_settings(cpus, gpus)
}

fn machine(zone: usize, gpus: f64) -> MachineSnapshot {
    let total = Resources {
        cpus: 32.0,
        gpus,
        memory_gb: 256.0,
    };
    MachineSnapshot {
        machine_type: 0,
        zone,
        spot: false,
        free: total,
        free_after_stops: total,
        total,
        usable: true,
        free_slots: 400,
        pilots: 0,
        slow: false,
        images: vec![0],
        busy_s: 0.0,
        dispatch_delay_s: 0.0,
        ready_in_s: None,
    }
}

fn job(order: u64, gang: bool, tasks: u32, gpus: f64) -> JobSnapshot {
    JobSnapshot {
        team: 0,
        gang,
        service: false,
        priority: 1,
        task_resources: Resources {
            cpus: 1.0,
            gpus,
            memory_gb: 1.0,
        },
        machine_types: None,
        required_zone: None,
        one_zone: false,
        max_per_zone: None,
        tasks_by_zone: vec![],
        spot_allowed: true,
        uncheckpointed: false,
        image: 0,
        waiting_tasks: (0..tasks).collect(),
        pilots_due: 0,
        sampling: false,
        queue: 0,
        order,
        assigned_tasks: 0,
        avoided_machines: vec![],
        reserved_machines: vec![],
        urgent: false,
        backed_off: false,
        may_claim_limit: true,
        has_objective: true,
    }
}

fn decide(snapshot: ClusterSnapshot) -> Vec<Decision> {
    let policy = Policy::default();
    Round::new(&policy, snapshot).run(|| true).decisions
}

fn placements_of(decisions: &[Decision], job: usize) -> Vec<(u32, usize)> {
    let mut out = Vec::new();
    for d in decisions {
        if let Decision::Place { job: j, tasks, .. } = d {
            if *j == job {
                out.extend(tasks.iter().copied());
            }
        }
    }
    out
}

#[test]
fn pilots_go_first_to_machines_with_fewest_pilots_and_deferred_tasks_get_idle_capacity_last() {
    let mut sampled = job(5, false, 8, 1.0);
    sampled.pilots_due = 1;
    sampled.sampling = true;
    let estimated = job(9, false, 6, 1.0);
    let mut busy = machine(0, 4.0);
    busy.pilots = 1;
    let snapshot = ClusterSnapshot {
        machines: vec![busy, machine(0, 4.0)],
        teams: vec![TeamSnapshot::default()],
        jobs: vec![sampled, estimated],
        running_tasks: vec![],
    };
    let d = decide(snapshot);
    assert_eq!(
        placements_of(&d, 0)[0],
        (0, 1),
        "the pilot goes first, to the machine without a pilot"
    );
    assert!(matches!(d[0], Decision::Place { pilots: true, .. }));
    assert_eq!(
        placements_of(&d, 1).len(),
        6,
        "the estimated job comes next"
    );
    assert_eq!(
        placements_of(&d, 0).len(),
        2,
        "one deferred task uses the remaining capacity"
    );
}

#[test]
fn queues_share_capacity_by_weight_and_are_fifo_within() {
    let small_late = job(9, false, 20, 1.0);
    let small_early = job(2, false, 20, 1.0);
    let mut large = job(1, false, 20, 1.0);
    large.queue = 1;
    let snapshot = ClusterSnapshot {
        machines: vec![machine(0, 22.0)],
        teams: vec![TeamSnapshot::default()],
        jobs: vec![small_late, small_early, large],
        running_tasks: vec![],
    };
    let d = decide(snapshot);
    let counts = [0, 1, 2].map(|j| placements_of(&d, j).len());
    assert_eq!(
        counts,
        [0, 20, 2],
        "the queues share ten to one, the earlier job first"
    );
}

#[test]
fn a_single_zone_gang_is_placed_whole_and_a_gang_limited_per_zone_is_not_placed_in_part() {
    let mut single_zone = job(1, true, 2, 4.0);
    single_zone.one_zone = true;
    let mut spread = job(2, true, 3, 4.0);
    spread.max_per_zone = Some(2);
    let snapshot = ClusterSnapshot {
        machines: vec![
            machine(0, 4.0),
            machine(1, 4.0),
            machine(1, 4.0),
            machine(2, 4.0),
        ],
        teams: vec![TeamSnapshot::default()],
        jobs: vec![single_zone, spread],
        running_tasks: vec![],
    };
    let d = decide(snapshot);
    assert_eq!(placements_of(&d, 0), vec![(0, 1), (1, 2)]);
    assert!(
        placements_of(&d, 1).is_empty(),
        "the remaining two machines cannot hold a gang of 3"
    );
}

#[test]
fn tasks_of_earlier_attempts_still_on_machines_determine_the_zone_of_a_gang() {
    let mut gang = job(1, true, 1, 4.0);
    gang.one_zone = true;
    gang.tasks_by_zone = vec![(1, 1)];
    let snapshot = ClusterSnapshot {
        machines: vec![machine(0, 4.0)],
        teams: vec![TeamSnapshot::default()],
        jobs: vec![gang],
        running_tasks: vec![],
    };
    assert!(decide(snapshot).is_empty());
}

#[test]
fn limits_are_enforced_and_a_guarantee_reclaims_borrowed_capacity() {
    let lender = TeamSnapshot {
        guarantee: bounds(0.0, 4.0),
        limit: bounds(0.0, 4.0),
        used: Resources::default(),
        stopping: Resources::default(),
    };
    let borrower = TeamSnapshot {
        guarantee: bounds(0.0, 2.0),
        limit: bounds(0.0, 8.0),
        used: Resources {
            cpus: 4.0,
            gpus: 4.0,
            memory_gb: 4.0,
        },
        stopping: Resources::default(),
    };
    let mut full = machine(0, 4.0);
    full.free.gpus = 0.0;
    full.free_after_stops.gpus = 0.0;
    let mut theirs = job(1, false, 0, 1.0);
    theirs.team = 1;
    let running = (0..4)
        .map(|task| RunningTask {
            job: 1,
            number: task,
            machine: 0,
            team: 1,
            priority: 1,
            resources: theirs.task_resources,
            preemptible: true,
            preemption_cost_s: f64::from(task),
            remaining_s: 60.0,
        })
        .collect();
    let snapshot = ClusterSnapshot {
        machines: vec![full],
        teams: vec![lender, borrower],
        jobs: vec![job(3, false, 6, 1.0), theirs],
        running_tasks: running,
    };
    let mut stops = Vec::new();
    // Each round makes room for one task. The borrowing team keeps its own guarantee of 2 GPUs.
    let mut snapshot = snapshot;
    for _ in 0..4 {
        let d = decide(snapshot.clone());
        for decision in d {
            if let Decision::Preempt { job, task, by } = decision {
                assert_eq!((job, by), (1, 0));
                stops.push(task);
                let victim = snapshot.running_tasks.iter_mut().find(|r| r.number == task);
                let victim = victim.expect("running");
                victim.preemptible = false;
                let resources = victim.resources;
                snapshot.teams[1].used.sub(&resources);
                snapshot.teams[0].used.add(&resources);
                snapshot.jobs[0].waiting_tasks.remove(0);
            }
        }
    }
    assert_eq!(stops, vec![0, 1]);
    let mut limited = ClusterSnapshot {
        machines: vec![machine(0, 32.0)],
        teams: vec![TeamSnapshot {
            guarantee: bounds(0.0, 0.0),
            limit: bounds(0.0, 3.0),
            used: Resources::default(),
            stopping: Resources::default(),
        }],
        jobs: vec![job(1, false, 9, 1.0)],
        running_tasks: vec![],
    };
    assert_eq!(placements_of(&decide(limited.clone()), 0).len(), 3);
    limited.teams[0].used.gpus = 3.0;
    assert!(decide(limited).is_empty());
}

/// Guards against a team exceeding its limit while a preempted task saves its checkpoint: the resources of a task being
/// stopped are still in use. Seen in a simulated day.
#[test]
fn tasks_being_stopped_still_count_against_the_limit() {
    let res = |gpus: f64| Resources {
        cpus: gpus,
        gpus,
        memory_gb: gpus,
    };
    let owner = TeamSnapshot {
        guarantee: bounds(0.0, 4.0),
        ..TeamSnapshot::default()
    };
    let at_limit = TeamSnapshot {
        guarantee: bounds(0.0, 1.0),
        limit: bounds(0.0, 4.0),
        used: res(4.0),
        stopping: Resources::default(),
    };
    let mut full = machine(0, 4.0);
    full.free = Resources::default();
    full.free_after_stops = Resources::default();
    let mut elsewhere = machine(1, 4.0);
    elsewhere.machine_type = 1;
    let mut wants_room = job(1, false, 1, 1.0);
    wants_room.machine_types = Some(vec![0]);
    let mut wants_more = job(2, false, 1, 1.0);
    wants_more.team = 1;
    let running = vec![RunningTask {
        job: 1,
        number: 9,
        machine: 0,
        team: 1,
        priority: 1,
        resources: res(1.0),
        preemptible: true,
        preemption_cost_s: 0.0,
        remaining_s: 60.0,
    }];
    let d = decide(ClusterSnapshot {
        machines: vec![full, elsewhere],
        teams: vec![owner, at_limit],
        jobs: vec![wants_room, wants_more],
        running_tasks: running,
    });
    let stop = Decision::Preempt {
        job: 1,
        task: 9,
        by: 0,
    };
    assert_eq!(
        d,
        vec![stop],
        "the team of the preempted task gets nothing new"
    );
}

/// Guards against gangs that wait for minutes because small tasks fill every machine that drains for them. Seen in a
/// simulated day.
#[test]
fn a_gang_keeps_its_reservation_of_a_draining_machine() {
    let mut draining = machine(0, 4.0);
    draining.free.gpus = 2.0;
    draining.free_after_stops.gpus = 2.0;
    draining.busy_s = 9.0;
    let mut full = machine(0, 4.0);
    full.free.gpus = 0.0;
    full.free_after_stops.gpus = 0.0;
    full.busy_s = 5.0;
    let mut waiting = job(1, true, 1, 4.0);
    waiting.reserved_machines = vec![0];
    let snapshot = ClusterSnapshot {
        machines: vec![draining, full],
        teams: vec![TeamSnapshot::default()],
        jobs: vec![waiting, job(2, false, 8, 1.0)],
        running_tasks: vec![],
    };
    let reserve = Decision::Reserve {
        job: 0,
        machines: vec![0],
    };
    assert_eq!(decide(snapshot), vec![reserve]);
}

#[test]
fn a_round_that_runs_out_of_time_keeps_its_decisions() {
    let policy = Policy::default();
    let snapshot = ClusterSnapshot {
        machines: vec![machine(0, 32.0)],
        teams: vec![TeamSnapshot::default()],
        jobs: vec![job(1, false, 9, 1.0)],
        running_tasks: vec![],
    };
    let mut steps = 0;
    let cut = Round::new(&policy, snapshot).run(|| {
        steps += 1;
        steps <= 4
    });
    assert_eq!(
        (placements_of(&cut.decisions, 0).len(), cut.finished),
        (4, false)
    );
}

/// Guards against idle reservations: each of many large gangs held most of the machines that it needed, and a quarter
/// of the fleet stayed idle.
#[test]
fn a_gang_takes_over_machines_reserved_for_gangs_that_rank_behind_it() {
    let (mut first, mut second) = (job(1, true, 2, 4.0), job(2, true, 2, 4.0));
    first.reserved_machines = vec![0, 2];
    second.reserved_machines = vec![1, 3];
    let mut booting = machine(0, 4.0);
    booting.usable = false;
    booting.ready_in_s = Some(5.0);
    let snapshot = ClusterSnapshot {
        machines: vec![machine(0, 4.0), machine(0, 4.0), booting.clone(), booting],
        teams: vec![TeamSnapshot::default()],
        jobs: vec![first, second],
        running_tasks: vec![],
    };
    let d = decide(snapshot);
    assert_eq!(placements_of(&d, 0), vec![(0, 0), (1, 1)]);
    assert!(placements_of(&d, 1).is_empty());
    let reserves =
        |d: &Decision| matches!(d, Decision::Reserve { job: 1, machines } if machines == &[2, 3]);
    assert!(
        d.iter().any(reserves),
        "the other gang reserves the booting machines"
    );
}

/// Guards against starvation of a gang whose team is at its limit: gangs waited nine minutes while sweeps of the same
/// team used all capacity that became free.
#[test]
fn the_part_of_its_teams_limit_that_a_waiting_gang_needs_is_set_aside() {
    let snapshot = |used: f64| {
        let mut team = TeamSnapshot {
            limit: bounds(0.0, 8.0),
            ..TeamSnapshot::default()
        };
        team.used.gpus = used;
        ClusterSnapshot {
            machines: vec![machine(0, 16.0)],
            teams: vec![team],
            jobs: vec![job(1, true, 1, 4.0), job(2, false, 10, 1.0)],
            running_tasks: vec![],
        }
    };
    let full = decide(snapshot(6.0));
    assert!(placements_of(&full, 0).is_empty() && placements_of(&full, 1).is_empty());
    let room = decide(snapshot(3.0));
    assert_eq!(
        (placements_of(&room, 0).len(), placements_of(&room, 1).len()),
        (1, 1)
    );
    // If long-running tasks, such as those of another gang, exhaust the limit in any case, nothing is set aside and
    // other tasks are placed.
    let mut lasting = snapshot(6.0);
    lasting.running_tasks = vec![RunningTask {
        job: 0,
        number: 9,
        machine: 0,
        team: 0,
        priority: 1,
        resources: Resources {
            cpus: 1.0,
            gpus: 6.0,
            memory_gb: 1.0,
        },
        preemptible: false,
        preemption_cost_s: 0.0,
        remaining_s: 400.0,
    }];
    assert_eq!(placements_of(&decide(lasting), 1).len(), 2);
}

/// Guards against late pipelines: of a stage with hundreds of tasks without checkpoints, some were always lost with
/// spot machines.
#[test]
fn tasks_without_checkpoints_prefer_on_demand_machines_with_gpu_work_to_spot_machines() {
    let spot = MachineSnapshot {
        spot: true,
        ..machine(0, 4.0)
    };
    let mut busy = machine(0, 4.0);
    busy.images.clear();
    busy.free = Resources {
        cpus: 2.0,
        gpus: 0.0,
        memory_gb: 50.0,
    };
    let mut uncheckpointed = job(1, false, 4, 0.0);
    uncheckpointed.uncheckpointed = true;
    let snapshot = ClusterSnapshot {
        machines: vec![machine(0, 4.0), spot, busy],
        teams: vec![TeamSnapshot::default()],
        jobs: vec![uncheckpointed],
        running_tasks: vec![],
    };
    let on: Vec<usize> = placements_of(&decide(snapshot), 0)
        .iter()
        .map(|(_, m)| *m)
        .collect();
    assert_eq!(
        on,
        [2, 2, 1, 1],
        "the idle on-demand machine is the last choice, since it may be returned"
    );
}

/// A new leader may not know yet in which zone some of a job's tasks are. They may be in any zone.
#[test]
fn tasks_in_an_unknown_zone_count_against_the_maximum_of_every_zone() {
    let mut spread = job(1, false, 4, 1.0);
    spread.max_per_zone = Some(3);
    spread.tasks_by_zone = vec![(UNKNOWN_ZONE, 2), (0, 1)];
    let snapshot = ClusterSnapshot {
        machines: vec![machine(0, 4.0), machine(1, 4.0)],
        teams: vec![TeamSnapshot::default()],
        jobs: vec![spread],
        running_tasks: vec![],
    };
    assert_eq!(
        placements_of(&decide(snapshot), 0),
        vec![(0, 1)],
        "no task is placed in zone 0"
    );
}

/// Guards against two faults. A gang larger than its team's guarantee ranks behind all work within the guarantee, so
/// that small tasks of the team kept using the capacity that the gang waited for. Tasks without GPUs were held back
/// although the gang did not need their capacity.
#[test]
fn a_gang_beyond_the_guarantee_holds_back_only_tasks_of_its_team_that_use_resources_it_needs() {
    let snapshot = |may_claim: bool| {
        let mut gang = job(1, true, 3, 4.0);
        gang.priority = 2;
        gang.may_claim_limit = may_claim;
        let small = job(2, false, 3, 1.0);
        let without_gpu = job(3, false, 3, 0.0);
        let team = TeamSnapshot {
            guarantee: bounds(0.0, 9.0),
            limit: bounds(0.0, 18.0),
            used: Resources {
                cpus: 8.0,
                gpus: 8.0,
                memory_gb: 8.0,
            },
            ..TeamSnapshot::default()
        };
        ClusterSnapshot {
            machines: vec![machine(0, 4.0), machine(0, 4.0), machine(0, 4.0)],
            teams: vec![team],
            jobs: vec![gang, small, without_gpu],
            running_tasks: vec![],
        }
    };
    let counts = |snapshot: ClusterSnapshot| {
        let d = decide(snapshot);
        [0, 1, 2].map(|j| placements_of(&d, j).len())
    };
    assert_eq!(counts(snapshot(true)), [0, 0, 3]);
    assert_eq!(
        counts(snapshot(false)),
        [0, 3, 3],
        "without a claim, other tasks are placed"
    );
}

/// Guards against deferred tasks of jobs without an objective that, ordered by arrival, were placed before those of
/// every sweep with a deadline.
#[test]
fn deferred_tasks_of_jobs_without_an_objective_are_placed_after_those_with_one() {
    let mut no_objective = job(1, false, 8, 1.0);
    (no_objective.sampling, no_objective.has_objective) = (true, false);
    let mut sweep = job(50, false, 3, 1.0);
    sweep.sampling = true;
    let snapshot = ClusterSnapshot {
        machines: vec![machine(0, 4.0)],
        teams: vec![TeamSnapshot::default()],
        jobs: vec![no_objective, sweep],
        running_tasks: vec![],
    };
    let d = decide(snapshot);
    assert_eq!([0, 1].map(|j| placements_of(&d, j).len()), [1, 3]);
}

//! Small snapshots, and the decisions of a round over them.

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
        kind: 0,
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
        task: Resources {
            cpus: 1.0,
            gpus,
            memory_gb: 1.0,
        },
        kinds: None,
        zone: None,
        one_zone: false,
        max_per_zone: None,
        tasks_by_zone: vec![],
        spot: true,
        uncheckpointed: false,
        image: 0,
        waiting: (0..tasks).collect(),
        pilots_due: 0,
        sampling: false,
        queue: 0,
        order,
        running: 0,
        avoid: vec![],
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
fn pilots_go_first_where_fewest_pilots_run_and_deferred_tasks_get_idle_room_last() {
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
        running: vec![],
    };
    let d = decide(snapshot);
    assert_eq!(
        placements_of(&d, 0)[0],
        (0, 1),
        "the pilot, on the machine without one"
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
        "one deferred task takes what is left"
    );
}

#[test]
fn queues_share_by_weight_and_are_fifo_inside() {
    let small_late = job(9, false, 20, 1.0);
    let small_early = job(2, false, 20, 1.0);
    let mut large = job(1, false, 20, 1.0);
    large.queue = 1;
    let snapshot = ClusterSnapshot {
        machines: vec![machine(0, 22.0)],
        teams: vec![TeamSnapshot::default()],
        jobs: vec![small_late, small_early, large],
        running: vec![],
    };
    let d = decide(snapshot);
    let counts = [0, 1, 2].map(|j| placements_of(&d, j).len());
    assert_eq!(counts, [0, 20, 2], "ten to one, the earlier job first");
}

#[test]
fn gangs_start_whole_in_one_zone_and_spread_ones_stay_under_half() {
    let mut together = job(1, true, 2, 4.0);
    together.one_zone = true;
    let mut apart = job(2, true, 3, 4.0);
    apart.max_per_zone = Some(2);
    let snapshot = ClusterSnapshot {
        machines: vec![
            machine(0, 4.0),
            machine(1, 4.0),
            machine(1, 4.0),
            machine(2, 4.0),
        ],
        teams: vec![TeamSnapshot::default()],
        jobs: vec![together, apart],
        running: vec![],
    };
    let d = decide(snapshot);
    assert_eq!(placements_of(&d, 0), vec![(0, 1), (1, 2)]);
    assert!(
        placements_of(&d, 1).is_empty(),
        "two machines hold no gang of 3"
    );
}

#[test]
fn old_attempts_still_on_machines_bind_the_zone() {
    let mut gang = job(1, true, 1, 4.0);
    gang.one_zone = true;
    gang.tasks_by_zone = vec![(1, 1)];
    let snapshot = ClusterSnapshot {
        machines: vec![machine(0, 4.0)],
        teams: vec![TeamSnapshot::default()],
        jobs: vec![gang],
        running: vec![],
    };
    assert!(decide(snapshot).is_empty());
}

#[test]
fn a_limit_holds_and_a_guarantee_takes_back_what_was_lent() {
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
            task,
            machine: 0,
            team: 1,
            priority: 1,
            resources: theirs.task,
            preemptible: true,
            cost_s: f64::from(task),
            remaining_s: 60.0,
        })
        .collect();
    let snapshot = ClusterSnapshot {
        machines: vec![full],
        teams: vec![lender, borrower],
        jobs: vec![job(3, false, 6, 1.0), theirs],
        running,
    };
    let mut stops = Vec::new();
    // Each round makes room for one task; the borrower keeps its own guarantee of 2.
    let mut snapshot = snapshot;
    for _ in 0..4 {
        let d = decide(snapshot.clone());
        for x in d {
            if let Decision::Stop { job, task, by } = x {
                assert_eq!((job, by), (1, 0));
                stops.push(task);
                let v = snapshot.running.iter_mut().find(|r| r.task == task);
                let v = v.expect("running");
                v.preemptible = false;
                let res = v.resources;
                snapshot.teams[1].used.sub(&res);
                snapshot.teams[0].used.add(&res);
                snapshot.jobs[0].waiting.remove(0);
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
        running: vec![],
    };
    assert_eq!(placements_of(&decide(limited.clone()), 0).len(), 3);
    limited.teams[0].used.gpus = 3.0;
    assert!(decide(limited).is_empty());
}

/// Found on a simulated day: a team over its limit for the seconds that a preempted task took to save.
#[test]
fn room_that_is_being_vacated_still_counts_against_the_limit() {
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
    elsewhere.kind = 1;
    let mut wants_room = job(1, false, 1, 1.0);
    wants_room.kinds = Some(vec![0]);
    let mut wants_more = job(2, false, 1, 1.0);
    wants_more.team = 1;
    let running = vec![RunningTask {
        job: 1,
        task: 9,
        machine: 0,
        team: 1,
        priority: 1,
        resources: res(1.0),
        preemptible: true,
        cost_s: 0.0,
        remaining_s: 60.0,
    }];
    let d = decide(ClusterSnapshot {
        machines: vec![full, elsewhere],
        teams: vec![owner, at_limit],
        jobs: vec![wants_room, wants_more],
        running,
    });
    let stop = Decision::Stop {
        job: 1,
        task: 9,
        by: 0,
    };
    assert_eq!(d, vec![stop], "and nothing new for the team that gives way");
}

/// Found on a simulated day: gangs waited for minutes while small tasks refilled every machine that had
/// begun to empty for them.
#[test]
fn a_gang_reserves_the_machine_that_empties_for_it() {
    let mut emptying = machine(0, 4.0);
    emptying.free.gpus = 2.0;
    emptying.free_after_stops.gpus = 2.0;
    emptying.busy_s = 9.0;
    let mut full = machine(0, 4.0);
    full.free.gpus = 0.0;
    full.free_after_stops.gpus = 0.0;
    full.busy_s = 5.0;
    let mut waiting = job(1, true, 1, 4.0);
    waiting.reserved_machines = vec![0];
    let snapshot = ClusterSnapshot {
        machines: vec![emptying, full],
        teams: vec![TeamSnapshot::default()],
        jobs: vec![waiting, job(2, false, 8, 1.0)],
        running: vec![],
    };
    let reserve = Decision::Reserve {
        job: 0,
        machines: vec![0],
    };
    assert_eq!(decide(snapshot), vec![reserve]);
}

#[test]
fn a_round_cut_short_keeps_what_it_decided() {
    let policy = Policy::default();
    let snapshot = ClusterSnapshot {
        machines: vec![machine(0, 32.0)],
        teams: vec![TeamSnapshot::default()],
        jobs: vec![job(1, false, 9, 1.0)],
        running: vec![],
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

/// Each of many large gangs sat on most of what it needed, a quarter of a fleet idle between them.
#[test]
fn a_gang_takes_over_machines_reserved_by_gangs_that_rank_behind_it() {
    let (mut first, mut second) = (job(1, true, 2, 4.0), job(2, true, 2, 4.0));
    first.reserved_machines = vec![0, 2];
    second.reserved_machines = vec![1, 3];
    let mut coming = machine(0, 4.0);
    coming.usable = false;
    coming.ready_in_s = Some(5.0);
    let snapshot = ClusterSnapshot {
        machines: vec![machine(0, 4.0), machine(0, 4.0), coming.clone(), coming],
        teams: vec![TeamSnapshot::default()],
        jobs: vec![first, second],
        running: vec![],
    };
    let d = decide(snapshot);
    assert_eq!(placements_of(&d, 0), vec![(0, 0), (1, 1)]);
    assert!(placements_of(&d, 1).is_empty());
    let reserves =
        |d: &Decision| matches!(d, Decision::Reserve { job: 1, machines } if machines == &[2, 3]);
    assert!(d.iter().any(reserves), "the other waits for what is coming");
}

/// Gangs of a team at its limit waited nine minutes, as long as its sweeps took each place that became free.
#[test]
fn a_gang_kept_out_by_its_teams_limit_is_left_what_it_needs() {
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
            running: vec![],
        }
    };
    let full = decide(snapshot(6.0));
    assert!(placements_of(&full, 0).is_empty() && placements_of(&full, 1).is_empty());
    let room = decide(snapshot(3.0));
    assert_eq!(
        (placements_of(&room, 0).len(), placements_of(&room, 1).len()),
        (1, 1)
    );
    // Where another gang keeps it out for long, the rest is not held back.
    let mut lasting = snapshot(6.0);
    lasting.running = vec![RunningTask {
        job: 0,
        task: 9,
        machine: 0,
        team: 0,
        priority: 1,
        resources: Resources {
            cpus: 1.0,
            gpus: 6.0,
            memory_gb: 1.0,
        },
        preemptible: false,
        cost_s: 0.0,
        remaining_s: 400.0,
    }];
    assert_eq!(placements_of(&decide(lasting), 1).len(), 2);
}

/// Of a stage with hundreds of tasks some were always lost with spot machines, and the pipeline was late.
#[test]
fn tasks_that_never_save_go_beside_gpu_work_on_ordinary_machines_before_spot_ones() {
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
        running: vec![],
    };
    let on: Vec<usize> = placements_of(&decide(snapshot), 0)
        .iter()
        .map(|(_, m)| *m)
        .collect();
    assert_eq!(
        on,
        [2, 2, 1, 1],
        "an idle ordinary machine last: it may go back"
    );
}

/// A new leader does not know yet in which zone some of a job's tasks are: they may be in any.
#[test]
fn what_is_in_an_unknown_zone_counts_in_every_zone_where_only_half_may_be() {
    let mut spread = job(1, false, 4, 1.0);
    spread.max_per_zone = Some(3);
    spread.tasks_by_zone = vec![(UNKNOWN_ZONE, 2), (0, 1)];
    let snapshot = ClusterSnapshot {
        machines: vec![machine(0, 4.0), machine(1, 4.0)],
        teams: vec![TeamSnapshot::default()],
        jobs: vec![spread],
        running: vec![],
    };
    assert_eq!(
        placements_of(&decide(snapshot), 0),
        vec![(0, 1)],
        "none in zone 0"
    );
}

/// A gang larger than its team's guarantee ranks behind all that fits into it: small work of the team went on taking
/// what the gang waited for, while tasks without GPUs were kept out for its sake.
#[test]
fn a_gang_beyond_the_guarantee_goes_before_smaller_work_of_its_team_and_keeps_out_only_what_it_needs(
) {
    let snapshot = |may_claim: bool| {
        let mut gang = job(1, true, 3, 4.0);
        gang.priority = 2;
        gang.may_claim_limit = may_claim;
        let small = job(2, false, 3, 1.0);
        let plain = job(3, false, 3, 0.0);
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
            jobs: vec![gang, small, plain],
            running: vec![],
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
        "for a while others go on"
    );
}

/// Deferred tasks of work that nobody waits for went by arrival, before those of every sweep with a deadline.
#[test]
fn held_tasks_of_work_without_an_aim_get_idle_room_after_those_with_one() {
    let mut idle_time = job(1, false, 8, 1.0);
    (idle_time.sampling, idle_time.has_objective) = (true, false);
    let mut sweep = job(50, false, 3, 1.0);
    sweep.sampling = true;
    let snapshot = ClusterSnapshot {
        machines: vec![machine(0, 4.0)],
        teams: vec![TeamSnapshot::default()],
        jobs: vec![idle_time, sweep],
        running: vec![],
    };
    let d = decide(snapshot);
    assert_eq!([0, 1].map(|j| placements_of(&d, j).len()), [1, 3]);
}

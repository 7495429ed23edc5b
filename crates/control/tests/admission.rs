//! Which submissions are refused because they can never run, which node decides it, and on what knowledge.

mod common;

use common::*;
use fakes::{array_job, gang_job, machine_type, ConnectionFault, Party, World, MACHINE_TYPE};
use wire::users::{Phase, Submission};

/// A machine type besides [`MACHINE_TYPE`], with the same resources.
const OTHER_TYPE: &str = "g5";
/// Time in milliseconds within which every accepted job of these tests completes.
const COMPLETION_MS: u64 = 60_000;
/// Milliseconds after which every node has read the machine types again.
const REREAD_MS: u64 = 130_000;

/// A gang of tasks that take a whole machine each, of which at most half may be in one zone.
fn spread_gang(id: &str, tasks: u64) -> Submission {
    Submission {
        one_zone: false,
        spread: true,
        ..gang_job(id, tasks)
    }
}

/// Starts three controllers with three machines in each of these zones. The cloud lists [`MACHINE_TYPE`] there.
fn start_in_zones(zones: &[&str]) -> World {
    let mut world = World::new(3, |node| settings(node, 3, 0.0));
    world.machine_types = vec![machine_type(MACHINE_TYPE, zones)];
    for (number, zone) in [zones; 3].concat().into_iter().enumerate() {
        world.add_machine(&format!("vm-{number:06}"), zone);
    }
    assert!(world.run_until(6_000, |world| world.leader().is_some()));
    world.run_for(4_000);
    world
}

/// Submits a job as a user does: after a refusal for now, again a second later, up to 60 s in total.
fn submit_with_retries(world: &mut World, node: usize, job: &Submission) -> u16 {
    let gang_size = match job.shape {
        wire::users::Shape::Gang => job.tasks as u32,
        _ => 0,
    };
    let behaviour = fakes::TaskBehaviour {
        gang_size,
        ..runs_for(500)
    };
    for _ in 0..60 {
        let status = world.submit(node, job, behaviour);
        if !matches!(status, 0 | 429 | 503) {
            return status;
        }
        world.run_for(1_000);
    }
    503
}

/// Guards against a gang that was accepted and stayed queued for good: its tasks must not all be in one zone, and the
/// cloud offers machines in one zone only.
#[test]
fn a_gang_that_needs_two_zones_is_refused_where_there_is_one() {
    let mut world = start_in_zones(&["a"]);
    for node in 0..3 {
        let refused = spread_gang(&format!("run-{node}"), 2);
        assert_eq!(submit_with_retries(&mut world, node, &refused), 422);
        assert_eq!(world.phase(node, &refused.id), None);
    }
    assert_no_violations(&world);
}

/// Every combination of constraints on zones, in deployments of one and of two zones: a job is refused exactly if no
/// placement of its tasks exists, and every accepted job completes.
#[test]
fn a_job_is_accepted_exactly_if_its_tasks_have_a_placement() {
    for zones in [&["a"][..], &["a", "b"]] {
        let mut world = start_in_zones(zones);
        let mut accepted = Vec::new();
        for number in 0..48 {
            let job = constrained_job(number);
            let status = submit_with_retries(&mut world, number % 3, &job);
            let expected = if has_placement(&job, zones) { 201 } else { 422 };
            assert_eq!(status, expected, "{zones:?}: {job:?}");
            if status == 201 {
                accepted.push(job.id);
            }
        }
        for id in accepted {
            assert!(completes_within(&mut world, &id, COMPLETION_MS), "{id}");
        }
        assert_no_violations(&world);
    }
}

/// One of 48 combinations of shape, number of tasks, and constraints on zones.
fn constrained_job(number: usize) -> Submission {
    let id = format!("run-{number}");
    let tasks = [1, 2, 3][number % 3];
    let shape_number = number / 3;
    let job = match shape_number % 2 {
        0 => array_job(&id, tasks),
        _ => gang_job(&id, tasks),
    };
    Submission {
        one_zone: shape_number & 2 != 0,
        spread: shape_number & 4 != 0,
        zone: (shape_number & 8 != 0).then(|| "a".to_string()),
        ..job
    }
}

/// Whether the tasks that must run at the same time can be placed, found by trying all assignments to zones.
fn has_placement(job: &Submission, zones: &[&str]) -> bool {
    let is_gang = matches!(job.shape, wire::users::Shape::Gang);
    let at_once = if is_gang { job.tasks as u32 } else { 1 };
    let assignments = (zones.len() as u32).pow(at_once);
    (0..assignments).any(|assignment| {
        let zone_of = |task: u32| assignment / (zones.len() as u32).pow(task) % zones.len() as u32;
        let is_allowed_zone = |zone: u32| {
            let required = job.zone.as_deref();
            required.is_none_or(|required| required == zones[zone as usize])
        };
        let in_zone = |zone: u32| (0..at_once).filter(|task| zone_of(*task) == zone).count() as u64;
        (0..at_once).all(|task| is_allowed_zone(zone_of(task)))
            && (!job.one_zone || in_zone(zone_of(0)) == u64::from(at_once))
            && (!job.spread || (0..at_once).all(|t| in_zone(zone_of(t)) <= job.tasks.div_ceil(2)))
    })
}

/// The zones of a gang count over all types that fit its tasks, and only over these.
#[test]
fn zones_count_over_the_types_that_fit_the_tasks() {
    let mut world = start_in_zones(&["a"]);
    let small = wire::cloud::MachineType {
        gpus: 1.0,
        ..machine_type("small", &["a", "b", "c"])
    };
    world.machine_types = vec![
        machine_type(MACHINE_TYPE, &["a"]),
        machine_type(OTHER_TYPE, &["b"]),
        small,
    ];
    world.cloud_capacity = 4;
    world.run_for(REREAD_MS);
    let limited_to = |id: &str, types: &[&str]| Submission {
        machine_types: Some(types.iter().map(|name| name.to_string()).collect()),
        ..spread_gang(id, 2)
    };
    // The gang's tasks need four GPUs each, so `small` does not count.
    for (id, types) in [
        ("run-1", &[MACHINE_TYPE][..]),
        ("run-2", &[MACHINE_TYPE, "small"]),
        ("run-3", &[OTHER_TYPE, "small"]),
    ] {
        let status = submit_with_retries(&mut world, 0, &limited_to(id, types));
        assert_eq!(status, 422, "{types:?}");
    }
    for (id, job) in [
        ("run-4", spread_gang("run-4", 2)),
        ("run-5", limited_to("run-5", &[MACHINE_TYPE, OTHER_TYPE])),
    ] {
        assert_eq!(submit_with_retries(&mut world, 0, &job), 201, "{id}");
        assert!(completes_within(&mut world, id, COMPLETION_MS), "{id}");
    }
    assert_no_violations(&world);
}

/// Guards against refusing, on an old list of machine types, a job that can run: a node that does not lead read the
/// types once, before the cloud offered a second zone and a new type.
#[test]
fn a_zone_or_type_that_is_offered_later_counts_at_every_node_at_once() {
    let mut world = start_in_zones(&["a"]);
    world.machine_types = vec![
        machine_type(MACHINE_TYPE, &["a", "b"]),
        machine_type(OTHER_TYPE, &["b"]),
    ];
    world.cloud_capacity = 4;
    // Older than what a refusal may rely on, and the types are not due to be listed again.
    world.run_for(10_000);
    for node in 0..3 {
        let gang = spread_gang(&format!("run-1{node}"), 2);
        assert_eq!(submit_with_retries(&mut world, node, &gang), 201);
        let new_type = Submission {
            machine_types: Some(vec![OTHER_TYPE.into()]),
            ..array_job(&format!("run-2{node}"), 1)
        };
        assert_eq!(submit_with_retries(&mut world, node, &new_type), 201);
    }
    for node in 0..3 {
        for id in [format!("run-1{node}"), format!("run-2{node}")] {
            assert!(completes_within(&mut world, &id, COMPLETION_MS), "{id}");
        }
    }
    assert_no_violations(&world);
}

/// A submission that may never run is not decided on what the cloud listed long ago, by any node.
#[test]
fn no_node_refuses_a_job_for_good_while_the_cloud_does_not_answer() {
    let mut world = start_in_zones(&["a"]);
    world.cloud_down = true;
    world.run_for(10_000);
    for node in 0..3 {
        let gang = spread_gang(&format!("run-{node}"), 2);
        assert_eq!(world.submit(node, &gang, runs_for(500)), 503, "node {node}");
        // A job that can run by what is known is accepted meanwhile.
        let array = array_job(&format!("run-1{node}"), 1);
        assert_eq!(
            world.submit(node, &array, runs_for(500)),
            201,
            "node {node}"
        );
    }
    world.cloud_down = false;
    for node in 0..3 {
        let gang = spread_gang(&format!("run-{node}"), 2);
        assert_eq!(submit_with_retries(&mut world, node, &gang), 422);
    }
    assert_no_violations(&world);
}

/// Without a leader nobody can confirm that a job can never run.
#[test]
fn no_node_refuses_a_job_for_good_without_a_leader() {
    let mut world = start_in_zones(&["a"]);
    let leader = world.leader().expect("leader");
    let follower = follower(&world);
    world.crash(leader);
    let status = world.submit(follower, &spread_gang("run-1", 2), runs_for(500));
    assert_eq!(status, 503);
    world.start(leader);
    let status = submit_with_retries(&mut world, follower, &spread_gang("run-1", 2));
    assert_eq!(status, 422);
    assert_no_violations(&world);
}

/// A node whose settings name a lower limit or lack a team, for example because it was not restarted yet, asks the
/// leader, which places the tasks by its own settings.
#[test]
fn the_leader_decides_by_its_own_limits_and_teams() {
    const OUTDATED_NODE: usize = 1;
    let mut world = World::new(3, |node| {
        let mut settings = settings(node, 3, 0.0);
        let deployment = &mut settings.deployment;
        deployment.teams = match node {
            OUTDATED_NODE => vec![team("t", 4.0)],
            _ => vec![team("t", 0.0), team("new", 0.0)],
        };
        settings
    });
    for number in 0..4 {
        world.add_machine(&format!("vm-{number:06}"), "a");
    }
    world.crash(OUTDATED_NODE);
    assert!(world.run_until(20_000, |world| world.leader().is_some()));
    world.start(OUTDATED_NODE);
    world.run_for(4_000);
    let over_the_old_limit = gang_job("run-1", 2);
    let of_a_new_team = of_team("new", array_job("run-2", 1));
    for job in [over_the_old_limit, of_a_new_team] {
        let status = submit_with_retries(&mut world, OUTDATED_NODE, &job);
        assert_eq!(status, 201, "{}", job.id);
        assert!(completes_within(&mut world, &job.id, COMPLETION_MS));
    }
    // What the leader's settings rule out is refused at every node.
    for node in 0..3 {
        let job = of_team("never seen", array_job(&format!("run-3{node}"), 1));
        assert_eq!(submit_with_retries(&mut world, node, &job), 422);
    }
    assert_no_violations(&world);
}

/// A node that is cut from the state service hands the submission to a peer, which is not the leader. The answer is
/// the leader's all the same, or the user is asked to try again.
#[test]
fn a_submission_that_two_nodes_passed_on_is_not_refused_on_old_types() {
    let mut world = start_in_zones(&["a"]);
    let leader = world.leader().expect("leader");
    let cut_off = follower(&world);
    let fault = (cut_off, Party::State, ConnectionFault::RequestsLost);
    world.faults.connection_faults.insert(fault);
    world.machine_types = vec![machine_type(MACHINE_TYPE, &["a", "b"])];
    world.cloud_capacity = 4;
    world.run_for(10_000);
    let gang = spread_gang("run-1", 2);
    let status = world.submit(cut_off, &gang, runs_for(500));
    assert!(matches!(status, 201 | 503), "{status}");
    world.end_faults();
    assert_eq!(submit_with_retries(&mut world, leader, &gang) / 100, 2);
    assert!(completes_within(&mut world, "run-1", COMPLETION_MS));
    assert_no_violations(&world);
}

/// A job stays known after the cloud has withdrawn the zone that it needs, and so does one that is over.
#[test]
fn an_accepted_job_is_not_refused_when_it_is_submitted_again_after_its_zone_was_withdrawn() {
    let mut world = start_in_zones(&["a", "b"]);
    let done = spread_gang("run-1", 2);
    assert_eq!(submit_with_retries(&mut world, 0, &done), 201);
    assert!(completes_within(&mut world, "run-1", COMPLETION_MS));
    let open = spread_gang("run-2", 6);
    assert_eq!(submit_with_retries(&mut world, 0, &open), 201);
    world.machine_types = vec![machine_type(MACHINE_TYPE, &["a"])];
    world.run_for(REREAD_MS);
    for round in 0..2 {
        for node in 0..3 {
            for job in [&done, &open] {
                let status = submit_with_retries(&mut world, node, job);
                assert_eq!(status, 200, "round {round}, node {node}, {}", job.id);
            }
        }
        for node in 0..3 {
            world.crash(node);
        }
        for node in 0..3 {
            world.start(node);
        }
        world.run_for(10_000);
    }
    // Every node refuses a new one by now.
    for node in 0..3 {
        let late = spread_gang(&format!("run-3{node}"), 2);
        assert_eq!(submit_with_retries(&mut world, node, &late), 422);
    }
    assert_no_violations(&world);
}

/// Guards against a gang that can't be placed, accepted by an earlier build or before a zone was withdrawn, that
/// reserved idle machines and kept other jobs waiting beside them.
#[test]
fn a_gang_that_cannot_be_placed_keeps_no_machine_from_other_jobs() {
    let mut world = start_in_zones(&["a"]);
    record_open_job(&mut world, spread_gang("run-1", 3));
    world.run_for(10_000);
    let job = array_job("run-2", 12);
    assert_eq!(submit_with_retries(&mut world, 0, &job), 201);
    assert!(completes_within(&mut world, "run-2", COMPLETION_MS));
    assert_no_violations(&world);
}

/// A type that lists no zones is offered in all zones of the deployment, for admission as for rentals.
#[test]
fn a_type_without_zones_is_rented_in_the_zones_of_the_deployment() {
    let mut world = start_in_zones(&["a"]);
    world.machine_types = vec![machine_type(MACHINE_TYPE, &[])];
    world.cloud_capacity = 4;
    world.run_for(REREAD_MS);
    let elsewhere = Submission {
        zone: Some("z".into()),
        ..array_job("run-1", 1)
    };
    assert_eq!(submit_with_retries(&mut world, 0, &elsewhere), 422);
    assert_eq!(
        submit_with_retries(&mut world, 0, &spread_gang("run-2", 2)),
        201
    );
    assert!(completes_within(&mut world, "run-2", COMPLETION_MS));
    assert_no_violations(&world);
}

/// Dependencies, limits and zones are decided alike: what is refused is unknown afterwards, and can be cancelled by
/// nobody.
#[test]
fn a_refused_job_stays_unknown_at_every_node() {
    let mut world = start_in_zones(&["a"]);
    assert_eq!(
        submit_with_retries(&mut world, 0, &spread_gang("run-1", 2)),
        422
    );
    for node in 0..3 {
        let (status, _) = world.send_and_wait(node, "GET", "/submissions/run-1", vec![]);
        assert_eq!(status, 404);
        assert_eq!(world.abort(node, "run-1"), None::<Phase>);
    }
    assert_no_violations(&world);
}

//! Helpers shared by the scenarios: settings, a running cluster, jobs, and common queries and checks.

#![allow(dead_code)] // Each test file uses only some of these functions.

use fakes::{TaskBehaviour, World};
use vetchmount_control::settings::{
    Finalization, NextLimits, PartitionSettings, PinSettings, RolloutSettings, Team,
};
use vetchmount_control::{Operator, Settings};
use wire::records::*;
use wire::users::{Phase, Submission};

const DEPLOYMENT_TOML: &str = r#"
zones = ["a", "b"]
[[teams]]
name = "t"
gpus = 0.0
gpus_max = GPUS_MAX
[[objectives]]
kind = "wait"
within_s = 10.0
[workers]
report_s = 2.0
lease_s = 12.0
gang_wait_s = 35.0
gang_peer_s = 8.0
cancel_s = 30.0
[state]
rps = 150.0
write_rps = 50.0
value_kb = 16.0
txn_ops = 12
[cloud]
rps = 5.0
list_lag_s = 3.0
[quota]
cpu = 0.1
mem_mb = 72.0
max_connections = 1200
"#;

/// The settings of one of `nodes` controllers. Team `t` may use up to `gpus_max` GPUs (0: no limit).
pub fn settings(node: usize, nodes: usize, gpus_max: f64) -> Settings {
    let mut local = format!(
        "label = \"n{node}\"\narea = \"a\"\npublic_addr = \"10.0.0.{node}:1\"\nback = \"10.0.0.{node}:2\"\n\
         [outside]\ncloud = \"10.0.1.1:1\"\nstate = \"10.0.1.2:1\"\n"
    );
    for peer in (0..nodes).filter(|peer| *peer != node) {
        local += &format!(
            "[[siblings]]\nlabel = \"n{peer}\"\narea = \"a\"\naddr = \"10.0.0.{peer}:2\"\n"
        );
    }
    let deployment: toml::Value =
        toml::from_str(&DEPLOYMENT_TOML.replace("GPUS_MAX", &format!("{gpus_max:.1}")))
            .expect("deployment");
    let mut all: toml::Table = toml::from_str(&local).expect("settings");
    all.insert("deployment".into(), deployment);
    let settings: Settings = all.try_into().expect("settings");
    settings.validate().expect("valid");
    settings
}

/// [`settings`] whose deployment also announces smaller limits of the state service (`next`).
pub fn settings_with_next_limits(node: usize, nodes: usize) -> Settings {
    let mut settings = settings(node, nodes, 0.0);
    settings.deployment.state.next = Some(NextLimits {
        rps: None,
        write_rps: Some(35.0),
        value_kb: Some(2.0),
        txn_ops: Some(4),
    });
    settings
}

/// Starts a cluster and returns it once it has a leader, knows its machines, and every node has read the machine types.
pub fn start_cluster(nodes: usize, machines: usize, gpus_max: f64) -> World {
    start_cluster_with(nodes, machines, |node| settings(node, nodes, gpus_max))
}

/// As [`start_cluster`], with the given settings of each node.
pub fn start_cluster_with(
    nodes: usize,
    machines: usize,
    settings: impl Fn(usize) -> Settings,
) -> World {
    let mut world = World::new(nodes, settings);
    for m in 0..machines {
        world.add_machine(&format!("vm-{m:06}"), if m % 2 == 0 { "a" } else { "b" });
    }
    assert!(
        world.run_until(6_000, |world| world.leader().is_some()),
        "no leader was elected within 6 s"
    );
    world.run_for(4_000);
    world
}

/// Operator settings with staged upgrades, whose finalization is held, and partitions.
pub fn partitions_operator(pins: Vec<PinSettings>) -> Operator {
    let rollout = RolloutSettings {
        finalize: Finalization::Held,
        ..RolloutSettings::default()
    };
    Operator {
        rollout: Some(rollout),
        partitions: Some(PartitionSettings { pins }),
        ..Operator::default()
    }
}

/// Restarts all controllers with these operator settings.
pub fn restart_all(world: &mut World, operator: &Operator) {
    for node in 0..world.node_count() {
        world.set_operator(node, operator.clone());
        world.crash(node);
        world.start(node);
    }
}

/// A team without guaranteed resources that may use up to `gpus_max` GPUs (0: no limit).
pub fn team(name: &str, gpus_max: f64) -> Team {
    Team {
        name: name.into(),
        cpus: 0.0,
        cpus_max: 0.0,
        gpus: 0.0,
        gpus_max,
    }
}

/// The job, submitted for the given team.
pub fn of_team(team: &str, job: Submission) -> Submission {
    Submission {
        team: team.into(),
        ..job
    }
}

/// The job, depending on the jobs with the ids `needs`.
pub fn with_dependencies(job: Submission, needs: &[&str]) -> Submission {
    Submission {
        dependencies: needs.iter().map(|id| id.to_string()).collect(),
        ..job
    }
}

/// Tasks of an array job that run for `run_ms`, take no checkpoints and succeed.
pub fn runs_for(run_ms: u64) -> TaskBehaviour {
    TaskBehaviour {
        image_fetch_ms: 300,
        run_ms,
        checkpoint_write_ms: 0,
        gang_size: 0,
        fails_after_run: false,
    }
}

/// Asserts that the world has found no rule of the protocol broken so far.
pub fn assert_no_violations(world: &World) {
    assert!(
        world.violations.is_empty(),
        "rules broken: {:?}",
        &world.violations
    );
}

/// Whether the job is done, as node 0 answers, within `ms`.
pub fn completes_within(world: &mut World, id: &str, ms: u64) -> bool {
    world.run_until(ms, |world| world.phase(0, id) == Some(Phase::Done))
}

/// All copies of parts of jobs on the recorded pages, which may hold several of one part with different `seq`. Entries
/// in the dense form are converted to the other one.
pub fn recorded_page_entries(world: &World) -> Vec<PageEntry> {
    let keys = world.state_service.keys(PAGE_PREFIX).into_iter();
    let pages = keys.filter_map(|key| world.state_service.read::<PageRecord>(&key));
    let from_dense = |entry: DensePageEntry| PageEntry {
        job: entry.job,
        chunk_number: entry.chunk_number,
        seq: entry.seq,
        chunk: entry.chunk.decode().expect("readable"),
    };
    pages
        .flat_map(|page| {
            page.entries
                .into_iter()
                .chain(page.dense_entries.into_iter().map(from_dense))
        })
        .collect()
}

/// The lowest-numbered node that is not the leader.
pub fn follower(world: &World) -> usize {
    let leader = world.leader().expect("leader");
    usize::from(leader == 0)
}

/// Writes the record of an open job to the state service, as a process outside of this cluster would.
pub fn record_open_job(world: &mut World, spec: Submission) {
    let key = job_key(&spec.id);
    let record = JobRecord::new(spec, 1_700_000_000_000);
    world.state_service.write(&key, &record, None);
}

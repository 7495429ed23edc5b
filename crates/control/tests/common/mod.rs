//! What the scenarios share: settings, a world that is up, and what is looked at again and again.

#![allow(dead_code)] // Each file of scenarios uses some of it.

use fakes::{TaskBehaviour, World};
use vetchmount_control::settings::{NextLimits, Team};
use vetchmount_control::Settings;
use wire::records::*;
use wire::users::{Phase, Submission};

const DEPLOYMENT: &str = r#"
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

pub fn settings(i: usize, nodes: usize, gpus_max: f64) -> Settings {
    let mut text = format!(
        "label = \"n{i}\"\narea = \"a\"\npublic_addr = \"10.0.0.{i}:1\"\nback = \"10.0.0.{i}:2\"\n\
         [outside]\ncloud = \"10.0.1.1:1\"\nstate = \"10.0.1.2:1\"\n"
    );
    for j in (0..nodes).filter(|j| *j != i) {
        text += &format!("[[siblings]]\nlabel = \"n{j}\"\narea = \"a\"\naddr = \"10.0.0.{j}:2\"\n");
    }
    let deployment: toml::Value =
        toml::from_str(&DEPLOYMENT.replace("GPUS_MAX", &format!("{gpus_max:.1}")))
            .expect("deployment");
    let mut all: toml::Table = toml::from_str(&text).expect("settings");
    all.insert("deployment".into(), deployment);
    let settings: Settings = all.try_into().expect("settings");
    settings.validate().expect("valid");
    settings
}

/// A world with a leader, machines that are known, and machine types that every node has read.
pub fn world(nodes: usize, machines: usize, gpus_max: f64) -> World {
    cluster(nodes, machines, |i| settings(i, nodes, gpus_max))
}

/// The same with settings of its own.
pub fn cluster(nodes: usize, machines: usize, settings: impl Fn(usize) -> Settings) -> World {
    let mut w = World::new(nodes, settings);
    for m in 0..machines {
        w.add_machine(&format!("vm-{m:06}"), if m % 2 == 0 { "a" } else { "b" });
    }
    assert!(w.run_until(6_000, |w| w.leader().is_some()), "a leader");
    w.run_for(4_000);
    w
}

/// A team without a guarantee that may use so many GPUs; 0 for no limit.
pub fn team(name: &str, gpus_max: f64) -> Team {
    Team {
        name: name.into(),
        cpus: 0.0,
        cpus_max: 0.0,
        gpus: 0.0,
        gpus_max,
    }
}

pub fn of_team(team: &str, job: Submission) -> Submission {
    Submission {
        team: team.into(),
        ..job
    }
}

pub fn runs(run_ms: u64) -> TaskBehaviour {
    TaskBehaviour {
        image_fetch_ms: 300,
        run_ms,
        checkpoint_write_ms: 0,
        gang_size: 0,
        fails_after_run: false,
    }
}

pub fn clean(w: &World) {
    assert!(w.violations.is_empty(), "rules broken: {:?}", &w.violations);
}

pub fn done(w: &mut World, id: &str, ms: u64) -> bool {
    w.run_until(ms, |w| w.phase(0, id) == Some(Phase::Done))
}

/// All copies of parts of jobs in the records, in either form.
pub fn parts(w: &World) -> Vec<PageEntry> {
    let pages = w.state_service.keys(PAGE_PREFIX).into_iter();
    let read = pages.filter_map(|key| w.state_service.read::<PageRecord>(&key));
    let plain = |e: DensePageEntry| PageEntry {
        job: e.job,
        chunk_number: e.chunk_number,
        seq: e.seq,
        chunk: e.chunk.decode().expect("readable"),
    };
    read.flat_map(|p| {
        p.entries
            .into_iter()
            .chain(p.dense_entries.into_iter().map(plain))
    })
    .collect()
}

pub fn follower(w: &World) -> usize {
    let leader = w.leader().expect("leader");
    usize::from(leader == 0)
}

/// Puts a job on record as another process would that this cluster does not run.
pub fn record_open_job(w: &mut World, spec: Submission) {
    let key = job_key(&spec.id);
    let record = JobRecord::new(spec, 1_700_000_000_000);
    w.state_service.write(&key, &record, None);
}

/// A job behind others.
pub fn after(job: Submission, needs: &[&str]) -> Submission {
    Submission {
        dependencies: needs.iter().map(|n| n.to_string()).collect(),
        ..job
    }
}

/// Settings with smaller limits to come.
pub fn settings_next(i: usize, nodes: usize) -> Settings {
    let mut settings = settings(i, nodes, 0.0);
    settings.deployment.state.next = Some(NextLimits {
        rps: None,
        write_rps: Some(35.0),
        value_kb: Some(2.0),
        txn_ops: Some(4),
    });
    settings
}

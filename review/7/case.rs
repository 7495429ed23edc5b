//! A gang that must be apart is accepted where there is one zone, and can never run.
#[path = "../standins-2/lib.rs"]
mod lib;
use lib::*;
use std::sync::Arc;

const LEFT_WAITING_S: f64 = 90.0;

fn main() {
    let nodes = 3;
    let controllers = Controllers::new(nodes);
    begin(&controllers);
    let world = Arc::new(World { report_s: 3.0, lease_s: 36.0, gang_wait_s: 35.0, ..World::default() });
    let labels = controllers.labels.iter().cloned().zip(controllers.public.iter().copied());
    *lock(&world.controllers) = labels.collect();
    let breed = Breed { name: "hlada-g32", cpus: 32.0, gpus: 4.0, mem_gb: 256.0, startup_s: 45.0 };
    let zones = vec!["reykjanes-hall"];
    let (cloud, cloud_addr) = Cloud::start(&world, breed, zones.clone(), 4, 32, 3.0);
    let (state, state_addr) = StateService::start(100.0, 25.0);
    controllers.write_settings(
        &Settings {
            zones,
            teams: vec![("platform-crew", 0.0, 0.0)],
            objectives: vec![("wait", "marketmind-train", 25.0, 0.8), ("wait", "marketmind-train", 40.0, 0.85)],
            report_s: 3.0,
            lease_s: 36.0,
            gang_wait_s: 35.0,
            gang_peer_s: 8.0,
            cancel_s: 66.0,
            rps: 100.0,
            write_rps: 25.0,
            value_kb: 16.0,
            txn_ops: 20,
            cloud_rps: 5.0,
            list_lag_s: 3.0,
            cpu: 0.08,
            mem_mb: 200.0,
            max_connections: 4000,
        },
        cloud_addr,
        state_addr,
    );
    controllers.start_all();
    if !controllers.wait_ready(10.0) {
        finish(&controllers, 2, "the controllers are not ready within 10 s");
    }
    let mut gang = Job::new(1, "marketmind-train", "platform-crew");
    (gang.shape, gang.shards, gang.cpus, gang.gpus, gang.mem_gb) = ("group", 2, 28.0, 4.0, 200.0);
    (gang.run_s, gang.guess_s) = (20.0, 20.0);
    // The disruption: an odd request, for which there is no room in any fleet of this site.
    gang.apart = trouble();
    if !gang.submit(&world, controllers.public[0]) {
        finish(&controllers, 0, "the gang was refused for good");
    }
    let accepted = now();
    while now() < accepted + LEFT_WAITING_S + 10.0 {
        pause(500);
        if let Some(at) = world.started_at("run-000001/0") {
            finish(&controllers, 0, &format!("the gang started after {:.1} s", at - accepted));
        }
        if (now() * 2.0) as u64 % 20 == 0 {
            let (status, phase) = poll(controllers.public[1], &gang.id);
            note(&format!("poll {} -> {status} {phase}; machines: {:?}", gang.id, world.on_machines()));
        }
    }
    let up = lock(&cloud.hosts).iter().filter(|h| h.gone_at.is_none()).count();
    let why = format!(
        "accepted, and not one task on a machine after {:.0} s with {up} machines up; leader {:?}",
        now() - accepted,
        controllers.leader(&state)
    );
    finish(&controllers, 1, &why);
}

//! Tests with real processes on loopback, against the stand-ins of this repository for the state service, the cloud,
//! workers and users.

use standins::{Build, Controllers, Environment};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

const CONTROLLERS: usize = 3;
const MACHINES: usize = 6;
/// Milliseconds within which the cluster must reach an awaited condition.
const WAIT_TIMEOUT_MS: u64 = 40_000;

fn daemon_binary() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_vetchmount"))
}

fn temporary_folder(name: &str) -> PathBuf {
    let name = format!("vetchmount-{name}-{}", std::process::id());
    std::env::temp_dir().join(name)
}

/// Newest feature level of the build.
const NEWEST_LEVEL: u32 = 3;

fn write_operator_settings(folder: &Path, name: &str, json: &str) -> PathBuf {
    std::fs::create_dir_all(folder).expect("create the folder");
    let path = folder.join(name);
    std::fs::write(&path, json).expect("write the operators' settings");
    path
}

fn wait_until(outside: &Environment, what: &str, condition: impl Fn(&Environment) -> bool) {
    let until = outside.now_ms() + WAIT_TIMEOUT_MS;
    while outside.now_ms() < until {
        if condition(outside) {
            return;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    panic!("timed out waiting for {what}; level {:?}", outside.level());
}

fn active_level(outside: &Environment) -> u32 {
    outside.level().map_or(0, |level| level.active)
}

fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// A build that a setting holds to an older level is upgraded, rolled back and upgraded again under load. Every job must
/// have one outcome.
#[test]
fn processes_are_upgraded_rolled_back_and_upgraded_again_and_every_job_has_one_outcome() {
    let folder = temporary_folder("staged-upgrade");
    let build = |name: &str, json: &str| Build {
        program: daemon_binary(),
        operator_settings: Some(write_operator_settings(&folder, name, json)),
    };
    let old_build = build("old.json", r#"{"rollout": {"newest_level": 1}}"#);
    let new_build = build("new.json", r#"{"rollout": {"finalize": "held"}}"#);
    let finalizing_build = build(
        "last.json",
        r#"{"rollout": {"finalize": "automatic", "soak_s": 2.0}}"#,
    );
    let mut controllers = Controllers::new(&folder, CONTROLLERS).expect("create the controllers");
    let mut outside = Environment::start(controllers.labels(), controllers.addresses(), MACHINES);
    let start =
        |controllers: &mut Controllers, number: usize, build: &Build, outside: &Environment| {
            controllers
                .start(number, build, outside)
                .expect("start the controller");
        };
    for number in 0..CONTROLLERS {
        start(&mut controllers, number, &old_build, &outside);
    }
    wait_until(&outside, "level 1", |outside| active_level(outside) == 1);
    outside.start_users();
    sleep_ms(1_500);
    // Upgrade. Controller 1 is killed, the others are stopped in an orderly way.
    for number in 0..CONTROLLERS {
        match number {
            1 => controllers.kill(number),
            _ => controllers.stop(number).expect("stop the controller"),
        }
        start(&mut controllers, number, &new_build, &outside);
        sleep_ms(1_500);
    }
    assert_eq!(outside.finalized_level(), 0);
    // Level 1 is soaking and is finalized first, so the next upgrade waits.
    assert_eq!(active_level(&outside), 1);
    // Roll back.
    for number in [2, 0, 1] {
        controllers.stop(number).expect("stop the controller");
        start(&mut controllers, number, &old_build, &outside);
        sleep_ms(1_500);
    }
    assert_eq!((active_level(&outside), outside.finalized_level()), (1, 0));
    // Upgrade again; this build finalizes the new level.
    for number in [1, 2, 0] {
        controllers.stop(number).expect("stop the controller");
        start(&mut controllers, number, &finalizing_build, &outside);
        sleep_ms(1_500);
    }
    wait_until(&outside, "a finalized level", |outside| {
        outside.finalized_level() >= 1
    });
    wait_until(&outside, "the newest level to be finalized", |outside| {
        outside.finalized_level() == NEWEST_LEVEL
    });
    // An older build that joins is refused: it logs this once, and is not ready.
    controllers.stop(0).expect("stop the controller");
    start(&mut controllers, 0, &old_build, &outside);
    sleep_ms(2_000);
    let refusals = controllers.logs().matches("event=build_refused").count();
    assert_eq!(refusals, 1, "one log line");
    controllers.kill(0);
    start(&mut controllers, 0, &finalizing_build, &outside);
    assert!(
        outside.drain(WAIT_TIMEOUT_MS),
        "every job should have ended"
    );
    {
        let history = outside.history();
        assert!(
            history.violations().is_empty(),
            "{:?}",
            history.violations()
        );
        let (jobs, starts) = history.job_and_start_counts();
        assert!(jobs > 20 && starts > 40, "{jobs} jobs, {starts} starts");
    }
    outside.stop();
    drop(controllers);
    std::fs::remove_dir_all(&folder).expect("remove the folder");
}

/// One controller has 25 sockets for callers and 40 workers. The workers must use the sockets in turn, and no lease may
/// expire.
#[test]
fn more_workers_than_sockets_use_them_in_turn() {
    let folder = temporary_folder("few-sockets");
    let build = Build {
        program: daemon_binary(),
        operator_settings: None,
    };
    let mut controllers = Controllers::new(&folder, 1).expect("create the controllers");
    controllers.limit_sockets(32);
    let mut outside = Environment::start(controllers.labels(), controllers.addresses(), 40);
    controllers
        .start(0, &build, &outside)
        .expect("start the controller");
    outside.start_users();
    sleep_ms(30_000);
    let expired_leases = outside.history().expired_leases();
    assert!(
        outside.drain(WAIT_TIMEOUT_MS),
        "every job should have ended"
    );
    let breaches = outside.history().violations().to_vec();
    outside.stop();
    drop(controllers);
    std::fs::remove_dir_all(&folder).expect("remove the folder");
    assert!(breaches.is_empty(), "{breaches:?}");
    assert_eq!(expired_leases, 0, "expired leases");
}

#[test]
fn invalid_operator_settings_are_rejected_with_the_field_named() {
    let folder = temporary_folder("rollout-settings");
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/example-settings.toml");
    let text = std::fs::read_to_string(&example).expect("read the example settings");
    std::fs::create_dir_all(&folder).expect("create the folder");
    let duplicate_labels = folder.join("duplicate-labels.toml");
    std::fs::write(
        &duplicate_labels,
        text.replace("label = \"n2\"", "label = \"n1\""),
    )
    .expect("write the settings");
    let check = |settings: &Path, json: &str| {
        let operator = write_operator_settings(&folder, "operator.json", json);
        let mut command = Command::new(daemon_binary());
        command.arg("--operator").arg(operator);
        command.arg("--config").arg(settings).arg("--check");
        let output = command.output().expect("run vetchmount");
        let message = String::from_utf8_lossy(&output.stderr).to_string();
        (output.status.code(), message)
    };
    for valid in [
        r#"{"rollout": {}}"#,
        r#"{"rollout": {}, "partitions": {"pins": [{"controller": "n1", "partitions": [0, 63], "share": 0.2}]}}"#,
    ] {
        let (code, message) = check(&example, valid);
        assert_eq!(code, Some(0), "{message}");
    }
    let with_pins =
        |pins: &str| format!(r#"{{"rollout": {{}}, "partitions": {{"pins": [{pins}]}}}}"#);
    for (json, field) in [
        (
            r#"{"partitions": {}}"#.to_string(),
            "partitions: needs rollout",
        ),
        (
            with_pins(r#"{"controller": "n9"}"#),
            "partitions.pins.controller",
        ),
        (
            with_pins(r#"{"controller": "n1", "partitions": [64]}"#),
            "partitions.pins.partitions",
        ),
        (
            with_pins(
                r#"{"controller": "n1", "partitions": [3]}, {"controller": "n2", "partitions": [3]}"#,
            ),
            "partitions.pins.partitions",
        ),
        (
            with_pins(r#"{"controller": "n1", "share": 0.6}, {"controller": "n2", "share": 0.6}"#),
            "partitions.pins.share",
        ),
        (with_pins(r#"{"controller": "n1", "share": 1.5}"#), "share"),
        (
            with_pins(r#"{"controller": "n1", "portion": 0.5}"#),
            "portion",
        ),
    ] {
        let (code, message) = check(&example, &json);
        assert_eq!(code, Some(2), "{json}");
        assert!(message.contains(field), "{message} should name {field}");
        assert_eq!(message.lines().count(), 1, "{message}");
    }
    for (json, field) in [
        (
            r#"{"rollout": {"oldest_level": 2, "newest_level": 1}}"#,
            "rollout.oldest_level",
        ),
        (
            r#"{"rollout": {"newest_level": 9}}"#,
            "rollout.newest_level",
        ),
        (r#"{"rollout": {"newest_level": -1}}"#, "newest_level"),
        (r#"{"rollout": {"finalize": "soon"}}"#, "finalize"),
        (r#"{"rollout": {"soak_s": -5.0}}"#, "soak_s"),
        (r#"{"rollout": {"soak": 5.0}}"#, "soak"),
        (r#"{"rollout": {"stall_s": 0.0}}"#, "stall_s"),
    ] {
        let (code, message) = check(&example, json);
        assert_eq!(code, Some(2), "{json}");
        assert!(message.contains(field), "{message} should name {field}");
        assert_eq!(message.lines().count(), 1, "{message}");
    }
    let (code, message) = check(&duplicate_labels, r#"{"rollout": {}}"#);
    assert_eq!(code, Some(2));
    assert!(message.contains("siblings.label"), "{message}");
    std::fs::remove_dir_all(&folder).expect("remove the folder");
}

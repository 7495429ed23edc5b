//! Staged upgrades with real processes on loopback, against stand-ins of this repository: the build is held to an older
//! level by a setting, upgraded, returned and upgraded again under load, and every job has one outcome.

use standins::{Build, Controllers, Outside};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

const CONTROLLERS: usize = 3;
const MACHINES: usize = 6;
/// Milliseconds within which a cluster has to reach an awaited condition.
const WAIT_LIMIT_MS: u64 = 40_000;

fn program() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_vetchmount"))
}

fn temporary_folder(name: &str) -> PathBuf {
    let name = format!("vetchmount-{name}-{}", std::process::id());
    std::env::temp_dir().join(name)
}

/// Newest feature level of the build.
const NEWEST_LEVEL: u32 = 3;

fn write_operator_settings(folder: &Path, name: &str, json: &str) -> PathBuf {
    std::fs::create_dir_all(folder).expect("a folder");
    let path = folder.join(name);
    std::fs::write(&path, json).expect("a file");
    path
}

fn wait_until(outside: &Outside, what: &str, condition: impl Fn(&Outside) -> bool) {
    let until = outside.now_ms() + WAIT_LIMIT_MS;
    while outside.now_ms() < until {
        if condition(outside) {
            return;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    panic!("not in time: {what}; level {:?}", outside.level());
}

fn active_level(outside: &Outside) -> u32 {
    outside.level().map_or(0, |level| level.active)
}

fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

#[test]
fn processes_are_upgraded_returned_and_upgraded_again_and_every_job_has_one_outcome() {
    let folder = temporary_folder("staged-upgrade");
    let build = |name: &str, json: &str| Build {
        program: program(),
        operator: Some(write_operator_settings(&folder, name, json)),
    };
    let old = build("old.json", r#"{"rollout": {"newest_level": 1}}"#);
    let new = build("new.json", r#"{"rollout": {"finalize": "held"}}"#);
    let last = build(
        "last.json",
        r#"{"rollout": {"finalize": "automatic", "soak_s": 2.0}}"#,
    );
    let mut controllers = Controllers::new(&folder, CONTROLLERS).expect("controllers");
    let mut outside = Outside::start(controllers.labels(), controllers.addresses(), MACHINES);
    let start = |controllers: &mut Controllers, number: usize, build: &Build, outside: &Outside| {
        controllers
            .start(number, build, outside)
            .expect("a process");
    };
    for number in 0..CONTROLLERS {
        start(&mut controllers, number, &old, &outside);
    }
    wait_until(&outside, "level 1", |outside| active_level(outside) == 1);
    outside.start_users();
    sleep_ms(1_500);
    // Upgraded, one of them without warning.
    for number in 0..CONTROLLERS {
        match number {
            1 => controllers.kill(number),
            _ => controllers.stop(number).expect("an orderly stop"),
        }
        start(&mut controllers, number, &new, &outside);
        sleep_ms(1_500);
    }
    assert_eq!(outside.finalized(), 0);
    // Level 1 soaks, so the next upgrade waits: what was soaking is made final first.
    assert_eq!(active_level(&outside), 1);
    // Returned.
    for number in [2, 0, 1] {
        controllers.stop(number).expect("an orderly stop");
        start(&mut controllers, number, &old, &outside);
        sleep_ms(1_500);
    }
    assert_eq!((active_level(&outside), outside.finalized()), (1, 0));
    // Upgraded again, for good.
    for number in [1, 2, 0] {
        controllers.stop(number).expect("an orderly stop");
        start(&mut controllers, number, &last, &outside);
        sleep_ms(1_500);
    }
    wait_until(&outside, "final", |outside| outside.finalized() >= 1);
    wait_until(&outside, "the newest level", |outside| {
        outside.finalized() == NEWEST_LEVEL
    });
    // An older build that joins is refused: it logs so once, and is not ready.
    controllers.stop(0).expect("an orderly stop");
    start(&mut controllers, 0, &old, &outside);
    sleep_ms(2_000);
    let refusals = controllers.logs().matches("event=build_refused").count();
    assert_eq!(refusals, 1, "one log line");
    controllers.kill(0);
    start(&mut controllers, 0, &last, &outside);
    assert!(outside.drain(WAIT_LIMIT_MS), "every job is over");
    {
        let history = outside.history();
        assert!(history.breaches().is_empty(), "{:?}", history.breaches());
        let (jobs, starts) = history.counts();
        assert!(jobs > 20 && starts > 40, "{jobs} jobs, {starts} starts");
    }
    outside.stop();
    drop(controllers);
    std::fs::remove_dir_all(&folder).expect("the folder goes again");
}

/// One controller with 25 sockets for callers and 40 workers: they take turns, and the lease of none ends.
#[test]
fn more_workers_than_sockets_take_turns() {
    let folder = temporary_folder("few-sockets");
    let build = Build {
        program: program(),
        operator: None,
    };
    let mut controllers = Controllers::new(&folder, 1).expect("controllers");
    controllers.limit_sockets(32);
    let mut outside = Outside::start(controllers.labels(), controllers.addresses(), 40);
    controllers.start(0, &build, &outside).expect("a process");
    outside.start_users();
    sleep_ms(30_000);
    let lapses = outside.history().lapses();
    assert!(outside.drain(WAIT_LIMIT_MS), "every job is over");
    let breaches = outside.history().breaches().to_vec();
    outside.stop();
    drop(controllers);
    std::fs::remove_dir_all(&folder).expect("the folder goes again");
    assert!(breaches.is_empty(), "{breaches:?}");
    assert_eq!(lapses, 0, "leases that ended");
}

#[test]
fn operators_settings_that_can_not_be_used_are_refused_with_the_field_named() {
    let folder = temporary_folder("rollout-settings");
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/example-settings.toml");
    let text = std::fs::read_to_string(&example).expect("the example");
    std::fs::create_dir_all(&folder).expect("a folder");
    let twice = folder.join("twice.toml");
    std::fs::write(&twice, text.replace("label = \"n2\"", "label = \"n1\"")).expect("a file");
    let check = |settings: &Path, json: &str| {
        let operator = write_operator_settings(&folder, "operator.json", json);
        let mut command = Command::new(program());
        command.arg("--operator").arg(operator);
        command.arg("--config").arg(settings).arg("--check");
        let output = command.output().expect("the program runs");
        let message = String::from_utf8_lossy(&output.stderr).to_string();
        (output.status.code(), message)
    };
    for good in [
        r#"{"rollout": {}}"#,
        r#"{"rollout": {}, "partitions": {"pins": [{"controller": "n1", "partitions": [0, 63], "share": 0.2}]}}"#,
    ] {
        let (code, message) = check(&example, good);
        assert_eq!(code, Some(0), "{message}");
    }
    let pins = |pins: &str| format!(r#"{{"rollout": {{}}, "partitions": {{"pins": [{pins}]}}}}"#);
    for (json, field) in [
        (
            r#"{"partitions": {}}"#.to_string(),
            "partitions: needs rollout",
        ),
        (
            pins(r#"{"controller": "n9"}"#),
            "partitions.pins.controller",
        ),
        (
            pins(r#"{"controller": "n1", "partitions": [64]}"#),
            "partitions.pins.partitions",
        ),
        (
            pins(
                r#"{"controller": "n1", "partitions": [3]}, {"controller": "n2", "partitions": [3]}"#,
            ),
            "partitions.pins.partitions",
        ),
        (
            pins(r#"{"controller": "n1", "share": 0.6}, {"controller": "n2", "share": 0.6}"#),
            "partitions.pins.share",
        ),
        (pins(r#"{"controller": "n1", "share": 1.5}"#), "share"),
        (pins(r#"{"controller": "n1", "portion": 0.5}"#), "portion"),
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
    let (code, message) = check(&twice, r#"{"rollout": {}}"#);
    assert_eq!(code, Some(2));
    assert!(message.contains("siblings.label"), "{message}");
    std::fs::remove_dir_all(&folder).expect("the folder goes again");
}

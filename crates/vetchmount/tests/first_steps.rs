//! What the README's first steps promise of the program: the example settings are accepted, and settings that can't be
//! used are refused with the field named.

use std::path::PathBuf;
use std::process::{Command, Output};

const EXAMPLE: &str = "deploy/example-settings.toml";

fn example_settings() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../..")
        .join(EXAMPLE)
}

fn check_settings(settings: &PathBuf) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_vetchmount"));
    command.arg("--config").arg(settings).arg("--check");
    command.output().expect("the program runs")
}

#[test]
fn the_example_settings_are_accepted() {
    let output = check_settings(&example_settings());
    assert!(output.status.success(), "{output:?}");
}

#[test]
fn settings_that_can_not_be_used_are_refused_with_the_field_named() {
    let text = std::fs::read_to_string(example_settings()).expect("the example");
    let broken = text.replace("lease_s = 12.0", "lease_s = -1.0");
    assert_ne!(text, broken);
    let name = format!("vetchmount-first-steps-{}.toml", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, broken).expect("a file to write to");
    let output = check_settings(&path);
    std::fs::remove_file(&path).expect("the file goes again");
    assert_eq!(output.status.code(), Some(2));
    let message = String::from_utf8_lossy(&output.stderr);
    assert!(
        message.contains("deployment.workers.lease_s"),
        "the field is named: {message}"
    );
}

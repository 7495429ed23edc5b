//! What the README's first steps promise: the example settings are accepted, and invalid settings are rejected with an
//! error that names the field.

use std::path::PathBuf;
use std::process::{Command, Output};

const EXAMPLE_SETTINGS: &str = "deploy/example-settings.toml";

fn example_settings() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../..")
        .join(EXAMPLE_SETTINGS)
}

fn check_settings(settings: &PathBuf) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_vetchmount"));
    command.arg("--config").arg(settings).arg("--check");
    command.output().expect("run vetchmount")
}

#[test]
fn the_example_settings_are_accepted() {
    let output = check_settings(&example_settings());
    assert!(output.status.success(), "{output:?}");
}

#[test]
fn invalid_settings_are_rejected_with_the_field_named() {
    let text = std::fs::read_to_string(example_settings()).expect("read the example settings");
    let invalid = text.replace("lease_s = 12.0", "lease_s = -1.0");
    assert_ne!(text, invalid);
    let name = format!("vetchmount-first-steps-{}.toml", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, invalid).expect("write the settings file");
    let output = check_settings(&path);
    std::fs::remove_file(&path).expect("remove the settings file");
    assert_eq!(output.status.code(), Some(2));
    let message = String::from_utf8_lossy(&output.stderr);
    assert!(
        message.contains("deployment.workers.lease_s"),
        "the error should name the field: {message}"
    );
}

//! Shared code of the measurements of large simulated fleets.

use control::Settings;
use hdrhistogram::Histogram;
use std::time::Instant;
use vetchmount_fakes::TaskBehaviour;

const DEPLOYMENT: &str = r#"
zones = ["a", "b"]
[[teams]]
name = "t"
[[objectives]]
kind = "guarantee"
[workers]
report_s = 8.0
lease_s = 36.0
gang_wait_s = 35.0
gang_peer_s = 8.0
cancel_s = 66.0
[state]
rps = 100.0
write_rps = 25.0
value_kb = 16.0
txn_ops = 20
[cloud]
rps = 5.0
list_lag_s = 3.0
[quota]
cpu = 0.1
mem_mb = 200.0
max_connections = 4400
"#;

/// Microseconds of a monotonic clock.
pub fn stopwatch() -> u64 {
    static START: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_micros() as u64
}

/// Settings of one controller of a fleet whose machines are already running.
pub fn settings(node: usize, nodes: usize) -> Settings {
    let mut text = format!(
        "label = \"n{node}\"\narea = \"a\"\npublic_addr = \"10.0.0.{node}:1\"\nback = \"10.0.0.{node}:2\"\n\
         [outside]\ncloud = \"10.0.1.1:1\"\nstate = \"10.0.1.2:1\"\n"
    );
    for sibling in (0..nodes).filter(|s| *s != node) {
        text += &format!(
            "[[siblings]]\nlabel = \"n{sibling}\"\narea = \"a\"\naddr = \"10.0.0.{sibling}:2\"\n"
        );
    }
    let deployment: toml::Value = toml::from_str(DEPLOYMENT).expect("deployment");
    let mut all: toml::Table = toml::from_str(&text).expect("settings");
    all.insert("deployment".into(), deployment);
    all.try_into().expect("settings")
}

/// A histogram with a precision of three digits. Values of 0 are recorded as 1.
pub fn histogram(values: &[u64]) -> Histogram<u64> {
    let mut histogram = Histogram::new(3).expect("three digits");
    for value in values {
        histogram.record((*value).max(1)).expect("recorded");
    }
    histogram
}

/// Behaviour of tasks that run for `run_ms` and complete.
pub fn runs(run_ms: u64) -> TaskBehaviour {
    TaskBehaviour {
        image_fetch_ms: 300,
        run_ms,
        checkpoint_write_ms: 0,
        gang_size: 0,
        fails_after_run: false,
    }
}

//! Valid settings are accepted; the error for invalid ones names the field.

use super::{parse_operator, parse_platform, schema_text};

const VALID_SETTINGS: &str = r#"
label = "a"
area = "z"
public_addr = "127.0.0.1:1"
back = "127.0.0.1:2"
later = "ignored"
[outside]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[deployment.workers]
report_s = 2.0
lease_s = 12.0
gang_wait_s = 35.0
gang_peer_s = 8.0
cancel_s = 37.0
[deployment.state]
rps = 150.0
write_rps = 50.0
value_kb = 16.0
txn_ops = 12
[deployment.cloud]
rps = 2.0
list_lag_s = 10.0
[deployment.quota]
cpu = 0.1
mem_mb = 72.0
max_connections = 1200
"#;

#[test]
fn valid_settings_are_accepted_and_errors_for_invalid_ones_name_the_field() {
    assert!(parse_platform(VALID_SETTINGS).is_ok());
    let parse_with_next = |next: &str| {
        let sections = format!("[deployment.state.next]\n{next}\n[deployment.cloud]");
        parse_platform(&VALID_SETTINGS.replace("[deployment.cloud]", &sections))
    };
    let larger = parse_with_next("value_kb = 64.0\ntxn_ops = 40\nunheard_of = 1").expect("allowed");
    assert_eq!(larger.deployment.state.strictest().txn_ops, 12);
    assert_eq!(
        parse_with_next("value_kb = 2.0")
            .expect("ok")
            .deployment
            .state
            .strictest()
            .value_bytes,
        2048
    );
    for (text, field) in [
        ("value_kb = 0.0", "state.next.value_kb"),
        ("value_kb = inf", "state.next.value_kb"),
        ("txn_ops = 3", "state.next.txn_ops"),
        ("write_rps = -1.0", "state.next.write_rps"),
        ("txn_ops = -1", "txn_ops"),
    ] {
        let error = parse_with_next(text).expect_err(text).to_string();
        assert!(error.contains(field), "{error} should name {field}");
    }
    for (from, to, field) in [
        ("lease_s = 12.0", "", "lease_s"),
        (
            "lease_s = 12.0",
            "lease_s = -1.0",
            "deployment.workers.lease_s",
        ),
        ("\"127.0.0.1:4\"", "\"nowhere\"", "outside.state"),
        ("txn_ops = 12", "txn_ops = 1", "deployment.state.txn_ops"),
        ("label = \"a\"", "label = 4", "label"),
    ] {
        let error = parse_platform(&VALID_SETTINGS.replace(from, to))
            .expect_err(to)
            .to_string();
        assert!(error.contains(field), "{error} should name {field}");
        assert!(!error.contains('\n'), "{error:?} should be one line");
    }
}

#[test]
fn the_committed_schema_equals_the_generated_one_and_is_enforced() {
    let committed = include_str!("../../../../schema/operator.schema.json");
    assert_eq!(committed.trim(), schema_text().trim());
    assert_eq!(
        parse_operator(r#"{"thin_tasks": 3}"#).map(|operator| operator.thin_tasks),
        Ok(3)
    );
    for (text, field) in [
        (r#"{"pilot_share": 2.0}"#, "pilot_share"),
        (r#"{"thin": 2}"#, "thin"),
        (r#"{"queues": "x"}"#, "queues"),
    ] {
        let error = parse_operator(text).expect_err(text).to_string();
        assert!(error.contains(field), "{error} should name {field}");
    }
}

//! Default values of the scheduling policy.

use super::{pilot_count, queue_for_size, queue_weight, Policy};

#[test]
fn the_default_policy_yields_the_expected_pilot_counts_queues_and_weights() {
    let p = Policy::default();
    assert_eq!(
        [1, 7, 8, 39, 40, 100_000].map(|n| pilot_count(&p, n)),
        [0, 0, 1, 1, 2, 5_000]
    );
    assert_eq!(
        [0.0, 600.0, 601.0, 6_001.0, 1e30].map(|s| queue_for_size(&p, s)),
        [0, 0, 1, 2, 9]
    );
    assert!((queue_weight(&p, 0) / queue_weight(&p, 1) - 10.0).abs() < 1e-9);
}

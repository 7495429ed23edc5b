//! The values of the design.

use super::{pilots_of, queue_of, weight_of, Policy};

#[test]
fn pilots_queues_and_weights_start_at_the_designs_values() {
    let p = Policy::default();
    assert_eq!(
        [1, 7, 8, 39, 40, 100_000].map(|n| pilots_of(&p, n)),
        [0, 0, 1, 1, 2, 5_000]
    );
    assert_eq!(
        [0.0, 600.0, 601.0, 6_001.0, 1e30].map(|s| queue_of(&p, s)),
        [0, 0, 1, 2, 9]
    );
    assert!((weight_of(&p, 0) / weight_of(&p, 1) - 10.0).abs() < 1e-9);
}

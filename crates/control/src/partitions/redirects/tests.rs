//! Tests how often workers are redirected to their owners, and what the leader concludes when they
//! return.

use super::*;

#[test]
fn a_worker_that_returns_is_redirected_again_after_increasing_pauses() {
    let mut redirects = Redirects::new();
    let mut redirected_at = Vec::new();
    for now in (0..900).map(|second| second * 1_000) {
        if redirects.try_redirect("vm-1", "n1", now) {
            redirected_at.push(now / 1_000);
        }
    }
    assert_eq!(redirected_at, [0, 30, 90, 210, 450]);
    redirects.on_owner_reached("vm-1", "n1");
    assert!(
        redirects.try_redirect("vm-1", "n1", 900_000),
        "the worker had reached its owner"
    );
}

#[test]
fn workers_are_redirected_at_a_limited_rate() {
    let mut redirects = Redirects::new();
    let mut redirected = 0;
    for number in 0..2_000 {
        let now = 1_000 + number;
        redirected += u32::from(redirects.try_redirect(&format!("vm-{number}"), "n1", now));
    }
    assert!(
        (140..=152).contains(&redirected),
        "{redirected} redirects in two seconds, including the burst"
    );
}

#[test]
fn an_owner_whose_workers_all_return_is_unreachable_for_a_while() {
    let mut redirects = Redirects::new();
    let return_workers = |redirects: &mut Redirects, numbers: std::ops::Range<u32>| {
        for number in numbers {
            let machine = format!("vm-{number}");
            assert!(redirects.try_redirect(&machine, "n1", 1_000));
            assert!(
                !redirects.try_redirect(&machine, "n1", 2_000),
                "redirected again too soon"
            );
        }
    };
    return_workers(&mut redirects, 0..7);
    assert!(!redirects.is_unreachable("n1", 2_000));
    redirects.on_owner_received_heartbeats("n1");
    return_workers(&mut redirects, 10..17);
    assert!(
        !redirects.is_unreachable("n1", 2_000),
        "the owner had received worker heartbeats"
    );
    return_workers(&mut redirects, 20..21);
    assert!(redirects.is_unreachable("n1", 2_000));
    assert!(!redirects.is_unreachable("n2", 2_000));
    assert!(
        !redirects.is_unreachable("n1", 40_000),
        "no worker was redirected there since"
    );
}

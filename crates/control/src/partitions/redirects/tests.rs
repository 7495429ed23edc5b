//! How often workers are sent to their owners, and what is concluded when they come back.

use super::*;

#[test]
fn a_worker_that_comes_back_is_sent_again_after_growing_pauses() {
    let mut redirects = Redirects::new();
    let mut sent_at = Vec::new();
    for now in (0..900).map(|second| second * 1_000) {
        if redirects.try_redirect("vm-1", "n1", now) {
            sent_at.push(now / 1_000);
        }
    }
    assert_eq!(sent_at, [0, 30, 90, 210, 450]);
    redirects.reached("vm-1", "n1");
    assert!(
        redirects.try_redirect("vm-1", "n1", 900_000),
        "it was reached"
    );
}

#[test]
fn workers_are_sent_away_at_a_bounded_rate() {
    let mut redirects = Redirects::new();
    let mut sent = 0;
    for number in 0..2_000 {
        let now = 1_000 + number;
        sent += u32::from(redirects.try_redirect(&format!("vm-{number}"), "n1", now));
    }
    assert!(
        (140..=152).contains(&sent),
        "{sent} in two seconds, a burst included"
    );
}

#[test]
fn an_owner_whose_workers_all_come_back_is_unreachable_for_a_while() {
    let mut redirects = Redirects::new();
    let come_back = |redirects: &mut Redirects, numbers: std::ops::Range<u32>| {
        for number in numbers {
            let machine = format!("vm-{number}");
            assert!(redirects.try_redirect(&machine, "n1", 1_000));
            assert!(!redirects.try_redirect(&machine, "n1", 2_000), "so soon");
        }
    };
    come_back(&mut redirects, 0..7);
    assert!(!redirects.is_unreachable("n1", 2_000));
    redirects.owner_received_reports("n1");
    come_back(&mut redirects, 10..17);
    assert!(
        !redirects.is_unreachable("n1", 2_000),
        "it had heard workers"
    );
    come_back(&mut redirects, 20..21);
    assert!(redirects.is_unreachable("n1", 2_000));
    assert!(!redirects.is_unreachable("n2", 2_000));
    assert!(
        !redirects.is_unreachable("n1", 40_000),
        "nobody was sent there since"
    );
}

//! When a boot counts as late.

use super::BootTimes;

/// Gangs waited for machines of which one in ten takes several times as long as the others.
#[test]
fn a_boot_is_late_by_what_was_seen_of_its_type() {
    let mut boots = BootTimes::default();
    for _ in 0..9 {
        boots.add(45.0);
    }
    assert_eq!(boots.late_s(), None, "too few");
    boots.add(45.0);
    assert_eq!(boots.late_s(), Some(46.0));
    for n in 0..40 {
        boots.add(if n % 2 == 0 { 35.0 } else { 55.0 });
    }
    let late = boots.late_s().expect("seen");
    assert!((60.0..66.0).contains(&late), "{late}");
}

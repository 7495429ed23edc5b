//! Tests of the bound after which a boot counts as late.

use super::BootTimes;

/// Guards against gangs that wait for machines with unusually long boots: one boot in ten takes several times as long
/// as the others.
#[test]
fn a_boot_is_late_relative_to_earlier_boots_of_its_type() {
    let mut boots = BootTimes::default();
    for _ in 0..9 {
        boots.add(45.0);
    }
    assert_eq!(boots.late_after_s(), None, "too few boots seen");
    boots.add(45.0);
    assert_eq!(boots.late_after_s(), Some(46.0));
    for n in 0..40 {
        boots.add(if n % 2 == 0 { 35.0 } else { 55.0 });
    }
    let late_after_s = boots.late_after_s().expect("enough boots seen");
    assert!((60.0..66.0).contains(&late_after_s), "{late_after_s}");
}

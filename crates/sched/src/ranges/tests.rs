//! Compares range sets with `BTreeSet`.

use super::RangeSet;
use std::collections::BTreeSet;

#[test]
fn a_range_set_matches_a_btree_set_and_round_trips_through_its_text_form() {
    let (mut ranges, mut plain) = (RangeSet::default(), BTreeSet::new());
    let mut x: u32 = 7;
    for _ in 0..2000 {
        x = x.wrapping_mul(1_103_515_245).wrapping_add(12345);
        let n = (x >> 16) % 64;
        if x & 1 == 0 {
            assert_eq!(ranges.insert(n), plain.insert(n));
        } else {
            assert_eq!(ranges.remove(n), plain.remove(&n));
        }
        assert_eq!(ranges.len(), plain.len() as u64);
        let gap = (n..).find(|i| !plain.contains(i));
        assert_eq!(Some(ranges.next_missing(n)), gap);
    }
    assert!(ranges.iter().eq(plain.iter().copied()));
    assert_eq!(RangeSet::parse(&ranges.to_string()), Some(ranges));
    assert_eq!(RangeSet::parse("5-2"), None);
}

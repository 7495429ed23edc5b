//! Parts of jobs in their dense form.

use super::{ChunkRecord, SmallPart};

#[test]
fn the_dense_form_says_the_same_in_a_third_of_the_bytes() {
    let assignment = |task: u32| (task, 2, format!("vm-{:06}", 150 + 7 * task));
    let mut chunk = ChunkRecord {
        done: "0-3,7".into(),
        at: (8..32).map(assignment).collect(),
        hi: 2,
        secs: 12.5,
        timed: 5,
    };
    chunk.at[3].1 = 1;
    let small = SmallPart::from(&chunk);
    assert_eq!(small.read(), Some(chunk.clone()));
    let (dense, plain) = (crate::json_bytes(&small), crate::json_bytes(&chunk));
    assert!(dense * 5 < plain * 3, "{dense} of {plain}");
    let whole = ChunkRecord::default();
    assert_eq!(SmallPart::from(&whole).read(), Some(whole));
    // Names with separators of their own, and names with nothing in common.
    chunk.at = vec![(1, 2, "é1".into()), (2, 2, "è:2".into()), (3, 1, "".into())];
    assert_eq!(SmallPart::from(&chunk).read(), Some(chunk));
    let bad = SmallPart {
        assignments: vec!["x:1".into()],
        ..small
    };
    assert_eq!(bad.read(), None);
}

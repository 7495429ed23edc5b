//! The dense encoding of chunks.

use super::{ChunkRecord, DenseChunk};

#[test]
fn the_dense_encoding_is_lossless_and_at_most_three_fifths_of_the_size() {
    let assignment = |task: u32| (task, 2, format!("vm-{:06}", 150 + 7 * task));
    let mut chunk = ChunkRecord {
        done_ranges: "0-3,7".into(),
        assignments: (8..32).map(assignment).collect(),
        highest_attempt: 2,
        timed_run_s: 12.5,
        timed_tasks: 5,
    };
    chunk.assignments[3].1 = 1;
    let dense = DenseChunk::from(&chunk);
    assert_eq!(dense.decode(), Some(chunk.clone()));
    let (dense_size, plain_size) = (crate::json_size(&dense), crate::json_size(&chunk));
    assert!(
        dense_size * 5 < plain_size * 3,
        "{dense_size} of {plain_size}"
    );
    let empty = ChunkRecord::default();
    assert_eq!(DenseChunk::from(&empty).decode(), Some(empty));
    // Machine names that contain the separator, and names without a common prefix.
    chunk.assignments = vec![(1, 2, "é1".into()), (2, 2, "è:2".into()), (3, 1, "".into())];
    assert_eq!(DenseChunk::from(&chunk).decode(), Some(chunk));
    let malformed = DenseChunk {
        assignments: vec!["x:1".into()],
        ..dense
    };
    assert_eq!(malformed.decode(), None);
}

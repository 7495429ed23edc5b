//! Tests of the conversion of a job from the wide to the dense form.

use super::Job;
use wire::records::JobRecord;
use wire::users::Submission;

/// A write in the wide form may be confirmed after the split. It then covers the chunks that the wide chunk was split
/// into, and only their later changes remain to be recorded.
#[test]
fn splitting_a_chunk_keeps_its_sequence_numbers_and_content() {
    let spec: Submission = serde_json::from_str(
        r#"{"id":"run-1","cohort":"c","tenant":"t","shape":"array","rank":"low","shards":300,"cpus":1,"gpus":0,
        "mem_gb":1,"bundle":"i","pull_gb":1,"same_place":false,"apart":false,"loaners":true,"guess_s":1,
        "stow_every_s":0,"stow_s":0}"#,
    )
    .expect("submission");
    let record = JobRecord::new(spec, 0);
    let mut job = Job::new(record, 1);
    for task in [0, 31, 32, 130, 299] {
        job.assign(task, "vm-1", 1, false, 0);
    }
    job.complete(31, Some(4.0));
    assert_eq!((job.covered_chunks(1, true), job.chunks.len()), (1..2, 3));
    let (wide_chunk, sample) = (job.chunks[&0].clone(), job.run_time_sample());
    job.split_into_dense_chunks();
    assert_eq!(
        (job.covered_chunks(1, true), job.covered_chunks(1, false)),
        (4..8, 1..2)
    );
    // 300 tasks make ten dense chunks, which continue the attempt and sequence numbers.
    assert!(job.chunks.keys().copied().eq(0..10));
    assert!(job.chunks.values().all(|chunk| chunk.highest_attempt == 1));
    assert!((0..4).all(|number| job.chunks[&number].seq == wide_chunk.seq));
    let assignments: Vec<u32> = job.assignments().map(|(task, _)| task).collect();
    assert_eq!(assignments, [0, 31, 32, 130, 299]);
    assert_eq!(
        (job.run_time_sample(), job.chunks[&0].done.len()),
        (sample, 1)
    );
    assert!(job.assignment(130).is_some() && job.assignment(131).is_none());
    job.recount_tasks();
    assert_eq!((job.done_count, job.assigned_count), (1, 5));
}

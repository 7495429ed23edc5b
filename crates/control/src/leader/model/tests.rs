//! Parts of jobs, and boots.

use super::*;

/// A write of the wide layout that is answered after the split speaks of the parts that its part has become; what
/// has changed since stays to be recorded.
#[test]
fn a_split_part_carries_on_its_numbers_and_what_it_holds() {
    let spec: Submission = serde_json::from_str(
        r#"{"id":"run-1","cohort":"c","tenant":"t","shape":"array","rank":"low","shards":300,"cpus":1,"gpus":0,
        "mem_gb":1,"bundle":"i","pull_gb":1,"same_place":false,"apart":false,"loaners":true,"guess_s":1,
        "stow_every_s":0,"stow_s":0}"#,
    )
    .expect("submission");
    let record = JobRecord::new(spec, 0);
    let mut job = Job::new(record, 1);
    for task in [0, 31, 32, 130, 299] {
        job.put(task, "vm-1", 1, false, 0);
    }
    job.complete(31, Some(4.0));
    assert_eq!((job.parts_in(1, true), job.chunks.len()), (1..2, 3));
    let (whole, sample) = (job.chunks[&0].clone(), job.sample());
    job.split();
    assert_eq!(
        (job.parts_in(1, true), job.parts_in(1, false)),
        (4..8, 1..2)
    );
    // 300 tasks are ten small parts; attempts and numbers carry on in each of them.
    assert!(job.chunks.keys().copied().eq(0..10));
    assert!(job.chunks.values().all(|c| c.hi == 1));
    assert!((0..4).all(|n| job.chunks[&n].seq == whole.seq));
    let assignments: Vec<u32> = job.assignments().map(|(t, _)| t).collect();
    assert_eq!(assignments, [0, 31, 32, 130, 299]);
    assert_eq!((job.sample(), job.chunks[&0].done.len()), (sample, 1));
    assert!(job.assignment(130).is_some() && job.assignment(131).is_none());
    job.count_chunks();
    assert_eq!((job.done, job.assigned), (1, 5));
}

/// Gangs waited for machines of which one in ten takes several times as long as the others.
#[test]
fn a_boot_is_late_by_what_was_seen_of_its_type() {
    let mut boots = Boots::default();
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

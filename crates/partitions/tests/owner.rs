//! Tests of an owner's decisions, and of messages that it must ignore.

use vetchmount_partitions::{partition_of, Decision, Delegation, Owner, RequestError};
use wire::partitions::*;
use wire::workers::{TaskPhase, TaskStatus, WorkerHeartbeat};

const REPORT_MS: u64 = 2_000;
const BOOT: u64 = 5;
const TERM: u64 = 3;
const MACHINE: &str = "vm-000007";

fn report(seq: u64) -> WorkerHeartbeat {
    WorkerHeartbeat {
        machine: MACHINE.into(),
        addr: "10.0.0.1:1".into(),
        machine_type: "g4".into(),
        zone: "a".into(),
        spot: false,
        incarnation: 1,
        seq,
        term: TERM,
        reclaim_in_s: None,
        tasks: vec![TaskStatus {
            task: "run-1/0".into(),
            attempt: 1,
            phase: TaskPhase::Running,
            cause: None,
            checkpoint_written: None,
        }],
    }
}

fn partition(epoch: u64) -> PartitionEpoch {
    let partition = partition_of(MACHINE);
    PartitionEpoch { partition, epoch }
}

fn grant(number: u64, sent: u64) -> Grant {
    Grant {
        boot: BOOT,
        request: number,
        sent,
        number,
        valid_ms: 4_000,
        partitions: vec![partition(1)],
        recalled: Vec::new(),
        elsewhere: Vec::new(),
    }
}

fn permit(number: u64, seq: u64) -> Permit {
    Permit {
        machine: MACHINE.into(),
        partition: partition(1),
        number,
        incarnation: 1,
        seq,
    }
}

/// An owner at time 1,000 that has forwarded report 1 and has received a permit for the machine.
fn permitted_owner() -> Owner {
    let mut owner = Owner::new(BOOT, REPORT_MS);
    owner.on_term(TERM, 1_000);
    assert!(owner.on_grant(TERM, grant(1, 1_000), 1_000));
    assert_eq!(owner.decide(&report(1), 1_000), Decision::Forward);
    owner.on_permits(TERM, BOOT, vec![permit(1, 1)], 1_000);
    owner
}

const ANSWER: Decision = Decision::Answer { term: TERM };

#[test]
fn it_answers_reports_that_repeat_the_last_one_and_forwards_all_others() {
    assert_eq!(permitted_owner().decide(&report(2), 2_000), ANSWER);
    let changes: [&dyn Fn(&mut WorkerHeartbeat); 7] = [
        &|r| r.incarnation = 2,
        &|r| r.term = TERM + 1,
        &|r| r.reclaim_in_s = Some(20.0),
        &|r| r.addr = "10.0.0.2:1".into(),
        &|r| r.tasks.clear(),
        &|r| r.tasks[0].phase = TaskPhase::Saving,
        &|r| r.spot = true,
    ];
    for (number, change) in changes.iter().enumerate() {
        let mut owner = permitted_owner();
        let mut other = report(2);
        change(&mut other);
        assert_eq!(owner.decide(&other, 2_000), Decision::Forward, "{number}");
        // Forwarding the report has ended the permit.
        assert_eq!(
            owner.decide(&report(3), 2_500),
            Decision::Forward,
            "{number}"
        );
    }
}

#[test]
fn late_copies_of_reports_are_refused() {
    let mut owner = permitted_owner();
    assert_eq!(owner.decide(&report(3), 2_000), ANSWER);
    assert_eq!(owner.decide(&report(2), 2_100), Decision::Outdated);
    assert_eq!(owner.decide(&report(3), 2_100), Decision::Outdated);
    assert_eq!(owner.decide(&report(4), 2_200), ANSWER);
}

#[test]
fn after_its_grant_expires_it_forwards_for_a_while_and_then_redirects_to_the_leader() {
    let mut owner = permitted_owner();
    assert_eq!(owner.decide(&report(2), 4_999), ANSWER);
    assert_eq!(owner.decide(&report(3), 5_000), Decision::Forward);
    assert_eq!(owner.decide(&report(4), 8_999), Decision::Forward);
    assert_eq!(owner.decide(&report(5), 9_001), Decision::Redirect(None));
}

#[test]
fn every_eighth_report_is_forwarded() {
    let mut owner = permitted_owner();
    let mut forwarded = Vec::new();
    for seq in 2..=20 {
        let now = 1_000 + (seq - 1) * REPORT_MS;
        owner.on_grant(TERM, grant(seq, now), now);
        if owner.decide(&report(seq), now) == Decision::Forward {
            forwarded.push(seq);
            owner.on_permits(TERM, BOOT, vec![permit(seq, seq)], now);
        }
    }
    assert_eq!(forwarded, [9, 17]);
}

#[test]
fn messages_of_another_term_or_process_or_out_of_order_are_ignored() {
    let mut owner = permitted_owner();
    let other_process = Grant {
        boot: BOOT + 1,
        ..grant(9, 9_000)
    };
    assert!(
        !owner.on_grant(TERM, other_process, 2_000),
        "another process"
    );
    assert!(
        !owner.on_grant(TERM - 1, grant(9, 9_000), 2_000),
        "an old term"
    );
    assert!(!owner.on_grant(TERM, grant(1, 9_000), 2_000), "a copy");
    assert_eq!(owner.decide(&report(2), 4_999), ANSWER);
    assert_eq!(owner.decide(&report(3), 5_000), Decision::Forward);
    // Permits of another process, of an old term, out of order, for the wrong partition, or for another report.
    let mut owner = permitted_owner();
    owner.decide(&report(2), 2_000);
    let mut changed = report(3);
    changed.tasks.clear();
    assert_eq!(owner.decide(&changed, 2_100), Decision::Forward);
    owner.on_permits(TERM, BOOT + 1, vec![permit(2, 3)], 2_100);
    owner.on_permits(TERM - 1, BOOT, vec![permit(2, 3)], 2_100);
    owner.on_permits(TERM, BOOT, vec![permit(1, 3)], 2_100);
    let mut misplaced = permit(2, 3);
    misplaced.partition.partition = (misplaced.partition.partition + 1) % 64;
    owner.on_permits(TERM, BOOT, vec![misplaced], 2_100);
    changed.seq = 4;
    assert_eq!(owner.decide(&changed, 2_200), Decision::Forward);
    owner.on_permits(TERM, BOOT, vec![permit(3, 3)], 2_300);
    changed.seq = 5;
    assert_eq!(
        owner.decide(&changed, 2_400),
        Decision::Forward,
        "the permit was for another report"
    );
    // Partitions that do not exist are ignored.
    let mut owner = permitted_owner();
    let mut unknown = grant(2, 2_000);
    unknown.partitions.push(PartitionEpoch {
        partition: 64,
        epoch: 1,
    });
    assert!(owner.on_grant(TERM, unknown, 2_000));
    assert_eq!(owner.held_partition_count(2_000), 1);
}

#[test]
fn a_newer_term_ends_the_grant_and_all_permits_at_once() {
    let mut owner = permitted_owner();
    owner.on_term(TERM + 1, 2_000);
    assert_eq!(
        (
            owner.steady_machine_count(),
            owner.held_partition_count(2_000)
        ),
        (0, 0)
    );
    assert_eq!(owner.decide(&report(2), 2_000), Decision::Forward);
    assert!(!owner.on_grant(TERM, grant(2, 2_000), 2_000));
    assert!(
        owner.on_grant(TERM + 1, grant(1, 2_000), 2_000),
        "grant numbers restart in each term"
    );
}

#[test]
fn a_permit_that_arrives_after_its_recall_is_ignored() {
    let mut owner = permitted_owner();
    let mut changed = report(2);
    changed.tasks.clear();
    assert_eq!(owner.decide(&changed, 2_000), Decision::Forward);
    let recalled = RecalledPermit {
        machine: MACHINE.into(),
        permit: 2,
    };
    owner.on_recall(TERM, BOOT, &[recalled]);
    owner.on_permits(TERM, BOOT, vec![permit(2, 2)], 2_100);
    changed.seq = 3;
    assert_eq!(owner.decide(&changed, 2_200), Decision::Forward);
}

#[test]
fn a_silent_machine_is_relinquished_until_the_leader_confirms_it() {
    let mut owner = permitted_owner();
    assert_eq!(owner.decide(&report(2), 2_000), ANSWER);
    let load = ControllerLoad::default();
    assert!(owner
        .next_request(load, 2_500)
        .expect("due")
        .relinquished
        .is_empty());
    assert!(owner.next_request(load, 2_600).is_none(), "not due");
    let request = owner.next_request(load, 8_000).expect("due");
    let expected = Relinquished {
        machine: MACHINE.into(),
        permit: 1,
        answered_ago_ms: Some(6_000),
        heard_ago_ms: 6_000,
    };
    assert_eq!(request.relinquished, [expected]);
    // The request may be lost, so the permit is relinquished again until a grant answers a request that contained it.
    let again = owner.next_request(load, 9_000).expect("due");
    assert_eq!(again.relinquished.len(), 1);
    let answer = Grant {
        request: request.request,
        ..grant(2, 9_000)
    };
    assert!(owner.on_grant(TERM, answer, 9_100));
    assert!(owner
        .next_request(load, 10_000)
        .expect("due")
        .relinquished
        .is_empty());
}

#[test]
fn the_leader_rejects_requests_with_another_number_of_partitions() {
    let mut leader = Delegation::new(REPORT_MS);
    let mut owner = Owner::new(BOOT, REPORT_MS);
    let mut request = owner
        .next_request(ControllerLoad::default(), 1_000)
        .expect("due");
    request.partition_count = 32;
    let rejected = leader.on_request("n1", &request, 1_000);
    assert_eq!(rejected, Err(RequestError::PartitionCount { theirs: 32 }));
}

#[test]
fn a_permit_for_a_machine_is_issued_only_to_its_owner() {
    let mut leader = Delegation::new(REPORT_MS);
    let mut owner = Owner::new(BOOT, REPORT_MS);
    let request = owner
        .next_request(ControllerLoad::default(), 1_000)
        .expect("due");
    leader
        .on_request("n1", &request, 1_000)
        .expect("a valid request");
    leader.issue_grant("n1", &request, &[partition(1)], 4_000, 1_000);
    assert!(leader.issue_permit("n2", MACHINE, (1, 1), 1_100).is_none());
    assert!(leader.issue_permit("n1", MACHINE, (1, 1), 1_100).is_some());
    assert_eq!(leader.latest_possible_answer(MACHINE), Some(1_000 + 4_008));
}

//! Tests of admission queues, fair sharing and refusals.

use std::time::Duration;

use sesamebeam_core::{
    fleet::Priority,
    ids::{
        MonoTime,
        RequestId, //
    },
    policy::admission::{
        Admission,
        AdmissionConfig,
        AdmissionOutcome,
        AdmissionRequest, //
    },
};

use crate::fixtures::{
    fleet,
    secs, //
};

fn admission(slots: u32) -> Admission {
    let mut admission = Admission::new(AdmissionConfig::default());
    admission.configure(&fleet());
    admission.set_capacity(&"pool".into(), slots);
    admission
}

fn admission_request(
    request: RequestId,
    org: &str,
    priority: Priority,
    deadline: u64,
) -> AdmissionRequest {
    AdmissionRequest {
        request,
        org: org.into(),
        pool: "pool".into(),
        priority,
        deadline: secs(deadline),
        expected_duration: secs(1),
    }
}

/// Runs every request for one second and returns the order in which queued
/// requests start.
fn drain(
    admission: &mut Admission,
    mut now: MonoTime,
    mut running: Vec<RequestId>,
) -> Vec<RequestId> {
    let mut order = Vec::new();
    while !running.is_empty() {
        now += secs(1);
        for request in std::mem::take(&mut running) {
            admission.finished("pool", request, secs(1));
        }
        running = admission.next(now);
        order.extend(&running);
    }
    order
}

#[test]
fn urgent_first() {
    let mut admission = admission(1);
    let offers = [
        (1, Priority::Normal),
        (2, Priority::Deferrable),
        (3, Priority::Normal),
        (4, Priority::Urgent),
    ];
    for (request, priority) in offers {
        admission.submit(secs(0), admission_request(request, "large", priority, 600));
    }
    assert_eq!(drain(&mut admission, secs(0), vec![1]), [4, 3, 2]);
}

#[test]
fn kept_slots() {
    let mut admission = admission(10);
    let normal: Vec<AdmissionOutcome> = (0..10)
        .map(|n| {
            admission.submit(
                secs(0),
                admission_request(n, "large", Priority::Normal, 600),
            )
        })
        .collect();
    assert_eq!(
        normal
            .iter()
            .filter(|outcome| **outcome == AdmissionOutcome::Run)
            .count(),
        9
    );
    let urgent = admission_request(99, "small", Priority::Urgent, 600);
    assert_eq!(admission.submit(secs(0), urgent), AdmissionOutcome::Run);
}

#[test]
fn fair_shares() {
    // A large organisation has queued a hundred requests before a small one
    // submits ten. The small one must get every second slot rather than wait
    // for the end of the queue.
    let mut admission = admission(1);
    for n in 0..100 {
        admission.submit(
            secs(0),
            admission_request(n, "large", Priority::Normal, 6000),
        );
    }
    for n in 1000..1010 {
        admission.submit(
            secs(0),
            admission_request(n, "small", Priority::Normal, 6000),
        );
    }
    let order = drain(&mut admission, secs(0), vec![0]);
    let small = order[..21]
        .iter()
        .filter(|request| **request >= 1000)
        .count();
    assert!(small >= 9, "{small}");
}

#[test]
fn refused_at_once() {
    let mut admission = admission(1);
    for n in 0..20 {
        admission.submit(
            secs(0),
            admission_request(n, "large", Priority::Normal, 600),
        );
    }
    let outcome = admission.submit(secs(0), admission_request(50, "large", Priority::Normal, 5));
    let AdmissionOutcome::Refused { retry_after } = outcome else {
        panic!("{outcome:?}");
    };
    assert!(
        retry_after >= secs(10) && retry_after <= secs(40),
        "{retry_after:?}"
    );
}

#[test]
fn impossible_refused() {
    let mut admission = admission(4);
    let late = AdmissionRequest {
        expected_duration: secs(10),
        ..admission_request(1, "large", Priority::Urgent, 5)
    };
    assert!(matches!(
        admission.submit(secs(0), late),
        AdmissionOutcome::Refused { .. }
    ));
}

#[test]
fn given_up_at_once() {
    // A request is queued behind one that takes much longer than expected. It
    // must expire as soon as it can no longer meet its deadline, not at the
    // deadline.
    let mut admission = admission(1);
    admission.submit(
        secs(0),
        admission_request(1, "large", Priority::Normal, 600),
    );
    assert_eq!(
        admission.submit(secs(0), admission_request(2, "large", Priority::Normal, 10)),
        AdmissionOutcome::Queued
    );
    assert_eq!(admission.next_expiry(), Some(secs(9)));
    assert!(admission.expired(secs(9)).is_empty());
    let expired = admission.expired(secs(9) + Duration::from_millis(1));
    assert_eq!(expired.iter().map(|g| g.request).collect::<Vec<_>>(), [2]);
    assert_eq!(admission.queued("pool"), 0);
}

#[test]
fn deferrable_in_time() {
    // Guards against starvation of deferrable requests: under a continuous load
    // of normal requests, a deferrable one must start before its latest start
    // time.
    let mut admission = admission(1);
    admission.submit(
        secs(0),
        admission_request(1, "large", Priority::Normal, 6000),
    );
    admission.submit(
        secs(0),
        admission_request(2, "small", Priority::Deferrable, 20),
    );
    let mut running = 1;
    let mut started_at = None;
    for second in 1..20 {
        admission.submit(
            secs(second),
            admission_request(100 + u128::from(second), "large", Priority::Normal, 6000),
        );
        admission.finished("pool", running, secs(1));
        running = admission.next(secs(second))[0];
        if running == 2 {
            started_at = Some(second);
        }
    }
    assert!(
        started_at.is_some_and(|at| (15..=19).contains(&at)),
        "{started_at:?}"
    );
}

#[test]
fn bounded_queue() {
    let mut admission = admission(1);
    let refused = (0..5000)
        .map(|n| {
            admission.submit(
                secs(0),
                admission_request(n, "large", Priority::Deferrable, 100_000),
            )
        })
        .filter(|outcome| matches!(outcome, AdmissionOutcome::Refused { .. }))
        .count();
    assert_eq!(admission.queued("pool"), 1024);
    assert_eq!(refused, 5000 - 1 - 1024);
}

#[test]
fn caller_left() {
    let mut admission = admission(1);
    admission.submit(
        secs(0),
        admission_request(1, "large", Priority::Normal, 600),
    );
    admission.submit(
        secs(0),
        admission_request(2, "large", Priority::Normal, 600),
    );
    assert!(admission.cancel("pool", 2));
    assert!(!admission.cancel("pool", 2));
    assert!(drain(&mut admission, secs(0), vec![1]).is_empty());
}

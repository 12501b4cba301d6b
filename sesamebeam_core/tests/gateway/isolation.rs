//! Detection of services none of whose backend servers an entry reaches.

use sesamebeam_core::gateway::{
    balance::Outcome,
    router::Router, //
};
use yare::parameterized;

use crate::fixtures::{
    head,
    ms,
    router, //
};

/// Sends a request to one backend server after another and returns how many of them were
/// unreachable before the service counted as isolated.
fn fail_until_isolated(router: &mut Router, outcome: Outcome, sends: usize) -> Option<usize> {
    let plan = router.admit(ms(0), &head("a")).expect("it is admitted");
    let mut tried = Vec::new();
    for failed in 1..=sends {
        let choice = router.choose(ms(0), &plan, None, &tried);
        let choice = choice.expect("one is left");
        router.record_outcome(ms(0), &plan, &choice, outcome);
        tried.push(choice.id);
        if router.is_isolated("pool") {
            return Some(failed);
        }
    }
    None
}

#[parameterized(
    many = { 5, Outcome::Unreachable, Some(3) },
    refused = { 5, Outcome::Down, Some(3) },
    silent = { 5, Outcome::Silent, Some(3) },
    two = { 2, Outcome::Unreachable, Some(2) },
    one = { 1, Outcome::Down, Some(1) },
    failing = { 5, Outcome::Failed, None },
    full = { 5, Outcome::Refused, None },
)]
fn begins(servers: u8, outcome: Outcome, after: Option<usize>) {
    let mut router = router(servers);
    let sends = usize::from(servers);
    assert_eq!(fail_until_isolated(&mut router, outcome, sends), after);
}

#[test]
fn response_between() {
    // A few backend servers are down, and others answer.
    let mut router = router(5);
    assert_eq!(fail_until_isolated(&mut router, Outcome::Down, 2), None);
    router.record_response(ms(0), &"server-4".into(), None);
    assert_eq!(fail_until_isolated(&mut router, Outcome::Down, 2), None);
}

#[test]
fn response_ends_it() {
    let mut router = router(3);
    assert_eq!(
        fail_until_isolated(&mut router, Outcome::Unreachable, 3),
        Some(3)
    );
    router.record_response(ms(10), &"server-1".into(), None);
    assert!(router.isolated_services().is_empty());
}

/// Returns the number of backend servers that an entry reports as unreachable.
fn reported(router: &mut Router, now: u64) -> usize {
    router.take_report(ms(now)).unreachable.len()
}

#[test]
fn cut_entry_reports_nothing() {
    // Guards against sound entries that avoid backend servers which only a cut entry of
    // their failure domain does not reach.
    let mut router = router(5);
    assert_eq!(
        fail_until_isolated(&mut router, Outcome::Unreachable, 2),
        None
    );
    assert_eq!(reported(&mut router, 50), 0);
    assert_eq!(
        fail_until_isolated(&mut router, Outcome::Unreachable, 3),
        Some(3)
    );
    assert_eq!(reported(&mut router, 100), 0);
    router.record_response(ms(200), &"server-4".into(), None);
    assert_eq!(reported(&mut router, 250), 0);
}

#[test]
fn reported_once_others_respond() {
    // Guards against entries that each have to find out what one of them knows.
    let mut router = router(5);
    fail_until_isolated(&mut router, Outcome::Unreachable, 2);
    assert_eq!(reported(&mut router, 50), 0);
    router.record_response(ms(60), &"server-4".into(), None);
    assert_eq!(reported(&mut router, 100), 2);
    assert_eq!(reported(&mut router, 150), 0);
}

//! Ways to home claims.

use std::time::Duration;

use sesamebeam_bench::homes::{
    PLACES,
    Way,
    weigh, //
};

const FSYNC: Duration = Duration::from_millis(1);

/// One group has a replica in each of three failure domains: the cut one has
/// no majority, the other two have.
#[test]
fn one_group() {
    let outcome = weigh(Way::OneGroup, &PLACES[0], FSYNC, 1);
    assert_eq!(outcome.cut_first, 0.0);
    assert_eq!(outcome.rest_first, 1.0);
    assert_eq!(outcome.twice, 0.0);
}

/// A third of the keys is homed in the cut domain: it serves only those, and
/// the others serve only the rest.
#[test]
fn hashed_keys() {
    let outcome = weigh(Way::Hash, &PLACES[0], FSYNC, 1);
    assert!((outcome.cut_first - 1.0 / 3.0).abs() < 0.01, "{outcome:?}");
    assert!((outcome.rest_first - 2.0 / 3.0).abs() < 0.01, "{outcome:?}");
    assert_eq!(outcome.twice, 0.0);
}

/// With one disk a group has no second copy of its claims: a lost disk lets
/// resent keys run again.
#[test]
fn lost_disk() {
    let outcome = weigh(Way::HashOneDisk, &PLACES[0], FSYNC, 1);
    assert!(outcome.twice > 0.0);
}

/// A key names the domain through which it first came, so that only resends
/// through another domain fail.
#[test]
fn ticketed_keys() {
    let outcome = weigh(Way::Ticket, &PLACES[0], FSYNC, 1);
    assert_eq!(outcome.cut_first, 1.0);
    assert_eq!(outcome.rest_first, 1.0);
    assert!(outcome.cut_again < 1.0);
}

#[test]
fn same_seed() {
    let place = &PLACES[2];
    assert_eq!(
        weigh(Way::Region, place, FSYNC, 7),
        weigh(Way::Region, place, FSYNC, 7)
    );
}

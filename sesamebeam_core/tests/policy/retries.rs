//! Tests of the retry and hedging budgets.

use std::time::Duration;

use sesamebeam_core::{
    fleet::Priority,
    policy::retry::{
        HedgeBudget,
        RetryBudget,
        RetryConfig, //
    },
};
use yare::parameterized;

use crate::fixtures::class;

#[parameterized(one = { 1 }, ten = { 10 }, hundred = { 100 })]
fn outage(orgs: usize) {
    // Every attempt fails. Without a budget, retries would multiply the load
    // just when capacity is lowest.
    let mut budget = RetryBudget::new(RetryConfig::default());
    let name = |n: usize| format!("org-{}", n % orgs).into();
    (0..2000).for_each(|n| budget.request(&name(n)));
    let mut attempts = 0;
    for n in 0..500 {
        budget.request(&name(n));
        attempts += 1;
        while budget.try_retry(&name(n)) {
            attempts += 1;
        }
    }
    assert!(attempts <= 550, "{attempts}");
}

#[test]
fn single_crash() {
    let mut budget = RetryBudget::new(RetryConfig::default());
    (0..200).for_each(|_| budget.request(&"org".into()));
    let retried = (0..4).filter(|_| budget.try_retry(&"org".into())).count();
    assert_eq!(retried, 4);
}

#[test]
fn one_org_only() {
    let mut budget = RetryBudget::new(RetryConfig::default());
    (0..200).for_each(|_| budget.request(&"calm".into()));
    (0..200).for_each(|_| budget.request(&"loud".into()));
    while budget.try_retry(&"loud".into()) {}
    assert!(budget.try_retry(&"calm".into()));
}

#[parameterized(
    status = { Priority::Urgent, true, true },
    sheet = { Priority::Urgent, false, false },
    question = { Priority::Normal, true, false },
)]
fn hedged(priority: Priority, idempotent: bool, may: bool) {
    let class = class("status", priority, idempotent);
    let mut budget = HedgeBudget::new(RetryConfig::default());
    (0..100).for_each(|_| budget.request(&class));
    for n in 0..1000u64 {
        budget.answered(&class.name, Duration::from_millis(100 + n % 100));
    }
    assert_eq!(budget.delay(&class).is_some(), may);
    assert_eq!(budget.try_hedge(&class), may);
    let hedges = (0..100).filter(|_| budget.try_hedge(&class)).count();
    assert!(hedges <= 4, "{hedges}");
}

#[test]
fn hedge_delay() {
    let class = class("status", Priority::Urgent, true);
    let mut budget = HedgeBudget::new(RetryConfig::default());
    for n in 0..5000u64 {
        budget.answered(&class.name, Duration::from_millis(100 + (n * 37) % 100));
    }
    let delay = budget.delay(&class).expect("answers were seen").as_millis();
    assert!((180..=210).contains(&delay), "{delay}");
}

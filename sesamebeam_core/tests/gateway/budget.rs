//! The retry budget.

use sesamebeam_core::gateway::{
    entry_count::EntryCounter,
    retry_budget::{
        RetryBudget,
        RetryBudgetConfig, //
    },
};

use crate::fixtures::ms;

/// When an entry has run for so long that it has its part of the slack, in milliseconds.
const STARTED: u64 = 20_000;

fn budget(entries: u32) -> RetryBudget {
    let mut budget = RetryBudget::new(RetryBudgetConfig {
        ratio: 0.5,
        slack: 20.0,
        window: ms(10_000),
    });
    budget.set_entries(ms(0), entries);
    budget
}

#[test]
fn failing_service() {
    // Ten entries, and every request fails and is retried as often as the budget allows.
    // The total within any window stays within the bound.
    let mut entries: Vec<RetryBudget> = (0..10).map(|_| budget(10)).collect();
    let mut retries = Vec::new();
    for step in 0..4000u64 {
        let now = ms(step * 10);
        for budget in &mut entries {
            budget.record_request(now, &"pool".into());
            for _ in 0..2 {
                if budget.try_retry(now, &"pool".into()) {
                    budget.settle_retry(now, &"pool".into());
                    retries.push(step);
                }
            }
        }
    }
    for start in (0..3000).step_by(100) {
        let within = retries
            .iter()
            .filter(|&&s| (start..start + 1000).contains(&s));
        let bound = 0.5 * 10_000.0 + 20.0;
        assert!(within.count() as f64 <= bound);
    }
    assert!(retries.len() > 10_000, "{} retries", retries.len());
}

#[test]
fn burst_after_silence() {
    // An entry has received no requests while its service was down, so it can spend only its
    // part of the slack.
    let mut budget = budget(10);
    let spent = (0..100).filter(|_| budget.try_retry(ms(STARTED), &"pool".into()));
    assert_eq!(spent.count(), 2);
}

#[test]
fn unknown_number_of_entries() {
    // The number of entries is unknown. No entry may spend the slack, as each could take
    // it as a whole.
    let mut budget = budget(0);
    assert!(!budget.try_retry(ms(STARTED), &"pool".into()));
}

#[test]
fn services_independent() {
    let mut budget = budget(1);
    for _ in 0..100 {
        budget.record_request(ms(STARTED), &"pool".into());
    }
    let spent = (0..100).filter(|_| budget.try_retry(ms(STARTED), &"other".into()));
    assert_eq!(spent.count(), 20);
}

#[test]
fn counted_while_starting() {
    // All processes restart at once. A replica counts the entries as they connect, within
    // a second, while the service fails every request. When each entry took itself for
    // one of the few that were connected so far, they sent 26 retries where 20 are
    // allowed.
    let mut counted = EntryCounter::default();
    let mut entries: Vec<RetryBudget> = (0..15).map(|_| budget(0)).collect();
    let mut spent = 0;
    for now in (0..STARTED).step_by(50) {
        let connected = (now / 50 + 1).min(15);
        counted.record_connected(ms(now), connected as u32);
        for budget in entries.iter_mut().take(connected as usize) {
            budget.set_entries(ms(now), counted.count(ms(now)));
            spent += usize::from(budget.try_retry(ms(now), &"pool".into()));
        }
    }
    assert!(spent <= 20, "{spent}");
    assert!(
        spent > 0,
        "the slack is available once all entries are counted"
    );
}

#[test]
fn single_restart() {
    // Guards against an entry that spends the slack of its predecessor once more. A window of
    // the predecessor's last retries has ended 12 s after the start.
    let mut counted = EntryCounter::default();
    counted.record_connected(ms(0), 10);
    let mut budget = budget(0);
    budget.set_entries(ms(100), counted.count(ms(20_000)));
    let mut spent = |at| {
        (0..100)
            .filter(|_| budget.try_retry(ms(at), &"pool".into()))
            .count()
    };
    assert_eq!([100, 5000, 11_900].map(&mut spent), [0, 0, 0]);
    assert_eq!(spent(12_000), 2);
}

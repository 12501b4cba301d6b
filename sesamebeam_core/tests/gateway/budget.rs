//! The budget of repeated sends.

use sesamebeam_core::gateway::{
    budget::{
        Budget,
        BudgetConfig, //
    },
    entry_count::EntryCounter,
};

use crate::fixtures::ms;

fn budget(entries: u32) -> Budget {
    let mut budget = Budget::new(BudgetConfig {
        ratio: 0.5,
        slack: 20.0,
        window: ms(10_000),
    });
    budget.set_entries(ms(0), entries);
    budget
}

#[test]
fn failing_service() {
    // Every request fails and is sent again as often as the budget allows, at
    // ten entries. Over any window the sum stays within the bound.
    let mut entries: Vec<Budget> = (0..10).map(|_| budget(10)).collect();
    let mut repeats = Vec::new();
    for step in 0..4000u64 {
        let now = ms(step * 10);
        for budget in &mut entries {
            budget.request(now, &"pool".into());
            for _ in 0..2 {
                if budget.try_repeat(now, &"pool".into()) {
                    repeats.push(step);
                }
            }
        }
    }
    for start in (0..3000).step_by(100) {
        let within = repeats
            .iter()
            .filter(|&&s| (start..start + 1000).contains(&s));
        let bound = 0.5 * 10_000.0 + 20.0;
        assert!(within.count() as f64 <= bound);
    }
    assert!(repeats.len() > 10_000, "{} repeats", repeats.len());
}

#[test]
fn burst_after_silence() {
    // An entry starts while its service is down. It has seen no request, so
    // that only its part of the slack is left to spend.
    let mut budget = budget(10);
    let spent = (0..100).filter(|_| budget.try_repeat(ms(5), &"pool".into()));
    assert_eq!(spent.count(), 1);
}

#[test]
fn unknown_fleet() {
    // Nobody has said how many entries there are. None of the slack is spent:
    // each entry might take it for its own.
    let mut budget = budget(0);
    assert!(!budget.try_repeat(ms(5), &"pool".into()));
}

#[test]
fn services_apart() {
    let mut budget = budget(1);
    for _ in 0..100 {
        budget.request(ms(5), &"pool".into());
    }
    let spent = (0..100).filter(|_| budget.try_repeat(ms(5), &"other".into()));
    assert_eq!(spent.count(), 17);
}

#[test]
fn counted_while_starting() {
    // All processes were killed together and start again; a replica counts the entries as
    // they connect, within a second, and the service fails whatever is sent. Each entry
    // took itself for one of the few that had come before it: 26 repeats of 20 allowed.
    let mut counted = EntryCounter::default();
    let mut entries: Vec<Budget> = (0..15).map(|_| budget(0)).collect();
    let mut spent = 0;
    for now in (0..8000).step_by(50) {
        let connected = (now / 50 + 1).min(15);
        counted.record_connected(ms(now), connected as u32);
        for budget in entries.iter_mut().take(connected as usize) {
            budget.set_entries(ms(now), counted.count(ms(now)));
            spent += usize::from(budget.try_repeat(ms(now), &"pool".into()));
        }
    }
    assert!(spent <= 20, "{spent}");
    assert!(spent > 0, "it is spent once all are counted");
}

#[test]
fn starts_alone() {
    // One entry is killed and starts again. The replica has counted all before, so that
    // the entry has its part of the slack with its first request.
    let mut counted = EntryCounter::default();
    counted.record_connected(ms(0), 10);
    let mut budget = budget(0);
    budget.set_entries(ms(20_000), counted.count(ms(20_000)));
    assert!(budget.try_repeat(ms(20_000), &"pool".into()));
}

//! Selection of the control replica that an entry follows.

use std::net::SocketAddr;

use sesamebeam_core::gateway::{
    messages::StateSummary,
    subscription::{
        LocalSummary,
        Subscription,
        SubscriptionAction, //
    },
};
use yare::parameterized;

use crate::{
    fixtures::ms,
    group::listen_addr, //
};

const SETTLED: StateSummary = StateSummary {
    config: Some(5),
    index: 9,
    servers: 77,
    settled: true,
};

const LOCAL: LocalSummary = LocalSummary {
    config: Some(5),
    index: 9,
    servers: 77,
};

/// An entry in the first of three failure domains, each of which has a replica.
struct Entry {
    subscription: Subscription,
    now: u64,
}

impl Entry {
    fn new() -> Self {
        let subscription = Subscription::new("entry", &"hall-1".into());
        Self {
            subscription,
            now: 0,
        }
    }

    fn connect(&mut self, number: u64) {
        let addr = listen_addr(number);
        self.subscription.connected(ms(self.now), addr);
        self.subscription
            .set_domain(addr, format!("hall-{number}").into());
    }

    /// Runs for some time, in which the replicas send their summaries twice a second.
    fn run(
        &mut self,
        millis: u64,
        replicas: &[(u64, StateSummary)],
        local: &LocalSummary,
    ) -> Vec<SubscriptionAction> {
        let until = self.now + millis;
        let mut actions = Vec::new();
        while self.now < until {
            if self.now.is_multiple_of(500) {
                for &(number, summary) in replicas {
                    let addr = listen_addr(number);
                    self.subscription
                        .summary_received(ms(self.now), addr, summary, local);
                }
            }
            actions.extend(self.subscription.poll(ms(self.now), local));
            self.now += 50;
        }
        actions
    }

    fn settle(&mut self) {
        (1..=3).for_each(|n| self.connect(n));
        self.run(3000, &[(1, SETTLED), (2, SETTLED), (3, SETTLED)], &LOCAL);
        assert_eq!(self.subscription.followed(), Some(listen_addr(1)));
    }
}

fn resynced(actions: &[SubscriptionAction]) -> Vec<SocketAddr> {
    let resynced = actions.iter().filter_map(|order| match order {
        SubscriptionAction::Ask(addr) => Some(*addr),
        _ => None,
    });
    resynced.collect()
}

#[test]
fn local_replica_preferred() {
    // The replica of another failure domain is connected first and is followed at once.
    // The local one takes over when it has been connected for a while, and the entry
    // never follows both.
    let mut entry = Entry::new();
    entry.connect(2);
    let actions = entry.run(100, &[(2, SETTLED)], &LOCAL);
    assert_eq!(actions, [SubscriptionAction::Follow(listen_addr(2))]);
    entry.connect(1);
    let actions = entry.run(3000, &[(1, SETTLED), (2, SETTLED)], &LOCAL);
    let (far, near) = (listen_addr(2), listen_addr(1));
    assert_eq!(
        actions,
        [
            SubscriptionAction::Unfollow(far),
            SubscriptionAction::Follow(near)
        ]
    );
}

#[test]
fn remote_replica_followed() {
    // The local replica is down. Another one is followed before callers notice.
    let mut entry = Entry::new();
    entry.connect(2);
    let actions = entry.run(50, &[(2, SETTLED)], &LOCAL);
    assert_eq!(actions, [SubscriptionAction::Follow(listen_addr(2))]);
}

#[test]
fn disconnected_replica_replaced() {
    let mut entry = Entry::new();
    entry.settle();
    entry.subscription.disconnected(listen_addr(1));
    let actions = entry.run(50, &[], &LOCAL);
    assert!(
        matches!(actions[..], [SubscriptionAction::Follow(_)]),
        "{actions:?}"
    );
    // It returns, and is followed again once it has been connected for a while.
    entry.connect(1);
    let summaries = [(1, SETTLED), (2, SETTLED), (3, SETTLED)];
    assert_eq!(entry.run(1000, &summaries, &LOCAL), []);
    let actions = entry.run(1500, &summaries, &LOCAL);
    assert!(
        matches!(actions[..], [SubscriptionAction::Unfollow(_), SubscriptionAction::Follow(addr)] if addr == listen_addr(1)),
        "{actions:?}"
    );
}

#[test]
fn cut_off_from_the_group() {
    // A network partition separates the local replica from the group, but not from the
    // entry. Commands that are acknowledged meanwhile are known only to the other
    // replicas: the entry asks one of them within half a second, and then follows another
    // replica.
    let mut entry = Entry::new();
    entry.settle();
    let leaderless = StateSummary {
        settled: false,
        ..SETTLED
    };
    let newer = StateSummary {
        config: Some(6),
        ..SETTLED
    };
    let summaries = [(1, leaderless), (2, newer), (3, newer)];
    let actions = entry.run(500, &summaries, &LOCAL);
    assert!(!resynced(&actions).is_empty(), "{actions:?}");
    assert!(!resynced(&actions).contains(&listen_addr(1)), "{actions:?}");
    let actions = entry.run(1000, &summaries, &LOCAL);
    assert!(
        actions.contains(&SubscriptionAction::Unfollow(listen_addr(1))),
        "{actions:?}"
    );
}

#[parameterized(
    newer_config = { StateSummary { config: Some(6), ..SETTLED }, true },
    newer_rollout = { StateSummary { index: 10, ..SETTLED }, true },
    other_servers = { StateSummary { servers: 3, ..SETTLED }, true },
    older = { StateSummary { config: Some(4), index: 8, ..SETTLED }, false },
)]
fn asks(summary: StateSummary, expected: bool) {
    let mut entry = Entry::new();
    entry.settle();
    let summaries = [(1, SETTLED), (2, SETTLED), (3, summary)];
    let actions = entry.run(1100, &summaries, &LOCAL);
    let wanted: &[_] = if expected { &[listen_addr(3)] } else { &[] };
    let resynced = resynced(&actions);
    assert!(resynced.iter().all(|a| wanted.contains(a)), "{resynced:?}");
    assert_eq!(!resynced.is_empty(), expected);
}

#[test]
fn permanent_mismatch() {
    // Two directories differ permanently, since one of them has expired a record. Resync
    // requests don't help and become less frequent.
    let mut entry = Entry::new();
    entry.settle();
    let other = StateSummary {
        servers: 3,
        ..SETTLED
    };
    let summaries = [(1, SETTLED), (2, other), (3, SETTLED)];
    let actions = entry.run(120_000, &summaries, &LOCAL);
    assert!(resynced(&actions).len() < 12, "{}", actions.len());
}

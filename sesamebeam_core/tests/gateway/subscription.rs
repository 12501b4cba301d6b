//! Which control replica tells an entry.

use std::net::SocketAddr;

use sesamebeam_core::gateway::{
    messages::StateSummary,
    subscription::{
        Holding,
        Order,
        Subscription, //
    },
};
use yare::parameterized;

use crate::{
    fixtures::ms, //
    group::listen_addr,
};

const SETTLED: StateSummary = StateSummary {
    config: Some(5),
    index: 9,
    servers: 77,
    settled: true,
};

const HOLDING: Holding = Holding {
    config: Some(5),
    index: 9,
    servers: 77,
};

/// An entry of the first of three failure domains, each with a replica.
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
        self.subscription.met(addr, format!("hall-{number}").into());
    }

    /// Lets time pass, in which replicas say what they hold twice a second.
    fn run(&mut self, millis: u64, replicas: &[(u64, StateSummary)], own: &Holding) -> Vec<Order> {
        let until = self.now + millis;
        let mut orders = Vec::new();
        while self.now < until {
            if self.now.is_multiple_of(500) {
                for &(number, summary) in replicas {
                    let addr = listen_addr(number);
                    self.subscription.told(ms(self.now), addr, summary, own);
                }
            }
            orders.extend(self.subscription.look(ms(self.now), own));
            self.now += 50;
        }
        orders
    }

    fn settle(&mut self) {
        (1..=3).for_each(|n| self.connect(n));
        self.run(3000, &[(1, SETTLED), (2, SETTLED), (3, SETTLED)], &HOLDING);
        assert_eq!(self.subscription.teller(), Some(listen_addr(1)));
    }
}

fn asked(orders: &[Order]) -> Vec<SocketAddr> {
    let asked = orders.iter().filter_map(|order| match order {
        Order::Ask(addr) => Some(*addr),
        _ => None,
    });
    asked.collect()
}

#[test]
fn near_one_tells() {
    // The replica of another failure domain is connected first and tells at once.
    // The one nearby takes over when it has been connected for a while, and nobody
    // is told twice.
    let mut entry = Entry::new();
    entry.connect(2);
    let orders = entry.run(100, &[(2, SETTLED)], &HOLDING);
    assert_eq!(orders, [Order::Follow(listen_addr(2))]);
    entry.connect(1);
    let orders = entry.run(3000, &[(1, SETTLED), (2, SETTLED)], &HOLDING);
    let (far, near) = (listen_addr(2), listen_addr(1));
    assert_eq!(orders, [Order::Unfollow(far), Order::Follow(near)]);
}

#[test]
fn far_one_tells() {
    // The one nearby is down. Another tells before callers notice.
    let mut entry = Entry::new();
    entry.connect(2);
    let orders = entry.run(50, &[(2, SETTLED)], &HOLDING);
    assert_eq!(orders, [Order::Follow(listen_addr(2))]);
}

#[test]
fn lost_one_replaced() {
    let mut entry = Entry::new();
    entry.settle();
    entry.subscription.lost(listen_addr(1));
    let orders = entry.run(50, &[], &HOLDING);
    assert!(matches!(orders[..], [Order::Follow(_)]), "{orders:?}");
    // It is back, and tells again once it has been for a while.
    entry.connect(1);
    let told = [(1, SETTLED), (2, SETTLED), (3, SETTLED)];
    assert_eq!(entry.run(1000, &told, &HOLDING), []);
    let orders = entry.run(1500, &told, &HOLDING);
    assert!(
        matches!(orders[..], [Order::Unfollow(_), Order::Follow(addr)] if addr == listen_addr(1)),
        "{orders:?}"
    );
}

#[test]
fn cut_off_from_the_group() {
    // The replica nearby is cut off from the others, the entry is not. What is
    // acknowledged meanwhile is known to the others only: the entry asks one of
    // them within half a second, and another tells it from then on.
    let mut entry = Entry::new();
    entry.settle();
    let lost = StateSummary {
        settled: false,
        ..SETTLED
    };
    let newer = StateSummary {
        config: Some(6),
        ..SETTLED
    };
    let told = [(1, lost), (2, newer), (3, newer)];
    let orders = entry.run(500, &told, &HOLDING);
    assert!(!asked(&orders).is_empty(), "{orders:?}");
    assert!(!asked(&orders).contains(&listen_addr(1)), "{orders:?}");
    let orders = entry.run(1000, &told, &HOLDING);
    assert!(
        orders.contains(&Order::Unfollow(listen_addr(1))),
        "{orders:?}"
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
    let told = [(1, SETTLED), (2, SETTLED), (3, summary)];
    let orders = entry.run(1100, &told, &HOLDING);
    let wanted: &[_] = if expected { &[listen_addr(3)] } else { &[] };
    let asked = asked(&orders);
    assert!(asked.iter().all(|a| wanted.contains(a)), "{asked:?}");
    assert_eq!(!asked.is_empty(), expected);
}

#[test]
fn differing_for_good() {
    // Two directories differ for good, as one of them has forgotten something.
    // Asking brings nothing, and is done ever more rarely.
    let mut entry = Entry::new();
    entry.settle();
    let other = StateSummary {
        servers: 3,
        ..SETTLED
    };
    let told = [(1, SETTLED), (2, other), (3, SETTLED)];
    let orders = entry.run(120_000, &told, &HOLDING);
    assert!(asked(&orders).len() < 12, "{}", orders.len());
}

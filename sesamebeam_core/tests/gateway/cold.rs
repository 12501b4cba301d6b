//! Load limits of cold backend servers, over all entries.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use sesamebeam_core::{
    gateway::{
        balance::Outcome,
        cold::{
            ColdServers,
            MAX_TURN,
            TURN_SHARE, //
        },
        config::ColdConfig,
        directory::{
            Announcement,
            Directory,
            ServerId, //
        },
        router::{
            ChooseError,
            Router, //
        },
        store::Orders,
    },
    ids::MonoTime,
};
use yare::parameterized;

use crate::fixtures::{
    announcement,
    config,
    head,
    ms,
    router_config, //
};

/// Load that a cold backend server handles in these tests, and the number of requests
/// that it must not exceed in any second: 1.5 times the rate plus five.
const LIMITS: ColdConfig = ColdConfig {
    duration: Duration::from_secs(3),
    per_second: 14.0,
};
const BOUND: usize = 26;

fn entry(number: u64, entries: u32) -> Router {
    let mut settings = router_config();
    settings.name = format!("entry-{number}").into();
    let mut router = Router::new(settings);
    let mut config = config(1);
    config.services[0].cold = Some(LIMITS);
    router.set_config(ms(0), config);
    router.set_config_current();
    router.set_entries(ms(0), entries);
    router
}

/// Returns an announcement of a backend server that is cold for some time.
fn cold_for(number: u8, millis: u64) -> Announcement {
    let mut announced = announcement(number);
    announced.cold = ms(millis);
    announced
}

fn send(router: &mut Router, now: MonoTime, id: &str) -> Result<ServerId, ChooseError> {
    let mut head = head(id);
    head.prompt.clear();
    let plan = router.admit(now, &head).expect("it is admitted");
    let choice = router.choose(now, &plan, None, &[])?;
    router.record_outcome(now, &plan, &choice, Outcome::Good);
    Ok(choice.id)
}

/// Returns the maximum number of times within one second.
fn most_in_a_second(times: &[u64]) -> usize {
    let from = |(n, at): (usize, &u64)| times[n..].iter().take_while(|t| **t < at + 1000).count();
    times.iter().enumerate().map(from).max().unwrap_or(0)
}

#[test]
fn warm_servers_first() {
    // Two of four backend servers return cold and idle, so they have the lowest load.
    // They get no requests until they are warm.
    let mut router = entry(1, 1);
    for number in 0..4 {
        router.apply_announcement(ms(0), cold_for(number, if number < 2 { 3000 } else { 0 }));
    }
    for n in 0..300 {
        let to = send(&mut router, ms(n * 9), &format!("r{n}"));
        let to = to.expect("two are warm");
        assert!(to == "server-2" || to == "server-3", "{to} at {} ms", n * 9);
    }
    let later = (0..100).map(|n| send(&mut router, ms(3001 + n), &format!("s{n}")));
    let to_cold = later.filter(|to| matches!(to.as_deref(), Ok("server-0" | "server-1")));
    assert!(to_cold.count() > 20);
}

#[parameterized(
    small = { 9 },
    middle = { 74 },
    large = { 295 },
)]
fn sum_of_all_entries(entries: u64) {
    // All backend servers of a service are cold at once, and callers send more than these
    // can handle: 700 requests a second to six servers. None may get more than 26
    // requests in any second from all entries together, although the clocks of the
    // entries differ and they learn of the cold servers at different times. Requests
    // without a turn are rejected at once.
    let mut fleet: Vec<Router> = (0..entries).map(|n| entry(n, entries as u32)).collect();
    for (n, router) in fleet.iter_mut().enumerate() {
        for number in 0..6 {
            let since = ms(1000 * n as u64 % 7919);
            router.apply_announcement(since, cold_for(number, 60_000));
        }
    }
    let mut got: BTreeMap<ServerId, Vec<u64>> = BTreeMap::new();
    for n in 0..(700 * 10) {
        let at = n * 10 / 7;
        let entry_index = (n * 7919) % entries;
        let local = ms(10_000 + at + entry_index * 137);
        match send(&mut fleet[entry_index as usize], local, &format!("r{n}")) {
            Ok(id) => got.entry(id).or_default().push(at),
            Err(why) => assert_eq!(why, ChooseError::Cold),
        }
    }
    assert_eq!(got.len(), 6, "all are used");
    for (id, times) in got {
        let most = most_in_a_second(&times);
        assert!(
            most <= BOUND,
            "{id} got {most} in a second of {entries} entries"
        );
        // The capacity is used as well: at least a quarter of the tolerated rate.
        assert!(times.len() >= 35, "{id} got {} in ten seconds", times.len());
    }
}

/// Returns the probability that more than `most` of `entries` have a turn within a
/// second, with one turn each per period.
fn probability_of_exceeding(entries: u32, most: u32) -> f64 {
    let period = f64::from(entries) / (LIMITS.per_second * TURN_SHARE);
    let p = ((1.0 + MAX_TURN.as_secs_f64()) / period).min(1.0);
    let log_choose = |k: u32| -> f64 {
        let ratio = |i: u32| f64::from(entries - i) / f64::from(i + 1);
        (0..k).map(|i| ratio(i).ln()).sum()
    };
    let exactly = |k: u32| {
        let (k, rest) = (k, f64::from(entries - k));
        (log_choose(k) + f64::from(k) * p.ln() + rest * (1.0 - p).ln()).exp()
    };
    (most + 1..=entries).map(exactly).sum()
}

#[parameterized(
    middle = { 74 },
    large = { 295 },
)]
fn worst_second(entries: u32) {
    // The positions of the turns follow from the names of the entries. Nine entries can't
    // exceed the bound even if all of them have a turn. With more entries the probability
    // of exceeding it within a second is below one in a hundred thousand.
    let probability = probability_of_exceeding(entries, BOUND as u32);
    assert!(probability < 1e-5, "{probability}");
}

#[test]
fn single_entry() {
    // A single entry takes all turns one after the other. No second has more of them than
    // half of what a cold backend server handles.
    let mut router = entry(1, 1);
    router.apply_announcement(ms(0), cold_for(0, 60_000));
    let sent = (0..20_000).step_by(3).filter(|&at| {
        let id = format!("r{at}");
        send(&mut router, ms(at), &id).is_ok()
    });
    let times: Vec<u64> = sent.collect();
    assert!(most_in_a_second(&times) <= 8);
    assert!(times.len() >= 120, "{}", times.len());
}

#[test]
fn unknown_number_of_entries() {
    // An entry that does not know the number of entries has no turns, as there could be
    // hundreds.
    let cold = ColdServers::new("entry-1".into());
    let has_turn = |at| cold.has_turn(ms(at), &"server-0".into(), &LIMITS);
    assert!(!(0..10_000).any(has_turn));
}

#[test]
fn taken_back() {
    // The evacuation of a failure domain ends. Its backend servers have restarted a
    // moment before, which their next announcement says a second later. Until it is
    // certain that they are not cold, they get no requests while others can serve.
    let mut router = entry(1, 1);
    for number in 0..2 {
        let mut announced = announcement(number);
        announced.domain = format!("hall-{}", number + 1).into();
        router.apply_announcement(ms(0), announced);
    }
    let evacuated = Orders {
        evacuated: ["hall-1".into()].into(),
        ..Orders::default()
    };
    router.set_orders(ms(0), 1, evacuated);
    router.set_orders(ms(8000), 2, Orders::default());
    for at in (8000..11_000).step_by(10) {
        let to = send(&mut router, ms(at), &format!("r{at}"));
        assert_eq!(to.as_deref(), Ok("server-1"), "at {at} ms");
    }
    let used = (11_000..12_000).any(|at| {
        let to = send(&mut router, ms(at), &format!("r{at}"));
        to.as_deref() == Ok("server-0")
    });
    assert!(used);
}

#[test]
fn cold_again() {
    // A running backend server becomes cold again. Its next announcement says so, which
    // is a change that must be forwarded. The announcements after it only count down the
    // same period and are not forwarded.
    let mut directory = Directory::default();
    let say = |sequence, cold| Announcement {
        sequence,
        cold: ms(cold),
        ..announcement(1)
    };
    assert!(directory.merge(ms(0), say(1, 0), true));
    assert!(!directory.merge(ms(1200), say(2, 0), true));
    assert!(directory.merge(ms(2400), say(3, 2600), true));
    assert!(!directory.merge(ms(3700), say(4, 1400), true));
    assert!(!directory.merge(ms(4800), say(5, 200), true));
    let told: Vec<_> = directory
        .announcements(ms(4900))
        .map(|announced| announced.cold)
        .collect();
    assert_eq!(told, [ms(100)]);
}

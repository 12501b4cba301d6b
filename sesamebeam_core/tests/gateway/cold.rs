//! Backend servers that are cold, and what all entries together send them.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use sesamebeam_core::{
    gateway::{
        balance::Outcome,
        cold::{
            Cold,
            SHARE,
            TURN, //
        },
        config::ColdConfig,
        directory::{
            Announcement,
            Directory,
            ServerId, //
        },
        router::{
            Router,
            Unserved, //
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

/// What a cold backend server bears in these tests, and how many requests it must not
/// exceed in any second: one and a half times as many and five.
const LIMITS: ColdConfig = ColdConfig {
    lasts: Duration::from_secs(3),
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
    router.set_current();
    router.set_entries(ms(0), entries);
    router
}

/// Makes the announcement of a backend server that is cold for some time.
fn cold_for(number: u8, millis: u64) -> Announcement {
    let mut said = announcement(number);
    said.cold = ms(millis);
    said
}

fn send(router: &mut Router, now: MonoTime, id: &str) -> Result<ServerId, Unserved> {
    let mut head = head(id);
    head.prompt.clear();
    let plan = router.admit(now, &head).expect("it is admitted");
    let choice = router.choose(now, &plan, None, &[])?;
    router.finished(now, &plan, &choice, Outcome::Good);
    Ok(choice.id)
}

/// Returns the most of some times that lie within a second.
fn most_in_a_second(times: &[u64]) -> usize {
    let from = |(n, at): (usize, &u64)| times[n..].iter().take_while(|t| **t < at + 1000).count();
    times.iter().enumerate().map(from).max().unwrap_or(0)
}

#[test]
fn warm_ones_first() {
    // Two of four backend servers come back cold and empty: by their load they are the
    // best. They get nothing until they are warm.
    let mut router = entry(1, 1);
    for number in 0..4 {
        router.announced(ms(0), cold_for(number, if number < 2 { 3000 } else { 0 }));
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
    // All backend servers of a service are cold at once, and callers send more than
    // these bear: 700 requests a second to six. Each must get no more than 26 in any
    // second from all entries together, whose clocks show other times and which hear of
    // the cold at other moments. Those that cannot be served are refused at once.
    let mut fleet: Vec<Router> = (0..entries).map(|n| entry(n, entries as u32)).collect();
    for (n, router) in fleet.iter_mut().enumerate() {
        for number in 0..6 {
            let since = ms(1000 * n as u64 % 7919);
            router.announced(since, cold_for(number, 60_000));
        }
    }
    let mut got: BTreeMap<ServerId, Vec<u64>> = BTreeMap::new();
    for n in 0..(700 * 10) {
        let at = n * 10 / 7;
        let life = (n * 7919) % entries;
        let local = ms(10_000 + at + life * 137);
        match send(&mut fleet[life as usize], local, &format!("r{n}")) {
            Ok(id) => got.entry(id).or_default().push(at),
            Err(why) => assert_eq!(why, Unserved::Cold),
        }
    }
    assert_eq!(got.len(), 6, "all are used");
    for (id, times) in got {
        let most = most_in_a_second(&times);
        assert!(
            most <= BOUND,
            "{id} got {most} in a second of {entries} entries"
        );
        // They are used as well: a quarter of what they bear at least.
        assert!(times.len() >= 35, "{id} got {} in ten seconds", times.len());
    }
}

/// Returns the probability that more than `most` of `entries` have a turn within a
/// second, each once in a period.
fn exceeds(entries: u32, most: u32) -> f64 {
    let period = f64::from(entries) / (LIMITS.per_second * SHARE);
    let p = ((1.0 + TURN.as_secs_f64()) / period).min(1.0);
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
    // The names of entries place their turns. With nine entries even all of them
    // together have a turn each, which the bound allows; with more the probability that
    // too many fall into one second is below one in a hundred thousand.
    let probability = exceeds(entries, BOUND as u32);
    assert!(probability < 1e-5, "{probability}");
}

#[test]
fn few_entries() {
    // An entry that is alone takes its turns one after the other, and no second has
    // more of them than half of what a cold backend server bears.
    let mut router = entry(1, 1);
    router.announced(ms(0), cold_for(0, 60_000));
    let sent = (0..20_000).step_by(3).filter(|&at| {
        let id = format!("r{at}");
        send(&mut router, ms(at), &id).is_ok()
    });
    let times: Vec<u64> = sent.collect();
    assert!(most_in_a_second(&times) <= 8);
    assert!(times.len() >= 120, "{}", times.len());
}

#[test]
fn nobody_counted() {
    // An entry that does not know how many others there are has no turn: it could be
    // one of hundreds.
    let cold = Cold::new("entry-1".into());
    let has_turn = |at| cold.has_turn(ms(at), &"server-0".into(), &LIMITS);
    assert!(!(0..10_000).any(has_turn));
}

#[test]
fn taken_back() {
    // A failure domain is taken back. Its backend servers became cold a moment before,
    // of which their next announcement tells a second later: until it is certain they
    // are not, they get nothing while others can serve.
    let mut router = entry(1, 1);
    for number in 0..2 {
        let mut said = announcement(number);
        said.domain = format!("hall-{}", number + 1).into();
        router.announced(ms(0), said);
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
    // A backend server becomes cold again while it serves. It says so with its next
    // announcement, which is news for everybody; the announcements after it, which
    // count the same time down, are none.
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
        .map(|said| said.cold)
        .collect();
    assert_eq!(told, [ms(100)]);
}

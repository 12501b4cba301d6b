//! Backend servers that name how many requests a second they take, and what all entries
//! together send them.

use std::collections::BTreeMap;

use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use sesamebeam_core::{
    gateway::{
        coordinator::{
            Action,
            Coordinator,
            Event, //
        },
        directory::ServerId,
        limits::{
            LimitOf,
            NamedLimits,
            Pace,
            allowed, //
        },
        loads,
        messages::ToEntry,
        request::AnswerHead,
        router::{
            Router,
            Unserved, //
        },
    },
    ids::MonoTime,
};
use yare::parameterized;

use crate::fixtures::{
    announcement,
    choice,
    coordinator,
    ms,
    plan,
    router_of_entry,
    send, //
};

/// Milliseconds in which requests are counted.
const SPAN: u64 = 4000;

/// Milliseconds by which the clock of an entry is ahead of the test's.
const AHEAD: u64 = 100_000;

fn entry(number: u64, entries: u32, servers: u8) -> Router {
    router_of_entry(&format!("entry-{number}"), entries, servers)
}

/// Makes the head of a backend server's own answer that names a limit, or none.
fn says(limit: Option<f64>) -> AnswerHead {
    AnswerHead {
        status: 200,
        sealed: true,
        limit,
        ..AnswerHead::default()
    }
}

/// Has an answer to an entry name a limit, or none.
fn answer(router: &mut Router, now: MonoTime, number: u8, limit: Option<f64>) -> bool {
    router.limit_heard(now, &choice(number), now, &says(limit))
}

/// Returns the most of some times that lie within [`SPAN`].
fn most_in_span(times: &[u64]) -> usize {
    let from = |(n, at): (usize, &u64)| times[n..].iter().take_while(|t| **t < at + SPAN).count();
    times.iter().enumerate().map(from).max().unwrap_or(0)
}

#[parameterized(
    few = { 3, 2.0, 0.9 },
    small_site = { 9, 3.7, 0.9 },
    small_site_less = { 9, 0.5, 0.1 },
    middle = { 74, 3.9, 0.2 },
    middle_more = { 81, 30.0, 0.7 },
    large = { 300, 3.1, 0.2 },
    large_more = { 300, 25.0, 0.4 },
    large_hardly = { 300, 0.3, 0.0 },
)]
fn sum_of_entries(entries: u64, limit: f64, least: f64) {
    // The only backend server of a service names a limit, and callers come at a hundred
    // times that rate through all entries, whose clocks show other times. No entry sees
    // what the others send: each by itself kept to the limit, and the sum was several
    // times what the server bears. Evidence: streams that began there by entry, 7, 12 and
    // 15 in 4 s through three of nine entries, none above the limit, 36 in all.
    const SECONDS: u64 = 120;
    let mut fleet: Vec<Router> = (0..entries).map(|n| entry(n, entries as u32, 1)).collect();
    for (n, router) in fleet.iter_mut().enumerate() {
        answer(router, ms(AHEAD + n as u64 * 137), 0, Some(limit));
    }
    let mut rng = StdRng::seed_from_u64(entries);
    let mut times = Vec::new();
    let callers = (SECONDS as f64 * 100.0 * limit.max(3.0)) as u64;
    for n in 0..callers {
        let at = n * SECONDS * 1000 / callers;
        let life = rng.random_range(0..entries);
        let local = ms(AHEAD + at + life * 137);
        match send(&mut fleet[life as usize], local, &format!("r{n}")) {
            Ok(_) => times.push(at + rng.random_range(0..500)),
            Err(why) => assert_eq!(why, Unserved::Limited),
        }
    }
    times.sort_unstable();
    let most = most_in_span(&times);
    assert!(
        most as f64 <= allowed(limit),
        "{most} of {} in 4 s",
        allowed(limit)
    );
    let rate = times.len() as f64 / SECONDS as f64;
    assert!(
        rate >= least * limit,
        "{rate} a second are let through of {limit}"
    );
}

#[parameterized(
    small = { 9, 3.1 },
    small_hardly = { 9, 0.2 },
    middle = { 30, 6.0 },
    large = { 300, 3.0 },
    large_more = { 300, 40.0 },
)]
fn worst_span(entries: u64, limit: f64) {
    // Entries that always have a caller at hand, start at any time and take up to half a
    // second on the way: whatever their clocks, no 4 s get more than is allowed.
    for seed in 0..50 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut times = Vec::new();
        for n in 0..entries {
            let mut router = entry(n, entries as u32, 1);
            let offset = AHEAD + rng.random_range(0..200_000);
            answer(&mut router, ms(offset), 0, Some(limit));
            let plan = plan(&mut router, ms(offset), "caller");
            let mut at = 0;
            while at < 60_000 {
                match router.choose(ms(offset + at), &plan, None, &[]) {
                    Ok(_) => times.push(at + rng.random_range(0..500)),
                    Err(why) => assert_eq!(why, Unserved::Limited),
                }
                let now = ms(offset + at);
                let pause = router.retry_after(now, &plan, ms(0)).unwrap_or_default();
                at += (pause.as_millis() as u64).max(1);
            }
        }
        times.sort_unstable();
        let most = most_in_span(&times) as f64;
        assert!(
            most <= allowed(limit),
            "{most} of {} with seed {seed}",
            allowed(limit)
        );
    }
}

#[test]
fn whole_fleet_restarts() {
    // All entries end and start anew, forget what they have sent, and are told of the
    // limit before they know how many they are: none sends before that, nor before the
    // pause is over that it may owe.
    const COUNTED_AT: u64 = 1500;
    let (entries, limit) = (9, 3.7);
    let mut times = Vec::new();
    for n in 0..entries {
        let mut before = entry(n, entries as u32, 1);
        answer(&mut before, ms(AHEAD), 0, Some(limit));
        let tries = (0..1000).map(|step| step * 10);
        let sent = tries.filter(|at| send(&mut before, ms(AHEAD + at), &format!("a{at}")).is_ok());
        times.extend(sent);
        let mut after = entry(n, 0, 1);
        answer(&mut after, ms(0), 0, Some(limit));
        let tries = (0..1000).map(|step| step * 10);
        let sent = tries.filter(|at| {
            after.set_entries(ms(*at), if *at < COUNTED_AT { 0 } else { entries as u32 });
            send(&mut after, ms(*at), &format!("b{at}")).is_ok()
        });
        times.extend(sent.map(|at| 10_000 + at));
    }
    times.sort_unstable();
    let most = most_in_span(&times);
    assert!(most as f64 <= allowed(limit), "{most}");
    let first = times.iter().find(|at| **at >= 10_000).expect("it goes on");
    assert!(*first >= 10_000 + COUNTED_AT, "{first}");
}

#[test]
fn others_serve() {
    // One of three backend servers names a limit: callers are served by the others, and
    // by that one as often as it takes some.
    let mut router = entry(1, 9, 3);
    answer(&mut router, ms(AHEAD), 0, Some(3.7));
    let mut got: BTreeMap<ServerId, usize> = BTreeMap::new();
    for n in 0..2000 {
        let choice = send(&mut router, ms(AHEAD + n * 10), &format!("r{n}"));
        *got.entry(choice.expect("others have room").id).or_default() += 1;
    }
    let limited = got["server-0"];
    assert!(
        (5..=9).contains(&limited),
        "{limited} in 20 s of 3.7 a second by nine entries"
    );
}

#[test]
fn repeats_count() {
    // A stream breaks off and goes on elsewhere, an answer is dropped for that of a larger
    // model, a failure is repeated: each send uses what the limit leaves, and where nothing
    // is left the answer that is there is kept.
    let mut router = entry(1, 1, 2);
    for number in 0..2 {
        answer(&mut router, ms(AHEAD), number, Some(1.0));
    }
    let now = ms(AHEAD + 10);
    let plan = plan(&mut router, now, "caller");
    let first = router.choose(now, &plan, None, &[]).expect("it takes one");
    let tried = [first.id.clone()];
    assert!(router.has_another(now, &plan, &[], &first.id));
    let second = router
        .choose(now, &plan, None, &tried)
        .expect("so does the other");
    assert_ne!(first.id, second.id);
    assert!(!router.has_room(now, &plan, &[]));
    assert!(!router.has_another(now, &plan, &tried, &second.id));
    assert_eq!(router.choose(now, &plan, None, &[]), Err(Unserved::Limited));
    assert_eq!(
        router.choose(now, &plan, None, &tried),
        Err(Unserved::Limited)
    );
}

#[test]
fn true_retry_after() {
    // Both backend servers of a service are at their limits. Callers who are rejected are
    // asked to come back at times of their own, at each of which one is served, and nobody
    // before the first of them.
    let mut router = entry(1, 3, 2);
    for number in 0..2 {
        answer(&mut router, ms(AHEAD), number, Some(2.0));
    }
    let now = ms(AHEAD + 10);
    while send(&mut router, now, "first").is_ok() {}
    let plan = plan(&mut router, now, "caller");
    let told: Vec<MonoTime> = (0..6)
        .map(|_| {
            now + router
                .retry_after(now, &plan, ms(20_000))
                .expect("foreseen")
        })
        .collect();
    assert!(told.is_sorted(), "{told:?}");
    assert!(
        told.iter()
            .all(|at| (at.as_millis() - now.as_millis()).is_multiple_of(10))
    );
    let early = send(&mut router, told[0] - ms(20), "early");
    assert_eq!(early.err(), Some(Unserved::Limited));
    for (n, at) in told.iter().enumerate() {
        send(&mut router, *at, &format!("back{n}")).expect("it was true");
        let others = told.iter().filter(|t| *t == at).count();
        assert!(others <= 2, "two backend servers take one each: {told:?}");
    }
}

#[test]
fn limit_ends() {
    // A limit ends with an answer without one, unless its request was sent before the
    // limit was heard of, as answers overtake each other, or it is no answer of the backend
    // server's own: one that has no room for a request says just that.
    let mut router = entry(1, 300, 1);
    answer(&mut router, ms(AHEAD), 0, Some(1.0));
    let choice = choice(0);
    let none = says(None);
    assert!(!router.limit_heard(ms(AHEAD + 50), &choice, ms(AHEAD - 50), &none));
    let turned_away = AnswerHead {
        status: 503,
        not_run: true,
        ..AnswerHead::default()
    };
    assert!(!router.limit_heard(ms(AHEAD + 500), &choice, ms(AHEAD + 400), &turned_away));
    assert_eq!(router.limited(), 1);
    assert!(router.limit_heard(ms(AHEAD + 900), &choice, ms(AHEAD + 800), &none));
    assert_eq!(router.limited(), 0);
    assert!(send(&mut router, ms(AHEAD + 901), "caller").is_ok());
}

/// Has an entry report to a control replica, and returns what that tells.
fn report(core: &mut Coordinator, now: u64, router: &mut Router) -> Vec<LimitOf> {
    let report = router.take_report(ms(now));
    let mut actions = core.handle(ms(now), Event::EntryReported(report));
    for at in (now..now + 400).step_by(20) {
        actions.extend(core.handle(ms(at), Event::Tick));
    }
    let told = actions.into_iter().filter_map(|action| match action {
        Action::Push(_, ToEntry::Limits(limits)) => Some(limits),
        _ => None,
    });
    told.last().unwrap_or_default()
}

#[test]
fn others_are_told() {
    // One entry of 300 gets an answer that names a limit. The others would hear of it
    // with their next answers, of which each has one in a hundred seconds, and keep to
    // what the limit was then. They are told of it, of a lower one, and of its end.
    let mut core = coordinator();
    let mut hears = entry(1, 300, 1);
    let mut other = entry(2, 300, 1);
    core.handle(ms(0), Event::Servers(vec![announcement(0)]));
    core.handle(ms(0), Event::EntryConnected(1));
    core.handle(ms(0), Event::EntryFollows(1, Default::default()));
    for (at, limit) in [(10_000, Some(4.0)), (20_000, Some(2.0)), (30_000, None)] {
        answer(&mut hears, ms(at), 0, limit);
        let told = report(&mut core, at + 100, &mut hears);
        assert_eq!(told.first().map(|l| l.limit), Some(limit));
        assert_eq!(other.told_limits(ms(at + 200), &told), ["server-0"]);
        assert_eq!(other.limited(), usize::from(limit.is_some()));
        assert!(
            other.told_limits(ms(at + 300), &told).is_empty(),
            "told once"
        );
    }
}

#[test]
fn replica_knows_nothing() {
    // A control replica that has just started knows of no limits and says so by telling of
    // none. An entry keeps what it knows until it hears that it has ended.
    let mut router = entry(1, 9, 1);
    answer(&mut router, ms(AHEAD), 0, Some(3.0));
    assert!(router.told_limits(ms(AHEAD + 5000), &[]).is_empty());
    assert_eq!(router.limited(), 1);
}

#[test]
fn late_reports() {
    // The report of an answer without a limit arrives before that of an earlier one with
    // it. Taken for the end, all entries would send what they like.
    let server = loads::key(&"server-0".into());
    let named = LimitOf {
        server,
        limit: Some(3.0),
    };
    let ended = LimitOf {
        server,
        limit: None,
    };
    let mut limits = NamedLimits::default();
    limits.take(ms(0), [ended]);
    assert!(limits.is_empty());
    limits.take(ms(1000), [named]);
    limits.take(ms(1200), [ended]);
    assert_eq!(limits.tell(ms(1200)), [named]);
    limits.take(ms(1900), [ended]);
    assert_eq!(limits.tell(ms(1900)), [ended]);
    limits.take(ms(2000), [named]);
    assert_eq!(limits.tell(ms(2000)), [named]);
    limits.retain(|_| false);
    assert!(limits.is_empty());
}

#[parameterized(
    nothing = { 0.0, 1 },
    hardly_any = { 1e-9, 300 },
    beyond_all = { 1e9, 300 },
)]
fn odd_limits(limit: f64, entries: u32) {
    // Whatever a backend server says, there is a pace, and no more than the limit goes.
    let period = Pace::of(limit, entries).period();
    let rate = period.map_or(0.0, |period| f64::from(entries) / period.as_secs_f64());
    assert!(rate <= limit * 1.001, "{rate}");
}

#[test]
fn nobody_counted() {
    // An entry that does not know how many others there are sends nothing to a limited
    // backend server: it could be one of hundreds.
    let mut router = entry(1, 0, 1);
    answer(&mut router, ms(AHEAD), 0, Some(1000.0));
    let sent = send(&mut router, ms(AHEAD + 1), "caller");
    assert_eq!(sent.err(), Some(Unserved::Limited));
}

#[test]
fn new_life() {
    // A backend server ends and starts again under its name: the new one is in no need.
    let mut router = entry(1, 300, 1);
    answer(&mut router, ms(AHEAD), 0, Some(0.1));
    let mut reborn = announcement(0);
    (reborn.started_at, reborn.sequence) = (5, 2);
    router.announced(ms(AHEAD + 10), reborn);
    assert_eq!(router.limited(), 0);
}

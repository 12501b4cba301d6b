//! Rate limits of backend servers, and the requests that all entries together send them.

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
            KnownLimits,
            LimitOf,
            Pace,
            max_arrivals, //
        },
        loads,
        messages::ToEntry,
        request::ResponseHead,
        router::{
            ChooseError,
            Router, //
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

/// Length of the time window in which requests are counted, in milliseconds.
const SPAN: u64 = 4000;

/// Offset of an entry's clock from that of the test, in milliseconds.
const CLOCK_OFFSET: u64 = 100_000;

fn entry(number: u64, entries: u32, servers: u8) -> Router {
    router_of_entry(&format!("entry-{number}"), entries, servers)
}

/// Creates the head of an answer that states a limit, or none.
fn answer_head(limit: Option<f64>) -> ResponseHead {
    ResponseHead {
        status: 200,
        sealed: true,
        limit,
        ..ResponseHead::default()
    }
}

/// Delivers to an entry an answer that states a limit, or none.
fn deliver_limit(router: &mut Router, now: MonoTime, number: u8, limit: Option<f64>) -> bool {
    router.record_limit(now, &choice(number), now, &answer_head(limit))
}

/// Returns the maximum number of times within any [`SPAN`].
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
    // Guards against a sum above the limit although each entry by itself stays below it.
    // Callers come at a hundred times the limit of the only backend server, through
    // entries with different clocks. Seen before, as streams started in 4 s: 7, 12 and 15
    // through three of nine entries, none above the limit, 36 in total.
    const SECONDS: u64 = 120;
    let mut fleet: Vec<Router> = (0..entries).map(|n| entry(n, entries as u32, 1)).collect();
    for (n, router) in fleet.iter_mut().enumerate() {
        deliver_limit(router, ms(CLOCK_OFFSET + n as u64 * 137), 0, Some(limit));
    }
    let mut rng = StdRng::seed_from_u64(entries);
    let mut times = Vec::new();
    let callers = (SECONDS as f64 * 100.0 * limit.max(3.0)) as u64;
    for n in 0..callers {
        let at = n * SECONDS * 1000 / callers;
        let entry_index = rng.random_range(0..entries);
        let local = ms(CLOCK_OFFSET + at + entry_index * 137);
        match send(&mut fleet[entry_index as usize], local, &format!("r{n}")) {
            Ok(_) => times.push(at + rng.random_range(0..500)),
            Err(why) => assert_eq!(why, ChooseError::Limited),
        }
    }
    times.sort_unstable();
    let most = most_in_span(&times);
    assert!(
        most as f64 <= max_arrivals(limit),
        "{most} of {} in 4 s",
        max_arrivals(limit)
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
    // Guards against the worst case: entries with a caller always waiting, arbitrary
    // clocks and start times, and up to half a second of transit time. No 4 s get more
    // than is allowed.
    for seed in 0..50 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut times = Vec::new();
        for n in 0..entries {
            let mut router = entry(n, entries as u32, 1);
            let offset = CLOCK_OFFSET + rng.random_range(0..200_000);
            deliver_limit(&mut router, ms(offset), 0, Some(limit));
            let plan = plan(&mut router, ms(offset), "caller");
            let mut at = 0;
            while at < 60_000 {
                match router.choose(ms(offset + at), &plan, None, &[]) {
                    Ok(_) => times.push(at + rng.random_range(0..500)),
                    Err(why) => assert_eq!(why, ChooseError::Limited),
                }
                let now = ms(offset + at);
                let pause = router.retry_after(now, &plan, ms(0)).unwrap_or_default();
                at += (pause.as_millis() as u64).max(1);
            }
        }
        times.sort_unstable();
        let most = most_in_span(&times) as f64;
        assert!(
            most <= max_arrivals(limit),
            "{most} of {} with seed {seed}",
            max_arrivals(limit)
        );
    }
}

/// Guards against requests that a limited backend server reads all at once, as it stood still
/// while entries went on sending at the pace of its limit.
#[parameterized(
    few = { 3, 2.0, 5_000 },
    small_site = { 9, 3.7, 1_300 },
    small_site_long = { 9, 3.7, 6_000 },
    one_entry = { 1, 3.0, 6_000 },
)]
fn read_late(entries: u64, limit: f64, silence_ms: u64) {
    let mut fleet: Vec<Router> = (0..entries).map(|n| entry(n, entries as u32, 1)).collect();
    for router in &mut fleet {
        deliver_limit(router, ms(CLOCK_OFFSET), 0, Some(limit));
    }
    let silence = 30_000..30_000 + silence_ms;
    let server = choice(0).id;
    let mut unread: Vec<(u64, u64)> = Vec::new();
    let mut arrivals = Vec::new();
    for at in (0..60_000).step_by(20) {
        let now = ms(CLOCK_OFFSET + at);
        for (read_at, n) in unread.extract_if(.., |(read_at, _)| *read_at <= at) {
            arrivals.push(read_at);
            fleet[n as usize].record_read(now, &server);
        }
        for (n, router) in fleet.iter_mut().enumerate() {
            if send(router, now, &format!("r{at}")).is_ok() {
                assert!(router.record_unread(&server));
                let read_at = if silence.contains(&at) {
                    silence.end
                } else {
                    at
                };
                unread.push((read_at, n as u64));
            }
        }
    }
    arrivals.sort_unstable();
    let most = most_in_span(&arrivals) as f64;
    let allowed = max_arrivals(limit);
    assert!(most <= allowed, "{most} of {allowed} in 4 s");
    let before = arrivals.iter().filter(|at| **at < silence.start).count();
    let rate = before as f64 / 30.0;
    assert!(rate >= 0.7 * limit, "{rate} a second of {limit}");
}

#[test]
fn not_sent() {
    // Guards against sends for which no connection was made that use up a limit.
    let mut router = entry(0, 9, 1);
    deliver_limit(&mut router, ms(CLOCK_OFFSET), 0, Some(0.5));
    let server = choice(0).id;
    let later = ms(CLOCK_OFFSET + 600_000);
    assert!(router.record_unread(&server));
    assert_eq!(
        send(&mut router, later, "a").err(),
        Some(ChooseError::Limited)
    );
    router.withdraw_unread(&server);
    let sent = (0..60).any(|n| send(&mut router, later + ms(n * 1000), "b").is_ok());
    assert!(sent);
}

#[test]
fn whole_fleet_restarts() {
    // Guards against a restart of all entries that exceeds the limit. They lose their
    // past sends and learn the limit before the number of entries. None sends before it
    // knows that number, nor before the period after a possible earlier send is over.
    const COUNTED_AT: u64 = 1500;
    let (entries, limit) = (9, 3.7);
    let mut times = Vec::new();
    for n in 0..entries {
        let mut before = entry(n, entries as u32, 1);
        deliver_limit(&mut before, ms(CLOCK_OFFSET), 0, Some(limit));
        let tries = (0..1000).map(|step| step * 10);
        let sent =
            tries.filter(|at| send(&mut before, ms(CLOCK_OFFSET + at), &format!("a{at}")).is_ok());
        times.extend(sent);
        let mut after = entry(n, 0, 1);
        deliver_limit(&mut after, ms(0), 0, Some(limit));
        let tries = (0..1000).map(|step| step * 10);
        let sent = tries.filter(|at| {
            after.set_entries(ms(*at), if *at < COUNTED_AT { 0 } else { entries as u32 });
            send(&mut after, ms(*at), &format!("b{at}")).is_ok()
        });
        times.extend(sent.map(|at| 10_000 + at));
    }
    times.sort_unstable();
    let most = most_in_span(&times);
    assert!(most as f64 <= max_arrivals(limit), "{most}");
    let first = times
        .iter()
        .find(|at| **at >= 10_000)
        .expect("sends after the restart");
    assert!(*first >= 10_000 + COUNTED_AT, "{first}");
}

#[test]
fn others_serve() {
    // Guards against leaving a limited backend server unused, or overusing it, while two
    // others are not limited.
    let mut router = entry(1, 9, 3);
    deliver_limit(&mut router, ms(CLOCK_OFFSET), 0, Some(3.7));
    let mut got: BTreeMap<ServerId, usize> = BTreeMap::new();
    for n in 0..2000 {
        let choice = send(&mut router, ms(CLOCK_OFFSET + n * 10), &format!("r{n}"));
        *got.entry(choice.expect("the others accept requests").id)
            .or_default() += 1;
    }
    let limited = got["server-0"];
    assert!(
        (5..=9).contains(&limited),
        "{limited} in 20 s of 3.7 a second by nine entries"
    );
}

#[test]
fn repeats_count() {
    // Guards against sends that bypass the limit: resumed streams, cascade steps and
    // retries each use the allowance, and without one left the current answer is kept.
    let mut router = entry(1, 1, 2);
    for number in 0..2 {
        deliver_limit(&mut router, ms(CLOCK_OFFSET), number, Some(1.0));
    }
    let now = ms(CLOCK_OFFSET + 10);
    let plan = plan(&mut router, now, "caller");
    let first = router
        .choose(now, &plan, None, &[])
        .expect("the first accepts a request");
    let tried = [first.id.clone()];
    assert!(router.has_alternative(now, &plan, &[], &first.id));
    let second = router
        .choose(now, &plan, None, &tried)
        .expect("the second accepts a request");
    assert_ne!(first.id, second.id);
    assert!(!router.has_capacity(now, &plan, &[]));
    assert!(!router.has_alternative(now, &plan, &tried, &second.id));
    assert_eq!(
        router.choose(now, &plan, None, &[]),
        Err(ChooseError::Limited)
    );
    assert_eq!(
        router.choose(now, &plan, None, &tried),
        Err(ChooseError::Limited)
    );
}

#[test]
fn true_retry_after() {
    // Guards against wrong `Retry-After` times when both backend servers of a service are
    // at their limits: each rejected caller gets a time of its own at which it is served,
    // and none is served before the first of them.
    let mut router = entry(1, 3, 2);
    for number in 0..2 {
        deliver_limit(&mut router, ms(CLOCK_OFFSET), number, Some(2.0));
    }
    let now = ms(CLOCK_OFFSET + 10);
    while send(&mut router, now, "first").is_ok() {}
    let plan = plan(&mut router, now, "caller");
    let retry_times: Vec<MonoTime> = (0..6)
        .map(|_| {
            now + router
                .retry_after(now, &plan, ms(20_000))
                .expect("a retry time")
        })
        .collect();
    assert!(retry_times.is_sorted(), "{retry_times:?}");
    assert!(
        retry_times
            .iter()
            .all(|at| (at.as_millis() - now.as_millis()).is_multiple_of(10))
    );
    let early = send(&mut router, retry_times[0] - ms(20), "early");
    assert_eq!(early.err(), Some(ChooseError::Limited));
    for (n, at) in retry_times.iter().enumerate() {
        send(&mut router, *at, &format!("back{n}")).expect("served at the retry time");
        let others = retry_times.iter().filter(|t| *t == at).count();
        assert!(
            others <= 2,
            "two backend servers take one each: {retry_times:?}"
        );
    }
}

#[test]
fn limit_ends() {
    // Guards against a limit that ends too early or never. An answer without a limit ends
    // it, unless its request was sent before the limit was received, or it is not an
    // answer of the backend server itself, such as a rejection for lack of capacity.
    let mut router = entry(1, 300, 1);
    deliver_limit(&mut router, ms(CLOCK_OFFSET), 0, Some(1.0));
    let choice = choice(0);
    let none = answer_head(None);
    assert!(!router.record_limit(ms(CLOCK_OFFSET + 50), &choice, ms(CLOCK_OFFSET - 50), &none));
    let rejection = ResponseHead {
        status: 503,
        not_run: true,
        ..ResponseHead::default()
    };
    assert!(!router.record_limit(
        ms(CLOCK_OFFSET + 500),
        &choice,
        ms(CLOCK_OFFSET + 400),
        &rejection
    ));
    assert_eq!(router.limited_count(), 1);
    assert!(router.record_limit(
        ms(CLOCK_OFFSET + 900),
        &choice,
        ms(CLOCK_OFFSET + 800),
        &none
    ));
    assert_eq!(router.limited_count(), 0);
    assert!(send(&mut router, ms(CLOCK_OFFSET + 901), "caller").is_ok());
}

/// Sends an entry's report to a control replica and returns the limits that it publishes.
fn report(replica: &mut Coordinator, now: u64, router: &mut Router) -> Vec<LimitOf> {
    let report = router.take_report(ms(now));
    let mut actions = replica.handle(ms(now), Event::EntryReported(report));
    for at in (now..now + 400).step_by(20) {
        actions.extend(replica.handle(ms(at), Event::Tick));
    }
    let published = actions.into_iter().filter_map(|action| match action {
        Action::Push(_, ToEntry::Limits(limits)) => Some(limits),
        _ => None,
    });
    published.last().unwrap_or_default()
}

#[test]
fn others_are_told() {
    // Guards against outdated limits at other entries. With 300 entries, each gets an
    // answer once in a hundred seconds. The limit in one entry's answer, its decrease and
    // its end reach the others.
    let mut replica = coordinator();
    let mut first = entry(1, 300, 1);
    let mut other = entry(2, 300, 1);
    replica.handle(ms(0), Event::Servers(vec![announcement(0)]));
    replica.handle(ms(0), Event::EntryConnected(1));
    replica.handle(ms(0), Event::EntryFollows(1, Default::default()));
    for (at, limit) in [(10_000, Some(4.0)), (20_000, Some(2.0)), (30_000, None)] {
        deliver_limit(&mut first, ms(at), 0, limit);
        let published = report(&mut replica, at + 100, &mut first);
        assert_eq!(published.first().map(|l| l.limit), Some(limit));
        assert_eq!(other.apply_limits(ms(at + 200), &published), ["server-0"]);
        assert_eq!(other.limited_count(), usize::from(limit.is_some()));
        assert!(
            other.apply_limits(ms(at + 300), &published).is_empty(),
            "published once"
        );
    }
}

#[test]
fn restarted_replica_keeps_limits() {
    // Guards against a restarted control replica, which knows no limits, clearing those
    // of an entry.
    let mut router = entry(1, 9, 1);
    deliver_limit(&mut router, ms(CLOCK_OFFSET), 0, Some(3.0));
    assert!(router.apply_limits(ms(CLOCK_OFFSET + 5000), &[]).is_empty());
    assert_eq!(router.limited_count(), 1);
}

#[test]
fn reports_out_of_order() {
    // Guards against reports that arrive out of order: taking the report of an answer
    // without a limit for the end of the limit would let all entries send without one.
    let server = loads::key(&"server-0".into());
    let named = LimitOf {
        server,
        limit: Some(3.0),
    };
    let ended = LimitOf {
        server,
        limit: None,
    };
    let mut limits = KnownLimits::default();
    limits.apply(ms(0), [ended]);
    assert!(limits.is_empty());
    limits.apply(ms(1000), [named]);
    limits.apply(ms(1200), [ended]);
    assert_eq!(limits.current(ms(1200)), [named]);
    limits.apply(ms(1900), [ended]);
    assert_eq!(limits.current(ms(1900)), [ended]);
    limits.apply(ms(2000), [named]);
    assert_eq!(limits.current(ms(2000)), [named]);
    limits.retain(|_| false);
    assert!(limits.is_empty());
}

#[parameterized(
    nothing = { 0.0, 1 },
    hardly_any = { 1e-9, 300 },
    beyond_all = { 1e9, 300 },
)]
fn extreme_limits(limit: f64, entries: u32) {
    // Guards against extreme limits: each gives a valid schedule whose total rate is
    // within the limit.
    let period = Pace::of(limit, entries).period();
    let rate = period.map_or(0.0, |period| f64::from(entries) / period.as_secs_f64());
    assert!(rate <= limit * 1.001, "{rate}");
}

#[test]
fn unknown_entry_count() {
    // Guards against sends to a limited backend server by an entry that does not know the
    // number of entries, which could be hundreds.
    let mut router = entry(1, 0, 1);
    deliver_limit(&mut router, ms(CLOCK_OFFSET), 0, Some(1000.0));
    let sent = send(&mut router, ms(CLOCK_OFFSET + 1), "caller");
    assert_eq!(sent.err(), Some(ChooseError::Limited));
}

#[test]
fn restart_ends_limit() {
    // Guards against a restarted backend server that inherits the limit of its earlier
    // incarnation.
    let mut router = entry(1, 300, 1);
    deliver_limit(&mut router, ms(CLOCK_OFFSET), 0, Some(0.1));
    let mut restarted = announcement(0);
    (restarted.started_at, restarted.sequence) = (5, 2);
    router.apply_announcement(ms(CLOCK_OFFSET + 10), restarted);
    assert_eq!(router.limited_count(), 0);
}

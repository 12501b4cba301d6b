//! Backend servers that ask an entry for a pause or are shutting down: requests sent to
//! them, and `Retry-After` times.

use std::time::Duration;

use proptest::prelude::*;
use sesamebeam_core::{
    gateway::{
        backoff::Backoff,
        directory::ServerId,
        request::{
            Load,
            ResponseHead, //
        },
        router::{
            ChooseError,
            Router, //
        },
    },
    policy::backoff::RequestedPause,
};
use yare::parameterized;

use crate::fixtures::{
    announcement,
    choice,
    ms,
    plan,
    router_of_entry,
    send, //
};

/// Requested pause, in milliseconds.
const PAUSE: u64 = 3000;

/// Time of the first answer, in milliseconds.
const START: u64 = 50_000;

fn entry(servers: u8) -> Router {
    router_of_entry("entry-1", 3, servers)
}

fn rejection(pause: u64) -> ResponseHead {
    ResponseHead {
        status: 503,
        not_run: true,
        retry_after: Some(ms(pause)),
        ..ResponseHead::default()
    }
}

fn leaving() -> ResponseHead {
    ResponseHead {
        status: 200,
        sealed: true,
        leaving: true,
        ..ResponseHead::default()
    }
}

/// Delivers a rejection that requests a pause.
fn pause(router: &mut Router, now: u64, number: u8, pause: u64) -> bool {
    let heard = router.record_backoff(ms(now), &choice(number), &rejection(pause));
    heard.is_some()
}

#[test]
fn all_kinds_of_sends() {
    // Guards against retries, cascade steps or resumed streams to backend servers that
    // first sends skip.
    let mut router = entry(3);
    pause(&mut router, START, 0, PAUSE);
    router.record_backoff(ms(START), &choice(1), &leaving());
    let left: ServerId = "server-2".into();
    for n in 0..200 {
        let now = ms(START + 10 * n);
        let plan = plan(&mut router, now, &format!("caller-{n}"));
        for model in [None, Some("large")] {
            let chosen = router.choose(now, &plan, model, &[]);
            assert_eq!(chosen.map(|c| c.id).as_ref(), Ok(&left));
        }
        let tried = [left.clone()];
        assert_eq!(
            router.choose(now, &plan, None, &tried),
            Err(ChooseError::Limited)
        );
        assert!(!router.has_alternative(now, &plan, &[], &left));
        assert!(!router.has_capacity(now, &plan, &tried));
    }
}

#[test]
fn pause_ends() {
    // Guards against a pause that never ends, or ends early because of another response
    // of the backend server.
    let mut router = entry(1);
    assert!(pause(&mut router, START, 0, PAUSE));
    let id = choice(0).id;
    router.record_response(ms(START + 100), &id, Some(Load::default()));
    let good = ResponseHead {
        status: 200,
        sealed: true,
        ..ResponseHead::default()
    };
    router.record_backoff(ms(START + 200), &choice(0), &good);
    assert!(!pause(&mut router, START + 300, 0, 500), "a shorter one");
    router.remove_expired(ms(START + 400));
    assert_eq!(router.backed_off_count(ms(START + 400)), 1);
    let early = send(&mut router, ms(START + PAUSE - 1), "early");
    assert_eq!(early.err(), Some(ChooseError::Limited));
    assert!(send(&mut router, ms(START + PAUSE), "back").is_ok());
    assert_eq!(router.backed_off_count(ms(START + PAUSE)), 0);
}

#[test]
fn later_pause_counts() {
    let mut router = entry(1);
    pause(&mut router, START, 0, PAUSE);
    assert!(pause(&mut router, START + 1000, 0, PAUSE));
    let early = send(&mut router, ms(START + PAUSE), "early");
    assert_eq!(early.err(), Some(ChooseError::Limited));
    assert!(send(&mut router, ms(START + 1000 + PAUSE), "back").is_ok());
}

#[parameterized(
    unavailable = { 503, true },
    too_many = { 429, true },
    good = { 200, false },
    misdirected = { 421, false },
    failed = { 500, false },
)]
fn statuses(status: u16, pauses: bool) {
    let mut router = entry(1);
    let answer = ResponseHead {
        status,
        misdirected: status == 421,
        ..rejection(PAUSE)
    };
    let heard = router.record_backoff(ms(START), &choice(0), &answer);
    let requested = Backoff::Pause(RequestedPause::new(ms(START), ms(PAUSE)));
    assert_eq!(heard, pauses.then_some(requested));
    assert_eq!(send(&mut router, ms(START + 1), "next").is_err(), pauses);
}

#[test]
fn leaves_for_good() {
    // Guards against a late announcement or the end of a pause making a leaving backend
    // server eligible again.
    let mut router = entry(2);
    pause(&mut router, START, 0, PAUSE);
    assert_eq!(
        router.record_backoff(ms(START + 1), &choice(0), &leaving()),
        Some(Backoff::Leaving)
    );
    assert!(!pause(&mut router, START + 2, 0, PAUSE));
    for n in 0..100u64 {
        let now = START + 1000 * n;
        let mut late = announcement(0);
        late.sequence = 2 + n;
        router.apply_announcement(ms(now), late);
        router.remove_expired(ms(now));
        let chosen = send(&mut router, ms(now), &format!("caller-{n}"));
        assert_eq!(chosen.map(|c| c.id).as_deref(), Ok("server-1"));
    }
    router.record_backoff(ms(START), &choice(1), &leaving());
    let none = send(&mut router, ms(START), "none");
    assert_eq!(none.err(), Some(ChooseError::NoneLeft));
}

#[test]
fn another_life() {
    // Guards against applying the backoff of one incarnation to another at the same name
    // or address.
    let mut router = entry(1);
    router.record_backoff(ms(START), &choice(0), &leaving());
    let mut restarted = announcement(0);
    (restarted.started_at, restarted.sequence) = (5, 1);
    router.apply_announcement(ms(START + 10), restarted);
    assert!(send(&mut router, ms(START + 20), "caller").is_ok());
    assert!(!pause(&mut router, START + 30, 0, PAUSE), "the older life");
    let misdirected = ResponseHead {
        status: 421,
        misdirected: true,
        ..leaving()
    };
    let mut living = choice(0);
    living.started_at = 5;
    let heard = router.record_backoff(ms(START + 40), &living, &misdirected);
    assert_eq!(heard, None);
    assert!(send(&mut router, ms(START + 50), "caller").is_ok());
}

#[test]
fn true_retry_after() {
    // Guards against callers that return before any backend server accepts requests, or
    // all at once.
    let mut router = entry(2);
    pause(&mut router, START, 0, PAUSE);
    pause(&mut router, START + 500, 1, PAUSE);
    let callers: u64 = 300;
    let mut return_times = Vec::new();
    for n in 0..callers {
        let now = ms(START + 500 + n * (PAUSE - 500) / callers);
        let plan = plan(&mut router, now, &format!("caller-{n}"));
        assert_eq!(
            router.choose(now, &plan, None, &[]),
            Err(ChooseError::Limited)
        );
        let after = router.retry_after(now, &plan, ms(15_000));
        return_times.push(now + after.expect("a retry time"));
    }
    return_times.sort_unstable();
    let span = ms(START + PAUSE)..=ms(START + 2 * PAUSE + 10);
    assert!(return_times.iter().all(|at| span.contains(at)));
    // No tenth of the pause gets more than twice the mean number of returning callers.
    let tenth = ms(PAUSE / 10);
    let from = |n: usize| return_times[n..].partition_point(|at| *at < return_times[n] + tenth);
    let most = (0..return_times.len()).map(from).max().unwrap_or(0);
    assert!(most <= 2 * return_times.len() / 10, "{most}");
    assert!(send(&mut router, return_times[0], "back").is_ok());
}

#[test]
fn one_may_have_room() {
    // Guards against a `Retry-After` time at the end of a pause although another backend
    // server may have capacity.
    let mut router = entry(3);
    pause(&mut router, START, 0, PAUSE);
    pause(&mut router, START, 1, PAUSE);
    let now = ms(START + 10);
    let plan = plan(&mut router, now, "caller");
    assert_eq!(router.retry_after(now, &plan, ms(15_000)), None);
    router.record_backoff(now, &choice(2), &leaving());
    let after = router.retry_after(now, &plan, ms(15_000));
    assert!(after.is_some_and(|after| after >= ms(PAUSE - 10)));
    for number in 0..2 {
        router.record_backoff(now, &choice(number), &leaving());
    }
    assert_eq!(router.retry_after(now, &plan, ms(15_000)), None);
}

#[test]
fn beside_a_limit() {
    // Guards against a `Retry-After` time that respects only one of the pause and the
    // limit.
    let mut router = entry(1);
    let limited = ResponseHead {
        limit: Some(2.0),
        ..rejection(PAUSE)
    };
    router.record_limit(ms(START), &choice(0), ms(START), &limited);
    router.record_backoff(ms(START), &choice(0), &limited);
    let now = ms(START + 10);
    let mut return_times = Vec::new();
    for n in 0..5 {
        let plan = plan(&mut router, now, &format!("caller-{n}"));
        let after = router.retry_after(now, &plan, ms(60_000));
        return_times.push(now + after.expect("a retry time"));
    }
    assert!(return_times.is_sorted());
    for (n, at) in return_times.into_iter().enumerate() {
        assert!(at >= ms(START + PAUSE));
        send(&mut router, at, &format!("back-{n}")).expect("served at the retry time");
    }
}

#[test]
fn endless_pause() {
    // Guards against overflow of `Retry-After` times.
    let mut router = entry(1);
    let answer = ResponseHead {
        limit: Some(0.001),
        retry_after: Some(Duration::MAX),
        ..rejection(0)
    };
    router.record_limit(ms(START), &choice(0), ms(START), &answer);
    router.record_backoff(ms(START), &choice(0), &answer);
    let plan = plan(&mut router, ms(START), "caller");
    assert!(router.retry_after(ms(START), &plan, ms(1000)).is_some());
}

proptest! {
    /// For any sequence of pauses, no backend server gets a request before its last pause
    /// is over, and rejected callers get a time at which one is served.
    #[test]
    fn any_order(requested in prop::collection::vec((0u8..4, 0u64..5000, 0u64..400), 1..60)) {
        let mut router = entry(4);
        let mut open_at = [0u64; 4];
        let mut now = START;
        for (n, (number, length, after)) in requested.into_iter().enumerate() {
            now += after;
            pause(&mut router, now, number, length);
            let until = &mut open_at[usize::from(number)];
            *until = (*until).max(now + length);
            let is_open = open_at.iter().any(|at| *at <= now);
            match send(&mut router, ms(now), &format!("caller-{n}")) {
                Ok(sent) => {
                    let chosen = (0..4).find(|n| choice(*n).id == sent.id).expect("known");
                    prop_assert!(open_at[usize::from(chosen)] <= now);
                }
                Err(why) => {
                    prop_assert!(!is_open, "{why}");
                    let plan = plan(&mut router, ms(now), "refused");
                    let after = router.retry_after(ms(now), &plan, ms(15_000));
                    let first = open_at.iter().min().expect("four");
                    prop_assert!(after.is_some_and(|after| ms(now) + after >= ms(*first)));
                }
            }
        }
    }
}

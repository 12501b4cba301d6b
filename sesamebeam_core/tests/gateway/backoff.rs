//! Backend servers that ask an entry for a pause, and those that leave: what it sends them,
//! and when callers are asked to come back.

use std::time::Duration;

use proptest::prelude::*;
use sesamebeam_core::{
    gateway::{
        backoff::Backoff,
        directory::ServerId,
        request::{
            AnswerHead,
            Load, //
        },
        router::{
            Router,
            Unserved, //
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

/// Pause that is asked for, in milliseconds.
const PAUSE: u64 = 3000;

/// When the first answer comes, in milliseconds.
const START: u64 = 50_000;

fn entry(servers: u8) -> Router {
    router_of_entry("entry-1", 3, servers)
}

fn turned_away(pause: u64) -> AnswerHead {
    AnswerHead {
        status: 503,
        not_run: true,
        retry_after: Some(ms(pause)),
        ..AnswerHead::default()
    }
}

fn leaving() -> AnswerHead {
    AnswerHead {
        status: 200,
        sealed: true,
        leaving: true,
        ..AnswerHead::default()
    }
}

/// Has a backend server turn a request away and ask for a pause.
fn pause(router: &mut Router, now: u64, number: u8, pause: u64) -> bool {
    let heard = router.backoff_heard(ms(now), &choice(number), &turned_away(pause));
    heard.is_some()
}

#[test]
fn all_kinds_of_sends() {
    // Guards against repeats, larger models or streams that go on, sent where first ones are not.
    let mut router = entry(3);
    pause(&mut router, START, 0, PAUSE);
    router.backoff_heard(ms(START), &choice(1), &leaving());
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
            Err(Unserved::Limited)
        );
        assert!(!router.has_another(now, &plan, &[], &left));
        assert!(!router.has_room(now, &plan, &tried));
    }
}

#[test]
fn pause_ends() {
    // Guards against a pause that ends early, as something else comes from there, or never.
    let mut router = entry(1);
    assert!(pause(&mut router, START, 0, PAUSE));
    let id = choice(0).id;
    router.heard(ms(START + 100), &id, Some(Load::default()));
    let good = AnswerHead {
        status: 200,
        sealed: true,
        ..AnswerHead::default()
    };
    router.backoff_heard(ms(START + 200), &choice(0), &good);
    assert!(!pause(&mut router, START + 300, 0, 500), "a shorter one");
    router.tidy(ms(START + 400));
    assert_eq!(router.backed_off(ms(START + 400)), 1);
    let early = send(&mut router, ms(START + PAUSE - 1), "early");
    assert_eq!(early.err(), Some(Unserved::Limited));
    assert!(send(&mut router, ms(START + PAUSE), "back").is_ok());
    assert_eq!(router.backed_off(ms(START + PAUSE)), 0);
}

#[test]
fn later_pause_counts() {
    let mut router = entry(1);
    pause(&mut router, START, 0, PAUSE);
    assert!(pause(&mut router, START + 1000, 0, PAUSE));
    let early = send(&mut router, ms(START + PAUSE), "early");
    assert_eq!(early.err(), Some(Unserved::Limited));
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
    let answer = AnswerHead {
        status,
        misdirected: status == 421,
        ..turned_away(PAUSE)
    };
    let heard = router.backoff_heard(ms(START), &choice(0), &answer);
    let asked = Backoff::Pause(RequestedPause::new(ms(START), ms(PAUSE)));
    assert_eq!(heard, pauses.then_some(asked));
    assert_eq!(send(&mut router, ms(START + 1), "next").is_err(), pauses);
}

#[test]
fn leaves_for_good() {
    // Guards against a late announcement or the end of a pause that brings one back.
    let mut router = entry(2);
    pause(&mut router, START, 0, PAUSE);
    assert_eq!(
        router.backoff_heard(ms(START + 1), &choice(0), &leaving()),
        Some(Backoff::Leaving)
    );
    assert!(!pause(&mut router, START + 2, 0, PAUSE));
    for n in 0..100u64 {
        let now = START + 1000 * n;
        let mut late = announcement(0);
        late.sequence = 2 + n;
        router.announced(ms(now), late);
        router.tidy(ms(now));
        let chosen = send(&mut router, ms(now), &format!("caller-{n}"));
        assert_eq!(chosen.map(|c| c.id).as_deref(), Ok("server-1"));
    }
    router.backoff_heard(ms(START), &choice(1), &leaving());
    let none = send(&mut router, ms(START), "none");
    assert_eq!(none.err(), Some(Unserved::NoneLeft));
}

#[test]
fn another_life() {
    // Guards against taking the word of one life for that of another under its name or address.
    let mut router = entry(1);
    router.backoff_heard(ms(START), &choice(0), &leaving());
    let mut reborn = announcement(0);
    (reborn.started_at, reborn.sequence) = (5, 1);
    router.announced(ms(START + 10), reborn);
    assert!(send(&mut router, ms(START + 20), "caller").is_ok());
    assert!(!pause(&mut router, START + 30, 0, PAUSE), "the older life");
    let misdirected = AnswerHead {
        status: 421,
        misdirected: true,
        ..leaving()
    };
    let mut living = choice(0);
    living.born = 5;
    let heard = router.backoff_heard(ms(START + 40), &living, &misdirected);
    assert_eq!(heard, None);
    assert!(send(&mut router, ms(START + 50), "caller").is_ok());
}

#[test]
fn true_retry_after() {
    // Guards against callers who come back before a backend server takes any, or all at once.
    let mut router = entry(2);
    pause(&mut router, START, 0, PAUSE);
    pause(&mut router, START + 500, 1, PAUSE);
    let callers: u64 = 300;
    let mut comebacks = Vec::new();
    for n in 0..callers {
        let now = ms(START + 500 + n * (PAUSE - 500) / callers);
        let plan = plan(&mut router, now, &format!("caller-{n}"));
        assert_eq!(router.choose(now, &plan, None, &[]), Err(Unserved::Limited));
        let after = router.retry_after(now, &plan, ms(15_000));
        comebacks.push(now + after.expect("it was named"));
    }
    comebacks.sort_unstable();
    let span = ms(START + PAUSE)..=ms(START + 2 * PAUSE + 10);
    assert!(comebacks.iter().all(|at| span.contains(at)));
    // No tenth of the pause sees twice of what comes back on the mean.
    let tenth = ms(PAUSE / 10);
    let from = |n: usize| comebacks[n..].partition_point(|at| *at < comebacks[n] + tenth);
    let most = (0..comebacks.len()).map(from).max().unwrap_or(0);
    assert!(most <= 2 * comebacks.len() / 10, "{most}");
    assert!(send(&mut router, comebacks[0], "back").is_ok());
}

#[test]
fn one_may_have_room() {
    // Guards against callers who wait for the end of a pause though another may have room.
    let mut router = entry(3);
    pause(&mut router, START, 0, PAUSE);
    pause(&mut router, START, 1, PAUSE);
    let now = ms(START + 10);
    let plan = plan(&mut router, now, "caller");
    assert_eq!(router.retry_after(now, &plan, ms(15_000)), None);
    router.backoff_heard(now, &choice(2), &leaving());
    let after = router.retry_after(now, &plan, ms(15_000));
    assert!(after.is_some_and(|after| after >= ms(PAUSE - 10)));
    for number in 0..2 {
        router.backoff_heard(now, &choice(number), &leaving());
    }
    assert_eq!(router.retry_after(now, &plan, ms(15_000)), None);
}

#[test]
fn beside_a_limit() {
    // Guards against a time at which the pause is over and the limit not yet, or the reverse.
    let mut router = entry(1);
    let limited = AnswerHead {
        limit: Some(2.0),
        ..turned_away(PAUSE)
    };
    router.limit_heard(ms(START), &choice(0), ms(START), &limited);
    router.backoff_heard(ms(START), &choice(0), &limited);
    let now = ms(START + 10);
    let mut comebacks = Vec::new();
    for n in 0..5 {
        let plan = plan(&mut router, now, &format!("caller-{n}"));
        let after = router.retry_after(now, &plan, ms(60_000));
        comebacks.push(now + after.expect("it was named"));
    }
    assert!(comebacks.is_sorted());
    for (n, at) in comebacks.into_iter().enumerate() {
        assert!(at >= ms(START + PAUSE));
        send(&mut router, at, &format!("back-{n}")).expect("it was true");
    }
}

#[test]
fn endless_pause() {
    // Guards against times that overflow.
    let mut router = entry(1);
    let answer = AnswerHead {
        limit: Some(0.001),
        retry_after: Some(Duration::MAX),
        ..turned_away(0)
    };
    router.limit_heard(ms(START), &choice(0), ms(START), &answer);
    router.backoff_heard(ms(START), &choice(0), &answer);
    let plan = plan(&mut router, ms(START), "caller");
    assert!(router.retry_after(ms(START), &plan, ms(1000)).is_some());
}

proptest! {
    /// Whatever backend servers ask for and in whichever order, none gets a request before
    /// the last of its pauses is over, and callers are told a time at which one is served.
    #[test]
    fn any_order(asked in prop::collection::vec((0u8..4, 0u64..5000, 0u64..400), 1..60)) {
        let mut router = entry(4);
        let mut open_at = [0u64; 4];
        let mut now = START;
        for (n, (number, length, after)) in asked.into_iter().enumerate() {
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

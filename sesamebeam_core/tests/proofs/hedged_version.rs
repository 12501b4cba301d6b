//! Guards against hedging on a withdrawn version. The version of a late urgent
//! request is withdrawn while its first attempt runs. That attempt may finish, but a
//! hedge is new work: without the checks for new work it would start on the withdrawn
//! version, and the caller could receive its response.

use std::time::Duration;

use sesamebeam_core::{
    entry::{
        Faults,
        event::{
            Arrival,
            AttemptReport,
            Dispatch,
            DispatchKind,
            EntryAction,
            EntryEvent,
            Finished,
            Wanted, //
        }, //
    },
    ids::RequestId,
    message::{
        record::{
            Completed,
            Usage, //
        },
        server::Announcement, //
    },
};
use yare::parameterized;

use crate::{
    entry_harness::{
        EntryHarness,
        full_change, //
    },
    world::files,
};

/// Usual duration of a response.
const USUAL: Duration = Duration::from_millis(200);

fn announce(lone: &mut EntryHarness, at: u8) {
    let announcement = Announcement {
        pool: "beam-pool".into(),
        domain: files::domain(0),
        addr: ([10, 0, 0, at], 80).into(),
        incarnation: 1,
        seq: 1,
        leaving: false,
        load: Default::default(),
        versions: vec!["beam@v1".into(), "beam@v2".into()],
        cache: Vec::new(),
        speed: 40.0,
    };
    lone.handle(EntryEvent::Announced(Box::new(announcement)));
}

/// Submits an urgent request. Returns the dispatch of its first attempt.
fn arrive(lone: &mut EntryHarness, request: RequestId) -> Dispatch {
    let arrival = Arrival {
        request,
        org: "huallaga".into(),
        class: Some("status".into()),
        wanted: Wanted::Auto,
        session: None,
        key: None,
        digest: request,
        safe_method: false,
        streamed: false,
        prefix: 0,
        prompt_tokens: 10,
        max_tokens: 40,
    };
    let actions = lone.handle(EntryEvent::Arrived(Box::new(arrival)));
    sent(&actions).unwrap()
}

fn sent(actions: &[EntryAction]) -> Option<Dispatch> {
    actions.iter().find_map(|action| match action {
        EntryAction::Dispatch(dispatch) => Some(dispatch.clone()),
        _ => None,
    })
}

fn finish(lone: &mut EntryHarness, of: &Dispatch) {
    let answer = Completed {
        status: 200,
        content_type: "text/plain".into(),
        digest: 1,
        length: 0,
        body: None,
    };
    let usage = Usage {
        prompt_tokens: 10,
        completion_tokens: 20,
    };
    let finished = Finished {
        answer,
        usage,
        first: USUAL,
        retry_after: None,
        at: 0,
    };
    lone.handle(EntryEvent::Attempt {
        request: of.request,
        attempt: of.attempt,
        report: AttemptReport::Finished(finished),
    });
}

#[parameterized(
    not_withdrawn = { false, false, true },
    safeguard_on = { true, false, false },
    unchecked = { true, true, true },
)]
fn withdrawn_meanwhile(withdraw: bool, hedge_unchecked: bool, hedged: bool) {
    let faults = Faults {
        hedge_unchecked,
        ..Faults::default()
    };
    let mut lone = EntryHarness::new(faults, |cfg| cfg.policy.retry.hedges_per_request = 1.0);
    lone.renewed(1, full_change(files::fleet()));
    announce(&mut lone, 1);
    announce(&mut lone, 2);
    let first = arrive(&mut lone, 1);
    lone.now += USUAL;
    finish(&mut lone, &first);

    let late = arrive(&mut lone, 2);
    assert_eq!(late.version.as_deref(), Some("beam@v1"));
    if withdraw {
        lone.renewed(2, full_change(files::withdraw(files::fleet(), "v1")));
    }
    let second = sent(&lone.tick(USUAL * 2));
    assert_eq!(second.is_some(), hedged);
    if let Some(second) = second {
        assert_eq!(second.kind, DispatchKind::Hedge);
        assert_eq!(second.version.as_deref(), Some("beam@v1"));
        assert_ne!(second.server, late.server);
    }
}

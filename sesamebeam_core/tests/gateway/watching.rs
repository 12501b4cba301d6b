//! Whether backend servers whose connections ended have crashed.

use sesamebeam_core::gateway::{
    balance::Outcome,
    crash_watch::{
        ConnectionEnd,
        CrashSign, //
    },
    directory::Announcement,
    messages::PartSuspicion,
    request::{
        AnswerStage,
        PartId, //
    },
    router::{
        Choice,
        Ended,
        Plan,
        Router, //
    },
};
use yare::parameterized;

use crate::fixtures::{
    addr,
    head,
    ms,
    router, //
};

/// The part of its prompt that other requests may share.
const SHARED_PART: PartId = 7;

/// A request that was sent to a backend server at 0 ms.
struct Sent {
    router: Router,
    plan: Plan,
    choice: Choice,
}

impl Sent {
    fn new() -> Self {
        let mut router = router(3);
        let mut plan = router.admit(ms(0), &head("a")).expect("it is admitted");
        plan.identify(5);
        let choice = router.choose(ms(0), &plan, None, &[]).expect("a choice");
        Self {
            router,
            plan,
            choice,
        }
    }

    /// Ends its connection. Returns whether the backend server is to be looked at.
    fn end(&mut self, at: u64, end: ConnectionEnd) -> bool {
        let ended = Ended {
            sent_at: ms(0),
            stage: AnswerStage::UnderWay { events: 2 },
            end,
        };
        let (plan, choice) = (&self.plan, &self.choice);
        self.router
            .record_connection_end(ms(at), plan, choice, ended)
    }

    fn answer(&mut self, at: u64, sent_at: u64) {
        self.router
            .record_answered_since(ms(at), &self.choice, ms(sent_at));
    }

    fn signs(&mut self, at: u64) -> Vec<Option<CrashSign>> {
        let checks = self.router.take_crash_checks(ms(at)).into_iter();
        checks.map(|check| check.sign).collect()
    }

    /// Returns the announcement of the chosen backend server.
    fn announced(&self) -> Announcement {
        let known = self.router.directory().get(&self.choice.id);
        known.expect("it is known").announcement.clone()
    }
}

#[derive(Clone, Copy, Debug)]
enum Later {
    Refused,
    SameId,
    OtherId,
    Misdirected,
    Silent,
}

#[parameterized(
    refused = { Later::Refused, CrashSign::Refused },
    same_id = { Later::SameId, CrashSign::Replaced },
    other_id = { Later::OtherId, CrashSign::Replaced },
    misdirected = { Later::Misdirected, CrashSign::Replaced },
    silent = { Later::Silent, CrashSign::Silent },
)]
fn seen_later(later: Later, sign: CrashSign) {
    // Guards against a crash that stays unknown because the address accepted a connection once.
    let mut sent = Sent::new();
    assert!(sent.end(20, ConnectionEnd::Broken));
    sent.router.record_accepted_since(&sent.choice, ms(1));
    assert!(sent.signs(3000).is_empty());
    assert!(sent.router.is_crash_open(&sent.choice));
    let old = sent.announced();
    let next = Announcement {
        started_at: 9,
        ..old.clone()
    };
    match later {
        Later::Refused => sent.router.record_refused(ms(4000), &sent.choice, None),
        Later::SameId => {
            sent.router.apply_announcement(ms(4000), next);
        }
        Later::OtherId => {
            let id = "another".into();
            sent.router
                .apply_announcement(ms(4000), Announcement { id, ..next });
        }
        Later::Misdirected => sent.router.mark_replaced(ms(4000), &sent.choice),
        Later::Silent => {
            let (plan, choice) = (&sent.plan, &sent.choice);
            sent.router
                .record_outcome(ms(4000), plan, choice, Outcome::Silent);
        }
    }
    assert_eq!(sent.signs(4000), [Some(sign)]);
    let crashes = sent.router.take_report(ms(4000)).crashes;
    assert_eq!(crashes.len(), 1);
    assert_eq!(crashes[0].server, sent.choice.incarnation());
    assert_eq!(crashes[0].age, ms(3980));
}

#[test]
fn alive() {
    // Guards against a sound backend server that is held to have crashed because of a faulty
    // answer, some seconds before it is replaced.
    let mut sent = Sent::new();
    assert!(sent.end(20, ConnectionEnd::Broken));
    sent.answer(40, 10);
    assert!(
        sent.router.is_crash_open(&sent.choice),
        "it was sent before"
    );
    sent.answer(60, 30);
    assert!(!sent.router.is_crash_open(&sent.choice));
    assert_eq!(sent.signs(2100), [None]);
    sent.router.record_refused(ms(2200), &sent.choice, None);
    assert!(sent.router.take_report(ms(2200)).crashes.is_empty());
}

#[test]
fn refused_after_answer() {
    // Guards against a faulty answer that counts as the cause of a later crash.
    let mut sent = Sent::new();
    sent.end(20, ConnectionEnd::Broken);
    sent.answer(60, 30);
    sent.router.record_refused(ms(500), &sent.choice, None);
    assert_eq!(sent.signs(500), [None]);
    assert!(sent.router.take_report(ms(500)).crashes.is_empty());
}

#[test]
fn cut_off() {
    // Guards against a backend server that is held to have crashed because this entry is cut off
    // from it: it accepts no connection either.
    let mut sent = Sent::new();
    sent.end(20, ConnectionEnd::Broken);
    let (plan, choice) = (&sent.plan, &sent.choice);
    sent.router
        .record_outcome(ms(4000), plan, choice, Outcome::Silent);
    assert!(sent.signs(4000).is_empty());
}

#[test]
fn silent_after_answer() {
    // Guards against a slow backend server that is held to have crashed because of a faulty
    // answer.
    let mut sent = Sent::new();
    sent.end(20, ConnectionEnd::Broken);
    sent.router.record_accepted_since(&sent.choice, ms(1));
    sent.router.record_response(ms(50), &sent.choice.id, None);
    let (plan, choice) = (&sent.plan, &sent.choice);
    sent.router
        .record_outcome(ms(4000), plan, choice, Outcome::Silent);
    assert!(sent.signs(4000).is_empty());
}

#[test]
fn breaks_again() {
    // Guards against a crash that is not looked for because the backend server had lived after
    // an earlier faulty answer.
    let mut sent = Sent::new();
    assert!(sent.end(20, ConnectionEnd::Broken));
    assert!(
        !sent.end(25, ConnectionEnd::Broken),
        "it is looked at already"
    );
    sent.answer(60, 30);
    assert!(sent.end(100, ConnectionEnd::Broken));
    sent.router.record_refused(ms(110), &sent.choice, None);
    assert_eq!(sent.router.take_report(ms(110)).crashes.len(), 1);
}

#[test]
fn until_closed() {
    // Guards against an answer that clears its parts because a crash ended it as its end does.
    let mut sent = Sent::new();
    let suspicion = PartSuspicion {
        part: SHARED_PART,
        crashes: 1,
        events: 2,
        age: ms(0),
    };
    sent.router.set_fatal_parts(ms(5), vec![], vec![suspicion]);
    assert!(!sent.end(20, ConnectionEnd::MaybeComplete));
    assert!(sent.router.take_report(ms(30)).part_answers.is_empty());
    sent.answer(60, 40);
    let answers = sent.router.take_report(ms(60)).part_answers;
    assert_eq!(answers.len(), 1);
    assert_eq!(answers[0].age, ms(40), "its end counts");
    sent.end(70, ConnectionEnd::MaybeComplete);
    sent.router.record_refused(ms(90), &sent.choice, None);
    assert!(sent.router.take_report(ms(90)).part_answers.is_empty());
}

#[test]
fn ended_long_ago() {
    // Guards against requests that are suspects because the connections of their answers were the
    // last before a backend server left.
    let mut sent = Sent::new();
    sent.end(20, ConnectionEnd::MaybeComplete);
    assert!(sent.signs(6000).is_empty());
    sent.router.record_refused(ms(6000), &sent.choice, None);
    assert!(sent.router.take_report(ms(6000)).crashes.is_empty());
}

#[test]
fn bounded() {
    // Guards against memory that grows with the backend servers that break connections.
    let mut sent = Sent::new();
    sent.choice.addr = addr(99);
    for number in 0..1000_u32 {
        sent.choice.id = format!("server-{number}").into();
        assert!(sent.end(20 + u64::from(number), ConnectionEnd::Broken));
    }
    let open = (0..1000).filter(|number| {
        sent.choice.id = format!("server-{number}").into();
        sent.router.is_crash_open(&sent.choice)
    });
    assert_eq!(open.count(), 256);
}

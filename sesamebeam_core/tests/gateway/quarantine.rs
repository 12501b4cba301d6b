//! Requests that an entry refuses because they crash backend servers.

use sesamebeam_core::gateway::{
    crash_watch::ConnectionEnd,
    messages::{
        FatalParts,
        PartSuspicion, //
    },
    request::{
        AnswerProgress,
        AnswerStage,
        PartId,
        PromptPart, //
    },
    router::{
        ChooseError,
        Ended,
        Plan,
        Refusal,
        Router, //
    },
};

use crate::fixtures::{
    head,
    ms,
    router, //
};

const FATAL: PartId = 3;
const OTHER: PartId = 4;

/// Admits a request with shared parts and one of its own.
fn admit(router: &mut Router, now: u64, id: &str, shared: &[PartId]) -> Plan {
    let mut head = head(id);
    let own = head.id.len() as PartId + 1000;
    let parts = shared.iter().copied().chain([own]);
    head.prompt = parts.map(|id| PromptPart { id, tokens: 100 }).collect();
    let mut plan = router.admit(ms(now), &head).expect("it is admitted");
    plan.identify(hash(id));
    plan
}

fn hash(id: &str) -> u128 {
    id.bytes().fold(0, |sum, b| sum * 31 + u128::from(b))
}

fn fatal(parts: &[PartId]) -> FatalParts {
    FatalParts {
        parts: parts.to_vec(),
        crashes: 5,
        events: 0,
        age: ms(0),
    }
}

fn suspected(part: PartId, age: u64) -> PartSuspicion {
    PartSuspicion {
        part,
        crashes: 2,
        events: 3,
        age: ms(age),
    }
}

#[test]
fn admitted_before() {
    // Guards against a request that was admitted before its part was found out, and goes on to
    // further backend servers.
    let mut router = router(4);
    let plan = admit(&mut router, 0, "a", &[OTHER, FATAL]);
    let first = router.choose(ms(0), &plan, None, &[]).expect("a choice");
    assert!(router.set_fatal_parts(ms(10), vec![fatal(&[FATAL])], vec![]));
    let tried = [first.id];
    let again = router.choose(ms(20), &plan, None, &tried);
    assert_eq!(again, Err(ChooseError::Quarantined));
    assert_eq!(router.check_quarantine(&plan), Err(Refusal::Quarantined));
    let refusals = router.take_report(ms(200)).part_refusals;
    assert_eq!(refusals.iter().map(|r| r.count).sum::<u32>(), 1);
}

#[test]
fn only_together() {
    // Guards against refusing requests with some of the parts that are fatal together, or
    // whose own part has the id of a fatal one.
    let mut router = router(4);
    router.set_fatal_parts(ms(0), vec![fatal(&[FATAL, OTHER])], vec![]);
    for (id, parts) in [("a", vec![FATAL]), ("b", vec![OTHER]), ("c", vec![])] {
        let plan = admit(&mut router, 0, id, &parts);
        assert!(router.check_quarantine(&plan).is_ok(), "{id}");
    }
    let plan = admit(&mut router, 0, "d", &[OTHER, 9, FATAL]);
    assert!(router.check_quarantine(&plan).is_err());
}

#[test]
fn one_probe() {
    // Guards against several requests with fatal parts where one was allowed, and against
    // asking for one when nobody sends such requests.
    let mut router = router(4);
    router.set_fatal_parts(ms(0), vec![fatal(&[FATAL])], vec![]);
    assert!(router.take_probe_requests(ms(0)).is_empty());
    let plan = admit(&mut router, 0, "a", &[FATAL]);
    assert!(router.check_quarantine(&plan).is_err());
    assert_eq!(router.take_probe_requests(ms(0)).len(), 1);
    assert!(
        router.take_probe_requests(ms(500)).is_empty(),
        "asked twice a second"
    );
    router.allow_probe(&[FATAL]);
    assert!(router.check_quarantine(&plan).is_ok());
    assert!(router.choose(ms(600), &plan, None, &[]).is_ok());
    let second = router.choose(ms(601), &plan, None, &[]);
    assert_eq!(second, Err(ChooseError::Quarantined));
}

#[test]
fn told_of_answers() {
    // Guards against sound parts that stay suspected although answers on them complete, before
    // or after the suspicion is heard of.
    let mut router = router(4);
    for part in [FATAL, OTHER] {
        let plan = admit(&mut router, 100, &format!("r{part}"), &[part]);
        router.record_completion(ms(100), &plan);
    }
    assert!(router.take_report(ms(100)).part_answers.is_empty());
    let suspicions = vec![suspected(FATAL, 50), suspected(OTHER, 200)];
    router.set_fatal_parts(ms(200), vec![], suspicions);
    assert!(router.has_failures(), "others wait for it");
    let told = router.take_report(ms(250)).part_answers;
    let told: Vec<_> = told.iter().map(|e| (e.part, e.age)).collect();
    assert_eq!(told, [(OTHER, ms(150))]);
    let plan = admit(&mut router, 300, "later", &[FATAL]);
    router.record_completion(ms(300), &plan);
    let told = router.take_report(ms(300)).part_answers;
    assert_eq!(told.iter().map(|e| e.part).collect::<Vec<_>>(), [FATAL]);
}

#[test]
fn told_of_progress() {
    // Guards against reports of answers that came no further than those at crashes, and against
    // a report for each event of those that did.
    let mut router = router(4);
    let plan = admit(&mut router, 0, "a", &[FATAL]);
    router.set_fatal_parts(ms(0), vec![], vec![suspected(FATAL, 0)]);
    router.record_events(ms(10), &plan, 4);
    assert!(router.take_report(ms(10)).part_answers.is_empty());
    router.record_events(ms(20), &plan, 9);
    let told = router.take_report(ms(20)).part_answers;
    let told: Vec<_> = told.iter().map(|a| (a.part, a.progress)).collect();
    assert_eq!(told, [(FATAL, AnswerProgress::Events(9))]);
    let other = admit(&mut router, 0, "b", &[FATAL]);
    router.record_events(ms(30), &other, 9);
    assert!(router.take_report(ms(30)).part_answers.is_empty());
    router.set_fatal_parts(ms(50), vec![], vec![suspected(FATAL, 10)]);
    router.record_events(ms(60), &other, 9);
    assert_eq!(router.take_report(ms(60)).part_answers.len(), 1);
}

#[test]
fn every_stage() {
    // Guards against a request that is not a suspect because its answer was under way when its
    // backend server crashed.
    let mut router = router(4);
    let plan = admit(&mut router, 0, "a", &[FATAL]);
    let choice = router.choose(ms(0), &plan, None, &[]).expect("a choice");
    let under_way = AnswerStage::UnderWay { events: 7 };
    for stage in [under_way, AnswerStage::Begun, AnswerStage::Awaited] {
        let ended = Ended {
            sent_at: ms(0),
            stage,
            end: ConnectionEnd::Broken,
        };
        router.record_connection_end(ms(50), &plan, &choice, ended);
        router.record_refused(ms(50), &choice, Some(ms(1)));
        let crashes = router.take_report(ms(50)).crashes;
        let stages: Vec<_> = crashes.iter().map(|c| c.stage).collect();
        assert_eq!(stages, [stage]);
    }
}

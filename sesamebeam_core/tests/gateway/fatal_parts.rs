//! Detection of prompt parts that crash backend servers.

use std::time::Duration;

use proptest::{
    collection::vec,
    prelude::any,
    proptest, //
};
use sesamebeam_core::{
    gateway::{
        directory::ServerIncarnation,
        fatal_parts::CrashesByPart,
        messages::{
            Crash,
            FatalParts,
            PartAnswer, //
        },
        request::{
            AnswerProgress,
            AnswerStage,
            PartId, //
        },
    },
    ids::MonoTime,
};

use yare::parameterized;

use crate::fixtures::ms;

/// Parts of the tests: the first is in all prompts.
const SHARED: PartId = 1;
const BESIDE: PartId = 2;
const FATAL: PartId = 3;

/// When the tests begin, in milliseconds.
const START: u64 = 1000;

/// Time from a send to the crash that it causes.
const TO_CRASH: Duration = Duration::from_millis(50);

/// Round-trip time to a backend server.
const ROUND_TRIP: Duration = Duration::from_millis(1);

/// Time after a crash in which all entries have told of answers on its suspects.
const ANSWERS_TOLD_IN: Duration = Duration::from_millis(600);

/// Number of crashes, each after the one before, from which a part is held to be fatal if
/// answers had begun, and otherwise.
const BEGUN: u64 = 3;
const WAITING: u64 = 5;

/// Reports that a request with some parts was in flight at a backend server that crashed.
fn crash(fingerprint: u64, server: u64, parts: &[PartId], has_begun: bool) -> Crash {
    Crash {
        fingerprint: fingerprint.into(),
        server: ServerIncarnation {
            id: format!("server-{server}").into(),
            started_at: 0,
        },
        parts: parts.to_vec(),
        stage: match has_begun {
            true => AnswerStage::Begun,
            false => AnswerStage::Awaited,
        },
        sent: TO_CRASH,
        round_trip: ROUND_TRIP,
        age: Duration::ZERO,
    }
}

/// Reports that a request was in flight whose answer had come to some events.
fn crash_under_way(fingerprint: u64, server: u64, parts: &[PartId], events: u32) -> Crash {
    Crash {
        stage: AnswerStage::UnderWay { events },
        ..crash(fingerprint, server, parts, false)
    }
}

/// Reports a complete answer on a part.
fn complete(part: PartId) -> PartAnswer {
    PartAnswer {
        part,
        progress: AnswerProgress::Complete,
        age: Duration::ZERO,
    }
}

/// Reports an answer on a part that has come to some events.
fn events(part: PartId, count: u32) -> PartAnswer {
    PartAnswer {
        progress: AnswerProgress::Events(count),
        ..complete(part)
    }
}

fn record(crashes: &mut CrashesByPart, now: MonoTime, reports: &[Crash]) -> bool {
    for report in reports {
        crashes.record(now, report);
    }
    crashes.judge(now)
}

fn verdicts(crashes: &CrashesByPart) -> Vec<Vec<PartId>> {
    crashes.verdicts().iter().map(|v| v.parts.clone()).collect()
}

/// Crashes servers one after the other by requests with these parts, from a time on, until no
/// answer can be on its way any more.
fn crash_series(crashes: &mut CrashesByPart, from: u64, count: u64, parts: &[PartId]) -> MonoTime {
    for n in 0..count {
        let now = ms(START + from + n * 100);
        record(crashes, now, &[crash(from + n, from + n, parts, true)]);
    }
    let last = ms(START + from + (count - 1) * 100);
    crashes.judge(last + ANSWERS_TOLD_IN);
    last
}

#[test]
fn begun_answers() {
    // Guards against a fatal part that goes on because no two requests with it are alike.
    let mut crashes = CrashesByPart::default();
    for n in 0..BEGUN {
        assert!(verdicts(&crashes).is_empty(), "{n} crashes");
        let waiting = (0..100).map(|w| crash(100 + w, n, &[SHARED, 50], false));
        let begun = crash(n, n, &[SHARED, FATAL], true);
        let reports: Vec<Crash> = waiting.chain([begun]).collect();
        record(&mut crashes, ms(START + n * 100), &reports);
        crashes.record_answer(ms(START + n * 100 + 40), &complete(SHARED));
    }
    assert!(crashes.judge(ms(START) + ANSWERS_TOLD_IN));
    assert_eq!(verdicts(&crashes), [[FATAL]]);
}

#[test]
fn waiting_answers() {
    // Guards against a fatal part that goes on because backend servers go down before the
    // heads of their answers.
    let mut crashes = CrashesByPart::default();
    for n in 0..WAITING {
        assert!(verdicts(&crashes).is_empty(), "{n} crashes");
        let bystander = crash(100 + n, n, &[SHARED, 50 + n], false);
        let report = crash(n, n, &[SHARED, FATAL], false);
        record(&mut crashes, ms(START + n * 100), &[bystander, report]);
        crashes.record_answer(ms(START + n * 100 + 40), &complete(SHARED));
    }
    assert!(crashes.judge(ms(START) + ANSWERS_TOLD_IN));
    assert_eq!(verdicts(&crashes), [[FATAL]]);
}

#[parameterized(first_event = { 1 }, early = { 4 }, late = { 40 })]
fn answers_under_way(at: u32) {
    // Guards against a fatal part that goes on because the answers on it begin, and end with
    // their backend servers only later, one event sooner or later each time.
    let mut crashes = CrashesByPart::default();
    for n in 0..WAITING {
        assert!(verdicts(&crashes).is_empty(), "{n} crashes");
        let now = ms(START + n * 100);
        crashes.record_answer(now, &events(FATAL, at));
        let bystanders =
            (0..90).map(|b| crash_under_way(1000 * (n + 1) + b, n, &[SHARED, 50 + b], b as u32));
        let fatal = crash_under_way(n, n, &[SHARED, FATAL], at + n as u32 % 2);
        let reports: Vec<Crash> = bystanders.chain([fatal]).collect();
        record(&mut crashes, now + ms(30), &reports);
        crashes.record_answer(now + ms(60), &events(FATAL, at));
        crashes.record_answer(now + ms(60), &complete(SHARED));
        for b in 0..90 {
            crashes.record_answer(now + ms(60), &events(50 + b, 2 * b as u32 + 2));
        }
    }
    assert!(crashes.judge(ms(START + 30) + ANSWERS_TOLD_IN));
    assert_eq!(verdicts(&crashes), [[FATAL]]);
}

#[test]
fn long_answers() {
    // Guards against refusing sound requests whose long answers are under way at every crash
    // and end only later: they come further each time, at any backend server.
    let mut crashes = CrashesByPart::default();
    for n in 0..30 {
        let now = ms(START + n * 500);
        let suspects: Vec<Crash> = (0..90)
            .map(|b| crash_under_way(n * 100 + b, n, &[SHARED, BESIDE + b % 9], 10 + b as u32))
            .collect();
        record(&mut crashes, now, &suspects);
        for part in [SHARED].into_iter().chain(BESIDE..BESIDE + 9) {
            crashes.record_answer(now + ms(400), &events(part, 300));
        }
        assert!(verdicts(&crashes).is_empty(), "{n} crashes");
    }
}

#[test]
fn domain_ends_under_way() {
    // Guards against a verdict on the parts of long answers that end with their failure domain.
    let mut crashes = CrashesByPart::default();
    for round in 0..20 {
        let at = START + round * 1200;
        for server in 0..4 {
            let n = round * 10 + server;
            let under_way = crash_under_way(n, n, &[SHARED, BESIDE], 5);
            record(&mut crashes, ms(at + server * 3), &[under_way]);
        }
        assert!(!crashes.judge(ms(at + 1000)), "round {round}");
    }
}

#[test]
fn wrong_verdict_under_way() {
    // Guards against refusals that go on although answers on the part come further than those
    // that ended in crashes, or that end for answers that come no further.
    let mut crashes = CrashesByPart::default();
    for n in 0..WAITING {
        let now = ms(START + n * 200);
        record(&mut crashes, now, &[crash_under_way(n, n, &[FATAL], 6)]);
    }
    assert_eq!(verdicts(&crashes), [[FATAL]]);
    let later = ms(START + 2000);
    assert!(!crashes.record_answer(later, &events(FATAL, 8)));
    assert_eq!(verdicts(&crashes), [[FATAL]]);
    assert!(crashes.record_answer(later, &events(FATAL, 14)));
    assert!(verdicts(&crashes).is_empty());
}

#[test]
fn fast_engine() {
    // Guards against a fatal part that goes on because its backend servers begin answers, and go
    // down, sooner after a send than others would.
    let mut crashes = CrashesByPart::default();
    for n in 0..WAITING {
        let fast = Crash {
            sent: ROUND_TRIP + ms(5),
            ..crash(n, n, &[FATAL], false)
        };
        record(&mut crashes, ms(START + n * 200), &[fast]);
    }
    assert_eq!(verdicts(&crashes), [[FATAL]]);
}

#[test]
fn retried_at_once() {
    // Guards against a fatal part whose requests end one backend server after the other so
    // quickly that these seem to fail together, as a failure domain does.
    let mut crashes = CrashesByPart::default();
    for n in 0..4 {
        let first = START + n * 300;
        for attempt in 0..3 {
            let retried = Crash {
                sent: ROUND_TRIP + ms(5),
                ..crash(n, n * 10 + attempt, &[FATAL], false)
            };
            record(&mut crashes, ms(first + attempt * 7), &[retried]);
        }
    }
    assert_eq!(verdicts(&crashes), [[FATAL]]);
}

#[test]
fn one_request() {
    // Guards against a verdict on shared parts for one request that is sent again.
    let mut crashes = CrashesByPart::default();
    for n in 0..20 {
        record(
            &mut crashes,
            ms(START + n * 100),
            &[crash(7, n, &[SHARED], true)],
        );
    }
    assert!(verdicts(&crashes).is_empty());
}

#[test]
fn power_failure() {
    // Guards against a verdict on the parts of sound requests that were in flight, hundreds
    // at a time, at backend servers that ended together.
    let mut crashes = CrashesByPart::default();
    for failure in 0..4 {
        let at = failure * 3000;
        for server in 0..300 {
            let suspects: Vec<Crash> = (0..40)
                .map(|n| {
                    let parts = [SHARED, BESIDE + n % 5];
                    crash(server * 100 + n, at + server, &parts, n % 4 == 0)
                })
                .collect();
            record(&mut crashes, ms(START + at + server / 10), &suspects);
        }
        assert!(verdicts(&crashes).is_empty(), "failure {failure}");
        for part in [SHARED].into_iter().chain(BESIDE..BESIDE + 5) {
            crashes.record_answer(ms(START + at + 400), &complete(part));
        }
    }
}

#[test]
fn total_outage() {
    // Guards against a verdict on parts that no answer can clear, since all backend servers
    // have ended together and requests were still sent to them until each was noticed.
    let mut crashes = CrashesByPart::default();
    for server in 0..90 {
        let since_outage = ms(server * 4);
        let in_flight = Crash {
            sent: since_outage + TO_CRASH,
            age: since_outage,
            ..crash(server, server, &[SHARED, BESIDE], false)
        };
        let stale = Crash {
            sent: ms(2),
            ..crash(100 + server, server, &[SHARED, BESIDE], false)
        };
        let is_idle = server % 3 == 0;
        let reports = if is_idle {
            vec![stale]
        } else {
            vec![stale, in_flight]
        };
        record(&mut crashes, ms(1000) + since_outage, &reports);
        assert!(verdicts(&crashes).is_empty(), "{server}");
    }
    for now in (1400..3000).step_by(100) {
        assert!(!crashes.judge(ms(now)), "{now}");
    }
}

#[test]
fn domains_end_in_turn() {
    // Guards against a verdict on a part whose requests were waiting each time that several
    // backend servers ended together, and got no answer in between.
    let mut crashes = CrashesByPart::default();
    for round in 0..20 {
        let at = START + round * 1200;
        for server in 0..4 {
            let n = round * 10 + server;
            let waiting = crash(n, n, &[SHARED, BESIDE], false);
            record(&mut crashes, ms(at + server * 3), &[waiting]);
        }
        assert!(!crashes.judge(ms(at + 1000)), "round {round}");
    }
    assert!(verdicts(&crashes).is_empty());
}

#[test]
fn answers_on_their_way() {
    // Guards against a verdict that is reached before other entries can tell of answers.
    let mut crashes = CrashesByPart::default();
    for n in 0..WAITING {
        record(
            &mut crashes,
            ms(START + n * 60),
            &[crash(n, n, &[BESIDE], true)],
        );
    }
    assert!(verdicts(&crashes).is_empty());
    crashes.record_answer(ms(START + 400), &complete(BESIDE));
    assert!(!crashes.judge(ms(START + 2000)));
}

#[test]
fn others_suspected_later() {
    // Guards against a verdict that is put off by parts that are suspected after it.
    let mut crashes = CrashesByPart::default();
    for n in 0..BEGUN {
        let now = ms(START + n * 100);
        record(&mut crashes, now, &[crash(n, n, &[FATAL], true)]);
    }
    for n in 0..BEGUN {
        let now = ms(START + 400 + n * 60);
        record(&mut crashes, now, &[crash(50 + n, 50 + n, &[BESIDE], true)]);
    }
    assert!(crashes.judge_pending(ms(START) + ANSWERS_TOLD_IN));
    assert_eq!(verdicts(&crashes), [[FATAL]]);
    assert!(crashes.judge_pending(ms(START + 400) + ANSWERS_TOLD_IN));
    assert_eq!(verdicts(&crashes), [[FATAL], [BESIDE]]);
}

#[test]
fn tied_parts() {
    // Guards against refusing sound requests for a part that occurs beside a fatal one.
    let mut crashes = CrashesByPart::default();
    let last = crash_series(&mut crashes, 0, BEGUN, &[SHARED, BESIDE, FATAL]);
    assert_eq!(verdicts(&crashes), [[SHARED, BESIDE, FATAL]]);
    let later = last + ms(10);
    assert!(crashes.record_answer(later, &complete(SHARED)));
    assert!(crashes.record_answer(later, &complete(BESIDE)));
    assert_eq!(verdicts(&crashes), [[FATAL]]);
}

#[test]
fn other_company() {
    // Guards against a fatal part that goes on in prompts without the parts that it was found
    // beside.
    let mut crashes = CrashesByPart::default();
    crash_series(&mut crashes, 0, BEGUN, &[BESIDE, FATAL]);
    crash_series(&mut crashes, 1000, 2, &[SHARED, FATAL]);
    assert!(crashes.record_answer(ms(START + 1150), &complete(SHARED)));
    assert_eq!(verdicts(&crashes), [vec![BESIDE, FATAL], vec![FATAL]]);
}

#[test]
fn coincidence() {
    // Guards against blaming a sound part that was at each of the first crashes by chance.
    let mut crashes = CrashesByPart::default();
    for n in 0..BEGUN {
        let fatal = crash(n, n, &[FATAL], true);
        let sound = crash(100 + n, n, &[BESIDE], true);
        record(&mut crashes, ms(START + n * 100), &[fatal, sound]);
    }
    assert!(!crashes.judge(ms(START) + ANSWERS_TOLD_IN));
    crash_series(&mut crashes, 1000, 1, &[FATAL]);
    assert_eq!(verdicts(&crashes), [[FATAL]]);
}

#[test]
fn late_report() {
    // Guards against blaming a sound part for a crash of which its entry tells before the entry
    // of the fatal request does.
    let mut crashes = CrashesByPart::default();
    for n in 0..8 {
        let now = ms(START + n * 300);
        let sound = crash_under_way(100 + n, n, &[BESIDE], 6);
        let fatal = crash_under_way(n, n, &[FATAL], 6);
        record(&mut crashes, now, &[sound]);
        record(&mut crashes, now + ms(80), &[fatal]);
        assert!(!verdicts(&crashes).contains(&vec![BESIDE]), "{n} crashes");
    }
    let now = ms(START + 8 * 300);
    record(&mut crashes, now, &[crash_under_way(8, 8, &[FATAL], 6)]);
    crashes.judge_pending(now + ms(200));
    assert_eq!(verdicts(&crashes), [[FATAL]]);
}

#[test]
fn several_reports() {
    // Guards against counting a crash once for each entry that tells of it.
    let mut crashes = CrashesByPart::default();
    for n in 0..20 {
        record(
            &mut crashes,
            ms(START + n * 300),
            &[crash(n, 1, &[FATAL], true)],
        );
    }
    assert!(verdicts(&crashes).is_empty());
}

#[test]
fn wrong_verdict_ends() {
    // Guards against refusing requests for a part on which answers complete.
    let mut crashes = CrashesByPart::default();
    let last = crash_series(&mut crashes, 0, BEGUN, &[FATAL]);
    let earlier = PartAnswer {
        age: ms(200),
        ..complete(FATAL)
    };
    assert!(!crashes.record_answer(last + ms(100), &earlier));
    assert_eq!(verdicts(&crashes), [[FATAL]]);
    assert!(crashes.record_answer(last + ms(100), &complete(FATAL)));
    assert!(verdicts(&crashes).is_empty());
    assert!(!crashes.judge(last + ms(200)), "its crashes count no more");
}

#[test]
fn few_probes() {
    // Guards against a verdict without an end, and against more than three requests that may
    // each cost a backend server.
    let mut crashes = CrashesByPart::default();
    let last = crash_series(&mut crashes, 0, BEGUN, &[FATAL]);
    let found_at = last + ANSWERS_TOLD_IN;
    let is_probed = |at: &u64| crashes.take_probe(found_at + ms(*at), &[FATAL]);
    let probes: Vec<u64> = (0..600).map(|s| s * 1000).filter(is_probed).collect();
    assert_eq!(probes, [20_000, 100_000, 420_000]);
}

#[test]
fn ends_unused() {
    // Guards against refusals of requests that nobody has sent for long.
    let mut crashes = CrashesByPart::default();
    let last = crash_series(&mut crashes, 0, BEGUN, &[FATAL]);
    crashes.record_refusals(last + ms(500_000), &[FATAL], 2);
    crashes.expire(last + ms(700_000));
    assert_eq!(verdicts(&crashes), [[FATAL]]);
    crashes.expire(last + ms(1_200_000));
    assert!(verdicts(&crashes).is_empty());
}

#[test]
fn adopted_after_restart() {
    // Guards against a replica that has forgotten the verdicts that its entries keep.
    let known = FatalParts {
        parts: vec![FATAL],
        crashes: 5,
        events: 0,
        age: ms(1000),
    };
    let mut crashes = CrashesByPart::default();
    crashes.adopt(ms(5000), &known);
    assert_eq!(verdicts(&crashes), [[FATAL]]);
    let mut cleared = CrashesByPart::default();
    cleared.record_answer(ms(4500), &complete(FATAL));
    cleared.adopt(ms(5000), &known);
    assert!(verdicts(&cleared).is_empty());
}

#[test]
fn invented_parts() {
    // Guards against callers who invent parts to have verdicts forgotten or memory filled.
    let mut crashes = CrashesByPart::default();
    crash_series(&mut crashes, 0, BEGUN, &[FATAL]);
    for n in 0..600 {
        let parts: Vec<PartId> = (0..32).map(|p| 1000 + n * 32 + p).collect();
        record(
            &mut crashes,
            ms(START + 1000 + n * 20),
            &[crash(n, 1000 + n, &parts, true)],
        );
        crashes.record_answer(ms(START + 1000 + n * 20), &complete(1000 + n * 32));
        crashes.expire(ms(START + 1000 + n * 20));
    }
    assert_eq!(verdicts(&crashes), [[FATAL]]);
    assert!(crashes.suspicions(ms(200_000)).len() <= 256);
}

proptest! {
    /// Guards against verdicts on a part on which answers complete, whatever crashes beside it.
    #[test]
    fn completions_clear(suspects in vec((0..6u64, any::<bool>(), 0..400u64), 1..60)) {
        let mut crashes = CrashesByPart::default();
        let mut now = ms(START);
        for (n, (part, has_begun, pause)) in suspects.into_iter().enumerate() {
            let n = n as u64;
            now += ms(pause);
            let reports = [
                crash(n, n, &[SHARED, 10 + part], has_begun),
                crash(1000 + n, n, &[SHARED, FATAL], true),
            ];
            record(&mut crashes, now, &reports);
            now += ms(1);
            crashes.record_answer(now, &complete(SHARED));
            assert!(verdicts(&crashes).iter().all(|v| *v != [SHARED]));
        }
    }
}

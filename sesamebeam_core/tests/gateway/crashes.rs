//! Detection of requests that crash backend servers.

use std::time::Duration;

use sesamebeam_core::gateway::{
    crashes::CrashTracker,
    directory::ServerIncarnation,
    messages::Crash,
    request::AnswerStage, //
};

fn crash(fingerprint: u128, server: &str) -> Crash {
    Crash {
        fingerprint,
        server: ServerIncarnation {
            id: server.into(),
            started_at: 1,
        },
        parts: Vec::new(),
        stage: AnswerStage::Awaited,
        sent: Duration::ZERO,
        round_trip: Duration::ZERO,
        age: Duration::ZERO,
    }
}

#[test]
fn third_crash_convicts() {
    // A request crashes three backend servers one after the other. An unrelated request
    // was running on two of them and completed on a fourth.
    let mut crashes = CrashTracker::default();
    for (n, server) in ["a", "b", "c"].into_iter().enumerate() {
        assert_eq!(crashes.record(&crash(1, server)), n == 2);
    }
    for server in ["a", "b"] {
        assert!(!crashes.record(&crash(2, server)));
    }
    assert_eq!(crashes.quarantined(), [1]);
}

#[test]
fn answer_under_way() {
    // Guards against a long stream that is quarantined because it was resumed three times after
    // crashes that others caused.
    let mut crashes = CrashTracker::default();
    for server in ["a", "b", "c", "d"] {
        let stage = AnswerStage::UnderWay { events: 9 };
        let under_way = Crash {
            stage,
            ..crash(1, server)
        };
        assert!(!crashes.record(&under_way));
    }
    assert!(crashes.quarantined().is_empty());
}

#[test]
fn repeated_reports_of_one_crash() {
    let mut crashes = CrashTracker::default();
    for _ in 0..9 {
        assert!(!crashes.record(&crash(1, "a")));
    }
    assert!(crashes.quarantined().is_empty());
}

#[test]
fn bounded() {
    let mut crashes = CrashTracker::default();
    for n in 0..10_000 {
        crashes.record(&crash(n, "a"));
    }
    for server in ["b", "c"] {
        crashes.record(&crash(0, server));
    }
    assert!(
        crashes.quarantined().is_empty(),
        "the oldest request was dropped"
    );
}

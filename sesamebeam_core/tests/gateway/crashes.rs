//! Requests that crash what runs them.

use sesamebeam_core::gateway::{
    crashes::Crashes,
    directory::ServerIncarnation,
    messages::Crash, //
};

fn crash(fingerprint: u128, server: &str) -> Crash {
    Crash {
        fingerprint,
        server: ServerIncarnation {
            id: server.into(),
            started_at: 1,
        },
    }
}

#[test]
fn third_crash_convicts() {
    // A request takes three backend servers with it, one after the other. A
    // bystander was on board of two of them and ran to its end at a fourth.
    let mut crashes = Crashes::default();
    for (n, server) in ["a", "b", "c"].into_iter().enumerate() {
        assert_eq!(crashes.count(crash(1, server)), n == 2);
    }
    for server in ["a", "b"] {
        assert!(!crashes.count(crash(2, server)));
    }
    assert_eq!(crashes.quarantined(), [1]);
}

#[test]
fn one_crash_reported_often() {
    let mut crashes = Crashes::default();
    for _ in 0..9 {
        assert!(!crashes.count(crash(1, "a")));
    }
    assert!(crashes.quarantined().is_empty());
}

#[test]
fn bounded() {
    let mut crashes = Crashes::default();
    for n in 0..10_000 {
        crashes.count(crash(n, "a"));
    }
    for server in ["b", "c"] {
        crashes.count(crash(0, server));
    }
    assert!(crashes.quarantined().is_empty(), "the oldest was forgotten");
}

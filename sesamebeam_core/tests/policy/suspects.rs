//! Tests of the detection of requests that crash backend servers.

use sesamebeam_core::{
    message::record::ServerIncarnation,
    policy::suspects::{
        SuspectStatus,
        Suspects,
        SuspectsConfig, //
    },
};

use crate::fixtures::{
    addr,
    secs, //
};

const CRASHING_REQUEST: u128 = 666;

fn server(number: u16) -> ServerIncarnation {
    ServerIncarnation {
        addr: addr(number),
        incarnation: 1,
    }
}

#[test]
fn second_crash() {
    // One request crashes every backend server that runs it. After the first
    // crash it cannot be told from the two others in flight, so all three run
    // again in isolation. The other two complete, and the second crash has only
    // one suspect in flight: it is quarantined, and the new request beside it
    // is not.
    let mut suspects = Suspects::new(SuspectsConfig::default());
    let first = suspects
        .record_crash(secs(1), server(1), &[CRASHING_REQUEST, 1, 2])
        .expect("suspects");
    assert_eq!(first.suspects, [1, 2, CRASHING_REQUEST]);
    suspects.started(CRASHING_REQUEST, server(2));
    assert_eq!(suspects.occupied_servers(1), [server(2)]);
    assert!(suspects.occupied_servers(CRASHING_REQUEST).is_empty());
    for bystander in [1, 2] {
        suspects.started(bystander, server(3));
        suspects.finished(bystander, server(3), true);
    }
    let second = suspects
        .record_crash(secs(3), server(2), &[CRASHING_REQUEST, 3])
        .expect("suspects");
    assert_eq!(second.suspects, [CRASHING_REQUEST]);
    assert_eq!(
        suspects.status(CRASHING_REQUEST),
        SuspectStatus::Quarantined
    );
    assert_eq!(
        [1, 2, 3].map(|fingerprint| suspects.status(fingerprint)),
        [SuspectStatus::Clear; 3]
    );
}

#[test]
fn other_entry() {
    // The caller resends the request through another entry, which has received
    // the suspects but has not observed a crash itself.
    let mut suspects = Suspects::new(SuspectsConfig::default());
    suspects.add_suspects(secs(1), [CRASHING_REQUEST]);
    assert_eq!(suspects.status(CRASHING_REQUEST), SuspectStatus::Suspect);
    suspects.started(CRASHING_REQUEST, server(1));
    suspects.record_crash(secs(2), server(1), &[CRASHING_REQUEST, 5]);
    assert_eq!(
        suspects.status(CRASHING_REQUEST),
        SuspectStatus::Quarantined
    );
    assert_eq!(suspects.status(5), SuspectStatus::Clear);
}

#[test]
fn common_question() {
    // A frequent request is in flight during most crashes. It must never be
    // suspected, because it has completed recently.
    let mut suspects = Suspects::new(SuspectsConfig::default());
    suspects.finished(1, server(1), true);
    for (nth, crashing_request) in [(1, 100), (10, 200)] {
        let report = suspects.record_crash(secs(nth), server(nth as u16), &[1, crashing_request]);
        assert_eq!(report.expect("a suspect").suspects, [crashing_request]);
    }
    assert_eq!(suspects.status(1), SuspectStatus::Clear);
}

#[test]
fn bystanders_cleared() {
    let mut suspects = Suspects::new(SuspectsConfig::default());
    suspects.record_crash(secs(1), server(1), &[1, 2]);
    suspects.started(1, server(2));
    suspects.finished(1, server(2), true);
    assert_eq!(
        [suspects.status(1), suspects.status(2)],
        [SuspectStatus::Clear, SuspectStatus::Suspect]
    );
}

#[test]
fn outage_blames_none() {
    // A rack fails and many backend servers crash within seconds. No request
    // caused this, so none may be suspected or refused afterwards.
    let mut suspects = Suspects::new(SuspectsConfig::default());
    for number in 0..8u16 {
        suspects.record_crash(secs(1), server(number), &[u128::from(number), 99]);
    }
    assert!(suspects.suspected().is_empty());
    assert_eq!(suspects.status(99), SuspectStatus::Clear);
}

#[test]
fn forgotten() {
    let mut suspects = Suspects::new(SuspectsConfig::default());
    suspects.record_crash(secs(1), server(1), &[1]);
    suspects.tick(secs(3602));
    assert_eq!(suspects.status(1), SuspectStatus::Clear);
}

#[test]
fn fleet_quarantine() {
    let mut suspects = Suspects::new(SuspectsConfig::default());
    suspects.quarantine([CRASHING_REQUEST]);
    assert_eq!(
        suspects.status(CRASHING_REQUEST),
        SuspectStatus::Quarantined
    );
    suspects.quarantine([]);
    assert_eq!(suspects.status(CRASHING_REQUEST), SuspectStatus::Clear);
}

//! Requests that crash backend servers.

use sesamebeam_core::{
    message::record::ServerLife,
    policy::suspects::{
        Standing,
        Suspects,
        SuspectsConfig, //
    },
};

use crate::make::{
    addr,
    secs, //
};

const KILLER: u128 = 666;

fn server(number: u16) -> ServerLife {
    ServerLife {
        addr: addr(number),
        incarnation: 1,
    }
}

#[test]
fn second_crash() {
    // One request crashes each backend server that runs it. After the first
    // crash nobody can tell it from the two beside it; all three run again,
    // each apart from the others. The two complete, and the second crash has
    // one suspect on board: it is quarantined, the new bystander is not.
    let mut suspects = Suspects::new(SuspectsConfig::default());
    let first = suspects
        .died(secs(1), server(1), &[KILLER, 1, 2])
        .expect("suspects");
    assert_eq!(first.suspects, [1, 2, KILLER]);
    suspects.started(KILLER, server(2));
    assert_eq!(suspects.occupied(1), [server(2)]);
    assert!(suspects.occupied(KILLER).is_empty());
    for innocent in [1, 2] {
        suspects.started(innocent, server(3));
        suspects.finished(innocent, server(3), true);
    }
    let second = suspects
        .died(secs(3), server(2), &[KILLER, 3])
        .expect("suspects");
    assert_eq!(second.suspects, [KILLER]);
    assert_eq!(suspects.standing(KILLER), Standing::Quarantined);
    assert_eq!(
        [1, 2, 3].map(|fingerprint| suspects.standing(fingerprint)),
        [Standing::Clear; 3]
    );
}

#[test]
fn other_entry() {
    // The caller sends the request again through another entry, which has
    // heard of the suspects but saw no crash itself.
    let mut suspects = Suspects::new(SuspectsConfig::default());
    suspects.alarm(secs(1), [KILLER]);
    assert_eq!(suspects.standing(KILLER), Standing::Suspect);
    suspects.started(KILLER, server(1));
    suspects.died(secs(2), server(1), &[KILLER, 5]);
    assert_eq!(suspects.standing(KILLER), Standing::Quarantined);
    assert_eq!(suspects.standing(5), Standing::Clear);
}

#[test]
fn common_question() {
    // A question that is asked all day is on board of most crashes. It has
    // completed lately, so it is never blamed.
    let mut suspects = Suspects::new(SuspectsConfig::default());
    suspects.finished(1, server(1), true);
    for (nth, killer) in [(1, 100), (10, 200)] {
        let report = suspects.died(secs(nth), server(nth as u16), &[1, killer]);
        assert_eq!(report.expect("a suspect").suspects, [killer]);
    }
    assert_eq!(suspects.standing(1), Standing::Clear);
}

#[test]
fn bystanders_cleared() {
    let mut suspects = Suspects::new(SuspectsConfig::default());
    suspects.died(secs(1), server(1), &[1, 2]);
    suspects.started(1, server(2));
    suspects.finished(1, server(2), true);
    assert_eq!(
        [suspects.standing(1), suspects.standing(2)],
        [Standing::Clear, Standing::Suspect]
    );
}

#[test]
fn outage_blames_none() {
    // A rack fails: many backend servers die within a second or two. No
    // request did that, and none may be refused for it afterwards.
    let mut suspects = Suspects::new(SuspectsConfig::default());
    for number in 0..8u16 {
        suspects.died(secs(1), server(number), &[u128::from(number), 99]);
    }
    assert!(suspects.suspected().is_empty());
    assert_eq!(suspects.standing(99), Standing::Clear);
}

#[test]
fn forgotten() {
    let mut suspects = Suspects::new(SuspectsConfig::default());
    suspects.died(secs(1), server(1), &[1]);
    suspects.tick(secs(3602));
    assert_eq!(suspects.standing(1), Standing::Clear);
}

#[test]
fn fleet_quarantine() {
    let mut suspects = Suspects::new(SuspectsConfig::default());
    suspects.quarantine([KILLER]);
    assert_eq!(suspects.standing(KILLER), Standing::Quarantined);
    suspects.quarantine([]);
    assert_eq!(suspects.standing(KILLER), Standing::Clear);
}

//! Rollouts that continue under a new leader.

use std::time::Duration;

use sesamebeam_core::{
    message::{
        command::{
            Evidence,
            RolloutState, //
        },
        control::ControlRequest,
    },
    state::Faults,
};

use crate::group::{
    Group,
    announcement,
    fleet, //
};

fn report_ratings(group: &mut Group, good: u32) {
    let evidence = Evidence {
        from: "entry-1".into(),
        version: "beam@v2".into(),
        good,
        bad: 0,
        errors: 0,
        hold: false,
    };
    group.request_leader(ControlRequest::Evidence(vec![evidence]));
}

/// The leader fails during the first step, with part of the gate's ratings
/// received. The rollout must neither restart nor lose these ratings.
#[test]
fn resumed() {
    let mut group = Group::new(Faults::default());
    group.accept_fleet(0, fleet());
    let both = ["beam@v1", "beam@v2"];
    let announced = (1..=2).map(|n| announcement(n, 1, &both)).collect();
    group.request_leader(ControlRequest::Servers(announced));
    report_ratings(&mut group, 6);
    let old = group.wait_leader();
    assert_eq!(
        group.core(old).state().rollout("beam@v2"),
        Some(RolloutState::At(0))
    );
    group.kill(old);
    let new = group.wait_other_leader(old);
    let state = |group: &Group| group.core(new).state().rollout("beam@v2");
    assert_eq!(state(&group), Some(RolloutState::At(0)));
    group.run(Duration::from_secs(15));
    assert_eq!(state(&group), Some(RolloutState::At(0)), "the gate holds");
    report_ratings(&mut group, 4);
    group.run(Duration::from_secs(2));
    assert_eq!(state(&group), Some(RolloutState::At(1)));
    report_ratings(&mut group, 10);
    group.run(Duration::from_secs(15));
    assert_eq!(state(&group), Some(RolloutState::Done));
}

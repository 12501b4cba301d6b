//! Roll-outs that a new leader takes up where they stopped.

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

fn rated(group: &mut Group, good: u32) {
    let evidence = Evidence {
        from: "entry-1".into(),
        version: "beam@v2".into(),
        good,
        bad: 0,
        errors: 0,
        hold: false,
    };
    group.ask_leader(ControlRequest::Evidence(vec![evidence]));
}

/// The leader dies at the first step, with the gate half passed. The roll-out
/// must neither start again nor forget the ratings that it has.
#[test]
fn resumed() {
    let mut group = Group::new(Faults::default());
    group.accept(0, fleet());
    let both = ["beam@v1", "beam@v2"];
    let announced = (1..=2).map(|n| announcement(n, 1, &both)).collect();
    group.ask_leader(ControlRequest::Servers(announced));
    rated(&mut group, 6);
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
    rated(&mut group, 4);
    group.run(Duration::from_secs(2));
    assert_eq!(state(&group), Some(RolloutState::At(1)));
    rated(&mut group, 10);
    group.run(Duration::from_secs(15));
    assert_eq!(state(&group), Some(RolloutState::Done));
}

//! Checks of rollouts.

use super::{
    Faults,
    PathSegment,
    Seen, //
};
use crate::{
    fleet::{
        Fleet,
        Rollout,
        VersionState, //
    },
    ids::join_version,
};

pub(super) fn check(fleet: &Fleet, faults: &mut Faults) {
    let mut seen = Seen::default();
    for (at, rollout) in fleet.rollouts.iter().enumerate() {
        let key = |key| {
            [
                PathSegment::Key("rollout"),
                PathSegment::Index(at),
                PathSegment::Key(key),
            ]
        };
        seen.check_unique(faults, &key("version"), "roll-out of", &rollout.version);
        check_version(fleet, rollout, &key("version"), faults);
        check_steps(rollout, &key("steps"), faults);
        if rollout.gate == 0 {
            faults.add(
                &key("gate"),
                format!(
                    "roll-out of `{}` would move on without evidence",
                    rollout.version
                ),
            );
        }
        if rollout.copies == 0 {
            faults.add(
                &key("copies"),
                format!(
                    "roll-out of `{}` would load the version nowhere",
                    rollout.version
                ),
            );
        }
    }
}

fn check_version(fleet: &Fleet, rollout: &Rollout, path: &[PathSegment], faults: &mut Faults) {
    let name = &rollout.version;
    let Some((_, version)) = fleet.version(name) else {
        let listed: Vec<_> = fleet
            .models
            .iter()
            .flat_map(|model| {
                model
                    .versions
                    .iter()
                    .map(|v| join_version(&model.name, &v.name))
            })
            .collect();
        faults.add_unknown(
            path,
            format!("roll-out of `{name}`, which no model lists"),
            name,
            listed.iter().map(|name| name.as_str()),
        );
        return;
    };
    let state = match version.state {
        VersionState::Rolling => return,
        VersionState::Settled => "settled",
        VersionState::Withdrawn => "withdrawn",
    };
    faults.add(
        path,
        format!("roll-out of `{name}`, whose state is `{state}` and not `rolling`"),
    );
}

fn check_steps(rollout: &Rollout, path: &[PathSegment; 3], faults: &mut Faults) {
    let name = &rollout.version;
    let Some(last) = rollout.steps.last() else {
        faults.add(path, format!("roll-out of `{name}` has no steps"));
        return;
    };
    let mut previous = 0.0;
    for (n, &share) in rollout.steps.iter().enumerate() {
        let path = [path[0], path[1], path[2], PathSegment::Index(n)];
        if !(share > 0.0 && share <= 1.0) {
            faults.add(
                &path,
                format!("step of the roll-out of `{name}` is {share}, not above 0 and up to 1"),
            );
        } else if share <= previous {
            faults.add(
                &path,
                format!("steps of the roll-out of `{name}` do not grow from {previous} to {share}"),
            );
        }
        previous = share;
    }
    if (0.0..1.0).contains(last) {
        let path = [
            path[0],
            path[1],
            path[2],
            PathSegment::Index(rollout.steps.len() - 1),
        ];
        faults.add(
            &path,
            format!("roll-out of `{name}` ends at {last}; the last step must be 1"),
        );
    }
}

//! Checks of roll-outs.

use super::{
    Faults,
    Seen,
    Step, //
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
        let key = |key| [Step::Key("rollout"), Step::At(at), Step::Key(key)];
        seen.once(faults, &key("version"), "roll-out of", &rollout.version);
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

fn check_version(fleet: &Fleet, rollout: &Rollout, path: &[Step], faults: &mut Faults) {
    let name = &rollout.version;
    let Some((_, version)) = fleet.version(name) else {
        let rolling: Vec<_> = fleet
            .models
            .iter()
            .flat_map(|model| {
                model
                    .versions
                    .iter()
                    .map(|v| join_version(&model.name, &v.name))
            })
            .collect();
        faults.unknown(
            path,
            format!("roll-out of `{name}`, which no model lists"),
            name,
            rolling.iter().map(|name| name.as_str()),
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

fn check_steps(rollout: &Rollout, path: &[Step; 3], faults: &mut Faults) {
    let name = &rollout.version;
    let Some(last) = rollout.steps.last() else {
        faults.add(path, format!("roll-out of `{name}` has no steps"));
        return;
    };
    let mut before = 0.0;
    for (n, &share) in rollout.steps.iter().enumerate() {
        let path = [path[0], path[1], path[2], Step::At(n)];
        if !(share > 0.0 && share <= 1.0) {
            faults.add(
                &path,
                format!("step of the roll-out of `{name}` is {share}, not above 0 and up to 1"),
            );
        } else if share <= before {
            faults.add(
                &path,
                format!("steps of the roll-out of `{name}` do not grow from {before} to {share}"),
            );
        }
        before = share;
    }
    if (0.0..1.0).contains(last) {
        let path = [path[0], path[1], path[2], Step::At(rollout.steps.len() - 1)];
        faults.add(
            &path,
            format!("roll-out of `{name}` ends at {last}; the last step must be 1"),
        );
    }
}

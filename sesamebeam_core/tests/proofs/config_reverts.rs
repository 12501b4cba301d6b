//! A version is withdrawn, and an entry that starts hears of it from a neighbour
//! while its first renewal is under way. The answer is older than that, or its
//! difference does not apply. Taken over the newer file, or as a lease for an old
//! one, callers are served by the withdrawn version again.

use sesamebeam_core::{
    entry::{
        Faults,
        view::Availability, //
    },
    fleet::Fleet,
    message::control::FleetChange,
    state::delta,
};
use yare::parameterized;

use crate::{
    lone::{
        Lone,
        whole, //
    },
    world::files,
};

#[parameterized(
    safeguard_on = { false },
    any_order = { true },
)]
fn late_answer(revert_config: bool) {
    let faults = Faults {
        revert_config,
        ..Faults::default()
    };
    let mut lone = Lone::new(faults, |_| {});
    lone.neighbour(2, files::withdraw(files::fleet(), "v1"));
    assert_eq!(lone.core.view().revision(), 2);
    lone.renewed(1, whole(files::fleet()));
    let (revision, usable) = match revert_config {
        true => (1, Availability::Settled),
        false => (2, Availability::Withdrawn),
    };
    let view = lone.core.view();
    assert_eq!(view.revision(), revision);
    assert_eq!(view.availability(lone.now, "huallaga", "beam@v1"), usable);
}

#[parameterized(
    safeguard_on = { false },
    any_lease = { true },
)]
fn unfitting_difference(lease_unfitting: bool) {
    let faults = Faults {
        lease_unfitting,
        ..Faults::default()
    };
    let mut lone = Lone::new(faults, |_| {});
    lone.neighbour(1, files::fleet());
    let newest = files::withdraw(files::fleet(), "v1");
    let from_nothing = delta::compute(0, &Fleet::default(), &newest);
    lone.renewed(2, FleetChange::Delta(Box::new(from_nothing)));
    let view = lone.core.view();
    assert_eq!(view.revision(), 1);
    assert_eq!(view.lease_held(lone.now), lease_unfitting);

    // The next renewal names what is here, and brings what fits and the lease.
    assert_eq!(lone.renewal.map(|(_, revision)| revision), Some(1));
    let fitting = delta::compute(1, &files::fleet(), &newest);
    lone.renewed(2, FleetChange::Delta(Box::new(fitting)));
    let view = lone.core.view();
    assert_eq!(view.revision(), 2);
    assert!(view.lease_held(lone.now));
}

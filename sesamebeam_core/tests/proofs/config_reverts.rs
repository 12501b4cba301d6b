//! A version is withdrawn, and an entry that starts receives the new fleet file
//! from another entry while its first renewal is pending. The reply to the renewal
//! is older, or contains a delta that does not apply. If the entry replaced the
//! newer file by the older one, or accepted the lease for an outdated file, it
//! would serve callers with the withdrawn version again.

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
    entry_harness::{
        EntryHarness,
        full_change, //
    },
    world::files,
};

#[parameterized(
    safeguard_on = { false },
    any_order = { true },
)]
fn outdated_reply(revert_config: bool) {
    let faults = Faults {
        revert_config,
        ..Faults::default()
    };
    let mut harness = EntryHarness::new(faults, |_| {});
    harness.receive_peer_config(2, files::withdraw(files::fleet(), "v1"));
    assert_eq!(harness.core.view().revision(), 2);
    harness.renewed(1, full_change(files::fleet()));
    let (revision, availability) = match revert_config {
        true => (1, Availability::Settled),
        false => (2, Availability::Withdrawn),
    };
    let view = harness.core.view();
    assert_eq!(view.revision(), revision);
    assert_eq!(
        view.availability(harness.now, "huallaga", "beam@v1"),
        availability
    );
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
    let mut harness = EntryHarness::new(faults, |_| {});
    harness.receive_peer_config(1, files::fleet());
    let newest = files::withdraw(files::fleet(), "v1");
    let from_nothing = delta::compute(0, &Fleet::default(), &newest);
    harness.renewed(2, FleetChange::Delta(Box::new(from_nothing)));
    let view = harness.core.view();
    assert_eq!(view.revision(), 1);
    assert_eq!(view.lease_held(harness.now), lease_unfitting);

    // The next renewal names the current revision; its reply contains a delta
    // that applies, and the lease.
    assert_eq!(harness.renewal.map(|(_, revision)| revision), Some(1));
    let fitting = delta::compute(1, &files::fleet(), &newest);
    harness.renewed(2, FleetChange::Delta(Box::new(fitting)));
    let view = harness.core.view();
    assert_eq!(view.revision(), 2);
    assert!(view.lease_held(harness.now));
}
